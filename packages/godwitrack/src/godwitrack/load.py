"""The load of a backend server, as its node reports it to other nodes."""

from godwitrack.exceptions import MessageError


class Load:
    """Load of a backend server as its own node counts it.

    Attributes:
        in_flight: Requests running; while the server is cold, at least the used share
            of the request rate allowed during warm-up, times `limit`.
        queued: Requests waiting in the admission queue.
        limit: Most requests that may run at once now.
        revision: Revision of the configuration in force at the node; at a hosted node
            the version of the latest change of the operators' table.
        slowness: Current service time in percent of the usual service time.
        home_demand: Requests that may run in no other region and are waiting or were
            recently rejected.
    """

    __slots__ = (
        "home_demand",
        "in_flight",
        "limit",
        "queued",
        "revision",
        "slowness",
    )

    def __init__(self, in_flight, queued, limit, revision, slowness=100, home_demand=0):
        self.in_flight = in_flight
        self.queued = queued
        self.limit = limit
        self.revision = revision
        self.slowness = slowness
        self.home_demand = home_demand

    def to_data(self):
        """Return the load as plain data."""
        return [
            self.in_flight,
            self.queued,
            self.limit,
            self.revision,
            self.slowness,
            self.home_demand,
        ]

    @classmethod
    def from_data(cls, data):
        """Return the Load that plain data describes.

        Raises:
            MessageError: The data is not a list of six integers.
        """
        if len(data) != 6 or any(type(item) is not int for item in data):
            raise MessageError("a load must consist of six integers")
        return cls(*data)

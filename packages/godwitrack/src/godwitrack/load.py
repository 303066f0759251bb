"""How busy a backend server is, as its node tells others."""

from godwitrack.exceptions import MessageError


class Load:
    """Load of a backend server as its own node counts it.

    Attributes:
        in_flight: Requests running; more where the server is cold and bears no more
            requests a second.
        queued: Requests waiting.
        limit: Most requests that may run at once now.
        revision: Revision of the configuration in force at the node.
        slowness: How long work takes now, in percent of the usual time.
        home_demand: Requests without a place there, now or lately, that may run in no
            other region.
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
        """Return the Load held by plain data.

        Raises:
            MessageError: The data has another shape.
        """
        if len(data) != 6 or any(type(item) is not int for item in data):
            raise MessageError("a load has six whole numbers")
        return cls(*data)

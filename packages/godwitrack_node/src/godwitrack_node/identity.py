"""The identity of a node, from which it makes unique request ids."""

import itertools


class Identity:
    """Name, location and incarnation of a node.

    Attributes:
        name: Name of the backend server.
        service: Name of the service that the backend server runs.
        region: Name of the region.
        data_centre: Name of the data centre.
        incarnation: Microseconds since the Unix epoch at the node's start.
        relay_class: How much the node can pass on to others, see `sourceselector`.
    """

    __slots__ = (
        "_counter",
        "_prefix",
        "data_centre",
        "incarnation",
        "name",
        "region",
        "relay_class",
        "service",
    )

    def __init__(self, name, service, region, data_centre, incarnation, relay_class=0):
        self.name = name
        self.service = service
        self.region = region
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.relay_class = relay_class
        self._prefix = f"{name}.{incarnation:x}"
        self._counter = itertools.count(1)

    def make_request_id(self):
        """Return a request id that is unique among all nodes."""
        return f"{self._prefix}.{next(self._counter):x}"

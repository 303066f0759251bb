"""Routes, services and limits that operators put in force as one revision."""

import bisect


class SplitPart:
    """One service of a route, with its share of the route's requests.

    Attributes:
        service: Name of the service.
        weight: Share in relation to the other parts; at least 0.
    """

    __slots__ = ("service", "weight")

    def __init__(self, service, weight):
        self.service = service
        self.weight = weight


class HostRoute:
    """What operators allow for requests to one host and path prefix.

    Attributes:
        name: Unique name.
        host: Host name in lower case, without a port.
        prefix: Path prefix that begins and ends with a slash.
        parts: Tuple of SplitParts.
        idempotent: Whether a request may run more than once.
        timeout: Longest time a caller is kept waiting, in seconds.
        objective: Time within which an answer is worth most, in seconds.
        priority: Rank, 0 for the most urgent.
        max_attempts: Most backend servers to which one request is sent.
        regions: Frozenset of the regions that may serve it; empty for all.
        is_upload: Whether bodies are large.
    """

    __slots__ = (
        "host",
        "idempotent",
        "is_upload",
        "max_attempts",
        "name",
        "objective",
        "parts",
        "prefix",
        "priority",
        "regions",
        "timeout",
    )

    def __init__(
        self,
        name,
        host,
        prefix,
        parts,
        *,
        idempotent,
        timeout,
        objective,
        priority=0,
        max_attempts=1,
        regions=frozenset(),
        is_upload=False,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.parts = tuple(parts)
        self.idempotent = idempotent
        self.timeout = timeout
        self.objective = objective
        self.priority = priority
        self.max_attempts = max_attempts
        self.regions = frozenset(regions)
        self.is_upload = is_upload

    def may_run_in(self, region):
        """Tell whether a backend server of a region may serve the route."""
        return not self.regions or region in self.regions


class ServiceLimits:
    """What one backend server of a service bears.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Most connections from all callers together.
        warmup_seconds: Duration of a cold start.
        warmup_rate: Requests a second that it bears during a cold start.
    """

    __slots__ = (
        "health_path",
        "max_connections",
        "name",
        "warmup_rate",
        "warmup_seconds",
    )

    def __init__(self, name, health_path, max_connections, warmup_seconds, warmup_rate):
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections
        self.warmup_seconds = warmup_seconds
        self.warmup_rate = warmup_rate


class CallerLimits:
    """What a caller may send and how long it may take.

    Attributes:
        header_bytes: Most bytes of a request's head.
        body_bytes: Most bytes of a request's body.
        header_seconds: Longest time for the head to arrive.
        idle_seconds: Longest time that a connection may be idle.
    """

    __slots__ = ("body_bytes", "header_bytes", "header_seconds", "idle_seconds")

    def __init__(
        self,
        header_bytes=64 * 1024,
        body_bytes=2**30,
        header_seconds=20.0,
        idle_seconds=75.0,
    ):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_seconds = header_seconds
        self.idle_seconds = idle_seconds


class RouteTable:
    """One revision of all routes; never changed once made.

    Attributes:
        revision: Number that grows with each change.
        services: Mapping from name to ServiceLimits.
        limits: CallerLimits.
    """

    def __init__(self, revision, routes, services, limits):
        self.revision = revision
        self.services = {service.name: service for service in services}
        self.limits = limits
        self._hosts = {}
        for route in routes:
            self._hosts.setdefault(route.host, []).append(route)
        for items in self._hosts.values():
            items.sort(key=lambda route: route.prefix)
        self._prefixes = {
            host: [route.prefix for route in items]
            for host, items in self._hosts.items()
        }

    @property
    def routes(self):
        """All HostRoutes, as a list."""
        return [route for items in self._hosts.values() for route in items]

    def find_route(self, host, path):
        """Return the HostRoute with the longest prefix of a path, or None.

        Args:
            host: Value of the Host header; a port and letter case are ignored.
            path: Path without the query.
        """
        host = host.partition(":")[0].strip().lower()
        prefixes = self._prefixes.get(host)
        if not prefixes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            prefix = path[: end + 1]
            index = bisect.bisect_left(prefixes, prefix)
            if index < len(prefixes) and prefixes[index] == prefix:
                return self._hosts[host][index]
        return None

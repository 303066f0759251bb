"""Routes, services and limits that operators publish as one revision."""

import bisect


class SplitPart:
    """One service of a route, with its share of the route's requests.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other parts; at least 0.
    """

    __slots__ = ("service", "weight")

    def __init__(self, service, weight):
        self.service = service
        self.weight = weight


class HostRoute:
    """The operators' rules for requests to one host and path prefix.

    Attributes:
        name: Unique name.
        host: Host name in lower case, without port.
        prefix: Path prefix that begins and ends with a slash.
        parts: Tuple of SplitParts.
        idempotent: Whether a request may run more than once.
        timeout: Longest time that a caller waits, in seconds.
        objective: Latency objective in seconds; a later response is worth less.
        priority: Rank, 0 for the most urgent.
        max_attempts: Largest number of backend servers that one request may reach;
            attempts that were refused before they reached one do not count.
        regions: Frozenset of the regions that may serve it; empty for all.
        is_upload: Whether request bodies are large.
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
        """Return whether a backend server in a region may serve the route."""
        return not self.regions or region in self.regions


class ServiceLimits:
    """Limits of each backend server of a service.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Most connections to the server, from all callers together.
        warmup_seconds: Duration of the warm-up after a cold start.
        warmup_rate: Most requests per second during the warm-up.
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
    """Limits on what a caller may send and how long it may take.

    Attributes:
        header_bytes: Largest size of a request's head.
        body_bytes: Largest size of a request's body.
        header_seconds: Time within which the head must arrive.
        idle_seconds: Time after which an idle connection is closed.
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
    """One revision of all routes; immutable.

    Attributes:
        revision: Number that increases with each change.
        services: Mapping from name to ServiceLimits.
        limits: CallerLimits.
    """

    def __init__(self, revision, routes, services, limits):
        self.revision = revision
        self.services = {service.name: service for service in services}
        self.limits = limits
        self._routes_by_host = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for host_routes in self._routes_by_host.values():
            host_routes.sort(key=lambda route: route.prefix)
        self._prefixes_by_host = {
            host: [route.prefix for route in host_routes]
            for host, host_routes in self._routes_by_host.items()
        }

    @property
    def route_count(self):
        """Number of the HostRoutes."""
        return sum(map(len, self._routes_by_host.values()))

    @property
    def routes(self):
        """All HostRoutes, as a list."""
        return [
            route
            for host_routes in self._routes_by_host.values()
            for route in host_routes
        ]

    def find_route(self, host, path):
        """Return the HostRoute with the longest matching prefix, or None.

        Args:
            host: Value of the Host header; its port and letter case are ignored.
            path: Path without query.
        """
        host = host.partition(":")[0].strip().lower()
        prefixes = self._prefixes_by_host.get(host)
        if not prefixes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            prefix = path[: end + 1]
            index = bisect.bisect_left(prefixes, prefix)
            if index < len(prefixes) and prefixes[index] == prefix:
                return self._routes_by_host[host][index]
        return None

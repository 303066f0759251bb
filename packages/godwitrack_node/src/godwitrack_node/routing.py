"""Routing: which backend server a request is sent to."""

import random
import threading

from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack.kernel import Service
from godwitrack_node.policies import LeastCostPolicy
from godwitrack_node.serverview import ServerView

FREE_USE = 0.9
FAR_TIER = 2
NEAR_ATTEMPTS = 2


class Location:
    """Where a node is.

    Attributes:
        region: Name of the region.
        data_centre: Name of the data centre.
    """

    __slots__ = ("data_centre", "region")

    def __init__(self, region, data_centre):
        self.region = region
        self.data_centre = data_centre


class Exclusions:
    """What operators have taken out of service.

    Attributes:
        data_centres: Names of data centres.
        servers: Names of backend servers.
    """

    __slots__ = ("data_centres", "servers")

    def __init__(self, data_centres=frozenset(), servers=frozenset()):
        self.data_centres = data_centres
        self.servers = servers

    def covers(self, record):
        """Tell whether a server is taken out."""
        return record.data_centre in self.data_centres or record.name in self.servers


class Router(Service):
    """Finds the servers that may take a request and chooses one of them."""

    name = "router"

    def __init__(self, clock, location, policy=None):
        self._clock = clock
        self._location = location
        self._policy = policy or LeastCostPolicy(random.Random())
        self._lock = threading.Lock()
        self._views = {}
        self._tiers = {}
        self._tiers_version = None
        self._directory = None
        self._exclusions = None

    def connect(self, kernel):
        """Find the directory and the source of exclusions."""
        self._directory = kernel.find("directory")
        self._exclusions = kernel.find("exclusions")

    def choose(self, service, regions, tried=(), spent=()):
        """Return the ServerView that a request should be sent to.

        Servers of the own data centre come first, then those of the own region,
        then others; a further tier is used only when no server of the nearer one
        has room.

        Args:
            service: Name of the service.
            regions: Regions that may serve the request.
            tried: Names of servers that refused or failed it already.
            spent: Names of servers at which the customer is over its capacity.

        Raises:
            RequestError: UNKNOWN_SERVICE, OVER_CAPACITY or NO_SERVER.
        """
        now = self._clock.read_monotonic()
        near = []
        for tier, views in enumerate(self._find_tiers(service, regions)):
            if tier == FAR_TIER and near and len(tried) < NEAR_ATTEMPTS:
                # The link between regions is slow and billed. Whether the near
                # side is full is known from refusals, not from stale reports.
                break
            usable = [
                view
                for view in views
                if view.avoid_until <= now
                and view.record.name not in tried
                and view.record.name not in spent
            ]
            free = [view for view in usable if view.estimate_use(now) < FREE_USE]
            if free:
                return self._policy.choose(free, now)
            near.extend(usable)
        if near:
            return self._policy.choose(near, now)
        if not self._directory.has_service(service):
            raise RequestError(ErrorKind.UNKNOWN_SERVICE)
        if spent:
            raise RequestError(ErrorKind.OVER_CAPACITY)
        raise RequestError(ErrorKind.NO_SERVER)

    def explain(self, service, regions):
        """Return one Candidate-like row for each server of a service, as plain data.

        Args:
            service: Name of the service.
            regions: Regions that may serve the request.
        """
        now = self._clock.read_monotonic()
        exclusions = self._exclusions.read()
        rows = []
        for record in self._directory.find_service(service):
            view = self.find_view(record)
            rows.append(
                {
                    "server": record.name,
                    "data_centre": record.data_centre,
                    "region": record.region,
                    "state": record.state.value,
                    "verdict": self._judge(record, view, regions, exclusions, now),
                    "tier": self._find_tier(record),
                    "use": round(view.estimate_use(now), 3),
                    "latency_ms": round(view.latency * 1000, 3),
                }
            )
        return sorted(rows, key=lambda row: (row["tier"], row["server"]))

    def _judge(self, record, view, regions, exclusions, now):
        if record.region not in regions:
            return "outside the plan's regions"
        if exclusions.covers(record):
            return "taken out by operators"
        if not record.state.is_serving:
            return f"is {record.state.value}"
        if view.avoid_until > now:
            return "avoided after failures"
        return "may be chosen"

    def _find_tiers(self, service, regions):
        version = (self._directory.version, self._exclusions.version)
        with self._lock:
            if version != self._tiers_version:
                self._tiers.clear()
                self._tiers_version = version
            key = (service, regions)
            tiers = self._tiers.get(key)
            if tiers is None:
                tiers = self._tiers[key] = self._build_tiers(service, regions)
            return tiers

    def _build_tiers(self, service, regions):
        tiers = ([], [], [])
        exclusions = self._exclusions.read()
        for record in self._directory.find_service(service):
            if record.region not in regions or not record.state.is_serving:
                continue
            if exclusions.covers(record):
                continue
            tiers[self._find_tier(record)].append(self.find_view(record))
        return tiers

    def _find_tier(self, record):
        if record.data_centre == self._location.data_centre:
            return 0
        if record.region == self._location.region:
            return 1
        return 2

    def find_view(self, record):
        """Return what this entry knows of a server's load.

        Args:
            record: ServerRecord; a new incarnation starts with nothing known.
        """
        view = self._views.get(record.name)
        if view is None or view.record.incarnation != record.incarnation:
            view = self._views[record.name] = ServerView(record)
        view.record = record
        return view

"""Selects the backend server that a request is sent to."""

import random
import threading

from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack.kernel import Service
from godwitrack_node.policies import LeastCostPolicy
from godwitrack_node.serverview import ServerView

# A server has free capacity below this utilization, which is a share of its limit.
FREE_UTILIZATION = 0.9
# Index of the tier that holds the servers of other regions.
OTHER_REGIONS_TIER = 2
# Attempts in the own region before a request may be sent to another one.
OWN_REGION_ATTEMPTS = 2


class Location:
    """The region and data centre of a node.

    Attributes:
        region: Name of the region.
        data_centre: Name of the data centre.
    """

    __slots__ = ("data_centre", "region")

    def __init__(self, region, data_centre):
        self.region = region
        self.data_centre = data_centre


class Exclusions:
    """Data centres and backend servers that operators have taken out of service.

    Attributes:
        data_centres: Names of data centres.
        servers: Names of backend servers.
    """

    __slots__ = ("data_centres", "servers")

    def __init__(self, data_centres=frozenset(), servers=frozenset()):
        self.data_centres = data_centres
        self.servers = servers

    def covers(self, record):
        """Return whether a server, or its data centre, is taken out of service.

        Args:
            record: ServerRecord, or anything with its `name` and `data_centre`.
        """
        return record.data_centre in self.data_centres or record.name in self.servers


class Router(Service):
    """Selects a backend server for each request.

    Candidate servers are grouped into tiers by their distance from this node; the
    policy chooses within a tier.
    """

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
        """Find the directory and the service that provides the exclusions."""
        self._directory = kernel.find("directory")
        self._exclusions = kernel.find("exclusions")

    def choose(self, service, regions, tried=(), over_limit=()):
        """Return the ServerView that a request should be sent to.

        Servers of the own data centre are preferred, then those of the own region,
        then those of other regions. A more distant tier is used only when no server
        of a nearer one has free capacity.

        Args:
            service: Name of the service.
            regions: Regions that may serve the request.
            tried: Names of servers that already refused the request or failed.
            over_limit: Names of servers that recently refused the customer as over its
                capacity.

        Raises:
            RequestError: UNKNOWN_SERVICE, OVER_CAPACITY or NO_SERVER.
        """
        now = self._clock.read_monotonic()
        busy = []
        for tier, views in enumerate(self._get_tiers(service, regions)):
            if tier == OTHER_REGIONS_TIER and busy and len(tried) < OWN_REGION_ATTEMPTS:
                # The link between regions is slow and billed. Only refusals show
                # that the own region is full; load reports may be stale.
                break
            usable = [
                view
                for view in views
                if view.avoid_until <= now
                and view.record.name not in tried
                and view.record.name not in over_limit
            ]
            free = [
                view
                for view in usable
                if view.estimate_utilization(now) < FREE_UTILIZATION
            ]
            if free:
                return self._policy.choose(free, now)
            busy.extend(usable)
        if busy:
            return self._policy.choose(busy, now)
        if not self._directory.has_service(service):
            raise RequestError(ErrorKind.UNKNOWN_SERVICE)
        if over_limit:
            raise RequestError(ErrorKind.OVER_CAPACITY)
        raise RequestError(ErrorKind.NO_SERVER)

    def explain(self, service, regions):
        """Return a row of plain data for each server of a service.

        Each row says whether the server may be chosen and, if not, why.

        Args:
            service: Name of the service.
            regions: Regions that may serve the request.
        """
        now = self._clock.read_monotonic()
        exclusions = self._exclusions.read()
        rows = []
        for record in self._directory.find_service(service):
            view = self.get_view(record)
            rows.append(
                {
                    "server": record.name,
                    "data_centre": record.data_centre,
                    "region": record.region,
                    "state": record.state.value,
                    "verdict": self._compute_verdict(
                        record, view, regions, exclusions, now
                    ),
                    "tier": self._compute_tier(record),
                    "use": round(view.estimate_utilization(now), 3),
                    "latency_ms": round(view.latency * 1000, 3),
                }
            )
        return sorted(rows, key=lambda row: (row["tier"], row["server"]))

    def _compute_verdict(self, record, view, regions, exclusions, now):
        if record.region not in regions:
            return "outside the plan's regions"
        if exclusions.covers(record):
            return "taken out by operators"
        if not record.state.is_serving:
            return f"is {record.state.value}"
        if view.avoid_until > now:
            return "avoided after failures"
        return "may be chosen"

    def _get_tiers(self, service, regions):
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
            tiers[self._compute_tier(record)].append(self.get_view(record))
        return tiers

    def _compute_tier(self, record):
        """Return the index of a server's tier; a lower one is nearer."""
        if record.data_centre == self._location.data_centre:
            return 0
        if record.region == self._location.region:
            return 1
        return 2

    def get_view(self, record):
        """Return the ServerView of a server, creating it if needed.

        Args:
            record: ServerRecord; each new incarnation gets a new view.
        """
        view = self._views.get(record.name)
        if view is None or view.record.incarnation != record.incarnation:
            view = self._views[record.name] = ServerView(record)
        view.record = record
        return view

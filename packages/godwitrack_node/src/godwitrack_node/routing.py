"""Routing: which backend server a request is sent to."""

import abc
import collections
import math
import random
import threading

from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack.kernel import Service
from godwitrack_node.directory import ServerState

CHOICES = 3
LOAD_HALF_LIFE_SECONDS = 0.25
LATENCY_DECAY_SECONDS = 2.0
INITIAL_LATENCY_SECONDS = 0.005
MIN_LATENCY_SECONDS = 0.0005
FAILURE_FACTOR = 10.0
FAILURES_TO_AVOID = 3
AVOID_SECONDS = 0.5
MAX_AVOID_SECONDS = 10.0
FREE_USE = 0.9
FAR_TIER = 2
NEAR_ATTEMPTS = 2


class ServerView:
    """What an entry knows of one backend server's load.

    Attributes:
        record: Newest ServerRecord.
        in_flight: This entry's own requests that have no answer yet.
        load: Newest Load reported by the server's node, or None.
        load_at: Monotonic time of that report, in seconds.
        latency: Moving average of the answers' latency, in seconds.
        latency_at: Monotonic time of the last answer, in seconds.
        failures: Failures in a row.
        avoid_until: Monotonic time until which it gets no requests.
        sent_at: Monotonic times at which the requests in flight were sent.
    """

    __slots__ = (
        "avoid_until",
        "failures",
        "in_flight",
        "latency",
        "latency_at",
        "load",
        "load_at",
        "own_at_report",
        "record",
        "sent_at",
    )

    def __init__(self, record):
        self.record = record
        self.in_flight = 0
        self.load = None
        self.load_at = 0.0
        self.own_at_report = 0
        self.latency = INITIAL_LATENCY_SECONDS
        self.latency_at = 0.0
        self.failures = 0
        self.avoid_until = 0.0
        self.sent_at = collections.deque()

    @property
    def limit(self):
        """Most requests at once that the server is thought to bear."""
        if self.load is not None:
            return max(self.load.limit, 1)
        if self.record.state is ServerState.COLD:
            return 1
        return max(self.record.slots, 1)

    def estimate_use(self, now):
        """Return the requests at the server, in parts of its limit.

        Requests of other entries are taken from the newest report, which loses
        half of its weight in each LOAD_HALF_LIFE_SECONDS.
        """
        others = 0.0
        if self.load is not None:
            reported = self.load.in_flight + self.load.queued - self.own_at_report
            age = now - self.load_at
            others = max(reported, 0) * 0.5 ** (age / LOAD_HALF_LIFE_SECONDS)
        return (self.in_flight + others) / self.limit

    def estimate_latency(self, now):
        """Return the latency to expect, in seconds.

        Requests without an answer tell before any answer does that a server has
        become slow: the latency is at least the age of the older half of them.
        """
        trust = 0.5 ** ((now - self.latency_at) / LATENCY_DECAY_SECONDS)
        latency = self.latency * trust
        waiting = len(self.sent_at)
        if waiting:
            latency = max(latency, now - self.sent_at[waiting // 2])
        return latency + MIN_LATENCY_SECONDS

    def record_sent(self, now):
        """Count a request that was sent."""
        self.in_flight += 1
        self.sent_at.append(now)

    def record_load(self, load, now):
        """Take over a report of load."""
        self.load = load
        self.load_at = now
        self.own_at_report = self.in_flight

    def record_answer(self, seconds, now):
        """Count a good answer and its latency; a peak counts at once."""
        self._forget(now - seconds)
        self.failures = 0
        self._learn(seconds, now)

    def record_refusal(self, sent_at):
        """Count a refusal that did not run, of a request sent at a time."""
        self._forget(sent_at)

    def record_failure(self, seconds, now):
        """Count a failure as a slow answer, so that failing fast attracts nothing."""
        self._forget(now - seconds)
        self.failures += 1
        slow = max(seconds, self.latency, INITIAL_LATENCY_SECONDS)
        self._learn(min(slow * FAILURE_FACTOR, 10.0), now)
        if self.failures >= FAILURES_TO_AVOID:
            self.avoid(now)

    def avoid(self, now):
        """Give the server no requests for a time that grows with its failures."""
        power = min(max(self.failures - FAILURES_TO_AVOID, 0), 8)
        self.avoid_until = now + min(AVOID_SECONDS * 2**power, MAX_AVOID_SECONDS)

    def _forget(self, sent_at):
        """Take one request out of those in flight."""
        self.in_flight = max(self.in_flight - 1, 0)
        if not self.sent_at:
            return
        nearest = min(self.sent_at, key=lambda moment: abs(moment - sent_at))
        self.sent_at.remove(nearest)

    def _learn(self, seconds, now):
        age = now - self.latency_at
        self.latency_at = now
        if seconds > self.latency:
            weight = 0.5
        else:
            weight = max(1.0 - math.exp(-age / LATENCY_DECAY_SECONDS), 0.1)
        self.latency += weight * (seconds - self.latency)


class Policy(abc.ABC):
    """Chooses among servers that may take a request."""

    @abc.abstractmethod
    def choose(self, views, now):
        """Return one of the views.

        Args:
            views: Sequence of ServerViews, not empty.
            now: Monotonic time in seconds.
        """


class LeastCostPolicy(Policy):
    """Takes the cheapest of a few servers drawn at random.

    The cost is the expected use of the server times its latency. It follows the
    peak-sensitive moving average of Finagle and the few choices of Prequal, with
    this entry's own requests in flight as the signal that is never stale.
    """

    def __init__(self, rng, choices=CHOICES):
        self._rng = rng
        self._choices = choices

    def choose(self, views, now):
        """Return the view of least cost among a few."""
        if len(views) > self._choices:
            views = self._rng.sample(views, self._choices)
        return min(views, key=lambda view: self._compute_cost(view, now))

    def _compute_cost(self, view, now):
        use = view.estimate_use(now) + 1.0 / view.limit
        return use * view.estimate_latency(now)


class RandomPolicy(Policy):
    """Baseline: any server, all alike."""

    def __init__(self, rng):
        self._rng = rng

    def choose(self, views, now):
        """Return any view."""
        return self._rng.choice(views)


class RoundRobinPolicy(Policy):
    """Baseline: each server in turn."""

    def __init__(self, rng):
        self._next = rng.randrange(1000)

    def choose(self, views, now):
        """Return the next view."""
        self._next += 1
        ordered = sorted(views, key=lambda view: view.record.name)
        return ordered[self._next % len(ordered)]


class LeastOutstandingPolicy(Policy):
    """Baseline: the server with the fewest of this entry's requests in flight."""

    def __init__(self, rng):
        self._rng = rng

    def choose(self, views, now):
        """Return the view with the fewest own requests."""
        return min(views, key=lambda view: (view.in_flight, self._rng.random()))


class TwoChoicesPolicy(Policy):
    """Baseline: the less loaded of two at random, by reports that may be stale."""

    def __init__(self, rng):
        self._rng = rng

    def choose(self, views, now):
        """Return the view with the lower reported load."""
        if len(views) > 2:
            views = self._rng.sample(views, 2)
        return min(views, key=self._read_report)

    def _read_report(self, view):
        if view.load is None:
            return 0.0
        return (view.load.in_flight + view.load.queued) / view.limit


POLICIES = {
    "least-cost": LeastCostPolicy,
    "random": RandomPolicy,
    "round-robin": RoundRobinPolicy,
    "least-outstanding": LeastOutstandingPolicy,
    "two-choices": TwoChoicesPolicy,
}


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

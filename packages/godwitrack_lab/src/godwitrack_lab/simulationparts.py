"""Parts of the simulation: servers, entries, flows of requests and exclusions."""

import collections

from hdrh.histogram import HdrHistogram

from godwitrack.kernel import Service
from godwitrack.load import Load
from godwitrack.plans import RequestClass
from godwitrack_node.admission import Admission
from godwitrack_node.overcapacity import OverCapacityCache
from godwitrack_node.retries import RetryBudget, RetryRule
from godwitrack_node.routing import Exclusions

COLD_FACTOR = 6.0
OVERLOAD_EXPONENT = 1.0
SERVICE_TIME_JITTER = 0.2
MAX_LATENCY_US = 60_000_000


class FixedCap:
    """A constant cap that replaces the WarmupCap of servers under baseline policies.

    Attributes:
        cap: Concurrency limit in requests.
    """

    def __init__(self, slots):
        self.cap = slots

    def announce(self, is_cold, slots, now):
        """Ignore an announcement."""

    def record(self, kind, seconds, is_failure, now):
        """Ignore a completed request."""

    def is_late(self, kind, seconds):
        """Return False, since a fixed cap doesn't react to late requests."""
        return False


class SimulatedServer:
    """A fake backend server behind a real Admission.

    Attributes:
        spec: ServerSpec.
        admission: Admission.
        factor: Multiplier of the service time.
        cold: Whether the server is in a cold start.
        cold_slots: Concurrency limit while cold, in requests.
        failing: Whether every request fails at once.
        is_silent: Whether all answers are lost.
        cold_overloads: Requests started above the concurrency limit while cold.
        started: Requests started.
        last_started: Time at which the latest request started, in seconds.
        active: Requests in progress.
    """

    def __init__(self, spec, clock, rng, cold_slots, is_baseline):
        self.spec = spec
        self.admission = Admission(clock, spec.slots, cold_slots)
        if is_baseline:
            self.admission.warmup = FixedCap(spec.slots)
        self.factor = 1.0
        self.cold = False
        self.cold_slots = cold_slots
        self.failing = False
        self.is_silent = False
        self.cold_overloads = 0
        self.started = 0
        self.last_started = 0.0
        self.active = 0
        self._rng = rng

    def start_request(self, now):
        """Start one request and return its service time in seconds."""
        if self.cold and self.active >= self.cold_slots:
            self.cold_overloads += 1
        self.active += 1
        self.started += 1
        self.last_started = now
        if self.failing:
            return 0.0005
        seconds = self.spec.seconds * self.factor
        if self.cold:
            seconds *= COLD_FACTOR
        overload = max(self.active / self.spec.slots, 1.0)
        return (
            seconds
            * overload**OVERLOAD_EXPONENT
            * self._rng.uniform(1 - SERVICE_TIME_JITTER, 1 + SERVICE_TIME_JITTER)
        )

    def read_load(self):
        """Return the Load that an answer would report now."""
        admission = self.admission
        return Load(admission.in_flight, admission.queued, admission.limit, 1)


class SimulatedEntry:
    """An entry with a real Router and RetryBudget.

    Attributes:
        location: Location.
        router: Router.
        budget: RetryBudget.
        over_capacity_cache: OverCapacityCache.
    """

    def __init__(self, location, router, clock):
        self.location = location
        self.router = router
        self.over_capacity_cache = OverCapacityCache(clock)
        self.budget = RetryBudget()


class SimulatedRequest:
    """A caller's request and the state of its attempts.

    Attributes:
        flow: Flow to which the request belongs.
        entry: SimulatedEntry that received the request.
        arrived: Time of arrival in seconds.
        rule: RetryRule.
        tried: Names of the servers tried so far.
        uncertain: Whether an attempt may have run although its answer was lost.
    """

    __slots__ = ("arrived", "entry", "flow", "rule", "tried", "uncertain")

    def __init__(self, flow, entry, arrived):
        self.flow = flow
        self.entry = entry
        self.arrived = arrived
        self.rule = RetryRule(entry.budget, flow.idempotent, flow.max_retries)
        self.tried = set()
        self.uncertain = False


class Flow:
    """The requests of one customer and request class, with their results.

    Attributes:
        customer: Name of the customer.
        service: Name of the called service.
        request_class: RequestClass.
        rate: Arrival rate in requests per second.
        idempotent: Whether a request may run more than once.
        max_retries: Maximum number of retries of a request.
        weight: Capacity of the customer's plan, in requests per second.
        regions: Frozenset of the regions that may serve the requests.
        factor: Multiplier of the rate.
        histogram: Latencies of successful requests, in microseconds.
        good: Number of successful requests.
        sent: Number of requests sent by callers.
        failed: Counter of failed requests by the value of their ErrorKind, or
            "backend failed".
    """

    def __init__(self, data, regions):
        self.customer = data["customer"]
        self.service = data["service"]
        self.request_class = RequestClass(data.get("class", "interactive"))
        self.rate = data["rate"]
        self.idempotent = data.get("idempotent", True)
        self.max_retries = data.get("max_retries", 2)
        self.weight = data.get("plan", 1_000_000)
        self.regions = frozenset(data.get("regions", regions))
        self.factor = 1.0
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.good = 0
        self.sent = 0
        self.failed = collections.Counter()

    def get_percentile_ms(self, percentile):
        """Return a latency percentile of successful requests, in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1000


class SimulatedExclusions(Service):
    """Service "exclusions" whose content the simulation sets directly."""

    name = "exclusions"

    def __init__(self):
        self.version = 0
        self._exclusions = Exclusions()

    def read(self):
        """Return the current Exclusions."""
        return self._exclusions

    def set(self, data_centres, servers):
        """Replace the exclusions."""
        self.version += 1
        self._exclusions = Exclusions(frozenset(data_centres), frozenset(servers))

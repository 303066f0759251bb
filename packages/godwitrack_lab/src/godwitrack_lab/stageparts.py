"""What stands on the stage: servers, entries, flows of requests, exclusions."""

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
OVERLOAD_POWER = 1.0
JITTER = 0.2
MAX_LATENCY_US = 60_000_000


class FixedCap:
    """Stands in for the warm-up cap in baselines: all slots, always.

    Attributes:
        cap: Most requests at once.
    """

    def __init__(self, slots):
        self.cap = slots

    def announce(self, is_cold, slots, now):
        """Take no notice."""

    def record(self, kind, seconds, is_failure, now):
        """Learn nothing."""

    def is_late(self, kind, seconds):
        """Find nothing late."""
        return False


class StageServer:
    """A fake backend server behind a real Admission.

    Attributes:
        place: ServerPlace.
        admission: Admission.
        factor: Factor on the service time.
        cold: Whether it is in a cold start.
        cold_slots: Most requests at once that it bears while cold.
        failing: Whether it fails at once.
        is_silent: Whether its answers get lost.
        cold_overloads: Requests started while cold and already full.
        started: Requests started.
        last_started: Time of the newest start.
    """

    def __init__(self, place, clock, rng, cold_slots, is_baseline):
        self.place = place
        self.admission = Admission(clock, place.slots, cold_slots)
        if is_baseline:
            self.admission.warmup = FixedCap(place.slots)
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

    def begin(self, now):
        """Start one request; returns the seconds that it takes."""
        if self.cold and self.active >= self.cold_slots:
            self.cold_overloads += 1
        self.active += 1
        self.started += 1
        self.last_started = now
        if self.failing:
            return 0.0005
        seconds = self.place.seconds * self.factor
        if self.cold:
            seconds *= COLD_FACTOR
        crowd = max(self.active / self.place.slots, 1.0)
        return (
            seconds * crowd**OVERLOAD_POWER * self._rng.uniform(1 - JITTER, 1 + JITTER)
        )

    def read_load(self):
        """Return the Load that an answer carries."""
        admission = self.admission
        return Load(admission.in_flight, admission.queued, admission.limit, 1)


class StageEntry:
    """An entry with a real Router and RetryBudget.

    Attributes:
        location: Location.
        router: Router.
        budget: RetryBudget.
        over_capacity: OverCapacityCache.
    """

    def __init__(self, location, router, clock):
        self.location = location
        self.router = router
        self.over_capacity = OverCapacityCache(clock)
        self.budget = RetryBudget()


class Job:
    """One caller's request.

    Attributes:
        flow: Flow that it belongs to.
        entry: StageEntry that received it.
        arrived: Time of its arrival.
        rule: RetryRule.
        tried: Names of servers tried.
        uncertain: Whether an attempt may have run without an answer.
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
    """Requests of one customer and class.

    Attributes:
        customer: Name of the customer.
        service: Service that is called.
        request_class: RequestClass.
        rate: Requests a second.
        idempotent: Whether a request may run more than once.
        max_retries: Most repeats.
        weight: Capacity that the customer buys, in requests a second.
        regions: Regions that may serve it, a frozenset.
        factor: Factor on the rate.
        histogram: Latencies of good answers in microseconds.
        good: Good answers.
        sent: Requests.
        refused: Counter of ErrorKinds.
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
        self.refused = collections.Counter()

    def find_percentile(self, part):
        """Return a percentile of the good answers' latency, in ms."""
        return self.histogram.get_value_at_percentile(part) / 1000


class StageExclusions(Service):
    """Exclusions set by the scenario."""

    name = "exclusions"

    def __init__(self):
        self.version = 0
        self._exclusions = Exclusions()

    def read(self):
        """Return the Exclusions in force."""
        return self._exclusions

    def set(self, data_centres, servers):
        """Put other exclusions in force."""
        self.version += 1
        self._exclusions = Exclusions(frozenset(data_centres), frozenset(servers))

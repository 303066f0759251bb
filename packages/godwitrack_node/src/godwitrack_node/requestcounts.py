"""Counts and latency histograms of a hosted node's requests.

Each request updates plain numbers. The metrics library is imported on the first
scrape, since it takes more memory than all other imports of a node together.
"""

import bisect
import threading

from godwitrack.feed import FeedTable, get_era
from godwitrack_node.activerequests import ActiveRequests
from godwitrack_node.answer import HttpAnswer
from godwitrack_node.hostports import PortHandler

MAX_ROUTE_LABELS = 200
OTHER_ROUTE = "other"
NO_ROUTE = "none"
LATENCY_BOUNDS_SECONDS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0)

# Help text of each metric, with its labels; docs/OPERATIONS.md lists them too.
COUNTERS = {
    "godwitrack_requests_total": "Requests by route and status",
    "godwitrack_request_seconds_bucket": "Answered within le seconds, by route",
    "godwitrack_request_seconds_sum": "Seconds until the answer, by route",
    "godwitrack_request_seconds_count": "Answers, by route",
    "godwitrack_errors_total": "Error answers of the node by kind",
    "godwitrack_retries_total": "Attempts after the first of a request",
    "godwitrack_bad_input_total": "Input that was not well formed, by port",
    "godwitrack_callers_gone_total": "Callers that left before their answer",
    "godwitrack_broken_answers_total": "Answers that the node could not complete",
}
GAUGES = {
    "godwitrack_state": "State of the node, by name",
}


class RouteLatency:
    """Latency histogram of one route.

    Attributes:
        buckets: Number of answers by the lowest bound that they met; the last element
            counts those above all bounds.
        seconds: Sum of the answers' latencies in seconds.
    """

    __slots__ = ("buckets", "seconds")

    def __init__(self):
        self.buckets = [0] * (len(LATENCY_BOUNDS_SECONDS) + 1)
        self.seconds = 0.0

    def add(self, seconds):
        """Count one answer by its latency in seconds."""
        self.buckets[bisect.bisect_left(LATENCY_BOUNDS_SECONDS, seconds)] += 1
        self.seconds += seconds


class RequestCounts(ActiveRequests):
    """Counts finished requests by route, status and error kind."""

    name = "metrics"

    def __init__(self, clock):
        super().__init__()
        self._clock = clock
        self._lock = threading.Lock()
        self._latencies = {}
        self._statuses = {}
        self._errors = {}
        self._bad_input = {}
        self._retries = 0
        self._disconnected = 0
        self._broken_answers = 0
        self._kernel = None

    def connect(self, kernel):
        """Keep the kernel, whose services report the node's state to each scrape."""
        self._kernel = kernel

    def record_request(self, request):
        """Count a finished request."""
        seconds = self._clock.read_monotonic() - request.received_at
        with self._lock:
            route = self._label_route(request.request_class)
            self._latencies[route].add(seconds)
            _increment(self._statuses, (route, request.status))
            if request.kind is not None:
                _increment(self._errors, request.kind.value)
            self._retries += max(request.attempts - 1, 0)

    def count_bad_input(self, port):
        """Count a malformed request or message.

        Args:
            port: "http" or "link".
        """
        with self._lock:
            _increment(self._bad_input, port)

    def count_caller_disconnected(self):
        """Count a caller that disconnected before its answer was complete."""
        with self._lock:
            self._disconnected += 1

    def count_broken_answer(self):
        """Count an answer of which only a part could be sent."""
        with self._lock:
            self._broken_answers += 1

    def render(self):
        """Return the body and the headers of the answer to a scrape."""
        from aioprometheus import Counter, Gauge, Registry, render

        registry = Registry()
        counters = {
            name: Counter(name, text, registry=registry)
            for name, text in COUNTERS.items()
        }
        gauges = {
            name: Gauge(name, text, registry=registry) for name, text in GAUGES.items()
        }
        with self._lock:
            self._set_counters(counters)
        for name, value in self._read_state().items():
            gauges["godwitrack_state"].set({"name": name}, value)
        return render(registry, [])

    def _set_counters(self, counters):
        for route, latency in self._latencies.items():
            self._set_latency(counters, route, latency)
        for (route, status), count in self._statuses.items():
            labels = {"route": route, "status": str(status)}
            counters["godwitrack_requests_total"].set(labels, count)
        for kind, count in self._errors.items():
            counters["godwitrack_errors_total"].set({"kind": kind}, count)
        for port, count in self._bad_input.items():
            counters["godwitrack_bad_input_total"].set({"port": port}, count)
        counters["godwitrack_retries_total"].set({}, self._retries)
        counters["godwitrack_callers_gone_total"].set({}, self._disconnected)
        counters["godwitrack_broken_answers_total"].set({}, self._broken_answers)

    def _set_latency(self, counters, route, latency):
        total = 0
        bounds = [str(bound) for bound in LATENCY_BOUNDS_SECONDS] + ["+Inf"]
        for bound, count in zip(bounds, latency.buckets, strict=True):
            total += count
            labels = {"route": route, "le": bound}
            counters["godwitrack_request_seconds_bucket"].set(labels, total)
        labels = {"route": route}
        counters["godwitrack_request_seconds_sum"].set(labels, latency.seconds)
        counters["godwitrack_request_seconds_count"].set(labels, total)

    def _read_state(self):
        guard = self._kernel.find("guard")
        routes = self._kernel.find("configurations")
        registration = self._kernel.find("registration")
        follower = self._kernel.find("membership").get_follower(FeedTable.OPERATORS)
        return {
            "in_flight": guard.admission.in_flight,
            "queued": guard.admission.queued,
            "limit": guard.admission.limit,
            "rate_limited": int(guard.admission.rate_limit is not None),
            "held_answer_bytes": guard.held_answer_bytes,
            "ledger_entries": len(guard.ledger),
            "revision": routes.table.revision if routes.is_ready else 0,
            "routes_age_ms": follower.replica.age_ms,
            "routes_era": get_era(follower.replica.version),
            "patches_applied": follower.patch_count,
            "patches_refused": follower.refused_patch_count,
            "members": len(self._kernel.find("member-table").list_members()),
            "links_opened": self._kernel.find("link-pool").opened,
            "serving": int(registration.is_serving),
            "suspect": int(registration.is_blocked),
            "active": self.active,
        }

    def _label_route(self, name):
        """Return the label of a route; OTHER_ROUTE once MAX_ROUTE_LABELS are in use."""
        label = name or NO_ROUTE
        if label not in self._latencies:
            if len(self._latencies) >= MAX_ROUTE_LABELS:
                label = OTHER_ROUTE
            self._latencies.setdefault(label, RouteLatency())
        return label


class MetricsHandler(PortHandler):
    """Serves the metrics of a hosted node."""

    def __init__(self):
        self._counts = None

    def connect(self, kernel):
        """Find the collaborators."""
        self._counts = kernel.find("metrics")

    def answer(self, method, target, body):
        """Return the metrics as text, whatever the request is."""
        text, headers = self._counts.render()
        return HttpAnswer(200, headers.items(), text)


def _increment(counts, key):
    counts[key] = counts.get(key, 0) + 1

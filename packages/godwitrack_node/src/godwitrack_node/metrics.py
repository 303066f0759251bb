"""Metrics in the Prometheus format, with latency by customer and request class."""

import collections
import threading

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from godwitrack_node.activerequests import ActiveRequests

MAX_CUSTOMER_LABELS = 200
OTHER_CUSTOMER_LABEL = "other"
FLUSH_SECONDS = 1.0
MAX_PENDING_SAMPLES = 100_000
LATENCY_BUCKETS_SECONDS = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)


class Sample:
    """Measurements of one finished request.

    Attributes:
        customer: Name of the customer, or "".
        request_class: Name of the request class, or "".
        kind: ErrorKind, or None.
        status: HTTP status of the answer.
        attempts: Number of attempts made.
        seconds: Seconds from the request's arrival to the end of its answer.
    """

    __slots__ = (
        "attempts",
        "customer",
        "kind",
        "request_class",
        "seconds",
        "status",
    )

    def __init__(self, request, seconds):
        self.customer = request.customer
        self.request_class = request.request_class
        self.kind = request.kind
        self.status = request.status
        self.attempts = request.attempts
        self.seconds = seconds


class Metrics(ActiveRequests):
    """Counts requests and renders the metrics.

    The request path only appends a Sample to a queue, from which a periodic job
    updates the collectors.
    """

    name = "metrics"

    def __init__(self, clock, budget, lease):
        super().__init__()
        self._clock = clock
        self._budget = budget
        self._lease = lease
        self._pending = collections.deque(maxlen=MAX_PENDING_SAMPLES)
        self._lock = threading.Lock()
        self._customers = set()
        self._kernel = None
        self._registry = Registry()
        self._create_collectors()

    def connect(self, kernel):
        """Keep the kernel, for the gauges, and schedule the periodic flush."""
        self._kernel = kernel
        kernel.find("scheduler").add(FLUSH_SECONDS, self.flush)

    def record_request(self, request):
        """Enqueue the sample of a request that ended."""
        seconds = self._clock.read_monotonic() - request.received_at
        self._pending.append(Sample(request, seconds))

    def count_bad_input(self, port):
        """Count input that was not a well-formed request or message.

        Args:
            port: "http" or "link".
        """
        self._bad_input.inc({"port": port})

    def count_broken_answer(self):
        """Count an answer of which only a part could be sent."""
        self._broken_answers.inc({})

    def count_caller_disconnected(self):
        """Count a caller that disconnected before its answer was complete."""
        self._disconnected_callers.inc({})

    def flush(self):
        """Update the collectors from the queued samples."""
        with self._lock:
            while self._pending:
                self._record(self._pending.popleft())

    def render(self, accepts):
        """Return the body and headers of a scrape.

        Args:
            accepts: List of the values of the Accept header.
        """
        self.flush()
        self._set_gauges()
        return render(self._registry, accepts)

    def _create_collectors(self):
        self._latency = Histogram(
            "godwitrack_request_seconds",
            "Time to answer a caller, by customer and class",
            buckets=list(LATENCY_BUCKETS_SECONDS),
            registry=self._registry,
        )
        self._requests = Counter(
            "godwitrack_requests_total",
            "Requests by customer, class and status",
            registry=self._registry,
        )
        self._errors = Counter(
            "godwitrack_errors_total",
            "Error answers by kind",
            registry=self._registry,
        )
        self._retries = Counter(
            "godwitrack_retries_total",
            "Attempts after the first of a request",
            registry=self._registry,
        )
        self._bad_input = Counter(
            "godwitrack_bad_input_total",
            "Input that was not well formed, by port",
            registry=self._registry,
        )
        self._broken_answers = Counter(
            "godwitrack_broken_answers_total",
            "Answers that the node could not complete",
            registry=self._registry,
        )
        self._disconnected_callers = Counter(
            "godwitrack_callers_gone_total",
            "Callers that left before their answer",
            registry=self._registry,
        )
        self._control_bytes = Gauge(
            "godwitrack_control_bytes",
            "Control bytes by direction and scope",
            registry=self._registry,
        )
        self._state = Gauge(
            "godwitrack_state",
            "State of the node, by name",
            registry=self._registry,
        )

    def _record(self, sample):
        customer = self._label_customer(sample.customer)
        request_class = sample.request_class or "none"
        labels = {"customer": customer, "class": request_class}
        self._latency.observe(labels, sample.seconds)
        self._requests.inc({**labels, "status": str(sample.status)})
        if sample.kind is not None:
            self._errors.inc({"kind": sample.kind.value})
        if sample.attempts > 1:
            self._retries.add({}, sample.attempts - 1)

    def _label_customer(self, customer):
        """Return the value of the customer label for a customer.

        Once MAX_CUSTOMER_LABELS values are in use, all further customers share
        OTHER_CUSTOMER_LABEL, which bounds the number of time series.
        """
        name = customer or "unknown"
        if name in self._customers:
            return name
        if len(self._customers) >= MAX_CUSTOMER_LABELS:
            return OTHER_CUSTOMER_LABEL
        self._customers.add(name)
        return name

    def _set_gauges(self):
        for direction, counts in (
            ("sent", self._budget.sent),
            ("received", self._budget.received),
        ):
            for scope, count in counts.items():
                self._control_bytes.set({"direction": direction, "scope": scope}, count)
        for name, value in self._read_state().items():
            self._state.set({"name": name}, value)

    def _read_state(self):
        guard = self._kernel.find("guard")
        configurations = self._kernel.find("configurations")
        entry = self._kernel.find("entry")
        return {
            "in_flight": guard.admission.in_flight,
            "queued": guard.admission.queued,
            "limit": guard.admission.limit,
            "ledger_entries": len(guard.ledger),
            "revision": configurations.current.revision,
            "store_reads": configurations.store_reads,
            "store_failures": configurations.store_failures,
            "servers_known": len(self._kernel.find("directory").list_servers()),
            "peers": len(self._kernel.find("membership").peers),
            "regional_rate": self._kernel.find("regional-pacer").rate,
            "regional_body_bytes": self._kernel.find("regional-pacer").sent_bytes,
            "retry_balance": entry.retry_budget.balance,
            "lease_lapses": self._lease.lapse_count,
            "links_opened": self._kernel.find("link-pool").opened,
        }

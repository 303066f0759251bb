"""Admission control: decides which requests start now, wait or are refused."""

import math
import threading

from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack_node.admissionrequest import CustomerUsage
from godwitrack_node.warmup import WarmupCap

# Most waiting requests for each slot of the warm-up cap; however small the cap is,
# MIN_QUEUE_LENGTH requests may wait.
QUEUED_PER_SLOT = 2
# Share of the slots that are kept free for other customers or the most urgent class.
RESERVE_SHARE = 0.15
# With a smaller cap no slots are reserved.
MIN_CAP_WITH_RESERVE = 3
# Weight of a new sample in the moving average of the service time.
SERVICE_WEIGHT = 0.1
INITIAL_SERVICE_SECONDS = 0.005
# A customer, or the most urgent class, counts as active for this long after a request.
ACTIVE_SECONDS = 1.0
# A customer may exceed its rate by this factor.
CAPACITY_SLACK = 1.25
# Time for which a customer's unused rate is saved up as a burst.
BURST_SECONDS = 0.25
MIN_BURST_REQUESTS = 4.0
# Running requests that must be late before no further request is started.
LATE_REQUESTS_TO_PAUSE = 2
MIN_QUEUE_LENGTH = 2
MAX_WAIT_SECONDS = 0.1


class Admission:
    """Starts, queues or refuses the requests for one backend server.

    All methods may be called from any thread.

    Attributes:
        warmup: WarmupCap, which limits the requests that run at once.
    """

    def __init__(self, clock, slots, cold_slots):
        self._clock = clock
        self._lock = threading.Lock()
        self._queue = []
        self._usage_by_customer = {}
        self._running = set()
        self._service_seconds = INITIAL_SERVICE_SECONDS
        self._is_draining = False
        self._next_cleanup_at = 0.0
        self._last_urgent_at = -ACTIVE_SECONDS
        self.warmup = WarmupCap(cold_slots, slots)

    @property
    def in_flight(self):
        """Number of requests that run at the backend server."""
        return len(self._running)

    @property
    def queued(self):
        """Number of requests that wait in the queue."""
        return len(self._queue)

    @property
    def limit(self):
        """Maximum number of requests that may run at once now."""
        return self.warmup.cap

    def announce(self, is_cold, slots):
        """Apply the state that the backend server announced.

        Args:
            is_cold: Whether it says that it is cold.
            slots: Most requests that it runs at once when warm.
        """
        with self._lock:
            self.warmup.announce(is_cold, slots, self._clock.read_monotonic())

    def drain(self):
        """Refuse all new and all waiting requests as not run."""
        with self._lock:
            self._is_draining = True
            waiting, self._queue = self._queue, []
        for request in waiting:
            self._refuse(request, ErrorKind.STOPPING)

    def resume(self):
        """Accept new requests again after a drain."""
        with self._lock:
            self._is_draining = False

    def offer(self, request):
        """Start, queue or refuse a new request.

        When this returns, the request has started or waits in the queue.

        Raises:
            RequestError: The request is refused and did not run.
        """
        now = self._clock.read_monotonic()
        with self._lock:
            self._check(request, now)
            usage = self._get_usage(request, now)
            self._consume_token(usage, request.rate, now)
            if request.rank == 0:
                self._last_urgent_at = now
            if not self._queue and not self._is_paused(now):
                if self._may_start(request, usage, now):
                    self._start(request, usage, now)
                    return
            self._check_wait(request, now)
            request.wait_until = min(request.deadline, now + MAX_WAIT_SECONDS)
            request.prepare_wait()
            self._queue.append(request)
            # A slot may be free that the requests already waiting may not use.
            started = self._start_waiting(now)
            evicted = self._trim_queue()
        self._notify_decided(started, evicted, request)
        if request.refusal is not None:
            raise request.refusal

    def cancel(self, request):
        """Remove a waiting request from the queue.

        Returns:
            Whether it was still waiting; if not, it has been decided meanwhile.
        """
        with self._lock:
            if request in self._queue:
                self._queue.remove(request)
                return True
            return False

    def release(self, request, is_failure):
        """Free the slot of a request that has ended, and start waiting requests.

        Args:
            request: AdmissionRequest that was granted.
            is_failure: Whether the backend server failed or gave no answer.
        """
        now = self._clock.read_monotonic()
        with self._lock:
            seconds = request.compute_server_seconds(now)
            self._running.discard(request)
            usage = self._usage_by_customer.get(request.customer)
            if usage is not None:
                usage.update_in_flight(-1, now)
            self.warmup.record(request.kind, seconds, is_failure, now)
            change = seconds - self._service_seconds
            self._service_seconds += SERVICE_WEIGHT * change
            expired = self._remove_expired(now)
            started = self._start_waiting(now)
            evicted = self._trim_queue()
            self._remove_idle_customers(now)
        for item in expired:
            self._refuse(item, _choose_expiry_kind(item, now))
        self._notify_decided(started, evicted)

    def acquire(self, request):
        """Offer a request and block until it is granted.

        Raises:
            RequestError: The request is refused and did not run.
        """
        self.offer(request)
        if request.granted_at is not None:
            return
        while not request.is_decided:
            now = self._clock.read_monotonic()
            remaining = request.wait_until - now
            request.wait(max(remaining, 0.0))
            if remaining <= 0 and self.cancel(request):
                raise RequestError(_choose_expiry_kind(request, now))
        if request.refusal is not None:
            raise request.refusal

    def begin_nested(self, request):
        """Record that a running request has called another service."""
        with self._lock:
            request.begin_nested(self._clock.read_monotonic())

    def end_nested(self, request):
        """Record that a call to another service was answered."""
        with self._lock:
            request.end_nested(self._clock.read_monotonic())

    def _check(self, request, now):
        """Refuse a request while draining or after its deadline."""
        if self._is_draining:
            raise RequestError(ErrorKind.STOPPING)
        if request.deadline <= now:
            raise RequestError(ErrorKind.DEADLINE_EXPIRED)

    def _is_paused(self, now):
        """Return whether so many running requests are late that the server may be cold.

        No request starts meanwhile; the answers of the late ones decide whether the
        warm-up cap is lowered.
        """
        late = sum(
            self.warmup.is_late(request.kind, request.compute_server_seconds(now))
            for request in self._running
        )
        return late >= LATE_REQUESTS_TO_PAUSE

    def _get_usage(self, request, now):
        usage = self._usage_by_customer.get(request.customer)
        if usage is None:
            burst = _compute_burst(request.rate)
            usage = self._usage_by_customer[request.customer] = CustomerUsage(
                request.weight, burst, now
            )
        usage.weight = request.weight
        usage.last_seen = now
        return usage

    def _consume_token(self, usage, rate, now):
        """Take a token of a customer's rate limit, or refuse if there is none."""
        filled = usage.tokens + (now - usage.refilled_at) * rate * CAPACITY_SLACK
        usage.tokens = min(filled, _compute_burst(rate))
        usage.refilled_at = now
        if usage.tokens < 1.0:
            raise RequestError(ErrorKind.OVER_CAPACITY)
        usage.tokens -= 1.0

    def _may_start(self, request, usage, now):
        """Return whether a customer's request may use one more slot.

        A customer whose average number of used slots is below its share may use every
        free slot. Above its share it may use free slots except for a small reserve,
        so that other customers find a slot at once. While the most urgent class is
        active, the other classes leave it the same reserve.
        """
        free = self.warmup.cap - len(self._running)
        if free <= 0:
            return False
        if request.rank > 0 and now - self._last_urgent_at < ACTIVE_SECONDS:
            return free > self._compute_full_reserve()
        reserve = self._compute_customer_reserve(usage)
        return usage.compute_average(now) < self._compute_share(usage) or free > reserve

    def _compute_share(self, usage):
        """Return a customer's fair share of the slots, by weight among active ones."""
        now = usage.last_seen
        total = sum(
            item.weight
            for item in self._usage_by_customer.values()
            if item.in_flight or now - item.last_seen < ACTIVE_SECONDS
        )
        return max(self.warmup.cap * usage.weight / max(total, usage.weight), 1.0)

    def _compute_customer_reserve(self, usage):
        """Return the slots that a customer above its share leaves to others."""
        others = any(item is not usage for item in self._usage_by_customer.values())
        return self._compute_full_reserve() if others else 0

    def _compute_full_reserve(self):
        """Return the slots that are reserved under the current cap."""
        if self.warmup.cap < MIN_CAP_WITH_RESERVE:
            return 0
        return math.ceil(self.warmup.cap * RESERVE_SHARE)

    def _start(self, request, usage, now):
        request.granted_at = now
        self._running.add(request)
        usage.update_in_flight(1, now)

    def _check_wait(self, request, now):
        """Refuse a request that would wait too long, as other servers may be free."""
        rounds = (len(self._queue) + 1) / max(self.warmup.cap, 1)
        wait = rounds * self._service_seconds
        if wait > min(request.deadline - now, MAX_WAIT_SECONDS):
            raise RequestError(ErrorKind.SERVER_BUSY, "the queue is too long")

    def _trim_queue(self):
        """Remove and return the requests that exceed the queue's maximum length."""
        max_length = max(self.warmup.cap * QUEUED_PER_SLOT, MIN_QUEUE_LENGTH)
        evicted = []
        while len(self._queue) > max_length:
            worst = max(self._queue, key=self._compute_eviction_key)
            self._queue.remove(worst)
            evicted.append(worst)
        return evicted

    def _notify_decided(self, started, evicted, offered=None):
        """Refuse the evicted requests and notify the owners of all decided ones.

        Args:
            started: AdmissionRequests that were granted.
            evicted: AdmissionRequests to refuse.
            offered: AdmissionRequest whose owner gets the decision from `offer`.
        """
        for item in evicted:
            item.refusal = RequestError(ErrorKind.SERVER_BUSY)
        for item in (*started, *evicted):
            if item is not offered:
                item.notify_decision()

    def _compute_eviction_key(self, request):
        """Return the sort key by which waiting requests are evicted, highest first."""
        usage = self._usage_by_customer[request.customer]
        waiting = sum(item.customer == request.customer for item in self._queue)
        return (
            request.rank,
            (usage.in_flight + waiting) / usage.weight,
            request.deadline,
        )

    def _remove_expired(self, now):
        expired = [request for request in self._queue if request.wait_until <= now]
        for request in expired:
            self._queue.remove(request)
        return expired

    def _start_waiting(self, now):
        started = []
        if not self._queue or self._is_paused(now):
            return started
        while self._queue and len(self._running) < self.warmup.cap:
            startable = [
                item
                for item in self._queue
                if self._may_start(item, self._usage_by_customer[item.customer], now)
            ]
            request = min(
                startable,
                key=lambda item: self._compute_start_key(item, now),
                default=None,
            )
            if request is None:
                break
            self._queue.remove(request)
            self._start(request, self._usage_by_customer[request.customer], now)
            started.append(request)
        return started

    def _compute_start_key(self, request, now):
        """Return the sort key by which waiting requests start, lowest first."""
        usage = self._usage_by_customer[request.customer]
        # By the average, a burst of a mostly idle customer starts before the steady
        # load of another one.
        share = usage.compute_average(now) / request.weight
        # Among the requests of one customer the deepest nested call starts first,
        # since the outer requests hold their slots until it is answered.
        return (request.rank, share, -request.depth, request.deadline)

    def _remove_idle_customers(self, now):
        if now < self._next_cleanup_at:
            return
        self._next_cleanup_at = now + ACTIVE_SECONDS
        waiting = {request.customer for request in self._queue}
        for name, usage in list(self._usage_by_customer.items()):
            idle = now - usage.last_seen > 10 * ACTIVE_SECONDS
            if idle and not usage.in_flight and name not in waiting:
                del self._usage_by_customer[name]

    def _refuse(self, request, kind):
        request.refusal = RequestError(kind)
        request.notify_decision()


def _compute_burst(rate):
    """Return the burst of requests allowed to a customer.

    Args:
        rate: The customer's rate at this server, in requests a second.
    """
    return max(rate * CAPACITY_SLACK * BURST_SECONDS, MIN_BURST_REQUESTS)


def _choose_expiry_kind(request, now):
    """Return the ErrorKind for a request that was not started in time."""
    if request.deadline <= now:
        return ErrorKind.DEADLINE_EXPIRED
    return ErrorKind.SERVER_BUSY

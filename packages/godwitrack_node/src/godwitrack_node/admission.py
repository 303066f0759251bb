"""Admission: which requests the backend server runs now, later or not at all."""

import math
import threading

from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack_node.admissionrequest import CustomerUse
from godwitrack_node.warmup import WarmupCap

QUEUE_FACTOR = 2
RESERVE_SHARE = 0.15
MIN_CAP_WITH_RESERVE = 3
SERVICE_WEIGHT = 0.1
INITIAL_SERVICE_SECONDS = 0.005
ACTIVE_SECONDS = 1.0
CAPACITY_SLACK = 1.25
BURST_SECONDS = 0.25
MIN_BURST = 4.0
LATE_REQUESTS = 2
MIN_PLACES = 2
MAX_WAIT_SECONDS = 0.1


class Admission:
    """Decides about requests; all methods may be called from any thread."""

    def __init__(self, clock, slots, cold_slots):
        self._clock = clock
        self._lock = threading.Lock()
        self._queue = []
        self._uses = {}
        self._running = set()
        self._service_seconds = INITIAL_SERVICE_SECONDS
        self._is_draining = False
        self._next_clean = 0.0
        self._urgent_at = -ACTIVE_SECONDS
        self.warmup = WarmupCap(cold_slots, slots)

    @property
    def in_flight(self):
        """Requests running at the backend server."""
        return len(self._running)

    @property
    def queued(self):
        """Requests waiting."""
        return len(self._queue)

    @property
    def limit(self):
        """Most requests that may run at once now."""
        return self.warmup.cap

    def announce(self, is_cold, slots):
        """Take over what the backend server says of itself."""
        with self._lock:
            self.warmup.announce(is_cold, slots, self._clock.read_monotonic())

    def drain(self):
        """Refuse all new requests and those that wait, as not run."""
        with self._lock:
            self._is_draining = True
            waiting, self._queue = self._queue, []
        for request in waiting:
            self._refuse(request, ErrorKind.STOPPING)

    def resume(self):
        """Take new requests again after drain."""
        with self._lock:
            self._is_draining = False

    def offer(self, request):
        """Decide about a new request, or let it wait.

        The request is decided when this returns, unless it waits in the queue.

        Raises:
            RequestError: The request is refused and did not run.
        """
        now = self._clock.read_monotonic()
        with self._lock:
            self._check(request, now)
            use = self._find_use(request, now)
            self._take_token(use, request.rate, now)
            if request.rank == 0:
                self._urgent_at = now
            if not self._queue and not self._is_held(now):
                if self._may_start(request, use, now):
                    self._start(request, use, now)
                    return
            self._check_wait(request, now)
            request.wait_until = min(request.deadline, now + MAX_WAIT_SECONDS)
            request.prepare_wait()
            self._queue.append(request)
            # A slot may be free that those who wait already may not take.
            started = self._start_waiting(now)
            evicted = self._trim_queue()
        self._settle(started, evicted, request)
        if request.refusal is not None:
            raise request.refusal

    def cancel(self, request):
        """Take a waiting request back.

        Returns:
            Whether it still waited; if not, it was decided meanwhile.
        """
        with self._lock:
            if request in self._queue:
                self._queue.remove(request)
                return True
            return False

    def release(self, request, is_failure):
        """Give back the place of a granted request and let waiting ones through.

        Args:
            request: A granted AdmissionRequest.
            is_failure: Whether the backend server failed or gave no answer.
        """
        now = self._clock.read_monotonic()
        with self._lock:
            seconds = request.find_own_seconds(now)
            self._running.discard(request)
            use = self._uses.get(request.customer)
            if use is not None:
                use.change(-1, now)
            self.warmup.record(request.kind, seconds, is_failure, now)
            change = seconds - self._service_seconds
            self._service_seconds += SERVICE_WEIGHT * change
            expired = self._take_expired(now)
            started = self._start_waiting(now)
            evicted = self._trim_queue()
            self._clean(now)
        for item in expired:
            self._refuse(item, _find_expiry_kind(item, now))
        self._settle(started, evicted)

    def acquire(self, request):
        """Offer a request and wait until it is granted.

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
                raise RequestError(_find_expiry_kind(request, now))
        if request.refusal is not None:
            raise request.refusal

    def begin_nested(self, request):
        """Note that a running request waits for a call to another service."""
        with self._lock:
            request.begin_nested(self._clock.read_monotonic())

    def end_nested(self, request):
        """Note that such a call is answered."""
        with self._lock:
            request.end_nested(self._clock.read_monotonic())

    def _check(self, request, now):
        if self._is_draining:
            raise RequestError(ErrorKind.STOPPING)
        if request.deadline <= now:
            raise RequestError(ErrorKind.DEADLINE_EXPIRED)

    def _is_held(self, now):
        """Tell whether running requests are so late that the server may be cold.

        Nothing starts meanwhile; their answers decide whether the cap falls.
        """
        late = sum(
            self.warmup.is_late(request.kind, request.find_own_seconds(now))
            for request in self._running
        )
        return late >= LATE_REQUESTS

    def _find_use(self, request, now):
        use = self._uses.get(request.customer)
        if use is None:
            burst = _compute_burst(request.rate)
            use = self._uses[request.customer] = CustomerUse(request.weight, burst, now)
        use.weight = request.weight
        use.last_seen = now
        return use

    def _take_token(self, use, rate, now):
        filled = use.tokens + (now - use.filled_at) * rate * CAPACITY_SLACK
        use.tokens = min(filled, _compute_burst(rate))
        use.filled_at = now
        if use.tokens < 1.0:
            raise RequestError(ErrorKind.OVER_CAPACITY)
        use.tokens -= 1.0

    def _may_start(self, request, use, now):
        """Tell whether a customer may take one more slot.

        A customer that has used less than its share on average may use every free
        slot. Beyond that slots are lent to it, except for a small reserve that the
        others find free at once. Less urgent classes leave the same reserve to the
        most urgent one.
        """
        free = self.warmup.cap - len(self._running)
        if free <= 0:
            return False
        if request.rank > 0 and now - self._urgent_at < ACTIVE_SECONDS:
            return free > self._find_reserve()
        reserve = self._compute_reserve(use)
        return use.find_average(now) < self._compute_share(use) or free > reserve

    def _compute_share(self, use):
        now = use.last_seen
        total = sum(
            item.weight
            for item in self._uses.values()
            if item.in_flight or now - item.last_seen < ACTIVE_SECONDS
        )
        return max(self.warmup.cap * use.weight / max(total, use.weight), 1.0)

    def _compute_reserve(self, use):
        others = any(item is not use for item in self._uses.values())
        return self._find_reserve() if others else 0

    def _find_reserve(self):
        if self.warmup.cap < MIN_CAP_WITH_RESERVE:
            return 0
        return math.ceil(self.warmup.cap * RESERVE_SHARE)

    def _start(self, request, use, now):
        request.granted_at = now
        self._running.add(request)
        use.change(1, now)

    def _check_wait(self, request, now):
        """Refuse a request that would wait for long, since others may be free."""
        rounds = (len(self._queue) + 1) / max(self.warmup.cap, 1)
        wait = rounds * self._service_seconds
        if wait > min(request.deadline - now, MAX_WAIT_SECONDS):
            raise RequestError(ErrorKind.SERVER_BUSY, "the queue is too long")

    def _trim_queue(self):
        """Take out of the queue what is too much for the present cap."""
        places = max(self.warmup.cap * QUEUE_FACTOR, MIN_PLACES)
        evicted = []
        while len(self._queue) > places:
            worst = max(self._queue, key=self._rate_waiting)
            self._queue.remove(worst)
            evicted.append(worst)
        return evicted

    def _settle(self, started, evicted, present=None):
        """Tell those who wait what was decided.

        Args:
            started: AdmissionRequests that were granted.
            evicted: AdmissionRequests that are refused.
            present: AdmissionRequest whose owner is in `offer` and needs no telling.
        """
        for item in evicted:
            item.refusal = RequestError(ErrorKind.SERVER_BUSY)
        for item in (*started, *evicted):
            if item is not present:
                item.decide()

    def _rate_waiting(self, request):
        """Return the sort key of a waiting request; the lowest one goes first."""
        use = self._uses[request.customer]
        waiting = sum(item.customer == request.customer for item in self._queue)
        return (request.rank, (use.in_flight + waiting) / use.weight, request.deadline)

    def _take_expired(self, now):
        expired = [request for request in self._queue if request.wait_until <= now]
        for request in expired:
            self._queue.remove(request)
        return expired

    def _start_waiting(self, now):
        started = []
        if not self._queue or self._is_held(now):
            return started
        while self._queue and len(self._running) < self.warmup.cap:
            startable = [
                item
                for item in self._queue
                if self._may_start(item, self._uses[item.customer], now)
            ]
            request = min(
                startable, key=lambda item: self._rank_waiting(item, now), default=None
            )
            if request is None:
                break
            self._queue.remove(request)
            self._start(request, self._uses[request.customer], now)
            started.append(request)
        return started

    def _rank_waiting(self, request, now):
        """Return the sort key by which waiting requests start, lowest first."""
        use = self._uses[request.customer]
        # The average lets a burst of a customer that is mostly quiet pass before
        # the steady load of one that is not.
        share = use.find_average(now) / request.weight
        # Of one customer's calls the deepest goes first: the outer ones hold slots
        # until it is answered.
        return (request.rank, share, -request.depth, request.deadline)

    def _clean(self, now):
        if now < self._next_clean:
            return
        self._next_clean = now + ACTIVE_SECONDS
        waiting = {request.customer for request in self._queue}
        for name, use in list(self._uses.items()):
            idle = now - use.last_seen > 10 * ACTIVE_SECONDS
            if idle and not use.in_flight and name not in waiting:
                del self._uses[name]

    def _refuse(self, request, kind):
        request.refusal = RequestError(kind)
        request.decide()


def _compute_burst(rate):
    """Return the requests that may start at once under a rate a second."""
    return max(rate * CAPACITY_SLACK * BURST_SECONDS, MIN_BURST)


def _find_expiry_kind(request, now):
    """Return why a request that waited in vain is refused."""
    if request.deadline <= now:
        return ErrorKind.DEADLINE_EXPIRED
    return ErrorKind.SERVER_BUSY

"""Admission of requests at the backend server: start, wait in the queue, or refusal.

Load pattern: a burst that exceeds the concurrency at which the backend server works
well. The server gets no more than that at once. A short queue is sorted by urgency, and
a request that would wait for too long is refused on arrival, so that its entry can try
another server in time. Retries whose callers have waited too long already start after
the others, so that they do not make first attempts late as well.
"""

import threading

from godwitrack.exceptions import CallerDisconnected, ErrorKind, RequestError
from godwitrack_node.homedemand import HomeDemand
from godwitrack_node.limits import REDUCED_SHARE, LimitFinder
from godwitrack_node.requestrate import RequestRateLimiter
from godwitrack_node.speed import SpeedGauge
from godwitrack_node.warmuprate import WarmupRateLimiter

# Weight of the newest run in the moving average of run times.
SERVICE_WEIGHT = 0.1
INITIAL_SERVICE_SECONDS = 0.05
# Interval at which a waiting request checks its caller's connection and time limit.
WAIT_CHECK_SECONDS = 0.025
# A request starts only if this share of the usual run time is left before its deadline.
MIN_SERVICE_SHARE = 0.5


class HostedAdmission:
    """Starts, queues or refuses requests; all methods are thread-safe."""

    def __init__(self, clock, slots=1, measure=None):
        """Create an admission without requests.

        Args:
            clock: Clock.
            slots: Requests that the backend server works on at once.
            measure: Function that asks the backend server how long work takes now and
                returns percent of the usual time, or None if it gives no figure.
                Without this function, requests start at any speed.
        """
        self._clock = clock
        self._measure = measure
        self._speed_gauge = SpeedGauge()
        self._is_measuring = False
        self._lock = threading.Lock()
        self._queue = []
        self._running = 0
        self._slots = slots
        self._service_seconds = INITIAL_SERVICE_SECONDS
        self._cold_rate = None
        self._warmup_limiter = WarmupRateLimiter()
        self._request_limiter = RequestRateLimiter()
        self._limit_finder = LimitFinder()
        self._home_demand = HomeDemand()

    @property
    def in_flight(self):
        """Number of requests running at the backend server."""
        return self._running

    @property
    def queued(self):
        """Number of requests waiting in the queue."""
        return len(self._queue)

    @property
    def limit(self):
        """Concurrency limit: most requests that may run at once."""
        share = self._limit_finder.share
        if self._cold_rate is not None:
            # A cold server is slow already, and its rate limit is too low to need all
            # of its slots.
            share = min(share, REDUCED_SHARE)
        return max(int(self._slots * share), 1)

    def count_effective_in_flight(self):
        """Return the used part of `limit`, as a number of requests.

        A server may have idle slots although a rate limit allows no further request
        now, so the used share of that rate counts, too. Entries compare this number
        with `limit` when they choose a server.
        """
        with self._lock:
            now = self._clock.read_monotonic()
            use = self._request_limiter.compute_used_share(now)
            if self._cold_rate is not None:
                cold_use = self._warmup_limiter.compute_used_share(self._cold_rate, now)
                use = max(use, cold_use)
            return max(self._running, round(use * self.limit))

    def count_home_demand(self):
        """Return how many region-bound requests wait here or were refused lately."""
        with self._lock:
            now = self._clock.read_monotonic()
            return self._home_demand.count(self._queue, now)

    def configure(self, slots, cold_rate):
        """Set the capacity of the backend server.

        Args:
            slots: Requests that it works on at once.
            cold_rate: Most requests a second if it is cold, or None if it is warm.
        """
        with self._lock:
            self._slots = slots
            self._cold_rate = cold_rate
            decided = self._start_waiting()
        _wake(decided)

    @property
    def rate_limit(self):
        """Requests a second that the backend server takes, or None for no limit."""
        return self._request_limiter.rate

    def set_rate_limit(self, rate):
        """Set the rate limit that the backend server names for itself.

        Args:
            rate: Most requests a second, or None if it names none.
        """
        with self._lock:
            self._request_limiter.set_rate(rate, self._clock.read_monotonic())
            decided = self._start_waiting()
        _wake(decided)

    def hold_cold_starts(self, until):
        """Start no request before a given time if the backend server is cold.

        Args:
            until: Monotonic time in seconds; a past time ends the hold at once.
        """
        with self._lock:
            self._warmup_limiter.hold(until)

    def close(self, kind):
        """Refuse all waiting requests, which did not run.

        Args:
            kind: ErrorKind of the refusals.
        """
        with self._lock:
            waiting, self._queue = self._queue, []
            for request in waiting:
                request.refusal = kind
        _wake(waiting)

    def acquire(self, request, watch=None):
        """Start a request, after a wait in the queue if necessary.

        Args:
            request: HostedAdmissionRequest.
            watch: Watch of the caller's connection, or None.

        Raises:
            RequestError: The request was refused and did not run.
            CallerDisconnected: The caller disconnected while the request waited.
        """
        if self.offer(request):
            return
        self._measure_speed()
        if self.dequeue_if_slow(request):
            raise RequestError(ErrorKind.SERVER_SLOW)
        while not request.wait(WAIT_CHECK_SECONDS):
            if watch is not None and watch.fileno() >= 0 and watch.is_disconnected():
                if self._dequeue(request):
                    raise CallerDisconnected("the caller left the queue")
            self.recheck(request)
            self._measure_speed()
        if request.refusal is not None:
            raise RequestError(request.refusal)

    def offer(self, request):
        """Start, enqueue or refuse a new request; returns whether it started at once.

        Args:
            request: HostedAdmissionRequest.

        Raises:
            RequestError: The request would wait for too long and is refused.
        """
        now = self._clock.read_monotonic()
        request.arrived_at = now
        request.run_seconds = self._service_seconds
        with self._lock:
            if not self._queue and self._may_start(request, now):
                self._start(request, now)
                return True
            self._check_wait(request, now)
            self._queue.append(request)
            self._queue.sort(key=_get_order)
            decided = self._start_waiting()
        _wake(decided)
        return False

    def recheck(self, request):
        """Start waiting requests that may start, and refuse one that waited too long.

        Args:
            request: Waiting HostedAdmissionRequest to refuse if its wait is over.
        """
        now = self._clock.read_monotonic()
        with self._lock:
            decided = self._start_waiting()
            if request in self._queue and now >= request.wait_until:
                self._queue.remove(request)
                self._refuse(request, now)
                decided.append(request)
        _wake(decided)

    def dequeue_if_slow(self, request):
        """Remove a request from the queue if it may move and the server is slow now.

        Args:
            request: Waiting HostedAdmissionRequest.

        Returns:
            Whether the request was removed, and so did not run.
        """
        with self._lock:
            now = self._clock.read_monotonic()
            is_waiting = request.may_move and request in self._queue
            if not is_waiting or not self._speed_gauge.is_slow(now):
                return False
            self._queue.remove(request)
            return True

    def release(self, request, is_answered):
        """Free the slot of a request that ended, and start waiting requests.

        Args:
            request: HostedAdmissionRequest that was started.
            is_answered: Whether the backend server answered it.
        """
        now = self._clock.read_monotonic()
        with self._lock:
            request.ended_at = now
            self._running -= 1
            if is_answered:
                change = now - request.started_at - self._service_seconds
                self._service_seconds += SERVICE_WEIGHT * change
            decided = self._start_waiting()
        _wake(decided)

    def record_slowness(self, slowness):
        """Record how long work takes now, and start waiting requests.

        Args:
            slowness: Percent of the usual time, or None if the server gave no figure.
        """
        with self._lock:
            self._speed_gauge.record(slowness, self._clock.read_monotonic())
            decided = self._start_waiting()
        _wake(decided)

    def record_completion(self, request, kind, slowness):
        """Record the run time of an answered request; called before `release`.

        Args:
            request: HostedAdmissionRequest that was started.
            kind: Hashable that groups requests of similar run time.
            slowness: Percent of the usual time that work took, or None if unknown.
        """
        now = self._clock.read_monotonic()
        with self._lock:
            if self._cold_rate is not None:
                return
            slots = max(self._slots, 1)
            utilizations = (
                (request.running_at_start + 1) / slots,
                self._running / slots,
            )
            seconds = now - request.started_at
            self._limit_finder.record(kind, seconds, utilizations, slowness, now)

    def _check_wait(self, request, now):
        """Raise RequestError if a new request would wait for too long."""
        ahead = sum(item.order <= request.order for item in self._queue)
        wait = (ahead + 1) * self._service_seconds / self.limit
        if self._cold_rate is not None:
            wait = max(
                wait, self._warmup_limiter.compute_wait(self._cold_rate, ahead, now)
            )
        wait = max(wait, self._request_limiter.compute_wait(ahead, now))
        if now + wait > request.wait_until:
            self._home_demand.record_refusal(request, now)
            raise RequestError(ErrorKind.SERVER_BUSY)

    def _has_capacity(self, now):
        if self._running >= self.limit or not self._request_limiter.allows(now):
            return False
        return self._cold_rate is None or self._warmup_limiter.allows(
            self._cold_rate, now
        )

    def _may_start(self, request, now):
        if not self._has_capacity(now):
            return False
        return self._measure is None or self._speed_gauge.should_start(request, now)

    def _measure_speed(self):
        """Measure the speed if a waiting request needs it, in one thread at a time."""
        with self._lock:
            now = self._clock.read_monotonic()
            is_needed = (
                self._queue
                and self._has_capacity(now)
                and self._speed_gauge.is_measurement_due(now)
            )
            if self._measure is None or self._is_measuring or not is_needed:
                return
            self._is_measuring = True
        try:
            self.record_slowness(self._measure())
        finally:
            self._is_measuring = False

    def _start(self, request, now):
        request.started_at = now
        request.running_at_start = self._running
        self._running += 1
        self._warmup_limiter.record_start(request)
        self._request_limiter.record_start(now)

    def _start_waiting(self):
        """Start or refuse waiting requests in order; returns all that were decided."""
        now = self._clock.read_monotonic()
        decided = []
        while self._queue and self._may_start(self._queue[0], now):
            request = self._queue.pop(0)
            decided.append(request)
            need = MIN_SERVICE_SHARE * self._service_seconds
            if request.deadline - now < need:
                self._refuse(request, now)
            else:
                self._start(request, now)
        return decided

    def _refuse(self, request, now):
        self._home_demand.record_refusal(request, now)
        request.refusal = ErrorKind.SERVER_BUSY

    def _dequeue(self, request):
        with self._lock:
            if request not in self._queue:
                return False
            self._queue.remove(request)
            return True


def _get_order(request):
    return request.order


def _wake(requests):
    for request in requests:
        request.set_decided()

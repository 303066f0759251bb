"""Which requests run at the backend server now, wait for it, or are turned away.

Load pattern: a burst beyond what the backend server works on well. It gets no more
than that at once; a short queue here goes by urgency, and what would wait too long
is refused when it arrives, so that its entry can try another server in time. Those
that come back late, after refusals, do not make those that come first late, too.
"""

import threading

from godwitrack.exceptions import CallerDisconnected, ErrorKind, RequestError
from godwitrack_node.homedemand import HomeDemand
from godwitrack_node.limits import REDUCED_SHARE, LimitFinder
from godwitrack_node.speed import SpeedGauge
from godwitrack_node.warmuprate import WarmupRateLimiter

# Weight of the newest run in the moving average of their durations.
SERVICE_WEIGHT = 0.1
INITIAL_SERVICE_SECONDS = 0.05
# How often a request that waits looks for its caller and its time.
CHECK_SECONDS = 0.025
# A request must have this share of the usual service time left to be worth a try.
MIN_SERVICE_SHARE = 0.5


class HostedAdmission:
    """Decides about requests; all methods may be called from any thread."""

    def __init__(self, clock, slots=1, measure=None):
        """Prepare without requests.

        Args:
            clock: Clock.
            slots: Requests that the backend server works on at once.
            measure: Function that asks the backend server how long work takes now,
                in percent of the usual time, or None where it does not say; without
                it, requests start at any speed.
        """
        self._clock = clock
        self._measure = measure
        self._gauge = SpeedGauge()
        self._is_measuring = False
        self._lock = threading.Lock()
        self._queue = []
        self._running = 0
        self._slots = slots
        self._service_seconds = INITIAL_SERVICE_SECONDS
        self._cold_rate = None
        self._rate_limiter = WarmupRateLimiter()
        self._finder = LimitFinder()
        self._home_demand = HomeDemand()

    @property
    def in_flight(self):
        """Requests running at the backend server."""
        return self._running

    @property
    def queued(self):
        """Requests waiting."""
        return len(self._queue)

    @property
    def limit(self):
        """Most requests that may run at once."""
        share = self._finder.share
        if self._cold_rate is not None:
            # It is slow enough, and bears too few a second to need all of its slots.
            share = min(share, REDUCED_SHARE)
        return max(int(self._slots * share), 1)

    def count_taken(self):
        """Return the places that new requests do not find.

        A cold server may have idle slots and yet bear no further request now. Entries
        place by this figure, in relation to `limit`.
        """
        with self._lock:
            if self._cold_rate is None:
                return self._running
            now = self._clock.read_monotonic()
            use = self._rate_limiter.find_use(self._cold_rate, now)
            return max(self._running, round(use * self.limit))

    def count_home_demand(self):
        """Return the requests without a place here that may run in no other region."""
        with self._lock:
            now = self._clock.read_monotonic()
            return self._home_demand.count(self._queue, now)

    def configure(self, slots, cold_rate):
        """Set what the backend server bears.

        Args:
            slots: Requests that it works on at once.
            cold_rate: Requests a second while it is cold, or None.
        """
        with self._lock:
            self._slots = slots
            self._cold_rate = cold_rate
            started = self._start_waiting()
        _wake(started)

    def hold_cold(self, until):
        """Let nothing start while the backend server is cold, for a while.

        Args:
            until: Monotonic time of its end in seconds; a past one ends it at once.
        """
        with self._lock:
            self._rate_limiter.hold(until)

    def close(self, kind):
        """Refuse all that wait, as not run.

        Args:
            kind: ErrorKind for them.
        """
        with self._lock:
            waiting, self._queue = self._queue, []
            for request in waiting:
                request.refusal = kind
        _wake(waiting)

    def acquire(self, request, watch=None):
        """Let a request through, after a wait where need be.

        Args:
            request: HostedAdmissionRequest.
            watch: Watch of the caller's connection, or None.

        Raises:
            RequestError: It is refused and did not run.
            CallerDisconnected: The caller left while it waited.
        """
        if self.offer(request):
            return
        self._measure_speed()
        if self.leave(request):
            raise RequestError(ErrorKind.SERVER_SLOW)
        while not request.wait(CHECK_SECONDS):
            if watch is not None and watch.fileno() >= 0 and watch.is_disconnected():
                if self._withdraw(request):
                    raise CallerDisconnected("the caller left the queue")
            self.review(request)
            self._measure_speed()
        if request.refusal is not None:
            raise RequestError(request.refusal)

    def offer(self, request):
        """Decide about a new request; returns whether it may run at once.

        Args:
            request: HostedAdmissionRequest, which waits if it neither starts nor is
                refused.

        Raises:
            RequestError: It would wait for too long.
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
            self._queue.sort(key=_read_order)
            started = self._start_waiting()
        _wake(started)
        return False

    def review(self, request):
        """Refuse a request that has waited for long, or start what may start.

        Args:
            request: HostedAdmissionRequest that waits.
        """
        now = self._clock.read_monotonic()
        with self._lock:
            started = self._start_waiting()
            if request in self._queue and now >= request.wait_until:
                self._queue.remove(request)
                self._refuse(request, now)
                started.append(request)
        _wake(started)

    def leave(self, request):
        """Take a request out of the queue if it may move and the server is slow now.

        Args:
            request: HostedAdmissionRequest that waits.

        Returns:
            Whether it was taken out and did not run.
        """
        with self._lock:
            now = self._clock.read_monotonic()
            is_waiting = request.may_move and request in self._queue
            if not is_waiting or not self._gauge.is_slow(now):
                return False
            self._queue.remove(request)
            return True

    def release(self, request, is_answered):
        """Give the place of a request back and let waiting ones through.

        Args:
            request: HostedAdmissionRequest that was let through.
            is_answered: Whether the backend server gave an answer.
        """
        now = self._clock.read_monotonic()
        with self._lock:
            request.ended_at = now
            self._running -= 1
            if is_answered:
                change = now - request.started_at - self._service_seconds
                self._service_seconds += SERVICE_WEIGHT * change
            started = self._start_waiting()
        _wake(started)

    def record_slowness(self, slowness):
        """Take how long work takes now, in percent of the usual time, or None."""
        with self._lock:
            self._gauge.note(slowness, self._clock.read_monotonic())
            started = self._start_waiting()
        _wake(started)

    def record_completion(self, request, kind, slowness):
        """Take how long an answer took; called before `release`.

        Args:
            request: HostedAdmissionRequest that was let through.
            kind: Hashable that groups requests of like duration.
            slowness: Percent of the usual time that work took, or None.
        """
        now = self._clock.read_monotonic()
        with self._lock:
            if self._cold_rate is not None:
                return
            slots = max(self._slots, 1)
            fills = ((request.running + 1) / slots, self._running / slots)
            seconds = now - request.started_at
            self._finder.record(kind, seconds, fills, slowness, now)

    def _check_wait(self, request, now):
        """Refuse a request that would wait for too long."""
        ahead = sum(item.order <= request.order for item in self._queue)
        wait = (ahead + 1) * self._service_seconds / self.limit
        if self._cold_rate is not None:
            wait = max(wait, self._rate_limiter.find_wait(self._cold_rate, ahead, now))
        if now + wait > request.wait_until:
            self._home_demand.note_refused(request, now)
            raise RequestError(ErrorKind.SERVER_BUSY)

    def _has_place(self, now):
        if self._running >= self.limit:
            return False
        return self._cold_rate is None or self._rate_limiter.allows(
            self._cold_rate, now
        )

    def _may_start(self, request, now):
        if not self._has_place(now):
            return False
        return self._measure is None or self._gauge.is_good(request, now)

    def _measure_speed(self):
        """Measure the speed if someone waits for that; one thread does so at a time."""
        with self._lock:
            now = self._clock.read_monotonic()
            is_asked = self._queue and self._has_place(now) and self._gauge.is_due(now)
            if self._measure is None or self._is_measuring or not is_asked:
                return
            self._is_measuring = True
        try:
            self.record_slowness(self._measure())
        finally:
            self._is_measuring = False

    def _start(self, request, now):
        request.started_at = now
        request.running = self._running
        self._running += 1
        self._rate_limiter.note(request)

    def _start_waiting(self):
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
        self._home_demand.note_refused(request, now)
        request.refusal = ErrorKind.SERVER_BUSY

    def _withdraw(self, request):
        with self._lock:
            if request not in self._queue:
                return False
            self._queue.remove(request)
            return True


def _read_order(request):
    return request.order


def _wake(requests):
    for request in requests:
        request.decide()

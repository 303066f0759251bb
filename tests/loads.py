"""Loads that tests replay on a manual clock: bursts and slow phases of a server."""

import heapq
import itertools
import random

from godwitrack.exceptions import RequestError
from godwitrack_node.hostedadmission import HostedAdmission
from godwitrack_node.hostedadmissionrequest import HostedAdmissionRequest
from godwitrack_node.refusedcallers import CallerKey

SEED = 7
SLOTS = 12
# Slowness in percent of the usual time.
SLOW, USUAL = 500, 100
# Lengths of the phases as on a bench day: the server is slow for a third of the time.
SLOW_PHASE_SECONDS = (0.05, 0.2)
USUAL_PHASE_SECONDS = (0.05, 0.5)


class SpeedPhases:
    """Speed of a server that changes at random times of a manual clock."""

    def __init__(self, clock, seconds, seed=SEED):
        rng = random.Random(seed)
        self._clock = clock
        self._changes = []
        moment, is_slow = clock.read_monotonic(), False
        self.end = moment + seconds
        while moment < self.end + 10.0:
            span = SLOW_PHASE_SECONDS if is_slow else USUAL_PHASE_SECONDS
            moment += rng.uniform(*span)
            self._changes.append((moment, SLOW if is_slow else USUAL))
            is_slow = not is_slow

    def read(self):
        """Return the present slowness in percent of the usual time."""
        now = self._clock.read_monotonic()
        return next(slowness for moment, slowness in self._changes if moment > now)

    def measure(self):
        """Return the slowness like a health check that takes a millisecond."""
        self._clock.advance(0.001)
        return self.read()


class Timeline:
    """Actions at given times, played in order on a manual clock."""

    def __init__(self, clock):
        self._clock = clock
        self._events = []
        self._number = itertools.count()

    def add(self, moment, action, *values):
        """Call action(*values) at a monotonic time in seconds."""
        heapq.heappush(self._events, (moment, next(self._number), action, values))

    def play(self):
        """Play until no action is left."""
        while self._events:
            moment, _, action, values = heapq.heappop(self._events)
            self._clock.advance(max(moment - self._clock.read_monotonic(), 0.0))
            action(*values)


class Burst:
    """A burst at one server whose refused callers retry, on a manual clock.

    Attributes:
        in_time: Requests that were answered within their objective.
        served: Requests that were answered.
    """

    SECONDS = 10.0
    OBJECTIVE_SECONDS = 0.3
    DEADLINE_SECONDS = 5.0
    RETRIES = 2
    POLL_SECONDS = 0.005

    def __init__(
        self, clock, arrivals_per_second, run_seconds=0.1, refused=None, phases=None
    ):
        """Create the server without sending requests.

        Args:
            clock: ManualClock.
            arrivals_per_second: First attempts a second.
            run_seconds: Run time at the server's usual speed.
            refused: RefusedCallers that recognize retries, or None.
            phases: SpeedPhases of the server, or None for a constant speed.
        """
        self._clock = clock
        self._arrivals_per_second = arrivals_per_second
        self._run_seconds = run_seconds
        self._refused = refused
        self._phases = phases
        self._rng = random.Random(SEED)
        self._admission = HostedAdmission(clock, SLOTS, phases and phases.read)
        self._timeline = Timeline(clock)
        self.in_time = 0
        self.served = 0

    def play(self):
        """Play the whole burst; returns the Burst."""
        start = self._clock.read_monotonic()
        for number in range(int(self.SECONDS * self._arrivals_per_second)):
            moment = start + number / self._arrivals_per_second
            key = CallerKey("10.0.0.1", "GET", "a.example", f"/{number}")
            self._timeline.add(moment, self._arrive, key, moment, self.RETRIES)
        self._timeline.play()
        return self

    def _arrive(self, key, first_sent_at, retries_left):
        waited = self._refused.pop_waited_seconds(key) if self._refused else 0.0
        deadline = self._clock.read_monotonic() + self.DEADLINE_SECONDS
        request = HostedAdmissionRequest(
            1, self.OBJECTIVE_SECONDS, deadline, waited=waited
        )
        self._record_speed()
        try:
            self._admission.offer(request)
        except RequestError:
            self._schedule_retry(key, first_sent_at, retries_left)
            return
        self._poll(request, key, first_sent_at, retries_left)

    def _poll(self, request, key, first_sent_at, retries_left):
        now = self._clock.read_monotonic()
        if request.started_at is not None:
            slowness = self._phases.read() if self._phases else USUAL
            end = request.started_at + self._run_seconds * slowness / USUAL
            self._timeline.add(end, self._finish, request, first_sent_at)
            return
        self._record_speed()
        self._admission.recheck(request)
        if request.refusal is not None:
            self._schedule_retry(key, first_sent_at, retries_left)
            return
        self._timeline.add(
            now + self.POLL_SECONDS,
            self._poll,
            request,
            key,
            first_sent_at,
            retries_left,
        )

    def _finish(self, request, first_sent_at):
        self._admission.release(request, True)
        self.served += 1
        latency = self._clock.read_monotonic() - first_sent_at
        self.in_time += latency <= self.OBJECTIVE_SECONDS + 2 * self.POLL_SECONDS

    def _schedule_retry(self, key, first_sent_at, retries_left):
        now = self._clock.read_monotonic()
        if self._refused:
            self._refused.record(key, first_sent_at, now + self.DEADLINE_SECONDS)
        if retries_left:
            moment = now + self._rng.uniform(0.1, 0.4)
            self._timeline.add(
                moment, self._arrive, key, first_sent_at, retries_left - 1
            )

    def _record_speed(self):
        if self._phases:
            self._admission.record_slowness(self._phases.read())

"""Loads that tests replay on a clock set by hand: bursts and slow moments."""

import heapq
import itertools
import random

from godwitrack.exceptions import RequestError
from godwitrack_node.hostedadmission import HostedAdmission
from godwitrack_node.hostedadmissionrequest import HostedAdmissionRequest
from godwitrack_node.refusedcallers import CallerKey

SEED = 7
SLOTS = 12
SLOW, USUAL = 500, 100
# Phases like those of a bench day: a third of the time slow, for moments.
SLOW_PHASE_SECONDS = (0.05, 0.2)
USUAL_PHASE_SECONDS = (0.05, 0.5)


class Phases:
    """A server whose speed changes at random moments, on a clock set by hand."""

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
        """Return the slowness at the moment."""
        now = self._clock.read_monotonic()
        return next(slowness for moment, slowness in self._changes if moment > now)

    def measure(self):
        """Return the slowness as a health check does, which takes a millisecond."""
        self._clock.advance(0.001)
        return self.read()


class Timeline:
    """Actions at set times, played in order on a clock set by hand."""

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
    """A burst at one server, whose refused callers come back, on a clock set by hand.

    Attributes:
        in_time: Requests that were answered within their objective.
        served: Requests that were answered.
    """

    SECONDS = 10.0
    OBJECTIVE_SECONDS = 0.3
    DEADLINE_SECONDS = 5.0
    RETURNS = 2
    LOOK_SECONDS = 0.005

    def __init__(
        self, clock, arrivals_per_second, run_seconds=0.1, refused=None, phases=None
    ):
        """Prepare without playing.

        Args:
            clock: Clock that is set by hand.
            arrivals_per_second: Callers that come for the first time.
            run_seconds: Duration of a run in a usual moment.
            refused: RefusedCallers that know who comes back, or None.
            phases: Phases of the server, or None for one of even speed.
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
        """Play all of it; returns the Burst."""
        start = self._clock.read_monotonic()
        for number in range(int(self.SECONDS * self._arrivals_per_second)):
            moment = start + number / self._arrivals_per_second
            key = CallerKey("10.0.0.1", "GET", "a.example", f"/{number}")
            self._timeline.add(moment, self._arrive, key, moment, self.RETURNS)
        self._timeline.play()
        return self

    def _arrive(self, key, born, returns):
        waited = self._refused.find_waited(key) if self._refused else 0.0
        deadline = self._clock.read_monotonic() + self.DEADLINE_SECONDS
        request = HostedAdmissionRequest(
            1, self.OBJECTIVE_SECONDS, deadline, waited=waited
        )
        self._tell_speed()
        try:
            self._admission.offer(request)
        except RequestError:
            self._send_back(key, born, returns)
            return
        self._look(request, key, born, returns)

    def _look(self, request, key, born, returns):
        now = self._clock.read_monotonic()
        if request.started_at is not None:
            slowness = self._phases.read() if self._phases else USUAL
            end = request.started_at + self._run_seconds * slowness / USUAL
            self._timeline.add(end, self._end, request, born)
            return
        self._tell_speed()
        self._admission.recheck(request)
        if request.refusal is not None:
            self._send_back(key, born, returns)
            return
        self._timeline.add(
            now + self.LOOK_SECONDS, self._look, request, key, born, returns
        )

    def _end(self, request, born):
        self._admission.release(request, True)
        self.served += 1
        took = self._clock.read_monotonic() - born
        self.in_time += took <= self.OBJECTIVE_SECONDS + 2 * self.LOOK_SECONDS

    def _send_back(self, key, born, returns):
        now = self._clock.read_monotonic()
        if self._refused:
            self._refused.record(key, born, now + self.DEADLINE_SECONDS)
        if returns:
            moment = now + self._rng.uniform(0.1, 0.4)
            self._timeline.add(moment, self._arrive, key, born, returns - 1)

    def _tell_speed(self):
        if self._phases:
            self._admission.record_slowness(self._phases.read())

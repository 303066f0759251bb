"""Tests of godwitrack_node.waiting: bursts, cold starts and callers that leave."""

import heapq
import itertools
import random
import threading

import pytest

from godwitrack.clock import SystemClock
from godwitrack.exceptions import CallerGone, ErrorKind, RequestError
from godwitrack_node.waiting import ColdCap, Entrant, WaitingRoom

SLOTS = 12
COLD_RATE = 37.0


def make_entrant(clock, objective=1.0, left=5.0, **values):
    return Entrant(
        values.pop("priority", 1), objective, clock.read_monotonic() + left, **values
    )


class FakeWatch:
    """A watch of a connection that ends when told."""

    is_ended = False

    def fileno(self):
        return 0

    def is_gone(self):
        return self.is_ended


def test_no_more_run_at_once_than_the_limit(clock):
    room = WaitingRoom(clock, SLOTS)
    for _ in range(room.limit):
        room.acquire(make_entrant(clock))
    assert room.in_flight == room.limit <= SLOTS
    assert room.queued == 0


def test_what_would_wait_too_long_is_refused_on_arrival(clock):
    room = WaitingRoom(clock, SLOTS)
    running = [make_entrant(clock) for _ in range(room.limit)]
    for entrant in running:
        room.acquire(entrant)
    clock.advance(5.0)
    room.release(running.pop(), True)
    room.acquire(make_entrant(clock))
    with pytest.raises(RequestError) as caught:
        # Answers take seconds now, its objective is a few milliseconds.
        room.acquire(make_entrant(clock, objective=0.01))
    assert caught.value.kind is ErrorKind.SERVER_BUSY


@pytest.mark.parametrize(
    ("first", "second"),
    [
        ({"priority": 2}, {"priority": 1}),
        ({"is_nested": False}, {"is_nested": True}),
        ({"waited": 0.7}, {"waited": 0.0}),
        ({"waited": 0.7, "priority": 0}, {"waited": 0.1, "priority": 2}),
        ({"is_nested": False}, {"is_nested": True, "waited": 0.7}),
    ],
    ids=str,
)
def test_who_starts_first(clock, first, second):
    early, late = make_entrant(clock, **first), make_entrant(clock, **second)
    early.arrived_at, late.arrived_at = 1.0, 1.01
    assert late.order < early.order


def test_a_less_urgent_request_is_not_passed_for_ever(clock):
    early = make_entrant(clock, priority=2)
    late = make_entrant(clock, priority=1)
    early.arrived_at, late.arrived_at = 1.0, 1.5
    assert early.order < late.order


def make_started(started_at, ended_at):
    entrant = Entrant(1, 1.0, started_at + 5.0)
    entrant.started_at, entrant.ended_at = started_at, ended_at
    return entrant


@pytest.mark.parametrize("seconds", [1, 5])
def test_a_cold_server_gets_no_more_than_it_bears_in_any_second(seconds):
    cap, starts, now = ColdCap(), [], 100.0
    while now < 100.0 + seconds:
        if cap.allows(COLD_RATE, now):
            cap.note(make_started(now, now))
            starts.append(now)
        now += 0.001
    for start in starts:
        assert sum(start <= moment < start + 1.0 for moment in starts) <= COLD_RATE
    assert len(starts) >= 0.8 * COLD_RATE * seconds


@pytest.mark.parametrize(
    ("ended_at", "now", "allowed"),
    [
        (100.3, 101.29, False),
        (100.3, 101.3, True),
        # One that runs for long has arrived long before its end.
        (102.0, 101.4, False),
        (102.0, 101.5, True),
        (None, 101.4, False),
        (None, 101.5, True),
    ],
)
def test_a_slow_arrival_counts_for_a_second_after_it(ended_at, now, allowed):
    """Seen as 22 arrivals in a second at a cold server that bears 20, on a busy VM."""
    cap = ColdCap()
    cap.note(make_started(100.0, ended_at))
    assert cap.allows(1.0, now) is allowed


def test_a_caller_that_leaves_gives_up_its_place():
    room = WaitingRoom(SystemClock(), 1)
    room.acquire(make_entrant(SystemClock()))
    watch = FakeWatch()
    timer = threading.Timer(0.05, setattr, (watch, "is_ended", True))
    timer.start()
    with pytest.raises(CallerGone):
        room.acquire(make_entrant(SystemClock(), objective=20.0), watch)
    assert room.queued == 0
    timer.join()


def test_a_stop_refuses_those_that_wait():
    room = WaitingRoom(SystemClock(), 1)
    room.acquire(make_entrant(SystemClock()))
    timer = threading.Timer(0.05, room.close, (ErrorKind.STOPPING,))
    timer.start()
    with pytest.raises(RequestError) as caught:
        room.acquire(make_entrant(SystemClock(), objective=20.0))
    assert caught.value.kind is ErrorKind.STOPPING
    timer.join()


def test_a_released_place_goes_to_the_one_that_waits():
    clock = SystemClock()
    room = WaitingRoom(clock, 1)
    first, second = make_entrant(clock), make_entrant(clock, objective=20.0)
    room.acquire(first)
    timer = threading.Timer(0.05, room.release, (first, True))
    timer.start()
    room.acquire(second)
    assert second.started_at is not None
    timer.join()


def test_a_nested_call_waits_longer_than_its_objective(clock):
    """Seen as runs that failed since their calls were turned away."""
    outer = make_entrant(clock, objective=0.08, left=0.4)
    nested = make_entrant(clock, objective=0.08, left=0.4, is_nested=True)
    assert nested.wait_until > outer.wait_until
    assert nested.wait_until < nested.deadline


class Burst:
    """A burst at one server, whose refused callers come back, on a clock set by hand.

    Attributes:
        in_time: Requests that were answered within their objective.
        served: Requests that were answered.
    """

    ARRIVALS_PER_SECOND = 180
    SECONDS = 20.0
    RUN_SECONDS = 0.1
    OBJECTIVE_SECONDS = 0.3
    RETURNS = 2

    def __init__(self, clock, tells_age):
        self._clock = clock
        self._tells_age = tells_age
        self._rng = random.Random(3)
        self._room = WaitingRoom(clock, SLOTS)
        self._events = []
        self._number = itertools.count()
        self.in_time = 0
        self.served = 0

    def play(self):
        start = self._clock.read_monotonic()
        for number in range(int(self.SECONDS * self.ARRIVALS_PER_SECOND)):
            moment = start + number / self.ARRIVALS_PER_SECOND
            self._add(moment, self._arrive, moment, self.RETURNS)
        while self._events:
            moment, _, action, values = heapq.heappop(self._events)
            self._clock.advance(max(moment - self._clock.read_monotonic(), 0.0))
            action(*values)
        return self

    def _add(self, moment, action, *values):
        heapq.heappush(self._events, (moment, next(self._number), action, values))

    def _arrive(self, born, returns):
        now = self._clock.read_monotonic()
        waited = now - born if self._tells_age else 0.0
        entrant = make_entrant(
            self._clock, objective=self.OBJECTIVE_SECONDS, waited=waited
        )
        try:
            self._room.offer(entrant)
        except RequestError:
            self._send_back(born, returns)
            return
        self._look(entrant, born, returns)

    def _look(self, entrant, born, returns):
        now = self._clock.read_monotonic()
        if entrant.started_at is not None:
            end = entrant.started_at + self.RUN_SECONDS
            self._add(end, self._end, entrant, born)
            return
        self._room.review(entrant)
        if entrant.refusal is not None:
            self._send_back(born, returns)
            return
        self._add(now + 0.001, self._look, entrant, born, returns)

    def _end(self, entrant, born):
        self._room.release(entrant, True)
        self.served += 1
        took = self._clock.read_monotonic() - born
        self.in_time += took <= self.OBJECTIVE_SECONDS + 0.002

    def _send_back(self, born, returns):
        if returns:
            moment = self._clock.read_monotonic() + self._rng.uniform(0.1, 0.4)
            self._add(moment, self._arrive, born, returns - 1)


def test_callers_that_come_back_late_do_not_make_new_ones_late(clock):
    """The load pattern, beside the policy before it, which knows no age."""
    before = Burst(clock, False).play()
    after = Burst(clock, True).play()
    assert after.in_time > 1.1 * before.in_time
    assert after.served >= 0.97 * before.served

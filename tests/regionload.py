"""A load of two regions that tests replay: one has little room, the other much."""

import heapq
import itertools
import random

from godwitrack.exceptions import RequestError
from godwitrack.load import Load
from godwitrack.routetable import HostRoute, SplitPart
from godwitrack_node.entrant import Entrant
from godwitrack_node.placing import Member, MemberView, Placer
from godwitrack_node.waiting import WaitingRoom

SEED = 7
SLOTS = 18
SECONDS = 10.0
HOME, OTHER = "region-0", "region-1"
# One way between regions.
WAY_SECONDS = 0.02
LOOK_SECONDS = 0.005
OBJECTIVE_SECONDS = 0.8
DEADLINE_SECONDS = 3.0


class Kind:
    """One kind of request.

    Attributes:
        route: HostRoute.
        run_seconds: Duration of a run.
        is_nested: Whether a run that is at work waits for it.
    """

    __slots__ = ("is_nested", "route", "run_seconds")

    def __init__(self, name, regions, run_seconds, is_nested):
        self.route = HostRoute(
            name,
            "h",
            "/",
            [SplitPart("billing", 1)],
            idempotent=True,
            timeout=DEADLINE_SECONDS,
            objective=OBJECTIVE_SECONDS,
            regions=regions,
        )
        self.run_seconds = run_seconds
        self.is_nested = is_nested


class FullRegion:
    """One server in the home region and two in another, on a clock set by hand.

    Requests that are bound to the home region, and nested calls that may run anywhere,
    come to one entry there. Each goes to up to two servers.

    Attributes:
        bound: Requests bound to the home region.
        bound_in_time: Those that were answered within their objective.
        free_in_time: Nested calls that were answered within it.
        crossed: Tries that went to the other region.
    """

    TRIES = 2

    def __init__(self, clock, bound_per_second=36, free_per_second=90):
        self._clock = clock
        self._rng = random.Random(SEED)
        self._placer = Placer(HOME, "dc-0", self._rng)
        self._rates = {
            Kind("bound", (HOME,), 0.45, False): bound_per_second,
            Kind("free", (), 0.08, True): free_per_second,
        }
        self._views = [
            MemberView(Member(name, "billing", region, name, SLOTS, True, "i", 1))
            for name, region in (("dc-0", HOME), ("dc-2", OTHER), ("dc-3", OTHER))
        ]
        self._rooms = {
            view.member.address: WaitingRoom(clock, SLOTS) for view in self._views
        }
        self._events = []
        self._number = itertools.count()
        self.bound = int(bound_per_second * SECONDS)
        self.bound_in_time = 0
        self.free_in_time = 0
        self.crossed = 0

    def play(self):
        """Play all of it; returns the FullRegion."""
        start = self._clock.read_monotonic()
        for kind, rate in self._rates.items():
            for number in range(int(rate * SECONDS)):
                moment = start + number / rate
                self._add(moment, self._try, kind, moment, ())
        while self._events:
            moment, _, action, values = heapq.heappop(self._events)
            self._clock.advance(max(moment - self._clock.read_monotonic(), 0.0))
            action(*values)
        return self

    def _add(self, moment, action, *values):
        heapq.heappush(self._events, (moment, next(self._number), action, values))

    def _try(self, kind, born, tried):
        now = self._clock.read_monotonic()
        view = self._placer.choose(self._views, kind.route, now, tried)
        if view is None or len(tried) == self.TRIES:
            return
        view.in_flight += 1
        self.crossed += view.member.region != HOME
        tried = (*tried, view.member.address)
        self._add(now + _find_way(view), self._arrive, kind, born, tried, view)

    def _arrive(self, kind, born, tried, view):
        deadline = self._clock.read_monotonic() + DEADLINE_SECONDS
        entrant = Entrant(
            1,
            OBJECTIVE_SECONDS,
            deadline,
            kind.is_nested,
            is_bound=bool(kind.route.regions),
        )
        try:
            self._find_room(view).offer(entrant)
        except RequestError:
            self._refuse(kind, born, tried, view)
            return
        self._look(entrant, kind, born, tried, view)

    def _look(self, entrant, kind, born, tried, view):
        now = self._clock.read_monotonic()
        if entrant.started_at is not None:
            end = entrant.started_at + kind.run_seconds
            self._add(end, self._end, entrant, kind, born, view)
            return
        self._find_room(view).review(entrant)
        if entrant.refusal is not None:
            self._refuse(kind, born, tried, view)
            return
        moment = now + LOOK_SECONDS
        self._add(moment, self._look, entrant, kind, born, tried, view)

    def _end(self, entrant, kind, born, view):
        self._find_room(view).release(entrant, True)
        took = self._clock.read_monotonic() + _find_way(view) - born
        if took <= OBJECTIVE_SECONDS:
            self.bound_in_time += bool(kind.route.regions)
            self.free_in_time += not kind.route.regions
        moment = self._clock.read_monotonic() + _find_way(view)
        self._add(moment, self._take_load, view)

    def _refuse(self, kind, born, tried, view):
        moment = self._clock.read_monotonic() + _find_way(view)
        self._add(moment, self._take_load, view)
        self._add(moment, self._try, kind, born, tried)

    def _take_load(self, view):
        room = self._find_room(view)
        view.in_flight -= 1
        load = Load(
            room.count_taken(),
            room.queued,
            room.limit,
            1,
            home_demand=room.count_home_demand(),
        )
        view.take_load(load, self._clock.read_monotonic())

    def _find_room(self, view):
        return self._rooms[view.member.address]


def _find_way(view):
    return 0.0 if view.member.region == HOME else WAY_SECONDS

"""Loads of one entry and several servers that tests replay on a clock set by hand."""

import random

from godwitrack.exceptions import RequestError
from godwitrack.load import Load
from godwitrack.routetable import HostRoute, SplitPart
from godwitrack_node.hostedadmission import HostedAdmission
from godwitrack_node.hostedadmissionrequest import HostedAdmissionRequest
from godwitrack_node.hostedrouting import HostedServerChooser, Member, MemberView
from loads import USUAL, Phases, Timeline

SEED = 7
SECONDS = 10.0
HOME, OTHER = "region-0", "region-1"
# One way between regions.
WAY_SECONDS = 0.02
LOOK_SECONDS = 0.005
DEADLINE_SECONDS = 3.0


class Kind:
    """One kind of request.

    Attributes:
        route: HostRoute.
        rate: Requests a second.
        run_seconds: Duration of a run in a usual moment.
        is_nested: Whether a run that is at work waits for it.
        asked: Requests made.
        in_time: Requests answered within their objective.
    """

    __slots__ = ("asked", "in_time", "is_nested", "rate", "route", "run_seconds")

    def __init__(self, rate, run_seconds, objective, regions=(), is_nested=False):
        self.rate = rate
        self.run_seconds = run_seconds
        self.is_nested = is_nested
        self.asked = 0
        self.in_time = 0
        self.route = HostRoute(
            "r",
            "h",
            "/",
            [SplitPart("billing", 1)],
            idempotent=True,
            timeout=DEADLINE_SECONDS,
            objective=objective,
            regions=regions,
        )


class EntryRequest:
    """One request on its way.

    Attributes:
        kind: Kind.
        born: Monotonic time at which it was made.
        tried: Addresses of the servers that it was sent to.
        moves: How many of them it left as they were slow.
    """

    __slots__ = ("born", "kind", "moves", "tried")

    def __init__(self, kind, born):
        self.kind = kind
        self.born = born
        self.tried = []
        self.moves = 0

    @property
    def refused(self):
        """How many servers refused it for want of room."""
        return len(self.tried) - self.moves


class EntryLoad:
    """Requests of several Kinds that one entry sends to a few servers.

    Attributes:
        crossed: Tries that went to another region.
    """

    TRIES = 2
    SLOTS = 18
    MOVES = 0

    def __init__(self, clock, kinds, regions, is_uneven=False):
        """Prepare without playing.

        Args:
            clock: Clock that is set by hand.
            kinds: Kinds.
            regions: Region of each server.
            is_uneven: Whether servers are slow in moments of their own.
        """
        self._clock = clock
        self._kinds = kinds
        self._chooser = HostedServerChooser(HOME, "dc-0", random.Random(SEED))
        self._views = []
        self._admissions = {}
        self._phases = {}
        for number, region in enumerate(regions):
            name = f"dc-{number}"
            place = "dc-0" if region == HOME else name
            member = Member(name, "billing", region, place, self.SLOTS, True, "i", 1)
            phases = Phases(clock, SECONDS, SEED + number) if is_uneven else None
            self._views.append(MemberView(member))
            self._admissions[name] = HostedAdmission(
                clock, self.SLOTS, phases and phases.read
            )
            self._phases[name] = phases
        self._timeline = Timeline(clock)
        self.crossed = 0

    def play(self):
        """Play all of it; returns the EntryLoad."""
        start = self._clock.read_monotonic()
        for kind in self._kinds:
            kind.asked = int(kind.rate * SECONDS)
            for number in range(kind.asked):
                moment = start + number / kind.rate
                self._timeline.add(moment, self._try, EntryRequest(kind, moment))
        self._timeline.play()
        return self

    def _try(self, entry_request):
        now = self._clock.read_monotonic()
        if entry_request.refused == self.TRIES:
            return
        route, was_refused = entry_request.kind.route, entry_request.refused > 0
        view = self._chooser.choose(
            self._views, route, now, entry_request.tried, was_refused
        )
        if view is None:
            return
        view.in_flight += 1
        self.crossed += view.member.region != HOME
        entry_request.tried.append(view.member.address)
        self._timeline.add(now + _find_way(view), self._arrive, entry_request, view)

    def _arrive(self, entry_request, view):
        kind = entry_request.kind
        deadline = self._clock.read_monotonic() + DEADLINE_SECONDS
        admission_request = HostedAdmissionRequest(
            1,
            kind.route.objective,
            deadline,
            kind.is_nested,
            is_region_bound=bool(kind.route.regions),
            may_move=entry_request.moves < self.MOVES,
        )
        admission = self._find_admission(view)
        self._tell_speed(view)
        try:
            admission.offer(admission_request)
        except RequestError:
            self._send_back(entry_request, view)
            return
        if admission.dequeue_if_slow(admission_request):
            entry_request.moves += 1
            self._send_back(entry_request, view)
            return
        self._look(entry_request, view, admission_request)

    def _look(self, entry_request, view, admission_request):
        if admission_request.started_at is not None:
            run_seconds = (
                entry_request.kind.run_seconds * self._read_speed(view) / USUAL
            )
            end = admission_request.started_at + run_seconds
            self._timeline.add(end, self._end, entry_request, view, admission_request)
            return
        self._tell_speed(view)
        self._find_admission(view).recheck(admission_request)
        if admission_request.refusal is not None:
            self._send_back(entry_request, view)
            return
        moment = self._clock.read_monotonic() + LOOK_SECONDS
        self._timeline.add(moment, self._look, entry_request, view, admission_request)

    def _end(self, entry_request, view, admission_request):
        self._find_admission(view).release(admission_request, True)
        moment = self._clock.read_monotonic() + _find_way(view)
        entry_request.kind.in_time += (
            moment - entry_request.born <= entry_request.kind.route.objective
        )
        self._timeline.add(moment, self._take_load, view)

    def _send_back(self, entry_request, view):
        moment = self._clock.read_monotonic() + _find_way(view)
        self._timeline.add(moment, self._take_load, view)
        self._timeline.add(moment, self._try, entry_request)

    def _take_load(self, view):
        admission = self._find_admission(view)
        view.in_flight -= 1
        load = Load(
            admission.count_taken(),
            admission.queued,
            admission.limit,
            1,
            self._read_speed(view),
            admission.count_home_demand(),
        )
        view.record_load(load, self._clock.read_monotonic())

    def _tell_speed(self, view):
        if self._phases[view.member.address]:
            self._find_admission(view).record_slowness(self._read_speed(view))

    def _read_speed(self, view):
        phases = self._phases[view.member.address]
        return phases.read() if phases else USUAL

    def _find_admission(self, view):
        return self._admissions[view.member.address]


class FullRegion(EntryLoad):
    """One server in the home region and two in another.

    Attributes:
        bound: Kind that is bound to the home region.
        free: Kind of nested calls that may run anywhere.
    """

    def __init__(self, clock, bound_per_second=36):
        self.bound = Kind(bound_per_second, 0.45, 0.8, (HOME,))
        self.free = Kind(90, 0.08, 0.8, is_nested=True)
        super().__init__(clock, (self.bound, self.free), (HOME, OTHER, OTHER))


class SlowMoments(EntryLoad):
    """Short calls to three servers, each slow in moments of its own, with room at all.

    Attributes:
        kind: The only Kind.
    """

    def __init__(self, clock, moves):
        """Prepare for requests that leave so many servers which are slow."""
        self.MOVES = moves
        self.kind = Kind(100, 0.02, 0.08, is_nested=True)
        super().__init__(clock, (self.kind,), (HOME, HOME, HOME), is_uneven=True)


def _find_way(view):
    return 0.0 if view.member.region == HOME else WAY_SECONDS

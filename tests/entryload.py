"""Loads of one entry and several servers that tests replay on a manual clock."""

import random

from godwitrack.exceptions import RequestError
from godwitrack.load import Load
from godwitrack.routetable import HostRoute, SplitPart
from godwitrack_node.hostedadmission import HostedAdmission
from godwitrack_node.hostedadmissionrequest import HostedAdmissionRequest
from godwitrack_node.hostedrouting import HostedServerChooser, Member, MemberView
from loads import USUAL, SpeedPhases, Timeline

SEED = 7
SECONDS = 10.0
HOME, OTHER = "region-0", "region-1"
# One-way latency between regions.
ONE_WAY_SECONDS = 0.02
POLL_SECONDS = 0.005
DEADLINE_SECONDS = 3.0


class RequestKind:
    """Properties and counts of one kind of request.

    Attributes:
        route: HostRoute.
        rate: Requests a second.
        run_seconds: Run time at the server's usual speed.
        is_nested: Whether a running request waits for its answer.
        total: Requests sent by callers.
        in_time: Requests answered within their objective.
    """

    __slots__ = ("in_time", "is_nested", "rate", "route", "run_seconds", "total")

    def __init__(self, rate, run_seconds, objective, regions=(), is_nested=False):
        self.rate = rate
        self.run_seconds = run_seconds
        self.is_nested = is_nested
        self.total = 0
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
    """One request as its entry sees it.

    Attributes:
        kind: RequestKind.
        created_at: Monotonic time of its arrival at the entry, in seconds.
        tried: Addresses of the servers that it was sent to.
        moves: Number of slow servers that it left without running.
    """

    __slots__ = ("created_at", "kind", "moves", "tried")

    def __init__(self, kind, created_at):
        self.kind = kind
        self.created_at = created_at
        self.tried = []
        self.moves = 0

    @property
    def refused(self):
        """Number of servers that refused it."""
        return len(self.tried) - self.moves


class EntryLoad:
    """Requests of several RequestKinds that one entry sends to a few servers.

    Attributes:
        cross_region_attempts: Attempts that went to another region.
    """

    MAX_REFUSALS = 2
    SLOTS = 18
    MAX_MOVES = 0

    def __init__(self, clock, kinds, regions, has_slow_phases=False):
        """Create the servers without sending requests.

        Args:
            clock: ManualClock.
            kinds: RequestKinds.
            regions: Region of each server.
            has_slow_phases: Whether each server has slow phases at its own times.
        """
        self._clock = clock
        self._kinds = kinds
        self._chooser = HostedServerChooser(HOME, "dc-0", random.Random(SEED))
        self._views = []
        self._admissions = {}
        self._phases = {}
        for number, region in enumerate(regions):
            name = f"dc-{number}"
            data_centre = "dc-0" if region == HOME else name
            member = Member(
                name, "billing", region, data_centre, self.SLOTS, True, "i", 1
            )
            phases = (
                SpeedPhases(clock, SECONDS, SEED + number) if has_slow_phases else None
            )
            self._views.append(MemberView(member))
            self._admissions[name] = HostedAdmission(
                clock, self.SLOTS, phases and phases.read
            )
            self._phases[name] = phases
        self._timeline = Timeline(clock)
        self.cross_region_attempts = 0

    def play(self):
        """Play the whole load; returns the EntryLoad."""
        start = self._clock.read_monotonic()
        for kind in self._kinds:
            kind.total = int(kind.rate * SECONDS)
            for number in range(kind.total):
                moment = start + number / kind.rate
                self._timeline.add(moment, self._attempt, EntryRequest(kind, moment))
        self._timeline.play()
        return self

    def _attempt(self, entry_request):
        now = self._clock.read_monotonic()
        if entry_request.refused == self.MAX_REFUSALS:
            return
        route, was_refused = entry_request.kind.route, entry_request.refused > 0
        view = self._chooser.choose(
            self._views, route, now, entry_request.tried, was_refused
        )
        if view is None:
            return
        view.in_flight += 1
        self.cross_region_attempts += view.member.region != HOME
        entry_request.tried.append(view.member.address)
        self._timeline.add(
            now + _get_one_way_seconds(view), self._arrive, entry_request, view
        )

    def _arrive(self, entry_request, view):
        kind = entry_request.kind
        deadline = self._clock.read_monotonic() + DEADLINE_SECONDS
        admission_request = HostedAdmissionRequest(
            1,
            kind.route.objective,
            deadline,
            kind.is_nested,
            is_region_bound=bool(kind.route.regions),
            may_move=entry_request.moves < self.MAX_MOVES,
        )
        admission = self._get_admission(view)
        self._record_speed(view)
        try:
            admission.offer(admission_request)
        except RequestError:
            self._schedule_retry(entry_request, view)
            return
        if admission.dequeue_if_slow(admission_request):
            entry_request.moves += 1
            self._schedule_retry(entry_request, view)
            return
        self._poll(entry_request, view, admission_request)

    def _poll(self, entry_request, view, admission_request):
        if admission_request.started_at is not None:
            run_seconds = (
                entry_request.kind.run_seconds * self._read_speed(view) / USUAL
            )
            end = admission_request.started_at + run_seconds
            self._timeline.add(
                end, self._finish, entry_request, view, admission_request
            )
            return
        self._record_speed(view)
        self._get_admission(view).recheck(admission_request)
        if admission_request.refusal is not None:
            self._schedule_retry(entry_request, view)
            return
        moment = self._clock.read_monotonic() + POLL_SECONDS
        self._timeline.add(moment, self._poll, entry_request, view, admission_request)

    def _finish(self, entry_request, view, admission_request):
        self._get_admission(view).release(admission_request, True)
        moment = self._clock.read_monotonic() + _get_one_way_seconds(view)
        entry_request.kind.in_time += (
            moment - entry_request.created_at <= entry_request.kind.route.objective
        )
        self._timeline.add(moment, self._record_load, view)

    def _schedule_retry(self, entry_request, view):
        moment = self._clock.read_monotonic() + _get_one_way_seconds(view)
        self._timeline.add(moment, self._record_load, view)
        self._timeline.add(moment, self._attempt, entry_request)

    def _record_load(self, view):
        admission = self._get_admission(view)
        view.in_flight -= 1
        load = Load(
            admission.count_effective_in_flight(),
            admission.queued,
            admission.limit,
            1,
            self._read_speed(view),
            admission.count_home_demand(),
        )
        view.record_load(load, self._clock.read_monotonic())

    def _record_speed(self, view):
        if self._phases[view.member.address]:
            self._get_admission(view).record_slowness(self._read_speed(view))

    def _read_speed(self, view):
        phases = self._phases[view.member.address]
        return phases.read() if phases else USUAL

    def _get_admission(self, view):
        return self._admissions[view.member.address]


class FullRegionLoad(EntryLoad):
    """One server in the home region and two in another.

    Attributes:
        region_bound: RequestKind that may run only in the home region.
        unbound: RequestKind of nested calls that may run in any region.
    """

    def __init__(self, clock, region_bound_per_second=36):
        self.region_bound = RequestKind(region_bound_per_second, 0.45, 0.8, (HOME,))
        self.unbound = RequestKind(90, 0.08, 0.8, is_nested=True)
        super().__init__(clock, (self.region_bound, self.unbound), (HOME, OTHER, OTHER))


class SlowPhaseLoad(EntryLoad):
    """Short calls to three servers with free slots and slow phases at different times.

    Attributes:
        kind: The only RequestKind.
    """

    def __init__(self, clock, moves):
        """Create a load whose requests may leave `moves` slow servers each."""
        self.MAX_MOVES = moves
        self.kind = RequestKind(100, 0.02, 0.08, is_nested=True)
        super().__init__(clock, (self.kind,), (HOME, HOME, HOME), has_slow_phases=True)


def _get_one_way_seconds(view):
    return 0.0 if view.member.region == HOME else ONE_WAY_SECONDS

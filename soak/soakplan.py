"""Fault plans: the faults of one soak run, drawn at random from its seed."""

import enum
import random

FIRST_FAULT_SECONDS = 1.0
SERIES_PROBABILITY = 0.3
MAX_SERIES_FAULTS = 4
SERIES_GAP_SECONDS = (0.2, 1.5)


class FaultKind(enum.Enum):
    """What fails: a node, a network path, a backend server, the store or the routes."""

    NODE_KILL = "node_kill"
    NODE_PAUSE = "node_pause"
    NODE_STOP = "node_stop"
    NODE_RELOAD = "node_reload"
    PATH_DELAY = "path_delay"
    PATH_RESET = "path_reset"
    PATH_CUT_IN = "path_cut_in"
    PATH_CUT_OUT = "path_cut_out"
    PATH_SILENCE = "path_silence"
    STORE_AWAY = "store_away"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_FORGETS = "store_forgets"
    ROUTES_CHANGE = "routes_change"
    TAKE_OUT = "take_out"
    SERVER_LEAVE = "server_leave"
    SERVER_CRASH = "server_crash"
    SERVER_CLOCK = "server_clock"
    SERVER_SLOW = "server_slow"
    SERVER_BREAKS = "server_breaks"
    SERVER_BREAKS_HEADS = "server_breaks_heads"
    STORE_RESTORED = "store_restored"
    REPORT_LATE = "report_late"
    SERVER_REBORN = "server_reborn"
    STORE_NARROW = "store_narrow"


class PathName(enum.Enum):
    """A network path of a machine that runs through a FaultProxy."""

    CALLERS = "callers"
    LINKS = "links"
    SERVER = "server"
    STORE = "store"


# Minimum and maximum duration in seconds, and the relative weight in the draw.
DURATIONS_AND_WEIGHTS = {
    FaultKind.NODE_KILL: (0.1, 3.0, 3),
    FaultKind.NODE_PAUSE: (0.1, 2.5, 3),
    FaultKind.NODE_STOP: (0.1, 2.0, 3),
    FaultKind.NODE_RELOAD: (0.0, 0.0, 2),
    FaultKind.PATH_DELAY: (1.0, 4.0, 3),
    FaultKind.PATH_RESET: (0.0, 0.0, 4),
    FaultKind.PATH_CUT_IN: (0.3, 4.0, 2),
    FaultKind.PATH_CUT_OUT: (0.3, 4.0, 2),
    FaultKind.PATH_SILENCE: (0.3, 4.0, 3),
    FaultKind.STORE_AWAY: (0.3, 5.0, 2),
    FaultKind.STORE_LOSES_ANSWERS: (0.3, 2.0, 1),
    FaultKind.STORE_FORGETS: (0.0, 0.0, 1),
    FaultKind.ROUTES_CHANGE: (0.0, 0.0, 3),
    FaultKind.TAKE_OUT: (1.0, 8.0, 1),
    FaultKind.SERVER_LEAVE: (0.5, 2.0, 2),
    FaultKind.SERVER_CRASH: (0.1, 2.0, 3),
    FaultKind.SERVER_CLOCK: (0.1, 1.0, 1),
    FaultKind.SERVER_SLOW: (0.5, 4.0, 2),
    FaultKind.SERVER_BREAKS: (0.3, 2.0, 2),
}
# Kinds that were added later: they are drawn from a sequence of their own, so that the
# faults of a seed that once had findings stay the same.
LATER_DURATIONS_AND_WEIGHTS = {
    FaultKind.SERVER_BREAKS_HEADS: (0.3, 2.0, 1),
    FaultKind.STORE_RESTORED: (0.5, 4.0, 2),
    FaultKind.REPORT_LATE: (0.3, 4.0, 3),
    FaultKind.SERVER_REBORN: (0.1, 1.0, 1),
}
# Many routes are added once in each seed while the store has a narrow link: seconds
# of that, and bytes a second for all nodes together.
NARROW_SECONDS = (2.0, 6.0)
NARROW_RATES = (100_000, 200_000, 400_000)
# One fault of the later kinds for so many others.
LATER_SHARE = 4
# An overlap has two stops, this many reloads and as many changes of routes, all within
# this time.
OVERLAP_OPERATIONS = 5
OVERLAP_SECONDS = 6.0
MAX_STOP_DISTANCE_SECONDS = 1.0
# Delay added to each chunk of bytes on a path.
PATH_DELAYS_SECONDS = (0.005, 0.02, 0.1, 0.4)
# Service time of each request at a slow server.
SERVER_DELAYS_SECONDS = (0.1, 0.3, 0.8)
# Jump of a VM's wall clock before the next process of its backend server starts.
CLOCK_JUMPS_SECONDS = (-3600.0, -5.0, 5.0, 3600.0)


class PlannedFault:
    """One fault of a plan.

    Attributes:
        kind: FaultKind.
        node: Number of the node that it affects.
        path: PathName; used only by path faults.
        seconds: Duration in seconds.
        start_seconds: Start, in seconds after the first calls.
        strength: Delay or clock jump in seconds, or bytes a second of a narrow store;
            0 for the other kinds.
    """

    __slots__ = ("kind", "node", "path", "seconds", "start_seconds", "strength")

    def __init__(self, start_seconds, kind, node, path, seconds, strength):
        self.start_seconds = start_seconds
        self.kind = kind
        self.node = node
        self.path = path
        self.seconds = seconds
        self.strength = strength

    def format(self):
        """Return the fault as one line of readable text."""
        path = f" {self.path.value}" if self.kind.value.startswith("path") else ""
        return (
            f"{self.start_seconds:6.2f} s  {self.kind.value}{path}  node {self.node}  "
            f"for {self.seconds:.2f} s  strength {self.strength:g}"
        )


def draw_plan(seed, nodes, seconds, count):
    """Return the PlannedFaults of a seed, sorted by their start.

    Args:
        seed: Seed of the random generator.
        nodes: Number of nodes.
        seconds: Latest start of a fault, in seconds after the first calls.
        count: Number of faults to draw; a series counts as one.
    """
    rng = random.Random(seed)
    plan = []
    for _ in range(count):
        start_seconds = rng.uniform(FIRST_FAULT_SECONDS, seconds)
        plan += _draw_series(rng, start_seconds, nodes, DURATIONS_AND_WEIGHTS)
    rng = random.Random(f"later {seed}")
    for _ in range(count // LATER_SHARE):
        start_seconds = rng.uniform(FIRST_FAULT_SECONDS, seconds)
        plan += _draw_series(rng, start_seconds, nodes, LATER_DURATIONS_AND_WEIGHTS)
    plan += _draw_overlap(random.Random(f"overlap {seed}"), nodes, seconds)
    plan.append(_draw_narrow_store(random.Random(f"narrow {seed}"), seconds))
    return sorted(
        (fault for fault in plan if fault.start_seconds <= seconds), key=_get_start
    )


def _draw_series(rng, start_seconds, nodes, kinds):
    """Return one fault, or several of one kind in a row at the same node and path."""
    weights = [weight for _, _, weight in kinds.values()]
    kind = rng.choices(list(kinds), weights)[0]
    length = (
        rng.randint(2, MAX_SERIES_FAULTS) if rng.random() < SERIES_PROBABILITY else 1
    )
    node, path = rng.randrange(nodes), rng.choice(list(PathName))
    series = []
    for _ in range(length):
        shortest, longest, _ = kinds[kind]
        seconds = rng.uniform(shortest, longest)
        strength = _draw_strength(rng, kind)
        series.append(PlannedFault(start_seconds, kind, node, path, seconds, strength))
        start_seconds += seconds + rng.uniform(*SERIES_GAP_SECONDS)
    return series


def _draw_overlap(rng, nodes, seconds):
    """Return planned operations that overlap: stops, reloads and changes of routes."""
    start_seconds = rng.uniform(FIRST_FAULT_SECONDS, max(seconds / 2, 2.0))
    stop_seconds = start_seconds + rng.uniform(0.0, OVERLAP_SECONDS / 2)
    first, second = rng.sample(range(nodes), 2)
    distance = rng.uniform(0.0, MAX_STOP_DISTANCE_SECONDS)
    starts = [
        (FaultKind.NODE_STOP, first, stop_seconds),
        (FaultKind.NODE_STOP, second, stop_seconds + distance),
    ]
    for kind in (FaultKind.NODE_RELOAD, FaultKind.ROUTES_CHANGE):
        for _ in range(OVERLAP_OPERATIONS):
            moment = start_seconds + rng.uniform(0.0, OVERLAP_SECONDS)
            starts.append((kind, rng.randrange(nodes), moment))
    return [
        PlannedFault(moment, kind, node, PathName.CALLERS, 0.1, 0.0)
        for kind, node, moment in starts
    ]


def _draw_narrow_store(rng, seconds):
    return PlannedFault(
        rng.uniform(FIRST_FAULT_SECONDS, seconds),
        FaultKind.STORE_NARROW,
        0,
        PathName.STORE,
        rng.uniform(*NARROW_SECONDS),
        rng.choice(NARROW_RATES),
    )


def _draw_strength(rng, kind):
    if kind is FaultKind.PATH_DELAY:
        return rng.choice(PATH_DELAYS_SECONDS)
    if kind is FaultKind.SERVER_SLOW:
        return rng.choice(SERVER_DELAYS_SECONDS)
    if kind is FaultKind.SERVER_CLOCK:
        return rng.choice(CLOCK_JUMPS_SECONDS)
    return 0.0


def _get_start(fault):
    return fault.start_seconds

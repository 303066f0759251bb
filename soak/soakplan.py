"""The faults of one soak, drawn from its seed."""

import enum
import random

FIRST_SECONDS = 1.0
SERIES_SHARE = 0.3
MAX_SERIES = 4
SERIES_GAP_SECONDS = (0.2, 1.5)


class FaultKind(enum.Enum):
    """What happens to a node, one of its paths, its server or the store."""

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


class PathName(enum.Enum):
    """A path that leads through a proxy."""

    CALLERS = "callers"
    LINKS = "links"
    SERVER = "server"
    STORE = "store"


# Shortest and longest duration in seconds; how often a kind is drawn.
KINDS = {
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
# Seconds added to each piece on a path, and to each run of a slow server.
DELAYS = (0.005, 0.02, 0.1, 0.4)
SLOW_SECONDS = (0.1, 0.3, 0.8)
# How far the clock of a backend server's VM jumps before its next process starts.
CLOCK_JUMPS_SECONDS = (-3600.0, -5.0, 5.0, 3600.0)


class FaultStep:
    """One fault.

    Attributes:
        at: Seconds from the start of the calls.
        kind: FaultKind.
        node: Number of the node that it is for.
        path: PathName, where the kind is one of a path.
        seconds: How long it lasts.
        strength: What the kind makes of it: a delay or a jump, in seconds.
    """

    __slots__ = ("at", "kind", "node", "path", "seconds", "strength")

    def __init__(self, at, kind, node, path, seconds, strength):
        self.at = at
        self.kind = kind
        self.node = node
        self.path = path
        self.seconds = seconds
        self.strength = strength

    def format(self):
        """Return the step as one line for people."""
        path = f" {self.path.value}" if self.kind.value.startswith("path") else ""
        return (
            f"{self.at:6.2f} s  {self.kind.value}{path}  node {self.node}  "
            f"for {self.seconds:.2f} s  strength {self.strength:g}"
        )


def draw_plan(seed, nodes, seconds, count):
    """Return the FaultSteps of a seed in the order of their times.

    Args:
        seed: Number.
        nodes: Number of nodes.
        seconds: Time within which faults begin.
        count: Faults to draw; a series counts as one.
    """
    rng = random.Random(seed)
    steps = []
    for _ in range(count):
        at = rng.uniform(FIRST_SECONDS, seconds)
        steps += _draw_series(rng, at, nodes)
    return sorted((step for step in steps if step.at <= seconds), key=_read_time)


def _draw_series(rng, at, nodes):
    weights = [weight for _, _, weight in KINDS.values()]
    kind = rng.choices(list(KINDS), weights)[0]
    length = rng.randint(2, MAX_SERIES) if rng.random() < SERIES_SHARE else 1
    node, path = rng.randrange(nodes), rng.choice(list(PathName))
    series = []
    for _ in range(length):
        shortest, longest, _ = KINDS[kind]
        seconds = rng.uniform(shortest, longest)
        strength = _draw_strength(rng, kind)
        series.append(FaultStep(at, kind, node, path, seconds, strength))
        at += seconds + rng.uniform(*SERIES_GAP_SECONDS)
    return series


def _draw_strength(rng, kind):
    if kind is FaultKind.PATH_DELAY:
        return rng.choice(DELAYS)
    if kind is FaultKind.SERVER_SLOW:
        return rng.choice(SLOW_SECONDS)
    if kind is FaultKind.SERVER_CLOCK:
        return rng.choice(CLOCK_JUMPS_SECONDS)
    return 0.0


def _read_time(step):
    return step.at

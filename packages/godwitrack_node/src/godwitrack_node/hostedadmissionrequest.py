"""Admission request: its place in the order of the queue and its longest wait."""

import threading

# Longest wait as a share of the objective; the rest is for the run and the network.
WAIT_SHARE = 0.5
# Share of the objective that may be waited even if a usual run then ends too late.
MIN_WAIT_SHARE = 0.2
# A request counts as late after this share of its objective, since the run and the
# round trip take the rest.
LATE_SHARE = 0.6
# Head start of each priority over the next lower one, as a share of the objective.
PRIORITY_STEP_SHARE = 0.1
# A request that still runs is assumed to have reached the backend server by this time
# after its start.
MAX_ARRIVAL_SECONDS = 0.5


class HostedAdmissionRequest:
    """A request that asks to run at the backend server.

    Attributes:
        priority: Rank, 0 for the most urgent.
        is_region_bound: Whether it may run in no other region.
        may_move: Whether another backend server nearby can take it.
        is_nested: Whether a request that already runs waits for its answer.
        objective: Time within which its answer is worth most, in seconds.
        deadline: Monotonic time after which nobody waits for it, in seconds.
        waited: Seconds for which its caller had waited when it arrived.
        arrived_at: Monotonic time of its arrival at the guard, in seconds.
        started_at: Monotonic time of its start in seconds, or None.
        ended_at: Monotonic time at which its run ended in seconds, or None.
        run_seconds: Usual run time when it arrived, in seconds.
        running_at_start: Number of other requests that ran when it started.
        refusal: ErrorKind if it was refused, or None.
    """

    __slots__ = (
        "_decided",
        "arrived_at",
        "deadline",
        "ended_at",
        "is_nested",
        "is_region_bound",
        "may_move",
        "objective",
        "priority",
        "refusal",
        "run_seconds",
        "running_at_start",
        "started_at",
        "waited",
    )

    def __init__(
        self,
        priority,
        objective,
        deadline,
        is_nested=False,
        waited=0.0,
        is_region_bound=False,
        may_move=False,
    ):
        self.priority = priority
        self.objective = objective
        self.deadline = deadline
        self.is_nested = is_nested
        self.is_region_bound = is_region_bound
        self.may_move = may_move
        self.waited = waited
        self.run_seconds = 0.0
        self.arrived_at = 0.0
        self.started_at = None
        self.ended_at = None
        self.running_at_start = 0
        self.refusal = None
        self._decided = threading.Event()

    @property
    def reached_server_by(self):
        """Latest monotonic time at which it reached the backend server, in seconds."""
        latest = self.started_at + MAX_ARRIVAL_SECONDS
        return latest if self.ended_at is None else min(self.ended_at, latest)

    @property
    def is_late(self):
        """Whether its answer will miss the objective even if it starts at once."""
        return self.waited > LATE_SHARE * self.objective

    @property
    def order(self):
        """Sort key of the queue; the request with the lowest key starts first."""
        step = self.priority * PRIORITY_STEP_SHARE * self.objective
        return (not self.is_nested, self.is_late, self.arrived_at + step)

    @property
    def wait_until(self):
        """Monotonic time until which it may wait in the queue, in seconds."""
        allowed = WAIT_SHARE * self.objective
        if not self.is_late:
            spare = self.objective - self.waited - self.run_seconds
            allowed = min(allowed, max(spare, MIN_WAIT_SHARE * self.objective))
        if self.is_nested:
            # A refusal wastes the run that waits for this request's answer.
            allowed = max(allowed, WAIT_SHARE * (self.deadline - self.arrived_at))
        return min(self.arrived_at + allowed, self.deadline)

    def set_decided(self):
        """Wake the thread that waits for the decision."""
        self._decided.set()

    def wait(self, timeout):
        """Wait for the decision; returns whether there is one.

        Args:
            timeout: Longest wait in seconds.
        """
        return self._decided.wait(timeout)

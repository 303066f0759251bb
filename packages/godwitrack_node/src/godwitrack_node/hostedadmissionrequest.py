"""A request that asks to run at the backend server, and for how long it may wait."""

import threading

# Share of a request's objective that it may wait; the rest is for the run and the way.
WAIT_SHARE = 0.5
# Share that it may wait even if a usual run takes longer than what is left after it.
MIN_WAIT_SHARE = 0.2
# The run and the way there and back take the rest of the objective.
LATE_SHARE = 0.6
# Head start of each rank over the next lower one, as a share of the objective.
PRIORITY_STEP_SHARE = 0.1
# A request without an answer is taken to have arrived by then.
MAX_ARRIVAL_SECONDS = 0.5


class HostedAdmissionRequest:
    """A request that asks to run.

    Attributes:
        priority: Rank, 0 for the most urgent.
        is_bound: Whether it may run in no other region.
        may_move: Whether another backend server nearby can take it.
        is_nested: Whether a request that already runs waits for it.
        objective: Time within which its answer is worth most, in seconds.
        deadline: Monotonic time after which nobody waits for it, in seconds.
        waited: Seconds of the objective that were over when it arrived.
        arrived_at: Monotonic time of its arrival.
        started_at: Monotonic time at which it was let through, or None.
        ended_at: Monotonic time at which its run ended, or None.
        run_seconds: Usual duration of a run at its arrival.
        running: Requests that ran beside it when it was let through.
        refusal: ErrorKind if it was refused, or None.
    """

    __slots__ = (
        "_decided",
        "arrived_at",
        "deadline",
        "ended_at",
        "is_bound",
        "is_nested",
        "may_move",
        "objective",
        "priority",
        "refusal",
        "run_seconds",
        "running",
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
        is_bound=False,
        may_move=False,
    ):
        self.priority = priority
        self.objective = objective
        self.deadline = deadline
        self.is_nested = is_nested
        self.is_bound = is_bound
        self.may_move = may_move
        self.waited = waited
        self.run_seconds = 0.0
        self.arrived_at = 0.0
        self.started_at = None
        self.ended_at = None
        self.running = 0
        self.refusal = None
        self._decided = threading.Event()

    @property
    def arrived_by(self):
        """Monotonic time by which it has reached the backend server, in seconds."""
        latest = self.started_at + MAX_ARRIVAL_SECONDS
        return latest if self.ended_at is None else min(self.ended_at, latest)

    @property
    def is_late(self):
        """Whether its answer will miss the objective, however soon it starts."""
        return self.waited > LATE_SHARE * self.objective

    @property
    def order(self):
        """Sort key by which waiting requests start, lowest first."""
        step = self.priority * PRIORITY_STEP_SHARE * self.objective
        return (not self.is_nested, self.is_late, self.arrived_at + step)

    @property
    def wait_until(self):
        """Monotonic time at which it has waited for long enough."""
        allowed = WAIT_SHARE * self.objective
        if not self.is_late:
            spare = self.objective - self.waited - self.run_seconds
            allowed = min(allowed, max(spare, MIN_WAIT_SHARE * self.objective))
        if self.is_nested:
            # Turning it away wastes the run that waits for it.
            allowed = max(allowed, WAIT_SHARE * (self.deadline - self.arrived_at))
        return min(self.arrived_at + allowed, self.deadline)

    def decide(self):
        """Wake the thread that waits."""
        self._decided.set()

    def wait(self, timeout):
        """Wait for the decision; returns whether there is one."""
        return self._decided.wait(timeout)

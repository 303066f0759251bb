"""Load balancing policies: the default one and baselines to compare it with."""

import abc

SAMPLE_SIZE = 3  # Servers that LeastCostPolicy compares for each request.


class Policy(abc.ABC):
    """Chooses one of the servers that a request may be sent to."""

    @abc.abstractmethod
    def choose(self, views, now):
        """Return one of the views.

        Args:
            views: Sequence of ServerViews, not empty.
            now: Monotonic time in seconds.
        """


class LeastCostPolicy(Policy):
    """Chooses the server of least cost out of a small random sample.

    The cost is the server's utilization with this request added, times its expected
    latency. The peak-sensitive moving average of the latency follows Finagle, the
    small sample follows Prequal. This entry's own requests in flight count towards
    the utilization as the one signal that is never stale.
    """

    def __init__(self, rng, sample_size=SAMPLE_SIZE):
        self._rng = rng
        self._sample_size = sample_size

    def choose(self, views, now):
        """Return the view of least cost in a random sample."""
        if len(views) > self._sample_size:
            views = self._rng.sample(views, self._sample_size)
        return min(views, key=lambda view: self._compute_cost(view, now))

    def _compute_cost(self, view, now):
        utilization = view.estimate_utilization(now) + 1.0 / view.limit
        return utilization * view.estimate_latency(now)


class RandomPolicy(Policy):
    """Baseline: a server drawn uniformly at random."""

    def __init__(self, rng):
        self._rng = rng

    def choose(self, views, now):
        """Return a random view."""
        return self._rng.choice(views)


class RoundRobinPolicy(Policy):
    """Baseline: the servers in turn, ordered by name."""

    def __init__(self, rng):
        self._next = rng.randrange(1000)

    def choose(self, views, now):
        """Return the next view in the order of names."""
        self._next += 1
        ordered = sorted(views, key=lambda view: view.record.name)
        return ordered[self._next % len(ordered)]


class LeastOutstandingPolicy(Policy):
    """Baseline: the server with the fewest of this entry's requests in flight."""

    def __init__(self, rng):
        self._rng = rng

    def choose(self, views, now):
        """Return the view with the fewest requests in flight; ties are random."""
        return min(views, key=lambda view: (view.in_flight, self._rng.random()))


class TwoChoicesPolicy(Policy):
    """Baseline: the less loaded of two random servers, by possibly stale reports."""

    def __init__(self, rng):
        self._rng = rng

    def choose(self, views, now):
        """Return the view with the lower reported load."""
        if len(views) > 2:
            views = self._rng.sample(views, 2)
        return min(views, key=self._compute_reported_utilization)

    def _compute_reported_utilization(self, view):
        if view.load is None:
            return 0.0
        return (view.load.in_flight + view.load.queued) / view.limit


POLICIES = {
    "least-cost": LeastCostPolicy,
    "random": RandomPolicy,
    "round-robin": RoundRobinPolicy,
    "least-outstanding": LeastOutstandingPolicy,
    "two-choices": TwoChoicesPolicy,
}

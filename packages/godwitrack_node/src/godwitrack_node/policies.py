"""Policies that choose among servers: the product's own and its baselines."""

import abc

CHOICES = 3


class Policy(abc.ABC):
    """Chooses among servers that may take a request."""

    @abc.abstractmethod
    def choose(self, views, now):
        """Return one of the views.

        Args:
            views: Sequence of ServerViews, not empty.
            now: Monotonic time in seconds.
        """


class LeastCostPolicy(Policy):
    """Takes the cheapest of a few servers drawn at random.

    The cost is the expected use of the server times its latency. It follows the
    peak-sensitive moving average of Finagle and the few choices of Prequal, with
    this entry's own requests in flight as the signal that is never stale.
    """

    def __init__(self, rng, choices=CHOICES):
        self._rng = rng
        self._choices = choices

    def choose(self, views, now):
        """Return the view of least cost among a few."""
        if len(views) > self._choices:
            views = self._rng.sample(views, self._choices)
        return min(views, key=lambda view: self._compute_cost(view, now))

    def _compute_cost(self, view, now):
        use = view.estimate_use(now) + 1.0 / view.limit
        return use * view.estimate_latency(now)


class RandomPolicy(Policy):
    """Baseline: any server, all alike."""

    def __init__(self, rng):
        self._rng = rng

    def choose(self, views, now):
        """Return any view."""
        return self._rng.choice(views)


class RoundRobinPolicy(Policy):
    """Baseline: each server in turn."""

    def __init__(self, rng):
        self._next = rng.randrange(1000)

    def choose(self, views, now):
        """Return the next view."""
        self._next += 1
        ordered = sorted(views, key=lambda view: view.record.name)
        return ordered[self._next % len(ordered)]


class LeastOutstandingPolicy(Policy):
    """Baseline: the server with the fewest of this entry's requests in flight."""

    def __init__(self, rng):
        self._rng = rng

    def choose(self, views, now):
        """Return the view with the fewest own requests."""
        return min(views, key=lambda view: (view.in_flight, self._rng.random()))


class TwoChoicesPolicy(Policy):
    """Baseline: the less loaded of two at random, by reports that may be stale."""

    def __init__(self, rng):
        self._rng = rng

    def choose(self, views, now):
        """Return the view with the lower reported load."""
        if len(views) > 2:
            views = self._rng.sample(views, 2)
        return min(views, key=self._read_report)

    def _read_report(self, view):
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

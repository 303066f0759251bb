"""This node's share of the retries that all nodes together may send to a service.

Load pattern: a service whose backend servers fail. Retries of all nodes together
stay under a share of the requests of a sliding window, without any talk about it.
Runs that are repeated since their calls fail repeat these calls, too.
"""

import collections
import threading

# The window slides, and requests count where they arrive, so some is left over.
REQUESTS_SAFETY = 0.8
# A node that starts again within a window knows nothing of what it has spent.
SLACK_SAFETY = 0.5
# A run that is repeated makes its calls to other services once more, too.
RUN_COST = 2.5


class RetryLimits:
    """What all nodes together may send again.

    Attributes:
        ratio: Retries for each request.
        window: Length of the window in seconds.
        slack: Retries of all nodes beyond the ratio in one window.
    """

    __slots__ = ("ratio", "slack", "window")

    def __init__(self, ratio, window, slack):
        self.ratio = ratio
        self.window = window
        self.slack = slack

    def is_like(self, other):
        """Tell whether other RetryLimits are the same."""
        names = self.__slots__
        return all(getattr(self, name) == getattr(other, name) for name in names)


class HostedRetryBudget:
    """Counts requests and retries of a window for each service."""

    def __init__(self, clock, limits, count_nodes):
        """Prepare with no requests seen.

        Args:
            clock: Clock.
            limits: RetryLimits.
            count_nodes: Function that returns the number of nodes.
        """
        self._clock = clock
        self._limits = limits
        self._count_nodes = count_nodes
        self._lock = threading.Lock()
        self._requests = {}
        self._retries = {}

    def set_limits(self, limits):
        """Take over other RetryLimits."""
        with self._lock:
            self._limits = limits

    def record_request(self, service):
        """Count the first attempt of a request."""
        with self._lock:
            moment = self._clock.read_monotonic()
            self._count(self._requests, service).append((moment, 1.0))

    def record_retry(self, service):
        """Count a call of a repeated run, which arrives as a retry without a choice."""
        with self._lock:
            retries = self._count(self._retries, service)
            retries.append((self._clock.read_monotonic(), 1.0))

    def has(self, service, cost=1.0):
        """Tell whether there is a retry; for the arguments see `withdraw`."""
        with self._lock:
            return self._has(service, cost)

    def withdraw(self, service, cost=1.0):
        """Take one retry; returns whether there was one.

        Args:
            service: Name of the service.
            cost: Arrivals at this and other services that it may lead to.
        """
        with self._lock:
            if not self._has(service, cost):
                return False
            retries = self._count(self._retries, service)
            retries.append((self._clock.read_monotonic(), cost))
            return True

    def _has(self, service, cost):
        limits = self._limits
        requests = len(self._count(self._requests, service))
        slack = SLACK_SAFETY * limits.slack / max(self._count_nodes(), 1)
        spent = sum(spent for _, spent in self._count(self._retries, service))
        return spent + cost <= REQUESTS_SAFETY * requests * limits.ratio + slack

    def _count(self, table, service):
        moments = table.setdefault(service, collections.deque())
        oldest = self._clock.read_monotonic() - self._limits.window
        while moments and moments[0][0] < oldest:
            moments.popleft()
        return moments

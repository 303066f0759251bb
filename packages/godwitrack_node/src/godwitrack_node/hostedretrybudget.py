"""This node's share of the retries that all nodes together may send to a service.

Load pattern: a service whose backend servers fail. The retries of all nodes together
stay below a share of the requests in a sliding window, without messages between nodes.
A run that is repeated because its calls to other services failed repeats these calls,
too.
"""

import collections
import threading

# Keeps a reserve, as the window slides and requests count at the node they arrive at.
REQUESTS_SAFETY_FACTOR = 0.8
# A node that restarts within a window does not know which retries it has spent.
SLACK_SAFETY_FACTOR = 0.5
# Retries charged for a repeated run, as it also repeats its calls to other services.
RERUN_COST = 2.5


class RetryLimits:
    """Limits for the retries of all nodes together.

    Attributes:
        ratio: Retries for each request.
        window: Length of the window in seconds.
        slack: Retries in one window that all nodes may send in addition to the ratio.
    """

    __slots__ = ("ratio", "slack", "window")

    def __init__(self, ratio, window, slack):
        self.ratio = ratio
        self.window = window
        self.slack = slack

    def has_same_values(self, other):
        """Return whether other RetryLimits have equal values."""
        names = self.__slots__
        return all(getattr(self, name) == getattr(other, name) for name in names)


class HostedRetryBudget:
    """Counts the requests and retries in a sliding window for each service."""

    def __init__(self, clock, limits, count_nodes):
        """Create a budget without any requests recorded.

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
        """Replace the RetryLimits."""
        with self._lock:
            self._limits = limits

    def record_request(self, service):
        """Record the first attempt of a request."""
        with self._lock:
            now = self._clock.read_monotonic()
            self._get_recent(self._requests, service).append((now, 1.0))

    def record_retry(self, service):
        """Record a call by a repeated run, a retry that is not this node's decision."""
        with self._lock:
            retries = self._get_recent(self._retries, service)
            retries.append((self._clock.read_monotonic(), 1.0))

    def can_afford(self, service, cost=1.0):
        """Return whether the budget covers a retry; see `withdraw`."""
        with self._lock:
            return self._can_afford(service, cost)

    def withdraw(self, service, cost=1.0):
        """Charge one retry to the budget; returns whether the budget covers it.

        Args:
            service: Name of the service.
            cost: Number of requests at this and other services that it may cause.
        """
        with self._lock:
            if not self._can_afford(service, cost):
                return False
            retries = self._get_recent(self._retries, service)
            retries.append((self._clock.read_monotonic(), cost))
            return True

    def _can_afford(self, service, cost):
        limits = self._limits
        requests = len(self._get_recent(self._requests, service))
        slack = SLACK_SAFETY_FACTOR * limits.slack / max(self._count_nodes(), 1)
        spent = sum(spent for _, spent in self._get_recent(self._retries, service))
        return spent + cost <= REQUESTS_SAFETY_FACTOR * requests * limits.ratio + slack

    def _get_recent(self, table, service):
        entries = table.setdefault(service, collections.deque())
        window_start = self._clock.read_monotonic() - self._limits.window
        while entries and entries[0][0] < window_start:
            entries.popleft()
        return entries

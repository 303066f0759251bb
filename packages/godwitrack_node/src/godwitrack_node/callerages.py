"""How long a caller has been waiting already when its request arrives.

Load pattern: callers that were refused and come back among those that come for the
first time. All callers of a route wait equally long in all, so that one that comes
back shows by the shorter time that it has left.
"""

# A longer time that callers of a route no longer have is forgotten within two of these.
PERIOD_SECONDS = 10.0
# With fewer requests at the longest time, callers of the route wait for unlike times.
FRESH_SHARE = 0.2
TOLERANCE_SECONDS = 0.001
MAX_ROUTES = 10_000


class CallerAges:
    """Learns how long callers of each route wait in all."""

    def __init__(self, clock):
        """Prepare without having seen any caller."""
        self._clock = clock
        self._periods = {}

    def estimate(self, route, left):
        """Take a request that arrives; returns for how long its caller has waited.

        Args:
            route: Name of the route.
            left: Seconds that the caller will still wait.

        Returns:
            Seconds; 0 where callers of the route wait for unlike times.
        """
        periods = self._periods.get(route)
        if periods is None:
            if len(self._periods) >= MAX_ROUTES:
                self._periods.clear()
            periods = self._periods[route] = _Periods()
        total = periods.take(left, self._clock.read_monotonic())
        return max(total - left, 0.0) if total is not None else 0.0


class _Periods:
    """The times left of one route in this period and the one before it."""

    __slots__ = ("_before", "_now", "_started_at")

    def __init__(self):
        self._before = _Longest()
        self._now = _Longest()
        self._started_at = None

    def take(self, left, now):
        """Count a request; returns the time that most new callers have, or None."""
        if self._started_at is None:
            self._started_at = now
        if now - self._started_at >= PERIOD_SECONDS:
            self._before, self._now = self._now, _Longest()
            self._started_at = now
        self._now.add(left)
        longest = max(self._before, self._now, key=_read_seconds)
        return longest.seconds if longest.is_usual else None


class _Longest:
    """The longest time left among some requests, and how many of them have it."""

    __slots__ = ("_at_longest", "_total", "seconds")

    def __init__(self):
        self._at_longest = 0
        self._total = 0
        self.seconds = 0.0

    @property
    def is_usual(self):
        return self._at_longest >= FRESH_SHARE * self._total

    def add(self, left):
        self._total += 1
        if left > self.seconds + TOLERANCE_SECONDS:
            self.seconds = left
            self._at_longest = 1
        elif left >= self.seconds - TOLERANCE_SECONDS:
            self._at_longest += 1


def _read_seconds(longest):
    return longest.seconds

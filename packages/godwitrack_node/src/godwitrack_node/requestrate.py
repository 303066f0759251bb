"""Rate limit that a backend server in need names in its answers.

Load pattern: a backend server that can take only a part of its usual load and says how
many requests a second it takes from all nodes together. Its guard sees all of them, so
the limit holds exactly, whatever the entries know of it.
"""

# Requests that a server may get at once after an idle time, as seconds of its rate.
BURST_SECONDS = 1.0


class RequestRateLimiter:
    """Token bucket that starts empty, since an earlier process may have used the rate.

    Attributes:
        rate: Most requests a second, or None while there is no limit.
    """

    def __init__(self):
        self.rate = None
        self._tokens = 0.0
        self._counted_at = 0.0

    def set_rate(self, rate, now):
        """Set the limit.

        Args:
            rate: Most requests a second, or None for no limit.
            now: Monotonic time in seconds.
        """
        if self.rate is not None:
            self._count_tokens(now)
        elif rate is not None:
            self._tokens, self._counted_at = 0.0, now
        self.rate = rate

    def compute_wait(self, ahead, now):
        """Return the seconds until a further request may start.

        Args:
            ahead: Number of waiting requests that start before it.
            now: Monotonic time in seconds.
        """
        if self.rate is None:
            return 0.0
        self._count_tokens(now)
        missing = ahead + 1 - self._tokens
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float("inf")

    def allows(self, now):
        """Return whether one more request may start."""
        return self.compute_wait(0, now) == 0.0

    def compute_used_share(self, now):
        """Return the used share of the requests that may start at once, 0 to 1."""
        if self.rate is None:
            return 0.0
        self._count_tokens(now)
        if self._tokens < 1.0:
            return 1.0
        return 1.0 - self._tokens / self._compute_burst()

    def record_start(self, now):
        """Count a request that starts; it also counts if `allows` was not asked."""
        if self.rate is not None:
            self._count_tokens(now)
            self._tokens = max(self._tokens - 1.0, 0.0)

    def _count_tokens(self, now):
        elapsed = max(now - self._counted_at, 0.0)
        self._counted_at = now
        tokens = self._tokens + elapsed * self.rate
        self._tokens = min(tokens, self._compute_burst())

    def _compute_burst(self):
        return max(self.rate * BURST_SECONDS, 1.0)

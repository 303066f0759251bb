"""Rate limit of the requests that reach a cold backend server.

Load pattern: servers that start cold, or turn cold, while callers send more than they
can take. Platforms state the limit as arrivals in any window of one second.
"""

import collections

COLD_WINDOW_SECONDS = 1.0


class WarmupRateLimiter:
    """Limits the requests that reach a cold backend server in any second.

    The time of an arrival is known only within bounds: after the request's start and
    before its end. Requests sent by an earlier process of this node are not known, so
    `hold` delays all requests to a cold server after the node's start.
    """

    def __init__(self):
        self._started = collections.deque()
        self._held_until = 0.0

    def hold(self, until):
        """Start no request before a monotonic time in seconds."""
        self._held_until = until

    def compute_wait(self, rate, ahead, now):
        """Return the seconds until a further request may start.

        Args:
            rate: Most requests a second.
            ahead: Number of waiting requests that start before it.
            now: Monotonic time in seconds.
        """
        hold = max(self._held_until - now, 0.0)
        ends = sorted(
            item.reached_server_by + COLD_WINDOW_SECONDS
            for item in self._started
            if not _has_left_window(item, now)
        )
        surplus = len(ends) + ahead + 1 - _compute_allowance(rate)
        if surplus <= 0:
            return hold
        if surplus <= len(ends):
            return max(ends[surplus - 1] - now, hold)
        last = ends[-1] - now if ends else 0.0
        return max(last + (surplus - len(ends)) / rate, hold)

    def allows(self, rate, now):
        """Return whether one more request may start.

        Args:
            rate: Most requests a second.
            now: Monotonic time in seconds.
        """
        return self.compute_used_share(rate, now) < 1.0

    def compute_used_share(self, rate, now):
        """Return the used share of the requests allowed in the present window.

        Args:
            rate: Most requests a second.
            now: Monotonic time in seconds.
        """
        if now < self._held_until:
            return 1.0
        recent = sum(not _has_left_window(item, now) for item in self._started)
        return recent / _compute_allowance(rate)

    def record_start(self, request):
        """Count a HostedAdmissionRequest that starts.

        Requests to a warm server count too, as it may turn cold.
        """
        self._started.append(request)
        while _has_left_window(self._started[0], request.started_at):
            self._started.popleft()


def _has_left_window(request, now):
    """Return whether a request arrived at least one window length before now."""
    return request.reached_server_by + COLD_WINDOW_SECONDS <= now


def _compute_allowance(rate):
    """Return the requests that may start in a window at a rate a second."""
    return max(int(rate * COLD_WINDOW_SECONDS), 1)

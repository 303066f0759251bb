"""How many requests reach a cold backend server in any second.

Load pattern: servers that start cold, or turn cold, while more is asked than they bear.
Platforms state that as requests in any one second, and count arrivals.
"""

import collections

COLD_WINDOW_SECONDS = 1.0


class WarmupRateLimiter:
    """Limits the requests that reach a cold backend server in any second.

    When one arrives is known only within bounds: after its start, and before its end.
    What an earlier process of this node sent is not known at all.
    """

    def __init__(self):
        self._started = collections.deque()
        self._held_until = 0.0

    def hold(self, until):
        """Let nothing start before a monotonic time in seconds."""
        self._held_until = until

    def find_wait(self, rate, ahead, now):
        """Return the seconds until a further request may start.

        Args:
            rate: Requests a second.
            ahead: Requests that start before it.
            now: Monotonic time in seconds.
        """
        hold = max(self._held_until - now, 0.0)
        ends = sorted(
            item.arrived_by + COLD_WINDOW_SECONDS
            for item in self._started
            if not _is_past(item, now)
        )
        surplus = len(ends) + ahead + 1 - _find_most(rate)
        if surplus <= 0:
            return hold
        if surplus <= len(ends):
            return max(ends[surplus - 1] - now, hold)
        last = ends[-1] - now if ends else 0.0
        return max(last + (surplus - len(ends)) / rate, hold)

    def allows(self, rate, now):
        """Tell whether one more request may start.

        Args:
            rate: Requests a second.
            now: Monotonic time in seconds.
        """
        return self.find_use(rate, now) < 1.0

    def find_use(self, rate, now):
        """Return the share of what may start in a window that has started.

        Args:
            rate: Requests a second.
            now: Monotonic time in seconds.
        """
        if now < self._held_until:
            return 1.0
        recent = sum(not _is_past(item, now) for item in self._started)
        return recent / _find_most(rate)

    def note(self, request):
        """Count a HostedAdmissionRequest that starts.

        Those of a warm server count too, as it may cool down.
        """
        self._started.append(request)
        while _is_past(self._started[0], request.started_at):
            self._started.popleft()


def _is_past(request, now):
    """Tell whether a request that starts now arrives a window later or more."""
    return request.arrived_by + COLD_WINDOW_SECONDS <= now


def _find_most(rate):
    """Return the requests that may start in a window, for a rate a second."""
    return max(int(rate * COLD_WINDOW_SECONDS), 1)

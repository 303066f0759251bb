"""When a run should start, by how fast the backend server works at the moment.

Load pattern: a VM whose neighbours take its processor for a tenth of a second at a
time. A run that starts meanwhile takes several times as long to its end, so that a
short wait for a better moment pays. What is known of the speed is soon out of date.
"""

import collections
import math

# A phase lasts for some 100 ms; what is older than this may belong to the last one.
FRESH_SECONDS = 0.02
# Work that takes no more than so many times as long as at best is not waited for.
SLOW_FACTOR = 2.0
# What was the best longer ago may not come back soon: a cold start, a slow neighbour.
BEST_SECONDS = 1.0
# Share of a request's objective for which a better moment is waited for: as long as it
# may wait at all. A run that starts in a slow moment holds its slot for several others.
HOLD_SHARE = 0.5
# A backend server that does not tell its speed within this is not waited for.
MEASURE_SECONDS = 0.05
# Older knowledge says nothing of the phase; new one did not come.
MAX_AGE_SECONDS = 0.12


class SpeedGauge:
    """Keeps what the backend server last told of its speed."""

    def __init__(self):
        self._slowness = None
        self._noted_at = -math.inf
        self._failed_at = -math.inf
        self._recent = collections.deque()

    def note(self, slowness, now):
        """Take how long work takes now.

        Args:
            slowness: Percent of the usual time, or None where it was not told.
            now: Monotonic time in seconds.
        """
        if slowness is None:
            self._failed_at = now
            return
        self._slowness = slowness
        self._noted_at = now
        self._recent.append((now, slowness))
        while self._recent[0][0] < now - BEST_SECONDS:
            self._recent.popleft()

    def is_due(self, now):
        """Tell whether the speed has to be measured before a run starts."""
        return now - max(self._noted_at, self._failed_at) > FRESH_SECONDS

    def is_good(self, request, now):
        """Tell whether a HostedAdmissionRequest should start now.

        Args:
            request: HostedAdmissionRequest, which has arrived.
            now: Monotonic time in seconds.
        """
        waited = now - request.arrived_at
        if waited >= HOLD_SHARE * request.objective:
            return True
        age = now - self._noted_at
        if age <= FRESH_SECONDS:
            return not self._is_slow()
        if now - self._failed_at <= FRESH_SECONDS:
            return True
        return age > MAX_AGE_SECONDS and waited >= MEASURE_SECONDS

    def is_slow(self, now):
        """Tell whether the backend server is known to be slow at this moment."""
        return now - self._noted_at <= FRESH_SECONDS and self._is_slow()

    def _is_slow(self):
        best = min(slowness for _, slowness in self._recent)
        return self._slowness > SLOW_FACTOR * best

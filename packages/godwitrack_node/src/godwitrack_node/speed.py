"""Delay of requests until the backend server's VM works at its usual speed.

Load pattern: a VM whose neighbours take its processor for a tenth of a second at a
time. A run that starts in such a slow phase takes several times as long, so that a
short wait for the end of the phase shortens the total time. A speed sample is out of
date within tens of milliseconds.
"""

import collections
import math

# A phase lasts for about 100 ms; an older sample may belong to the previous phase.
CURRENT_SAMPLE_SECONDS = 0.02
# Requests are held back only if work takes more than this many times the best time.
SLOW_FACTOR = 2.0
# An older best speed may not return soon, because of a cold start or a slow neighbour.
BEST_WINDOW_SECONDS = 1.0
# Share of its objective for which a request is held back in slow phases: as long as it
# may wait at all, since a run that starts in a slow phase occupies its slot for as long
# as several usual runs.
HOLD_SHARE = 0.5
# Requests wait no longer than this for a server that does not report its speed.
MEASURE_SECONDS = 0.05
# An older sample says nothing about the present phase. If no newer one arrives within
# MEASURE_SECONDS, a request starts without one.
MAX_SAMPLE_AGE_SECONDS = 0.12


class SpeedGauge:
    """Decides from recent speed samples whether requests should start now."""

    def __init__(self):
        self._last_slowness = None
        self._sampled_at = -math.inf
        self._failed_at = -math.inf
        self._samples = collections.deque()

    def record(self, slowness, now):
        """Record a sample of how long work takes.

        Args:
            slowness: Percent of the usual time, or None if the measurement failed.
            now: Monotonic time in seconds.
        """
        if slowness is None:
            self._failed_at = now
            return
        self._last_slowness = slowness
        self._sampled_at = now
        self._samples.append((now, slowness))
        while self._samples[0][0] < now - BEST_WINDOW_SECONDS:
            self._samples.popleft()

    def is_measurement_due(self, now):
        """Return whether the speed has to be measured before a request starts."""
        return now - max(self._sampled_at, self._failed_at) > CURRENT_SAMPLE_SECONDS

    def should_start(self, request, now):
        """Return whether a waiting request should start at the present speed.

        Args:
            request: HostedAdmissionRequest with its time of arrival.
            now: Monotonic time in seconds.
        """
        waited = now - request.arrived_at
        if waited >= HOLD_SHARE * request.objective:
            return True
        age = now - self._sampled_at
        if age <= CURRENT_SAMPLE_SECONDS:
            return not self._is_last_sample_slow()
        if now - self._failed_at <= CURRENT_SAMPLE_SECONDS:
            return True
        return age > MAX_SAMPLE_AGE_SECONDS and waited >= MEASURE_SECONDS

    def is_slow(self, now):
        """Return whether a current sample shows that the backend server is slow."""
        return (
            now - self._sampled_at <= CURRENT_SAMPLE_SECONDS
            and self._is_last_sample_slow()
        )

    def _is_last_sample_slow(self):
        best = min(slowness for _, slowness in self._samples)
        return self._last_slowness > SLOW_FACTOR * best

"""Concurrency limit at which a backend server works well.

Load pattern: a burst that fills a backend server. Some servers work as fast with all
slots in use; others slow down all requests when nearly full, and have a higher
throughput at a lower limit. The run times of similar requests at a full server show
which kind it is. A server that is overloaded from its start never runs at medium
utilization, so both limits are used in turn until a decision is possible.
"""

import math

FULL_SHARE = 1.0
# Servers that slow down when nearly full do so above four fifths of their slots.
REDUCED_SHARE = 0.8
# Smallest share of the slots in use at which a server counts as full.
MIN_FULL_UTILIZATION = 0.9
# Range of the share of slots in use at which run times count as usual.
BASELINE_UTILIZATION = (0.2, REDUCED_SHARE)
# Several times the run time, so that most runs end under the limit they started under.
TRIAL_SECONDS = 0.5
# If work takes more than this percentage of the usual time, the VM's neighbours slow it
# down, so that the run time does not show the effect of a full server.
MAX_SLOWNESS_PERCENT = 120
MIN_BASELINE_SAMPLES = 5
# Single run times scatter by a third; the mean of this many is accurate to a tenth.
MIN_FULL_SAMPLES = 40
# Weight of the newest run in the moving average of usual run times.
BASELINE_WEIGHT = 0.05
# A smaller slowdown can't be distinguished from the scatter of the work itself.
MIN_LOG_SLOWDOWN = math.log(1.3)
# A decision expires after this time, as the VM may have got other neighbours.
DECISION_SECONDS = 20.0
# Limits the memory used if operators define very many routes.
MAX_KINDS = 500


class _Baseline:
    """Usual run time of one kind of request, as a mean of logarithms of seconds."""

    __slots__ = ("count", "mean")

    def __init__(self):
        self.count = 0
        self.mean = 0.0

    def add(self, value):
        self.count += 1
        weight = max(1.0 / self.count, BASELINE_WEIGHT)
        self.mean += weight * (value - self.mean)


class LimitFinder:
    """Finds the share of its slots that a backend server should use.

    Attributes:
        share: FULL_SHARE or REDUCED_SHARE.
    """

    def __init__(self):
        self._baselines = {}
        self._full_count = 0
        self._excess_sum = 0.0
        self._decided_at = None
        self._switched_at = None
        self.share = FULL_SHARE

    def record(self, kind, seconds, utilizations, slowness, now):
        """Record the run of one answered request.

        Args:
            kind: Hashable that groups requests of similar run time.
            seconds: Run time in seconds.
            utilizations: Shares of the slots in use at its start and at its end.
            slowness: Percent of the usual time that work took, or None if unknown.
            now: Monotonic time in seconds.
        """
        self._expire_decision(now)
        self._alternate_limits(now)
        if slowness is not None and slowness > MAX_SLOWNESS_PERCENT:
            return
        value = math.log(max(seconds, 1e-6))
        lowest, highest = min(utilizations), max(utilizations)
        baseline = self._baselines.get(kind)
        if BASELINE_UTILIZATION[0] <= lowest and highest <= BASELINE_UTILIZATION[1]:
            if baseline is None and len(self._baselines) < MAX_KINDS:
                baseline = self._baselines[kind] = _Baseline()
            if baseline is not None:
                baseline.add(value)
        elif (
            lowest >= MIN_FULL_UTILIZATION
            and baseline is not None
            and baseline.count >= MIN_BASELINE_SAMPLES
        ):
            self._record_full_run(value - baseline.mean, now)

    def _alternate_limits(self, now):
        """Switch between both limits in intervals until one of them is chosen."""
        if self._switched_at is None:
            self._switched_at = now
        if self._decided_at is not None or now - self._switched_at < TRIAL_SECONDS:
            return
        self._switched_at = now
        self.share = REDUCED_SHARE if self.share == FULL_SHARE else FULL_SHARE

    def _record_full_run(self, excess, now):
        self._full_count += 1
        self._excess_sum += excess
        if self._full_count < MIN_FULL_SAMPLES:
            return
        is_slowed = self._excess_sum / self._full_count > MIN_LOG_SLOWDOWN
        self.share = REDUCED_SHARE if is_slowed else FULL_SHARE
        self._decided_at = now
        self._full_count, self._excess_sum = 0, 0.0

    def _expire_decision(self, now):
        """Discard an old decision, as the VM may have got other neighbours."""
        if self._decided_at is not None and now - self._decided_at > DECISION_SECONDS:
            self._decided_at = None
            self.share = FULL_SHARE

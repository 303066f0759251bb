"""How many requests at once a backend server works on well.

Load pattern: a burst that fills a backend server. Some work as fast when all slots
are taken; others slow everything down when nearly full, and then do more with less.
Which kind this one is shows in how long like requests take when it is full. A server
that has more to do than it can from its start on is never seen half full, so that
both limits take turns until it is known which one is better.
"""

import math

FULL_SHARE = 1.0
# Servers that slow down do so above four fifths of their slots.
REDUCED_SHARE = 0.8
# Share of the slots in use from which on a run counts as one on a full server.
FULL_FILL = 0.9
# Shares of the slots in use between which runs tell the usual time.
MIDDLE_FILL = (0.2, REDUCED_SHARE)
# Several runs long, so that most run under the limit that let them in.
TURN_SECONDS = 0.5
# Percent of the usual time; slower runs tell of the VM's neighbours, not of the fill.
MAX_USUAL_SLOWNESS = 120
MIN_BASE_SAMPLES = 5
# The mean of so many runs is within a tenth, where single ones scatter by a third.
MIN_FULL_SAMPLES = 40
# Weight of the newest run in the moving average of usual times.
BASE_WEIGHT = 0.05
# Less than this is not told from the spread of the work itself.
SLOWDOWN = math.log(1.3)
# Other neighbours may have come to the VM by then.
FORGET_SECONDS = 20.0
# Bounds the memory, should operators have very many routes.
MAX_KINDS = 500


class _Base:
    """Usual time of one kind of request, as the mean of logarithms."""

    __slots__ = ("count", "mean")

    def __init__(self):
        self.count = 0
        self.mean = 0.0

    def add(self, value):
        self.count += 1
        weight = max(1.0 / self.count, BASE_WEIGHT)
        self.mean += weight * (value - self.mean)


class LimitFinder:
    """Learns which share of its slots a backend server works on well.

    Attributes:
        share: The share, FULL_SHARE or REDUCED_SHARE.
    """

    def __init__(self):
        self._bases = {}
        self._count = 0
        self._sum = 0.0
        self._decided_at = None
        self._turned_at = None
        self.share = FULL_SHARE

    def record(self, kind, seconds, fills, slowness, now):
        """Take one answer.

        Args:
            kind: Hashable that groups requests of like duration.
            seconds: Time that it took.
            fills: Shares of the slots in use when it started and when it ended.
            slowness: Percent of the usual time that work took, or None.
            now: Monotonic time in seconds.
        """
        self._forget(now)
        self._take_turns(now)
        if slowness is not None and slowness > MAX_USUAL_SLOWNESS:
            return
        value = math.log(max(seconds, 1e-6))
        least, most = min(fills), max(fills)
        base = self._bases.get(kind)
        if MIDDLE_FILL[0] <= least and most <= MIDDLE_FILL[1]:
            if base is None and len(self._bases) < MAX_KINDS:
                base = self._bases[kind] = _Base()
            if base is not None:
                base.add(value)
        elif least >= FULL_FILL and base is not None and base.count >= MIN_BASE_SAMPLES:
            self._take_full(value - base.mean, now)

    def _take_turns(self, now):
        """Change to the other limit when it is its turn, while neither is chosen."""
        if self._turned_at is None:
            self._turned_at = now
        if self._decided_at is not None or now - self._turned_at < TURN_SECONDS:
            return
        self._turned_at = now
        self.share = REDUCED_SHARE if self.share == FULL_SHARE else FULL_SHARE

    def _take_full(self, excess, now):
        self._count += 1
        self._sum += excess
        if self._count < MIN_FULL_SAMPLES:
            return
        is_slowed = self._sum / self._count > SLOWDOWN
        self.share = REDUCED_SHARE if is_slowed else FULL_SHARE
        self._decided_at = now
        self._count, self._sum = 0, 0.0

    def _forget(self, now):
        """Look again after a while, as the VM may have got other neighbours."""
        if self._decided_at is not None and now - self._decided_at > FORGET_SECONDS:
            self._decided_at = None
            self.share = FULL_SHARE

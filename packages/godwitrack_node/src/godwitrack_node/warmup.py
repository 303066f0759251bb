"""The warm-up cap: how many requests at once a backend server has shown to bear."""

FAST_WEIGHT = 0.2
SLOW_WEIGHT = 0.002
GOOD_RATIO = 2.0
COLD_RATIO = 4.0
COLD_SAMPLES = 3
MIN_LATE_SECONDS = 0.005
GROWTH = 1.5
DECAY = 0.7
COLD_ANNOUNCEMENT_SECONDS = 120.0


class WarmupCap:
    """A cap that rises only with good answers and falls at once without them.

    A cold server's cap is `cold_slots` until it is announced as warm; from there
    the cap grows by half with each full round of good answers. Answers that are
    far slower than the baseline of their kind put the cap back to `cold_slots`,
    as do failures, whatever was announced.

    Attributes:
        cap: Most requests at once now.
        slots: Most requests at once when warm.
    """

    __slots__ = (
        "_announced_cold_at",
        "_bad_samples",
        "_baselines",
        "_good_samples",
        "cap",
        "cold_slots",
        "slots",
    )

    def __init__(self, cold_slots, slots):
        self.cold_slots = min(cold_slots, slots)
        self.slots = slots
        self.cap = self.cold_slots
        self._announced_cold_at = None
        self._baselines = {}
        self._good_samples = 0
        self._bad_samples = 0

    @property
    def is_cold(self):
        """Whether the cap is where a cold start puts it."""
        return self.cap <= self.cold_slots < self.slots

    def announce(self, is_cold, slots, now):
        """Take over what the backend server says of itself.

        Args:
            is_cold: Whether it says that it is cold.
            slots: Most requests at once when warm.
            now: Monotonic time in seconds.
        """
        self.slots = slots
        self.cold_slots = min(self.cold_slots, slots)
        if is_cold:
            if self._announced_cold_at is None:
                self.fall()
                self._announced_cold_at = now
        else:
            self._announced_cold_at = None
        self.cap = min(self.cap, slots)

    def fall(self):
        """Put the cap back to that of a cold start."""
        self.cap = self.cold_slots
        self._good_samples = 0
        self._bad_samples = 0

    def is_late(self, kind, seconds):
        """Tell whether a request that still runs takes as long as a cold server's.

        Args:
            kind: Hashable that groups requests of like duration, or None.
            seconds: Time since it started.
        """
        baseline = self._baselines.get(kind)
        return baseline is not None and seconds > max(
            COLD_RATIO * baseline, MIN_LATE_SECONDS
        )

    def record(self, kind, seconds, is_failure, now):
        """Learn from one finished request.

        Args:
            kind: Hashable that groups requests of like duration, or None for one
                whose time tells nothing of the server.
            seconds: Time the backend server took.
            is_failure: Whether it failed or gave no answer.
            now: Monotonic time in seconds.
        """
        if is_failure:
            self._record_bad(self.cold_slots)
            return
        if kind is None:
            return
        baseline = self._baselines.get(kind, seconds)
        ratio = seconds / baseline if baseline > 0 else 1.0
        weight = FAST_WEIGHT if seconds < baseline else SLOW_WEIGHT
        self._baselines[kind] = baseline + weight * (seconds - baseline)
        if ratio >= COLD_RATIO and seconds >= MIN_LATE_SECONDS:
            self._record_bad(self.cold_slots)
        elif ratio <= GOOD_RATIO:
            self._record_good(now)

    def _record_bad(self, floor):
        self._good_samples = 0
        self._bad_samples += 1
        if self._bad_samples >= COLD_SAMPLES:
            self.fall()
        else:
            self.cap = max(int(self.cap * DECAY), floor)

    def _record_good(self, now):
        self._bad_samples = 0
        if self._is_announced_cold(now):
            return
        self._good_samples += 1
        if self._good_samples >= self.cap:
            self._good_samples = 0
            self.cap = min(max(int(self.cap * GROWTH), self.cap + 1), self.slots)

    def _is_announced_cold(self, now):
        if self._announced_cold_at is None:
            return False
        return now - self._announced_cold_at < COLD_ANNOUNCEMENT_SECONDS

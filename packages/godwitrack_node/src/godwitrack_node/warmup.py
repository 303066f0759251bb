"""Concurrency limit that grows while a backend server warms up."""

# Weight of a new sample in a baseline, if the sample is faster or slower than it.
BASELINE_FALL_WEIGHT = 0.2
BASELINE_RISE_WEIGHT = 0.002
# An answer is good up to GOOD_RATIO times its baseline, and as slow as that of a cold
# server from COLD_RATIO times on.
GOOD_RATIO = 2.0
COLD_RATIO = 4.0
# Slow answers and failures, without a good answer in between, that reset the cap.
BAD_SAMPLES_TO_RESET = 3
# A shorter time is never taken as a sign of a cold server.
MIN_LATE_SECONDS = 0.005
CAP_GROWTH_FACTOR = 1.5
CAP_DECAY_FACTOR = 0.7
# An announced cold start is disregarded after this time.
COLD_ANNOUNCEMENT_SECONDS = 120.0


class WarmupCap:
    """Limits the requests that run at once at a server that may be cold.

    The cap starts at `cold_slots` and stays there while the server is announced as
    cold. After that it grows by half with each round of as many good answers as the
    cap. A failure, or an answer far slower than the baseline of its kind, lowers the
    cap at once. BAD_SAMPLES_TO_RESET of them without a good answer in between put it
    back to `cold_slots`, whatever was announced.

    Attributes:
        cap: Most requests at once now.
        cold_slots: Most requests at once when cold.
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
        """Whether the cap is still at the value of a cold start."""
        return self.cap <= self.cold_slots < self.slots

    def announce(self, is_cold, slots, now):
        """Apply the state that the backend server announced.

        Args:
            is_cold: Whether it says that it is cold.
            slots: Most requests at once when warm.
            now: Monotonic time in seconds.
        """
        self.slots = slots
        self.cold_slots = min(self.cold_slots, slots)
        if is_cold:
            if self._announced_cold_at is None:
                self.reset()
                self._announced_cold_at = now
        else:
            self._announced_cold_at = None
        self.cap = min(self.cap, slots)

    def reset(self):
        """Set the cap to that of a cold start."""
        self.cap = self.cold_slots
        self._good_samples = 0
        self._bad_samples = 0

    def is_late(self, kind, seconds):
        """Return whether a running request takes as long as on a cold server.

        Args:
            kind: Hashable that groups requests of similar duration, or None.
            seconds: Time that the backend server has taken so far.
        """
        baseline = self._baselines.get(kind)
        return baseline is not None and seconds > max(
            COLD_RATIO * baseline, MIN_LATE_SECONDS
        )

    def record(self, kind, seconds, is_failure, now):
        """Update the baseline and the cap with a finished request.

        Args:
            kind: Hashable that groups requests of similar duration, or None if the
                duration does not depend on the server.
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
        weight = BASELINE_FALL_WEIGHT if seconds < baseline else BASELINE_RISE_WEIGHT
        self._baselines[kind] = baseline + weight * (seconds - baseline)
        if ratio >= COLD_RATIO and seconds >= MIN_LATE_SECONDS:
            self._record_bad(self.cold_slots)
        elif ratio <= GOOD_RATIO:
            self._record_good(now)

    def _record_bad(self, floor):
        self._good_samples = 0
        self._bad_samples += 1
        if self._bad_samples >= BAD_SAMPLES_TO_RESET:
            self.reset()
        else:
            self.cap = max(int(self.cap * CAP_DECAY_FACTOR), floor)

    def _record_good(self, now):
        self._bad_samples = 0
        if self._is_announced_cold(now):
            return
        self._good_samples += 1
        if self._good_samples >= self.cap:
            self._good_samples = 0
            self.cap = min(
                max(int(self.cap * CAP_GROWTH_FACTOR), self.cap + 1), self.slots
            )

    def _is_announced_cold(self, now):
        if self._announced_cold_at is None:
            return False
        return now - self._announced_cold_at < COLD_ANNOUNCEMENT_SECONDS

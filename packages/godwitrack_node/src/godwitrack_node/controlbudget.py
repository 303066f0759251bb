"""The accountant of control traffic, in the region and across the regional link."""

import threading

BURST_SECONDS = 60.0


class TokenBucket:
    """Bytes that may be sent, refilled at a steady rate.

    Attributes:
        rate: Bytes added each second.
        burst: Most bytes saved up.
    """

    def __init__(self, clock, rate, burst):
        self._clock = clock
        self._lock = threading.Lock()
        self._filled_at = clock.read_monotonic()
        self._tokens = burst
        self.rate = rate
        self.burst = burst

    def read(self):
        """Return the bytes that may be sent now; below 0 after an overdraft."""
        with self._lock:
            return self._fill()

    def spend(self, count):
        """Take bytes that were sent, even where none are left."""
        with self._lock:
            self._tokens = self._fill() - count

    def _fill(self):
        now = self._clock.read_monotonic()
        added = (now - self._filled_at) * self.rate
        self._filled_at = now
        self._tokens = min(self._tokens + added, self.burst)
        return self._tokens


class ControlBudget:
    """Meters control bytes and sheds the least useful of them first.

    Heartbeats and changes of the configuration are always sent and always
    counted; news of the directory and its repair get what is left. The rate is
    the stated limit for a second, and up to one minute's worth is saved up, so
    that a node that joins can be given the whole directory at once.
    """

    def __init__(self, clock, bytes_per_second, regional_bytes_per_second):
        self._local = TokenBucket(
            clock, bytes_per_second, bytes_per_second * BURST_SECONDS
        )
        self._regional = TokenBucket(
            clock, regional_bytes_per_second, regional_bytes_per_second * BURST_SECONDS
        )
        self._lock = threading.Lock()
        self.sent = {"local": 0, "regional": 0}
        self.received = {"local": 0, "regional": 0}

    def set_regional_rate(self, bytes_per_second):
        """Set this node's part of what all nodes may send across regions."""
        self._regional.rate = bytes_per_second
        self._regional.burst = bytes_per_second * BURST_SECONDS

    def count(self, is_regional, sent, received):
        """Count bytes that went over a link."""
        scope = "regional" if is_regional else "local"
        with self._lock:
            self.sent[scope] += sent
            self.received[scope] += received
        self._local.spend(sent)
        if is_regional:
            self._regional.spend(sent)

    def find_allowance(self, is_regional):
        """Return the bytes that may be spent on news and repair now."""
        allowance = self._local.read()
        if is_regional:
            allowance = min(allowance, self._regional.read())
        return max(int(allowance), 0)

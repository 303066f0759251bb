"""Budget of the control traffic, in total and across the link between regions."""

import threading

BURST_SECONDS = 60.0  # Time for which unused rate is saved up.


class TokenBucket:
    """A token bucket of bytes that may be sent.

    Attributes:
        rate: Bytes added each second.
        burst: Most bytes that are saved up.
    """

    def __init__(self, clock, rate, burst):
        self._clock = clock
        self._lock = threading.Lock()
        self._refilled_at = clock.read_monotonic()
        self._tokens = burst
        self.rate = rate
        self.burst = burst

    def compute_balance(self):
        """Return the bytes that may be sent now; negative after an overdraft."""
        with self._lock:
            return self._refill()

    def spend(self, count):
        """Subtract bytes that were sent, even if that overdraws the bucket."""
        with self._lock:
            self._tokens = self._refill() - count

    def _refill(self):
        now = self._clock.read_monotonic()
        added = (now - self._refilled_at) * self.rate
        self._refilled_at = now
        self._tokens = min(self._tokens + added, self.burst)
        return self._tokens


class ControlBudget:
    """Counts the bytes of control traffic and limits the less important part of it.

    Heartbeats and configuration changes are always sent and always counted. Updates
    and repairs of the directory may use only what is left. The rate is the configured
    limit for each second, and up to one minute's worth is saved up, so that a node
    that joins can be sent the whole directory at once.

    Attributes:
        sent: Bytes sent so far, by scope ("local" or "regional").
        received: Bytes received so far, by scope.
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
        """Set this node's share of the bytes that all nodes may send across regions."""
        self._regional.rate = bytes_per_second
        self._regional.burst = bytes_per_second * BURST_SECONDS

    def count(self, is_regional, sent, received):
        """Count the bytes sent and received over a link.

        Args:
            is_regional: Whether the link connects two regions.
            sent: Bytes sent.
            received: Bytes received.
        """
        scope = "regional" if is_regional else "local"
        with self._lock:
            self.sent[scope] += sent
            self.received[scope] += received
        self._local.spend(sent)
        if is_regional:
            self._regional.spend(sent)

    def compute_allowance(self, is_regional):
        """Return the bytes that directory updates and repairs may use now.

        Args:
            is_regional: Whether they are sent to another region.
        """
        allowance = self._local.compute_balance()
        if is_regional:
            allowance = min(allowance, self._regional.compute_balance())
        return max(int(allowance), 0)

"""The lease: a node that was paused refuses work until it has caught up."""

import threading

from godwitrack.exceptions import ErrorKind, RequestError

LEASE_SECONDS = 3.0


class Lease:
    """Tells whether the node was paused for longer than LEASE_SECONDS.

    The heartbeat thread calls `beat` several times a second. A longer gap means
    that the whole process stood still, so that its peers may have given it up and
    its configuration may be old. It then stays lapsed until `renew`.
    """

    def __init__(self, clock, seconds=LEASE_SECONDS):
        self._clock = clock
        self._seconds = seconds
        self._lock = threading.Lock()
        self._last_beat = clock.read_monotonic()
        self._is_lapsed = False
        self._lapsed_at = 0.0
        self.lapses = 0

    @property
    def is_lapsed(self):
        """Whether the node must catch up before it takes work."""
        return self._is_lapsed or self._find_gap() > self._seconds

    def beat(self):
        """Note that the process runs; returns whether the lease is held."""
        with self._lock:
            now = self._clock.read_monotonic()
            if self._find_gap() > self._seconds:
                self._is_lapsed = True
                self._lapsed_at = now
                self.lapses += 1
            self._last_beat = now
            return not self._is_lapsed

    def renew(self, asked_at):
        """Hold the lease again, after the node has caught up with a peer.

        Args:
            asked_at: Monotonic time at which the peer was asked, in seconds. An
                answer to a question from before the pause proves nothing.
        """
        with self._lock:
            if asked_at >= self._lapsed_at and self._find_gap() <= self._seconds:
                self._is_lapsed = False

    def check(self):
        """Raise RequestError LEASE_LAPSED unless the lease is held."""
        if self.is_lapsed:
            raise RequestError(ErrorKind.LEASE_LAPSED)

    def _find_gap(self):
        return self._clock.read_monotonic() - self._last_beat

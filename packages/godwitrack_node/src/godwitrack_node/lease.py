"""Lease: a node that was paused refuses requests until it has synchronised."""

import threading

from godwitrack.exceptions import ErrorKind, RequestError

LEASE_SECONDS = 3.0


class Lease:
    """Lapses when the process was paused for longer than the given seconds.

    Membership calls `update` several times a second. A gap longer than the lease
    means that the whole process was paused: its peers may have marked it as silent
    and its configuration may be out of date. The lease then stays lapsed until
    `renew` is called: after an exchange with a peer, or at once without peers.

    Attributes:
        lapse_count: Number of times that the lease has lapsed.
    """

    def __init__(self, clock, seconds=LEASE_SECONDS):
        self._clock = clock
        self._seconds = seconds
        self._lock = threading.Lock()
        self._last_update = clock.read_monotonic()
        self._is_lapsed = False
        self._lapsed_at = 0.0
        self.lapse_count = 0

    @property
    def is_lapsed(self):
        """Whether the node must synchronise with a peer before it admits requests."""
        return self._is_lapsed or self._compute_gap() > self._seconds

    def update(self):
        """Record that the process runs, and return whether the lease is held."""
        with self._lock:
            now = self._clock.read_monotonic()
            if self._compute_gap() > self._seconds:
                self._is_lapsed = True
                self._lapsed_at = now
                self.lapse_count += 1
            self._last_update = now
            return not self._is_lapsed

    def renew(self, requested_at):
        """Hold the lease again after an exchange with a peer.

        Args:
            requested_at: Monotonic time at which the request to the peer was sent,
                in seconds. The lease stays lapsed if that was before the lapse was
                detected, since the answer may be older than the pause.
        """
        with self._lock:
            if requested_at >= self._lapsed_at and self._compute_gap() <= self._seconds:
                self._is_lapsed = False

    def check(self):
        """Check that the lease is held.

        Raises:
            RequestError: LEASE_LAPSED.
        """
        if self.is_lapsed:
            raise RequestError(ErrorKind.LEASE_LAPSED)

    def _compute_gap(self):
        return self._clock.read_monotonic() - self._last_update

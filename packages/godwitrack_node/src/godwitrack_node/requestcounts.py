"""Counts the requests of a hosted node."""

import contextlib
import threading

from godwitrack.kernel import Service


class RequestCounts(Service):
    """Counts requests by their end."""

    name = "metrics"

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._active = 0

    @property
    def active(self):
        """Callers' requests in progress."""
        return self._active

    @contextlib.contextmanager
    def track_request(self):
        """Count a caller's request as in progress."""
        with self._lock:
            self._active += 1
        try:
            yield
        finally:
            with self._lock:
                self._active -= 1

    def record_request(self, errand):
        """Count a request that ended."""

    def count_bad_input(self, port):
        """Count input that was no well-formed request or message."""

    def count_caller_gone(self):
        """Count a caller that left before its answer was complete."""

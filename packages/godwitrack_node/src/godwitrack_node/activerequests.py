"""Counts the callers' requests in flight, which a stopping node waits for."""

import contextlib
import threading

from godwitrack.kernel import Service


class ActiveRequests(Service):
    """Base class of the services that count requests."""

    def __init__(self):
        self._active_lock = threading.Lock()
        self._active = 0

    @property
    def active(self):
        """Number of callers' requests in flight."""
        return self._active

    @contextlib.contextmanager
    def track_request(self):
        """Count a caller's request as in flight within a `with` block."""
        with self._active_lock:
            self._active += 1
        try:
            yield
        finally:
            with self._active_lock:
                self._active -= 1

"""Counts the callers' requests in progress, for which a stop waits."""

import contextlib
import threading

from godwitrack.kernel import Service


class ActiveRequests(Service):
    """Base of the services that count requests."""

    def __init__(self):
        self._active_lock = threading.Lock()
        self._active = 0

    @property
    def active(self):
        """Callers' requests in progress."""
        return self._active

    @contextlib.contextmanager
    def track_request(self):
        """Count a caller's request as in progress."""
        with self._active_lock:
            self._active += 1
        try:
            yield
        finally:
            with self._active_lock:
                self._active -= 1

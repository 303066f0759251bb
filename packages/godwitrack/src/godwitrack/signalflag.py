"""A flag that a signal handler may set while the same thread waits for it."""

import threading

from godwitrack.exceptions import StartCancelled


class SignalFlag:
    """A flag like threading.Event that is set once, also by a handler of signals.

    A handler runs in the main thread, between any two of its steps. If that thread
    held the lock of a threading.Event at that moment, the handler would wait for ever.
    Here the only lock is the one that is waited for, which a handler releases.
    """

    __slots__ = ("_is_set", "_lock")

    def __init__(self):
        self._is_set = False
        self._lock = threading.Lock()
        self._lock.acquire()

    def is_set(self):
        """Return whether the flag is set."""
        return self._is_set

    def set(self):
        """Set the flag and wake all threads that wait for it."""
        if not self._is_set:
            self._is_set = True
            self._open()

    def check_start(self):
        """Check that a start may go on.

        Raises:
            StartCancelled: The flag, which asks for a stop, is set.
        """
        if self._is_set:
            raise StartCancelled("a stop was requested during the start")

    def wait(self, timeout=None):
        """Wait until the flag is set; return whether it is.

        Args:
            timeout: Longest wait in seconds, or None for no limit.
        """
        if self._is_set:
            return True
        seconds = -1 if timeout is None else max(timeout, 0.0)
        if self._lock.acquire(timeout=seconds):
            # The next thread that waits takes the lock as well.
            self._open()
        return self._is_set

    def _open(self):
        """Let all waits end."""
        try:
            self._lock.release()
        except RuntimeError:
            # A handler that came in between has released it.
            return

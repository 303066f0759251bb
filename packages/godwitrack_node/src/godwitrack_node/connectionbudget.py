"""The number of connections that a node serves at once, over several of its ports."""

import threading


class ConnectionBudget:
    """Bounds the connections of several ports below the threads that serve them.

    A connection that is accepted without a thread to serve it would wait in vain, and
    so would the periodic jobs, which use threads of the same pool.

    Attributes:
        refused: Number of connections refused since the start.
    """

    __slots__ = ("_free", "_lock", "refused")

    def __init__(self, limit):
        """Create the budget.

        Args:
            limit: Maximum number of connections at once.
        """
        self._free = limit
        self._lock = threading.Lock()
        self.refused = 0

    def take(self):
        """Count one more connection; return False, and count nothing, if none fits."""
        with self._lock:
            if self._free <= 0:
                return False
            self._free -= 1
            return True

    def count_refused(self):
        """Count a connection that was closed without being served."""
        with self._lock:
            self.refused += 1

    def give_back(self):
        """Count one connection less."""
        with self._lock:
            self._free += 1

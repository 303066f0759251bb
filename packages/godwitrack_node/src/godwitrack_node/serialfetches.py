"""Fetches of the operators' table from nodes that may have a later one.

Load pattern: every answer of a node may carry the hint that it has one, and a long
list of routes fills a slow link for a second. There is one fetch at a time, and a pause
after a failed one.
"""

import threading

from godwitrack.exceptions import StoreError
from godwitrack.logs import get_logger

# Pause after a failed fetch.
PAUSE_SECONDS = 1.0


class SerialFetches:
    """Runs one fetch at a time."""

    def __init__(self, clock, executor):
        """Create without a fetch.

        Args:
            clock: Clock.
            executor: concurrent.futures.Executor.
        """
        self._clock = clock
        self._executor = executor
        self._running = threading.Lock()
        self._paused_until = 0.0
        self._log = get_logger("news")

    def start(self, address, fetch):
        """Start a fetch from a node, unless one runs or has just failed.

        Args:
            address: Address of the node, for the log.
            fetch: Function that fetches the table, and raises StoreError if it fails.

        Returns:
            Whether it was started.
        """
        if self._clock.read_monotonic() < self._paused_until:
            return False
        if not self._running.acquire(blocking=False):
            return False
        try:
            self._executor.submit(self._run, address, fetch)
        except RuntimeError:
            # No thread can be started now; the next hint asks again.
            self._running.release()
            return False
        return True

    def _run(self, address, fetch):
        try:
            fetch()
        except StoreError as error:
            self._paused_until = self._clock.read_monotonic() + PAUSE_SECONDS
            self._log.info("pull failed", peer=address, error=str(error))
        finally:
            self._running.release()

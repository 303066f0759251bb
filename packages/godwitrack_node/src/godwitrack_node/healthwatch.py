"""The times at which the backend server's health is checked."""

import threading

from godwitrack.logs import get_logger
from godwitrack_node.threadpool import run_lasting

# Health checks are billed, and reports and answers show most changes sooner.
CHECK_INTERVAL_SECONDS = 1.0
BLOCKED_CHECK_INTERVAL_SECONDS = 0.25
TICK_SECONDS = 0.05
# Used while a check is due at once: requests wait for the first check after a start
# and for the check of a blocked server.
URGENT_TICK_SECONDS = 0.01
# Stands for a last check so long ago that the next one is due at once.
CHECK_DUE_NOW = 0.0


class HealthWatch:
    """Runs a check at intervals, and soon after each request for one."""

    def __init__(self, clock, executor, is_blocked, check):
        """Create the watch without running a check.

        Args:
            clock: Clock.
            executor: concurrent.futures.Executor.
            is_blocked: Function that returns whether requests wait for a check.
            check: Function that checks; takes the monotonic time in seconds.
        """
        self._clock = clock
        self._executor = executor
        self._is_blocked = is_blocked
        self._check = check
        self._routes = None
        self._checked_at = CHECK_DUE_NOW
        self._stopped = threading.Event()
        self._log = get_logger("registration")

    def connect(self, routes):
        """Use the Routes, which state how to check."""
        self._routes = routes

    def start(self):
        """Start checking."""
        self._executor.submit(run_lasting, self._watch)

    def stop(self):
        """Stop checking."""
        self._stopped.set()

    def request_check(self):
        """Make a check due at once."""
        self._checked_at = CHECK_DUE_NOW

    def _watch(self):
        while not self._stopped.wait(self._compute_tick()):
            try:
                self._check_if_due()
            except Exception:
                self._log.exception("health check failed")

    def _compute_tick(self):
        is_urgent = self._checked_at == CHECK_DUE_NOW
        return URGENT_TICK_SECONDS if is_urgent else TICK_SECONDS

    def _check_if_due(self):
        now = self._clock.read_monotonic()
        interval = (
            BLOCKED_CHECK_INTERVAL_SECONDS
            if self._is_blocked()
            else CHECK_INTERVAL_SECONDS
        )
        if now - self._checked_at >= interval and self._routes.is_ready:
            self._checked_at = now
            self._check(now)

"""Runs the node's periodic jobs in one thread."""

import threading

from godwitrack.kernel import Service
from godwitrack.logs import get_logger
from godwitrack_node.threadpool import run_lasting

TICK_SECONDS = 0.1


class Job:
    """A function that runs periodically.

    Attributes:
        interval: Seconds between two runs.
        function: Function without arguments.
        due: Monotonic time of the next run, in seconds.
    """

    __slots__ = ("due", "function", "interval")

    def __init__(self, interval, function, due):
        self.interval = interval
        self.function = function
        self.due = due


class Scheduler(Service):
    """Runs jobs; one that fails is logged and runs again when it is next due."""

    name = "scheduler"

    def __init__(self, clock, executor):
        self._clock = clock
        self._executor = executor
        self._jobs = []
        self._stopped = threading.Event()
        self._log = get_logger("scheduler")

    def add(self, interval, function):
        """Run a function every `interval` seconds."""
        due = self._clock.read_monotonic() + interval
        self._jobs.append(Job(interval, function, due))

    def start(self):
        """Start running jobs."""
        self._executor.submit(run_lasting, self._run)

    def stop(self):
        """Stop running jobs."""
        self._stopped.set()

    def _run(self):
        while not self._stopped.wait(TICK_SECONDS):
            now = self._clock.read_monotonic()
            for job in list(self._jobs):
                if job.due > now:
                    continue
                job.due = now + job.interval
                try:
                    job.function()
                except Exception:
                    self._log.exception("job failed", job=job.function.__qualname__)

"""The threads of a node."""

import concurrent.futures
import contextlib
import threading
import time

from godwitrack.logs import get_logger

RESTART_PAUSE_SECONDS = 0.1


class IdleThreads:
    """The threads of a pool beyond its calls; stands for the pool's semaphore.

    The semaphore counts no calls that are queued while no thread can be started. Each
    of them would leave it one too high, and a later call would then wait for a thread
    that does not exist.
    """

    __slots__ = ("_count", "_lock")

    def __init__(self):
        self._count = 0
        self._lock = threading.Lock()

    def acquire(self, timeout=None):
        """Count a call; return whether a thread waits for it.

        Args:
            timeout: Not used, as the pool never waits for a thread.
        """
        with self._lock:
            self._count -= 1
            return self._count >= 0

    def release(self):
        """Count a thread that was started or has finished a call."""
        with self._lock:
            self._count += 1


class ThreadPool(concurrent.futures.ThreadPoolExecutor):
    """A thread pool that logs the exceptions of calls whose results nobody reads."""

    def __init__(self, max_workers, prefix=""):
        """Create a pool without threads.

        Args:
            max_workers: Maximum number of threads.
            prefix: Start of the names of the threads.
        """
        super().__init__(max_workers, prefix)
        self._idle_semaphore = IdleThreads()
        self._waiting_thread = None

    @contextlib.contextmanager
    def wait_for_threads(self, check):
        """Let the calling thread wait in `submit` until a thread can be started.

        Args:
            check: Function called before each further attempt; what it raises ends the
                wait.
        """
        self._waiting_thread = (threading.get_ident(), check)
        try:
            yield
        finally:
            self._waiting_thread = None

    def submit(self, function, /, *arguments):
        """Call a function in a thread; return its Future.

        Raises:
            RuntimeError: No thread could be started, or the pool was shut down; the
                function is not called.
        """
        while True:
            task = Task(function, arguments)
            try:
                return super().submit(task.run)
            except RuntimeError:
                # The pool queues the call before it tries to start a thread for it.
                task.cancel()
                ident, check = self._waiting_thread or (None, None)
                if self._shutdown or ident != threading.get_ident():
                    raise
            check()
            time.sleep(RESTART_PAUSE_SECONDS)

    def _adjust_thread_count(self):
        """Start a thread if none waits; called by `submit` under the pool's lock."""
        thread_count = len(self._threads)
        super()._adjust_thread_count()
        if len(self._threads) > thread_count:
            self._idle_semaphore.release()


class Task:
    """One call of a function in a thread."""

    __slots__ = ("_arguments", "_function", "_is_cancelled")

    def __init__(self, function, arguments):
        """Create the call without making it.

        Args:
            function: Function to call.
            arguments: Tuple of its arguments.
        """
        self._function = function
        self._arguments = arguments
        self._is_cancelled = False

    def cancel(self):
        """Make a call that has not begun have no effect."""
        self._is_cancelled = True

    def run(self):
        """Make the call, and log the exception that it ends with."""
        if self._is_cancelled:
            return
        try:
            self._function(*self._arguments)
        except Exception as error:
            log_failure(self._function, error)


def run_lasting(function, *arguments):
    """Call a function that must not end before the node does.

    It is called again whenever it fails, until it returns. Its own handling of errors
    may fail too, where memory or threads have run out for the moment.

    Args:
        function: Function that returns only when the node stops.
        *arguments: Its arguments.
    """
    while True:
        try:
            return function(*arguments)
        except Exception as error:
            log_failure(function, error)
        pause()


def pause():
    """Wait before another attempt, also if there is no memory to do so."""
    try:
        time.sleep(RESTART_PAUSE_SECONDS)
    except Exception:
        return


def log_failure(function, error):
    """Log the exception that a function ended with, if that is possible."""
    try:
        name = getattr(function, "__qualname__", repr(function))
        get_logger("threads").error("thread failed", function=name, exc_info=error)
    except Exception:
        # There is nothing left to say it with.
        return

"""Rate limit for log lines, and a log stream that a separate thread writes."""

import collections
import threading
import time

import structlog

MAX_QUEUED_LINES = 2000
LINES_PER_SECOND = 150
BURST_LINES = 600
# Share of the burst that routine lines, which report success, leave to other lines.
ROUTINE_RESERVED_SHARE = 0.5
ROUTINE_KEY = "routine"
REPORT_INTERVAL_SECONDS = 1.0


class LogBudget:
    """Token bucket that limits log lines; used as a structlog processor.

    Lines marked as routine are dropped first. Dropped lines are counted, and a log
    line reports their number.
    """

    def __init__(self, read_time=time.monotonic):
        """Create a full budget.

        Args:
            read_time: Function that returns monotonic time in seconds.
        """
        self._read_time = read_time
        self._lock = threading.Lock()
        self._tokens = float(BURST_LINES)
        self._refilled_at = read_time()
        self._dropped = 0

    def __call__(self, logger, method, event):
        """Return the event if the budget allows it.

        Raises:
            structlog.DropEvent: The budget is exhausted.
        """
        is_routine = event.pop(ROUTINE_KEY, False)
        if not self._spend_token(is_routine):
            raise structlog.DropEvent
        return event

    def pop_dropped_count(self):
        """Return the number of lines dropped since the last call and reset it."""
        with self._lock:
            dropped, self._dropped = self._dropped, 0
        return dropped

    def count_dropped(self):
        """Count a line that was dropped outside this class."""
        with self._lock:
            self._dropped += 1

    def _spend_token(self, is_routine):
        with self._lock:
            now = self._read_time()
            refill = (now - self._refilled_at) * LINES_PER_SECOND
            self._tokens = min(self._tokens + refill, BURST_LINES)
            self._refilled_at = now
            reserve = BURST_LINES * ROUTINE_RESERVED_SHARE if is_routine else 0.0
            if self._tokens < 1.0 + reserve:
                self._dropped += 1
                return False
            self._tokens -= 1.0
            return True


class LogWriter:
    """A text stream whose `write` never blocks; a thread writes the queued lines."""

    def __init__(self, stream, budget):
        """Start the thread that writes.

        Args:
            stream: Text file to write to; a slow reader delays only the thread.
            budget: LogBudget that counts the lines dropped from a full queue.
        """
        self._stream = stream
        self._budget = budget
        self._lines = collections.deque()
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._idle = threading.Event()
        self._is_started = False
        self._start_thread()

    def _start_thread(self):
        """Start the thread, or leave that to the next write if none can be started."""
        try:
            threading.Thread(target=self._run, daemon=True).start()
            self._is_started = True
        except RuntimeError:
            return

    def write(self, text):
        """Enqueue a text, or drop it if the queue is full."""
        with self._lock:
            if not self._is_started:
                self._start_thread()
            if len(self._lines) < MAX_QUEUED_LINES:
                self._lines.append(text)
                self._idle.clear()
                self._wake.set()
                return
        self._budget.count_dropped()

    def flush(self):
        """Do nothing; the thread flushes after each write."""

    def drain(self, timeout):
        """Wait until all queued lines are written, and return whether they were.

        Args:
            timeout: Seconds to wait.
        """
        return self._idle.wait(timeout) or not self._lines

    def _run(self):
        reported_at = time.monotonic()
        while True:
            self._wake.wait()
            self._wake.clear()
            with self._lock:
                lines = list(self._lines)
                self._lines.clear()
            try:
                self._stream.write("".join(lines))
                self._stream.flush()
            except Exception:
                # The log stream itself failed, so the failure can't be logged now. It
                # may work again, once a disk has room or a reader is back.
                for _ in lines:
                    self._budget.count_dropped()
            if time.monotonic() - reported_at >= REPORT_INTERVAL_SECONDS:
                reported_at = time.monotonic()
                self._report_dropped()
            with self._lock:
                if not self._lines:
                    self._idle.set()

    def _report_dropped(self):
        dropped = self._budget.pop_dropped_count()
        if dropped:
            structlog.get_logger(component="logs").warning(
                "log lines dropped", count=dropped
            )

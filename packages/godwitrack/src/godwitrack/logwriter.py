"""Log lines within a budget, written by a thread of their own."""

import collections
import threading
import time

import structlog

MAX_QUEUED_LINES = 2000
LINES_PER_SECOND = 150
BURST_LINES = 600
# Lines on what went well leave this share of the budget to the others.
ROUTINE_RESERVE = 0.5
ROUTINE_KEY = "routine"
REPORT_SECONDS = 1.0


class LogBudget:
    """Decides which lines are written; used as a processor of structlog.

    Lines marked as routine are dropped first. What is dropped is counted, and said
    in a line of its own.
    """

    def __init__(self, read_time=time.monotonic):
        """Take the function that returns monotonic seconds."""
        self._read_time = read_time
        self._lock = threading.Lock()
        self._tokens = float(BURST_LINES)
        self._filled_at = read_time()
        self._dropped = 0

    def __call__(self, logger, method, event):
        """Return the event, or drop it.

        Raises:
            structlog.DropEvent: The budget is spent.
        """
        is_routine = event.pop(ROUTINE_KEY, False)
        if not self._take(is_routine):
            raise structlog.DropEvent
        return event

    def take_dropped(self):
        """Return the number of lines dropped since the last call."""
        with self._lock:
            dropped, self._dropped = self._dropped, 0
        return dropped

    def note_dropped(self):
        """Count a line that was dropped elsewhere."""
        with self._lock:
            self._dropped += 1

    def _take(self, is_routine):
        with self._lock:
            now = self._read_time()
            gained = (now - self._filled_at) * LINES_PER_SECOND
            self._tokens = min(self._tokens + gained, BURST_LINES)
            self._filled_at = now
            reserve = BURST_LINES * ROUTINE_RESERVE if is_routine else 0.0
            if self._tokens < 1.0 + reserve:
                self._dropped += 1
                return False
            self._tokens -= 1.0
            return True


class LogWriter:
    """A text file that takes lines without waiting and writes them in a thread."""

    def __init__(self, stream, budget):
        """Begin to write.

        Args:
            stream: Text file; a reader that is slow holds up the thread only.
            budget: LogBudget, which counts the lines that find no room.
        """
        self._stream = stream
        self._budget = budget
        self._lines = collections.deque()
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._idle = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, text):
        """Put a text into the queue, or drop it where that is full."""
        with self._lock:
            if len(self._lines) < MAX_QUEUED_LINES:
                self._lines.append(text)
                self._idle.clear()
                self._wake.set()
                return
        self._budget.note_dropped()

    def flush(self):
        """Do nothing; the thread flushes what it writes."""

    def drain(self, timeout):
        """Wait until the queue is written; returns whether it was."""
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
            except (OSError, ValueError):
                # There is nowhere left to say it.
                return
            if time.monotonic() - reported_at >= REPORT_SECONDS:
                reported_at = time.monotonic()
                self._report()
            with self._lock:
                if not self._lines:
                    self._idle.set()

    def _report(self):
        dropped = self._budget.take_dropped()
        if dropped:
            structlog.get_logger(component="logs").warning(
                "log lines dropped", count=dropped
            )

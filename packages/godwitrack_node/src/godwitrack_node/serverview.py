"""Load and latency of a backend server, as seen by an entry."""

import collections
import math
import threading

from godwitrack_node.directory import ServerState

# Half-life of the load that other entries cause, according to the newest report.
LOAD_HALF_LIFE_SECONDS = 0.25
# Half-life of the latency while no answer comes, and time constant of its average.
LATENCY_DECAY_SECONDS = 2.0
INITIAL_LATENCY_SECONDS = 0.005
MIN_LATENCY_SECONDS = 0.0005
MIN_SILENCE_SECONDS = 0.15  # Longer than a request waits in a guard's queue.
SILENCE_FACTOR = 8.0  # Multiple of the average latency of good answers.
ANSWER_WEIGHT = 0.1  # Weight of a new sample in the average of good answers.
FAILURE_FACTOR = 10.0  # A failure counts as an answer this many times as slow.
FAILURES_TO_AVOID = 3  # Failures in a row after which a server is avoided.
AVOID_SECONDS = 0.5  # Doubles with each further failure.
MAX_AVOID_SECONDS = 10.0


class ServerView:
    """The load and latency of one backend server, as seen by this entry.

    Attributes:
        record: Newest ServerRecord.
        in_flight: This entry's own requests that have no answer yet.
        load: Newest Load reported by the server's node, or None.
        load_received_at: Monotonic time of that report, in seconds.
        in_flight_at_report: This entry's own requests in flight at that time.
        latency: Moving average of the latency in seconds; a failure counts as a slow
            answer.
        latency_at: Monotonic time of the last answer or failure, in seconds.
        answer_seconds: Moving average of the latency of good answers alone.
        failures: Failures in a row.
        avoid_until: Monotonic time in seconds until which it gets no requests.
        sent_times: Monotonic times in seconds at which the requests in flight were
            sent.
    """

    __slots__ = (
        "_lock",
        "answer_seconds",
        "avoid_until",
        "failures",
        "in_flight",
        "in_flight_at_report",
        "latency",
        "latency_at",
        "load",
        "load_received_at",
        "record",
        "sent_times",
    )

    def __init__(self, record):
        self.record = record
        self.in_flight = 0
        self.load = None
        self.load_received_at = 0.0
        self.in_flight_at_report = 0
        self.latency = INITIAL_LATENCY_SECONDS
        self.latency_at = 0.0
        self.answer_seconds = INITIAL_LATENCY_SECONDS
        self.failures = 0
        self.avoid_until = 0.0
        self.sent_times = collections.deque()
        self._lock = threading.Lock()

    @property
    def limit(self):
        """Estimated number of requests that the server can run at once."""
        if self.load is not None:
            return max(self.load.limit, 1)
        if self.record.state is ServerState.COLD:
            return 1
        return max(self.record.slots, 1)

    def estimate_utilization(self, now):
        """Return the requests at the server as a share of its limit.

        The requests of other entries are estimated from the newest report, whose
        weight halves every LOAD_HALF_LIFE_SECONDS.

        Args:
            now: Monotonic time in seconds.
        """
        others = 0.0
        if self.load is not None:
            reported = self.load.in_flight + self.load.queued - self.in_flight_at_report
            age = max(now - self.load_received_at, 0.0)
            others = max(reported, 0) * 0.5 ** (age / LOAD_HALF_LIFE_SECONDS)
        return (self.in_flight + others) / self.limit

    def estimate_latency(self, now):
        """Return the expected latency in seconds.

        Requests in flight show that a server has become slow before any answer does:
        the expected latency is at least the median of their ages.

        Args:
            now: Monotonic time in seconds.
        """
        decay = 0.5 ** (max(now - self.latency_at, 0.0) / LATENCY_DECAY_SECONDS)
        latency = self.latency * decay
        with self._lock:
            count = len(self.sent_times)
            if count:
                latency = max(latency, now - self.sent_times[count // 2])
        return latency + MIN_LATENCY_SECONDS

    def compute_silence_timeout(self, limit):
        """Return how long to wait for an answer before a read is retried elsewhere.

        Args:
            limit: Upper bound of the result in seconds.

        Returns:
            Time in seconds.
        """
        usual = SILENCE_FACTOR * self.answer_seconds
        return min(max(usual, MIN_SILENCE_SECONDS), limit)

    def record_sent(self, now):
        """Record that a request was sent.

        Args:
            now: Monotonic time in seconds.
        """
        with self._lock:
            self.in_flight += 1
            self.sent_times.append(now)

    def record_load(self, load, now):
        """Record a load report.

        Args:
            load: Load.
            now: Monotonic time in seconds.
        """
        self.load = load
        self.load_received_at = now
        self.in_flight_at_report = self.in_flight

    def record_answer(self, seconds, now):
        """Record a good answer; a peak of the latency raises the average at once.

        Args:
            seconds: Time since the request was sent.
            now: Monotonic time in seconds.
        """
        self._remove_in_flight(now - seconds)
        self.failures = 0
        self._update_latency(seconds, now)
        self.answer_seconds += ANSWER_WEIGHT * (seconds - self.answer_seconds)

    def record_refusal(self, sent_at):
        """Record a request that was refused or abandoned; the latency stays as it is.

        Args:
            sent_at: Monotonic time in seconds at which it was sent.
        """
        self._remove_in_flight(sent_at)

    def record_failure(self, seconds, now):
        """Record a failure as a slow answer, so that failing fast attracts no requests.

        Args:
            seconds: Time since the request was sent.
            now: Monotonic time in seconds.
        """
        self._remove_in_flight(now - seconds)
        self.failures += 1
        slow = max(seconds, self.latency, INITIAL_LATENCY_SECONDS)
        self._update_latency(min(slow * FAILURE_FACTOR, 10.0), now)
        if self.failures >= FAILURES_TO_AVOID:
            self.avoid(now)

    def avoid(self, now):
        """Avoid the server for a time that doubles with each further failure.

        Args:
            now: Monotonic time in seconds.
        """
        power = min(max(self.failures - FAILURES_TO_AVOID, 0), 8)
        self.avoid_until = now + min(AVOID_SECONDS * 2**power, MAX_AVOID_SECONDS)

    def _remove_in_flight(self, sent_at):
        """Remove the request in flight that was sent nearest to a time."""
        with self._lock:
            self.in_flight = max(self.in_flight - 1, 0)
            if not self.sent_times:
                return
            nearest = min(self.sent_times, key=lambda moment: abs(moment - sent_at))
            self.sent_times.remove(nearest)

    def _update_latency(self, seconds, now):
        age = max(now - self.latency_at, 0.0)
        self.latency_at = now
        if seconds > self.latency:
            weight = 0.5
        else:
            weight = max(1.0 - math.exp(-age / LATENCY_DECAY_SECONDS), 0.1)
        self.latency += weight * (seconds - self.latency)

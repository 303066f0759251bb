"""What an entry knows of the load of one backend server."""

import collections
import math
import threading

from godwitrack_node.directory import ServerState

LOAD_HALF_LIFE_SECONDS = 0.25
LATENCY_DECAY_SECONDS = 2.0
INITIAL_LATENCY_SECONDS = 0.005
MIN_LATENCY_SECONDS = 0.0005
MIN_SILENCE_SECONDS = 0.15  # More than a request waits in a guard's queue.
SILENCE_FACTOR = 8.0
ANSWER_WEIGHT = 0.1
FAILURE_FACTOR = 10.0
FAILURES_TO_AVOID = 3
AVOID_SECONDS = 0.5
MAX_AVOID_SECONDS = 10.0


class ServerView:
    """What an entry knows of one backend server's load.

    Attributes:
        record: Newest ServerRecord.
        in_flight: This entry's own requests that have no answer yet.
        load: Newest Load reported by the server's node, or None.
        load_at: Monotonic time of that report, in seconds.
        latency: Moving average of the answers' latency, in seconds.
        latency_at: Monotonic time of the last answer, in seconds.
        answer_seconds: Moving average of the latency of good answers alone.
        failures: Failures in a row.
        avoid_until: Monotonic time until which it gets no requests.
        sent_at: Monotonic times at which the requests in flight were sent.
    """

    __slots__ = (
        "_lock",
        "answer_seconds",
        "avoid_until",
        "failures",
        "in_flight",
        "latency",
        "latency_at",
        "load",
        "load_at",
        "own_at_report",
        "record",
        "sent_at",
    )

    def __init__(self, record):
        self.record = record
        self.in_flight = 0
        self.load = None
        self.load_at = 0.0
        self.own_at_report = 0
        self.latency = INITIAL_LATENCY_SECONDS
        self.latency_at = 0.0
        self.answer_seconds = INITIAL_LATENCY_SECONDS
        self.failures = 0
        self.avoid_until = 0.0
        self.sent_at = collections.deque()
        self._lock = threading.Lock()

    @property
    def limit(self):
        """Most requests at once that the server is thought to bear."""
        if self.load is not None:
            return max(self.load.limit, 1)
        if self.record.state is ServerState.COLD:
            return 1
        return max(self.record.slots, 1)

    def estimate_use(self, now):
        """Return the requests at the server, in parts of its limit.

        Requests of other entries are taken from the newest report, which loses
        half of its weight in each LOAD_HALF_LIFE_SECONDS.
        """
        others = 0.0
        if self.load is not None:
            reported = self.load.in_flight + self.load.queued - self.own_at_report
            age = max(now - self.load_at, 0.0)
            others = max(reported, 0) * 0.5 ** (age / LOAD_HALF_LIFE_SECONDS)
        return (self.in_flight + others) / self.limit

    def estimate_latency(self, now):
        """Return the latency to expect, in seconds.

        Requests without an answer tell before any answer does that a server has
        become slow: the latency is at least the age of the older half of them.
        """
        trust = 0.5 ** (max(now - self.latency_at, 0.0) / LATENCY_DECAY_SECONDS)
        latency = self.latency * trust
        with self._lock:
            waiting = len(self.sent_at)
            if waiting:
                latency = max(latency, now - self.sent_at[waiting // 2])
        return latency + MIN_LATENCY_SECONDS

    def find_silence(self, limit):
        """Return the seconds without an answer after which a read is tried elsewhere.

        Args:
            limit: Most seconds to return.
        """
        usual = SILENCE_FACTOR * self.answer_seconds
        return min(max(usual, MIN_SILENCE_SECONDS), limit)

    def record_sent(self, now):
        """Count a request that was sent."""
        with self._lock:
            self.in_flight += 1
            self.sent_at.append(now)

    def record_load(self, load, now):
        """Take over a report of load."""
        self.load = load
        self.load_at = now
        self.own_at_report = self.in_flight

    def record_answer(self, seconds, now):
        """Count a good answer and its latency; a peak counts at once."""
        self._forget(now - seconds)
        self.failures = 0
        self._learn(seconds, now)
        self.answer_seconds += ANSWER_WEIGHT * (seconds - self.answer_seconds)

    def record_refusal(self, sent_at):
        """Count a refusal that did not run, of a request sent at a time."""
        self._forget(sent_at)

    def record_failure(self, seconds, now):
        """Count a failure as a slow answer, so that failing fast attracts nothing."""
        self._forget(now - seconds)
        self.failures += 1
        slow = max(seconds, self.latency, INITIAL_LATENCY_SECONDS)
        self._learn(min(slow * FAILURE_FACTOR, 10.0), now)
        if self.failures >= FAILURES_TO_AVOID:
            self.avoid(now)

    def avoid(self, now):
        """Give the server no requests for a time that grows with its failures."""
        power = min(max(self.failures - FAILURES_TO_AVOID, 0), 8)
        self.avoid_until = now + min(AVOID_SECONDS * 2**power, MAX_AVOID_SECONDS)

    def _forget(self, sent_at):
        """Take one request out of those in flight."""
        with self._lock:
            self.in_flight = max(self.in_flight - 1, 0)
            if not self.sent_at:
                return
            nearest = min(self.sent_at, key=lambda moment: abs(moment - sent_at))
            self.sent_at.remove(nearest)

    def _learn(self, seconds, now):
        age = max(now - self.latency_at, 0.0)
        self.latency_at = now
        if seconds > self.latency:
            weight = 0.5
        else:
            weight = max(1.0 - math.exp(-age / LATENCY_DECAY_SECONDS), 0.1)
        self.latency += weight * (seconds - self.latency)

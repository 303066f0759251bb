"""Pacing: how fast large bodies go over the link between regions."""

import collections
import statistics
import threading

from godwitrack.exceptions import LinkTimeout
from godwitrack.kernel import Service
from godwitrack.messages import Chunk, Proceed

PART_BYTES = 64 * 1024
REGIONAL_FIRST_BYTES = 16 * 1024
REGIONAL_PART_BYTES = 8 * 1024
WINDOW_PARTS = 8

INITIAL_RATE = 64_000.0  # Bytes a second.
MIN_RATE = 2_000.0  # Bytes a second.
MAX_RATE = 3_000_000.0  # Bytes a second; 80% of a link of 30 Mbit/s.
RATE_GAIN = 50_000.0  # Bytes a second, for each second without a queue.
START_GAIN = 3.0  # Parts of the rate, for each second before the first queue.
RATE_CUT = 0.5  # Largest part by which one update lowers the rate.
QUEUE_TARGET_SECONDS = 0.003
UPDATE_SECONDS = 0.05
MAX_GAIN_SECONDS = 4 * UPDATE_SECONDS
BASE_WINDOW_SECONDS = 60.0
IDLE_SECONDS = 5.0
# A body has crossed within this share of its time, however slow the pace; the rest
# is for its run and its answer.
CROSSING_SHARE = 0.5


class RegionalPacer(Service):
    """Sets the rate of this node's large bodies by the delay that they meet.

    A delay above the least one seen stands for a queue on the link between regions,
    which small requests share. All nodes lower their rates while they see a queue
    and raise them slowly otherwise, without asking each other, as LEDBAT does
    (RFC 6817). Small requests and answers are not paced.

    Attributes:
        rate: Bytes a second at which parts may be sent now.
        sent_bytes: Bytes of parts sent so far.
    """

    name = "regional-pacer"

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        now = clock.read_monotonic()
        self._next_send = now
        self._updated_at = now
        self._samples = []
        self._base = None
        self._previous_base = None
        self._base_since = now
        self._is_starting = True
        self.rate = INITIAL_RATE
        self.sent_bytes = 0

    def reserve(self, count):
        """Return the monotonic time at which a part of `count` bytes may be sent."""
        with self._lock:
            now = self._clock.read_monotonic()
            if now - self._next_send > IDLE_SECONDS:
                self.rate = max(self.rate, INITIAL_RATE)
                self._is_starting = True
            moment = max(self._next_send, now)
            self._next_send = moment + count / self.rate
            self.sent_bytes += count
            return moment

    def record(self, seconds):
        """Learn from the time until the other side took a part.

        Args:
            seconds: Time from sending a part to the other side's word for it.
        """
        with self._lock:
            now = self._clock.read_monotonic()
            self._note_base(seconds, now)
            self._samples.append(seconds)
            if now - self._updated_at < UPDATE_SECONDS:
                return
            # A receiver that is slow by itself delays fewer parts than the others
            # send meanwhile, so that the median tells of the link.
            delay = statistics.median_low(self._samples)
            self._update(delay - self._read_base(), now)

    def _note_base(self, seconds, now):
        if now - self._base_since > BASE_WINDOW_SECONDS:
            self._previous_base, self._base = self._base, None
            self._base_since = now
        if self._base is None or seconds < self._base:
            self._base = seconds

    def _read_base(self):
        if self._previous_base is None:
            return self._base
        return min(self._base, self._previous_base)

    def _update(self, queue_seconds, now):
        elapsed = min(now - self._updated_at, MAX_GAIN_SECONDS)
        self._updated_at = now
        self._samples.clear()
        room = max(1.0 - queue_seconds / QUEUE_TARGET_SECONDS, -1.0)
        if room > 0:
            gain = RATE_GAIN
            if self._is_starting:
                gain += START_GAIN * self.rate
            self.rate += room * gain * elapsed
        else:
            self._is_starting = False
            self.rate *= 1.0 + RATE_CUT * room
        self.rate = min(max(self.rate, MIN_RATE), MAX_RATE)


class PartSender:
    """Sends the parts of one body over a link.

    The receiver answers each part but the last with Proceed; no more than
    WINDOW_PARTS are without such an answer, so that a body waits in its sender.
    """

    def __init__(self, link, clock, pacer=None):
        """Prepare for one body.

        Args:
            link: Link, on which the other side sends nothing else meanwhile.
            clock: Clock.
            pacer: RegionalPacer where the link crosses regions, or None.
        """
        self._link = link
        self._clock = clock
        self._pacer = pacer
        self._limit = REGIONAL_PART_BYTES if pacer else PART_BYTES
        self._sent_at = collections.deque()

    def send(self, body, more, deadline, due_at=None):
        """Send a part of the body, in smaller ones where need be.

        Args:
            body: Bytes.
            more: Whether parts follow.
            deadline: Monotonic time in seconds after which sending fails.
            due_at: Monotonic time at which the whole must have had its effect, in
                seconds; the deadline by default.

        Returns:
            A message of the other side that ends the sending, or None.

        Raises:
            LinkError: The link failed, or the parts were not taken in time.
        """
        started = self._clock.read_monotonic()
        due_at = deadline if due_at is None else due_at
        allowed = max(due_at - started, 0.0) * CROSSING_SHARE
        offset = 0
        for piece, is_last in split_body(body, self._limit):
            latest = started + allowed * offset / max(len(body), 1)
            offset += len(piece)
            message = self._wait_turn(len(piece), latest, deadline)
            if message is not None:
                return message
            has_next = more or not is_last
            left = deadline - self._clock.read_monotonic()
            self._link.send(Chunk(piece, has_next), max(left, 0.001))
            if has_next:
                self._sent_at.append(self._clock.read_monotonic())
        return None

    def take(self, message):
        """Take a message; returns it if it is no Proceed for a part, else None."""
        if type(message) is not Proceed:
            return message
        if self._sent_at:
            sent_at = self._sent_at.popleft()
            if self._pacer is not None:
                self._pacer.record(self._clock.read_monotonic() - sent_at)
        return None

    def _wait_turn(self, count, latest, deadline):
        """Wait until a part may be sent; returns a message that forbids it."""
        due = self._clock.read_monotonic()
        if self._pacer is not None:
            due = min(self._pacer.reserve(count), latest)
        while True:
            now = self._clock.read_monotonic()
            if now >= deadline:
                raise LinkTimeout("the body was not taken in time")
            is_full = len(self._sent_at) >= WINDOW_PARTS
            is_due = now >= due
            if is_due and not is_full and not self._link.has_input():
                return None
            until = deadline if is_full else min(due, deadline)
            message = self._receive(until - now)
            if message is not None:
                return message

    def _receive(self, timeout):
        try:
            return self.take(self._link.receive(max(timeout, 0.0)))
        except LinkTimeout:
            return None


def split_body(body, limit):
    """Yield pieces of a body of at most `limit` bytes, and whether each is the last.

    An empty body gives one empty piece.
    """
    last = max((len(body) - 1) // limit, 0)
    for index in range(last + 1):
        yield bytes(body[index * limit : (index + 1) * limit]), index == last

"""Pacing of large bodies sent over the link between regions."""

import collections
import statistics
import threading

from godwitrack.callmessages import Chunk, Proceed
from godwitrack.exceptions import LinkTimeout
from godwitrack.kernel import Service

PART_BYTES = 64 * 1024  # Largest part of a body within a region.
# Largest first part between regions; it is sent unpaced, with the call or the head of
# the answer.
REGIONAL_FIRST_BYTES = 16 * 1024
REGIONAL_PART_BYTES = 8 * 1024  # Largest further part between regions; it is paced.
WINDOW_PARTS = 8  # Most parts of a body that are sent but not acknowledged.

INITIAL_BYTES_PER_SECOND = 64_000.0
MIN_BYTES_PER_SECOND = 2_000.0
MAX_BYTES_PER_SECOND = 3_000_000.0  # 80% of a link of 30 Mbit/s.
RATE_GAIN = 50_000.0  # Bytes a second, added in each second without a queue.
# Until the first queue is seen, each second also adds this multiple of the rate.
START_GAIN = 3.0
MAX_RATE_CUT = 0.5  # Largest share by which one update lowers the rate.
QUEUE_TARGET_SECONDS = 0.003
UPDATE_SECONDS = 0.05
MAX_GAIN_SECONDS = 4 * UPDATE_SECONDS  # Most time that one increase accounts for.
# The base delay is the least one of the current and the previous window.
BASE_WINDOW_SECONDS = 60.0
# After a pause this long the rate is at least the initial one and grows fast again.
IDLE_SECONDS = 5.0
# A body is sent within this share of the time until it is due, however low the rate;
# the rest of the time is for running the request and sending the answer.
TRANSFER_SHARE = 0.5


class RegionalPacer(Service):
    """Adapts this node's sending rate for large bodies to the delay of their parts.

    A delay above the least one seen recently means a queue on the link between regions,
    which small requests share. Each node lowers its rate while it sees a queue and
    raises it slowly otherwise, without coordination with other nodes, as LEDBAT does
    (RFC 6817). Small requests and answers are not paced.

    Attributes:
        rate: Bytes a second at which parts may be sent now.
        sent_bytes: Bytes of the parts reserved for sending so far.
    """

    name = "regional-pacer"

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        now = clock.read_monotonic()
        self._next_send_at = now
        self._updated_at = now
        self._delays = []
        self._base_delay = None
        self._previous_base_delay = None
        self._base_window_started_at = now
        self._is_starting = True
        self.rate = INITIAL_BYTES_PER_SECOND
        self.sent_bytes = 0

    def reserve(self, count):
        """Reserve the next time to send a part.

        Args:
            count: Bytes of the part.

        Returns:
            Monotonic time in seconds at which the part may be sent.
        """
        with self._lock:
            now = self._clock.read_monotonic()
            if now - self._next_send_at > IDLE_SECONDS:
                self.rate = max(self.rate, INITIAL_BYTES_PER_SECOND)
                self._is_starting = True
            send_at = max(self._next_send_at, now)
            self._next_send_at = send_at + count / self.rate
            self.sent_bytes += count
            return send_at

    def record(self, seconds):
        """Record the delay of a part, and update the rate every UPDATE_SECONDS.

        Args:
            seconds: Time from sending a part to its acknowledgement.
        """
        with self._lock:
            now = self._clock.read_monotonic()
            self._update_base_delay(seconds, now)
            self._delays.append(seconds)
            if now - self._updated_at < UPDATE_SECONDS:
                return
            # A slow receiver delays only its own parts, which are fewer than those
            # sent to the others meanwhile, so the median reflects the link.
            delay = statistics.median_low(self._delays)
            self._update_rate(delay - self._get_base_delay(), now)

    def _update_base_delay(self, seconds, now):
        if now - self._base_window_started_at > BASE_WINDOW_SECONDS:
            self._previous_base_delay, self._base_delay = self._base_delay, None
            self._base_window_started_at = now
        if self._base_delay is None or seconds < self._base_delay:
            self._base_delay = seconds

    def _get_base_delay(self):
        if self._previous_base_delay is None:
            return self._base_delay
        return min(self._base_delay, self._previous_base_delay)

    def _update_rate(self, queue_seconds, now):
        """Raise the rate if the queueing delay is below its target, else lower it."""
        elapsed = min(now - self._updated_at, MAX_GAIN_SECONDS)
        self._updated_at = now
        self._delays.clear()
        headroom = max(1.0 - queue_seconds / QUEUE_TARGET_SECONDS, -1.0)
        if headroom > 0:
            gain = RATE_GAIN
            if self._is_starting:
                gain += START_GAIN * self.rate
            self.rate += headroom * gain * elapsed
        else:
            self._is_starting = False
            self.rate *= 1.0 + MAX_RATE_CUT * headroom
        self.rate = min(max(self.rate, MIN_BYTES_PER_SECOND), MAX_BYTES_PER_SECOND)


class PartSender:
    """Sends the parts of one body over a link.

    The receiver acknowledges each part but the last with Proceed. No more than
    WINDOW_PARTS are unacknowledged at a time, so that the rest of the body waits at
    the sender. The body has ended for both sides once the last part is sent and all
    others are acknowledged: before that, the link can't carry another exchange.
    """

    def __init__(self, link, clock, pacer=None, drop=None):
        """Create a sender for one body.

        Args:
            link: Link.
            clock: Clock.
            pacer: RegionalPacer if the link connects two regions, or None.
            drop: Function of a message that returns whether it is one to drop; by
                default none is.
        """
        self._drop = drop
        self._link = link
        self._clock = clock
        self._pacer = pacer
        self._limit = REGIONAL_PART_BYTES if pacer else PART_BYTES
        self._sent_times = collections.deque()
        self._is_last_sent = False

    @property
    def is_complete(self):
        """Whether the whole body was sent and the receiver acknowledged it."""
        return self._is_last_sent and not self._sent_times

    def finish(self, deadline):
        """Wait until the receiver has acknowledged all parts before the last one.

        Args:
            deadline: Monotonic time in seconds at which waiting fails.

        Returns:
            A message of the receiver that is no acknowledgement, or None.

        Raises:
            LinkError: The link failed, or an acknowledgement did not come in time.
        """
        while self._sent_times:
            remaining = deadline - self._clock.read_monotonic()
            if remaining <= 0:
                raise LinkTimeout("the body was not acknowledged in time")
            message = self._receive(remaining)
            if message is not None:
                return message
        return None

    def send(self, body, more, deadline, due_at=None):
        """Send a part of the body, split into smaller parts if it is too large.

        Args:
            body: Bytes.
            more: Whether further parts of the body follow.
            deadline: Monotonic time in seconds after which sending fails.
            due_at: Monotonic time in seconds by which the request as a whole must be
                completed; the deadline by default.

        Returns:
            A message of the receiver that ends the sending early, or None.

        Raises:
            LinkError: The link failed, or the parts were not accepted in time.
        """
        started = self._clock.read_monotonic()
        due_at = deadline if due_at is None else due_at
        allowed = max(due_at - started, 0.0) * TRANSFER_SHARE
        offset = 0
        for piece, is_last in split_body(body, self._limit):
            latest = started + allowed * offset / max(len(body), 1)
            offset += len(piece)
            message = self._wait_for_turn(len(piece), latest, deadline)
            if message is not None:
                return message
            has_next = more or not is_last
            remaining = deadline - self._clock.read_monotonic()
            self._link.send(Chunk(piece, has_next), max(remaining, 0.001))
            if has_next:
                self._sent_times.append(self._clock.read_monotonic())
        self._is_last_sent = not more
        return None

    def handle_message(self, message):
        """Process a Proceed; return any other message to the caller.

        Args:
            message: Message that was received.

        Returns:
            The message if it is not a Proceed, else None.
        """
        if type(message) is not Proceed:
            is_dropped = self._drop is not None and self._drop(message)
            return None if is_dropped else message
        if self._sent_times:
            sent_at = self._sent_times.popleft()
            if self._pacer is not None:
                self._pacer.record(self._clock.read_monotonic() - sent_at)
        return None

    def _wait_for_turn(self, count, latest, deadline):
        """Wait until a part may be sent.

        Args:
            count: Bytes of the part.
            latest: Monotonic time in seconds at which the part is sent even if the
                pacer would delay it further.
            deadline: Monotonic time in seconds at which waiting fails.

        Returns:
            A message of the receiver that ends the sending early, or None.
        """
        due = self._clock.read_monotonic()
        if self._pacer is not None:
            due = min(self._pacer.reserve(count), latest)
        while True:
            now = self._clock.read_monotonic()
            if now >= deadline:
                raise LinkTimeout("the body was not taken in time")
            is_full = len(self._sent_times) >= WINDOW_PARTS
            is_due = now >= due
            if is_due and not is_full and not self._link.has_input():
                return None
            until = deadline if is_full else min(due, deadline)
            message = self._receive(until - now)
            if message is not None:
                return message

    def _receive(self, timeout):
        try:
            return self.handle_message(self._link.receive(max(timeout, 0.0)))
        except LinkTimeout:
            return None


def split_body(body, limit):
    """Yield pairs of a piece of a body and whether it is the last one.

    An empty body yields one empty piece.

    Args:
        body: Bytes.
        limit: Most bytes of a piece.
    """
    last = max((len(body) - 1) // limit, 0)
    for index in range(last + 1):
        yield bytes(body[index * limit : (index + 1) * limit]), index == last

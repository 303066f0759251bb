"""Budget of the bytes that connections hold at the same time."""

import threading
import time

# A part of the memory that a node may use.
MAX_HELD_BYTES = 64 * 2**20
# Holders of up to this size may exceed the budget, all of them together by MAX_EXTRA.
SMALL_BYTES = 256 * 1024
MAX_EXTRA_BYTES = 16 * 2**20
POLL_SECONDS = 0.002


class OpenShare:
    """The bytes of one holder whose end is not known.

    Attributes:
        held_bytes: Bytes reserved so far.
        must_yield: Whether it gives up for others, so that it can reserve no more.
    """

    __slots__ = ("held_bytes", "must_yield")

    def __init__(self):
        self.held_bytes = 0
        self.must_yield = False


class ByteBudget:
    """Bounds the bytes that several connections hold at the same time.

    A holder of unknown size can fill any budget, so the largest of these gives up
    first, and all of them before one whose size is known.
    """

    def __init__(self, max_bytes=MAX_HELD_BYTES):
        """Create an unused budget.

        Args:
            max_bytes: Bytes that may be held at once.
        """
        self._max_bytes = max_bytes
        # Reentrant, as memory that the garbage collector frees releases its bytes.
        self._lock = threading.RLock()
        self._used_bytes = 0
        self._shares = set()

    @property
    def max_bytes(self):
        """Bytes that may be held at once."""
        return self._max_bytes

    @property
    def used_bytes(self):
        """Bytes reserved and not released."""
        return self._used_bytes

    def reserve(self, count):
        """Reserve bytes, which count in any case; return whether they fit."""
        with self._lock:
            self._used_bytes += count
            return self._used_bytes <= self._max_bytes

    def release(self, count):
        """Release reserved bytes."""
        with self._lock:
            self._used_bytes -= count

    def reserve_whole(self, count, timeout=0.0):
        """Reserve all bytes of a holder of known size, or none.

        Args:
            count: Bytes.
            timeout: Seconds to wait until they fit.

        Returns:
            Whether they were reserved.
        """
        limit = self._max_bytes + (MAX_EXTRA_BYTES if count <= SMALL_BYTES else 0)
        deadline = time.monotonic() + timeout
        while not self._try_reserve(count, limit):
            if count > limit or time.monotonic() >= deadline:
                return False
            time.sleep(POLL_SECONDS)
        return True

    def open_share(self):
        """Return a new OpenShare, which close_share must return."""
        share = OpenShare()
        with self._lock:
            self._shares.add(share)
        return share

    def extend_share(self, share, count):
        """Reserve bytes for an OpenShare; return False if its holder must give up."""
        with self._lock:
            share.held_bytes += count
            self._used_bytes += count
            excess = self._used_bytes - self._max_bytes
            if excess <= 0:
                return not share.must_yield
            self._make_room(excess)
            if share.must_yield or excess > MAX_EXTRA_BYTES:
                return False
        # Lets a larger holder give up first.
        time.sleep(POLL_SECONDS)
        return True

    def close_share(self, share):
        """Release all bytes of an OpenShare."""
        with self._lock:
            self._shares.discard(share)
            self._used_bytes -= share.held_bytes
            share.held_bytes = 0

    def settle_share(self, share):
        """Treat an OpenShare whose holder is complete as one of known size.

        Returns:
            Bytes that the holder has reserved and must release.
        """
        with self._lock:
            self._shares.discard(share)
            count, share.held_bytes = share.held_bytes, 0
            return count

    def _try_reserve(self, count, limit):
        with self._lock:
            excess = self._used_bytes + count - limit
            if excess <= 0:
                self._used_bytes += count
            elif excess <= sum(share.held_bytes for share in list(self._shares)):
                self._make_room(excess)
            return excess <= 0

    def _make_room(self, excess):
        """Make the largest open shares yield until so many bytes become free."""
        shares = list(self._shares)
        yielded_bytes = sum(share.held_bytes for share in shares if share.must_yield)
        shares.sort(key=lambda share: share.held_bytes, reverse=True)
        for share in shares:
            is_small = share.held_bytes <= SMALL_BYTES
            allowed = MAX_EXTRA_BYTES if is_small else 0
            if excess - yielded_bytes <= allowed:
                return
            if not share.must_yield:
                share.must_yield = True
                yielded_bytes += share.held_bytes

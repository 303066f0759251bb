"""Budget of the bytes that callers' requests hold in a node's memory at once."""

import socket
import threading

from godwitrack.bytebudget import ByteBudget

# Parts of the memory that a node may use. Copies are made while a body is sent.
MAX_HEAD_BYTES = 16 * 2**20
MAX_BODY_BYTES = 24 * 2**20
# Share of the budget of bodies above which unfinished ones make room, so that their
# connections have time to drop them before it is used up.
ROOM_SHARE = 2 / 3
# Bytes of each kind that a connection may hold without a share of the budget, so that
# ordinary requests are served whatever others hold.
FREE_BYTES = 16 * 1024


class BudgetShare:
    """One connection's share of a ByteBudget; used by one thread.

    Attributes:
        reserved_bytes: Bytes reserved in the budget.
    """

    __slots__ = ("_budget", "reserved_bytes")

    def __init__(self, budget):
        self._budget = budget
        self.reserved_bytes = 0

    def hold(self, count):
        """Set the bytes that the connection holds; return whether they fit.

        The share stays as it was if they do not.

        Args:
            count: All bytes that the connection holds.
        """
        added = max(count - FREE_BYTES, 0) - self.reserved_bytes
        if added > 0 and not self._budget.reserve(added):
            self._budget.release(added)
            return False
        if added < 0:
            self._budget.release(-added)
        self.reserved_bytes += added
        return True


class BodyShare(BudgetShare):
    """One connection's share of the budget of bodies.

    Attributes:
        is_withdrawn: Whether the body must be refused to make room for others.
    """

    __slots__ = ("_socket", "is_withdrawn")

    def __init__(self, budget, sock):
        """Create an empty share.

        Args:
            budget: ByteBudget.
            sock: The connection's socket.
        """
        super().__init__(budget)
        self._socket = sock
        self.is_withdrawn = False

    def withdraw(self):
        """Make the connection refuse its body; called by another thread."""
        self.is_withdrawn = True
        try:
            # Ends a wait for bytes; an answer can still be sent.
            self._socket.shutdown(socket.SHUT_RD)
        except OSError:
            pass


class RequestBudget:
    """Budget that all connections of one port share.

    Heads are held for a short time, so one that does not fit is refused. Bodies are
    kept so that they can be sent again, and callers may send them slowly; the one that
    has been unfinished for longest makes room for others.

    Attributes:
        heads: ByteBudget of heads and of bytes that wait to be parsed.
        bodies: ByteBudget of bodies.
    """

    __slots__ = (
        "_leaving_bytes",
        "_lock",
        "_room_bytes",
        "_unfinished",
        "bodies",
        "heads",
    )

    def __init__(self, head_bytes=MAX_HEAD_BYTES, body_bytes=MAX_BODY_BYTES):
        """Create an unused budget.

        Args:
            head_bytes: Bytes of heads that may be held at once.
            body_bytes: Bytes of bodies that may be held at once.
        """
        self.heads = ByteBudget(head_bytes)
        self.bodies = ByteBudget(body_bytes)
        self._room_bytes = ROOM_SHARE * body_bytes
        self._lock = threading.Lock()
        # Shares of unfinished bodies, the oldest first.
        self._unfinished = {}
        # Bytes of withdrawn bodies whose connections have not dropped them yet.
        self._leaving_bytes = 0

    def hold_body(self, share, count):
        """Set the bytes of a body that is being read; return whether they fit.

        Args:
            share: BodyShare.
            count: All bytes of the body that the connection holds.
        """
        if count <= FREE_BYTES:
            return True
        with self._lock:
            if share.is_withdrawn or not share.hold(count):
                return False
            self._unfinished.setdefault(share)
            self._make_room(share)
            return True

    def finish_body(self, share):
        """Note that a body is complete, so that it can't make room any more."""
        with self._lock:
            self._unfinished.pop(share, None)

    def drop_body(self, share):
        """Give the bytes of a body back."""
        with self._lock:
            self._unfinished.pop(share, None)
            if share.is_withdrawn:
                self._leaving_bytes -= share.reserved_bytes
            share.hold(0)

    def _make_room(self, share):
        """Withdraw the oldest bodies, but not that of a BodyShare or later ones."""
        used_bytes = self.bodies.used_bytes - self._leaving_bytes
        while used_bytes > self._room_bytes:
            oldest = next(iter(self._unfinished))
            if oldest is share:
                return
            del self._unfinished[oldest]
            used_bytes -= oldest.reserved_bytes
            self._leaving_bytes += oldest.reserved_bytes
            oldest.withdraw()

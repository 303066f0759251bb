"""Operators' orders to take data centres and backend servers out and back."""

import threading
import uuid

from godwitrack.exceptions import RevisionConflict, StoreError
from godwitrack.kernel import Service
from godwitrack.logs import get_logger

RETRY_SECONDS = 5.0
MAX_RACES = 20


class Order:
    """An order to take something out or bring it back.

    Attributes:
        sort: "data-centre" or "server".
        name: Name of the data centre or backend server.
        is_out: Whether it is to be out.
        author: Who gave the order.
        reason: One line for other operators.
    """

    __slots__ = ("author", "is_out", "name", "reason", "sort")

    def __init__(self, sort, name, is_out, author, reason):
        self.sort = sort
        self.name = name
        self.is_out = is_out
        self.author = author
        self.reason = reason

    @property
    def key(self):
        """Key of the configuration's record."""
        return f"out-{self.sort}/{self.name}"

    @property
    def records(self):
        """Records that carry the order out."""
        return {self.key: {"reason": self.reason} if self.is_out else None}


class OrderResult:
    """What became of an order.

    Attributes:
        revision: Revision that holds it, or 0 while the store can't be written.
        is_noticed: Whether a notice was spread ahead of the record.
        detail: One sentence for the operator.
    """

    __slots__ = ("detail", "is_noticed", "revision")

    def __init__(self, revision, is_noticed, detail):
        self.revision = revision
        self.is_noticed = is_noticed
        self.detail = detail


class Orders(Service):
    """Records orders in the configuration, and spreads notices when it can't.

    Taking out is safe to spread ahead of its record, since all it does is to give
    a place no new work. Bringing back is only in force once it is recorded.
    """

    name = "orders"

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._pending = {}
        self._configurations = None
        self._exclusions = None
        self._log = get_logger("orders")

    def connect(self, kernel):
        """Find the collaborators, and retry at an interval what was not recorded."""
        self._configurations = kernel.find("configurations")
        self._exclusions = kernel.find("exclusions")
        kernel.find("scheduler").add(RETRY_SECONDS, self._retry_pending)

    def list_pending(self):
        """Return the Orders that are not recorded yet."""
        with self._lock:
            return list(self._pending.values())

    def carry_out(self, order):
        """Carry out an order and return its OrderResult.

        Raises:
            RevisionConflict: Other changes kept coming first.
            SettingsError: The name is not valid.
        """
        self._log.info("order", key=order.key, is_out=order.is_out, author=order.author)
        with self._lock:
            self._pending.pop(order.key, None)
        is_noticed = False
        if not order.is_out:
            is_noticed = self._exclusions.publish_notice(order.sort, order.name, False)
        try:
            revision = self._record(order)
        except StoreError as error:
            return self._spread(order, error)
        return OrderResult(revision, is_noticed, f"in revision {revision}")

    def _spread(self, order, error):
        with self._lock:
            self._pending[order.key] = order
        if order.is_out:
            self._exclusions.publish_notice(order.sort, order.name, True)
            detail = (
                "not recorded yet: the store can't be written. All nodes in reach "
                "are told to give it no new work; nodes that are cut off are not"
            )
        else:
            detail = (
                "not recorded and not in force: the store can't be written. It is "
                "retried until another order about the same name is given"
            )
        self._log.warning("order not recorded", key=order.key, error=str(error))
        return OrderResult(0, order.is_out, detail)

    def _record(self, order):
        """Commit an order on top of whatever is newest, and return the revision."""
        change_id = uuid.uuid4().hex
        configurations = self._configurations
        for attempt in range(MAX_RACES):
            configurations.refresh()
            current = configurations.current
            if (order.key in current.records) == order.is_out:
                return current.revision
            try:
                change = configurations.commit(
                    current.revision, order.records, order.author, change_id
                )
                return change.revision
            except RevisionConflict:
                # Another operator was first; an order holds on top of any change.
                if attempt == MAX_RACES - 1:
                    raise
        raise AssertionError("unreachable")

    def _retry_pending(self):
        for order in self.list_pending():
            try:
                revision = self._record(order)
            except (StoreError, RevisionConflict):
                return
            with self._lock:
                if self._pending.get(order.key) is order:
                    del self._pending[order.key]
            self._log.info("order recorded", key=order.key, revision=revision)

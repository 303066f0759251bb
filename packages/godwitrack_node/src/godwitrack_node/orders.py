"""Operators' orders that take data centres and servers out or bring them back."""

import threading
import uuid

from godwitrack.exceptions import RevisionConflict, StoreError
from godwitrack.kernel import Service
from godwitrack.logs import get_logger

RETRY_SECONDS = 5.0
MAX_COMMIT_ATTEMPTS = 20


class Order:
    """An order to take a data centre or server out of service or bring it back.

    Attributes:
        kind: "data-centre" or "server".
        name: Name of the data centre or backend server.
        is_out: Whether it is taken out of service or brought back.
        author: Name of the operator who gave the order.
        reason: One line that explains the order to other operators.
    """

    __slots__ = ("author", "is_out", "kind", "name", "reason")

    def __init__(self, kind, name, is_out, author, reason):
        self.kind = kind
        self.name = name
        self.is_out = is_out
        self.author = author
        self.reason = reason

    @property
    def key(self):
        """Key of the record in the configuration."""
        return f"out-{self.kind}/{self.name}"

    @property
    def records(self):
        """Changes to the configuration's records that put the order into effect."""
        return {self.key: {"reason": self.reason} if self.is_out else None}


class OrderResult:
    """The outcome of an order.

    Attributes:
        revision: Revision of the configuration that contains the order, or 0 if the
            store could not be written.
        is_noticed: Whether a notice was published before the order was recorded.
        detail: Explanation for the operator.
    """

    __slots__ = ("detail", "is_noticed", "revision")

    def __init__(self, revision, is_noticed, detail):
        self.revision = revision
        self.is_noticed = is_noticed
        self.detail = detail


class Orders(Service):
    """Records orders in the configuration, or publishes notices if that fails.

    An order that takes something out may take effect before it is recorded, since
    all that it does is to keep new requests away. An order that brings something
    back takes effect only once it is recorded.
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
        """Look up the services used and schedule the retries of pending orders."""
        self._configurations = kernel.find("configurations")
        self._exclusions = kernel.find("exclusions")
        kernel.find("scheduler").add(RETRY_SECONDS, self._retry_pending)

    def list_pending(self):
        """Return the Orders that are not recorded yet, as a list."""
        with self._lock:
            return list(self._pending.values())

    def carry_out(self, order):
        """Carry out an order and return its OrderResult.

        Raises:
            RevisionConflict: Other changes came first in MAX_COMMIT_ATTEMPTS attempts.
            SettingsError: The name is not valid.
        """
        self._log.info("order", key=order.key, is_out=order.is_out, author=order.author)
        with self._lock:
            self._pending.pop(order.key, None)
        is_noticed = False
        if not order.is_out:
            is_noticed = self._exclusions.publish_notice(order.kind, order.name, False)
        try:
            revision = self._commit(order)
        except StoreError as error:
            return self._defer(order, error)
        return OrderResult(revision, is_noticed, f"in revision {revision}")

    def _defer(self, order, error):
        with self._lock:
            self._pending[order.key] = order
        if order.is_out:
            self._exclusions.publish_notice(order.kind, order.name, True)
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

    def _commit(self, order):
        """Commit an order to the newest revision, and return the resulting one."""
        change_id = uuid.uuid4().hex
        configurations = self._configurations
        for attempt in range(MAX_COMMIT_ATTEMPTS):
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
                # An order is valid on any revision, so it is retried after another
                # operator's change.
                if attempt == MAX_COMMIT_ATTEMPTS - 1:
                    raise
        raise AssertionError("unreachable")

    def _retry_pending(self):
        for order in self.list_pending():
            try:
                revision = self._commit(order)
            except (StoreError, RevisionConflict):
                return
            with self._lock:
                if self._pending.get(order.key) is order:
                    del self._pending[order.key]
            self._log.info("order recorded", key=order.key, revision=revision)

"""The sources from which a node reads the changes of the store's tables."""

import abc
import collections

from godwitrack.controlmessages import (
    FeedAnswer,
    FeedPatchRequest,
    FeedPending,
    FeedRequest,
)
from godwitrack.exceptions import LinkError, LinkTimeout, MessageError, StoreError
from godwitrack.feed import HistoryLost, format_version, get_era
from godwitrack_node.feedanswers import decode_answer

# A link refuses a timeout of zero.
MIN_TIMEOUT_SECONDS = 0.01
# A page of the store counts as large from here on: it may take longer to arrive than
# other nodes wait.
LARGE_PAGE_BYTES = 64 * 1024
# Longest pause in an answer of another node, and in a page that a node waits for.
MAX_PAUSE_SECONDS = 1.0
# Time for an answer of another node that goes on arriving.
MAX_ANSWER_SECONDS = 10.0
# Delay of answers from which on a store is in another region.
FAR_SECONDS = 0.02
KEPT_DELAYS = 20
# Builds from this one on understand patches.
PATCH_PROTOCOL = 1


class PagePending(StoreError):
    """The source is receiving a page with changes, which it does not have yet."""


class ReadCancelled(StoreError):
    """The rest of a page was not read, as its changes came from another source."""


class FeedSource(abc.ABC):
    """One source of the changes of a table.

    Attributes:
        name: Name for logs, unique among the sources of a node.
    """

    name = ""

    @abc.abstractmethod
    def read(self, table, state, times):
        """Wait for changes that a reader lacks and return them as a FeedPage.

        Args:
            table: FeedTable.
            state: ReaderState of the reader.
            times: ReadTimes.

        Raises:
            StoreError: The source gave no usable answer.
        """


class StoreSource(FeedSource):
    """The store itself."""

    name = "store"

    def __init__(self, clock, store, on_large_page, get_version):
        """Create the source.

        Args:
            clock: Clock.
            store: FeedStore.
            on_large_page: Function called with a FeedTable as parts of a large page of
                it arrive, until it returns True.
            get_version: Function that returns the version up to which this node has
                all changes of a FeedTable; another source may raise it during a read.
        """
        self._clock = clock
        self._store = store
        self._on_large_page = on_large_page
        self._get_version = get_version
        self._data_at = {}
        # Tables of whose page on its way `on_large_page` need not be called again.
        self._noticed = set()
        self._delays = collections.deque(maxlen=KEPT_DELAYS)

    def is_receiving(self, table):
        """Return whether a large page of a FeedTable is arriving now."""
        data_at = self._data_at.get(table)
        if data_at is None:
            return False
        return self._clock.read_monotonic() - data_at <= MAX_PAUSE_SECONDS

    @property
    def is_far(self):
        """Whether answers take so long on the way that the store is in another region.

        It counts as far before it has answered.
        """
        return not self._delays or min(self._delays) > FAR_SECONDS

    def end_read(self, table):
        """Note that the last page of a FeedTable is in use, or was given up."""
        self._data_at.pop(table, None)
        self._noticed.discard(table)

    def _record_data(self, table, page_bytes):
        if page_bytes < LARGE_PAGE_BYTES:
            return
        self._data_at[table] = self._clock.read_monotonic()
        if table not in self._noticed and self._on_large_page(table):
            self._noticed.add(table)

    def read(self, table, state, times):
        """Return the changes, or the whole table if `state.after` is below 0.

        Raises:
            HistoryLost: The store lacks changes since `state.after`.
            ReadCancelled: The changes came from another source meanwhile.
            StoreError: The store gave no usable answer.
        """
        version, received_bytes = self._get_version(table), 0

        def record_data(count, length=0):
            nonlocal received_bytes
            received_bytes = count
            self._record_data(table, max(count, length))
            return self._get_version(table) == version

        try:
            page = self._read(table, state.after, times, record_data)
        except StoreError:
            if received_bytes and self._get_version(table) != version:
                raise ReadCancelled(f"ended after {received_bytes} bytes") from None
            raise
        page.received_bytes = received_bytes
        return page

    def _read(self, table, after, times, on_data):
        if after < 0:
            return self._store.read_all(table, on_data)
        started = self._clock.read_monotonic()
        page = self._store.read_changes(
            table, after, times.wait, times.timeout, on_data
        )
        if get_era(page.version) != get_era(after):
            raise HistoryLost(
                f"no changes after {format_version(after)}: "
                f"the store is at {format_version(page.version)}"
            )
        if not page.rows:
            # The store answered after the whole wait; the rest was spent on the way.
            elapsed = self._clock.read_monotonic() - started
            page.age = max(elapsed - times.wait, 0.0)
            self._delays.append(page.age)
        return page


class PeerSource(FeedSource):
    """Another node, over a link."""

    def __init__(self, clock, pool, address, own_address, protocol=0):
        """Create the source.

        Args:
            clock: Clock.
            pool: LinkPool.
            address: "host:port" of the other node's links.
            own_address: "host:port" of this node's links.
            protocol: Protocol that the other node understands.
        """
        self.name = address
        self._clock = clock
        self._pool = pool
        self._own_address = own_address
        self._protocol = protocol

    def read(self, table, state, times, is_patch_only=False):
        """Return the changes that the other node has.

        Args:
            table: FeedTable.
            state: ReaderState of the reader.
            times: ReadTimes.
            is_patch_only: Whether large values are wanted as patches or not at all, if
                the other node understands that.

        Raises:
            PagePending: The other node is receiving changes from the store.
            StoreError: The other node gave no usable answer.
        """
        deadline = self._clock.read_monotonic() + times.timeout
        try:
            link = self._pool.acquire(self.name, times.timeout - times.wait)
        except LinkError as error:
            raise StoreError(str(error)) from None
        received_bytes = link.received_bytes
        try:
            request = self._make_request(table, state, times.wait, is_patch_only)
            link.send(request, self._compute_remaining(deadline))
            message = self._receive(link, deadline)
        except (LinkError, MessageError) as error:
            link.abort()
            raise StoreError(f"{self.name}: {error}") from None
        if type(message) is FeedPending:
            self._pool.release(link)
            raise PagePending(f"{self.name} is receiving changes")
        if type(message) is not FeedAnswer:
            link.abort()
            raise StoreError(f"{self.name}: no changes in the answer")
        self._pool.release(link)
        page = decode_answer(message)
        page.received_bytes = link.received_bytes - received_bytes
        return page

    def _make_request(self, table, state, wait, is_patch_only):
        values = (int(table), state.after, int(wait * 1000), self._own_address)
        if self._protocol < PATCH_PROTOCOL:
            return FeedRequest(*values)
        bases = [list(base) for base in state.bases]
        return FeedPatchRequest(*values, state.content, bases, is_patch_only)

    def _receive(self, link, deadline):
        """Return the answer, which must begin before the deadline.

        A large one may take longer over a narrow link, as long as it goes on arriving.
        """
        end = self._clock.read_monotonic() + MAX_ANSWER_SECONDS
        received_bytes = link.received_bytes
        while True:
            try:
                return link.receive(self._compute_remaining(deadline))
            except LinkTimeout:
                if link.received_bytes == received_bytes or deadline >= end:
                    raise
            received_bytes = link.received_bytes
            deadline = min(self._clock.read_monotonic() + MAX_PAUSE_SECONDS, end)

    def _compute_remaining(self, deadline):
        return max(deadline - self._clock.read_monotonic(), MIN_TIMEOUT_SECONDS)

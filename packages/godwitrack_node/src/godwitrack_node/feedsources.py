"""The sources from which a node reads the changes of the store's tables.

Load pattern: a fleet in which each call to the store is billed and each change
would wake every node. One node in each data centre follows the store. The others
follow that node, and read from the store themselves when it is silent or behind.
"""

import abc
import threading

from godwitrack.controlmessages import FeedAnswer, FeedPending, FeedRequest
from godwitrack.exceptions import LinkError, LinkTimeout, MessageError, StoreError
from godwitrack.feed import FeedPage, FeedRow, HistoryLost, format_version, get_era
from godwitrack.hashing import hash_text
from godwitrack.message import pack_list

# Time for which a failed source is skipped.
SKIP_SECONDS = 2.0
# A link refuses a timeout of zero.
MIN_TIMEOUT_SECONDS = 0.01
# A page of the store counts as large from here on: it may take longer to arrive than
# other nodes wait.
LARGE_PAGE_BYTES = 64 * 1024
# Longest pause in an answer of another node, and in a page that a node waits for.
MAX_PAUSE_SECONDS = 1.0
# Time for an answer of another node that goes on arriving.
MAX_ANSWER_SECONDS = 10.0


class PagePending(StoreError):
    """The source is receiving a page with changes, which it does not have yet."""


class FeedSource(abc.ABC):
    """One source of the changes of a table.

    Attributes:
        name: Name for logs, unique among the sources of a node.
    """

    name = ""

    @abc.abstractmethod
    def read(self, table, after, times):
        """Wait for changes after a version and return them as a FeedPage.

        Args:
            table: FeedTable.
            after: Version up to which the node has all changes, or -1 for none.
            times: ReadTimes.

        Raises:
            StoreError: The source gave no usable answer.
        """


class StoreSource(FeedSource):
    """The store itself."""

    name = "store"

    def __init__(self, clock, store, on_large_page):
        """Create the source.

        Args:
            clock: Clock.
            store: FeedStore.
            on_large_page: Function called with a FeedTable while a large page of it is
                arriving.
        """
        self._clock = clock
        self._store = store
        self._on_large_page = on_large_page
        self._data_at = {}

    def is_receiving(self, table):
        """Return whether a large page of a FeedTable is arriving now."""
        data_at = self._data_at.get(table)
        if data_at is None:
            return False
        return self._clock.read_monotonic() - data_at <= MAX_PAUSE_SECONDS

    def end_read(self, table):
        """Note that the last page of a FeedTable is in use, or was given up."""
        self._data_at.pop(table, None)

    def _record_data(self, table, count):
        if count < LARGE_PAGE_BYTES:
            return
        is_first = table not in self._data_at
        self._data_at[table] = self._clock.read_monotonic()
        if is_first:
            self._on_large_page(table)

    def read(self, table, after, times):
        """Return the changes, or the whole table if `after` is below 0.

        Raises:
            HistoryLost: The store lacks changes since `after`.
            StoreError: The store gave no usable answer.
        """

        def record_data(count):
            self._record_data(table, count)

        if after < 0:
            return self._store.read_all(table, record_data)
        started = self._clock.read_monotonic()
        page = self._store.read_changes(
            table, after, times.wait, times.timeout, record_data
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
        return page


class PeerSource(FeedSource):
    """Another node, over a link."""

    def __init__(self, clock, pool, address, own_address):
        self.name = address
        self._clock = clock
        self._pool = pool
        self._own_address = own_address

    def read(self, table, after, times):
        """Return the changes that the other node has.

        Raises:
            PagePending: The other node is receiving changes from the store.
            StoreError: The other node gave no usable answer.
        """
        deadline = self._clock.read_monotonic() + times.timeout
        try:
            link = self._pool.acquire(self.name, times.timeout - times.wait)
        except LinkError as error:
            raise StoreError(str(error)) from None
        try:
            wait_ms = int(times.wait * 1000)
            request = FeedRequest(int(table), after, wait_ms, self._own_address)
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
        return decode_answer(message)

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


class SourceSelector:
    """Selects the source that a node reads next."""

    def __init__(self, clock, own_address, data_centre, region):
        self._clock = clock
        self._own_address = own_address
        self._data_centre = data_centre
        self._region = region
        self._skipped_until = {}

    def list_leaders(self, members):
        """Return the address of each data centre's leader, nearest first.

        The leader follows the store. It is the member whose address has the lowest
        hash in its data centre.

        Args:
            members: Members of all known nodes.
        """
        leaders = {}
        for member in members:
            leader = leaders.get(member.data_centre)
            if leader is None or _compute_rank(member) < _compute_rank(leader):
                leaders[member.data_centre] = member
        ordered = sorted(leaders.values(), key=self._compute_distance)
        return [member.address for member in ordered]

    def is_leader(self, members):
        """Return whether this node follows the store for its data centre."""
        local_members = self._list_local(members)
        return (
            not local_members
            or self.list_leaders(local_members)[0] == self._own_address
        )

    def count_local(self, members):
        """Return how many Members are in this node's data centre."""
        return len(self._list_local(members))

    def _list_local(self, members):
        return [item for item in members if item.data_centre == self._data_centre]

    def is_near(self, member):
        """Return whether a Member is in this node's region."""
        return member.region == self._region

    def list_candidates(self, members):
        """Return the usable sources in order of preference; "" stands for the store."""
        leaders = self.list_leaders(members)
        others = [address for address in leaders if address != self._own_address]
        if self.is_leader(members):
            order = ["", *others]
        else:
            order = [*others[:1], "", *others[1:]]
        usable = [item for item in order if not self.is_skipped(item)]
        return usable or [""]

    def is_skipped(self, address):
        """Return whether a source is skipped after a recent failure."""
        return self._skipped_until.get(address, 0.0) > self._clock.read_monotonic()

    def skip(self, address):
        """Skip a source for a while because it failed or was behind."""
        self._skipped_until[address] = self._clock.read_monotonic() + SKIP_SECONDS

    def _compute_distance(self, member):
        if member.data_centre == self._data_centre:
            return 0
        return 1 if member.region == self._region else 2


class FeedAnswerBuilder:
    """Builds the FeedAnswers that carry FeedPages, and caches the compressed rows.

    All followers of a node ask for the same changes at the same moment.
    """

    def __init__(self):
        self._cached = {}
        self._lock = threading.Lock()

    def build(self, table, page):
        """Return the FeedAnswer for a FeedPage of a FeedTable."""
        versions = [(row.key, row.version) for row in page.rows]
        # The threads of all followers wait for the first one to compress the rows.
        with self._lock:
            cached_versions, packed = self._cached.get(table, (None, b""))
            if cached_versions != versions:
                rows = [[row.key, row.version, row.value] for row in page.rows]
                packed = pack_list(rows)
                self._cached[table] = (versions, packed)
        age_ms = int(page.age * 1000)
        return FeedAnswer(int(table), packed, page.version, page.is_whole, age_ms)


def decode_answer(message):
    """Return the FeedPage that a FeedAnswer carries.

    Raises:
        StoreError: The content or one of its rows is malformed.
    """
    rows = []
    try:
        items = message.unpack()
    except MessageError as error:
        raise StoreError(str(error)) from None
    for item in items:
        if type(item) is not list or [type(part) for part in item[:2]] != [str, int]:
            raise StoreError("a row has a key and a version")
        if len(item) != 3 or not isinstance(item[2], bytes | None):
            raise StoreError("the value of a row is bytes or nothing")
        rows.append(FeedRow(*item))
    return FeedPage(rows, message.version, message.is_whole, message.age_ms / 1000)


def _compute_rank(member):
    return hash_text(member.address)

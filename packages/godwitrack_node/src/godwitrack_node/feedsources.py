"""From where a node takes the changes of the store's tables.

Load pattern: a fleet in which each call to the store is billed and each change
would wake every node. One node of each data centre follows the store; the others
follow it, and go to the store themselves when it is silent or behind.
"""

import abc

from godwitrack.exceptions import LinkError, MessageError, StoreError
from godwitrack.feed import FeedPage, FeedRow, FeedTable
from godwitrack.hashing import hash_text
from godwitrack.messages import FeedAnswer, FeedRequest, pack_list

# Length of a long poll at another node; silence shows after it and the margin.
PEER_WAIT_SECONDS = 1.0
PEER_MARGIN_SECONDS = 0.4
# How long a source that failed is left out.
SKIP_SECONDS = 2.0
STORE_WAIT_SECONDS = {FeedTable.OPERATORS: 1.5, FeedTable.FLEET: 6.0}
# Older content may lack a change that has to be in force by now.
MAX_AGE_SECONDS = {FeedTable.OPERATORS: 2.0, FeedTable.FLEET: 10.0}


class FeedSource(abc.ABC):
    """One place to read the changes of a table from.

    Attributes:
        name: Text for logs, unique among the sources of a node.
    """

    name = ""

    @abc.abstractmethod
    def read(self, table, after):
        """Return a FeedPage of what changed after a version; waits for a change.

        Raises:
            StoreError: No usable answer came.
        """


class StoreSource(FeedSource):
    """The store itself."""

    name = "store"

    def __init__(self, store):
        self._store = store

    def read(self, table, after):
        """Return what changed, or everything where nothing is known yet."""
        if after < 0:
            return self._store.read_all(table)
        return self._store.read_changes(table, after, STORE_WAIT_SECONDS[table])


class PeerSource(FeedSource):
    """Another node, over a link."""

    def __init__(self, pool, address, own_address):
        self.name = address
        self._pool = pool
        self._own_address = own_address

    def read(self, table, after, wait=PEER_WAIT_SECONDS):
        """Return what changed according to the other node."""
        limit = wait + PEER_MARGIN_SECONDS
        try:
            link = self._pool.acquire(self.name, PEER_MARGIN_SECONDS)
        except LinkError as error:
            raise StoreError(str(error)) from None
        try:
            request = FeedRequest(
                int(table), after, int(wait * 1000), self._own_address
            )
            link.send(request, limit)
            message = link.receive(limit)
        except (LinkError, MessageError) as error:
            link.abort()
            raise StoreError(f"{self.name}: {error}") from None
        if type(message) is not FeedAnswer:
            link.abort()
            raise StoreError(f"{self.name}: no changes in the answer")
        self._pool.release(link)
        return read_answer(message)


class SourceOrder:
    """Decides which source is asked next."""

    def __init__(self, clock, own_address, data_centre, region):
        self._clock = clock
        self._own = own_address
        self._data_centre = data_centre
        self._region = region
        self._skipped = {}

    def list_leaders(self, members):
        """Return the addresses of nodes that follow the store, nearest first.

        Args:
            members: Members of all nodes known.
        """
        leaders = {}
        for member in members:
            held = leaders.get(member.data_centre)
            if held is None or _rank(member) < _rank(held):
                leaders[member.data_centre] = member
        ordered = sorted(leaders.values(), key=self._find_distance)
        return [member.address for member in ordered]

    def list_candidates(self, members):
        """Return addresses to ask in turn; "" stands for the store."""
        leaders = self.list_leaders(members)
        own_place = [item for item in members if item.data_centre == self._data_centre]
        is_leader = not own_place or self.list_leaders(own_place)[0] == self._own
        others = [address for address in leaders if address != self._own]
        order = ["", *others] if is_leader else [*others[:1], "", *others[1:]]
        usable = [item for item in order if not self.is_skipped(item)]
        return usable or [""]

    def is_skipped(self, address):
        """Tell whether a source is left out since it failed lately."""
        return self._skipped.get(address, 0.0) > self._clock.read_monotonic()

    def skip(self, address):
        """Leave a source out for a while after it failed or was behind."""
        self._skipped[address] = self._clock.read_monotonic() + SKIP_SECONDS

    def _find_distance(self, member):
        if member.data_centre == self._data_centre:
            return 0
        return 1 if member.region == self._region else 2


def is_acceptable(table, page, after):
    """Tell whether a FeedPage of another node may be taken over.

    Args:
        table: FeedTable.
        page: FeedPage.
        after: Version up to which everything is known, or -1 for nothing.
    """
    if page.version < max(after, 0):
        return False
    # While the store is away all content gets old, and is better than none.
    return after < 0 or page.age <= MAX_AGE_SECONDS[table]


class AnswerMaker:
    """Makes the FeedAnswers that carry FeedPages, and compresses each content once.

    All followers of a node ask for the same changes at the same moment.
    """

    def __init__(self):
        self._last = {}

    def make(self, table, page):
        """Return the FeedAnswer for a FeedPage of a FeedTable."""
        versions = [(row.key, row.version) for row in page.rows]
        held, packed = self._last.get(table, (None, b""))
        if held != versions:
            packed = pack_list([[row.key, row.version, row.value] for row in page.rows])
            self._last[table] = (versions, packed)
        age_ms = int(page.age * 1000)
        return FeedAnswer(int(table), packed, page.version, page.is_whole, age_ms)


def read_answer(message):
    """Return the FeedPage that a FeedAnswer carries.

    Raises:
        StoreError: The content is malformed, or a row has another shape.
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


def _rank(member):
    return hash_text(member.address)

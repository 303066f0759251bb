"""The feed sync: follows the store's tables, directly or through other nodes."""

import random
import threading

from godwitrack.controlmessages import FeedPending, FeedRequest
from godwitrack.exceptions import MessageError, StoreError
from godwitrack.feed import FeedTable, HistoryLost, format_version
from godwitrack.kernel import Service
from godwitrack.logs import get_logger
from godwitrack_node.backoff import MAX_PAUSE_SECONDS, Backoff
from godwitrack_node.feedfreshness import (
    PEER_MARGIN_SECONDS,
    ReadTimes,
    make_freshness_rules,
)
from godwitrack_node.feedreplica import FeedReplica
from godwitrack_node.feedsources import (
    FeedAnswerBuilder,
    PagePending,
    PeerSource,
    SourceSelector,
    StoreSource,
)
from godwitrack_node.hintedfetches import HintedFetches
from godwitrack_node.threadpool import run_lasting

# Pause after each change, so that one read returns several changes: many nodes change
# the fleet's table at the same time when a data centre starts.
COALESCE_SECONDS = {FeedTable.OPERATORS: 0.0, FeedTable.FLEET: 0.15}
MAX_LONG_POLL_MS = 5000
# Wait of a poll to a node that is receiving changes.
PENDING_WAIT_SECONDS = 0.5
# A node that is receiving changes is waited for at most this long. Each node draws its
# own time, so that they do not all begin to read the store at once.
MIN_PENDING_SECONDS = 1.5
MAX_PENDING_SECONDS = 5.0
# Reads of the store that would be spread over less than this are not.
MIN_SPREAD_SECONDS = 0.1
# Decoding a large page may keep that node from answering for this long.
PENDING_MARGIN_SECONDS = 1.5
PENDING_TIMES = ReadTimes(
    PENDING_WAIT_SECONDS, PENDING_WAIT_SECONDS + PENDING_MARGIN_SECONDS
)
# Times of a read that only fetches what another node has.
NO_WAIT = ReadTimes(0.0, PEER_MARGIN_SECONDS)


class FeedSync(Service):
    """Keeps a FeedReplica of each table and answers other nodes from it."""

    # LinkServer passes control messages to the service of this name.
    name = "membership"

    def __init__(self, clock, executor, store, own_address, location, apply_seconds):
        """Initialize without reading anything.

        Args:
            clock: Clock.
            executor: concurrent.futures.Executor.
            store: FeedStore.
            own_address: "host:port" at which other nodes open links to this one.
            location: Location of the node.
            apply_seconds: Seconds within which operators' changes must be in force.
        """
        self._clock = clock
        self._executor = executor
        self._store_source = StoreSource(clock, store, self._wake_readers)
        self._freshness_rules = make_freshness_rules(apply_seconds)
        self._own_address = own_address
        self._selectors = {
            table: SourceSelector(
                clock, own_address, location.data_centre, location.region
            )
            for table in FeedTable
        }
        self._replicas = {table: FeedReplica(clock) for table in FeedTable}
        self._listeners = {table: [] for table in FeedTable}
        # Tables whose last read of the store failed.
        self._failed_reads = set()
        # Monotonic time until which a source that is receiving a table is waited for.
        self._pending_until = {}
        self._requesters = set()
        self._wake_events = {table: threading.Event() for table in FeedTable}
        self._answer_builder = FeedAnswerBuilder()
        self._merge_locks = {table: threading.Lock() for table in FeedTable}
        self._fetches = HintedFetches(clock, executor, self._fetch_operators)
        self._stopped = threading.Event()
        self._pool = None
        self._member_table = None
        self._rng = random.Random()
        self._log = get_logger("news")

    def connect(self, kernel):
        """Find the collaborators."""
        self._pool = kernel.find("link-pool")
        self._member_table = kernel.find("member-table")

    def start(self):
        """Start following each table."""
        for table in FeedTable:
            self._executor.submit(run_lasting, self._follow, table)

    def stop(self):
        """Stop following the tables."""
        self._stopped.set()
        self._end_pauses()

    def get_replica(self, table):
        """Return the FeedReplica of a FeedTable."""
        return self._replicas[table]

    def add_listener(self, table, listener):
        """Call listener() after each change of a FeedTable."""
        self._listeners[table].append(listener)

    def is_source_skipped(self, table, address):
        """Return whether a source of a FeedTable is skipped after a recent failure."""
        return self._selectors[table].is_skipped(address)

    def hint(self, address, revision):
        """Fetch the operators' table from a node that may know a later revision.

        Every answer of that node may carry this hint.
        """
        if revision <= self._replicas[FeedTable.OPERATORS].version:
            return
        if self._may_fetch_from(address):
            self._fetches.start(address)

    def _may_fetch_from(self, address):
        """Return whether to fetch the operators' table from a node that has hinted.

        The link between regions is narrow. A node that follows another one gets the
        table from there; only a leader that has lost the store needs another region.
        """
        table = FeedTable.OPERATORS
        if self._store_source.is_receiving(table):
            return False
        selector, view = self._selectors[table], self._member_table.get_view(address)
        if view is None or selector.is_near(view.member):
            return True
        age = self._replicas[table].age
        is_fresh = age is not None and self._freshness_rules[table].is_fresh(age)
        return not is_fresh and selector.is_leader(self._list_reachable_members())

    def can_reach(self, address):
        """Return whether another node answers.

        The request also tells that node the address of this one.
        """
        replica = self._replicas[FeedTable.OPERATORS]
        try:
            self._read_peer(FeedTable.OPERATORS, address, replica.version, NO_WAIT)
        except PagePending:
            return True
        except StoreError as error:
            self._log.debug("peer not reached", peer=address, error=str(error))
            return False
        return True

    def answer(self, message, session):
        """Return the answer to a FeedRequest of another node.

        While changes are arriving from the store, a node that waits for them is told
        so: reading the store itself would take longer, and slow down this read.

        Raises:
            MessageError: The message is not a FeedRequest for a known table.
        """
        if type(message) is not FeedRequest or message.table not in set(FeedTable):
            raise MessageError(f"{type(message).__name__} is not expected here")
        table = FeedTable(message.table)
        if self._replicas[table].version < 0 and message.sender:
            # A node that just started can read from the nodes that send it requests.
            self._add_requester(message.sender)
        wait = min(max(message.wait_ms, 0), MAX_LONG_POLL_MS) / 1000
        page = self._replicas[table].read_for_follower(
            message.after, wait, lambda: self._store_source.is_receiving(table)
        )
        if page is None:
            return FeedPending(int(table))
        return self._answer_builder.build(table, page)

    def _follow(self, table):
        backoff = Backoff(self._rng)
        while not self._stopped.is_set():
            try:
                self.follow_once(table, backoff)
            except Exception:
                self._log.exception("reading the table failed", table=table.name)
                self._stopped.wait(MAX_PAUSE_SECONDS)

    def follow_once(self, table, backoff):
        """Read a FeedTable from the best source, and pause before the next read.

        There is no pause after a failed read from another node: the remaining sources
        must be tried before the content is too old.

        Args:
            table: FeedTable.
            backoff: Backoff that draws the pauses after failures.
        """
        address = self._choose_source(table)
        if not address and self._has_changed_before_turn(table):
            return
        try:
            has_changed = self._read(table, address)
        except StoreError as error:
            if isinstance(error, PagePending) and self._may_wait_for_page(table):
                return
            self._pending_until.pop(table, None)
            self._record_failure(table, address, error)
            if not address or self._replicas[table].version < 0:
                self._wake_events[table].wait(backoff.draw())
                self._wake_events[table].clear()
            return
        self._pending_until.pop(table, None)
        backoff.reset()
        if has_changed:
            self._stopped.wait(COALESCE_SECONDS[table])

    def _has_changed_before_turn(self, table):
        """Wait for this node's turn to read the store in place of its leader.

        Returns:
            Whether a change came meanwhile, after a hint of another node.
        """
        replica, members = self._replicas[table], self._list_reachable_members()
        selector = self._selectors[table]
        if replica.version < 0 or selector.is_leader(members):
            return False
        nodes = selector.count_local(members)
        seconds = self._freshness_rules[table].compute_spread(replica.size, nodes)
        if seconds < MIN_SPREAD_SECONDS:
            return False
        version = replica.version
        replica.read(version, self._rng.uniform(0.0, seconds))
        return replica.version > version

    def _wake_readers(self, table):
        self._replicas[table].wake_readers()

    def _may_wait_for_page(self, table):
        """Return whether to wait on for a source that is receiving a FeedTable."""
        now = self._clock.read_monotonic()
        patience = self._rng.uniform(MIN_PENDING_SECONDS, MAX_PENDING_SECONDS)
        return now < self._pending_until.setdefault(table, now + patience)

    def _choose_source(self, table):
        """Return the address of the node to read from, or "" for the store.

        A node that has no content and knows no member in reach chooses at random among
        the nodes that sent it requests and the store, unless that is skipped.
        """
        members = self._list_reachable_members()
        selector = self._selectors[table]
        if not members and self._replicas[table].version < 0 and self._requesters:
            store = [] if selector.is_skipped("") else [""]
            return self._rng.choice([*store, *self._requesters])
        return selector.list_candidates(members)[0]

    def _add_requester(self, address):
        """Remember a node as a possible source, and end the backoff pauses."""
        if address not in self._requesters:
            self._requesters.add(address)
            self._end_pauses()

    def _end_pauses(self):
        for event in self._wake_events.values():
            event.set()

    def _list_reachable_members(self):
        addresses = [member.address for member in self._member_table.list_members()]
        return [
            view.member
            for view in map(self._member_table.get_view, addresses)
            if view is not None and not view.is_down
        ]

    def _read(self, table, address):
        """Read a table from one source and merge it; return whether any row changed."""
        replica = self._replicas[table]
        rule = self._freshness_rules[table]
        after, age = replica.version, replica.age
        if not address:
            try:
                return self._merge(table, self._read_store(table, after, age))
            finally:
                self._store_source.end_read(table)
        times = rule.compute_peer_times(age)
        if table in self._pending_until:
            times = PENDING_TIMES
        page = self._read_peer(table, address, after, times)
        if page.version < max(after, 0):
            raise StoreError(f"{address} is behind")
        has_changed = self._merge(table, page)
        # In an outage of the store all content grows old. A node that had none accepts
        # it, as old content is better than none.
        if after >= 0 and not rule.is_fresh(page.age):
            raise StoreError(f"{address} has not heard from the store")
        return has_changed

    def _read_store(self, table, after, age):
        times = self._freshness_rules[table].compute_store_times(age)
        if table in self._failed_reads:
            # The store may have been restored meanwhile, which its first answer tells.
            times = ReadTimes(0.0, times.timeout)
        page = self._read_changes(table, after, times)
        self._failed_reads.discard(table)
        return page

    def _read_changes(self, table, after, times):
        """Read the changes after a version, or the whole table if they are lost."""
        try:
            return self._store_source.read(table, after, times)
        except HistoryLost:
            self._log.info(
                "history lost", table=table.name, after=format_version(after)
            )
        page = self._store_source.read(table, -1, times)
        if page.version < after:
            raise StoreError(
                f"the store is at {format_version(page.version)}, "
                f"behind {format_version(after)}"
            )
        return page

    def _read_peer(self, table, address, after, times):
        source = PeerSource(self._clock, self._pool, address, self._own_address)
        return source.read(table, after, times)

    def _merge(self, table, page):
        # A fetch after a hint may merge at the same time. Listeners run under the lock,
        # so that a slow one cannot put older rows in force after newer ones.
        with self._merge_locks[table]:
            replica = self._replicas[table]
            if page.version < replica.version:
                self._log.info(
                    "older page not used",
                    table=table.name,
                    page_version=format_version(page.version),
                    version=format_version(replica.version),
                    is_whole=page.is_whole,
                )
            if not replica.merge(page):
                return False
            self._log.info(
                "table changed",
                table=table.name,
                version=format_version(page.version),
                rows=len(page.rows),
                is_whole=page.is_whole,
            )
            for listener in self._listeners[table]:
                listener()
        return True

    def _fetch_operators(self, address):
        """Read the operators' table from a node and merge it.

        Raises:
            StoreError: The node gave no usable answer.
        """
        table = FeedTable.OPERATORS
        after = self._replicas[table].version
        page = self._read_peer(table, address, after, NO_WAIT)
        if page.version >= 0:
            self._merge(table, page)

    def _record_failure(self, table, address, error):
        if not address:
            self._failed_reads.add(table)
        self._selectors[table].skip(address)
        self._log.info(
            "source failed",
            table=table.name,
            source=address or "store",
            error=str(error),
            age_ms=self._replicas[table].age_ms,
        )

"""Keeps a node's replica of one table up to date, from the best source at each time."""

import random
import threading

from godwitrack.exceptions import StoreError
from godwitrack.feed import HistoryLost, ReaderState, format_version
from godwitrack.logs import get_logger
from godwitrack.patches import PatchedRow, PatchError
from godwitrack_node.backoff import MAX_PAUSE_SECONDS, Backoff
from godwitrack_node.feedfreshness import PEER_MARGIN_SECONDS, ReadTimes
from godwitrack_node.feedreplica import FeedReplica
from godwitrack_node.feedsources import (
    PATCH_PROTOCOL,
    PagePending,
    PeerSource,
    ReadCancelled,
)

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


class FeedFollower:
    """Follows one FeedTable.

    Attributes:
        replica: FeedReplica that it keeps up to date.
        patch_count: Rows that came as patches.
        refused_patch_count: Pages with patches that did not apply.
    """

    def __init__(self, table, clock, store_source, selector, rule, own_address):
        """Initialize without reading anything.

        Args:
            table: FeedTable.
            clock: Clock.
            store_source: StoreSource.
            selector: SourceSelector.
            rule: FreshnessRule of the table.
            own_address: "host:port" at which other nodes open links to this one.
        """
        self.replica = FeedReplica(clock)
        self.patch_count = 0
        self.refused_patch_count = 0
        self._table = table
        self._clock = clock
        self._store_source = store_source
        self._selector = selector
        self._rule = rule
        self._own_address = own_address
        self._pool = None
        self._member_table = None
        self._listeners = []
        # Listeners run under the lock, so that a slow one cannot put older rows in
        # force after newer ones.
        self._merge_lock = threading.Lock()
        self._has_failed_read = False
        # Monotonic time until which a source that is receiving the table is waited for.
        self._pending_until = None
        self._requesters = set()
        self._wake_event = threading.Event()
        self._stopped = threading.Event()
        self._rng = random.Random()
        self._log = get_logger("news")

    def connect(self, pool, member_table):
        """Use a LinkPool and a MemberTable."""
        self._pool = pool
        self._member_table = member_table

    def add_listener(self, listener):
        """Call listener() after each change."""
        self._listeners.append(listener)

    def follow(self, pause_seconds):
        """Follow the table until `stop`.

        Args:
            pause_seconds: Pause after each change, so that one read returns several.
        """
        backoff = Backoff(self._rng)
        while not self._stopped.is_set():
            try:
                has_changed = self.follow_once(backoff)
            except Exception:
                self._log.exception("reading the table failed", table=self._table.name)
                self._stopped.wait(MAX_PAUSE_SECONDS)
                continue
            if has_changed:
                self._stopped.wait(pause_seconds)

    def stop(self):
        """Stop following the table."""
        self._stopped.set()
        self._wake_event.set()

    def follow_once(self, backoff):
        """Read from the best source, and pause after a failed read of the store.

        There is no pause after a failed read from another node: the remaining sources
        must be tried before the content is too old.

        Args:
            backoff: Backoff that draws the pauses after failures.

        Returns:
            Whether any row changed.
        """
        address = self._choose_source()
        if not address and self._has_changed_before_turn():
            return False
        try:
            has_changed = self._read(address)
        except ReadCancelled as error:
            self._log.info("read cancelled", table=self._table.name, reason=str(error))
            return False
        except StoreError as error:
            if isinstance(error, PagePending) and self._may_wait_for_page():
                return False
            self._pending_until = None
            self._record_failure(address, error)
            if not address or self.replica.version < 0:
                self._wake_event.wait(backoff.draw())
                self._wake_event.clear()
            return False
        self._pending_until = None
        backoff.reset()
        return has_changed

    def fetch(self, address, is_patch_only, times=NO_WAIT):
        """Read from one node and merge what it has.

        Args:
            address: "host:port" of the node's links.
            is_patch_only: Whether large values are wanted as patches or not at all.
            times: ReadTimes.

        Raises:
            StoreError: The node gave no usable answer.
        """
        if is_patch_only and self._find_protocol(address) < PATCH_PROTOCOL:
            raise StoreError(f"{address} makes no patches")
        page = self._read_peer(address, times, is_patch_only)
        if page.version < 0:
            raise StoreError(f"{address} has nothing to send")
        self._merge_from(address, page)

    def can_reach(self, address):
        """Return whether another node answers a read.

        The request also tells that node the address of this one.
        """
        try:
            self._read_peer(address, NO_WAIT, is_patch_only=True)
        except PagePending:
            return True
        except StoreError as error:
            self._log.debug("peer not reached", peer=address, error=str(error))
            return False
        return True

    def add_requester(self, address):
        """Remember a node as a possible source, and end the pause after a failure."""
        if address not in self._requesters:
            self._requesters.add(address)
            self._wake_event.set()

    def is_leader(self):
        """Return whether this node follows the store for its data centre."""
        return self._selector.is_leader(self._list_reachable_members())

    def find_helper(self):
        """Return a node that may have what this one is reading from the store, or None.

        That is the nearest leader for a node without content, and the best leader of
        another region for others: the store may be nearer to it.
        """
        members = self._list_reachable_members()
        if self.replica.version >= 0:
            return self._selector.find_remote_leader(members)
        leaders = self._selector.list_leaders(members)
        return next((item for item in leaders if item != self._own_address), None)

    def is_near(self, address):
        """Return whether a node is in this node's region, or not known."""
        view = self._member_table.get_view(address)
        return view is None or self._selector.is_near(view.member)

    def is_fresh(self):
        """Return whether the content's age leaves time for another poll of a node."""
        age = self.replica.age
        return age is not None and self._rule.is_fresh(age)

    def is_skipped(self, address):
        """Return whether a source is skipped after a recent failure."""
        return self._selector.is_skipped(address)

    def _has_changed_before_turn(self):
        """Wait for this node's turn to read the store in place of its leader.

        Returns:
            Whether a change came meanwhile, after a hint of another node.
        """
        members = self._list_reachable_members()
        version = self.replica.version
        if version < 0 or self._selector.is_leader(members):
            return False
        nodes = self._selector.count_local(members)
        seconds = self._rule.compute_spread(self.replica.size, nodes)
        if seconds < MIN_SPREAD_SECONDS:
            return False
        self.replica.read(version, self._rng.uniform(0.0, seconds))
        return self.replica.version > version

    def _may_wait_for_page(self):
        """Return whether to wait on for a source that is receiving the table."""
        now = self._clock.read_monotonic()
        if self._pending_until is None:
            patience = self._rng.uniform(MIN_PENDING_SECONDS, MAX_PENDING_SECONDS)
            self._pending_until = now + patience
        return now < self._pending_until

    def _choose_source(self):
        """Return the address of the node to read from, or "" for the store.

        A node that has no content and knows no member in reach chooses at random among
        the nodes that sent it requests and the store, unless that is skipped.
        """
        members = self._list_reachable_members()
        if not members and self.replica.version < 0 and self._requesters:
            store = [] if self._selector.is_skipped("") else [""]
            return self._rng.choice([*store, *self._requesters])
        has_time = self.replica.age is None or self.is_fresh()
        return self._selector.list_candidates(members, has_time)[0]

    def _list_reachable_members(self):
        addresses = [member.address for member in self._member_table.list_members()]
        return [
            view.member
            for view in map(self._member_table.get_view, addresses)
            if view is not None and not view.is_down
        ]

    def _read(self, address):
        """Read from one source and merge it; return whether any row changed."""
        if not address:
            try:
                return self._merge(self._read_store(), "store")
            finally:
                self._store_source.end_read(self._table)
        content = self.replica.content_version
        times = self._rule.compute_peer_times(self.replica.age)
        if self._pending_until is not None:
            times = PENDING_TIMES
        page = self._read_peer(address, times)
        if page.version < max(content, 0):
            raise StoreError(f"{address} is behind")
        has_changed = self._merge_from(address, page)
        # In an outage of the store all content grows old. A node that had none accepts
        # it, as old content is better than none.
        if content >= 0 and not self._rule.is_fresh(page.age):
            raise StoreError(f"{address} has not heard from the store")
        return has_changed

    def _read_store(self):
        """Read the changes that the replica lacks, or all rows if they are lost."""
        times = self._rule.compute_store_times(self.replica.age)
        if self._has_failed_read:
            # The store may have been restored meanwhile, which its first answer tells.
            times = ReadTimes(0.0, times.timeout)
        state = ReaderState(self.replica.version, self.replica.content_version)
        try:
            page = self._store_source.read(self._table, state, times)
        except HistoryLost:
            after = format_version(state.after)
            self._log.info("history lost", table=self._table.name, after=after)
            page = self._read_whole(state.after, times)
        self._has_failed_read = False
        return page

    def _read_whole(self, after, times):
        page = self._store_source.read(self._table, ReaderState(-1, -1), times)
        if page.version < after:
            raise StoreError(
                f"the store is at {format_version(page.version)}, "
                f"behind {format_version(after)}"
            )
        return page

    def _read_peer(self, address, times, is_patch_only=False, may_patch=True):
        source = PeerSource(
            self._clock,
            self._pool,
            address,
            self._own_address,
            self._find_protocol(address),
        )
        state = self.replica.describe()
        if not may_patch:
            state.bases.clear()
        return source.read(self._table, state, times, is_patch_only)

    def _find_protocol(self, address):
        view = self._member_table.get_view(address)
        return 0 if view is None else view.member.protocol

    def _merge_from(self, address, page):
        """Merge a node's page; if its patches do not apply, read the values whole."""
        try:
            return self._merge(page, address)
        except PatchError as error:
            self.refused_patch_count += 1
            self._log.warning(
                "patch refused",
                table=self._table.name,
                source=address,
                error=str(error),
            )
        return self._merge(self._read_peer(address, NO_WAIT, may_patch=False), address)

    def _merge(self, page, source):
        with self._merge_lock:
            if page.version < self.replica.version:
                self._log_older(page, source)
            if not self.replica.merge(page):
                return False
            patches = sum(type(row) is PatchedRow for row in page.rows)
            self.patch_count += patches
            self._log.info(
                "table changed",
                table=self._table.name,
                version=format_version(page.version),
                rows=len(page.rows),
                is_whole=page.is_whole,
                source=source,
                patches=patches,
                received_bytes=page.received_bytes,
                age_ms=self.replica.age_ms,
            )
            for listener in self._listeners:
                listener()
        return True

    def _log_older(self, page, source):
        if not page.rows and not page.is_whole:
            return
        self._log.info(
            "older page not used",
            table=self._table.name,
            page_version=format_version(page.version),
            version=format_version(self.replica.version),
            is_whole=page.is_whole,
            source=source,
        )

    def _record_failure(self, address, error):
        if not address:
            self._has_failed_read = True
        self._selector.skip(address)
        self._log.info(
            "source failed",
            table=self._table.name,
            source=address or "store",
            error=str(error),
            age_ms=self.replica.age_ms,
        )

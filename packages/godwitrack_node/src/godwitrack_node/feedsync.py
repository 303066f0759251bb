"""The feed sync: follows the store's tables, directly or through other nodes."""

import functools
import threading

from godwitrack.controlmessages import FeedPatchRequest, FeedPending, FeedRequest
from godwitrack.exceptions import MessageError
from godwitrack.feed import FeedPage, FeedTable
from godwitrack.kernel import Service
from godwitrack.patches import MIN_PATCH_BYTES, PatchedRow
from godwitrack_node.feedanswers import FeedAnswerBuilder
from godwitrack_node.feedfollower import FeedFollower
from godwitrack_node.feedfreshness import (
    PEER_MARGIN_SECONDS,
    ReadTimes,
    make_freshness_rules,
)
from godwitrack_node.feedsources import PagePending, StoreSource
from godwitrack_node.serialfetches import SerialFetches
from godwitrack_node.sourceselector import SourceSelector
from godwitrack_node.threadpool import run_lasting

# Pause after each change, so that one read returns several changes: many nodes change
# the fleet's table at the same time when a data centre starts.
COALESCE_SECONDS = {FeedTable.OPERATORS: 0.0, FeedTable.FLEET: 0.15}
MAX_LONG_POLL_MS = 5000
# Wait of a fetch from a node that is receiving the same page.
HELP_WAIT_SECONDS = 0.8
# The read of the store goes on after this time at the latest.
HELP_LEAD_SECONDS = 0.2
HELP_TIMES = ReadTimes(HELP_WAIT_SECONDS, HELP_WAIT_SECONDS + PEER_MARGIN_SECONDS)


class FeedSync(Service):
    """Follows each table, and answers other nodes from its replicas."""

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
        self._executor = executor
        self._store_source = StoreSource(
            clock, store, self._notice_large_page, self._get_version
        )
        rules = make_freshness_rules(apply_seconds)
        place = (own_address, location.data_centre, location.region)
        self._followers = {
            table: FeedFollower(
                table,
                clock,
                self._store_source,
                SourceSelector(clock, *place),
                rules[table],
                own_address,
            )
            for table in FeedTable
        }
        self._answer_builder = FeedAnswerBuilder()
        self._fetches = SerialFetches(clock, executor)
        self._help = SerialFetches(clock, executor)

    def connect(self, kernel):
        """Find the collaborators."""
        pool, member_table = kernel.find("link-pool"), kernel.find("member-table")
        for follower in self._followers.values():
            follower.connect(pool, member_table)

    def start(self):
        """Start following each table."""
        for table, follower in self._followers.items():
            pause = COALESCE_SECONDS[table]
            self._executor.submit(run_lasting, follower.follow, pause)

    def stop(self):
        """Stop following the tables."""
        for follower in self._followers.values():
            follower.stop()

    def get_follower(self, table):
        """Return the FeedFollower of a FeedTable."""
        return self._followers[table]

    def get_replica(self, table):
        """Return the FeedReplica of a FeedTable."""
        return self._followers[table].replica

    def add_listener(self, table, listener):
        """Call listener() after each change of a FeedTable."""
        self._followers[table].add_listener(listener)

    def hint(self, address, content_version):
        """Fetch the operators' table from a node that may know a later change.

        Every answer of that node may carry this hint. The link between regions is
        narrow: only a leader reads from another region, and large values only as
        patches unless it has lost the store.

        Args:
            address: "host:port" of that node's links.
            content_version: Version of the latest change that it has.
        """
        follower = self._followers[FeedTable.OPERATORS]
        if content_version <= follower.replica.content_version:
            return
        is_near = follower.is_near(address)
        if is_near or follower.is_leader():
            is_patch_only = not is_near and follower.is_fresh()
            fetch = functools.partial(follower.fetch, address, is_patch_only)
            self._fetches.start(address, fetch)

    def can_reach(self, address):
        """Return whether another node answers.

        The request also tells that node the address of this one.
        """
        return self._followers[FeedTable.OPERATORS].can_reach(address)

    def answer(self, message, session):
        """Return the answer to a FeedRequest or FeedPatchRequest of another node.

        While changes are arriving from the store, a node that waits for them is told
        so: reading the store itself would take longer, and slow down this read.

        Raises:
            MessageError: The message is no such request for a known table.
        """
        if not isinstance(message, FeedRequest) or message.table not in set(FeedTable):
            raise MessageError(f"{type(message).__name__} is not expected here")
        table = FeedTable(message.table)
        follower = self._followers[table]
        if follower.replica.version < 0 and message.sender:
            # A node that just started can read from the nodes that send it requests.
            for each in self._followers.values():
                each.add_requester(message.sender)
        page = self._read_for(message, table, follower.replica)
        if page is None:
            return FeedPending(int(table))
        return self._answer_builder.build(table, page)

    def _read_for(self, message, table, replica):
        """Return the FeedPage that answers a request, or None if it is arriving."""
        wait = min(max(message.wait_ms, 0), MAX_LONG_POLL_MS) / 1000
        has_patches = type(message) is FeedPatchRequest
        page = replica.read_for_follower(
            message.after,
            wait,
            lambda: self._store_source.is_receiving(table),
            message.content if has_patches else message.after,
        )
        if page is None or not has_patches:
            return page
        page = replica.shorten(page, _read_bases(message))
        if message.is_patch_only and any(map(_is_large, page.rows)):
            return FeedPage([], -1, False)
        return page

    def _notice_large_page(self, table):
        """Tell those that wait for a table, and ask another node for it meanwhile.

        The store sends whole values, and not compressed. Another node may send what
        differs before all of that has crossed a narrow link, which ends the read. The
        rest of it leaves the link alone for a moment.

        Returns:
            Whether there is nothing more to do about this page.
        """
        follower = self._followers[table]
        replica = follower.replica
        replica.wake_readers()
        if table is not FeedTable.OPERATORS:
            return True
        if replica.version >= 0 and not self._store_source.is_far:
            return True
        address = follower.find_helper()
        if address is None:
            # The fleet's table, which names the other nodes, may be on its way, too.
            return False
        ended = threading.Event()
        fetch = functools.partial(_fetch_from_helper, follower, address, ended)
        # A node without content can serve no request, and waits for nothing.
        if self._help.start(address, fetch) and replica.version >= 0:
            ended.wait(HELP_LEAD_SECONDS)
        return True

    def _get_version(self, table):
        return self._followers[table].replica.version


def _fetch_from_helper(follower, address, ended):
    """Fetch from a node that may have what this one is reading from the store.

    Args:
        follower: FeedFollower.
        address: "host:port" of that node's links.
        ended: threading.Event to set at the end.
    """
    is_patch_only = follower.replica.version >= 0
    try:
        follower.fetch(address, is_patch_only, HELP_TIMES)
    except PagePending:
        # It began to receive the page after the request came. Now it waits for it.
        follower.fetch(address, is_patch_only, HELP_TIMES)
    finally:
        ended.set()


def _read_bases(message):
    """Return the mapping from key to digest that a FeedPatchRequest names.

    Raises:
        MessageError: An item is not a pair of a key and a digest.
    """
    for item in message.bases:
        if type(item) is not list or [type(part) for part in item] != [str, bytes]:
            raise MessageError("a base has a key and a digest")
    return dict(message.bases)


def _is_large(row):
    """Return whether a row holds a large value whole."""
    if type(row) is PatchedRow or row.value is None:
        return False
    return len(row.value) >= MIN_PATCH_BYTES

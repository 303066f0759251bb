"""Tests of godwitrack_node.feedsync: hints of later routes, and concurrent merges."""

import random
import threading

import pytest

from godwitrack.exceptions import LinkError
from godwitrack.feed import FeedPage, FeedRow, FeedTable
from godwitrack.hashing import hash_text
from godwitrack_node.backoff import Backoff
from godwitrack_node.feedsync import FeedSync
from godwitrack_node.hostedrouting import Member, MemberView
from godwitrack_node.routes import OperatorsRowReader, Routes
from godwitrack_node.routing import Location
from godwitrack_node.serialfetches import PAUSE_SECONDS

REVISION = 5
APPLY_SECONDS = 2.5
# Far longer than an unblocked merge takes.
MERGE_WAIT_SECONDS = 0.3
WAIT_SECONDS = 10.0


class DeferredExecutor:
    """Collects jobs until run() is called."""

    def __init__(self):
        self.jobs = []

    def submit(self, job, *arguments):
        self.jobs.append((job, arguments))

    def run(self):
        jobs, self.jobs = self.jobs, []
        for job, arguments in jobs:
            job(*arguments)


class UnreachablePool:
    """A pool whose links cannot be opened."""

    def acquire(self, address, timeout):
        raise LinkError(f"{address} can't be reached")


# The node with the lower hash leads its data centre.
NEAR, OWN = sorted(("127.0.0.1:1", "127.0.0.1:2"), key=hash_text)
FAR = "127.0.0.1:3"


class Members:
    """A member table with this node, one nearby and one in another region.

    Args:
        leader: Address of the node that leads this node's data centre.
    """

    def __init__(self, leader=NEAR):
        places = {OWN: ("south", "dc-a"), FAR: ("north", "dc-b")}
        if leader == NEAR:
            places[NEAR] = ("south", "dc-a")
        self._views = {
            address: MemberView(Member(address, "s", *place, 10, True, "i", 1))
            for address, place in places.items()
        }

    def list_members(self):
        return [view.member for view in self._views.values()]

    def get_view(self, address):
        return self._views.get(address)


class StubKernel:
    """Finds a link pool and a member table."""

    def __init__(self, leader=NEAR):
        self._services = {
            "link-pool": UnreachablePool(),
            "member-table": Members(leader),
        }

    def find(self, name):
        return self._services[name]


def test_many_hints_lead_to_one_fetch_at_a_time(clock):
    """Guards against 288 fetches of 1,400 routes that fill slow links (CONFIG)."""
    executor = DeferredExecutor()
    feed_sync = FeedSync(
        clock, executor, None, "127.0.0.1:1", Location("south", "dc-a"), APPLY_SECONDS
    )
    feed_sync.connect(StubKernel())
    for _ in range(3):
        feed_sync.hint(NEAR, REVISION)
    assert len(executor.jobs) == 1
    # After a failed fetch and a pause, the next hint starts a new one.
    executor.run()
    feed_sync.hint(NEAR, REVISION)
    assert len(executor.jobs) == 0
    clock.advance(PAUSE_SECONDS)
    feed_sync.hint(NEAR, REVISION)
    assert len(executor.jobs) == 1


@pytest.mark.parametrize(
    ("address", "leader", "age", "fetches"),
    [
        (NEAR, NEAR, 0.0, [(NEAR, False)]),
        (NEAR, NEAR, 5.0, [(NEAR, False)]),
        (FAR, NEAR, 0.0, []),
        (FAR, NEAR, 5.0, []),
        # A leader that still hears from the store takes no whole list from there.
        (FAR, OWN, 0.0, [(FAR, True)]),
        (FAR, OWN, 5.0, [(FAR, False)]),
    ],
)
def test_a_hint_from_another_region_is_followed_only_by_a_leader(
    clock, monkeypatch, address, leader, age, fetches
):
    """Guards against a link between regions full of fetches of long lists (DENIED)."""
    executor = DeferredExecutor()
    feed_sync = FeedSync(
        clock, executor, None, OWN, Location("south", "dc-a"), APPLY_SECONDS
    )
    feed_sync.connect(StubKernel(leader))
    follower = feed_sync.get_follower(FeedTable.OPERATORS)
    follower.replica.merge(FeedPage([], REVISION - 1, True))
    clock.advance(age)
    found = []
    monkeypatch.setattr(
        follower, "fetch", lambda *arguments: found.append(arguments), raising=True
    )
    feed_sync.hint(address, REVISION)
    executor.run()
    assert found == fetches


class SlowReader(OperatorsRowReader):
    """Reads every row as a take-out; the first read waits for `may_continue`."""

    def __init__(self):
        self.is_reading = threading.Event()
        self.may_continue = threading.Event()

    def read_routes(self, row):
        return None

    def read_take_out(self, row):
        if not self.is_reading.is_set():
            self.is_reading.set()
            self.may_continue.wait(WAIT_SECONDS)
        return row.key


class FeedSyncKernel(StubKernel):
    """Also finds the feed sync."""

    def __init__(self, feed_sync):
        self._feed_sync = feed_sync

    def find(self, name):
        return self._feed_sync if name == "membership" else super().find(name)


class PageStore:
    """A store that returns the given pages in turn."""

    def __init__(self, *pages):
        self._pages = list(pages)

    def read_all(self, table, on_data=None):
        return self._pages.pop(0)

    def read_changes(self, table, after, wait, timeout, on_data=None):
        return self._pages.pop(0)


def test_a_slow_listener_puts_no_older_rows_in_force(clock):
    """A read with a slow listener must not undo a take-out that a fetch merged."""
    first = FeedPage([FeedRow("dc-a", 1, b"")], 1, True)
    second = FeedPage([FeedRow("dc-b", 2, b"")], 2, False)
    store = PageStore(first, second)
    location = Location("south", "dc-c")
    feed_sync = FeedSync(
        clock, DeferredExecutor(), store, "127.0.0.1:1", location, APPLY_SECONDS
    )
    reader = SlowReader()
    routes = Routes(reader, APPLY_SECONDS)
    feed_sync.connect(StubKernel())
    routes.connect(FeedSyncKernel(feed_sync))
    threads = [
        threading.Thread(
            target=feed_sync.get_follower(FeedTable.OPERATORS).follow_once,
            args=(Backoff(random.Random(1)),),
        )
        for _ in range(2)
    ]
    threads[0].start()
    assert reader.is_reading.wait(WAIT_SECONDS)
    threads[1].start()
    threads[1].join(MERGE_WAIT_SECONDS)
    reader.may_continue.set()
    for thread in threads:
        thread.join()
    assert routes.taken_out == {"dc-a", "dc-b"}

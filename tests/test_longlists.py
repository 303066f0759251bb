"""Tests of changes of a long list of routes: what they cost, and who sends them."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from fakeplatform import APPLY_SECONDS, Fleet
from feedparts import FakePool, make_feed_sync
from godwitrack.controlmessages import FeedPatchRequest, FeedRequest
from godwitrack.exceptions import LinkTimeout, MessageError, StoreError
from godwitrack.feed import FeedPage, FeedRow, FeedTable
from godwitrack.hashing import hash_text
from godwitrack.patches import MIN_PATCH_BYTES, make_patch
from godwitrack_node import membertable
from godwitrack_node.backoff import Backoff
from godwitrack_node.feedanswers import FeedAnswerBuilder
from godwitrack_node.feedsources import LARGE_PAGE_BYTES
from godwitrack_node.feedsync import HELP_LEAD_SECONDS
from godwitrack_node.sourceselector import (
    MAX_RELAY_CLASS,
    SourceSelector,
    compute_relay_class,
)
from hostedfleet import RESOURCES
from operatorsrows import make_config, make_route
from test_feedreplica import make_member
from testcaller import wait_for

MACHINE_SPECS = [("scenbok", "dc-a"), ("styrning", "dc-a"), ("scenbok", "dc-a")]
MACHINE_SPECS += [("scenbok", "dc-b"), ("styrning", "dc-b"), ("scenbok", "dc-b")]
ROUTE_COUNT = 600
# Some hundred bytes for a patch; the compressed list takes fifty times that.
MAX_CHANGE_BYTES = 2000
# The time to the bound that a change has left in calm, whatever the length of the list.
MIN_LEFT_SECONDS = 1.0
VERSION = 5
LEADER, OWN = sorted(("10.0.0.1:7000", "10.0.0.2:7000"), key=hash_text)


def make_long_list(version, weight):
    routes = [
        make_route(
            f"more-{n}", f"/more-{n}/", "scenbok", weight=weight if n == 0 else 1
        )
        for n in range(ROUTE_COUNT)
    ]
    return make_config(version, *RESOURCES, *routes)


def wait_in_force(fleet, revision):
    wait_for(
        lambda: all(
            machine.find("configurations").table.revision == revision
            for machine in fleet.machines
        )
    )


def get_follower(machine):
    return machine.find("membership").get_follower(FeedTable.OPERATORS)


@pytest.fixture
def long_list_fleet():
    """Six hosted nodes with a long list of routes."""
    fleet = Fleet(MACHINE_SPECS)
    try:
        fleet.store.put("op", "config", make_long_list(4, 1))
        fleet.wait_ready()
        # Nodes that just started have a poll to the store open.
        time.sleep(APPLY_SECONDS)
        yield fleet
    finally:
        fleet.close()


def record_pages(fleet, monkeypatch):
    """Return a list that receives the (source, received bytes) of each later page."""
    pages = []
    for machine in fleet.machines:
        follower = get_follower(machine)

        def merge(page, source, merge=follower._merge):
            if page.rows:
                pages.append((source, page.received_bytes))
            return merge(page, source)

        monkeypatch.setattr(follower, "_merge", merge)
    return pages


def test_a_change_of_one_weight_costs_what_it_changes(long_list_fleet, monkeypatch):
    """Guards against a whole list for each node, through one leader's link (CONFIG)."""
    pages = record_pages(long_list_fleet, monkeypatch)
    changed_at = time.monotonic()
    long_list_fleet.store.put("op", "config", make_long_list(5, 2))
    wait_in_force(long_list_fleet, 5)
    assert time.monotonic() - changed_at <= APPLY_SECONDS - MIN_LEFT_SECONDS
    from_nodes = [size for source, size in pages if source != "store"]
    assert len(from_nodes) >= len(MACHINE_SPECS) - 2
    assert max(from_nodes) <= MAX_CHANGE_BYTES
    # Each data centre's leader reads the store.
    assert len(pages) - len(from_nodes) <= 2


def test_nodes_of_builds_without_patches_get_whole_lists(monkeypatch):
    """Guards against nodes of two builds that do not understand each other."""
    monkeypatch.setattr(membertable, "PATCH_PROTOCOL", 0)
    fleet = Fleet(MACHINE_SPECS[:3])
    try:
        fleet.store.put("op", "config", make_long_list(4, 1))
        fleet.wait_ready()
        fleet.store.put("op", "config", make_long_list(5, 2))
        wait_in_force(fleet, 5)
        assert not any(get_follower(machine).patch_count for machine in fleet.machines)
    finally:
        fleet.close()


def test_a_refused_patch_leads_to_one_read_of_the_whole_list(
    long_list_fleet, monkeypatch
):
    """A wrong patch costs time, and never leads to another list."""
    wrong = make_patch(b"{}" * MIN_PATCH_BYTES, b"[]" * MIN_PATCH_BYTES)
    for machine in long_list_fleet.machines:
        log = get_follower(machine).replica._patches
        monkeypatch.setattr(log, "find", lambda row, base: [wrong])
    long_list_fleet.store.put("op", "config", make_long_list(5, 2))
    wait_in_force(long_list_fleet, 5)
    followers = [get_follower(machine) for machine in long_list_fleet.machines]
    assert sum(follower.refused_patch_count for follower in followers) >= 4
    values = {follower.replica.find("config").value for follower in followers}
    assert len(values) == 1


def test_a_node_that_joins_gets_a_long_list_from_its_leader(long_list_fleet):
    """Guards against joining nodes that fill the link from the store (CONFIG)."""
    leader = min(
        long_list_fleet.machines[:3],
        key=lambda machine: hash_text(str(machine.settings.links)),
    )
    machine = next(item for item in long_list_fleet.machines if item is not leader)
    page_bytes = len(str(make_long_list(4, 1))) * 4 // 3
    long_list_fleet.store.bytes_per_second = page_bytes / 6
    machine.kill()
    started_at = time.monotonic()
    machine.start()
    wait_for(lambda: machine.find("configurations").is_ready)
    assert time.monotonic() - started_at <= 3.0


def make_request(table=FeedTable.OPERATORS, after=VERSION, content=VERSION, bases=()):
    values = (int(table), after, 0, OWN, content, [list(base) for base in bases], True)
    return FeedPatchRequest(*values)


@pytest.mark.parametrize("bases", [[["a"]], [["a", "b"]], [[b"a", b"b"]], [1]])
def test_a_request_with_malformed_bases_is_an_error(clock, bases):
    feed_sync, _ = make_feed_sync(clock, LEADER, [LEADER, OWN], None)
    request = make_request()
    request.bases = bases
    with pytest.raises(MessageError):
        feed_sync.answer(request, None)


@pytest.mark.parametrize(
    ("position", "content", "version"),
    [
        # The same content, read earlier or later: nothing is missing.
        (VERSION, VERSION, 8),
        (VERSION + 6, VERSION, 8),
        # The asking node has a change that the leader lacks.
        (VERSION + 6, VERSION + 5, -1),
    ],
)
def test_a_source_is_behind_only_if_it_lacks_a_change(
    clock, position, content, version
):
    """Guards against followers that read the store as their leader polled it (CONFIG).

    Each change of the fleet's table moves the position of a node in the store's
    sequence, also where it reads the operators' table.
    """
    feed_sync, replica = make_feed_sync(clock, LEADER, [LEADER, OWN], None)
    replica.merge(FeedPage([], 8, False))
    request = make_request(after=position, content=content)
    assert feed_sync.answer(request, None).version == version
    # Builds without patches say no more than their position.
    request = FeedRequest(int(FeedTable.OPERATORS), position, 0, OWN)
    assert feed_sync.answer(request, None).version == (8 if position <= 8 else -1)


class RecordingPool(FakePool):
    """A pool of links to one node, whose answers come from a FeedSync."""

    def __init__(self, feed_sync):
        self._feed_sync = feed_sync
        self.requests = []

    def send(self, request, timeout):
        self.requests.append(request)

    def receive(self, timeout):
        return self._feed_sync.answer(self.requests[-1], None)


@pytest.mark.parametrize("position", [6, 9, 13])
def test_a_follower_keeps_a_leader_with_the_same_content(clock, position):
    """Guards against sixteen nodes that read a whole list from the store (CONFIG)."""
    leader, leader_replica = make_feed_sync(clock, LEADER, [LEADER, OWN], None)
    leader_replica.merge(FeedPage([], 9, False))
    pool = RecordingPool(leader)
    feed_sync, replica = make_feed_sync(clock, OWN, [LEADER, OWN], None, pool)
    replica.merge(FeedPage([], position, False))
    follower = feed_sync.get_follower(FeedTable.OPERATORS)
    follower.follow_once(Backoff(random.Random(1)))
    assert not follower.is_skipped(LEADER)
    assert replica.version == max(position, 9)


class PartialStore:
    """A store that notes how long a reader of a large page holds up its first part."""

    def __init__(self):
        self.held_seconds = None

    def read_all(self, table, on_data):
        return self.read_changes(table, -1, 0.0, 0.0, on_data)

    def read_changes(self, table, after, wait, timeout, on_data):
        started_at = time.monotonic()
        on_data(1, LARGE_PAGE_BYTES)
        self.held_seconds = time.monotonic() - started_at
        return FeedPage([FeedRow("config", VERSION + 1, b"new")], VERSION + 1, False)


@pytest.mark.parametrize(
    ("version", "answers_seconds", "is_held"),
    [(-1, 9.0, False), (VERSION, 9.0, True), (VERSION, 0.0, False)],
    ids=["no content", "no answer", "a failed fetch"],
)
def test_a_read_of_the_store_is_held_up_only_while_another_node_may_help(
    clock, version, answers_seconds, is_held
):
    """Guards against a fleet that starts again 0.2 s later for the help of no one."""
    ended = threading.Event()

    class HelperPool(FakePool):
        def receive(self, timeout):
            ended.wait(answers_seconds)
            raise LinkTimeout("nothing arrived in time")

    store, leader = PartialStore(), "10.0.0.3:7000"
    with ThreadPoolExecutor(2) as executor:
        feed_sync, _ = make_feed_sync(
            clock, LEADER, [LEADER], store, HelperPool(), version, executor, [leader]
        )
        follower = feed_sync.get_follower(FeedTable.OPERATORS)
        follower.follow_once(Backoff(random.Random(1)))
        ended.set()
    assert (store.held_seconds >= HELP_LEAD_SECONDS) is is_held, store.held_seconds


class NarrowStore:
    """A store whose page is arriving; `meanwhile` runs after its first part."""

    def __init__(self, meanwhile):
        self._meanwhile = meanwhile
        self.is_read_whole = False

    def read_changes(self, table, after, wait, timeout, on_data):
        on_data(LARGE_PAGE_BYTES)
        self._meanwhile()
        if on_data(2 * LARGE_PAGE_BYTES) is False:
            raise StoreError("the rest is not needed")
        self.is_read_whole = True
        return FeedPage([FeedRow("config", VERSION + 1, b"new")], VERSION + 1, False)


@pytest.mark.parametrize("is_helped", [True, False])
def test_a_read_of_the_store_ends_when_another_node_has_sent_the_change(
    clock, is_helped
):
    """Guards against whole lists that cross the link between regions (CONFIG)."""

    def receive_change():
        if is_helped:
            rows = [FeedRow("config", VERSION + 1, b"new")]
            replica.merge(FeedPage(rows, VERSION + 1, False))

    store = NarrowStore(receive_change)
    feed_sync, replica = make_feed_sync(clock, LEADER, [LEADER, OWN], store)
    follower = feed_sync.get_follower(FeedTable.OPERATORS)
    follower.follow_once(Backoff(random.Random(1)))
    assert store.is_read_whole is not is_helped
    assert replica.find("config").value == b"new"
    assert not follower.is_skipped("")


@pytest.mark.parametrize(
    ("megabits", "cores", "expected"),
    [
        (5.0, 2.15, 2),
        (10.0, 0.43, 3),
        (100.0, 0.43, 4),
        (1000.0, 0.86, 5),
        (100.0, 2.15, 6),
        (1e9, 1e9, MAX_RELAY_CLASS),
        (0.0, 0.0, 0),
    ],
)
def test_a_narrow_link_or_a_slow_core_limits_what_a_vm_can_pass_on(
    megabits, cores, expected
):
    assert compute_relay_class(megabits, cores) == expected


def test_the_vm_that_can_pass_on_most_leads(clock):
    """Guards against followers that all wait for a link of 5 Mbit/s (CONFIG)."""
    members = [make_member(f"10.0.0.{n}:7000", "dc-0", "region-0") for n in range(5)]
    for rank, member in enumerate(sorted(members, key=lambda m: hash_text(m.address))):
        member.relay_class = rank // 2
    selector = SourceSelector(clock, "", "dc-0", "region-0")
    best = max(members, key=lambda member: member.relay_class)
    assert selector.list_leaders(members) == [best.address]
    assert selector.list_candidates(members)[0] == best.address
    assert SourceSelector(clock, best.address, "dc-0", "region-0").is_leader(members)


def test_an_answer_is_compressed_once_for_all_with_the_same_base():
    """All followers ask at the same moment, some of them with another base."""
    builder = FeedAnswerBuilder()
    page = FeedPage(
        [FeedRow("config", VERSION, b"x" * MIN_PATCH_BYTES)], VERSION, False
    )
    first = builder.build(FeedTable.OPERATORS, page).packed
    assert builder.build(FeedTable.OPERATORS, page).packed is first

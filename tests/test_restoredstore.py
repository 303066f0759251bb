"""Tests of nodes whose store comes back from a copy, with versions given out again."""

import random
from concurrent.futures import ThreadPoolExecutor

import pytest

from fakeplatform import APPLY_SECONDS
from fakestore import FakeStore
from feedparts import make_feed_sync
from godwitrack.exceptions import StoreError
from godwitrack.feed import (
    FeedPage,
    FeedRow,
    FeedStore,
    FeedTable,
    HistoryLost,
    RowConflict,
    get_era,
    get_number,
    make_version,
)
from godwitrack.messages import decode_message
from godwitrack_node.backoff import Backoff
from godwitrack_node.feedanswers import FeedAnswerBuilder, decode_answer
from godwitrack_node.feedreplica import LOST_ROWS_SECONDS, FeedReplica
from godwitrack_platform.store import PAGE_ROWS, PlatformStore
from hostedfleet import RESOURCES, ask
from operatorsrows import make_config, make_route
from testcaller import wait_for

NEW_ROUTE = make_route("new", "/new/", "scenbok")
ADDED_ROUTE = make_route("added", "/added/", "scenbok")
# Rows of other tables that advance the store's counter.
MANY_ROWS = 40
LATER_ERA = 2
# Number of the version that a node knows of the era before.
KNOWN_NUMBER = 18


def is_served_everywhere(fleet, path):
    return all(ask(machine, path).status == 200 for machine in fleet.machines)


def add_rows(store, count):
    for number in range(count):
        store.put("other", f"row-{number}", {})


@pytest.mark.parametrize(
    "later_rows", [0, 2 * MANY_ROWS], ids=["lower version", "same version"]
)
def test_a_change_after_a_restoration_comes_into_force_everywhere(fleet, later_rows):
    """Guards against a change whose version was given out before (CONFIG, DENIED).

    Nodes dropped the restored table, since its version was lower. Once as many rows had
    been written as before, they got pages that lacked what was written in between.
    """
    copy = fleet.store.copy()
    add_rows(fleet.store, MANY_ROWS)
    config = make_config(9, *RESOURCES, NEW_ROUTE)
    fleet.store.put("op", "config", config)
    wait_for(lambda: is_served_everywhere(fleet, "/new/1"))
    fleet.store.is_away = True
    later = make_config(13, *RESOURCES, NEW_ROUTE, ADDED_ROUTE)
    others = [("other", f"row-{number}", {}) for number in range(later_rows)]
    fleet.store.restore(copy, [("op", "config", later), *others])
    fleet.store.is_away = False
    wait_for(lambda: is_served_everywhere(fleet, "/added/1"), APPLY_SECONDS)


def test_a_data_centre_is_brought_back_after_a_restoration(fleet):
    """Guards against a take-out that lasts at some nodes (seen at 10 of 14)."""
    copy = fleet.store.copy()
    add_rows(fleet.store, MANY_ROWS)
    fleet.store.put("op", "evacuate/dc-a", {})
    wait_for(lambda: all(m.find("configurations").taken_out for m in fleet.machines))
    fleet.store.is_away = True
    fleet.store.restore(copy, [("op", "evacuate/dc-a", {})])
    fleet.store.remove("op", "evacuate/dc-a")
    add_rows(fleet.store, 2 * MANY_ROWS)
    fleet.store.is_away = False
    wait_for(
        lambda: not any(m.find("configurations").taken_out for m in fleet.machines)
    )


class RestoredStore(FeedStore):
    """A store in a later era, which counts the calls that it gets.

    Args:
        number: Number of its newest version.
        has_history: Whether it answers a read of changes after an earlier era's version
            with an ordinary page, not with an error.
    """

    def __init__(self, number, has_history):
        self._version = make_version(LATER_ERA, number)
        self._has_history = has_history
        self.calls = 0

    def read_all(self, table, on_data=None):
        self.calls += 1
        return FeedPage([self._make_row()], self._version, True)

    def read_changes(self, table, after, wait, timeout, on_data=None):
        self.calls += 1
        if get_era(after) != LATER_ERA and not self._has_history:
            raise HistoryLost("the history is gone")
        return FeedPage([], self._version, False)

    def write_row(self, table, key, value, expected):
        raise StoreError("not expected here")

    def _make_row(self):
        return FeedRow("config", make_version(LATER_ERA, 1), b"restored")


@pytest.mark.parametrize("has_history", [False, True])
@pytest.mark.parametrize("number", [3, KNOWN_NUMBER, 900])
def test_a_restored_table_is_read_whole_and_once(clock, number, has_history):
    """Guards against 680 reads a day of a table that is then not used."""
    store = RestoredStore(number, has_history)
    feed_sync, replica = make_feed_sync(
        clock, "10.0.0.1:7000", ["10.0.0.1:7000"], store, version=KNOWN_NUMBER
    )
    backoff = Backoff(random.Random(1))
    for _ in range(3):
        feed_sync.get_follower(FeedTable.OPERATORS).follow_once(backoff)
    assert replica.find("config").value == b"restored"
    assert replica.version == make_version(LATER_ERA, number)
    # The refused read, that of the whole table, and two that find no change.
    assert store.calls == 4


class BackwardStore(RestoredStore):
    """A store that lost what it acknowledged and does not name a new era."""

    def read_all(self, table, on_data=None):
        self.calls += 1
        return FeedPage([], KNOWN_NUMBER - 1, True)

    def read_changes(self, table, after, wait, timeout, on_data=None):
        raise HistoryLost("the history is gone")


def test_an_older_table_of_the_same_era_is_a_failed_read(clock):
    """A failure is logged and followed by a pause; a page that is dropped is not."""
    store = BackwardStore(0, False)
    feed_sync, replica = make_feed_sync(
        clock, "10.0.0.1:7000", ["10.0.0.1:7000"], store, version=KNOWN_NUMBER
    )
    feed_sync.get_follower(FeedTable.OPERATORS).follow_once(Backoff(random.Random(1)))
    assert feed_sync.get_follower(FeedTable.OPERATORS).is_skipped("")
    assert replica.version == KNOWN_NUMBER


@pytest.mark.parametrize(
    ("source", "asked", "is_used"),
    [
        # Both in one era, then a source that is ahead of and behind the asking node.
        ((1, 7), (1, 5), True),
        ((1, 5), (1, 7), False),
        ((2, 3), (1, 900), True),
        ((1, 900), (2, 3), False),
        # Two restorations in a row, of which the asking node heard of none.
        ((3, 3), (1, 900), True),
        ((3, 3), (2, 3), True),
    ],
)
def test_a_page_of_another_node_replaces_the_table_of_an_earlier_era(
    clock, source, asked, is_used
):
    source, asked = make_version(*source), make_version(*asked)
    replica, reader = FeedReplica(clock), FeedReplica(clock)
    replica.merge(FeedPage([FeedRow("a", source - 1, b"source")], source, True))
    reader.merge(FeedPage([FeedRow("b", asked, b"asked")], asked, True))
    page = replica.read(asked, 0.0)
    assert (page is not None) is is_used
    if page is None:
        return
    answer = FeedAnswerBuilder().build(FeedTable.FLEET, page)
    reader.merge(decode_answer(decode_message(answer.encode())))
    assert reader.version == source
    assert reader.find("a").value == b"source"


def test_a_late_page_of_an_earlier_era_changes_nothing(clock):
    replica = FeedReplica(clock)
    later, earlier = make_version(2, 3), make_version(1, 900)
    replica.merge(FeedPage([FeedRow("a", later, b"later")], later, True))
    replica.merge(FeedPage([FeedRow("a", earlier, b"earlier")], earlier, True))
    replica.merge(FeedPage([FeedRow("a", earlier, None)], later, False))
    assert replica.find("a").value == b"later"


@pytest.mark.parametrize("era", [1, 2, 40])
@pytest.mark.parametrize("number", [0, 1, 2**40])
def test_a_version_names_its_era_and_number(era, number):
    version = make_version(era, number)
    assert (get_era(version), get_number(version)) == (era, number)
    assert make_version(era, number + 1) > version
    assert make_version(era + 1, 0) > version
    # Nodes of a build that knows no eras understand those of the first one.
    assert era > 1 or version == number


@pytest.fixture
def store():
    with ThreadPoolExecutor(20) as executor:
        store = FakeStore(executor)
        yield store
        store.close()


def test_versions_of_the_platforms_store_name_its_era(store):
    client = PlatformStore(store.address)
    store.put("op", "a", b"1")
    copy = store.copy()
    store.put("op", "a", b"2")
    known = client.read_all(FeedTable.OPERATORS)
    store.restore(copy, [("op", "b", b"3")])
    page = client.read_changes(FeedTable.OPERATORS, known.version, 0.0, 1.0)
    assert (get_era(known.version), get_era(page.version)) == (1, 2)
    assert get_number(known.version) == get_number(page.version)
    whole = client.read_all(FeedTable.OPERATORS)
    assert [(row.key, get_number(row.version)) for row in whole.rows] == [
        ("a", 1),
        ("b", 2),
    ]
    assert all(get_era(row.version) == 2 for row in whole.rows)


def test_a_write_expects_the_number_that_the_row_has_in_its_era(store):
    client = PlatformStore(store.address)
    store.restore(store.copy())
    written = client.write_row(FeedTable.FLEET, "a", b"1", 0)
    assert get_era(written) == 2
    assert client.write_row(FeedTable.FLEET, "a", b"2", written) > written
    with pytest.raises(RowConflict) as found:
        client.write_row(FeedTable.FLEET, "a", b"3", written)
    assert get_era(found.value.row.version) == 2
    client.write_row(FeedTable.FLEET, "a", None, found.value.row.version)
    with pytest.raises(RowConflict) as found:
        client.write_row(FeedTable.FLEET, "a", b"4", written)
    assert found.value.row is None


@pytest.mark.parametrize("era", ["0", "-1", "two", "1.5", "9" * 30])
def test_an_era_that_is_no_number_is_an_error(store, era):
    store.era = era
    with pytest.raises(StoreError, match="store-era"):
        PlatformStore(store.address).read_all(FeedTable.OPERATORS)


def test_a_table_that_changes_its_era_while_it_is_read_is_an_error(store):
    class RestoringStore(PlatformStore):
        def _fetch(self, *arguments, **options):
            answer = super()._fetch(*arguments, **options)
            store.restore(store.copy())
            return answer

    for number in range(PAGE_ROWS + 1):
        store.put("op", f"{number:04}", b"")
    with pytest.raises(StoreError, match="restored"):
        RestoringStore(store.address).read_all(FeedTable.OPERATORS)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        # The store lost "b" and "c"; nothing is known of them yet.
        ([], {"a", "b", "c"}),
        # One is written again, the other is removed in the new era.
        ([FeedRow("b", make_version(2, 4), b"b")], {"a", "b", "c"}),
        ([FeedRow("c", make_version(2, 4), None)], {"a", "b"}),
    ],
)
def test_rows_that_a_restored_store_lacks_stay_listed_for_a_while(
    clock, changes, expected
):
    replica = FeedReplica(clock)
    known = [FeedRow(key, number, b"") for number, key in enumerate("abc", 1)]
    replica.merge(FeedPage(known, 9, True))
    version = make_version(2, 3)
    replica.merge(FeedPage([FeedRow("a", make_version(2, 1), b"")], version, True))
    # The store lacks the row, so that its writer writes it again.
    assert replica.find("b") is None
    replica.merge(FeedPage(changes, make_version(2, 4), False))
    assert {row.key for row in replica.list_rows()} == expected
    clock.advance(LOST_ROWS_SECONDS)
    assert replica.merge(FeedPage([], make_version(2, 4), False))
    remaining = {row.key for row in changes if row.value is not None}
    assert {row.key for row in replica.list_rows()} == {"a"} | remaining


def test_a_take_out_that_the_store_lost_stays_in_force(fleet):
    """A restored store may answer before its operators have written again."""
    copy = fleet.store.copy()
    fleet.store.put("op", "evacuate/dc-a", {})
    wait_for(lambda: all(m.find("configurations").taken_out for m in fleet.machines))
    fleet.store.restore(copy)
    wait_for(lambda: all_in_later_era(fleet, FeedTable.OPERATORS))
    assert all(m.find("configurations").taken_out for m in fleet.machines)
    fleet.store.put("op", "evacuate/dc-a", {})
    fleet.store.remove("op", "evacuate/dc-a")
    wait_for(
        lambda: not any(m.find("configurations").taken_out for m in fleet.machines)
    )


def test_nodes_whose_rows_the_store_lost_are_called_and_write_them_again(fleet):
    empty = FakeStore(fleet.executor)
    copy = empty.copy()
    empty.close()
    keys = set(fleet.store.list_keys("fleet"))
    fleet.store.restore(copy, [("op", "config", make_config(4, *RESOURCES))])
    wait_for(lambda: all_in_later_era(fleet, FeedTable.OPERATORS))
    for number in range(20):
        assert ask(fleet.machines[0], "/lamp/1", f"r{number}").status == 200
    wait_for(lambda: all_in_later_era(fleet, FeedTable.FLEET), 10.0)
    wait_for(lambda: set(fleet.store.list_keys("fleet")) == keys)
    assert is_served_everywhere(fleet, "/lamp/1")


def all_in_later_era(fleet, table):
    """Return whether all nodes have read a table of a later era than the first."""
    replicas = [m.find("membership").get_replica(table) for m in fleet.machines]
    return all(get_era(replica.version) > 1 for replica in replicas)


class RecoveringStore(RestoredStore):
    """A restored store whose first read fails; it records the waits."""

    def __init__(self, number):
        super().__init__(number, True)
        self.waits = []

    def read_changes(self, table, after, wait, timeout, on_data=None):
        self.waits.append(wait)
        if len(self.waits) == 1:
            raise StoreError("away")
        return super().read_changes(table, after, wait, timeout)


def test_the_first_read_after_a_failure_does_not_wait_for_changes(clock):
    """Guards against a lost row that its node misses for a whole long poll."""
    store = RecoveringStore(900)
    feed_sync, replica = make_feed_sync(
        clock, "10.0.0.1:7000", ["10.0.0.1:7000"], store, version=KNOWN_NUMBER
    )
    backoff = Backoff(random.Random(1))
    for _ in range(3):
        feed_sync.get_follower(FeedTable.OPERATORS).follow_once(backoff)
    assert replica.version == make_version(LATER_ERA, 900)
    assert store.waits[0] > 0.0
    assert store.waits[1] == 0.0
    assert store.waits[2] > 0.0


def test_routes_that_the_store_lost_stay_in_force(fleet):
    """Guards against a node that goes back to older routes (CONFIG)."""
    copy = fleet.store.copy()
    fleet.store.put("op", "config", make_config(9, *RESOURCES, NEW_ROUTE))
    wait_for(lambda: is_served_everywhere(fleet, "/new/1"))
    fleet.store.restore(copy)
    wait_for(lambda: all_in_later_era(fleet, FeedTable.OPERATORS))
    assert is_served_everywhere(fleet, "/new/1")
    fleet.store.put("op", "config", make_config(13, *RESOURCES, ADDED_ROUTE))
    wait_for(lambda: is_served_everywhere(fleet, "/added/1"), APPLY_SECONDS)
    assert ask(fleet.machines[0], "/new/1").status == 404


def test_a_node_that_starts_after_a_restoration_follows_the_others(fleet):
    """Two restorations, of which the restarted node has seen none."""
    machine = fleet.machines[1]
    machine.kill()
    for _ in range(2):
        fleet.store.restore(fleet.store.copy())
    machine.start()
    wait_for(machine.is_ready)
    fleet.store.put("op", "config", make_config(9, *RESOURCES, NEW_ROUTE))
    wait_for(lambda: is_served_everywhere(fleet, "/new/1"), APPLY_SECONDS)
    replica = machine.find("membership").get_replica(FeedTable.OPERATORS)
    assert get_era(replica.version) == 3

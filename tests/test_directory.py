"""Tests of the directory, which is the same in whatever order news come."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitrack.clock import ManualClock
from godwitrack.messages import Records
from godwitrack_node.controlbudget import BURST_SECONDS
from godwitrack_node.directory import (
    BUCKETS,
    GONE_RETENTION_SECONDS,
    Directory,
    ServerRecord,
    ServerState,
)
from godwitrack_node.identity import Identity
from godwitrack_node.peers import RING_PEERS, choose_peers

FULL_FLEET = 9500
CONTROL_BYTES_PER_SECOND = 6000

RECORDS = st.builds(
    ServerRecord,
    st.sampled_from(["a", "b", "c"]),
    st.just("s"),
    st.just("r"),
    st.just("d"),
    st.just("10.0.0.1:1"),
    st.just(1),
    st.sampled_from([ServerState.WARM, ServerState.COLD, ServerState.SILENT]),
    st.integers(1, 3),
    st.integers(1, 3),
)


@given(st.lists(RECORDS, max_size=12), st.randoms(use_true_random=False))
def test_any_order_of_news_gives_the_same_directory(records, rng):
    directories = []
    for _ in range(2):
        directory = Directory(ManualClock())
        for record in records:
            directory.merge(record)
        directories.append(directory)
        rng.shuffle(records)
    first, second = directories
    assert first.compute_digest() == second.compute_digest()
    for name in "abc":
        pair = [directory.find(name) for directory in directories]
        assert (pair[0] and pair[0].order) == (pair[1] and pair[1].order)


def make_record(index, **changes):
    record = ServerRecord(
        f"server-{index}",
        "s",
        f"region-{index % 2}",
        f"data-centre-{index % 4}",
        f"10.0.0.{index}:1",
        1,
        ServerState.WARM,
        1,
        1,
    )
    return record.replace(**changes)


@given(st.lists(RECORDS, max_size=12))
def test_buckets_and_count_follow_the_records(records):
    directory = Directory(ManualClock())
    for record in records:
        directory.merge(record)
    listed = [item for index in range(BUCKETS) for item in directory.list_bucket(index)]
    assert {item.name for item in listed} == {item.name for item in records}
    assert all(item is directory.find(item.name) for item in listed)
    assert directory.count_servers() == len(directory.list_servers())


def test_a_forgotten_server_leaves_its_bucket(clock):
    directory = Directory(clock)
    directory.merge(make_record(1))
    directory.merge(make_record(1, state=ServerState.GONE, version=2))
    assert directory.count_servers() == 0
    clock.advance(GONE_RETENTION_SECONDS + 1)
    directory.expire()
    assert directory.find("server-1") is None
    assert not any(directory.list_bucket(index) for index in range(BUCKETS))


def test_a_node_that_joins_the_full_fleet_is_given_all_of_it_at_once(clock):
    """The whole directory fits what one peer has saved of its 6 KB a second."""
    rng = random.Random(1)
    full, joining = Directory(clock), Directory(clock)
    for index in range(FULL_FLEET):
        incarnation = 1_700_000_000_000_000 + rng.randrange(10**13)
        full.merge(make_record(index, incarnation=incarnation))
    records = [
        item.to_data() for index in range(BUCKETS) for item in full.list_bucket(index)
    ]
    message = Records.pack(list(range(BUCKETS)), records)
    assert len(message.encode()) < CONTROL_BYTES_PER_SECOND * BURST_SECONDS
    for item in message.unpack():
        joining.merge(ServerRecord.from_data(item))
    assert joining.compute_digest() == full.compute_digest()


def test_a_gone_server_that_was_never_known_stays_unknown(clock):
    directory = Directory(clock)
    assert not directory.merge(make_record(1, state=ServerState.GONE))
    assert directory.find("server-1") is None


@pytest.mark.parametrize("count", [3, 40, 400])
def test_each_node_is_watched_and_regions_are_bridged(count):
    records = [make_record(index) for index in range(count)]
    watchers = dict.fromkeys([record.name for record in records], 0)
    bridges = 0
    for record in records:
        identity = Identity(
            record.name, record.service, record.region, record.data_centre, 1
        )
        for chosen in choose_peers(records, identity):
            if chosen.region == record.region:
                watchers[chosen.name] += 1
            else:
                bridges += 1
    for record in records:
        near = sum(other.region == record.region for other in records)
        assert watchers[record.name] >= min(RING_PEERS, near - 1)
    assert 0 < bridges <= 16

"""Tests of the directory, which is the same in whatever order news come."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitrack.clock import ManualClock
from godwitrack_node.directory import Directory, ServerRecord, ServerState
from godwitrack_node.identity import Identity
from godwitrack_node.peers import RING_PEERS, choose_peers

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

"""Tests of godwitrack_node.feedreplica and godwitrack_node.feedsources."""

import json

import pytest

from godwitrack.controlmessages import FeedAnswer
from godwitrack.exceptions import StoreError
from godwitrack.feed import FeedPage, FeedRow, FeedTable
from godwitrack.hashing import hash_text
from godwitrack.message import pack_list
from godwitrack.messages import decode_message
from godwitrack_node.feedanswers import FeedAnswerBuilder, decode_answer
from godwitrack_node.feedfreshness import MAX_PEER_WAIT_SECONDS, PEER_MARGIN_SECONDS
from godwitrack_node.feedreplica import FeedReplica
from godwitrack_node.hostedrouting import Member
from godwitrack_node.sourceselector import SourceSelector
from operatorsrows import make_config, make_route


def make_page(rows, version, is_whole=False, age=0.0):
    return FeedPage([FeedRow(*row) for row in rows], version, is_whole, age)


def read_content(replica):
    return {row.key: row.value for row in replica.list_rows()}


@pytest.mark.parametrize(
    ("pages", "expected"),
    [
        ([make_page([("a", 1, b"1")], 1, True)], {"a": b"1"}),
        (
            [make_page([("a", 1, b"1")], 1, True), make_page([("a", 2, None)], 2)],
            {},
        ),
        # An older page from a slow source changes nothing.
        (
            [make_page([("a", 5, b"5")], 5, True), make_page([("a", 3, b"3")], 3)],
            {"a": b"5"},
        ),
        # A whole page removes what it does not list.
        (
            [
                make_page([("a", 1, b"1"), ("b", 2, b"2")], 2, True),
                make_page([("b", 2, b"2")], 9, True),
            ],
            {"b": b"2"},
        ),
        # A removal is not undone by an older row.
        (
            [
                make_page([("a", 1, b"1")], 1, True),
                make_page([("a", 4, None)], 4),
                make_page([("a", 2, b"2")], 4),
            ],
            {},
        ),
    ],
    ids=range(5),
)
def test_merge_keeps_the_newest_rows(clock, pages, expected):
    replica = FeedReplica(clock)
    for page in pages:
        replica.merge(page)
    assert read_content(replica) == expected


@pytest.mark.parametrize(
    ("after", "known"),
    [
        (-1, []),
        (1, [("a", 1, b"1")]),
        (3, [("a", 1, b"1"), ("b", 3, b"3")]),
        (4, [("a", 1, b"1")]),
        (6, [("a", 1, b"1"), ("c", 6, b"6")]),
    ],
)
def test_a_reader_gets_all_changes_it_lacks(clock, after, known):
    source = FeedReplica(clock)
    source.merge(make_page([("a", 1, b"1"), ("b", 3, b"3")], 3, True))
    source.merge(make_page([("b", 4, None), ("c", 6, b"6")], 6))
    reader = FeedReplica(clock)
    if after >= 0:
        reader.merge(make_page(known, after, True))
    page = source.read(after, 0.0)
    answer = decode_message(FeedAnswerBuilder().build(FeedTable.FLEET, page).encode())
    reader.merge(decode_answer(answer))
    assert read_content(reader) == {"a": b"1", "c": b"6"}
    assert reader.version == 6


def test_age_counts_from_the_confirmation_by_the_store(clock):
    replica = FeedReplica(clock)
    assert replica.age is None
    replica.merge(make_page([], 1, True, age=2.0))
    clock.advance(1.0)
    assert replica.age == pytest.approx(3.0)
    replica.merge(make_page([], 1, False, age=0.5))
    assert replica.age == pytest.approx(0.5)


def test_an_older_page_does_not_confirm_the_content(clock):
    """Guards against an age of some ms of content that nodes had not read for 4 s."""
    replica = FeedReplica(clock)
    replica.merge(make_page([("a", 5, b"5")], 5, True))
    clock.advance(4.0)
    replica.merge(make_page([("a", 3, b"3")], 3, True))
    assert replica.age == pytest.approx(4.0)


@pytest.mark.parametrize(
    "row", [["a"], ["a", 1], ["a", "1", b""], ["a", 1, "text"], "a", [1, 1, b""]]
)
def test_malformed_rows_are_an_error(row):
    with pytest.raises(StoreError):
        decode_answer(FeedAnswer(int(FeedTable.FLEET), pack_list([row]), 1, False, 0))


def test_bytes_that_hold_no_rows_are_an_error():
    with pytest.raises(StoreError):
        decode_answer(FeedAnswer(int(FeedTable.FLEET), b"rows", 1, False, 0))


def test_large_content_crosses_a_slow_link_within_a_poll():
    """Guards against nodes that never get 1,400 routes within a poll (CONFIG).

    On ljusnav-grown a leader on a link of 5 Mbit/s has some 14 followers. All of them
    ask at once and wait no longer than the duration of a poll plus its margin.
    """
    config = make_config(
        5,
        *(
            make_route(f"r{n}", f"/{hash_text(str(n)):x}/", "scenbok")
            for n in range(1400)
        ),
    )
    row = FeedRow("config", 5, json.dumps(config).encode())
    builder = FeedAnswerBuilder()
    page = FeedPage([row], 5, False)
    sizes = [len(builder.build(FeedTable.OPERATORS, page).encode()) for _ in range(14)]
    seconds = sum(sizes) * 8 / 5_000_000
    assert seconds <= MAX_PEER_WAIT_SECONDS + PEER_MARGIN_SECONDS
    answer = decode_message(builder.build(FeedTable.OPERATORS, page).encode())
    assert decode_answer(answer).rows[0].value == row.value


def test_each_content_gets_its_own_answer():
    builder = FeedAnswerBuilder()
    for rows in ([("a", 1, b"1")], [("a", 2, b"2")], [], [("a", 2, b"2")]):
        page = make_page(rows, 2)
        found = decode_answer(builder.build(FeedTable.FLEET, page))
        assert [(row.key, row.version, row.value) for row in found.rows] == rows


def make_member(address, data_centre, region):
    return Member(address, "scenbok", region, data_centre, 10, True, "i", 1)


MEMBERS = [
    make_member(f"10.0.{place}.{number}:7000", f"dc-{place}", f"region-{place // 2}")
    for place in range(4)
    for number in range(5)
]


def list_candidates_by_node(clock, members):
    return {
        member.address: SourceSelector(
            clock, member.address, member.data_centre, member.region
        ).list_candidates(members)
        for member in members
    }


def test_one_node_in_each_data_centre_reads_the_store(clock):
    candidates = list_candidates_by_node(clock, MEMBERS)
    leaders = {address for address, found in candidates.items() if found[0] == ""}
    assert len(leaders) == 4
    for member in MEMBERS:
        if member.address not in leaders:
            first = candidates[member.address][0]
            assert first.split(".")[2] == member.address.split(".")[2]
            assert "" in candidates[member.address][1:3]


def list_first_without(clock, members, lost, may_ask_deputy):
    """Return each member's first candidate if those in `lost` have failed."""
    first = {}
    for member in members:
        selector = SourceSelector(
            clock, member.address, member.data_centre, member.region
        )
        for address in lost:
            selector.skip(address)
        first[member.address] = selector.list_candidates(members, may_ask_deputy)[0]
    return first


def test_one_node_reads_the_store_in_place_of_a_lost_leader(clock):
    """Guards against sixteen reads of a whole table as one leader is lost (CONFIG)."""
    members = [member for member in MEMBERS if member.data_centre == "dc-0"]
    leader = SourceSelector(clock, "", "dc-0", "region-0").list_leaders(members)[0]
    first = list_first_without(clock, members, [leader], may_ask_deputy=True)
    readers = [address for address, source in first.items() if source == ""]
    followed = {first[address] for address in first if address not in readers}
    # The leader reads the store for itself, the deputy for the others.
    assert len(readers) == 2 and followed == set(readers) - {leader}
    # Nor does a deputy that is lost, too, keep the others from the store.
    first = list_first_without(clock, members, readers, may_ask_deputy=True)
    assert set(first.values()) == {""}
    # No time is left for the deputy.
    first = list_first_without(clock, members, [leader], may_ask_deputy=False)
    assert set(first.values()) == {""}


def test_a_failed_source_is_skipped_for_a_while(clock):
    member = MEMBERS[0]
    selector = SourceSelector(clock, member.address, member.data_centre, member.region)
    first = selector.list_candidates(MEMBERS)[0]
    selector.skip(first)
    assert first not in selector.list_candidates(MEMBERS)
    clock.advance(10.0)
    assert selector.list_candidates(MEMBERS)[0] == first


def test_a_node_without_known_members_reads_the_store(clock):
    selector = SourceSelector(clock, "10.0.0.1:7000", "dc-0", "region-0")
    assert selector.list_candidates([]) == [""]
    selector.skip("")
    assert selector.list_candidates([]) == [""]

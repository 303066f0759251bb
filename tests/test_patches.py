"""Tests of godwitrack.patches and godwitrack_node.patchlog: changes of large values."""

import json
import random

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitrack.exceptions import StoreError
from godwitrack.feed import FeedPage, FeedRow, FeedTable, compute_digest
from godwitrack.messages import decode_message
from godwitrack.patches import (
    MAX_VALUE_BYTES,
    MIN_PATCH_BYTES,
    Patch,
    PatchedRow,
    PatchError,
    make_patch,
)
from godwitrack_node.feedanswers import FeedAnswerBuilder, decode_answer
from godwitrack_node.feedreplica import FeedReplica
from godwitrack_node.patchlog import MAX_PATCHES, PatchLog
from operatorsrows import make_config, make_route

KEY = "config"
# Lists of short entries, of which some repeat.
VALUES = st.lists(st.sampled_from([b"{a}", b"{bc}", b"}", b"d", b"{ef}gh}"])).map(
    b"".join
)


def make_list(version, count, weight=1):
    """Return the bytes of a list of routes, the first of which has a weight."""
    rng = random.Random(1)
    routes = [
        make_route(f"r{n}", f"/{rng.getrandbits(60):x}/", "scenbok", weight=weight)
        if n == 0
        else make_route(f"r{n}", f"/{rng.getrandbits(60):x}/", "scenbok")
        for n in range(count)
    ]
    return json.dumps(make_config(version, *routes)).encode()


def copy_patch(patch):
    """Return a patch as it arrives at another node."""
    return Patch.from_data(cbor2.loads(cbor2.dumps(patch.to_data())))


@given(VALUES, VALUES)
def test_a_patch_leads_from_one_value_to_the_other(base, value):
    patch = copy_patch(make_patch(base, value))
    assert patch.apply(base) == value


@given(st.binary(max_size=300), st.binary(max_size=300))
def test_a_patch_of_any_bytes_leads_to_the_other(base, value):
    assert copy_patch(make_patch(base, value)).apply(base) == value


@given(VALUES, VALUES, VALUES)
def test_a_patch_of_another_base_is_refused(base, value, other):
    if other == base:
        return
    with pytest.raises(PatchError):
        make_patch(base, value).apply(other)


@given(VALUES, VALUES, st.data())
def test_a_damaged_patch_is_refused_or_leads_to_the_value(base, value, data):
    """Guards against a list in force that no operator wrote."""
    packed = bytearray(cbor2.dumps(make_patch(base, value).to_data()))
    if data.draw(st.booleans()):
        del packed[data.draw(st.integers(0, len(packed) - 1)) :]
    else:
        packed[data.draw(st.integers(0, len(packed) - 1))] ^= data.draw(
            st.integers(1, 255)
        )
    try:
        plain = cbor2.loads(bytes(packed))
    except Exception:
        return
    try:
        assert Patch.from_data(plain).apply(base) == value
    except StoreError:
        pass


@pytest.mark.parametrize(
    "parts",
    [
        [[0, 4]],
        [[-1, 2]],
        [[2, 1]],
        [[0, 3]] * (MAX_VALUE_BYTES // 3 + 1),
        [b"xyz"],
    ],
    ids=["beyond the end", "before the start", "backwards", "too much", "wrong"],
)
def test_a_patch_with_wrong_parts_is_refused(parts):
    data = [compute_digest(b"abc"), compute_digest(b"abd"), parts]
    with pytest.raises(PatchError):
        Patch.from_data(data).apply(b"abc")


@pytest.mark.parametrize(
    "data",
    [
        None,
        [],
        [b"", b""],
        [b"", b"", b""],
        ["", b"", []],
        [b"", b"", [1]],
        [b"", b"", [[1]]],
        [b"", b"", [[1, "2"]]],
        [b"", b"", [["", b""]]],
    ],
)
def test_a_malformed_patch_is_refused(data):
    with pytest.raises(PatchError):
        Patch.from_data(data)


def make_replica(clock, value, version):
    replica = FeedReplica(clock)
    replica.merge(FeedPage([FeedRow(KEY, version, value)], version, True))
    return replica


def send(source, reader):
    """Send the reader what it lacks; return the number of bytes and the rows."""
    state = reader.describe()
    page = source.read(state.after, 0.0)
    page = source.shorten(page, dict(state.bases))
    data = FeedAnswerBuilder().build(FeedTable.OPERATORS, page).encode()
    page = decode_answer(decode_message(data))
    reader.merge(page)
    return len(data), page.rows


def test_one_weight_among_thousands_of_routes_takes_few_bytes(clock):
    """Guards against 0.83 MB for each node for one weight (CONFIG)."""
    first, second = make_list(5, 2822), make_list(6, 2822, weight=7)
    source, reader = make_replica(clock, first, 5), make_replica(clock, first, 5)
    source.merge(FeedPage([FeedRow(KEY, 6, second)], 6, False))
    size, rows = send(source, reader)
    assert (type(rows[0]), size < 1000) == (PatchedRow, True), size
    assert reader.find(KEY).value == second
    assert reader.version == reader.content_version == 6
    # What came as a patch is handed on as one.
    last = make_replica(clock, first, 5)
    assert send(reader, last)[0] < 1000
    assert last.find(KEY).value == second


def test_a_reader_some_versions_behind_gets_all_patches(clock):
    values = [make_list(number, 100, weight=number) for number in range(MAX_PATCHES)]
    source, reader = (
        make_replica(clock, values[0], 1),
        make_replica(clock, values[0], 1),
    )
    for number, value in enumerate(values[1:], 2):
        source.merge(FeedPage([FeedRow(KEY, number, value)], number, False))
    _, rows = send(source, reader)
    assert len(rows[0].patches) == MAX_PATCHES - 1
    assert reader.find(KEY).value == values[-1]


@pytest.mark.parametrize(
    ("reader_value", "is_patched"),
    [
        (make_list(5, 100), True),
        # A list that the source never had.
        (make_list(5, 100, weight=9), False),
        (b"small", False),
    ],
    ids=["same base", "other base", "small"],
)
def test_a_reader_with_another_base_gets_the_whole_value(
    clock, reader_value, is_patched
):
    source = make_replica(clock, make_list(5, 100), 5)
    reader = make_replica(clock, reader_value, 5)
    value = make_list(6, 100, weight=2)
    source.merge(FeedPage([FeedRow(KEY, 6, value)], 6, False))
    _, rows = send(source, reader)
    assert (type(rows[0]) is PatchedRow) == is_patched
    assert reader.find(KEY).value == value


def test_a_refused_patch_changes_nothing(clock):
    """A page with one wrong patch must not be in force in part."""
    base = make_list(5, 100)
    reader = make_replica(clock, base, 5)
    clock.advance(3.0)
    wrong = make_patch(make_list(4, 100), make_list(6, 100))
    rows = [FeedRow("dc-a", 6, b""), PatchedRow(KEY, 6, [wrong])]
    with pytest.raises(PatchError):
        reader.merge(FeedPage(rows, 6, False))
    assert [row.key for row in reader.list_rows()] == [KEY]
    assert (reader.version, reader.find(KEY).value) == (5, base)
    assert reader.age == pytest.approx(3.0)


def test_a_late_patch_does_not_undo_a_later_value(clock):
    """A fetch after a hint may bring a later value than a patch on its way."""
    first, second, third = (make_list(n, 100) for n in (5, 6, 7))
    reader = make_replica(clock, first, 5)
    reader.merge(FeedPage([FeedRow(KEY, 7, third)], 7, False))
    rows = [PatchedRow(KEY, 6, [make_patch(first, second)])]
    assert not reader.merge(FeedPage(rows, 7, False))
    assert reader.find(KEY).value == third


def test_a_patch_log_keeps_what_is_worth_it():
    log, other = PatchLog(), random.Random(2).randbytes(MIN_PATCH_BYTES)
    base, value = FeedRow(KEY, 1, make_list(1, 50)), FeedRow(KEY, 2, make_list(2, 50))
    log.add_change(base, value)
    assert log.find(value, base.digest)
    # Nothing in common: the patch would be as large as the value.
    log.add_change(value, FeedRow(KEY, 3, other))
    assert log.find(FeedRow(KEY, 3, other), value.digest) is None
    # The same value again has no patch that would lead to it.
    assert log.find(value, value.digest) is None
    log.add_change(value, FeedRow(KEY, 4, None))
    assert log.find(value, base.digest) is None

"""Tests of nodes whose lists of servers hold an odd entry of another writer."""

import itertools
import json
import time

import cbor2
import pytest

from godwitrack.exceptions import LinkError
from godwitrack.feed import FeedRow
from godwitrack.hashing import hash_text
from godwitrack.link import open_link
from godwitrack.numbers import parse_whole_number
from godwitrack_node.answer import HttpAnswer
from godwitrack_node.feedfreshness import MAX_PEER_WAIT_SECONDS, PEER_MARGIN_SECONDS
from godwitrack_node.membertable import MAX_SLOTS, decode_member
from godwitrack_platform.protocols import PlatformServerProtocol
from hostedfleet import ask
from operatorsrows import make_config, make_route
from testcaller import send, wait_for

ADDRESS = "10.0.0.9:7000"
FIELDS = ["scenbok", "north", "dc-a", 10, True, "i-9", 7]
APPLY_SECONDS = 2.5


def replace_field(index, value):
    return cbor2.dumps([*FIELDS[:index], value, *FIELDS[index + 1 :]])


def find_first_in_rank(form, below):
    """Return an odd address that ranks before all others, as a leader's does."""
    texts = (form.format(number) for number in itertools.count(0))
    return next(text for text in texts if hash_text(text) < below)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("10.0.0.9:65536", cbor2.dumps(FIELDS)),
        ("10.0.0.9:99999999999", cbor2.dumps(FIELDS)),
        ("10.0.0.9:0", cbor2.dumps(FIELDS)),
        ("10.0.0.9:-1", cbor2.dumps(FIELDS)),
        ("10.0.0.999:7000", cbor2.dumps(FIELDS)),
        ("", cbor2.dumps(FIELDS)),
        (ADDRESS, b"\x81" * 60_000 + b"\x00"),
        (ADDRESS, b"\x81" * 300 + b"\x00"),
        (ADDRESS, cbor2.dumps(dict.fromkeys(range(7)))),
        (ADDRESS, replace_field(0, [[[]]])),
        (ADDRESS, replace_field(3, 10**400)),
        (ADDRESS, replace_field(3, 2**64)),
        (ADDRESS, replace_field(3, 0)),
        (ADDRESS, replace_field(3, -5)),
        (ADDRESS, replace_field(6, 10**30)),
        (ADDRESS, replace_field(6, -1)),
        (ADDRESS, b"\xff"),
        (ADDRESS, b""),
    ],
    ids=range(18),
)
def test_an_odd_row_names_no_member(key, value):
    assert decode_member(FeedRow(key, 1, value)) is None
    assert decode_member(FeedRow(ADDRESS, 1, cbor2.dumps(FIELDS))) is not None


@pytest.mark.parametrize("form", ["10.0.{}.9:65536", "10.0.0.9:7{:05}", "x{}"])
def test_nodes_follow_changes_beside_an_odd_row(fleet, form):
    """Guards against nodes that ask an odd entry for changes for ever (LOST)."""
    addresses = [str(machine.settings.links) for machine in fleet.machines]
    key = find_first_in_rank(form, min(map(hash_text, addresses)))
    fleet.store.put("fleet", key, cbor2.dumps(FIELDS))
    # The polls that were under way when the row came have ended after this time.
    time.sleep(MAX_PEER_WAIT_SECONDS + PEER_MARGIN_SECONDS)
    fleet.store.put(
        "op", "config", make_config(9, make_route("new", "/new/", "scenbok"))
    )
    for machine in fleet.machines:
        wait_for(lambda m=machine: ask(m, "/new/1").status == 200, APPLY_SECONDS)


def test_a_port_out_of_range_is_a_link_error():
    with pytest.raises(LinkError):
        open_link("127.0.0.1:65536", None, 1.0)


def make_report(app, **changes):
    status = {"state": "ready", "sequence": 9000, "warmupLeftS": 0}
    info = {"service": app.service, "version": "v1", "zone": "dc-a", "capacity": 10}
    report = {"born": app.born, "info": info, "status": status}
    for name, value in changes.items():
        (report if name in report else info if name in info else status)[name] = value
    return json.dumps({"address": str(app.address), **report}).encode()


@pytest.mark.parametrize(
    "change",
    [
        {"born": 10**30},
        {"sequence": 10**30},
        {"capacity": 10**30},
        {"capacity": 0},
        {"capacity": -3},
        {"warmupLeftS": float("inf")},
        {"warmupLeftS": float("nan")},
        {"warmupLeftS": 10**400},
    ],
    ids=str,
)
def test_a_report_with_impossible_numbers_is_refused(fleet, change):
    machine = fleet.machines[1]
    body = make_report(machine.app, **change)
    path = f"/-/instances/{machine.app.instance}"
    assert send(machine.settings.reports, "PUT", path, body=body).status == 400
    assert ask(fleet.machines[0], "/lamp/1").status == 200


@pytest.mark.parametrize("body", [b"[" * 60_000, b'{"info":' * 7_000])
def test_a_deeply_nested_report_is_refused(fleet, body):
    machine = fleet.machines[1]
    path = f"/-/instances/{machine.app.instance}"
    assert send(machine.settings.reports, "PUT", path, body=body).status == 400
    assert ask(fleet.machines[0], "/lamp/1").status == 200


@pytest.mark.parametrize(
    ("text", "number"),
    [("7", 7), ("0", 0), ("", None), ("²", None), ("-1", None), ("9" * 5000, None)],
    ids=["7", "0", "empty", "superscript", "negative", "too large"],
)
def test_a_whole_number_in_a_header_is_read_or_ignored(text, number):
    assert parse_whole_number(text) == number
    headers = [("godwitrack-server-load", f"0,0,{text},100"), ("server-limit", text)]
    answer = HttpAnswer(200, [["godwitrack-instance-id", "i"], *headers])
    health = PlatformServerProtocol().read_health(answer)
    assert health.slots == (number or 0)
    assert health.condition.rate_limit == number


@pytest.mark.parametrize(
    ("slots", "read"), [(18, 18), (MAX_SLOTS, MAX_SLOTS), (10**12, 0)]
)
def test_impossible_slots_of_a_health_answer_count_as_not_reported(slots, read):
    """A row with more slots would be written again and again, as none accepts it."""
    headers = [["godwitrack-server-load", f"0,0,{slots},100"]]
    assert PlatformServerProtocol().read_health(HttpAnswer(200, headers)).slots == read

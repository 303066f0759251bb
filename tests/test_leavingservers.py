"""Tests that what a node acknowledged of a leaving server survives the node's end."""

import json
import time

import cbor2
import pytest

from fakeplatform import FLEET, REPORT_SECONDS
from godwitrack.feed import FeedRow
from godwitrack_node.hostedrouting import Member
from godwitrack_node.identity import Identity
from godwitrack_node.membertable import decode_member, encode_member
from godwitrack_node.reportorder import ReportOrder, Verdict
from godwitrack_node.rowhistory import RowHistory
from godwitrack_node.serverreports import Health, Report
from godwitrack_node.sourceselector import MAX_RELAY_CLASS
from hostedfleet import ask
from testcaller import send, wait_for

WAYS = ["draining", "DELETE"]


def say_leaving(machine, way):
    """Say that the server leaves, in one of the WAYS; return the HTTP status."""
    return machine.leave() if way == "DELETE" else machine.report("draining")


def restart(machine):
    """Kill the node and start it again, until it is ready."""
    machine.kill()
    machine.app.runs.clear()
    machine.start()
    wait_for(machine.is_ready)


def check_nothing_runs(fleet, machine, count=5):
    """Check that calls of the machine's service are refused and do not run."""
    runs = len(machine.app.runs)
    for number in range(count):
        assert ask(fleet.machines[0], "/lamp/1", f"late{number}").status == 503
    assert len(machine.app.runs) == runs


@pytest.mark.parametrize("way", WAYS)
def test_leaving_is_not_acknowledged_before_its_row_is_written(fleet, way):
    """Guards against an acknowledgement that a kill undoes (DRAIN)."""
    machine = fleet.machines[1]
    assert machine.report() == 200
    machine.app.is_healthy = False
    fleet.store.is_away = True
    assert say_leaving(machine, way) == 503
    assert say_leaving(machine, way) == 503
    # It is in force at once all the same.
    check_nothing_runs(fleet, machine)
    fleet.store.is_away = False
    wait_for(lambda: say_leaving(machine, way) == 200)
    restart(machine)
    assert machine.report() == 200
    time.sleep(2 * REPORT_SECONDS)
    check_nothing_runs(fleet, machine)


@pytest.mark.parametrize("way", WAYS)
def test_a_process_that_left_stays_out_whatever_its_health_answers_say(fleet, way):
    """Guards against health answers of 200 that undo an acknowledgement (DRAIN).

    It also goes on to report that it is ready. Its next start, under the same id, gets
    requests.
    """
    machine = fleet.machines[1]
    assert machine.report() == 200
    assert say_leaving(machine, way) == 200
    time.sleep(2 * REPORT_SECONDS)
    check_nothing_runs(fleet, machine)
    restart(machine)
    time.sleep(3 * REPORT_SECONDS)
    check_nothing_runs(fleet, machine)
    machine.app.born += 1
    machine.app.sequence = 0
    wait_for(lambda: ask(fleet.machines[0], "/lamp/1", "next").status == 200)


@pytest.mark.parametrize("is_killed", [False, True], ids=["stop", "kill, stop"])
@pytest.mark.parametrize("way", WAYS)
def test_a_planned_stop_forgets_no_server_that_leaves_and_still_serves(
    fleet, way, is_killed
):
    """Guards against a late report after the node is stopped and started (DRAIN)."""
    machine = fleet.machines[1]
    assert machine.report() == 200
    machine.app.is_healthy = False
    assert say_leaving(machine, way) == 200
    if is_killed:
        restart(machine)
    machine.node.stop()
    machine.app.runs.clear()
    machine.start()
    wait_for(machine.is_ready)
    assert machine.report() == 200
    time.sleep(2 * REPORT_SECONDS)
    check_nothing_runs(fleet, machine)


def test_a_planned_stop_removes_the_row_once_the_server_has_ended(fleet):
    machine = fleet.machines[1]
    assert machine.report() == 200
    machine.app.is_healthy = False
    assert machine.leave() == 200
    machine.app.close()
    wait_for(lambda: machine.find("registration").is_blocked)
    machine.node.stop()
    assert str(machine.settings.advertised) not in fleet.store.list_keys(FLEET)


@pytest.mark.parametrize(
    ("named", "is_healthy", "is_taken_out"),
    [
        # The present process leaves, whatever its health answers say.
        (0, True, True),
        (0, False, True),
        # An earlier start under its id leaves late.
        (-1, True, False),
        (None, True, False),
        # It names no start, and the present process leaves as far as it says.
        (None, False, True),
    ],
)
def test_a_deregistration_takes_out_the_start_that_it_is_of(
    fleet, named, is_healthy, is_taken_out
):
    """Guards against a late DELETE of an earlier process with the same id."""
    machine = fleet.machines[1]
    app = machine.app
    assert machine.report() == 200
    app.born += 1
    app.sequence = 0
    assert machine.report() == 200
    app.is_healthy = is_healthy
    body = b"" if named is None else json.dumps({"born": app.born + named}).encode()
    path = f"/-/instances/{app.instance}"
    assert send(machine.settings.reports, "DELETE", path, body=body).status == 200
    time.sleep(2 * REPORT_SECONDS)
    status = 503 if is_taken_out else 200
    assert ask(fleet.machines[0], "/lamp/1", "after").status == status


@pytest.mark.parametrize("is_restarted", [False, True])
def test_a_late_deregistration_takes_no_other_start_out_for_good(fleet, is_restarted):
    """Guards against a start that is lost as its health answer failed for a moment."""
    machine = fleet.machines[1]
    app = machine.app
    app.born += 1
    app.sequence = 0
    assert machine.report() == 200
    app.is_healthy = False
    if is_restarted:
        machine.kill()
        machine.start()
    body = json.dumps({"born": app.born - 1}).encode()
    path = f"/-/instances/{app.instance}"
    send(machine.settings.reports, "DELETE", path, body=body)
    app.is_healthy = True
    wait_for(lambda: ask(fleet.machines[0], "/lamp/1", "back").status == 200)


def test_a_deregistration_binds_where_its_id_had_one_start(fleet):
    """Guards against a health answer of 200 that overrules a DELETE (DRAIN)."""
    machine = fleet.machines[1]
    assert machine.report() == 200
    assert machine.leave() == 200
    time.sleep(2 * REPORT_SECONDS)
    check_nothing_runs(fleet, machine)


MEMBER_VALUES = ("scenbok", "north", "dc-a", 10, False, "i-1", 7)


@pytest.mark.parametrize(
    ("extension", "expected"),
    [
        (b"", (None, 0, 0)),
        (cbor2.dumps([1000]), (1000, 0, 0)),
        (cbor2.dumps([1000, "of another build"]), (1000, 0, 0)),
        (cbor2.dumps([1000, 1, 4]), (1000, 1, 4)),
        (cbor2.dumps([None, 1, 4]), (None, 1, 4)),
        (cbor2.dumps([1000, 1, 4, "of a later build"]), (1000, 1, 4)),
        (cbor2.dumps(["1000", 2, [1]]), (None, 2, 0)),
        # Another writer's mistake would make a node the leader of all others.
        (cbor2.dumps([1000, 1, 10**30]), (1000, 1, MAX_RELAY_CLASS)),
        (cbor2.dumps([1000, 1, -1]), (1000, 1, 0)),
        (cbor2.dumps([]), (None, 0, 0)),
        (cbor2.dumps({1: 2}), (None, 0, 0)),
        (b"\xff", (None, 0, 0)),
    ],
    ids=range(12),
)
def test_rows_of_other_builds_name_a_member(extension, expected):
    value = cbor2.dumps(list(MEMBER_VALUES)) + extension
    member = decode_member(FeedRow("10.0.0.1:7620", 1, value))
    born, protocol, relay_class = expected
    expected = Member(
        "10.0.0.1:7620",
        *MEMBER_VALUES,
        born=born,
        protocol=protocol,
        relay_class=relay_class,
    )
    assert member.has_same_values(expected)


@pytest.mark.parametrize("born", [None, 1000])
def test_a_row_keeps_all_that_a_member_announces(born):
    member = Member(
        "10.0.0.1:7620", *MEMBER_VALUES, born=born, protocol=1, relay_class=3
    )
    found = decode_member(FeedRow("10.0.0.1:7620", 1, encode_member(member)))
    assert found.has_same_values(member)


def test_earlier_builds_read_rows_that_name_the_start_of_a_process():
    """Guards against members that vanish while a fleet has nodes of two builds."""
    member = Member("10.0.0.1:7620", *MEMBER_VALUES, born=1000)
    assert cbor2.loads(encode_member(member)) == list(MEMBER_VALUES)


def make_health(instance):
    return Health(instance, True, None, None, 10)


def test_a_health_answer_proves_no_report_that_came_after_it_was_asked_for(fleet):
    """Guards against a server taken back by an answer from before it left (DRAIN)."""
    machine = fleet.machines[1]
    registration = machine.find("registration")
    app = machine.app
    app.is_healthy = False
    time.sleep(2 * REPORT_SECONDS)
    # Known by its health answers alone, so that its start is not known.
    registration._born = None
    asked_at = time.monotonic()
    assert machine.leave() == 200
    assert machine.report() == 200
    registration._apply_health(make_health(app.instance), asked_at)
    assert not registration.is_serving
    check_nothing_runs(fleet, machine)


def make_ready(born):
    return Report("i-1", born, 5, "scenbok", "10.0.0.1:80", 10, False, 0.0)


def test_no_wall_clock_decides_whether_a_start_has_left():
    """Guards against a clock that steps between a start and a DELETE (DRAIN)."""
    order = ReportOrder(REPORT_SECONDS)
    order.record_left("i-1", None)
    for born in (0, 2**50):
        assert order.judge(make_ready(born), "i-1", False, 100.0) is Verdict.PROVE


def test_a_report_soon_after_an_unknown_start_left_names_that_start():
    """Guards against a late report that takes back a server that just left (DRAIN)."""
    order = ReportOrder(REPORT_SECONDS)
    order.record_left("i-1", None, 100.0)
    soon = 100.0 + REPORT_SECONDS
    assert order.judge(make_ready(1000), "i-1", False, soon) is Verdict.IGNORE
    assert order.judge(make_ready(1000), "i-1", False, 200.0) is Verdict.IGNORE
    assert order.judge(make_ready(1001), "i-1", False, soon) is Verdict.PROVE


@pytest.mark.parametrize(
    ("service", "incarnation", "is_serving", "is_taken"),
    [
        ("scenbok", 6, False, True),
        # Its own row, one of a server that serves, and one of another service whose
        # node had the address.
        ("scenbok", 7, False, False),
        ("scenbok", 6, True, False),
        ("styrning", 6, False, False),
    ],
)
def test_a_node_learns_of_leaving_from_a_row_of_its_last_process(
    service, incarnation, is_serving, is_taken
):
    place = (service, "north", "dc-a", 10)
    row = StoredRow(Member("10.0.0.1:7620", *place, is_serving, "i-1", incarnation, 3))
    history = RowHistory(row, Identity("n", "scenbok", "north", "dc-a", 7))
    assert (history.take_left() is not None) == is_taken
    # Each row is learned from once.
    assert history.take_left() is None


class StoredRow:
    """Stands for a MemberRow whose row holds a Member."""

    is_known = True

    def __init__(self, member):
        self._member = member

    def find_stored(self):
        return self._member

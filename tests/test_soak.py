"""Tests of the soak: its plan, proxy and checks, and seeds that once failed."""

import os
import socket
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from godwitrack.address import Address
from godwitrack_node.connectionserver import ConnectionServer
from soakcallers import CALL_KINDS, NestedCaller, SentCall
from soakchecks import SoakRecord, count_peak
from soakfaults import AppliedFault
from soakfleet import MACHINE_SPECS
from soakmachine import LINKS_PORT
from soakplan import (
    MAX_STOP_DISTANCE_SECONDS,
    OVERLAP_OPERATIONS,
    FaultKind,
    PathName,
    PlannedFault,
    draw_plan,
)
from soakproxy import Direction, FaultProxy
from soakrun import SoakOptions, parse_seeds, run_soak
from soakserver import is_long_answer, make_answer_text
from testcaller import Answer

READ, LAMP, NORTH = (CALL_KINDS[index] for index in (0, 1, 3))
# Second octets of the loopback addresses; other ranges are those of soaks by hand.
SUBNETS = range(250, 255)
SIGNED = {"godwitrack-server-signature": "signed"}
HELD_SECONDS = 0.2
# Seeds that once had findings, each with the cause that was fixed.
REGRESSION_SEEDS = {
    2: "uploads between regions timed out because a busy node had lowered their rate",
    8: "SIGHUP ended a node that was still starting",
    10: "a stopping node cut off requests before their own timeouts",
    26: "a second SIGTERM cut off requests that the first had left in flight",
    29: "a restarted node sent a cold server as much as its last process already had",
}


@pytest.mark.parametrize("seed", range(1, 6))
def test_each_plan_stops_two_nodes_amid_reloads_and_changes(seed):
    plan = draw_plan(seed, 5, 12.0, 0)
    kinds = [fault.kind for fault in plan]
    stops = [fault for fault in plan if fault.kind is FaultKind.NODE_STOP]
    first, second = stops
    assert first.node != second.node
    assert second.start_seconds - first.start_seconds <= MAX_STOP_DISTANCE_SECONDS
    assert kinds.count(FaultKind.NODE_RELOAD) == OVERLAP_OPERATIONS
    assert kinds.count(FaultKind.ROUTES_CHANGE) == OVERLAP_OPERATIONS


@pytest.mark.parametrize("seed", [1, 2])
def test_a_plan_is_drawn_from_its_seed_alone(seed):
    first, second = (draw_plan(seed, 5, 12.0, 12) for _ in range(2))
    lines = [fault.format() for fault in first]
    assert lines == [fault.format() for fault in second]
    assert lines != [fault.format() for fault in draw_plan(seed + 9, 5, 12.0, 12)]
    assert [fault.start_seconds for fault in first] == sorted(
        fault.start_seconds for fault in first
    )


def test_plans_contain_every_kind_of_fault_and_path():
    plan = [fault for seed in range(60) for fault in draw_plan(seed, 5, 12.0, 12)]
    assert {fault.kind for fault in plan} == set(FaultKind)
    assert {fault.path for fault in plan} == set(PathName)


@pytest.mark.parametrize(
    ("text", "seeds"), [("3", [3]), ("3,7-9", [3, 7, 8, 9]), ("4,2-4", [2, 3, 4])]
)
def test_a_list_of_seeds_is_parsed(text, seeds):
    assert parse_seeds(text) == seeds


@pytest.mark.parametrize("text", ["", "a", "1-", "1;2"])
def test_an_invalid_list_of_seeds_is_an_error(text):
    with pytest.raises(ValueError, match="seeds"):
        parse_seeds(text)


def echo(sock, remote):
    """Send back all received bytes."""
    while data := sock.recv(1024):
        sock.sendall(data)


@pytest.fixture
def proxy():
    with ThreadPoolExecutor(10) as executor:
        server = ConnectionServer(executor, Address("127.0.0.1", 0), echo, 10)
        server.start()
        proxy = FaultProxy("127.0.0.1", server.address)
        yield proxy
        proxy.close()
        server.close()
        server.interrupt()


@pytest.fixture
def client(proxy):
    with socket.create_connection(proxy.address, 10.0) as client:
        client.sendall(b"a")
        assert client.recv(1) == b"a"
        yield client


@pytest.mark.parametrize(
    "directions",
    [[Direction.TO_TARGET], [Direction.FROM_TARGET], list(Direction)],
    ids=["in", "out", "both"],
)
def test_a_cut_holds_bytes_back_until_all_cuts_are_restored(proxy, client, directions):
    proxy.cut(directions)
    proxy.cut(directions)
    client.sendall(b"b")
    client.settimeout(HELD_SECONDS)
    with pytest.raises(TimeoutError):
        client.recv(1)
    proxy.restore(directions)
    with pytest.raises(TimeoutError):
        client.recv(1)
    proxy.restore(directions)
    client.settimeout(10.0)
    assert client.recv(1) == b"b"


def test_a_reset_ends_only_open_connections(proxy, client):
    proxy.reset()
    with pytest.raises(ConnectionResetError):
        client.recv(1)
    with socket.create_connection(proxy.address, 10.0) as other:
        other.sendall(b"c")
        assert other.recv(1) == b"c"


def test_a_delay_applies_to_each_direction(proxy, client):
    proxy.add_delay(HELD_SECONDS)
    started = time.monotonic()
    client.sendall(b"d")
    assert client.recv(1) == b"d"
    assert time.monotonic() - started >= 2 * HELD_SECONDS


class FakeServer:
    """The attributes of a SoakServer that the checks read."""

    def __init__(self, instance, started_cold=False, draining_since=None):
        self.instance = instance
        self.started_cold = started_cold
        self.draining_since = draining_since
        self.started_at = 100.0
        self.warm_at = 102.0


class FakeRun:
    """The attributes of a Run that the checks read."""

    def __init__(self, call, node, **changes):
        self.request_id = call.request_id
        self.target = call.target
        self.length = call.length
        self.node = node
        self.instance = f"i-{node}"
        self.caller_service = MACHINE_SPECS[call.node].service
        self.received_at = call.sent_at
        for name, value in changes.items():
            setattr(self, name, value)


class FakeFleet:
    """Collects calls and runs for a SoakRecord."""

    def __init__(self):
        self.calls = []
        self.runs = []
        self.machines = [FakeMachine(spec) for spec in MACHINE_SPECS]

    def add_call(self, kind, status=200, runs=(), node=0, **changes):
        call = SentCall(f"r{len(self.calls)}", kind, node, 0)
        call.sent_at, call.ended_at = 100.0, 100.1
        body = b"done " + make_answer_text(call.request_id, 0) if status == 200 else b""
        headers = dict(SIGNED) if status == 200 else {}
        call.answer = Answer(status, headers, body) if status else None
        for name, value in changes.items():
            setattr(call, name, value)
        self.calls.append(call)
        self.runs += [FakeRun(call, number) for number in runs]
        return call

    def check(self, applied_faults=()):
        found = SoakRecord(self, list(applied_faults)).check()
        return sorted({finding.rule for finding in found})


class FakeMachine:
    """The attributes of a SoakMachine that the checks read."""

    def __init__(self, spec):
        self.spec = spec
        self.servers = []


@pytest.fixture
def fleet():
    return FakeFleet()


@pytest.mark.parametrize(
    ("kind", "status", "runs", "found"),
    [
        (READ, 200, [0], []),
        (READ, 200, [0, 2], []),
        (LAMP, 200, [1], []),
        (LAMP, 200, [1, 3], ["TWICE"]),
        (LAMP, 503, [], []),
        (LAMP, 503, [1], ["REFUSED"]),
        (LAMP, 421, [1], ["REFUSED"]),
        (LAMP, 502, [1], []),
        (LAMP, 404, [], ["DENIED"]),
        (READ, 302, [], ["DENIED"]),
        (READ, 503, [0], []),
        (NORTH, 200, [2], []),
        (NORTH, 200, [4], ["HOME"]),
        (READ, 200, [1], ["ROUTE"]),
        (LAMP, 0, [], []),
        (LAMP, 0, [1], ["LOST"]),
    ],
)
def test_an_outcome_that_breaks_a_rule_is_found(fleet, kind, status, runs, found):
    fleet.add_call(kind, status, runs)
    assert fleet.check() == found


@pytest.mark.parametrize(
    ("headers", "body", "found"),
    [
        (SIGNED, b"done r0 0", []),
        ({}, b"done r0 0", ["MIXED"]),
        (SIGNED, b"done r1 0", ["MIXED"]),
        (SIGNED, b"done r0", ["MIXED"]),
        ({**SIGNED, "godwitrack-request-id": "r1"}, b"done r0 0", ["MIXED"]),
    ],
)
def test_an_answer_of_another_request_is_found(fleet, headers, body, found):
    fleet.add_call(READ, answer=Answer(200, headers, body))
    assert fleet.check() == found


def test_an_answer_with_an_invalid_status_is_found(fleet):
    fleet.add_call(READ, answer=Answer(0, {}, b"ok"))
    assert fleet.check() == ["MIXED"]


@pytest.mark.parametrize(
    "changes", [{"target": "/read/x"}, {"length": 7}, {"caller_service": "other"}]
)
def test_a_request_that_changed_on_its_way_is_found(fleet, changes):
    call = fleet.add_call(READ)
    fleet.runs.append(FakeRun(call, 0, **changes))
    assert fleet.check() == ["UNASKED"]


def make_applied_fault(kind, node, path=PathName.CALLERS, began_at=98.0, ended_at=99.0):
    applied = AppliedFault(PlannedFault(0.0, kind, node, path, 1.0, 0.0))
    applied.began_at, applied.ended_at = began_at, ended_at
    return applied


@pytest.mark.parametrize(
    ("kind", "node", "path", "found"),
    [
        (FaultKind.NODE_KILL, 0, PathName.CALLERS, []),
        (FaultKind.NODE_KILL, 1, PathName.CALLERS, ["LOST"]),
        (FaultKind.NODE_STOP, 0, PathName.CALLERS, ["LOST"]),
        (FaultKind.PATH_RESET, 0, PathName.CALLERS, []),
        (FaultKind.PATH_RESET, 0, PathName.SERVER, ["LOST"]),
        (FaultKind.STORE_AWAY, 0, PathName.CALLERS, ["LOST"]),
    ],
)
def test_only_a_fault_at_the_callers_connection_excuses_a_lost_answer(
    fleet, kind, node, path, found
):
    fleet.add_call(LAMP, 0, [1])
    assert fleet.check([make_applied_fault(kind, node, path)]) == found


@pytest.mark.parametrize(
    ("kind", "node", "path", "is_long", "found"),
    [
        (FaultKind.NODE_KILL, 1, PathName.CALLERS, True, ["LOST"]),
        (FaultKind.PATH_RESET, 1, PathName.LINKS, True, ["LOST"]),
        (FaultKind.NODE_KILL, 1, PathName.CALLERS, False, ["LOST"]),
        (FaultKind.NODE_STOP, 1, PathName.CALLERS, True, ["LOST"]),
        (FaultKind.NODE_KILL, 2, PathName.CALLERS, True, ["LOST"]),
        (FaultKind.PATH_RESET, 1, PathName.SERVER, True, ["LOST"]),
    ],
)
def test_the_end_of_a_link_excuses_no_lost_answer(
    fleet, kind, node, path, is_long, found
):
    """No part of an answer is sent on before the link has delivered all of it."""
    while is_long_answer(f"r{len(fleet.calls)}") is not is_long:
        fleet.add_call(LAMP, 503)
    fleet.add_call(LAMP, 0, [1])
    assert fleet.check([make_applied_fault(kind, node, path)]) == found


@pytest.mark.parametrize(
    ("moment", "faults", "found"),
    [
        (104.9, [], []),
        (105.1, [], ["EVAC"]),
        (120.1, [], []),
        (105.1, [make_applied_fault(FaultKind.STORE_AWAY, 3)], []),
        (105.1, [make_applied_fault(FaultKind.NODE_PAUSE, 3)], ["EVAC"]),
    ],
)
def test_a_run_in_a_data_centre_that_is_taken_out_is_found(
    fleet, moment, faults, found
):
    taken_out = make_applied_fault(
        FaultKind.TAKE_OUT, 0, began_at=100.0, ended_at=120.0
    )
    call = fleet.add_call(READ, sent_at=moment, ended_at=moment)
    fleet.runs.append(FakeRun(call, 0))
    assert fleet.check([taken_out, *faults]) == found


@pytest.mark.parametrize(("moment", "found"), [(102.4, []), (102.6, ["DRAIN"])])
def test_a_run_after_its_server_drained_is_found(fleet, moment, found):
    fleet.machines[0].servers.append(FakeServer("i-0", draining_since=100.0))
    call = fleet.add_call(READ, sent_at=moment, ended_at=moment)
    fleet.runs.append(FakeRun(call, 0))
    assert fleet.check() == found


@pytest.mark.parametrize(("count", "found"), [(35, []), (36, ["FAILBACK"])])
def test_too_many_runs_at_a_cold_server_are_found(fleet, count, found):
    fleet.machines[0].servers.append(FakeServer("i-0", started_cold=True))
    for number in range(count):
        moment = 100.0 + 0.9 * number / count
        call = fleet.add_call(READ, sent_at=moment, ended_at=moment)
        fleet.runs.append(FakeRun(call, 0))
    assert fleet.check() == found


@pytest.mark.parametrize(("repeats", "found"), [(20, []), (29, ["BUDGET"])])
def test_too_many_retries_are_found(fleet, repeats, found):
    for _ in range(repeats):
        fleet.add_call(READ, 200, [0, 2])
    assert fleet.check() == found


@pytest.mark.parametrize(("late", "found"), [(7, []), (8, ["CONFIG"])])
def test_answers_after_their_timeout_are_found(fleet, late, found):
    for _ in range(late):
        fleet.add_call(READ, 504, ended_at=103.6)
    assert fleet.check() == found


@pytest.mark.parametrize(
    ("moments", "most"), [([], 0), ([1.0, 1.9, 2.0], 2), ([1.0, 1.5, 2.2, 2.4], 3)]
)
def test_the_peak_within_a_span_is_counted(moments, most):
    assert count_peak(moments, 1.0) == most


class NumberedMachine:
    """A machine of which only the number matters."""

    def __init__(self, number):
        self.number = number


def test_no_two_calls_of_running_requests_have_the_same_id():
    """Guards against two runs of a read whose calls look like one that ran twice."""
    callers = [NestedCaller(NumberedMachine(number), []) for number in range(3)]
    ids = [caller.make_request_id("s8-0") for caller in callers for _ in range(2)]
    assert len(set(ids)) == len(ids)


@pytest.fixture
def subnet():
    """A subnet that no other run of the tests on this machine uses."""
    count = len(SUBNETS)
    for number in (SUBNETS[(os.getpid() + offset) % count] for offset in range(count)):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((f"127.{number}.0.10", LINKS_PORT))
            except OSError:
                continue
        return number
    raise AssertionError(f"all of 127.{SUBNETS[0]} to 127.{SUBNETS[-1]} are in use")


def test_a_short_soak_finds_nothing(tmp_path, subnet):
    """Uses real node processes; `make soak` runs many seeds, and for longer."""
    result = run_soak(1, tmp_path, subnet, SoakOptions(4.0, 6, checks_durations=False))
    assert result.findings == []
    assert result.served > 100


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_a_seed_that_once_failed_finds_nothing(tmp_path, subnet, seed):
    result = run_soak(seed, tmp_path, subnet, SoakOptions(checks_durations=False))
    assert result.findings == []

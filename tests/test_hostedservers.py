"""Tests of hosted nodes: leaving, starting and cold servers, and planned stops."""

import threading
import time

import pytest

from fakeplatform import FLEET
from godwitrack_node.answer import HttpAnswer
from godwitrack_node.hostednode import GUARD_OPEN_SECONDS, NOTICE_SECONDS
from godwitrack_node.warmuprate import COLD_WINDOW_SECONDS
from godwitrack_platform.protocols import PlatformServerProtocol
from hostedfleet import ask, list_runs
from testcaller import Caller, make_request_headers, wait_for


def test_a_server_that_leaves_gets_no_more_requests(fleet):
    app = fleet.machines[1].app
    app.is_healthy = False
    assert fleet.machines[1].report("draining") == 200
    acknowledged = time.monotonic()
    for number in range(10):
        assert ask(fleet.machines[0], "/lamp/1", f"r{number}").status == 503
    assert not [moment for _, moment in app.runs if moment > acknowledged]


def test_a_server_that_left_gets_no_requests_after_a_node_restart(fleet):
    machine = fleet.machines[1]
    machine.app.is_healthy = False
    assert machine.leave() == 200
    assert ask(fleet.machines[0], "/lamp/1").status == 503
    machine.kill()
    machine.start()
    wait_for(machine.is_ready)
    assert ask(fleet.machines[0], "/lamp/1", "r2").status == 503
    assert not machine.app.runs


def test_a_process_that_restarts_under_its_id_gets_requests(fleet):
    machine = fleet.machines[1]
    machine.app.is_healthy = False
    assert machine.leave() == 200
    assert machine.report() == 200
    assert ask(fleet.machines[0], "/lamp/1", "r1").status == 503
    time.sleep(0.01)
    machine.app.born = int(time.time() * 1000)
    machine.app.sequence = 0
    machine.app.is_healthy = True
    wait_for(lambda: ask(fleet.machines[0], "/lamp/1", "r2").status == 200)


def test_an_outdated_report_has_no_effect(fleet):
    machine = fleet.machines[1]
    machine.app.is_healthy = False
    machine.report("draining")
    late = {"status": {"state": "ready", "sequence": 1, "warmupLeftS": 0}}
    assert machine.report(**late) == 200
    assert machine.report(**late, born=1) == 200
    assert ask(fleet.machines[0], "/lamp/1").status == 503


@pytest.mark.parametrize(
    "changes",
    [
        {"born": "now"},
        {"info": {}},
        {"status": {"state": "asleep", "sequence": 99, "warmupLeftS": 0}},
        {"status": {"state": "ready", "sequence": True, "warmupLeftS": 0}},
        {"address": None},
    ],
    ids=range(5),
)
def test_a_malformed_report_is_refused(fleet, changes):
    assert fleet.machines[1].report(**changes) == 400
    assert ask(fleet.machines[0], "/lamp/1").status == 200


def ask_often(entries, prefix, count):
    """Send concurrent lamp requests to the entries in turn; wait for all answers."""
    threads = [
        threading.Thread(
            target=ask, args=(entries[n % len(entries)], "/lamp/1", f"{prefix}{n}")
        )
        for n in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def check_cold_rate(app, rate=20):
    """Check that no second has more arrivals than the cold server sustains."""
    runs = [moment for _, moment in app.runs]
    for moment in runs:
        assert sum(moment <= other < moment + 1.0 for other in runs) <= rate


@pytest.mark.parametrize(("tolerance", "rate"), [(1.0, 20), (1.5, 30)])
def test_a_cold_server_gets_no_more_than_its_warm_up_rate(fleet, tolerance, rate):
    """Guards against refusing a third of the calls while all servers restart cold."""
    machine = fleet.machines[1]
    machine.kill()
    machine.settings.cold_tolerance = tolerance
    machine.app.cold_seconds = 5.0
    machine.start()
    wait_for(machine.is_ready)
    machine.report()
    wait_for(lambda: machine.find("registration").compute_cold_rate() is not None)
    assert machine.find("registration").compute_cold_rate() == rate
    started = time.monotonic()
    ask_often(fleet.machines, "r", 60)
    check_cold_rate(machine.app, rate)
    assert machine.app.runs and time.monotonic() - started < 10.0


@pytest.mark.parametrize("is_stopping", [False, True], ids=["kill", "stop, kill"])
def test_a_restarted_node_does_not_send_a_cold_server_twice_its_rate(
    fleet, is_stopping
):
    """Guards against a node that ignores what its last process sent (FAILBACK).

    In soak seed 29, 40 requests arrived in a second at a server that sustains 20. A
    node that is killed during its planned stop has already removed its row.
    """
    machine, entry = fleet.machines[1], fleet.machines[0]
    machine.app.cold_seconds = 10.0
    machine.report()
    wait_for(lambda: machine.find("registration").compute_cold_rate() is not None)
    ask_often([entry], "before", 20)
    assert machine.app.runs
    if is_stopping:
        machine.find("registration").begin_stop()
        own_row = str(machine.settings.advertised)
        wait_for(lambda: own_row not in fleet.store.list_keys(FLEET))
    machine.kill()
    machine.start()
    wait_for(machine.is_ready)
    wait_for(lambda: machine.find("registration").is_serving)
    for number in range(10):
        ask_often([entry], f"after{number}-", 20)
        time.sleep(0.1)
    check_cold_rate(machine.app)
    assert len(machine.app.runs) > 20


def test_a_planned_stop_cuts_off_nothing(fleet):
    """Guards against requests that are forwarded while the node exits (LOST)."""
    machine = fleet.machines[0]
    fleet.machines[1].app.seconds = 0.3
    caller = Caller(machine.settings.callers)
    stopper = threading.Thread(target=machine.node.stop)
    answers = []
    stopper.start()
    number = 0
    while stopper.is_alive() and len(answers) < 40:
        number += 1
        try:
            caller.send("POST", "/lamp/1", headers=make_request_headers(f"r{number}"))
            answers.append(caller.read())
        except OSError:
            # A request whose connection the stop closed was not forwarded.
            assert not list_runs(fleet, f"r{number}")
            break
        if answers[-1].headers.get("connection") == "close":
            caller.close()
            try:
                caller = Caller(machine.settings.callers)
            except OSError:
                break
    stopper.join()
    caller.close()
    assert {answer.status for answer in answers} <= {200, 503}
    assert [answer.status for answer in answers].count(200) >= 2
    assert not machine.is_ready()
    machine.start()
    wait_for(machine.is_ready)


def test_a_server_gets_requests_during_most_of_a_planned_stop(fleet):
    """Guards against losing half of a service's capacity in a rolling restart."""
    machine, entry = fleet.machines[1], fleet.machines[0]
    stopper = threading.Thread(target=machine.node.stop)
    stopper.start()
    statuses = []
    while stopper.is_alive():
        answer = ask(entry, "/lamp/1", f"r{len(statuses)}", "POST")
        statuses.append(answer.status)
        time.sleep(0.05)
    stopper.join()
    # First requests run, then they are refused. A refused request has not run, and no
    # running one is cut off.
    served = statuses.count(200)
    assert served >= 2
    assert statuses == [200] * served + [503] * (len(statuses) - served)
    assert len(machine.app.runs) == served
    # The next node process starts its count of requests to a cold server at zero.
    assert GUARD_OPEN_SECONDS + COLD_WINDOW_SECONDS <= NOTICE_SECONDS


LEAVING = ("Server-Leaving", "1")


def test_a_server_whose_answers_say_that_it_leaves_gets_no_more_requests(fleet):
    """Guards against requests until a report of the leaving server arrives (DRAIN)."""
    machine = fleet.machines[1]
    machine.app.answer_headers = [LEAVING]
    assert ask(fleet.machines[0], "/lamp/1", "last").status == 200
    # A late report of the same process, sent before it began to leave.
    assert machine.report() == 200
    runs = len(machine.app.runs)
    for number in range(5):
        assert ask(fleet.machines[0], "/lamp/1", f"r{number}").status == 503
    assert len(machine.app.runs) == runs


def test_a_restarted_node_learns_from_a_health_check_that_its_server_leaves(fleet):
    machine = fleet.machines[1]
    machine.app.health_headers = [LEAVING]
    machine.kill()
    machine.app.runs.clear()
    machine.start()
    wait_for(machine.is_ready)
    assert machine.report() == 200
    for number in range(5):
        assert ask(fleet.machines[0], "/lamp/1", f"r{number}").status == 503
    assert not machine.app.runs


def test_a_process_that_starts_after_one_that_left_gets_requests(fleet):
    """Its id may be the same, and its clock may have been stepped back."""
    machine = fleet.machines[1]
    assert machine.report() == 200
    machine.app.answer_headers = [LEAVING]
    assert ask(fleet.machines[0], "/lamp/1", "last").status == 200
    machine.app.answer_headers = []
    machine.app.born += 1
    machine.app.sequence = 0
    wait_for(lambda: ask(fleet.machines[0], "/lamp/1", "r2").status == 200)


def test_a_late_report_reopens_no_adopted_process_that_left(fleet):
    """Guards against taking the start of an earlier process for that of this one."""
    machine = fleet.machines[1]
    registration = machine.find("registration")
    assert machine.report() == 200
    machine.app.is_healthy = False
    # Its process fell silent, and the next one is known by its health answers only.
    registration.instance = ""
    machine.app.instance, machine.app.sequence = "i-next", 0
    machine.app.born += 1
    health = PlatformServerProtocol().read_health(
        HttpAnswer(
            200,
            [
                ["godwitrack-instance-id", "i-next"],
                ["godwitrack-server-load", "0,0,10,100"],
            ],
        )
    )
    registration._apply_health(health, time.monotonic())
    assert registration.instance == "i-next"
    assert machine.leave() == 200
    assert machine.report() == 200
    assert not registration.is_serving


RATE = 4.0


def test_a_restarted_node_keeps_the_limit_that_its_server_names(fleet):
    """Guards against a burst before the first answer names the limit again (LIMIT).

    A report that arrives before the first health check must not open the guard.
    """
    machine = fleet.machines[1]
    app = machine.app
    app.answer_headers = app.health_headers = [("Server-Limit", str(RATE))]
    machine.kill()
    app.runs.clear()
    machine.start()
    machine.report()
    started = time.monotonic()
    wait_for(machine.is_ready)
    ask_often(fleet.machines, "r", 60)
    elapsed = time.monotonic() - started
    assert len(app.runs) <= RATE * elapsed + RATE
    app.answer_headers = app.health_headers = []
    wait_for(lambda: machine.find("guard").admission.rate_limit is None)
    wait_for(lambda: ask(fleet.machines[0], "/lamp/1", "after").status == 200)

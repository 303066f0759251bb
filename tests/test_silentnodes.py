"""Tests of requests at nodes that answer no query for a while: real hosted nodes."""

import threading
import time

import pytest

from fakeplatform import Fleet
from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack_node import linkserver
from hostedfleet import MACHINE_SPECS, RESOURCES, ask
from operatorsrows import make_config, make_route
from testcaller import wait_for

# Silence is unusual after 0.6 of the objective, and a query takes half a second.
QUICK_ROUTE = make_route("quick", "/quick/", "scenbok", sloS=0.3)
RUN_SECONDS = 1.2


@pytest.fixture
def silent_fleet(monkeypatch):
    """Three nodes, of which no query of another node gets an answer."""
    ended = threading.Event()
    monkeypatch.setattr(linkserver, "serve_query", lambda *_: ended.wait())
    fleet = Fleet(MACHINE_SPECS)
    fleet.store.put("op", "config", make_config(4, *RESOURCES, QUICK_ROUTE))
    fleet.wait_ready()
    yield fleet
    ended.set()
    fleet.close()


def refuse_all_but_first(fleet, monkeypatch):
    """Let all guards together run one request, and refuse the others as busy."""
    first = threading.Lock()
    for machine in fleet.machines:
        guard = machine.find("guard")

        def run(call, source, sink, run=guard.run):
            if not first.acquire(blocking=False):
                raise RequestError(ErrorKind.SERVER_BUSY)
            run(call, source, sink)

        monkeypatch.setattr(guard, "run", run)


def list_apps(fleet):
    return [machine.app for machine in (fleet.machines[0], fleet.machines[2])]


def test_a_silent_node_is_not_given_up_if_all_others_refuse(silent_fleet, monkeypatch):
    """Guards against a 502 while the request is at work at a starved node (LOST)."""
    refuse_all_but_first(silent_fleet, monkeypatch)
    for app in list_apps(silent_fleet):
        app.seconds = RUN_SECONDS
    started_at = time.monotonic()
    assert ask(silent_fleet.machines[1], "/quick/1").status == 200
    assert time.monotonic() - started_at >= RUN_SECONDS
    assert sum(len(app.runs) for app in list_apps(silent_fleet)) == 1


def test_a_silent_node_is_given_up_once_another_has_answered(silent_fleet):
    """The first server must not work on for a caller that has its answer."""
    first, second = list_apps(silent_fleet)

    def behave(request_id, connection, sock):
        app = first if first.runs else second
        if len(first.runs) + len(second.runs) == 1:
            app.seconds = 5.0
            return app._work(sock)
        (second if app is first else first).send_answer(request_id, connection)
        return True

    first.behave = second.behave = behave
    started_at = time.monotonic()
    assert ask(silent_fleet.machines[1], "/quick/1").status == 200
    assert time.monotonic() - started_at <= 2.0
    wait_for(lambda: first.caller_gone.is_set() or second.caller_gone.is_set())


def test_a_node_that_stays_silent_is_given_up_at_the_deadline(
    silent_fleet, monkeypatch
):
    refuse_all_but_first(silent_fleet, monkeypatch)
    for app in list_apps(silent_fleet):
        app.seconds = 9.0
    started_at = time.monotonic()
    assert ask(silent_fleet.machines[1], "/quick/1", seconds=2.0).status in (502, 504)
    assert time.monotonic() - started_at <= 2.5

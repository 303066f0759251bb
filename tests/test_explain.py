"""Tests of a node process by its log: explain-request, reloads and stop signals."""

import signal
import threading

import pytest

from godwitrack_ctl.cmdline import main
from nodeprocess import SERVICE, NodeProcess
from operatorsrows import make_config, make_route, make_service
from testcaller import make_request_headers, send, wait_for


class LoggedNode(NodeProcess):
    """A node whose backend server runs one request at a time."""

    def __init__(self):
        super().__init__()
        self.app.slots = 1
        self.put_routes(4, "write")
        self.start()

    def put_routes(self, version, *names):
        routes = [
            make_route(name, f"/{name}/", SERVICE, "non_idempotent", sloS=0.4)
            for name in names
        ]
        service = make_service(SERVICE)
        self.store.put("op", "config", make_config(version, *routes, service))

    def wait_ready(self):
        wait_for(self.is_ready)
        assert self.report() == 200
        wait_for(lambda: self.ask("ready", "/write/1") == 200)

    def ask(self, request_id, path):
        headers = make_request_headers(request_id)
        return send(self.addresses["callers"], "POST", path, headers=headers).status

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        self.signal(signal.SIGTERM)
        return self.process.wait(20)


@pytest.fixture
def process():
    process = LoggedNode()
    try:
        process.wait_ready()
        yield process
        assert process.stop() == 0
    finally:
        process.close()


def explain(process, capsys, request_id):
    arguments = [
        "explain-request",
        f"--request={request_id}",
        f"--logs={process.log_path}",
    ]
    wait_for(lambda: main(arguments) == 0)
    return capsys.readouterr().out


def test_refusal_under_overload_is_explained(process, capsys):
    process.app.seconds = 0.5
    statuses = {}

    def ask(number):
        statuses[number] = process.ask(f"id-{number}", "/write/1")

    threads = [threading.Thread(target=ask, args=(number,)) for number in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    refused = next(number for number, status in statuses.items() if status == 503)
    text = explain(process, capsys, f"id-{refused}")
    assert "call refused" in text and "kind=server_busy" in text
    assert "limit=1" in text and "in_flight=1" in text
    assert "ended with 503 (no_room) at node-1: It did not run." in text
    assert f"id-{refused}" not in [found for found, _ in process.app.runs]


def test_write_with_unknown_outcome_is_explained(process, capsys):
    process.app.behave = lambda request_id, connection, sock: False
    assert process.ask("lost-1", "/write/1") == 502
    text = explain(process, capsys, "lost-1")
    assert "call refused" in text and "detail=the answer broke off" in text
    assert "ended with 502 (outcome_unknown) at node-1: It may have run" in text


def test_request_refused_after_a_route_change_is_explained(process, capsys):
    process.put_routes(9, "other")
    wait_for(lambda: process.ask("early", "/write/1") == 404)
    assert process.ask("gone-1", "/write/1") == 404
    text = explain(process, capsys, "gone-1")
    assert "revision=9" in text
    assert "ended with 404 (unknown_route) at node-1: It did not run." in text


@pytest.mark.parametrize("request_id", ["never", "id"])
def test_request_missing_from_the_logs_is_an_error(process, capsys, request_id):
    arguments = [
        "explain-request",
        f"--request={request_id}",
        f"--logs={process.log_path}",
    ]
    assert main(arguments) == 2
    assert "the logs do not hold" in capsys.readouterr().err


def test_reload_is_logged_and_interrupts_nothing(process):
    """SIGHUP would end the node if it had no handler."""
    process.signal(signal.SIGHUP)
    wait_for(lambda: "settings reloaded" in process.read_log())
    assert process.ask("after", "/write/1") == 200


def test_changed_settings_are_reloaded_without_a_signal(process):
    path = process.settings_path
    path.write_text(path.read_text().replace("budgetSlack = 64", "budgetSlack = 32"))
    wait_for(lambda: '"changed": ["retry_limits"]' in process.read_log())
    path.write_text("nothing")
    wait_for(lambda: "settings not reloaded" in process.read_log())
    assert process.ask("after", "/write/1") == 200


def test_second_stop_signal_interrupts_no_request(process):
    """Guards against a second SIGTERM that cuts a request off (soak seed 26)."""
    process.app.seconds = 1.0
    statuses = []
    thread = threading.Thread(
        target=lambda: statuses.append(process.ask("late", "/write/1"))
    )
    thread.start()
    wait_for(lambda: process.app.runs[-1][0] == "late")
    process.signal(signal.SIGTERM)
    wait_for(lambda: "node stopping" in process.read_log())
    process.signal(signal.SIGTERM)
    thread.join()
    assert statuses == [200]

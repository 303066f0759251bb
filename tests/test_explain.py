"""Tests of a node process by its log: explain-request, reloads and stop signals."""

import os
import pathlib
import signal
import subprocess
import sys
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from fakebackend import FakeBackendServer, send_report
from fakeplatform import SETTINGS
from fakestore import FakeStore
from godwitrack.address import Address
from godwitrack_ctl.cmdline import main
from godwitrack_lab.deployment import find_ports
from operatorsrows import make_config, make_route, make_service
from testcaller import ask_ready, make_request_headers, send, wait_for

ROOT = pathlib.Path(__file__).parents[1]


class NodeProcess:
    """A hosted node that runs in its own process and logs to a file."""

    def __init__(self, folder):
        self._executor = ThreadPoolExecutor(100)
        self.store = FakeStore(self._executor)
        self.app = FakeBackendServer(self._executor, "scenbok", "i-1")
        self.app.slots = 1
        ports = find_ports(4)
        self.callers, self.readiness, self.reports = (
            Address("127.0.0.1", port) for port in ports[:3]
        )
        path = self.settings = folder / "local.toml"
        path.write_text(
            SETTINGS.format(
                name="node-1",
                ip="127.0.0.1",
                data_centre="dc-a",
                region="north",
                links=ports[3],
                beat=0.3,
                server=self.app.address,
                service="scenbok",
                extra="",
                callers=self.callers,
                readiness=self.readiness,
                reports=self.reports,
                slack=64,
                store=self.store.address,
            )
        )
        self.log = folder / "node.log"
        with open(self.log, "wb") as output:
            self._process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "start.py")],
                stdout=output,
                env={**os.environ, "GODWITRACK_CONFIG": str(path)},
            )

    def put_routes(self, version, *names):
        routes = [
            make_route(name, f"/{name}/", "scenbok", "non_idempotent", sloS=0.4)
            for name in names
        ]
        service = make_service("scenbok")
        self.store.put("op", "config", make_config(version, *routes, service))

    def wait_ready(self):
        wait_for(lambda: ask_ready(self.readiness))
        address = str(self.app.address)
        status = send_report(self.reports, self.app, "dc-a", "ready", address=address)
        assert status == 200
        wait_for(lambda: self.ask("ready", "/write/1") == 200)

    def ask(self, request_id, path):
        headers = make_request_headers(request_id)
        return send(self.callers, "POST", path, headers=headers).status

    def signal(self, number):
        self._process.send_signal(number)

    def stop(self):
        self._process.send_signal(signal.SIGTERM)
        status = self._process.wait(20)
        self.app.close()
        self.store.close()
        self._executor.shutdown(wait=False)
        return status


@pytest.fixture
def process(tmp_path):
    process = NodeProcess(tmp_path)
    process.put_routes(4, "write")
    process.wait_ready()
    yield process
    assert process.stop() == 0


def explain(process, capsys, request_id):
    arguments = ["explain-request", f"--request={request_id}", f"--logs={process.log}"]
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
    arguments = ["explain-request", f"--request={request_id}", f"--logs={process.log}"]
    assert main(arguments) == 2
    assert "the logs do not hold" in capsys.readouterr().err


def test_reload_is_logged_and_interrupts_nothing(process):
    """SIGHUP would end the node if it had no handler."""
    process.signal(signal.SIGHUP)
    wait_for(lambda: "settings reloaded" in process.log.read_text())
    assert process.ask("after", "/write/1") == 200


def test_changed_settings_are_reloaded_without_a_signal(process):
    text = process.settings.read_text()
    process.settings.write_text(text.replace("budgetSlack = 64", "budgetSlack = 32"))
    wait_for(lambda: '"changed": ["retry_limits"]' in process.log.read_text())
    process.settings.write_text("nothing")
    wait_for(lambda: "settings not reloaded" in process.log.read_text())
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
    wait_for(lambda: "node stopping" in process.log.read_text())
    process.signal(signal.SIGTERM)
    thread.join()
    assert statuses == [200]

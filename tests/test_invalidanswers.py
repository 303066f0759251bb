"""Tests that an answer which is not valid HTTP is no answer, whoever reads it."""

import pytest

from cluster import Cluster, call
from godwitrack.clock import SystemClock
from godwitrack.exceptions import ErrorKind, RequestError, StoreError
from godwitrack.store import HttpClient
from godwitrack_node.backend import BackendClient, TimedRequest
from godwitrack_node.instance import InstanceClient, InstanceRequest
from hostedfleet import ask, list_runs
from rawanswers import (
    BODY,
    INVALID_ANSWERS,
    REPAIRABLE_ANSWERS,
    VALID_ANSWERS,
    make_raw_health,
)
from test_instance import ScriptedServer
from testcaller import wait_for

WAIT_SECONDS = 5.0


@pytest.fixture
def start_server():
    """A function that starts a server which sends raw bytes once."""
    servers = []

    def start(answer):
        servers.append(ScriptedServer([[answer, "half-close"]]))
        return servers[-1]

    yield start
    for server in servers:
        server.close()


def read_with_instance_client(server, method):
    """Return status and body as the guard of a hosted node reads them."""
    client = InstanceClient(SystemClock(), server.address, 1)
    request = InstanceRequest(method, "/x", [], b"", 0, None, True)
    deadline = SystemClock().read_monotonic() + WAIT_SECONDS
    answer = client.send(request, lambda item, is_first: True, deadline)
    return answer.status, answer.body


def read_with_backend_client(server, method):
    """Return status and body as the guard of a stand-alone node reads them."""
    statuses, parts = [], []
    request = TimedRequest(method, "/x", [], b"", 0, None, WAIT_SECONDS)
    BackendClient(server.address, 1).send(
        request, lambda status, headers, length: statuses.append(status), parts.append
    )
    return statuses[0], b"".join(parts)


def read_with_http_client(server, method):
    """Return status and body as clients of the store and of operators read them."""
    body = b"x" if method == "POST" else None
    url = f"http://{server.address}/x"
    response = HttpClient(WAIT_SECONDS).fetch(method, url, body)
    return response.status, response.body


LIBCURL_READERS = [read_with_backend_client, read_with_http_client]
READERS = [read_with_instance_client, *LIBCURL_READERS]


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("answer", INVALID_ANSWERS.values(), ids=INVALID_ANSWERS)
@pytest.mark.parametrize("read", READERS)
def test_an_invalid_answer_is_no_answer(start_server, read, answer, method):
    """Guards against answers of a server in trouble that reach callers (MIXED)."""
    with pytest.raises((RequestError, StoreError)) as caught:
        read(start_server(answer), method)
    if isinstance(caught.value, RequestError):
        assert caught.value.kind is ErrorKind.OUTCOME_UNKNOWN


@pytest.mark.parametrize("answer", VALID_ANSWERS.values(), ids=VALID_ANSWERS)
@pytest.mark.parametrize("read", READERS)
def test_an_unusual_answer_is_read(start_server, read, answer):
    assert read(start_server(answer), "GET") == (200, BODY)


@pytest.mark.parametrize("answer", REPAIRABLE_ANSWERS.values(), ids=REPAIRABLE_ANSWERS)
@pytest.mark.parametrize("read", LIBCURL_READERS)
def test_what_the_standard_lets_a_recipient_repair_is_repaired(
    start_server, read, answer
):
    assert read(start_server(answer), "GET") == (200, BODY)


@pytest.mark.parametrize("answer", REPAIRABLE_ANSWERS.values(), ids=REPAIRABLE_ANSWERS)
def test_what_the_standard_lets_a_recipient_refuse_is_refused(start_server, answer):
    with pytest.raises(RequestError):
        read_with_instance_client(start_server(answer), "GET")


# One for each rule; the readers' tests have the others.
CALLER_CASES = [
    "status 000",
    "status 099",
    "status 600",
    "switch of the protocol",
    "version 2.0",
    "RTSP",
    "lower case",
    "blank in the name",
    "00 in the value",
    "coding with a blank before the colon",
    "blank in the name of a trailer",
]


def send_raw(answer):
    """Return a behave function of a FakeBackendServer that sends raw bytes."""

    def behave(request_id, connection, sock):
        sock.sendall(answer)
        return False

    return behave


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("number", [1, 0], ids=["own node", "another node"])
@pytest.mark.parametrize("case", CALLER_CASES)
def test_a_caller_gets_an_error_for_an_invalid_answer(fleet, case, number, method):
    """Guards against answers of a server in trouble that reach callers (MIXED)."""
    fleet.machines[1].app.behave = send_raw(INVALID_ANSWERS[case])
    assert ask(fleet.machines[number], "/lamp/1", method=method).status == 502
    assert list_runs(fleet, "r1") == ["i-1"]


@pytest.mark.parametrize("case", ["status 000", "switch of the protocol"])
def test_an_invalid_answer_to_a_read_is_replaced_by_another_servers(fleet, case):
    fleet.machines[0].app.behave = send_raw(INVALID_ANSWERS[case])
    found = ask(fleet.machines[0], "/read/1")
    assert (found.status, found.body) == (200, b"done ")
    assert list_runs(fleet, "r1") == ["i-0", "i-2"]


@pytest.mark.parametrize("number", [1, 0], ids=["own node", "another node"])
def test_an_invalid_answer_that_a_reader_takes_goes_no_further(
    fleet, monkeypatch, number
):
    """As from a node of an earlier build, whose reader checks no status."""
    monkeypatch.setattr("godwitrack_node.answerreader.check_status", lambda status: 0)
    fleet.machines[1].app.behave = send_raw(INVALID_ANSWERS["status 000"])
    answer = ask(fleet.machines[number], "/lamp/1", method="POST")
    assert answer.status == 502
    assert b"answer_lost" in answer.body


@pytest.mark.parametrize("first_line", [b"HTTP/1.1 000 OK", b"HTTP/1.1 600 OK"])
def test_an_invalid_health_answer_says_nothing_of_its_server(fleet, first_line):
    """Guards against a server that counts as leaving for what it says in trouble."""
    machine = fleet.machines[1]
    machine.app.raw_health = make_raw_health(first_line, machine.app.instance)
    wait_for(lambda: machine.find("registration").is_blocked)
    machine.app.raw_health = b""
    wait_for(lambda: not machine.find("registration").is_blocked)
    assert ask(machine, "/lamp/1").status == 200


@pytest.fixture(scope="module")
def cluster():
    with Cluster(2, names=("scenbok-1", "verkstad-1")) as cluster:
        yield cluster


@pytest.mark.parametrize("case", CALLER_CASES)
def test_a_caller_of_a_stand_alone_node_gets_an_error(
    cluster, start_server, monkeypatch, case
):
    """Guards against answers of a server in trouble that reach callers (MIXED)."""
    entry, target = cluster.members

    def upload():
        path = "/verkstad/firmware/lamp-4"
        return call(entry.callers, "POST", path, body=b"x" * 2**20)

    # A server that failed in another case is left alone for a while.
    cluster.wait(lambda: upload()[0] == 200, "the server gets requests")
    server = start_server(INVALID_ANSWERS[case])
    with monkeypatch.context() as patch:
        client = BackendClient(server.address, 1)
        patch.setattr(target.find("guard"), "_backend", client)
        status, headers, _ = upload()
    assert status == 502
    assert headers["Godwitrack-Error"] == "outcome_unknown"

"""Fake backend servers, which count the requests they run and simulate faults."""

import collections
import hashlib
import json
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from absl import flags

from godwitrack.address import Address
from godwitrack.exceptions import CallerDisconnected, RequestError, StoreError
from godwitrack.link import tune_socket
from godwitrack.store import HttpClient
from godwitrack_node.connectionserver import ConnectionServer
from godwitrack_node.httpserver import HttpConnection

OPERATION_HEADER = "x-operation"
MAX_CONNECTIONS = 260
COLD_FACTOR = 6.0


class Behaviour:
    """How a fake backend server behaves; may be changed at any time.

    Attributes:
        seconds: Service time of a request in seconds.
        factor: Multiplier of the service time.
        failing: Whether the server answers 500 at once.
        status: HTTP status of its answers otherwise.
        silent: Whether the server reads requests but never answers.
        cold: Whether the server is in a cold start.
        cold_slots: Concurrency limit while cold, in requests.
        call_others: Function called with each HttpRequest while it is served, which
            calls other services; or None.
    """

    __slots__ = (
        "call_others",
        "cold",
        "cold_slots",
        "factor",
        "failing",
        "seconds",
        "silent",
        "status",
    )

    def __init__(self, seconds=0.002, cold=False, cold_slots=1):
        self.seconds = seconds
        self.factor = 1.0
        self.failing = False
        self.status = 200
        self.silent = False
        self.cold = cold
        self.cold_slots = cold_slots
        self.call_others = None


class BackendServer:
    """One fake backend server.

    Attributes:
        name: Name of the server.
        behaviour: Behaviour.
        runs: Counter of runs by operation.
        cold_overloads: Requests received above the concurrency limit while cold.
        peak: Highest number of concurrent requests.
        served: Requests received.
        last_started: Wall-clock time of the latest request, in seconds.
    """

    def __init__(self, name, executor, address, behaviour=None):
        self.name = name
        self.behaviour = behaviour or Behaviour()
        self.runs = collections.Counter()
        self.cold_overloads = 0
        self.peak = 0
        self.served = 0
        self.last_started = 0.0
        self._active = 0
        self._lock = threading.Lock()
        self._server = ConnectionServer(executor, address, self._serve, MAX_CONNECTIONS)
        self._server.start()

    @property
    def address(self):
        """Listening address as (host, port)."""
        return self._server.address

    def stop(self):
        """Stop the server and close all connections."""
        self._server.close()
        self._server.interrupt()

    def describe(self):
        """Return the counts as plain data."""
        return {
            "served": self.served,
            "runs": dict(self.runs),
            "cold_overloads": self.cold_overloads,
            "peak": self.peak,
            "last_started": self.last_started,
        }

    def _serve(self, sock, remote):
        tune_socket(sock)
        connection = HttpConnection(sock)
        while True:
            try:
                request = connection.read_request()
            except RequestError:
                return
            if request is None:
                return
            try:
                self._answer(connection, request)
            except (CallerDisconnected, RequestError):
                return

    def _answer(self, connection, request):
        digest, size = hashlib.sha256(), 0
        while part := connection.read_body():
            digest.update(part)
            size += len(part)
        operation = request.get(OPERATION_HEADER)
        self._record_start(operation)
        try:
            self._run_request(request)
        finally:
            with self._lock:
                self._active -= 1
        if self.behaviour.silent:
            time.sleep(3600)
        status = 500 if self.behaviour.failing else self.behaviour.status
        body = self._make_body(request, operation, digest.hexdigest(), size)
        headers = [("Content-Type", "application/json"), ("X-Server", self.name)]
        connection.start_answer(status, headers, len(body), body)

    def _record_start(self, operation):
        with self._lock:
            behaviour = self.behaviour
            if behaviour.cold and self._active >= behaviour.cold_slots:
                self.cold_overloads += 1
            self._active += 1
            self.served += 1
            self.peak = max(self.peak, self._active)
            self.last_started = time.time()
            if operation:
                self.runs[operation] += 1

    def _run_request(self, request):
        behaviour = self.behaviour
        if behaviour.call_others is not None:
            behaviour.call_others(request)
        if behaviour.failing:
            return
        seconds = behaviour.seconds * behaviour.factor
        if behaviour.cold:
            seconds *= COLD_FACTOR
        if seconds > 0:
            time.sleep(seconds)

    def _make_body(self, request, operation, digest, size):
        data = {
            "operation": operation,
            "path": request.target,
            "sha256": digest,
            "bytes": size,
        }
        if request.target.endswith("/large"):
            data["padding"] = "x" * 300_000
        return json.dumps(data).encode()


def announce(operators, service, state, slots, timeout=5.0):
    """Announce a backend server's state to its node.

    Args:
        operators: "host:port" of the node's operators' port.
        service: Name of the service.
        state: "cold", "warm" or "leaving".
        slots: Concurrency limit when warm, in requests.
        timeout: Timeout in seconds.

    Returns:
        Whether the node accepted the announcement.
    """
    body = json.dumps({"service": service, "state": state, "slots": slots}).encode()
    try:
        response = HttpClient(timeout).fetch(
            "POST", f"http://{operators}/announcement", body
        )
    except StoreError:
        return False
    return response.status == 200


def main(arguments):
    """Run fake backend servers in one process until standard input ends.

    Each line of standard input is a command. A JSON object with a new `name`, a
    `port` and `seconds` starts a server; one with a known `name` sets the given
    fields of its Behaviour. `report` prints the counts of all servers.
    """
    flags.FlagValues()(arguments)
    sys.setswitchinterval(0.0005)
    executor = ThreadPoolExecutor(4000)
    servers = {}
    for line in sys.stdin:
        if line.strip() == "report":
            report = {name: server.describe() for name, server in servers.items()}
            print(json.dumps(report), flush=True)
            continue
        data = json.loads(line)
        name = data.pop("name")
        if name not in servers:
            address = Address("127.0.0.1", data.pop("port"))
            servers[name] = BackendServer(
                name, executor, address, Behaviour(data.pop("seconds", 0.002))
            )
        for key, value in data.items():
            setattr(servers[name].behaviour, key, value)
        print("ok", flush=True)
    for server in servers.values():
        server.stop()
    executor.shutdown(wait=False, cancel_futures=True)


if __name__ == "__main__":
    main(sys.argv)

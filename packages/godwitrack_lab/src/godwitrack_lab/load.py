"""Generates load: threads that send customers' requests over HTTP and check answers."""

import collections
import hashlib
import http.client
import json
import random
import socket
import threading
import time

from hdrh.histogram import HdrHistogram

from godwitrack_node.context import ERROR_HEADER, NOT_RUN_HEADER

MAX_LATENCY_US = 60_000_000
TIMEOUT_SECONDS = 30.0
SIGNIFICANT_DIGITS = 3


class Tally:
    """Results of the requests of one customer, method and service.

    Attributes:
        histogram: Latencies in microseconds.
        sent: Requests sent.
        good: Requests answered with status 200.
        failed: Counter of failed requests by error kind, HTTP status or connection
            error.
        faults: Descriptions of wrong or incomplete answers.
    """

    def __init__(self):
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.sent = 0
        self.good = 0
        self.failed = collections.Counter()
        self.faults = []


class Operation:
    """One request that was sent, and the result that its sender received.

    Attributes:
        operation: Unique id of the request, sent in a header.
        idempotent: Whether the request may run more than once.
        reported_not_run: Whether the answer said that the request did not run.
        reported_done: Whether the answer had status 200.
    """

    __slots__ = ("idempotent", "operation", "reported_done", "reported_not_run")

    def __init__(self, operation, idempotent):
        self.operation = operation
        self.idempotent = idempotent
        self.reported_not_run = False
        self.reported_done = False


class LoadGenerator:
    """Sends a mix of requests at a constant rate.

    Attributes:
        tallies: Tallies by (customer, "METHOD /service").
        operations: Operations sent.
    """

    def __init__(self, kinds, addresses, rate, threads, seed):
        """Initialize the generator.

        Args:
            kinds: RequestKinds.
            addresses: Function that returns the "host:port"s of the nodes to which a
                RequestKind may be sent.
            rate: Requests per second, over all threads.
            threads: Number of sending threads.
            seed: Seed of the random number generators.
        """
        self._kinds = kinds
        self._addresses = addresses
        self._interval = threads / rate
        self._thread_count = threads
        self._seed = seed
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._sender_threads = []
        self.tallies = collections.defaultdict(Tally)
        self.operations = []

    def start(self):
        """Start the sending threads."""
        for index in range(self._thread_count):
            thread = threading.Thread(target=self._run, args=(index,))
            thread.start()
            self._sender_threads.append(thread)

    def stop(self):
        """Stop sending and wait for the outstanding answers."""
        self._stopped.set()
        for thread in self._sender_threads:
            thread.join()

    def run(self, seconds):
        """Send requests for a number of seconds."""
        self.start()
        time.sleep(seconds)
        self.stop()

    def _run(self, index):
        rng = random.Random(f"{self._seed}.{index}")
        connections = {}
        due = time.monotonic() + rng.random() * self._interval
        number = 0
        while not self._stopped.is_set():
            time.sleep(max(due - time.monotonic(), 0))
            due += self._interval
            number += 1
            weights = [kind.weight for kind in self._kinds]
            kind = rng.choices(self._kinds, weights)[0]
            address = rng.choice(self._addresses(kind))
            operation = Operation(
                f"{self._seed}-{index}-{number}", kind.method in ("GET", "PUT")
            )
            self._send(kind, address, connections, operation, rng)
        for connection in connections.values():
            connection.close()

    def _send(self, kind, address, connections, operation, rng):
        service = kind.path.split("/")[1]
        tally = self.tallies[(kind.customer, f"{kind.method} /{service}")]
        body = rng.randbytes(kind.size) if kind.size else None
        headers = {
            "Authorization": f"Bearer demo-key-{kind.customer}",
            "X-Operation": operation.operation,
        }
        started = time.perf_counter()
        try:
            connection = connections.get(address)
            if connection is None:
                connection = connections[address] = open_connection(address)
            connection.request(kind.method, kind.path, body, headers)
            response = connection.getresponse()
            answer = response.read()
        except (OSError, http.client.HTTPException) as error:
            connection = connections.pop(address, None)
            if connection is not None:
                connection.close()
            with self._lock:
                self.operations.append(operation)
                tally.sent += 1
                tally.failed[f"connection: {type(error).__name__}"] += 1
            return
        micros = int((time.perf_counter() - started) * 1e6)
        if response.will_close:
            connection.close()
            del connections[address]
        with self._lock:
            self.operations.append(operation)
            self._record(tally, kind, operation, body, micros, response, answer)

    def _record(self, tally, kind, operation, body, micros, response, answer):
        tally.sent += 1
        tally.histogram.record_value(min(max(micros, 1), MAX_LATENCY_US))
        if response.status == 200:
            tally.good += 1
            operation.reported_done = True
            fault = _find_answer_fault(kind, operation, body, answer)
            if fault:
                tally.faults.append(fault)
            return
        error = response.getheader(ERROR_HEADER, f"status {response.status}")
        tally.failed[error] += 1
        operation.reported_not_run = response.getheader(NOT_RUN_HEADER) == "true"


def open_connection(address):
    """Return an HTTP connection to "host:port" with TCP_NODELAY set."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_SECONDS)
    connection.connect()
    connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def find_guarantee_violations(operations, runs):
    """Return descriptions of the operations whose result contradicts their runs.

    Args:
        operations: Operations sent.
        runs: Counter of runs by operation, summed over all backend servers.
    """
    violations = []
    for item in operations:
        count = runs.get(item.operation, 0)
        if count > 1 and not item.idempotent:
            violations.append(f"{item.operation} ran {count} times")
        if count and item.reported_not_run:
            violations.append(f"{item.operation} ran, but was reported as not run")
        if not count and item.reported_done:
            violations.append(f"{item.operation} did not run, but was reported as done")
    return violations


def format_tallies(tallies):
    """Return a table of the tallies as text."""
    head = ("customer", "request", "sent", "good", "p50", "p90", "p99", "p99.9 ms")
    lines = ["{:18} {:18} {:>6} {:>6} {:>8} {:>8} {:>8} {:>9}".format(*head)]
    for (customer, kind), tally in sorted(tallies.items()):
        values = [
            tally.histogram.get_value_at_percentile(percentile) / 1000
            for percentile in (50, 90, 99, 99.9)
        ]
        cells = "{:8.2f} {:8.2f} {:8.2f} {:9.2f}".format(*values)
        lines.append(f"{customer:18} {kind:18} {tally.sent:6} {tally.good:6} {cells}")
        for error, count in tally.failed.most_common():
            lines.append(f"{'':18} refused: {error} x {count}")
        lines.extend(f"{'':18} FAULT: {fault}" for fault in tally.faults[:5])
    return "\n".join(lines)


def _find_answer_fault(kind, operation, body, answer):
    """Return what is wrong with an answer, or None."""
    try:
        data = json.loads(answer)
    except ValueError:
        return f"{operation.operation}: the answer is incomplete"
    if data["operation"] != operation.operation:
        return f"{operation.operation}: the answer belongs to {data['operation']}"
    if data["sha256"] != hashlib.sha256(body or b"").hexdigest():
        return f"{operation.operation}: the body was altered in transit"
    return None

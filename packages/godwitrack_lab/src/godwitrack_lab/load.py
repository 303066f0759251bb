"""Customers' apps: threads that send requests over HTTP and check the answers."""

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
    """What the apps saw of one customer and class of request.

    Attributes:
        histogram: Latencies in microseconds.
        sent: Requests sent.
        good: Requests answered with a 2xx status.
        refused: Counter of error kinds.
        faults: Wrong, mixed-up or incomplete answers, one text each.
    """

    def __init__(self):
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.sent = 0
        self.good = 0
        self.refused = collections.Counter()
        self.faults = []


class Operation:
    """One request that was sent, and what its sender was told.

    Attributes:
        operation: Unique text sent along.
        idempotent: Whether the plan lets it run more than once.
        told_not_run: Whether the answer said that it did not run.
        told_done: Whether the answer was good.
    """

    __slots__ = ("idempotent", "operation", "told_done", "told_not_run")

    def __init__(self, operation, idempotent):
        self.operation = operation
        self.idempotent = idempotent
        self.told_not_run = False
        self.told_done = False


class Load:
    """Sends a mix of requests at a steady rate.

    Attributes:
        tallies: Tallies by (customer, "METHOD /service").
        operations: Operations sent.
    """

    def __init__(self, kinds, addresses, rate, threads, seed):
        """Prepare the load.

        Args:
            kinds: RequestKinds.
            addresses: Function from a RequestKind to the "host:port"s it may use.
            rate: Requests a second in all.
            threads: Threads that send.
            seed: Seed of the choice of requests.
        """
        self._kinds = kinds
        self._addresses = addresses
        self._interval = threads / rate
        self._threads = threads
        self._seed = seed
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._running = []
        self.tallies = collections.defaultdict(Tally)
        self.operations = []

    def start(self):
        """Begin to send."""
        for index in range(self._threads):
            thread = threading.Thread(target=self._run, args=(index,))
            thread.start()
            self._running.append(thread)

    def stop(self):
        """Send no more and wait for the answers."""
        self._stopped.set()
        for thread in self._running:
            thread.join()

    def run(self, seconds):
        """Send for a number of seconds."""
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
                tally.refused[f"connection: {type(error).__name__}"] += 1
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
            operation.told_done = True
            fault = _check_answer(kind, operation, body, answer)
            if fault:
                tally.faults.append(fault)
            return
        error = response.getheader(ERROR_HEADER, f"status {response.status}")
        tally.refused[error] += 1
        operation.told_not_run = response.getheader(NOT_RUN_HEADER) == "true"


def open_connection(address):
    """Return an HTTP connection to "host:port" without delayed sending."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_SECONDS)
    connection.connect()
    connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def find_broken_promises(operations, runs):
    """Return what the callers were told that the backend servers deny.

    Args:
        operations: Operations sent.
        runs: Counter of runs by operation, summed over all backend servers.
    """
    broken = []
    for item in operations:
        count = runs.get(item.operation, 0)
        if count > 1 and not item.idempotent:
            broken.append(f"{item.operation} ran {count} times")
        if count and item.told_not_run:
            broken.append(f"{item.operation} ran, but its caller was told not")
        if not count and item.told_done:
            broken.append(f"{item.operation} did not run, but was answered")
    return broken


def format_tallies(tallies):
    """Return a table of what the apps saw."""
    head = ("customer", "request", "sent", "good", "p50", "p90", "p99", "p99.9 ms")
    lines = ["{:18} {:18} {:>6} {:>6} {:>8} {:>8} {:>8} {:>9}".format(*head)]
    for (customer, kind), tally in sorted(tallies.items()):
        values = [
            tally.histogram.get_value_at_percentile(part) / 1000
            for part in (50, 90, 99, 99.9)
        ]
        cells = "{:8.2f} {:8.2f} {:8.2f} {:9.2f}".format(*values)
        lines.append(f"{customer:18} {kind:18} {tally.sent:6} {tally.good:6} {cells}")
        for error, count in tally.refused.most_common():
            lines.append(f"{'':18} refused: {error} x {count}")
        lines.extend(f"{'':18} FAULT: {fault}" for fault in tally.faults[:5])
    return "\n".join(lines)


def _check_answer(kind, operation, body, answer):
    try:
        data = json.loads(answer)
    except ValueError:
        return f"{operation.operation}: the answer is not whole"
    if data["operation"] != operation.operation:
        return f"{operation.operation}: the answer is that of {data['operation']}"
    if data["sha256"] != hashlib.sha256(body or b"").hexdigest():
        return f"{operation.operation}: the body was changed on its way"
    return None

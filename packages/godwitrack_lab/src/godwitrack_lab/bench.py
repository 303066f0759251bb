"""Measures the latency that godwitrack adds, compared with direct backend calls."""

import random
import socket
import sys
import threading
import time

import numpy
import psutil
from absl import flags

from godwitrack_lab.deployment import Deployment
from godwitrack_lab.processes import ProcessFleet

RATES = (63, 400)
SECONDS = 20.0
THREADS = 4
SEED = 11
SERVICE_SECONDS = 0.002
TARGET_P99_MS = 0.8
CHAIN_DEPTH = 17
CPU_REQUESTS = 1500
WARMUP_REQUESTS = 300
CALL_PATHS = ("direct", "local", "remote")
PERCENTILES = (50, 90, 99)


class RawClient:
    """A keep-alive connection that repeats one request."""

    def __init__(self, address, path):
        host, _, port = address.rpartition(":")
        self._socket = socket.create_connection((host, int(port)))
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._request = (
            f"GET {path} HTTP/1.1\r\nHost: bench\r\nAccept: */*\r\n"
            "User-Agent: bench\r\nAuthorization: Bearer demo-key-brand-ask\r\n\r\n"
        ).encode()

    def measure(self):
        """Send the request and return the seconds until the answer is complete."""
        started = time.perf_counter()
        self._socket.sendall(self._request)
        data = b""
        while b"\r\n\r\n" not in data:
            data += self._receive()
        head, _, body = data.partition(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(head.decode())
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        while len(body) < length:
            body += self._receive()
        return time.perf_counter() - started

    def close(self):
        """Close the connection."""
        self._socket.close()

    def _receive(self):
        part = self._socket.recv(65536)
        if not part:
            raise RuntimeError("the connection was closed")
        return part


class Bench:
    """Sends requests on randomly chosen call paths at random times.

    The call paths are "direct" (to the backend server), "local" (through the node
    beside it) and "remote" (through another node).
    """

    def __init__(self, fleet):
        local, remote = fleet.nodes.values()
        port = fleet.backend_ports[local.spec.name]
        service = local.spec.service
        self._call_paths = {
            "direct": (f"127.0.0.1:{port}", "/scenes/7"),
            "local": (local.callers, f"/{service}/scenes/7"),
            "remote": (remote.callers, f"/{service}/scenes/7"),
        }
        self._processes = [psutil.Process(node.process.pid) for node in (local, remote)]
        self._lock = threading.Lock()

    def measure_cpu(self, call_path, count):
        """Return each node's mean CPU seconds per request on one call path."""
        client = RawClient(*self._call_paths[call_path])
        client.measure()
        before = self._read_cpu()
        for _ in range(count):
            client.measure()
        after = self._read_cpu()
        client.close()
        return [(b - a) / count for a, b in zip(before, after, strict=True)]

    def _read_cpu(self):
        times = [process.cpu_times() for process in self._processes]
        return [item.user + item.system for item in times]

    def run(self, rate, seconds):
        """Return latencies in seconds by call path.

        Args:
            rate: Requests per second on each call path.
            seconds: Duration in seconds.
        """
        latencies = {call_path: [] for call_path in CALL_PATHS}
        threads = [
            threading.Thread(target=self._send, args=(index, rate, seconds, latencies))
            for index in range(THREADS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return latencies

    def _send(self, index, rate, seconds, latencies):
        rng = random.Random(f"{SEED}.{rate}.{index}")
        clients = {
            call_path: RawClient(*target)
            for call_path, target in self._call_paths.items()
        }
        for client in clients.values():
            client.measure()
        end = time.monotonic() + seconds
        due = time.monotonic()
        while due < end:
            due += rng.expovariate(rate * len(CALL_PATHS) / THREADS)
            time.sleep(max(due - time.monotonic(), 0))
            call_path = rng.choice(CALL_PATHS)
            latency = clients[call_path].measure()
            with self._lock:
                latencies[call_path].append(latency)
        for client in clients.values():
            client.close()


def report(rate, latencies):
    """Print the latency percentiles at one rate and what godwitrack adds to them."""
    values = {
        call_path: numpy.percentile(
            numpy.array(latencies[call_path]) * 1000, PERCENTILES
        )
        for call_path in CALL_PATHS
    }
    print(f"\n{rate} requests per second on each call path")
    titles = f"{'way':8} {'count':>6} {'p50':>7} {'p90':>7} {'p99':>7} ms"
    print(f"{titles}    added p50/p90/p99")
    for call_path in CALL_PATHS:
        cells = " ".join(f"{value:7.3f}" for value in values[call_path])
        added = values[call_path] - values["direct"]
        text = (
            " / ".join(f"{value:.3f}" for value in added)
            if call_path != "direct"
            else ""
        )
        print(f"{call_path:8} {len(latencies[call_path]):6} {cells}       {text}")
    added = values["remote"][2] - values["direct"][2]
    median = values["remote"][0] - values["direct"][0]
    print(f"target: {TARGET_P99_MS} ms at p99; remote adds {added:.3f} ms")
    print(
        f"a chain {CHAIN_DEPTH} deep adds about {CHAIN_DEPTH * median:.1f} ms (median)"
    )


def report_cpu(bench):
    """Print each node's CPU time per request, with one request in flight."""
    print(f"CPU of a request, in microseconds ({CPU_REQUESTS} in a row)")
    for call_path in CALL_PATHS[1:]:
        server, entry = (
            int(value * 1e6) for value in bench.measure_cpu(call_path, CPU_REQUESTS)
        )
        print(f"{call_path:8} server's node {server:5}  other node {entry:5}")


def raise_capacity(fleet):
    """Raise the customer's capacity so that it doesn't limit the benchmark."""
    client = fleet.make_client(next(iter(fleet.nodes)))
    data = client.get("/configuration")
    plan = {**data["records"]["plan/premium"], "requests_per_second": 100_000}
    change = {
        "base": data["revision"],
        "records": {"plan/premium": plan},
        "author": "bench",
        "change_id": "bench",
    }
    revision = client.post("/changes", change)["revision"]
    fleet.wait(
        lambda: all(found == revision for found in client.get("/revisions").values()),
        "the change is in force",
    )


def main(arguments):
    """Run the benchmark."""
    values = flags.FlagValues()
    flags.DEFINE_float("seconds", SECONDS, "Seconds for each rate.", flag_values=values)
    values(arguments)
    sys.setswitchinterval(0.0005)
    deployment = Deployment("ljusgemenskapen")
    scenbok = next(item for item in deployment.servers if item.service == "scenbok")
    styrning = next(item for item in deployment.servers if item.service == "styrning")
    scenbok.seconds = SERVICE_SECONDS
    with ProcessFleet(deployment, [scenbok, styrning]) as fleet:
        raise_capacity(fleet)
        bench = Bench(fleet)
        bench.measure_cpu("local", WARMUP_REQUESTS)
        bench.run(RATES[-1], 3.0)
        report_cpu(bench)
        for rate in RATES:
            report(rate, bench.run(rate, values.seconds))


if __name__ == "__main__":
    main(sys.argv)

"""Measures the latency added to a request, paired with calls without godwitrack."""

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
TARGET_MS = 0.8
CHAIN_DEPTH = 17
CPU_COUNT = 1500
WARMUP_COUNT = 300
WAYS = ("direct", "local", "remote")
PERCENTILES = (50, 90, 99)


class RawClient:
    """A kept-alive connection that sends the same request again and again."""

    def __init__(self, address, path):
        host, _, port = address.rpartition(":")
        self._socket = socket.create_connection((host, int(port)))
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._request = (
            f"GET {path} HTTP/1.1\r\nHost: bench\r\nAccept: */*\r\n"
            "User-Agent: bench\r\nAuthorization: Bearer demo-key-brand-ask\r\n\r\n"
        ).encode()

    def measure(self):
        """Send the request; returns the seconds until the answer was complete."""
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
    """Sends requests on all ways in turn, at random moments."""

    def __init__(self, fleet):
        local, remote = fleet.nodes.values()
        port = fleet.backend_ports[local.place.name]
        service = local.place.service
        self._ways = {
            "direct": (f"127.0.0.1:{port}", "/scenes/7"),
            "local": (local.callers, f"/{service}/scenes/7"),
            "remote": (remote.callers, f"/{service}/scenes/7"),
        }
        self._processes = [psutil.Process(node.process.pid) for node in (local, remote)]
        self._lock = threading.Lock()

    def run_alone(self, way, count):
        """Return the CPU seconds of each node for one request on one way."""
        client = RawClient(*self._ways[way])
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
        """Return the latencies in seconds by way, at a rate for each way."""
        found = {way: [] for way in WAYS}
        threads = [
            threading.Thread(target=self._send, args=(index, rate, seconds, found))
            for index in range(THREADS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return found

    def _send(self, index, rate, seconds, found):
        rng = random.Random(f"{SEED}.{rate}.{index}")
        clients = {way: RawClient(*target) for way, target in self._ways.items()}
        for client in clients.values():
            client.measure()
        end = time.monotonic() + seconds
        due = time.monotonic()
        while due < end:
            due += rng.expovariate(rate * len(WAYS) / THREADS)
            time.sleep(max(due - time.monotonic(), 0))
            way = rng.choice(WAYS)
            latency = clients[way].measure()
            with self._lock:
                found[way].append(latency)
        for client in clients.values():
            client.close()


def report(rate, found):
    """Print the percentiles of one rate and what godwitrack adds to each."""
    values = {
        way: numpy.percentile(numpy.array(found[way]) * 1000, PERCENTILES)
        for way in WAYS
    }
    print(f"\n{rate} requests a second on each way")
    titles = f"{'way':8} {'count':>6} {'p50':>7} {'p90':>7} {'p99':>7} ms"
    print(f"{titles}    added p50/p90/p99")
    for way in WAYS:
        cells = " ".join(f"{value:7.3f}" for value in values[way])
        added = values[way] - values["direct"]
        text = " / ".join(f"{value:.3f}" for value in added) if way != "direct" else ""
        print(f"{way:8} {len(found[way]):6} {cells}       {text}")
    added = values["remote"][2] - values["direct"][2]
    median = values["remote"][0] - values["direct"][0]
    print(f"target: {TARGET_MS} ms at p99; remote adds {added:.3f} ms")
    print(
        f"a chain {CHAIN_DEPTH} deep adds about {CHAIN_DEPTH * median:.1f} ms (median)"
    )


def report_cpu(bench):
    """Print the CPU time of a request in each node, one request at a time."""
    print(f"CPU of a request, in microseconds ({CPU_COUNT} in a row)")
    for way in WAYS[1:]:
        server, entry = (int(value * 1e6) for value in bench.run_alone(way, CPU_COUNT))
        print(f"{way:8} server's node {server:5}  other node {entry:5}")


def raise_capacity(fleet):
    """Lift the customer's capacity, so that it is no limit here."""
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
    """Run the bench."""
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
        bench.run_alone("local", WARMUP_COUNT)
        bench.run(RATES[-1], 3.0)
        report_cpu(bench)
        for rate in RATES:
            report(rate, bench.run(rate, values.seconds))


if __name__ == "__main__":
    main(sys.argv)

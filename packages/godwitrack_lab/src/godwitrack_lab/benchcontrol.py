"""Measures the control traffic of real nodes at several fleet sizes."""

import sys
import threading
import time

import numpy
import psutil
from absl import flags

from godwitrack_lab.deployment import Deployment, ServerSpec
from godwitrack_lab.load import open_connection
from godwitrack_lab.processes import ProcessFleet

SETTLE_SECONDS = 15.0
MEASURE_SECONDS = 20.0
CHANGE_COUNT = 5
TAKE_OUT_WAIT_SECONDS = 8.0
BYTES_PER_MEGABYTE = 2**20


def make_server_specs(count):
    """Return ServerSpecs for a number of nodes, 16 for each service."""
    specs = []
    data_centres = (
        ("sve-syd", "malmo-a"),
        ("sve-syd", "malmo-b"),
        ("sve-norr", "umea-a"),
        ("sve-norr", "umea-b"),
    )
    for index in range(count):
        region, data_centre = data_centres[index % len(data_centres)]
        service = "scenbok" if index < 16 else f"service-{index // 16}"
        name = f"{service}-{index + 1}"
        specs.append(ServerSpec(name, service, region, data_centre, 13, 0.002))
    return specs


class ControlBench:
    """Measures the control traffic of one fleet."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._processes = [
            psutil.Process(node.process.pid) for node in fleet.nodes.values()
        ]

    def measure_idle(self, seconds):
        """Return the resource usage of an idle fleet, by name of the figure."""
        before = self._read_counters()
        counts_before = self._fleet.read_platform_counts()
        time.sleep(seconds)
        after = self._read_counters()
        counts_after = self._fleet.read_platform_counts()
        return {
            "sent B/s a node": _compute_mean(after, before, 0) / seconds,
            "regional B/s in all": _compute_total(after, before, 1) / seconds,
            "CPU % of a core a node": 100 * _compute_mean(after, before, 2) / seconds,
            "resident MB a node": numpy.mean([item[3] for item in after]),
            "store reads/s in all": (counts_after["reads"] - counts_before["reads"])
            / seconds,
            "store writes/s in all": (counts_after["writes"] - counts_before["writes"])
            / seconds,
        }

    def measure_propagation(self, number):
        """Return the seconds from a commit until it is in force, for each node."""
        names = list(self._fleet.nodes)
        client = self._fleet.make_client(names[number % len(names)])
        data = client.get("/configuration")
        plan = dict(data["records"]["plan/premium"])
        plan["requests_per_second"] += 1
        change = {
            "base": data["revision"],
            "records": {"plan/premium": plan},
            "author": "bench",
            "change_id": f"bench-{number}",
        }
        revision = client.post("/changes", change)["revision"]
        accepted = time.monotonic()
        delays = {}
        while len(delays) < len(names):
            for name, node_revision in client.get("/revisions").items():
                if (
                    name not in delays
                    and node_revision is not None
                    and node_revision >= revision
                ):
                    delays[name] = time.monotonic() - accepted
        return list(delays.values())

    def measure_take_out(self):
        """Return the seconds from a data centre's take-out to its last request."""
        fleet = self._fleet
        stopped = threading.Event()
        thread = threading.Thread(target=self._send_reads, args=(stopped,))
        thread.start()
        time.sleep(1.0)
        taken_out = time.time()
        fleet.run_client("data-centre", "take-out", "malmo-a")
        time.sleep(TAKE_OUT_WAIT_SECONDS)
        stopped.set()
        thread.join()
        reports = fleet.read_backend_reports()
        last_started = [
            reports[name]["last_started"]
            for name, node in fleet.nodes.items()
            if node.spec.data_centre == "malmo-a"
        ]
        fleet.run_client("data-centre", "bring-back", "malmo-a")
        return max(max(last_started) - taken_out, 0.0)

    def _send_reads(self, stopped):
        nodes = [
            node
            for node in self._fleet.nodes.values()
            if node.spec.data_centre != "malmo-b"
        ]
        connections = [open_connection(node.callers) for node in nodes]
        headers = {"Authorization": "Bearer demo-key-brand-ask"}
        while not stopped.is_set():
            for connection in connections:
                connection.request("GET", "/scenbok/scenes/7", headers=headers)
                connection.getresponse().read()
                time.sleep(0.005)
        for connection in connections:
            connection.close()

    def _read_counters(self):
        """Return a tuple of figures for each node.

        The figures are the control bytes sent, those of them sent to other regions,
        the CPU time in seconds and the resident memory in megabytes.
        """
        readings = []
        for name, process in zip(self._fleet.nodes, self._processes, strict=True):
            node = self._fleet.make_client(name).get("/status")["node"]
            sent = node["control_bytes_sent"]
            times = process.cpu_times()
            readings.append(
                (
                    sent["local"] + sent["regional"],
                    sent["regional"],
                    times.user + times.system,
                    process.memory_info().rss / BYTES_PER_MEGABYTE,
                )
            )
        return readings


def run_size(count):
    """Measure a fleet of one size and print the results."""
    deployment = Deployment("ljusgemenskapen")
    with ProcessFleet(deployment, make_server_specs(count)) as fleet:
        time.sleep(SETTLE_SECONDS)
        bench = ControlBench(fleet)
        print(f"\n{count} nodes")
        for name, value in bench.measure_idle(MEASURE_SECONDS).items():
            print(f"  {name:24} {value:10.2f}")
        delays = []
        for number in range(CHANGE_COUNT):
            delays.extend(bench.measure_propagation(number))
        p50, p99, p100 = numpy.percentile(delays, (50, 99, 100))
        print(
            f"  change in force, s       p50 {p50:.2f}  p99 {p99:.2f}  max {p100:.2f}"
        )
        print(f"  take-out, s to last work {bench.measure_take_out():.2f}", flush=True)


def main(arguments):
    """Run the benchmark for each fleet size."""
    values = flags.FlagValues()
    flags.DEFINE_list("sizes", ["10", "30", "60"], "Nodes.", flag_values=values)
    values(arguments)
    for size in values.sizes:
        run_size(int(size))


def _compute_mean(after, before, index):
    """Return how much the figure at an index has grown per node."""
    return _compute_total(after, before, index) / len(after)


def _compute_total(after, before, index):
    """Return how much the figure at an index has grown, summed over all nodes."""
    return sum(b[index] - a[index] for a, b in zip(before, after, strict=True))


if __name__ == "__main__":
    main(sys.argv)

"""Measures the control traffic of real nodes at several sizes."""

import sys
import threading
import time

import numpy
import psutil
from absl import flags

from godwitrack_lab.deployment import Deployment, ServerPlace
from godwitrack_lab.load import open_connection
from godwitrack_lab.processes import ProcessFleet

SETTLE_SECONDS = 15.0
MEASURE_SECONDS = 20.0
CHANGES = 5
TAKE_OUT_SECONDS = 8.0
MEGABYTE = 2**20


def place_servers(count):
    """Return ServerPlaces for a number of nodes, 16 to a service."""
    places = []
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
        places.append(ServerPlace(name, service, region, data_centre, 13, 0.002))
    return places


class ControlBench:
    """Measures one fleet."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._processes = [
            psutil.Process(node.process.pid) for node in fleet.nodes.values()
        ]

    def measure_steady(self, seconds):
        """Return figures of a fleet in which nothing happens, by name."""
        before = self._read()
        counts = self._fleet.read_platform_counts()
        time.sleep(seconds)
        after = self._read()
        later = self._fleet.read_platform_counts()
        return {
            "sent B/s a node": _mean(after, before, 0) / seconds,
            "regional B/s in all": _total(after, before, 1) / seconds,
            "CPU % of a core a node": 100 * _mean(after, before, 2) / seconds,
            "resident MB a node": numpy.mean([item[3] for item in after]),
            "store reads/s in all": (later["reads"] - counts["reads"]) / seconds,
            "store writes/s in all": (later["writes"] - counts["writes"]) / seconds,
        }

    def measure_change(self, number):
        """Return seconds from a commit until it is in force at each node."""
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
        found = {}
        while len(found) < len(names):
            for name, seen in client.get("/revisions").items():
                if name not in found and seen is not None and seen >= revision:
                    found[name] = time.monotonic() - accepted
        return list(found.values())

    def measure_take_out(self):
        """Return seconds from a take-out to the last new request there."""
        fleet = self._fleet
        stopped = threading.Event()
        thread = threading.Thread(target=self._send_reads, args=(stopped,))
        thread.start()
        time.sleep(1.0)
        taken_out = time.time()
        fleet.run_client("data-centre", "take-out", "malmo-a")
        time.sleep(TAKE_OUT_SECONDS)
        stopped.set()
        thread.join()
        reports = fleet.read_backends()
        inside = [
            reports[name]["last_started"]
            for name, node in fleet.nodes.items()
            if node.place.data_centre == "malmo-a"
        ]
        fleet.run_client("data-centre", "bring-back", "malmo-a")
        return max(max(inside) - taken_out, 0.0)

    def _send_reads(self, stopped):
        nodes = [
            node
            for node in self._fleet.nodes.values()
            if node.place.data_centre != "malmo-b"
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

    def _read(self):
        found = []
        for name, process in zip(self._fleet.nodes, self._processes, strict=True):
            node = self._fleet.make_client(name).get("/status")["node"]
            sent = node["control_bytes_sent"]
            times = process.cpu_times()
            found.append(
                (
                    sent["local"] + sent["regional"],
                    sent["regional"],
                    times.user + times.system,
                    process.memory_info().rss / MEGABYTE,
                )
            )
        return found


def run_size(count):
    """Measure one size and print its figures."""
    deployment = Deployment("ljusgemenskapen")
    with ProcessFleet(deployment, place_servers(count)) as fleet:
        time.sleep(SETTLE_SECONDS)
        bench = ControlBench(fleet)
        print(f"\n{count} nodes")
        for name, value in bench.measure_steady(MEASURE_SECONDS).items():
            print(f"  {name:24} {value:10.2f}")
        delays = []
        for number in range(CHANGES):
            delays.extend(bench.measure_change(number))
        p50, p99, top = numpy.percentile(delays, (50, 99, 100))
        print(f"  change in force, s       p50 {p50:.2f}  p99 {p99:.2f}  max {top:.2f}")
        print(f"  take-out, s to last work {bench.measure_take_out():.2f}", flush=True)


def main(arguments):
    """Run the bench for each size."""
    values = flags.FlagValues()
    flags.DEFINE_list("sizes", ["10", "30", "60"], "Nodes.", flag_values=values)
    values(arguments)
    for size in values.sizes:
        run_size(int(size))


def _mean(after, before, index):
    return _total(after, before, index) / len(after)


def _total(after, before, index):
    return sum(b[index] - a[index] for a, b in zip(before, after, strict=True))


if __name__ == "__main__":
    main(sys.argv)

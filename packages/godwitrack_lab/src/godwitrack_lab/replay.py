"""Replays a trace under the product's policy and the baselines, with each fault."""

import json
import pathlib
import random
import sys

from absl import flags

from godwitrack.configuration import Configuration
from godwitrack.exceptions import SettingsError
from godwitrack.plans import read_lists
from godwitrack_lab.deployment import Deployment
from godwitrack_lab.simulation import Simulation
from godwitrack_lab.simulationparts import Flow
from godwitrack_node.policies import POLICIES

SEED = 5
COPY_JITTER_SECONDS = 0.2
FAULT_START_SECONDS = 1.0
FAULT_DURATION_SECONDS = 2.0
NOISY_RATE_FACTOR = 10
TITLE_WIDTH = 46  # In characters.
CELL_WIDTH = 24  # In characters.
REQUIRED_FIELDS = ("at", "customer", "request_class", "service", "method", "path")


class Arrival:
    """One recorded request.

    Attributes:
        at: Seconds since the start of the trace.
        flow_key: Customer, request class, service and whether it is idempotent.
        data_centre: Data centre of the node that received it, or None if unknown.
    """

    __slots__ = ("at", "data_centre", "flow_key")

    def __init__(self, at, flow_key, data_centre):
        self.at = at
        self.flow_key = flow_key
        self.data_centre = data_centre


def read_trace(path):
    """Return the records of a trace.

    Raises:
        SettingsError: The file can't be read or has no requests, or a line is not
            a request record; the message names the line.
    """
    records = []
    try:
        lines = pathlib.Path(path).read_text(encoding="utf-8").splitlines()
    except OSError as error:
        raise SettingsError(f"{path}: can't be read: {error.strerror}") from None
    for number, line in enumerate(lines, 1):
        try:
            record = json.loads(line)
        except ValueError:
            raise SettingsError(f"{path}: line {number}: not JSON") from None
        for field in REQUIRED_FIELDS:
            if not isinstance(record, dict) or field not in record:
                raise SettingsError(f"{path}: line {number}: {field}: missing")
        records.append(record)
    if not records:
        raise SettingsError(f"{path}: no requests")
    return records


class Replay:
    """A trace, its deployment and its configuration, ready to simulate."""

    def __init__(self, path, copies, service_ms):
        self._records = read_trace(path)
        self._deployment = Deployment(pathlib.Path(path).stem)
        folder = self._deployment.folder
        lists = read_lists(folder / "customers.yaml", folder / "plans.yaml")
        self._configuration = Configuration(1, lists)
        self._copies = copies
        for spec in self._deployment.servers:
            spec.seconds = service_ms / 1000
        self._arrivals = [self._make_arrival(record) for record in self._records]

    def simulate(self, policy, fault):
        """Simulate the trace and return the finished Simulation.

        Args:
            policy: Name of the routing policy, a key of POLICIES.
            fault: "none", "slow", "cold", "noisy" or "out".
        """
        flows = {}
        for arrival in self._arrivals:
            if arrival.flow_key not in flows:
                flows[arrival.flow_key] = self._make_flow(arrival.flow_key)
        simulation = Simulation(
            self._deployment.servers, list(flows.values()), 2, SEED, policy, 1
        )
        simulation.window = (
            FAULT_START_SECONDS,
            FAULT_START_SECONDS + FAULT_DURATION_SECONDS,
        )
        rng = random.Random(SEED)
        for arrival in self._arrivals:
            flow = flows[arrival.flow_key]
            for _ in range(self._count_copies(arrival, fault)):
                moment = arrival.at + rng.random() * COPY_JITTER_SECONDS
                simulation.schedule(
                    moment, simulation.receive, flow, arrival.data_centre
                )
        self._schedule_fault(simulation, fault)
        simulation.run(self._arrivals[-1].at)
        return simulation

    def get_noisy_customer(self):
        """Return the customer that sends more requests under the "noisy" fault."""
        return self._arrivals[0].flow_key[0]

    def _count_copies(self, arrival, fault):
        is_noisy = fault == "noisy" and arrival.flow_key[0] == self.get_noisy_customer()
        if is_noisy and 0 <= arrival.at - FAULT_START_SECONDS < FAULT_DURATION_SECONDS:
            return self._copies * NOISY_RATE_FACTOR
        return self._copies

    def _make_arrival(self, record):
        customer = self._configuration.customers_by_name[record["customer"]]
        plan = self._configuration.find_plan(customer)
        route = plan.find_route(record["service"], record["method"], record["path"])
        key = (
            record["customer"],
            route.request_class.value,
            record["service"],
            route.idempotent,
        )
        start = self._records[0]["at"]
        return Arrival(record["at"] - start, key, record.get("data_centre"))

    def _make_flow(self, key):
        customer = self._configuration.customers_by_name[key[0]]
        plan = self._configuration.find_plan(customer)
        data = {
            "customer": key[0],
            "class": key[1],
            "service": key[2],
            "idempotent": key[3],
            "rate": 0,
            "plan": plan.requests_per_second * self._copies,
        }
        return Flow(data, plan.regions)

    def _schedule_fault(self, simulation, fault):
        server = next(iter(simulation.servers.values()))
        end = FAULT_START_SECONDS + FAULT_DURATION_SECONDS
        if fault == "slow":
            simulation.schedule(FAULT_START_SECONDS, setattr, server, "factor", 10.0)
            simulation.schedule(end, setattr, server, "factor", 1.0)
        elif fault == "cold":
            simulation.schedule(FAULT_START_SECONDS, setattr, server, "cold", True)
            simulation.schedule(end, setattr, server, "cold", False)
        elif fault == "out":
            simulation.schedule(
                FAULT_START_SECONDS, simulation.exclude, [server.spec.data_centre]
            )
            simulation.schedule(end, simulation.exclude, [])


def report(replay, fault):
    """Simulate one fault under all policies and print the results side by side."""
    print(f"\nfault: {fault}")
    simulations = {policy: replay.simulate(policy, fault) for policy in POLICIES}
    print("p99 / p99.9 in ms, share of good answers")
    _print_row("customer, class, service", simulations)
    for index, flow in enumerate(next(iter(simulations.values())).flows):
        name = f"{flow.customer}, {flow.request_class.value}, {flow.service}"
        _print_row(
            name,
            [
                _format_flow(simulation.flows[index])
                for simulation in simulations.values()
            ],
        )
    counts = [_format_report_bytes(simulation) for simulation in simulations.values()]
    _print_row("measuring, bytes in region / across", counts)


def _print_row(title, cells):
    text = "".join(f"{cell:>{CELL_WIDTH}}" for cell in cells)
    print(f"{title:{TITLE_WIDTH}}{text}")


def _format_flow(flow):
    share = flow.good / max(flow.sent, 1)
    text = f"{flow.get_percentile_ms(99):.1f} / {flow.get_percentile_ms(99.9):.1f}"
    return f"{text} {share:6.3f}"


def _format_report_bytes(simulation):
    counts = simulation.load_report_bytes
    return f"{counts['local']} / {counts['regional']}"


def main(arguments):
    """Replay a trace and return the exit status."""
    values = flags.FlagValues()
    flags.DEFINE_string("trace", None, "Trace, a request log.", flag_values=values)
    flags.DEFINE_integer("copies", 10, "Copies of each request.", flag_values=values)
    flags.DEFINE_float("service_ms", 20.0, "Service time in ms.", flag_values=values)
    values(arguments)
    try:
        replay = Replay(values.trace, values.copies, values.service_ms)
    except SettingsError as error:
        print(f"replay: {error}", file=sys.stderr)
        return 2
    print(f"noisy customer: {replay.get_noisy_customer()}")
    for fault in ("none", "slow", "cold", "noisy", "out"):
        report(replay, fault)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))

"""Scenarios: YAML files that define load, faults and expected outcomes."""

from godwitrack.exceptions import SettingsError
from godwitrack.settings import read_yaml
from godwitrack_lab.deployment import Deployment
from godwitrack_lab.simulation import PRODUCT_POLICY, Simulation
from godwitrack_lab.simulationparts import Flow

KEYS = frozenset(
    (
        "name",
        "promise",
        "deployment",
        "seed",
        "seconds",
        "window",
        "entries",
        "cold_slots",
    )
    + ("service_seconds", "load", "faults", "outcomes")
)
FAULT_KINDS = frozenset(
    ("slow", "cold", "failing", "silent", "announce", "out", "rate", "restart")
)


class Scenario:
    """One scenario file, which can be simulated and checked.

    Attributes:
        path: Path of the file.
        name: Short description of the scenario, from the file.
        data: Content of the file.
    """

    def __init__(self, path):
        """Read a scenario file and check its keys.

        Raises:
            SettingsError: The file is not a mapping or has an unknown key. The
                message names the file and the key.
        """
        self.path = path
        self.data = read_yaml(path)
        if not isinstance(self.data, dict):
            raise SettingsError(f"{path}: expected a mapping")
        unknown = sorted(set(self.data) - KEYS)
        if unknown:
            raise SettingsError(f"{path}: {unknown[0]}: unknown key")
        self.name = self.data["name"]

    def simulate(self, policy=PRODUCT_POLICY, with_faults=True):
        """Simulate the scenario and return the finished Simulation.

        Args:
            policy: Name of the routing policy, a key of POLICIES.
            with_faults: Whether to inject the scenario's faults.
        """
        data = self.data
        deployment = Deployment(data["deployment"])
        services = {item["service"] for item in data["load"]}
        specs = [item for item in deployment.servers if item.service in services]
        for spec in specs:
            spec.seconds = data.get("service_seconds", spec.seconds)
        regions = sorted({spec.region for spec in specs})
        flows = [Flow(item, regions) for item in data["load"]]
        simulation = Simulation(
            specs,
            flows,
            data.get("entries", 3),
            data.get("seed", 1),
            policy,
            data.get("cold_slots", 1),
        )
        simulation.window = tuple(data.get("window", simulation.window))
        if with_faults:
            for fault in data.get("faults", ()):
                self._schedule_fault(simulation, fault)
        simulation.run(data["seconds"])
        return simulation

    def check(self):
        """Simulate the scenario and check its expected outcomes.

        Returns:
            Lines with the measured figures, and descriptions of the outcomes that
            don't hold.
        """
        simulation = self.simulate()
        figures = format_figures(simulation)
        failures = []
        for outcome in self.data["outcomes"]:
            text = self._check_outcome(outcome, simulation)
            if text:
                failures.append(text)
        return figures, failures

    def _schedule_fault(self, simulation, fault):
        fault = dict(fault)
        start, duration = fault.pop("at"), fault.pop("for", None)
        servers = fault.pop("server", None)
        customer = fault.pop("customer", None)
        ((kind, value),) = fault.items()
        if kind not in FAULT_KINDS:
            raise SettingsError(f"{self.path}: faults: {kind}: unknown fault")
        names = [servers] if isinstance(servers, str) else servers or ()
        injector = _FaultInjector(simulation, kind, names, customer)
        simulation.schedule(start, injector.begin, value)
        if duration is not None:
            simulation.schedule(start + duration, injector.end)

    def _check_outcome(self, outcome, simulation):
        """Return how one expected outcome is missed, or "" if it holds."""
        outcome = dict(outcome)
        customer = outcome.pop("customer", None)
        server = outcome.pop("server", None)
        after = outcome.pop("after", None)
        ((kind, bound),) = outcome.items()
        value = getattr(self, f"_measure_{kind}")(simulation, customer, server, after)
        holds = value >= bound if kind in _LOWER_BOUND_KINDS else value <= bound
        if holds:
            return ""
        subject = customer or server or "all"
        return f"{kind} of {subject}: {value:.3f}, bound {bound}"

    def _measure_p99_ms(self, simulation, customer, server, after):
        return max(
            flow.get_percentile_ms(99) for flow in _select_flows(simulation, customer)
        )

    def _measure_p99_ratio(self, simulation, customer, server, after):
        """Return the p99 relative to that of the same scenario without faults."""
        without_faults = self.simulate(with_faults=False)
        return max(
            flow.get_percentile_ms(99) / other.get_percentile_ms(99)
            for flow, other in zip(
                _select_flows(simulation, customer),
                _select_flows(without_faults, customer),
                strict=True,
            )
        )

    def _measure_p99_vs_two_choices(self, simulation, customer, server, after):
        """Return the p99 relative to that of two choices with stale load reports."""
        other = self.simulate("two-choices")
        return max(
            flow.get_percentile_ms(99) / base.get_percentile_ms(99)
            for flow, base in zip(
                _select_flows(simulation, customer),
                _select_flows(other, customer),
                strict=True,
            )
        )

    def _measure_good_share(self, simulation, customer, server, after):
        flows = _select_flows(simulation, customer)
        return sum(flow.good for flow in flows) / sum(flow.sent for flow in flows)

    def _measure_goodput(self, simulation, customer, server, after):
        flows = _select_flows(simulation, customer)
        return sum(flow.good for flow in flows) / self.data["seconds"]

    def _measure_cold_overloads(self, simulation, customer, server, after):
        return sum(item.cold_overloads for item in simulation.servers.values())

    def _measure_attempts_per_request(self, simulation, customer, server, after):
        return simulation.attempts / sum(flow.sent for flow in simulation.flows)

    def _measure_wrong_regions(self, simulation, customer, server, after):
        return simulation.wrong_regions

    def _measure_last_start(self, simulation, customer, server, after):
        """Return the seconds from `after` to the last request start at the servers."""
        names = [server] if isinstance(server, str) else server
        return max(simulation.servers[name].last_started - after for name in names)

    def _measure_unknown(self, simulation, customer, server, after):
        return sum(
            flow.failed["outcome_unknown"]
            for flow in _select_flows(simulation, customer)
        )

    def _measure_served(self, simulation, customer, server, after):
        return simulation.servers[server].started


_LOWER_BOUND_KINDS = frozenset(("good_share", "goodput", "served"))


class _FaultInjector:
    """Starts and ends one fault in a simulation."""

    def __init__(self, simulation, kind, names, customer):
        self._simulation = simulation
        self._kind = kind
        self._servers = [simulation.servers[name] for name in names]
        self._customer = customer

    def begin(self, value):
        """Start the fault."""
        getattr(self, f"_set_{self._kind}")(value)

    def end(self):
        """End the fault by restoring the normal value."""
        neutral = {"slow": 1.0, "rate": 1.0, "out": []}
        getattr(self, f"_set_{self._kind}")(neutral.get(self._kind, False))

    def _set_slow(self, value):
        for server in self._servers:
            server.factor = value

    def _set_cold(self, value):
        for server in self._servers:
            server.cold = value

    def _set_failing(self, value):
        for server in self._servers:
            server.failing = value

    def _set_silent(self, value):
        for server in self._servers:
            server.is_silent = value

    def _set_announce(self, value):
        for server in self._servers:
            server.admission.announce(value == "cold", server.spec.slots)

    def _set_out(self, value):
        self._simulation.exclude(data_centres=value)

    def _set_rate(self, value):
        for flow in self._simulation.flows:
            if flow.customer == self._customer:
                flow.factor = value


def format_figures(simulation):
    """Return lines with the results of each flow and of the whole simulation."""
    lines = []
    for flow in simulation.flows:
        cells = " ".join(
            f"{flow.get_percentile_ms(percentile):8.2f}"
            for percentile in (50, 90, 99, 99.9)
        )
        failed = ", ".join(f"{kind} x {count}" for kind, count in flow.failed.items())
        lines.append(
            f"{flow.customer:18} {flow.request_class.value:12} sent {flow.sent:6} "
            f"good {flow.good:6} p50/p90/p99/p99.9 ms {cells}  {failed}"
        )
    sent = sum(flow.sent for flow in simulation.flows)
    overloads = sum(item.cold_overloads for item in simulation.servers.values())
    lines.append(
        f"attempts per request {simulation.attempts / max(sent, 1):.3f}, "
        f"cold overloads {overloads}"
    )
    return lines


def _select_flows(simulation, customer):
    names = [customer] if isinstance(customer, str) else customer
    return [flow for flow in simulation.flows if not names or flow.customer in names]

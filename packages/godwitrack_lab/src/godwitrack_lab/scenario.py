"""The small test language of scenarios: YAML with loads, faults and outcomes."""

from godwitrack.exceptions import SettingsError
from godwitrack.settings import read_yaml
from godwitrack_lab.deployment import Deployment
from godwitrack_lab.stage import PRODUCT_POLICY, Stage
from godwitrack_lab.stageparts import Flow

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
FAULTS = frozenset(
    ("slow", "cold", "failing", "silent", "announce", "out", "rate", "restart")
)


class Scenario:
    """One scenario.

    Attributes:
        path: Path of its file.
        name: What it shows.
        data: Its content.
    """

    def __init__(self, path):
        """Read and check a scenario.

        Raises:
            SettingsError: The file is no scenario; the text names file and key.
        """
        self.path = path
        self.data = read_yaml(path)
        if not isinstance(self.data, dict):
            raise SettingsError(f"{path}: expected a mapping")
        unknown = sorted(set(self.data) - KEYS)
        if unknown:
            raise SettingsError(f"{path}: {unknown[0]}: unknown key")
        self.name = self.data["name"]

    def play(self, policy=PRODUCT_POLICY, with_faults=True):
        """Run the scenario and return the Stage after it.

        Args:
            policy: Name of the policy in POLICIES.
            with_faults: Whether the faults happen.
        """
        data = self.data
        deployment = Deployment(data["deployment"])
        services = {item["service"] for item in data["load"]}
        places = [item for item in deployment.servers if item.service in services]
        for place in places:
            place.seconds = data.get("service_seconds", place.seconds)
        regions = sorted({place.region for place in places})
        flows = [Flow(item, regions) for item in data["load"]]
        stage = Stage(
            places,
            flows,
            data.get("entries", 3),
            data.get("seed", 1),
            policy,
            data.get("cold_slots", 1),
        )
        stage.window = tuple(data.get("window", stage.window))
        if with_faults:
            for fault in data.get("faults", ()):
                self._schedule(stage, fault)
        stage.run(data["seconds"])
        return stage

    def check(self):
        """Run the scenario and compare its outcomes with what is stated.

        Returns:
            Lines with the figures, and a list of the outcomes that do not hold.
        """
        stage = self.play()
        figures = list_figures(stage)
        broken = []
        for outcome in self.data["outcomes"]:
            text = self._judge(outcome, stage)
            if text:
                broken.append(text)
        return figures, broken

    def _schedule(self, stage, fault):
        fault = dict(fault)
        at, lasts = fault.pop("at"), fault.pop("for", None)
        servers = fault.pop("server", None)
        customer = fault.pop("customer", None)
        ((kind, value),) = fault.items()
        if kind not in FAULTS:
            raise SettingsError(f"{self.path}: faults: {kind}: unknown fault")
        names = [servers] if isinstance(servers, str) else servers or ()
        apply = _Fault(stage, kind, names, customer)
        stage.at(at, apply.begin, value)
        if lasts is not None:
            stage.at(at + lasts, apply.end)

    def _judge(self, outcome, stage):
        """Return what is wrong with one outcome, or an empty text."""
        outcome = dict(outcome)
        customer = outcome.pop("customer", None)
        server = outcome.pop("server", None)
        after = outcome.pop("after", None)
        ((kind, bound),) = outcome.items()
        value = getattr(self, f"_measure_{kind}")(stage, customer, server, after)
        holds = value >= bound if kind in _AT_LEAST else value <= bound
        if holds:
            return ""
        where = customer or server or "all"
        return f"{kind} of {where}: {value:.3f}, bound {bound}"

    def _measure_p99_ms(self, stage, customer, server, after):
        return max(flow.find_percentile(99) for flow in _pick(stage, customer))

    def _measure_p99_ratio(self, stage, customer, server, after):
        """Compare the p99 with that of the same run without its faults."""
        calm = self.play(with_faults=False)
        return max(
            flow.find_percentile(99) / other.find_percentile(99)
            for flow, other in zip(
                _pick(stage, customer), _pick(calm, customer), strict=True
            )
        )

    def _measure_p99_vs_two_choices(self, stage, customer, server, after):
        """Compare the p99 with that of two choices on stale reports."""
        other = self.play("two-choices")
        return max(
            flow.find_percentile(99) / base.find_percentile(99)
            for flow, base in zip(
                _pick(stage, customer), _pick(other, customer), strict=True
            )
        )

    def _measure_good_share(self, stage, customer, server, after):
        flows = _pick(stage, customer)
        return sum(flow.good for flow in flows) / sum(flow.sent for flow in flows)

    def _measure_goodput(self, stage, customer, server, after):
        flows = _pick(stage, customer)
        return sum(flow.good for flow in flows) / self.data["seconds"]

    def _measure_cold_overloads(self, stage, customer, server, after):
        return sum(item.cold_overloads for item in stage.servers.values())

    def _measure_attempts_per_request(self, stage, customer, server, after):
        return stage.attempts / sum(flow.sent for flow in stage.flows)

    def _measure_wrong_regions(self, stage, customer, server, after):
        return stage.wrong_regions

    def _measure_last_start(self, stage, customer, server, after):
        """Return how long after a time a server still got new work."""
        names = [server] if isinstance(server, str) else server
        return max(stage.servers[name].last_started - after for name in names)

    def _measure_unknown(self, stage, customer, server, after):
        return sum(flow.refused["outcome_unknown"] for flow in _pick(stage, customer))

    def _measure_served(self, stage, customer, server, after):
        return stage.servers[server].started


_AT_LEAST = frozenset(("good_share", "goodput", "served"))


class _Fault:
    """One fault that begins and may end."""

    def __init__(self, stage, kind, names, customer):
        self._stage = stage
        self._kind = kind
        self._servers = [stage.servers[name] for name in names]
        self._customer = customer

    def begin(self, value):
        """Let the fault begin."""
        getattr(self, f"_set_{self._kind}")(value)

    def end(self):
        """Let the fault end."""
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
            server.admission.announce(value == "cold", server.place.slots)

    def _set_out(self, value):
        self._stage.exclude(data_centres=value)

    def _set_rate(self, value):
        for flow in self._stage.flows:
            if flow.customer == self._customer:
                flow.factor = value


def list_figures(stage):
    """Return lines with what the flows and servers of a stage saw."""
    lines = []
    for flow in stage.flows:
        cells = " ".join(
            f"{flow.find_percentile(part):8.2f}" for part in (50, 90, 99, 99.9)
        )
        refused = ", ".join(f"{kind} x {count}" for kind, count in flow.refused.items())
        lines.append(
            f"{flow.customer:18} {flow.request_class.value:12} sent {flow.sent:6} "
            f"good {flow.good:6} p50/p90/p99/p99.9 ms {cells}  {refused}"
        )
    sent = sum(flow.sent for flow in stage.flows)
    overloads = sum(item.cold_overloads for item in stage.servers.values())
    lines.append(
        f"attempts per request {stage.attempts / max(sent, 1):.3f}, "
        f"cold overloads {overloads}"
    )
    return lines


def _pick(stage, customer):
    names = [customer] if isinstance(customer, str) else customer
    return [flow for flow in stage.flows if not names or flow.customer in names]

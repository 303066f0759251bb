"""Demo: runs one deployment end to end, with real processes and real HTTP."""

import collections
import sys

from absl import flags

from godwitrack_lab.deployment import Deployment
from godwitrack_lab.load import LoadGenerator, find_guarantee_violations, format_tallies
from godwitrack_lab.processes import ProcessFleet

RATE = 150
THREADS = 12
SECONDS = 12.0
SEED = 4


def main(arguments):
    """Run the demo and return the exit status."""
    values = flags.FlagValues()
    flags.DEFINE_string(
        "deployment", "ljusgemenskapen", "Folder in examples.", flag_values=values
    )
    values(arguments)
    deployment = Deployment(values.deployment)
    print(f"starting {len(deployment.servers)} nodes of {deployment.name}", flush=True)
    with ProcessFleet(deployment) as fleet:
        print(fleet.run_client("status").stdout)
        load = LoadGenerator(
            deployment.kinds, make_address_selector(fleet), RATE, THREADS, SEED
        )
        load.run(SECONDS)
        reports = fleet.read_backend_reports()
    print(format_tallies(load.tallies))
    return report_violations(load, reports)


def make_address_selector(fleet):
    """Return a function that lists the caller addresses for a RequestKind.

    Callers connect to the nodes in the regions that their customer's plan allows.
    """
    records = fleet.make_client(next(iter(fleet.nodes))).get("/configuration")[
        "records"
    ]
    addresses = {}
    for key, record in records.items():
        record_type, _, name = key.partition("/")
        if record_type == "customer":
            regions = records[f"plan/{record['plan']}"]["regions"]
            addresses[name] = [
                node.callers
                for node in fleet.nodes.values()
                if node.spec.region in regions
            ]
    return lambda kind: addresses[kind.customer]


def report_violations(load, reports):
    """Print the counts and all violations, and return the exit status."""
    runs = collections.Counter()
    for report in reports.values():
        runs.update(report["runs"])
    violations = find_guarantee_violations(load.operations, runs)
    violations.extend(
        fault for tally in load.tallies.values() for fault in tally.faults
    )
    for name, report in sorted(reports.items()):
        print(f"{name:14} served {report['served']:6} peak {report['peak']}")
    for text in violations:
        print(f"WRONG: {text}")
    good = sum(tally.good for tally in load.tallies.values())
    print(f"{len(load.operations)} sent, {good} good, {len(violations)} wrong")
    return 1 if violations or not good else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))

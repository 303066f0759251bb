"""The demo: one deployment end to end, with real processes and real HTTP."""

import collections
import sys

from absl import flags

from godwitrack_lab.deployment import Deployment
from godwitrack_lab.load import Load, find_broken_promises, format_tallies
from godwitrack_lab.processes import ProcessFleet

RATE = 150
THREADS = 12
SECONDS = 12.0
SEED = 4


def main(arguments):
    """Run the demo; returns the exit status."""
    values = flags.FlagValues()
    flags.DEFINE_string(
        "deployment", "ljusgemenskapen", "Folder in examples.", flag_values=values
    )
    values(arguments)
    deployment = Deployment(values.deployment)
    print(f"starting {len(deployment.servers)} nodes of {deployment.name}", flush=True)
    with ProcessFleet(deployment) as fleet:
        print(fleet.run_client("status").stdout)
        load = Load(deployment.kinds, make_chooser(fleet), RATE, THREADS, SEED)
        load.run(SECONDS)
        reports = fleet.read_backends()
    print(format_tallies(load.tallies))
    return report_promises(load, reports)


def make_chooser(fleet):
    """Return a function from a RequestKind to the nodes that its apps may use.

    Apps of customers with home regions connect to nodes in those regions.
    """
    lists = fleet.make_client(next(iter(fleet.nodes))).get("/configuration")["records"]
    addresses = {}
    for key, record in lists.items():
        sort, _, name = key.partition("/")
        if sort == "customer":
            regions = lists[f"plan/{record['plan']}"]["regions"]
            addresses[name] = [
                node.callers
                for node in fleet.nodes.values()
                if node.place.region in regions
            ]
    return lambda kind: addresses[kind.customer]


def report_promises(load, reports):
    """Print what was wrong; returns the exit status."""
    runs = collections.Counter()
    for report in reports.values():
        runs.update(report["runs"])
    wrong = find_broken_promises(load.operations, runs)
    wrong.extend(fault for tally in load.tallies.values() for fault in tally.faults)
    for name, report in sorted(reports.items()):
        print(f"{name:14} served {report['served']:6} peak {report['peak']}")
    for text in wrong:
        print(f"WRONG: {text}")
    good = sum(tally.good for tally in load.tallies.values())
    print(f"{len(load.operations)} sent, {good} good, {len(wrong)} wrong")
    return 1 if wrong or not good else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))

"""Records a trace from the request logs of a fleet under load."""

import json
import sys
import time

from absl import flags

from godwitrack_lab.demo import make_address_selector
from godwitrack_lab.deployment import Deployment
from godwitrack_lab.load import LoadGenerator
from godwitrack_lab.processes import ProcessFleet

RATE = 100
THREADS = 8
SECONDS = 4.0
FLUSH_SECONDS = 1.0


def main(arguments):
    """Record a trace of one deployment."""
    values = flags.FlagValues()
    flags.DEFINE_string("deployment", None, "Folder in examples.", flag_values=values)
    flags.DEFINE_string("out", None, "File to write.", flag_values=values)
    flags.DEFINE_integer("seed", 1, "Seed of the requests.", flag_values=values)
    values(arguments)
    deployment = Deployment(values.deployment)
    with ProcessFleet(deployment, logs__request_share=1.0) as fleet:
        load = LoadGenerator(
            deployment.kinds, make_address_selector(fleet), RATE, THREADS, values.seed
        )
        load.run(SECONDS)
        time.sleep(FLUSH_SECONDS)
        lines = [
            line
            for node in fleet.nodes.values()
            for line in node.read_log().splitlines()
            if '"event": "request"' in line
        ]
    lines.sort(key=lambda line: json.loads(line)["at"])
    with open(values.out, "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")
    print(f"{len(lines)} requests in {values.out}")


if __name__ == "__main__":
    main(sys.argv)

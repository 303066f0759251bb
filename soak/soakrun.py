"""Plays soaks: real nodes, faults from outside, and the promises checked."""

import concurrent.futures
import multiprocessing
import pathlib
import re
import sys
import time

from absl import app, flags

from godwitrack.logs import configure_logs
from soakchecks import Finding, SoakRecord, find_log_errors
from soakfaults import FaultRunner
from soakfleet import SoakFleet
from soakplan import draw_plan

# The users' site files state by when a fleet must have recovered.
RECOVERY_SECONDS = 15.0
# Where times do not count, a fleet that does not recover at all is still found.
PATIENT_SECONDS = 90.0
RECENT_SECONDS = 3.0
SECONDS = 12.0
FAULTS = 12
POLL_SECONDS = 0.1
SUBNETS = range(16, 250)

FLAGS = flags.FLAGS
flags.DEFINE_string("seeds", "1-50", "Seeds to play, like 3,7-9.")
flags.DEFINE_float("seconds", SECONDS, "Seconds within which faults begin.")
flags.DEFINE_integer("faults", FAULTS, "Faults of a seed; a series counts as one.")
flags.DEFINE_integer("jobs", 2, "Soaks at a time.")
flags.DEFINE_string("folder", "target/soak", "Folder for the logs of each seed.")


class SoakResult:
    """What became of a seed.

    Attributes:
        seed: Number.
        calls: Number of calls made.
        served: Number of calls that were served.
        findings: Findings as text.
        steps: Lines of the plan.
    """

    __slots__ = ("calls", "findings", "seed", "served", "steps")

    def __init__(self, seed, calls, served, findings, steps):
        self.seed = seed
        self.calls = calls
        self.served = served
        self.findings = findings
        self.steps = steps


class SoakOptions:
    """How a seed is played.

    Attributes:
        seconds: Time within which faults begin.
        faults: Number of faults; a series counts as one.
        is_timed: Whether promises about durations are checked too; they hold on a
            machine that is not busy otherwise.
    """

    __slots__ = ("faults", "is_timed", "seconds")

    def __init__(self, seconds=SECONDS, faults=FAULTS, is_timed=True):
        self.seconds = seconds
        self.faults = faults
        self.is_timed = is_timed


def play_soak(seed, folder, subnet, options):
    """Play the soak of one seed.

    Args:
        seed: Number from which faults and calls are drawn.
        folder: pathlib.Path for settings and logs.
        subnet: Second number of all IP addresses, unique among soaks at a time.
        options: SoakOptions.

    Returns:
        SoakResult.
    """
    folder.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        log.unlink()
    fleet = SoakFleet(seed, folder, subnet)
    runner = FaultRunner(fleet)
    steps = draw_plan(seed, len(fleet.machines), options.seconds, options.faults)
    try:
        fleet.wait_ready()
        fleet.start_calls()
        runner.play(steps)
        findings = _check_recovery(fleet, options)
        fleet.stop_calls()
        findings += _check_running(fleet)
    finally:
        fleet.close()
    findings += SoakRecord(fleet, runner.disturbances).check(options.is_timed)
    for machine in fleet.machines:
        findings += _check_exits(machine)
        findings += find_log_errors(machine.log)
    served = sum(c.answer is not None and c.answer.status == 200 for c in fleet.calls)
    lines = [step.format() for step in steps]
    return SoakResult(seed, len(fleet.calls), served, list(map(str, findings)), lines)


def parse_seeds(text):
    """Return the numbers of a list like 3,7-9, each once.

    Raises:
        ValueError: The text is no such list.
    """
    seeds = set()
    for part in text.split(","):
        match = re.fullmatch(r"(\d+)(?:-(\d+))?", part.strip())
        if not match:
            raise ValueError(f"seeds: {part!r} is no number and no range like 7-9")
        first = int(match[1])
        seeds.update(range(first, int(match[2] or first) + 1))
    return sorted(seeds)


def main(arguments):
    """Play the seeds of the flags; returns the exit status."""
    del arguments
    try:
        seeds = parse_seeds(FLAGS.seeds)
    except ValueError as error:
        print(error, file=sys.stderr)
        return 2
    context = multiprocessing.get_context("spawn")
    red = 0
    with concurrent.futures.ProcessPoolExecutor(FLAGS.jobs, context) as pool:
        futures = [
            pool.submit(
                _play_quietly,
                seed,
                pathlib.Path(FLAGS.folder) / f"seed-{seed}",
                SUBNETS[number % len(SUBNETS)],
                SoakOptions(FLAGS.seconds, FLAGS.faults),
            )
            for number, seed in enumerate(seeds)
        ]
        for future in concurrent.futures.as_completed(futures):
            result = future.result()
            red += bool(result.findings)
            _print_result(result)
    print(f"{len(seeds)} seeds, {red} with findings")
    return 1 if red else 0


def _play_quietly(seed, folder, subnet, options):
    configure_logs("console", "critical")
    return play_soak(seed, folder, subnet, options)


def _check_recovery(fleet, options):
    allowed = RECOVERY_SECONDS if options.is_timed else PATIENT_SECONDS
    deadline = time.monotonic() + allowed
    while unserved := fleet.find_unserved(RECENT_SECONDS):
        if time.monotonic() > deadline:
            return [Finding("RECOVER", f"not served: {sorted(unserved)}")]
        time.sleep(POLL_SECONDS)
    return []


def _check_running(fleet):
    return [
        Finding("EXIT", f"node {machine.number} ended unasked")
        for machine in fleet.machines
        if not machine.is_running
    ]


def _check_exits(machine):
    return [
        Finding("EXIT", f"node {machine.number} ended with status {status}")
        for status in machine.bad_exits
    ]


def _print_result(result):
    verdict = "FOUND" if result.findings else "ok"
    print(f"seed {result.seed}: {verdict}, {result.served} of {result.calls} served")
    for line in result.findings[:20]:
        print(f"    {line}")
    if result.findings:
        print("".join(f"        {line}\n" for line in result.steps), end="")
    sys.stdout.flush()


if __name__ == "__main__":
    app.run(main)

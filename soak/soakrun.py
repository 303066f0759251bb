"""Runs soaks: injects faults into a fleet of node processes and checks the calls."""

import concurrent.futures
import multiprocessing
import pathlib
import re
import sys
import time

from absl import app, flags

from godwitrack.logs import configure_logs
from soakchecks import Finding, SoakRecord, list_log_errors
from soakfaults import FaultRunner
from soakfleet import SoakFleet
from soakplan import draw_plan

# The site files of the platform's users state by when a fleet must have recovered.
RECOVERY_SECONDS = 15.0
# Without checks of durations, a fleet that never recovers is still a finding.
UNTIMED_RECOVERY_SECONDS = 90.0
SERVED_WITHIN_SECONDS = 3.0
DEFAULT_SECONDS = 12.0
DEFAULT_FAULTS = 12
POLL_SECONDS = 0.1
# Second octets of the loopback addresses; concurrent soaks use different ones.
SUBNETS = range(16, 250)

FLAGS = flags.FLAGS
flags.DEFINE_string("seeds", "1-50", "Seeds to play, like 3,7-9.")
flags.DEFINE_float("seconds", DEFAULT_SECONDS, "Seconds within which faults begin.")
flags.DEFINE_integer(
    "faults", DEFAULT_FAULTS, "Faults of a seed; a series counts as one."
)
flags.DEFINE_integer("jobs", 2, "Soaks at a time.")
flags.DEFINE_string("folder", "target/soak", "Folder for the logs of each seed.")


class SoakResult:
    """Result of the soak run of one seed.

    Attributes:
        seed: Seed of the run.
        calls: Number of calls.
        served: Number of calls answered with status 200.
        findings: Findings as text.
        plan: Faults of the plan as lines of text.
    """

    __slots__ = ("calls", "findings", "plan", "seed", "served")

    def __init__(self, seed, calls, served, findings, plan):
        self.seed = seed
        self.calls = calls
        self.served = served
        self.findings = findings
        self.plan = plan


class SoakOptions:
    """Options of a soak run.

    Attributes:
        seconds: Latest start of a fault, in seconds after the first calls.
        faults: Number of faults; a series counts as one.
        checks_durations: Whether rules about durations are checked too; they hold
            only on a machine without other load.
    """

    __slots__ = ("checks_durations", "faults", "seconds")

    def __init__(
        self, seconds=DEFAULT_SECONDS, faults=DEFAULT_FAULTS, checks_durations=True
    ):
        self.seconds = seconds
        self.faults = faults
        self.checks_durations = checks_durations


def run_soak(seed, folder, subnet, options):
    """Run the soak of one seed.

    Args:
        seed: Seed from which faults and calls are drawn.
        folder: pathlib.Path for settings and logs.
        subnet: Second octet of all IP addresses; concurrent soaks need different ones.
        options: SoakOptions.

    Returns:
        SoakResult.
    """
    folder.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        log.unlink()
    fleet = SoakFleet(seed, folder, subnet)
    runner = FaultRunner(fleet)
    plan = draw_plan(seed, len(fleet.machines), options.seconds, options.faults)
    try:
        fleet.wait_ready()
        fleet.start_calls()
        runner.run_plan(plan)
        findings = _check_recovery(fleet, options)
        fleet.stop_calls()
        findings += _check_running(fleet)
    finally:
        fleet.close()
    findings += SoakRecord(fleet, runner.applied_faults).check(options.checks_durations)
    for machine in fleet.machines:
        findings += _check_exits(machine)
        findings += list_log_errors(machine.log)
    served = sum(c.answer is not None and c.answer.status == 200 for c in fleet.calls)
    lines = [fault.format() for fault in plan]
    return SoakResult(seed, len(fleet.calls), served, list(map(str, findings)), lines)


def parse_seeds(text):
    """Parse a list of seeds like 3,7-9.

    Returns:
        The seeds without duplicates, in ascending order.

    Raises:
        ValueError: The text is not a list of numbers and ranges.
    """
    seeds = set()
    for part in text.split(","):
        match = re.fullmatch(r"(\d+)(?:-(\d+))?", part.strip())
        if not match:
            raise ValueError(
                f"seeds: {part!r} is neither a number nor a range like 7-9"
            )
        first = int(match[1])
        seeds.update(range(first, int(match[2] or first) + 1))
    return sorted(seeds)


def main(arguments):
    """Run the seeds of the flags; return the exit status."""
    del arguments
    try:
        seeds = parse_seeds(FLAGS.seeds)
    except ValueError as error:
        print(error, file=sys.stderr)
        return 2
    context = multiprocessing.get_context("spawn")
    failed_seeds = 0
    with concurrent.futures.ProcessPoolExecutor(FLAGS.jobs, context) as pool:
        futures = [
            pool.submit(
                _run_soak_quietly,
                seed,
                pathlib.Path(FLAGS.folder) / f"seed-{seed}",
                SUBNETS[number % len(SUBNETS)],
                SoakOptions(FLAGS.seconds, FLAGS.faults),
            )
            for number, seed in enumerate(seeds)
        ]
        for future in concurrent.futures.as_completed(futures):
            result = future.result()
            failed_seeds += bool(result.findings)
            _print_result(result)
    print(f"{len(seeds)} seeds, {failed_seeds} with findings")
    return 1 if failed_seeds else 0


def _run_soak_quietly(seed, folder, subnet, options):
    configure_logs("console", "critical")
    return run_soak(seed, folder, subnet, options)


def _check_recovery(fleet, options):
    allowed = RECOVERY_SECONDS if options.checks_durations else UNTIMED_RECOVERY_SECONDS
    deadline = time.monotonic() + allowed
    while unserved := fleet.list_unserved(SERVED_WITHIN_SECONDS):
        if time.monotonic() > deadline:
            return [Finding("RECOVER", f"not served: {sorted(unserved)}")]
        time.sleep(POLL_SECONDS)
    fleet.publish_routes()
    while unaware := fleet.list_without_routes():
        if time.monotonic() > deadline:
            return [Finding("CONFIG", f"without the newest routes: {unaware}")]
        time.sleep(POLL_SECONDS)
    return []


def _check_running(fleet):
    return [
        Finding("EXIT", f"node {machine.number} ended unexpectedly")
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
        print("".join(f"        {line}\n" for line in result.plan), end="")
    sys.stdout.flush()


if __name__ == "__main__":
    app.run(main)

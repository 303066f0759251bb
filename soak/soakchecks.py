"""Checks what callers and backend servers recorded against the platform's rules."""

import collections
import json

from godwitrack.answerhead import FINAL_STATUSES
from soakcallers import CALL_KINDS, TIMEOUT_SECONDS
from soakfaults import MAINTENANCE_KINDS, may_end_caller_connection
from soakfleet import WARM_UP_REQUESTS_PER_SECOND
from soakmachine import BUDGET_SLACK_RETRIES
from soakplan import FaultKind
from soakserver import make_answer_text

# Statuses that guarantee that a request did not and will not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Bounds from the site files of the platform's users.
BUDGET_RATIO = 0.2
BUDGET_SECONDS = 10.0
DRAIN_SECONDS = 2.5
TAKE_OUT_SECONDS = 5.0
# A fault counts as affecting its node until this long after its end.
SETTLE_SECONDS = 3.0
WARM_UP_RATE_FACTOR, WARM_UP_EXTRA_REQUESTS = 1.5, 5.0
MAX_LATE_SECONDS = 0.5
MIN_LATE_CALLS = 8
RATE_WINDOW_SECONDS = 1.0
STORE_KINDS = frozenset(
    (
        FaultKind.STORE_AWAY,
        FaultKind.STORE_LOSES_ANSWERS,
        FaultKind.STORE_FORGETS,
        FaultKind.STORE_RESTORED,
        FaultKind.STORE_NARROW,
    )
)


class Finding:
    """A violation of a rule.

    Attributes:
        rule: Name of the rule.
        detail: What was observed.
    """

    __slots__ = ("detail", "rule")

    def __init__(self, rule, detail):
        self.rule = rule
        self.detail = detail

    def __str__(self):
        return f"{self.rule}: {self.detail}"


class SoakRecord:
    """The calls, runs and faults of a finished soak run.

    Attributes:
        calls: SentCalls.
        runs: Runs.
        servers: All SoakServers, also those that have ended.
        specs: MachineSpec of each node.
        applied_faults: AppliedFaults.
        runs_by_id: Runs of each request id.
    """

    def __init__(self, fleet, applied_faults):
        self.calls = list(fleet.calls)
        self.runs = list(fleet.runs)
        self.servers = [server for m in fleet.machines for server in m.servers]
        self.specs = [machine.spec for machine in fleet.machines]
        self.applied_faults = applied_faults
        self.runs_by_id = collections.defaultdict(list)
        for run in self.runs:
            self.runs_by_id[run.request_id].append(run)

    def check(self, checks_durations=True):
        """Return the Findings of all checks.

        Args:
            checks_durations: Whether late answers count as findings.
        """
        checks = [
            self._check_answers,
            self._check_runs,
            self._check_lost_answers,
            self._check_draining,
            self._check_take_outs,
            self._check_warm_ups,
            self._check_retries,
        ]
        if checks_durations:
            checks.append(self._check_timeouts)
        return [finding for check in checks for finding in check()]

    def _check_answers(self):
        for call in self.calls:
            answer = call.answer
            if answer is None:
                continue
            runs = self.runs_by_id[call.request_id]
            answered_id = answer.headers.get("godwitrack-request-id", call.request_id)
            if answered_id != call.request_id:
                yield Finding(
                    "MIXED", f"{call.request_id} got the answer of {answered_id}"
                )
            if answer.status not in FINAL_STATUSES:
                yield Finding("MIXED", f"{call.request_id}: status {answer.status}")
            if answer.status == 200 and not _is_own_answer(call, answer):
                yield Finding("MIXED", f"{call.request_id}: {answer.body[:80]!r}")
            if answer.status in NOT_RUN_STATUSES and runs:
                if not call.kind.is_idempotent:
                    yield Finding(
                        "REFUSED", f"{call.request_id}: {answer.status}, but it ran"
                    )
            elif 300 <= answer.status < 500 and answer.status not in NOT_RUN_STATUSES:
                yield Finding("DENIED", f"{call.request_id}: {answer.status}")

    def _check_runs(self):
        sent = {call.request_id: call for call in self.calls}
        for request_id, runs in self.runs_by_id.items():
            call = sent.get(request_id)
            if call is None:
                continue
            if len(runs) > 1 and not call.kind.is_idempotent:
                yield Finding("TWICE", f"{request_id} ran {len(runs)} times")
            for run in runs:
                yield from self._check_run(call, run)

    def _check_run(self, call, run):
        service = self.specs[call.node].service
        if (run.target, run.length) != (call.target, call.length):
            yield Finding("UNASKED", f"{run.request_id}: {run.target} {run.length}")
        if run.caller_service != service:
            yield Finding("UNASKED", f"{run.request_id} for {run.caller_service}")
        spec = self.specs[run.node]
        if spec.service != call.kind.service:
            yield Finding("ROUTE", f"{run.request_id} at {spec.service}")
        if call.kind.regions and spec.region not in call.kind.regions:
            yield Finding("HOME", f"{run.request_id} in {spec.region}")

    def _check_lost_answers(self):
        """Find requests that ran but got no answer, with no fault to explain it."""
        for call in self.calls:
            if call.answer is not None or not self.runs_by_id[call.request_id]:
                continue
            if not self._is_excused(call):
                outcome = "timed out" if call.timed_out else "closed"
                yield Finding("LOST", f"{call.request_id}: {outcome}, but it ran")

    def _is_excused(self, call):
        """Return whether a fault may have kept the answer from the caller."""
        span = (call.sent_at - SETTLE_SECONDS, call.ended_at)
        near = [item.fault for item in self.applied_faults if item.overlaps(*span)]
        if any(may_end_caller_connection(fault, call.node) for fault in near):
            return True
        server_nodes = {run.node for run in self.runs_by_id[call.request_id]}
        # A stopping node can't wait for a server that another fault delays.
        is_stopping = any(
            fault.kind is FaultKind.NODE_STOP and fault.node == call.node
            for fault in near
        )
        return is_stopping and any(
            fault.node in server_nodes and fault.kind not in MAINTENANCE_KINDS
            for fault in near
        )

    def _check_draining(self):
        draining = {
            s.instance: s.draining_since
            for s in self.servers
            if s.draining_since is not None
        }
        for run in self.runs:
            draining_since = draining.get(run.instance)
            if (
                draining_since is not None
                and run.received_at > draining_since + DRAIN_SECONDS
            ):
                late = run.received_at - draining_since
                yield Finding(
                    "DRAIN", f"{run.request_id} {late:.2f} s after drain began"
                )

    def _check_take_outs(self):
        for item in self.applied_faults:
            if item.fault.kind is not FaultKind.TAKE_OUT:
                continue
            data_centre = self.specs[item.fault.node].data_centre
            start = item.began_at + TAKE_OUT_SECONDS
            for run in self.runs:
                if self.specs[run.node].data_centre != data_centre:
                    continue
                is_late = start < run.received_at < item.ended_at
                if is_late and self._is_undisturbed(
                    run.node, item.began_at, run.received_at
                ):
                    yield Finding("EVAC", f"{run.request_id} in {data_centre}")

    def _is_undisturbed(self, node, start, end):
        """Return whether no fault can have kept a node from getting store updates."""
        for item in self.applied_faults:
            fault = item.fault
            is_own = fault.node == node and fault.kind is not FaultKind.TAKE_OUT
            if not (is_own or fault.kind in STORE_KINDS):
                continue
            if item.overlaps(start - SETTLE_SECONDS, end):
                return False
        return True

    def _check_warm_ups(self):
        bound = (
            WARM_UP_REQUESTS_PER_SECOND * WARM_UP_RATE_FACTOR + WARM_UP_EXTRA_REQUESTS
        )
        for server in self.servers:
            if not server.started_cold:
                continue
            moments = [
                run.received_at
                for run in self.runs
                if run.instance == server.instance
                and server.started_at <= run.received_at < server.warm_at
            ]
            peak = count_peak(moments, RATE_WINDOW_SECONDS)
            if peak > bound:
                yield Finding(
                    "FAILBACK", f"{server.instance}: {peak} requests in a second"
                )

    def _check_retries(self):
        """Find windows with too many retries: runs beyond the first of a request."""
        for service in sorted({kind.service for kind in CALL_KINDS}):
            extra = sorted(
                run.received_at
                for runs in self.runs_by_id.values()
                for run in runs[1:]
                if self.specs[run.node].service == service
            )
            sent = [c.sent_at for c in self.calls if c.kind.service == service]
            for moment in extra:
                window = (moment, moment + BUDGET_SECONDS)
                retries = count_within(extra, *window)
                # The users' rule compares with the busiest of three windows.
                requests = max(
                    count_within(sent, window[0] - offset, window[1] - offset)
                    for offset in (0.0, BUDGET_SECONDS / 2, BUDGET_SECONDS)
                )
                if retries > requests * BUDGET_RATIO + BUDGET_SLACK_RETRIES:
                    yield Finding(
                        "BUDGET", f"{service}: {retries} retries, {requests} requests"
                    )
                    break

    def _check_timeouts(self):
        """Find calls that exceeded their route's timeout and that no fault excuses."""
        late = []
        for call in self.calls:
            bound = call.sent_at + TIMEOUT_SECONDS + MAX_LATE_SECONDS
            if call.ended_at > bound and not self._is_excused(call):
                late.append(call)
        if len(late) >= MIN_LATE_CALLS:
            yield Finding("CONFIG", f"{len(late)} late, first {late[0].request_id}")


def list_log_errors(path):
    """Return a Finding for each unexpected error in a node's log."""
    findings = []
    for line in path.read_text(errors="replace").splitlines():
        try:
            level = json.loads(line).get("level")
        except ValueError:
            level = "error" if line.startswith("Traceback") else None
        if level in ("error", "critical"):
            findings.append(Finding("LOG", f"{path.name}: {line[:300]}"))
    return findings


def count_peak(moments, seconds):
    """Return the largest number of moments within any span of this many seconds."""
    return max(
        (count_within(moments, moment, moment + seconds) for moment in moments),
        default=0,
    )


def count_within(moments, start, end):
    """Return the number of moments from start up to, but without, end."""
    return sum(start <= moment < end for moment in moments)


def _is_own_answer(call, answer):
    expected = b"done " + make_answer_text(call.request_id, call.length)
    is_signed = "godwitrack-server-signature" in answer.headers
    return is_signed and answer.body == expected

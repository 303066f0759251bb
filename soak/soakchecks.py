"""The promises of the platform's rules, checked on what callers and servers saw."""

import collections
import json

from soakcallers import CALL_KINDS, TIMEOUT_SECONDS
from soakfaults import PLANNED_KINDS, harms_callers
from soakfleet import COLD_RATE
from soakmachine import BUDGET_SLACK
from soakplan import FaultKind
from soakserver import make_proof

# Statuses that promise that a request did not and will not run.
UNRUN_STATUSES = frozenset((408, 421, 429, 503))
# Bounds that the users' site files state.
BUDGET_RATIO = 0.2
BUDGET_SECONDS = 10.0
DRAIN_SECONDS = 2.5
TAKE_OUT_SECONDS = 5.0
CONTACT_SECONDS = 3.0
COLD_OVER, COLD_SLACK = 1.5, 5.0
LATE_SECONDS = 0.5
MIN_LATE = 8
SECOND = 1.0
STORE_KINDS = frozenset(
    (
        FaultKind.STORE_AWAY,
        FaultKind.STORE_LOSES_ANSWERS,
        FaultKind.STORE_FORGETS,
    )
)


class Finding:
    """A promise that was broken.

    Attributes:
        rule: Name of the rule.
        detail: What was seen.
    """

    __slots__ = ("detail", "rule")

    def __init__(self, rule, detail):
        self.rule = rule
        self.detail = detail

    def __str__(self):
        return f"{self.rule}: {self.detail}"


class SoakRecord:
    """What was seen in a soak.

    Attributes:
        calls: SentCalls.
        runs: Runs.
        servers: SoakServers, all that ever ran.
        places: Place of each node.
        disturbances: Disturbances.
    """

    def __init__(self, fleet, disturbances):
        self.calls = list(fleet.calls)
        self.runs = list(fleet.runs)
        self.servers = [server for m in fleet.machines for server in m.servers]
        self.places = [machine.place for machine in fleet.machines]
        self.disturbances = disturbances
        self.runs_by_id = collections.defaultdict(list)
        for run in self.runs:
            self.runs_by_id[run.request_id].append(run)

    def check(self, is_timed=True):
        """Return the Findings.

        Args:
            is_timed: Whether late answers count.
        """
        checks = [
            self._check_answers,
            self._check_runs,
            self._check_broken_calls,
            self._check_leaving,
            self._check_take_outs,
            self._check_cold_starts,
            self._check_retries,
        ]
        if is_timed:
            checks.append(self._check_late)
        return [finding for check in checks for finding in check()]

    def _check_answers(self):
        for call in self.calls:
            answer = call.answer
            if answer is None:
                continue
            runs = self.runs_by_id[call.request_id]
            found_id = answer.headers.get("godwitrack-request-id", call.request_id)
            if found_id != call.request_id:
                yield Finding("MIXED", f"{call.request_id} got that of {found_id}")
            if answer.status == 200 and not _is_proper(call, answer):
                yield Finding("MIXED", f"{call.request_id}: {answer.body[:80]!r}")
            if answer.status in UNRUN_STATUSES and runs:
                if not call.kind.is_idempotent:
                    yield Finding("REFUSED", f"{call.request_id}: {answer.status}, ran")
            elif 300 <= answer.status < 500 and answer.status not in UNRUN_STATUSES:
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
        service = self.places[call.node].service
        if (run.target, run.length) != (call.target, call.length):
            yield Finding("UNASKED", f"{run.request_id}: {run.target} {run.length}")
        if run.caller_service != service:
            yield Finding("UNASKED", f"{run.request_id} for {run.caller_service}")
        place = self.places[run.node]
        if place.service != call.kind.service:
            yield Finding("ROUTE", f"{run.request_id} at {place.service}")
        if call.kind.regions and place.region not in call.kind.regions:
            yield Finding("HOME", f"{run.request_id} in {place.region}")

    def _check_broken_calls(self):
        """Connections that ended without an answer, at nodes that nothing harmed."""
        for call in self.calls:
            if call.answer is not None or not self.runs_by_id[call.request_id]:
                continue
            if not self._is_excused(call):
                what = "silence" if call.was_silent else "closed"
                yield Finding("LOST", f"{call.request_id}: {what}, it ran")

    def _is_excused(self, call):
        """Tell whether a fault may have kept an answer from its caller."""
        span = (call.sent_at - CONTACT_SECONDS, call.ended_at)
        near = [item.step for item in self.disturbances if item.touches(*span)]
        if any(harms_callers(step, call.node) for step in near):
            return True
        # A node that stops can't wait for a server that something else held up.
        places = {run.node for run in self.runs_by_id[call.request_id]}
        is_stopping = any(
            step.kind is FaultKind.NODE_STOP and step.node == call.node for step in near
        )
        return is_stopping and any(
            step.node in places and step.kind not in PLANNED_KINDS for step in near
        )

    def _check_leaving(self):
        left = {s.instance: s.left_at for s in self.servers if s.left_at is not None}
        for run in self.runs:
            left_at = left.get(run.instance)
            if left_at is not None and run.moment > left_at + DRAIN_SECONDS:
                late = run.moment - left_at
                yield Finding("DRAIN", f"{run.request_id} {late:.2f} s after leaving")

    def _check_take_outs(self):
        for item in self.disturbances:
            if item.step.kind is not FaultKind.TAKE_OUT:
                continue
            data_centre = self.places[item.step.node].data_centre
            start = item.began_at + TAKE_OUT_SECONDS
            for run in self.runs:
                if self.places[run.node].data_centre != data_centre:
                    continue
                is_late = start < run.moment < item.ended_at
                if is_late and self._is_in_touch(run.node, item.began_at, run.moment):
                    yield Finding("EVAC", f"{run.request_id} in {data_centre}")

    def _is_in_touch(self, node, start, end):
        """Tell whether nothing kept news from a node in a span."""
        for item in self.disturbances:
            step = item.step
            is_own = step.node == node and step.kind is not FaultKind.TAKE_OUT
            if not (is_own or step.kind in STORE_KINDS):
                continue
            if item.touches(start - CONTACT_SECONDS, end):
                return False
        return True

    def _check_cold_starts(self):
        bound = COLD_RATE * COLD_OVER + COLD_SLACK
        for server in self.servers:
            if not server.was_cold:
                continue
            moments = [
                run.moment
                for run in self.runs
                if run.instance == server.instance and run.moment < server.warm_at
            ]
            most = count_most(moments, SECOND)
            if most > bound:
                yield Finding("FAILBACK", f"{server.instance}: {most} in a second")

    def _check_retries(self):
        """Arrivals beyond the first of each request, in any window."""
        for service in sorted({kind.service for kind in CALL_KINDS}):
            extra = sorted(
                run.moment
                for runs in self.runs_by_id.values()
                for run in runs[1:]
                if self.places[run.node].service == service
            )
            sent = [c.sent_at for c in self.calls if c.kind.service == service]
            for moment in extra:
                window = (moment, moment + BUDGET_SECONDS)
                found = count_within(extra, *window)
                # The users' rule counts the fullest of three windows.
                asked = max(
                    count_within(sent, window[0] - back, window[1] - back)
                    for back in (0.0, BUDGET_SECONDS / 2, BUDGET_SECONDS)
                )
                if found > asked * BUDGET_RATIO + BUDGET_SLACK:
                    yield Finding("BUDGET", f"{service}: {found} beside {asked}")
                    break

    def _check_late(self):
        """Requests held longer than their route allows, at nodes in touch."""
        late = []
        for call in self.calls:
            bound = call.sent_at + TIMEOUT_SECONDS + LATE_SECONDS
            if call.ended_at > bound and not self._is_excused(call):
                late.append(call)
        if len(late) >= MIN_LATE:
            yield Finding("CONFIG", f"{len(late)} late, first {late[0].request_id}")


def find_log_errors(path):
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


def count_most(moments, seconds):
    """Return the most moments within any span of so many seconds."""
    return max(
        (count_within(moments, moment, moment + seconds) for moment in moments),
        default=0,
    )


def count_within(moments, start, end):
    """Return the number of moments from a start up to an end."""
    return sum(start <= moment < end for moment in moments)


def _is_proper(call, answer):
    proof = b"done " + make_proof(call.request_id, call.length)
    is_signed = "godwitrack-server-signature" in answer.headers
    return is_signed and answer.body == proof

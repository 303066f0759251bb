"""Applies the faults of a plan, each in its own thread so that they can overlap."""

import signal
import threading
import time

from soakplan import FaultKind, PathName
from soakproxy import Direction

# Planned operations, which must not lose an answer by themselves.
MAINTENANCE_KINDS = frozenset(
    (
        FaultKind.NODE_STOP,
        FaultKind.NODE_RELOAD,
        FaultKind.ROUTES_CHANGE,
        FaultKind.TAKE_OUT,
    )
)
# Faults that suspend or end a node's process.
PROCESS_KINDS = frozenset(
    (FaultKind.NODE_KILL, FaultKind.NODE_PAUSE, FaultKind.NODE_STOP)
)
# Step of a VM's clock before a server starts again under its id.
CLOCK_STEP_SECONDS = 2.0
# Routes of a list whose page takes seconds over a narrow link.
MANY_ROUTES = 1200
# Time for which the store is away while it is restored from a copy.
RESTORATION_SECONDS = 0.3
CUT_DIRECTIONS = {
    FaultKind.PATH_CUT_IN: (Direction.TO_TARGET,),
    FaultKind.PATH_CUT_OUT: (Direction.FROM_TARGET,),
    FaultKind.PATH_SILENCE: tuple(Direction),
}


class AppliedFault:
    """A planned fault and the time span in which it was in effect.

    Attributes:
        began_at: Monotonic start in seconds.
        ended_at: Monotonic end in seconds, or None while it lasts.
        fault: PlannedFault.
    """

    __slots__ = ("began_at", "ended_at", "fault")

    def __init__(self, fault):
        self.fault = fault
        self.began_at = time.monotonic()
        self.ended_at = None

    def overlaps(self, start, end):
        """Return whether the fault was in effect at any time between start and end."""
        return self.began_at <= end and (self.ended_at or end) >= start


class FaultRunner:
    """Applies PlannedFaults to a fleet.

    Attributes:
        applied_faults: AppliedFaults so far.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._server_locks = [threading.Lock() for _ in fleet.machines]
        self._actions = {
            FaultKind.NODE_KILL: self._kill_node,
            FaultKind.NODE_PAUSE: self._pause_node,
            FaultKind.NODE_STOP: self._stop_node,
            FaultKind.NODE_RELOAD: self._reload_node,
            FaultKind.PATH_DELAY: self._delay_path,
            FaultKind.PATH_RESET: self._reset_path,
            FaultKind.PATH_CUT_IN: self._cut_path,
            FaultKind.PATH_CUT_OUT: self._cut_path,
            FaultKind.PATH_SILENCE: self._cut_path,
            FaultKind.STORE_AWAY: self._disable_store,
            FaultKind.STORE_LOSES_ANSWERS: self._lose_store_answers,
            FaultKind.STORE_FORGETS: self._compact_store_log,
            FaultKind.ROUTES_CHANGE: self._change_routes,
            FaultKind.TAKE_OUT: self._take_out_data_centre,
            FaultKind.SERVER_LEAVE: self._drain_server,
            FaultKind.SERVER_CRASH: self._crash_server,
            FaultKind.SERVER_CLOCK: self._crash_server,
            FaultKind.SERVER_SLOW: self._slow_server,
            FaultKind.SERVER_BREAKS: self._break_server_answers,
            FaultKind.SERVER_BREAKS_HEADS: self._break_server_heads,
            FaultKind.STORE_RESTORED: self._restore_store,
            FaultKind.REPORT_LATE: self._delay_report,
            FaultKind.SERVER_REBORN: self._bear_server_again,
            FaultKind.STORE_NARROW: self._narrow_store,
        }
        self.applied_faults = []

    def run_plan(self, plan):
        """Apply each fault at its start time and return when all have ended."""
        started = time.monotonic()
        threads = []
        for fault in plan:
            time.sleep(max(started + fault.start_seconds - time.monotonic(), 0.0))
            threads.append(threading.Thread(target=self._apply, args=(fault,)))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def _apply(self, fault):
        machine = self._fleet.machines[fault.node]
        applied = AppliedFault(fault)
        self.applied_faults.append(applied)
        self._actions[fault.kind](fault, machine)
        applied.ended_at = time.monotonic()

    def _kill_node(self, fault, machine):
        machine.kill()
        time.sleep(fault.seconds)
        machine.start()

    def _pause_node(self, fault, machine):
        machine.signal(signal.SIGSTOP)
        time.sleep(fault.seconds)
        machine.signal(signal.SIGCONT)

    def _stop_node(self, fault, machine):
        machine.stop()
        time.sleep(fault.seconds)
        machine.start()

    def _reload_node(self, fault, machine):
        machine.reload()

    def _delay_path(self, fault, machine):
        proxy = machine.paths[fault.path]
        proxy.add_delay(fault.strength)
        time.sleep(fault.seconds)
        proxy.add_delay(-fault.strength)

    def _reset_path(self, fault, machine):
        machine.paths[fault.path].reset()

    def _cut_path(self, fault, machine):
        proxy = machine.paths[fault.path]
        proxy.cut(CUT_DIRECTIONS[fault.kind])
        time.sleep(fault.seconds)
        proxy.restore(CUT_DIRECTIONS[fault.kind])

    def _disable_store(self, fault, machine):
        with self._fleet.store_lock:
            self._fleet.store.is_away = True
            time.sleep(fault.seconds)
            self._fleet.store.is_away = False

    def _lose_store_answers(self, fault, machine):
        with self._fleet.store_lock:
            self._fleet.store.loses_answers = True
            time.sleep(fault.seconds)
            self._fleet.store.loses_answers = False

    def _compact_store_log(self, fault, machine):
        self._fleet.store.compact()

    def _narrow_store(self, fault, machine):
        """Add many routes while all answers of the store share a narrow link."""
        store = self._fleet.store
        store.bytes_per_second = fault.strength
        self._fleet.publish_routes(MANY_ROUTES)
        time.sleep(fault.seconds)
        store.bytes_per_second = None

    def _restore_store(self, fault, machine):
        """Restore the store from a copy; operators' rows are written again at once."""
        with self._fleet.store_lock:
            store = self._fleet.store
            copy = store.copy()
            time.sleep(fault.seconds)
            store.is_away = True
            time.sleep(RESTORATION_SECONDS)
            store.restore(copy, kept_table="op")
            store.is_away = False

    def _change_routes(self, fault, machine):
        self._fleet.publish_routes()

    def _take_out_data_centre(self, fault, machine):
        key = f"evacuate/{machine.spec.data_centre}"
        self._fleet.store.put("op", key, {})
        time.sleep(fault.seconds)
        self._fleet.store.remove("op", key)

    def _drain_server(self, fault, machine):
        with self._server_locks[fault.node]:
            machine.drain_server()
            time.sleep(fault.seconds)
            machine.stop_server()
            machine.start_server()

    def _crash_server(self, fault, machine):
        with self._server_locks[fault.node]:
            machine.stop_server()
            time.sleep(fault.seconds)
            machine.start_server(clock_jump=fault.strength)

    def _delay_report(self, fault, machine):
        """Deliver a report after later ones, and perhaps after its sender has left."""
        server = machine.server
        report = machine.make_report(server)
        time.sleep(fault.seconds)
        machine.deliver_report(server, report)

    def _bear_server_again(self, fault, machine):
        """Start a server under its last id, after its VM's clock went back."""
        with self._server_locks[fault.node]:
            instance = machine.server.instance
            machine.stop_server()
            time.sleep(fault.seconds)
            machine.start_server(clock_jump=-CLOCK_STEP_SECONDS, instance=instance)

    def _slow_server(self, fault, machine):
        server = machine.server
        server.seconds = fault.strength
        time.sleep(fault.seconds)
        server.seconds = 0.0

    def _break_server_answers(self, fault, machine):
        server = machine.server
        server.breaks_answers = True
        time.sleep(fault.seconds)
        server.breaks_answers = False

    def _break_server_heads(self, fault, machine):
        server = machine.server
        server.breaks_heads = True
        time.sleep(fault.seconds)
        server.breaks_heads = False


def may_end_caller_connection(fault, node):
    """Return whether a fault may end a caller's connection to a node."""
    if fault.node != node:
        return False
    return fault.kind in PROCESS_KINDS - {FaultKind.NODE_STOP} or (
        fault.kind.value.startswith("path") and fault.path is PathName.CALLERS
    )

"""Applies the faults of a plan, each in a thread of its own, so that they overlap."""

import signal
import threading
import time

from soakplan import FaultKind, PathName
from soakproxy import Direction

PLANNED_KINDS = frozenset(
    (
        FaultKind.NODE_STOP,
        FaultKind.NODE_RELOAD,
        FaultKind.ROUTES_CHANGE,
        FaultKind.TAKE_OUT,
    )
)
# Faults that hold or end a node's process.
PROCESS_KINDS = frozenset(
    (FaultKind.NODE_KILL, FaultKind.NODE_PAUSE, FaultKind.NODE_STOP)
)
CUTS = {
    FaultKind.PATH_CUT_IN: (Direction.TO_TARGET,),
    FaultKind.PATH_CUT_OUT: (Direction.FROM_TARGET,),
    FaultKind.PATH_SILENCE: tuple(Direction),
}


class Disturbance:
    """A fault that was applied.

    Attributes:
        step: FaultStep.
        began_at: Monotonic time of its begin in seconds.
        ended_at: Monotonic time of its end in seconds, or None while it lasts.
    """

    __slots__ = ("began_at", "ended_at", "step")

    def __init__(self, step):
        self.step = step
        self.began_at = time.monotonic()
        self.ended_at = None

    def touches(self, start, end):
        """Tell whether it lasted at any time of a span."""
        return self.began_at <= end and (self.ended_at or end) >= start


class FaultRunner:
    """Plays FaultSteps on a fleet.

    Attributes:
        disturbances: Disturbances so far.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._locks = [threading.Lock() for _ in fleet.machines]
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
            FaultKind.STORE_AWAY: self._take_store_away,
            FaultKind.STORE_LOSES_ANSWERS: self._lose_answers,
            FaultKind.STORE_FORGETS: self._forget_history,
            FaultKind.ROUTES_CHANGE: self._change_routes,
            FaultKind.TAKE_OUT: self._take_out,
            FaultKind.SERVER_LEAVE: self._leave,
            FaultKind.SERVER_CRASH: self._crash,
            FaultKind.SERVER_CLOCK: self._crash,
            FaultKind.SERVER_SLOW: self._slow_down,
            FaultKind.SERVER_BREAKS: self._break_answers,
        }
        self.disturbances = []

    def play(self, steps):
        """Play all steps at their times and wait until the last one ended."""
        started = time.monotonic()
        threads = []
        for step in steps:
            time.sleep(max(started + step.at - time.monotonic(), 0.0))
            threads.append(threading.Thread(target=self._apply, args=(step,)))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def _apply(self, step):
        machine = self._fleet.machines[step.node]
        disturbance = Disturbance(step)
        self.disturbances.append(disturbance)
        self._actions[step.kind](step, machine)
        disturbance.ended_at = time.monotonic()

    def _kill_node(self, step, machine):
        machine.kill()
        time.sleep(step.seconds)
        machine.start()

    def _pause_node(self, step, machine):
        machine.signal(signal.SIGSTOP)
        time.sleep(step.seconds)
        machine.signal(signal.SIGCONT)

    def _stop_node(self, step, machine):
        machine.stop()
        time.sleep(step.seconds)
        machine.start()

    def _reload_node(self, step, machine):
        machine.reload()

    def _delay_path(self, step, machine):
        proxy = machine.paths[step.path]
        proxy.add_delay(step.strength)
        time.sleep(step.seconds)
        proxy.add_delay(-step.strength)

    def _reset_path(self, step, machine):
        machine.paths[step.path].reset()

    def _cut_path(self, step, machine):
        proxy = machine.paths[step.path]
        proxy.cut(CUTS[step.kind])
        time.sleep(step.seconds)
        proxy.heal(CUTS[step.kind])

    def _take_store_away(self, step, machine):
        with self._fleet.store_lock:
            self._fleet.store.is_away = True
            time.sleep(step.seconds)
            self._fleet.store.is_away = False

    def _lose_answers(self, step, machine):
        with self._fleet.store_lock:
            self._fleet.store.loses_answers = True
            time.sleep(step.seconds)
            self._fleet.store.loses_answers = False

    def _forget_history(self, step, machine):
        self._fleet.store.compact()

    def _change_routes(self, step, machine):
        self._fleet.put_routes()

    def _take_out(self, step, machine):
        key = f"evacuate/{machine.place.data_centre}"
        self._fleet.store.put("op", key, {})
        time.sleep(step.seconds)
        self._fleet.store.remove("op", key)

    def _leave(self, step, machine):
        with self._locks[step.node]:
            machine.leave_server()
            time.sleep(step.seconds)
            machine.end_server()
            machine.start_server()

    def _crash(self, step, machine):
        with self._locks[step.node]:
            machine.end_server()
            time.sleep(step.seconds)
            machine.start_server(clock_jump=step.strength)

    def _slow_down(self, step, machine):
        server = machine.server
        server.seconds = step.strength
        time.sleep(step.seconds)
        server.seconds = 0.0

    def _break_answers(self, step, machine):
        server = machine.server
        server.breaks = True
        time.sleep(step.seconds)
        server.breaks = False


def harms_callers(step, node):
    """Tell whether a fault may end a caller's connection to a node."""
    if step.node != node:
        return False
    return step.kind in PROCESS_KINDS - {FaultKind.NODE_STOP} or (
        step.kind.value.startswith("path") and step.path is PathName.CALLERS
    )

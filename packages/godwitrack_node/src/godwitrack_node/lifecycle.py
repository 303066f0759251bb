"""Lifecycle of the node's backend server: announcements, drain and planned stop."""

import threading

from godwitrack.exceptions import SettingsError
from godwitrack.kernel import Service
from godwitrack.logs import get_logger
from godwitrack.signalflag import SignalFlag
from godwitrack_node.directory import ServerState

MAX_SLOTS = 100_000
POLL_SECONDS = 0.02


class Lifecycle(Service):
    """Processes the backend server's announcements and performs planned stops."""

    name = "lifecycle"

    def __init__(self, clock, executor, identity, settings):
        self._clock = clock
        self._executor = executor
        self._identity = identity
        self._notice_seconds = settings.get_seconds("stop.notice_ms")
        self._stop_timeout_seconds = settings.get_seconds("stop.timeout_ms")
        self._lock = threading.Lock()
        self._state = None
        self._slots = 0
        self._is_stopping = False
        self._immediate_stop = SignalFlag()
        self._guard = None
        self._membership = None
        self._metrics = None
        self._callers = None
        self._log = get_logger("lifecycle")

    def connect(self, kernel):
        """Look up the services used."""
        self._guard = kernel.find("guard")
        self._membership = kernel.find("membership")
        self._metrics = kernel.find("metrics")
        self._callers = kernel.find("callers")

    @property
    def state(self):
        """ServerState that was last announced, or None."""
        return self._state

    @property
    def is_drained(self):
        """Whether the backend server is leaving and has no request in flight."""
        return (
            self._state is ServerState.LEAVING and not self._guard.admission.in_flight
        )

    def announce(self, data):
        """Process an announcement of the backend server.

        Args:
            data: Mapping with "service", "state" (cold, warm or leaving) and "slots",
                the concurrency limit when warm, in requests.

        Raises:
            SettingsError: A field is missing or wrong.
        """
        state, slots = self._parse_announcement(data)
        with self._lock:
            if self._is_stopping:
                return
            previous, self._state = self._state, state
            self._slots = slots
        if state is ServerState.LEAVING:
            if previous is not ServerState.LEAVING:
                self._executor.submit(self._leave)
            return
        self._guard.admission.announce(state is ServerState.COLD, slots)
        if previous is ServerState.LEAVING:
            self._guard.admission.resume()
        self._membership.publish(state, slots)

    def request_immediate_stop(self):
        """End a planned stop without waiting any longer."""
        self._immediate_stop.set()

    def finish_work(self):
        """Publish that the server leaves, and wait for the requests in flight.

        Callers get the notice, too: until it ends, requests are passed on, and each
        answer closes its connection; then further requests are refused.

        Returns:
            Number of requests still in flight when the wait ended.
        """
        with self._lock:
            self._is_stopping = True
            announced, self._state = self._state is not None, ServerState.LEAVING
        self._callers.begin_stop()
        if announced:
            self._leave()
        else:
            self._immediate_stop.wait(self._notice_seconds)
        self._callers.drain()
        deadline = self._clock.read_monotonic() + self._stop_timeout_seconds
        while self._count_in_flight() and not self._immediate_stop.wait(POLL_SECONDS):
            if self._clock.read_monotonic() >= deadline:
                break
        cut = self._count_in_flight()
        self._callers.finish()
        if announced:
            self._membership.publish(ServerState.GONE, self._slots)
            self._immediate_stop.wait(self._notice_seconds / 2)
        return cut

    def _count_in_flight(self):
        return self._guard.admission.in_flight + self._metrics.active

    def _leave(self):
        """Publish the leaving state, give it time to spread, then refuse requests."""
        self._log.info("leaving", server=self._identity.name)
        self._membership.publish(ServerState.LEAVING, self._slots)
        self._immediate_stop.wait(self._notice_seconds)
        if self._state is ServerState.LEAVING:
            self._guard.admission.drain()

    def _parse_announcement(self, data):
        if not isinstance(data, dict):
            raise SettingsError("announcement: expected an object")
        unknown = sorted(set(data) - {"service", "state", "slots"})
        if unknown:
            raise SettingsError(f"announcement: {unknown[0]}: unknown key")
        if data.get("service") != self._identity.service:
            raise SettingsError(
                f"announcement: service: expected {self._identity.service!r}, "
                f"not {data.get('service')!r}"
            )
        names = ("cold", "warm", "leaving")
        if data.get("state") not in names:
            raise SettingsError(
                f"announcement: state: expected one of {', '.join(names)}"
            )
        slots = data.get("slots", self._slots)
        if type(slots) is not int or not 1 <= slots <= MAX_SLOTS:
            raise SettingsError(
                f"announcement: slots: expected a whole number from 1 to {MAX_SLOTS}"
            )
        return ServerState(data["state"]), slots

"""Registration: what the node knows and tells of the backend server beside it."""

import random
import threading

from godwitrack.exceptions import RequestError, StoreError
from godwitrack.feed import FeedTable, RowConflict
from godwitrack.kernel import Service
from godwitrack.logs import get_logger
from godwitrack_node.backoff import (
    FIRST_PAUSE_SECONDS,
    MAX_PAUSE_SECONDS,
    Backoff,
)
from godwitrack_node.hostedrouting import Member
from godwitrack_node.membertable import read_member, write_member
from godwitrack_node.warmuprate import COLD_WINDOW_SECONDS

# Health checks are billed, and reports and answers tell most changes sooner.
HEALTH_SECONDS = 1.0
HEALTH_TIMEOUT_SECONDS = 0.5
SUSPECT_PROBE_SECONDS = 0.25
TICK_SECONDS = 0.05
# Callers wait for the first check after a start, and for one of a suspect server.
HASTY_TICK_SECONDS = 0.01
# Stands for a time so long ago that the next check is due at once.
ASKED_FOR_PROBE = 0.0
MISSED_REPORTS = 3
# A report is to be acknowledged within a second, whether its row was written or not.
ACK_WAIT_SECONDS = 0.6
# What a server says of its cold start is as old as the way of its answer.
COLD_MARGIN_SECONDS = 0.2
# Requests a second for a cold server while no routes tell what it bears.
UNKNOWN_COLD_RATE = 1.0


class Registration(Service):
    """Keeps the state of the backend server and the node's row in the store.

    Attributes:
        instance: Id of the backend server's process, or "".
        is_suspect: Whether its state has to be checked before it gets new work.
    """

    name = "registration"

    def __init__(
        self,
        clock,
        executor,
        store,
        identity,
        own_address,
        address,
        beat,
        cold_tolerance,
    ):
        """Prepare without a backend server.

        Args:
            clock: Clock.
            executor: concurrent.futures.Executor.
            store: FeedStore.
            identity: Identity of the node.
            own_address: "host:port" of the node's own links.
            address: Address of the backend server.
            beat: Seconds between two reports of the backend server.
            cold_tolerance: What it bears when cold, as a multiple of the rate that
                the routes name.
        """
        self._clock = clock
        self._executor = executor
        self._store = store
        self._identity = identity
        self._own_address = own_address
        self._address = str(address)
        self._silent_after = MISSED_REPORTS * beat
        self._cold_tolerance = cold_tolerance
        self._lock = threading.Lock()
        self._changed = threading.Event()
        self._written = threading.Condition()
        self._stopped = threading.Event()
        self._replica = None
        self._routes = None
        self._guard = None
        self._born = -1
        self._sequence = -1
        self._slots = 1
        self._is_leaving = False
        self._left = {}
        self._cold_until = 0.0
        self._heard_at = None
        self._probed_at = ASKED_FOR_PROBE
        self._is_stopping = False
        self._rng = random.Random()
        self._is_hold_decided = False
        self._log = get_logger("registration")
        self.instance = ""
        self.is_suspect = True

    def connect(self, kernel):
        """Find the collaborators."""
        feed_sync = kernel.find("membership")
        self._replica = feed_sync.find_replica(FeedTable.FLEET)
        feed_sync.add_listener(FeedTable.FLEET, self._check_row)
        self._routes = kernel.find("configurations")
        self._routes.add_listener(self._note_taken_out)
        self._guard = kernel.find("guard")

    def start(self):
        """Begin to check the backend server and to write the row."""
        now = self._clock.read_monotonic()
        self._guard.admission.hold_cold(now + COLD_WINDOW_SECONDS)
        self._executor.submit(self._watch)
        self._executor.submit(self._write_rows)

    def stop(self):
        """Check and write nothing more."""
        self._stopped.set()
        self._changed.set()

    @property
    def is_serving(self):
        """Whether the backend server takes new work."""
        return bool(self.instance) and not self._is_leaving and not self._is_stopping

    def find_cold_rate(self):
        """Return the requests a second that it bears now, or None when warm."""
        if self._clock.read_monotonic() >= self._cold_until:
            return None
        limits = self._routes.find_limits(self._identity.service)
        if limits is None:
            return UNKNOWN_COLD_RATE
        return limits.warmup_rate * self._cold_tolerance

    def apply_report(self, report):
        """Take a Report; returns whether it is the newest of its process."""
        with self._lock:
            if (report.born, report.sequence) <= (self._born, self._sequence):
                return False
            if report.service != self._identity.service:
                self._log.warning("report of another service", service=report.service)
                return False
            if report.address != self._address or self._has_left(report):
                return False
            is_new = report.born > self._born
            self._born, self._sequence = report.born, report.sequence
            self._heard_at = self._clock.read_monotonic()
            self._slots = report.slots
            self._set_cold(report.cold_seconds)
            changed = (self.instance, self._is_leaving) != (
                report.instance,
                report.is_leaving,
            )
            self.instance, self._is_leaving = report.instance, report.is_leaving
        self._decide_hold()
        if is_new:
            self.is_suspect = False
        if is_new or changed:
            self._note_change("report", sequence=report.sequence)
            if report.is_leaving:
                self._wait_written()
        self._guard.configure(self._slots, self.find_cold_rate())
        return True

    def apply_leave(self, instance):
        """Note that a process of the backend server leaves for good."""
        with self._lock:
            self._left[instance] = self._clock.read_wall() * 1000
            if instance != self.instance and self.instance:
                return
            self.instance, self._is_leaving = instance, True
        self._note_change("leave")
        self._wait_written()

    def suspect(self, reason):
        """Note that the backend server may have been replaced or turned cold."""
        limits = self._routes.find_limits(self._identity.service)
        if limits is not None:
            self._set_cold(limits.warmup_seconds)
            self._guard.configure(self._slots, self.find_cold_rate())
        self._probed_at = ASKED_FOR_PROBE
        self._log.info("backend server suspected", reason=reason)

    def block(self, reason):
        """Give the backend server no work before a health check passes."""
        self.is_suspect = True
        self.suspect(reason)

    def begin_stop(self):
        """Remove the node's row, so that other nodes send nothing more."""
        self._is_stopping = True
        self._note_change("stop")

    def _has_left(self, report):
        """Tell whether a report is of a process that has said its last word."""
        left_at = self._left.get(report.instance)
        return left_at is not None and report.born <= left_at

    def _set_cold(self, seconds):
        now = self._clock.read_monotonic()
        self._cold_until = now + seconds + COLD_MARGIN_SECONDS if seconds > 0 else 0.0

    def _note_change(self, cause, **values):
        self._log.info(
            "backend server",
            cause=cause,
            instance=self.instance,
            serving=self.is_serving,
            cold_rate=self.find_cold_rate(),
            **values,
        )
        self._changed.set()

    def _note_taken_out(self, before, after):
        own = self._identity.data_centre
        if own in before and own not in after:
            self.block("data centre is back")

    def _wait_written(self):
        """Wait a moment for the row, so that a restart of the node knows it too."""
        with self._written:
            self._written.wait_for(self._is_written, ACK_WAIT_SECONDS)

    def _is_written(self):
        row = self._replica.find(self._own_address)
        if self._is_stopping or row is None:
            return self._is_stopping and row is None
        held = read_member(row)
        return held is not None and held.is_like(self._make_member())

    def _decide_hold(self):
        """Start at once if this node's last process used another server.

        It may have sent as much as a cold server bears just before it ended. Its row
        tells; the own one is written after this. Where it removed its row, it was
        stopped, and perhaps killed before its stop was over.
        """
        if self._is_hold_decided or not self.instance or self._replica.version < 0:
            return
        self._is_hold_decided = True
        row = self._replica.find(self._own_address)
        held = read_member(row) if row is not None else None
        if held is not None and held.instance != self.instance:
            self._guard.admission.hold_cold(0.0)

    def _check_row(self):
        self._decide_hold()
        with self._written:
            self._written.notify_all()
        if not self._is_written():
            self._changed.set()

    def _make_member(self):
        return Member(
            self._own_address,
            self._identity.service,
            self._identity.region,
            self._identity.data_centre,
            self._slots,
            self.is_serving,
            self.instance,
            self._identity.incarnation,
        )

    def _watch(self):
        while not self._stopped.wait(self._find_tick()):
            try:
                self._check_health()
            except Exception:
                self._log.exception("health check failed")

    def _find_tick(self):
        is_hasty = self._probed_at == ASKED_FOR_PROBE
        return HASTY_TICK_SECONDS if is_hasty else TICK_SECONDS

    def _check_health(self):
        now = self._clock.read_monotonic()
        interval = SUSPECT_PROBE_SECONDS if self.is_suspect else HEALTH_SECONDS
        if now - self._probed_at < interval or not self._routes.is_ready:
            return
        self._probed_at = now
        try:
            health = self._guard.check_health(now + HEALTH_TIMEOUT_SECONDS)
        except RequestError as error:
            if not self.is_suspect:
                self.block(f"health check: {error}")
            self._note_silence(now)
            return
        self._take_health(health, now)

    def _take_health(self, health, now):
        if not health.is_healthy:
            return
        if not self.instance and health.slots and health.instance not in self._left:
            self._adopt(health)
        if health.instance != self.instance:
            self.is_suspect = True
            return
        self._heard_at = now
        self._set_cold(health.cold_seconds or 0.0)
        if self.is_suspect:
            self._log.info("backend server is back", instance=self.instance)
        self.is_suspect = False
        self._guard.configure(self._slots, self.find_cold_rate())
        if health.slowness is not None:
            self._guard.record_slowness(health.slowness)

    def _adopt(self, health):
        """Take over a process that is healthy before its next report."""
        instance = health.instance
        row = self._replica.find(self._own_address)
        held = read_member(row) if row is not None else None
        if held is not None and held.instance == instance and not held.is_serving:
            # It began to leave before the node was started again.
            return
        self._slots = health.slots
        self.instance = instance
        self._decide_hold()
        self._note_change("adopted")

    def _note_silence(self, now):
        if not self.instance or self._heard_at is None:
            return
        if now - self._heard_at > self._silent_after:
            self.instance = ""
            self._note_change("silent")

    def _write_rows(self):
        pause = Backoff(self._rng)
        while True:
            self._changed.wait()
            if self._stopped.is_set():
                return
            self._changed.clear()
            if self._replica.version < 0 or self._is_written() or not self.instance:
                self._stopped.wait(FIRST_PAUSE_SECONDS)
                if self._replica.version < 0:
                    self._changed.set()
                continue
            try:
                self._write_row()
                pause.reset()
            except StoreError as error:
                self._log.info("row not written", error=str(error))
                self._stopped.wait(pause.draw())
                self._changed.set()
            except Exception:
                self._log.exception("row not written")
                self._stopped.wait(MAX_PAUSE_SECONDS)
                self._changed.set()

    def _write_row(self):
        row = self._replica.find(self._own_address)
        value = None if self._is_stopping else write_member(self._make_member())
        expected = row.version if row is not None else 0
        try:
            version = self._store.write_row(
                FeedTable.FLEET, self._own_address, value, expected
            )
        except RowConflict as conflict:
            held = conflict.row.value if conflict.row is not None else None
            if held != value:
                raise
            version = conflict.row.version if conflict.row is not None else 0
        self._log.info("row written", version=version, serving=self.is_serving)
        with self._written:
            self._written.notify_all()

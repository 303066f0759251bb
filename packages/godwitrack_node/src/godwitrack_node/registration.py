"""Registration of the backend server: tracks its state and publishes it as a row."""

import threading

from godwitrack.exceptions import RequestError
from godwitrack.feed import FeedTable
from godwitrack.kernel import Service
from godwitrack.logs import get_logger
from godwitrack_node.coldhold import ColdHold
from godwitrack_node.coldperiod import ColdPeriod
from godwitrack_node.healthwatch import HealthWatch
from godwitrack_node.memberrow import MemberRow
from godwitrack_node.membertable import make_member
from godwitrack_node.reportorder import ReportOrder, Verdict
from godwitrack_node.reportproof import ReportProof
from godwitrack_node.rowhistory import RowHistory
from godwitrack_node.serverreports import ReportResult

HEALTH_CHECK_TIMEOUT_SECONDS = 0.5
MAX_MISSED_REPORTS = 3


class Registration(Service):
    """Tracks the state of the backend server and keeps the node's row up to date.

    Attributes:
        instance: Id of the backend server's process, or "" while none is known.
        is_blocked: Whether the server must pass a health check before it gets new
            work. `block` sets this; `suspect` does not.
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
        report_seconds,
        cold_tolerance,
    ):
        """Initialize without a known backend server.

        Args:
            clock: Clock.
            executor: concurrent.futures.Executor.
            store: FeedStore.
            identity: Identity of the node.
            own_address: "host:port" at which other nodes open links to this one.
            address: Address of the backend server.
            report_seconds: Seconds between two reports of the backend server.
            cold_tolerance: Rate that it sustains when cold, as a multiple of the
                warm-up rate in the routes.
        """
        self._clock = clock
        self._identity = identity
        self._own_address = own_address
        self._address = str(address)
        self._silence_timeout = MAX_MISSED_REPORTS * report_seconds
        self._lock = threading.Lock()
        self._row = MemberRow(executor, store, own_address, self._make_member)
        self._health_watch = HealthWatch(
            clock, executor, lambda: self.is_blocked, self._check_health
        )
        self._routes = None
        self._guard = None
        self._order = ReportOrder(report_seconds)
        self._history = RowHistory(self._row, identity)
        self._proof = ReportProof(clock)
        # Start of the process `instance` in Unix milliseconds, or None if not known.
        self._born = None
        self._slots = 1
        self._is_leaving = False
        self._cold_period = ColdPeriod(clock, cold_tolerance)
        self._last_contact_at = None
        # Until the first answer to a health check, a limit that the server named to an
        # earlier process of this node is not known.
        self._was_checked = False
        # Whether the last health check got an answer, of whatever status.
        self._is_answering = False
        self._is_stopping = False
        self._cold_hold = None
        self._log = get_logger("registration")
        self.instance = ""
        self.is_blocked = True

    def connect(self, kernel):
        """Find the collaborators."""
        feed_sync = kernel.find("membership")
        self._row.connect(feed_sync.get_replica(FeedTable.FLEET))
        feed_sync.add_listener(FeedTable.FLEET, self._learn_left)
        # The hold is decided by the row of the last process, before it is written over.
        feed_sync.add_listener(FeedTable.FLEET, self._decide_cold_hold)
        feed_sync.add_listener(FeedTable.FLEET, self._row.check)
        self._routes = kernel.find("configurations")
        self._health_watch.connect(self._routes)
        self._routes.add_listener(self._block_if_brought_back)
        self._guard = kernel.find("guard")
        self._proof.connect(self._guard)
        self._cold_hold = ColdHold(self._clock, self._guard.admission, self._row)

    def start(self):
        """Start checking the backend server and writing the row."""
        self._cold_hold.start()
        self._health_watch.start()
        self._row.start()

    def stop(self):
        """Stop checking the backend server and writing the row."""
        self._health_watch.stop()
        self._row.stop()

    @property
    def is_serving(self):
        """Whether the backend server accepts new work."""
        return bool(self.instance) and not self._is_leaving and not self._is_stopping

    def compute_cold_rate(self):
        """Return the cold server's rate in requests a second, or None if it is warm."""
        service = self._identity.service
        return self._cold_period.compute_rate(self._routes.get_limits(service))

    def apply_report(self, report):
        """Apply a Report of the backend server.

        Returns:
            ReportResult. An outdated report is ignored, and so is one of another
            service or address or of a process that has left. One that may be outdated
            is undecided until a health answer proves it. One that the server leaves is
            in force at once, and undecided until the row says so.
        """
        if report.service != self._identity.service:
            self._log.warning(
                "report for another service ignored", service=report.service
            )
            return ReportResult.IGNORED
        if report.address != self._address:
            return ReportResult.IGNORED
        result = self._accept(report)
        if result is ReportResult.UNDECIDED:
            result = self._prove(report)
        if report.is_leaving:
            return self._confirm_leaving(report.instance, result)
        return result

    def _learn_left(self):
        """Learn from the row that a server process leaves, from before the start."""
        with self._lock:
            stored = self._history.take_left()
            if stored is None:
                return
            self._order.record_left(stored.instance, stored.born)
            if not self.instance:
                self.instance, self._born = stored.instance, stored.born
                self._slots = stored.slots
            if stored.instance == self.instance and stored.born in (None, self._born):
                self._is_leaving = True

    def _prove(self, report):
        """Let a health answer tell whether a report is outdated.

        A process that leaves answers that it is not healthy. A report that it leaves is
        proved before it is acknowledged, another one by the next health check.
        """
        if not report.is_leaving:
            self._proof.postpone(report)
            self._health_watch.request_check()
            return ReportResult.UNDECIDED
        health = self._proof.ask()
        if health is None:
            return ReportResult.UNDECIDED
        if health.is_healthy or health.instance not in ("", report.instance):
            return ReportResult.IGNORED
        return self._accept(report, True)

    def _accept(self, report, is_proved=False):
        """Put a report in force if it is newer than all that is known.

        Args:
            report: Report.
            is_proved: Whether a health answer bore it out.

        Returns:
            ReportResult.
        """
        self._learn_left()
        with self._lock:
            now = self._clock.read_monotonic()
            is_overtaken = not report.is_leaving and not self._proof.is_waiting(report)
            if is_proved and is_overtaken:
                return ReportResult.IGNORED
            # Judged under the lock, as other reports arrive at the same time.
            verdict = self._order.judge(
                report, self.instance, self._history.may_have_left(report.instance), now
            )
            if verdict is Verdict.IGNORE:
                if self._is_leaving and self.instance == report.instance:
                    self._born = self._born or report.born
                return ReportResult.IGNORED
            if verdict is Verdict.PROVE and not is_proved:
                return ReportResult.UNDECIDED
            is_new_process = self._order.is_new_process(report)
            self._order.record(report, now)
            self._proof.forget()
            self._last_contact_at = now
            self._slots = report.slots
            self._cold_period.extend(report.cold_seconds)
            before = (self.instance, self._is_leaving)
            self.instance, self._is_leaving = report.instance, report.is_leaving
            changed = before != (self.instance, self._is_leaving)
            self._born = report.born
        self._decide_cold_hold()
        if report.cold_seconds <= 0 and not self._cold_period.is_over:
            # The report may be from before the server turned cold.
            self._health_watch.request_check()
        if is_new_process and self._was_checked:
            self.is_blocked = False
        if is_new_process or changed:
            self._signal_change("report", sequence=report.sequence)
        self._guard.configure(self._slots, self.compute_cold_rate())
        return ReportResult.APPLIED

    def apply_leave(self, instance, born=None):
        """Record that a process of the backend server leaves for good.

        Args:
            instance: Id of the process.
            born: Its start in Unix milliseconds, or None if it is not named.

        Returns:
            ReportResult. It is in force at once, and undecided until the row says so;
            one of an earlier process under the present one's id is ignored.
        """
        if instance == self.instance and not self._is_leaving:
            if self._proof.is_late_leave(self._order, instance, self._born, born):
                return ReportResult.IGNORED
        if self._mark_left(instance, born):
            self._signal_change("leave")
        return self._confirm_leaving(instance, ReportResult.APPLIED)

    def _confirm_leaving(self, instance, result):
        """Return the result once a kill of this node can't undo it, else UNDECIDED."""
        if instance != self.instance or result is ReportResult.UNDECIDED:
            return result
        # Only a running process says so.
        self._record_answering(True)
        return result if self._row.wait_until_current() else ReportResult.UNDECIDED

    def record_leaving(self, instance):
        """Record that a process of the backend server said that it leaves for good.

        A report that it is ready may arrive later and has no effect.
        """
        is_known = self._order.has_left(instance) and (
            instance != self.instance or self._is_leaving
        )
        if not is_known and self._mark_left(instance):
            self._signal_change("leaving answer")

    def suspect(self, reason):
        """Treat the backend server as cold and request a health check.

        It may have been replaced or have turned cold. Unlike `block`, this does not
        keep new work from it.
        """
        limits = self._routes.get_limits(self._identity.service)
        if limits is not None:
            self._cold_period.extend(limits.warmup_seconds)
            self._guard.configure(self._slots, self.compute_cold_rate())
        self._health_watch.request_check()
        self._log.info("backend server suspected", reason=reason)

    def block(self, reason):
        """Give the backend server no work until a health check passes."""
        self.is_blocked = True
        self.suspect(reason)

    def begin_stop(self):
        """Remove the node's row, so that other nodes send no more requests.

        The row of a server that leaves and still answers stays: the next process of
        this node learns from it that the server leaves. It goes once the server ends.
        """
        self._is_stopping = True
        self._signal_change("stop")

    def _mark_left(self, instance, born=None):
        """Mark a start of a process as gone; return whether it was the present one."""
        with self._lock:
            is_present = instance == self.instance or not self.instance
            # A start that is named, and no other one, never comes back.
            born = self._find_born(instance) if born is None else born
            self._order.record_left(instance, born, self._clock.read_monotonic())
            self._proof.forget()
            if is_present:
                self.instance, self._is_leaving = instance, True
                self._born = born
            return is_present

    def _decide_cold_hold(self):
        if not self._is_leaving:
            self._cold_hold.decide(self.instance)

    def _find_born(self, instance):
        """Return the start of a process, as reported or in the row, or None."""
        is_present = instance == self.instance
        return self._born if is_present else self._history.find_born(instance)

    def _signal_change(self, cause, **values):
        self._log.info(
            "backend server",
            cause=cause,
            instance=self.instance,
            serving=self.is_serving,
            cold_rate=self.compute_cold_rate(),
            **values,
        )
        self._row.request_write()

    def _block_if_brought_back(self, before, after):
        own = self._identity.data_centre
        if own in before and own not in after:
            self.block("data centre is back")

    def _make_member(self):
        """Return the Member that the row should hold, as MemberRow asks for it."""
        if self._is_stopping and not (self._is_leaving and self._is_answering):
            return None
        process = (self._slots, self.is_serving, self.instance, self._born)
        return make_member(self._own_address, self._identity, *process)

    def _check_health(self, now):
        try:
            health = self._guard.check_health(now + HEALTH_CHECK_TIMEOUT_SECONDS)
        except RequestError as error:
            self._record_answering(False)
            if not self.is_blocked:
                self.block(f"health check: {error}")
            self._check_silence(now)
            return
        self._record_answering(True)
        if not self._was_checked:
            self._was_checked = True
            # A report that came before this answer may say better how the server is.
            self.is_blocked = not self._order.has_report
        self._apply_health(health, now)

    def _record_answering(self, is_answering):
        if self._is_answering != is_answering:
            self._is_answering = is_answering
            self._row.request_write()

    def _apply_health(self, health, asked_at):
        if not health.is_healthy:
            return
        report = self._proof.find_proved(health, asked_at)
        # Until the row is read, the process may be one that left.
        if report is not None and self._history.is_known:
            self._accept(report, True)
        self._adopt(health)
        if health.instance != self.instance:
            self.is_blocked = True
            return
        self._last_contact_at = asked_at
        self._cold_period.set(health.cold_seconds or 0.0)
        if self.is_blocked:
            self._log.info("backend server is back", instance=self.instance)
        self.is_blocked = False
        self._guard.configure(self._slots, self.compute_cold_rate())
        if health.slowness is not None:
            self._guard.record_slowness(health.slowness)

    def _adopt(self, health):
        """Adopt a healthy process that has not left, before its next report."""
        instance = health.instance
        self._learn_left()
        with self._lock:
            has_left_place = not self.instance or self._is_leaving
            is_sound = health.slots and self._history.is_known
            if not has_left_place or not is_sound or self._order.has_left(instance):
                return
            self._slots = health.slots
            self._born = self._find_born(instance)
            self.instance, self._is_leaving = instance, False
        self._decide_cold_hold()
        self._signal_change("adopted")

    def _check_silence(self, now):
        with self._lock:
            # What leaves stays known until another process is there.
            is_serving = self.instance and not self._is_leaving
            if not is_serving or self._last_contact_at is None:
                return
            if now - self._last_contact_at <= self._silence_timeout:
                return
            self.instance = ""
        self._signal_change("silent")

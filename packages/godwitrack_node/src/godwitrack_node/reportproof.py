"""Proof, by a health answer, of reports that may be outdated."""

from godwitrack.exceptions import RequestError
from godwitrack.logs import get_logger

PROOF_TIMEOUT_SECONDS = 0.5


class ReportProof:
    """Asks for health answers, and keeps the report that waits for one.

    An answer proves only what came before it was asked for.
    """

    def __init__(self, clock):
        """Create the proof without a report that waits.

        Args:
            clock: Clock.
        """
        self._clock = clock
        self._guard = None
        # The report that waits and the monotonic time in seconds at which it came.
        self._waiting = (None, 0.0)
        self._log = get_logger("registration")

    def connect(self, guard):
        """Use a HostedGuard for the health checks."""
        self._guard = guard

    def postpone(self, report):
        """Let a report wait for the next health answer."""
        self._waiting = (report, self._clock.read_monotonic())

    def forget(self):
        """Let no report wait, as something newer is known."""
        self._waiting = (None, 0.0)

    def is_waiting(self, report):
        """Return whether a report waits for a health answer."""
        return self._waiting[0] is report

    def find_proved(self, health, asked_at):
        """Return the report that a Health proves, or None.

        Args:
            health: Health that says that the server is healthy.
            asked_at: Monotonic time in seconds at which it was asked for.
        """
        report, came_at = self._waiting
        if report is None or report.instance != health.instance or asked_at < came_at:
            return None
        return report

    def is_late_leave(self, order, instance, present_born, born):
        """Return whether a DELETE is of an earlier start under the present id.

        A DELETE that names no start may be late only if an earlier start under the id
        was reported and has not left. Then the present process tells: as it leaves, it
        answers that it is not healthy.

        Args:
            order: ReportOrder.
            instance: Id of the present process.
            present_born: Its start in Unix milliseconds, or None if it is not known.
            born: Start that the DELETE names, or None.
        """
        unfinished = order.list_unfinished(instance, present_born)
        if born is not None and present_born is not None:
            unfinished = {born} - {present_born}
        if not unfinished:
            return False
        health = self.ask()
        if health is None or not health.is_healthy or health.instance != instance:
            return False
        for start in unfinished:
            order.record_left(instance, start)
        self._log.info("late deregistration ignored", instance=instance)
        return True

    def ask(self):
        """Return the Health of the backend server, or None without an answer."""
        now = self._clock.read_monotonic()
        try:
            return self._guard.check_health(now + PROOF_TIMEOUT_SECONDS)
        except RequestError as error:
            self._log.info("report not proved", error=str(error))
            return None

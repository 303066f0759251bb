"""The order of what is heard of the backend server's processes, by when it was true.

Load pattern: backend servers that end and start again within seconds, while their
reports arrive seconds late and the clock that dates their starts is stepped back. A
later start has a later date as a rule, and the same process counts its reports. What
neither settles has to be proved by a health answer, which is never late.
"""

import enum
import math

# Reports that the present process must have missed before one of an earlier date can
# be that of a later start.
MISSED_REPORTS = 2


class Verdict(enum.Enum):
    """What to do with a report.

    Attributes:
        APPLY: It is newer than all that is known.
        IGNORE: It is outdated, or of a process that has left.
        PROVE: It may be either; a health answer tells.
    """

    APPLY = "apply"
    IGNORE = "ignore"
    PROVE = "prove"


class ReportOrder:
    """Decides which reports are newer than what is known.

    Attributes:
        has_report: Whether a report was applied.
    """

    def __init__(self, report_seconds):
        """Create an order that knows no process.

        Args:
            report_seconds: Seconds between two reports of a process.
        """
        self._max_silence_seconds = MISSED_REPORTS * report_seconds
        self._latest = None
        self._reported_at = 0.0
        # The starts that have left under each id.
        self._left = {}
        # When a start that is not known left under an id.
        self._unknown_left_at = {}
        # The starts under each id whose reports were applied.
        self._started = {}

    @property
    def has_report(self):
        """Whether a report was applied."""
        return self._latest is not None

    def has_left(self, instance):
        """Return whether a process with this id has said that it leaves."""
        return instance in self._left or instance in self._unknown_left_at

    def is_new_process(self, report):
        """Return whether a report is of another process than the last one applied."""
        return self._latest is None or not _is_same_process(report, self._latest)

    def judge(self, report, present, may_have_left, now):
        """Return the Verdict on a report.

        Args:
            report: Report.
            present: Id of the process that is taken for the present one, or "".
            may_have_left: Whether the process may have left before this node started.
            now: Monotonic time in seconds.
        """
        if self._is_of_left_start(report, now):
            return Verdict.IGNORE
        if self._latest is None:
            may_have_left |= self.has_left(report.instance)
            is_proved = report.is_leaving or not may_have_left
            return Verdict.APPLY if is_proved else Verdict.PROVE
        if _is_same_process(report, self._latest):
            is_newer = report.sequence > self._latest.sequence
            return Verdict.APPLY if is_newer else Verdict.IGNORE
        if report.instance in self._unknown_left_at and not report.is_leaving:
            return Verdict.PROVE
        if report.born > self._latest.born:
            return Verdict.APPLY
        # An earlier process, or a later one that started after a step of the clock.
        if report.is_leaving:
            is_present = report.instance == present
            return Verdict.PROVE if is_present else Verdict.IGNORE
        is_silent = now - self._reported_at > self._max_silence_seconds
        return Verdict.PROVE if is_silent else Verdict.IGNORE

    def record(self, report, now):
        """Record that a report is applied at a monotonic time in seconds."""
        self._latest = report
        self._reported_at = now
        self._started.setdefault(report.instance, set()).add(report.born)
        # The start that left under this id, if unknown, was not this one.
        self._unknown_left_at.pop(report.instance, None)
        if report.is_leaving:
            self.record_left(report.instance, report.born)

    def list_unfinished(self, instance, present_born):
        """Return the earlier starts under an id that have not said that they leave.

        Args:
            instance: Id of the present process.
            present_born: Start of the present process in Unix milliseconds, or None.
        """
        started = self._started.get(instance, set())
        return started - self._left.get(instance, set()) - {present_born}

    def record_left(self, instance, born, now=-math.inf):
        """Record that a process leaves: that start of it never comes back.

        Args:
            instance: Id of the process.
            born: Its start in Unix milliseconds, or None if it is not known.
            now: Monotonic time in seconds; by default, it left at some earlier time.
        """
        if born is None:
            self._unknown_left_at[instance] = now
        else:
            self._left.setdefault(instance, set()).add(born)

    def _is_of_left_start(self, report, now):
        """Return whether the start of a report's process has left.

        A process serves on for a while after it said that it leaves, so that a report
        under its id in that time is its own and names its start.
        """
        left_at = self._unknown_left_at.get(report.instance)
        if left_at is not None and now - left_at <= self._max_silence_seconds:
            del self._unknown_left_at[report.instance]
            self.record_left(report.instance, report.born)
        return report.born in self._left.get(report.instance, ())


def _is_same_process(report, other):
    return (report.instance, report.born) == (other.instance, other.born)

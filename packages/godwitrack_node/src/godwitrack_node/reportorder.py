"""The order of what is heard of the backend server's processes, by when it was true.

Load pattern: backend servers that end and start again within seconds, while their
reports arrive seconds late and the clock that dates their starts is stepped back. A
later start has a later date as a rule, and the same process counts its reports. What
neither settles has to be proved by a health answer, which is never late.
"""

import enum

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


class LeftProcess:
    """A process that has left for good.

    Attributes:
        born: Its start in Unix milliseconds, or None if it never reported.
        left_at_ms: Unix milliseconds at which it left.
    """

    __slots__ = ("born", "left_at_ms")

    def __init__(self, born, left_at_ms):
        self.born = born
        self.left_at_ms = left_at_ms


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
        self._left = {}

    @property
    def has_report(self):
        """Whether a report was applied."""
        return self._latest is not None

    def has_left(self, instance):
        """Return whether a process with this id has left for good."""
        return instance in self._left

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
        if self._is_of_left_process(report):
            return Verdict.IGNORE
        if self._latest is None:
            is_proved = report.is_leaving or not may_have_left
            return Verdict.APPLY if is_proved else Verdict.PROVE
        if _is_same_process(report, self._latest):
            is_newer = report.sequence > self._latest.sequence
            return Verdict.APPLY if is_newer else Verdict.IGNORE
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

    def record_left(self, instance, present, now_ms):
        """Record that a process has left for good.

        Args:
            instance: Id of the process.
            present: Id of the process that is taken for the present one, or "".
            now_ms: Time of day in Unix milliseconds.
        """
        latest = self._latest
        is_born_known = latest is not None and instance == present == latest.instance
        born = latest.born if is_born_known else None
        self._left[instance] = LeftProcess(born, now_ms)

    def _is_of_left_process(self, report):
        """Return whether the process of a report has left for good.

        A process that starts later under the same id has not left.
        """
        left = self._left.get(report.instance)
        if left is None:
            return False
        if left.born is None:
            return report.born <= left.left_at_ms
        return report.born == left.born


def _is_same_process(report, other):
    return (report.instance, report.born) == (other.instance, other.born)

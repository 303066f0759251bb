"""The hold on a cold backend server after a start of the node."""

from godwitrack_node.warmuprate import COLD_WINDOW_SECONDS


class ColdHold:
    """Holds a cold backend server for one rate window, unless it is a new one.

    The last process of this node may have sent a cold server its full rate just before
    it ended. The row that it left names its server. If the row was removed, the last
    process was stopped, and perhaps killed before its stop was over; then the hold
    stays.
    """

    def __init__(self, clock, admission, row):
        """Create the hold without starting it.

        Args:
            clock: Clock.
            admission: HostedAdmission.
            row: MemberRow.
        """
        self._clock = clock
        self._admission = admission
        self._row = row
        self._is_decided = False

    def start(self):
        """Hold cold starts from now on."""
        now = self._clock.read_monotonic()
        self._admission.hold_cold_starts(now + COLD_WINDOW_SECONDS)

    def decide(self, instance):
        """End the hold if the last node process used another server process.

        This process writes the row over only after this.

        Args:
            instance: Id of the present process, or "" while none is known.
        """
        if self._is_decided or not instance or not self._row.is_known:
            return
        self._is_decided = True
        stored = self._row.find_stored()
        if stored is not None and stored.instance != instance:
            self._admission.hold_cold_starts(0.0)

"""Checks whether other nodes can be reached, apart from callers' requests."""

PROBE_INTERVAL_SECONDS = 0.25


class ReachabilityChecks:
    """Checks nodes that could not be reached, or did not answer in a short time."""

    def __init__(self, clock, executor):
        """Create the checks; `connect` starts them.

        Args:
            clock: Clock.
            executor: concurrent.futures.Executor.
        """
        self._clock = clock
        self._executor = executor
        self._member_table = None
        self._feed_sync = None

    def connect(self, kernel):
        """Find the collaborators, and probe unreachable nodes from now on."""
        self._member_table = kernel.find("member-table")
        self._feed_sync = kernel.find("membership")
        kernel.find("scheduler").add(PROBE_INTERVAL_SECONDS, self._probe_unreachable)

    def start_check(self, view):
        """Start to check whether a node can be reached, unless a check is running.

        The link is kept for later requests. The check also gives the node this
        node's address, so that a node without routes can request them from here.

        Args:
            view: MemberView of the node.
        """
        if view.is_being_checked:
            return
        view.is_being_checked = True
        try:
            self._executor.submit(self._check, view)
        except RuntimeError:
            # No thread can be started now; the next request asks again.
            view.is_being_checked = False

    def _check(self, view):
        try:
            if not self._feed_sync.can_reach(view.member.address):
                view.mark_down(self._clock.read_monotonic())
        finally:
            view.is_being_checked = False

    def _probe_unreachable(self):
        """Start a probe of each unreachable node whose pause is over."""
        now = self._clock.read_monotonic()
        for member in self._member_table.list_members():
            view = self._member_table.get_view(member.address)
            if view is not None and view.is_probe_due(now):
                view.mark_down(now)
                self._executor.submit(self._probe, view)

    def _probe(self, view):
        if self._feed_sync.can_reach(view.member.address):
            view.mark_up()

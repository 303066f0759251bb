"""State of one request at the entry of a hosted node."""

from godwitrack_node.silentattempts import SilentAttempts


class HostedEntryRequest:
    """State of one request from its arrival until its answer.

    Attributes:
        request_id: Id that the caller gave, else one that the node made.
        attempt_prefix: Prefix of the ids of its attempts.
        method: HTTP method.
        target: Path and query as sent.
        path: Path without the query.
        is_nested: Whether a request that runs at the node's own backend server made
            it and waits for it.
        is_repeat: Whether that request may have run before, so that this one may be
            a repeat too.
        received_at: Monotonic time of its arrival in seconds.
        deadline: Monotonic time at which the attempts end, in seconds.
        caller_deadline: Monotonic time until which the caller waits, in seconds.
        prior_wait: Seconds between the caller's first try and this arrival.
        route: HostRoute, or None.
        service: Name of the service that runs it, or "".
        retry_rule: HostedRetryRule, or None.
        slow_members: Members by address that refused it because they were slow.
        silent_attempts: SilentAttempts.
        server: Address of the member tried last, or "".
        load_age_ms: Age of that member's load report when it was chosen, or None.
        status: HTTP status sent to the caller, or 0.
        kind: ErrorKind sent to the caller, or None.
        revision: Revision of the route table that it was routed by.
    """

    __slots__ = (
        "attempt_prefix",
        "caller_deadline",
        "deadline",
        "is_nested",
        "is_repeat",
        "kind",
        "load_age_ms",
        "method",
        "path",
        "prior_wait",
        "received_at",
        "request_id",
        "retry_rule",
        "revision",
        "route",
        "server",
        "service",
        "silent_attempts",
        "slow_members",
        "status",
        "target",
    )

    customer = ""
    depth = 1

    def __init__(self, request_id, attempt_prefix, request, is_nested, is_repeat, now):
        self.request_id = request_id
        self.attempt_prefix = attempt_prefix
        self.method = request.method
        self.target = request.target
        self.path = request.target.partition("?")[0]
        self.is_nested = is_nested
        self.is_repeat = is_repeat
        self.received_at = now
        self.deadline = now
        self.caller_deadline = now
        self.prior_wait = 0.0
        self.route = None
        self.service = ""
        self.retry_rule = None
        self.slow_members = {}
        self.silent_attempts = SilentAttempts()
        self.server = ""
        self.load_age_ms = None
        self.status = 0
        self.kind = None
        self.revision = 0

    def compute_total_wait(self, now):
        """Return the seconds for which the caller has waited since its first try."""
        return self.prior_wait + now - self.received_at

    def can_take_over_from_slow_member(self, view):
        """Return whether a MemberView's member can take over from a slow member.

        Args:
            view: MemberView, or None, which can take over from no member.
        """
        return view is not None and any(
            view.member.can_take_over_from(member, self.route)
            for member in self.slow_members.values()
        )

    @property
    def attempts(self):
        """Number of attempts made."""
        return self.retry_rule.attempts if self.retry_rule is not None else 0

    @property
    def request_class(self):
        """Name of the route, which groups requests in metrics and logs."""
        return self.route.name if self.route is not None else ""

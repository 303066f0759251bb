"""What the entry of host routes knows of one request while it works on it."""


class HostedEntryRequest:
    """What the entry knows of one request while it works on it.

    Attributes:
        request_id: Id of the request; the caller's own where it gave one.
        attempt_prefix: Text that begins the id of each attempt.
        method: HTTP method.
        target: Path and query as sent.
        path: Path without the query.
        is_nested: Whether a request that runs at the own backend server waits for it.
        is_repeat: Whether that run is a repeated one, so that this is a repeat as well.
        received_at: Monotonic time of its arrival in seconds.
        deadline: Monotonic time in seconds.
        caller_deadline: Monotonic time until which the caller waits, in seconds.
        waited: Seconds for which the caller had waited before it arrived.
        route: HostRoute, or None.
        service: Name of the service that it goes to, or "".
        rule: HostedRetryRule, or None.
        left: Members by address that it left since they were slow at the moment.
        server: Address of the member tried last, or "".
        load_age_ms: Age of the load that placed it there, or None.
        status: HTTP status given to the caller, or 0.
        kind: ErrorKind given to the caller, or None.
        revision: Revision of the routes that decided.
    """

    __slots__ = (
        "attempt_prefix",
        "caller_deadline",
        "deadline",
        "is_nested",
        "is_repeat",
        "kind",
        "left",
        "load_age_ms",
        "method",
        "path",
        "received_at",
        "request_id",
        "revision",
        "route",
        "rule",
        "server",
        "service",
        "status",
        "target",
        "waited",
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
        self.waited = 0.0
        self.route = None
        self.service = ""
        self.rule = None
        self.left = {}
        self.server = ""
        self.load_age_ms = None
        self.status = 0
        self.kind = None
        self.revision = 0

    def find_waited(self, now):
        """Return the seconds for which the caller has waited since its first try."""
        return self.waited + now - self.received_at

    def is_beside_left(self, view):
        """Tell whether a MemberView, or None, is beside one of the members left."""
        return view is not None and any(
            view.member.is_beside(member, self.route) for member in self.left.values()
        )

    @property
    def attempts(self):
        """Attempts made."""
        return self.rule.attempts if self.rule is not None else 0

    @property
    def request_class(self):
        """Name of the route, which groups requests in metrics and logs."""
        return self.route.name if self.route is not None else ""

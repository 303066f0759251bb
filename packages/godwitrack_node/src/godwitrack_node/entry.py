"""The entry: authenticates and routes a caller's request and makes its attempts."""

from godwitrack.callmessages import Call
from godwitrack.exceptions import CallerDisconnected, ErrorKind, RequestError
from godwitrack.numbers import parse_whole_number
from godwitrack_node.attempt import LocalAttempt, RemoteAttempt
from godwitrack_node.attempterrors import SilentNode
from godwitrack_node.bodystreams import CallerSink, CallerSource, read_first_part
from godwitrack_node.callhandler import CallHandler
from godwitrack_node.context import (
    CONTEXT_HEADER,
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
)
from godwitrack_node.httpserver import DEFAULT_LIMITS, HOP_HEADERS
from godwitrack_node.overcapacity import OverCapacityCache
from godwitrack_node.retries import (
    RECONNECT_PAUSE_SECONDS,
    RetryBudget,
    RetryRule,
)
from godwitrack_node.silentattempts import SilentAttempts

DROP_HEADERS = HOP_HEADERS | {
    "authorization",
    "host",
    CONTEXT_HEADER.lower(),
    DEADLINE_HEADER.lower(),
    REQUEST_ID_HEADER.lower(),
}


class EntryRequest:
    """State of one request from its arrival until its answer.

    Attributes:
        request_id: Id of the request.
        customer: Name of the customer, or "" before it is known.
        request_class: Name of its RequestClass, or "".
        service: Name of the service.
        method: HTTP method.
        path: Path within the service, without the query.
        target: Path within the service, with the query.
        idempotent: Whether it may run more than once.
        regions: Regions that may serve it, a frozenset.
        deadline: Monotonic time in seconds.
        depth: Position in the chain of calls; 1 for a request from outside.
        retry_rule: RetryRule of this request.
        server: Name of the server tried last, or "".
        status: HTTP status sent to the caller, or 0.
        kind: ErrorKind sent to the caller, or None.
        received_at: Monotonic time of its arrival in seconds.
    """

    __slots__ = (
        "customer",
        "deadline",
        "depth",
        "idempotent",
        "kind",
        "method",
        "path",
        "received_at",
        "regions",
        "request_class",
        "request_id",
        "retry_rule",
        "server",
        "service",
        "status",
        "target",
    )

    def __init__(self, request_id, request, now):
        self.request_id = request_id
        self.method = request.method
        self.service, self.target = _split_target(request.target)
        self.path = self.target.partition("?")[0]
        self.received_at = now
        self.customer = ""
        self.request_class = ""
        self.idempotent = False
        self.regions = frozenset()
        self.deadline = now
        self.depth = 1
        self.retry_rule = RetryRule(None, False, 0)
        self.server = ""
        self.status = 0
        self.kind = None

    @property
    def attempts(self):
        """Number of attempts made."""
        return self.retry_rule.attempts


class Entry(CallHandler):
    """Authenticates each request, finds its plan and route, and makes the attempts."""

    def __init__(self, clock, identity, settings, signer):
        self._clock = clock
        self._identity = identity
        self._signer = signer
        self._max_body = settings.get("requests.max_body_bytes")
        self._default_deadline = settings.get_seconds("requests.default_deadline_ms")
        self._max_deadline = settings.get_seconds("requests.max_deadline_ms")
        self._max_depth = settings.get("requests.max_depth")
        self._silence_timeout = settings.get_seconds("links.silence_ms")
        self._configurations = None
        self._router = None
        self._pool = None
        self._pacer = None
        self._guard = None
        self._over_capacity = OverCapacityCache(clock)
        self.retry_budget = RetryBudget()

    def connect(self, kernel):
        """Find the collaborators."""
        self._configurations = kernel.find("configurations")
        self._router = kernel.find("router")
        self._pool = kernel.find("link-pool")
        self._pacer = kernel.find("regional-pacer")
        self._guard = kernel.find("guard")

    @property
    def limits(self):
        """CallerLimits, which are fixed for a stand-alone node."""
        return DEFAULT_LIMITS

    def begin(self, request):
        """Return the EntryRequest of a request that just arrived."""
        now = self._clock.read_monotonic()
        return EntryRequest(self._identity.make_request_id(), request, now)

    def handle(self, entry_request, request, connection):
        """Serve a request; see CallHandler.handle."""
        context = self._read_context(request)
        if context is None:
            self._handle(entry_request, request, connection, None)
            return
        with self._guard.track_nested(context.request_id):
            self._handle(entry_request, request, connection, context)

    def _handle(self, entry_request, request, connection, context):
        self._classify(entry_request, request, context)
        if request.length > self._max_body:
            raise RequestError(ErrorKind.BODY_TOO_LARGE)
        source = CallerSource(connection, self._max_body)
        body, more = read_first_part(source, request)
        # The body may have taken until the node began to refuse requests.
        self.check_accepting()
        source.check_sender()
        source.is_consumed = False
        sink = CallerSink(
            connection,
            request,
            (REQUEST_ID_HEADER, entry_request.request_id),
            entry_request.retry_rule.may_replace,
        )
        self._make_attempts(entry_request, request, source, sink, body, more)
        entry_request.status = sink.status

    def _make_attempts(self, entry_request, request, source, sink, body, more):
        """Make attempts until one gets an answer or no further one is allowed."""
        silent = SilentAttempts()
        arguments = (entry_request, request, source, sink, body, more, silent)
        silent.run(lambda: self._try_servers(*arguments), sink, self._record_load)

    def _try_servers(self, entry_request, request, source, sink, body, more, silent):
        """Try one server after the other, and add attempts at silent ones to `silent`.

        Raises:
            RequestError: No attempt got an answer, and no further one is allowed.
        """
        tried = set()
        uncertain_error = None
        previous_error = None
        while True:
            try:
                over_capacity = self._over_capacity.list_servers(entry_request.customer)
                view = self._router.choose(
                    entry_request.service, entry_request.regions, tried, over_capacity
                )
                call = self._make_call(entry_request, request, view.record, body, more)
                tried.add(view.record.name)
                self._attempt(entry_request, view, call, source, sink)
                break
            except RequestError as error:
                # The traceback would keep this frame, and so the body, until the
                # garbage collector runs.
                error.with_traceback(None)
                if isinstance(error, SilentNode):
                    silent.add(view, error.attempt)
                if not error.answer.not_run:
                    uncertain_error = uncertain_error or error
                if self._may_retry_tried_servers(entry_request, error, previous_error):
                    tried.clear()
                    self._clock.sleep(RECONNECT_PAUSE_SECONDS)
                    continue
                if not self._may_retry(entry_request, error, source, sink):
                    if not sink.is_started and sink.send_held():
                        break
                    # After an attempt that may have run, a later refusal must not
                    # tell the caller that the request did not run.
                    raise uncertain_error or self._choose_error(
                        previous_error, error
                    ) from None
                previous_error = error
        if entry_request.attempts == 1:
            self.retry_budget.deposit()

    def _choose_error(self, previous_error, error):
        """Return the previous attempt's error if no other server is left."""
        if previous_error is not None and error.kind is ErrorKind.NO_SERVER:
            return previous_error
        return error

    def _attempt(self, entry_request, view, call, source, sink):
        """Make one attempt and update the server's view by its result."""
        entry_request.retry_rule.attempts += 1
        entry_request.server = view.record.name
        started = self._clock.read_monotonic()
        view.record_sent(started)
        try:
            load = self._create_attempt(view, call).run(call, source, sink)
        except RequestError as error:
            now = self._clock.read_monotonic()
            if error.answer.not_run and error.kind is not ErrorKind.BACKEND_UNREACHABLE:
                view.record_refusal(started)
            else:
                view.record_failure(now - started, now)
            raise
        except CallerDisconnected:
            view.record_refusal(started)
            raise
        except Exception:
            now = self._clock.read_monotonic()
            view.record_failure(now - started, now)
            raise
        now = self._clock.read_monotonic()
        if sink.status >= 500:
            view.record_failure(now - started, now)
        else:
            view.record_answer(now - started, now)
        self._record_load(view, load)

    def _create_attempt(self, view, call):
        if view.record.name == self._identity.name:
            return LocalAttempt(self._guard)
        silence_timeout = self._silence_timeout
        if call.idempotent:
            silence_timeout = view.compute_silence_timeout(silence_timeout)
        return RemoteAttempt(
            self._clock,
            self._pool,
            view.record.address,
            silence_timeout,
            lambda load: self._record_load(view, load),
            self._pacer if self._is_regional(view.record) else None,
        )

    def _is_regional(self, record):
        return record.region != self._identity.region

    def _record_load(self, view, load):
        if load is None:
            return
        view.record_load(load, self._clock.read_monotonic())
        if load.revision > self._configurations.current.revision:
            self._configurations.hint(view.record.address)

    def _may_retry_tried_servers(self, entry_request, error, previous_error):
        """Return whether servers that were tried may be tried again after a pause."""
        if error.kind is not ErrorKind.NO_SERVER:
            return False
        if (
            entry_request.deadline
            <= self._clock.read_monotonic() + RECONNECT_PAUSE_SECONDS
        ):
            return False
        return entry_request.retry_rule.allows_restart(previous_error)

    def _may_retry(self, entry_request, error, source, sink):
        if sink.is_started or source.is_consumed:
            return False
        if entry_request.deadline <= self._clock.read_monotonic():
            return False
        if error.kind is ErrorKind.OVER_CAPACITY:
            self._over_capacity.record(entry_request.customer, entry_request.server)
        return entry_request.retry_rule.allows(error)

    def _make_call(self, entry_request, request, record, body, more):
        remaining = entry_request.deadline - self._clock.read_monotonic()
        if remaining <= 0:
            raise RequestError(ErrorKind.DEADLINE_EXPIRED)
        return Call(
            f"{entry_request.request_id}.{entry_request.attempts}",
            record.incarnation,
            self._configurations.current.revision,
            entry_request.customer,
            entry_request.request_class,
            entry_request.service,
            entry_request.method,
            entry_request.target,
            [list(item) for item in request.headers if item[0] not in DROP_HEADERS],
            entry_request.idempotent,
            sorted(entry_request.regions),
            remaining * 1000.0,
            entry_request.depth,
            entry_request.retry_rule.retries_left,
            self._is_regional(record),
            request.length,
            body,
            more,
        )

    def _classify(self, entry_request, request, context):
        """Set the customer, route, regions and deadline of a request."""
        configuration = self._configurations.read()
        customer = self._find_customer(configuration, context, request)
        entry_request.customer = customer.name
        plan = configuration.find_plan(customer)
        route = plan.find_route(
            entry_request.service, entry_request.method, entry_request.path
        )
        if route is None:
            raise RequestError(ErrorKind.NOT_ALLOWED)
        entry_request.request_class = route.request_class.value
        entry_request.idempotent = route.idempotent
        entry_request.retry_rule = RetryRule(
            self.retry_budget, route.idempotent, route.max_retries
        )
        entry_request.regions = plan.find_regions(route)
        entry_request.deadline = entry_request.received_at + self._read_deadline(
            request
        )
        if context is not None:
            self._apply_outer_limits(entry_request, context)
        if self._identity.region not in entry_request.regions:
            raise RequestError(ErrorKind.WRONG_REGION)

    def _apply_outer_limits(self, entry_request, context):
        """Limit a nested call to the outer request's deadline, retries and regions."""
        entry_request.deadline = min(entry_request.deadline, context.deadline)
        entry_request.depth = context.depth + 1
        rule = entry_request.retry_rule
        rule.retries_left = min(rule.retries_left, context.retries_left)
        entry_request.regions &= frozenset(context.regions)
        if entry_request.depth > self._max_depth:
            raise RequestError(ErrorKind.TOO_DEEP)

    def _read_context(self, request):
        value = request.get(CONTEXT_HEADER.lower())
        return self._signer.read(value) if value else None

    def _find_customer(self, configuration, context, request):
        if context is not None:
            customer = configuration.customers_by_name.get(context.customer)
        else:
            scheme, _, key = request.get("authorization").partition(" ")
            customer = None
            if scheme.lower() == "bearer":
                customer = configuration.find_customer(key.strip())
        if customer is None:
            raise RequestError(ErrorKind.UNAUTHENTICATED)
        return customer

    def _read_deadline(self, request):
        """Return the seconds allowed for a request, from its header or the default."""
        text = request.get(DEADLINE_HEADER.lower())
        if not text:
            return self._default_deadline
        deadline_ms = parse_whole_number(text)
        if not deadline_ms:
            raise RequestError(
                ErrorKind.BAD_REQUEST, f"{DEADLINE_HEADER} is no number of ms"
            )
        return min(deadline_ms / 1000.0, self._max_deadline)


def _split_target(target):
    """Return service and rest of a target such as "/scenbok/scenes/7"."""
    service, slash, rest = target.lstrip("/").partition("/")
    if "?" in service:
        service, _, query = service.partition("?")
        return service, f"/?{query}"
    return service, f"/{rest}" if slash else "/"

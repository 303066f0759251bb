"""The entry of a hosted node: routes a caller's request and makes its attempts."""

from godwitrack.bytebudget import ByteBudget
from godwitrack.callmessages import RoutedCall
from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack.logs import get_logger
from godwitrack_node.attempt import LocalAttempt, RemoteAttempt
from godwitrack_node.attempterrors import NoTimeToConnect, RefusedByNode, SilentNode
from godwitrack_node.bodystreams import CallerSink, CallerSource, read_first_part
from godwitrack_node.callhandler import CallHandler
from godwitrack_node.hostedadmissionrequest import LATE_SHARE
from godwitrack_node.hostedentryrequest import HostedEntryRequest
from godwitrack_node.hostedretries import HostedRetryRule, is_refusal
from godwitrack_node.reachability import ReachabilityChecks
from godwitrack_node.refusedcallers import CallerKey, RefusedCallers
from godwitrack_node.retryafter import RetryAfterChooser
from godwitrack_node.silencetimeout import compute_silence_timeout
from godwitrack_node.splitting import SplitChooser

DEFAULT_TIMEOUT_SECONDS = 30.0
BUFFERED_BODY_BYTES = 2**20
# Time after the deadline in which the guard's final answer may still arrive.
GRACE_SECONDS = 0.12
# Allows three round trips between regions and a busy node at each end.
QUERY_TIMEOUT_SECONDS = 0.5
# A server that refuses requests until its next health check has it within this time.
REFUSAL_PAUSE_SECONDS = 0.3
# A part of the memory that a node may use.
HELD_ANSWERS_BYTES = 24 * 2**20
UNAVAILABLE_KINDS = frozenset((ErrorKind.STOPPING, ErrorKind.STALE_INCARNATION))


class HostedEntry(CallHandler):
    """Finds the route of each request and makes the attempts."""

    def __init__(self, clock, executor, identity, protocol, chooser, retry_budget):
        """Create an entry; `connect` must follow before it handles requests.

        Args:
            clock: Clock.
            executor: concurrent.futures.Executor.
            identity: Identity of the node.
            protocol: HostedCallerProtocol.
            chooser: HostedServerChooser.
            retry_budget: HostedRetryBudget.
        """
        self._clock = clock
        self._reachability = ReachabilityChecks(clock, executor)
        self._identity = identity
        self._protocol = protocol
        self._chooser = chooser
        self._retry_budget = retry_budget
        self._split_chooser = SplitChooser()
        self._retry_after_chooser = RetryAfterChooser()
        self._refused_callers = RefusedCallers(clock)
        self._held_answers = ByteBudget(HELD_ANSWERS_BYTES)
        self._routes = None
        self._member_table = None
        self._pool = None
        self._pacer = None
        self._guard = None
        self._feed_sync = None
        self._own_address = ""
        self._log = get_logger("entry")

    def connect(self, kernel):
        """Find the collaborators."""
        self._routes = kernel.find("configurations")
        self._member_table = kernel.find("member-table")
        self._pool = kernel.find("link-pool")
        self._pacer = kernel.find("regional-pacer")
        self._guard = kernel.find("guard")
        self._feed_sync = kernel.find("membership")
        self._own_address = kernel.find("link-server").advertised
        self._reachability.connect(kernel)

    @property
    def limits(self):
        """CallerLimits of the routes in force."""
        return self._routes.limits

    def begin(self, request):
        """Return the HostedEntryRequest of a request that just arrived."""
        now = self._clock.read_monotonic()
        prefix = self._identity.make_request_id()
        request_id = self._protocol.read_request_id(request) or prefix
        parent = self._protocol.read_parent_id(request)
        is_nested = bool(parent) and self._guard.is_running(parent)
        is_repeat = is_nested and self._guard.may_have_run_before(parent)
        return HostedEntryRequest(
            request_id, prefix, request, is_nested, is_repeat, now
        )

    def handle(self, entry_request, request, connection):
        """Serve a request; see CallHandler.handle."""
        self._classify(entry_request, request)
        key = _make_key(entry_request, request, connection)
        if not entry_request.is_nested:
            entry_request.prior_wait = self._refused_callers.pop_waited_seconds(key)
        limits = self._routes.limits
        if request.length > limits.body_bytes:
            raise RequestError(ErrorKind.BODY_TOO_LARGE)
        source = CallerSource(connection, limits.body_bytes)
        body, more = read_first_part(source, request, BUFFERED_BODY_BYTES)
        # The body may have taken until the node began to refuse requests.
        self.check_accepting()
        source.check_sender()
        source.is_consumed = False
        sink = CallerSink(
            connection, request, None, entry_request.retry_rule.may_replace
        )
        try:
            self._make_attempts(entry_request, request, source, sink, body, more)
            entry_request.status = sink.status
        except RequestError as error:
            raise self._add_retry_after(entry_request, error) from None
        finally:
            sink.drop_held()
            self._record_unserved(entry_request, key)

    def _record_unserved(self, entry_request, key):
        """Record a caller that got an error or no answer, since it may retry."""
        if not entry_request.is_nested and (
            entry_request.status == 0 or entry_request.status >= 500
        ):
            since = entry_request.received_at - entry_request.prior_wait
            self._refused_callers.record(key, since, entry_request.caller_deadline)

    def _classify(self, entry_request, request):
        """Set the route, service and deadlines of a request."""
        table = self._routes.read()
        entry_request.revision = table.revision
        route = table.find_route(request.get("host"), entry_request.path)
        if route is None:
            raise self._routes.make_missing_route_error()
        entry_request.route = route
        timeout = self._protocol.read_timeout(request)
        if timeout is None:
            timeout = max(route.timeout, DEFAULT_TIMEOUT_SECONDS)
        entry_request.caller_deadline = entry_request.received_at + timeout
        entry_request.deadline = entry_request.received_at + min(timeout, route.timeout)
        entry_request.service = self._split_chooser.choose(route)
        entry_request.retry_rule = HostedRetryRule(
            self._retry_budget, entry_request.service, route
        )
        if entry_request.is_repeat:
            self._retry_budget.record_retry(entry_request.service)
        else:
            self._retry_budget.record_request(entry_request.service)

    def _make_attempts(self, entry_request, request, source, sink, body, more):
        """Make attempts until one gets an answer or no further one is allowed."""
        entry_request.silent_attempts.run(
            lambda: self._try_members(entry_request, request, source, sink, body, more),
            sink,
            self._record_load,
        )

    def _try_members(self, entry_request, request, source, sink, body, more):
        """Try one member after the other.

        Raises:
            RequestError: No attempt got an answer, and no further one is allowed.
        """
        tried = set()
        uncertain_error = None
        while True:
            try:
                view = self._require_view(entry_request, tried, uncertain_error)
            except RequestError:
                if sink.send_held():
                    return
                raise
            tried.add(view.member.address)
            entry_request.slow_members.pop(view.member.address, None)
            call = self._make_call(entry_request, request, view.member, body, more)
            try:
                self._attempt(entry_request, view, call, source, sink, tried)
                return
            except RequestError as error:
                entry_request.retry_rule.record_error(error)
                if error.kind is ErrorKind.SERVER_SLOW:
                    entry_request.slow_members[entry_request.server] = view.member
                self._log_attempt(entry_request, error)
                if isinstance(error, SilentNode):
                    entry_request.silent_attempts.add(view, error.attempt)
                source.check_sender()
                if not error.answer.not_run:
                    # The traceback would keep this frame, and so the body, until the
                    # garbage collector runs.
                    uncertain_error = uncertain_error or error.with_traceback(None)
                if self._may_retry(entry_request, error, source, sink):
                    continue
                if not sink.is_started and sink.send_held():
                    return
                # After an attempt that may have run, a later refusal must not tell
                # the caller that the request did not run.
                raise uncertain_error or error from None

    def _require_view(self, entry_request, tried, uncertain_error):
        """Return the MemberView to try next.

        Raises:
            RequestError: `uncertain_error` if there is one, else NO_ROOM or
                NO_SERVER; no time or no member is left.
        """
        if self._clock.read_monotonic() >= entry_request.deadline:
            raise uncertain_error or RequestError(ErrorKind.NO_ROOM, "no time is left")
        view = self._select_view(entry_request, tried)
        if view is None:
            kind = ErrorKind.NO_ROOM if tried else ErrorKind.NO_SERVER
            raise uncertain_error or RequestError(kind)
        return view

    def _select_view(self, entry_request, tried):
        """Return the best MemberView to try next, or None if no member is left."""
        views = [
            view
            for view in self._member_table.list_views(entry_request.service)
            if view.member.data_centre not in self._routes.taken_out
        ]
        now = self._clock.read_monotonic()
        route, was_refused = entry_request.route, entry_request.retry_rule.was_refused
        best = self._chooser.choose(views, route, now, tried, was_refused)
        if (
            entry_request.slow_members
            and not entry_request.can_take_over_from_slow_member(best)
        ):
            # A slow phase usually ends before a move to another region would pay off,
            # so members that were slow are candidates again.
            tried = tried - entry_request.slow_members.keys()
            best = self._chooser.choose(views, route, now, tried, was_refused)
        return best

    def _attempt(self, entry_request, view, call, source, sink, tried):
        """Make one attempt and update the member's view by its result."""
        entry_request.server = view.member.address
        entry_request.load_age_ms = view.compute_report_age_ms(
            self._clock.read_monotonic()
        )
        view.in_flight += 1
        try:
            attempt = self._create_attempt(entry_request, view, call, source, tried)
            load = attempt.run(call, source, sink)
        except RequestError as error:
            self._record_attempt_error(view, error)
            raise
        finally:
            view.in_flight -= 1
        now = self._clock.read_monotonic()
        if sink.status >= 500:
            view.record_failure(now)
        self._record_load(view, load)

    def _create_attempt(self, entry_request, view, call, source, tried):
        if view.member.address == self._own_address:
            return LocalAttempt(self._guard)
        return RemoteAttempt(
            self._clock,
            self._pool,
            view.member.address,
            compute_silence_timeout(entry_request.route.objective, call.is_regional),
            lambda load: self._record_load(view, load),
            self._pacer if call.is_regional else None,
            source.watch,
            GRACE_SECONDS,
            QUERY_TIMEOUT_SECONDS,
            lambda: (
                entry_request.retry_rule.could_retry()
                and self._select_view(entry_request, tried) is not None
            ),
            self._held_answers,
        )

    def _record_attempt_error(self, view, error):
        """Update the view of a member whose attempt failed."""
        now = self._clock.read_monotonic()
        if isinstance(error, NoTimeToConnect):
            self._reachability.start_check(view)
        elif error.kind in UNAVAILABLE_KINDS:
            view.mark_unavailable(now)
        elif error.kind is ErrorKind.NOT_READY:
            view.mark_unavailable(now, REFUSAL_PAUSE_SECONDS)
            self._reachability.start_check(view)
        elif isinstance(error, RefusedByNode) or self._is_own(view):
            if error.kind is ErrorKind.BACKEND_UNREACHABLE:
                view.mark_unavailable(now, REFUSAL_PAUSE_SECONDS)
            elif not is_refusal(error):
                view.record_failure(now)
        elif error.kind is ErrorKind.BACKEND_UNREACHABLE:
            view.mark_down(now)
        elif error.kind is ErrorKind.OUTCOME_UNKNOWN:
            view.record_failure(now)
            view.mark_down(now)
        else:
            view.record_failure(now)

    def _is_own(self, view):
        return view.member.address == self._own_address

    def _record_load(self, view, load):
        if load is None:
            return
        view.record_load(load, self._clock.read_monotonic())
        self._feed_sync.hint(view.member.address, load.revision)

    def _may_retry(self, entry_request, error, source, sink):
        if sink.is_started or source.is_consumed:
            return False
        if entry_request.deadline <= self._clock.read_monotonic():
            return False
        return entry_request.retry_rule.allows(error)

    def _add_retry_after(self, entry_request, error):
        """Return the RequestError for the caller.

        A 5xx error that says "not run" becomes NO_ROOM with a retry time.
        """
        if error.answer.not_run and error.answer.status >= 500:
            now = self._clock.read_monotonic()
            remaining = entry_request.caller_deadline - now
            until_late = (
                LATE_SHARE * entry_request.route.objective
                - entry_request.compute_total_wait(now)
            )
            return RequestError(
                ErrorKind.NO_ROOM,
                error.detail,
                self._retry_after_chooser.choose(remaining, until_late),
            )
        return error

    def _make_call(self, entry_request, request, member, body, more):
        now = self._clock.read_monotonic()
        remaining = entry_request.deadline - now
        route = entry_request.route
        return RoutedCall(
            f"{entry_request.attempt_prefix}.{entry_request.attempts}",
            entry_request.request_id,
            member.incarnation,
            entry_request.revision,
            entry_request.service,
            self._identity.service,
            entry_request.method,
            entry_request.target,
            self._protocol.list_forwarded_headers(request),
            route.idempotent,
            entry_request.is_nested,
            entry_request.is_repeat or entry_request.retry_rule.sent > 0,
            self._has_server_nearby(entry_request, member),
            sorted(route.regions),
            route.priority,
            route.objective * 1000.0,
            entry_request.compute_total_wait(now) * 1000.0,
            max(remaining, 0.001) * 1000.0,
            member.region != self._identity.region,
            request.length,
            body,
            more,
        )

    def _has_server_nearby(self, entry_request, member):
        """Return whether a server near a Member can run a request in its place.

        Servers that share the region are near, for uploads those that share the data
        centre.
        """
        if not entry_request.retry_rule.may_move:
            return False
        now = self._clock.read_monotonic()
        return any(
            view.member.address != member.address
            and view.is_usable(now)
            and view.member.can_take_over_from(member, entry_request.route)
            for view in self._member_table.list_views(entry_request.service)
        )

    def _log_attempt(self, entry_request, error):
        self._log.info(
            "attempt failed",
            request_id=entry_request.request_id,
            route=entry_request.route.name,
            service=entry_request.service,
            server=entry_request.server,
            attempt=entry_request.attempts,
            kind=error.kind.value,
            detail=error.detail,
            revision=entry_request.revision,
        )


def _make_key(entry_request, request, connection):
    """Return the CallerKey of a request."""
    host = request.get("host")
    return CallerKey(
        connection.remote_host, entry_request.method, host, entry_request.target
    )

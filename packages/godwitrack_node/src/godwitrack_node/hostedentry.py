"""The entry of host routes: takes a caller's request to a backend server and back."""

from godwitrack.exceptions import CallerDisconnected, ErrorKind, RequestError
from godwitrack.logs import get_logger
from godwitrack.messages import RoutedCall
from godwitrack_node.attempt import (
    LocalAttempt,
    NoTimeToConnect,
    RefusedByNode,
    RemoteAttempt,
)
from godwitrack_node.bodystreams import CallerSink, CallerSource, read_first_part
from godwitrack_node.callhandler import CallHandler
from godwitrack_node.hostedadmissionrequest import LATE_SHARE
from godwitrack_node.hostedentryrequest import HostedEntryRequest
from godwitrack_node.hostedretries import HostedRetryRule, is_refusal
from godwitrack_node.refusedcallers import CallerKey, RefusedCallers
from godwitrack_node.retryafter import RetryAfterChooser
from godwitrack_node.splitting import SplitChooser

DEFAULT_TIMEOUT_SECONDS = 30.0
BUFFERED_BODY_BYTES = 2**20
# Time for the guard's last word on a request whose time is up.
GRACE_SECONDS = 0.12
# Silence after which a node is asked about a call, as a share of the objective.
SILENCE_SHARE = 0.6
MIN_SILENCE_SECONDS = 0.15
# Three round trips between regions, and a busy node at either end.
QUERY_SECONDS = 0.5
# A server that waits for a health check gets it within that time.
REFUSED_AWAY_SECONDS = 0.3
PROBE_SECONDS = 0.25
AWAY_KINDS = frozenset((ErrorKind.STOPPING, ErrorKind.STALE_INCARNATION))


class HostedEntry(CallHandler):
    """Finds the route of a request and makes the attempts."""

    def __init__(self, clock, executor, identity, protocol, chooser, share):
        """Prepare without serving.

        Args:
            clock: Clock.
            executor: concurrent.futures.Executor.
            identity: Identity of the node.
            protocol: HostedCallerProtocol of the callers.
            chooser: HostedServerChooser.
            share: HostedRetryBudget.
        """
        self._clock = clock
        self._executor = executor
        self._identity = identity
        self._protocol = protocol
        self._chooser = chooser
        self._share = share
        self._splitter = SplitChooser()
        self._timer = RetryAfterChooser()
        self._refused = RefusedCallers(clock)
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
        kernel.find("scheduler").add(PROBE_SECONDS, self._probe_silent)

    @property
    def limits(self):
        """CallerLimits for what callers send."""
        return self._routes.limits

    def begin(self, request):
        """Return the HostedEntryRequest of a request that just arrived."""
        now = self._clock.read_monotonic()
        prefix = self._identity.make_request_id()
        request_id = self._protocol.read_request_id(request) or prefix
        parent = self._protocol.read_parent_id(request)
        is_nested = bool(parent) and self._guard.is_running(parent)
        is_repeat = is_nested and self._guard.is_repeating(parent)
        return HostedEntryRequest(
            request_id, prefix, request, is_nested, is_repeat, now
        )

    def handle(self, entry_request, request, connection):
        """Serve a request; see CallHandler.handle."""
        self._classify(entry_request, request)
        key = _make_key(entry_request, request, connection)
        if not entry_request.is_nested:
            entry_request.waited = self._refused.find_waited(key)
        limits = self._routes.limits
        if request.length > limits.body_bytes:
            raise RequestError(ErrorKind.BODY_TOO_LARGE)
        source = CallerSource(connection, limits.body_bytes)
        body, more = read_first_part(source, request, BUFFERED_BODY_BYTES)
        source.is_touched = False
        sink = CallerSink(connection, request, None, entry_request.rule.may_replace)
        try:
            self._make_attempts(entry_request, request, source, sink, body, more)
            entry_request.status = sink.status
        except RequestError as error:
            raise self._conclude(entry_request, error) from None
        finally:
            self._note_unserved(entry_request, key)

    def _note_unserved(self, entry_request, key):
        """Remember a caller that may come back, as it got no answer or a failure."""
        if not entry_request.is_nested and (
            entry_request.status == 0 or entry_request.status >= 500
        ):
            since = entry_request.received_at - entry_request.waited
            self._refused.record(key, since, entry_request.caller_deadline)

    def _classify(self, entry_request, request):
        """Find the route of a request and fill in the entry request."""
        table = self._routes.read()
        entry_request.revision = table.revision
        route = table.find_route(request.get("host"), entry_request.path)
        if route is None:
            raise RequestError(ErrorKind.UNKNOWN_ROUTE)
        entry_request.route = route
        timeout = self._protocol.read_timeout(request)
        if timeout is None:
            timeout = max(route.timeout, DEFAULT_TIMEOUT_SECONDS)
        entry_request.caller_deadline = entry_request.received_at + timeout
        entry_request.deadline = entry_request.received_at + min(timeout, route.timeout)
        entry_request.service = self._splitter.choose(route)
        entry_request.rule = HostedRetryRule(self._share, entry_request.service, route)
        if entry_request.is_repeat:
            self._share.record_retry(entry_request.service)
        else:
            self._share.record_request(entry_request.service)

    def _make_attempts(self, entry_request, request, source, sink, body, more):
        tried = set()
        uncertain = None
        while True:
            view = self._choose(entry_request, tried, uncertain)
            tried.add(view.member.address)
            entry_request.left.pop(view.member.address, None)
            call = self._make_call(entry_request, request, view.member, body, more)
            try:
                self._attempt(entry_request, view, call, source, sink, tried)
                return
            except RequestError as error:
                entry_request.rule.record_error(error)
                if error.kind is ErrorKind.SERVER_SLOW:
                    entry_request.left[entry_request.server] = view.member
                self._log_attempt(entry_request, error)
                if source.watch.is_disconnected():
                    raise CallerDisconnected(
                        "the caller left during an attempt"
                    ) from None
                if not error.answer.not_run:
                    uncertain = uncertain or error
                if self._may_repeat(entry_request, error, source, sink):
                    continue
                if not sink.is_started and sink.release_held():
                    return
                # Once an attempt may have run, no later refusal says "not run".
                raise uncertain or error from None

    def _choose(self, entry_request, tried, uncertain):
        if self._clock.read_monotonic() >= entry_request.deadline:
            raise uncertain or RequestError(ErrorKind.NO_ROOM, "no time is left")
        view = self._find_best(entry_request, tried)
        if view is None:
            kind = ErrorKind.NO_ROOM if tried else ErrorKind.NO_SERVER
            raise uncertain or RequestError(kind)
        return view

    def _find_best(self, entry_request, tried):
        """Return the MemberView to try next, or None where none is left."""
        views = [
            view
            for view in self._member_table.list_views(entry_request.service)
            if view.member.data_centre not in self._routes.taken_out
        ]
        now = self._clock.read_monotonic()
        route, was_refused = entry_request.route, entry_request.rule.was_refused
        best = self._chooser.choose(views, route, now, tried, was_refused)
        if entry_request.left and not entry_request.is_beside_left(best):
            # A slow moment ends sooner than the way to another region pays.
            tried = tried - entry_request.left.keys()
            best = self._chooser.choose(views, route, now, tried, was_refused)
        return best

    def _attempt(self, entry_request, view, call, source, sink, tried):
        """Make one attempt and learn from it."""
        entry_request.server = view.member.address
        entry_request.load_age_ms = view.find_age_ms(self._clock.read_monotonic())
        view.in_flight += 1
        try:
            attempt = self._find_attempt(entry_request, view, call, source, tried)
            load = attempt.run(call, source, sink)
        except RequestError as error:
            self._learn(view, error)
            raise
        finally:
            view.in_flight -= 1
        now = self._clock.read_monotonic()
        if sink.status >= 500:
            view.record_failure(now)
        if load is not None:
            self._take_load(view, load)

    def _find_attempt(self, entry_request, view, call, source, tried):
        if view.member.address == self._own_address:
            return LocalAttempt(self._guard)
        silence = max(
            entry_request.route.objective * SILENCE_SHARE, MIN_SILENCE_SECONDS
        )
        return RemoteAttempt(
            self._clock,
            self._pool,
            view.member.address,
            silence,
            lambda load: self._take_load(view, load),
            self._pacer if call.is_regional else None,
            source.watch,
            GRACE_SECONDS,
            QUERY_SECONDS,
            lambda: (
                entry_request.rule.could_retry()
                and self._find_best(entry_request, tried) is not None
            ),
        )

    def _learn(self, view, error):
        """Take what a failed attempt says of a member."""
        now = self._clock.read_monotonic()
        if isinstance(error, NoTimeToConnect):
            self._look_at(view)
        elif error.kind in AWAY_KINDS:
            view.mark_unavailable(now)
        elif error.kind is ErrorKind.NOT_READY:
            view.mark_unavailable(now, REFUSED_AWAY_SECONDS)
            self._look_at(view)
        elif isinstance(error, RefusedByNode) or self._is_own(view):
            if error.kind is ErrorKind.BACKEND_UNREACHABLE:
                view.mark_unavailable(now, REFUSED_AWAY_SECONDS)
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

    def _take_load(self, view, load):
        view.record_load(load, self._clock.read_monotonic())
        self._feed_sync.hint(view.member.address, load.revision)

    def _may_repeat(self, entry_request, error, source, sink):
        if sink.is_started or source.is_touched:
            return False
        if entry_request.deadline <= self._clock.read_monotonic():
            return False
        return entry_request.rule.allows(error)

    def _conclude(self, entry_request, error):
        """Return the RequestError for the caller, with the time to come back."""
        if error.answer.not_run and error.answer.status >= 500:
            now = self._clock.read_monotonic()
            left = entry_request.caller_deadline - now
            spare = (
                LATE_SHARE * entry_request.route.objective
                - entry_request.find_waited(now)
            )
            return RequestError(
                ErrorKind.NO_ROOM, error.detail, self._timer.choose(left, spare)
            )
        return error

    def _make_call(self, entry_request, request, member, body, more):
        now = self._clock.read_monotonic()
        left = entry_request.deadline - now
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
            self._protocol.list_forwarded(request),
            route.idempotent,
            entry_request.is_nested,
            entry_request.is_repeat or entry_request.rule.sent > 0,
            self._may_move(entry_request, member),
            sorted(route.regions),
            route.priority,
            route.objective * 1000.0,
            entry_request.find_waited(now) * 1000.0,
            max(left, 0.001) * 1000.0,
            member.region != self._identity.region,
            request.length,
            body,
            more,
        )

    def _may_move(self, entry_request, member):
        """Tell whether a server beside a Member can take a request in its place."""
        if not entry_request.rule.may_move:
            return False
        now = self._clock.read_monotonic()
        return any(
            view.member.address != member.address
            and view.is_usable(now)
            and view.member.is_beside(member, entry_request.route)
            for view in self._member_table.list_views(entry_request.service)
        )

    def _probe_silent(self):
        """Look whether nodes that could not be reached answer again."""
        now = self._clock.read_monotonic()
        for member in self._member_table.list_members():
            view = self._member_table.find_view(member.address)
            if view is not None and view.is_probe_due(now):
                view.mark_down(now)
                self._executor.submit(self._probe, view)

    def _look_at(self, view):
        """Look whether a node can be reached; the link is kept for later requests.

        A node that knows no routes yet learns thereby whom it can ask.
        """
        if not view.is_looked_at:
            view.is_looked_at = True
            self._executor.submit(self._look, view)

    def _look(self, view):
        try:
            if not self._feed_sync.can_reach(view.member.address):
                view.mark_down(self._clock.read_monotonic())
        finally:
            view.is_looked_at = False

    def _probe(self, view):
        if self._feed_sync.can_reach(view.member.address):
            view.mark_up()

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

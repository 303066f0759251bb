"""The entry of host routes: takes a caller's request to a backend server and back."""

from godwitrack.exceptions import CallerGone, ErrorKind, RequestError
from godwitrack.logs import find_logger
from godwitrack.messages import RoutedCall
from godwitrack_node.attempt import (
    LocalAttempt,
    NoTimeToConnect,
    RefusedByNode,
    RemoteAttempt,
)
from godwitrack_node.callhandler import CallHandler
from godwitrack_node.entrant import LATE_SHARE
from godwitrack_node.exchange import CallerSink, CallerSource, read_first_part
from godwitrack_node.refusedcallers import CallerKey, RefusedCallers
from godwitrack_node.repeats import RepeatRule, is_refusal
from godwitrack_node.returning import ReturnTimer
from godwitrack_node.routederrand import RoutedErrand
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


class Dispatcher(CallHandler):
    """Finds the route of a request and makes the attempts."""

    def __init__(self, clock, executor, identity, dialect, placer, share):
        """Prepare without serving.

        Args:
            clock: Clock.
            executor: concurrent.futures.Executor.
            identity: Identity of the node.
            dialect: RouteDialect of the callers.
            placer: Placer.
            share: RetryShare.
        """
        self._clock = clock
        self._executor = executor
        self._identity = identity
        self._dialect = dialect
        self._placer = placer
        self._share = share
        self._splitter = SplitChooser()
        self._timer = ReturnTimer()
        self._refused = RefusedCallers(clock)
        self._routes = None
        self._roster = None
        self._pool = None
        self._pacer = None
        self._guard = None
        self._news = None
        self._own_address = ""
        self._log = find_logger("entry")

    def connect(self, kernel):
        """Find the collaborators."""
        self._routes = kernel.find("configurations")
        self._roster = kernel.find("roster")
        self._pool = kernel.find("link-pool")
        self._pacer = kernel.find("regional-pacer")
        self._guard = kernel.find("guard")
        self._news = kernel.find("membership")
        self._own_address = kernel.find("link-server").advertised
        kernel.find("scheduler").add(PROBE_SECONDS, self._probe_silent)

    @property
    def limits(self):
        """CallerLimits for what callers send."""
        return self._routes.limits

    def begin(self, request):
        """Return the RoutedErrand of a request that just arrived."""
        now = self._clock.read_monotonic()
        prefix = self._identity.make_request_id()
        request_id = self._dialect.read_request_id(request) or prefix
        parent = self._dialect.read_parent_id(request)
        is_nested = bool(parent) and self._guard.is_running(parent)
        is_repeat = is_nested and self._guard.is_repeating(parent)
        return RoutedErrand(request_id, prefix, request, is_nested, is_repeat, now)

    def handle(self, errand, request, connection):
        """Serve a request; see CallHandler.handle."""
        self._classify(errand, request)
        key = _make_key(errand, request, connection)
        if not errand.is_nested:
            errand.waited = self._refused.find_waited(key)
        limits = self._routes.limits
        if request.length > limits.body_bytes:
            raise RequestError(ErrorKind.BODY_TOO_LARGE)
        source = CallerSource(connection, limits.body_bytes)
        body, more = read_first_part(source, request, BUFFERED_BODY_BYTES)
        source.is_touched = False
        sink = CallerSink(connection, request, None, errand.rule.may_replace)
        try:
            self._make_attempts(errand, request, source, sink, body, more)
            errand.status = sink.status
        except RequestError as error:
            raise self._conclude(errand, error) from None
        finally:
            self._note_unserved(errand, key)

    def _note_unserved(self, errand, key):
        """Remember a caller that may come back, as it got no answer or a failure."""
        if not errand.is_nested and (errand.status == 0 or errand.status >= 500):
            since = errand.received_at - errand.waited
            self._refused.note(key, since, errand.caller_deadline)

    def _classify(self, errand, request):
        """Find the route of a request and fill in the errand."""
        table = self._routes.read()
        errand.revision = table.revision
        route = table.find_route(request.get("host"), errand.path)
        if route is None:
            raise RequestError(ErrorKind.UNKNOWN_ROUTE)
        errand.route = route
        timeout = self._dialect.read_timeout(request)
        if timeout is None:
            timeout = max(route.timeout, DEFAULT_TIMEOUT_SECONDS)
        errand.caller_deadline = errand.received_at + timeout
        errand.deadline = errand.received_at + min(timeout, route.timeout)
        errand.service = self._splitter.choose(route)
        errand.rule = RepeatRule(self._share, errand.service, route)
        if errand.is_repeat:
            self._share.note_repeat(errand.service)
        else:
            self._share.note_request(errand.service)

    def _make_attempts(self, errand, request, source, sink, body, more):
        tried = set()
        uncertain = None
        while True:
            view = self._choose(errand, tried, uncertain)
            tried.add(view.member.address)
            errand.left.pop(view.member.address, None)
            call = self._make_call(errand, request, view.member, body, more)
            try:
                self._attempt(errand, view, call, source, sink, tried)
                return
            except RequestError as error:
                errand.rule.note(error)
                if error.kind is ErrorKind.SERVER_SLOW:
                    errand.left[errand.server] = view.member
                self._log_attempt(errand, error)
                if source.watch.is_gone():
                    raise CallerGone("the caller left during an attempt") from None
                if not error.answer.not_run:
                    uncertain = uncertain or error
                if self._may_repeat(errand, error, source, sink):
                    continue
                if not sink.is_started and sink.release_held():
                    return
                # Once an attempt may have run, no later refusal says "not run".
                raise uncertain or error from None

    def _choose(self, errand, tried, uncertain):
        if self._clock.read_monotonic() >= errand.deadline:
            raise uncertain or RequestError(ErrorKind.NO_ROOM, "no time is left")
        view = self._find_best(errand, tried)
        if view is None:
            kind = ErrorKind.NO_ROOM if tried else ErrorKind.NO_SERVER
            raise uncertain or RequestError(kind)
        return view

    def _find_best(self, errand, tried):
        """Return the MemberView to try next, or None where none is left."""
        views = [
            view
            for view in self._roster.list_views(errand.service)
            if view.member.data_centre not in self._routes.taken_out
        ]
        now = self._clock.read_monotonic()
        route, was_refused = errand.route, errand.rule.was_refused
        best = self._placer.choose(views, route, now, tried, was_refused)
        if errand.left and not errand.is_beside_left(best):
            # A slow moment ends sooner than the way to another region pays.
            tried = tried - errand.left.keys()
            best = self._placer.choose(views, route, now, tried, was_refused)
        return best

    def _attempt(self, errand, view, call, source, sink, tried):
        """Make one attempt and learn from it."""
        errand.server = view.member.address
        errand.load_age_ms = view.find_age_ms(self._clock.read_monotonic())
        view.in_flight += 1
        try:
            attempt = self._find_attempt(errand, view, call, source, tried)
            load = attempt.run(call, source, sink)
        except RequestError as error:
            self._learn(view, error)
            raise
        finally:
            view.in_flight -= 1
        now = self._clock.read_monotonic()
        if sink.status >= 500:
            view.note_failure(now)
        if load is not None:
            self._take_load(view, load)

    def _find_attempt(self, errand, view, call, source, tried):
        if view.member.address == self._own_address:
            return LocalAttempt(self._guard)
        silence = max(errand.route.objective * SILENCE_SHARE, MIN_SILENCE_SECONDS)
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
                errand.rule.could_repeat()
                and self._find_best(errand, tried) is not None
            ),
        )

    def _learn(self, view, error):
        """Take what a failed attempt says of a member."""
        now = self._clock.read_monotonic()
        if isinstance(error, NoTimeToConnect):
            self._look_at(view)
        elif error.kind in AWAY_KINDS:
            view.note_away(now)
        elif error.kind is ErrorKind.NOT_READY:
            view.note_away(now, REFUSED_AWAY_SECONDS)
            self._look_at(view)
        elif isinstance(error, RefusedByNode) or self._is_own(view):
            if error.kind is ErrorKind.BACKEND_UNREACHABLE:
                view.note_away(now, REFUSED_AWAY_SECONDS)
            elif not is_refusal(error):
                view.note_failure(now)
        elif error.kind is ErrorKind.BACKEND_UNREACHABLE:
            view.note_down(now)
        elif error.kind is ErrorKind.OUTCOME_UNKNOWN:
            view.note_failure(now)
            view.note_down(now)
        else:
            view.note_failure(now)

    def _is_own(self, view):
        return view.member.address == self._own_address

    def _take_load(self, view, load):
        view.take_load(load, self._clock.read_monotonic())
        self._news.hint(view.member.address, load.revision)

    def _may_repeat(self, errand, error, source, sink):
        if sink.is_started or source.is_touched:
            return False
        if errand.deadline <= self._clock.read_monotonic():
            return False
        return errand.rule.allows(error)

    def _conclude(self, errand, error):
        """Return the RequestError for the caller, with the time to come back."""
        if error.answer.not_run and error.answer.status >= 500:
            now = self._clock.read_monotonic()
            left = errand.caller_deadline - now
            spare = LATE_SHARE * errand.route.objective - errand.find_waited(now)
            return RequestError(
                ErrorKind.NO_ROOM, error.detail, self._timer.choose(left, spare)
            )
        return error

    def _make_call(self, errand, request, member, body, more):
        now = self._clock.read_monotonic()
        left = errand.deadline - now
        route = errand.route
        return RoutedCall(
            f"{errand.attempt_prefix}.{errand.attempts}",
            errand.request_id,
            member.incarnation,
            errand.revision,
            errand.service,
            self._identity.service,
            errand.method,
            errand.target,
            self._dialect.list_forwarded(request),
            route.idempotent,
            errand.is_nested,
            errand.is_repeat or errand.rule.sent > 0,
            self._may_move(errand, member),
            sorted(route.regions),
            route.priority,
            route.objective * 1000.0,
            errand.find_waited(now) * 1000.0,
            max(left, 0.001) * 1000.0,
            member.region != self._identity.region,
            request.length,
            body,
            more,
        )

    def _may_move(self, errand, member):
        """Tell whether a server beside a Member can take a request in its place."""
        if not errand.rule.may_move:
            return False
        now = self._clock.read_monotonic()
        return any(
            view.member.address != member.address
            and view.is_usable(now)
            and view.member.is_beside(member, errand.route)
            for view in self._roster.list_views(errand.service)
        )

    def _probe_silent(self):
        """Look whether nodes that could not be reached answer again."""
        now = self._clock.read_monotonic()
        for member in self._roster.list_members():
            view = self._roster.find_view(member.address)
            if view is not None and view.is_probe_due(now):
                view.note_down(now)
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
            if not self._news.can_reach(view.member.address):
                view.note_down(self._clock.read_monotonic())
        finally:
            view.is_looked_at = False

    def _probe(self, view):
        if self._news.can_reach(view.member.address):
            view.note_up()

    def _log_attempt(self, errand, error):
        self._log.info(
            "attempt failed",
            request_id=errand.request_id,
            route=errand.route.name,
            service=errand.service,
            server=errand.server,
            attempt=errand.attempts,
            kind=error.kind.value,
            detail=error.detail,
            revision=errand.revision,
        )


def _make_key(errand, request, connection):
    """Return the CallerKey of a request."""
    host = request.get("host")
    return CallerKey(connection.remote_host, errand.method, host, errand.target)

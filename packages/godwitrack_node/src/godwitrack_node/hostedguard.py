"""The guard of a hosted node: admits requests and runs them at the backend server."""

import threading

from godwitrack.exceptions import CallerDisconnected, ErrorKind, RequestError
from godwitrack.load import Load
from godwitrack.logs import get_logger
from godwitrack_node.answer import HttpAnswer
from godwitrack_node.hostedadmission import HostedAdmission
from godwitrack_node.hostedadmissionrequest import HostedAdmissionRequest
from godwitrack_node.httpserver import HOP_HEADERS
from godwitrack_node.instance import InstanceClient, InstanceRequest
from godwitrack_node.ledger import OutcomeState
from godwitrack_node.serverguard import ServerGuard
from godwitrack_node.speed import MEASURE_SECONDS

# Limits file descriptors; no backend server works on this many requests at once.
MAX_CONNECTIONS = 200
MAX_KEPT_BODY_BYTES = 64 * 1024
# The backend server ends overdue work itself. Waiting this long after the deadline for
# its answer is worth it, because a timeout here would leave the outcome unknown.
DEADLINE_MARGIN_SECONDS = 0.06
USUAL_SLOWNESS_PERCENT = 100
# Failures come in bursts; one health check for each burst is enough.
MIN_CHECK_INTERVAL_SECONDS = 0.3


class HostedGuard(ServerGuard):
    """Admits requests, runs them at the backend server and records their outcomes."""

    def __init__(self, clock, identity, address, protocol, client=None, budget=None):
        """Create the guard without connecting to the backend server.

        Args:
            clock: Clock.
            identity: Identity of the node.
            address: Address of the backend server.
            protocol: HostedServerProtocol that the backend server speaks.
            client: InstanceClient; by default, a new one for the address.
            budget: ByteBudget of the answers, if there is no client.
        """
        super().__init__(clock, identity)
        self._protocol = protocol
        self._client = client or InstanceClient(clock, address, MAX_CONNECTIONS, budget)
        self._routes = None
        self._registration = None
        self._slowness = USUAL_SLOWNESS_PERCENT
        self._is_stopping = False
        self._check_requested_at = 0.0
        self._running = {}
        self._unfinished_lock = threading.Lock()
        self._unfinished = 0
        self._log = get_logger("guard")
        self.admission = HostedAdmission(clock, measure=self._measure_slowness)

    def connect(self, kernel):
        """Find the collaborators."""
        super().connect(kernel)
        self._routes = kernel.find("configurations")
        self._registration = kernel.find("registration")

    @property
    def unfinished(self):
        """Number of calls that wait, run or whose answers are being sent."""
        return self._unfinished

    @property
    def held_answer_bytes(self):
        """Bytes of the backend server's answers that are in memory, or will be."""
        return self._client.held_bytes

    def begin_stop(self):
        """Refuse new requests as not run; requests in flight continue."""
        self._is_stopping = True
        self.admission.close(ErrorKind.STOPPING)

    def stop(self):
        """Close the idle connections to the backend server."""
        self._client.close_idle()

    def configure(self, slots, cold_rate):
        """Set the slots and the cold-start rate; see HostedAdmission.configure."""
        self.admission.configure(slots, cold_rate)
        limits = self._routes.get_limits(self._identity.service)
        if limits is not None:
            connections = min(limits.max_connections, MAX_CONNECTIONS)
            self._client.set_limit(connections)

    def record_slowness(self, percent):
        """Record how long work takes now, in percent of the usual time."""
        self._slowness = percent

    def read_load(self):
        """Return the Load of the backend server."""
        admission = self.admission
        return Load(
            admission.count_effective_in_flight(),
            admission.queued,
            admission.limit,
            self._routes.content_version,
            self._slowness,
            admission.count_home_demand(),
        )

    def is_running(self, caller_id):
        """Return whether the backend server is running the request with this id."""
        return caller_id in self._running

    def may_have_run_before(self, caller_id):
        """Return whether a running request may have run before."""
        return self._running.get(caller_id, False)

    def query(self, request_id, incarnation):
        """Return the outcome of an attempt; see ServerGuard.query."""
        entry = self.ledger.query(request_id)
        is_own = incarnation == self._identity.incarnation
        if entry.state is OutcomeState.FENCED and not is_own:
            # It was sent to an earlier process of this node and may have run there.
            return OutcomeState.UNKNOWN, None
        return entry.state, entry.answer

    def check_health(self, deadline):
        """Return the Health of the backend server.

        Args:
            deadline: Monotonic time in seconds.

        Raises:
            RequestError: The backend server did not answer.
        """
        limits = self._routes.get_limits(self._identity.service)
        path = limits.health_path if limits is not None else "/health"
        headers = self._protocol.make_health_headers()
        request = InstanceRequest("GET", path, headers, b"", 0, None, True, False)
        answer = self._client.send(
            request, lambda item, _: self._protocol.is_health_answer(item), deadline
        )
        health = self._protocol.read_health(answer)
        self._apply_condition(health.condition, health.instance)
        return health

    def _measure_slowness(self):
        """Return the slowness that a health check reports, or None."""
        now = self._clock.read_monotonic()
        try:
            return self.check_health(now + MEASURE_SECONDS).slowness
        except RequestError as error:
            self._log.debug("slowness not measured", error=str(error))
            return None

    def run(self, call, source, sink):
        """Run a RoutedCall at the backend server; see ServerGuard.run."""
        # Claimed before it waits for admission, so that a query does not fence it.
        self.ledger.claim(call.request_id)
        with self._unfinished_lock:
            self._unfinished += 1
        try:
            self._run(call, source, sink)
        except RequestError as error:
            self._log_refusal(call, error)
            self._record_failure(call, error)
            # The frames of the traceback hold the answer, and with it memory.
            raise error.with_traceback(None)
        except Exception:
            self.ledger.fail(call.request_id)
            raise
        finally:
            with self._unfinished_lock:
                self._unfinished -= 1

    def _run(self, call, source, sink):
        now = self._clock.read_monotonic()
        deadline = now + call.deadline_ms / 1000.0
        self._check_eligibility(call)
        admission_request = HostedAdmissionRequest(
            call.priority,
            call.objective_ms / 1000.0,
            deadline,
            call.is_nested,
            call.waited_ms / 1000.0,
            bool(call.regions),
            call.may_move,
        )
        self.admission.acquire(admission_request, source.watch)
        is_answered = False
        self._running[call.caller_id] = call.is_repeat
        try:
            # The backend server may have begun to leave while the request waited, and
            # the caller may have left while this process stood still.
            self._check_eligibility(call)
            self._check_sender(call, source)
            answer = self._send(call, source, deadline)
            slowness = self._record_answer_slowness(answer)
            self._check_answer(answer)
            is_answered = True
            if answer.status < 500:
                kind = (call.method, call.objective_ms, call.priority)
                self.admission.record_completion(admission_request, kind, slowness)
        finally:
            self._running.pop(call.caller_id, None)
            self.admission.release(admission_request, is_answered)
        self._log_answer(call, admission_request, answer)
        self._deliver_answer(call, answer, sink)

    def _check_eligibility(self, call):
        """Raise RequestError if the request may not run here."""
        registration = self._registration
        if self._is_stopping:
            raise RequestError(ErrorKind.STOPPING, "the node is stopping")
        if not self._routes.is_ready:
            # Without routes, the node does not know whether operators took its data
            # centre out, and nested calls of the request would fail.
            raise RequestError(ErrorKind.NOT_READY)
        if call.service != self._identity.service:
            raise RequestError(ErrorKind.STALE_INCARNATION)
        if not registration.is_serving:
            raise RequestError(ErrorKind.STOPPING)
        if self._identity.data_centre in self._routes.taken_out:
            raise RequestError(ErrorKind.STOPPING, "taken out of service by operators")
        if call.regions and self._identity.region not in call.regions:
            raise RequestError(ErrorKind.STALE_INCARNATION, "in no region of the route")
        if registration.is_blocked:
            raise RequestError(
                ErrorKind.BACKEND_UNREACHABLE, "waits for a health check"
            )

    def _check_sender(self, call, source):
        """Raise CallerDisconnected, and fence the call, if its sender left."""
        try:
            source.check_sender()
        except CallerDisconnected:
            self.ledger.withdraw(call.request_id)
            raise

    def _send(self, call, source, deadline):
        """Send the request and return the backend server's HttpAnswer."""
        instance = self._registration.instance
        remaining_seconds = deadline - self._clock.read_monotonic()
        headers = self._protocol.make_headers(
            call, instance, max(remaining_seconds, 0.001)
        )
        if call.more:
            source.proceed()
        request = InstanceRequest(
            call.method,
            call.path,
            headers,
            call.body,
            call.length,
            source.read if call.more else None,
            call.idempotent,
        )
        try:
            answer = self._client.send(
                request,
                lambda item, is_first: self._protocol.belongs_to(
                    item, call.caller_id, is_first
                ),
                deadline + DEADLINE_MARGIN_SECONDS,
                source.watch,
            )
        except RequestError as error:
            self._report_failure(error)
            raise
        self._apply_condition(self._protocol.read_condition(answer), instance)
        return answer

    def _apply_condition(self, condition, instance):
        """Apply a ServerCondition that the process `instance` stated, or None."""
        if condition is None:
            return
        if self._registration.instance in ("", instance):
            self._apply_rate_limit(condition.rate_limit)
        if condition.is_leaving:
            self._registration.record_leaving(instance)

    def _apply_rate_limit(self, rate):
        if rate != self.admission.rate_limit:
            self._log.info("rate limit named", requests_per_second=rate)
            self.admission.set_rate_limit(rate)

    def _record_answer_slowness(self, answer):
        """Record the slowness that an answer reports and return it, or None."""
        slowness = self._protocol.read_slowness(answer)
        if slowness is not None:
            self._slowness = slowness
            self.admission.record_slowness(slowness)
        return slowness

    def _check_answer(self, answer):
        """Raise RequestError if the answer must not reach the caller."""
        if self._protocol.is_not_run(answer):
            if self._protocol.is_other_process(answer):
                self._registration.block("another process answered")
                raise RequestError(ErrorKind.STALE_INCARNATION)
            raise RequestError(ErrorKind.SERVER_SHED)
        if not self._protocol.is_forwardable(answer):
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN, "the answer is not genuine")

    def _deliver_answer(self, call, answer, sink):
        """Record the answer in the ledger and send it to the sink."""
        headers = [
            item for item in answer.headers if item[0].lower() not in HOP_HEADERS
        ]
        kept = None
        if not call.idempotent and len(answer.body) <= MAX_KEPT_BODY_BYTES:
            kept = HttpAnswer(answer.status, headers, bytes(answer.body))
        self.ledger.finish(call.request_id, kept)
        sink.start(answer.status, headers, len(answer.body), answer.body, False)

    def _record_failure(self, call, error):
        """Record in the ledger that a request got no answer.

        BACKEND_FAILED is left out, because the sink raises it after the answer was
        recorded.
        """
        if error.answer.not_run:
            self.ledger.withdraw(call.request_id)
        elif error.kind is not ErrorKind.BACKEND_FAILED:
            self.ledger.fail(call.request_id)

    def _report_failure(self, error):
        """Report a failed exchange, so that the registration checks the server."""
        if error.kind is ErrorKind.BACKEND_UNREACHABLE:
            self._registration.block("no connection")
        elif error.kind is ErrorKind.OUTCOME_UNKNOWN:
            now = self._clock.read_monotonic()
            if now - self._check_requested_at > MIN_CHECK_INTERVAL_SECONDS:
                self._check_requested_at = now
                self._registration.suspect(error.detail)

    def _log_answer(self, call, admission_request, answer):
        now = self._clock.read_monotonic()
        self._log.info(
            "call answered",
            request_id=call.caller_id,
            attempt=call.request_id,
            instance=self._registration.instance,
            status=answer.status,
            waited_ms=round(
                (admission_request.started_at - admission_request.arrived_at) * 1000, 1
            ),
            ran_ms=round((now - admission_request.started_at) * 1000, 1),
            running_before=admission_request.running_at_start,
            in_flight=self.admission.in_flight,
            limit=self.admission.limit,
            slowness=self._slowness,
            routine=answer.status < 500,
        )

    def _log_refusal(self, call, error):
        admission = self.admission
        self._log.info(
            "call refused",
            request_id=call.caller_id,
            attempt=call.request_id,
            kind=error.kind.value,
            detail=error.detail,
            in_flight=admission.in_flight,
            queued=admission.queued,
            limit=admission.limit,
        )

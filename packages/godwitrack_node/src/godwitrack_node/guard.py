"""The guard: admits requests and runs them at the node's backend server."""

import collections
import contextlib

from godwitrack.exceptions import (
    CallerDisconnected,
    DuplicateRequest,
    ErrorKind,
    LinkError,
    RequestError,
)
from godwitrack.load import Load
from godwitrack.plans import RequestClass
from godwitrack_node.admission import Admission
from godwitrack_node.admissionrequest import AdmissionRequest
from godwitrack_node.answer import HttpAnswer
from godwitrack_node.backend import BackendClient, TimedRequest
from godwitrack_node.context import (
    CONTEXT_HEADER,
    DEADLINE_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    RequestContext,
)
from godwitrack_node.httpserver import HOP_HEADERS
from godwitrack_node.ledger import OutcomeState
from godwitrack_node.partcollector import PartCollector
from godwitrack_node.serverguard import ServerGuard

DROPPED_ANSWER_HEADERS = HOP_HEADERS | {NOT_RUN_HEADER.lower()}
STATUS_SHED = 503


class Guard(ServerGuard):
    """Admits requests, runs them at the backend server and records their outcomes."""

    def __init__(self, clock, identity, settings, signer, lease, backend=None):
        super().__init__(clock, identity)
        self._signer = signer
        self._lease = lease
        self._cold_slots = settings.get("backend.cold_slots")
        self._backend = backend or BackendClient(
            settings.get("backend.address"), settings.get("backend.connections")
        )
        self._configurations = None
        self._directory = None
        self._exclusions = None
        self._cached_counts = (None, collections.Counter())
        self._admission_requests = {}
        self.admission = Admission(clock, self._cold_slots, self._cold_slots)

    def connect(self, kernel):
        """Find the collaborators."""
        super().connect(kernel)
        self._configurations = kernel.find("configurations")
        self._directory = kernel.find("directory")
        self._exclusions = kernel.find("exclusions")

    def drain(self):
        """Refuse new requests as not run."""
        self.admission.drain()

    def read_load(self):
        """Return the Load of the backend server."""
        admission = self.admission
        revision = self._configurations.current.revision
        return Load(admission.in_flight, admission.queued, admission.limit, revision)

    @contextlib.contextmanager
    def track_nested(self, request_id):
        """Exclude the time of a nested call from its outer request's run time.

        Args:
            request_id: Id of the outer request, which runs at this node.
        """
        admission_request = self._admission_requests.get(request_id)
        if admission_request is None:
            yield
            return
        self.admission.begin_nested(admission_request)
        try:
            yield
        finally:
            self.admission.end_nested(admission_request)

    def query(self, request_id, incarnation):
        """Return the outcome of a request; see ServerGuard.query."""
        if incarnation != self._identity.incarnation:
            return OutcomeState.UNKNOWN, None
        entry = self.ledger.query(request_id)
        return entry.state, entry.answer

    def run(self, call, source, sink):
        """Run a Call at the backend server; see ServerGuard.run."""
        try:
            self._run(call, source, sink)
        except RequestError as error:
            if error.answer.not_run:
                self.ledger.fence(call.request_id)
            raise

    def _run(self, call, source, sink):
        now = self._clock.read_monotonic()
        deadline = now + call.deadline_ms / 1000.0
        plan, route = self._check_eligibility(call)
        rank = RequestClass(call.request_class).rank
        kind = None if call.more else (call.method, route.path, call.request_class)
        weight = plan.requests_per_second
        admission_request = AdmissionRequest(
            call.customer,
            weight,
            rank,
            deadline,
            kind,
            depth=call.depth,
            rate=weight / self._count_servers(plan.find_regions(route)),
        )
        self.admission.acquire(admission_request)
        self._admission_requests[call.request_id] = admission_request
        is_failure = True
        try:
            is_failure = self._execute(call, source, sink, deadline, admission_request)
        except RequestError as error:
            is_failure = not error.answer.not_run or (
                error.kind is ErrorKind.BACKEND_UNREACHABLE
            )
            raise
        except (CallerDisconnected, LinkError):
            is_failure = False
            raise
        finally:
            self._admission_requests.pop(call.request_id, None)
            self.admission.release(admission_request, is_failure)

    def _check_eligibility(self, call):
        """Return the request's Plan and Route, or raise if it may not run here."""
        if call.incarnation != self._identity.incarnation:
            raise RequestError(ErrorKind.STALE_INCARNATION)
        self._lease.check()
        configuration = self._configurations.read()
        if call.service != self._identity.service:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE)
        if self._exclusions.covers_self():
            raise RequestError(ErrorKind.STOPPING, "taken out of service by operators")
        region = self._identity.region
        if region not in call.regions:
            raise RequestError(ErrorKind.WRONG_REGION)
        customer = configuration.customers_by_name.get(call.customer)
        if customer is None:
            raise RequestError(ErrorKind.UNAUTHENTICATED)
        plan = configuration.find_plan(customer)
        route = plan.find_route(call.service, call.method, call.path.partition("?")[0])
        if route is None:
            raise RequestError(ErrorKind.NOT_ALLOWED)
        if region not in plan.find_regions(route):
            raise RequestError(ErrorKind.WRONG_REGION)
        return plan, route

    def _count_servers(self, regions):
        """Return how many servers in these regions serve this service, at least 1."""
        version = (self._directory.version, self._exclusions.version)
        cached_version, counts = self._cached_counts
        if version != cached_version:
            exclusions = self._exclusions.read()
            servers = self._directory.find_service(self._identity.service)
            counts = collections.Counter(
                record.region
                for record in servers
                if record.state.is_serving and not exclusions.covers(record)
            )
            self._cached_counts = (version, counts)
        return max(sum(counts[region] for region in regions), 1)

    def _execute(self, call, source, sink, deadline, admission_request):
        """Run an admitted request and return whether the backend server failed."""
        request = self._make_request(call, source, deadline)
        collector = PartCollector(sink, DROPPED_ANSWER_HEADERS)
        is_shed = False

        def receive_head(status, headers, length):
            nonlocal is_shed
            admission_request.answered_at = self._clock.read_monotonic()
            names = [name.lower() for name, _ in headers]
            is_shed = status == STATUS_SHED and NOT_RUN_HEADER.lower() in names
            collector.receive_head(status, headers, length)

        def receive_body(data):
            if not is_shed:
                collector.receive_body(data)

        def claim():
            self._lease.check()
            source.check_sender()
            self.ledger.claim(call.request_id)

        if call.more:
            source.proceed()
        try:
            self._backend.send(request, receive_head, receive_body, claim)
        except RequestError as error:
            self._record_failure(call, error)
            raise
        except Exception:
            self.ledger.fail(call.request_id)
            raise
        if is_shed:
            self.ledger.withdraw(call.request_id)
            raise RequestError(ErrorKind.SERVER_BUSY, "the backend server shed load")
        self._finish(call, collector)
        return collector.status >= 500

    def _record_failure(self, call, error):
        if error.answer.not_run:
            self.ledger.withdraw(call.request_id)
        elif not isinstance(error, DuplicateRequest):
            self.ledger.fail(call.request_id)

    def _finish(self, call, collector):
        """Record the answer in the ledger before its last part is sent."""
        kept = None
        if not call.idempotent and collector.is_fully_buffered:
            kept = HttpAnswer(
                collector.status, collector.headers, collector.get_buffered_body()
            )
        self.ledger.finish(call.request_id, kept)
        collector.finish()

    def _make_request(self, call, source, deadline):
        remaining_seconds = max(deadline - self._clock.read_monotonic(), 0.001)
        context = RequestContext(
            call.customer,
            call.request_id,
            deadline,
            call.depth,
            call.retries_left,
            call.regions,
        )
        headers = [
            *call.headers,
            [CONTEXT_HEADER, self._signer.write(context)],
            [REQUEST_ID_HEADER, call.request_id],
            [DEADLINE_HEADER, str(int(remaining_seconds * 1000))],
        ]
        read_more = source.read if call.more else None
        return TimedRequest(
            call.method,
            call.path,
            headers,
            call.body,
            call.length,
            read_more,
            remaining_seconds,
        )

"""Runs real routers and admission control against simulated links and servers.

A discrete-event simulation on a manual clock. The product's own code makes every
decision: server selection, concurrency limits, refusals and retries.
"""

import collections
import heapq
import itertools
import random

from godwitrack.clock import ManualClock
from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack.kernel import Kernel
from godwitrack_lab.simulationparts import (
    MAX_LATENCY_US,
    SimulatedEntry,
    SimulatedExclusions,
    SimulatedRequest,
    SimulatedServer,
)
from godwitrack_node.admissionrequest import AdmissionRequest
from godwitrack_node.directory import Directory, ServerRecord, ServerState
from godwitrack_node.policies import POLICIES
from godwitrack_node.routing import Location, Router

LOCAL_DELAY_SECONDS = 0.0002
DATA_CENTRE_DELAY_SECONDS = 0.001
REGION_DELAY_SECONDS = 0.020
REPORT_INTERVAL_SECONDS = 0.5
REPORT_BYTES = 120  # One request for a server's load and its answer.
PIGGYBACK_BYTES = 8  # A load report inside an answer.
DEADLINE_SECONDS = 2.0
SILENCE_TIMEOUT_SECONDS = 0.5
PRODUCT_POLICY = "least-cost"
REPORT_BASED_POLICY = "two-choices"


class Simulation:
    """Simulates flows of requests against servers, with scheduled faults.

    Attributes:
        clock: ManualClock, which the events advance.
        servers: SimulatedServers by name.
        flows: Flows.
        window: Start and end of the arrival times, in seconds, whose latencies are
            recorded.
        attempts: Attempts sent to servers.
        wrong_regions: Attempts sent to a server outside the flow's regions.
        load_report_bytes: Counter of bytes used for load reports, by "local" (within
            a region) and "regional" (between regions).
    """

    def __init__(
        self,
        specs,
        flows,
        entries_per_data_centre,
        seed,
        policy=PRODUCT_POLICY,
        cold_slots=1,
    ):
        """Initialize the simulation.

        Args:
            specs: ServerSpecs of the servers.
            flows: Flows.
            entries_per_data_centre: Number of entries in each data centre.
            seed: Seed of the random number generator.
            policy: Name of the routing policy, a key of POLICIES.
            cold_slots: Concurrency limit of a cold server, in requests.
        """
        self.clock = ManualClock(0.0)
        self.window = (0.0, float("inf"))
        self.flows = flows
        self.attempts = 0
        self.wrong_regions = 0
        self.load_report_bytes = collections.Counter()
        self._policy = policy
        self._rng = random.Random(seed)
        self._events = []
        self._sequence = itertools.count()
        self._directory = Directory(self.clock)
        self._exclusions = SimulatedExclusions()
        self.servers = {
            spec.name: SimulatedServer(
                spec, self.clock, self._rng, cold_slots, policy != PRODUCT_POLICY
            )
            for spec in specs
        }
        for server in self.servers.values():
            self._register_server(server)
        self._count_servers()
        self._entries = [
            self._make_entry(region, data_centre)
            for region, data_centre in sorted(
                {(spec.region, spec.data_centre) for spec in specs}
            )
            for _ in range(entries_per_data_centre)
        ]

    def schedule(self, moment, function, *arguments):
        """Schedule a function call.

        Args:
            moment: Simulated time in seconds.
            function: Function to call.
            *arguments: Its arguments.
        """
        event = (moment, next(self._sequence), function, arguments)
        heapq.heappush(self._events, event)

    def run(self, seconds):
        """Run the flows for a number of seconds, then until every request is done."""
        for flow in self.flows:
            if flow.rate > 0:
                self.schedule(
                    self._draw_arrival_time(flow), self._handle_arrival, flow, seconds
                )
        if self._policy == REPORT_BASED_POLICY:
            self.schedule(REPORT_INTERVAL_SECONDS, self._report_loads, seconds)
        while self._events:
            moment, _, function, arguments = heapq.heappop(self._events)
            self.clock.now = max(self.clock.now, moment)
            function(*arguments)

    def exclude(self, data_centres=(), servers=()):
        """Replace the data centres and servers that are out of service."""
        self._exclusions.set(data_centres, servers)
        exclusions = self._exclusions.read()
        for server in self.servers.values():
            if exclusions.covers(server.spec):
                server.admission.drain()
            else:
                server.admission.resume()
        self._count_servers()

    def _register_server(self, server):
        spec = server.spec
        record = ServerRecord(
            spec.name,
            spec.service,
            spec.region,
            spec.data_centre,
            f"simulation:{len(self._directory.list_servers())}",
            spec.slots,
            ServerState.WARM,
            1,
            1,
        )
        self._directory.merge(record)
        server.admission.announce(False, spec.slots)
        # The simulation starts with servers that are fully warmed up.
        server.admission.warmup.cap = spec.slots

    def _count_servers(self):
        """Count the servers of each service and region that are not excluded."""
        exclusions = self._exclusions.read()
        self._counts = collections.Counter(
            (server.spec.service, server.spec.region)
            for server in self.servers.values()
            if not exclusions.covers(server.spec)
        )

    def _compute_rate(self, flow):
        """Return one server's share of a flow's plan, in requests per second."""
        counts = [self._counts[flow.service, region] for region in flow.regions]
        return flow.weight / max(sum(counts), 1)

    def _make_entry(self, region, data_centre):
        location = Location(region, data_centre)
        policy = POLICIES[self._policy](random.Random(self._rng.random()))
        router = Router(self.clock, location, policy)
        kernel = Kernel()
        kernel.register(self._directory)
        kernel.register(self._exclusions)
        router.connect(kernel)
        return SimulatedEntry(location, router, self.clock)

    def _draw_arrival_time(self, flow):
        """Return the time of a flow's next arrival, in seconds."""
        return self.clock.now + self._rng.expovariate(flow.rate * flow.factor)

    def _handle_arrival(self, flow, end):
        if self.clock.now >= end:
            return
        self.schedule(self._draw_arrival_time(flow), self._handle_arrival, flow, end)
        self.receive(flow)

    def receive(self, flow, data_centre=None):
        """Receive one request of a flow now, at a random entry.

        Args:
            flow: Flow.
            data_centre: Data centre of the entry; by default, any in the flow's
                regions.
        """
        candidates = [
            entry
            for entry in self._entries
            if entry.location.region in flow.regions
            and data_centre in (None, entry.location.data_centre)
        ]
        flow.sent += 1
        self._send_attempt(
            SimulatedRequest(flow, self._rng.choice(candidates), self.clock.now)
        )

    def _send_attempt(self, request):
        flow = request.flow
        try:
            over_capacity = request.entry.over_capacity_cache.list_servers(
                flow.customer
            )
            view = request.entry.router.choose(
                flow.service, flow.regions, request.tried, over_capacity
            )
        except RequestError as error:
            self._record_error(request, error)
            return
        request.tried.add(view.record.name)
        request.rule.attempts += 1
        self.attempts += 1
        view.record_sent(self.clock.now)
        server = self.servers[view.record.name]
        if server.spec.region not in flow.regions:
            self.wrong_regions += 1
        delay = self._compute_delay(request.entry, server)
        self.schedule(
            self.clock.now + delay,
            self._offer_to_server,
            request,
            view,
            server,
            self.clock.now,
        )

    def _offer_to_server(self, request, view, server, sent_at):
        flow = request.flow
        # Baseline policies don't distinguish customers and request classes, so that
        # all requests share one queue.
        is_product = self._policy == PRODUCT_POLICY
        admission_request = AdmissionRequest(
            flow.customer if is_product else "all",
            flow.weight if is_product else 1e9,
            flow.request_class.rank if is_product else 0,
            request.arrived + DEADLINE_SECONDS,
            flow.request_class,
            lambda item: self._handle_decision(item, request, view, server, sent_at),
            rate=self._compute_rate(flow) if is_product else None,
        )
        try:
            server.admission.offer(admission_request)
        except RequestError as error:
            self._send_to_entry(
                server, request, self._handle_refusal, view, sent_at, error
            )
            return
        if admission_request.granted_at is not None:
            self._start_service(admission_request, request, view, server, sent_at)

    def _handle_decision(self, admission_request, request, view, server, sent_at):
        if admission_request.refusal is not None:
            self._send_to_entry(
                server,
                request,
                self._handle_refusal,
                view,
                sent_at,
                admission_request.refusal,
            )
        else:
            self._start_service(admission_request, request, view, server, sent_at)

    def _start_service(self, admission_request, request, view, server, sent_at):
        seconds = server.start_request(self.clock.now)
        end = self.clock.now + seconds
        self.schedule(
            end,
            self._end_service,
            admission_request,
            request,
            view,
            server,
            sent_at,
            server.failing,
        )

    def _end_service(
        self, admission_request, request, view, server, sent_at, is_failure
    ):
        server.active -= 1
        server.admission.release(admission_request, is_failure)
        if server.is_silent:
            timeout = SILENCE_TIMEOUT_SECONDS
            if request.flow.idempotent:
                timeout = view.compute_silence_timeout(timeout)
            moment = max(self.clock.now, sent_at + timeout)
            self.schedule(moment, self._handle_silence, request, view, sent_at)
            return
        self._send_to_entry(
            server, request, self._handle_answer, view, server, sent_at, is_failure
        )

    def _send_to_entry(self, server, request, function, *arguments):
        moment = self.clock.now + self._compute_delay(request.entry, server)
        self.schedule(moment, function, request, *arguments)

    def _handle_refusal(self, request, view, sent_at, error):
        view.record_refusal(sent_at)
        if self._policy != REPORT_BASED_POLICY:
            server = self.servers[view.record.name]
            view.record_load(server.read_load(), self.clock.now)
        if error.kind is ErrorKind.OVER_CAPACITY:
            request.entry.over_capacity_cache.record(
                request.flow.customer, view.record.name
            )
        self._retry_or_fail(request, error)

    def _handle_silence(self, request, view, sent_at):
        view.record_failure(self.clock.now - sent_at, self.clock.now)
        request.uncertain = True
        self._retry_or_fail(request, RequestError(ErrorKind.OUTCOME_UNKNOWN))

    def _handle_answer(self, request, view, server, sent_at, is_failure):
        now = self.clock.now
        if self._policy != REPORT_BASED_POLICY:
            view.record_load(server.read_load(), now)
            self._count_report_bytes(request.entry, server, PIGGYBACK_BYTES)
        if is_failure:
            view.record_failure(now - sent_at, now)
            request.flow.failed["backend failed"] += 1
            return
        view.record_answer(now - sent_at, now)
        request.flow.good += 1
        if self.window[0] <= request.arrived < self.window[1]:
            micros = int((now - request.arrived) * 1e6)
            request.flow.histogram.record_value(min(max(micros, 1), MAX_LATENCY_US))
        if request.rule.attempts == 1:
            request.entry.budget.deposit()

    def _retry_or_fail(self, request, error):
        if self.clock.now - request.arrived < DEADLINE_SECONDS and request.rule.allows(
            error
        ):
            self._send_attempt(request)
        else:
            self._record_error(request, error)

    def _record_error(self, request, error):
        kind = ErrorKind.OUTCOME_UNKNOWN if request.uncertain else error.kind
        request.flow.failed[kind.value] += 1

    def _report_loads(self, end):
        """Report every server's load to every entry, and schedule the next report.

        Between two reports, the entries choose servers by their stale loads.
        """
        if self.clock.now >= end:
            return
        self.schedule(self.clock.now + REPORT_INTERVAL_SECONDS, self._report_loads, end)
        for entry in self._entries:
            for server in self.servers.values():
                record = self._directory.find(server.spec.name)
                view = entry.router.get_view(record)
                view.record_load(server.read_load(), self.clock.now)
                self._count_report_bytes(entry, server, REPORT_BYTES)

    def _count_report_bytes(self, entry, server, count):
        is_regional = server.spec.region != entry.location.region
        self.load_report_bytes["regional" if is_regional else "local"] += count

    def _compute_delay(self, entry, server):
        spec = server.spec
        if spec.region != entry.location.region:
            return REGION_DELAY_SECONDS
        if spec.data_centre != entry.location.data_centre:
            return DATA_CENTRE_DELAY_SECONDS
        return LOCAL_DELAY_SECONDS

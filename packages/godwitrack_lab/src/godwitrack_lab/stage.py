"""A stage for decisions: real routers and admission over fake links and servers.

One queue of events on a clock set by hand; every choice, limit, refusal and retry
is made by the product's own code.
"""

import collections
import heapq
import itertools
import random

from godwitrack.clock import ManualClock
from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack.kernel import Kernel
from godwitrack_lab.stageparts import (
    MAX_LATENCY_US,
    Job,
    StageEntry,
    StageExclusions,
    StageServer,
)
from godwitrack_node.admissionrequest import AdmissionRequest
from godwitrack_node.directory import Directory, ServerRecord, ServerState
from godwitrack_node.policies import POLICIES
from godwitrack_node.routing import Location, Router

NEAR_SECONDS = 0.0002
DATA_CENTRE_SECONDS = 0.001
REGION_SECONDS = 0.020
REPORT_SECONDS = 0.5
REPORT_BYTES = 120  # A request and an answer for one server's load.
PIGGYBACK_BYTES = 8  # A load within an answer.
DEADLINE_SECONDS = 2.0
SILENCE_SECONDS = 0.5
PRODUCT_POLICY = "least-cost"
REPORTED_POLICY = "two-choices"


class Stage:
    """Runs flows of requests against servers, with faults at set times.

    Attributes:
        servers: StageServers by name.
        flows: Flows.
        window: Times of arrival between which latencies are kept.
        attempts: Attempts made.
        wrong_regions: Requests that reached a server outside their regions.
        measuring_bytes: Counter of bytes spent on load, by "local" and "regional".
    """

    def __init__(
        self, places, flows, entries, seed, policy=PRODUCT_POLICY, cold_slots=1
    ):
        """Build the stage.

        Args:
            places: ServerPlaces.
            flows: Flows.
            entries: Entries in each data centre.
            seed: Seed of all randomness.
            policy: Name in POLICIES.
            cold_slots: Most requests at once that a cold server bears.
        """
        self.clock = ManualClock(0.0)
        self.window = (0.0, float("inf"))
        self.flows = flows
        self.attempts = 0
        self.wrong_regions = 0
        self.measuring_bytes = collections.Counter()
        self._policy = policy
        self._rng = random.Random(seed)
        self._events = []
        self._numbers = itertools.count()
        self._directory = Directory(self.clock)
        self._exclusions = StageExclusions()
        self.servers = {
            place.name: StageServer(
                place, self.clock, self._rng, cold_slots, policy != PRODUCT_POLICY
            )
            for place in places
        }
        for server in self.servers.values():
            self._join(server)
        self._count_servers()
        self._entries = [
            self._make_entry(region, data_centre)
            for region, data_centre in sorted(
                {(place.region, place.data_centre) for place in places}
            )
            for _ in range(entries)
        ]

    def at(self, moment, function, *arguments):
        """Call a function at a time."""
        event = (moment, next(self._numbers), function, arguments)
        heapq.heappush(self._events, event)

    def run(self, seconds):
        """Run the flows for a number of seconds and wait for every answer."""
        for flow in self.flows:
            if flow.rate > 0:
                self.at(self._draw_gap(flow), self._arrive, flow, seconds)
        if self._policy == REPORTED_POLICY:
            self.at(REPORT_SECONDS, self._report, seconds)
        while self._events:
            moment, _, function, arguments = heapq.heappop(self._events)
            self.clock.now = max(self.clock.now, moment)
            function(*arguments)

    def exclude(self, data_centres=(), servers=()):
        """Take data centres or servers out of service."""
        self._exclusions.set(data_centres, servers)
        exclusions = self._exclusions.read()
        for server in self.servers.values():
            if exclusions.covers(server.place):
                server.admission.drain()
            else:
                server.admission.resume()
        self._count_servers()

    def _join(self, server):
        place = server.place
        record = ServerRecord(
            place.name,
            place.service,
            place.region,
            place.data_centre,
            f"stage:{len(self._directory.list_servers())}",
            place.slots,
            ServerState.WARM,
            1,
            1,
        )
        self._directory.merge(record)
        server.admission.announce(False, place.slots)
        # The stage opens on a fleet that has served for long.
        server.admission.warmup.cap = place.slots

    def _count_servers(self):
        """Count the servers of each service and region that are not taken out."""
        exclusions = self._exclusions.read()
        self._counts = collections.Counter(
            (server.place.service, server.place.region)
            for server in self.servers.values()
            if not exclusions.covers(server.place)
        )

    def _find_rate(self, flow):
        """Return one server's part of what a flow's plan allows a second."""
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
        return StageEntry(location, router, self.clock)

    def _draw_gap(self, flow):
        return self.clock.now + self._rng.expovariate(flow.rate * flow.factor)

    def _arrive(self, flow, end):
        if self.clock.now >= end:
            return
        self.at(self._draw_gap(flow), self._arrive, flow, end)
        self.receive(flow)

    def receive(self, flow, data_centre=None):
        """Let one request of a flow arrive now.

        Args:
            flow: Flow.
            data_centre: Where it arrives; any allowed one by default.
        """
        near = [
            entry
            for entry in self._entries
            if entry.location.region in flow.regions
            and data_centre in (None, entry.location.data_centre)
        ]
        flow.sent += 1
        self._attempt(Job(flow, self._rng.choice(near), self.clock.now))

    def _attempt(self, job):
        flow = job.flow
        try:
            spent = job.entry.over_capacity.list_servers(flow.customer)
            view = job.entry.router.choose(flow.service, flow.regions, job.tried, spent)
        except RequestError as error:
            self._finish(job, error)
            return
        job.tried.add(view.record.name)
        job.rule.attempts += 1
        self.attempts += 1
        view.record_sent(self.clock.now)
        server = self.servers[view.record.name]
        if server.place.region not in flow.regions:
            self.wrong_regions += 1
        delay = self._find_delay(job.entry, server)
        self.at(self.clock.now + delay, self._reach, job, view, server, self.clock.now)

    def _reach(self, job, view, server, sent):
        flow = job.flow
        # In a baseline all customers and classes wait in one queue.
        is_product = self._policy == PRODUCT_POLICY
        request = AdmissionRequest(
            flow.customer if is_product else "all",
            flow.weight if is_product else 1e9,
            flow.request_class.rank if is_product else 0,
            job.arrived + DEADLINE_SECONDS,
            flow.request_class,
            lambda item: self._decided(item, job, view, server, sent),
            rate=self._find_rate(flow) if is_product else None,
        )
        try:
            server.admission.offer(request)
        except RequestError as error:
            self._send_back(server, job, self._refuse, view, sent, error)
            return
        if request.granted_at is not None:
            self._start(request, job, view, server, sent)

    def _decided(self, request, job, view, server, sent):
        if request.refusal is not None:
            self._send_back(server, job, self._refuse, view, sent, request.refusal)
        else:
            self._start(request, job, view, server, sent)

    def _start(self, request, job, view, server, sent):
        seconds = server.begin(self.clock.now)
        end = self.clock.now + seconds
        self.at(end, self._end, request, job, view, server, sent, server.failing)

    def _end(self, request, job, view, server, sent, is_failure):
        server.active -= 1
        server.admission.release(request, is_failure)
        if server.is_silent:
            silence = SILENCE_SECONDS
            if job.flow.idempotent:
                silence = view.compute_silence_timeout(silence)
            moment = max(self.clock.now, sent + silence)
            self.at(moment, self._lose, job, view, sent)
            return
        self._send_back(server, job, self._take_answer, view, server, sent, is_failure)

    def _send_back(self, server, job, function, *arguments):
        moment = self.clock.now + self._find_delay(job.entry, server)
        self.at(moment, function, job, *arguments)

    def _refuse(self, job, view, sent, error):
        view.record_refusal(sent)
        if self._policy != REPORTED_POLICY:
            server = self.servers[view.record.name]
            view.record_load(server.read_load(), self.clock.now)
        if error.kind is ErrorKind.OVER_CAPACITY:
            job.entry.over_capacity.record(job.flow.customer, view.record.name)
        self._retry(job, error)

    def _lose(self, job, view, sent):
        view.record_failure(self.clock.now - sent, self.clock.now)
        job.uncertain = True
        self._retry(job, RequestError(ErrorKind.OUTCOME_UNKNOWN))

    def _take_answer(self, job, view, server, sent, is_failure):
        now = self.clock.now
        if self._policy != REPORTED_POLICY:
            view.record_load(server.read_load(), now)
            self._count_measuring(job.entry, server, PIGGYBACK_BYTES)
        if is_failure:
            view.record_failure(now - sent, now)
            job.flow.refused["backend failed"] += 1
            return
        view.record_answer(now - sent, now)
        job.flow.good += 1
        if self.window[0] <= job.arrived < self.window[1]:
            micros = int((now - job.arrived) * 1e6)
            job.flow.histogram.record_value(min(max(micros, 1), MAX_LATENCY_US))
        if job.rule.attempts == 1:
            job.entry.budget.deposit()

    def _retry(self, job, error):
        if self.clock.now - job.arrived < DEADLINE_SECONDS and job.rule.allows(error):
            self._attempt(job)
        else:
            self._finish(job, error)

    def _finish(self, job, error):
        kind = ErrorKind.OUTCOME_UNKNOWN if job.uncertain else error.kind
        job.flow.refused[kind.value] += 1

    def _report(self, end):
        """Give every entry the load of every server, as late as reports are."""
        if self.clock.now >= end:
            return
        self.at(self.clock.now + REPORT_SECONDS, self._report, end)
        for entry in self._entries:
            for server in self.servers.values():
                record = self._directory.find(server.place.name)
                view = entry.router.get_view(record)
                view.record_load(server.read_load(), self.clock.now)
                self._count_measuring(entry, server, REPORT_BYTES)

    def _count_measuring(self, entry, server, count):
        is_regional = server.place.region != entry.location.region
        self.measuring_bytes["regional" if is_regional else "local"] += count

    def _find_delay(self, entry, server):
        place = server.place
        if place.region != entry.location.region:
            return REGION_SECONDS
        if place.data_centre != entry.location.data_centre:
            return DATA_CENTRE_SECONDS
        return NEAR_SECONDS

"""The hosted node: wires, starts and stops its services.

The platform's store keeps the routes and the list of nodes.
"""

import sys

from godwitrack.bytebudget import ByteBudget
from godwitrack.clock import SystemClock
from godwitrack.kernel import Kernel
from godwitrack.link import Authenticator
from godwitrack.logs import get_logger
from godwitrack.signalflag import SignalFlag
from godwitrack_node.callers import Callers
from godwitrack_node.connectionbudget import ConnectionBudget
from godwitrack_node.controlbudget import ControlBudget
from godwitrack_node.feedsync import FeedSync
from godwitrack_node.hostedentry import HostedEntry
from godwitrack_node.hostedguard import HostedGuard
from godwitrack_node.hostedrequestlog import HostedRequestLog
from godwitrack_node.hostedretrybudget import HostedRetryBudget, RetryLimits
from godwitrack_node.hostedrouting import HostedServerChooser
from godwitrack_node.hostports import (
    MAX_CONNECTIONS,
    HttpPort,
    PatientHttpPort,
    ReadinessHandler,
)
from godwitrack_node.identity import Identity
from godwitrack_node.linkpool import LinkPool
from godwitrack_node.linkserver import LinkServer
from godwitrack_node.membertable import MemberTable
from godwitrack_node.pacing import RegionalPacer
from godwitrack_node.ports import PortGate
from godwitrack_node.registration import Registration
from godwitrack_node.requestcounts import MetricsHandler, RequestCounts
from godwitrack_node.routes import Routes
from godwitrack_node.routing import Location
from godwitrack_node.scheduler import Scheduler
from godwitrack_node.sourceselector import compute_relay_class
from godwitrack_node.threadpool import ThreadPool
from godwitrack_node.warmuprate import COLD_WINDOW_SECONDS

# Request threads run briefly; one that computes for long must not delay the others.
SWITCH_INTERVAL_SECONDS = 0.002
# Each connection of callers, links and ports has its own thread.
MAX_THREADS = 2000
# Threads for accepting connections, following tables, checks and periodic jobs.
SERVICE_THREADS = 104
HTTP_PORTS = 3
# Callers and links share the other threads. Each leaves some of them to the other.
MAX_SHARED_CONNECTIONS = MAX_THREADS - SERVICE_THREADS - HTTP_PORTS * MAX_CONNECTIONS
MAX_CALLER_CONNECTIONS = 1500
MAX_LINK_CONNECTIONS = 1400
# The node promises nothing to others before all of these are open.
REQUIRED_PORTS = ("link-server", "reports", "callers", "readiness")
# Answers of the backend server that are in memory, until they have been sent. It holds
# two of 40 MB; less than a third of the memory of a node on the platform.
MAX_ANSWER_BYTES = 88 * 2**20
# Control traffic budget of each node at the fleet size that the design assumes.
CONTROL_BYTES_PER_SECOND = 6000
# Allows for several round trips between regions.
CONNECT_TIMEOUT_SECONDS = 0.3
POLL_SECONDS = 0.02
# Requests that outlast a planned stop get an error answer at its end. That takes this
# time at least, a busy node this time for each request, and all this share of the stop
# at most.
MIN_FINISH_SECONDS = 0.1
FINISH_SECONDS_PER_REQUEST = 0.002
MAX_FINISH_SHARE = 0.125
# After a stop begins, callers are sent to other nodes once two readiness checks, one
# second apart, have failed.
NOTICE_SECONDS = 2.6
# The next node process may send a cold backend server its full rate from its start, so
# a planned stop closes the guard at least one rate window before this process ends.
GUARD_OPEN_SECONDS = NOTICE_SECONDS - COLD_WINDOW_SECONDS
# Other nodes see the removal of the row before the guard has to refuse their requests.
ROW_LEAD_SECONDS = 0.4
ROW_KEPT_SECONDS = GUARD_OPEN_SECONDS - ROW_LEAD_SECONDS
LINK_EXPIRY_INTERVAL_SECONDS = 5.0
RELOADABLE_SETTINGS = frozenset(("retry_limits", "stop_seconds"))


class HostedSettings:
    """Settings of a hosted node.

    Attributes:
        name: Name of the node.
        service: Service of the backend server.
        region: Name of the region.
        data_centre: Name of the data centre.
        callers: Address to listen on for callers.
        links: Address to listen on for links from other nodes.
        advertised: Address at which other nodes open links to this one.
        readiness: Address to listen on for readiness checks.
        reports: Address to listen on for reports of the backend server.
        metrics: Address to listen on for reads of the metrics, or None.
        server: Address of the backend server.
        cold_tolerance: Rate that a cold backend server sustains, as a multiple of
            the warm-up rate in the routes for its service.
        report_seconds: Seconds between two reports of the backend server.
        apply_seconds: Seconds within which operators' changes must be in force.
        stop_seconds: Maximum duration of a planned stop in seconds.
        retry_limits: RetryLimits.
        secret: Secret that all nodes share.
        link_megabits: Bandwidth of the VM's network link in Mbit/s.
        cores: Processor cores that the node may use.
    """

    __slots__ = (
        "advertised",
        "apply_seconds",
        "callers",
        "cold_tolerance",
        "cores",
        "data_centre",
        "link_megabits",
        "links",
        "metrics",
        "name",
        "readiness",
        "region",
        "report_seconds",
        "reports",
        "retry_limits",
        "secret",
        "server",
        "service",
        "stop_seconds",
    )

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values[name])

    def has_same_value(self, other, name):
        """Return whether another HostedSettings has the same value for a setting."""
        own, others = getattr(self, name), getattr(other, name)
        if isinstance(own, RetryLimits):
            return own.has_same_values(others)
        return own == others


class Adapter:
    """The platform-specific parts of a hosted node.

    Attributes:
        store: FeedStore.
        operators_rows: OperatorsRowReader.
        callers: HostedCallerProtocol.
        server: HostedServerProtocol.
        reports: PortHandler for the reports of the backend server.
    """

    __slots__ = ("callers", "operators_rows", "reports", "server", "store")

    def __init__(self, store, operators_rows, callers, server, reports):
        self.store = store
        self.operators_rows = operators_rows
        self.callers = callers
        self.server = server
        self.reports = reports


class HostedNode:
    """One hosted node, from its creation to its stop.

    Attributes:
        kernel: Kernel with all services.
        identity: Identity of the node.
    """

    def __init__(self, settings, adapter, clock=None):
        """Create all services without starting any.

        Args:
            settings: HostedSettings.
            adapter: Adapter.
            clock: Clock; the system clock by default.
        """
        self._clock = clock or SystemClock()
        self._settings = settings
        self._log = get_logger("node")
        self._stop_requested = SignalFlag()
        self._immediate_stop = SignalFlag()
        self._executor = ThreadPool(MAX_THREADS, "godwitrack")
        self._readiness = ReadinessHandler()
        self.identity = Identity(
            settings.name,
            settings.service,
            settings.region,
            settings.data_centre,
            int(self._clock.read_wall() * 1_000_000),
            compute_relay_class(settings.link_megabits, settings.cores),
        )
        self.kernel = Kernel()
        self._register(settings, adapter)

    def start(self):
        """Start all services, those that others rely on once all their ports are open.

        Raises:
            StartError: A service failed to start.
            StartCancelled: A stop was requested while a port or a thread was not
                available.
        """
        sys.setswitchinterval(SWITCH_INTERVAL_SECONDS)
        with self._executor.wait_for_threads(self._stop_requested.check_start):
            self.kernel.start()
        self._log.info(
            "node started",
            node=self.identity.name,
            incarnation=self.identity.incarnation,
            service=self.identity.service,
            data_centre=self.identity.data_centre,
        )

    def ask_stop(self):
        """Request a planned stop; a repeated request has no effect."""
        self._stop_requested.set()

    def interrupt(self):
        """Request a planned stop; a second request makes it immediate."""
        if self._stop_requested.is_set():
            self._immediate_stop.set()
        self._stop_requested.set()

    def wait_stop(self, timeout=None):
        """Wait until a stop is requested; return whether it was."""
        return self._stop_requested.wait(timeout)

    def reload(self, settings):
        """Apply the changed settings that can change while the node runs.

        Args:
            settings: HostedSettings.
        """
        changed = [
            name
            for name in HostedSettings.__slots__
            if not settings.has_same_value(self._settings, name)
        ]
        self._retry_budget.set_limits(settings.retry_limits)
        self._settings.stop_seconds = settings.stop_seconds
        after_restart = sorted(set(changed) - RELOADABLE_SETTINGS)
        self._log.info(
            "settings reloaded", changed=changed, after_restart=after_restart
        )

    def stop(self):
        """Finish the requests in flight and stop.

        The backend server keeps running, and callers take a while to notice the stop.
        So the backend server gets requests for most of that time: first the node's row
        is removed, then the guard refuses requests, then the callers' port closes.

        Returns:
            Number of requests cut off.
        """
        self._log.info("node stopping", node=self.identity.name)
        started = self._clock.read_monotonic()
        deadline = started + self._settings.stop_seconds
        self._readiness.begin_stop()
        self.kernel.find("callers").begin_stop()
        self._wait_until(started + ROW_KEPT_SECONDS)
        self.kernel.find("registration").begin_stop()
        self._wait_until(started + GUARD_OPEN_SECONDS)
        self.kernel.find("guard").begin_stop()
        self._wait_until(started + NOTICE_SECONDS)
        self.kernel.find("callers").drain()
        while (count := self._count_in_flight()) and not self._immediate_stop.wait(
            POLL_SECONDS
        ):
            finish_seconds = self._compute_finish_seconds(count)
            if self._clock.read_monotonic() >= deadline - finish_seconds:
                break
        cut = self._count_in_flight()
        self._finish_requests(self._compute_finish_seconds(cut))
        self._log.info(
            "node stopped",
            node=self.identity.name,
            requests_cut=cut,
            requests_unanswered=self.kernel.find("metrics").active,
        )
        self.halt()
        return cut

    def _compute_finish_seconds(self, count):
        """Return the seconds that the answers to `count` requests in flight take."""
        seconds = max(MIN_FINISH_SECONDS, count * FINISH_SECONDS_PER_REQUEST)
        return min(seconds, self._settings.stop_seconds * MAX_FINISH_SHARE)

    def _finish_requests(self, seconds):
        """Answer the callers whose requests are still in flight, within seconds."""
        self.kernel.find("callers").finish()
        deadline = self._clock.read_monotonic() + seconds
        while self.kernel.find("metrics").active:
            if self._clock.read_monotonic() >= deadline:
                break
            self._clock.sleep(POLL_SECONDS)

    def _wait_until(self, until):
        """Wait until a monotonic time, or until an immediate stop is requested."""
        self._immediate_stop.wait(max(until - self._clock.read_monotonic(), 0.0))

    def halt(self):
        """Stop all services immediately."""
        self.kernel.stop()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _count_in_flight(self):
        guard = self.kernel.find("guard")
        return guard.unfinished + self.kernel.find("metrics").active

    def _register(self, settings, adapter):
        clock, executor, identity = self._clock, self._executor, self.identity
        authenticator = Authenticator(settings.secret, clock)
        budget = ControlBudget(
            clock, CONTROL_BYTES_PER_SECOND, CONTROL_BYTES_PER_SECOND
        )
        connections = ConnectionBudget(MAX_SHARED_CONNECTIONS)
        location = Location(identity.region, identity.data_centre)
        own_address = str(settings.advertised)
        member_table = MemberTable(clock)
        retry_budget = HostedRetryBudget(
            clock, settings.retry_limits, member_table.count_nodes
        )
        self._retry_budget = retry_budget
        pool = LinkPool(clock, authenticator, CONNECT_TIMEOUT_SECONDS)
        scheduler = Scheduler(clock, executor)
        scheduler.add(LINK_EXPIRY_INTERVAL_SECONDS, pool.expire)
        for service in (
            scheduler,
            RequestCounts(clock),
            pool,
            member_table,
            FeedSync(
                clock,
                executor,
                adapter.store,
                own_address,
                location,
                settings.apply_seconds,
            ),
            Routes(adapter.operators_rows, settings.apply_seconds),
            RegionalPacer(clock),
            HostedGuard(
                clock,
                identity,
                settings.server,
                adapter.server,
                budget=ByteBudget(MAX_ANSWER_BYTES),
            ),
            # What is above promises nothing to others, so it starts without the ports.
            PortGate(REQUIRED_PORTS, self._stop_requested),
            LinkServer(
                executor,
                settings.links,
                authenticator,
                budget,
                own_address,
                MAX_LINK_CONNECTIONS,
                connections,
            ),
            Registration(
                clock,
                executor,
                adapter.store,
                identity,
                own_address,
                settings.server,
                settings.report_seconds,
                settings.cold_tolerance,
            ),
            HostedEntry(
                clock,
                executor,
                identity,
                adapter.callers,
                HostedServerChooser(identity.region, identity.data_centre),
                retry_budget,
            ),
            HostedRequestLog(clock),
            HttpPort("reports", executor, settings.reports, adapter.reports),
            Callers(
                executor,
                settings.callers,
                MAX_CALLER_CONNECTIONS,
                adapter.callers,
                connections,
            ),
            HttpPort("readiness", executor, settings.readiness, self._readiness),
        ):
            self.kernel.register(service)
        if settings.metrics is not None:
            self.kernel.register(
                PatientHttpPort(
                    "metrics-port", executor, settings.metrics, MetricsHandler()
                )
            )

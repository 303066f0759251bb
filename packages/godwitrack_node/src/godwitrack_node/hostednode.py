"""A node whose routes and fleet are kept by a platform: wires the services."""

import concurrent.futures
import sys
import threading

from godwitrack.clock import SystemClock
from godwitrack.kernel import Kernel
from godwitrack.link import Authenticator
from godwitrack.logs import get_logger
from godwitrack_node.callers import Callers
from godwitrack_node.controlbudget import ControlBudget
from godwitrack_node.feedsync import FeedSync
from godwitrack_node.hostedentry import HostedEntry
from godwitrack_node.hostedguard import HostedGuard
from godwitrack_node.hostedrequestlog import HostedRequestLog
from godwitrack_node.hostedretrybudget import HostedRetryBudget, RetryLimits
from godwitrack_node.hostedrouting import HostedServerChooser
from godwitrack_node.hostports import HttpPort, ReadinessHandler
from godwitrack_node.identity import Identity
from godwitrack_node.linkpool import LinkPool
from godwitrack_node.linkserver import LinkServer
from godwitrack_node.membertable import MemberTable
from godwitrack_node.pacing import RegionalPacer
from godwitrack_node.registration import Registration
from godwitrack_node.requestcounts import MetricsHandler, RequestCounts
from godwitrack_node.routes import Routes
from godwitrack_node.routing import Location
from godwitrack_node.scheduler import Scheduler
from godwitrack_node.warmuprate import COLD_WINDOW_SECONDS

# Threads of requests are short; one that computes must not hold up the others.
SWITCH_INTERVAL_SECONDS = 0.002
# Each connection has a thread: callers, links of other nodes, ports.
THREADS = 2000
CALLERS = 1500
# The budget of control traffic for each node at the size to design for.
CONTROL_BYTES_PER_SECOND = 6000
# Several round trips between regions.
CONNECT_TIMEOUT_SECONDS = 0.3
POLL_SECONDS = 0.02
# Callers are sent elsewhere two missed questions, a second apart, after a stop begins.
NOTICE_SECONDS = 2.6
# The next process may give a cold backend server its full rate from its start on.
GUARD_STAYS_SECONDS = NOTICE_SECONDS - COLD_WINDOW_SECONDS
# Other nodes learn from the row before the guard has to refuse them.
ROW_LEAD_SECONDS = 0.4
ROW_STAYS_SECONDS = GUARD_STAYS_SECONDS - ROW_LEAD_SECONDS
EXPIRE_LINKS_SECONDS = 5.0
RELOADED = frozenset(("retry_limits", "stop_seconds"))


class HostedSettings:
    """What a hosted node has to be told.

    Attributes:
        name: Name of the node.
        service: Service of the backend server.
        region: Name of the region.
        data_centre: Name of the data centre.
        callers: Address for callers.
        links: Address for links of other nodes.
        advertised: Address at which other nodes reach it for links.
        readiness: Address for the question whether the node is ready.
        reports: Address for reports of the backend server.
        metrics: Address for metrics, or None.
        server: Address of the backend server.
        cold_tolerance: What a cold backend server bears, as a multiple of the rate
            that the routes name for its service.
        report_seconds: Seconds between two reports of the backend server.
        stop_seconds: Seconds allowed for a planned stop.
        retry_limits: RetryLimits.
        secret: Text that all nodes share.
    """

    __slots__ = (
        "advertised",
        "callers",
        "cold_tolerance",
        "data_centre",
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

    def is_like(self, other, name):
        """Tell whether another HostedSettings has the same value of a setting."""
        own, others = getattr(self, name), getattr(other, name)
        if isinstance(own, RetryLimits):
            return own.is_like(others)
        return own == others


class Adapter:
    """The platform's side of a hosted node.

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
    """One hosted node, from its settings to its end.

    Attributes:
        kernel: Kernel with all services.
        identity: Identity of the node.
    """

    def __init__(self, settings, adapter, clock=None):
        """Make all services without starting any.

        Args:
            settings: HostedSettings.
            adapter: Adapter.
            clock: Clock; the machine's by default.
        """
        self._clock = clock or SystemClock()
        self._settings = settings
        self._log = get_logger("node")
        self._stop_asked = threading.Event()
        self._hurry = threading.Event()
        self._executor = concurrent.futures.ThreadPoolExecutor(THREADS, "godwitrack")
        self._readiness = ReadinessHandler()
        self.identity = Identity(
            settings.name,
            settings.service,
            settings.region,
            settings.data_centre,
            int(self._clock.read_wall() * 1_000_000),
        )
        self.kernel = Kernel()
        self._register(settings, adapter)

    def start(self):
        """Start all services."""
        sys.setswitchinterval(SWITCH_INTERVAL_SECONDS)
        self.kernel.start()
        self._log.info(
            "node started",
            node=self.identity.name,
            incarnation=self.identity.incarnation,
            service=self.identity.service,
            data_centre=self.identity.data_centre,
        )

    def ask_stop(self):
        """Ask for a planned stop; asking again changes nothing."""
        self._stop_asked.set()

    def interrupt(self):
        """Ask for a planned stop; asked again, for one without delay."""
        if self._stop_asked.is_set():
            self._hurry.set()
        self._stop_asked.set()

    def wait_stop(self, timeout=None):
        """Wait until a stop is asked for; returns whether it was."""
        return self._stop_asked.wait(timeout)

    def reload(self, settings):
        """Take over what changed in the settings and can change while running.

        Args:
            settings: HostedSettings.
        """
        changed = [
            name
            for name in HostedSettings.__slots__
            if not settings.is_like(self._settings, name)
        ]
        self._share.set_limits(settings.retry_limits)
        self._settings.stop_seconds = settings.stop_seconds
        later = sorted(set(changed) - RELOADED)
        self._log.info("settings reloaded", changed=changed, after_restart=later)

    def stop(self):
        """Finish the work in flight and stop; returns the requests cut off.

        The backend server runs on, and callers take a while to notice. So it keeps its
        work for most of that time: first its row goes, then its guard refuses, then
        the callers' port closes.
        """
        self._log.info("node stopping", node=self.identity.name)
        started = self._clock.read_monotonic()
        deadline = started + self._settings.stop_seconds
        self._readiness.begin_stop()
        self.kernel.find("callers").begin_stop()
        self._wait_hurry(started + ROW_STAYS_SECONDS)
        self.kernel.find("registration").begin_stop()
        self._wait_hurry(started + GUARD_STAYS_SECONDS)
        self.kernel.find("guard").begin_stop()
        self._wait_hurry(started + NOTICE_SECONDS)
        self.kernel.find("callers").drain()
        while self._count_work() and not self._hurry.wait(POLL_SECONDS):
            if self._clock.read_monotonic() >= deadline:
                break
        cut = self._count_work()
        self._log.info("node stopped", node=self.identity.name, requests_cut=cut)
        self.halt()
        return cut

    def _wait_hurry(self, until):
        """Wait until a monotonic time, or until a stop without delay is asked for."""
        self._hurry.wait(max(until - self._clock.read_monotonic(), 0.0))

    def halt(self):
        """Stop all services at once."""
        self.kernel.stop()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _count_work(self):
        guard = self.kernel.find("guard")
        return guard.admission.in_flight + self.kernel.find("metrics").active

    def _register(self, settings, adapter):
        clock, executor, identity = self._clock, self._executor, self.identity
        authenticator = Authenticator(settings.secret, clock)
        budget = ControlBudget(
            clock, CONTROL_BYTES_PER_SECOND, CONTROL_BYTES_PER_SECOND
        )
        location = Location(identity.region, identity.data_centre)
        own_address = str(settings.advertised)
        member_table = MemberTable(clock)
        share = HostedRetryBudget(
            clock, settings.retry_limits, member_table.count_nodes
        )
        self._share = share
        pool = LinkPool(clock, authenticator, CONNECT_TIMEOUT_SECONDS)
        scheduler = Scheduler(clock, executor)
        scheduler.add(EXPIRE_LINKS_SECONDS, pool.expire)
        for service in (
            scheduler,
            RequestCounts(clock),
            pool,
            LinkServer(executor, settings.links, authenticator, budget, own_address),
            member_table,
            FeedSync(clock, executor, adapter.store, own_address, location),
            Routes(adapter.operators_rows),
            RegionalPacer(clock),
            HostedGuard(clock, identity, settings.server, adapter.server),
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
                share,
            ),
            HostedRequestLog(clock),
            HttpPort("reports", executor, settings.reports, adapter.reports),
            Callers(executor, settings.callers, CALLERS, adapter.callers),
            HttpPort("readiness", executor, settings.readiness, self._readiness),
        ):
            self.kernel.register(service)
        if settings.metrics is not None:
            self.kernel.register(
                HttpPort("metrics-port", executor, settings.metrics, MetricsHandler())
            )

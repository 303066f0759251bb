"""The stand-alone node: wires, starts and stops its services."""

import sys

from godwitrack.clock import SystemClock
from godwitrack.kernel import Kernel
from godwitrack.link import Authenticator, open_link
from godwitrack.logs import get_logger
from godwitrack.signalflag import SignalFlag
from godwitrack.store import HttpObjectStore, HttpTableService
from godwitrack_node.callers import Callers
from godwitrack_node.configurations import Configurations
from godwitrack_node.context import ContextSigner
from godwitrack_node.controlbudget import ControlBudget
from godwitrack_node.directory import Directory
from godwitrack_node.entry import Entry
from godwitrack_node.exclusions import ExclusionRegister
from godwitrack_node.fleet import Fleet
from godwitrack_node.guard import Guard
from godwitrack_node.identity import Identity
from godwitrack_node.lease import Lease
from godwitrack_node.lifecycle import Lifecycle
from godwitrack_node.linkpool import LinkPool
from godwitrack_node.linkserver import MAX_LINKS, LinkServer
from godwitrack_node.membership import (
    REGIONAL_CONTROL_SHARE,
    REGIONAL_LINK_BYTES_PER_SECOND,
    Membership,
)
from godwitrack_node.metrics import Metrics
from godwitrack_node.operators import OperatorsPort
from godwitrack_node.orders import Orders
from godwitrack_node.pacing import RegionalPacer
from godwitrack_node.peerdiscovery import PeerDiscovery
from godwitrack_node.ports import PortGate
from godwitrack_node.requestlog import RequestLog
from godwitrack_node.routing import Location, Router
from godwitrack_node.scheduler import Scheduler
from godwitrack_node.threadpool import ThreadPool

SWITCH_INTERVAL_SECONDS = 0.0005
THREAD_STACK_BYTES = 512 * 1024
SERVICE_THREADS = 64


class Node:
    """One stand-alone node, from its creation to its stop.

    Attributes:
        kernel: Kernel with all services.
        identity: Identity of the node.
    """

    def __init__(
        self, settings, clock=None, tables=None, objects=None, connect=open_link
    ):
        """Create all services without starting any.

        Args:
            settings: Settings.
            clock: Clock; the system clock by default.
            tables: TableService; the one in the settings by default.
            objects: ObjectStore; the one in the settings by default.
            connect: Function that opens links; see LinkPool.
        """
        self._connect = connect
        self._clock = clock or SystemClock()
        self._log = get_logger("node")
        self._stop_requested = SignalFlag()
        timeout = settings.get_seconds("platform.timeout_ms")
        url = settings.get("platform.tables")
        self._tables = tables or HttpTableService(url, timeout)
        url = settings.get("platform.objects")
        self._objects = objects or HttpObjectStore(url, timeout)
        connections = settings.get("requests.connections")
        self._executor = ThreadPool(
            connections + MAX_LINKS + SERVICE_THREADS, "godwitrack"
        )
        self.identity = Identity(
            settings.get("node.name"),
            settings.get("node.service"),
            settings.get("node.region"),
            settings.get("node.data_centre"),
            int(self._clock.read_wall() * 1_000_000),
        )
        self.kernel = Kernel()
        self._register(settings)

    def start(self):
        """Start all services, once all ports are open.

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
            callers=_format_address(self.kernel.find("callers").address),
            operators=_format_address(self.kernel.find("operators").address),
            links=self.kernel.find("link-server").advertised,
        )

    def ask_stop(self):
        """Request a planned stop; a second request cuts it short."""
        if self._stop_requested.is_set():
            self.kernel.find("lifecycle").request_immediate_stop()
        self._stop_requested.set()

    def wait_stop(self, timeout=None):
        """Wait until a stop is requested; return whether it was."""
        return self._stop_requested.wait(timeout)

    def stop(self):
        """Finish the requests in flight and stop; return the number cut off."""
        cut = self.kernel.find("lifecycle").finish_work()
        self.kernel.stop()
        self._executor.shutdown(wait=False, cancel_futures=True)
        self._log.info("node stopped", node=self.identity.name, requests_cut=cut)
        return cut

    def _register(self, settings):
        clock, executor, identity = self._clock, self._executor, self.identity
        secret = settings.get("links.secret")
        authenticator = Authenticator(secret, clock)
        signer = ContextSigner(secret, identity.incarnation)
        lease = Lease(clock)
        budget = ControlBudget(
            clock,
            settings.get("peers.control_bytes_per_second"),
            REGIONAL_LINK_BYTES_PER_SECOND * REGIONAL_CONTROL_SHARE,
        )
        location = Location(identity.region, identity.data_centre)
        connect_timeout = settings.get_seconds("links.connect_timeout_ms")
        fleet_reads_per_second = settings.get("platform.fleet_reads_per_second")
        request_share = settings.get("logs.request_share")
        for service in (
            Scheduler(clock, executor),
            Metrics(clock, budget, lease),
            Directory(clock),
            LinkPool(clock, authenticator, connect_timeout, self._connect),
            PortGate(("link-server", "operators", "callers"), self._stop_requested),
            LinkServer(executor, settings.get("listen.links"), authenticator, budget),
            PeerDiscovery(clock, executor, self._tables, identity),
            Configurations(
                clock, executor, self._tables, self._objects, fleet_reads_per_second
            ),
            Membership(clock, executor, identity, settings, lease, budget),
            ExclusionRegister(clock, identity),
            Orders(clock),
            RegionalPacer(clock),
            Router(clock, location),
            Guard(clock, identity, settings, signer, lease),
            Entry(clock, identity, settings, signer),
            RequestLog(clock, identity, request_share),
            Lifecycle(clock, executor, identity, settings),
            Fleet(identity),
            OperatorsPort(
                settings.get("listen.operators"), settings.get("operators.token")
            ),
            Callers(
                executor,
                settings.get("listen.callers"),
                settings.get("requests.connections"),
            ),
        ):
            self.kernel.register(service)


def _format_address(address):
    return f"{address[0]}:{address[1]}"

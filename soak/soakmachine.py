"""One VM of a soak run: a node process, a backend server and their network paths."""

import os
import pathlib
import signal
import subprocess
import sys
import threading
import time

from fakebackend import deliver_report, make_report, send_report
from fakeplatform import SETTINGS
from godwitrack.address import Address
from soakcallers import NestedCaller
from soakplan import PathName
from soakproxy import FaultProxy
from soakserver import SoakServer
from testcaller import ask_ready

ROOT = pathlib.Path(__file__).parents[1]
WARM_UP_SECONDS = 2.0
HEARTBEAT_SECONDS = 0.3
# A planned stop may take 6 s (graceS); a process that takes 20 s counts as hung.
MAX_STOP_SECONDS = 20.0
START_EVENT = '"event": "node started"'
CALLERS_PORT = 8304
READINESS_PORT = 8302
REPORTS_PORT = 8306
LINKS_PORT = 7620
SERVER_PORT = 8301
BUDGET_SLACK_RETRIES = 20.0
# Reloads alternate between this slack and a lower one.
SUM_OF_SLACKS = 1.5 * BUDGET_SLACK_RETRIES
# Settings that only a soak needs: peers connect through the links proxy, and all
# nodes share one secret.
EXTRA_SETTINGS = """
advertisedLinks = "{advertised}"
linkSecret = "shared by the nodes of a soak"
"""


class MachineSpec:
    """Location of a machine and the service that it runs.

    Attributes:
        service: Name of the service of the backend server.
        data_centre: Name of the data centre.
        region: Name of the region.
    """

    __slots__ = ("data_centre", "region", "service")

    def __init__(self, service, data_centre, region):
        self.service = service
        self.data_centre = data_centre
        self.region = region


class SoakMachine:
    """Starts, signals and stops a node, and starts one backend server after another.

    Attributes:
        number: Number of the machine.
        spec: MachineSpec.
        servers: SoakServers, the running one last.
        paths: FaultProxy of each PathName.
        log: pathlib.Path of the node's log.
        bad_exits: Unexpected exit statuses of node processes that were asked to
            stop; -9 for one that hung and was killed.
    """

    def __init__(self, fleet, number, spec):
        self.number = number
        self.spec = spec
        self.servers = []
        self.bad_exits = []
        self._fleet = fleet
        self._ip = f"127.{fleet.subnet}.0.{10 + number}"
        self._process = None
        self._killed_pids = set()
        self._earlier_starts = 0
        self._clock_jump = 0.0
        self._slack_retries = BUDGET_SLACK_RETRIES
        self._lock = threading.RLock()
        self._closed = threading.Event()
        self.paths = {
            PathName.CALLERS: self._make_proxy(CALLERS_PORT),
            PathName.LINKS: self._make_proxy(LINKS_PORT),
            PathName.SERVER: self._make_proxy(SERVER_PORT),
            PathName.STORE: FaultProxy(
                self._ip, (fleet.store.address.host, fleet.store.address.port)
            ),
        }
        self._nested_caller = NestedCaller(self, fleet.calls)
        self.log = fleet.folder / f"node-{number}.log"
        self._settings = fleet.folder / f"node-{number}.toml"
        self._settings.write_text(self._render_settings())
        self.start_server(is_cold=False)
        self.start()
        threading.Thread(target=self._send_reports, daemon=True).start()

    @property
    def server(self):
        """The running SoakServer."""
        return self.servers[-1]

    @property
    def caller_address(self):
        """Address that callers connect to, through the proxy."""
        return Address(*self.paths[PathName.CALLERS].address)

    @property
    def is_running(self):
        """Whether the node's process runs."""
        return self._process.poll() is None

    @property
    def has_started(self):
        """Whether the current node process has logged that it started."""
        return self._count_starts() > self._earlier_starts

    def is_ready(self):
        """Return whether the node reports that it is ready."""
        return ask_ready(Address(self._ip, READINESS_PORT))

    def start(self):
        """Start the node unless it is running."""
        with self._lock:
            if self._closed.is_set() or (self._process and self.is_running):
                return
            self._earlier_starts = self._count_starts()
            environment = {**os.environ, "GODWITRACK_CONFIG": str(self._settings)}
            with open(self.log, "ab") as output:
                self._process = subprocess.Popen(
                    [sys.executable, str(ROOT / "platform" / "start.py")],
                    stdout=output,
                    stderr=subprocess.STDOUT,
                    env=environment,
                )

    def reload(self):
        """Make the node reload its settings with another budget, if it has started."""
        if not self.has_started:
            return
        with self._lock:
            self._slack_retries = SUM_OF_SLACKS - self._slack_retries
            # The node may read the file at any time.
            changed = self._settings.with_suffix(".new")
            changed.write_text(self._render_settings())
            changed.replace(self._settings)
            self.signal(signal.SIGHUP)

    def signal(self, number):
        """Send a signal to the node's process if it is running."""
        with self._lock:
            if self.is_running:
                self._process.send_signal(number)

    def kill(self):
        """Kill the node's process."""
        with self._lock:
            self._killed_pids.add(self._process.pid)
            self.signal(signal.SIGKILL)
        self._process.wait()

    def stop(self):
        """Stop the node and record an unexpected exit status."""
        process = self._process
        # SIGTERM kills a process that has not installed its signal handlers yet.
        allowed = {os.EX_OK} if self.has_started else {os.EX_OK, -signal.SIGTERM}
        self.signal(signal.SIGTERM)
        try:
            status = process.wait(MAX_STOP_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            status = process.wait()
        if process.pid not in self._killed_pids and status not in allowed:
            self.bad_exits.append(status)

    def start_server(self, is_cold=True, clock_jump=0.0, instance=""):
        """Start a new process of the backend server.

        Args:
            is_cold: Whether it needs to warm up.
            clock_jump: Seconds by which the VM's wall clock has jumped.
            instance: Id of the process; a new one by default.
        """
        self._clock_jump += clock_jump
        server = SoakServer(
            self._fleet.executor,
            self._fleet.runs,
            self.number,
            self.spec.service,
            instance or f"i-{self.number}-{len(self.servers)}",
            Address(self._ip, SERVER_PORT),
        )
        server.call_node = self._nested_caller.send
        server.born = int((time.time() + self._clock_jump) * 1000)
        if is_cold:
            server.start_warm_up(WARM_UP_SECONDS)
        self.servers.append(server)

    def stop_server(self):
        """Close the backend server without announcing it, as a crash would."""
        self.server.close()

    def drain_server(self):
        """Report the backend server as draining until the node accepts the report."""
        server = self.server
        server.is_healthy = False
        while not self._closed.is_set():
            if self._send_report(server, "draining"):
                server.draining_since = time.monotonic()
                return
            self._closed.wait(HEARTBEAT_SECONDS)

    def make_report(self, server):
        """Return a report of a server that is ready, as bytes to deliver later."""
        return make_report(
            server, self.spec.data_centre, "ready", address=self._server_address
        )

    def deliver_report(self, server, report):
        """Send the bytes of a report to the node, if it listens."""
        try:
            deliver_report(Address(self._ip, REPORTS_PORT), server.instance, report)
        except OSError:
            return

    def close(self):
        """Stop the node, the backend server and the proxies."""
        self._closed.set()
        self.signal(signal.SIGCONT)
        self.stop()
        self.server.close()
        for proxy in self.paths.values():
            proxy.close()

    def _make_proxy(self, port):
        return FaultProxy(self._ip, (self._ip, port))

    def _count_starts(self):
        if not self.log.exists():
            return 0
        return self.log.read_text(errors="replace").count(START_EVENT)

    def _send_reports(self):
        while not self._closed.wait(HEARTBEAT_SECONDS):
            server = self.server
            server.update_warm_up()
            if server.is_healthy:
                self._send_report(server, "ready")

    def _send_report(self, server, state):
        """Send one report of a server; return whether the node accepted it."""
        address = Address(self._ip, REPORTS_PORT)
        data_centre = self.spec.data_centre
        own = self._server_address
        try:
            return send_report(address, server, data_centre, state, address=own) == 200
        except OSError:
            return False

    @property
    def _server_address(self):
        return _format_address(self.paths[PathName.SERVER].address)

    def _render_settings(self):
        advertised = _format_address(self.paths[PathName.LINKS].address)
        return SETTINGS.format(
            name=f"node-{self.number}",
            ip=self._ip,
            data_centre=self.spec.data_centre,
            region=self.spec.region,
            links=LINKS_PORT,
            beat=HEARTBEAT_SECONDS,
            server=self._server_address,
            service=self.spec.service,
            extra=EXTRA_SETTINGS.format(advertised=advertised),
            callers=f"{self._ip}:{CALLERS_PORT}",
            readiness=f"{self._ip}:{READINESS_PORT}",
            reports=f"{self._ip}:{REPORTS_PORT}",
            slack=self._slack_retries,
            store=_format_address(self.paths[PathName.STORE].address),
        )


def _format_address(address):
    host, port = address
    return f"{host}:{port}"

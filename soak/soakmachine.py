"""One VM of a soak: a node as a process, a backend server, and their paths."""

import os
import pathlib
import signal
import subprocess
import sys
import threading
import time

from appstand import send_report
from callerstand import ask_ready
from godwitrack.address import Address
from platformstand import SETTINGS
from soakplan import PathName
from soakproxy import FaultProxy
from soakserver import SoakServer

ROOT = pathlib.Path(__file__).parents[1]
COLD_SECONDS = 2.0
BEAT_SECONDS = 0.3
# A planned stop may take six seconds; a process that ends later hangs.
STOP_SECONDS = 20.0
START_EVENT = '"event": "node started"'
CALLERS_PORT = 8304
READINESS_PORT = 8302
REPORTS_PORT = 8306
LINKS_PORT = 7620
SERVER_PORT = 8301
BUDGET_SLACK = 20.0
# Fields that only a soak needs: the way through the proxies, and one secret for all.
EXTRA_SETTINGS = """
advertisedLinks = "{advertised}"
linkSecret = "shared by the nodes of a soak"
"""


class Place:
    """Where a machine stands and what runs there.

    Attributes:
        service: Service of its backend server.
        data_centre: Name of its data centre.
        region: Name of its region.
    """

    __slots__ = ("data_centre", "region", "service")

    def __init__(self, service, data_centre, region):
        self.service = service
        self.data_centre = data_centre
        self.region = region


class SoakMachine:
    """Starts, signals and ends the node, and the server's processes one by one.

    Attributes:
        number: Number of the machine.
        place: Place.
        servers: SoakServers, the running one last.
        paths: FaultProxy for each PathName.
        bad_exits: Statuses other than of a proper end of processes that were asked
            to stop; -9 where one hung.
    """

    def __init__(self, fleet, number, place):
        self.number = number
        self.place = place
        self.servers = []
        self.bad_exits = []
        self._fleet = fleet
        self._ip = f"127.{fleet.subnet}.0.{10 + number}"
        self._process = None
        self._killed = set()
        self._starts_before = 0
        self._clock_jump = 0.0
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
        self.log = fleet.folder / f"node-{number}.log"
        self._settings = fleet.folder / f"node-{number}.toml"
        self._settings.write_text(self._render_settings())
        self.start_server(is_cold=False)
        self.start()
        threading.Thread(target=self._report_often, daemon=True).start()

    @property
    def server(self):
        """The SoakServer that runs now."""
        return self.servers[-1]

    @property
    def callers(self):
        """Address for callers."""
        return Address(*self.paths[PathName.CALLERS].address)

    @property
    def is_running(self):
        """Whether the node's process runs."""
        return self._process.poll() is None

    @property
    def has_started(self):
        """Whether the node's process has said that it started."""
        return self._count_starts() > self._starts_before

    def is_ready(self):
        """Tell whether the node says that it is ready."""
        return ask_ready(Address(self._ip, READINESS_PORT))

    def start(self):
        """Start the node where it does not run."""
        with self._lock:
            if self._closed.is_set() or (self._process and self.is_running):
                return
            self._starts_before = self._count_starts()
            environment = {**os.environ, "GODWITRACK_CONFIG": str(self._settings)}
            with open(self.log, "ab") as output:
                self._process = subprocess.Popen(
                    [sys.executable, str(ROOT / "platform" / "start.py")],
                    stdout=output,
                    stderr=subprocess.STDOUT,
                    env=environment,
                )

    def reload(self):
        """Ask the node to read its settings again, if it has started."""
        if self.has_started:
            self.signal(signal.SIGHUP)

    def signal(self, number):
        """Send a signal to the node's process, by its id."""
        with self._lock:
            if self.is_running:
                self._process.send_signal(number)

    def kill(self):
        """End the node's process at once."""
        with self._lock:
            self._killed.add(self._process.pid)
            self.signal(signal.SIGKILL)
        self._process.wait()

    def stop(self):
        """Ask the node to stop and note how it ended."""
        process = self._process
        # The interpreter itself ends a process that does not handle signals yet.
        allowed = {os.EX_OK} if self.has_started else {os.EX_OK, -signal.SIGTERM}
        self.signal(signal.SIGTERM)
        try:
            status = process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            status = process.wait()
        if process.pid not in self._killed and status not in allowed:
            self.bad_exits.append(status)

    def start_server(self, is_cold=True, clock_jump=0.0):
        """Start the next process of the backend server.

        Args:
            is_cold: Whether it starts cold.
            clock_jump: Seconds by which the VM's time of day has jumped.
        """
        self._clock_jump += clock_jump
        server = SoakServer(
            self._fleet.executor,
            self._fleet.runs,
            self.number,
            self.place.service,
            f"i-{self.number}-{len(self.servers)}",
            Address(self._ip, SERVER_PORT),
        )
        server.born = int((time.time() + self._clock_jump) * 1000)
        if is_cold:
            server.begin_cold(COLD_SECONDS)
        self.servers.append(server)

    def end_server(self):
        """End the backend server's process as a crash would."""
        self.server.close()

    def leave_server(self):
        """Let the backend server say that it leaves; returns when that is taken."""
        server = self.server
        server.is_healthy = False
        while not self._closed.is_set():
            if self._report(server, "draining"):
                server.left_at = time.monotonic()
                return
            self._closed.wait(BEAT_SECONDS)

    def close(self):
        """End the node and the server."""
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

    def _report_often(self):
        while not self._closed.wait(BEAT_SECONDS):
            server = self.server
            server.count_down()
            if server.is_healthy:
                self._report(server, "ready")

    def _report(self, server, state):
        """Send one report; returns whether it was taken."""
        address = Address(self._ip, REPORTS_PORT)
        place = self.place.data_centre
        own = self._server_address
        try:
            return send_report(address, server, place, state, address=own) == 200
        except OSError:
            return False

    @property
    def _server_address(self):
        return _join(self.paths[PathName.SERVER].address)

    def _render_settings(self):
        advertised = _join(self.paths[PathName.LINKS].address)
        return SETTINGS.format(
            name=f"node-{self.number}",
            ip=self._ip,
            data_centre=self.place.data_centre,
            region=self.place.region,
            links=LINKS_PORT,
            beat=BEAT_SECONDS,
            server=self._server_address,
            service=self.place.service,
            extra=EXTRA_SETTINGS.format(advertised=advertised),
            callers=f"{self._ip}:{CALLERS_PORT}",
            readiness=f"{self._ip}:{READINESS_PORT}",
            reports=f"{self._ip}:{REPORTS_PORT}",
            slack=BUDGET_SLACK,
            store=_join(self.paths[PathName.STORE].address),
        )


def _join(address):
    host, port = address
    return f"{host}:{port}"

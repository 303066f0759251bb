"""A fleet of hosted nodes in this process, with a fake store and backend servers."""

import threading
from concurrent.futures import ThreadPoolExecutor

from fakebackend import FakeBackendServer, send_report
from fakestore import FakeStore
from godwitrack.address import Address
from godwitrack_lab.deployment import find_ports
from godwitrack_node.hostednode import HostedNode, HostedSettings
from godwitrack_node.hostedretrybudget import RetryLimits
from godwitrack_platform.main import make_adapter
from godwitrack_platform.settings import PlatformSettings
from testcaller import ask_ready, send, wait_for

REPORT_SECONDS = 0.3
APPLY_SECONDS = 2.5
REGIONS_BY_DATA_CENTRE = {"dc-a": "north", "dc-b": "south"}
FLEET = "fleet"


SETTINGS = """
nodeName = "{name}"
ip = "{ip}"
zone = "{data_centre}"
region = "{region}"
internalPorts = [{links},{links}]
heartbeatS = {beat}
appAddr = "{server}"
service = "{service}"
{extra}
[listenAddrs]
outbound = "{callers}"
readiness = "{readiness}"
control = "{reports}"
[bounds]
graceS = 6
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = {slack}
[platform]
address = "{store}"
"""


class Machine:
    """One VM: a hosted node and its backend server."""

    def __init__(self, fleet, number, service, data_centre):
        self.fleet = fleet
        self.app = FakeBackendServer(fleet.executor, service, f"i-{number}")
        ports = find_ports(4)
        addresses = [Address("127.0.0.1", port) for port in ports]
        self.settings = HostedSettings(
            name=f"node-{number}",
            service=service,
            region=REGIONS_BY_DATA_CENTRE[data_centre],
            data_centre=data_centre,
            callers=addresses[0],
            links=addresses[1],
            advertised=addresses[1],
            readiness=addresses[2],
            reports=addresses[3],
            metrics=None,
            server=self.app.address,
            report_seconds=REPORT_SECONDS,
            apply_seconds=APPLY_SECONDS,
            cold_tolerance=1.0,
            stop_seconds=5.0,
            retry_limits=RetryLimits(0.2, 10.0, 64.0),
            secret="a secret that all nodes share",
            link_megabits=1000.0,
            cores=1.0,
        )
        self.node = None
        self._stopped = threading.Event()
        self.start()
        self._reporter = threading.Thread(target=self._send_reports, daemon=True)
        self._reporter.start()

    def start(self):
        settings = PlatformSettings(self.settings, self.fleet.store.address)
        self.node = HostedNode(self.settings, make_adapter(settings))
        self.node.start()

    def find(self, name):
        return self.node.kernel.find(name)

    def kill(self):
        """Halt the node's services without telling its peers, as a kill would."""
        self.node.halt()

    def close(self):
        self._stopped.set()
        self._reporter.join()
        self.kill()
        self.app.close()

    def report(self, state="ready", **changes):
        """Send one report of the backend server; return the HTTP status."""
        changes = {"address": str(self.app.address), **changes}
        data_centre = self.settings.data_centre
        return send_report(
            self.settings.reports, self.app, data_centre, state, **changes
        )

    def leave(self):
        """Deregister the backend server; return the HTTP status."""
        path = f"/-/instances/{self.app.instance}"
        return send(self.settings.reports, "DELETE", path).status

    def is_ready(self):
        return ask_ready(self.settings.readiness)

    def _send_reports(self):
        while not self._stopped.wait(REPORT_SECONDS):
            if self.app.is_healthy:
                try:
                    self.report()
                except OSError:
                    continue


class Fleet:
    """A store and some machines.

    Args:
        specs: (service, data centre) of each machine.
    """

    def __init__(self, specs):
        self.executor = ThreadPoolExecutor(500)
        self.store = FakeStore(self.executor)
        self.machines = [
            Machine(self, number, service, data_centre)
            for number, (service, data_centre) in enumerate(specs)
        ]

    def wait_ready(self):
        """Wait until nodes are ready, know all servers and have checked their own."""
        count = len(self.machines)
        wait_for(lambda: all(machine.is_ready() for machine in self.machines))
        wait_for(
            lambda: all(
                sum(
                    member.is_serving
                    for member in machine.find("member-table").list_members()
                )
                == count
                for machine in self.machines
            )
        )
        wait_for(
            lambda: (
                not any(
                    machine.find("registration").is_blocked for machine in self.machines
                )
            )
        )

    def close(self):
        for machine in self.machines:
            machine.close()
        self.store.close()
        self.executor.shutdown(wait=False, cancel_futures=True)

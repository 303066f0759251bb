"""A fleet of hosted nodes in this process, between stand-ins for their platform."""

import threading
from concurrent.futures import ThreadPoolExecutor

from appstand import AppStand, send_report
from callerstand import ask_ready, send, wait_for
from godwitrack.address import Address
from godwitrack_lab.deployment import find_ports
from godwitrack_node.hostednode import HostedNode, HostedSettings
from godwitrack_node.hostedretrybudget import RetryLimits
from godwitrack_platform.main import make_adapter
from godwitrack_platform.settings import PlatformSettings
from storestand import StoreStand

REPORT_SECONDS = 0.3
ZONES = {"dc-a": "north", "dc-b": "south"}
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
    """One VM: a node and the process of a backend server beside it."""

    def __init__(self, fleet, number, service, data_centre):
        self.fleet = fleet
        self.app = AppStand(fleet.executor, service, f"i-{number}")
        ports = find_ports(4)
        addresses = [Address("127.0.0.1", port) for port in ports]
        self.settings = HostedSettings(
            name=f"node-{number}",
            service=service,
            region=ZONES[data_centre],
            data_centre=data_centre,
            callers=addresses[0],
            links=addresses[1],
            advertised=addresses[1],
            readiness=addresses[2],
            reports=addresses[3],
            metrics=None,
            server=self.app.address,
            report_seconds=REPORT_SECONDS,
            cold_tolerance=1.0,
            stop_seconds=5.0,
            retry_limits=RetryLimits(0.2, 10.0, 64.0),
            secret="a secret that all nodes share",
        )
        self.node = None
        self._stopped = threading.Event()
        self.start()
        self._reporter = threading.Thread(target=self._report_often, daemon=True)
        self._reporter.start()

    def start(self):
        settings = PlatformSettings(self.settings, self.fleet.store.address)
        self.node = HostedNode(self.settings, make_adapter(settings))
        self.node.start()

    def find(self, name):
        return self.node.kernel.find(name)

    def kill(self):
        """End the node's services as a kill would, without a word to anyone."""
        self.node.halt()

    def close(self):
        self._stopped.set()
        self._reporter.join()
        self.kill()
        self.app.close()

    def report(self, state="ready", **changes):
        """Send one report of the backend server; returns the status."""
        changes = {"address": str(self.app.address), **changes}
        place = self.settings.data_centre
        return send_report(self.settings.reports, self.app, place, state, **changes)

    def leave(self):
        path = f"/-/instances/{self.app.instance}"
        return send(self.settings.reports, "DELETE", path).status

    def is_ready(self):
        return ask_ready(self.settings.readiness)

    def _report_often(self):
        while not self._stopped.wait(REPORT_SECONDS):
            if self.app.is_healthy:
                try:
                    self.report()
                except OSError:
                    continue


class Fleet:
    """The store and some machines."""

    def __init__(self, places):
        self.executor = ThreadPoolExecutor(500)
        self.store = StoreStand(self.executor)
        self.machines = [
            Machine(self, number, service, data_centre)
            for number, (service, data_centre) in enumerate(places)
        ]

    def wait_ready(self):
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
                    machine.find("registration").is_suspect for machine in self.machines
                )
            )
        )

    def close(self):
        for machine in self.machines:
            machine.close()
        self.store.close()
        self.executor.shutdown(wait=False, cancel_futures=True)

"""A cluster of real nodes in this process, over loopback with an in-memory store."""

import collections
import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from godwitrack.address import Address
from godwitrack.plans import read_lists
from godwitrack.settings import Settings
from godwitrack.store import HttpClient
from godwitrack_lab.backendserver import BackendServer, Behaviour
from godwitrack_lab.deployment import Deployment, find_ports, make_settings
from godwitrack_lab.load import open_connection
from godwitrack_lab.memory import MemoryObjects, MemoryPlatform, MemoryTables
from godwitrack_lab.network import Network
from godwitrack_node.node import Node

WAIT_SECONDS = 30.0
POLL_SECONDS = 0.02
# Services that a simulated kill stops.
KILLED_SERVICES = ("callers", "link-server", "membership", "scheduler", "operators")
# Stated limit for a change to take effect on all nodes at today's fleet size.
IN_FORCE_SECONDS = 5.0


class Member:
    """A node and its fake backend server."""

    def __init__(self, cluster, spec, ports, seeds):
        self.spec = spec
        self.backend = BackendServer(
            spec.name,
            cluster.executor,
            Address("127.0.0.1", 0),
            Behaviour(spec.seconds),
        )
        data = make_settings(
            spec,
            ports,
            self.backend.address[1],
            seeds,
            "http://127.0.0.1:1",
            peers__ping_interval_ms=200,
            stop__notice_ms=300,
            links__silence_ms=200,
        )
        self.settings = Settings(data)
        self.cluster = cluster
        self.node = None
        self._killed = []
        self.start()

    def start(self):
        """Start a new node without any state of an earlier one."""
        region, network = self.spec.region, self.cluster.network
        network.set_region(str(self.settings.get("listen.links")), region)
        self.node = Node(
            self.settings,
            tables=network.wrap_service(self.cluster.tables, region),
            objects=network.wrap_service(self.cluster.objects, region),
            connect=network.make_connect(region),
        )
        self.node.start()
        self.announce("warm")

    def announce(self, state):
        """Announce a state of the backend server to its node."""
        self.find("lifecycle").announce(
            {"service": self.spec.service, "state": state, "slots": self.spec.slots}
        )

    def find(self, name):
        return self.node.kernel.find(name)

    @property
    def revision(self):
        return self.find("configurations").current.revision

    @property
    def callers(self):
        return str(self.settings.get("listen.callers"))

    def kill(self):
        """Cut the node off from callers and peers without notice, as a crash would."""
        for name in KILLED_SERVICES:
            self.find(name).drain()
            self.find(name).stop()
        self._killed.append(self.node)

    def stop(self):
        """Stop the node and the killed ones before it."""
        for node in self._killed:
            node.stop()
        return self.node.stop()


class Cluster:
    """Members for the first servers of a deployment, or for the named ones.

    Args:
        count: Number of members.
        names: Names of the servers to use; empty for any.
    """

    def __init__(self, count, names=()):
        self.deployment = Deployment("ljusgemenskapen")
        self.network = Network("sve-syd")
        self.platform = MemoryPlatform()
        self.tables = MemoryTables(self.platform)
        self.objects = MemoryObjects(self.platform)
        self.executor = ThreadPoolExecutor(2000)
        specs = [
            item for item in self.deployment.servers if not names or item.name in names
        ]
        ports = find_ports(3 * count)
        seeds = [f"127.0.0.1:{port}" for port in ports[2:9:3]]
        self.members = [
            Member(self, spec, ports[3 * index : 3 * index + 3], seeds)
            for index, spec in enumerate(specs[:count])
        ]

    def __enter__(self):
        folder = self.deployment.folder
        records = read_lists(folder / "customers.yaml", folder / "plans.yaml")
        self.commit(self.members[0], 0, records)
        self.wait(self.is_complete, "all members know each other")
        return self

    def __exit__(self, *exception):
        self.platform.faults.outage = False
        threads = [threading.Thread(target=item.stop) for item in self.members]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for member in self.members:
            member.backend.stop()
        self.executor.shutdown(wait=False, cancel_futures=True)

    def is_complete(self):
        return all(
            len(member.find("directory").list_servers()) == len(self.members)
            and member.find("configurations").is_ready
            and member.revision == self.members[0].revision
            for member in self.members
        )

    def commit(self, member, base, records, change_id="first"):
        configurations = member.find("configurations")
        return configurations.commit(base, records, "test", change_id)

    def wait(self, condition, text, seconds=WAIT_SECONDS):
        deadline = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < deadline, f"not within {seconds} s: {text}"
            time.sleep(POLL_SECONDS)

    def count_runs(self):
        runs = collections.Counter()
        for member in self.members:
            runs.update(member.backend.runs)
        return runs


def call(
    address, method, path, customer="brand-ask", operation="", body=None, extra=()
):
    """Send one request; return status, headers and body."""
    connection = open_connection(address)
    headers = {
        "Authorization": f"Bearer demo-key-{customer}",
        "X-Operation": operation,
        **dict(extra),
    }
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    finally:
        connection.close()


def fetch_json(address, path):
    """Return the JSON that an operators' port serves at a path."""
    response = HttpClient(5.0).fetch("GET", f"http://{address}{path}")
    return json.loads(response.body)

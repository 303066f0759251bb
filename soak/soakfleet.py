"""The fleet of one soak run: the store, the machines and the recorded requests."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

from fakestore import FakeStore
from operatorsrows import make_config, make_route, make_service
from soakcallers import CALL_KINDS, CALLERS_PER_NODE, TIMEOUT_SECONDS, SoakCaller
from soakmachine import MachineSpec, SoakMachine
from testcaller import make_request_headers, send, wait_for

MAX_THREADS = 1500
WARM_UP_REQUESTS_PER_SECOND = 20.0
MAX_ATTEMPTS = 2
PROBE_SECONDS = 1.0
MACHINE_SPECS = (
    MachineSpec("scenbok", "dc-a", "north"),
    MachineSpec("styrning", "dc-a", "north"),
    MachineSpec("scenbok", "dc-b", "north"),
    MachineSpec("styrning", "dc-b", "north"),
    MachineSpec("scenbok", "dc-c", "south"),
)


class SoakFleet:
    """Starts and stops the store, the machines and the callers.

    Attributes:
        subnet: Second octet of all IP addresses.
        folder: pathlib.Path for settings and logs.
        executor: ThreadPoolExecutor of the store and the backend servers.
        store: FakeStore.
        store_lock: Lock, held while a fault makes the store fail.
        machines: SoakMachines.
        runs: Runs of all backend servers.
        calls: SentCalls of all callers.
    """

    def __init__(self, seed, folder, subnet):
        self.subnet = subnet
        self.folder = folder
        self.executor = ThreadPoolExecutor(MAX_THREADS)
        self.store = FakeStore(self.executor)
        self.store_lock = threading.Lock()
        self.runs = []
        self.calls = []
        self._revision = 0
        self._revision_lock = threading.Lock()
        self.publish_routes()
        self.machines = [
            SoakMachine(self, number, spec) for number, spec in enumerate(MACHINE_SPECS)
        ]
        self._callers = [
            SoakCaller(machine, number, f"s{seed}", self.calls)
            for machine in self.machines
            for number in range(CALLERS_PER_NODE)
        ]

    def publish_routes(self, more=0):
        """Store the routes as a new revision, with one route that only this one has.

        Args:
            more: Number of further routes, which nobody calls.
        """
        with self._revision_lock:
            self._revision += 1
            resources = [_make_call_route(kind) for kind in CALL_KINDS]
            extra = make_route("extra", f"/extra-{self._revision}/", "scenbok")
            for number in range(more):
                route = make_route(f"m-{number}", f"/more-{number}/", "scenbok")
                resources.append(route)
            services = [
                make_service(name, WARM_UP_REQUESTS_PER_SECOND)
                for name in sorted({spec.service for spec in MACHINE_SPECS})
            ]
            config = make_config(self._revision, *resources, extra, *services)
            self.store.put("op", "config", config)

    def list_without_routes(self):
        """Return the numbers of the nodes that still know a route of older routes."""
        path = f"/extra-{self._revision - 1}/1"
        return [m.number for m in self.machines if not _is_unknown(m, path)]

    def wait_ready(self):
        """Wait until every node is ready."""
        wait_for(lambda: all(machine.is_ready() for machine in self.machines))

    def start_calls(self):
        """Start all callers."""
        for caller in self._callers:
            caller.start()

    def stop_calls(self):
        """Stop all callers and wait for their requests in flight."""
        for caller in self._callers:
            caller.stop()

    def list_unserved(self, seconds):
        """Return (node, route name) pairs without a served call in the last seconds."""
        since = time.monotonic() - seconds
        pairs = {(m.number, k.name) for m in self.machines for k in CALL_KINDS}
        for call in list(self.calls):
            is_served = call.answer is not None and call.answer.status == 200
            if is_served and call.sent_at >= since:
                pairs.discard((call.node, call.kind.name))
        return pairs

    def close(self):
        """Stop all processes and threads."""
        threads = [threading.Thread(target=m.close) for m in self.machines]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.store.close()
        self.executor.shutdown(wait=False, cancel_futures=True)


def _is_unknown(machine, path):
    headers = make_request_headers(f"probe-{machine.number}", PROBE_SECONDS)
    try:
        answer = send(machine.caller_address, "GET", path, headers=headers)
    except OSError:
        return False
    return answer.status == 404


def _make_call_route(kind):
    return make_route(
        kind.name,
        f"/{kind.name}/",
        kind.service,
        "idempotent" if kind.is_idempotent else "non_idempotent",
        allowedRegions=kind.regions,
        timeoutS=TIMEOUT_SECONDS,
        maxAttempts=MAX_ATTEMPTS,
    )

"""The fleet of one soak: the store, the machines and what ran there."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

from callerstand import wait_for
from operatorsrows import make_config, make_route, make_service
from soakcallers import CALL_KINDS, CALLERS_PER_NODE, TIMEOUT_SECONDS, SoakCaller
from soakmachine import Place, SoakMachine
from storestand import StoreStand

THREADS = 1500
COLD_RATE = 20.0
ATTEMPTS = 2
PLACES = (
    Place("scenbok", "dc-a", "north"),
    Place("styrning", "dc-a", "north"),
    Place("scenbok", "dc-b", "north"),
    Place("styrning", "dc-b", "north"),
    Place("scenbok", "dc-c", "south"),
)


class SoakFleet:
    """Starts and ends everything.

    Attributes:
        subnet: Second number of all its IP addresses.
        folder: pathlib.Path for settings and logs.
        store: StoreStand.
        store_lock: Lock, held while a fault of the store lasts.
        machines: SoakMachines.
        runs: Runs of all backend servers.
        calls: SentCalls of all callers.
    """

    def __init__(self, seed, folder, subnet):
        self.subnet = subnet
        self.folder = folder
        self.executor = ThreadPoolExecutor(THREADS)
        self.store = StoreStand(self.executor)
        self.store_lock = threading.Lock()
        self.runs = []
        self.calls = []
        self._revision = 0
        self._revision_lock = threading.Lock()
        self.put_routes()
        self.machines = [
            SoakMachine(self, number, place) for number, place in enumerate(PLACES)
        ]
        self._callers = [
            SoakCaller(machine, number, f"s{seed}", self.calls)
            for machine in self.machines
            for number in range(CALLERS_PER_NODE)
        ]

    def put_routes(self):
        """Put the routes into the store as a new revision, with one route more."""
        with self._revision_lock:
            self._revision += 1
            resources = [_make_resource(kind) for kind in CALL_KINDS]
            extra = make_route("extra", f"/extra-{self._revision}/", "scenbok")
            services = [
                make_service(name, COLD_RATE)
                for name in sorted({place.service for place in PLACES})
            ]
            config = make_config(self._revision, *resources, extra, *services)
            self.store.put("op", "config", config)

    def wait_ready(self):
        """Wait until every node is ready."""
        wait_for(lambda: all(machine.is_ready() for machine in self.machines))

    def start_calls(self):
        """Let all callers begin."""
        for caller in self._callers:
            caller.start()

    def stop_calls(self):
        """Let all callers end."""
        for caller in self._callers:
            caller.stop()

    def find_unserved(self, seconds):
        """Return (node, route) pairs that no call was served on in the last seconds."""
        since = time.monotonic() - seconds
        pairs = {(m.number, k.name) for m in self.machines for k in CALL_KINDS}
        for call in list(self.calls):
            is_served = call.answer is not None and call.answer.status == 200
            if is_served and call.sent_at >= since:
                pairs.discard((call.node, call.kind.name))
        return pairs

    def close(self):
        """End all processes and threads."""
        threads = [threading.Thread(target=m.close) for m in self.machines]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.store.close()
        self.executor.shutdown(wait=False, cancel_futures=True)


def _make_resource(kind):
    return make_route(
        kind.name,
        f"/{kind.name}/",
        kind.service,
        "idempotent" if kind.is_idempotent else "non_idempotent",
        allowedRegions=kind.regions,
        timeoutS=TIMEOUT_SECONDS,
        maxAttempts=ATTEMPTS,
    )

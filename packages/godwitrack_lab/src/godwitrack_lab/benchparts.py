"""Measures single components at sizes that a test fleet can't reach."""

import json
import random
import time

import psutil

from godwitrack.callmessages import Call
from godwitrack.clock import SystemClock
from godwitrack.configuration import Change, Configuration
from godwitrack.controlmessages import Ping, Records
from godwitrack.kernel import Kernel
from godwitrack.message import pack_list
from godwitrack.messages import decode_message
from godwitrack.patches import make_patch
from godwitrack_lab.simulationparts import SimulatedExclusions
from godwitrack_node.directory import (
    BUCKETS,
    Directory,
    ServerRecord,
    ServerState,
)
from godwitrack_node.identity import Identity
from godwitrack_node.ledger import Ledger
from godwitrack_node.peers import choose_peers
from godwitrack_node.routing import Location, Router

DIRECTORY_SIZES = (16, 200, 9500)
LIST_SIZES = (100, 2800, 20_000)
SERVERS_PER_SERVICE = 16
CUSTOMER_COUNT = 2000
LEDGER_ENTRIES = 40_000
MICROSECONDS_PER_SECOND = 1e6


def measure(function, count):
    """Return the mean duration of a function call in microseconds."""
    started = time.perf_counter()
    for _ in range(count):
        function()
    return (time.perf_counter() - started) / count * MICROSECONDS_PER_SECOND


def read_resident_kb():
    """Return the resident memory of this process in kilobytes."""
    return psutil.Process().memory_info().rss // 1024


def make_record(index, version=1):
    """Return the ServerRecord of one server of a large fleet."""
    return ServerRecord(
        f"service-{index // SERVERS_PER_SERVICE}-{index}",
        f"service-{index // SERVERS_PER_SERVICE}",
        f"region-{index % 2}",
        f"data-centre-{index % 4}",
        f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}:8081",
        13,
        ServerState.WARM,
        1_700_000_000_000_000,
        version,
    )


def report_directory(size):
    """Print the memory and CPU costs of a directory of one size."""
    clock = SystemClock()
    before = read_resident_kb()
    directory = Directory(clock)
    for index in range(size):
        directory.merge(make_record(index))
    growth_kb = read_resident_kb() - before
    exclusions = SimulatedExclusions()
    kernel = Kernel()
    kernel.register(directory)
    kernel.register(exclusions)
    router = Router(clock, Location("region-0", "data-centre-0"))
    router.connect(kernel)
    regions = frozenset(("region-0", "region-1"))
    identity = Identity("service-0-0", "service-0", "region-0", "data-centre-0", 1)
    versions = iter(range(2, 10_000_000))

    def merge():
        directory.merge(make_record(random.randrange(size), next(versions)))

    print(f"directory of {size} servers")
    print(f"  grown by, kB                {growth_kb:10}")
    cost = measure(lambda: router.choose("service-0", regions), 3000)
    print(f"  choose a server, us         {cost:10.1f}")
    print(f"  merge one record, us        {measure(merge, 2000):10.1f}")
    print(
        f"  digest of all, us           {measure(directory.compute_digest, 300):10.1f}"
    )
    records = directory.list_servers()
    cost = measure(lambda: choose_peers(records, identity), 10)
    print(f"  choose peers anew, us       {cost:10.1f}")
    data = Ping("a", 1, 2**60, 5, [item.to_data() for item in records[:16]]).encode()
    print(f"  bytes of a record in a ping {len(data) / 16:10.1f}")


def report_join(size):
    """Print the cost of sending the whole directory to a joining node."""
    rng = random.Random(1)
    clock = SystemClock()
    full, empty = Directory(clock), Directory(clock)
    for index in range(size):
        incarnation = 1_700_000_000_000_000 + rng.randrange(10**13)
        full.merge(make_record(index).replace(incarnation=incarnation))

    def pack():
        records = [
            item for bucket in range(BUCKETS) for item in full.list_bucket(bucket)
        ]
        data = [item.to_data() for item in records]
        return Records.pack(list(range(BUCKETS)), data).encode()

    def merge():
        for item in decode_message(pack()).unpack():
            empty.merge(ServerRecord.from_data(item))

    print(f"join of {size} servers: {len(pack())} bytes")
    print(f"  given, ms                   {measure(pack, 1) / 1000:10.1f}")
    print(f"  given and taken, ms         {measure(merge, 1) / 1000:10.1f}")


def report_messages():
    """Print the size and the encoding and decoding time of messages."""
    headers = [[f"header-{index}", "value" * 4] for index in range(8)]
    call = Call(
        *("id-1", 1, 1, "brand-ask", "interactive", "scenbok", "GET", "/scenes/7"),
        *(headers, True, ["a", "b"], 900.0, 1, 2, False, 0, b"", False),
    )
    ping = Ping("service-1-1", 1_700_000_000_000_000, 2**60, 5, [])
    for name, message in (("call", call), ("ping", ping)):
        data = message.encode()
        encode = measure(message.encode, 5000)
        decode = measure(lambda data=data: decode_message(data), 5000)
        print(f"{name}: {len(data)} bytes, {encode:.1f} us out, {decode:.1f} us in")


def report_configuration():
    """Print the cost of applying one change to a large configuration."""
    records = {
        f"plan/plan-{index}": {
            "regions": ["region-0"],
            "requests_per_second": 10,
            "routes": [{"service": "service-0", "methods": ["GET"], "path": "/"}],
        }
        for index in range(100)
    }
    for index in range(CUSTOMER_COUNT):
        records[f"customer/customer-{index}"] = {
            "plan": f"plan-{index % 100}",
            "key_sha256": f"{index:064x}",
        }
    configuration = Configuration(1, records)
    change = Change(2, "id", {"plan/plan-1": records["plan/plan-1"]}, "x", 0.0)
    cost = measure(lambda: configuration.apply(change), 20)
    print(f"apply a change, {len(records)} records: {cost / 1000:.2f} ms")


def make_list(size, version, weight):
    """Return a list of routes as bytes, the middle one of which has a weight."""
    rng = random.Random(1)
    routes = [
        {
            "name": f"r-{rng.getrandbits(32):x}",
            "host": f"{rng.getrandbits(32):x}.example",
            "prefix": f"/{rng.getrandbits(40):x}/",
            "service": "service-1",
            "weight": weight if index == size // 2 else 1,
        }
        for index in range(size)
    ]
    return json.dumps({"version": version, "routes": routes}).encode()


def report_patches(size):
    """Print the costs of a change of one weight in a list of routes."""
    base, value = make_list(size, 1, 1), make_list(size, 2, 7)
    patch = make_patch(base, value)
    whole, part = pack_list([value]), pack_list([patch.to_data()])
    print(f"list of {size} routes: {len(value)} bytes, {len(whole)} compressed")
    print(f"  one weight, bytes           {len(part):10}")
    cost = measure(lambda: make_patch(base, value), 10) / 1000
    print(f"  work out the patch, ms      {cost:10.1f}")
    cost = measure(lambda: patch.apply(base), 10) / 1000
    print(f"  check and apply it, ms      {cost:10.1f}")
    cost = measure(lambda: pack_list([value]), 10) / 1000
    print(f"  compress the whole list, ms {cost:10.1f}")


def report_ledger():
    """Print the memory used by each ledger entry."""
    before = read_resident_kb()
    ledger = Ledger(SystemClock())
    for index in range(LEDGER_ENTRIES):
        ledger.claim(f"service-1-1.61b5a0e1f2c3d.{index:x}.0")
        ledger.finish(f"service-1-1.61b5a0e1f2c3d.{index:x}.0", None)
    growth_kb = read_resident_kb() - before
    print(f"ledger: {growth_kb * 1024 / LEDGER_ENTRIES:.0f} bytes an entry")


def main():
    """Run all measurements."""
    for size in reversed(DIRECTORY_SIZES):
        report_directory(size)
        report_join(size)
    for size in LIST_SIZES:
        report_patches(size)
    report_ledger()
    report_messages()
    report_configuration()


if __name__ == "__main__":
    main()

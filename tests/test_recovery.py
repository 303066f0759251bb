"""Tests of recovery after a network partition, lost connections and restarts."""

import threading
import time

import pytest

from cluster import IN_FORCE_SECONDS, Cluster, call
from godwitrack.exceptions import StoreError
from godwitrack_lab.load import LoadGenerator, find_guarantee_violations
from godwitrack_node.orders import Order

NAMES = (
    "scenbok-1",
    "scenbok-2",
    "scenbok-3",
    "scenbok-4",
    "styrning-1",
    "styrning-2",
    "styrning-3",
    "styrning-4",
)
RATE = 60.0
THREADS = 6
SEED = 7
CUT_SECONDS = 4.0
HEAL_LIMIT_SECONDS = 15.0  # Specified limit for a change to be in force everywhere.


@pytest.fixture
def cluster():
    with Cluster(len(NAMES), NAMES) as cluster:
        yield cluster


class Traffic:
    """Customers' reads and writes at every node while the context is entered."""

    def __init__(self, cluster):
        self._cluster = cluster
        kinds = [
            item
            for item in cluster.deployment.kinds
            if item.path.startswith(("/scenbok", "/styrning/s"))
        ]
        self._load = LoadGenerator(kinds, self._find_addresses, RATE, THREADS, SEED)

    def __enter__(self):
        self._load.start()
        return self

    def __exit__(self, *exception):
        self._load.stop()

    def check(self):
        """Assert that the load saw no fault and that no guarantee was violated."""
        tallies = self._load.tallies.values()
        assert [fault for tally in tallies for fault in tally.faults] == []
        runs = self._cluster.count_runs()
        assert find_guarantee_violations(self._load.operations, runs) == []

    def count_failed(self):
        return sum(
            (tally.failed for tally in self._load.tallies.values()),
            start=type(next(iter(self._load.tallies.values())).failed)(),
        )

    def _find_addresses(self, kind):
        """Return the entries that serve a kind; brand-cedra may only use sve-norr."""
        return [
            member.callers
            for member in self._cluster.members
            if kind.customer != "brand-cedra" or member.spec.region == "sve-norr"
        ]


class RevisionWatch:
    """Records each decrease of a node's revision while the context is entered."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._watch)
        self.decreases = []

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exception):
        self._stopped.set()
        self._thread.join()

    def _watch(self):
        highest = {}
        while not self._stopped.wait(0.005):
            for member in self._cluster.members:
                revision = member.revision
                if revision < highest.get(member.spec.name, 0):
                    self.decreases.append((member.spec.name, revision))
                highest[member.spec.name] = revision


def change_rate(cluster, member, rate):
    """Commit a new request rate of the premium plan through a member."""
    records = member.find("configurations").current.records
    plan = {**records["plan/premium"], "requests_per_second": rate}
    return cluster.commit(
        member, member.revision, {"plan/premium": plan}, f"rate-{rate}"
    )


def list_regions(cluster):
    south = [item for item in cluster.members if item.spec.region == "sve-syd"]
    north = [item for item in cluster.members if item.spec.region == "sve-norr"]
    return south, north


def test_a_partitioned_region_keeps_serving_and_no_revision_decreases(cluster):
    south, north = list_regions(cluster)
    base = south[0].revision
    with Traffic(cluster) as traffic, RevisionWatch(cluster) as watch:
        time.sleep(1.0)
        cluster.network.is_cut = True
        change = change_rate(cluster, south[0], 500)
        with pytest.raises(StoreError):
            change_rate(cluster, north[0], 600)
        cluster.wait(
            lambda: all(item.revision == change.revision for item in south),
            "in force in the region that has the platform",
            IN_FORCE_SECONDS,
        )
        time.sleep(CUT_SECONDS)
        assert {item.revision for item in north} == {base}
        served = sum(item.backend.served for item in north)
        cluster.wait(
            lambda: sum(item.backend.served for item in north) > served,
            "the region that is cut off serves its own customers",
        )
        cluster.network.is_cut = False
        cluster.wait(
            lambda: all(item.revision == change.revision for item in north),
            "in force everywhere once the regions are joined again",
            HEAL_LIMIT_SECONDS,
        )
        cluster.wait(cluster.is_complete, "all members know each other")
    traffic.check()
    assert watch.decreases == []


def test_requests_run_exactly_once_when_open_connections_go_silent(cluster):
    """Links opened before the fault stop answering without an error; new ones work."""
    south, _ = list_regions(cluster)
    entry = south[0]
    order = Order("data-centre", "malmo-b", True, "test", "")
    entry.find("orders").carry_out(order)
    order = Order("server", "styrning-3", True, "test", "")
    result = entry.find("orders").carry_out(order)
    cluster.wait(
        lambda: all(item.revision >= result.revision for item in cluster.members),
        "only the other region has a server of this service",
        IN_FORCE_SECONDS,
    )
    path = "/styrning/scenes/7/apply"
    assert call(entry.callers, "POST", path, operation="before")[0] == 200
    cluster.network.lose_connections()
    for number in range(3):
        operation = f"silent-{number}"
        status, _, _ = call(entry.callers, "POST", path, operation=operation)
        assert status == 200
        assert cluster.count_runs()[operation] == 1


def test_killing_and_replacing_a_quarter_of_the_nodes_violates_no_guarantee(cluster):
    """Two of the eight nodes fail at the same time without notice and are replaced."""
    killed = [cluster.members[1], cluster.members[6]]
    with Traffic(cluster) as traffic, RevisionWatch(cluster) as watch:
        time.sleep(1.0)
        for member in killed:
            member.kill()
        time.sleep(1.0)
        for member in killed:
            member.start()
        cluster.wait(cluster.is_complete, "all members know each other")
        time.sleep(1.0)
    traffic.check()
    # A replaced node starts at revision 0, without a configuration. This decrease is
    # allowed, since the node serves nothing before it has a configuration.
    names = {member.spec.name for member in killed}
    assert [item for item in watch.decreases if item != (item[0], 0)] == []
    assert {name for name, _ in watch.decreases} <= names


def test_a_data_centre_brought_back_under_load_does_not_overload_cold_servers(cluster):
    entry = cluster.members[0]
    target = "umea-a"
    inside = [item for item in cluster.members if item.spec.data_centre == target]
    with Traffic(cluster) as traffic:
        time.sleep(0.5)
        order = Order("data-centre", target, True, "test", "")
        result = entry.find("orders").carry_out(order)
        cluster.wait(
            lambda: all(item.revision >= result.revision for item in cluster.members),
            "the data centre is out everywhere",
            IN_FORCE_SECONDS,
        )
        time.sleep(0.5)
        served = [item.backend.served for item in inside]
        time.sleep(1.0)
        assert [item.backend.served for item in inside] == served
        for member in inside:
            member.backend.behaviour.cold = True
            member.announce("cold")
        order = Order("data-centre", target, False, "test", "")
        entry.find("orders").carry_out(order)
        cluster.wait(
            lambda: all(
                item.backend.served > before
                for item, before in zip(inside, served, strict=True)
            ),
            "the data centre serves again",
        )
        time.sleep(1.0)
    traffic.check()
    assert [item.backend.cold_overloads for item in inside] == [0] * len(inside)
    assert sum(traffic.count_failed().values()) == 0

"""Tests of a region cut off, a wave of restarts and a data centre that returns."""

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
HEALED_SECONDS = 15.0  # The stated bound for a change to be in force everywhere.


@pytest.fixture
def cluster():
    with Cluster(len(NAMES), NAMES) as cluster:
        yield cluster


class Traffic:
    """Reads and writes of customers at every node, checked at the end."""

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
        """Check what must always hold."""
        tallies = self._load.tallies.values()
        assert [fault for tally in tallies for fault in tally.faults] == []
        runs = self._cluster.count_runs()
        assert find_guarantee_violations(self._load.operations, runs) == []

    def count_refused(self):
        return sum(
            (tally.refused for tally in self._load.tallies.values()),
            start=type(next(iter(self._load.tallies.values())).refused)(),
        )

    def _find_addresses(self, kind):
        """Return the entries of a customer; brand-cedra may only use its home."""
        return [
            member.callers
            for member in self._cluster.members
            if kind.customer != "brand-cedra" or member.place.region == "sve-norr"
        ]


class RevisionWatch:
    """Notes whether any node's revision ever goes back."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._watch)
        self.reversions = []

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
                if revision < highest.get(member.place.name, 0):
                    self.reversions.append((member.place.name, revision))
                highest[member.place.name] = revision


def change_rate(cluster, member, rate):
    """Change a plan's requests a second, as an operator at a member."""
    records = member.find("configurations").current.records
    plan = {**records["plan/premium"], "requests_per_second": rate}
    return cluster.commit(
        member, member.revision, {"plan/premium": plan}, f"rate-{rate}"
    )


def list_regions(cluster):
    south = [item for item in cluster.members if item.place.region == "sve-syd"]
    north = [item for item in cluster.members if item.place.region == "sve-norr"]
    return south, north


def test_a_region_cut_off_serves_on_and_heals_without_reversion(cluster):
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
            HEALED_SECONDS,
        )
        cluster.wait(cluster.is_complete, "all members know each other")
    traffic.check()
    assert watch.reversions == []


def test_connections_that_fall_silent_lose_and_double_nothing(cluster):
    """Links that were used before give no sign of life; new ones work."""
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


def test_a_wave_of_restarts_breaks_no_promise(cluster):
    """A quarter of all nodes die at once, with no notice, and are replaced."""
    victims = [cluster.members[1], cluster.members[6]]
    with Traffic(cluster) as traffic, RevisionWatch(cluster) as watch:
        time.sleep(1.0)
        for member in victims:
            member.kill()
        time.sleep(1.0)
        for member in victims:
            member.start()
        cluster.wait(cluster.is_complete, "all members know each other")
        time.sleep(1.0)
    traffic.check()
    # A node that was replaced starts without a configuration, and that is no step
    # back: it serves nothing before it has one.
    names = {member.place.name for member in victims}
    assert [item for item in watch.reversions if item != (item[0], 0)] == []
    assert {name for name, _ in watch.reversions} <= names


def test_a_data_centre_returns_under_load_with_a_cold_server(cluster):
    entry = cluster.members[0]
    target = "umea-a"
    inside = [item for item in cluster.members if item.place.data_centre == target]
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
    assert sum(traffic.count_refused().values()) == 0

"""Tests of the configuration under races, lost answers, outages and restarts."""

import threading
import time

import pytest

from cluster import IN_FORCE_SECONDS, Cluster, call
from godwitrack.exceptions import RevisionConflict, SettingsError, StoreError
from godwitrack_node.orders import Order


@pytest.fixture(scope="module")
def cluster():
    with Cluster(4) as cluster:
        yield cluster


def change_plan(rate):
    plan = {
        "regions": ["sve-syd", "sve-norr"],
        "requests_per_second": rate,
        "routes": [
            {
                "service": "scenbok",
                "methods": ["GET"],
                "path": "/scenes",
                "idempotent": True,
            }
        ],
    }
    return {"plan/premium": plan}


def wait_in_force(cluster, revision):
    cluster.wait(
        lambda: all(item.revision >= revision for item in cluster.members),
        f"revision {revision} is in force everywhere",
        IN_FORCE_SECONDS,
    )


def test_a_change_comes_into_force_at_all_nodes(cluster):
    base = cluster.members[0].revision
    change = cluster.commit(cluster.members[1], base, change_plan(500), "a")
    assert change.revision == base + 1
    wait_in_force(cluster, change.revision)


def test_one_of_several_concurrent_changes_is_accepted(cluster):
    base = cluster.members[0].revision
    wait_in_force(cluster, base)
    results = []

    def commit(member, rate):
        try:
            change = cluster.commit(member, base, change_plan(rate), f"race-{rate}")
            results.append(change.change_id)
        except RevisionConflict as error:
            results.append(error)

    threads = [
        threading.Thread(target=commit, args=(cluster.members[index], 600 + index))
        for index in range(4)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    winners = [item for item in results if isinstance(item, str)]
    assert len(winners) == 1
    wait_in_force(cluster, base + 1)
    assert {item.revision for item in cluster.members} == {base + 1}


@pytest.mark.parametrize("lost", [1, 3])
def test_a_commit_whose_answers_are_lost_succeeds(cluster, lost):
    base = cluster.members[0].revision
    wait_in_force(cluster, base)
    cluster.platform.faults.lost_answers = lost
    change = cluster.commit(cluster.members[2], base, change_plan(700), f"lost-{lost}")
    cluster.platform.faults.lost_answers = 0
    assert change.revision == base + 1
    wait_in_force(cluster, base + 1)
    row = cluster.tables.read_row("configuration", "head")
    assert row.value == {"revision": base + 1}


def test_an_invalid_change_is_refused_and_nothing_is_written(cluster):
    base = cluster.members[0].revision
    wrong = {"customer/new": {"plan": "none-such", "key_sha256": "0" * 64}}
    with pytest.raises(SettingsError, match=r"new\.plan: no plan"):
        cluster.commit(cluster.members[0], base, wrong, "wrong")
    assert cluster.tables.read_row("configuration", "head").value["revision"] == base


def test_a_stale_store_reverts_no_change(cluster):
    member = cluster.members[0]
    base = member.revision
    cluster.platform.faults.stale = True
    cluster.tables.read_row("configuration", "head")
    try:
        cluster.commit(member, base, change_plan(800), "fresh")
        wait_in_force(cluster, base + 1)
        for item in cluster.members:
            item.find("configurations").refresh()
        assert {item.revision for item in cluster.members} == {base + 1}
    finally:
        cluster.platform.faults.stale = False


def test_a_take_out_during_a_store_outage_spreads_by_notice(cluster):
    """During the outage a change is refused and nothing is written."""
    target = cluster.members[1]
    entry = cluster.members[0]
    base = entry.revision
    cluster.platform.faults.outage = True
    order = Order("server", target.spec.name, True, "test", "broken disk")
    result = entry.find("orders").carry_out(order)
    assert result.revision == 0
    assert result.is_noticed
    with pytest.raises(StoreError):
        cluster.commit(entry, base, change_plan(900), "during")
    cluster.wait(
        lambda: all(
            target.spec.name in item.find("exclusions").read().servers
            for item in cluster.members
        ),
        "the notice is everywhere",
        IN_FORCE_SECONDS,
    )
    before = target.backend.served
    for _ in range(20):
        status, _, _ = call(entry.callers, "GET", "/scenbok/scenes/1")
        assert status == 200
    assert target.backend.served == before
    cluster.platform.faults.outage = False
    cluster.wait(
        lambda: not entry.find("orders").list_pending(), "the order is recorded", 15
    )
    wait_in_force(cluster, base + 1)
    back = Order("server", target.spec.name, False, "test", "")
    result = entry.find("orders").carry_out(back)
    assert result.revision == base + 2
    cluster.wait(
        lambda: (
            not any(item.find("exclusions").read().servers for item in cluster.members)
        ),
        "the server is back",
        IN_FORCE_SECONDS,
    )


def test_a_node_restarted_during_an_outage_reads_from_its_peers(cluster):
    base = cluster.members[0].revision
    wait_in_force(cluster, base)
    cluster.platform.faults.outage = True
    member = cluster.members[3]
    member.stop()
    member.start()
    try:
        cluster.wait(
            lambda: member.find("configurations").is_ready, "the node is ready"
        )
        assert member.revision == base
        cluster.wait(cluster.is_complete, "all members know each other")
        status, _, _ = call(member.callers, "GET", "/scenbok/scenes/1")
        assert status == 200
    finally:
        cluster.platform.faults.outage = False


def test_a_data_centre_taken_out_gets_no_new_work(cluster):
    entry = cluster.members[0]
    target = entry.spec.data_centre
    result = entry.find("orders").carry_out(
        Order("data-centre", target, True, "test", "")
    )
    wait_in_force(cluster, result.revision)
    inside = [item for item in cluster.members if item.spec.data_centre == target]
    assert inside
    taken_out = time.time()
    for _ in range(20):
        status, _, _ = call(entry.callers, "GET", "/scenbok/scenes/1")
        assert status == 200
    assert all(item.backend.last_started < taken_out for item in inside)
    result = entry.find("orders").carry_out(
        Order("data-centre", target, False, "test", "")
    )
    wait_in_force(cluster, result.revision)

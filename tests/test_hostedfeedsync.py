"""Tests of hosted nodes: changes in the store, also during its outages."""

import time

import pytest

from fakeplatform import APPLY_SECONDS
from godwitrack.hashing import hash_text
from hostedfleet import ask, list_runs
from operatorsrows import make_config, make_route
from testcaller import wait_for

# A recovery must be noticed within about two seconds.
RECOVERY_SECONDS = 2.0


def test_a_data_centre_that_is_taken_out_gets_no_requests(fleet):
    fleet.store.put("op", "evacuate/dc-a", {})
    wait_for(lambda: all(m.find("configurations").taken_out for m in fleet.machines))
    for number in range(5):
        assert ask(fleet.machines[0], "/read/1", f"r{number}").status == 200
        assert list_runs(fleet, f"r{number}") == ["i-2"]
    fleet.store.remove("op", "evacuate/dc-a")
    wait_for(lambda: ask(fleet.machines[0], "/lamp/1", "back").status == 200)


def test_a_change_comes_into_force_at_all_nodes(fleet):
    fleet.store.put(
        "op", "config", make_config(9, make_route("new", "/new/", "scenbok"))
    )
    for machine in fleet.machines:
        wait_for(lambda m=machine: ask(m, "/new/1").status == 200, 2.5)
        assert ask(machine, "/read/1").status == 404


def test_a_lost_history_loses_no_change(fleet):
    fleet.store.is_away = True
    fleet.store.put(
        "op", "config", make_config(9, make_route("new", "/new/", "scenbok"))
    )
    fleet.store.compact()
    fleet.store.is_away = False
    for machine in fleet.machines:
        wait_for(lambda m=machine: ask(m, "/new/1").status == 200)


def test_requests_are_served_during_a_store_outage(fleet):
    fleet.store.is_away = True
    for machine in fleet.machines:
        assert ask(machine, "/read/1").status == 200


@pytest.mark.parametrize("away_seconds", [0.0, APPLY_SECONDS])
def test_a_node_that_starts_during_a_store_outage_reads_from_other_nodes(
    fleet, away_seconds
):
    """Guards against a node that starts late in an outage and rejects old content.

    The other nodes' content was older than the limit, so the node accepted none of it.
    """
    machine = fleet.machines[1]
    fleet.store.is_away = True
    time.sleep(away_seconds)
    machine.kill()
    # The other nodes detect the failure and probe the node from then on.
    ask(fleet.machines[0], "/lamp/1")
    machine.start()
    wait_for(machine.is_ready)
    wait_for(lambda: ask(fleet.machines[0], "/lamp/1", "r2").status == 200)


def test_a_node_whose_restart_goes_unnoticed_reads_from_nodes_that_call_it(fleet):
    """Guards against nodes without routes for seven seconds while all others run.

    All nodes were restarted while the store refused some of them (trouble-3 of ljusnav,
    32 to 39 s). The other nodes reached them, and so did not probe them. Their servers
    ran the requests that other nodes sent, but without routes the nested calls of these
    requests failed.
    """
    leader, follower = sorted(fleet.machines[:2], key=find_rank)
    path = "/lamp/1" if follower is fleet.machines[1] else "/read/1"
    fleet.store.is_away = True
    follower.kill()
    follower.start()
    ask(leader, path, "early")
    assert follower.app.instance not in list_runs(fleet, "early")
    wait_for(follower.is_ready, RECOVERY_SECONDS)
    wait_for(lambda: ask(leader, path, "late").status == 200)


def find_rank(machine):
    return hash_text(str(machine.settings.links))


def test_the_row_is_written_although_the_store_loses_answers(fleet):
    machine = fleet.machines[1]
    fleet.store.loses_answers = True
    machine.kill()
    machine.start()
    fleet.store.loses_answers = False
    wait_for(lambda: ask(fleet.machines[0], "/lamp/1").status == 200)

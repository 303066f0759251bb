"""Tests of nodes whose store comes back from a copy, with versions given out again."""

import pytest

from fakeplatform import APPLY_SECONDS
from hostedfleet import RESOURCES, ask
from operatorsrows import make_config, make_route
from testcaller import wait_for

NEW_ROUTE = make_route("new", "/new/", "scenbok")
ADDED_ROUTE = make_route("added", "/added/", "scenbok")
# Rows of other tables that advance the store's counter.
MANY_ROWS = 40


def is_served_everywhere(fleet, path):
    return all(ask(machine, path).status == 200 for machine in fleet.machines)


def add_rows(store, count):
    for number in range(count):
        store.put("other", f"row-{number}", {})


@pytest.mark.parametrize(
    "later_rows", [0, 2 * MANY_ROWS], ids=["lower version", "same version"]
)
def test_a_change_after_a_restoration_comes_into_force_everywhere(fleet, later_rows):
    """Guards against a change whose version was given out before (CONFIG, DENIED).

    Nodes dropped the restored table, since its version was lower. Once as many rows had
    been written as before, they got pages that lacked what was written in between.
    """
    copy = fleet.store.copy()
    add_rows(fleet.store, MANY_ROWS)
    config = make_config(9, *RESOURCES, NEW_ROUTE)
    fleet.store.put("op", "config", config)
    wait_for(lambda: is_served_everywhere(fleet, "/new/1"))
    fleet.store.is_away = True
    later = make_config(13, *RESOURCES, NEW_ROUTE, ADDED_ROUTE)
    others = [("other", f"row-{number}", {}) for number in range(later_rows)]
    fleet.store.restore(copy, [("op", "config", later), *others])
    fleet.store.is_away = False
    wait_for(lambda: is_served_everywhere(fleet, "/added/1"), APPLY_SECONDS)


def test_a_data_centre_is_brought_back_after_a_restoration(fleet):
    """Guards against a take-out that lasts at some nodes (seen at 10 of 14)."""
    copy = fleet.store.copy()
    add_rows(fleet.store, MANY_ROWS)
    fleet.store.put("op", "evacuate/dc-a", {})
    wait_for(lambda: all(m.find("configurations").taken_out for m in fleet.machines))
    fleet.store.is_away = True
    fleet.store.restore(copy, [("op", "evacuate/dc-a", {})])
    fleet.store.remove("op", "evacuate/dc-a")
    add_rows(fleet.store, 2 * MANY_ROWS)
    fleet.store.is_away = False
    wait_for(
        lambda: not any(m.find("configurations").taken_out for m in fleet.machines)
    )

"""Tests of godwitrack_node.homedemand: requests that can't leave a full region."""

import pytest

from entryload import FullRegion
from godwitrack_node.homedemand import HomeDemand
from godwitrack_node.hostedadmissionrequest import HostedAdmissionRequest


def make_request(is_region_bound):
    return HostedAdmissionRequest(1, 1.0, 5.0, is_region_bound=is_region_bound)


@pytest.mark.parametrize(
    ("refused", "waiting", "seconds", "count"),
    [
        ([], [], 0.0, 0),
        ([True, True, False], [], 0.0, 2),
        ([True, True, False], [True, False], 0.0, 3),
        ([True] * 10, [], 1.0, 4),
        ([True] * 10, [True], 30.0, 1),
    ],
)
def test_those_that_may_run_nowhere_else_count(refused, waiting, seconds, count):
    demand = HomeDemand()
    for is_region_bound in refused:
        demand.record_refusal(make_request(is_region_bound), 100.0)
    queue = [make_request(is_region_bound) for is_region_bound in waiting]
    assert demand.count(queue, 100.0 + seconds) == count


def test_what_may_run_anywhere_makes_way_in_a_full_region(clock, monkeypatch):
    """The load pattern, beside the policy before it, which leaves calls where they are.

    Seen as deposits that were refused, 50 to 70 in two seconds, while one billing
    server was left in their home region beside two in the other one (scale-1 of
    hinokuni-mesh, 4 to 10 s).
    """
    after = FullRegion(clock).play()
    monkeypatch.setattr("godwitrack_node.hostedrouting.HOME_DEMAND_COST", 0.0)
    before = FullRegion(clock).play()
    assert before.bound.in_time < 0.8 * before.bound.asked
    assert after.bound.in_time >= 0.9 * after.bound.asked
    assert after.free.in_time >= 0.95 * before.free.in_time


def test_nothing_crosses_regions_while_the_home_region_has_room(clock):
    load = FullRegion(clock, bound_per_second=10).play()
    assert load.crossed == 0
    assert load.bound.in_time == load.bound.asked

"""Tests of godwitrack_node.homedemand: region-bound requests in a full region."""

import pytest

from entryload import FullRegionLoad
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
def test_only_region_bound_requests_count(refused, waiting, seconds, count):
    demand = HomeDemand()
    for is_region_bound in refused:
        demand.record_refusal(make_request(is_region_bound), 100.0)
    queue = [make_request(is_region_bound) for is_region_bound in waiting]
    assert demand.count(queue, 100.0 + seconds) == count


def test_unbound_requests_leave_a_full_region(clock, monkeypatch):
    """Compares the load with the previous policy, which kept calls in the region.

    Guards against 50 to 70 refused deposits in two seconds, while billing had one
    server left in their home region and two in the other one (scale-1 of hinokuni-mesh,
    4 to 10 s).
    """
    after = FullRegionLoad(clock).play()
    monkeypatch.setattr("godwitrack_node.hostedrouting.HOME_DEMAND_COST", 0.0)
    before = FullRegionLoad(clock).play()
    assert before.region_bound.in_time < 0.8 * before.region_bound.total
    assert after.region_bound.in_time >= 0.9 * after.region_bound.total
    assert after.unbound.in_time >= 0.95 * before.unbound.in_time


def test_no_request_leaves_a_region_with_spare_capacity(clock):
    load = FullRegionLoad(clock, region_bound_per_second=10).play()
    assert load.cross_region_attempts == 0
    assert load.region_bound.in_time == load.region_bound.total

"""Tests of godwitrack_node.hostedrouting: choice among servers of changing speed."""

import random

import pytest

from godwitrack.load import Load
from godwitrack.routetable import HostRoute, SplitPart
from godwitrack_node.hostedrouting import HostedServerChooser, Member, MemberView

NOW = 1000.0


def make_view(address, data_centre="dc-0", region="region-0", is_serving=True):
    return MemberView(
        Member(address, "scenbok", region, data_centre, 10, is_serving, "i", 1)
    )


def make_route(regions=(), is_upload=False, objective=0.5):
    return HostRoute(
        "r",
        "h",
        "/",
        [SplitPart("scenbok", 1)],
        idempotent=True,
        timeout=1.0,
        objective=objective,
        regions=regions,
        is_upload=is_upload,
    )


def choose(views, route=None, tried=(), now=NOW, was_refused=False):
    chooser = HostedServerChooser("region-0", "dc-0", random.Random(1))
    view = chooser.choose(views, route or make_route(), now, tried, was_refused)
    return view.member.address if view is not None else None


def make_load(in_flight=0, queued=0, limit=10, slowness=100, home_demand=0):
    return Load(in_flight, queued, limit, 1, slowness, home_demand)


@pytest.mark.parametrize(
    ("near", "far", "is_upload", "expected"),
    [
        (make_load(), make_load(), False, "near"),
        (make_load(8), make_load(), False, "near"),
        (make_load(10, 10, slowness=500), make_load(), False, "far"),
        (make_load(10, 3, slowness=500), make_load(), True, "near"),
    ],
)
def test_a_request_leaves_its_data_centre_only_if_that_saves_time(
    near, far, is_upload, expected
):
    views = [make_view("near"), make_view("far", "dc-1")]
    views[0].record_load(near, NOW)
    views[1].record_load(far, NOW)
    assert choose(views, make_route(is_upload=is_upload)) == expected


@pytest.mark.parametrize(
    ("far", "tried", "is_upload", "expected"),
    [
        (make_load(5), (), False, "full"),
        (make_load(5), ("full",), False, "far"),
        (make_load(10, 5, slowness=200), ("full",), False, "near"),
        (make_load(5), ("full",), True, "near"),
    ],
)
def test_a_refused_request_goes_to_the_region_with_spare_capacity(
    far, tried, is_upload, expected
):
    """Guards against refusals in one region while servers of the other are idle.

    After a cold start of all servers, scenbok's three servers in the south ran 10 to 13
    requests at once and refused more, while the three in the north ran 2 to 7 (scale-2
    of ljusnav, 34.5 to 39 s).
    """
    views = [
        make_view("full"),
        make_view("near", "dc-1"),
        make_view("far", "dc-2", "region-1"),
    ]
    views[0].record_load(make_load(13, 0), NOW)
    views[1].record_load(make_load(13, 2, slowness=200), NOW)
    views[2].record_load(far, NOW)
    route = make_route(is_upload=is_upload)
    assert choose(views, route, tried, was_refused=bool(tried)) == expected


@pytest.mark.parametrize(
    ("home_demand", "values", "seconds", "expected"),
    [
        (0, {}, 0.0, "near"),
        (5, {}, 0.0, "far"),
        (5, {}, 3.0, "near"),
        (5, {"regions": ("region-0",)}, 0.0, "near"),
        (5, {"is_upload": True}, 0.0, "near"),
        (5, {"objective": 0.08}, 0.0, "near"),
    ],
)
def test_which_requests_avoid_servers_with_home_demand(
    home_demand, values, seconds, expected
):
    """Requests that may run in any region, have a long objective and no large body.

    Guards against sending calls with a timeout of 200 ms to the other region, which
    made the lookups that waited for them fail (trouble-3 of ljusnav: 1,083 failed runs
    with this fault, 351 without).
    """
    views = [make_view("near"), make_view("far", "dc-2", "region-1")]
    views[0].record_load(make_load(10, 2, home_demand=home_demand), NOW)
    assert choose(views, make_route(**values), now=NOW + seconds) == expected


@pytest.mark.parametrize(
    ("data_centre", "region", "is_upload", "expected"),
    [
        ("dc-0", "region-0", False, True),
        ("dc-0", "region-0", True, True),
        ("dc-1", "region-0", False, True),
        ("dc-1", "region-0", True, False),
        ("dc-2", "region-1", False, False),
    ],
)
def test_a_request_moves_within_the_region_or_the_data_centre(
    data_centre, region, is_upload, expected
):
    member = make_view("near").member
    other = make_view("other", data_centre, region).member
    assert other.can_take_over_from(member, make_route(is_upload=is_upload)) is expected


def test_the_faster_of_two_equally_loaded_servers_is_chosen():
    views = [make_view("slow"), make_view("fast")]
    views[0].record_load(make_load(5, slowness=500), NOW)
    views[1].record_load(make_load(5, slowness=100), NOW)
    assert choose(views) == "fast"


def test_old_reports_are_ignored():
    views = [make_view("a"), make_view("b")]
    views[0].record_load(make_load(10, 10, slowness=500), NOW - 10.0)
    views[1].in_flight = 1
    assert choose(views) == "a"


def test_failures_raise_the_cost_of_a_server_for_a_while():
    views = [make_view("failing"), make_view("other")]
    views[1].in_flight = 2
    views[0].record_failure(NOW)
    assert choose(views) == "other"
    assert choose(views, now=NOW + 10.0) == "failing"


@pytest.mark.parametrize(
    "reason", ["unavailable", "down", "not serving", "tried", "region"]
)
def test_an_unusable_server_is_not_chosen(reason):
    view = make_view("a", is_serving=reason != "not serving")
    if reason == "unavailable":
        view.mark_unavailable(NOW)
    if reason == "down":
        view.mark_down(NOW)
    route = make_route(("region-1",) if reason == "region" else ())
    assert choose([view], route, ("a",) if reason == "tried" else ()) is None


def test_a_down_node_is_chosen_again_only_after_it_was_reached():
    view = make_view("a")
    view.mark_down(NOW)
    assert choose([view], now=NOW + 60.0) is None
    assert view.is_probe_due(NOW + 60.0)
    view.mark_up()
    assert choose([view], now=NOW + 60.0) == "a"

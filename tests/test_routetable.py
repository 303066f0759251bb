"""Tests of godwitrack.routetable."""

import pytest

from godwitrack.routetable import CallerLimits, HostRoute, RouteTable, SplitPart


def make_route(name, host, prefix, **values):
    options = {"idempotent": True, "timeout": 1.0, "objective": 0.5, **values}
    return HostRoute(name, host, prefix, [SplitPart("scenbok", 1.0)], **options)


TABLE = RouteTable(
    4,
    [
        make_route("all", "a.example", "/"),
        make_route("scenes", "a.example", "/scenes/"),
        make_route("rooms", "a.example", "/scenes/rooms/"),
        make_route("other", "b.example", "/scenes/"),
    ],
    [],
    CallerLimits(),
)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("a.example", "/scenes/7", "scenes"),
        ("a.example", "/scenes/rooms/7", "rooms"),
        ("a.example", "/scenes/rooms", "scenes"),
        ("a.example", "/scenes", "all"),
        ("a.example", "/", "all"),
        ("A.Example:8080", "/scenes/", "scenes"),
        ("b.example", "/scenes/rooms/7", "other"),
        ("b.example", "/", None),
        ("c.example", "/scenes/7", None),
        ("", "/scenes/7", None),
        ("a.example", "*", None),
    ],
)
def test_longest_matching_prefix_is_selected(host, path, expected):
    route = TABLE.find_route(host, path)
    assert (route.name if route is not None else None) == expected


@pytest.mark.parametrize(
    ("regions", "region", "expected"),
    [((), "north", True), (("north",), "north", True), (("north",), "south", False)],
)
def test_route_with_regions_may_run_only_in_them(regions, region, expected):
    route = make_route("homes", "a.example", "/", regions=regions)
    assert route.may_run_in(region) is expected

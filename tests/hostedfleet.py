"""A fleet of hosted nodes for tests, and how they ask it."""

from callerstand import make_request_headers, send
from operatorsrows import make_route, make_service

PLACES = [("scenbok", "dc-a"), ("styrning", "dc-a"), ("scenbok", "dc-b")]
RESOURCES = [
    make_route("read", "/read/", "scenbok"),
    make_route("write", "/write/", "scenbok", "non_idempotent"),
    make_route("lamp", "/lamp/", "styrning", "non_idempotent"),
    make_route("short", "/short/", "styrning", timeoutS=0.4),
    make_route("south", "/south/", "scenbok", allowedRegions=["south"]),
    make_service("scenbok"),
    make_service("styrning"),
]


def ask(machine, path, request_id="r1", method="GET", **options):
    seconds = options.pop("seconds", 5.0)
    headers = make_request_headers(request_id, seconds)
    address = machine.settings.callers
    return send(address, method, path, headers=headers, **options)


def list_runs(fleet, request_id):
    return [
        machine.app.instance
        for machine in fleet.machines
        for found, _ in machine.app.runs
        if found == request_id
    ]


def break_off(request_id, connection, sock):
    return False

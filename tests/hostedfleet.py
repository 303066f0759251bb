"""Machines and routes of the hosted fleet in tests, and helpers to call it."""

from operatorsrows import make_route, make_service
from testcaller import make_request_headers, send

# Service and data centre of each machine.
MACHINE_SPECS = [("scenbok", "dc-a"), ("styrning", "dc-a"), ("scenbok", "dc-b")]
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
    """Send one request to a machine's node; return the Answer."""
    seconds = options.pop("seconds", 5.0)
    headers = make_request_headers(request_id, seconds)
    address = machine.settings.callers
    return send(address, method, path, headers=headers, **options)


def list_runs(fleet, request_id):
    """Return the instance of each run of a request, in the order of the machines."""
    return [
        machine.app.instance
        for machine in fleet.machines
        for found, _ in machine.app.runs
        if found == request_id
    ]


def break_off(request_id, connection, sock):
    """Close the connection without an answer; a FakeBackendServer's behave function."""
    return False

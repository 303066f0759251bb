"""Reads descriptions of deployments and generates the nodes' settings from them."""

import collections
import pathlib
import random
import socket

from godwitrack.settings import read_yaml

EXAMPLES = pathlib.Path(__file__).parents[4] / "examples"
SECRET = "lab-shared-secret-0001"
TOKEN = "lab-operators-token-0001"
# Ports below those that Linux gives out by itself.
PORTS = range(10_000, 30_000)
RESERVING_HOST = "127.0.0.2"
# Bounds the sockets of a long run of tests; the nodes of earlier tests have ended.
MAX_RESERVATIONS = 500
_RESERVATIONS = collections.deque()
_RNG = random.Random()


class ServerSpec:
    """One backend server of a deployment.

    Attributes:
        name: Name of the server.
        service: Name of the service that it runs.
        region: Name of its region.
        data_centre: Name of its data centre.
        slots: Concurrency limit when warm, in requests.
        seconds: Service time of a request in seconds.
    """

    __slots__ = ("data_centre", "name", "region", "seconds", "service", "slots")

    def __init__(self, name, service, region, data_centre, slots, seconds):
        self.name = name
        self.service = service
        self.region = region
        self.data_centre = data_centre
        self.slots = slots
        self.seconds = seconds


class RequestKind:
    """One kind of request that customers send.

    Attributes:
        customer: Name of the customer.
        method: HTTP method.
        path: URL path, whose first segment is the service.
        size: Size of the body in bytes.
        weight: Frequency relative to the other kinds.
    """

    __slots__ = ("customer", "method", "path", "size", "weight")

    def __init__(self, data):
        self.customer = data["customer"]
        self.method = data["method"]
        self.path = data["path"]
        self.size = data.get("bytes", 0)
        self.weight = data["weight"]


class Deployment:
    """A deployment from the examples: its servers and the requests sent to them.

    Attributes:
        name: Name of the deployment.
        folder: Folder of its files.
        servers: ServerSpecs.
        kinds: RequestKinds.
    """

    def __init__(self, name):
        self.name = name
        self.folder = EXAMPLES / name
        data = read_yaml(self.folder / "deployment.yaml")
        self.kinds = [RequestKind(item) for item in data["requests"]]
        self.servers = list(_assign_servers(data))


def _assign_servers(data):
    """Yield ServerSpecs, distributed evenly over the data centres."""
    locations = [
        (region, data_centre)
        for region, data_centres in data["regions"].items()
        for data_centre in data_centres
    ]
    offset = 0
    for service, service_data in data["services"].items():
        for index in range(service_data["instances"]):
            region, data_centre = locations[(offset + index) % len(locations)]
            name = f"{service}-{index + 1}"
            yield ServerSpec(
                name,
                service,
                region,
                data_centre,
                service_data["slots"],
                service_data["seconds"],
            )
        offset += service_data["instances"]


def find_ports(count):
    """Return a number of free ports of 127.0.0.1 that nothing else takes meanwhile.

    They lie below those that the kernel gives to listeners and connections. Other
    processes that call this function leave them out, as each port stays reserved by a
    socket at RESERVING_HOST.
    """
    ports = []
    while len(ports) < count:
        port = _RNG.choice(PORTS)
        reservation = _bind(RESERVING_HOST, port)
        if reservation is None:
            continue
        probe = _bind("127.0.0.1", port)
        if probe is None:
            reservation.close()
            continue
        probe.close()
        if len(_RESERVATIONS) == MAX_RESERVATIONS:
            _RESERVATIONS.popleft().close()
        _RESERVATIONS.append(reservation)
        ports.append(port)
    return ports


def _bind(host, port):
    """Return a socket that is bound to a port, or None if it is taken."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.bind((host, port))
    except OSError:
        sock.close()
        return None
    return sock


def make_settings(spec, ports, backend_port, seeds, platform_url, **extra):
    """Return the settings of one node as plain data.

    Args:
        spec: ServerSpec of the node's backend server.
        ports: Ports for callers, operators and links.
        backend_port: Port of the backend server.
        seeds: Link addresses of other nodes.
        platform_url: URL of the fake platform.
        **extra: Further settings by name, with "__" between section and key.
    """
    callers, operators, links = ports
    data = {
        "node": {
            "name": spec.name,
            "service": spec.service,
            "region": spec.region,
            "data_centre": spec.data_centre,
        },
        "listen": {
            "callers": f"127.0.0.1:{callers}",
            "operators": f"127.0.0.1:{operators}",
            "links": f"127.0.0.1:{links}",
        },
        "backend": {"address": f"127.0.0.1:{backend_port}"},
        "operators": {"token": TOKEN},
        "links": {"secret": SECRET},
        "peers": {"seeds": list(seeds)},
        "platform": {"tables": platform_url, "objects": platform_url},
    }
    for path, value in extra.items():
        section, _, key = path.partition("__")
        data.setdefault(section, {})[key] = value
    return data

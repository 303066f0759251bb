"""Descriptions of deployments, from which nodes' settings are made."""

import pathlib
import socket

from godwitrack.settings import read_yaml

EXAMPLES = pathlib.Path(__file__).parents[4] / "examples"
SECRET = "lab-shared-secret-0001"
TOKEN = "lab-operators-token-0001"


class ServerPlace:
    """One backend server of a deployment.

    Attributes:
        name: Name of the server.
        service: Service that it runs.
        region: Its region.
        data_centre: Its data centre.
        slots: Most requests at once when warm.
        seconds: Service time of a request.
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
        path: Path with the service.
        size: Bytes of the body.
        weight: Share among all requests.
    """

    __slots__ = ("customer", "method", "path", "size", "weight")

    def __init__(self, data):
        self.customer = data["customer"]
        self.method = data["method"]
        self.path = data["path"]
        self.size = data.get("bytes", 0)
        self.weight = data["weight"]


class Deployment:
    """A deployment: its places and what is asked of it.

    Attributes:
        name: Name of the deployment.
        folder: Folder of its files.
        servers: ServerPlaces.
        kinds: RequestKinds.
    """

    def __init__(self, name):
        self.name = name
        self.folder = EXAMPLES / name
        data = read_yaml(self.folder / "deployment.yaml")
        self.kinds = [RequestKind(item) for item in data["requests"]]
        self.servers = list(_place_servers(data))


def _place_servers(data):
    places = [
        (region, data_centre)
        for region, data_centres in data["regions"].items()
        for data_centre in data_centres
    ]
    offset = 0
    for service, facts in data["services"].items():
        for index in range(facts["instances"]):
            region, data_centre = places[(offset + index) % len(places)]
            name = f"{service}-{index + 1}"
            yield ServerPlace(
                name, service, region, data_centre, facts["slots"], facts["seconds"]
            )
        offset += facts["instances"]


def find_ports(count):
    """Return ports of 127.0.0.1 that are free now."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def make_settings(place, ports, backend_port, seeds, platform_url, **extra):
    """Return the settings of one node as plain data.

    Args:
        place: ServerPlace.
        ports: Ports for callers, operators and links.
        backend_port: Port of the backend server.
        seeds: Addresses of other nodes' links.
        platform_url: URL of the platform's stand-in.
        **extra: Further settings, by dotted path with "__" for the dot.
    """
    callers, operators, links = ports
    data = {
        "node": {
            "name": place.name,
            "service": place.service,
            "region": place.region,
            "data_centre": place.data_centre,
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

"""Stand-ins for the users' platform: its store and the backend servers' processes."""

import base64
import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from urllib.parse import parse_qs, urlsplit

from callerstand import ask_ready, send, wait_for
from godwitrack.address import Address
from godwitrack.exceptions import CallerGone, RequestError
from godwitrack.watch import Watch
from godwitrack_lab.deployment import find_ports
from godwitrack_node.hostednode import HostedNode, HostedSettings
from godwitrack_node.httpserver import ConnectionServer, HttpConnection
from godwitrack_node.retryshare import RetryLimits
from godwitrack_platform.main import make_adapter
from godwitrack_platform.settings import PlatformSettings

POLL_SECONDS = 0.02
REPORT_SECONDS = 0.3
LOCAL = Address("127.0.0.1", 0)
ZONES = {"dc-a": "north", "dc-b": "south"}
FLEET = "fleet"


SETTINGS = """
nodeName = "{name}"
ip = "{ip}"
zone = "{data_centre}"
region = "{region}"
internalPorts = [{links},{links}]
heartbeatS = {beat}
appAddr = "{server}"
service = "{service}"
{extra}
[listenAddrs]
outbound = "{callers}"
readiness = "{readiness}"
control = "{reports}"
[bounds]
graceS = 6
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = {slack}
[platform]
address = "{store}"
"""


class HttpStand:
    """Serves HTTP in this process; subclasses answer the requests."""

    def __init__(self, executor, address=LOCAL):
        self._server = ConnectionServer(executor, address, self._serve, 500)
        host, port = self._server.address
        self.address = Address(host, port)
        self._server.start()

    def close(self):
        self._server.close()
        self._server.interrupt()

    def _serve(self, sock, remote):
        connection = HttpConnection(sock)
        try:
            while (request := connection.read_request()) is not None:
                body = b""
                while part := connection.read_body():
                    body += part
                if not self.answer(request, body, connection, sock):
                    return
        except (CallerGone, RequestError, OSError):
            return


class StoreStand(HttpStand):
    """The store's rows, with the faults that the platform names."""

    def __init__(self, executor):
        self._changed = threading.Condition()
        self._rows = {}
        self._log = []
        self._version = 0
        self._oldest = 0
        self.calls = 0
        self.is_away = False
        self.loses_answers = False
        super().__init__(executor)

    def put(self, table, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._changed:
            self._change([(table, key, base64.b64encode(data).decode())])

    def remove(self, table, key):
        with self._changed:
            self._change([(table, key, None)])

    def compact(self):
        with self._changed:
            self._log.clear()
            self._oldest = self._version

    def list_keys(self, table):
        with self._changed:
            return [key for name, key in self._rows if name == table]

    def answer(self, request, body, connection, sock):
        self.calls += 1
        if self.is_away:
            connection.start_answer(503, [], 0)
            return True
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind = url.path.rpartition("-")[2]
        status, data = getattr(self, f"_{kind}")(query, body)
        if self.loses_answers and kind == "tx":
            return False
        answer = json.dumps({"nowS": 1.0, **data}).encode()
        connection.start_answer(status, [], len(answer), answer)
        return True

    def _get(self, query, body):
        with self._changed:
            rows = [
                self._show(name, key, *held)
                for (name, key), held in sorted(self._rows.items())
                if name == query["table"] and key >= query.get("from", "")
            ]
            return 200, {"rows": rows, "hasMore": False, "rowVersion": self._version}

    def _feed(self, query, body):
        after, table = int(query["after"]), query["table"]
        with self._changed:
            if after < self._oldest:
                return 410, {}
            self._changed.wait_for(
                lambda: self._list_after(table, after), int(query["waitMs"]) / 1000
            )
            if after < self._oldest:
                return 410, {}
            rows = self._list_after(table, after)
            return 200, {"rows": rows, "rowVersion": self._version}

    def _tx(self, query, body):
        data = json.loads(body)
        with self._changed:
            for item in data["expected"]:
                held = self._rows.get((item["table"], item["key"]), ("", 0))
                if held[1] != item["rowVersion"]:
                    shown = self._show(item["table"], item["key"], *held)
                    return 412, {"rows": [shown]}
            changes = [(i["table"], i["key"], i["value"]) for i in data["puts"]]
            changes += [(i["table"], i["key"], None) for i in data["remove"]]
            self._change(changes)
            return 200, {"rowVersion": self._version}

    def _change(self, changes):
        self._version += 1
        for table, key, value in changes:
            if value is None:
                self._rows.pop((table, key), None)
            else:
                self._rows[table, key] = (value, self._version)
            self._log.append((table, self._show(table, key, value, self._version)))
        self._changed.notify_all()

    def _list_after(self, table, after):
        return [
            row
            for name, row in self._log
            if name == table and row["rowVersion"] > after
        ]

    def _show(self, table, key, value, version):
        row = {"table": table, "part": "", "key": key, "rowVersion": version}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = value
        return row


class AppStand(HttpStand):
    """One process of a backend server, which speaks the platform's headers.

    Attributes:
        runs: Ids of the requests that it ran, with its own times.
        behave: Function of a request id, a connection and its socket; returns
            whether the connection can go on. It replaces the usual answer.
    """

    def __init__(self, executor, service, instance, address=LOCAL):
        self.service = service
        self.instance = instance
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.slots = 10
        self.is_healthy = True
        self.cold_seconds = 0.0
        self.seconds = 0.0
        self.runs = []
        self.headers = []
        self.gone = threading.Event()
        self.behave = None
        super().__init__(executor, address)

    def answer(self, request, body, connection, sock):
        if request.target == "/health":
            headers = [
                ("Godwitrack-Instance-Id", self.instance),
                ("Godwitrack-Server-Load", f"0,0,{self.slots},100"),
                ("Godwitrack-Warmup-Remaining-Ms", str(int(self.cold_seconds * 1000))),
            ]
            connection.start_answer(200 if self.is_healthy else 503, headers, 0)
            return True
        request_id = request.get("godwitrack-request-id")
        expected = request.get("godwitrack-expect-instance")
        if expected and expected != self.instance:
            headers = [("Godwitrack-Instance-Id", self.instance)]
            connection.start_answer(421, headers, 0)
            return True
        self.note_run(request, request_id, body)
        if self.behave is not None:
            return self.behave(request_id, connection, sock)
        if self.seconds and not self._work(sock):
            return False
        self.send_answer(request_id, connection, body)
        return True

    def note_run(self, request, request_id, body):
        """Record a request that runs."""
        self.runs.append((request_id, time.monotonic()))
        self.headers.append(dict(request.headers))

    def send_answer(self, request_id, connection, body=b""):
        answer = b"done " + body
        connection.start_answer(
            200,
            [
                ("Godwitrack-Request-Id", request_id),
                ("Godwitrack-Server-Signature", "signed"),
                ("Godwitrack-Server-Load", f"1,0,{self.slots},100"),
            ],
            len(answer),
            answer,
        )

    def _work(self, sock):
        end = time.monotonic() + self.seconds
        watch = Watch(sock)
        while time.monotonic() < end:
            if watch.is_gone():
                self.gone.set()
                return False
            time.sleep(POLL_SECONDS)
        return True


class Machine:
    """One VM: a node and the process of a backend server beside it."""

    def __init__(self, fleet, number, service, data_centre):
        self.fleet = fleet
        self.app = AppStand(fleet.executor, service, f"i-{number}")
        ports = find_ports(4)
        addresses = [Address("127.0.0.1", port) for port in ports]
        self.settings = HostedSettings(
            name=f"node-{number}",
            service=service,
            region=ZONES[data_centre],
            data_centre=data_centre,
            callers=addresses[0],
            links=addresses[1],
            advertised=addresses[1],
            readiness=addresses[2],
            reports=addresses[3],
            metrics=None,
            server=self.app.address,
            report_seconds=REPORT_SECONDS,
            cold_tolerance=1.0,
            stop_seconds=5.0,
            retry_limits=RetryLimits(0.2, 10.0, 64.0),
            secret="a secret that all nodes share",
        )
        self.node = None
        self._stopped = threading.Event()
        self.start()
        self._reporter = threading.Thread(target=self._report_often, daemon=True)
        self._reporter.start()

    def start(self):
        settings = PlatformSettings(self.settings, self.fleet.store.address)
        self.node = HostedNode(self.settings, make_adapter(settings))
        self.node.start()

    def find(self, name):
        return self.node.kernel.find(name)

    def kill(self):
        """End the node's services as a kill would, without a word to anyone."""
        self.node.halt()

    def close(self):
        self._stopped.set()
        self._reporter.join()
        self.kill()
        self.app.close()

    def report(self, state="ready", **changes):
        """Send one report of the backend server; returns the status."""
        changes = {"address": str(self.app.address), **changes}
        place = self.settings.data_centre
        return send_report(self.settings.reports, self.app, place, state, **changes)

    def leave(self):
        path = f"/-/instances/{self.app.instance}"
        return send(self.settings.reports, "DELETE", path).status

    def is_ready(self):
        return ask_ready(self.settings.readiness)

    def _report_often(self):
        while not self._stopped.wait(REPORT_SECONDS):
            if self.app.is_healthy:
                try:
                    self.report()
                except OSError:
                    continue


class Fleet:
    """The store and some machines."""

    def __init__(self, places):
        self.executor = ThreadPoolExecutor(500)
        self.store = StoreStand(self.executor)
        self.machines = [
            Machine(self, number, service, data_centre)
            for number, (service, data_centre) in enumerate(places)
        ]

    def wait_ready(self):
        count = len(self.machines)
        wait_for(lambda: all(machine.is_ready() for machine in self.machines))
        wait_for(
            lambda: all(
                sum(
                    member.is_serving
                    for member in machine.find("roster").list_members()
                )
                == count
                for machine in self.machines
            )
        )
        wait_for(
            lambda: (
                not any(
                    machine.find("registration").is_suspect for machine in self.machines
                )
            )
        )

    def close(self):
        for machine in self.machines:
            machine.close()
        self.store.close()
        self.executor.shutdown(wait=False, cancel_futures=True)


def send_report(reports, app, data_centre, state, **changes):
    """Send the next report of an AppStand; returns the status.

    Args:
        reports: Address where the node takes them.
        app: AppStand.
        data_centre: Name of its data centre.
        state: State that it reports.
        changes: Fields of the report that differ, among them "address".
    """
    app.sequence += 1
    data = {
        "born": app.born,
        "info": {
            "service": app.service,
            "version": "v1",
            "zone": data_centre,
            "capacity": app.slots,
        },
        "status": {
            "state": state,
            "sequence": app.sequence,
            "warmupLeftS": app.cold_seconds,
        },
        **changes,
    }
    body = json.dumps(data).encode()
    return send(reports, "PUT", f"/-/instances/{app.instance}", body=body).status

"""A stand-in for one process of a backend server, and its reports."""

import json
import threading
import time

from callerstand import send
from godwitrack.watch import Watch
from httpstand import LOCAL, HttpStand

POLL_SECONDS = 0.02


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
            if watch.is_disconnected():
                self.gone.set()
                return False
            time.sleep(POLL_SECONDS)
        return True


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

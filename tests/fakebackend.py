"""A fake process of a backend server, and the sender of its reports."""

import json
import threading
import time

from fakehttp import LOCAL, FakeHttpServer
from godwitrack.watch import Watch
from testcaller import send

POLL_SECONDS = 0.02


class FakeBackendServer(FakeHttpServer):
    """Acts as one process of a backend server and supports the platform's headers.

    Attributes:
        service: Name of its service.
        instance: Id of the process.
        born: Start of the process in milliseconds since the epoch, as reported.
        sequence: Number of the last report.
        slots: Reported concurrency limit.
        is_healthy: Whether the health check answers 200.
        cold_seconds: Reported remaining warm-up time in seconds.
        seconds: Service time of each request in seconds.
        runs: Id and monotonic time in seconds of each request that it ran.
        headers: Headers of each request that it ran.
        answer_headers: Headers that it adds to each answer of a run, as pairs.
        health_headers: Headers that it adds to each health answer, as pairs.
        caller_gone: Event, set when a caller disconnects during a request.
        behave: Function that replaces the usual answer, or None; takes a request id,
            a connection and its socket and returns whether the connection stays open.
        raw_health: Bytes that it sends in place of a health answer, if there are any.
        answers_early: Whether it answers requests without reading their bodies.
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
        self.answer_headers = []
        self.health_headers = []
        self.caller_gone = threading.Event()
        self.behave = None
        self.raw_health = b""
        self.answers_early = False
        super().__init__(executor, address)

    def answer(self, request, body, connection, sock):
        if request.target == "/health" and self.raw_health:
            sock.sendall(self.raw_health)
            return False
        if request.target == "/health":
            headers = [
                ("Godwitrack-Instance-Id", self.instance),
                ("Godwitrack-Server-Load", f"0,0,{self.slots},100"),
                ("Godwitrack-Warmup-Remaining-Ms", str(int(self.cold_seconds * 1000))),
                *self.health_headers,
            ]
            connection.start_answer(200 if self.is_healthy else 503, headers, 0)
            return True
        request_id = request.get("godwitrack-request-id")
        expected = request.get("godwitrack-expect-instance")
        if expected and expected != self.instance:
            headers = [("Godwitrack-Instance-Id", self.instance)]
            connection.start_answer(421, headers, 0)
            return True
        self.record_run(request, request_id, body)
        if self.behave is not None:
            return self.behave(request_id, connection, sock)
        if self.seconds and not self._work(sock):
            return False
        self.send_answer(request_id, connection, body)
        return True

    def read_body(self, request, connection):
        """Return the body of a request, empty if it is not read."""
        if self.answers_early and request.length:
            return b""
        return super().read_body(request, connection)

    def record_run(self, request, request_id, body):
        """Record the execution of a request."""
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
                *self.answer_headers,
            ],
            len(answer),
            answer,
        )

    def _work(self, sock):
        end = time.monotonic() + self.seconds
        watch = Watch(sock)
        while time.monotonic() < end:
            if watch.is_disconnected():
                self.caller_gone.set()
                return False
            time.sleep(POLL_SECONDS)
        return True


def send_report(reports, app, data_centre, state, **changes):
    """Send the next report of a FakeBackendServer; return the HTTP status.

    Args:
        reports: Address at which the node accepts reports.
        app: FakeBackendServer.
        data_centre: Name of its data centre.
        state: Reported state.
        **changes: Top-level fields of the report to add or replace, such as "address".
    """
    body = make_report(app, data_centre, state, **changes)
    return deliver_report(reports, app.instance, body)


def deliver_report(reports, instance, body):
    """Send a report made before; return the HTTP status."""
    return send(reports, "PUT", f"/-/instances/{instance}", body=body).status


def make_report(app, data_centre, state, **changes):
    """Return the next report of a FakeBackendServer as bytes; see send_report."""
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
    return json.dumps(data).encode()

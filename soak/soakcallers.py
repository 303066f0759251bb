"""Callers of a soak, who keep their connections open, and what they were answered."""

import random
import threading
import time

from callerstand import Caller, make_request_headers

CALLERS_PER_NODE = 3
PAUSE_SECONDS = (0.01, 0.08)
TIMEOUT_SECONDS = 3.0
# Callers give up a connection that stays silent so much longer than promised.
PATIENCE_SECONDS = 2.0
RETRY_SECONDS = 0.05
UPLOAD_BYTES = (10_000, 200_000)


class CallKind:
    """One route of a soak and how it is called.

    Attributes:
        name: Name of the route; its prefix is the name between slashes.
        service: Service that it goes to.
        method: HTTP method.
        is_idempotent: Whether it may run more than once.
        regions: Names of the regions where it may run; empty for all.
        has_body: Whether a body is sent.
        weight: How often it is called, in relation to the others.
    """

    __slots__ = (
        "has_body",
        "is_idempotent",
        "method",
        "name",
        "regions",
        "service",
        "weight",
    )

    def __init__(self, name, service, method, weight, **values):
        self.name = name
        self.service = service
        self.method = method
        self.weight = weight
        self.is_idempotent = values.get("is_idempotent", False)
        self.regions = values.get("regions", [])
        self.has_body = values.get("has_body", False)


CALL_KINDS = (
    CallKind("read", "scenbok", "GET", 4, is_idempotent=True),
    CallKind("lamp", "styrning", "POST", 3),
    CallKind("write", "scenbok", "POST", 2),
    CallKind("north", "scenbok", "GET", 1, is_idempotent=True, regions=["north"]),
    CallKind("upload", "styrning", "PUT", 1, has_body=True),
)


class SentCall:
    """One request and what its caller saw of it.

    Attributes:
        request_id: Id of the request.
        kind: CallKind.
        node: Number of the node that was asked.
        target: Path that was asked for.
        length: Bytes of the body.
        sent_at: Monotonic time at which it was sent, in seconds.
        ended_at: Monotonic time of its end in seconds.
        answer: Answer, or None where the connection ended or stayed silent.
        was_silent: Whether the caller gave up waiting.
    """

    __slots__ = (
        "answer",
        "ended_at",
        "kind",
        "length",
        "node",
        "request_id",
        "sent_at",
        "target",
        "was_silent",
    )

    def __init__(self, request_id, kind, node, length):
        self.request_id = request_id
        self.kind = kind
        self.node = node
        self.length = length
        self.target = f"/{kind.name}/{request_id}"
        self.sent_at = self.ended_at = time.monotonic()
        self.answer = None
        self.was_silent = False


class SoakCaller:
    """Calls one node on one connection, again and again."""

    def __init__(self, machine, number, seed, calls):
        """Prepare without calling.

        Args:
            machine: SoakMachine whose node it calls.
            number: Number of the caller at this node.
            seed: Text that begins its ids and seeds what it asks.
            calls: List to which it adds its SentCalls.
        """
        self._machine = machine
        self._name = f"{seed}-{machine.number}-{number}"
        self._rng = random.Random(self._name)
        self._calls = calls
        self._stopped = threading.Event()
        self._caller = None
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Begin to call."""
        self._thread.start()

    def stop(self):
        """End after the request that is on its way."""
        self._stopped.set()
        self._thread.join()

    def _run(self):
        count = 0
        while not self._stopped.wait(self._rng.uniform(*PAUSE_SECONDS)):
            count += 1
            kind = self._rng.choices(CALL_KINDS, [k.weight for k in CALL_KINDS])[0]
            length = self._rng.randint(*UPLOAD_BYTES) if kind.has_body else 0
            call = SentCall(f"{self._name}-{count}", kind, self._machine.number, length)
            if self._connect():
                self._send(call)
                self._calls.append(call)

    def _connect(self):
        if self._caller is not None:
            return True
        try:
            self._caller = Caller(self._machine.callers)
        except OSError:
            self._stopped.wait(RETRY_SECONDS)
            return False
        self._caller.sock.settimeout(TIMEOUT_SECONDS + PATIENCE_SECONDS)
        return True

    def _send(self, call):
        headers = make_request_headers(call.request_id, TIMEOUT_SECONDS)
        body = bytes(call.length)
        call.sent_at = time.monotonic()
        try:
            self._caller.send(call.kind.method, call.target, body=body, headers=headers)
            call.answer = self._caller.read()
        except TimeoutError:
            call.was_silent = True
        except OSError:
            pass
        call.ended_at = time.monotonic()
        closes = call.answer and call.answer.headers.get("connection") == "close"
        if call.answer is None or closes:
            self._caller.close()
            self._caller = None

"""Callers of a soak run with persistent connections, and a record of their calls."""

import itertools
import random
import threading
import time

from testcaller import Caller, make_request_headers

CALLERS_PER_NODE = 3
PAUSE_SECONDS = (0.01, 0.08)
TIMEOUT_SECONDS = 3.0
# Callers wait this long beyond the timeout of a request before they give up.
EXTRA_WAIT_SECONDS = 2.0
RECONNECT_SECONDS = 0.05
UPLOAD_BYTES = (10_000, 200_000)


class CallKind:
    """A route of a soak run and how it is called.

    Attributes:
        name: Name of the route; its prefix is the name between slashes.
        service: Name of the service that handles it.
        method: HTTP method.
        is_idempotent: Whether a request may run more than once.
        regions: Names of the regions where it may run; empty for all.
        has_body: Whether requests have a body.
        weight: Relative frequency of calls.
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
# Calls that backend servers make while they run a request.
NESTED_KIND = CALL_KINDS[1]
NESTED_TIMEOUT_SECONDS = 1.0


class SentCall:
    """One request and its outcome as the caller saw it.

    Attributes:
        request_id: Id of the request.
        kind: CallKind.
        node: Number of the node that received it.
        target: Request path.
        length: Bytes of the body.
        sent_at: Monotonic time of sending in seconds.
        ended_at: Monotonic time of the outcome in seconds.
        answer: Answer, or None if the connection ended or the caller gave up.
        timed_out: Whether the caller gave up waiting.
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
        "timed_out",
    )

    def __init__(self, request_id, kind, node, length):
        self.request_id = request_id
        self.kind = kind
        self.node = node
        self.length = length
        self.target = f"/{kind.name}/{request_id}"
        self.sent_at = self.ended_at = time.monotonic()
        self.answer = None
        self.timed_out = False


class NestedCaller:
    """Makes the calls of one backend server, each on a connection of its own."""

    def __init__(self, machine, calls):
        """Create the caller.

        Args:
            machine: SoakMachine of the server and its node.
            calls: List to which the SentCalls are added.
        """
        self._machine = machine
        self._calls = calls
        self._counter = itertools.count(1)

    def make_request_id(self, parent_id):
        """Return the id of the next call, which no other machine's call has.

        A request that runs once more, at another machine, makes calls of its own.
        """
        return f"{parent_id}.{self._machine.number}-{next(self._counter)}"

    def send(self, parent_id):
        """Call another service while a request with the given id runs."""
        request_id = self.make_request_id(parent_id)
        call = SentCall(request_id, NESTED_KIND, self._machine.number, 0)
        try:
            caller = Caller(self._machine.caller_address)
        except OSError:
            return
        send_call(caller, call, NESTED_TIMEOUT_SECONDS)
        caller.close()
        self._calls.append(call)


class SoakCaller:
    """Sends requests to one node, one at a time on a persistent connection."""

    def __init__(self, machine, number, seed, calls):
        """Create the caller without starting it.

        Args:
            machine: SoakMachine whose node is called.
            number: Number of the caller at this node.
            seed: Prefix of the request ids and of the random seed.
            calls: List to which the SentCalls are added.
        """
        self._machine = machine
        self._name = f"{seed}-{machine.number}-{number}"
        self._rng = random.Random(self._name)
        self._calls = calls
        self._stopped = threading.Event()
        self._caller = None
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start to send requests."""
        self._thread.start()

    def stop(self):
        """Stop after the request in flight."""
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
            self._caller = Caller(self._machine.caller_address)
        except OSError:
            self._stopped.wait(RECONNECT_SECONDS)
            return False
        return True

    def _send(self, call):
        send_call(self._caller, call, TIMEOUT_SECONDS)
        closes = call.answer and call.answer.headers.get("connection") == "close"
        if call.answer is None or closes:
            self._caller.close()
            self._caller = None


def send_call(caller, call, seconds):
    """Send a SentCall on a connection and record how it ends.

    Args:
        caller: Caller.
        call: SentCall.
        seconds: Timeout that the request states, in seconds.
    """
    headers = make_request_headers(call.request_id, seconds)
    caller.sock.settimeout(seconds + EXTRA_WAIT_SECONDS)
    body = bytes(call.length)
    call.sent_at = time.monotonic()
    try:
        caller.send(call.kind.method, call.target, body=body, headers=headers)
        call.answer = caller.read()
    except TimeoutError:
        call.timed_out = True
    except OSError:
        pass
    call.ended_at = time.monotonic()

"""A backend server of a soak run that records the requests it executes."""

import time
import zlib

from fakebackend import FakeBackendServer

# One answer in so many is long.
LONG_ANSWER_SHARE = 25
LONG_ANSWER_BYTES = 700_000
# One idempotent request in so many makes a call of its own while it runs.
NESTED_CALL_SHARE = 6
# An answer that ends within its head, and a whole one whose status is none of HTTP.
CUT_HEAD = b"HTTP/1.1 200 OK\r\nGodwitrack-Server-Signature: s\r\nContent-Len"
INVALID_ANSWER = (
    b"HTTP/1.1 000 OK\r\nGodwitrack-Server-Signature: s\r\n"
    b"Godwitrack-Request-Id: %b\r\nContent-Length: 2\r\n\r\nok"
)


class Run:
    """One execution of a request at a backend server.

    Attributes:
        request_id: Id of the caller's request.
        target: Path as received.
        node: Number of the node in front of the server.
        instance: Id of the server's process.
        caller_service: Service of the entry node, as received in a header.
        length: Bytes of the body.
        received_at: Monotonic time in seconds.
    """

    __slots__ = (
        "caller_service",
        "instance",
        "length",
        "node",
        "received_at",
        "request_id",
        "target",
    )

    def __init__(self, request, request_id, body, node, instance):
        self.request_id = request_id
        self.target = request.target
        self.caller_service = request.get("godwitrack-caller-service")
        self.length = len(body)
        self.node = node
        self.instance = instance
        self.received_at = time.monotonic()


class SoakServer(FakeBackendServer):
    """One process of a backend server.

    Attributes:
        node: Number of the node in front of it.
        started_at: Monotonic time of its start in seconds.
        warm_at: Monotonic time in seconds at which its warm-up ends.
        draining_since: Monotonic time in seconds at which its node accepted that it
            drains, or None.
        breaks_answers: Whether it closes connections instead of answering.
        breaks_heads: Whether it cuts answers in their heads or sends invalid heads.
        call_node: Function that makes a call through its own node while a request
            with the given id runs, or None.
    """

    def __init__(self, executor, runs, node, service, instance, address):
        """Start to serve.

        Args:
            executor: concurrent.futures.Executor.
            runs: List to which the Runs are added.
            node: Number of the node in front of it.
            service: Name of its service.
            instance: Id of its process.
            address: Address to listen on.
        """
        super().__init__(executor, service, instance, address)
        self.node = node
        self.started_at = time.monotonic()
        self.draining_since = None
        self.breaks_answers = False
        self.breaks_heads = False
        self.call_node = None
        self.behave = self._answer_run
        self._runs = runs
        self._lengths = {}
        self.warm_at = self.started_at

    @property
    def started_cold(self):
        """Whether it had to warm up."""
        return self.warm_at > self.started_at

    def start_warm_up(self, seconds):
        """Report a warm-up that lasts this many seconds from the start."""
        self.warm_at = self.started_at + seconds
        self.update_warm_up()

    def update_warm_up(self):
        """Update the reported remaining warm-up time."""
        self.cold_seconds = max(self.warm_at - time.monotonic(), 0.0)

    def record_run(self, request, request_id, body):
        """Record the execution of a request."""
        run = Run(request, request_id, body, self.node, self.instance)
        self._lengths[request_id] = run.length
        self._runs.append(run)
        is_nesting = request.method == "GET" and makes_nested_call(request_id)
        if is_nesting and self.call_node is not None:
            self.call_node(request_id)

    def _answer_run(self, request_id, connection, sock):
        length = self._lengths.pop(request_id, 0)
        if self.breaks_answers or (self.seconds and not self._work(sock)):
            return False
        if self.breaks_heads:
            sock.sendall(make_broken_answer(request_id))
            return False
        self.send_answer(request_id, connection, make_answer_text(request_id, length))
        return True


def make_broken_answer(request_id):
    """Return an answer with a cut or an invalid head; a request's id tells which."""
    identity = request_id.encode()
    return INVALID_ANSWER % identity if zlib.crc32(identity) % 2 else CUT_HEAD


def is_long_answer(request_id):
    """Return whether the answer to a request has more than one part on a link."""
    return zlib.crc32(request_id.encode()) % LONG_ANSWER_SHARE == 0


def makes_nested_call(request_id):
    """Return whether the run of an idempotent request makes a call of its own."""
    return zlib.crc32(request_id.encode()) % NESTED_CALL_SHARE == 0


def make_answer_text(request_id, length):
    """Return the answer text that identifies a request and the length of its body.

    Some answers are long; a request's id tells which.
    """
    text = f"{request_id} {length}".encode()
    if not is_long_answer(request_id):
        return text
    return (text + b" ") * (LONG_ANSWER_BYTES // len(text))

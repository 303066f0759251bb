"""The request path in memory: a real entry and guards, fake links and backends.

Everything runs in one thread on a manual clock. A function decides what happens to
each frame, so that a test can generate any sequence of faults.
"""

import collections
import hashlib

from godwitrack.callmessages import Call, Query
from godwitrack.clock import ManualClock
from godwitrack.controlmessages import Changes
from godwitrack.exceptions import (
    CallerDisconnected,
    ErrorKind,
    LinkError,
    LinkTimeout,
    RequestError,
)
from godwitrack.kernel import Kernel, Service
from godwitrack.messages import decode_message
from godwitrack.settings import Settings
from godwitrack_lab.deployment import SECRET, ServerSpec, make_settings
from godwitrack_node.configurations import Configurations
from godwitrack_node.context import NOT_RUN_HEADER, ContextSigner
from godwitrack_node.directory import Directory, ServerRecord, ServerState
from godwitrack_node.entry import Entry
from godwitrack_node.exclusions import ExclusionRegister
from godwitrack_node.guard import Guard
from godwitrack_node.identity import Identity
from godwitrack_node.lease import LEASE_SECONDS, Lease
from godwitrack_node.linkpool import LinkPool
from godwitrack_node.linkserver import serve_call, serve_query
from godwitrack_node.pacing import RegionalPacer
from godwitrack_node.requestreader import HttpRequest
from godwitrack_node.routing import Location, Router

KEY = "key-of-the-only-customer"
OPERATION_HEADER = "x-operation"
REGION = "home"
SERVICE = "shop"

CALL_OUTCOMES = ("deliver", "lose", "delay", "duplicate", "cut before", "cut after")
QUERY_OUTCOMES = ("deliver", "lose", "cut before", "delay")
ANSWER_OUTCOMES = ("deliver", "lose", "cut before")
BACKEND_OUTCOMES = ("run", "unreachable", "run then break", "shed")


class FakeBackend:
    """A backend client that counts runs and echoes the request's operation.

    Attributes:
        runs: Counter of runs by operation.
    """

    def __init__(self, runs, decide):
        self.runs = runs
        self._decide = decide

    def send(self, request, on_head, on_body, before_send):
        """Answer or fail as the decided outcome demands."""
        outcome = self._decide("backend", BACKEND_OUTCOMES)
        if outcome == "unreachable":
            raise RequestError(ErrorKind.BACKEND_UNREACHABLE)
        before_send()
        if outcome == "shed":
            on_head(503, [[NOT_RUN_HEADER, "true"]], 0)
            return
        operation = dict(map(tuple, request.headers))[OPERATION_HEADER]
        self.runs[operation] += 1
        if outcome == "run then break":
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN)
        body = operation.encode()
        on_head(200, [], len(body))
        on_body(body)


class InMemoryServer:
    """A backend server with its guard.

    Attributes:
        address: Address under which entries open links to it.
        is_paused: Whether the node is paused, so that its frames are delayed.
        lease: Lease of the current incarnation.
        guard: Guard of the current incarnation.
    """

    def __init__(self, cluster, name):
        self._cluster = cluster
        self._name = name
        self.address = f"10.0.0.{len(cluster.servers) + 1}:1"
        self.is_paused = False
        self._incarnation = 0
        self.restart()

    def restart(self):
        """Replace the node by a new incarnation without any state."""
        cluster = self._cluster
        self._incarnation += 1
        identity = Identity(
            self._name, SERVICE, REGION, "home-a", 1000 + self._incarnation
        )
        self.lease = Lease(cluster.clock)
        backend = FakeBackend(cluster.runs, cluster.decide)
        signer = ContextSigner(SECRET, identity.incarnation)
        self.guard = Guard(
            cluster.clock, identity, cluster.settings, signer, self.lease, backend
        )
        self.guard.connect(cluster.kernel)
        self.guard.admission.announce(False, 8)
        self.is_paused = False

    def announce(self):
        """Register the current incarnation in the entry's directory."""
        record = ServerRecord(
            self._name,
            SERVICE,
            REGION,
            "home-a",
            self.address,
            8,
            ServerState.WARM,
            1000 + self._incarnation,
            1,
        )
        self._cluster.directory.merge(record)

    def pause(self):
        """Pause the node; frames sent to it are delayed."""
        self.is_paused = True

    def resume(self):
        """Resume the node after a pause that outlasts its lease."""
        self._cluster.clock.advance(LEASE_SECONDS + 1)
        self.is_paused = False

    def handle(self, message):
        """Handle one frame and return the answers to it."""
        link = _GuardLink()
        try:
            if type(message) is Call:
                serve_call(self.guard, link, message)
            else:
                serve_query(self.guard, link, message)
        except (LinkError, CallerDisconnected):
            pass
        return link.sent


class FakeLink:
    """The entry's end of a link."""

    watch = None

    def __init__(self, cluster, server):
        self._cluster = cluster
        self._server = server
        self._inbox = collections.deque()
        self._is_open = True
        self.remote = server.address
        self.sent_bytes = 0
        self.received_bytes = 0

    def send(self, message, timeout=None):
        """Deliver, lose, delay or duplicate one frame or cut the link, as decided."""
        if not self._is_open:
            raise LinkError("closed")
        message = decode_message(message.encode())
        outcomes = QUERY_OUTCOMES if type(message) is Query else CALL_OUTCOMES
        outcome = self._cluster.decide("frame", outcomes)
        if outcome == "cut before":
            self._is_open = False
            raise LinkError("cut")
        if outcome == "lose":
            return
        if outcome == "delay" or self._server.is_paused:
            self._cluster.delayed.append((self._server, message, self))
            return
        for _ in range(2 if outcome == "duplicate" else 1):
            self._inbox.extend(self._server.handle(message))
        if outcome == "cut after":
            self._is_open = False
            raise LinkError("cut")

    def receive(self, timeout=None, watch=None):
        """Return the next frame, or advance the clock by the timeout and raise."""
        self._cluster.disturb()
        if not self._is_open:
            raise LinkError("closed")
        if not self._inbox:
            self._cluster.clock.advance(timeout)
            raise LinkTimeout("silent")
        outcome = self._cluster.decide("answer", ANSWER_OUTCOMES)
        message = self._inbox.popleft()
        if outcome == "cut before":
            self._is_open = False
            raise LinkError("cut")
        if outcome == "lose":
            self._cluster.clock.advance(timeout)
            raise LinkTimeout("silent")
        return message

    def deliver(self, messages):
        """Queue the answers to a delayed frame for `receive`."""
        self._inbox.extend(messages)

    def has_input(self):
        """Return whether a frame is queued or the link is closed."""
        return bool(self._inbox) or not self._is_open

    def close(self):
        """Close the link."""
        self._is_open = False

    abort = close


class _GuardLink:
    """The guard's end of a link, which records the frames sent."""

    watch = None

    def __init__(self):
        self.sent = []

    def send(self, message, timeout=None):
        self.sent.append(decode_message(message.encode()))

    def receive(self, timeout=None, watch=None):
        raise LinkError("nothing follows")


class FakeConnection:
    """A caller's connection that records the answer.

    Attributes:
        status: HTTP status of the answer, or 0 before there is one.
        body: Body of the answer.
    """

    watch = None

    def __init__(self):
        self.status = 0
        self.body = b""

    @property
    def is_answered(self):
        """Whether there is an answer."""
        return self.status != 0

    def read_body(self):
        """Return no bytes, because the request has no body."""
        return b""

    def start_answer(self, status, headers, length, body=b"", keep_alive=True):
        """Record the answer."""
        self.status = status
        self.body = body


class InMemoryCluster:
    """One entry and several servers.

    Attributes:
        clock: ManualClock.
        decide: Function that decides the outcome at each point; see `__init__`.
        runs: Counter of runs by operation, over all servers.
        servers: InMemoryServers.
        delayed: Frames not yet delivered, as (server, message, link).
        settings: Settings of all nodes.
        kernel: Kernel of the entry.
        directory: Directory of the entry.
        entry: Entry.
    """

    def __init__(self, decide, count=2, disturb=None):
        """Initialize the cluster.

        Args:
            decide: Function that is given a point ("frame", "answer" or "backend")
                and its possible outcomes, and returns one of them.
            count: Number of servers.
            disturb: Function called with the cluster whenever the entry waits.
        """
        self.clock = ManualClock()
        self.decide = decide
        self.runs = collections.Counter()
        self.servers = []
        self.delayed = []
        self._disturb = disturb
        spec = ServerSpec("entry-1", "none", REGION, "home-a", 1, 0.0)
        self.settings = Settings(
            make_settings(spec, (1, 2, 3), 4, (), "http://127.0.0.1:1")
        )
        self._build(count)

    def _build(self, count):
        identity = Identity("entry-1", "none", REGION, "home-a", 1)
        self.kernel = Kernel()
        self.directory = self.kernel.register(Directory(self.clock))
        configurations = self.kernel.register(
            Configurations(self.clock, None, None, None, 1.0)
        )
        self.kernel.register(ExclusionRegister(self.clock, identity))
        self.kernel.register(RegionalPacer(self.clock))
        self.kernel.register(
            LinkPool(self.clock, None, 1.0, lambda address, *_: self._open(address))
        )
        self.kernel.register(Router(self.clock, Location(REGION, "home-a")))
        signer = ContextSigner(SECRET, 1)
        self.entry = Entry(self.clock, identity, self.settings, signer)
        for name in ("exclusions", "router"):
            self.kernel.find(name).connect(self.kernel)
        configurations.apply_changes(Changes([], [1, make_records()]))
        configurations.record_peer_answer()
        for index in range(count):
            self.servers.append(InMemoryServer(self, f"shop-{index + 1}"))
            self.servers[-1].announce()
        self.kernel.register(_NoGuard())
        self.entry.connect(self.kernel)

    def send(self, operation, idempotent):
        """Send one caller's request.

        Returns:
            FakeConnection with the answer, or the RequestError if it failed.
        """
        method = "GET" if idempotent else "POST"
        headers = [
            ("authorization", f"Bearer {KEY}"),
            (OPERATION_HEADER, operation),
        ]
        request = HttpRequest(method, f"/{SERVICE}/things", headers, 0, True)
        connection = FakeConnection()
        entry_request = self.entry.begin(request)
        try:
            self.entry.handle(entry_request, request, connection)
        except RequestError as error:
            return error
        return connection

    def disturb(self):
        """Call the test's `disturb` function while the entry waits."""
        if self._disturb is not None:
            self._disturb(self)

    def release_frame(self, index):
        """Deliver one delayed frame, unless its server is paused."""
        server, message, link = self.delayed.pop(index)
        if server.is_paused:
            self.delayed.append((server, message, link))
            return
        link.deliver(server.handle(message))

    def release_all(self):
        """Resume all servers and deliver all delayed frames."""
        for server in self.servers:
            server.is_paused = False
        while self.delayed:
            self.release_frame(0)

    def _open(self, address):
        server = next(item for item in self.servers if item.address == address)
        return FakeLink(self, server)


class _NoGuard(Service):
    """Placeholder for the guard service of an entry without a backend server."""

    name = "guard"


def make_records():
    """Return records of one customer whose GETs are idempotent and POSTs are not."""
    return {
        "customer/only": {
            "plan": "all",
            "key_sha256": hashlib.sha256(KEY.encode()).hexdigest(),
        },
        "plan/all": {
            "regions": [REGION],
            "requests_per_second": 1_000_000,
            "routes": [
                {"service": SERVICE, "methods": ["POST"], "path": "/things"},
                {
                    "service": SERVICE,
                    "methods": ["GET"],
                    "path": "/things",
                    "idempotent": True,
                },
            ],
        },
    }

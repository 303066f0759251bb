"""The whole request path in memory: real entry and guards, fake links and backends.

Everything runs in one thread on a clock set by hand. What happens to each frame
is decided by a function, so that a test can draw every history it likes.
"""

import collections
import hashlib

from godwitrack.clock import ManualClock
from godwitrack.exceptions import (
    CallerDisconnected,
    ErrorKind,
    LinkError,
    LinkTimeout,
    RequestError,
)
from godwitrack.kernel import Kernel, Service
from godwitrack.messages import Call, Changes, Query, decode_message
from godwitrack.settings import Settings
from godwitrack_lab.deployment import SECRET, ServerPlace, make_settings
from godwitrack_node.configurations import Configurations
from godwitrack_node.context import NOT_RUN_HEADER, ContextSigner
from godwitrack_node.directory import Directory, ServerRecord, ServerState
from godwitrack_node.entry import Entry
from godwitrack_node.exclusions import ExclusionRegister
from godwitrack_node.guard import Guard
from godwitrack_node.httpserver import HttpRequest
from godwitrack_node.identity import Identity
from godwitrack_node.lease import LEASE_SECONDS, Lease
from godwitrack_node.linkpool import LinkPool
from godwitrack_node.linkserver import serve_call, serve_query
from godwitrack_node.pacing import RegionalPacer
from godwitrack_node.routing import Location, Router

KEY = "key-of-the-only-customer"
OPERATION_HEADER = "x-operation"
REGION = "home"
SERVICE = "shop"

CALL_FATES = ("deliver", "lose", "delay", "duplicate", "cut before", "cut after")
QUERY_FATES = ("deliver", "lose", "cut before", "delay")
ANSWER_FATES = ("deliver", "lose", "cut before")
BACKEND_FATES = ("run", "unreachable", "run then break", "shed")


class FakeBackend:
    """A backend client that counts runs and answers with the request's operation.

    Attributes:
        runs: Counter of runs by operation.
    """

    def __init__(self, runs, decide):
        self.runs = runs
        self._decide = decide

    def send(self, request, on_head, on_body, before_send):
        """Do what the decided fate says."""
        fate = self._decide("backend", BACKEND_FATES)
        if fate == "unreachable":
            raise RequestError(ErrorKind.BACKEND_UNREACHABLE)
        before_send()
        if fate == "shed":
            on_head(503, [[NOT_RUN_HEADER, "true"]], 0)
            return
        operation = dict(map(tuple, request.headers))[OPERATION_HEADER]
        self.runs[operation] += 1
        if fate == "run then break":
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN)
        body = operation.encode()
        on_head(200, [], len(body))
        on_body(body)


class InMemoryServer:
    """A backend server with its guard.

    Attributes:
        address: Address by which links reach it.
        is_paused: Whether frames wait until it runs again.
        guard: Guard of the present incarnation.
    """

    def __init__(self, world, name):
        self._world = world
        self._name = name
        self.address = f"10.0.0.{len(world.servers) + 1}:1"
        self.is_paused = False
        self._incarnation = 0
        self.restart()

    def restart(self):
        """Replace the node by one with an empty memory."""
        world = self._world
        self._incarnation += 1
        identity = Identity(
            self._name, SERVICE, REGION, "home-a", 1000 + self._incarnation
        )
        self.lease = Lease(world.clock)
        backend = FakeBackend(world.runs, world.decide)
        signer = ContextSigner(SECRET, identity.incarnation)
        self.guard = Guard(
            world.clock, identity, world.settings, signer, self.lease, backend
        )
        self.guard.connect(world.kernel)
        self.guard.admission.announce(False, 8)
        self.is_paused = False

    def announce(self):
        """Tell the entry's directory of the present incarnation."""
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
        self._world.directory.merge(record)

    def pause(self):
        """Let the node stand still; frames wait for it."""
        self.is_paused = True

    def resume(self):
        """Let the node run on after more than a lease."""
        self._world.clock.advance(LEASE_SECONDS + 1)
        self.is_paused = False

    def handle(self, message):
        """Handle one frame and return the answers sent for it."""
        end = _ServerEnd()
        try:
            if type(message) is Call:
                serve_call(self.guard, end, message)
            else:
                serve_query(self.guard, end, message)
        except (LinkError, CallerDisconnected):
            pass
        return end.sent


class FakeLink:
    """The entry's end of a link."""

    watch = None

    def __init__(self, world, server):
        self._world = world
        self._server = server
        self._inbox = collections.deque()
        self._is_open = True
        self.remote = server.address
        self.sent_bytes = 0
        self.received_bytes = 0

    def send(self, message, timeout=None):
        """Give one frame to the network."""
        if not self._is_open:
            raise LinkError("closed")
        message = decode_message(message.encode())
        fates = QUERY_FATES if type(message) is Query else CALL_FATES
        fate = self._world.decide("frame", fates)
        if fate == "cut before":
            self._is_open = False
            raise LinkError("cut")
        if fate == "lose":
            return
        if fate == "delay" or self._server.is_paused:
            self._world.delayed.append((self._server, message, self))
            return
        for _ in range(2 if fate == "duplicate" else 1):
            self._inbox.extend(self._server.handle(message))
        if fate == "cut after":
            self._is_open = False
            raise LinkError("cut")

    def receive(self, timeout=None, watch=None):
        """Take one frame from the network, or let the time pass."""
        self._world.disturb()
        if not self._is_open:
            raise LinkError("closed")
        if not self._inbox:
            self._world.clock.advance(timeout)
            raise LinkTimeout("silent")
        fate = self._world.decide("answer", ANSWER_FATES)
        message = self._inbox.popleft()
        if fate == "cut before":
            self._is_open = False
            raise LinkError("cut")
        if fate == "lose":
            self._world.clock.advance(timeout)
            raise LinkTimeout("silent")
        return message

    def deliver(self, messages):
        """Put late answers where `receive` finds them."""
        self._inbox.extend(messages)

    def has_input(self):
        """Tell whether a frame waits or the link ended."""
        return bool(self._inbox) or not self._is_open

    def close(self):
        """Close the link."""
        self._is_open = False

    abort = close


class _ServerEnd:
    """The guard's end of a link, which keeps what is sent."""

    watch = None

    def __init__(self):
        self.sent = []

    def send(self, message, timeout=None):
        self.sent.append(decode_message(message.encode()))

    def receive(self, timeout=None, watch=None):
        raise LinkError("nothing follows")


class FakeConnection:
    """A caller's connection that keeps the answer.

    Attributes:
        status: HTTP status, or 0.
        body: The answer's body.
    """

    watch = None

    def __init__(self):
        self.status = 0
        self.body = b""

    def read_body(self):
        """Return the end of the body."""
        return b""

    def start_answer(self, status, headers, length, body=b"", keep_alive=True):
        """Keep the answer."""
        self.status = status
        self.body = body


class World:
    """One entry and several servers.

    Attributes:
        clock: ManualClock.
        runs: Counter of runs by operation, of all servers.
        servers: InMemoryServers.
        delayed: Frames that the network still holds.
    """

    def __init__(self, decide, count=2, disturb=None):
        """Build the world.

        Args:
            decide: Function from a point ("frame", "answer" or "backend") and the
                possible fates to one of them.
            count: Number of servers.
            disturb: Called with the world whenever the entry waits.
        """
        self.clock = ManualClock()
        self.decide = decide
        self.runs = collections.Counter()
        self.servers = []
        self.delayed = []
        self._disturb = disturb
        place = ServerPlace("entry-1", "none", REGION, "home-a", 1, 0.0)
        self.settings = Settings(
            make_settings(place, (1, 2, 3), 4, (), "http://127.0.0.1:1")
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
            FakeConnection with the answer, or the RequestError.
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
        """Let the test do something while the entry waits."""
        if self._disturb is not None:
            self._disturb(self)

    def release_frame(self, index):
        """Deliver one delayed frame."""
        server, message, link = self.delayed.pop(index)
        if server.is_paused:
            self.delayed.append((server, message, link))
            return
        link.deliver(server.handle(message))

    def release_all(self):
        """Let every server run and deliver every delayed frame."""
        for server in self.servers:
            server.is_paused = False
        while self.delayed:
            self.release_frame(0)

    def _open(self, address):
        server = next(item for item in self.servers if item.address == address)
        return FakeLink(self, server)


class _NoGuard(Service):
    """Stands in for the guard of an entry that has no backend server."""

    name = "guard"


def make_records():
    """Return records of one customer, who may read often and write once."""
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

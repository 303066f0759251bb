"""Client for the backend server that stops waiting once the caller disconnects.

libcurl can wait for one connection only. Here a thread waits for the backend server
and for the caller at once, so that a request ends when its caller disconnects.
"""

import socket
import threading

from godwitrack.bytebudget import ByteBudget
from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack_node.backendrequest import BackendRequest
from godwitrack_node.instanceexchange import InstanceConnection, InstanceExchange

CONNECT_TIMEOUT_SECONDS = 0.5
# A request on a connection that the backend server is just closing is lost. One that is
# not idempotent can't be sent again, so it uses no connection that was idle for longer.
MAX_IDLE_SECONDS_FOR_WRITES = 2.0


class InstanceRequest(BackendRequest):
    """A request that InstanceClient sends.

    Attributes:
        idempotent: Whether it may run more than once.
        keeps_body: Whether the body of its answer is needed.
    """

    __slots__ = ("idempotent", "keeps_body")

    def __init__(
        self,
        method,
        path,
        headers,
        body,
        length,
        read_more,
        idempotent,
        keeps_body=True,
    ):
        super().__init__(method, path, headers, body, length, read_more)
        self.idempotent = idempotent
        self.keeps_body = keeps_body

    def encode_head(self):
        """Return the request line and the headers as bytes."""
        lines = [f"{self.method} {self.path} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in self.headers)
        if self.read_more is not None and self.length < 0:
            lines.append("Transfer-Encoding: chunked")
        elif self.read_more is not None:
            lines.append(f"Content-Length: {self.length}")
        elif self.body or self.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"


class InstanceClient:
    """Sends requests over a pool of persistent connections.

    A request is sent only once. A connection on which anything follows the complete
    answer is closed, because those bytes belong to no request.
    """

    def __init__(self, clock, address, connections, budget=None):
        """Create the client without connecting.

        Args:
            clock: Clock.
            address: Address of the backend server.
            connections: Maximum number of connections at once.
            budget: ByteBudget of the answers; by default, a new one.
        """
        self._clock = clock
        self._address = (address.host, address.port)
        self._limit = connections
        self._lock = threading.Lock()
        self._idle = []
        self._open_count = 0
        self._budget = budget or ByteBudget()

    @property
    def open_connections(self):
        """Number of connections, in use or idle."""
        return self._open_count

    @property
    def held_bytes(self):
        """Bytes of the bodies of answers that are in memory, or will be."""
        return self._budget.used_bytes

    def send(self, request, is_own_answer, deadline, watch=None):
        """Send a request and return its answer.

        Args:
            request: InstanceRequest.
            is_own_answer: Function as in InstanceExchange.run; other answers are
                skipped.
            deadline: Monotonic time of the clock, in seconds.
            watch: Watch of the caller's connection, or None.

        Raises:
            RequestError: BACKEND_UNREACHABLE if nothing was sent, SERVER_BUSY if
                all connections are in use, TIMEOUT or OUTCOME_UNKNOWN otherwise.
            CallerDisconnected: The caller left; the connection to the backend server
                was closed.
        """
        connection = self._acquire(request.idempotent, deadline)
        is_reusable = False
        try:
            exchange = InstanceExchange(
                connection, self._clock, request, deadline, watch, self._budget
            )
            answer = exchange.run(is_own_answer)
            is_reusable = exchange.is_reusable
            return answer
        finally:
            self._release(connection, is_reusable)

    def set_limit(self, connections):
        """Set the maximum number of connections; surplus ones are closed once idle.

        Args:
            connections: Number of connections, at least 1.
        """
        with self._lock:
            self._limit = max(connections, 1)
            surplus = max(self._open_count - self._limit, 0)
        self._close_idle(surplus)

    def close_idle(self):
        """Close the idle connections."""
        self._close_idle(self._open_count)

    def _close_idle(self, count):
        """Close up to `count` idle connections, those idle for longest first."""
        with self._lock:
            idle, self._idle = self._idle[:count], self._idle[count:]
            self._open_count -= len(idle)
        for connection in idle:
            connection.sock.close()

    def _acquire(self, idempotent, deadline):
        while True:
            connection = self._pop_idle()
            if connection is None:
                return self._connect(deadline)
            age = self._clock.read_monotonic() - connection.idle_since
            limit = connection.max_idle_seconds
            if not idempotent:
                limit = min(limit, MAX_IDLE_SECONDS_FOR_WRITES)
            if age < limit and not connection.has_input():
                return connection
            self._discard(connection)

    def _pop_idle(self):
        with self._lock:
            if self._idle:
                return self._idle.pop()
            if self._open_count >= self._limit:
                raise RequestError(ErrorKind.SERVER_BUSY, "all connections are in use")
            self._open_count += 1
            return None

    def _connect(self, deadline):
        remaining_seconds = deadline - self._clock.read_monotonic()
        timeout = max(min(remaining_seconds, CONNECT_TIMEOUT_SECONDS), 0.001)
        try:
            sock = socket.create_connection(self._address, timeout)
        except OSError as error:
            with self._lock:
                self._open_count -= 1
            raise RequestError(ErrorKind.BACKEND_UNREACHABLE, str(error)) from None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setblocking(False)
        return InstanceConnection(sock)

    def _discard(self, connection):
        connection.sock.close()
        with self._lock:
            self._open_count -= 1

    def _release(self, connection, is_reusable):
        connection.idle_since = self._clock.read_monotonic()
        with self._lock:
            is_kept = is_reusable and self._open_count <= self._limit
            if is_kept:
                self._idle.append(connection)
            else:
                self._open_count -= 1
        if not is_kept:
            connection.sock.close()

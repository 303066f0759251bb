"""Requests to the node's own backend server over connections that are watched.

libcurl can wait for one connection only. Here a thread waits for the backend
server and for the caller at once, so that a request ends when its caller leaves.
"""

import socket
import threading

from godwitrack.exceptions import ErrorKind, RequestError
from godwitrack_node.backendrequest import BackendRequest
from godwitrack_node.instanceexchange import InstanceConnection, InstanceExchange

CONNECT_TIMEOUT_SECONDS = 0.5
# A connection that the backend server is just closing loses a request for good.
IDLE_SECONDS_FOR_WRITES = 2.0


class InstanceRequest(BackendRequest):
    """A request that is sent over a watched connection.

    Attributes:
        idempotent: Whether it may run more than once.
    """

    __slots__ = ("idempotent",)

    def __init__(self, method, path, headers, body, length, read_more, idempotent):
        super().__init__(method, path, headers, body, length, read_more)
        self.idempotent = idempotent

    def encode_head(self):
        """Return the head as bytes."""
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
    """Sends requests over a pool of kept connections.

    A request is sent once. Whatever follows a complete answer on its connection
    belongs to no request: such a connection is closed.
    """

    def __init__(self, clock, address, connections):
        """Prepare without connecting.

        Args:
            clock: Clock.
            address: Address of the backend server.
            connections: Most connections at once.
        """
        self._clock = clock
        self._address = (address.host, address.port)
        self._limit = connections
        self._lock = threading.Lock()
        self._idle = []
        self._open = 0

    @property
    def open_connections(self):
        """Connections in use or idle."""
        return self._open

    def send(self, request, owns, deadline, watch=None):
        """Send a request and return its answer.

        Args:
            request: InstanceRequest.
            owns: Function of an HttpAnswer that tells whether it belongs to the
                request; others are passed over.
            deadline: Monotonic time of the clock, in seconds.
            watch: Watch of the caller's connection, or None.

        Raises:
            RequestError: BACKEND_UNREACHABLE if nothing was sent, SERVER_BUSY if
                all connections are in use, TIMEOUT or OUTCOME_UNKNOWN otherwise.
            CallerDisconnected: The caller left; the connection was closed.
        """
        connection = self._take(request.idempotent, deadline)
        is_reusable = False
        try:
            exchange = InstanceExchange(
                connection, self._clock, request, deadline, watch
            )
            answer = exchange.run(owns)
            is_reusable = exchange.is_reusable
            return answer
        finally:
            self._give_back(connection, is_reusable)

    def set_limit(self, connections):
        """Set the most connections at once; those beyond it are closed when idle.

        Args:
            connections: Number of connections, at least 1.
        """
        with self._lock:
            self._limit = max(connections, 1)
            surplus = max(self._open - self._limit, 0)
        self._close_idle(surplus)

    def close_idle(self):
        """Close the connections that wait for a next request."""
        self._close_idle(self._open)

    def _close_idle(self, most):
        """Close up to so many idle connections, those that wait longest first."""
        with self._lock:
            idle, self._idle = self._idle[:most], self._idle[most:]
            self._open -= len(idle)
        for connection in idle:
            connection.sock.close()

    def _take(self, idempotent, deadline):
        while True:
            connection = self._pop_idle()
            if connection is None:
                return self._connect(deadline)
            age = self._clock.read_monotonic() - connection.idle_since
            limit = connection.idle_limit
            if not idempotent:
                limit = min(limit, IDLE_SECONDS_FOR_WRITES)
            if age < limit and not connection.has_input():
                return connection
            self._discard(connection)

    def _pop_idle(self):
        with self._lock:
            if self._idle:
                return self._idle.pop()
            if self._open >= self._limit:
                raise RequestError(ErrorKind.SERVER_BUSY, "all connections are in use")
            self._open += 1
            return None

    def _connect(self, deadline):
        left = deadline - self._clock.read_monotonic()
        timeout = max(min(left, CONNECT_TIMEOUT_SECONDS), 0.001)
        try:
            sock = socket.create_connection(self._address, timeout)
        except OSError as error:
            with self._lock:
                self._open -= 1
            raise RequestError(ErrorKind.BACKEND_UNREACHABLE, str(error)) from None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setblocking(False)
        return InstanceConnection(sock)

    def _discard(self, connection):
        connection.sock.close()
        with self._lock:
            self._open -= 1

    def _give_back(self, connection, is_reusable):
        connection.idle_since = self._clock.read_monotonic()
        with self._lock:
            is_kept = is_reusable and self._open <= self._limit
            if is_kept:
                self._idle.append(connection)
            else:
                self._open -= 1
        if not is_kept:
            connection.sock.close()

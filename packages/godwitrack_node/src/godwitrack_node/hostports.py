"""HTTP ports of the node for readiness, backend server reports and metrics."""

import abc
import threading

from godwitrack.exceptions import CallerDisconnected, ErrorKind, RequestError
from godwitrack.kernel import Service
from godwitrack.logs import get_logger
from godwitrack_node.answer import HttpAnswer
from godwitrack_node.connectionserver import ConnectionServer
from godwitrack_node.httpserver import HttpConnection
from godwitrack_node.ports import RETRY_SECONDS, Port, PortWait
from godwitrack_node.waitingsockets import WaitingSockets

MAX_CONNECTIONS = 32
# Connections that have yet to send a whole request leave the others to those that have.
MAX_WAITING_CONNECTIONS = 24
MAX_BODY_BYTES = 64 * 1024


class PortHandler(abc.ABC):
    """Answers the requests of one port."""

    def connect(self, kernel):
        """Find the collaborators."""

    @abc.abstractmethod
    def answer(self, method, target, body):
        """Return the HttpAnswer to a request.

        Args:
            method: HTTP method.
            target: Path and query.
            body: Whole body as bytes.
        """


class HttpPort(Service):
    """Serves one address with a PortHandler, one thread for each connection.

    Attributes:
        port: Port to serve.
    """

    def __init__(self, name, executor, address, handler):
        """Create the port without listening.

        Args:
            name: Name of the service.
            executor: concurrent.futures.Executor.
            address: Address to listen on.
            handler: PortHandler.
        """
        self._name = name
        self._executor = executor
        self.port = Port(address)
        self._handler = handler
        self._waiting = WaitingSockets(MAX_WAITING_CONNECTIONS)
        self._server = None
        self._log = get_logger(name)

    @property
    def name(self):
        """Name by which other services find this one."""
        return self._name

    @property
    def address(self):
        """(host, port) on which it listens."""
        return self._server.address

    def connect(self, kernel):
        """Let the handler find its collaborators."""
        self._handler.connect(kernel)

    def start(self):
        """Open the port, if it is not open yet, and start serving."""
        self._server = ConnectionServer(
            self._executor,
            self.port.address,
            self._serve,
            MAX_CONNECTIONS,
            self.port,
        )
        self._server.start()

    def stop(self):
        """Close the port and its connections."""
        self._server.close()
        self._server.interrupt()

    def _serve(self, sock, remote):
        connection = HttpConnection(sock)
        try:
            while self._serve_request(connection, sock):
                pass
        except CallerDisconnected as error:
            self._log.info("connection ended", remote=remote, error=str(error))
        except RequestError as error:
            self._log.info("request refused", remote=remote, error=str(error))
            _send_refusal(connection, error)
        finally:
            connection.end()

    def _serve_request(self, connection, sock):
        self._waiting.add(sock)
        try:
            request = connection.read_request()
            if request is None:
                return False
            body = _read_body(connection, request)
        finally:
            self._waiting.remove(sock)
        answer = self._handler.answer(request.method, request.target, body)
        connection.start_answer(
            answer.status,
            answer.headers,
            len(answer.body),
            answer.body,
            request.keep_alive,
        )
        return request.keep_alive


class PatientHttpPort(HttpPort):
    """An HttpPort that a node can do without: it is served once its address is free."""

    def __init__(self, name, executor, address, handler):
        """Create the port without listening; see HttpPort."""
        super().__init__(name, executor, address, handler)
        self._wait = PortWait(self.port)
        self._lock = threading.Lock()
        self._stopped = threading.Event()

    def start(self):
        """Start serving, now or as soon as the address is free."""
        if not self._try_start():
            self._executor.submit(self._retry)

    def stop(self):
        """Close the port and its connections, or end the wait for its address."""
        self._stopped.set()
        with self._lock:
            if self._server is not None:
                super().stop()

    def _retry(self):
        while not self._stopped.wait(RETRY_SECONDS):
            if self._try_start():
                return

    def _try_start(self):
        """Start serving; return whether no further attempt is needed."""
        with self._lock:
            if self._stopped.is_set():
                return True
            if not self._wait.attempt(self.port.open):
                return False
            super().start()
            return True


def _read_body(connection, request):
    """Return the body of a request.

    Raises:
        RequestError: BODY_TOO_LARGE; or the body is malformed.
        CallerDisconnected: The connection ended before the body did.
    """
    if request.length > MAX_BODY_BYTES:
        raise RequestError(ErrorKind.BODY_TOO_LARGE)
    body = bytearray()
    while part := connection.read_body():
        body += part
        if len(body) > MAX_BODY_BYTES:
            raise RequestError(ErrorKind.BODY_TOO_LARGE)
    return bytes(body)


def _send_refusal(connection, error):
    """Send the status of a RequestError as the last answer of a connection."""
    try:
        connection.start_answer(error.answer.status, [], 0, b"", False)
    except CallerDisconnected:
        pass


class ReadinessHandler(PortHandler):
    """Answers 200 while the node can serve callers, else 503."""

    def __init__(self):
        self._routes = None
        self._member_table = None
        self._is_stopping = False

    def connect(self, kernel):
        """Find the collaborators."""
        self._routes = kernel.find("configurations")
        self._member_table = kernel.find("member-table")

    def begin_stop(self):
        """Answer 503 from now on."""
        self._is_stopping = True

    def answer(self, method, target, body):
        """Return 200 or 503 to any request."""
        is_ready = self._routes.is_ready and bool(self._member_table.list_members())
        if self._is_stopping or not is_ready:
            return HttpAnswer(503)
        return HttpAnswer(200)

"""The port on which callers send their requests over HTTP."""

from godwitrack.exceptions import CallerDisconnected, ErrorKind, RequestError
from godwitrack.kernel import Service
from godwitrack.link import tune_socket
from godwitrack.logs import get_logger
from godwitrack_node.connectionserver import ConnectionServer
from godwitrack_node.httpserver import HttpConnection
from godwitrack_node.ports import Port
from godwitrack_node.protocol import JsonCallerProtocol
from godwitrack_node.requestbudget import RequestBudget


class Callers(Service):
    """Serves callers' connections, each in its own thread.

    Attributes:
        port: Port of the callers.
    """

    name = "callers"

    def __init__(self, executor, address, max_connections, protocol=None, budget=None):
        """Create the port; `start` opens it if it is not open yet.

        Args:
            executor: concurrent.futures.Executor.
            address: Address to listen on.
            max_connections: Maximum number of open connections.
            protocol: CallerProtocol; JsonCallerProtocol by default.
            budget: ConnectionBudget shared with other ports, or None.
        """
        self._executor = executor
        self._protocol = protocol or JsonCallerProtocol()
        self.port = Port(address)
        self._connection_budget = budget
        self._max_connections = max_connections
        self._request_budget = RequestBudget()
        self._server = None
        self._entry = None
        self._metrics = None
        self._request_log = None
        self._is_stopping = False
        self._is_finishing = False
        self._log = get_logger("callers")

    @property
    def address(self):
        """Pair of host and port on which callers are served."""
        return self._server.address

    def connect(self, kernel):
        """Find the collaborators."""
        self._entry = kernel.find("entry")
        self._metrics = kernel.find("metrics")
        self._request_log = kernel.find("request-log")

    def start(self):
        """Open the port and begin to serve."""
        self._server = ConnectionServer(
            self._executor,
            self.port.address,
            self._serve,
            self._max_connections,
            self.port,
            self._connection_budget,
        )
        self._server.start()

    def begin_stop(self):
        """Close each connection after its next answer; new ones are still accepted."""
        self._is_stopping = True

    def drain(self):
        """Accept no new connections, and close each open one after its request.

        Requests that still arrive on open connections get a STOPPING error, which
        says that they did not run.
        """
        self._is_stopping = True
        self._entry.is_refusing = True
        self._server.close()

    def finish(self):
        """End the requests in flight with an error answer, as the node ends now."""
        self._is_finishing = True
        self._server.stop_reading()

    def stop(self):
        """Close the connections that are still open."""
        self._server.interrupt()

    def _serve(self, sock, remote):
        tune_socket(sock)
        connection = HttpConnection(
            sock, self._entry.limits, remote, self._request_budget
        )
        try:
            while self._serve_request(connection, remote):
                pass
        finally:
            connection.end()

    def _serve_request(self, connection, remote):
        """Serve one request; returns whether the connection can serve another."""
        try:
            request = connection.read_request()
        except RequestError as error:
            self._metrics.count_bad_input("http")
            self._send_error(connection, error, "", False)
            return False
        if request is None:
            return False
        if self._is_stopping:
            request.keep_alive = False
        entry_request = self._entry.begin(request)
        with self._metrics.track_request():
            is_open = self._handle(entry_request, request, connection)
        self._metrics.record_request(entry_request)
        self._request_log.record(entry_request, request)
        return is_open and request.keep_alive and connection.skip_body()

    def _handle(self, entry_request, request, connection):
        """Handle one request; returns whether the connection is still usable."""
        try:
            self._entry.check_accepting()
            self._entry.handle(entry_request, request, connection)
            return True
        except RequestError as error:
            # The traceback would keep the frames, and so the body, until the garbage
            # collector runs.
            failure = error.with_traceback(None)
        except CallerDisconnected:
            if not self._is_finishing:
                self._metrics.count_caller_disconnected()
                return False
            failure = _make_finish_error(entry_request)
        except Exception:
            self._log.exception("request failed", request_id=entry_request.request_id)
            failure = RequestError(ErrorKind.INTERNAL)
        entry_request.kind = failure.kind
        entry_request.status = failure.answer.status
        if connection.is_answered:
            self._record_broken_answer(entry_request, failure)
            return False
        keep_alive = (
            request.keep_alive
            and failure.kind is not ErrorKind.BAD_REQUEST
            and not connection.is_broken
        )
        request.keep_alive = keep_alive
        return self._send_error(
            connection, failure, entry_request.request_id, keep_alive
        )

    def _record_broken_answer(self, entry_request, error):
        """Record an answer that ends early, and with it the connection."""
        self._metrics.count_broken_answer()
        self._log.warning(
            "answer broken off",
            request_id=entry_request.request_id,
            server=entry_request.server,
            kind=error.kind.value,
            detail=error.detail,
        )

    def _send_error(self, connection, error, request_id, keep_alive):
        """Send an error answer; returns whether it could be sent."""
        error_answer = self._protocol.write_error(error, request_id)
        try:
            connection.start_answer(
                error_answer.status,
                error_answer.headers,
                len(error_answer.body),
                error_answer.body,
                keep_alive,
            )
        except CallerDisconnected:
            return False
        return True


def _make_finish_error(entry_request):
    """Return the RequestError of a request that outlasts the node."""
    if not entry_request.server:
        return RequestError(ErrorKind.STOPPING, "the node ends before its body came")
    return RequestError(ErrorKind.OUTCOME_UNKNOWN, "the node ends before its answer")

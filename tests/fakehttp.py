"""Base of the test servers that speak HTTP."""

from godwitrack.address import Address
from godwitrack.exceptions import CallerDisconnected, RequestError
from godwitrack_node.connectionserver import ConnectionServer
from godwitrack_node.httpserver import HttpConnection

LOCAL = Address("127.0.0.1", 0)


class FakeHttpServer:
    """Serves HTTP in this process.

    Subclasses define `answer`, which answers a request and returns whether its
    connection stays open.
    """

    def __init__(self, executor, address=LOCAL):
        self._server = ConnectionServer(executor, address, self._serve, 500)
        host, port = self._server.address
        self.address = Address(host, port)
        self._server.start()

    def close(self):
        self._server.close()
        self._server.interrupt()

    def read_body(self, request, connection):
        """Return the body of a request."""
        body = b""
        while part := connection.read_body():
            body += part
        return body

    def _serve(self, sock, remote):
        connection = HttpConnection(sock)
        try:
            while (request := connection.read_request()) is not None:
                body = self.read_body(request, connection)
                if not self.answer(request, body, connection, sock):
                    return
        except (CallerDisconnected, RequestError, OSError):
            return

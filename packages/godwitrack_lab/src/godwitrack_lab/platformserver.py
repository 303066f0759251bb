"""A fake platform as a process, with the HTTP interface of docs/PLATFORM.md."""

import json
import sys

from absl import flags
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.serving import WSGIRequestHandler, make_server
from werkzeug.wrappers import Request, Response

from godwitrack.exceptions import ConflictError, StoreError
from godwitrack_lab.memory import MemoryObjects, MemoryPlatform, MemoryTables

URLS = Map(
    [
        Rule("/tables/<table>/rows/<path:key>", endpoint="read_row"),
        Rule("/tables/<table>/rows", endpoint="read_rows"),
        Rule("/tables/<table>/transactions", endpoint="commit", methods=["POST"]),
        Rule("/objects/<path:name>", endpoint="read_object", methods=["GET"]),
        Rule("/objects/<path:name>", endpoint="write_object", methods=["PUT"]),
        Rule("/faults", endpoint="set_faults", methods=["POST"]),
        Rule("/counts", endpoint="show_counts"),
    ]
)


class PlatformServer:
    """Serves a MemoryPlatform over HTTP.

    Attributes:
        platform: MemoryPlatform.
    """

    def __init__(self, host, port):
        self.platform = MemoryPlatform()
        self._tables = MemoryTables(self.platform)
        self._objects = MemoryObjects(self.platform)
        self._server = make_server(
            host, port, self._serve, threaded=True, request_handler=_QuietHandler
        )
        self._server.daemon_threads = True

    @property
    def address(self):
        """Listening address as (host, port)."""
        return self._server.server_address

    def serve(self):
        """Serve requests until `stop` is called."""
        self._server.serve_forever()

    def stop(self):
        """Stop the server and close its socket."""
        self._server.shutdown()
        self._server.server_close()

    def _serve(self, environ, start_response):
        request = Request(environ)
        try:
            endpoint, arguments = URLS.bind_to_environ(environ).match()
            response = getattr(self, endpoint)(request, **arguments)
        except HTTPException as error:
            response = _make_response({"error": error.description}, error.code)
        except ConflictError as error:
            response = _make_response({"conflicts": error.keys}, 409)
        except StoreError as error:
            response = _make_response({"error": str(error)}, 503)
        return response(environ, start_response)

    def read_row(self, request, table, key):
        """Answer a read of one row."""
        row = self._tables.read_row(table, key)
        return _make_response({"version": row.version, "value": row.value})

    def read_rows(self, request, table):
        """Answer a read of rows in order."""
        limit = request.args.get("limit", 100, type=int)
        rows = self._tables.read_rows(table, request.args.get("after", ""), limit)
        return _make_response(
            [
                {"key": row.key, "version": row.version, "value": row.value}
                for row in rows
            ]
        )

    def commit(self, request, table):
        """Answer a transaction."""
        data = json.loads(request.get_data())
        self._tables.commit(table, data["checks"], data["writes"])
        return _make_response({})

    def read_object(self, request, name):
        """Answer a read of an object."""
        body = self._objects.read_object(name)
        if body is None:
            return _make_response({"error": "no such object"}, 404)
        return Response(body)

    def write_object(self, request, name):
        """Answer a write of an object."""
        self._objects.write_object(name, request.get_data())
        return _make_response({})

    def set_faults(self, request):
        """Set the fields of PlatformFaults given in the body."""
        for name, value in json.loads(request.get_data()).items():
            setattr(self.platform.faults, name, value)
        return _make_response({})

    def show_counts(self, request):
        """Answer with the numbers of calls served and refused."""
        platform = self.platform
        return _make_response(
            {
                "reads": platform.reads,
                "writes": platform.writes,
                "refused": platform.refused,
            }
        )


class _QuietHandler(WSGIRequestHandler):
    """A request handler that logs no requests."""

    def log_request(self, code="-", size="-"):
        """Skip the log line of a request."""


def _make_response(data, status=200):
    return Response(json.dumps(data), status, mimetype="application/json")


def main(arguments):
    """Run the fake platform until the process is terminated."""
    values = flags.FlagValues()
    flags.DEFINE_integer("port", 7000, "Port to listen on.", flag_values=values)
    values(arguments)
    PlatformServer("127.0.0.1", values.port).serve()


if __name__ == "__main__":
    main(sys.argv)

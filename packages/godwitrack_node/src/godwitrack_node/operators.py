"""Operators' port: metrics, health, announcements, changes and orders over HTTP."""

import hmac
import json
import threading

from werkzeug.exceptions import HTTPException, NotFound
from werkzeug.routing import Map, Rule
from werkzeug.serving import WSGIRequestHandler, make_server
from werkzeug.wrappers import Request, Response

from godwitrack.exceptions import (
    GodwitrackError,
    RevisionConflict,
    SettingsError,
    StoreError,
)
from godwitrack.kernel import Service
from godwitrack.logs import get_logger
from godwitrack_node.configurations import is_nothing_written
from godwitrack_node.orders import Order
from godwitrack_node.ports import Port

MAX_BODY_BYTES = 16 * 2**20
# Bytes of a head, and of a body that is read by no endpoint. The same number is allowed
# for the framing of a body that is read.
MAX_OTHER_BYTES = 128 * 1024
INPUT_KEY = "godwitrack.input"
LOOPBACK = "127.0.0.1"

URLS = Map(
    [
        Rule("/metrics", endpoint="show_metrics", methods=["GET"]),
        Rule("/healthz", endpoint="show_health", methods=["GET"]),
        Rule("/readyz", endpoint="show_readiness", methods=["GET"]),
        Rule("/announcement", endpoint="take_announcement", methods=["POST"]),
        Rule("/announcement", endpoint="show_announcement", methods=["GET"]),
        Rule("/status", endpoint="show_status", methods=["GET"]),
        Rule("/configuration", endpoint="show_configuration", methods=["GET"]),
        Rule("/revisions", endpoint="show_revisions", methods=["GET"]),
        Rule("/explanation", endpoint="show_explanation", methods=["GET"]),
        Rule("/changes", endpoint="take_change", methods=["POST"]),
        Rule("/orders", endpoint="take_order", methods=["POST"]),
    ]
)
# Endpoints that need no operators' token.
OPEN_ENDPOINTS = frozenset(
    (
        "show_metrics",
        "show_health",
        "show_readiness",
        "take_announcement",
        "show_announcement",
    )
)
# Endpoints that only processes on the node's own VM may call.
LOCAL_ENDPOINTS = frozenset(("take_announcement", "show_announcement"))


class OperatorsPort(Service):
    """HTTP server for operators and for the node's own backend server.

    Attributes:
        port: Port to serve.
    """

    name = "operators"

    def __init__(self, address, token):
        self._address = address
        self.port = Port(address)
        self._token = token
        self._server = None
        self._kernel = None
        self._log = get_logger("operators")

    @property
    def address(self):
        """(host, port) on which the server listens."""
        return self._server.server_address

    def connect(self, kernel):
        """Keep the kernel, in which each request looks up the services it needs."""
        self._kernel = kernel

    def start(self):
        """Open the port, if it is not open yet, and start to serve requests."""
        self.port.open()
        self._server = make_server(
            self._address.host,
            self._address.port,
            self._serve,
            threaded=True,
            request_handler=_QuietHandler,
            fd=self.port.socket.fileno(),
        )
        self._server.daemon_threads = True
        thread = threading.Thread(target=self._server.serve_forever, daemon=True)
        thread.start()

    def stop(self):
        """Stop serving and close the port."""
        self._server.shutdown()
        self._server.server_close()
        self.port.close()

    def _serve(self, environ, start_response):
        request = Request(environ)
        request.max_content_length = MAX_BODY_BYTES
        try:
            endpoint, _ = URLS.bind_to_environ(environ).match()
            response = self._check_access(request, endpoint)
            if response is None:
                response = getattr(self, endpoint)(request)
        except HTTPException as error:
            response = _answer(error.code, {"error": error.description})
        except SettingsError as error:
            response = _answer(400, {"error": str(error)})
        except GodwitrackError as error:
            response = _answer(503, {"error": str(error)})
        except Exception:
            self._log.exception("operators' request failed", path=request.path)
            response = _answer(500, {"error": "the node failed; see its log"})
        return response(environ, start_response)

    def _check_access(self, request, endpoint):
        if endpoint in LOCAL_ENDPOINTS:
            if request.remote_addr in (LOOPBACK, self._address.host):
                return None
            return _answer(403, {"error": "only the VM's own backend server may"})
        if endpoint in OPEN_ENDPOINTS:
            return None
        given = request.headers.get("Authorization", "").removeprefix("Bearer ")
        if hmac.compare_digest(given.encode(), self._token.encode()):
            return None
        return _answer(401, {"error": "the operators' token is missing or wrong"})

    def show_metrics(self, request):
        """Return the metrics for a scrape by Prometheus."""
        accepts = request.headers.getlist("Accept")
        body, headers = self._kernel.find("metrics").render(accepts)
        return Response(body, headers=headers)

    def show_health(self, request):
        """Return 200 whenever the process runs."""
        return _answer(200, {"healthy": True})

    def show_readiness(self, request):
        """Return 200 if the node is ready to serve callers, else 503."""
        is_ready = self._kernel.find("configurations").is_ready
        return _answer(200 if is_ready else 503, {"ready": is_ready})

    def take_announcement(self, request):
        """Process an announcement of the backend server and return its state."""
        self._kernel.find("lifecycle").announce(_read_json(request))
        return self.show_announcement(request)

    def show_announcement(self, request):
        """Return the backend server's state and whether it is drained."""
        lifecycle = self._kernel.find("lifecycle")
        guard = self._kernel.find("guard")
        state = lifecycle.state
        return _answer(
            200,
            {
                "state": state.value if state else None,
                "in_flight": guard.admission.in_flight,
                "drained": lifecycle.is_drained,
            },
        )

    def show_status(self, request):
        """Return the status of the fleet."""
        return _answer(200, self._kernel.find("fleet").describe())

    def show_configuration(self, request):
        """Return the configuration in force at this node."""
        current = self._kernel.find("configurations").current
        return _answer(200, {"revision": current.revision, "records": current.records})

    def show_revisions(self, request):
        """Return the revision in force at each node."""
        return _answer(200, self._kernel.find("fleet").fetch_revisions())

    def show_explanation(self, request):
        """Return the route of a customer's request, and the verdict on each server."""
        arguments = request.args
        configuration = self._kernel.find("configurations").read()
        name = arguments.get("customer", "")
        customer = configuration.customers_by_name.get(name)
        if customer is None:
            raise NotFound(f"no customer is named {name!r}")
        plan = configuration.find_plan(customer)
        service = arguments.get("service", "")
        method = arguments.get("method", "GET")
        route = plan.find_route(service, method, arguments.get("path", "/"))
        if route is None:
            return _answer(200, {"plan": plan.name, "route": None, "servers": []})
        regions = plan.find_regions(route)
        return _answer(
            200,
            {
                "plan": plan.name,
                "route": {
                    "path": route.path,
                    "class": route.request_class.value,
                    "idempotent": route.idempotent,
                    "max_retries": route.max_retries,
                },
                "regions": sorted(regions),
                "servers": self._kernel.find("router").explain(service, regions),
            },
        )

    def take_change(self, request):
        """Commit an operator's change to the configuration."""
        data = _read_json(request)
        _check_fields(
            data, {"base": int, "records": dict, "author": str, "change_id": str}
        )
        configurations = self._kernel.find("configurations")
        try:
            change = configurations.commit(
                data["base"], data["records"], data["author"], data["change_id"]
            )
        except RevisionConflict as error:
            return _answer(
                409,
                {"error": str(error), "base": error.base, "current": error.current},
            )
        except StoreError as error:
            is_unwritten = is_nothing_written(error)
            text = "nothing was written" if is_unwritten else "it may have been written"
            return _answer(
                503, {"error": f"{error}; {text}", "nothing_written": is_unwritten}
            )
        return _answer(200, {"revision": change.revision})

    def take_order(self, request):
        """Carry out an order to take a server or data centre out or bring it back."""
        data = _read_json(request)
        fields = {"sort": str, "name": str, "out": bool, "author": str, "reason": str}
        _check_fields(data, fields)
        if data["sort"] not in ("data-centre", "server"):
            raise SettingsError("order: sort: expected data-centre or server")
        order = Order(
            data["sort"], data["name"], data["out"], data["author"], data["reason"]
        )
        try:
            result = self._kernel.find("orders").carry_out(order)
        except RevisionConflict as error:
            return _answer(409, {"error": str(error)})
        return _answer(
            200,
            {
                "revision": result.revision,
                "recorded": result.revision > 0,
                "noticed": result.is_noticed,
                "detail": result.detail,
            },
        )


class BoundedInput:
    """The bytes of one connection, at most as many as allowed so far."""

    def __init__(self, stream):
        """Wrap a stream.

        Args:
            stream: Buffered binary stream of the connection.
        """
        self._stream = stream
        self._remaining_bytes = MAX_OTHER_BYTES

    def allow_body(self):
        """Allow the longest body in addition."""
        self._remaining_bytes += MAX_BODY_BYTES + MAX_OTHER_BYTES

    def end_body(self):
        """Allow little beyond a body that was read or refused."""
        self._remaining_bytes = min(self._remaining_bytes, MAX_OTHER_BYTES)

    def read(self, size=-1):
        """Return up to `size` bytes, or all up to the end if it is negative.

        Raises:
            ConnectionError: More was sent than is allowed.
        """
        return self._take(self._stream.read, size)

    def readline(self, size=-1):
        """Return the rest of a line, up to `size` bytes if it is not negative.

        Raises:
            ConnectionError: More was sent than is allowed.
        """
        return self._take(self._stream.readline, size)

    def close(self):
        """Close the stream."""
        self._stream.close()

    @property
    def closed(self):
        """Whether the stream was closed."""
        return self._stream.closed

    def _take(self, read, size):
        if size < 0 or size > self._remaining_bytes:
            size = self._remaining_bytes
        if size == 0:
            raise ConnectionError("the request is larger than allowed")
        data = read(size)
        self._remaining_bytes -= len(data)
        return data


class _QuietHandler(WSGIRequestHandler):
    """Request handler without werkzeug's own access log."""

    def setup(self):
        """Bound the bytes that the connection may send."""
        super().setup()
        self.rfile = BoundedInput(self.rfile)

    def make_environ(self):
        """Return the environment of the request, with the connection's input."""
        environ = super().make_environ()
        environ[INPUT_KEY] = self.rfile
        return environ

    def log_request(self, code="-", size="-"):
        """Log nothing."""


def _answer(status, data):
    return Response(json.dumps(data), status, mimetype="application/json")


def _read_json(request):
    stream = request.environ[INPUT_KEY]
    stream.allow_body()
    try:
        return json.loads(request.get_data())
    except ValueError:
        raise SettingsError("request: not JSON") from None
    finally:
        stream.end_body()


def _check_fields(data, fields):
    if not isinstance(data, dict):
        raise SettingsError("request: expected an object")
    for name, kind in fields.items():
        if type(data.get(name)) is not kind:
            raise SettingsError(f"request: {name}: expected {kind.__name__}")
    unknown = sorted(set(data) - set(fields))
    if unknown:
        raise SettingsError(f"request: {unknown[0]}: unknown key")

"""Client for the node's own backend server, based on libcurl."""

import threading

import pycurl

from godwitrack.exceptions import (
    CallerDisconnected,
    ErrorKind,
    HeadError,
    RequestError,
)
from godwitrack.headreader import HeadReader
from godwitrack.numbers import parse_whole_number
from godwitrack_node.backendrequest import BackendRequest

MAX_IDLE_CONNECTION_SECONDS = 5
CONNECT_TIMEOUT_MS = 1000

# Errors after which it is certain that no byte of the request was sent.
UNSENT_ERRORS = frozenset(
    (
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_FAILED_INIT,
        pycurl.E_URL_MALFORMAT,
    )
)


class TimedRequest(BackendRequest):
    """A request that libcurl sends.

    Attributes:
        timeout: Seconds allowed for the request and its answer.
    """

    __slots__ = ("timeout",)

    def __init__(self, method, path, headers, body, length, read_more, timeout):
        super().__init__(method, path, headers, body, length, read_more)
        self.timeout = timeout

    @property
    def is_plain(self):
        """Whether this is a GET without a body."""
        return self.method == "GET" and not self.body and self.read_more is None


class BackendClient:
    """Sends requests with a bounded number of reused handles.

    libcurl resends a request of any method if a reused connection turns out to be
    dead. This client forbids that, because only the entry, which knows the plan,
    decides which requests are retried.
    """

    def __init__(self, address, connections):
        self._url = f"http://{address}"
        self._lock = threading.Lock()
        self._idle = []
        self._max_handles = connections
        self._handle_count = 0

    def send(self, request, on_head, on_body, before_send=None):
        """Send a request and pass its answer to the callbacks, part by part.

        Args:
            request: TimedRequest.
            on_head: Called once with status, headers and length (-1 if unknown).
            on_body: Called with each part of the body.
            before_send: Called before the first byte is sent; nothing is sent if it
                raises RequestError or CallerDisconnected.

        Raises:
            RequestError: BACKEND_UNREACHABLE if it was not sent, SERVER_BUSY if all
                connections are in use, TIMEOUT or OUTCOME_UNKNOWN if it was sent
                and the answer is missing or cut short.
        """
        handle = self._acquire()
        exchange = _Exchange(handle, request, on_head, on_body, before_send)
        try:
            exchange.run(self._url)
        finally:
            self._release(handle)

    def _acquire(self):
        with self._lock:
            if self._idle:
                return self._idle.pop()
            if self._handle_count >= self._max_handles:
                raise RequestError(ErrorKind.SERVER_BUSY, "all connections are in use")
            self._handle_count += 1
        return _Handle()

    def _release(self, handle):
        with self._lock:
            self._idle.append(handle)


class _Handle:
    """A libcurl handle with the options that all requests share.

    Attributes:
        curl: pycurl.Curl.
    """

    __slots__ = ("_is_plain", "curl")

    def __init__(self):
        self.curl = pycurl.Curl()
        self._is_plain = False

    def prepare(self, is_plain):
        """Reset the handle to the shared options where needed.

        Args:
            is_plain: Whether the request is a GET without a body, which sets no
                option that the next request would have to reset.
        """
        if self._is_plain and is_plain:
            return
        self._is_plain = is_plain
        curl = self.curl
        curl.reset()
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.HTTP_TRANSFER_DECODING, 1)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_CONNECTION_SECONDS)


class _Exchange:
    """One request and its answer on one handle."""

    def __init__(self, handle, request, on_head, on_body, before_send):
        self._handle = handle
        self._curl = handle.curl
        self._request = request
        self._on_head = on_head
        self._on_body = on_body
        self._before_send = before_send
        self._send_count = 0
        self._head = HeadReader()
        self._is_head_delivered = False
        self._buffer = request.body
        self._failure = None

    def run(self, base_url):
        self._prepare(base_url)
        try:
            self._curl.perform()
        except pycurl.error as error:
            if self._failure is not None:
                raise self._failure from None
            raise self._make_error(*error.args[:2]) from None
        if not self._head.is_complete:
            # libcurl takes the end of the connection for the end of the head.
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN, "the head broke off")
        if not self._is_head_delivered:
            self._deliver_head()
            if self._failure is not None:
                raise self._failure

    def _prepare(self, base_url):
        curl, request = self._curl, self._request
        self._handle.prepare(request.is_plain)
        curl.setopt(pycurl.URL, (base_url + request.path).encode("latin-1"))
        curl.setopt(pycurl.TIMEOUT_MS, max(int(request.timeout * 1000), 1))
        curl.setopt(pycurl.PREREQFUNCTION, self._on_pre_request)
        curl.setopt(pycurl.HEADERFUNCTION, self._receive_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._receive_body)
        if not request.is_plain:
            self._prepare_body(curl, request)
        curl.setopt(pycurl.HTTPHEADER, self._make_header_lines())

    def _prepare_body(self, curl, request):
        if request.read_more is not None:
            curl.setopt(pycurl.UPLOAD, 1)
            curl.setopt(pycurl.READFUNCTION, self._read_body)
            if request.length >= 0:
                curl.setopt(pycurl.INFILESIZE_LARGE, request.length)
        elif request.body:
            curl.setopt(pycurl.POSTFIELDS, request.body)
            curl.setopt(pycurl.POSTFIELDSIZE_LARGE, len(request.body))
        elif request.method in ("POST", "PUT", "PATCH"):
            curl.setopt(pycurl.POSTFIELDS, b"")
        if request.method == "HEAD":
            curl.setopt(pycurl.NOBODY, 1)
        elif request.method != "GET" or request.body or request.read_more:
            curl.setopt(pycurl.CUSTOMREQUEST, request.method)

    def _make_header_lines(self):
        lines = ["Expect:"]
        names = set()
        for name, value in self._request.headers:
            names.add(name.lower())
            lines.append(f"{name}: {value}" if value else f"{name};")
        lines.extend(
            f"{name}:"
            for name in ("Accept", "Content-Type", "User-Agent")
            if name.lower() not in names
        )
        if self._request.read_more is not None and self._request.length < 0:
            lines.append("Transfer-Encoding: chunked")
        return [line.encode("latin-1", "replace") for line in lines]

    def _on_pre_request(self, *_):
        self._send_count += 1
        if self._send_count > 1:
            # libcurl is about to resend the request on another connection.
            return pycurl.PREREQFUNC_ABORT
        if self._before_send is not None:
            try:
                self._before_send()
            except (RequestError, CallerDisconnected) as error:
                self._failure = error
                return pycurl.PREREQFUNC_ABORT
        return pycurl.PREREQFUNC_OK

    def _read_body(self, size):
        try:
            if not self._buffer:
                self._buffer = self._request.read_more()
        except Exception as error:
            self._failure = error
            return pycurl.READFUNC_ABORT
        part, self._buffer = self._buffer[:size], self._buffer[size:]
        return part

    def _receive_header(self, line):
        try:
            self._head.read_line(line)
        except HeadError as error:
            self._failure = RequestError(ErrorKind.OUTCOME_UNKNOWN, str(error))
            return -1
        if self._head.is_complete and self._request.method == "HEAD":
            self._deliver_head()
        return None

    def _receive_body(self, data):
        try:
            if not self._is_head_delivered:
                self._deliver_head()
                if self._failure is not None:
                    return -1
            self._on_body(data)
        except Exception as error:
            self._failure = error
            return -1
        return None

    def _deliver_head(self):
        self._is_head_delivered = True
        head = self._head
        length = parse_whole_number(head.get("content-length"))
        try:
            self._on_head(head.status, head.headers, -1 if length is None else length)
        except Exception as error:
            self._failure = error

    def _make_error(self, code, text):
        if self._send_count == 0 and code in UNSENT_ERRORS:
            return RequestError(ErrorKind.BACKEND_UNREACHABLE, text)
        if self._send_count == 0 and code == pycurl.E_OPERATION_TIMEDOUT:
            return RequestError(ErrorKind.BACKEND_UNREACHABLE, text)
        if code == pycurl.E_OPERATION_TIMEDOUT:
            return RequestError(ErrorKind.TIMEOUT, "the backend server did not answer")
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, text)

"""Clients of the platform's transactional table service and object store."""

import abc
import json
import threading
from urllib.parse import quote, urlencode

import pycurl

from godwitrack.exceptions import ConflictError, HeadError, StoreError
from godwitrack.headreader import HeadReader
from godwitrack.numbers import parse_whole_number
from godwitrack.transfer import TransferLimits, TransferRunner

# TCP keepalive detects a dead connection even while no data is sent on it.
KEEPALIVE_INTERVAL_SECONDS = 1
# Several times the largest pages, configurations and reports.
MAX_BODY_BYTES = 16 * 2**20


class Row:
    """One row of a table.

    Attributes:
        key: Key of the row.
        version: Version assigned by the service; 0 for a missing row.
        value: Plain data, or None for a missing row.
    """

    __slots__ = ("key", "value", "version")

    def __init__(self, key, version, value):
        self.key = key
        self.version = version
        self.value = value


class TableService(abc.ABC):
    """Interface of a transactional table service."""

    @abc.abstractmethod
    def read_row(self, table, key):
        """Return the Row of a key; its version is 0 if the row is missing.

        Raises:
            StoreError: The service gave no usable answer.
        """

    @abc.abstractmethod
    def read_rows(self, table, after, limit):
        """Return Rows in the order of their keys.

        Args:
            table: Name of the table.
            after: Only rows whose key is greater than this text are returned.
            limit: Largest number of rows returned.

        Raises:
            StoreError: The service gave no usable answer.
        """

    @abc.abstractmethod
    def commit(self, table, checks, writes):
        """Write several rows atomically.

        Args:
            table: Name of the table.
            checks: Mapping from key to the version that the row must have; 0 for a
                row that must be missing.
            writes: Mapping from key to the new value, or None to remove the row.

        Raises:
            ConflictError: A check did not hold; nothing was written.
            StoreError: No usable answer came; the rows may have been written.
        """


class ObjectStore(abc.ABC):
    """Interface of an object store."""

    @abc.abstractmethod
    def read_object(self, name):
        """Return an object's bytes, or None if it does not exist.

        Raises:
            StoreError: The store gave no usable answer.
        """

    @abc.abstractmethod
    def write_object(self, name, body):
        """Write a whole object.

        Raises:
            StoreError: No usable answer came; the object may have been written.
        """


class HttpResponse:
    """The response to one HTTP request.

    Attributes:
        status: HTTP status code.
        body: Bytes of the body.
    """

    __slots__ = ("_head", "body", "status")

    def __init__(self, head, body):
        self.status = head.status
        self.body = body
        self._head = head

    def get(self, name):
        """Return the value of the last header with a name in lower case, or ""."""
        return self._head.get(name)


class _Receiver:
    """Receives one response; libcurl aborts the transfer if it is too large."""

    def __init__(self, max_body_bytes, on_data):
        self._max_body_bytes = max_body_bytes
        self._on_data = on_data
        self._length = None
        self.head = HeadReader()
        self.body = bytearray()
        self.failure_detail = ""

    @property
    def received_bytes(self):
        """Bytes received so far, of heads and body."""
        return self.head.received_bytes + len(self.body)

    def receive_header(self, line):
        """Read a line of a head or trailer; called by libcurl."""
        try:
            self.head.read_line(line)
        except HeadError as error:
            self.failure_detail = str(error)
            return -1
        return None

    def receive_body(self, data):
        """Store a part of the body; called by libcurl."""
        if len(self.body) + len(data) > self._max_body_bytes:
            self.failure_detail = f"more than {self._max_body_bytes} bytes in the body"
            return -1
        self.body += data
        if self._on_data is None:
            return None
        if self._on_data(len(self.body), self._read_length()) is False:
            self.failure_detail = "the rest is not needed"
            return -1
        return None

    def _read_length(self):
        """Return the number of bytes that the head states for the body, or 0."""
        if self._length is None:
            self._length = parse_whole_number(self.head.get("content-length")) or 0
        return self._length


class HttpClient:
    """Sends HTTP requests; each thread reuses its own connections."""

    def __init__(self, timeout, max_body_bytes=MAX_BODY_BYTES, total_timeout=None):
        """Create a client.

        Args:
            timeout: Seconds within which a response must begin, and the longest pause
                in it.
            max_body_bytes: Bytes of the body of a response; larger ones are an error.
            total_timeout: Seconds allowed for a request whose response goes on
                arriving; `timeout` by default.
        """
        self._max_body_bytes = max_body_bytes
        self._timeout = timeout
        self._total_timeout = timeout if total_timeout is None else total_timeout
        self._local = threading.local()

    def fetch(self, method, url, body=None, headers=(), timeout=None, on_data=None):
        """Send a request and return the HttpResponse.

        Args:
            method: HTTP method.
            url: Complete URL.
            body: Bytes to send, or None.
            headers: Header lines to send.
            timeout: Seconds within which the response must begin; by default the
                timeout of the client.
            on_data: Function called after each part of the body with the number of
                bytes so far and the one stated for the whole, 0 if none is, or None.
                If it returns False, the transfer ends.

        Raises:
            StoreError: The transfer failed, timed out or was ended, or the response is
                too large or no valid HTTP.
        """
        if not hasattr(self._local, "handle"):
            self._local.handle = pycurl.Curl()
            self._local.runner = TransferRunner()
        handle = self._local.handle
        handle.reset()
        handle.setopt(pycurl.URL, url)
        handle.setopt(pycurl.CUSTOMREQUEST, method)
        handle.setopt(pycurl.TCP_KEEPALIVE, 1)
        handle.setopt(pycurl.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS)
        handle.setopt(pycurl.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
        # NOSIGNAL is required in a process with several threads. The empty proxy
        # overrides the proxy variables of the environment. The empty Expect header
        # keeps libcurl from waiting for a 100 response before it sends a large body.
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.HTTPHEADER, ["Expect:", *headers])
        if body is not None:
            handle.setopt(pycurl.POSTFIELDS, body)
        receiver = _Receiver(self._max_body_bytes, on_data)
        # Refuses a stated length that is too large before the body is sent.
        handle.setopt(pycurl.MAXFILESIZE_LARGE, self._max_body_bytes)
        handle.setopt(pycurl.WRITEFUNCTION, receiver.receive_body)
        handle.setopt(pycurl.HEADERFUNCTION, receiver.receive_header)
        begin_seconds = self._timeout if timeout is None else timeout
        limits = TransferLimits(
            begin_seconds, self._timeout, max(self._total_timeout, begin_seconds)
        )
        try:
            self._local.runner.run(handle, limits, lambda: receiver.received_bytes)
        except StoreError as error:
            detail = receiver.failure_detail or error
            raise StoreError(f"{method} {url}: {detail}") from None
        finally:
            # The handle would keep the last response until the next request.
            handle.unsetopt(pycurl.WRITEFUNCTION)
            handle.unsetopt(pycurl.HEADERFUNCTION)
        if not receiver.head.is_complete:
            # libcurl takes the end of the connection for the end of the head.
            raise StoreError(f"{method} {url}: the head broke off")
        return HttpResponse(receiver.head, bytes(receiver.body))


class HttpTableService(TableService):
    """Client of the table service's HTTP interface; see docs/PLATFORM.md."""

    def __init__(self, url, timeout):
        self._url = url
        self._client = HttpClient(timeout)

    def read_row(self, table, key):
        """Return the Row of a key."""
        url = f"{self._url}/tables/{quote(table)}/rows/{quote(key, safe='')}"
        data = self._fetch("GET", url)
        return Row(key, data["version"], data["value"])

    def read_rows(self, table, after, limit):
        """Return Rows in the order of their keys."""
        query = urlencode({"after": after, "limit": limit})
        data = self._fetch("GET", f"{self._url}/tables/{quote(table)}/rows?{query}")
        return [Row(item["key"], item["version"], item["value"]) for item in data]

    def commit(self, table, checks, writes):
        """Write several rows atomically."""
        url = f"{self._url}/tables/{quote(table)}/transactions"
        self._fetch("POST", url, {"checks": checks, "writes": writes})

    def _fetch(self, method, url, body=None):
        data = None if body is None else json.dumps(body).encode()
        response = self._client.fetch(method, url, data)
        status = response.status
        try:
            parsed = json.loads(response.body)
        except ValueError:
            raise StoreError(f"{method} {url}: status {status}, not JSON") from None
        if status == 409:
            raise ConflictError(parsed["conflicts"])
        if status != 200:
            raise StoreError(f"{method} {url}: status {status}")
        return parsed


class HttpObjectStore(ObjectStore):
    """Client of the object store's HTTP interface; see docs/PLATFORM.md."""

    def __init__(self, url, timeout):
        self._url = url
        self._client = HttpClient(timeout)

    def read_object(self, name):
        """Return an object's bytes, or None if it does not exist."""
        url = f"{self._url}/objects/{quote(name, safe='')}"
        response = self._client.fetch("GET", url)
        if response.status == 404:
            return None
        if response.status != 200:
            raise StoreError(f"GET {url}: status {response.status}")
        return response.body

    def write_object(self, name, body):
        """Write a whole object."""
        url = f"{self._url}/objects/{quote(name, safe='')}"
        response = self._client.fetch("PUT", url, body)
        if response.status != 200:
            raise StoreError(f"PUT {url}: status {response.status}")

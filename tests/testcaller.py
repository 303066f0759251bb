"""HTTP callers on plain sockets, and their requests to a hosted node."""

import socket
import time

WAIT_SECONDS = 20.0
POLL_SECONDS = 0.02


def wait_for(check, seconds=WAIT_SECONDS):
    deadline = time.monotonic() + seconds
    while not check():
        assert time.monotonic() < deadline, "did not happen in time"
        time.sleep(POLL_SECONDS)


class Answer:
    """An answer that a caller received."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class Caller:
    """A caller's connection."""

    def __init__(self, address):
        self.sock = socket.create_connection((address.host, address.port), WAIT_SECONDS)
        self._data = b""

    def send(self, method, path, host="h.example", body=b"", headers=()):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        self.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def read(self):
        while b"\r\n\r\n" not in self._data:
            self._receive()
        head, _, self._data = self._data.partition(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        length = int(headers.get("content-length", 0))
        while len(self._data) < length:
            self._receive()
        body, self._data = self._data[:length], self._data[length:]
        return Answer(int(first.split()[1]), headers, body)

    def _receive(self):
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("closed without an answer")
        self._data += data

    def close(self):
        self.sock.close()


def send(address, method, path, **options):
    caller = Caller(address)
    try:
        caller.send(method, path, **options)
        return caller.read()
    finally:
        caller.close()


def ask_ready(address):
    """Return whether a node answers at an address that it is ready."""
    try:
        return send(address, "GET", "/-/ready").status == 200
    except OSError:
        return False


def make_request_headers(request_id, seconds=5.0):
    return [
        ("Godwitrack-Request-Id", request_id),
        ("Godwitrack-Timeout-Ms", str(int(seconds * 1000))),
    ]

"""Links between nodes: WebSocket connections that carry one exchange at a time."""

import collections
import hashlib
import hmac
import os
import socket
import struct
import threading
import time

from websockets.client import ClientProtocol
from websockets.frames import Opcode
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from godwitrack.exceptions import (
    LinkError,
    LinkRefused,
    LinkTimeout,
    MessageError,
)
from godwitrack.messages import decode_message
from godwitrack.numbers import parse_whole_number
from godwitrack.watch import Watch, has_input, wait_readable

MAX_FRAME_BYTES = 4 * 2**20
RECEIVE_BYTES = 256 * 1024
# Most bytes read from a connection that has not proved yet that it knows the secret;
# a handshake of a node takes some hundred.
MAX_HANDSHAKE_BYTES = 8 * 1024
MAX_PROOF_AGE_SECONDS = 60
# TCP_USER_TIMEOUT ends a connection whose data or keepalive probes stay
# unacknowledged this long.
USER_TIMEOUT_MS = 15_000
KEEPALIVE_INTERVAL_SECONDS = 1
LINK_USER_TIMEOUT_MS = 3000
PROOF_HEADER = "Godwitrack-Proof"
# Enables SO_LINGER with 0 seconds, so that closing the socket resets the connection.
ZERO_LINGER = struct.pack("ii", 1, 0)


class Link:
    """One open link to another node; used by one thread at a time.

    Attributes:
        remote: Address of the remote node as "host:port".
        sent_bytes: Bytes written to the socket so far.
        received_bytes: Bytes read from the socket so far.
    """

    __slots__ = (
        "_inbox",
        "_protocol",
        "_socket",
        "received_bytes",
        "remote",
        "sent_bytes",
    )

    def __init__(self, sock, protocol, remote):
        self._socket = sock
        self._protocol = protocol
        self._inbox = collections.deque()
        self.remote = remote
        self.sent_bytes = 0
        self.received_bytes = 0

    def fileno(self):
        """Return the socket's file descriptor."""
        return self._socket.fileno()

    @property
    def watch(self):
        """A Watch that detects when the remote node closes the link."""
        return Watch(self._socket)

    def send(self, message, timeout=None):
        """Send one message.

        Args:
            message: A Message.
            timeout: Seconds allowed to write it to the socket, or None for no limit.

        Raises:
            LinkError: The link is closed, or the message was not written in time.
        """
        if self._protocol.state is not State.OPEN:
            raise LinkError("link is closed")
        self._protocol.send_binary(message.encode())
        self._flush(timeout)

    def receive(self, timeout=None, watch=None):
        """Return the next message.

        Args:
            timeout: Seconds to wait, or None for no limit.
            watch: Watch of another connection whose end stops the wait, or None.

        Raises:
            LinkTimeout: No message arrived in time; the link can still be used.
            LinkError: The link failed or was closed.
            MessageError: A frame or message is invalid; the link was closed.
            CallerDisconnected: The remote side closed the watched connection.
        """
        deadline = None if timeout is None else time.monotonic() + timeout
        while True:
            while self._inbox:
                frame = self._inbox.popleft()
                if frame.opcode is Opcode.BINARY and frame.fin:
                    try:
                        return decode_message(frame.data)
                    except MessageError:
                        self.abort()
                        raise
                if frame.opcode is Opcode.CLOSE:
                    self.close()
                    raise LinkError("link was closed by the other side")
                if frame.opcode not in (Opcode.PING, Opcode.PONG):
                    self.abort()
                    raise MessageError("expected an unfragmented binary frame")
            if watch is not None:
                self._wait(watch, _compute_remaining(deadline))
            self._read(_compute_remaining(deadline))

    def has_input(self):
        """Return whether data or the end of the connection can be read now."""
        if self._inbox:
            return True
        try:
            return has_input(self._socket)
        except (OSError, ValueError):
            return True

    def close(self):
        """Close the link; data already sent is still delivered."""
        try:
            if self._protocol.state is State.OPEN:
                self._protocol.send_close(1000)
                self._flush(0.1)
        except (LinkError, OSError):
            pass
        self._socket.close()

    def abort(self):
        """Reset the connection at once; data in the socket buffers is discarded."""
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        except OSError:
            pass
        self._socket.close()

    def interrupt(self):
        """Make a `receive` that blocks another thread raise LinkError."""
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def _wait(self, watch, timeout):
        try:
            is_ready = wait_readable(self._socket, watch, timeout)
        except (OSError, ValueError) as error:
            raise LinkError(f"link failed: {error}") from None
        if not is_ready:
            raise LinkTimeout("nothing arrived in time")

    def _read(self, timeout, size=RECEIVE_BYTES):
        try:
            self._socket.settimeout(timeout if timeout != 0 else 0.0)
            data = self._socket.recv(size)
        except (TimeoutError, BlockingIOError):
            raise LinkTimeout("nothing arrived in time") from None
        except OSError as error:
            raise LinkError(f"link failed: {error.strerror or error}") from None
        if not data:
            raise LinkError("link ended")
        self.received_bytes += len(data)
        self._protocol.receive_data(data)
        if self._protocol.parser_exc is not None:
            self.abort()
            raise MessageError("the data is not a valid WebSocket frame")
        self._inbox.extend(self._protocol.events_received())
        self._flush(1.0)

    def _flush(self, timeout):
        data = b"".join(self._protocol.data_to_send())
        if not data:
            return
        try:
            self._socket.settimeout(timeout)
            self._socket.sendall(data)
        except OSError as error:
            self.abort()
            raise LinkError(f"link failed: {error.strerror or error}") from None
        self.sent_bytes += len(data)


def _compute_remaining(deadline):
    """Return the seconds until a monotonic time, or None if there is none."""
    return None if deadline is None else max(deadline - time.monotonic(), 0.0)


class Authenticator:
    """Creates and checks the proofs that both nodes of a link know the secret."""

    def __init__(self, secret, clock):
        self._secret = secret.encode()
        self._clock = clock
        self._seen_nonces = collections.OrderedDict()
        self._lock = threading.Lock()

    def make_proof(self):
        """Return a proof for one opening handshake: timestamp, nonce and signature."""
        nonce = os.urandom(12).hex()
        timestamp = str(int(self._clock.read_wall()))
        return f"{timestamp}.{nonce}.{self._sign('open', timestamp, nonce)}"

    def check_proof(self, proof):
        """Return whether a proof is correctly signed, recent and not yet used."""
        parts = proof.split(".")
        if len(parts) != 3 or parse_whole_number(parts[0]) is None:
            return False
        timestamp, nonce, signature = parts
        expected = self._sign("open", timestamp, nonce)
        if not hmac.compare_digest(expected.encode(), signature.encode()):
            return False
        now = self._clock.read_wall()
        if abs(now - int(timestamp)) > MAX_PROOF_AGE_SECONDS:
            return False
        with self._lock:
            return self._record_nonce(nonce, now)

    def make_answer(self, proof):
        """Return the accepting node's proof that it knows the secret too."""
        return self._sign("accept", proof)

    def _sign(self, *parts):
        text = "|".join(parts).encode()
        return hmac.new(self._secret, text, hashlib.sha256).hexdigest()

    def _record_nonce(self, nonce, now):
        """Record a nonce and return whether it is new."""
        if nonce in self._seen_nonces:
            return False
        self._seen_nonces[nonce] = now
        # A proof may be dated one maximum age ahead, so it is valid for up to twice
        # that time after it was first seen.
        oldest = next(iter(self._seen_nonces))
        while now - self._seen_nonces[oldest] > 2 * MAX_PROOF_AGE_SECONDS:
            del self._seen_nonces[oldest]
            oldest = next(iter(self._seen_nonces))
        return True


def open_link(address, authenticator, timeout):
    """Connect to another node.

    Args:
        address: "host:port" where the other node accepts links.
        authenticator: Authenticator with the shared secret.
        timeout: Seconds allowed for the connection and the handshake together.

    Returns:
        An open Link.

    Raises:
        LinkError: The other node can't be reached.
        LinkTimeout: The connection or the handshake took too long.
        LinkRefused: The other node did not accept the handshake, or its own proof
            is wrong.
    """
    deadline = time.monotonic() + timeout
    host, _, port = address.rpartition(":")
    try:
        sock = socket.create_connection((host, int(port)), timeout)
    except TimeoutError as error:
        raise LinkTimeout(f"{address}: {error}") from None
    except (OSError, ValueError, OverflowError) as error:
        # A port out of range is an OverflowError.
        raise LinkError(f"{address}: {error}") from None
    tune_link_socket(sock)
    protocol = ClientProtocol(
        parse_uri(f"ws://{address}/link"), max_size=MAX_FRAME_BYTES
    )
    link = Link(sock, protocol, address)
    request = protocol.connect()
    proof = authenticator.make_proof()
    request.headers[PROOF_HEADER] = proof
    protocol.send_request(request)
    link._flush(timeout)
    while protocol.state is State.CONNECTING:
        if protocol.handshake_exc is not None:
            break
        _read_handshake(link, deadline)
    if protocol.state is not State.OPEN or not link._inbox:
        link.abort()
        raise LinkRefused(f"{address}: did not accept the handshake")
    response = link._inbox.popleft()
    answer = response.headers.get(PROOF_HEADER, "")
    expected = authenticator.make_answer(proof)
    if not hmac.compare_digest(answer.encode(), expected.encode()):
        link.abort()
        raise LinkRefused(f"{address}: does not know the shared secret")
    return link


def _read_handshake(link, deadline):
    """Read a part of the opening handshake.

    Raises:
        LinkError: Nothing came before the deadline, or the handshake is too large.
    """
    remaining_bytes = MAX_HANDSHAKE_BYTES - link.received_bytes
    if remaining_bytes <= 0:
        link.abort()
        raise LinkRefused(
            f"{link.remote}: opening handshake of more than {MAX_HANDSHAKE_BYTES} bytes"
        )
    try:
        link._read(max(deadline - time.monotonic(), 0.001), remaining_bytes)
    except LinkError:
        link.abort()
        raise


def accept_link(sock, remote, authenticator, timeout):
    """Perform the opening handshake on an accepted connection.

    Args:
        sock: The accepted socket.
        remote: Address of the connecting node as "host:port".
        authenticator: Authenticator with the shared secret.
        timeout: Seconds allowed for the whole handshake.

    Returns:
        An open Link.

    Raises:
        LinkError: The handshake failed or took too long, or the connecting side
            does not know the secret.
    """
    deadline = time.monotonic() + timeout
    tune_link_socket(sock)
    protocol = ServerProtocol(max_size=MAX_FRAME_BYTES)
    link = Link(sock, protocol, remote)
    while not link._inbox:
        if protocol.handshake_exc is not None:
            link.abort()
            raise LinkRefused(f"{remote}: no opening handshake")
        _read_handshake(link, deadline)
    request = link._inbox.popleft()
    if link._inbox:
        link.abort()
        raise LinkRefused(f"{remote}: sent frames before the handshake was answered")
    proof = request.headers.get(PROOF_HEADER, "")
    if not authenticator.check_proof(proof):
        protocol.send_response(protocol.reject(403, "proof missing or wrong\n"))
        link._flush(timeout)
        link.abort()
        raise LinkRefused(f"{remote}: proof missing or wrong")
    response = protocol.accept(request)
    response.headers[PROOF_HEADER] = authenticator.make_answer(proof)
    protocol.send_response(response)
    link._flush(timeout)
    if protocol.state is not State.OPEN:
        link.abort()
        raise LinkRefused(f"{remote}: no WebSocket handshake")
    return link


def tune_link_socket(sock):
    """Set a link's socket options, so that it fails if the remote node is silent."""
    tune_socket(sock)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, LINK_USER_TIMEOUT_MS)


def tune_socket(sock):
    """Set the socket options that all connections of the data path use."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

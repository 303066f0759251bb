"""A loopback TCP proxy that delays, holds back or resets its connections."""

import enum
import socket
import struct
import threading

RECEIVE_BYTES = 64 * 1024
CONNECT_TIMEOUT_SECONDS = 2.0
# With a linger time of 0 s, close() sends a reset instead of a regular end.
LINGER_RESET = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """Direction of the bytes on a connection."""

    TO_TARGET = "to target"
    FROM_TARGET = "from target"


class FaultProxy:
    """Forwards connections to one address and applies the faults that are set.

    A cut holds bytes back until it ends and loses none, like a network outage
    after which TCP retransmits.

    Attributes:
        address: (host, port) on which it listens.
    """

    def __init__(self, host, target):
        """Start to listen.

        Args:
            host: IP address to listen on, at any free port.
            target: (host, port) to forward connections to.
        """
        self._target = target
        self._socket = socket.create_server((host, 0), backlog=256)
        self.address = self._socket.getsockname()
        self._condition = threading.Condition()
        self._cuts = dict.fromkeys(Direction, 0)
        self._delay = 0.0
        self._open_sockets = set()
        self._is_closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self, directions):
        """Hold back bytes in some Directions until each cut has been restored."""
        with self._condition:
            for direction in directions:
                self._cuts[direction] += 1

    def restore(self, directions):
        """End one cut of some Directions."""
        with self._condition:
            for direction in directions:
                self._cuts[direction] -= 1
            self._condition.notify_all()

    def add_delay(self, seconds):
        """Increase the delay of each chunk of bytes; negative seconds decrease it."""
        with self._condition:
            self._delay += seconds

    def reset(self):
        """Reset all open connections."""
        with self._condition:
            socks, self._open_sockets = self._open_sockets, set()
        for sock in socks:
            _reset(sock)

    def close(self):
        """Stop listening and reset the open connections."""
        with self._condition:
            self._is_closed = True
            self._condition.notify_all()
        self._socket.close()
        self.reset()

    def _accept(self):
        while not self._is_closed:
            try:
                sock, _ = self._socket.accept()
            except OSError:
                continue
            threading.Thread(target=self._connect, args=(sock,), daemon=True).start()

    def _connect(self, sock):
        try:
            target = socket.create_connection(self._target, CONNECT_TIMEOUT_SECONDS)
        except OSError:
            _reset(sock)
            return
        target.settimeout(None)
        with self._condition:
            self._open_sockets |= {sock, target}
        reverse = (target, sock, Direction.FROM_TARGET)
        threading.Thread(target=self._forward, args=reverse, daemon=True).start()
        self._forward(sock, target, Direction.TO_TARGET)

    def _forward(self, source, sink, direction):
        try:
            while data := source.recv(RECEIVE_BYTES):
                self._wait_to_forward(direction)
                sink.sendall(data)
            self._wait_to_forward(direction)
            # A reset by reset() also ends recv(), but must not reach the other side
            # as a regular end.
            if source in self._open_sockets:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            # A reset or another error on one side resets both.
            _reset(source)
            _reset(sink)
        with self._condition:
            self._open_sockets.discard(source)

    def _wait_to_forward(self, direction):
        """Wait out the delay and any cut of a direction."""
        with self._condition:
            if self._delay > 0:
                self._condition.wait_for(lambda: self._is_closed, self._delay)
            self._condition.wait_for(
                lambda: self._is_closed or not self._cuts[direction]
            )


def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        # SHUT_RD wakes the thread in recv() without sending anything to the peer.
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    sock.close()

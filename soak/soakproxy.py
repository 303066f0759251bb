"""A loopback proxy that delays, resets, cuts or silences what passes through it."""

import enum
import socket
import struct
import threading

RECEIVE_BYTES = 64 * 1024
CONNECT_SECONDS = 2.0
# A pause in seconds of 0 after a close makes the kernel send a reset.
RESET_OPTION = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """Which way bytes go."""

    TO_TARGET = "to target"
    FROM_TARGET = "from target"


class FaultProxy:
    """Passes connections on to one address, with the faults that are set.

    A cut holds bytes back until it ends, as a path does whose packets are sent again.

    Attributes:
        address: (host, port) where it listens.
    """

    def __init__(self, host, target):
        """Begin to listen.

        Args:
            host: IP address to listen on; the port is a free one.
            target: (host, port) to pass connections on to.
        """
        self._target = target
        self._socket = socket.create_server((host, 0), backlog=256)
        self.address = self._socket.getsockname()
        self._lock = threading.Condition()
        self._cuts = dict.fromkeys(Direction, 0)
        self._delay = 0.0
        self._open = set()
        self._is_closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self, directions):
        """Hold back what goes in some Directions; cuts add up."""
        with self._lock:
            for direction in directions:
                self._cuts[direction] += 1

    def heal(self, directions):
        """End one cut of some Directions."""
        with self._lock:
            for direction in directions:
                self._cuts[direction] -= 1
            self._lock.notify_all()

    def add_delay(self, seconds):
        """Delay each piece by so many seconds more, or less where negative."""
        with self._lock:
            self._delay += seconds

    def reset(self):
        """Reset all open connections."""
        with self._lock:
            socks, self._open = self._open, set()
        for sock in socks:
            _reset(sock)

    def close(self):
        """Take no more connections and end the open ones."""
        with self._lock:
            self._is_closed = True
            self._lock.notify_all()
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
            target = socket.create_connection(self._target, CONNECT_SECONDS)
        except OSError:
            _reset(sock)
            return
        target.settimeout(None)
        with self._lock:
            self._open |= {sock, target}
        back = (target, sock, Direction.FROM_TARGET)
        threading.Thread(target=self._pump, args=back, daemon=True).start()
        self._pump(sock, target, Direction.TO_TARGET)

    def _pump(self, source, sink, direction):
        try:
            while data := source.recv(RECEIVE_BYTES):
                self._hold(direction)
                sink.sendall(data)
            self._hold(direction)
            # The end of a connection that was reset here is not passed on.
            if source in self._open:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            # A reset on one side is one on the other side too.
            _reset(source)
            _reset(sink)
        with self._lock:
            self._open.discard(source)

    def _hold(self, direction):
        """Wait until bytes may pass."""
        with self._lock:
            if self._delay > 0:
                self._lock.wait_for(lambda: self._is_closed, self._delay)
            self._lock.wait_for(lambda: self._is_closed or not self._cuts[direction])


def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_OPTION)
        # This wakes the thread that reads, without a word to the other side.
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    sock.close()

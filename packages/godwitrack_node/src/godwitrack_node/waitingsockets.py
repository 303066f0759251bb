"""Sockets on which a port waits for its clients, which make room for each other."""

import socket
import threading


class WaitingSockets:
    """Interrupts the socket that waits for longest where too many do.

    Clients that send nothing, or send it slowly, then can't keep others out.
    """

    __slots__ = ("_limit", "_lock", "_sockets")

    def __init__(self, limit):
        """Create an empty collection.

        Args:
            limit: Sockets that may wait at once.
        """
        self._limit = limit
        self._lock = threading.Lock()
        # The one that waits for longest comes first.
        self._sockets = {}

    def add(self, sock):
        """Let a socket wait; one that waits already goes on waiting."""
        with self._lock:
            self._sockets.setdefault(sock)
            if len(self._sockets) <= self._limit:
                return
            oldest = next(iter(self._sockets))
            del self._sockets[oldest]
            try:
                oldest.shutdown(socket.SHUT_RDWR)
            except OSError:
                # Its client has ended the connection already.
                return

    def remove(self, sock):
        """Note that a socket does not wait any more."""
        with self._lock:
            self._sockets.pop(sock, None)

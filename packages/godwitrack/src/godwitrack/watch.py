"""Waits for a socket while another connection is watched."""

import select
import socket
import time

from godwitrack.exceptions import CallerDisconnected


class Watch:
    """Notices that the other side of a connection left.

    Bytes that it sends meanwhile stay unread, and nothing more is noticed then.
    """

    __slots__ = ("_socket",)

    def __init__(self, sock):
        self._socket = sock

    def fileno(self):
        """Return the socket's descriptor, or -1 once it is closed."""
        return self._socket.fileno()

    def is_disconnected(self):
        """Tell whether the other side closed the connection."""
        try:
            # A socket with a time-out would wait for bytes, whatever the flags.
            if not has_input(self._socket):
                return False
            return not self._socket.recv(1, socket.MSG_PEEK)
        except (OSError, ValueError):
            return True


def has_input(sock):
    """Tell whether bytes, or the end of the connection, wait to be read."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))


def wait_readable(sock, watch, timeout, events=select.POLLIN):
    """Wait until a socket is ready, or the watched connection ends.

    Args:
        sock: Socket to wait for.
        watch: Watch, or None.
        timeout: Seconds, or None to wait for ever.
        events: Mask of poll events for the socket.

    Returns:
        Whether the socket is ready; False after the timeout.

    Raises:
        CallerDisconnected: The other side of the watched connection left.
    """
    deadline = None if timeout is None else time.monotonic() + timeout
    poller = select.poll()
    poller.register(sock, events)
    number = -1 if watch is None else watch.fileno()
    if number >= 0:
        poller.register(number, select.POLLIN)
    while True:
        left = None
        if deadline is not None:
            left = max(deadline - time.monotonic(), 0.0) * 1000
        ready = [item for item, _ in poller.poll(left)]
        if not ready:
            return False
        if number in ready:
            if watch.is_disconnected():
                raise CallerDisconnected("the other side left")
            # Early bytes of a next request would wake the poll for ever.
            poller.unregister(number)
            number = -1
        if sock.fileno() in ready:
            return True

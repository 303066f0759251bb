"""Waiting for a socket while another connection is watched for its end."""

import select
import socket
import time

from godwitrack.exceptions import CallerDisconnected


class Watch:
    """Detects that the remote side closed a connection.

    Data that the remote side sends stays unread. While unread data is pending, only a
    reset is detected.
    """

    __slots__ = ("_socket",)

    def __init__(self, sock):
        self._socket = sock

    def fileno(self):
        """Return the socket's file descriptor, or -1 once it is closed."""
        return self._socket.fileno()

    def is_disconnected(self):
        """Return whether the remote side closed the connection."""
        try:
            # recv on a socket with a timeout waits for data whatever its flags, so
            # the socket is polled first.
            events = _poll_input(self._socket)
            if events & (select.POLLERR | select.POLLNVAL):
                return True
            return bool(events) and not self._socket.recv(1, socket.MSG_PEEK)
        except (OSError, ValueError):
            return True


def has_input(sock):
    """Return whether data or the end of the connection can be read now."""
    return _poll_input(sock) != 0


def _poll_input(sock):
    """Return the mask of poll events of a socket for input and failures."""
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    ready = poller.poll(0)
    return ready[0][1] if ready else 0


def wait_readable(sock, watch, timeout, events=select.POLLIN):
    """Wait until a socket is ready or the watched connection ends.

    Args:
        sock: Socket to wait for.
        watch: Watch, or None.
        timeout: Seconds to wait, or None for no limit.
        events: Mask of poll events for the socket.

    Returns:
        Whether the socket is ready; False after the timeout.

    Raises:
        CallerDisconnected: The remote side closed the watched connection.
    """
    deadline = None if timeout is None else time.monotonic() + timeout
    poller = select.poll()
    poller.register(sock, events)
    watch_fd = -1 if watch is None else watch.fileno()
    if watch_fd >= 0:
        poller.register(watch_fd, select.POLLIN)
    while True:
        remaining_ms = None
        if deadline is not None:
            remaining_ms = max(deadline - time.monotonic(), 0.0) * 1000
        ready = [item for item, _ in poller.poll(remaining_ms)]
        if not ready:
            return False
        if watch_fd in ready:
            if watch.is_disconnected():
                raise CallerDisconnected("the remote side closed the connection")
            # Unread data of the next request would make every further poll return
            # at once.
            poller.unregister(watch_fd)
            watch_fd = -1
        if sock.fileno() in ready:
            return True

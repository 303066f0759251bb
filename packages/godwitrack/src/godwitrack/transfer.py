"""Transfers of libcurl that end when nothing arrives, however long they take.

libcurl can limit the duration of a whole transfer. A large response over a narrow link
takes longer than a silent server may be waited for, and one that is given up has to
begin anew, which makes the link still slower.
"""

import select
import time

import pycurl

from godwitrack.exceptions import StoreError

POLL_EVENTS = {
    pycurl.POLL_IN: select.POLLIN,
    pycurl.POLL_OUT: select.POLLOUT,
    pycurl.POLL_INOUT: select.POLLIN | select.POLLOUT,
}


class TransferLimits:
    """Limits on the duration of one transfer.

    Attributes:
        begin_seconds: Seconds within which the first byte of the response arrives.
        pause_seconds: Longest pause between two bytes of the response, in seconds.
        total_seconds: Seconds within which the transfer ends.
    """

    __slots__ = ("begin_seconds", "pause_seconds", "total_seconds")

    def __init__(self, begin_seconds, pause_seconds, total_seconds):
        self.begin_seconds = begin_seconds
        self.pause_seconds = pause_seconds
        self.total_seconds = total_seconds


class TransferRunner:
    """Runs libcurl transfers one after the other, and keeps their connections.

    libcurl reports the sockets and the time that it waits for, and this class waits
    with poll, which has no limit on the numbers of descriptors.
    """

    def __init__(self):
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._set_events)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._events = {}
        self._timer_at = None

    def run(self, handle, limits, read_count):
        """Run a transfer to its end.

        Args:
            handle: pycurl.Curl with all options set.
            limits: TransferLimits.
            read_count: Function that returns the number of bytes received so far.

        Raises:
            StoreError: The transfer failed, or a limit was reached.
        """
        self._multi.add_handle(handle)
        try:
            self._wait(limits, read_count)
            _, _, failed = self._multi.info_read()
        finally:
            self._multi.remove_handle(handle)
        if failed:
            raise StoreError(failed[0][2])

    def _wait(self, limits, read_count):
        started_at = time.monotonic()
        end_at = started_at + limits.total_seconds
        due_at = started_at + limits.begin_seconds
        count = 0
        is_active = self._act(pycurl.SOCKET_TIMEOUT, 0)
        while is_active:
            now = time.monotonic()
            if read_count() > count:
                count = read_count()
                due_at = now + limits.pause_seconds
            if now >= min(due_at, end_at):
                raise StoreError(
                    f"gave up after {round((now - started_at) * 1000)} ms "
                    f"with {count} bytes received"
                )
            is_active = self._wait_and_act(min(due_at, end_at) - now)

    def _wait_and_act(self, seconds):
        """Let libcurl act on the next events; return whether the transfer goes on.

        Args:
            seconds: Longest time to wait for an event.
        """
        timer_at = self._timer_at
        if timer_at is not None:
            seconds = min(seconds, max(timer_at - time.monotonic(), 0.0))
        poller = select.poll()
        for fd, events in self._events.items():
            poller.register(fd, events)
        ready = poller.poll(seconds * 1000)
        is_active = True
        for fd, events in ready:
            is_active = self._act(fd, _translate_events(events))
        if not ready and timer_at is not None and time.monotonic() >= timer_at:
            self._timer_at = None
            is_active = self._act(pycurl.SOCKET_TIMEOUT, 0)
        return is_active

    def _act(self, fd, mask):
        """Tell libcurl of events of a socket, or that its time has come."""
        _, open_transfers = self._multi.socket_action(fd, mask)
        return open_transfers > 0

    def _set_events(self, what, fd, multi, data):
        """Remember what libcurl waits for on a socket; called by libcurl."""
        if what == pycurl.POLL_REMOVE:
            self._events.pop(fd, None)
        else:
            self._events[fd] = POLL_EVENTS.get(what, 0)

    def _set_timer(self, timeout_ms):
        """Remember when libcurl wants to act next; called by libcurl."""
        self._timer_at = None
        if timeout_ms >= 0:
            self._timer_at = time.monotonic() + timeout_ms / 1000


def _translate_events(events):
    """Return libcurl's mask for a mask of poll events."""
    mask = 0
    if events & (select.POLLIN | select.POLLHUP):
        mask |= pycurl.CSELECT_IN
    if events & select.POLLOUT:
        mask |= pycurl.CSELECT_OUT
    if events & (select.POLLERR | select.POLLNVAL):
        mask |= pycurl.CSELECT_ERR
    return mask

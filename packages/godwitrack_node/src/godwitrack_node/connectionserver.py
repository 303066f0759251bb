"""Accepts connections and serves each one in its own thread."""

import socket
import threading
import time

from godwitrack.logs import get_logger
from godwitrack_node.connectionbudget import ConnectionBudget
from godwitrack_node.ports import Port
from godwitrack_node.threadpool import run_lasting

# Pause after an error such as a lack of descriptors, which lasts for a while.
ACCEPT_PAUSE_SECONDS = 0.05
REFUSED_LOG_INTERVAL_SECONDS = 1.0


class ConnectionServer:
    """Accepts connections and serves each one in its own thread."""

    def __init__(self, executor, address, serve, limit, port=None, budget=None):
        """Open the port.

        Args:
            executor: concurrent.futures.Executor for the threads.
            address: Address to listen on.
            serve: Function of a socket and its remote "host:port", called in the
                connection's thread; the socket is closed when it returns.
            limit: Maximum number of connections at once; further ones are closed.
            port: Port at the address; a new one by default.
            budget: ConnectionBudget that other ports share; by default the limit is
                the only bound.
        """
        self._executor = executor
        self._serve = serve
        self._limit = limit
        self._budget = budget or ConnectionBudget(limit)
        self._open_sockets = set()
        self._is_closed = False
        self._is_interrupted = False
        self._refusals = RefusalLog()
        self._log = get_logger("connections")
        self._port = port or Port(address)
        self._port.open()
        self._socket = self._port.socket
        self._address = self._socket.getsockname()

    @property
    def address(self):
        """(host, port) on which it listens."""
        return self._address

    def start(self):
        """Start accepting connections."""
        self._executor.submit(run_lasting, self._accept)

    def close(self):
        """Stop accepting connections; open ones continue."""
        self._is_closed = True
        self._port.close()

    def stop_reading(self):
        """End all waits for bytes of open connections; answers can still be sent."""
        self._shut_down(socket.SHUT_RD)

    def interrupt(self):
        """Shut down the open connections and any that is accepted meanwhile."""
        self._is_interrupted = True
        self._shut_down(socket.SHUT_RDWR)

    def _shut_down(self, direction):
        for sock in list(self._open_sockets):
            try:
                sock.shutdown(direction)
            except OSError:
                pass

    def _accept(self):
        while not self._is_closed:
            try:
                sock, remote = self._socket.accept()
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if not self._is_closed:
                    self._refusals.record(self._address, str(error))
                    time.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            try:
                self._hand_over(sock, f"{remote[0]}:{remote[1]}")
            except BaseException:
                sock.close()
                raise

    def _hand_over(self, sock, remote):
        """Let a thread of its own serve a connection, or close it."""
        if self._is_interrupted:
            sock.close()
            return
        is_full = len(self._open_sockets) >= self._limit
        if is_full or not self._budget.take():
            sock.close()
            self._budget.count_refused()
            self._refusals.record(self._address, "too many connections")
            return
        self._open_sockets.add(sock)
        try:
            self._executor.submit(self._run, sock, remote)
        except Exception as error:
            # The executor may have kept the call, which then finds nothing to do.
            if self._release(sock):
                self._budget.count_refused()
                self._refusals.record(self._address, str(error))
            return
        if self._is_interrupted:
            self._shut_down(socket.SHUT_RDWR)

    def _run(self, sock, remote):
        if sock not in self._open_sockets:
            return
        try:
            self._serve(sock, remote)
        except Exception:
            self._log.exception("connection handler failed", remote=remote)
        finally:
            self._release(sock)

    def _release(self, sock):
        """Close a connection; returns whether it was still open."""
        try:
            self._open_sockets.remove(sock)
        except KeyError:
            return False
        try:
            sock.close()
        finally:
            self._budget.give_back()
        return True


class RefusalLog:
    """Logs connections that are not served, at most once a second for each port."""

    __slots__ = ("_count", "_lock", "_log", "_logged_at")

    def __init__(self):
        self._count = 0
        self._lock = threading.Lock()
        self._logged_at = None
        self._log = get_logger("connections")

    def record(self, address, reason):
        """Count one refusal, and log the count if a second has passed.

        Args:
            address: (host, port) of the port.
            reason: Why the connection is not served.
        """
        now = time.monotonic()
        with self._lock:
            self._count += 1
            last = self._logged_at
            if last is not None and now - last < REFUSED_LOG_INTERVAL_SECONDS:
                return
            count, self._count, self._logged_at = self._count, 0, now
        self._log.warning(
            "connections refused",
            address=f"{address[0]}:{address[1]}",
            reason=reason,
            count=count,
        )

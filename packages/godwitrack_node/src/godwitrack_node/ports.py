"""Ports of a node, and the wait for all of them at its start."""

import socket

from godwitrack.exceptions import StartCancelled
from godwitrack.kernel import Service
from godwitrack.logs import get_logger

BACKLOG = 512
RETRY_SECONDS = 0.1


class Port:
    """An address to listen on, and the socket that does once the port is open.

    Attributes:
        address: Address to listen on.
    """

    __slots__ = ("_is_listening", "_socket", "address")

    def __init__(self, address):
        """Create the port without binding it.

        Args:
            address: Address to listen on.
        """
        self.address = address
        self._socket = None
        self._is_listening = False

    @property
    def socket(self):
        """The listening socket of an open port."""
        return self._socket

    def bind(self):
        """Take the address, without listening; has no effect if it is taken already.

        Raises:
            OSError: The address can't be bound now.
        """
        if self._socket is not None:
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((self.address.host, self.address.port))
        except BaseException:
            sock.close()
            raise
        self._socket = sock

    def open(self):
        """Bind and listen; has no effect on an open port.

        Raises:
            OSError: The address can't be bound now; nothing stays bound.
        """
        self.bind()
        if self._is_listening:
            return
        try:
            self._socket.listen(BACKLOG)
        except BaseException:
            self.close()
            raise
        self._is_listening = True

    def close(self):
        """Stop listening and give the address back."""
        sock, self._socket = self._socket, None
        self._is_listening = False
        if sock is None:
            return
        try:
            # Wakes the thread that accepts connections.
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        sock.close()


class PortWait:
    """The wait for a port; logs once what it waits for and once that it is over."""

    __slots__ = ("_error", "_log", "_port")

    def __init__(self, port):
        """Create the wait.

        Args:
            port: Port.
        """
        self._port = port
        self._error = None
        self._log = get_logger("ports")

    def attempt(self, acquire):
        """Return whether a function that acquires the port succeeded.

        Args:
            acquire: Port.bind or Port.open of the port.
        """
        try:
            acquire()
        except OSError as error:
            if str(error) != self._error:
                self._error = str(error)
                address = str(self._port.address)
                self._log.warning(
                    "port not available", address=address, error=self._error
                )
            return False
        if self._error is not None:
            self._error = None
            self._log.info("port available", address=str(self._port.address))
        return True


class PortGate(Service):
    """Opens the ports of other services before the node promises anything.

    Services that promise something to others are registered after it. None of the ports
    listens before all addresses are taken, so that connections are refused until then
    and don't wait for an answer in vain.
    """

    name = "ports"

    def __init__(self, names, stop_requested):
        """Create the gate.

        Args:
            names: Names of the services whose `port` is opened.
            stop_requested: SignalFlag that ends the wait.
        """
        self._names = names
        self._stop_requested = stop_requested
        self._ports = []

    def connect(self, kernel):
        """Find the ports."""
        self._ports = [kernel.find(name).port for name in self._names]

    def start(self):
        """Wait until all ports are open.

        Raises:
            StartCancelled: A stop was requested meanwhile.
        """
        waits = [(port, PortWait(port)) for port in self._ports]
        while not self._open(waits):
            if self._stop_requested.wait(RETRY_SECONDS):
                self.stop()
                raise StartCancelled("a stop was requested before all ports were open")

    def stop(self):
        """Close all ports, also those whose service did not start."""
        for port in self._ports:
            port.close()

    def _open(self, waits):
        bound = [wait.attempt(port.bind) for port, wait in waits]
        if not all(bound):
            return False
        if all(wait.attempt(port.open) for port, wait in waits):
            return True
        # Another process listens at an address that both had bound.
        self.stop()
        return False

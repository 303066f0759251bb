"""A fake network between nodes of one process, which can be cut by region."""

import time

from godwitrack.exceptions import LinkError, LinkTimeout, StoreError
from godwitrack.link import open_link

MAX_SILENCE_SECONDS = 5.0


class Network:
    """Connects nodes, and falls silent between two sides while it is cut.

    Attributes:
        is_cut: Whether regions can't reach each other, nor the platform from any
            region but its own.
        connections: Links opened between regions.
        lost_connections: How many of them, counted from the first, are silent.
        unopened: How many of the next links can't be opened.
    """

    def __init__(self, platform_region):
        self._platform_region = platform_region
        self._regions = {}
        self.is_cut = False
        self.connections = 0
        self.lost_connections = 0
        self.unopened = 0

    def lose_connections(self):
        """Let the links open now fall silent for good, while new ones work."""
        self.lost_connections = self.connections

    def place(self, address, region):
        """Note in which region an address of links is."""
        self._regions[address] = region

    def make_connect(self, region):
        """Return the function with which nodes of a region open links."""

        def connect(address, authenticator, timeout):
            if self.unopened > 0:
                self.unopened -= 1
                raise LinkError(f"{address}: timed out")
            far = self._regions.get(address, region) != region
            if far and self.is_cut:
                time.sleep(min(timeout, MAX_SILENCE_SECONDS))
                raise LinkError(f"{address}: timed out")
            link = open_link(address, authenticator, timeout)
            if not far:
                return link
            self.connections += 1
            return _RegionalLink(link, self, self.connections)

        return connect

    def guard_service(self, service, region):
        """Return a platform's service as nodes of a region reach it."""
        if region == self._platform_region:
            return service
        return _FarService(service, self)


class _RegionalLink:
    """A link whose messages get lost while the network is cut, until it is closed."""

    def __init__(self, link, network, number):
        self._link = link
        self._number = number
        self._network = network
        self._is_lost = False

    def __getattr__(self, name):
        return getattr(self._link, name)

    def send(self, message, timeout=None):
        """Send a message, or lose it."""
        if not self._check_lost():
            self._link.send(message, timeout)

    def receive(self, timeout=None, watch=None):
        """Return the next message, or wait in vain."""
        if self._check_lost():
            time.sleep(MAX_SILENCE_SECONDS if timeout is None else timeout)
            raise LinkTimeout("nothing arrived in time")
        message = self._link.receive(timeout, watch)
        if self._check_lost():
            raise LinkTimeout("nothing arrived in time")
        return message

    def _check_lost(self):
        network = self._network
        if network.is_cut or self._number <= network.lost_connections:
            self._is_lost = True
        return self._is_lost


class _FarService:
    """A platform's service in another region."""

    def __init__(self, service, network):
        self._service = service
        self._network = network

    def __getattr__(self, name):
        if self._network.is_cut:
            raise StoreError("the platform can't be reached")
        return getattr(self._service, name)

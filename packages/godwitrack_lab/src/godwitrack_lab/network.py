"""A fake network between the nodes of one process, which can partition regions."""

import time

from godwitrack.exceptions import LinkError, LinkTimeout, StoreError
from godwitrack.link import open_link

MAX_SILENCE_SECONDS = 5.0


class Network:
    """Opens links between nodes and injects network faults between regions.

    Attributes:
        is_cut: Whether the regions are partitioned. Nodes then reach neither nodes of
            other regions nor a platform in another region.
        connections: Number of links opened between regions.
        silent_connections: Number of these links, counted from the first, that lose
            all messages.
        failing_opens: Number of upcoming attempts to open a link that fail.
    """

    def __init__(self, platform_region):
        self._platform_region = platform_region
        self._regions = {}
        self.is_cut = False
        self.connections = 0
        self.silent_connections = 0
        self.failing_opens = 0

    def lose_connections(self):
        """Make all current links between regions lose messages; new links work."""
        self.silent_connections = self.connections

    def set_region(self, address, region):
        """Record the region of a link address."""
        self._regions[address] = region

    def make_connect(self, region):
        """Return the function that opens links for the nodes of a region."""

        def connect(address, authenticator, timeout):
            if self.failing_opens > 0:
                self.failing_opens -= 1
                raise LinkError(f"{address}: timed out")
            is_remote = self._regions.get(address, region) != region
            if is_remote and self.is_cut:
                time.sleep(min(timeout, MAX_SILENCE_SECONDS))
                raise LinkError(f"{address}: timed out")
            link = open_link(address, authenticator, timeout)
            if not is_remote:
                return link
            self.connections += 1
            return _RegionalLink(link, self, self.connections)

        return connect

    def wrap_service(self, service, region):
        """Return a platform service as the nodes of a region reach it."""
        if region == self._platform_region:
            return service
        return _RemoteService(service, self)


class _RegionalLink:
    """A link between regions; once used during a partition, it loses all messages."""

    def __init__(self, link, network, number):
        self._link = link
        self._number = number
        self._network = network
        self._is_lost = False

    def __getattr__(self, name):
        return getattr(self._link, name)

    def send(self, message, timeout=None):
        """Send a message, or drop it if the link is lost."""
        if not self._check_lost():
            self._link.send(message, timeout)

    def receive(self, timeout=None, watch=None):
        """Return the next message, or wait and time out if the link is lost."""
        if self._check_lost():
            time.sleep(MAX_SILENCE_SECONDS if timeout is None else timeout)
            raise LinkTimeout("nothing arrived in time")
        message = self._link.receive(timeout, watch)
        if self._check_lost():
            raise LinkTimeout("nothing arrived in time")
        return message

    def _check_lost(self):
        network = self._network
        if network.is_cut or self._number <= network.silent_connections:
            self._is_lost = True
        return self._is_lost


class _RemoteService:
    """A platform service in another region, unreachable during a partition."""

    def __init__(self, service, network):
        self._service = service
        self._network = network

    def __getattr__(self, name):
        if self._network.is_cut:
            raise StoreError("the platform can't be reached")
        return getattr(self._service, name)

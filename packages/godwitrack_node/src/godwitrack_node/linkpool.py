"""Pool of open links to other nodes, which later exchanges reuse."""

import threading

from godwitrack.exceptions import LinkError
from godwitrack.kernel import Service
from godwitrack.link import open_link

MAX_IDLE_LINKS_PER_ADDRESS = 8
# Well below the time after which the other node closes an idle link.
MAX_IDLE_SECONDS = 20.0


class IdleLink:
    """A link in the pool, not in use.

    Attributes:
        link: The Link.
        idle_since: Monotonic time at which it returned to the pool, in seconds.
    """

    __slots__ = ("idle_since", "link")

    def __init__(self, link, idle_since):
        self.link = link
        self.idle_since = idle_since


class LinkPool(Service):
    """Lends links, the latest released first, so that surplus ones expire."""

    name = "link-pool"

    def __init__(self, clock, authenticator, connect_timeout, connect=open_link):
        self._clock = clock
        self._authenticator = authenticator
        self._connect_timeout = connect_timeout
        self._connect = connect
        self._lock = threading.Lock()
        self._idle = {}
        self._opened = 0

    def stop(self):
        """Close the idle links."""
        with self._lock:
            idle, self._idle = self._idle, {}
        for items in idle.values():
            for item in items:
                item.link.close()

    @property
    def connect_timeout(self):
        """Seconds within which a node that is up accepts a connection."""
        return self._connect_timeout

    @property
    def opened(self):
        """Number of links opened so far."""
        return self._opened

    def acquire(self, address, timeout=None):
        """Return a link to an address, reused or new.

        Raises:
            LinkError: The other node can't be reached; nothing was sent.
        """
        while True:
            item = self._pop(address)
            if item is None:
                return self.open(address, timeout)
            age = self._clock.read_monotonic() - item.idle_since
            if age <= MAX_IDLE_SECONDS and not item.link.has_input():
                return item.link
            item.link.close()

    def open(self, address, timeout=None):
        """Return a new link to an address.

        Raises:
            LinkError: The other node can't be reached.
        """
        limit = self._connect_timeout
        if timeout is not None:
            limit = min(limit, timeout)
        if limit <= 0:
            raise LinkError(f"{address}: no time left to connect")
        link = self._connect(address, self._authenticator, limit)
        self._opened += 1
        return link

    def release(self, link):
        """Return a link to the pool after its exchange is complete."""
        item = IdleLink(link, self._clock.read_monotonic())
        with self._lock:
            items = self._idle.setdefault(link.remote, [])
            items.append(item)
            surplus = items.pop(0) if len(items) > MAX_IDLE_LINKS_PER_ADDRESS else None
        if surplus is not None:
            surplus.link.close()

    def expire(self):
        """Close the links that were idle for more than MAX_IDLE_SECONDS."""
        oldest = self._clock.read_monotonic() - MAX_IDLE_SECONDS
        expired = []
        with self._lock:
            for address, items in list(self._idle.items()):
                expired.extend(item for item in items if item.idle_since < oldest)
                items[:] = [item for item in items if item.idle_since >= oldest]
                if not items:
                    del self._idle[address]
        for item in expired:
            item.link.close()

    def _pop(self, address):
        with self._lock:
            items = self._idle.get(address)
            return items.pop() if items else None

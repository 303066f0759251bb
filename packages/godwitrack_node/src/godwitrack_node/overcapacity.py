"""What the entry remembers of customers that are over their capacity somewhere."""

import threading

MEMORY_SECONDS = 0.05
MAX_ENTRIES = 10_000


class OverCapacityCache:
    """Remembers for a moment which server refused a customer as over capacity.

    Each guard holds a customer to its part of the plan. Where callers come in
    unevenly, the parts are used up unevenly too; the entry then goes on to servers
    with something left, and refuses at once when none has.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._until = {}

    def record(self, customer, server):
        """Note that a server refused a customer as over capacity."""
        now = self._clock.read_monotonic()
        with self._lock:
            if len(self._until) >= MAX_ENTRIES:
                self._until.clear()
            servers = self._until.setdefault(customer, {})
            servers[server] = now + MEMORY_SECONDS

    def list_servers(self, customer):
        """Return the names of servers that refused a customer a moment ago."""
        servers = self._until.get(customer)
        if not servers:
            return ()
        now = self._clock.read_monotonic()
        with self._lock:
            for name in [name for name, until in servers.items() if until <= now]:
                del servers[name]
            if not servers:
                self._until.pop(customer, None)
            return tuple(servers)

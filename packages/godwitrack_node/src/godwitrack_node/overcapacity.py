"""Cache of the servers at which customers are over their capacity."""

import threading

RETENTION_SECONDS = 0.05
MAX_CUSTOMERS = 10_000  # Bounds the memory; a full cache is emptied.


class OverCapacityCache:
    """Records for RETENTION_SECONDS which servers refused a customer as over capacity.

    Each guard limits a customer to its server's part of the plan. Where requests
    arrive unevenly, some parts are used up before others. The entry then tries only
    servers whose part is not used up, and refuses at once when there is none.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._expiries = {}

    def record(self, customer, server):
        """Record that a server refused a customer as over capacity.

        Args:
            customer: Name of the customer.
            server: Name of the backend server.
        """
        now = self._clock.read_monotonic()
        with self._lock:
            if len(self._expiries) >= MAX_CUSTOMERS:
                self._expiries.clear()
            servers = self._expiries.setdefault(customer, {})
            servers[server] = now + RETENTION_SECONDS

    def list_servers(self, customer):
        """Return the names of the servers that recently refused a customer."""
        servers = self._expiries.get(customer)
        if not servers:
            return ()
        now = self._clock.read_monotonic()
        with self._lock:
            for name in [name for name, expiry in servers.items() if expiry <= now]:
                del servers[name]
            if not servers:
                self._expiries.pop(customer, None)
            return tuple(servers)

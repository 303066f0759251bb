"""What one node can tell of the whole fleet."""

import collections
from concurrent.futures import ThreadPoolExecutor

from godwitrack.exceptions import LinkError, MessageError
from godwitrack.kernel import Service
from godwitrack.messages import Ping

ASK_THREADS = 32
ASK_SECONDS = 1.0


class Fleet(Service):
    """Answers the operators' questions about the fleet."""

    name = "fleet"

    def __init__(self, identity):
        self._identity = identity
        self._directory = None
        self._configurations = None
        self._exclusions = None
        self._orders = None
        self._kernel = None

    def connect(self, kernel):
        """Find the collaborators."""
        self._kernel = kernel
        self._directory = kernel.find("directory")
        self._configurations = kernel.find("configurations")
        self._exclusions = kernel.find("exclusions")
        self._orders = kernel.find("orders")

    def describe(self):
        """Return the node's view of the fleet as plain data."""
        exclusions = self._exclusions.read()
        servers = []
        counts = collections.Counter()
        for record in self._directory.list_servers():
            state = "out" if exclusions.covers(record) else record.state.value
            counts[(record.region, record.data_centre, state)] += 1
            servers.append(
                {
                    "name": record.name,
                    "service": record.service,
                    "region": record.region,
                    "data_centre": record.data_centre,
                    "address": record.address,
                    "slots": record.slots,
                    "state": state,
                }
            )
        data_centres = [
            {"region": key[0], "data_centre": key[1], "state": key[2], "servers": count}
            for key, count in sorted(counts.items())
        ]
        return {
            "node": self._describe_node(),
            "revision": self._configurations.current.revision,
            "data_centres": data_centres,
            "data_centres_out": sorted(exclusions.data_centres),
            "servers_out": sorted(exclusions.servers),
            "orders_pending": [order.key for order in self._orders.list_pending()],
            "servers": sorted(servers, key=lambda item: item["name"]),
        }

    def ask_revisions(self):
        """Ask every node for its revision.

        Returns:
            Mapping from name to revision, or to None where a node gave no answer.
        """
        records = self._directory.list_servers()
        with ThreadPoolExecutor(ASK_THREADS) as executor:
            revisions = executor.map(self._ask_revision, records)
            return {
                record.name: revision
                for record, revision in zip(records, revisions, strict=True)
            }

    def _ask_revision(self, record):
        if record.name == self._identity.name:
            return self._configurations.current.revision
        pool = self._kernel.find("link-pool")
        membership = self._kernel.find("membership")
        try:
            link = pool.acquire(record.address, ASK_SECONDS)
            link.send(membership.make_ping(Ping, []), ASK_SECONDS)
            pong = link.receive(ASK_SECONDS)
        except (LinkError, MessageError):
            return None
        pool.release(link)
        return pong.revision

    def _describe_node(self):
        budget = self._kernel.find("membership").budget
        guard = self._kernel.find("guard")
        return {
            "name": self._identity.name,
            "service": self._identity.service,
            "data_centre": self._identity.data_centre,
            "incarnation": self._identity.incarnation,
            "in_flight": guard.admission.in_flight,
            "queued": guard.admission.queued,
            "limit": guard.admission.limit,
            "control_bytes_sent": dict(budget.sent),
            "store_failures": self._configurations.store_failures,
            "retry_balance": round(self._kernel.find("entry").retry_budget.balance, 1),
        }

"""Fleet status: the whole fleet as one node knows it."""

import collections
from concurrent.futures import ThreadPoolExecutor

from godwitrack.controlmessages import Ping
from godwitrack.exceptions import LinkError, MessageError
from godwitrack.kernel import Service

QUERY_THREADS = 32
QUERY_TIMEOUT_SECONDS = 1.0


class Fleet(Service):
    """Collects the fleet's status for the operators' port."""

    name = "fleet"

    def __init__(self, identity):
        self._identity = identity
        self._directory = None
        self._configurations = None
        self._exclusions = None
        self._orders = None
        self._kernel = None

    def connect(self, kernel):
        """Look up the services used."""
        self._kernel = kernel
        self._directory = kernel.find("directory")
        self._configurations = kernel.find("configurations")
        self._exclusions = kernel.find("exclusions")
        self._orders = kernel.find("orders")

    def describe(self):
        """Return the fleet's status, as known at this node, as plain data."""
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

    def fetch_revisions(self):
        """Query every node for the revision of its configuration.

        Returns:
            Mapping from each node's name to its revision, or to None if the node did
            not answer.
        """
        records = self._directory.list_servers()
        with ThreadPoolExecutor(QUERY_THREADS) as executor:
            revisions = executor.map(self._fetch_revision, records)
            return {
                record.name: revision
                for record, revision in zip(records, revisions, strict=True)
            }

    def _fetch_revision(self, record):
        if record.name == self._identity.name:
            return self._configurations.current.revision
        pool = self._kernel.find("link-pool")
        membership = self._kernel.find("membership")
        try:
            link = pool.acquire(record.address, QUERY_TIMEOUT_SECONDS)
            link.send(membership.make_heartbeat(Ping, []), QUERY_TIMEOUT_SECONDS)
            pong = link.receive(QUERY_TIMEOUT_SECONDS)
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

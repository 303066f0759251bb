"""Membership: heartbeats that spread directory updates and detect silent peers."""

import threading

from godwitrack.controlmessages import (
    Changes,
    ChangesRequest,
    DigestRequest,
    Ping,
    Pong,
    Probe,
    ProbeResult,
    Records,
)
from godwitrack.exceptions import MessageError
from godwitrack.kernel import Service
from godwitrack.logs import get_logger
from godwitrack_node.directory import BUCKETS, ServerRecord
from godwitrack_node.heartbeats import PeerTask
from godwitrack_node.indirectprobes import IndirectProbes
from godwitrack_node.peers import BRIDGES_PER_DATA_CENTRE, Peer, choose_peers

MAX_RECORDS_PER_HEARTBEAT = 64
RECORD_BYTES = 130  # Estimated size of a record in a heartbeat.
COMPRESSED_RECORD_BYTES = 30  # Estimated size in an answer to a DigestRequest.
LEASE_UPDATE_SECONDS = 0.2
PEER_CHECK_SECONDS = 0.5
EXPIRE_SECONDS = 10.0
MIN_PEER_UPDATE_SECONDS = 2.0
PEER_UPDATE_SECONDS_PER_NODE = 0.001
MIN_HEARTBEAT_GAP_SECONDS = 0.05
REGIONAL_LINK_BYTES_PER_SECOND = 30_000_000 / 8  # 30 Mbit/s.
REGIONAL_CONTROL_SHARE = 0.01


class Membership(Service):
    """Keeps the directories of all nodes in agreement.

    Each node sends heartbeats to the next RING_PEERS nodes of its region on a ring
    of hashed names, so that every node is monitored, and to MESH_PEERS nodes that
    are chosen pseudo-randomly, so that an update needs few hops. In each data
    centre, BRIDGES_PER_DATA_CENTRE nodes also send heartbeats to one node in each
    data centre of the other regions.

    Attributes:
        interval: Time between heartbeats to a peer, in seconds.
        silent_after: Missed heartbeats in a row after which a peer counts as silent.
        probes: IndirectProbes of peers that do not answer.
        is_superseded: Whether a later node runs under the same name.
    """

    name = "membership"

    def __init__(self, clock, executor, identity, settings, lease, budget):
        self.clock = clock
        self._executor = executor
        self._identity = identity
        self.lease = lease
        self.budget = budget
        self._seeds = [str(address) for address in settings.get("peers.seeds")]
        self.interval = settings.get_seconds("peers.ping_interval_ms")
        self.silent_after = settings.get("peers.silent_after")
        self._lock = threading.Lock()
        self._peers = {}
        self._peers_version = None
        self._peers_updated_at = 0.0
        self._is_stopped = False
        self._own_record = None
        self._own_address = ""
        self.directory = None
        self.configurations = None
        self.pool = None
        self._peer_discovery = None
        self.probes = IndirectProbes(self)
        self._log = get_logger("membership")
        self.is_superseded = False

    def connect(self, kernel):
        """Look up the services used, add listeners and schedule the periodic jobs."""
        self.directory = kernel.find("directory")
        self.configurations = kernel.find("configurations")
        self.pool = kernel.find("link-pool")
        self._peer_discovery = kernel.find("peer-discovery")
        self._own_address = kernel.find("link-server").advertised
        self.directory.add_listener(self._correct_own_record)
        self.directory.add_listener(self._wake_on_notice)
        self.configurations.add_listener(lambda _: self.wake_peers())
        scheduler = kernel.find("scheduler")
        scheduler.add(LEASE_UPDATE_SECONDS, self._update_lease)
        scheduler.add(PEER_CHECK_SECONDS, self.update_peers)
        scheduler.add(EXPIRE_SECONDS, self.directory.expire)

    def start(self):
        """Choose the first peers and start to send heartbeats."""
        self.update_peers()

    def stop(self):
        """Stop the heartbeats to all peers."""
        with self._lock:
            self._is_stopped = True
            for peer in self._peers.values():
                peer.is_stopped = True
                peer.wake.set()

    @property
    def own_record(self):
        """The node's own ServerRecord, or None before the first announcement."""
        return self._own_record

    @property
    def peers(self):
        """List of the Peers to which heartbeats are sent."""
        with self._lock:
            return list(self._peers.values())

    def count_nodes(self):
        """Return the number of known nodes, at least 1 for this node itself."""
        return max(self.directory.count_servers(), 1)

    def publish(self, state, slots):
        """Publish the state of the node's own backend server to all nodes.

        Args:
            state: ServerState.
            slots: Concurrency limit of the server when warm, in requests.
        """
        with self._lock:
            current = self._own_record
            if current is not None and (current.state, current.slots) == (state, slots):
                return
            version = 1 if current is None else current.version + 1
            record = self._make_record(state, slots, version)
            self._own_record = record
        self.directory.merge(record)
        self.wake_peers()

    def wake_peers(self):
        """Send the next heartbeat to every peer without waiting for the interval."""
        for peer in self.peers:
            peer.wake.set()

    def answer(self, message, session):
        """Return the answer to a control message of another node.

        Args:
            message: Ping, Records, DigestRequest, Changes, ChangesRequest or Probe.
            session: Session of the link.

        Raises:
            MessageError: The message has another type or malformed content.
        """
        kind = type(message)
        if kind is Ping:
            return self._answer_ping(message, session)
        if kind is DigestRequest:
            return self._answer_digests(message, session)
        if kind is Records:
            self.merge_records(message.unpack(), session.sender)
            return self.make_heartbeat(Pong, [])
        if kind is ChangesRequest:
            return self.configurations.list_changes(message.after)
        if kind is Changes:
            self.configurations.apply_changes(message)
            return self.make_heartbeat(Pong, [])
        if kind is Probe:
            return ProbeResult(self.probes.probe(message.address))
        raise MessageError(f"{kind.__name__} is not expected here")

    def update_peers(self):
        """Choose the peers again if the directory changed."""
        now = self.clock.read_monotonic()
        version = self.directory.version
        # The time to choose peers grows with the fleet, so a larger fleet chooses
        # them less often.
        interval = max(
            MIN_PEER_UPDATE_SECONDS, self.count_nodes() * PEER_UPDATE_SECONDS_PER_NODE
        )
        if self._peers and (
            version == self._peers_version or now - self._peers_updated_at < interval
        ):
            return
        self._peers_version = version
        self._peers_updated_at = now
        records = self.directory.list_servers()
        chosen = choose_peers(records, self._identity)
        self._set_regional_rate(records)
        wanted = {
            record.name: Peer(
                record.name, record.address, record.region != self._identity.region
            )
            for record in chosen
        }
        if not wanted:
            wanted.update(self._make_seed_peers())
        self._replace_peers(wanted)

    def _make_seed_peers(self):
        addresses = {*self._seeds, *self._peer_discovery.list_addresses()}
        return {
            address: Peer(address, address, False)
            for address in sorted(addresses)
            if address != self._own_address
        }

    def _replace_peers(self, wanted):
        started = []
        with self._lock:
            if self._is_stopped:
                return
            for name, peer in list(self._peers.items()):
                if name not in wanted or wanted[name].address != peer.address:
                    peer.is_stopped = True
                    peer.wake.set()
                    del self._peers[name]
            for name, peer in wanted.items():
                if name not in self._peers:
                    self._peers[name] = peer
                    started.append(peer)
        for peer in started:
            self._executor.submit(self._send_heartbeats, peer)
        if not wanted:
            self.configurations.record_no_peers()

    def _set_regional_rate(self, records):
        bridges = BRIDGES_PER_DATA_CENTRE * len(
            {record.data_centre for record in records}
        )
        rate = REGIONAL_LINK_BYTES_PER_SECOND * REGIONAL_CONTROL_SHARE
        self.budget.set_regional_rate(rate / max(bridges, 1))

    def _send_heartbeats(self, peer):
        task = PeerTask(self, peer)
        while not peer.is_stopped:
            task.send_heartbeat()
            peer.wake.wait(self.interval)
            if peer.wake.is_set():
                peer.wake.clear()
                self.clock.sleep(MIN_HEARTBEAT_GAP_SECONDS)
        task.close()

    def _update_lease(self):
        self.lease.update()
        if self.lease.is_lapsed:
            self.wake_peers()
            if not self._peers:
                self.lease.renew(self.clock.read_monotonic())

    def make_heartbeat(self, kind, records):
        """Return a message of class `kind`, Ping or Pong, that carries the records."""
        return kind(
            self._identity.name,
            self._identity.incarnation,
            self.directory.compute_digest(),
            self.configurations.current.revision,
            [record.to_data() for record in records],
        )

    def read_updates(self, position, reader, is_regional):
        """Return the log entries for a heartbeat, as far as the control budget allows.

        Args:
            position: Position in the directory's log after the last entry sent.
            reader: Name of the node that gets the heartbeat.
            is_regional: Whether that node is in another region.

        Returns:
            The new position and a list of ServerRecords.
        """
        allowance = self.budget.compute_allowance(is_regional) // RECORD_BYTES
        limit = min(allowance, MAX_RECORDS_PER_HEARTBEAT)
        if limit <= 0:
            return position, []
        return self.directory.read_log(position, limit, reader)

    def _answer_ping(self, message, session):
        session.sender = message.sender
        sender = self.directory.find(message.sender)
        session.is_regional = (
            sender is not None and sender.region != self._identity.region
        )
        self.merge_records(message.records, message.sender)
        if session.position is None:
            session.position = self.get_log_end()
        session.position, records = self.read_updates(
            session.position, message.sender, session.is_regional
        )
        return self.make_heartbeat(Pong, records)

    def _answer_digests(self, message, session):
        own = self.directory.list_digests()
        if len(message.digests) != BUCKETS:
            raise MessageError(f"expected {BUCKETS} digests")
        allowance = self.budget.compute_allowance(session.is_regional)
        buckets, records = [], []
        for bucket, digest in enumerate(message.digests):
            if digest == own[bucket]:
                continue
            if buckets and len(records) * COMPRESSED_RECORD_BYTES > allowance:
                break
            buckets.append(bucket)
            records.extend(self.directory.list_bucket(bucket))
        return Records.pack(buckets, [record.to_data() for record in records])

    def merge_records(self, items, source):
        """Merge records that another node sent as plain values.

        Raises:
            MessageError: A record is malformed.
        """
        for item in items:
            try:
                record = ServerRecord.from_data(item)
            except ValueError as error:
                raise MessageError(f"malformed record: {error}") from None
            self.directory.merge(record, source)

    def get_log_end(self):
        """Return the position after the newest entry of the directory's log."""
        return self.directory.read_log(2**62, 0, "")[0]

    def _make_record(self, state, slots, version):
        return ServerRecord(
            self._identity.name,
            self._identity.service,
            self._identity.region,
            self._identity.data_centre,
            self._own_address,
            slots,
            state,
            self._identity.incarnation,
            version,
        )

    def _wake_on_notice(self, record):
        if record.is_notice:
            self.wake_peers()

    def _correct_own_record(self, record):
        """Republish the own record after another node sent a wrong one.

        A record of a later incarnation shows that another node has started under
        the same name. This node then counts as superseded and keeps its record.
        """
        own = self._own_record
        if record.name != self._identity.name or record is own:
            return
        if own is None and record.incarnation >= self._identity.incarnation:
            # Incarnations are start times, and this VM's clock is behind the clock
            # of the VM that it replaced.
            self._identity.incarnation = record.incarnation + 1
            return
        if own is None or record.version_key < own.version_key:
            return
        if record.incarnation > own.incarnation:
            self._log.error("superseded by a later instance of the same name")
            self.is_superseded = True
            return
        with self._lock:
            self._own_record = own.replace(version=record.version + 1)
        self.directory.merge(self._own_record)

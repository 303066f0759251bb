"""Membership: heartbeats between peers, which spread news and notice silence."""

import threading

from godwitrack.exceptions import LinkError, MessageError
from godwitrack.kernel import Service
from godwitrack.logs import get_logger
from godwitrack.messages import (
    Changes,
    ChangesRequest,
    DigestRequest,
    Ping,
    Pong,
    Probe,
    ProbeResult,
    Records,
)
from godwitrack_node.directory import BUCKETS, ServerRecord, ServerState
from godwitrack_node.heartbeats import PeerTask
from godwitrack_node.peers import BRIDGES, Peer, choose_peers

MAX_NEWS = 64
RECORD_BYTES = 130
PACKED_RECORD_BYTES = 30
BEAT_SECONDS = 0.2
CHECK_PEERS_SECONDS = 0.5
EXPIRE_SECONDS = 10.0
PLAN_SECONDS = 2.0
PLAN_SECONDS_FOR_NODE = 0.001
MIN_PING_GAP_SECONDS = 0.05
PROBE_HELPERS = 2
REGIONAL_LINK_BYTES_PER_SECOND = 30_000_000 / 8
REGIONAL_CONTROL_SHARE = 0.01


class Membership(Service):
    """Keeps the directory alike at all nodes.

    Each node sends heartbeats to the next RING_PEERS nodes of its region on a ring
    of hashed names, so that each node is watched, and to MESH_PEERS nodes at
    pseudo-random places, so that news need few hops. A few nodes of each data
    centre do the same with each data centre of other regions.
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
        self._planned_version = None
        self._planned_at = 0.0
        self._is_stopped = False
        self._own_record = None
        self._own_address = ""
        self.directory = None
        self.configurations = None
        self.pool = None
        self._peer_discovery = None
        self._log = get_logger("membership")
        self.is_superseded = False

    def connect(self, kernel):
        """Find the collaborators and listen to what changes."""
        self.directory = kernel.find("directory")
        self.configurations = kernel.find("configurations")
        self.pool = kernel.find("link-pool")
        self._peer_discovery = kernel.find("peer-discovery")
        self._own_address = kernel.find("link-server").advertised
        self.directory.add_listener(self._notice_own_record)
        self.directory.add_listener(self._notice_operators)
        self.configurations.add_listener(lambda _: self.wake_peers())
        scheduler = kernel.find("scheduler")
        scheduler.add(BEAT_SECONDS, self._beat)
        scheduler.add(CHECK_PEERS_SECONDS, self.plan_peers)
        scheduler.add(EXPIRE_SECONDS, self.directory.expire)

    def start(self):
        """Begin to send heartbeats."""
        self.plan_peers()

    def stop(self):
        """Send no more heartbeats."""
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
        """The Peers to which heartbeats are sent, as a list."""
        with self._lock:
            return list(self._peers.values())

    def count_nodes(self):
        """Return the number of nodes known, this one included."""
        return max(self.directory.count_servers(), 1)

    def publish(self, state, slots):
        """Tell all nodes the state of the own backend server.

        Args:
            state: ServerState.
            slots: Most requests at once when warm.
        """
        with self._lock:
            held = self._own_record
            if held is not None and (held.state, held.slots) == (state, slots):
                return
            version = 1 if held is None else held.version + 1
            record = self._make_record(state, slots, version)
            self._own_record = record
        self.directory.merge(record)
        self.wake_peers()

    def wake_peers(self):
        """Send the next heartbeat to each peer at once."""
        for peer in self.peers:
            peer.wake.set()

    def answer(self, message, session):
        """Return the answer to a control message of another node.

        Args:
            message: Ping, Records, DigestRequest, Changes, ChangesRequest or Probe.
            session: Session of the link.

        Raises:
            MessageError: The message is of another type or has a wrong content.
        """
        kind = type(message)
        if kind is Ping:
            return self._answer_ping(message, session)
        if kind is DigestRequest:
            return self._answer_digests(message, session)
        if kind is Records:
            self.merge_records(message.unpack(), session.sender)
            return self.make_ping(Pong, [])
        if kind is ChangesRequest:
            return self.configurations.list_changes(message.after)
        if kind is Changes:
            self.configurations.take_changes(message)
            return self.make_ping(Pong, [])
        if kind is Probe:
            return ProbeResult(self._probe(message.address))
        raise MessageError(f"{kind.__name__} is not expected here")

    def plan_peers(self):
        """Choose the peers anew if the directory changed."""
        now = self.clock.read_monotonic()
        version = self.directory.version
        # The work grows with the fleet, so that it is done less often in a large one.
        interval = max(PLAN_SECONDS, self.count_nodes() * PLAN_SECONDS_FOR_NODE)
        if self._peers and (
            version == self._planned_version or now - self._planned_at < interval
        ):
            return
        self._planned_version = version
        self._planned_at = now
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
            self._executor.submit(self._run_peer, peer)
        if not wanted:
            self.configurations.note_no_peers()

    def _set_regional_rate(self, records):
        bridges = BRIDGES * len({record.data_centre for record in records})
        rate = REGIONAL_LINK_BYTES_PER_SECOND * REGIONAL_CONTROL_SHARE
        self.budget.set_regional_rate(rate / max(bridges, 1))

    def _run_peer(self, peer):
        task = PeerTask(self, peer)
        while not peer.is_stopped:
            task.beat()
            peer.wake.wait(self.interval)
            if peer.wake.is_set():
                peer.wake.clear()
                self.clock.sleep(MIN_PING_GAP_SECONDS)
        task.close()

    def _beat(self):
        self.lease.beat()
        if self.lease.is_lapsed:
            self.wake_peers()
            if not self._peers:
                self.lease.renew(self.clock.read_monotonic())

    def make_ping(self, kind, records):
        """Return a Ping or Pong with the given ServerRecords as news."""
        return kind(
            self._identity.name,
            self._identity.incarnation,
            self.directory.compute_digest(),
            self.configurations.current.revision,
            [record.to_data() for record in records],
        )

    def read_news(self, position, reader, is_regional):
        """Return the new position and the news that the budget allows."""
        allowance = self.budget.find_allowance(is_regional) // RECORD_BYTES
        limit = min(allowance, MAX_NEWS)
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
            session.position = self.find_log_end()
        session.position, records = self.read_news(
            session.position, message.sender, session.is_regional
        )
        return self.make_ping(Pong, records)

    def _answer_digests(self, message, session):
        own = self.directory.list_digests()
        if len(message.digests) != BUCKETS:
            raise MessageError(f"expected {BUCKETS} digests")
        allowance = self.budget.find_allowance(session.is_regional)
        buckets, records = [], []
        for bucket, digest in enumerate(message.digests):
            if digest == own[bucket]:
                continue
            if buckets and len(records) * PACKED_RECORD_BYTES > allowance:
                break
            buckets.append(bucket)
            records.extend(self.directory.list_bucket(bucket))
        return Records.pack(buckets, [record.to_data() for record in records])

    def merge_records(self, items, source):
        """Take over records that another node sent as plain data.

        Raises:
            MessageError: One of them has a wrong shape.
        """
        for item in items:
            try:
                record = ServerRecord.from_data(item)
            except ValueError as error:
                raise MessageError(f"record of a wrong shape: {error}") from None
            self.directory.merge(record, source)

    def find_log_end(self):
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

    def _notice_operators(self, record):
        if record.is_notice:
            self.wake_peers()

    def _notice_own_record(self, record):
        """Contradict a wrong word about the own backend server."""
        own = self._own_record
        if record.name != self._identity.name or record is own:
            return
        if own is None and record.incarnation >= self._identity.incarnation:
            # The clock of this VM runs behind that of the one it replaced.
            self._identity.incarnation = record.incarnation + 1
            return
        if own is None or record.order < own.order:
            return
        if record.incarnation > own.incarnation:
            self._log.error("superseded by a later instance of the same name")
            self.is_superseded = True
            return
        with self._lock:
            self._own_record = own.replace(version=record.version + 1)
        self.directory.merge(self._own_record)

    def suspect(self, peer):
        """Mark a peer as silent if others can't reach it either."""
        record = self.directory.find(peer.name)
        if record is None or peer.is_regional or not record.state.is_serving:
            return
        others = [item for item in self.peers if item is not peer]
        heard = [item for item in others if item.misses == 0]
        if others and len(heard) * 2 < len(others):
            # Most peers being out of reach, the fault is more likely here.
            return
        if any(self._ask_probe(item, peer) for item in heard[:PROBE_HELPERS]):
            return
        newest = self.directory.find(peer.name)
        if newest is record and peer.misses >= self.silent_after:
            self._log.warning("peer is silent", peer=peer.name)
            silent = record.replace(
                state=ServerState.SILENT, version=record.version + 1
            )
            self.directory.merge(silent)

    def _ask_probe(self, helper, peer):
        try:
            link = self.pool.acquire(helper.address, self.interval)
            link.send(Probe(peer.address), self.interval)
            result = link.receive(3 * self.interval)
        except (LinkError, MessageError):
            return False
        self.pool.release(link)
        return type(result) is ProbeResult and result.alive

    def _probe(self, address):
        try:
            link = self.pool.open(address, self.interval)
            link.send(self.make_ping(Ping, []), self.interval)
            link.receive(self.interval)
        except (LinkError, MessageError):
            return False
        self.pool.release(link)
        return True

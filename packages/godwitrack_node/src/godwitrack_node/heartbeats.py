"""Heartbeats with one peer, which exchange updates and repair differences."""

from godwitrack.controlmessages import DigestRequest, Ping, Pong, Records
from godwitrack.exceptions import GodwitrackError, LinkError, MessageError
from godwitrack.logs import get_logger

DIFFERING_HEARTBEATS_BEFORE_REPAIR = 3


class PeerTask:
    """Exchanges heartbeats with one peer; used by one thread only."""

    def __init__(self, membership, peer):
        self._membership = membership
        self._peer = peer
        self._directory = membership.directory
        self._configurations = membership.configurations
        self._log = get_logger("membership")
        self._link = None
        self._position = membership.get_log_end()
        self._differing_heartbeats = DIFFERING_HEARTBEATS_BEFORE_REPAIR
        self._counted_bytes = (0, 0)

    def send_heartbeat(self):
        """Send one heartbeat and process the answer, or count a miss."""
        peer = self._peer
        started = self._membership.clock.read_monotonic()
        try:
            self._exchange()
        except (LinkError, MessageError, GodwitrackError) as error:
            self.close()
            peer.misses += 1
            if peer.misses == self._membership.silent_after:
                self._log.info("peer does not answer", peer=peer.name, error=str(error))
            if peer.misses >= self._membership.silent_after:
                self._membership.probes.mark_if_silent(peer)
            return
        peer.misses = 0
        self._configurations.record_peer_answer()
        self._membership.lease.renew(started)

    def close(self):
        """Close the link, if one is open."""
        if self._link is not None:
            self._count_bytes()
            self._link.abort()
            self._link = None

    def _exchange(self):
        membership = self._membership
        timeout = membership.interval
        if self._link is None:
            self._link = membership.pool.open(self._peer.address, timeout)
            self._counted_bytes = (0, 0)
        position, records = membership.read_updates(
            self._position, self._peer.name, self._peer.is_regional
        )
        self._link.send(membership.make_heartbeat(Ping, records), timeout)
        pong = self._link.receive(timeout)
        if type(pong) is not Pong:
            raise MessageError("expected a Pong in answer to a Ping")
        self._position = position
        membership.merge_records(pong.records, pong.sender)
        self._sync_configuration(pong)
        self._sync_directory(pong)
        self._count_bytes()

    def _sync_configuration(self, pong):
        own = self._configurations.current.revision
        if pong.revision > own:
            self._configurations.pull(self._link)
        elif pong.revision < own:
            self._link.send(self._configurations.list_changes(pong.revision), 5.0)
            self._link.receive(5.0)

    def _sync_directory(self, pong):
        """Compare the directories and repair lasting differences in both directions.

        A repair starts when more than DIFFERING_HEARTBEATS_BEFORE_REPAIR heartbeats
        in a row found a difference that updates did not remove. The first heartbeat
        to a peer starts one at once.
        """
        if pong.digest == self._directory.compute_digest():
            self._differing_heartbeats = 0
            return
        self._differing_heartbeats += 1
        if self._differing_heartbeats <= DIFFERING_HEARTBEATS_BEFORE_REPAIR:
            return
        self._differing_heartbeats = 0
        self._link.send(DigestRequest(self._directory.list_digests()), 5.0)
        answer = self._link.receive(5.0)
        if type(answer) is not Records:
            raise MessageError("expected Records in answer to a DigestRequest")
        records = answer.unpack()
        self._membership.merge_records(records, pong.sender)
        # Maps each name to (incarnation, version), by position in the record's data.
        theirs = {item[0]: tuple(item[7:]) for item in records}
        missing = []
        for bucket in answer.buckets:
            for record in self._directory.list_bucket(int(bucket)):
                newest = (record.incarnation, record.version)
                if theirs.get(record.name) != newest:
                    missing.append(record.to_data())
        if missing:
            self._link.send(Records.pack([], missing), 5.0)
            self._link.receive(5.0)

    def _count_bytes(self):
        sent, received = self._link.sent_bytes, self._link.received_bytes
        self._membership.budget.count(
            self._peer.is_regional,
            sent - self._counted_bytes[0],
            received - self._counted_bytes[1],
        )
        self._counted_bytes = (sent, received)

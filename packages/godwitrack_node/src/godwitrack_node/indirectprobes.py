"""Indirect probes: other peers tell whether a peer that does not answer is silent."""

from godwitrack.controlmessages import Ping, Probe, ProbeResult
from godwitrack.exceptions import LinkError, MessageError
from godwitrack.logs import get_logger
from godwitrack_node.directory import ServerState

PROBE_HELPERS = 2


class IndirectProbes:
    """Marks peers as silent that neither this node nor other peers can reach."""

    def __init__(self, membership):
        """Create the probes without sending any.

        Args:
            membership: Membership, whose peers are asked to help.
        """
        self._membership = membership
        self._log = get_logger("membership")

    def mark_if_silent(self, peer):
        """Mark a peer as silent unless other peers can still reach it.

        Up to PROBE_HELPERS other peers are asked to probe it. Peers in other regions
        are never marked.
        """
        record = self._membership.directory.find(peer.name)
        if record is None or peer.is_regional or not record.state.is_serving:
            return
        others = [item for item in self._membership.peers if item is not peer]
        responding = [item for item in others if item.misses == 0]
        if others and len(responding) * 2 < len(others):
            # When most peers do not answer, the fault is more likely at this node.
            return
        if any(self._request_probe(item, peer) for item in responding[:PROBE_HELPERS]):
            return
        newest = self._membership.directory.find(peer.name)
        if newest is record and peer.misses >= self._membership.silent_after:
            self._log.warning("peer is silent", peer=peer.name)
            silent = record.replace(
                state=ServerState.SILENT, version=record.version + 1
            )
            self._membership.directory.merge(silent)

    def _request_probe(self, helper, peer):
        try:
            link = self._membership.pool.acquire(
                helper.address, self._membership.interval
            )
            link.send(Probe(peer.address), self._membership.interval)
            result = link.receive(3 * self._membership.interval)
        except (LinkError, MessageError):
            return False
        self._membership.pool.release(link)
        return type(result) is ProbeResult and result.alive

    def probe(self, address):
        """Return whether the node at an address answers a heartbeat."""
        try:
            link = self._membership.pool.open(address, self._membership.interval)
            link.send(
                self._membership.make_heartbeat(Ping, []), self._membership.interval
            )
            link.receive(self._membership.interval)
        except (LinkError, MessageError):
            return False
        self._membership.pool.release(link)
        return True

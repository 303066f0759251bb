"""Peers: the nodes with which a node exchanges heartbeats, and how they are chosen."""

import heapq
import threading

from godwitrack.hashing import hash_text
from godwitrack_node.directory import ServerState

RING_PEERS = 2
MESH_PEERS = 2
BRIDGES = 2


class Peer:
    """One node to which heartbeats are sent.

    Attributes:
        name: Its name, or its address where it is a seed not yet known by name.
        address: "host:port" of its links.
        is_regional: Whether it is in another region.
        wake: Event that starts the next heartbeat at once.
        is_stopped: Whether the task of this peer must end.
        misses: Heartbeats missed in a row.
    """

    __slots__ = ("address", "is_regional", "is_stopped", "misses", "name", "wake")

    def __init__(self, name, address, is_regional):
        self.name = name
        self.address = address
        self.is_regional = is_regional
        self.wake = threading.Event()
        self.is_stopped = False
        self.misses = 0


class Session:
    """What the accepting side keeps for one control link.

    Attributes:
        position: Position in the directory's log up to which news were sent.
        sender: Name of the node at the other side.
        is_regional: Whether it is in another region.
    """

    __slots__ = ("is_regional", "position", "sender")

    def __init__(self):
        self.position = None
        self.sender = ""
        self.is_regional = False


def choose_peers(records, identity):
    """Return the records of the nodes to which a node sends heartbeats.

    Args:
        records: ServerRecords of all nodes known.
        identity: Identity of the node that chooses.
    """
    alive = [
        record
        for record in records
        if record.state is not ServerState.SILENT and record.name != identity.name
    ]
    near = [record for record in alive if record.region == identity.region]
    chosen = {record.name: record for record in _choose_ring(near, identity.name)}
    for record in _choose_mesh(near, identity.name):
        chosen[record.name] = record
    for record in _choose_bridged(alive, identity):
        chosen[record.name] = record
    return list(chosen.values())


def _choose_ring(records, name):
    """Return the nodes that follow a name on the ring of hashed names."""
    own = hash_text(name)
    return heapq.nsmallest(
        RING_PEERS,
        records,
        key=lambda record: (hash_text(record.name) - own) % 2**64,
    )


def _choose_mesh(records, name):
    """Return the nodes with the lowest hash together with a name."""
    return heapq.nsmallest(
        MESH_PEERS, records, key=lambda record: hash_text(record.name + name)
    )


def _choose_bridged(records, identity):
    """Return the nodes of other regions with which a bridge keeps contact."""
    own = hash_text("bridge" + identity.name)
    lower = sum(
        record.data_centre == identity.data_centre
        and hash_text("bridge" + record.name) < own
        for record in records
    )
    if lower >= BRIDGES:
        return []
    far = {}
    for record in records:
        if record.region != identity.region:
            far.setdefault(record.data_centre, []).append(record)
    return [
        min(group, key=lambda record: hash_text(record.name + identity.name))
        for group in far.values()
    ]

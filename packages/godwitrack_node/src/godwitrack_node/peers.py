"""Peers: the nodes to which a node sends heartbeats, and how it chooses them."""

import heapq
import threading

from godwitrack.hashing import hash_text
from godwitrack_node.directory import ServerState

RING_PEERS = 2
MESH_PEERS = 2
BRIDGES_PER_DATA_CENTRE = 2


class Peer:
    """One node to which heartbeats are sent.

    Attributes:
        name: Name of the node, or the address of a seed whose name is not known.
        address: "host:port" at which the node accepts links.
        is_regional: Whether the node is in another region.
        wake: Event that triggers the next heartbeat at once.
        is_stopped: Whether the thread that serves this peer must end.
        misses: Number of heartbeats in a row without an answer.
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
    """State of one link that another node opened to send control messages.

    Attributes:
        position: Position in the directory's log up to which updates were sent, or
            None before the first heartbeat.
        sender: Name of the node that opened the link.
        is_regional: Whether that node is in another region.
    """

    __slots__ = ("is_regional", "position", "sender")

    def __init__(self):
        self.position = None
        self.sender = ""
        self.is_regional = False


def choose_peers(records, identity):
    """Return the records of the nodes to which a node sends heartbeats.

    Args:
        records: ServerRecords of all known nodes.
        identity: Identity of the node that sends the heartbeats.
    """
    alive = [
        record
        for record in records
        if record.state is not ServerState.SILENT and record.name != identity.name
    ]
    local = [record for record in alive if record.region == identity.region]
    chosen = {record.name: record for record in _choose_ring(local, identity.name)}
    for record in _choose_mesh(local, identity.name):
        chosen[record.name] = record
    for record in _choose_remote(alive, identity):
        chosen[record.name] = record
    return list(chosen.values())


def _choose_ring(records, name):
    """Return the RING_PEERS nodes that follow a name on the ring of hashed names."""
    own = hash_text(name)
    return heapq.nsmallest(
        RING_PEERS,
        records,
        key=lambda record: (hash_text(record.name) - own) % 2**64,
    )


def _choose_mesh(records, name):
    """Return MESH_PEERS nodes, chosen by a hash of their name and the given one."""
    return heapq.nsmallest(
        MESH_PEERS, records, key=lambda record: hash_text(record.name + name)
    )


def _choose_remote(records, identity):
    """Return one node of each data centre in other regions if the node is a bridge.

    The bridges of a data centre are the BRIDGES_PER_DATA_CENTRE nodes whose names
    have the lowest hashes. Other nodes get an empty list.
    """
    own = hash_text("bridge" + identity.name)
    lower = sum(
        record.data_centre == identity.data_centre
        and hash_text("bridge" + record.name) < own
        for record in records
    )
    if lower >= BRIDGES_PER_DATA_CENTRE:
        return []
    remote = {}
    for record in records:
        if record.region != identity.region:
            remote.setdefault(record.data_centre, []).append(record)
    return [
        min(group, key=lambda record: hash_text(record.name + identity.name))
        for group in remote.values()
    ]

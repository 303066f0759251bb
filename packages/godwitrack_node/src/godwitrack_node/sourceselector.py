"""Selects the source from which a node reads the changes of the store's tables.

Load pattern: a fleet in which each call to the store is billed and each change would
wake every node. One node in each data centre, its leader, follows the store, and all
others follow that node. VMs differ: a long list fills a narrow link for a second, and
all followers wait for it. So the VM that can pass on most leads. If it is lost, one
node, the deputy, reads the store in its place, and the others follow the deputy.
"""

import math

from godwitrack.hashing import hash_text

# Time for which a failed source is skipped.
SKIP_SECONDS = 2.0
# A core compresses and sends a list about as fast as a link of this many Mbit/s.
MEGABITS_PER_CORE = 50.0
# VMs beyond this pass on any list in well under a second.
MAX_RELAY_CLASS = 6


def compute_relay_class(link_megabits, cores):
    """Return how much a VM can pass on to others, from 0 to MAX_RELAY_CLASS.

    Each class can pass on twice as much as the one below it.

    Args:
        link_megabits: Bandwidth of the VM's network link in Mbit/s.
        cores: Processor cores that the VM may use.
    """
    megabits = min(link_megabits, cores * MEGABITS_PER_CORE)
    return min(int(math.log2(max(megabits, 1.0))), MAX_RELAY_CLASS)


class SourceSelector:
    """Selects the source that a node reads next."""

    def __init__(self, clock, own_address, data_centre, region):
        self._clock = clock
        self._own_address = own_address
        self._data_centre = data_centre
        self._region = region
        self._skipped_until = {}

    def list_leaders(self, members):
        """Return the address of each data centre's leader, nearest first.

        Args:
            members: Members of all known nodes.
        """
        leaders = {}
        for member in members:
            leader = leaders.get(member.data_centre)
            if leader is None or _compute_rank(member) < _compute_rank(leader):
                leaders[member.data_centre] = member
        ordered = sorted(leaders.values(), key=self._compute_distance)
        return [member.address for member in ordered]

    def is_leader(self, members):
        """Return whether this node follows the store for its data centre."""
        ranked = self._rank_local(members)
        return not ranked or ranked[0].address == self._own_address

    def find_remote_leader(self, members):
        """Return the leader in another region that can pass on most, or None."""
        leaders = set(self.list_leaders(members))
        remote = [
            member
            for member in members
            if member.address in leaders and member.region != self._region
        ]
        return min(remote, key=_compute_rank).address if remote else None

    def count_local(self, members):
        """Return how many Members are in this node's data centre."""
        return len(self._rank_local(members))

    def is_near(self, member):
        """Return whether a Member is in this node's region."""
        return member.region == self._region

    def list_candidates(self, members, may_ask_deputy=True):
        """Return the usable sources in order of preference; "" stands for the store.

        Args:
            members: Members of all known nodes.
            may_ask_deputy: Whether there is time to ask another node before the store.
        """
        ranked = [member.address for member in self._rank_local(members)]
        remote = [item for item in self.list_leaders(members) if item not in ranked]
        if not ranked or ranked[0] == self._own_address:
            order = ["", *remote]
        else:
            nodes = ranked[: 2 if may_ask_deputy else 1]
            nodes = [item for item in nodes if item != self._own_address]
            order = [*nodes, "", *remote]
        usable = [item for item in order if not self.is_skipped(item)]
        return usable or [""]

    def is_skipped(self, address):
        """Return whether a source is skipped after a recent failure."""
        return self._skipped_until.get(address, 0.0) > self._clock.read_monotonic()

    def skip(self, address):
        """Skip a source for a while because it failed or was behind."""
        self._skipped_until[address] = self._clock.read_monotonic() + SKIP_SECONDS

    def _rank_local(self, members):
        local = [item for item in members if item.data_centre == self._data_centre]
        return sorted(local, key=_compute_rank)

    def _compute_distance(self, member):
        if member.data_centre == self._data_centre:
            return 0
        return 1 if member.region == self._region else 2


def _compute_rank(member):
    return (-member.relay_class, hash_text(member.address))

"""The member table: all members of the fleet, as the rows of the store tell them."""

import cbor2

from godwitrack.feed import FeedTable
from godwitrack.kernel import Service
from godwitrack.logs import get_logger
from godwitrack_node.hostedrouting import Member, MemberView

MEMBER_SHAPE = (str, str, str, int, bool, str, int)


class MemberTable(Service):
    """Keeps one MemberView for each member."""

    name = "member-table"

    def __init__(self, clock):
        self._clock = clock
        self._views = {}
        self._by_service = {}
        self._replica = None
        self._log = get_logger("roster")

    def connect(self, kernel):
        """Listen to changes of the fleet's table."""
        feed_sync = kernel.find("membership")
        self._replica = feed_sync.find_replica(FeedTable.FLEET)
        feed_sync.add_listener(FeedTable.FLEET, self._refresh)

    def list_members(self):
        """Return the Members of all nodes."""
        return [view.member for view in list(self._views.values())]

    def list_views(self, service):
        """Return the MemberViews of a service's members."""
        return self._by_service.get(service, ())

    def find_view(self, address):
        """Return the MemberView of a node by the address of its links, or None."""
        return self._views.get(address)

    def count_nodes(self):
        """Return the number of nodes known, at least 1."""
        return max(len(self._views), 1)

    def _refresh(self):
        views = {}
        for row in self._replica.list_rows():
            member = read_member(row)
            if member is None:
                self._log.warning("row names no member", key=row.key)
                continue
            views[member.address] = self._keep_view(member)
        by_service = {}
        for view in views.values():
            by_service.setdefault(view.member.service, []).append(view)
        self._views, self._by_service = views, by_service

    def _keep_view(self, member):
        view = self._views.get(member.address)
        if view is None or view.member.incarnation != member.incarnation:
            return MemberView(member)
        view.member = member
        return view


def write_member(member):
    """Return a Member as the bytes of its row."""
    return cbor2.dumps(
        [
            member.service,
            member.region,
            member.data_centre,
            member.slots,
            member.is_serving,
            member.instance,
            member.incarnation,
        ]
    )


def read_member(row):
    """Return the Member of a FeedRow, or None where it holds none."""
    try:
        data = cbor2.loads(row.value)
    except Exception:
        # The decoder raises many types for bad input.
        return None
    if type(data) is not list or len(data) != len(MEMBER_SHAPE):
        return None
    if any(type(v) is not kind for v, kind in zip(data, MEMBER_SHAPE, strict=True)):
        return None
    return Member(row.key, *data, row.version)

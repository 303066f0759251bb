"""The member table: all members of the fleet, as read from the rows of the store."""

import io

import cbor2

from godwitrack.address import Address
from godwitrack.feed import FeedTable
from godwitrack.kernel import Service
from godwitrack.logs import get_logger
from godwitrack_node.feedsources import PATCH_PROTOCOL
from godwitrack_node.hostedrouting import Member, MemberView
from godwitrack_node.sourceselector import MAX_RELAY_CLASS

# More than any server has; larger numbers are another writer's mistake.
MAX_SLOTS = 100_000
MAX_INCARNATION = 2**63 - 1
MEMBER_FIELD_TYPES = (str, str, str, int, bool, str, int)
# Born, protocol and relay class where a row does not have them.
EXTENSION_DEFAULTS = (None, 0, 0)


class MemberTable(Service):
    """Keeps one MemberView per member."""

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
        self._replica = feed_sync.get_replica(FeedTable.FLEET)
        feed_sync.add_listener(FeedTable.FLEET, self._refresh)

    def list_members(self):
        """Return the Members of all nodes."""
        return [view.member for view in list(self._views.values())]

    def list_views(self, service):
        """Return the MemberViews of a service's members."""
        return self._by_service.get(service, ())

    def get_view(self, address):
        """Return the MemberView of the node whose link address is given, or None."""
        return self._views.get(address)

    def count_nodes(self):
        """Return the number of known nodes, at least 1."""
        return max(len(self._views), 1)

    def _refresh(self):
        views = {}
        for row in self._replica.list_rows():
            member = decode_member(row)
            if member is None:
                self._log.warning("invalid member row", key=row.key)
                continue
            views[member.address] = self._update_view(member)
        by_service = {}
        for view in views.values():
            by_service.setdefault(view.member.service, []).append(view)
        self._views, self._by_service = views, by_service

    def _update_view(self, member):
        view = self._views.get(member.address)
        if view is None or view.member.incarnation != member.incarnation:
            return MemberView(member)
        view.member = member
        return view


def make_member(address, identity, slots, is_serving, instance, born):
    """Return the Member that a node announces.

    Args:
        address: "host:port" of its links.
        identity: Identity of the node.
        slots: Requests that the backend server works on at once.
        is_serving: Whether new requests may be sent to the backend server.
        instance: Id of the backend server's process, or "".
        born: Start of that process in Unix milliseconds, or None if it is not known.
    """
    place = (identity.service, identity.region, identity.data_centre)
    process = (slots, is_serving, instance, identity.incarnation)
    return Member(
        address,
        *place,
        *process,
        born=born,
        protocol=PATCH_PROTOCOL,
        relay_class=identity.relay_class,
    )


def encode_member(member):
    """Encode a Member as the value of its row.

    The value is a sequence of two lists. Builds that know of the first list alone pass
    over the second; others read as many of its items as they know.
    """
    extension = [member.born, member.protocol, member.relay_class]
    return _encode_fields(member) + cbor2.dumps(extension)


def _encode_fields(member):
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


def decode_member(row):
    """Decode the Member in a FeedRow; return None if the value is malformed."""
    decoder = cbor2.CBORDecoder(io.BytesIO(row.value))
    try:
        data = decoder.decode()
    except Exception:
        # The decoder raises many exception types for malformed input.
        return None
    if type(data) is not list or len(data) != len(MEMBER_FIELD_TYPES):
        return None
    if any(
        type(v) is not expected
        for v, expected in zip(data, MEMBER_FIELD_TYPES, strict=True)
    ):
        return None
    member = Member(row.key, *data, row.version, *_decode_extension(decoder))
    return member if _is_usable(member) else None


def _decode_extension(decoder):
    """Return born, protocol and relay class in the second list of a row.

    A value that the row lacks, or that is of another type, has its default.
    """
    try:
        extension = decoder.decode()
    except Exception:
        # Rows of earlier builds end here; malformed input raises many other types.
        extension = []
    if type(extension) is not list:
        extension = []
    items = [*extension[: len(EXTENSION_DEFAULTS)]]
    items += EXTENSION_DEFAULTS[len(items) :]
    born, protocol, relay_class = [
        item if type(item) is int else default
        for item, default in zip(items, EXTENSION_DEFAULTS, strict=True)
    ]
    return born, protocol, min(max(relay_class, 0), MAX_RELAY_CLASS)


def _is_usable(member):
    """Return whether a Member has an address to connect to and possible numbers."""
    try:
        address = Address.parse(member.address)
    except ValueError:
        return False
    return (
        address.port > 0
        and 0 < member.slots <= MAX_SLOTS
        and 0 <= member.incarnation <= MAX_INCARNATION
    )

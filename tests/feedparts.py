"""Parts around a FeedSync in tests that need no node: members, kernel, replica."""

from godwitrack.feed import FeedPage, FeedRow, FeedTable
from godwitrack_node.feedsources import PATCH_PROTOCOL
from godwitrack_node.feedsync import FeedSync
from godwitrack_node.hostedrouting import Member, MemberView
from godwitrack_node.routing import Location

# The platform's bound on the time until a change is in force everywhere.
APPLY_SECONDS = 2.5


class FakeMembers:
    """A member table with the nodes at some addresses, and some in another region."""

    def __init__(self, addresses, remote_addresses=()):
        places = dict.fromkeys(addresses, ("north", "dc-a"))
        places |= dict.fromkeys(remote_addresses, ("south", "dc-c"))
        self._views = {
            address: MemberView(
                Member(
                    address,
                    "scenbok",
                    *place,
                    10,
                    True,
                    "i",
                    1,
                    protocol=PATCH_PROTOCOL,
                )
            )
            for address, place in places.items()
        }

    def list_members(self):
        return [view.member for view in self._views.values()]

    def get_view(self, address):
        return self._views[address]


class FakePool:
    """A pool of links to one node, and its only link; `receive` is the test's own."""

    received_bytes = 0

    def acquire(self, address, timeout):
        return self

    def release(self, link):
        pass

    def abort(self):
        pass

    def send(self, request, timeout):
        pass


class FakeKernel:
    """Finds the services that a FeedSync uses."""

    def __init__(self, pool, members):
        self._services = {"link-pool": pool, "member-table": members}

    def find(self, name):
        return self._services[name]


def make_feed_sync(
    clock,
    own_address,
    members,
    store,
    pool=None,
    version=5,
    executor=None,
    remote_members=(),
):
    """Return a FeedSync and its replica of the operators' table at a version."""
    location = Location("north", "dc-a")
    feed_sync = FeedSync(clock, executor, store, own_address, location, APPLY_SECONDS)
    feed_sync.connect(FakeKernel(pool, FakeMembers(members, remote_members)))
    replica = feed_sync.get_replica(FeedTable.OPERATORS)
    if version >= 0:
        replica.merge(FeedPage([FeedRow("config", version, b"")], version, True))
    return feed_sync, replica

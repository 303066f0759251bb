"""Which backend server a request is sent to.

Load pattern: servers whose speed changes many times a second, in places between
which bytes are slow and billed. Fresh load goes into the choice and fades within
fractions of a second; a request leaves its data centre only where that pays. Where
one region has no room and another has, a request that was refused may cross, and one
that may run anywhere makes way for those that have to run in the full region.
"""

import math
import random

from godwitrack_node.homedemand import HOME_DEMAND_FADE_SECONDS

# Reports are out of date as soon as the speed of a shared VM changes.
REPORT_FADE_SECONDS = 0.3
SPEED_FADE_SECONDS = 0.15
# Costs are in units of a server with all slots in use at its best speed.
OTHER_DATA_CENTRE_COST = 2.0
# A slow moment makes work five times as long; only what lasts is worth the way.
OTHER_REGION_COST = 8.0
# A small request that a server refused is late if it is sent back; the way costs less.
REPEAT_REGION_COST = 2.5
# Where requests bound to the region lack a quarter of a server's places, that server is
# as far as another region for those that may go there.
HOME_DEMAND_COST = 4.0 * OTHER_REGION_COST
# Whoever has less time for an answer would be late by the way there and back.
MIN_CROSSING_OBJECTIVE_SECONDS = 0.12
# Large bodies cost more on billed links than a late answer is worth.
UPLOAD_FACTOR = 4.0
# Spreads requests among servers of like cost.
TIE = 0.02
# Speed that is expected of a server that told none lately, as a factor on the work.
EXPECTED_SLOWNESS = 1.5
# Failures count as load, so that a server that fails fast does not look idle.
FAILURE_COST = 1.0
FAILURE_FADE_SECONDS = 1.0
# Pauses between looks at a node that can't be reached; they double up to the longest.
DOWN_SECONDS = 0.5
MAX_DOWN_SECONDS = 4.0
# A server that stops or was taken out has its row changed well before that.
AWAY_SECONDS = 2.0


class Member:
    """What a node tells all others of itself and its backend server.

    Attributes:
        address: "host:port" of the node's links, unique.
        service: Service of the backend server.
        region: Name of the region.
        data_centre: Name of the data centre.
        slots: Requests that the backend server works on at once.
        is_serving: Whether new work may be sent to the backend server.
        instance: Id of the backend server's process, or "".
        incarnation: Number of the node's start.
        version: Version of the row that says so.
    """

    __slots__ = (
        "address",
        "incarnation",
        "data_centre",
        "instance",
        "is_serving",
        "region",
        "service",
        "slots",
        "version",
    )

    def __init__(
        self,
        address,
        service,
        region,
        data_centre,
        slots,
        is_serving,
        instance,
        incarnation,
        version=0,
    ):
        self.address = address
        self.service = service
        self.region = region
        self.data_centre = data_centre
        self.slots = slots
        self.is_serving = is_serving
        self.instance = instance
        self.incarnation = incarnation
        self.version = version

    def is_like(self, other):
        """Tell whether another Member says the same, whatever its version."""
        names = (name for name in self.__slots__ if name != "version")
        return all(getattr(self, name) == getattr(other, name) for name in names)

    def is_beside(self, other, route):
        """Tell whether requests of a route can change from another Member to it.

        Large bodies stay in the data centre, others in the region.
        """
        if route.is_upload:
            return self.data_centre == other.data_centre
        return self.region == other.region


class MemberView:
    """What an entry knows of one member's load.

    Attributes:
        member: Member.
        in_flight: Own requests that are on their way there.
        is_down: Whether its node could not be reached.
        is_looked_at: Whether a look is on its way whether its node can be reached.
    """

    def __init__(self, member):
        self.member = member
        self.in_flight = 0
        self.is_down = False
        self.is_looked_at = False
        self._avoid_until = 0.0
        self._down_seconds = DOWN_SECONDS
        self._others = 0.0
        self._limit = max(member.slots, 1)
        self._slowness = EXPECTED_SLOWNESS
        self._reported_at = -math.inf
        self._home_demand = 0
        self._failures = 0.0
        self._failed_at = -math.inf

    def is_usable(self, now):
        """Tell whether requests may be sent there."""
        return self.member.is_serving and not self.is_down and now >= self._avoid_until

    def record_load(self, load, now):
        """Take a Load that the member's node reported."""
        self._others = max(load.in_flight + load.queued - self.in_flight, 0)
        self._limit = max(load.limit, 1)
        self._slowness = max(load.slowness, 1) / 100.0
        self._reported_at = now
        self._home_demand = load.home_demand

    def record_failure(self, now):
        """Note an attempt that failed, which makes the member look loaded."""
        self._failures = self._find_failures(now) + 1.0
        self._failed_at = now

    def mark_unavailable(self, now, seconds=AWAY_SECONDS):
        """Note that the member takes no new work for a while.

        Args:
            now: Monotonic time in seconds.
            seconds: Duration in seconds.
        """
        self._avoid_until = now + seconds

    def mark_down(self, now):
        """Note that the member's node can't be reached."""
        self.is_down = True
        self._avoid_until = now + self._down_seconds
        self._down_seconds = min(self._down_seconds * 2, MAX_DOWN_SECONDS)

    def is_probe_due(self, now):
        """Tell whether it is time to look whether the node answers again."""
        return self.is_down and now >= self._avoid_until

    def mark_up(self):
        """Note that the member's node was reached."""
        self.is_down = False
        self._down_seconds = DOWN_SECONDS

    def find_age_ms(self, now):
        """Return the age of the last report in milliseconds, or None without one."""
        if math.isinf(self._reported_at):
            return None
        return round((now - self._reported_at) * 1000)

    def estimate_use(self, now):
        """Return the load in relation to what the member works on at once."""
        age = max(now - self._reported_at, 0.0)
        others = self._others * math.exp(-age / REPORT_FADE_SECONDS)
        return (self.in_flight + others) / self._limit

    def estimate_cost(self, now):
        """Return the expected time to an answer, in relation to the usual one."""
        age = max(now - self._reported_at, 0.0)
        fade = math.exp(-age / SPEED_FADE_SECONDS)
        slowness = EXPECTED_SLOWNESS + (self._slowness - EXPECTED_SLOWNESS) * fade
        failures = FAILURE_COST * self._find_failures(now)
        return slowness * self.estimate_use(now) + failures

    def estimate_home_demand(self, now):
        """Return the share of its places that requests bound to its region lack."""
        age = max(now - self._reported_at, 0.0)
        share = min(self._home_demand / self._limit, 1.0)
        return share * math.exp(-age / HOME_DEMAND_FADE_SECONDS)

    def _find_failures(self, now):
        age = max(now - self._failed_at, 0.0)
        return self._failures * math.exp(-age / FAILURE_FADE_SECONDS)


class HostedServerChooser:
    """Chooses among MemberViews."""

    def __init__(self, region, data_centre, rng=None):
        """Take the place of the node.

        Args:
            region: Name of its region.
            data_centre: Name of its data centre.
            rng: random.Random that decides between equals.
        """
        self._region = region
        self._data_centre = data_centre
        self._rng = rng or random.Random()

    def choose(self, views, route, now, tried=(), was_refused=False):
        """Return the MemberView that a request should go to, or None.

        Args:
            views: MemberViews of the service.
            route: HostRoute of the request.
            now: Monotonic time in seconds.
            tried: Addresses of members that were tried already.
            was_refused: Whether one of them refused it for want of room, or failed.
        """
        best, least = None, math.inf
        may_make_way = _may_make_way(route)
        for view in views:
            member = view.member
            if member.address in tried or not view.is_usable(now):
                continue
            if not route.may_run_in(member.region):
                continue
            distance = self._find_distance(member, route, was_refused)
            cost = view.estimate_cost(now) + distance
            if may_make_way:
                cost += HOME_DEMAND_COST * view.estimate_home_demand(now)
            cost += TIE * self._rng.random()
            if cost < least:
                best, least = view, cost
        return best

    def _find_distance(self, member, route, was_refused):
        if member.data_centre == self._data_centre:
            return 0.0
        if member.region == self._region:
            cost = OTHER_DATA_CENTRE_COST
        elif was_refused and not route.is_upload:
            cost = REPEAT_REGION_COST
        else:
            cost = OTHER_REGION_COST
        return cost * UPLOAD_FACTOR if route.is_upload else cost


def _may_make_way(route):
    """Tell whether requests of a route can be answered in time from any region."""
    return not route.regions and route.objective >= MIN_CROSSING_OBJECTIVE_SECONDS

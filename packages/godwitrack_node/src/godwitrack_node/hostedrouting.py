"""Choice of the backend server that a request is sent to.

Load pattern: servers whose speed changes many times a second, in data centres whose
links are slow and billed by the byte. The choice uses the reported load, whose weight
decays within fractions of a second, and sends a request to another data centre only
if the saved time outweighs the transfer. When one region is overloaded and another is
not, a refused request may be retried in the other region, and requests that may run
in any region avoid servers needed by requests that may run only in the full region.
"""

import math
import random

from godwitrack_node.homedemand import HOME_DEMAND_DECAY_SECONDS

# Time constants of the decay of reported values, which are out of date as soon as the
# speed of a shared VM changes.
LOAD_DECAY_SECONDS = 0.3
SPEED_DECAY_SECONDS = 0.15
# A cost of 1 stands for a server with all slots in use at its best speed.
OTHER_DATA_CENTRE_COST = 2.0
# A short slow phase of a VM makes work take five times as long. The cost is higher, so
# that only a lasting overload moves requests to another region.
OTHER_REGION_COST = 8.0
# A small request that a server refused would be late if it were returned to its caller;
# a retry in another region takes less time.
OTHER_REGION_RETRY_COST = 2.5
# If the home demand reaches a quarter of a server's limit, the server costs as much as
# one in another region for requests that may run there.
HOME_DEMAND_COST = 4.0 * OTHER_REGION_COST
# With a shorter objective, the round trip between regions alone makes the answer late.
MIN_OTHER_REGION_OBJECTIVE_SECONDS = 0.12
# Transferring a large body over a billed link costs more than a late answer.
UPLOAD_COST_FACTOR = 4.0
# Upper bound of a random cost that spreads requests among servers of similar cost.
MAX_TIE_BREAK_COST = 0.02
# Factor by which work is expected to take longer at a server without a recent report.
EXPECTED_SLOWNESS_FACTOR = 1.5
# Failures add to the cost, so that a server that fails fast does not look idle.
FAILURE_COST = 1.0
FAILURE_DECAY_SECONDS = 1.0
# Delays between probes of an unreachable node; they double from MIN to MAX.
MIN_PROBE_DELAY_SECONDS = 0.5
MAX_PROBE_DELAY_SECONDS = 4.0
# The store's row of a server that stops or was taken out changes well within this time.
UNAVAILABLE_SECONDS = 2.0


class Member:
    """What a node announces to all others about itself and its backend server.

    Attributes:
        address: "host:port" of the node's links, unique.
        service: Service of the backend server.
        region: Name of the region.
        data_centre: Name of the data centre.
        slots: Requests that the backend server works on at once.
        is_serving: Whether new requests may be sent to the backend server.
        instance: Id of the backend server's process, or "".
        incarnation: Number that identifies this start of the node.
        version: Version of the store's row that holds these values.
        born: Start of the backend server's process in Unix milliseconds, or None if it
            is not known.
        protocol: Protocol that the node understands on links; 0 for early builds.
        relay_class: How much the node can pass on to others, see `sourceselector`.
    """

    __slots__ = (
        "address",
        "born",
        "data_centre",
        "incarnation",
        "instance",
        "is_serving",
        "protocol",
        "region",
        "relay_class",
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
        born=None,
        protocol=0,
        relay_class=0,
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
        self.born = born
        self.protocol = protocol
        self.relay_class = relay_class

    def has_same_values(self, other):
        """Return whether another Member has equal values, apart from its version."""
        names = (name for name in self.__slots__ if name != "version")
        return all(getattr(self, name) == getattr(other, name) for name in names)

    def can_take_over_from(self, other, route):
        """Return whether requests of a route can move here from another Member.

        Requests with large bodies stay in the data centre, others in the region.
        """
        if route.is_upload:
            return self.data_centre == other.data_centre
        return self.region == other.region


class MemberView:
    """What an entry knows about one member's load and availability.

    Attributes:
        member: Member.
        in_flight: Requests that this entry sent there and that have not ended.
        is_down: Whether its node could not be reached.
        is_being_checked: Whether a check that its node can be reached is in progress.
    """

    def __init__(self, member):
        self.member = member
        self.in_flight = 0
        self.is_down = False
        self.is_being_checked = False
        self._avoid_until = 0.0
        self._probe_delay = MIN_PROBE_DELAY_SECONDS
        self._other_requests = 0.0
        self._limit = max(member.slots, 1)
        self._slowness_factor = EXPECTED_SLOWNESS_FACTOR
        self._reported_at = -math.inf
        self._home_demand = 0
        self._failures = 0.0
        self._failed_at = -math.inf

    def is_usable(self, now):
        """Return whether requests may be sent to the member."""
        return self.member.is_serving and not self.is_down and now >= self._avoid_until

    def record_load(self, load, now):
        """Record a Load that the member's node reported."""
        self._other_requests = max(load.in_flight + load.queued - self.in_flight, 0)
        self._limit = max(load.limit, 1)
        self._slowness_factor = max(load.slowness, 1) / 100.0
        self._reported_at = now
        self._home_demand = load.home_demand

    def record_failure(self, now):
        """Record a failed attempt, which raises the member's cost for a while."""
        self._failures = self._estimate_failures(now) + 1.0
        self._failed_at = now

    def mark_unavailable(self, now, seconds=UNAVAILABLE_SECONDS):
        """Send no new requests to the member for a while.

        Args:
            now: Monotonic time in seconds.
            seconds: Duration in seconds.
        """
        self._avoid_until = now + seconds

    def mark_down(self, now):
        """Record that the member's node can't be reached, and delay the next probe."""
        self.is_down = True
        self._avoid_until = now + self._probe_delay
        self._probe_delay = min(self._probe_delay * 2, MAX_PROBE_DELAY_SECONDS)

    def is_probe_due(self, now):
        """Return whether a node that is down should be probed again."""
        return self.is_down and now >= self._avoid_until

    def mark_up(self):
        """Record that the member's node was reached."""
        self.is_down = False
        self._probe_delay = MIN_PROBE_DELAY_SECONDS

    def compute_report_age_ms(self, now):
        """Return the age of the last report in milliseconds, or None without one."""
        if math.isinf(self._reported_at):
            return None
        return round((now - self._reported_at) * 1000)

    def estimate_utilization(self, now):
        """Return the requests at the member as a share of its limit."""
        age = max(now - self._reported_at, 0.0)
        others = self._other_requests * math.exp(-age / LOAD_DECAY_SECONDS)
        return (self.in_flight + others) / self._limit

    def estimate_cost(self, now):
        """Return the expected time to an answer plus a penalty for recent failures.

        A full server at its best speed costs 1.
        """
        age = max(now - self._reported_at, 0.0)
        decay = math.exp(-age / SPEED_DECAY_SECONDS)
        slowness = (
            EXPECTED_SLOWNESS_FACTOR
            + (self._slowness_factor - EXPECTED_SLOWNESS_FACTOR) * decay
        )
        failures = FAILURE_COST * self._estimate_failures(now)
        return slowness * self.estimate_utilization(now) + failures

    def estimate_home_demand(self, now):
        """Return the member's unmet home demand as a share of its limit, at most 1.

        Home demand counts requests that may run only in the member's region and that
        wait or were refused there lately.
        """
        age = max(now - self._reported_at, 0.0)
        share = min(self._home_demand / self._limit, 1.0)
        return share * math.exp(-age / HOME_DEMAND_DECAY_SECONDS)

    def _estimate_failures(self, now):
        age = max(now - self._failed_at, 0.0)
        return self._failures * math.exp(-age / FAILURE_DECAY_SECONDS)


class HostedServerChooser:
    """Chooses the MemberView with the lowest cost for a request."""

    def __init__(self, region, data_centre, rng=None):
        """Create a chooser for a node's location.

        Args:
            region: Name of the node's region.
            data_centre: Name of the node's data centre.
            rng: random.Random that breaks ties; a new one by default.
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
            was_refused: Whether one of them refused the request or failed; a slow one
                from whose queue the request was moved does not count.
        """
        best, lowest_cost = None, math.inf
        yields_to_home_demand = _may_run_in_any_region(route)
        for view in views:
            member = view.member
            if member.address in tried or not view.is_usable(now):
                continue
            if not route.may_run_in(member.region):
                continue
            distance = self._compute_distance_cost(member, route, was_refused)
            cost = view.estimate_cost(now) + distance
            if yields_to_home_demand:
                cost += HOME_DEMAND_COST * view.estimate_home_demand(now)
            cost += MAX_TIE_BREAK_COST * self._rng.random()
            if cost < lowest_cost:
                best, lowest_cost = view, cost
        return best

    def _compute_distance_cost(self, member, route, was_refused):
        if member.data_centre == self._data_centre:
            return 0.0
        if member.region == self._region:
            cost = OTHER_DATA_CENTRE_COST
        elif was_refused and not route.is_upload:
            cost = OTHER_REGION_RETRY_COST
        else:
            cost = OTHER_REGION_COST
        return cost * UPLOAD_COST_FACTOR if route.is_upload else cost


def _may_run_in_any_region(route):
    """Return whether requests of a route can be answered in time from any region."""
    return not route.regions and route.objective >= MIN_OTHER_REGION_OBJECTIVE_SECONDS

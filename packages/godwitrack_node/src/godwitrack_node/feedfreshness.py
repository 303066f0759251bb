"""How long reads of the store's tables may take, so that no change is missed for long.

Load pattern: operators' changes that must be in force everywhere within a bound, while
the node that others follow is cut off from the store, frozen or slow. Each node keeps
the bound by itself: it leaves a source that sends nothing while there is still time to
read the store.
"""

from godwitrack.feed import FeedTable

# Left of the bound for the last read of the store, and to put the change in force.
STORE_READ_SECONDS = 0.4
# Longest wait of a poll to another node, and the time for its answer to arrive.
MAX_PEER_WAIT_SECONDS = 1.0
PEER_MARGIN_SECONDS = 0.4
# Content that leaves no time for at least this wait is not worth a poll.
MIN_PEER_WAIT_SECONDS = 0.1
# Time for an answer of the store to arrive. Longer than for another node, as each node
# that follows this one falls back on the store if it fails.
STORE_MARGIN_SECONDS = 0.9
# Timeout of the store's answer once the content is too old already; in an outage of
# the store a shorter one would gain nothing.
OVERDUE_TIMEOUT_SECONDS = 1.5
# Half of a link of 30 Mbit/s between regions, which requests share.
NARROW_LINK_BYTES_PER_SECOND = 1.9e6
MAX_SPREAD_SECONDS = 1.0
# The fleet's rows only help to choose servers; each guard enforces the rules itself.
FLEET_AGE_SECONDS = 10.0
MAX_FLEET_WAIT_SECONDS = 6.0


class ReadTimes:
    """Times of one read.

    Attributes:
        wait: Seconds for which the source may wait for a first change.
        timeout: Seconds after which the read has failed if no answer began to arrive.
    """

    __slots__ = ("timeout", "wait")

    def __init__(self, wait, timeout):
        self.wait = wait
        self.timeout = timeout


class FreshnessRule:
    """Limits the age of one table's content.

    Attributes:
        max_age: Age in seconds at which a node reads the store at the latest.
    """

    def __init__(self, max_age, max_store_wait):
        """Create a rule.

        Args:
            max_age: As the attribute.
            max_store_wait: Longest wait of a read of the store, in seconds.
        """
        self.max_age = max_age
        self._max_store_wait = max_store_wait

    def compute_peer_times(self, age):
        """Return the ReadTimes of a poll to another node.

        Args:
            age: Seconds since the store confirmed the node's content, or None if it
                has none.
        """
        remaining = self._compute_remaining(age)
        wait = max(min(remaining - PEER_MARGIN_SECONDS, MAX_PEER_WAIT_SECONDS), 0.0)
        return ReadTimes(wait, wait + PEER_MARGIN_SECONDS)

    def compute_store_times(self, age):
        """Return the ReadTimes of a read of the store; `age` is as above."""
        remaining = self._compute_remaining(age)
        if remaining < STORE_MARGIN_SECONDS:
            return ReadTimes(0.0, OVERDUE_TIMEOUT_SECONDS)
        wait = min(remaining - STORE_MARGIN_SECONDS, self._max_store_wait)
        return ReadTimes(wait, min(remaining, wait + OVERDUE_TIMEOUT_SECONDS))

    def compute_spread(self, page_bytes, nodes):
        """Return the seconds over which reads of whole tables are spread.

        Args:
            page_bytes: Size of the table in bytes.
            nodes: Number of nodes that may read it at the same time.
        """
        seconds = nodes * page_bytes / NARROW_LINK_BYTES_PER_SECOND
        return min(seconds, MAX_SPREAD_SECONDS)

    def is_fresh(self, age):
        """Return whether content of an age in seconds leaves time for another poll."""
        return age <= self.max_age - PEER_MARGIN_SECONDS - MIN_PEER_WAIT_SECONDS

    def _compute_remaining(self, age):
        return self.max_age if age is None else max(self.max_age - age, 0.0)


def make_freshness_rules(apply_seconds):
    """Return the FreshnessRule of each FeedTable.

    Args:
        apply_seconds: Seconds within which operators' changes must be in force.
    """
    max_age = apply_seconds - STORE_READ_SECONDS
    return {
        FeedTable.OPERATORS: FreshnessRule(max_age, max_age),
        FeedTable.FLEET: FreshnessRule(FLEET_AGE_SECONDS, MAX_FLEET_WAIT_SECONDS),
    }

"""Retry-After times for refused callers.

Load pattern: an overload of a service that lasts for seconds. Callers that are refused
together must not retry together, and not before queues have emptied. A caller whose
objective has passed loses nothing by a retry after the likely end of the burst.
"""

import random

# A server's queue empties within about this time.
MIN_RETRY_SECONDS = 0.1
# Callers follow a Retry-After of at most a third of their remaining time.
MAX_REMAINING_SHARE = 0.3
MIN_SPREAD_SECONDS = 0.3


class RetryAfterChooser:
    """Chooses the Retry-After time of a refusal."""

    def __init__(self, rng=None):
        """Create a chooser.

        Args:
            rng: random.Random that spreads the times; a new one by default.
        """
        self._rng = rng or random.Random()

    def choose(self, remaining, spare):
        """Return the seconds after which a refused caller should retry.

        Args:
            remaining: Seconds for which the caller will still wait for an answer.
            spare: Seconds within which it has to retry to meet its objective.
        """
        longest = max(remaining * MAX_REMAINING_SHARE, 0.0)
        spread = MIN_SPREAD_SECONDS
        if spare < MIN_RETRY_SECONDS:
            spread = max(longest - MIN_RETRY_SECONDS, spread)
        wanted = MIN_RETRY_SECONDS + spread * self._rng.random()
        return min(wanted, longest)

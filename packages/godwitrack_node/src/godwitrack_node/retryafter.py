"""When a refused caller may come back.

Load pattern: more requests than a service has room for, for seconds. Callers that
are refused together must not return together, and not before there is room. One whose
objective is over loses nothing by coming back when the burst may be over.
"""

import random

# A queue at a server empties within about that time.
MIN_RETURN_SECONDS = 0.1
# Callers heed the time only up to a third of what they have left.
MAX_SHARE_OF_TIME_LEFT = 0.3
SPREAD_SECONDS = 0.3


class RetryAfterChooser:
    """Chooses the time that a refusal names."""

    def __init__(self, rng=None):
        """Take the source of the spread; random by default."""
        self._rng = rng or random.Random()

    def choose(self, left, spare):
        """Return the seconds after which a refused caller should come back.

        Args:
            left: Seconds that the caller will still wait for an answer.
            spare: Seconds until it has to come back for an answer within its objective.
        """
        most = max(left * MAX_SHARE_OF_TIME_LEFT, 0.0)
        spread = SPREAD_SECONDS
        if spare < MIN_RETURN_SECONDS:
            spread = max(most - MIN_RETURN_SECONDS, spread)
        wish = MIN_RETURN_SECONDS + spread * self._rng.random()
        return min(wish, most)

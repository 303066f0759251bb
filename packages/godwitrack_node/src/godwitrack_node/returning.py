"""When a refused caller may come back.

Load pattern: more requests than a service has room for, for seconds. Callers that
are refused together must not return together, and not before there is room.
"""

import random

# A queue at a server empties within about that time.
MIN_RETURN_SECONDS = 0.1
# Callers heed the time only up to a third of what they have left.
MAX_SHARE_OF_TIME_LEFT = 0.3
SPREAD_SECONDS = 0.3


class ReturnTimer:
    """Chooses the time that a refusal names."""

    def __init__(self, rng=None):
        """Take the source of the spread; random by default."""
        self._rng = rng or random.Random()

    def choose(self, left):
        """Return the seconds after which a refused caller should come back.

        Args:
            left: Seconds that the caller will still wait for an answer.
        """
        wish = MIN_RETURN_SECONDS + SPREAD_SECONDS * self._rng.random()
        return max(min(wish, left * MAX_SHARE_OF_TIME_LEFT), 0.0)

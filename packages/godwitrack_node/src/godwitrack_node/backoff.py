"""Pauses between retries of a failed operation.

Load pattern: a store that is unavailable to all nodes at once. The pauses grow with
each failed attempt and differ between nodes, so that nodes do not all retry at the same
time when the store recovers.
"""

FIRST_PAUSE_SECONDS = 0.1
# A recovery has to be noticed within two seconds.
MAX_PAUSE_SECONDS = 1.5


class Backoff:
    """Draws pauses that double up to a limit, with a random spread of half each way."""

    def __init__(self, rng):
        """Create a backoff that starts with the first pause.

        Args:
            rng: random.Random that spreads the pauses.
        """
        self._rng = rng
        self._seconds = FIRST_PAUSE_SECONDS

    def draw(self):
        """Return the seconds to wait before the next attempt."""
        seconds = self._seconds * (0.5 + self._rng.random())
        self._seconds = min(self._seconds * 2, MAX_PAUSE_SECONDS)
        return seconds

    def reset(self):
        """Start again with the first pause after a successful attempt."""
        self._seconds = FIRST_PAUSE_SECONDS

"""Pauses between tries of something that failed.

Load pattern: a store that is away for all nodes at once. Each try comes later than the
last one, and those of different nodes do not come together when it returns.
"""

FIRST_PAUSE_SECONDS = 0.1
# What comes back has to be known again within two seconds.
MAX_PAUSE_SECONDS = 1.5


class Backoff:
    """Draws pauses that double up to a limit and spread by half either way."""

    def __init__(self, rng):
        """Take the random.Random that spreads the pauses."""
        self._rng = rng
        self._seconds = FIRST_PAUSE_SECONDS

    def draw(self):
        """Return the seconds to wait before the next try."""
        seconds = self._seconds * (0.5 + self._rng.random())
        self._seconds = min(self._seconds * 2, MAX_PAUSE_SECONDS)
        return seconds

    def reset(self):
        """Begin anew, after a try that worked."""
        self._seconds = FIRST_PAUSE_SECONDS

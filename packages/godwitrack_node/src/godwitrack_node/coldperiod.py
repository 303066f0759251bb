"""The time for which the backend server is taken for cold.

Load pattern: a server that turns cold at any moment and fails under its usual rate,
while reports from before arrive late.
"""

# Added to the remaining warm-up time that a server states, which is out of date by the
# transit time of its message.
MARGIN_SECONDS = 0.2
# Applies while no routes are known that state the warm-up rate of the service.
DEFAULT_COLD_REQUESTS_PER_SECOND = 1.0


class ColdPeriod:
    """Believes at once that the server is cold; only a health answer ends that early.

    A health answer is never late, whereas a report may be from before the server
    turned cold.
    """

    def __init__(self, clock, tolerance):
        """Create a period that is over.

        Args:
            clock: Clock.
            tolerance: Rate that the server sustains when cold, as a multiple of the
                warm-up rate in the routes.
        """
        self._clock = clock
        self._tolerance = tolerance
        self._until = 0.0

    @property
    def is_over(self):
        """Whether the server is taken for warm."""
        return self._clock.read_monotonic() >= self._until

    def compute_rate(self, limits):
        """Return the cold server's rate in requests a second, or None if it is warm.

        Args:
            limits: Limits of its service, or None if they are not known.
        """
        if self.is_over:
            return None
        if limits is None:
            return DEFAULT_COLD_REQUESTS_PER_SECOND
        return limits.warmup_rate * self._tolerance

    def set(self, seconds):
        """Replace what is known by the seconds that a health answer states."""
        self._until = self._compute_end(seconds)

    def extend(self, seconds):
        """Take the server for cold for at least so many seconds, 0 for none."""
        self._until = max(self._until, self._compute_end(seconds))

    def _compute_end(self, seconds):
        if seconds <= 0:
            return 0.0
        return self._clock.read_monotonic() + seconds + MARGIN_SECONDS

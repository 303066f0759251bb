"""Choice of the service that serves a request of a split route.

Load pattern: steady requests on a route whose parts have fixed weights. Each part
gets its share within any few requests, even while another part is overloaded.
"""

import random
import threading

# Steps of the golden ratio cover the unit interval more evenly than random numbers.
GOLDEN_STEP = 0.6180339887498949


class SplitChooser:
    """Chooses parts in proportion to their weights."""

    def __init__(self, rng=None):
        """Create a chooser.

        Args:
            rng: random.Random for each route's first position; a new one by default.
        """
        self._rng = rng or random.Random()
        self._lock = threading.Lock()
        self._positions = {}

    def choose(self, route):
        """Return the name of the service that serves a route's next request.

        Args:
            route: HostRoute.
        """
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        total = sum(part.weight for part in parts)
        remaining = self._advance(route.name) * total
        for part in parts:
            remaining -= part.weight
            if remaining < 0:
                return part.service
        return parts[-1].service

    def _advance(self, name):
        with self._lock:
            position = self._positions.get(name)
            if position is None:
                position = self._rng.random()
            position = (position + GOLDEN_STEP) % 1.0
            self._positions[name] = position
            return position

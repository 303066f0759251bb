"""Which part of a split route a request goes to.

Load pattern: steady requests on a route whose parts have fixed weights. Each part
gets its share within any few requests, also while another part is short of room.
"""

import random
import threading

# Steps of the golden ratio fill the unit interval more evenly than any dice.
GOLDEN_STEP = 0.6180339887498949


class SplitChooser:
    """Chooses parts in proportion to their weights."""

    def __init__(self, rng=None):
        """Take the source of each route's first position; random by default."""
        self._rng = rng or random.Random()
        self._lock = threading.Lock()
        self._positions = {}

    def choose(self, route):
        """Return the name of the service that the next request of a route goes to.

        Args:
            route: HostRoute.
        """
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        total = sum(part.weight for part in parts)
        point = self._advance(route.name) * total
        for part in parts:
            point -= part.weight
            if point < 0:
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

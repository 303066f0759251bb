"""How many requests find no place here that may run in no other region.

Load pattern: a service with room in one region and none in another, where some of its
requests have to run. Those that may run anywhere take places there which only the
others need. Nodes tell this figure with their load, so that entries send elsewhere what
may go elsewhere (`hostedrouting`).
"""

import math

# A burst goes on for longer than one refusal tells of it.
HOME_DEMAND_FADE_SECONDS = 1.0


class HomeDemand:
    """Counts requests of home regions that were refused lately, fading with time."""

    def __init__(self):
        self._refused = 0.0
        self._noted_at = -math.inf

    def note_refused(self, request, now):
        """Count a request that was refused, if it may run in no other region.

        Args:
            request: HostedAdmissionRequest.
            now: Monotonic time in seconds.
        """
        if request.is_bound:
            self._refused = self._find_refused(now) + 1.0
            self._noted_at = now

    def count(self, queue, now):
        """Return the requests that wait or were refused lately, as a whole number.

        Args:
            queue: HostedAdmissionRequests that wait.
            now: Monotonic time in seconds.
        """
        waiting = sum(request.is_bound for request in queue)
        return round(waiting + self._find_refused(now))

    def _find_refused(self, now):
        return self._refused * math.exp(
            -(now - self._noted_at) / HOME_DEMAND_FADE_SECONDS
        )

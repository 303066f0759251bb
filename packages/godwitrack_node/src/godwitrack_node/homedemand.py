"""Home demand: requests that may run only in this region and were not served.

Load pattern: a service with spare capacity in one region and none in another, where
some of its requests have to run. Requests that may run in any region use slots of the
full region that the region-bound requests need. Nodes send this number with their load
report, so that entries send requests that may run elsewhere to other regions
(`hostedrouting`).
"""

import math

# Time constant of the decay. Refusals still count after they happened, since the burst
# that caused them goes on.
HOME_DEMAND_DECAY_SECONDS = 1.0


class HomeDemand:
    """Counts refused region-bound requests, with a weight that decays over time."""

    def __init__(self):
        self._refused = 0.0
        self._updated_at = -math.inf

    def record_refusal(self, request, now):
        """Count a refused request if it may run in no other region.

        Args:
            request: HostedAdmissionRequest.
            now: Monotonic time in seconds.
        """
        if request.is_region_bound:
            self._refused = self._estimate_refused(now) + 1.0
            self._updated_at = now

    def count(self, queue, now):
        """Return the region-bound requests that wait or were refused lately.

        Args:
            queue: Waiting HostedAdmissionRequests.
            now: Monotonic time in seconds.

        Returns:
            A rounded number, as the weight of refused requests decays.
        """
        waiting = sum(request.is_region_bound for request in queue)
        return round(waiting + self._estimate_refused(now))

    def _estimate_refused(self, now):
        return self._refused * math.exp(
            -(now - self._updated_at) / HOME_DEMAND_DECAY_SECONDS
        )

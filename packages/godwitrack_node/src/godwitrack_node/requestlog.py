"""The request log: one line for each sampled request, which serves as a trace."""

import random

from godwitrack.kernel import Service
from godwitrack.logs import get_logger


class RequestLog(Service):
    """Logs a sample of the requests; bodies, keys and queries are never logged."""

    name = "request-log"

    def __init__(self, clock, identity, sampled_share, rng=None):
        """Create a request log.

        Args:
            clock: Clock.
            identity: Identity of the node.
            sampled_share: Share of the requests to log, from 0.0 to 1.0.
            rng: random.Random that selects the sample.
        """
        self._clock = clock
        self._identity = identity
        self._sampled_share = sampled_share
        self._rng = rng or random.Random()
        self._log = get_logger("requests")

    def record(self, entry_request, request):
        """Log a finished request if it is in the sample."""
        if self._rng.random() >= self._sampled_share:
            return
        now = self._clock.read_monotonic()
        self._log.info(
            "request",
            at=round(self._clock.read_wall() - (now - entry_request.received_at), 6),
            request_id=entry_request.request_id,
            customer=entry_request.customer,
            request_class=entry_request.request_class,
            service=entry_request.service,
            method=entry_request.method,
            path=entry_request.path,
            bytes=max(request.length, 0),
            depth=entry_request.depth,
            status=entry_request.status,
            kind=entry_request.kind.value if entry_request.kind else None,
            server=entry_request.server,
            attempts=entry_request.attempts,
            seconds=round(now - entry_request.received_at, 6),
            data_centre=self._identity.data_centre,
        )

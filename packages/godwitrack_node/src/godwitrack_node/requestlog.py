"""The request log: one line for a share of the requests, which is also a trace."""

import random

from godwitrack.kernel import Service
from godwitrack.logs import find_logger


class RequestLog(Service):
    """Logs a share of the requests; bodies, keys and queries are never logged."""

    name = "request-log"

    def __init__(self, clock, identity, share, rng=None):
        self._clock = clock
        self._identity = identity
        self._share = share
        self._rng = rng or random.Random()
        self._log = find_logger("requests")

    def record(self, errand, request):
        """Log a request that ended, if it falls in the share."""
        if self._rng.random() >= self._share:
            return
        now = self._clock.read_monotonic()
        self._log.info(
            "request",
            at=round(self._clock.read_wall() - (now - errand.received_at), 6),
            request_id=errand.request_id,
            customer=errand.customer,
            request_class=errand.request_class,
            service=errand.service,
            method=errand.method,
            path=errand.path,
            bytes=max(request.length, 0),
            depth=errand.depth,
            status=errand.status,
            kind=errand.kind.value if errand.kind else None,
            server=errand.server,
            attempts=errand.attempts,
            seconds=round(now - errand.received_at, 6),
            data_centre=self._identity.data_centre,
        )

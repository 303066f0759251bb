"""The request log: one line for a share of the requests, which is also a trace."""

import random

from godwitrack.kernel import Service
from godwitrack.logs import get_logger


class RequestLog(Service):
    """Logs a share of the requests; bodies, keys and queries are never logged."""

    name = "request-log"

    def __init__(self, clock, identity, share, rng=None):
        self._clock = clock
        self._identity = identity
        self._share = share
        self._rng = rng or random.Random()
        self._log = get_logger("requests")

    def record(self, entry_request, request):
        """Log a request that ended, if it falls in the share."""
        if self._rng.random() >= self._share:
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

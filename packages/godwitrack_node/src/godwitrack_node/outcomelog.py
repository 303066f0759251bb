"""One line for each request of a hosted node: what decided it and how it ended."""

from godwitrack.kernel import Service
from godwitrack.logs import find_logger

GOOD_STATUSES = range(200, 300)


class OutcomeLog(Service):
    """Logs the end of each request; bodies, keys and queries are never logged."""

    name = "request-log"

    def __init__(self, clock):
        self._clock = clock
        self._log = find_logger("requests")

    def record(self, errand, request):
        """Log a request that ended."""
        now = self._clock.read_monotonic()
        self._log.info(
            "request ended",
            request_id=errand.request_id,
            route=errand.request_class,
            revision=errand.revision,
            method=errand.method,
            path=errand.path,
            service=errand.service,
            nested=errand.is_nested,
            server=errand.server,
            load_age_ms=errand.load_age_ms,
            attempts=errand.attempts,
            status=errand.status,
            kind=errand.kind.value if errand.kind is not None else None,
            caller_waited_ms=round(errand.waited * 1000),
            ms=round((now - errand.received_at) * 1000, 1),
            allowed_ms=round((errand.deadline - errand.received_at) * 1000),
            bytes=max(request.length, 0),
            routine=errand.status in GOOD_STATUSES,
        )

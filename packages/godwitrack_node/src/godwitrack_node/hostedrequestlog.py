"""The request log of a hosted node: one line for each request and its result."""

from godwitrack.kernel import Service
from godwitrack.logs import get_logger

SUCCESS_STATUSES = range(200, 300)


class HostedRequestLog(Service):
    """Logs the end of each request; bodies, keys and queries are never logged."""

    name = "request-log"

    def __init__(self, clock):
        self._clock = clock
        self._log = get_logger("requests")

    def record(self, entry_request, request):
        """Log a finished request."""
        now = self._clock.read_monotonic()
        self._log.info(
            "request ended",
            request_id=entry_request.request_id,
            route=entry_request.request_class,
            revision=entry_request.revision,
            method=entry_request.method,
            path=entry_request.path,
            service=entry_request.service,
            nested=entry_request.is_nested,
            server=entry_request.server,
            load_age_ms=entry_request.load_age_ms,
            attempts=entry_request.attempts,
            status=entry_request.status,
            kind=entry_request.kind.value if entry_request.kind is not None else None,
            caller_waited_ms=round(entry_request.prior_wait * 1000),
            ms=round((now - entry_request.received_at) * 1000, 1),
            allowed_ms=round(
                (entry_request.deadline - entry_request.received_at) * 1000
            ),
            bytes=max(request.length, 0),
            routine=entry_request.status in SUCCESS_STATUSES,
        )

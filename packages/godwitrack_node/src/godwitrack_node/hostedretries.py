"""Whether a request is tried once more.

Load pattern: backend servers that refuse, fail or lose answers while others work.
A refusal costs nothing and is tried elsewhere a few times; what may have run is
repeated only where that is allowed, and only out of this node's share of retries.
"""

from godwitrack.exceptions import ErrorKind
from godwitrack_node.hostedretrybudget import RUN_COST

# Each move costs a message, and slow moments last for some 100 ms.
MAX_MOVES = 2
# A service that refuses three times in a row has no room; each try costs a message.
MAX_REFUSALS = 3
REPEATABLE_KINDS = frozenset(
    (
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.ANSWER_LOST,
        ErrorKind.BACKEND_FAILED,
        ErrorKind.SERVER_SHED,
    )
)
REPEATABLE_STATUSES = frozenset((500, 502, 503))


class HostedRetryRule:
    """Decides about the attempts of one request.

    Attributes:
        sent: Attempts that may have reached a backend server.
        refused: Attempts that were refused before that for want of room.
        moved: Attempts that left a server which was slow at the moment.
    """

    __slots__ = ("_route", "_service", "_share", "moved", "refused", "sent")

    def __init__(self, share, service, route):
        """Take the node's HostedRetryBudget, the service and the HostRoute."""
        self._share = share
        self._service = service
        self._route = route
        self.sent = 0
        self.refused = 0
        self.moved = 0

    @property
    def attempts(self):
        """Attempts made."""
        return self.sent + self.refused + self.moved

    @property
    def was_refused(self):
        """Whether a server refused it for want of room, or failed."""
        return self.sent + self.refused > 0

    @property
    def may_move(self):
        """Whether the next attempt may leave a server which is slow at the moment."""
        return self.moved < MAX_MOVES and not self.was_refused

    def may_replace(self, status):
        """Tell whether an answer with this status could make way for another one."""
        return (
            status in REPEATABLE_STATUSES
            and self._route.idempotent
            and self.sent < self._route.max_attempts
        )

    def record_error(self, error):
        """Count an attempt that ended with a RequestError."""
        if error.kind is ErrorKind.SERVER_SLOW:
            self.moved += 1
        elif is_refusal(error):
            self.refused += 1
        else:
            self.sent += 1

    def could_retry(self):
        """Tell whether a retry could follow if the attempt on its way got no answer."""
        return (
            self._route.idempotent
            and self.sent + 1 < self._route.max_attempts
            and self._share.has(self._service, RUN_COST)
        )

    def allows(self, error):
        """Tell whether a further attempt may follow, and take a retry if it needs one.

        Args:
            error: RequestError that ended the last attempt.
        """
        if self.sent >= self._route.max_attempts:
            return False
        if error.kind is ErrorKind.SERVER_SLOW:
            return True
        if is_refusal(error):
            return error.answer.retryable and self.refused < MAX_REFUSALS
        if not error.answer.not_run and not self._route.idempotent:
            return False
        if error.kind not in REPEATABLE_KINDS:
            return False
        cost = 1.0 if error.answer.not_run else RUN_COST
        return self._share.withdraw(self._service, cost)


def is_refusal(error):
    """Tell whether an attempt ended before it reached the backend server."""
    return error.answer.not_run and error.kind is not ErrorKind.SERVER_SHED

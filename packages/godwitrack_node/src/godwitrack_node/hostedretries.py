"""Whether a failed attempt of a request is followed by another one.

Load pattern: backend servers that refuse, fail or lose answers while others work.
A refused attempt did not run, so the request may be sent to a few other servers without
a charge to the retry budget. An attempt that may have run is repeated only if the route
is idempotent, and only within the node's retry budget.
"""

from godwitrack.exceptions import ErrorKind
from godwitrack_node.hostedretrybudget import RERUN_COST

# Each move costs a message, and slow phases of a VM last for about 100 ms.
MAX_MOVES = 2
# A service that refuses three times in a row is overloaded, and each attempt costs a
# message.
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
    """Counts the attempts of one request and decides whether another one may follow.

    Attributes:
        sent: Attempts that may have reached a backend server.
        refused: Attempts that were refused before they reached a backend server.
        moved: Attempts that left the queue of a server in a slow phase.
    """

    __slots__ = ("_budget", "_route", "_service", "moved", "refused", "sent")

    def __init__(self, budget, service, route):
        """Create a rule without attempts.

        Args:
            budget: HostedRetryBudget of the node.
            service: Name of the service.
            route: HostRoute of the request.
        """
        self._budget = budget
        self._service = service
        self._route = route
        self.sent = 0
        self.refused = 0
        self.moved = 0

    @property
    def attempts(self):
        """Number of attempts made."""
        return self.sent + self.refused + self.moved

    @property
    def was_refused(self):
        """Whether an attempt was refused or failed, moves not counted."""
        return self.sent + self.refused > 0

    @property
    def may_move(self):
        """Whether the next attempt may leave a server that is in a slow phase."""
        return self.moved < MAX_MOVES and not self.was_refused

    def may_replace(self, status):
        """Return whether a retry may replace an answer with this HTTP status."""
        return (
            status in REPEATABLE_STATUSES
            and self._route.idempotent
            and self.sent < self._route.max_attempts
        )

    def record_error(self, error):
        """Record an attempt that ended with a RequestError."""
        if error.kind is ErrorKind.SERVER_SLOW:
            self.moved += 1
        elif is_refusal(error):
            self.refused += 1
        else:
            self.sent += 1

    def could_retry(self):
        """Return whether a retry could follow if the present attempt got no answer."""
        return (
            self._route.idempotent
            and self.sent + 1 < self._route.max_attempts
            and self._budget.can_afford(self._service, RERUN_COST)
        )

    def allows(self, error):
        """Return whether another attempt may follow; charges the budget for a retry.

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
        cost = 1.0 if error.answer.not_run else RERUN_COST
        return self._budget.withdraw(self._service, cost)


def is_refusal(error):
    """Return whether an attempt ended before it reached the backend server."""
    return error.answer.not_run and error.kind is not ErrorKind.SERVER_SHED

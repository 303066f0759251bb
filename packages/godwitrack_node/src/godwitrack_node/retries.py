"""Whether a request is tried once more, out of a budget of retries.

Load pattern: servers that fail or can't be reached while others work, or while there
is no other one. Retries may only be a share of the requests that went well.
"""

import threading

from godwitrack.exceptions import ErrorKind

MAX_ATTEMPTS = 4
# A node that starts again, or a full queue of new connections, needs a moment.
RECONNECT_PAUSE_SECONDS = 0.05
REPEATABLE_KINDS = frozenset(
    (ErrorKind.OUTCOME_UNKNOWN, ErrorKind.ANSWER_LOST, ErrorKind.BACKEND_FAILED)
)
REPEATABLE_STATUSES = frozenset((502, 503, 504))

# Retries that each answered request pays for.
DEPOSIT = 0.2
# Retries that a node has when it starts, and the most that it can save.
RESERVE = 10.0
LIMIT = 100.0


class RetryBudget:
    """Counts what may be spent on retries.

    Each first attempt that is answered adds DEPOSIT; each retry takes one. With
    every server down nothing is added, so that retries end after RESERVE.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._balance = RESERVE

    @property
    def balance(self):
        """Retries that may be made now."""
        return self._balance

    def deposit(self):
        """Count a request that was answered."""
        with self._lock:
            self._balance = min(self._balance + DEPOSIT, LIMIT)

    def withdraw(self):
        """Take one retry; returns whether there was one."""
        with self._lock:
            if self._balance < 1.0:
                return False
            self._balance -= 1.0
            return True


class RetryRule:
    """Decides whether one request may be tried once more.

    Attributes:
        idempotent: Whether the request may run more than once.
        retries_left: Times that it may still run again.
        attempts: Attempts made.
    """

    __slots__ = (
        "_budget",
        "_has_started_over",
        "attempts",
        "idempotent",
        "retries_left",
    )

    def __init__(self, budget, idempotent, retries_left):
        self._budget = budget
        self.idempotent = idempotent
        self.retries_left = retries_left
        self.attempts = 0
        self._has_started_over = False

    def may_retry(self, status):
        """Tell whether an answer with this status could make way for another one.

        Args:
            status: HTTP status that the backend server gave.
        """
        return (
            self.idempotent
            and self.retries_left > 0
            and (status in REPEATABLE_STATUSES)
        )

    def allows_again(self, refusal):
        """Tell whether servers that were tried may be tried again, and count it if so.

        Once a request, where no other server is left: a connection that can't be
        opened says little of the server, and the request was not sent.

        Args:
            refusal: RequestError that ended the last attempt, or None.
        """
        if refusal is None or refusal.kind is not ErrorKind.BACKEND_UNREACHABLE:
            return False
        if self._has_started_over or self.attempts >= MAX_ATTEMPTS:
            return False
        self._has_started_over = self._budget.withdraw()
        return self._has_started_over

    def allows(self, error):
        """Tell whether a further attempt may follow, and count it if so.

        Args:
            error: RequestError that ended the last attempt.
        """
        if error.kind is ErrorKind.NO_SERVER or self.attempts >= MAX_ATTEMPTS:
            return False
        if error.kind is ErrorKind.OVER_CAPACITY:
            # Not a sign of overload: another server may have some of the plan left.
            return True
        if error.answer.retryable:
            return self._budget.withdraw()
        if not self.idempotent or error.kind not in REPEATABLE_KINDS:
            return False
        if self.retries_left <= 0 or not self._budget.withdraw():
            return False
        self.retries_left -= 1
        return True

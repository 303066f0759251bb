"""Retries of requests, limited by a retry budget.

Load pattern: servers fail or can't be reached while others work, or while there is no
other server. Retries are limited to a share of the requests that were answered
at their first attempt.
"""

import threading

from godwitrack.exceptions import ErrorKind

MAX_ATTEMPTS = 4
# Pause before the same servers are tried again: a node that restarts, or whose queue of
# new connections is full, needs a moment before it can be reached.
RECONNECT_PAUSE_SECONDS = 0.05
# After these errors the request may have run, so only an idempotent one is retried.
REPEATABLE_KINDS = frozenset(
    (ErrorKind.OUTCOME_UNKNOWN, ErrorKind.ANSWER_LOST, ErrorKind.BACKEND_FAILED)
)
# Statuses of answers that a further attempt may replace, if the request is idempotent.
REPEATABLE_STATUSES = frozenset((502, 503, 504))

# Retries added to the budget by each request that is answered at its first attempt.
DEPOSIT_PER_ANSWER = 0.2
# Retries available when a node starts, and the most that can be saved up.
INITIAL_BALANCE = 10.0
MAX_BALANCE = 100.0


class RetryBudget:
    """Counts the retries that may still be made.

    Each request that is answered at its first attempt adds DEPOSIT_PER_ANSWER; each
    retry takes one. With every server down nothing is added, so that retries end after
    INITIAL_BALANCE, or after what was saved up.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._balance = INITIAL_BALANCE

    @property
    def balance(self):
        """Number of retries that may be made now."""
        return self._balance

    def deposit(self):
        """Add DEPOSIT_PER_ANSWER for a request answered at its first attempt."""
        with self._lock:
            self._balance = min(self._balance + DEPOSIT_PER_ANSWER, MAX_BALANCE)

    def withdraw(self):
        """Take one retry if there is one; return whether there was."""
        with self._lock:
            if self._balance < 1.0:
                return False
            self._balance -= 1.0
            return True


class RetryRule:
    """Decides whether a further attempt may be made for one request.

    Attributes:
        idempotent: Whether the request may run more than once.
        retries_left: Number of times that it may still be run again.
        attempts: Number of attempts made.
    """

    __slots__ = (
        "_budget",
        "_has_restarted",
        "attempts",
        "idempotent",
        "retries_left",
    )

    def __init__(self, budget, idempotent, retries_left):
        self._budget = budget
        self.idempotent = idempotent
        self.retries_left = retries_left
        self.attempts = 0
        self._has_restarted = False

    def may_replace(self, status):
        """Return whether a further attempt may replace an answer with this status.

        Args:
            status: HTTP status of the backend server's answer.
        """
        return (
            self.idempotent
            and self.retries_left > 0
            and (status in REPEATABLE_STATUSES)
        )

    def allows_restart(self, refusal):
        """Return whether servers already tried may be tried again; if so, take a retry.

        Allowed once per request, when no other server is left and the last one could
        not be reached: a connection that can't be opened says little about the server,
        and the request was not sent.

        Args:
            refusal: RequestError that ended the last attempt, or None.
        """
        if refusal is None or refusal.kind is not ErrorKind.BACKEND_UNREACHABLE:
            return False
        if self._has_restarted or self.attempts >= MAX_ATTEMPTS:
            return False
        self._has_restarted = self._budget.withdraw()
        return self._has_restarted

    def allows(self, error):
        """Return whether a further attempt may be made; if so, take a retry if needed.

        Args:
            error: RequestError that ended the last attempt.
        """
        if error.kind is ErrorKind.NO_SERVER or self.attempts >= MAX_ATTEMPTS:
            return False
        if error.kind is ErrorKind.OVER_CAPACITY:
            # This is no sign of overload, so it takes no retry: the customer's part of
            # the plan may not be used up at another server.
            return True
        if error.answer.retryable:
            return self._budget.withdraw()
        if not self.idempotent or error.kind not in REPEATABLE_KINDS:
            return False
        if self.retries_left <= 0 or not self._budget.withdraw():
            return False
        self.retries_left -= 1
        return True

"""The retry budget: retries may only be a share of the requests that went well."""

import threading

DEPOSIT = 0.2
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

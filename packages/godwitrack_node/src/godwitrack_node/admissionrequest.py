"""Admission requests: requests that ask to run, and what their customers use."""

import math
import threading

AVERAGE_SECONDS = 0.5


class AdmissionRequest:
    """One request that asks to run.

    Attributes:
        customer: Name of the customer.
        weight: Share that the customer buys; its plan's requests a second.
        rate: This server's part of that, in requests a second.
        rank: Rank of the request's class, 0 for the most urgent.
        deadline: Monotonic time in seconds after which it must not start.
        kind: Hashable that groups requests of like duration, or None for one whose
            duration is its caller's, who still sends the body.
        depth: Position in the chain of calls.
        wait_until: Monotonic time in seconds at which it stops waiting.
        granted_at: Monotonic time at which it was let through, or None.
        answered_at: Monotonic time at which its answer began, or None.
        refusal: RequestError if it was refused, or None.
    """

    __slots__ = (
        "_decided",
        "_nested_calls",
        "_nested_seconds",
        "_nested_since",
        "answered_at",
        "customer",
        "deadline",
        "depth",
        "granted_at",
        "kind",
        "on_decision",
        "rank",
        "rate",
        "refusal",
        "wait_until",
        "weight",
    )

    def __init__(
        self,
        customer,
        weight,
        rank,
        deadline,
        kind="",
        on_decision=None,
        depth=1,
        rate=None,
    ):
        """Take the attributes and a function called once the request is decided.

        Args:
            customer: Name of the customer.
            weight: Share that the customer buys.
            rank: Rank of the request's class.
            deadline: Monotonic time in seconds.
            kind: Hashable that groups requests of like duration.
            on_decision: Called with the request when it is granted or refused
                after having waited; None lets `wait` be used.
            depth: Position in the chain of calls.
            rate: This server's part of the weight; all of it by default.
        """
        self.customer = customer
        self.weight = weight
        self.rate = weight if rate is None else rate
        self.rank = rank
        self.deadline = deadline
        self.kind = kind
        self.granted_at = None
        self.answered_at = None
        self.refusal = None
        self.wait_until = deadline
        self.depth = depth
        self._decided = None
        self._nested_calls = 0
        self._nested_seconds = 0.0
        self._nested_since = 0.0
        self.on_decision = on_decision

    @property
    def is_decided(self):
        """Whether the request was granted or refused."""
        return self.granted_at is not None or self.refusal is not None

    def begin_nested(self, now):
        """Note that the request made a call to another service."""
        if self._nested_calls == 0:
            self._nested_since = now
        self._nested_calls += 1

    def end_nested(self, now):
        """Note that such a call is answered."""
        self._nested_calls -= 1
        if self._nested_calls == 0:
            self._nested_seconds += now - self._nested_since

    def find_own_seconds(self, now):
        """Return the seconds that its own backend server took until the answer began.

        The time in which it waited for other services is left out, as is that in
        which its caller read the answer.
        """
        nested = self._nested_seconds
        if self._nested_calls:
            nested += now - self._nested_since
        end = now if self.answered_at is None else self.answered_at
        return max(end - self.granted_at - nested, 0.0)

    def prepare_wait(self):
        """Make the request ready to be waited for."""
        if self.on_decision is None:
            self._decided = threading.Event()

    def wait(self, timeout):
        """Wait until the request is decided or some seconds have passed."""
        self._decided.wait(timeout)

    def decide(self):
        """Tell whoever waits that the request is decided."""
        if self.on_decision is not None:
            self.on_decision(self)
        elif self._decided is not None:
            self._decided.set()


class CustomerUse:
    """What one customer uses of the backend server.

    Attributes:
        in_flight: Requests running.
        weight: Share that the customer buys.
        last_seen: Monotonic time of its newest request, in seconds.
        tokens: Requests that it may still start at once under its plan.
        filled_at: Monotonic time at which the tokens were counted, in seconds.
    """

    __slots__ = (
        "_average",
        "_noted_at",
        "filled_at",
        "in_flight",
        "last_seen",
        "tokens",
        "weight",
    )

    def __init__(self, weight, tokens, now):
        self.in_flight = 0
        self.weight = weight
        self.last_seen = now
        self.tokens = tokens
        self.filled_at = now
        self._average = 0.0
        self._noted_at = now

    def change(self, count, now):
        """Add to the requests running, and to the average as far as time has passed.

        Args:
            count: 1 or -1.
            now: Monotonic time in seconds.
        """
        self._average = self.find_average(now)
        self._noted_at = now
        self.in_flight += count

    def find_average(self, now):
        """Return the slots in use, averaged over about AVERAGE_SECONDS."""
        weight = 1.0 - math.exp(-(now - self._noted_at) / AVERAGE_SECONDS)
        return self._average + weight * (self.in_flight - self._average)

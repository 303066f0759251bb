"""Requests for admission, and the usage of the backend server by each customer."""

import math
import threading

# Time constant of the moving average of the slots that a customer uses.
AVERAGE_SECONDS = 0.5


class AdmissionRequest:
    """A request that asks for admission to the backend server.

    Attributes:
        customer: Name of the customer.
        weight: Weight of the customer's share: its plan's requests a second.
        rate: Part of the weight that this server grants, in requests a second.
        rank: Rank of the request's class, 0 for the most urgent.
        deadline: Monotonic time in seconds after which it must not start.
        kind: Hashable that groups requests of similar duration, or None if the
            duration depends on the caller, who is still sending the body.
        depth: Position in the chain of nested calls; 1 is the outermost.
        wait_until: Monotonic time in seconds at which it stops waiting.
        granted_at: Monotonic time in seconds at which it was granted, or None.
        answered_at: Monotonic time in seconds at which its answer began, or None.
        refusal: RequestError if it was refused, or None.
        on_decision: Function called with the request when it is granted or refused
            after waiting, or None.
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
        """Create an undecided request.

        Args:
            customer: Name of the customer.
            weight: Weight of the customer's share, in requests a second.
            rank: Rank of the request's class, 0 for the most urgent.
            deadline: Monotonic time in seconds after which it must not start.
            kind: Hashable that groups requests of similar duration, or None.
            on_decision: Function called with the request when it is granted or
                refused after waiting; if None, use `wait` instead.
            depth: Position in the chain of nested calls.
            rate: Part of the weight that this server grants; all of it by default.
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
        """Record that the request called another service.

        Args:
            now: Monotonic time in seconds.
        """
        if self._nested_calls == 0:
            self._nested_since = now
        self._nested_calls += 1

    def end_nested(self, now):
        """Record that a call to another service was answered.

        Args:
            now: Monotonic time in seconds.
        """
        self._nested_calls -= 1
        if self._nested_calls == 0:
            self._nested_seconds += now - self._nested_since

    def compute_server_seconds(self, now):
        """Return the seconds that the backend server itself took to answer.

        This excludes the time spent waiting for other services and, once the answer
        has begun, the time that the caller takes to read it.
        """
        nested = self._nested_seconds
        if self._nested_calls:
            nested += now - self._nested_since
        end = now if self.answered_at is None else self.answered_at
        return max(end - self.granted_at - nested, 0.0)

    def prepare_wait(self):
        """Prepare for `wait`, unless `on_decision` is used instead."""
        if self.on_decision is None:
            self._decided = threading.Event()

    def wait(self, timeout):
        """Block until the request is decided or `timeout` seconds have passed."""
        self._decided.wait(timeout)

    def notify_decision(self):
        """Call `on_decision`, or wake the thread in `wait`."""
        if self.on_decision is not None:
            self.on_decision(self)
        elif self._decided is not None:
            self._decided.set()


class CustomerUsage:
    """The slots of the backend server that one customer uses, and its rate limit.

    Attributes:
        in_flight: Requests that run now.
        weight: Weight of the customer's share, in requests a second.
        last_seen: Monotonic time of its newest request, in seconds.
        tokens: Requests that the rate limit of its plan still allows at once.
        refilled_at: Monotonic time at which the tokens were refilled, in seconds.
    """

    __slots__ = (
        "_average",
        "_averaged_at",
        "in_flight",
        "last_seen",
        "refilled_at",
        "tokens",
        "weight",
    )

    def __init__(self, weight, tokens, now):
        self.in_flight = 0
        self.weight = weight
        self.last_seen = now
        self.tokens = tokens
        self.refilled_at = now
        self._average = 0.0
        self._averaged_at = now

    def update_in_flight(self, count, now):
        """Update the moving average up to now, then the number of running requests.

        Args:
            count: 1 for a request that starts, -1 for one that ended.
            now: Monotonic time in seconds.
        """
        self._average = self.compute_average(now)
        self._averaged_at = now
        self.in_flight += count

    def compute_average(self, now):
        """Return the moving average of the slots in use.

        Args:
            now: Monotonic time in seconds.
        """
        weight = 1.0 - math.exp(-(now - self._averaged_at) / AVERAGE_SECONDS)
        return self._average + weight * (self.in_flight - self._average)

"""How long a caller has already been waiting when its retry arrives.

Load pattern: a burst in which retries of refused callers arrive among first requests. A
retry has a new request id and the same timeout as before, but it is the same request
from the same host. Its answer is late if the objective passed before the retry arrived.
"""

import collections
import threading

# Limits the memory used in a long burst; an evicted caller is treated as a new one.
MAX_CALLERS = 5_000


class CallerKey:
    """Values by which a caller's retry is recognized.

    Attributes:
        remote: IP address of the caller.
        method: HTTP method.
        host: Host that the request is for.
        target: Path and query.
    """

    __slots__ = ("host", "method", "remote", "target")

    def __init__(self, remote, method, host, target):
        self.remote = remote
        self.method = method
        self.host = host
        self.target = target

    def __eq__(self, other):
        return self._values() == other._values()

    def __hash__(self):
        return hash(self._values())

    def _values(self):
        return (self.remote, self.method, self.host, self.target)


class RefusedCallers:
    """Remembers refused or failed callers until their timeouts expire.

    Callers behind one address that send equal requests can be mistaken for each other.
    That affects only the order in which their requests wait.
    """

    def __init__(self, clock):
        """Create an empty collection that reads the time from a Clock."""
        self._clock = clock
        self._lock = threading.Lock()
        self._callers = collections.OrderedDict()

    def record(self, key, since, until):
        """Record a caller that may retry after a refusal, a failure or no answer.

        Args:
            key: CallerKey.
            since: Monotonic time of its first attempt in seconds.
            until: Monotonic time until which it waits for an answer, in seconds.
        """
        with self._lock:
            self._callers.pop(key, None)
            if len(self._callers) >= MAX_CALLERS:
                self._callers.popitem(last=False)
            self._callers[key] = (since, until)

    def pop_waited_seconds(self, key):
        """Return the seconds since a caller's first attempt, and forget the caller.

        Args:
            key: CallerKey of an arriving request.

        Returns:
            Seconds; 0 if the request is not a retry of a remembered caller.
        """
        now = self._clock.read_monotonic()
        with self._lock:
            since, until = self._callers.pop(key, (now, now))
        return now - since if now < until else 0.0

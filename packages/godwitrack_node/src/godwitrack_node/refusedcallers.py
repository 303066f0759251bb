"""For how long a caller has been waiting already when its request arrives.

Load pattern: a burst in which refused callers come back among those that come for the
first time. A request that comes back has a new id and names as much time as before, but
is the same request from the same host; an answer to it is late where the objective was
over before it came.
"""

import collections
import threading

# Bounds the memory in a long burst; a caller that is forgotten is taken for a new one.
MAX_CALLERS = 5_000


class CallerKey:
    """What a caller sends alike when it comes back.

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
    """Remembers callers that were refused, or failed, until their time is over.

    Callers behind one address that ask for the same may be taken for each other. That
    changes only the order in which their requests wait.
    """

    def __init__(self, clock):
        """Prepare without any caller."""
        self._clock = clock
        self._lock = threading.Lock()
        self._callers = collections.OrderedDict()

    def record(self, key, since, until):
        """Note that a caller got no answer and may come back.

        Args:
            key: CallerKey.
            since: Monotonic time of its first try in seconds.
            until: Monotonic time until which it waits for an answer, in seconds.
        """
        with self._lock:
            self._callers.pop(key, None)
            if len(self._callers) >= MAX_CALLERS:
                self._callers.popitem(last=False)
            self._callers[key] = (since, until)

    def find_waited(self, key):
        """Return the seconds since a caller's first try, and forget the caller.

        Args:
            key: CallerKey of a request that arrives.

        Returns:
            Seconds; 0 for a caller that is not known to come back.
        """
        now = self._clock.read_monotonic()
        with self._lock:
            since, until = self._callers.pop(key, (now, now))
        return now - since if now < until else 0.0

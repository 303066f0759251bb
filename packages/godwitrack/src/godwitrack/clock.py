"""Sources of time, which tests replace to set the time themselves."""

import abc
import time


class Clock(abc.ABC):
    """A source of monotonic and wall-clock time."""

    @abc.abstractmethod
    def read_monotonic(self):
        """Return seconds since an arbitrary start; the value never decreases."""

    @abc.abstractmethod
    def read_wall(self):
        """Return seconds since the Unix epoch."""

    @abc.abstractmethod
    def sleep(self, seconds):
        """Block the calling thread for a number of seconds."""


class SystemClock(Clock):
    """The operating system's clock."""

    def read_monotonic(self):
        """Return the time since boot in seconds, including time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_wall(self):
        """Return seconds since the Unix epoch."""
        return time.time()

    def sleep(self, seconds):
        """Block the calling thread for a number of seconds."""
        time.sleep(seconds)


class ManualClock(Clock):
    """A clock for tests, whose time changes only when it is advanced.

    Attributes:
        now: Current time in seconds, both monotonic and wall-clock.
    """

    def __init__(self, now=1000.0):
        self.now = now

    def read_monotonic(self):
        """Return the current time of this clock in seconds."""
        return self.now

    def read_wall(self):
        """Return the current time of this clock in seconds."""
        return self.now

    def sleep(self, seconds):
        """Advance the time instead of waiting."""
        self.advance(seconds)

    def advance(self, seconds):
        """Advance the time by a number of seconds."""
        self.now += seconds

"""Sources of time, so that tests can set the time themselves."""

import abc
import time


class Clock(abc.ABC):
    """A source of monotonic and wall-clock time."""

    @abc.abstractmethod
    def read_monotonic(self):
        """Return seconds since an arbitrary start, never running backward."""

    @abc.abstractmethod
    def read_wall(self):
        """Return seconds since the Unix epoch."""

    @abc.abstractmethod
    def sleep(self, seconds):
        """Wait for a number of seconds."""


class SystemClock(Clock):
    """The clock of the machine."""

    def read_monotonic(self):
        """Return the machine's time since boot in seconds, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_wall(self):
        """Return the machine's wall-clock time in seconds."""
        return time.time()

    def sleep(self, seconds):
        """Let the thread sleep."""
        time.sleep(seconds)


class ManualClock(Clock):
    """A clock that moves only when told to.

    Attributes:
        now: Current time in seconds, for both kinds of time.
    """

    def __init__(self, now=1000.0):
        self.now = now

    def read_monotonic(self):
        """Return the set time in seconds."""
        return self.now

    def read_wall(self):
        """Return the set time in seconds."""
        return self.now

    def sleep(self, seconds):
        """Move the time forward instead of waiting."""
        self.advance(seconds)

    def advance(self, seconds):
        """Move the time forward by a number of seconds."""
        self.now += seconds

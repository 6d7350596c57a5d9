"""Time sources: the monotonic clock for waits and leases, Unix time for records."""

import abc
import time

__all__ = ["BootClock", "Clock", "SystemClock"]


class Clock(abc.ABC):
    """A monotonic and a Unix clock, both in seconds.

    Decisions that affect safety must use the monotonic clock only.
    """

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds since an arbitrary start, which never decrease."""

    @abc.abstractmethod
    def unix(self) -> float:
        """Return seconds since 1970, which an administrator may set back."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Return the operating system's monotonic clock."""
        return time.monotonic()

    def unix(self) -> float:
        """Return the operating system's Unix time."""
        return time.time()


class BootClock(SystemClock):
    """A monotonic clock that continues while the machine is suspended.

    Freshness checks and leases must include the time of a suspension, which the
    ordinary monotonic clock leaves out.
    """

    def monotonic(self) -> float:
        """Return seconds since boot, including the time of suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

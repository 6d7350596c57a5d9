"""Sources of time: the monotonic clock for waits and leases, Unix time for records."""

import abc
import time

__all__ = ["BootClock", "Clock", "SystemClock"]


class Clock(abc.ABC):
    """Two readings in seconds; only the monotonic one may decide a safety question."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never go back, from an arbitrary start."""

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
    """A monotonic clock that goes on while the machine is suspended.

    Freshness and leases must count the seconds of a suspension, which the ordinary
    monotonic clock leaves out.
    """

    def monotonic(self) -> float:
        """Return seconds since the machine was started, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

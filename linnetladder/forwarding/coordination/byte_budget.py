"""Limit on the bytes that a daemon sends in a time, by a token bucket."""

__all__ = ["ByteBudget"]

# Unused budget is kept for this long, which is one regular round and a triggered one.
BURST_SECONDS = 0.5


class ByteBudget:
    """A token bucket of bytes.

    ``bytes_per_second`` is the rate at which it refills. Times are in seconds of any
    clock that does not go back.
    """

    def __init__(self, *, bytes_per_second: float):
        self.bytes_per_second = bytes_per_second
        self.capacity = bytes_per_second * BURST_SECONDS
        self.available = self.capacity
        self.updated: float | None = None

    def refill(self, now: float) -> None:
        """Add the bytes that became available until ``now``."""
        if self.updated is not None:
            elapsed = max(now - self.updated, 0.0)
            self.available = min(
                self.available + elapsed * self.bytes_per_second, self.capacity
            )
        self.updated = now

    def spend(self, size: int, *, reserve: float = 0.0) -> bool:
        """Take bytes and return true, unless fewer than ``reserve`` would be left."""
        if self.available - size < reserve:
            return False
        self.available -= size
        return True

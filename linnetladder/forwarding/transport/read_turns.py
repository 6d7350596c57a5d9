"""Turns for reads that cost much processor time for their size, such as tiny chunks."""

import asyncio
import math

__all__ = ["EXPENSIVE_SECONDS", "ReadTurns"]

# A body whose parsing has taken longer since its last turn waits for the next one.
EXPENSIVE_SECONDS = 0.002
# Bodies wait only while parsing takes more than this share of the time, as counted over
# a short time. What is done with the parsed bytes takes about as long again.
FREE_SHARE = 0.25
FREE_SECONDS = 0.05
MAXIMUM_EXCESS_SECONDS = 2 * FREE_SECONDS


class ReadTurns:
    """Lets bodies that take long to parse wait for each other while that takes much.

    One of them goes on at a time, and other work is done in between, however many they
    are. ``excess`` is the time in seconds that parsing has taken beyond its share.
    """

    def __init__(self):
        self.turn = asyncio.Lock()
        self.excess = 0.0
        self.counted_at = -math.inf

    async def rest(self, seconds: float) -> None:
        """Count what a body has taken; if it is much, wait for a turn, then as long."""
        self._count(seconds)
        if self.excess < FREE_SECONDS:
            return
        async with self.turn:
            await asyncio.sleep(seconds)

    def _count(self, seconds: float) -> None:
        now = asyncio.get_running_loop().time()
        free = (now - self.counted_at) * FREE_SHARE
        self.counted_at = now
        excess = max(self.excess - free, 0.0) + seconds
        self.excess = min(excess, MAXIMUM_EXCESS_SECONDS)

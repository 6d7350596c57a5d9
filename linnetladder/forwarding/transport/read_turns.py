"""Turns for reads that cost much processor time for their size, such as tiny chunks."""

import asyncio

__all__ = ["EXPENSIVE_SECONDS", "ReadTurns"]

# Parsing that takes longer without a break waits for its turn.
EXPENSIVE_SECONDS = 0.002


class ReadTurns:
    """Lets expensive reads pause one after the other, for as long as they took.

    They leave half of the time to other work.
    """

    def __init__(self):
        self.turn = asyncio.Lock()

    async def rest(self, seconds: float) -> None:
        """Wait for a turn, and then for a time."""
        async with self.turn:
            await asyncio.sleep(seconds)

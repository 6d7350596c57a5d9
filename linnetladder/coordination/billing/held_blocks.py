"""Copies of bill blocks that this daemon holds for its peers.

The holder of a block writes it to the platform if the owner has not done so in time.
Owner and holders write the same content under the same key, so it matters neither
which of them writes first nor whether the owner has actually failed.
"""

import asyncio
import dataclasses

from linnetladder.coordination.billing.writer import BillBlock, write_block
from linnetladder.coordination.platform import KeyValueService
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics

__all__ = ["HeldBlocks"]

OVERDUE_AFTER_SECONDS = 4.0
RETRY_SECONDS = 1.0
MAXIMUM_HELD_BYTES = 48 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class _HeldBlock:
    block: BillBlock
    held_since: float


class HeldBlocks:
    """Store peers' blocks and write those that their owners have not recorded."""

    def __init__(self, *, store: KeyValueService, clock: Clock, metrics: Metrics):
        self.store = store
        self.clock = clock
        self.metrics = metrics
        self.blocks: dict[tuple[str, int], _HeldBlock] = {}
        self.held_bytes = 0

    def hold(self, block: BillBlock) -> None:
        """Store a peer's block unless it is stored already."""
        key = (block.incarnation, block.sequence)
        if key not in self.blocks:
            self.blocks[key] = _HeldBlock(block, self.clock.monotonic())
            self.held_bytes += len(block.content)

    def has_capacity(self) -> bool:
        """Return whether the size limit allows storing another block."""
        return self.held_bytes < MAXIMUM_HELD_BYTES

    def drop(self, incarnation: str, sequence: int) -> None:
        """Discard a block that is recorded at the platform."""
        held = self.blocks.pop((incarnation, sequence), None)
        if held is not None:
            self.held_bytes -= len(held.block.content)

    async def run(self) -> None:
        """Write overdue blocks periodically until cancelled."""
        while True:
            await asyncio.sleep(RETRY_SECONDS)
            await self.write_overdue(minimum_age_seconds=OVERDUE_AFTER_SECONDS)

    async def write_overdue(self, *, minimum_age_seconds: float) -> None:
        """Write the blocks held for at least the given time, until a write fails."""
        limit = self.clock.monotonic() - minimum_age_seconds
        overdue = [
            held.block for held in self.blocks.values() if held.held_since <= limit
        ]
        for block in overdue:
            if not await write_block(self.store, block):
                return
            self.metrics.count("bill_blocks_recovered")
            self.drop(block.incarnation, block.sequence)

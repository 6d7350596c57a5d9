"""Copies of peers' bills, which are written if their owner has stopped.

A copy is kept for `RETENTION_SECONDS` after its block was written, since the store may
return from an older copy. When its era rises, all copies count as unwritten until their
owner reports them written in the new era or, if it has stopped, a holder has written
them again. Copies of an owner that has stopped are passed on to new holders, since
those that have them may stop too.
"""

import dataclasses
from collections.abc import Callable

import orjson

from linnetladder.forwarding.coordination.bills import (
    RETENTION_SECONDS,
    BillRow,
    split_blocks,
)
from linnetladder.forwarding.coordination.sources import DaemonAddress, OperatorSource
from linnetladder.forwarding.coordination.store_era import StoreEra
from linnetladder.forwarding.protocol.daemon_messages import CopiedBills
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics, log_change

__all__ = ["BillReplicas"]

# An incarnation that is neither listed in the store nor heard from for this long is
# taken to be stopped. If it was only disconnected it writes its bills as well, and they
# still count once.
ORPHAN_TIMEOUT_SECONDS = 5.0
# An owner that has sent nothing for this long does not send its bills to new holders
# itself. It sends some with each report.
SILENT_OWNER_SECONDS = 1.3
# Limit for each peer. Beyond it the oldest block is dropped, written ones first.
MAXIMUM_REPLICA_BILLS = 20_000


@dataclasses.dataclass(slots=True)
class HeldBlock:
    """Copies of the bills of one block.

    ``written_at`` is the time at which they were reported or found to be in the store
    in its current era. ``dropped`` is set if the owner will not write the block.
    """

    bills: dict[str, BillRow] = dataclasses.field(default_factory=dict)
    written_at: float | None = None
    dropped: bool = False

    def add(self, bills: dict[str, BillRow]) -> None:
        """Add bills; new ones make the block unwritten."""
        if not bills.keys() <= self.bills.keys():
            self.written_at = None
        self.bills.update(bills)


@dataclasses.dataclass(slots=True)
class ReplicaBlocks:
    """The bills of one incarnation of a peer by the number of their block.

    ``last_seen`` is the time at which it was last listed in the store or sent bills;
    ``ended`` is set once a later incarnation of the same instance has reported.
    """

    last_seen: float
    ended: bool = False
    blocks: dict[int, HeldBlock] = dataclasses.field(default_factory=dict)

    def count(self) -> int:
        """Return the number of bills in all blocks."""
        return sum(len(block.bills) for block in self.blocks.values())

    def unwritten(self) -> dict[int, HeldBlock]:
        """Return the blocks with bills that are not known to be in the store."""
        return {
            sequence: block
            for sequence, block in self.blocks.items()
            if block.written_at is None and block.bills
        }

    def expire(self, before: float) -> None:
        """Remove the blocks that were written before a time."""
        self.blocks = {
            sequence: block
            for sequence, block in self.blocks.items()
            if block.written_at is None or block.written_at >= before
        }


class BillReplicas:
    """Keeps copies of peers' bills, and writes those of peers that have stopped.

    The name of a block that this daemon writes for a peer contains the next copy
    number.
    """

    def __init__(
        self,
        *,
        source: OperatorSource,
        incarnation: str,
        era: StoreEra,
        clock: Clock,
        metrics: Metrics,
    ):
        self.source = source
        self.incarnation = incarnation
        self.era = era
        self.clock = clock
        self.metrics = metrics
        self.held: dict[str, ReplicaBlocks] = {}
        self.next_copy_number = 1
        self.on_copy: Callable[[str, CopiedBills], None] = _ignore

    def apply(self, incarnation: str, copied: CopiedBills) -> None:
        """Add a peer's bills and record which of its blocks are written.

        A report of an era that has ended does not count.
        """
        if copied.era is not None:
            self.era.observe(copied.era)
        now = self.clock.monotonic()
        replica = self.held.setdefault(incarnation, ReplicaBlocks(now))
        replica.last_seen = now
        for sequence, bills in copied.blocks.items():
            replica.blocks.setdefault(sequence, HeldBlock()).add(bills)
        for sequence, block in replica.unwritten().items():
            block.dropped = block.dropped or sequence in copied.dropped
            if (
                sequence <= copied.written
                and not block.dropped
                and copied.era == self.era.current
            ):
                block.written_at = now
        if replica.count() > MAXIMUM_REPLICA_BILLS:
            oldest = min(
                replica.blocks,
                key=lambda number: (replica.blocks[number].written_at is None, number),
            )
            replica.blocks.pop(oldest)

    def restart(self, era: int) -> None:
        """Count all copies as unwritten, since the era of the store rose."""
        for held in self.held.values():
            for block in held.blocks.values():
                block.written_at = None

    def mark_ended(self, incarnation: str) -> None:
        """Record that an incarnation of a peer has certainly stopped."""
        held = self.held.get(incarnation)
        if held is not None:
            held.ended = True

    def orphan_copies(self) -> list[tuple[str, CopiedBills]]:
        """Return the copies whose owners send none themselves, with the owners.

        They count as unwritten at those who receive them.
        """
        since = self.clock.monotonic() - SILENT_OWNER_SECONDS
        return [
            (owner, CopiedBills(written=0, blocks=part))
            for owner, held in self.held.items()
            if held.ended or held.last_seen < since
            for part in split_blocks(
                {sequence: block.bills for sequence, block in held.blocks.items()}
            )
        ]

    def share_orphans(self) -> None:
        """Send the copies of stopped owners to this daemon's holders."""
        for owner, copied in self.orphan_copies():
            self.on_copy(owner, copied)

    async def write_all(self) -> bool:
        """Write all copies before this daemon stops.

        Return whether all of them are in the store.
        """
        for incarnation, held in list(self.held.items()):
            if not await self._write(incarnation, held, held.unwritten()):
                return False
        return not any(held.unwritten() for held in self.held.values())

    async def recover_orphans(self, daemons: tuple[DaemonAddress, ...]) -> None:
        """Write the bills of peers that have ended or are not listed or heard from.

        Blocks that a peer has dropped are written while it runs, too. Copies whose time
        is over are removed; this is to be called only while the store answers.
        """
        now = self.clock.monotonic()
        listed = {daemon.incarnation for daemon in daemons}
        for incarnation, held in list(self.held.items()):
            if incarnation in listed:
                held.last_seen = now
            blocks = held.unwritten()
            if now - held.last_seen < ORPHAN_TIMEOUT_SECONDS and not held.ended:
                blocks = {n: block for n, block in blocks.items() if block.dropped}
            await self._write(incarnation, held, blocks)
            held.expire(self.clock.monotonic() - RETENTION_SECONDS)
            if not held.blocks:
                self.held.pop(incarnation, None)

    async def _write(
        self, incarnation: str, held: ReplicaBlocks, blocks: dict[int, HeldBlock]
    ) -> bool:
        """Write the bills of some blocks; return whether they are in the store.

        Blocks that got more bills during the write stay unwritten.
        """
        bills: dict[str, BillRow] = {}
        counts = {sequence: len(block.bills) for sequence, block in blocks.items()}
        for block in blocks.values():
            bills.update(block.bills)
        if not bills:
            return True
        number = self.next_copy_number
        self.next_copy_number += 1
        era = self.era.current
        written = await self.source.write_bills(
            incarnation=incarnation,
            name=f"copy-{self.incarnation}-{number}",
            content=orjson.dumps(bills),
        )
        if written.value_or(None) is None or self.era.current != era:
            return False
        now = self.clock.monotonic()
        for sequence, block in blocks.items():
            if len(block.bills) == counts[sequence]:
                block.written_at = now
        self.metrics.count("bill_blocks_recovered")
        log_change("bills of a stopped peer written", count=len(bills))
        return True


def _ignore(owner: str, copied: CopiedBills) -> None:
    """Do nothing; the default until a transport sends copies to peers."""

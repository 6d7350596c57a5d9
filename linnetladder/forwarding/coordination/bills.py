"""Bills of requests that ran, written to the store in blocks and replicated to peers.

Normally an answer does not wait for the store. A block is written every few seconds and
at shutdown. A block whose write got no reply is written again under the same key; only
the first write takes effect. Each bill is sent to two peers before the end of its
answer is sent to the caller; they write the bills of a daemon that has stopped. The
same bill may be in several blocks, so readers of the ledger count each request once.

The store may return from a copy some seconds old. Written blocks are therefore kept for
a time and written again under the same keys when its era rises.
"""

import asyncio
import dataclasses
from collections.abc import Callable

import orjson

from linnetladder.forwarding.coordination.sources import OperatorSource
from linnetladder.forwarding.coordination.store_era import StoreEra
from linnetladder.forwarding.protocol.daemon_messages import CopiedBills
from linnetladder.forwarding.state import ForwardRequest
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics, log_change

__all__ = [
    "RETENTION_SECONDS",
    "BillBuffer",
    "BillRow",
    "merge_blocks",
    "split_blocks",
]

MAXIMUM_BLOCK_BILLS = 4_000
MAXIMUM_UNWRITTEN_BILLS = 200_000
# Bills in one message, and messages in which all unwritten bills are sent.
MAXIMUM_MESSAGE_BILLS = 200
MAXIMUM_COPY_MESSAGES = 10
# Numbers of dropped blocks that are sent to peers, the latest ones.
MAXIMUM_DROPPED_NUMBERS = 50
# Datagrams may be lost, so each bill is sent in one of its own and again in this many
# rounds of reports.
COPY_ROUNDS = 2
# Time for which written bills are kept: longer than the age of the copy from which the
# store returns and its absence.
RETENTION_SECONDS = 30.0
# Written bills beyond this are not kept, the oldest first.
MAXIMUM_RETAINED_BILLS = 20_000

BillRow = tuple[str, str, str, int, int]


@dataclasses.dataclass(slots=True, eq=False)
class Block:
    """Bills by attempt id that are written in one write.

    ``acknowledged_at`` is the time of the last acknowledgement, ``None`` before the
    first.
    """

    sequence: int
    bills: dict[str, BillRow]
    acknowledged_at: float | None = None


class BillBuffer:
    """Collects this daemon's bills, writes them in blocks and copies them to peers.

    ``blocks`` have to be written, in the order of their sequence; ``retained`` blocks
    are in the store in its current era. All blocks up to ``written`` are.
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
        self.era = era
        self.incarnation = incarnation
        self.clock = clock
        self.metrics = metrics
        self.open_bills: dict[str, BillRow] = {}
        self.blocks: list[Block] = []
        self.retained: dict[int, Block] = {}
        self.sequence = 1
        self.written = 0
        self.dropped: list[int] = []
        self.rounds: list[dict[int, dict[str, BillRow]]] = [{}]
        self.flush_lock = asyncio.Lock()
        self.on_bill: Callable[[CopiedBills], None] = _ignore

    def add(self, request: ForwardRequest, *, model: str, events: int) -> None:
        """Add the bill of a request and send it to peers.

        It is called before the end of the answer is sent.
        """
        prompt = request.head.prompt
        tokens = prompt.input_tokens if prompt is not None else 0
        bill = (request.account_name, request.service, model, tokens, events)
        self.open_bills[request.head.attempt_id] = bill
        added = self.rounds[-1].setdefault(self.sequence, {})
        added[request.head.attempt_id] = bill
        blocks = {self.sequence: {request.head.attempt_id: bill}}
        self.on_bill(self._copied(blocks))
        if len(self.open_bills) >= MAXIMUM_BLOCK_BILLS:
            self._seal()

    def copies(self) -> CopiedBills:
        """Return the unwritten bills of the latest rounds and begin a new round."""
        blocks: dict[int, dict[str, BillRow]] = {}
        for added in self.rounds:
            for sequence, bills in added.items():
                if sequence > self.written:
                    blocks.setdefault(sequence, {}).update(bills)
        self.rounds = [*self.rounds[-COPY_ROUNDS + 1 :], {}]
        return self._copied(blocks)

    def unwritten_copies(self) -> list[CopiedBills]:
        """Return the unwritten bills, the latest if there are very many.

        Each part fits into one message.
        """
        blocks = {block.sequence: block.bills for block in self.blocks}
        blocks[self.sequence] = self.open_bills
        return [self._copied(part) for part in split_blocks(blocks)]

    def all_copies(self) -> list[CopiedBills]:
        """Return the retained and the unwritten bills in the same way."""
        blocks = {block.sequence: block.bills for block in self.retained.values()}
        retained = [self._copied(part) for part in split_blocks(blocks)]
        return [*retained, *self.unwritten_copies()]

    def _copied(self, blocks: dict[int, dict[str, BillRow]]) -> CopiedBills:
        return CopiedBills(
            written=self.written,
            era=self.era.current,
            dropped=list(self.dropped),
            blocks=blocks,
        )

    def restart(self, era: int) -> None:
        """Have the retained blocks written again, since the era of the store rose."""
        if self.retained:
            self.written = min(min(self.retained) - 1, self.written)
        self.blocks += self.retained.values()
        self.blocks.sort(key=lambda block: block.sequence)
        self.retained = {}

    def recheck(self) -> None:
        """Have the last written block written again.

        The answer shows whether the era has risen, without a change to the ledger.
        """
        if self.retained:
            self.blocks.insert(0, self.retained.pop(max(self.retained)))

    async def flush(self) -> bool:
        """Write all buffered bills; return whether all of them are in the store.

        A lock keeps flushes from running concurrently, since each writes the first
        block and removes it afterwards.
        """
        async with self.flush_lock:
            # Failed flushes begin no new blocks, since the number of blocks is limited.
            if not await self._write_blocks():
                return False
            self._seal()
            return await self._write_blocks()

    async def _write_blocks(self) -> bool:
        while self.blocks:
            if not await self._write(self.blocks[0]):
                return False
        return True

    async def _write(self, block: Block) -> bool:
        """Write a block and retain it once it is in the store.

        Return whether the store answered. If the era rose meanwhile, the answer may be
        of the era that has ended, and the block still has to be written.
        """
        era = self.era.current
        written = await self.source.write_bills(
            incarnation=self.incarnation,
            name=f"{block.sequence:08d}",
            content=orjson.dumps(block.bills),
        )
        if written.value_or(None) is None:
            return False
        if self.era.current != era:
            return True
        if block in self.blocks:
            self.blocks.remove(block)
        if block.acknowledged_at is None:
            self.metrics.count("bills", len(block.bills))
            self.metrics.count("bill_blocks")
        else:
            self.metrics.count("bill_blocks_rewritten")
        self.written = max(self.written, block.sequence)
        self._retain(block)
        return True

    def _retain(self, block: Block) -> None:
        """Keep a written block, and drop those whose time is over.

        It is called after an answer of the store, so no block is dropped while the
        store is away.
        """
        now = self.clock.monotonic()
        block.acknowledged_at = now
        self.retained[block.sequence] = block
        count = sum(len(retained.bills) for retained in self.retained.values())
        for sequence, retained in list(self.retained.items()):
            expired = now - retained.acknowledged_at > RETENTION_SECONDS
            if not expired and count <= MAXIMUM_RETAINED_BILLS:
                break
            count -= len(retained.bills)
            del self.retained[sequence]

    def _seal(self) -> None:
        if not self.open_bills:
            return
        self.blocks.append(Block(self.sequence, self.open_bills))
        self.sequence += 1
        self.open_bills = {}
        if sum(len(block.bills) for block in self.blocks) > MAXIMUM_UNWRITTEN_BILLS:
            dropped = self.blocks.pop(0)
            self.dropped = [*self.dropped, dropped.sequence][-MAXIMUM_DROPPED_NUMBERS:]
            self.metrics.count("bills_lost", len(dropped.bills))
            log_change(
                "bills dropped: too many unwritten blocks", count=len(dropped.bills)
            )


def _ignore(copied: CopiedBills) -> None:
    """Do nothing; the default until a transport sends bills to peers."""


def split_blocks(
    blocks: dict[int, dict[str, BillRow]],
) -> list[dict[int, dict[str, BillRow]]]:
    """Return the bills in parts that fit into one message each, the latest ones."""
    parts = []
    for sequence, bills_by_attempt in blocks.items():
        bills = list(bills_by_attempt.items())
        for start in range(0, len(bills), MAXIMUM_MESSAGE_BILLS):
            part = dict(bills[start : start + MAXIMUM_MESSAGE_BILLS])
            parts.append({sequence: part})
    return parts[-MAXIMUM_COPY_MESSAGES:]


def merge_blocks(blocks: list[bytes]) -> dict[str, BillRow]:
    """Return bills by attempt id; one that is in several blocks is returned once."""
    bills: dict[str, BillRow] = {}
    for content in blocks:
        for attempt_id, bill in orjson.loads(content).items():
            bills.setdefault(attempt_id, tuple(bill))
    return bills

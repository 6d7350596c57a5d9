"""Bills of requests that ran, written to the store in blocks and replicated to peers.

Normally an answer does not wait for the store. A block is written every few seconds and
at shutdown. A block whose write got no reply is written again under the same key; only
the first write takes effect. Each bill is sent to two peers before the end of its
answer is sent to the caller. They keep it until its block is in the store, and write
the bills of a daemon that has stopped. The same bill may be in several blocks, so
readers of the ledger count each request once.
"""

import asyncio
import dataclasses
from collections.abc import Callable

import orjson

from linnetladder.forwarding.coordination.sources import DaemonAddress, OperatorSource
from linnetladder.forwarding.protocol.daemon_messages import CopiedBills
from linnetladder.forwarding.state import ForwardRequest
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics, log_change

__all__ = ["BillBuffer", "BillReplicas", "merge_blocks"]

MAXIMUM_BLOCK_BILLS = 4_000
MAXIMUM_UNWRITTEN_BLOCKS = 50
# Numbers of dropped blocks that are sent to peers, the latest ones.
MAXIMUM_DROPPED_NUMBERS = 50
# Datagrams may be lost, so each bill is sent in one of its own and again in this many
# rounds of reports.
COPY_ROUNDS = 2
# An incarnation that is neither listed in the store nor heard from for this long is
# taken to be stopped. If it was only disconnected it writes its bills as well, and they
# still count once.
ORPHAN_TIMEOUT_SECONDS = 5.0
# Limit for each peer; its oldest block is dropped beyond it.
MAXIMUM_REPLICA_BILLS = 20_000

BillRow = tuple[str, str, str, int, int]


@dataclasses.dataclass(slots=True)
class Block:
    """Bills by attempt id that are written in one write."""

    sequence: int
    bills: dict[str, BillRow]


class BillBuffer:
    """Collects this daemon's bills, writes them in blocks and copies them to peers."""

    def __init__(
        self,
        *,
        source: OperatorSource,
        incarnation: str,
        clock: Clock,
        metrics: Metrics,
    ):
        self.source = source
        self.incarnation = incarnation
        self.clock = clock
        self.metrics = metrics
        self.open_bills: dict[str, BillRow] = {}
        self.blocks: list[Block] = []
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

    def _copied(self, blocks: dict[int, dict[str, BillRow]]) -> CopiedBills:
        return CopiedBills(
            written=self.written, dropped=list(self.dropped), blocks=blocks
        )

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
        """Write the first block and remove it once it is in the store."""
        written = await self.source.write_bills(
            incarnation=self.incarnation,
            name=f"{block.sequence:08d}",
            content=orjson.dumps(block.bills),
        )
        if written.value_or(None) is None:
            return False
        if self.blocks and self.blocks[0] is block:
            self.blocks.pop(0)
        self.written = block.sequence
        self.metrics.count("bills", len(block.bills))
        self.metrics.count("bill_blocks")
        return True

    def _seal(self) -> None:
        if not self.open_bills:
            return
        self.blocks.append(Block(self.sequence, self.open_bills))
        self.sequence += 1
        self.open_bills = {}
        if len(self.blocks) > MAXIMUM_UNWRITTEN_BLOCKS:
            dropped = self.blocks.pop(0)
            self.dropped = [*self.dropped, dropped.sequence][-MAXIMUM_DROPPED_NUMBERS:]
            self.metrics.count("bills_lost", len(dropped.bills))
            log_change(
                "bills dropped: too many unwritten blocks", count=len(dropped.bills)
            )


@dataclasses.dataclass(slots=True)
class ReplicaBlocks:
    """The bills of one incarnation of a peer by the number of their block.

    ``last_seen`` is the time at which it was last listed in the store or sent bills;
    ``ended`` is set once a later incarnation of the same instance has reported.
    ``dropped`` are the blocks that the peer will not write.
    """

    last_seen: float
    ended: bool = False
    dropped: set[int] = dataclasses.field(default_factory=set)
    blocks: dict[int, dict[str, BillRow]] = dataclasses.field(default_factory=dict)

    def count(self) -> int:
        """Return the number of bills in all blocks."""
        return sum(len(bills) for bills in self.blocks.values())


class BillReplicas:
    """Keeps copies of peers' bills, and writes those of peers that have stopped.

    A copy is kept until the peer reports that its block is in the store. The name of a
    block that this daemon writes for a peer contains the next copy number.
    """

    def __init__(
        self,
        *,
        source: OperatorSource,
        incarnation: str,
        clock: Clock,
        metrics: Metrics,
    ):
        self.source = source
        self.incarnation = incarnation
        self.clock = clock
        self.metrics = metrics
        self.held: dict[str, ReplicaBlocks] = {}
        self.next_copy_number = 1

    def apply(self, incarnation: str, copied: CopiedBills) -> None:
        """Add a peer's bills and drop those of blocks that it has written."""
        now = self.clock.monotonic()
        replica = self.held.setdefault(incarnation, ReplicaBlocks(now))
        replica.last_seen = now
        for sequence, bills in copied.blocks.items():
            replica.blocks.setdefault(sequence, {}).update(bills)
        replica.dropped.update(replica.blocks.keys() & set(copied.dropped))
        replica.blocks = {
            sequence: bills
            for sequence, bills in replica.blocks.items()
            if sequence > copied.written or sequence in replica.dropped
        }
        if replica.count() > MAXIMUM_REPLICA_BILLS:
            replica.blocks.pop(min(replica.blocks))

    def mark_ended(self, incarnation: str) -> None:
        """Record that an incarnation of a peer has certainly stopped."""
        held = self.held.get(incarnation)
        if held is not None:
            held.ended = True

    async def write_all(self) -> bool:
        """Write all copies before this daemon stops.

        Return whether all of them are in the store.
        """
        for incarnation, held in list(self.held.items()):
            if not await self._write(incarnation, held):
                return False
            if not held.blocks:
                self.held.pop(incarnation, None)
        return not self.held

    async def recover_orphans(self, daemons: tuple[DaemonAddress, ...]) -> None:
        """Write the bills of peers that have ended or are not listed or heard from.

        Blocks that a peer has dropped are written while it runs, too.
        """
        now = self.clock.monotonic()
        listed = {daemon.incarnation for daemon in daemons}
        for incarnation, held in list(self.held.items()):
            if incarnation in listed:
                held.last_seen = now
            if now - held.last_seen < ORPHAN_TIMEOUT_SECONDS and not held.ended:
                await self._write_dropped(incarnation, held)
                continue
            if await self._write(incarnation, held) and not held.blocks:
                self.held.pop(incarnation, None)

    async def _write_dropped(self, incarnation: str, held: ReplicaBlocks) -> None:
        if held.dropped:
            await self._write(incarnation, held, set(held.dropped))

    async def _write(
        self, incarnation: str, held: ReplicaBlocks, numbers: set[int] | None = None
    ) -> bool:
        """Write and remove the bills of the given blocks, by default of all blocks.

        Bills that arrive during the write stay. Return whether the write succeeded.
        """
        bills: dict[str, BillRow] = {}
        for sequence, block in held.blocks.items():
            if numbers is None or sequence in numbers:
                bills.update(block)
        if not bills:
            return True
        number = self.next_copy_number
        self.next_copy_number += 1
        written = await self.source.write_bills(
            incarnation=incarnation,
            name=f"copy-{self.incarnation}-{number}",
            content=orjson.dumps(bills),
        )
        if written.value_or(None) is None:
            return False
        for sequence, block in list(held.blocks.items()):
            for attempt_id in block.keys() & bills.keys():
                del block[attempt_id]
            if not block:
                del held.blocks[sequence]
                held.dropped.discard(sequence)
        self.metrics.count("bill_blocks_recovered")
        log_change("bills of a stopped peer written", count=len(bills))
        return True


def _ignore(copied: CopiedBills) -> None:
    """Do nothing; the default until a transport sends bills to peers."""


def merge_blocks(blocks: list[bytes]) -> dict[str, BillRow]:
    """Return bills by attempt id; one that is in several blocks is returned once."""
    bills: dict[str, BillRow] = {}
    for content in blocks:
        for attempt_id, bill in orjson.loads(content).items():
            bills.setdefault(attempt_id, tuple(bill))
    return bills

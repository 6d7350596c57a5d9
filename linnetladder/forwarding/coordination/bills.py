"""Bills of requests that ran, written to the store in blocks, with copies at peers.

The end of an answer does not wait for the store. A block is written every few seconds
and at shutdown; one whose reply was lost is written again under the same key, where
only the first write stands. Each bill goes to two peers before the end of its answer
goes to the caller; they hold it until its block stands, and write those of a daemon
that is gone. Whoever reads the ledger counts each request once.
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

__all__ = ["BillBuffer", "HeldBills", "fold_blocks"]

MAXIMUM_BLOCK_BILLS = 4_000
MAXIMUM_UNWRITTEN_BLOCKS = 50
# A datagram may be lost; each bill is in one of its own and in this many rounds.
COPY_ROUNDS = 2
# A daemon whose incarnation is not listed and not heard for this long is gone. One that
# was only away writes its bills as well, which counts them once all the same.
ORPHAN_TIMEOUT_SECONDS = 5.0
MAXIMUM_REPLICA_BILLS = 20_000

BillRow = tuple[str, str, str, int, int]


@dataclasses.dataclass(slots=True)
class Block:
    """Bills that are written together."""

    sequence: int
    bills: dict[str, BillRow]


class BillBuffer:
    """Collect this daemon's bills, write them in blocks, and offer them to peers."""

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
        self.rounds: list[dict[int, dict[str, BillRow]]] = [{}]
        self.flush_lock = asyncio.Lock()
        self.on_bill: Callable[[CopiedBills], None] = _ignore

    def add(self, request: ForwardRequest, *, model: str, events: int) -> None:
        """Bill a request once, before the end of its answer leaves."""
        prompt = request.head.prompt
        tokens = prompt.input_tokens if prompt is not None else 0
        bill = (request.account_name, request.service, model, tokens, events)
        self.open_bills[request.head.attempt_id] = bill
        added = self.rounds[-1].setdefault(self.sequence, {})
        added[request.head.attempt_id] = bill
        blocks = {self.sequence: {request.head.attempt_id: bill}}
        self.on_bill(CopiedBills(written=self.written, blocks=blocks))
        if len(self.open_bills) >= MAXIMUM_BLOCK_BILLS:
            self._seal()

    def copies(self) -> CopiedBills:
        """Return the bills of the latest rounds and begin a new one."""
        blocks: dict[int, dict[str, BillRow]] = {}
        for added in self.rounds:
            for sequence, bills in added.items():
                if sequence > self.written:
                    blocks.setdefault(sequence, {}).update(bills)
        self.rounds = [*self.rounds[-COPY_ROUNDS + 1 :], {}]
        return CopiedBills(written=self.written, blocks=blocks)

    async def flush(self) -> bool:
        """Write what waits; return whether everything stands.

        One flush at a time, since each takes the first block and drops it afterwards.
        """
        async with self.flush_lock:
            self._seal()
            while self.blocks:
                if not await self._write(self.blocks[0]):
                    return False
            return True

    async def _write(self, block: Block) -> bool:
        """Write the first block and drop it when it stands."""
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
            self.metrics.count("bills_lost", len(dropped.bills))
            log_change("bills dropped, too many blocks wait", count=len(dropped.bills))


@dataclasses.dataclass(slots=True)
class ReplicaBlocks:
    """One daemon's bills by the block they belong to, and when it was last listed.

    ``ended`` is set once a later start of the same instance was heard.
    """

    last_seen: float
    ended: bool = False
    blocks: dict[int, dict[str, BillRow]] = dataclasses.field(default_factory=dict)

    def count(self) -> int:
        """Return how many bills are held."""
        return sum(len(bills) for bills in self.blocks.values())


class BillReplicas:
    """Hold the bills of peers until their blocks stand, and write those of the gone."""

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
        self.copies = 1

    def apply(self, incarnation: str, copied: CopiedBills) -> None:
        """Hold a peer's bills and drop those that stand."""
        now = self.clock.monotonic()
        replica = self.held.setdefault(incarnation, ReplicaBlocks(now))
        replica.last_seen = now
        for sequence, bills in copied.blocks.items():
            replica.blocks.setdefault(sequence, {}).update(bills)
        replica.blocks = {
            sequence: bills
            for sequence, bills in replica.blocks.items()
            if sequence > copied.written
        }
        if replica.count() > MAXIMUM_REPLICA_BILLS:
            replica.blocks.pop(min(replica.blocks))

    def mark_ended(self, incarnation: str) -> None:
        """Take in that a daemon is gone for certain."""
        held = self.held.get(incarnation)
        if held is not None:
            held.ended = True

    async def write_all(self) -> bool:
        """Write all bills held, before this daemon leaves; true if all stand."""
        for incarnation, held in list(self.held.items()):
            if not await self._write(incarnation, held):
                return False
            self.held.pop(incarnation, None)
        return True

    async def recover_orphans(self, daemons: tuple[DaemonAddress, ...]) -> None:
        """Write the bills of daemons that are no longer listed or heard."""
        now = self.clock.monotonic()
        last_seen = {daemon.incarnation for daemon in daemons}
        for incarnation, held in list(self.held.items()):
            if incarnation in last_seen:
                held.last_seen = now
            if now - held.last_seen < ORPHAN_TIMEOUT_SECONDS and not held.ended:
                continue
            if await self._write(incarnation, held):
                self.held.pop(incarnation, None)

    async def _write(self, incarnation: str, held: ReplicaBlocks) -> bool:
        bills: dict[str, BillRow] = {}
        for block in held.blocks.values():
            bills.update(block)
        if not bills:
            return True
        number = self.copies
        self.copies += 1
        written = await self.source.write_bills(
            incarnation=incarnation,
            name=f"copy-{self.incarnation}-{number}",
            content=orjson.dumps(bills),
        )
        if written.value_or(None) is None:
            return False
        self.metrics.count("bill_blocks_recovered")
        log_change("bills written for a peer that is gone", count=len(bills))
        return True


def _ignore(copied: CopiedBills) -> None:
    """Keep bills to this daemon."""


def merge_blocks(blocks: list[bytes]) -> dict[str, BillRow]:
    """Return each request's bill once, from blocks that may hold it several times."""
    bills: dict[str, BillRow] = {}
    for content in blocks:
        for attempt_id, bill in orjson.loads(content).items():
            bills.setdefault(attempt_id, tuple(bill))
    return bills

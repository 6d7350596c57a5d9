"""Writes bills to the platform's key-value service.

Bills are batched into blocks. The key of a block consists of the daemon's incarnation
and a sequence number, and it is created only if absent, so repeated writes record the
block once. The end of an answer is held back until the bill is durable: either its
block is recorded at the platform, or, if the platform is slow, peers hold copies that
they write if this daemon dies.
"""

import abc
import asyncio
import collections
import dataclasses
import enum

from returns.result import Success

from linnetladder.coordination.claims.settling import create_if_absent
from linnetladder.coordination.platform import FaultKind, KeyValueService, Put
from linnetladder.state import Bill
from linnetladder.state.ledger import block_key, encode_block
from linnetladder.telemetry import Metrics

__all__ = ["BillBlock", "BillCopier", "BillDurability", "BillWriter", "write_block"]

MAXIMUM_BILLS_PER_BLOCK = 1000
MAXIMUM_OPEN_BLOCKS = 2
# After a block of at least this size, forming the next one is delayed to gather bills.
GATHER_THRESHOLD_BILLS = 3
GATHER_DELAY_SECONDS = 0.003
FIRST_RETRY_SECONDS = 0.1
MAXIMUM_RETRY_SECONDS = 2.0
SETTLE_SECONDS = 0.5
COPY_CHECK_INTERVAL_SECONDS = 2.0
SLOW_BLOCK_INTERVAL_SECONDS = 0.05


class BillDurability(enum.Enum):
    """How a bill is kept durable: recorded at the platform or copied to peers."""

    RECORDED = "platform bill"
    COPIED = "peer copy"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BillBlock:
    """A numbered block of one incarnation's bills.

    ``puts`` are written in the same transaction.
    """

    incarnation: str
    sequence: int
    content: bytes
    puts: tuple[Put, ...] = ()

    @property
    def key(self) -> str:
        """The block's key at the platform."""
        return block_key(incarnation=self.incarnation, sequence=self.sequence)


class BillCopier(abc.ABC):
    """Keep copies of a block at peers until it is recorded at the platform."""

    @abc.abstractmethod
    async def copy(self, block: BillBlock) -> bool:
        """Request copies and return whether enough peers hold the block.

        May be called again for the same block.
        """

    @abc.abstractmethod
    async def drop(self, block: BillBlock) -> None:
        """Notify the holders that the block is recorded."""


async def write_block(store: KeyValueService, block: BillBlock) -> bool:
    """Try once to create a block and return whether it is recorded.

    Owner and holders write the same content under the same key, so an existing block
    counts as recorded. If the platform rejects the write, for instance because a lease
    of the additional puts has expired, the block is written without these puts.
    """
    put = Put(block.key, block.content)
    for additional_puts in (block.puts, ()):
        created = await create_if_absent(
            store, put, settle_seconds=SETTLE_SECONDS, additional_puts=additional_puts
        )
        if isinstance(created, Success):
            return True
        if created.failure().kind is not FaultKind.REJECTED:
            return False
    return False


@dataclasses.dataclass(slots=True, eq=False)
class _QueuedBill:
    bill: Bill
    puts: tuple[Put, ...]
    durable: asyncio.Future


class BillWriter:
    """Batch bills into blocks and write each block, retrying until it is recorded."""

    def __init__(
        self,
        *,
        store: KeyValueService,
        copier: BillCopier,
        metrics: Metrics,
        incarnation: str,
        copy_after_seconds: float,
        maximum_unrecorded: int,
    ):
        self.store = store
        self.copier = copier
        self.metrics = metrics
        self.incarnation = incarnation
        self.copy_after_seconds = copy_after_seconds
        self.maximum_unrecorded = maximum_unrecorded
        self.queue: collections.deque[_QueuedBill] = collections.deque()
        self.bill_arrived = asyncio.Event()
        self.block_recorded = asyncio.Event()
        self.open_blocks: dict[int, asyncio.Task] = {}
        self.unrecorded = 0
        self.sequence = 0
        self.last_block_size = 0

    @property
    def is_full(self) -> bool:
        """Whether the limit on unrecorded bills is reached."""
        return self.unrecorded >= self.maximum_unrecorded

    def add(self, bill: Bill, puts: tuple[Put, ...] = ()) -> asyncio.Future:
        """Queue a bill and return a future of its `BillDurability`."""
        durable = asyncio.get_running_loop().create_future()
        self.queue.append(_QueuedBill(bill, puts, durable))
        self.unrecorded += 1
        self.bill_arrived.set()
        return durable

    def withdraw(self, bill: Bill, durable: asyncio.Future) -> None:
        """Cancel a bill whose answer was not delivered.

        A bill that is still queued is removed. For one that is already part of a
        block, a voiding bill is queued.
        """
        for queued_bill in self.queue:
            if queued_bill.durable is durable:
                self.queue.remove(queued_bill)
                self.unrecorded -= 1
                return
        self.add(dataclasses.replace(bill, voids=True))

    async def run(self) -> None:
        """Form blocks from arriving bills until cancelled."""
        while True:
            await self.bill_arrived.wait()
            if self.last_block_size >= GATHER_THRESHOLD_BILLS:
                await asyncio.sleep(GATHER_DELAY_SECONDS)
            if len(self.open_blocks) >= MAXIMUM_OPEN_BLOCKS:
                await self._wait_for_block_slot()
            self.form_block()

    def form_block(self) -> None:
        """Move queued bills into a block and start writing it."""
        count = min(len(self.queue), MAXIMUM_BILLS_PER_BLOCK)
        queued_bills = [self.queue.popleft() for _ in range(count)]
        if not self.queue:
            self.bill_arrived.clear()
        if not queued_bills:
            return
        self.sequence += 1
        self.last_block_size = len(queued_bills)
        block = BillBlock(
            incarnation=self.incarnation,
            sequence=self.sequence,
            content=encode_block(queued_bill.bill for queued_bill in queued_bills),
            puts=tuple(put for queued_bill in queued_bills for put in queued_bill.puts),
        )
        task = asyncio.create_task(self._record_block(block, queued_bills))
        self.open_blocks[block.sequence] = task

    async def flush(self, *, seconds: float) -> bool:
        """Write all queued bills and return whether they were recorded in time."""
        deadline = asyncio.get_running_loop().time() + seconds
        while self.queue or self.open_blocks:
            self.form_block()
            remaining = deadline - asyncio.get_running_loop().time()
            if remaining <= 0:
                return False
            await asyncio.wait(tuple(self.open_blocks.values()), timeout=remaining)
        return True

    async def _wait_for_block_slot(self) -> None:
        """Wait until a block is recorded, or for `SLOW_BLOCK_INTERVAL_SECONDS`."""
        self.block_recorded.clear()
        try:
            async with asyncio.timeout(SLOW_BLOCK_INTERVAL_SECONDS):
                await self.block_recorded.wait()
        except TimeoutError:
            return

    async def _record_block(
        self, block: BillBlock, queued_bills: list[_QueuedBill]
    ) -> None:
        copying = asyncio.create_task(self._copy_if_slow(block, queued_bills))
        backoff = FIRST_RETRY_SECONDS
        while not await write_block(self.store, block):
            self.metrics.count("bill_block_retries")
            await asyncio.sleep(backoff)
            backoff = min(backoff * 2, MAXIMUM_RETRY_SECONDS)
        _resolve(queued_bills, BillDurability.RECORDED)
        self.unrecorded -= len(queued_bills)
        self.metrics.count("bill_blocks")
        self.metrics.count("bills", len(queued_bills))
        del self.open_blocks[block.sequence]
        self.block_recorded.set()
        copying.cancel()
        await self.copier.drop(block)

    async def _copy_if_slow(
        self, block: BillBlock, queued_bills: list[_QueuedBill]
    ) -> None:
        """Keep copies of the block at peers if the platform does not record it in time.

        Holders may be replaced as well, so the copies are checked and renewed until
        this task is cancelled, which happens once the block is recorded.
        """
        await asyncio.sleep(self.copy_after_seconds)
        while not await self.copier.copy(block):
            await asyncio.sleep(FIRST_RETRY_SECONDS)
        self.metrics.count("bill_blocks_copied")
        _resolve(queued_bills, BillDurability.COPIED)
        while True:
            await asyncio.sleep(COPY_CHECK_INTERVAL_SECONDS)
            await self.copier.copy(block)


def _resolve(queued_bills: list[_QueuedBill], durability: BillDurability) -> None:
    for queued_bill in queued_bills:
        if not queued_bill.durable.done():
            queued_bill.durable.set_result(durability)

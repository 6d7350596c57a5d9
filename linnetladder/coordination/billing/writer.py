"""Bills on their way to the platform's key-value service.

Bills are gathered into blocks, each created only if absent under the daemon's
incarnation and a sequence number, so a block that is written twice stands once. A
request's end is released once its bill is safe: the block stands, or, when the
platform is slow, peers hold copies that they will write should this daemon die.
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

__all__ = ["BillBlock", "BillCopier", "BillWriter", "Safety", "write_block"]

MAXIMUM_BILLS_PER_BLOCK = 1000
MAXIMUM_OPEN_BLOCKS = 2
GATHER_THRESHOLD_BILLS = 3
GATHER_DELAY_SECONDS = 0.003
FIRST_RETRY_SECONDS = 0.1
MAXIMUM_RETRY_SECONDS = 2.0
SETTLE_SECONDS = 0.5
COPY_CHECK_INTERVAL_SECONDS = 2.0
SLOW_BLOCK_INTERVAL_SECONDS = 0.05


class BillDurability(enum.Enum):
    """What makes a bill safe: that it stands, or that peers hold it."""

    RECORDED = "platform bill"
    COPIED = "peer copy"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BillBlock:
    """A numbered block of one incarnation, with writes that stand or fall with it."""

    incarnation: str
    sequence: int
    content: bytes
    puts: tuple[Put, ...] = ()

    @property
    def key(self) -> str:
        """The key under which the block stands."""
        return block_key(incarnation=self.incarnation, sequence=self.sequence)


class BillCopier(abc.ABC):
    """Have copies of a block held elsewhere until it stands."""

    @abc.abstractmethod
    async def copy(self, block: BillBlock) -> bool:
        """Return whether enough peers hold the block; may be asked again."""

    @abc.abstractmethod
    async def drop(self, block: BillBlock) -> None:
        """Tell the holders that the block stands."""


async def write_block(store: KeyValueService, block: BillBlock) -> bool:
    """Make one try at creating a block and return whether it stands.

    Owner and holders write the same content under the same key, so a block that
    already exists stands just as well. Writes that hang on a lease which is gone are
    left out rather than the bills.
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
    """Gather bills into blocks and see each block through to the platform."""

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
        """Whether the bound on unrecorded bills is reached."""
        return self.unrecorded >= self.maximum_unrecorded

    def add(self, bill: Bill, puts: tuple[Put, ...] = ()) -> asyncio.Future:
        """Take in a bill and return a future of the `Safety` that it comes to."""
        durable = asyncio.get_running_loop().create_future()
        self.queue.append(_QueuedBill(bill, puts, durable))
        self.unrecorded += 1
        self.bill_arrived.set()
        return durable

    def withdraw(self, bill: Bill, durable: asyncio.Future) -> None:
        """Take back a bill whose answer was not given after all.

        A bill that no block holds yet is dropped; any other is voided by a record.
        """
        for queued_bill in self.queue:
            if queued_bill.durable is durable:
                self.queue.remove(queued_bill)
                self.unrecorded -= 1
                return
        self.add(dataclasses.replace(bill, voids=True))

    async def run(self) -> None:
        """Form blocks as bills arrive, until cancelled."""
        while True:
            await self.bill_arrived.wait()
            if self.last_block_size >= GATHER_THRESHOLD_BILLS:
                await asyncio.sleep(GATHER_DELAY_SECONDS)
            if len(self.open_blocks) >= MAXIMUM_OPEN_BLOCKS:
                await self._wait_for_block_slot()
            self.form_block()

    def form_block(self) -> None:
        """Put the waiting bills into a block and start writing it."""
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
        """Write what is left and return whether all of it stands in time."""
        deadline = asyncio.get_running_loop().time() + seconds
        while self.queue or self.open_blocks:
            self.form_block()
            remaining = deadline - asyncio.get_running_loop().time()
            if remaining <= 0:
                return False
            await asyncio.wait(tuple(self.open_blocks.values()), timeout=remaining)
        return True

    async def _wait_for_block_slot(self) -> None:
        """Wait until a block has closed, or for the interval of slow blocks."""
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
        """Have peers hold the block while the platform does not take it.

        Holders may be replaced too, so the copies are looked after until the block
        stands and this task is cancelled.
        """
        await asyncio.sleep(self.copy_after_seconds)
        while not await self.copier.copy(block):
            await asyncio.sleep(FIRST_RETRY_SECONDS)
        self.metrics.count("bill_blocks_copied")
        _resolve(queued_bills, BillDurability.COPIED)
        while True:
            await asyncio.sleep(COPY_CHECK_INTERVAL_SECONDS)
            await self.copier.copy(block)


def _resolve(queued_bills: list[_QueuedBill], safety: BillDurability) -> None:
    for queued_bill in queued_bills:
        if not queued_bill.durable.done():
            queued_bill.durable.set_result(safety)

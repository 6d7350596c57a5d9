"""Bills of requests that ran, written to the store in blocks.

The end of an answer does not wait for its bill. A block is written every few seconds
and at shutdown; one whose reply was lost is written again under the same key, where
only the first write stands, so that no request is billed twice.
"""

import dataclasses

import orjson

from linnetladder.forwarding.coordination.sources import OperatorSource
from linnetladder.forwarding.state import ForwardRequest
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics, log_change

__all__ = ["BillBuffer"]

MAXIMUM_BLOCK_BILLS = 4_000
MAXIMUM_WAITING_BLOCKS = 50


@dataclasses.dataclass(slots=True)
class Block:
    """Bills that are written together."""

    sequence: int
    content: bytes
    count: int


class BillBuffer:
    """Collect bills and write them in blocks."""

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
        self.open: dict[str, tuple] = {}
        self.blocks: list[Block] = []
        self.sequence = 0

    def add(self, request: ForwardRequest, *, model: str, events: int) -> None:
        """Bill a request once, whatever became of its answer."""
        prompt = request.head.prompt
        tokens = prompt.input_tokens if prompt is not None else 0
        self.open[request.head.attempt_id] = (
            request.account_name,
            request.service,
            model,
            tokens,
            events,
        )
        if len(self.open) >= MAXIMUM_BLOCK_BILLS:
            self._seal()

    async def flush(self) -> bool:
        """Write what waits; return whether everything stands."""
        self._seal()
        while self.blocks:
            block = self.blocks[0]
            written = await self.source.write_bills(
                incarnation=self.incarnation,
                sequence=block.sequence,
                content=block.content,
            )
            if written.value_or(None) is None:
                return False
            self.blocks.pop(0)
            self.metrics.count("bills", block.count)
            self.metrics.count("bill_blocks")
        return True

    def _seal(self) -> None:
        if not self.open:
            return
        content = orjson.dumps(self.open)
        self.sequence += 1
        self.blocks.append(Block(self.sequence, content, len(self.open)))
        self.open = {}
        if len(self.blocks) > MAXIMUM_WAITING_BLOCKS:
            lost = self.blocks.pop(0)
            self.metrics.count("bills_lost", lost.count)
            log_change("bills dropped, too many blocks wait", count=lost.count)

"""Reading of request bodies within the bound on memory.

A body is counted before it is read, as far as its length is declared, and is held once.
Bodies that cost much processor time for their size, such as those in tiny chunks, take
turns, so that they leave half of the time to other work.
"""

import asyncio
import dataclasses
import io
import random

from aiohttp.web_request import BaseRequest

from linnetladder.errors import ErrorKind, Refusal
from linnetladder.forwarding.coordination.memory_account import (
    MemoryAccount,
    MemoryHolder,
    MemoryLease,
)
from linnetladder.forwarding.transport.guarded_server import BodySource
from linnetladder.forwarding.transport.read_turns import EXPENSIVE_SECONDS, ReadTurns
from linnetladder.telemetry import RefusalLog

__all__ = ["BodyReader"]

BODY_TIMEOUT_SECONDS = 10.0
# What the system and the parser hold besides, while a body is being read.
READING_OVERHEAD_BYTES = 192 * 1024
# Steps in which a body without a declared length is counted.
GROWTH_BYTES = 64 * 1024
# A body that brings fewer bytes in this time has stalled.
PROGRESS_BYTES = 16 * 1024
STALLED_SECONDS = 1.0
# Time in which a refused body is read and dropped, so that its refusal arrives.
DISCARD_SECONDS = 1.0
# Refused callers return spread over this time, not all at once.
RETRY_AFTER_SECONDS = 1.0
RETRY_SPREAD_SECONDS = 0.5


@dataclasses.dataclass(eq=False, slots=True)
class BodyRead:
    """A body that is being read; progress was last seen at ``progress_at``.

    ``progress_bytes`` had been received then. ``time_limit`` ends the reading.
    """

    client: str
    time_limit: asyncio.Timeout
    progress_at: float
    received: int = 0
    progress_bytes: int = 0
    has_stalled: bool = False

    def record_progress(self, now: float) -> None:
        """Record that bytes have arrived, if they are enough to count as progress."""
        if self.received - self.progress_bytes >= PROGRESS_BYTES:
            self.progress_bytes, self.progress_at = self.received, now


class BodyReader(BodySource):
    """Reads bodies of one port and counts them in the account."""

    def __init__(
        self, *, account: MemoryAccount, holder: MemoryHolder, refusals: RefusalLog
    ):
        self.account = account
        self.holder = holder
        self.refusals = refusals
        self.turns = ReadTurns()
        # Bodies that are not complete, those without progress for longest first.
        self.reads: dict[BodyRead, None] = {}

    def lease(self) -> MemoryLease:
        """Return a lease for one request, which holds nothing yet."""
        return MemoryLease(account=self.account, holder=self.holder)

    async def read(
        self, request: BaseRequest, lease: MemoryLease, *, limit: int, client: str
    ) -> tuple[bytes, Refusal | None]:
        """Return a whole body, or the refusal if it can't be held or is not complete.

        The lease counts the body until the caller releases it.
        """
        if not request.body_exists:
            return b"", None
        declared = request.content_length
        if declared is not None and declared > limit:
            return b"", self._refuse_large(limit, client)
        content = request.content
        arrived = content.is_eof()
        size = content.total_bytes if arrived else declared or GROWTH_BYTES
        overhead = 0 if arrived else READING_OVERHEAD_BYTES
        if not lease.grow(size + overhead):
            return b"", self._refuse_unheld(client)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(BODY_TIMEOUT_SECONDS) as time_limit:
                read = BodyRead(
                    client=client, time_limit=time_limit, progress_at=loop.time()
                )
                self.reads[read] = None
                try:
                    body, refusal = await self._collect(request, lease, read, limit)
                finally:
                    self.reads.pop(read, None)
        except TimeoutError:
            return b"", self._refuse_slow(read)
        lease.shrink_to(len(body))
        return body, refusal

    async def _collect(
        self, request: BaseRequest, lease: MemoryLease, read: BodyRead, limit: int
    ) -> tuple[bytes, Refusal | None]:
        """Return a body whose parts are copied once, or its refusal."""
        loop = asyncio.get_running_loop()
        # The bytes of the whole are those of this buffer, not a copy.
        body = io.BytesIO()
        async for part in request.content.iter_any():
            body.write(part)
            read.received += len(part)
            if read.received > limit:
                return b"", self._refuse_large(limit, read.client)
            missing = read.received + READING_OVERHEAD_BYTES - lease.size
            if missing > 0 and not request.content.is_eof():
                if not lease.grow(missing + GROWTH_BYTES):
                    return b"", self._refuse_unheld(read.client)
            if read.received - read.progress_bytes >= PROGRESS_BYTES:
                read.record_progress(loop.time())
                self.reads.pop(read, None)
                self.reads[read] = None
            await self._rest(request)
        return body.getvalue(), None

    async def discard(self, request: BaseRequest) -> None:
        """Read the rest of a body and drop it, for a limited time."""
        try:
            async with asyncio.timeout(DISCARD_SECONDS):
                async for _ in request.content.iter_any():
                    await self._rest(request)
        except TimeoutError:
            return

    async def _rest(self, request: BaseRequest) -> None:
        """Pause if parsing took long since the last pause."""
        if request.protocol is None:
            return
        if request.protocol.read_seconds >= EXPENSIVE_SECONDS:
            await self.turns.rest(request.protocol.take_read_seconds())

    def end_stalled(self) -> bool:
        """End the body without progress for longest; return false if none stalled."""
        now = asyncio.get_running_loop().time()
        for read in self.reads:
            if read.has_stalled or read.time_limit.expired():
                continue
            if now - read.progress_at < STALLED_SECONDS:
                return False
            read.has_stalled = True
            read.time_limit.reschedule(now)
            return True
        return False

    def _refuse_large(self, limit: int, client: str) -> Refusal:
        self.refusals.record("body_too_large", client)
        return Refusal(ErrorKind.BODY_TOO_LARGE, f"the body exceeds {limit} bytes")

    def _refuse_unheld(self, client: str) -> Refusal:
        """Refuse a body that can't be held, and end one that has stalled for it."""
        self.refusals.record("memory", client)
        self.end_stalled()
        detail = "the daemon holds as many bytes of requests as it may"
        return Refusal(ErrorKind.OVERLOADED, detail, retry_after_seconds=_retry_after())

    def _refuse_slow(self, read: BodyRead) -> Refusal:
        self.refusals.record("body_timeout", read.client)
        detail = f"the body was not complete after {BODY_TIMEOUT_SECONDS:g} s"
        if read.has_stalled:
            detail = f"the body had stalled for {STALLED_SECONDS:g} s"
        return Refusal(
            ErrorKind.REQUEST_TIMEOUT, detail, retry_after_seconds=_retry_after()
        )


def _retry_after() -> float:
    """Return the seconds after which a refused caller should come back."""
    return RETRY_AFTER_SECONDS + random.uniform(0.0, RETRY_SPREAD_SECONDS)

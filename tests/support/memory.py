"""An in-memory key-value service with fault injection."""

import asyncio
from collections.abc import AsyncIterator

from returns.result import Failure, Result, Success

from linnetladder.coordination.platform import (
    Condition,
    FaultKind,
    KeyValueService,
    PlatformFault,
    Put,
    Record,
    TransactionOutcome,
    WatchEvent,
)
from linnetladder.state import Clock
from standins.key_value import KeyValueStore

CALL_LATENCY_SECONDS = 0.002
CALL_TIMEOUT_SECONDS = 1.0


class LoopClock(Clock):
    """A clock that shows the event loop's time, which can be virtual."""

    def monotonic(self) -> float:
        """Return the loop's time."""
        return asyncio.get_event_loop().time()

    def unix(self) -> float:
        """Return the loop's time plus a fixed offset in place of Unix time."""
        return 1_700_000_000.0 + self.monotonic()


class MemoryKeyValue(KeyValueService):
    """A client of a key-value store in this process.

    ``lost_replies`` is the number of next writes that take effect without a reply.
    ``late_writes`` is the number of next writes that take effect only after their
    caller has timed out.
    """

    def __init__(self, *, store: KeyValueStore | None = None):
        self.store = store or KeyValueStore(now=LoopClock().monotonic)
        self.down = False
        self.lost_replies = 0
        self.late_writes = 0
        self.calls = 0
        self.late_tasks: set[asyncio.Task] = set()

    async def get(self, key: str) -> Result[Record | None, PlatformFault]:
        fault = await self._begin_call()
        if fault is not None:
            return Failure(fault)
        stored = self.store.get(key)
        return Success(_record(key, stored) if stored else None)

    async def list_prefix(
        self, prefix: str, *, after: str = "", limit: int = 0
    ) -> Result[tuple[Record, ...], PlatformFault]:
        fault = await self._begin_call()
        if fault is not None:
            return Failure(fault)
        matches = self.store.list_prefix(prefix, after=after, limit=limit)
        return Success(tuple(_record(key, stored) for key, stored in matches))

    async def transact(
        self,
        *,
        conditions: tuple[Condition, ...] = (),
        puts: tuple[Put, ...] = (),
        deletes: tuple[str, ...] = (),
    ) -> Result[TransactionOutcome, PlatformFault]:
        fault = await self._begin_call()
        if fault is not None:
            return Failure(fault)
        if self.late_writes > 0:
            self.late_writes -= 1
            write = self._write_late(conditions, puts, deletes)
            self.late_tasks.add(asyncio.ensure_future(write))
            return await self._lose_reply()
        try:
            succeeded = self._apply(conditions, puts, deletes)
        except LookupError as error:
            return Failure(PlatformFault(FaultKind.REJECTED, str(error)))
        if self.lost_replies > 0:
            self.lost_replies -= 1
            return await self._lose_reply()
        return Success(TransactionOutcome(succeeded, self.store.revision))

    async def grant_lease(self, *, seconds: float) -> Result[int, PlatformFault]:
        fault = await self._begin_call()
        return Failure(fault) if fault else Success(self.store.grant(seconds))

    async def keep_alive(self, lease_id: int) -> Result[float, PlatformFault]:
        fault = await self._begin_call()
        return Failure(fault) if fault else Success(self.store.keep_alive(lease_id))

    async def revoke_lease(self, lease_id: int) -> Result[None, PlatformFault]:
        fault = await self._begin_call()
        if fault is None:
            self.store.revoke(lease_id)
        return Failure(fault) if fault else Success(None)

    async def watch(
        self, prefix: str
    ) -> AsyncIterator[Result[WatchEvent, PlatformFault]]:
        queue = self.store.watch(prefix)
        try:
            while not self.down:
                change = await queue.get()
                yield Success(
                    WatchEvent(
                        key=change.key, value=change.value, revision=change.revision
                    )
                )
        finally:
            self.store.unwatch(queue)

    async def _begin_call(self) -> PlatformFault | None:
        self.calls += 1
        await asyncio.sleep(CALL_LATENCY_SECONDS)
        if self.down:
            return PlatformFault(FaultKind.UNREACHABLE, "the platform is down")
        return None

    async def _lose_reply(self) -> Failure:
        await asyncio.sleep(CALL_TIMEOUT_SECONDS)
        fault = PlatformFault(FaultKind.UNKNOWN_OUTCOME, "the reply was lost")
        return Failure(fault)

    async def _write_late(self, conditions, puts, deletes) -> None:
        await asyncio.sleep(CALL_TIMEOUT_SECONDS * 3)
        self._apply(conditions, puts, deletes)

    def _apply(self, conditions, puts, deletes) -> bool:
        return self.store.transact(
            [(c.key, c.modify_revision) for c in conditions],
            [(p.key, p.value, p.lease_id) for p in puts],
            list(deletes),
        )


def _record(key: str, stored) -> Record:
    return Record(
        key=key,
        value=stored.value,
        create_revision=stored.create_revision,
        modify_revision=stored.modify_revision,
    )


def run_virtual(coroutine):
    """Run a coroutine on an event loop with virtual time."""
    import looptime

    loop = looptime.new_event_loop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        if pending:
            loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        loop.close()

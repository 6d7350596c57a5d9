"""Writes that are settled by reading back when their reply is lost."""

import asyncio
import enum

from returns.result import Failure, Result, Success

from linnetladder.coordination.platform import (
    Condition,
    FaultKind,
    KeyValueService,
    PlatformFault,
    Put,
    Record,
)

__all__ = ["Creation", "create_if_absent", "read_until", "swap"]

FIRST_BACKOFF_SECONDS = 0.05
MAXIMUM_BACKOFF_SECONDS = 2.0


class Creation(enum.Enum):
    """How a create-if-absent ended."""

    CREATED = "created"
    EXISTS = "exists"


async def read_until(
    store: KeyValueService, key: str, *, seconds: float
) -> Result[Record | None, PlatformFault]:
    """Read a key, trying again until it succeeds or the time is up."""
    backoff = FIRST_BACKOFF_SECONDS
    loop = asyncio.get_running_loop()
    give_up = loop.time() + seconds
    while True:
        outcome = await store.get(key)
        if isinstance(outcome, Success) or loop.time() + backoff > give_up:
            return outcome
        await asyncio.sleep(backoff)
        backoff = min(backoff * 2, MAXIMUM_BACKOFF_SECONDS)


async def create_if_absent(
    store: KeyValueService,
    put: Put,
    *,
    settle_seconds: float,
    others: tuple[Put, ...] = (),
) -> Result[tuple[Creation, bytes], PlatformFault]:
    """Create a key, with other puts beside it, and return whose value stands there.

    The value must be unique to the writer: finding it after a lost reply proves that
    the write took effect. A fault of kind ``UNKNOWN_OUTCOME`` means that the write may
    have taken effect and could not be settled in time. A write that is still under way
    when an absent key is read back may yet land, so absence settles nothing.
    """
    loop = asyncio.get_running_loop()
    give_up = loop.time() + settle_seconds
    uncertain = False
    while True:
        written = await store.transact(
            conditions=(Condition(put.key),), puts=(put, *others)
        )
        if isinstance(written, Success) and written.unwrap().succeeded:
            return Success((Creation.CREATED, put.value))
        if isinstance(written, Failure):
            fault = written.failure()
            uncertain = uncertain or fault.kind is FaultKind.UNKNOWN_OUTCOME
            if fault.kind is FaultKind.REJECTED:
                return written
        found = await read_until(store, put.key, seconds=give_up - loop.time())
        if isinstance(found, Failure):
            return Failure(_as_uncertain(found.failure(), uncertain))
        record = found.unwrap()
        if record is not None:
            ours = record.value == put.value
            creation = Creation.CREATED if ours else Creation.EXISTS
            return Success((creation, record.value))
        if loop.time() >= give_up:
            return Failure(_as_uncertain(_no_answer(put.key), uncertain))
        await asyncio.sleep(FIRST_BACKOFF_SECONDS)


def _no_answer(key: str) -> PlatformFault:
    detail = f"the write of key {key!r} was not settled in time"
    return PlatformFault(FaultKind.UNREACHABLE, detail)


def _as_uncertain(fault: PlatformFault, uncertain: bool) -> PlatformFault:
    if not uncertain:
        return fault
    return PlatformFault(FaultKind.UNKNOWN_OUTCOME, fault.detail)


async def swap(
    store: KeyValueService,
    *,
    expected: Record | None,
    puts: tuple[Put, ...],
    settle_seconds: float,
) -> Result[bool, PlatformFault]:
    """Replace ``expected`` by the first put, with the other puts, or change nothing.

    The first put's value must be unique to the writer. Returns whether it stands.
    """
    head = puts[0]
    revision = expected.modify_revision if expected else 0
    written = await store.transact(
        conditions=(Condition(head.key, revision),), puts=puts
    )
    if isinstance(written, Success):
        return Success(written.unwrap().succeeded)
    fault = written.failure()
    if fault.kind is not FaultKind.UNKNOWN_OUTCOME:
        return written
    found = await read_until(store, head.key, seconds=settle_seconds)
    if isinstance(found, Failure):
        return Failure(_as_uncertain(found.failure(), True))
    record = found.unwrap()
    if record is not None and record.value == head.value:
        return Success(True)
    if record is not None and record.modify_revision != revision:
        return Success(False)
    return Failure(_as_uncertain(_no_answer(head.key), True))

"""Conditional writes whose outcome is determined by a read if the reply is lost."""

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

__all__ = ["CreateOutcome", "create_if_absent", "read_with_retry", "compare_and_swap"]

FIRST_BACKOFF_SECONDS = 0.05
MAXIMUM_BACKOFF_SECONDS = 2.0


class CreateOutcome(enum.Enum):
    """Whether the caller's value was created or another one already existed."""

    CREATED = "created"
    EXISTS = "exists"


async def read_with_retry(
    store: KeyValueService, key: str, *, seconds: float
) -> Result[Record | None, PlatformFault]:
    """Read a key, retrying with backoff until it succeeds or the time is up."""
    backoff = FIRST_BACKOFF_SECONDS
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    while True:
        outcome = await store.get(key)
        if isinstance(outcome, Success) or loop.time() + backoff > deadline:
            return outcome
        await asyncio.sleep(backoff)
        backoff = min(backoff * 2, MAXIMUM_BACKOFF_SECONDS)


async def create_if_absent(
    store: KeyValueService,
    put: Put,
    *,
    settle_seconds: float,
    additional_puts: tuple[Put, ...] = (),
) -> Result[tuple[CreateOutcome, bytes], PlatformFault]:
    """Create a key if it is absent and return the outcome and the stored value.

    ``additional_puts`` are written in the same transaction. The value must be unique to
    the writer, so that finding it after a lost reply proves that the write took effect.
    A fault of kind ``UNKNOWN_OUTCOME`` means that the write may have taken effect and
    that this could not be determined within ``settle_seconds``. Reading the key as
    absent proves nothing, because a write still in progress may be applied later.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + settle_seconds
    may_have_applied = False
    while True:
        written = await store.transact(
            conditions=(Condition(put.key),), puts=(put, *additional_puts)
        )
        if isinstance(written, Success) and written.unwrap().succeeded:
            return Success((CreateOutcome.CREATED, put.value))
        if isinstance(written, Failure):
            fault = written.failure()
            may_have_applied = (
                may_have_applied or fault.kind is FaultKind.UNKNOWN_OUTCOME
            )
            if fault.kind is FaultKind.REJECTED:
                return written
        read_back = await read_with_retry(
            store, put.key, seconds=deadline - loop.time()
        )
        if isinstance(read_back, Failure):
            return Failure(_as_unknown_outcome(read_back.failure(), may_have_applied))
        record = read_back.unwrap()
        if record is not None:
            is_own_value = record.value == put.value
            creation = CreateOutcome.CREATED if is_own_value else CreateOutcome.EXISTS
            return Success((creation, record.value))
        if loop.time() >= deadline:
            return Failure(_as_unknown_outcome(_not_settled(put.key), may_have_applied))
        await asyncio.sleep(FIRST_BACKOFF_SECONDS)


def _not_settled(key: str) -> PlatformFault:
    detail = f"the write of key {key!r} was not settled in time"
    return PlatformFault(FaultKind.UNREACHABLE, detail)


def _as_unknown_outcome(fault: PlatformFault, may_have_applied: bool) -> PlatformFault:
    if not may_have_applied:
        return fault
    return PlatformFault(FaultKind.UNKNOWN_OUTCOME, fault.detail)


async def compare_and_swap(
    store: KeyValueService,
    *,
    expected: Record | None,
    puts: tuple[Put, ...],
    settle_seconds: float,
) -> Result[bool, PlatformFault]:
    """Apply all puts atomically if the first put's key still holds ``expected``.

    ``expected`` is ``None`` if the key must be absent. The first put's value must be
    unique to the writer. Returns whether the puts were applied; after a lost reply this
    is determined by reading the key back for up to ``settle_seconds``.
    """
    primary_put = puts[0]
    revision = expected.modify_revision if expected else 0
    written = await store.transact(
        conditions=(Condition(primary_put.key, revision),), puts=puts
    )
    if isinstance(written, Success):
        return Success(written.unwrap().succeeded)
    fault = written.failure()
    if fault.kind is not FaultKind.UNKNOWN_OUTCOME:
        return written
    read_back = await read_with_retry(store, primary_put.key, seconds=settle_seconds)
    if isinstance(read_back, Failure):
        return Failure(_as_unknown_outcome(read_back.failure(), True))
    record = read_back.unwrap()
    if record is not None and record.value == primary_put.value:
        return Success(True)
    if record is not None and record.modify_revision != revision:
        return Success(False)
    return Failure(_as_unknown_outcome(_not_settled(primary_put.key), True))

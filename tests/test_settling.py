"""Writes whose replies are lost or that are applied after the caller timed out."""

import pytest
from returns.result import Failure, Success

from linnetladder.coordination.claims.settling import (
    CreateOutcome,
    compare_and_swap,
    create_if_absent,
)
from linnetladder.coordination.platform import FaultKind, Put
from tests.support.memory import MemoryKeyValue, run_virtual


def test_a_lost_reply_is_settled_by_reading_back():
    async def scenario():
        store = MemoryKeyValue()
        store.lost_replies = 1
        created = await create_if_absent(store, Put("k", b"mine"), settle_seconds=5)
        assert created.unwrap() == (CreateOutcome.CREATED, b"mine")

    run_virtual(scenario())


def test_value_of_another_writer_is_reported_as_existing():
    async def scenario():
        store = MemoryKeyValue()
        await create_if_absent(store, Put("k", b"theirs"), settle_seconds=5)
        store.lost_replies = 1
        created = await create_if_absent(store, Put("k", b"mine"), settle_seconds=5)
        assert created.unwrap() == (CreateOutcome.EXISTS, b"theirs")

    run_virtual(scenario())


def test_write_that_may_still_apply_has_an_unknown_outcome():
    async def scenario():
        store = MemoryKeyValue()
        store.late_writes = 1
        pending_create = create_if_absent(store, Put("k", b"mine"), settle_seconds=0.5)
        created = await pending_create
        assert isinstance(created, Failure)
        assert created.failure().kind is FaultKind.UNKNOWN_OUTCOME

    run_virtual(scenario())


@pytest.mark.parametrize("lost", [0, 1])
def test_only_one_of_two_swaps_of_the_same_record_succeeds(lost):
    async def scenario():
        store = MemoryKeyValue()
        await create_if_absent(store, Put("k", b"0"), settle_seconds=5)
        record = (await store.get("k")).unwrap()
        store.lost_replies = lost
        outcomes = [
            await compare_and_swap(
                store, expected=record, puts=(Put("k", value),), settle_seconds=5
            )
            for value in (b"first", b"second")
        ]
        assert outcomes == [Success(True), Success(False)]
        assert (await store.get("k")).unwrap().value == b"first"

    run_virtual(scenario())

"""Platform outages and changes during queueing, in virtual time."""

import asyncio

from linnetladder.coordination.attempts.poison import Crash
from proof import Rules, check_history
from tests.support.memory import run_virtual
from tests.support.world import ALLOWED, World

OUTAGE_SECONDS = 1800
SUBMISSION_INTERVAL_SECONDS = 12


def test_half_hour_platform_outage_neither_loses_nor_duplicates_bills():
    async def scenario():
        world = World()
        await world.start()
        world.set_platform_down(True)
        for number in range(OUTAGE_SECONDS // SUBMISSION_INTERVAL_SECONDS):
            name = world.names[number % 3]
            kind = "stream" if number % 2 else "chat"
            world.submit(f"a{number}", daemon=name, kind=kind)
            await asyncio.sleep(SUBMISSION_INTERVAL_SECONDS)
            if number == 70:
                world.kill("daemon-2")
                await world.start_daemon("daemon-2")
        unrecorded = [m.core.bills.unrecorded for m in world.members.values()]
        held_bill_blocks = [
            len(m.core.held_bill_blocks.blocks) for m in world.members.values()
        ]
        await world.settle()
        held_after_recovery = [
            len(m.core.held_bill_blocks.blocks) for m in world.members.values()
        ]
        return world, unrecorded, held_bill_blocks, held_after_recovery

    world, unrecorded, held_bill_blocks, held_after_recovery = run_virtual(scenario())
    assert check_history(world.history, Rules(allowed=ALLOWED)) == []
    assert len(world.history.bills) == OUTAGE_SECONDS // SUBMISSION_INTERVAL_SECONDS
    assert sum(unrecorded) > 100
    assert sum(held_bill_blocks) >= sum(unrecorded)
    assert held_after_recovery == [0, 0, 0]


def test_daemon_refuses_work_at_the_limit_of_unrecorded_bills():
    async def scenario():
        world = World()
        await world.start()
        for member in world.members.values():
            member.core.bills.maximum_unrecorded = 3
        world.set_platform_down(True)
        for number in range(6):
            world.submit(f"a{number}", daemon="daemon-1", named=False)
            await asyncio.sleep(2)
        refused = [
            event
            for event in world.history.events
            if getattr(event, "kind", "") == "platform_unavailable"
        ]
        await world.settle()
        return world, refused

    world, refused = run_virtual(scenario())
    assert check_history(world.history, Rules(allowed=ALLOWED)) == []
    assert [event.ran for event in refused] == ["no", "no", "no"]
    assert len(world.history.bills) == 3


def test_copies_are_renewed_when_their_holders_are_replaced():
    async def scenario():
        world = World()
        await world.start()
        world.set_platform_down(True)
        world.submit("a", daemon="daemon-1")
        await asyncio.sleep(5)
        for name in ("daemon-2", "daemon-3", "daemon-1"):
            world.kill(name)
            await world.start_daemon(name)
            await asyncio.sleep(8)
        await world.settle()
        return check_history(world.history, Rules(allowed=ALLOWED))

    assert run_virtual(scenario()) == []


def run_while_queued(change):
    """Apply a change while a request is queued for ten seconds without a free slot."""

    async def scenario():
        world = World()
        await world.start()
        for fake in world.fakes.values():
            fake.running += 100
        await asyncio.sleep(3)
        world.submit("a", daemon="daemon-1")
        await change(world)
        await asyncio.sleep(10)
        for fake in world.fakes.values():
            fake.running -= 100
        await asyncio.sleep(5)
        await world.settle()
        return world

    return run_virtual(scenario())


def test_version_withdrawn_while_a_request_is_queued_is_not_used():
    world = run_while_queued(lambda world: world.withdraw("small@1"))
    assert check_history(world.history, Rules(allowed=ALLOWED)) == []
    kinds = [getattr(event, "kind", "") for event in world.history.events]
    assert "version_withdrawn" in kinds


def test_request_that_becomes_poison_while_queued_is_not_run():
    async def poison(world):
        await asyncio.sleep(1)
        registry = world.members["daemon-1"].core.poison
        (fingerprint,) = world.fingerprints
        for endpoint in ("x", "y"):
            registry.add_crash(Crash(fingerprint, endpoint))

    world = run_while_queued(poison)
    kinds = [getattr(event, "kind", "") for event in world.history.events]
    assert "poison_request" in kinds

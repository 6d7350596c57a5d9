"""Each request is billed once although the store returns from an older copy."""

import asyncio

import pytest

from linnetladder.forwarding.coordination import bills
from tests.support.bill_walk import BillWalk
from tests.support.bills import (
    add_bill,
    address,
    billed,
    fleet,
    run_request,
    run_virtual,
    send_report,
)
from tests.support.forwarding import MemorySource, ready_daemon, table


def flush(daemon):
    assert asyncio.run(daemon.bills.flush())


def recover(daemon, *listed):
    addresses = tuple(address(name) for name in listed)
    asyncio.run(daemon.bill_replicas.recover_orphans(addresses))


def drill(source, *daemons):
    """Return the store from its latest copy; the daemons read it."""
    source.rewind()
    for daemon in daemons:
        assert daemon.read()


def test_written_bills_are_written_again_in_a_new_era():
    """The owner forgot a block once acknowledged: lost when the store went back."""
    source, clock, (first, _) = fleet()
    source.copy()
    for serial in range(3):
        run_request(first, f"a{serial}")
        flush(first)
    names = list(source.blocks)
    for _ in range(2):
        drill(source, first)
        assert billed(source) == {}
        flush(first)
        assert list(source.blocks) == names
        assert sorted(billed(source)) == ["a0", "a1", "a2"]
        clock.now += bills.RETENTION_SECONDS - 1


def test_a_block_that_the_copy_still_has_is_acknowledged():
    """An existing block must not stop the writes of the blocks after it."""
    source, clock, (first, _) = fleet()
    run_request(first, "a1")
    flush(first)
    source.copy()
    run_request(first, "a2")
    flush(first)
    drill(source, first)
    flush(first)
    assert sorted(billed(source)) == ["a1", "a2"]
    assert len(source.blocks) == 2
    assert first.bills.blocks == []


class LateReplySource(MemorySource):
    """A store whose acknowledgement of a block arrives after a while."""

    async def write_bills(self, *, incarnation, name, content):
        written = await super().write_bills(
            incarnation=incarnation, name=name, content=content
        )
        await asyncio.sleep(0.01)
        return written


@pytest.mark.parametrize("role", ["owner", "holder"])
def test_an_acknowledgement_of_an_ended_era_does_not_count(role):
    """A block was acknowledged by the old era while the era rose: in no block."""
    source, clock, (first, second) = fleet(LateReplySource(table=table()))
    run_request(first, "a1")
    send_report(first, second)
    source.copy()

    async def scenario():
        if role == "owner":
            return await write_through_a_drill(first, first.bills.flush)
        await write_through_a_drill(second, second.bill_replicas.write_all)
        return await second.bill_replicas.write_all()

    async def write_through_a_drill(daemon, write):
        writing = asyncio.ensure_future(write())
        await asyncio.sleep(0.005)
        source.rewind()
        daemon.era.observe(source.era)
        return await writing

    assert run_virtual(scenario())
    assert sorted(billed(source)) == ["a1"]


def test_a_holder_writes_the_written_bills_of_a_killed_daemon_in_a_new_era():
    """Holders dropped their copies of a block once its owner had written it."""
    source, clock, (first, second) = fleet()
    source.copy()
    run_request(first, "a1")
    send_report(first, second)
    flush(first)
    send_report(first, second)
    drill(source, second)
    clock.now += 6
    recover(second, "d2")
    assert sorted(billed(source)) == ["a1"]


def test_a_holder_writes_again_what_it_wrote_for_a_stopped_daemon():
    """A holder dropped its copies once it had written them for a stopped daemon."""
    source, clock, (first, second) = fleet()
    source.copy()
    run_request(first, "a1")
    send_report(first, second)
    clock.now += 6
    for _ in range(2):
        recover(second, "d2")
        assert sorted(billed(source)) == ["a1"]
        drill(source, second)
    recover(second, "d2")
    assert sorted(billed(source)) == ["a1"]


def test_a_report_of_an_ended_era_does_not_release_copies():
    """The owner had not seen the new era yet, and reported its blocks written."""
    source, clock, (first, second) = fleet()
    source.copy()
    run_request(first, "a1")
    send_report(first, second)
    flush(first)
    drill(source, second)
    send_report(first, second)
    clock.now += bills.RETENTION_SECONDS + 1
    recover(second, "d2")
    assert sorted(billed(source)) == ["a1"]


def test_an_owner_reports_blocks_unwritten_until_the_new_era_has_them():
    """The mark of written blocks stayed up, so holders would release their copies."""
    source, clock, (first, second) = fleet()
    source.copy()
    run_request(first, "a1")
    send_report(first, second)
    flush(first)
    drill(source, first)
    assert first.bills.written == 0
    send_report(first, second)
    held = second.bill_replicas.held["d1-1"]
    assert list(held.unwritten()) == [1]
    flush(first)
    send_report(first, second)
    assert not held.unwritten()


def test_a_peer_announces_the_new_era_with_its_bills():
    """A holder that has not read the store must not release copies meanwhile."""
    source, clock, (first, second) = fleet()
    source.copy()
    run_request(first, "a1")
    send_report(first, second)
    flush(first)
    send_report(first, second)
    drill(source, first)
    send_report(first, second)
    assert second.era.current == 2
    assert list(second.bill_replicas.held["d1-1"].unwritten()) == [1]


def test_written_bills_are_kept_while_the_store_is_away():
    """The absence of the store must not use up the time of retention."""
    source, clock, (first, second) = fleet()
    source.copy()
    run_request(first, "a1")
    flush(first)
    source.down = True
    for _ in range(100):
        clock.now += 1
        add_bill(first, f"b{clock.now}")
        assert not asyncio.run(first.bills.flush())
    source.down = False
    source.rewind()
    flush(first)
    assert "a1" in billed(source)
    assert len(billed(source)) == 101


def test_retained_bills_are_bounded_in_time_and_number(monkeypatch):
    source, clock, (first, second) = fleet()
    for attempt in ("a1", "a2"):
        add_bill(first, attempt)
        send_report(first, second)
        flush(first)
        send_report(first, second)
        clock.now += bills.RETENTION_SECONDS + 1
        recover(second, "d1", "d2")
    assert list(first.bills.retained) == [2]
    assert second.bill_replicas.held == {}
    monkeypatch.setattr(bills, "MAXIMUM_RETAINED_BILLS", 3)
    for serial in range(10):
        add_bill(first, f"b{serial}")
        flush(first)
    assert list(first.bills.retained) == [10, 11, 12]


def test_retained_blocks_are_written_soon_after_a_change_of_era():
    """The next regular flush is seconds away, and another daemon may die meanwhile."""
    source, clock, (first, second) = fleet()
    third = ready_daemon(name="d3", source=source, clock=clock)
    first.peers.update_daemons((address("d1"), address("d2"), address("d3")))
    for holder in (second, third):
        send_report(holder, first)
    source.copy()
    for serial in range(3):
        run_request(first, f"a{serial}")
        flush(first)
    names = list(source.blocks)

    async def scenario():
        writes = asyncio.ensure_future(first.bill_flusher.run_flushes())
        await asyncio.sleep(0.1)
        source.rewind()
        await first.poller.read_once()
        await asyncio.sleep(0.6)
        writes.cancel()

    run_virtual(scenario())
    assert list(source.blocks) == names


@pytest.mark.parametrize("away_seconds", [0.0, 3.0])
def test_a_leaving_daemon_writes_again_before_it_exits(away_seconds):
    """A daemon exited just after a drill that it had not noticed, or during it."""
    source, clock, (first, _) = fleet()
    source.copy()
    for serial in range(3):
        run_request(first, f"a{serial}")
        flush(first)
    source.down = True

    def return_from_copy():
        source.rewind()
        source.down = False

    async def scenario():
        asyncio.get_running_loop().call_later(away_seconds, return_from_copy)
        await asyncio.sleep(0)
        written = await first.bill_flusher.flush_before_exit(seconds=6.0)
        await asyncio.sleep(away_seconds)
        return written

    assert run_virtual(scenario())
    assert sorted(billed(source)) == ["a0", "a1", "a2"]


def test_an_era_that_rises_during_the_last_write_is_noticed_before_the_exit():
    """Own blocks were written, then the store went back while copies were written."""
    source, clock, (first, second) = fleet()
    run_request(first, "a1")
    run_request(second, "b1")
    send_report(second, first)
    source.copy()
    write_all = first.bill_replicas.write_all

    async def write_after_a_drill():
        if source.era == 1:
            source.rewind()
        return await write_all()

    first.bill_replicas.write_all = write_after_a_drill
    assert run_virtual(first.bill_flusher.flush_before_exit(seconds=6.0))
    assert sorted(billed(source)) == ["a1", "b1"]


@pytest.mark.parametrize("seed", range(4))
def test_no_bill_is_lost_or_added_in_a_random_history(seed):
    """Bills, flushes, lost replies, outages, drills, deaths and exits at random."""
    walk = BillWalk(seed)
    walk.run(500)
    assert walk.drills > 5
    assert walk.deaths >= 1


def test_a_peer_that_becomes_a_holder_gets_the_written_bills():
    """Bills were lost whose owner and earlier holders had stopped before a drill."""
    source, clock, (first, second) = fleet()
    source.copy()
    run_request(first, "a1")
    flush(first)

    delivered = []

    def deliver(copied):
        delivered.append(copied)
        second.peers.apply(first.peers.build_bill_copy(copied))

    first.bills.on_bill = deliver
    first.bill_flusher.share_with_new_holders(["d2-1"])
    assert len(delivered) == 1
    first.bill_flusher.share_with_new_holders(["d2-1"])
    assert len(delivered) == 1
    drill(source, second)
    clock.now += 6.0
    recover(second)
    assert sorted(billed(source)) == ["a1"]


def test_bills_of_a_killed_daemon_survive_the_holder_that_wrote_them():
    """Every daemon that had the bills was killed in turn; a drill took their block."""
    source, clock, (first, second) = fleet()
    source.copy()
    run_request(first, "a1")
    send_report(first, second)
    again = ready_daemon(name="d1", incarnation="d1-2", source=source, clock=clock)
    again.peers.update_daemons((address("d1", incarnation="d1-2"), address("d2")))
    send_report(again, second)
    recover(second, "d2")
    assert sorted(billed(source)) == ["a1"]
    second.bill_replicas.on_copy = lambda owner, copied: again.peers.apply(
        second.peers.build_bill_copy(copied, owner=owner)
    )
    second.bill_flusher.share_with_new_holders(["d1-2"])
    drill(source, again)
    assert billed(source) == {}
    clock.now += 6
    listed = (address("d1", incarnation="d1-2"),)
    asyncio.run(again.bill_replicas.recover_orphans(listed))
    assert sorted(billed(source)) == ["a1"]


def test_copies_of_a_daemon_that_sends_its_bills_itself_are_not_passed_on():
    """Each holder would send all it holds whenever any daemon starts."""
    source, clock, (first, second) = fleet()
    run_request(first, "a1")
    send_report(first, second)
    assert second.bill_replicas.orphan_copies() == []
    clock.now += 1.0
    assert second.bill_replicas.orphan_copies() == []
    clock.now += 1.0
    ((owner, copied),) = second.bill_replicas.orphan_copies()
    assert (owner, list(copied.blocks[1])) == ("d1-1", ["a1"])


def test_a_daemon_holds_no_copies_of_its_own_bills():
    """A holder that has missed a daemon's reports may send it its own bills."""
    source, clock, (first, second) = fleet()
    run_request(first, "a1")
    send_report(first, second)
    clock.now += 2.0
    ((owner, copied),) = second.bill_replicas.orphan_copies()
    first.peers.apply(second.peers.build_bill_copy(copied, owner=owner))
    assert first.bill_replicas.held == {}


@pytest.mark.parametrize("drilled", [True, False])
def test_a_daemon_that_exits_in_a_drill_waits_for_a_peer(drilled):
    """The only daemon with the bills wrote them and exited; a second drill took them.

    Its peers had started while the store was away and could not hear it yet.
    """
    source, clock, (first, second) = fleet()
    source.copy()
    run_request(first, "a1")
    flush(first)
    if drilled:
        drill(source, first)
    first.bills.on_bill = lambda copied: second.peers.apply(
        first.peers.build_bill_copy(copied)
    )
    first.peers.peer_status.clear()

    async def scenario():
        handing = asyncio.ensure_future(first.bill_flusher.hand_over(seconds=2.0))
        await asyncio.sleep(1.0)
        assert handing.done() is not drilled
        send_report(second, first)
        await asyncio.sleep(0.1)
        return handing.done()

    assert run_virtual(scenario())
    assert "d1-1" in second.bill_replicas.held

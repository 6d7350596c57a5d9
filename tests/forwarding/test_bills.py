"""Each request that ran is billed once, despite crashes and lost replies."""

import asyncio
import functools

import looptime
import pytest

from linnetladder.forwarding.coordination import bills
from tests.support.bills import (
    SlowSource,
    address,
    billed,
    fleet,
    run_request,
    run_virtual,
    send_report,
)
from tests.support.forwarding import RecordedReply, Script, head, ready_daemon, table


def test_a_block_whose_write_reply_was_lost_is_stored_once():
    source, clock, (first, _) = fleet()
    run_request(first, "a1")
    source.lose_replies = 1
    assert not asyncio.run(first.bills.flush())
    run_request(first, "a2")
    assert asyncio.run(first.bills.flush())
    assert sorted(billed(source)) == ["a1", "a2"]
    assert len(source.blocks) == 2


def test_bills_are_kept_while_the_store_is_down_and_written_afterwards():
    source, clock, (first, _) = fleet()
    source.down = True
    for serial in range(3):
        run_request(first, f"a{serial}")
        assert not asyncio.run(first.bills.flush())
    source.down = False
    assert asyncio.run(first.bills.flush())
    assert sorted(billed(source)) == ["a0", "a1", "a2"]


def test_a_peer_writes_the_bills_of_a_killed_daemon():
    source, clock, (first, second) = fleet()
    run_request(first, "a1")
    send_report(first, second)
    asyncio.run(second.bill_replicas.recover_orphans((address("d2"),)))
    assert billed(source) == {}
    clock.now += 6
    asyncio.run(second.bill_replicas.recover_orphans((address("d2"),)))
    assert sorted(billed(source)) == ["a1"]
    assert second.bill_replicas.held["d1-1"].unwritten() == {}
    clock.now += bills.RETENTION_SECONDS + 1
    asyncio.run(second.bill_replicas.recover_orphans((address("d2"),)))
    assert second.bill_replicas.held == {}


def test_a_holder_writes_its_replicas_before_it_shuts_down():
    source, clock, (first, second) = fleet()
    run_request(first, "a1")
    send_report(first, second)
    assert asyncio.run(second.bill_replicas.write_all())
    assert sorted(billed(source)) == ["a1"]


def test_bills_written_by_a_holder_and_their_owner_count_once():
    source, clock, (first, second) = fleet()
    run_request(first, "a1")
    send_report(first, second)
    clock.now += 6
    asyncio.run(second.bill_replicas.recover_orphans((address("d2"),)))
    assert asyncio.run(first.bills.flush())
    assert len(source.blocks) == 2
    assert sorted(billed(source)) == ["a1"]


def test_a_holder_drops_bills_that_are_in_the_store():
    source, clock, (first, second) = fleet()
    run_request(first, "a1")
    send_report(first, second)
    assert asyncio.run(first.bills.flush())
    send_report(first, second)
    assert second.bill_replicas.held["d1-1"].unwritten() == {}
    assert second.bill_replicas.held["d1-1"].count() == 1
    clock.now += bills.RETENTION_SECONDS + 1
    send_report(first, second)
    asyncio.run(second.bill_replicas.recover_orphans(second.peers.listed_daemons))
    assert "d1-1" not in second.bill_replicas.held


def test_a_bill_in_a_lost_datagram_is_sent_again_in_the_next():
    source, clock, (first, second) = fleet()
    run_request(first, "a1")
    first.bills.copies()
    send_report(first, second)
    assert second.bill_replicas.held["d1-1"].count() == 1


def test_a_bill_reaches_its_holders_before_the_answer_ends():
    source, clock, (first, second) = fleet()

    def copy(copied):
        second.peers.apply(first.peers.build_bill_copy(copied))

    first.bills.on_bill = copy
    held_counts = []
    reply = RecordedReply()
    send = reply.send

    async def recording_send(*answer):
        held_counts.append(second.bill_replicas.held["d1-1"].count())
        await send(*answer)

    reply.send = recording_send
    work = first.forwarder.answer(
        head("/fetch/1"), b"", received=clock.monotonic(), reply=reply
    )
    asyncio.run(work)
    assert held_counts == [1]


def test_a_request_whose_caller_left_is_billed_if_it_ran():
    source, clock, (first, _) = fleet()

    async def leave():
        reply = RecordedReply()
        first.calls.scripts = [Script(chunks=(b"x",))]

        async def hang(*answer):
            await asyncio.Event().wait()

        reply.send = hang
        work = asyncio.ensure_future(
            first.forwarder.answer(
                head("/fetch/1"), b"", received=clock.monotonic(), reply=reply
            )
        )
        await asyncio.sleep(0.05)
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)

    asyncio.run(leave())
    assert list(first.bills.open_bills) == ["a1"]


def test_holders_are_chosen_from_other_failure_domains_if_possible():
    source, clock, (first, _) = fleet()
    first.peers.update_daemons(
        (
            address("d1"),
            address("d2"),
            address("d3", "west"),
            address("d4", "north"),
            address("d5"),
        )
    )
    holders = {peer.instance for peer in first.peers.bill_holders()}
    assert holders == {"d3", "d4"}


def test_a_draining_or_silent_peer_does_not_count_as_a_live_holder():
    source, clock, (first, second) = fleet()
    assert first.peers.alive_holder_incarnations() == []
    send_report(second, first)
    assert first.peers.alive_holder_incarnations() == ["d2-1"]
    second.peers.draining = True
    send_report(second, first)
    assert first.peers.alive_holder_incarnations() == []
    second.peers.draining = False
    send_report(second, first)
    clock.now += 1.4
    assert first.peers.alive_holder_incarnations() == []
    assert [peer.instance for peer in first.peers.bill_holders()] == ["d2"]


def test_a_holder_sends_reports_to_the_owners_of_its_replicas_in_a_large_fleet():
    source, clock, (first, second) = fleet()
    remote_peers = [address(f"far-{number}", domain="west") for number in range(200)]
    second.peers.update_daemons(
        (*remote_peers, address("d1", domain="north"), address("d2"))
    )
    send_report(first, second)
    for _ in range(20):
        assert "d1" in [peer.instance for peer in second.peers.receivers()]
    clock.now += 6.0
    rounds = [second.peers.receivers() for _ in range(5)]
    assert not all("d1" in [p.instance for p in receivers] for receivers in rounds)


class BillCheckingReply(RecordedReply):
    """A reply that records which bills are in the store when it is sent."""

    def __init__(self, source):
        super().__init__()
        self.source = source
        self.bills_in_store = None

    async def send(self, status, headers, body):
        self.bills_in_store = sorted(billed(self.source))
        await super().send(status, headers, body)


def answer_while_writing(daemon, source, **changes):
    """Answer one request while blocks are written; return the reply and seconds.

    Time is virtual.
    """

    async def scenario():
        writes = asyncio.ensure_future(daemon.bill_flusher.run_flushes())
        await asyncio.sleep(0.01)
        began = asyncio.get_running_loop().time()
        reply = BillCheckingReply(source)
        await daemon.forwarder.answer(
            head("/fetch/1", attempt_id="a1", **changes),
            b"",
            received=daemon.clock.monotonic(),
            reply=reply,
        )
        writes.cancel()
        return reply, asyncio.get_running_loop().time() - began

    loop = looptime.new_event_loop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


def test_an_answer_waits_for_its_block_if_no_peer_holds_its_bill():
    """A daemon was killed while its peers restarted: 103 bills lost (soak, seed 33)."""
    source, clock, (first, _) = fleet()
    reply, seconds = answer_while_writing(first, source)
    assert reply.bills_in_store == ["a1"]
    assert seconds <= 0.1


def test_an_answer_does_not_wait_for_the_store_if_a_peer_holds_its_bill():
    source, clock, (first, second) = fleet()
    send_report(second, first)
    reply, seconds = answer_while_writing(first, source)
    assert reply.bills_in_store == []
    assert seconds == pytest.approx(0.0, abs=0.001)


def test_an_unreachable_store_delays_no_answer_beyond_the_timeout():
    source, clock, (first, _) = fleet()
    source.down = True
    reply, seconds = answer_while_writing(first, source)
    assert reply.status == 200
    assert seconds <= 0.16


def test_blocks_are_written_more_often_with_only_one_holder():
    """Its only holder was killed, then the store did not answer (soak, seed 33)."""
    source, clock, (first, second) = fleet()
    send_report(second, first)

    async def scenario():
        writes = asyncio.ensure_future(first.bill_flusher.run_flushes())
        await asyncio.sleep(0.1)
        reply = RecordedReply()
        await first.forwarder.answer(
            head("/fetch/1", attempt_id="a1"),
            b"",
            received=first.clock.monotonic(),
            reply=reply,
        )
        await asyncio.sleep(0.6)
        writes.cancel()

    loop = looptime.new_event_loop()
    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()
    assert sorted(billed(source)) == ["a1"]


def test_the_final_flush_is_retried_until_the_store_is_back():
    """All daemons were stopped in turn while the store was down (soak, seed 54)."""
    source, clock, (first, _) = fleet()
    run_request(first, "a1")
    source.down = True

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.call_later(3.0, setattr, source, "down", False)
        written = await first.bill_flusher.flush_before_exit(seconds=6.0)
        return written, loop.time()

    loop = looptime.new_event_loop()
    try:
        written, ended = loop.run_until_complete(scenario())
    finally:
        loop.close()
    assert written and ended <= 3.3
    assert sorted(billed(source)) == ["a1"]


def test_bills_also_go_to_a_peer_that_has_not_reported_yet():
    """Bills must not go only to peers that have reported.

    The one peer that had reported died; the other had got no bills (soak, seed 114).
    """
    source, clock, (first, second) = fleet()
    addresses = (address("d1"), address("d2"), address("d3"), address("d4"))
    first.peers.update_daemons(addresses)
    send_report(second, first)
    sent = [peer.instance for peer in first.peers.bill_holders()]
    assert len(sent) == 2
    assert sent[0] == "d2"
    assert first.peers.alive_holder_incarnations() == ["d2-1"]


def test_bills_of_a_restarted_peer_are_written_after_its_first_report():
    """A holder must not wait for the lease of an ended incarnation to expire.

    It waited, and was killed before it had written the bills (soak, seed 126).
    """
    source, clock, (first, second) = fleet()
    run_request(first, "a1")
    send_report(first, second)
    restarted = ready_daemon(name="d1", incarnation="d1-2", source=source, clock=clock)
    asyncio.run(second.bill_replicas.recover_orphans(second.peers.listed_daemons))
    assert billed(source) == {}
    second.peers.apply(restarted.peers.build())
    asyncio.run(second.bill_replicas.recover_orphans(second.peers.listed_daemons))
    assert sorted(billed(source)) == ["a1"]


def test_a_holder_recovers_bills_of_the_same_daemon_twice():
    source, clock, (first, second) = fleet()
    for attempt in ("a1", "a2"):
        run_request(first, attempt)
        send_report(first, second)
        second.bill_replicas.mark_ended("d1-1")
        asyncio.run(second.bill_replicas.recover_orphans(second.peers.listed_daemons))
    assert sorted(billed(source)) == ["a1", "a2"]


def test_concurrent_flushes_drop_no_block():
    """The final flush may start while a regular one is still writing its block."""
    source = SlowSource(table=table())
    daemon = ready_daemon(name="d1", source=source)

    async def scenario():
        daemon.bills.open_bills["a1"] = ("studio", "desk", "", 0, 0)
        first = asyncio.ensure_future(daemon.bills.flush())
        await asyncio.sleep(0.005)
        daemon.bills.open_bills["a2"] = ("studio", "desk", "", 0, 0)
        return await daemon.bills.flush() and await first

    loop = looptime.new_event_loop()
    try:
        assert loop.run_until_complete(scenario())
    finally:
        loop.close()
    assert sorted(billed(source)) == ["a1", "a2"]


def test_a_finished_answer_is_sent_before_its_deadline_despite_a_slow_store():
    source = SlowSource(table=table())
    source.seconds = 5.0
    daemon = ready_daemon(name="d1", source=source)
    reply, _ = answer_while_writing(daemon, source, deadline_seconds=0.1)
    assert reply.status == 200


def test_holders_write_a_block_that_its_owner_has_dropped(monkeypatch):
    """Peers discarded their copies of a block that its owner dropped unwritten."""
    monkeypatch.setattr(bills, "MAXIMUM_UNWRITTEN_BILLS", 2)
    monkeypatch.setattr(bills, "MAXIMUM_BLOCK_BILLS", 1)
    source, clock, (first, second) = fleet()
    source.down = True
    for serial in range(3):
        run_request(first, f"a{serial}")
        send_report(first, second)
    source.down = False
    assert asyncio.run(first.bills.flush())
    send_report(first, second)
    asyncio.run(second.bill_replicas.recover_orphans(second.peers.listed_daemons))
    assert sorted(billed(source)) == ["a0", "a1", "a2"]


def test_a_long_outage_of_the_store_drops_no_bills():
    """Each failed flush began a block; the oldest were dropped after 50 seconds."""
    source, clock, (first, _) = fleet()
    source.down = True
    for serial in range(60):
        run_request(first, f"a{serial}")
        assert not asyncio.run(first.bills.flush())
    source.down = False
    assert asyncio.run(first.bills.flush())
    assert len(billed(source)) == 60


def test_bills_that_reach_a_holder_during_its_write_are_kept():
    """A holder dropped all bills of a peer after its write, also later ones."""

    async def scenario(source, first, second, write):
        first.bills.open_bills["a1"] = ("studio", "desk", "", 0, 0)
        first.bills.rounds[-1][1] = dict(first.bills.open_bills)
        send_report(first, second)
        second.bill_replicas.mark_ended("d1-1")
        writing = asyncio.ensure_future(write())
        await asyncio.sleep(0.005)
        first.bills.rounds[-1][1] = {"a2": ("studio", "desk", "", 0, 0)}
        send_report(first, second)
        await writing
        await write()
        return sorted(billed(source))

    for name in ("recover_orphans", "write_all"):
        source = SlowSource(table=table())
        first, second = [ready_daemon(name=n, source=source) for n in ("d1", "d2")]
        write = getattr(second.bill_replicas, name)
        if name == "recover_orphans":
            write = functools.partial(write, ())
        work = scenario(source, first, second, write)
        assert run_virtual(work) == ["a1", "a2"]


def test_a_third_peer_holds_bills_while_the_store_is_lost():
    """A daemon and both holders were killed around an outage (soak, seed 210)."""
    source, clock, (first, _) = fleet()
    names = ("d1", "d2", "d3", "d4")
    first.peers.update_daemons(tuple(address(name) for name in names))
    holders = {}
    for name in names[1:]:
        holders[name] = ready_daemon(name=name, source=source, clock=clock)
        send_report(holders[name], first)

    def deliver(copied):
        for peer in first.peers.bill_holders():
            holders[peer.instance].peers.apply(first.peers.build_bill_copy(copied))

    first.bills.on_bill = deliver
    source.daemons = {name: address(name) for name in names}
    run_request(first, "a1")
    [third] = holders.keys() - {peer.instance for peer in first.peers.bill_holders()}
    source.down = True
    assert not first.read()
    run_request(first, "a2")
    source.down = False
    clock.now += 6
    asyncio.run(holders[third].bill_replicas.recover_orphans((address(third),)))
    assert sorted(billed(source)) == ["a1", "a2"]


def test_bills_are_written_at_once_when_the_store_is_regained():
    """A daemon was killed within a second of the store's return (soak, seed 210)."""
    source, clock, (first, _) = fleet()
    run_request(first, "a1")
    source.down = True

    async def scenario():
        writes = asyncio.ensure_future(first.bill_flusher.run_flushes())
        await first.poller.read_once()
        await asyncio.sleep(0.6)
        source.down = False
        await first.poller.read_once()
        await asyncio.sleep(0.1)
        writes.cancel()

    run_virtual(scenario())
    assert sorted(billed(source)) == ["a1"]

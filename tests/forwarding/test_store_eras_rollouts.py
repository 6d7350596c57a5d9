"""Roll-outs when the store returns from an older copy: orders, records and sessions.

In these drills the store loses what was written after a copy and its era rises; the
operator then writes its orders again, under other revisions.
"""

import asyncio
import dataclasses

import orjson
import pytest

from linnetladder.coordination.platform import FaultKind
from linnetladder.forwarding.state import RolloutOrder, RolloutPhase, RolloutRecord
from tests.forwarding.test_platform import run_with_store
from tests.forwarding.test_rollouts import (
    DURATION_SECONDS,
    add_outcomes,
    advance,
    exchange_reports,
    target_sessions,
)
from tests.support.forwarding import (
    LocalDaemon,
    ManualClock,
    MemorySource,
    report,
    table,
)

PHASES = list(RolloutPhase)


@pytest.fixture
def site(monkeypatch):
    """Return a store, a clock and two daemons, with a roll-out just ordered."""

    async def skip_sleep(seconds):
        return None

    monkeypatch.setattr(asyncio, "sleep", skip_sleep)
    source, clock = MemorySource(table=table()), ManualClock()
    for name in ("old-1", "old-2", "old-3"):
        source.endpoints[name] = report(name)
    for name in ("new-1", "new-2", "new-3"):
        source.endpoints[name] = report(name, version="v2")
    write_order(source)
    daemons = [
        LocalDaemon(name=f"daemon-{number}", source=source, clock=clock)
        for number in (1, 2)
    ]
    return source, clock, daemons


def write_order(source, target="v2"):
    """Write an order as the operator does."""
    source.revision += 1
    source.orders["engines"] = RolloutOrder(
        service="engines",
        target=target,
        duration_seconds=DURATION_SECONDS,
        revision=source.revision,
    )


def copy_of(source):
    return dict(source.orders), dict(source.records), source.revision


def return_to(source, copy):
    """Let the store return from a copy."""
    orders, records, source.revision = copy
    source.orders, source.records = dict(orders), dict(records)
    source.era += 1


def run_until(site, phase):
    """Run a roll-out until a phase is written, and return the copy before it.

    Only the first daemon has read the last step.
    """
    source, clock, daemons = site
    for _ in range(80):
        copy = copy_of(source)
        clock.now += 0.5
        daemons[0].read()
        if phase is RolloutPhase.ROLLED_BACK and clock.now > 1004.0:
            add_outcomes(daemons[0])
        asyncio.run(daemons[0].rollouts.step())
        daemons[0].read()
        if "engines" in source.records and source.records["engines"].phase is phase:
            return copy
        daemons[1].read()
    raise AssertionError(f"no record reached {phase}")


def progress(record):
    """Return what a record says of its order, without its place in the store."""
    return (
        record.target,
        record.order_revision,
        record.phase,
        record.ordered_unix,
        record.canary_unix,
        record.canary_share,
        record.ramp_unix,
        record.full_unix,
    )


# Guards against a step that only one daemon has read and that is lost in a drill.
@pytest.mark.parametrize("phase", PHASES)
def test_lost_step_is_written_again_with_its_times(site, phase):
    source, clock, daemons = site
    copy = run_until(site, phase)
    lost = source.records["engines"]
    writes = len(source.writes)
    return_to(source, copy)
    write_order(source)
    advance(clock, daemons, 1.5)
    assert progress(source.records["engines"]) == progress(lost)
    assert target_sessions(daemons[0]) == target_sessions(daemons[1])
    advance(clock, daemons, DURATION_SECONDS)
    rolled_back = phase is RolloutPhase.ROLLED_BACK
    last = RolloutPhase.ROLLED_BACK if rolled_back else RolloutPhase.COMPLETE
    assert source.records["engines"].phase is last
    assert source.writes[writes:] == sorted(
        set(source.writes[writes:]), key=PHASES.index
    )
    assert source.writes[writes] is phase


# Guards against a lost outcome of a roll-out that nobody writes for the operator again.
@pytest.mark.parametrize("phase", [RolloutPhase.COMPLETE, RolloutPhase.ROLLED_BACK])
def test_outcome_is_written_again_without_the_order_and_written_once(site, phase):
    source, clock, daemons = site
    run_until(site, phase)
    daemons[1].read()
    return_to(source, ({}, {}, 100))
    writes = len(source.writes)
    advance(clock, daemons, 6.0)
    write_order(source)
    advance(clock, daemons, DURATION_SECONDS)
    assert source.writes[writes:] == [phase]


# Guards against sessions that change version when the order is written again.
@pytest.mark.parametrize("phase", PHASES[:-1])
def test_sessions_keep_their_version_across_a_drill(site, phase):
    source, clock, daemons = site
    copy = run_until(site, phase)
    clock.now += 2.5
    moved = target_sessions(daemons[0])
    return_to(source, copy)
    for second in range(12):
        if second == 1:
            write_order(source)
        clock.now += 0.5
        for daemon in daemons:
            daemon.read()
            asyncio.run(daemon.rollouts.step())
        now = target_sessions(daemons[0])
        assert moved <= now
        moved = now
    assert moved


# Guards against sessions that are drawn anew when an order survives in the copy and the
# operator writes it again all the same.
def test_order_that_the_copy_contains_may_be_written_again(site):
    source, clock, daemons = site
    run_until(site, RolloutPhase.RAMP)
    lost = source.records["engines"]
    return_to(source, copy_of(source))
    advance(clock, daemons, 1.0)
    write_order(source)
    advance(clock, daemons, 2.0)
    assert progress(source.records["engines"]) == progress(lost)


# Guards against a bad target that gets sessions again after a drill.
def test_bad_target_stays_bad(site):
    source, clock, daemons = site
    copy = run_until(site, RolloutPhase.RAMP)
    add_outcomes(daemons[0])
    source.down = True
    asyncio.run(daemons[0].rollouts.step())
    source.down = False
    for daemon in daemons:
        daemon.rollouts.analysis.findings = lambda order: []
    return_to(source, copy)
    write_order(source)
    for _ in range(8):
        advance(clock, daemons, 0.5)
        exchange_reports(daemons)
        assert all(target_sessions(daemon) == set() for daemon in daemons)
    assert source.records["engines"].phase is RolloutPhase.ROLLED_BACK


# Guards against a daemon that starts after a drill and steers the roll-out anew.
def test_daemon_that_starts_after_a_drill_joins_the_roll_out(site):
    source, clock, daemons = site
    copy = run_until(site, RolloutPhase.FULL)
    lost = source.records["engines"]
    return_to(source, copy)
    write_order(source)
    advance(clock, daemons, 1.5)
    late = LocalDaemon(name="daemon-3", source=source, clock=clock)
    late.read()
    asyncio.run(late.rollouts.step())
    assert progress(source.records["engines"]) == progress(lost)
    assert target_sessions(late) == target_sessions(daemons[0])


# Guards against two daemons that write over each other's records for the same order.
def test_daemon_that_starts_before_the_restoration_joins_the_roll_out(site):
    source, clock, daemons = site
    run_until(site, RolloutPhase.RAMP)
    lost = source.records["engines"]
    return_to(source, ({}, {}, 100))
    write_order(source)
    write_order(source)
    late = LocalDaemon(name="daemon-3", source=source, clock=clock)
    late.read()
    asyncio.run(late.rollouts.step())
    assert source.records["engines"].phase is RolloutPhase.CANARY
    advance(clock, [*daemons, late], 2.0)
    assert progress(source.records["engines"]) == progress(lost)
    assert target_sessions(late) == target_sessions(daemons[0])


# Guards against an older order that a daemon without history steers over the newer one.
def test_daemon_that_starts_in_a_drill_waits_for_the_operator(site):
    source, clock, daemons = site
    run_until(site, RolloutPhase.COMPLETE)
    copy = copy_of(source)
    write_order(source, target="v3")
    advance(clock, daemons, 4.0)
    lost = source.records["engines"]
    return_to(source, copy)
    advance(clock, daemons, 0.5)
    late = LocalDaemon(name="daemon-3", source=source, clock=clock)
    writes = len(source.writes)
    advance(clock, [late], 1.0)
    write_order(source, target="v3")
    advance(clock, [late, *daemons], 1.0)
    assert source.writes[writes:] == []
    assert progress(source.records["engines"]) == progress(lost)
    assert target_sessions(late) == target_sessions(daemons[0])


# Guards against an order of the older copy that is steered until its successor is back.
def test_older_order_is_not_steered(site):
    source, clock, daemons = site
    run_until(site, RolloutPhase.COMPLETE)
    copy = copy_of(source)
    write_order(source, target="v3")
    advance(clock, daemons, 4.0)
    lost = source.records["engines"]
    assert lost.target == "v3"
    return_to(source, copy)
    for _ in range(16):
        advance(clock, daemons, 0.5)
        assert daemons[0].rollouts.orders["engines"].target == "v3"
    write_order(source, target="v3")
    advance(clock, daemons, 1.0)
    assert source.records["engines"].order_revision == lost.order_revision
    assert source.writes.count(RolloutPhase.CANARY) == 3


# Guards against an order of the copy that a daemon doesn't know as an earlier one.
def test_unknown_order_waits_until_the_operator_has_written_again(site):
    source, clock, daemons = site
    run_until(site, RolloutPhase.COMPLETE)
    source.revision += 50
    return_to(source, copy_of(source))
    write_order(source, target="v3")
    advance(clock, daemons, 2.5)
    assert daemons[0].rollouts.orders["engines"].target == "v2"
    write_order(source, target="v2")
    advance(clock, daemons, 4.0)
    assert daemons[0].rollouts.orders["engines"].target == "v2"


# Guards against a new order that is ignored, or taken for a bad one of the same number.
def test_new_order_of_a_new_era_is_steered(site):
    source, clock, daemons = site
    copy = run_until(site, RolloutPhase.ROLLED_BACK)
    exchange_reports(daemons)
    revision = source.orders["engines"].revision
    return_to(source, ({}, {}, copy[2]))
    source.revision = revision - 1
    write_order(source, target="v3")
    assert source.orders["engines"].revision == revision
    for name in ("newer-1", "newer-2", "newer-3"):
        source.endpoints[name] = report(name, version="v3")
    advance(clock, daemons, 6.0)
    record = source.records["engines"]
    assert (record.target, record.phase) == ("v3", RolloutPhase.CANARY)
    clock.now += 2.0
    assert target_sessions(daemons[0])


# Guards against a record of a new order that a daemon overwrites while it still waits.
def test_order_that_a_peer_has_accepted_is_accepted_at_once(site):
    source, clock, daemons = site
    run_until(site, RolloutPhase.COMPLETE)
    return_to(source, copy_of(source))
    write_order(source, target="v3")
    daemons[0].read()
    clock.now += 3.0
    daemons[0].read()
    asyncio.run(daemons[0].rollouts.step())
    written = source.records["engines"]
    assert written.target == "v3"
    for _ in range(2):
        daemons[1].read()
        asyncio.run(daemons[1].rollouts.step())
    daemons[1].read()
    assert daemons[1].rollouts.orders["engines"].target == "v3"
    assert source.records["engines"] == written


# Guards against a rolled back target that stays so under a new order of the new era.
def test_repeated_order_after_a_drill_is_steered(site):
    source, clock, daemons = site
    run_until(site, RolloutPhase.ROLLED_BACK)
    return_to(source, copy_of(source))
    advance(clock, daemons, 60.0)
    write_order(source)
    advance(clock, daemons, DURATION_SECONDS)
    assert source.records["engines"].phase is RolloutPhase.COMPLETE


# Guards against daemons that disagree whether an order was written again or repeated.
@pytest.mark.parametrize("phase", PHASES)
def test_daemons_agree_on_an_order_that_is_written_as_the_grace_ends(site, phase):
    source, clock, daemons = site
    run_until(site, phase)
    daemons[1].read()
    lost = source.records["engines"]
    return_to(source, copy_of(source))
    advance(clock, daemons, 3.0)
    clock.now += 0.4
    write_order(source)
    daemons[0].read()
    clock.now += 0.2
    advance(clock, daemons[::-1], 3.0)
    stored = source.records["engines"]
    assert stored.order_revision == lost.order_revision
    assert stored.phase.rank >= lost.phase.rank
    assert target_sessions(daemons[0]) == target_sessions(daemons[1])


# Guards against the record of an earlier order that is taken for the repeated order's.
def test_earlier_record_for_the_same_target_is_not_taken(site):
    source, clock, daemons = site
    run_until(site, RolloutPhase.ROLLED_BACK)
    copy = copy_of(source)
    return_to(source, copy)
    advance(clock, daemons, 60.0)
    copy = copy_of(source)
    write_order(source)
    advance(clock, daemons, 4.0)
    lost = source.records["engines"]
    assert lost.phase is RolloutPhase.CANARY
    return_to(source, copy)
    advance(clock, daemons, 1.0)
    write_order(source)
    advance(clock, daemons, 1.0)
    assert progress(source.records["engines"]) == progress(lost)


# Guards against a record that is lost when the store returns twice within seconds.
@pytest.mark.parametrize("phase", PHASES)
def test_two_drills_in_a_row(site, phase):
    source, clock, daemons = site
    copy = run_until(site, phase)
    lost = source.records["engines"]
    for _ in range(2):
        return_to(source, copy)
        write_order(source)
        advance(clock, daemons, 1.0)
    assert progress(source.records["engines"]) == progress(lost)
    assert target_sessions(daemons[0]) == target_sessions(daemons[1])


# Guards against a step that a daemon takes anew before it has read a peer's later one.
def test_no_new_step_before_peers_can_have_written_theirs_again(site):
    source, clock, daemons = site
    copy = run_until(site, RolloutPhase.RAMP)
    return_to(source, copy)
    writes = len(source.writes)
    clock.now += 0.5
    for _ in range(3):
        daemons[1].read()
        asyncio.run(daemons[1].rollouts.step())
        clock.now += 0.5
    assert source.writes[writes:] == []
    advance(clock, daemons[1:], 1.0)
    assert source.writes[writes:] == [RolloutPhase.RAMP]


# Guards against daemons that write one final phase over the other without end.
def test_final_phase_that_was_written_first_in_the_new_era_stays(site):
    source, clock, daemons = site
    copy = run_until(site, RolloutPhase.COMPLETE)
    return_to(source, copy)
    daemons[1].read()
    clock.now += 2.5
    add_outcomes(daemons[1])
    asyncio.run(daemons[1].rollouts.step())
    assert source.records["engines"].phase is RolloutPhase.ROLLED_BACK
    writes = len(source.writes)
    advance(clock, daemons, 6.0)
    assert source.writes[writes:] == []
    assert target_sessions(daemons[0]) == target_sessions(daemons[1]) == set()


# Guards against a write on a position of an ended era, where another value may lie.
def test_record_is_not_written_over_a_revision_of_an_ended_era():
    async def work(server, store, source):
        record = RolloutRecord(
            service="s1",
            target="v2",
            order_revision=3,
            phase=RolloutPhase.CANARY,
            ordered_unix=1.0,
            canary_unix=2.0,
            canary_share=0.05,
        )
        assert (await source.write_rollout(record)).unwrap()
        (found,) = (await source.read()).unwrap().records
        found = dataclasses.replace(found, era=1)
        assert (await source.write_rollout(found)).unwrap()
        (found,) = (await source.read()).unwrap().records
        found = dataclasses.replace(found, era=1)
        server.rewind(0.0)
        await source.read()
        calls = server.calls["kv-txn"]
        written = await source.write_rollout(found)
        assert written.failure().kind is FaultKind.REJECTED
        assert server.calls["kv-txn"] == calls
        again = dataclasses.replace(found, era=2)
        assert (await source.write_rollout(again)).unwrap()

    run_with_store(work)


# Guards against a value of the ended era that is returned for the same revision.
def test_order_under_a_revision_that_is_given_out_again_is_decoded():
    async def work(server, store, source):
        order = {"Service": "engines", "Target": "v2", "DurationS": 24}
        server.put("op/rollout/engines", order)
        (before,) = (await source.read()).unwrap().orders
        server.rewind(60.0)
        server.put("op/rollout/engines", {**order, "Target": "v3"})
        (after,) = (await source.read()).unwrap().orders
        assert after.revision == before.revision
        assert after.target == "v3"

    run_with_store(work)


# Guards against an outcome that is kept in memory but not accepted by the store itself.
def test_lost_record_and_status_are_written_to_the_store_again():
    async def work(server, store, source):
        order = {"Service": "engines", "Target": "v2", "DurationS": 24}
        clock = ManualClock()
        server.put("op/rollout/engines", order)
        daemon = LocalDaemon(source=source, clock=clock)
        daemon.rollouts.random.uniform = lambda low, high: low
        await daemon.poller.read_once()
        await daemon.rollouts.step()
        await daemon.poller.read_once()
        clock.now += 2.5
        order_read = daemon.rollouts.orders["engines"]
        daemon.rollouts.add_bad_targets([("engines", order_read.identity)])
        await daemon.rollouts.step()
        lost = orjson.loads(server.value("router/rollouts/engines"))
        assert lost["phase"] == "rolled_back"
        await daemon.poller.read_once()
        server.rewind(60.0)
        server.put("other", {})
        server.put("op/rollout/engines", order)
        await daemon.poller.read_once()
        await daemon.rollouts.step()
        written = orjson.loads(server.value("router/rollouts/engines"))
        for name in ("phase", "order_revision", "order_era", "canary_unix"):
            assert written[name] == lost[name]
        status = orjson.loads(server.value("status/rollout/engines"))
        assert status == {"State": "rolled_back", "Target": "v2"}

    run_with_store(work)

"""Roll-outs: agreement between daemons, exposure, detection of bad versions, steps."""

import asyncio
import math
import random

import pytest

from linnetladder.forwarding.coordination import rollouts
from linnetladder.forwarding.coordination.directory import version_of
from linnetladder.forwarding.coordination.outcomes import AttemptOutcome
from linnetladder.forwarding.state import RolloutOrder, RolloutPhase
from tests.support.forwarding import (
    LocalDaemon,
    ManualClock,
    MemorySource,
    report,
    table,
)

DURATION_SECONDS = 24.0
SESSIONS = [f"session-{number}" for number in range(400)]


@pytest.fixture
def fleet(monkeypatch):
    """Return a store, a clock and three daemons, with a roll-out just ordered."""

    async def skip_sleep(seconds):
        return None

    monkeypatch.setattr(asyncio, "sleep", skip_sleep)
    source, clock = MemorySource(table=table()), ManualClock()
    for name in ("old-1", "old-2", "old-3"):
        source.endpoints[name] = report(name)
    for name in ("new-1", "new-2", "new-3"):
        source.endpoints[name] = report(name, version="v2")
    source.orders["engines"] = RolloutOrder(
        service="engines", target="v2", duration_seconds=DURATION_SECONDS, revision=7
    )
    daemons = [
        LocalDaemon(name=f"daemon-{number}", source=source, clock=clock)
        for number in (1, 2, 3)
    ]
    return source, clock, daemons


def advance(clock, daemons, seconds, *, stepping=None):
    """Advance the clock; all daemons read, and some step, every half second."""
    for _ in range(round(seconds * 2)):
        clock.now += 0.5
        for daemon in daemons:
            daemon.read()
        for daemon in stepping if stepping is not None else daemons:
            asyncio.run(daemon.rollouts.step())


def target_sessions(daemon):
    return {
        session
        for session in SESSIONS
        if daemon.rollouts.rule_for("engines", session).only_target
    }


def exchange_reports(daemons):
    """Deliver a report of every daemon to every daemon."""
    for sender in daemons:
        for receiver in daemons:
            receiver.peers.apply(sender.peers.build())


def test_before_the_first_record_nothing_runs_on_the_target(fleet):
    source, clock, daemons = fleet
    assert daemons[0].read()
    assert target_sessions(daemons[0]) == set()


def test_daemons_agree_on_every_session_at_every_moment(fleet):
    source, clock, daemons = fleet
    for _ in range(44):
        advance(clock, daemons, 0.5)
        assert (
            target_sessions(daemons[0])
            == target_sessions(daemons[1])
            == target_sessions(daemons[2])
        )


def test_a_step_is_acted_on_only_when_all_daemons_have_read_it(fleet):
    source, clock, daemons = fleet
    advance(clock, daemons, 1.0)
    first_read = target_sessions(daemons[0])
    assert source.records["engines"].phase is RolloutPhase.CANARY
    assert first_read == set()
    clock.now += 2.1
    assert target_sessions(daemons[0])


def test_no_session_moves_in_the_first_half_once_the_canary_runs(fleet):
    source, clock, daemons = fleet
    advance(clock, daemons, 3.5)
    first = target_sessions(daemons[0])
    assert 0 < len(first) < 0.15 * len(SESSIONS)
    advance(clock, daemons, DURATION_SECONDS / 2 - 4.0)
    assert target_sessions(daemons[0]) == first


def test_no_session_moves_back_while_the_share_rises(fleet):
    source, clock, daemons = fleet
    moved_sessions = set()
    for _ in range(44):
        advance(clock, daemons, 0.5)
        now = target_sessions(daemons[0])
        assert moved_sessions <= now
        moved_sessions = now
    assert moved_sessions == set(SESSIONS)


def test_the_roll_out_of_a_good_version_completes_in_time(fleet):
    source, clock, daemons = fleet
    advance(clock, daemons, DURATION_SECONDS - 0.5)
    assert source.writes == [
        RolloutPhase.CANARY,
        RolloutPhase.RAMP,
        RolloutPhase.FULL,
        RolloutPhase.COMPLETE,
    ]


def test_a_roll_out_does_not_complete_while_the_old_version_has_requests(fleet):
    source, clock, daemons = fleet
    advance(clock, daemons, 18.0)
    busy = daemons[1].table.endpoints["old-2"]
    busy.in_flight += 1
    exchange_reports(daemons)
    daemons[0].loads.peers["daemon-2"].received = clock.now + 60
    advance(clock, daemons, 2.5, stepping=daemons[:1])
    assert source.records["engines"].phase is RolloutPhase.FULL
    busy.in_flight -= 1
    exchange_reports(daemons)
    advance(clock, daemons, 1.0)
    assert source.records["engines"].phase is RolloutPhase.COMPLETE


def test_a_roll_out_completes_in_time_while_the_old_version_stays_busy(fleet):
    """The order is read 1.5 s late, and a second is left to repeat the last write."""
    source, clock, daemons = fleet
    clock.now += 1.5
    daemons[1].read()
    busy = daemons[1].table.endpoints["old-2"]
    busy.in_flight += 1
    for _ in range(round((DURATION_SECONDS - 1.5 - 1.0) * 2)):
        exchange_reports(daemons)
        advance(clock, daemons, 0.5)
    assert source.records["engines"].phase is RolloutPhase.COMPLETE


def test_another_daemon_continues_a_roll_out_after_the_first_stopped(fleet):
    source, clock, daemons = fleet
    advance(clock, daemons, 10.0, stepping=daemons[:1])
    advance(clock, daemons, DURATION_SECONDS - 10.5, stepping=daemons[2:])
    assert source.records["engines"].phase is RolloutPhase.COMPLETE


def test_a_step_whose_write_reply_was_lost_is_written_once(fleet):
    source, clock, daemons = fleet
    source.lose_replies = 1
    advance(clock, daemons, DURATION_SECONDS - 0.5)
    assert source.writes.count(RolloutPhase.CANARY) == 1
    assert source.records["engines"].phase is RolloutPhase.COMPLETE


def add_outcomes(daemon, *, route="draft", endpoints=("new-1", "new-2"), bad=6, good=6):
    for name in endpoints:
        for _ in range(bad):
            daemon.outcomes.add(name, route, AttemptOutcome.FAILED)
        for _ in range(good):
            daemon.outcomes.add(name, route, AttemptOutcome.GOOD)
    for name in ("old-1", "old-2"):
        for _ in range(60):
            daemon.outcomes.add(name, route, AttemptOutcome.GOOD)


def test_a_bad_version_loses_all_sessions_at_once_and_is_rolled_back(fleet):
    source, clock, daemons = fleet
    advance(clock, daemons, 4.0)
    add_outcomes(daemons[0])
    asyncio.run(daemons[0].rollouts.step())
    assert target_sessions(daemons[0]) == set()
    assert source.records["engines"].phase is RolloutPhase.ROLLED_BACK
    daemons[1].read()
    assert target_sessions(daemons[1]) == set()


def test_all_daemons_avoid_a_bad_version_while_the_store_is_down(fleet):
    source, clock, daemons = fleet
    advance(clock, daemons, 4.0)
    source.down = True
    add_outcomes(daemons[0])
    asyncio.run(daemons[0].rollouts.step())
    exchange_reports(daemons)
    assert all(target_sessions(daemon) == set() for daemon in daemons)
    source.down = False
    advance(clock, daemons, 1.0)
    assert source.records["engines"].phase is RolloutPhase.ROLLED_BACK


def test_bad_answers_seen_by_several_daemons_are_added_up(fleet):
    source, clock, daemons = fleet
    advance(clock, daemons, 4.0)
    for daemon, name in zip(daemons, ("new-1", "new-2", "new-3"), strict=True):
        add_outcomes(daemon, endpoints=(name,), bad=2, good=1)
        daemon.rollouts._detect_bad_target(source.orders["engines"])
        assert not daemon.rollouts.bad_targets
    exchange_reports(daemons)
    daemons[0].rollouts._detect_bad_target(source.orders["engines"])
    assert daemons[0].rollouts.bad_targets


def test_one_bad_endpoint_does_not_mark_its_version_bad(fleet):
    source, clock, daemons = fleet
    advance(clock, daemons, 4.0)
    add_outcomes(daemons[0], endpoints=("new-1",), bad=12, good=0)
    daemons[0].outcomes.add("new-2", "draft", AttemptOutcome.GOOD)
    daemons[0].rollouts._detect_bad_target(source.orders["engines"])
    assert not daemons[0].rollouts.bad_targets


def test_a_version_that_is_bad_on_one_route_is_detected(fleet):
    source, clock, daemons = fleet
    advance(clock, daemons, 4.0)
    for name in ("new-1", "new-2"):
        for _ in range(100):
            daemons[0].outcomes.add(name, "other", AttemptOutcome.GOOD)
    add_outcomes(daemons[0])
    daemons[0].rollouts._detect_bad_target(source.orders["engines"])
    assert daemons[0].rollouts.bad_targets


def test_a_target_that_was_rolled_back_runs_under_a_new_order(fleet):
    source, clock, daemons = fleet
    advance(clock, daemons, 4.0)
    add_outcomes(daemons[0])
    asyncio.run(daemons[0].rollouts.step())
    source.orders["engines"] = RolloutOrder(
        service="engines", target="v2", duration_seconds=DURATION_SECONDS, revision=900
    )
    clock.now += 60
    advance(clock, daemons, DURATION_SECONDS - 0.5)
    assert source.records["engines"].phase is RolloutPhase.COMPLETE


def test_the_version_of_an_endpoint_is_read_from_its_service(fleet):
    source, clock, daemons = fleet
    daemons[0].read()
    assert version_of(daemons[0].table.endpoints["new-1"]) == "v2"


def test_failures_at_a_low_request_rate_are_detected(fleet):
    """A canary gets one request per second and fails every other one."""
    source, clock, daemons = fleet
    advance(clock, daemons, 3.0)
    for second in range(18):
        clock.now += 1.0
        failed = second % 2 == 0
        outcome = AttemptOutcome.FAILED if failed else AttemptOutcome.GOOD
        daemons[0].outcomes.add(f"new-{1 + second // 2 % 3}", "draft", outcome)
        for _ in range(8):
            daemons[0].outcomes.add("old-1", "draft", AttemptOutcome.GOOD)
    daemons[0].rollouts._detect_bad_target(source.orders["engines"])
    assert daemons[0].rollouts.bad_targets


def test_a_bad_version_is_detected_while_the_old_one_fails_too(fleet):
    source, clock, daemons = fleet
    advance(clock, daemons, 4.0)
    for serial in range(60):
        outcome = AttemptOutcome.FAILED if serial % 3 == 0 else AttemptOutcome.GOOD
        daemons[0].outcomes.add("old-1", "draft", outcome)
    for serial in range(40):
        outcome = AttemptOutcome.FAILED if serial % 4 else AttemptOutcome.GOOD
        daemons[0].outcomes.add(f"new-{1 + serial % 2}", "draft", outcome)
    daemons[0].rollouts._detect_bad_target(source.orders["engines"])
    assert daemons[0].rollouts.bad_targets


def test_a_version_that_turns_bad_late_is_detected_despite_its_good_answers(fleet):
    source, clock, daemons = fleet
    advance(clock, daemons, 3.0)
    for serial in range(600):
        daemons[0].outcomes.add(f"new-{1 + serial % 3}", "draft", AttemptOutcome.GOOD)
        clock.now += 0.03
    for serial in range(80):
        outcome = AttemptOutcome.FAILED if serial % 2 else AttemptOutcome.GOOD
        daemons[0].outcomes.add(f"new-{1 + serial % 3}", "draft", outcome)
        clock.now += 0.05
    daemons[0].rollouts._detect_bad_target(source.orders["engines"])
    assert daemons[0].rollouts.bad_targets


def test_a_suspect_version_gets_no_larger_share_until_more_good_answers_come(fleet):
    source, clock, daemons = fleet
    advance(clock, daemons, 9.5)
    add_outcomes(daemons[0], bad=2, good=7)
    advance(clock, daemons, 2.0, stepping=daemons[:1])
    assert source.records["engines"].phase is RolloutPhase.CANARY
    for name in ("new-1", "new-2", "new-3"):
        for _ in range(20):
            daemons[0].outcomes.add(name, "draft", AttemptOutcome.GOOD)
    advance(clock, daemons, 1.0, stepping=daemons[:1])
    assert source.records["engines"].phase is RolloutPhase.RAMP


def test_broken_connections_do_not_mark_a_version_bad(fleet):
    source, clock, daemons = fleet
    advance(clock, daemons, 4.0)
    for name in ("new-1", "new-2", "new-3"):
        for _ in range(20):
            daemons[0].outcomes.add(name, "draft", AttemptOutcome.BROKEN)
    daemons[0].rollouts._detect_bad_target(source.orders["engines"])
    assert not daemons[0].rollouts.bad_targets


def test_a_larger_fleet_moves_a_smaller_share_to_the_canary(fleet):
    """The number of sessions that move at the start must not grow with the traffic."""
    source, clock, daemons = fleet
    daemons[0].read()
    for _ in range(8):
        daemons[0].budget.count_request("engines")
    daemons[0].rollouts.daemons = 6
    small = daemons[0].rollouts._canary_share("engines")
    daemons[0].rollouts.daemons = 66
    large = daemons[0].rollouts._canary_share("engines")
    assert small * 24 == pytest.approx(1.1, rel=0.05)
    assert large * 264 == pytest.approx(1.1, rel=0.05)


def test_a_version_that_is_only_slow_is_detected(fleet):
    """Over half of its streams take eight times as long between events, in a burst."""
    source, clock, daemons = fleet
    daemon = daemons[0]
    advance(clock, daemons, 3.0)
    draw = random.Random(5)
    for serial in range(200):
        version = "new" if serial % 8 == 0 else "old"
        endpoint = daemon.table.endpoints[f"{version}-{1 + serial % 3}"]
        pace = 0.07 * draw.uniform(0.5, 1.6)
        if version == "new" and draw.random() < 0.6:
            pace *= 8
        is_target = daemon.rollouts.is_rollout_target(endpoint)
        assert is_target is (version == "new")
        daemon.outcomes.add(endpoint.name, "draft", AttemptOutcome.GOOD)
        daemon.outcomes.add_duration(
            endpoint.name, "draft", "small", pace, learn=not is_target
        )
    daemon.rollouts._detect_bad_target(source.orders["engines"])
    assert daemon.rollouts.bad_targets


def test_a_version_that_is_a_little_slower_is_not_suspect(fleet):
    source, clock, daemons = fleet
    daemon = daemons[0]
    advance(clock, daemons, 3.0)
    draw = random.Random(6)
    for serial in range(400):
        version = "new" if serial % 8 == 0 else "old"
        endpoint = daemon.table.endpoints[f"{version}-{1 + serial % 3}"]
        pace = 0.07 * draw.uniform(0.5, 1.6) * (1.25 if version == "new" else 1.0)
        is_target = daemon.rollouts.is_rollout_target(endpoint)
        daemon.outcomes.add(endpoint.name, "draft", AttemptOutcome.GOOD)
        daemon.outcomes.add_duration(
            endpoint.name, "draft", "small", pace, learn=not is_target
        )
    assert not daemon.rollouts._is_suspect(source.orders["engines"])


def test_expected_durations_are_not_learnt_from_the_target_version(fleet):
    source, clock, daemons = fleet
    outcomes = daemons[0].outcomes
    outcomes.log_slowdown("draft", "small", 0.05, learn=True)
    for _ in range(100):
        assert outcomes.log_slowdown("draft", "small", 0.4, learn=False) > 2.0


def test_a_version_is_evaluated_again_in_the_ramp_phase(fleet):
    """A version that fails only under load is good as a canary and bad in the ramp."""
    source, clock, daemons = fleet
    advance(clock, daemons, 13.0)
    assert source.records["engines"].phase is RolloutPhase.RAMP
    add_outcomes(daemons[0], bad=2, good=7)
    advance(clock, daemons, 4.0, stepping=daemons[:1])
    assert source.records["engines"].phase is RolloutPhase.RAMP
    assert len(target_sessions(daemons[0])) < 0.4 * len(SESSIONS)
    add_outcomes(daemons[0], bad=2, good=7)
    advance(clock, daemons, 3.0, stepping=daemons[:1])
    assert source.records["engines"].phase is RolloutPhase.ROLLED_BACK


def test_a_slow_version_is_detected_while_the_old_one_is_under_load(fleet):
    """In a burst the old version is as slow as the new one is without load."""
    source, clock, daemons = fleet
    daemon = daemons[0]
    advance(clock, daemons, 3.0)
    draw = random.Random(7)
    for serial in range(300):
        new = serial % 15 == 0
        in_flight = 1 if new or serial < 60 else 12
        pace = 0.02 * (1 + in_flight / 4) * draw.uniform(0.7, 1.4) * (4 if new else 1)
        name = f"{'new' if new else 'old'}-{1 + serial % 3}"
        daemon.outcomes.add_duration(
            name, "draft", "small", pace, learn=not new, in_flight=in_flight
        )
    daemon.rollouts._detect_bad_target(source.orders["engines"])
    assert daemon.rollouts.bad_targets


def test_a_restarted_daemon_waits_for_peer_reports_before_it_advances_a_roll_out(fleet):
    """A version is found bad during an outage of the store.

    When the store is back, a restarted daemon must not advance the roll-out before it
    knows what its peers found.
    """
    source, clock, daemons = fleet
    advance(clock, daemons, 15.0)
    assert source.records["engines"].phase is RolloutPhase.RAMP
    source.down = True
    add_outcomes(daemons[0])
    asyncio.run(daemons[0].rollouts.step())
    clock.now += 4.0
    source.down = False
    restarted = LocalDaemon(name="daemon-3", source=source, clock=clock)
    restarted.read()
    asyncio.run(restarted.rollouts.step())
    assert source.records["engines"].phase is RolloutPhase.RAMP
    restarted.peers.apply(daemons[0].peers.build())
    asyncio.run(restarted.rollouts.step())
    assert source.records["engines"].phase is RolloutPhase.ROLLED_BACK


def test_outcomes_of_endpoints_without_failures_are_reported_in_one_row(fleet):
    """Reports must not grow with the number of endpoints.

    In a large fleet, daemons used to report a row for each endpoint and route.
    """
    source, clock, daemons = fleet
    for number in range(60):
        source.endpoints[f"more-{number}"] = report(f"more-{number}")
    advance(clock, daemons, 4.0)
    for number in range(60):
        daemons[0].outcomes.add(f"more-{number}", "draft", AttemptOutcome.GOOD)
    for outcome in (AttemptOutcome.GOOD, AttemptOutcome.FAILED):
        daemons[0].outcomes.add("old-1", "draft", outcome)
    message = daemons[0].peers.build()
    assert len(message.report.outcomes) == 2
    daemons[1].peers.apply(message)
    analysis, order = daemons[1].rollouts.analysis, source.orders["engines"]
    (finding,) = (f for f in analysis.findings(order) if f.route == "draft")
    assert (finding.usual_total, finding.usual_failed) == (62, 1)
    assert daemons[1].outcomes.failure_rate("old-1") > 0.1
    assert daemons[1].outcomes.failure_rate("more-1") == 0.0


def test_a_version_with_too_few_answers_is_rolled_back(fleet):
    """A target must not get all sessions on too few answers.

    Seen at Muscat (slow versions, seed 596846723696): the target had given 3.8 answers,
    none of them timed, and was moved to the full phase.
    """
    source, clock, daemons = fleet
    advance(clock, daemons, 13.0)
    assert source.records["engines"].phase is RolloutPhase.RAMP
    for serial in range(200):
        daemons[0].outcomes.add(f"old-{1 + serial % 3}", "draft", AttemptOutcome.GOOD)
    for name in ("new-1", "new-2", "new-3"):
        daemons[0].outcomes.add(name, "draft", AttemptOutcome.GOOD)
    for _ in range(12):
        exchange_reports(daemons)
        advance(clock, daemons, 0.5)
    assert source.records["engines"].phase is RolloutPhase.ROLLED_BACK
    assert RolloutPhase.FULL not in source.writes


# Guards against a slow version that is completed in spite of the evidence against it.
@pytest.mark.parametrize(
    ("slowdown", "phase"),
    [(3.2, RolloutPhase.ROLLED_BACK), (1.0, RolloutPhase.COMPLETE)],
)
def test_a_version_in_doubt_is_not_completed(fleet, monkeypatch, slowdown, phase):
    source, clock, daemons = fleet
    monkeypatch.setattr(rollouts, "ROLLBACK_EVIDENCE", 1e9)
    daemon = daemons[0]
    draw = random.Random(1)
    while source.records.get("engines") is None or (
        source.records["engines"].phase
        not in (RolloutPhase.COMPLETE, RolloutPhase.ROLLED_BACK)
    ):
        advance(clock, daemons, 0.5)
        record = source.records.get("engines")
        if record is None or record.phase is not RolloutPhase.FULL:
            continue
        for name, factor in (("old-1", 1.0), ("new-1", slowdown), ("new-2", slowdown)):
            daemon.outcomes.add(name, "draft", AttemptOutcome.GOOD)
            seconds = 0.05 * factor * draw.uniform(0.7, 1.4)
            learn = name.startswith("old")
            daemon.outcomes.add_duration(name, "draft", "small", seconds, learn=learn)
    assert source.records["engines"].phase is phase
    assert clock.now - 1000.0 < DURATION_SECONDS


def test_a_completed_roll_out_is_not_rolled_back_by_a_daemon_that_was_waiting(
    fleet, monkeypatch
):
    """Guards against a service without endpoints: both versions would be stopped.

    A daemon that saw the last step due reads, while it waits for its turn, that another
    one has written it. Its doubts come after the old version's endpoints were stopped.
    """
    source, clock, daemons = fleet
    advance(clock, daemons, 18.0)
    assert source.records["engines"].phase is RolloutPhase.FULL
    advance(clock, daemons, 3.0, stepping=[])

    async def complete_elsewhere(seconds):
        monkeypatch.setattr(rollouts, "COMPLETION_EVIDENCE", math.inf)
        monkeypatch.setattr(rollouts.asyncio, "sleep", skip_sleep)
        await daemons[0].rollouts.step()
        monkeypatch.setattr(rollouts, "COMPLETION_EVIDENCE", -math.inf)
        assert await daemons[1].poller.read_once()

    async def skip_sleep(seconds):
        return None

    clock.now += 0.5
    assert daemons[0].read() and daemons[1].read()
    monkeypatch.setattr(rollouts.asyncio, "sleep", complete_elsewhere)
    asyncio.run(daemons[1].rollouts.step())
    assert source.records["engines"].phase is RolloutPhase.COMPLETE
    assert source.writes.count(RolloutPhase.COMPLETE) == 1
    assert RolloutPhase.ROLLED_BACK not in source.writes

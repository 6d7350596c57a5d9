"""What endpoints say of themselves in answers: that they leave, or want a pause."""

import asyncio

import pytest

from bench.notice_checks import (
    AskedPause,
    SentOn,
    find_leaving_violations,
    find_pause_violations,
)
from linnetladder.errors import ErrorKind, Ran
from linnetladder.forwarding.coordination.availability import ObstacleReason
from linnetladder.forwarding.coordination.calls import CallFault, CallFaultKind
from linnetladder.platform import PlatformEndpointCodec
from tests.support.forwarding import (
    LocalDaemon,
    RecordedReply,
    Script,
    broken,
    head,
    ready_daemon,
    report,
)
from tests.support.limited_fleet import LimitedFleet

SHED = {"status": 503, "not_run": True}
MINUTE = "Fri, 04 Dec 2026 09:01:00 GMT"
START = "Fri, 04 Dec 2026 09:00:00 GMT"


def single_engine_daemon(**options):
    """Return a daemon before one engine."""
    daemon = LocalDaemon(**options)
    daemon.source.endpoints["engine-1"] = report("engine-1")
    assert daemon.read()
    return daemon


def decode(status, **headers):
    """Return the head of an answer with some headers."""
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    return PlatformEndpointCodec().decode_response_head(status, fields)


# Leaving


@pytest.mark.parametrize(
    "script",
    [
        Script(leaving=True),
        Script(status=500, chunks=(b"failed",), leaving=True),
        Script(**SHED, leaving=True),
        Script(leaving=True, cut_after=1),
    ],
    ids=["success", "server error", "not run", "broken stream"],
)
def test_an_endpoint_that_says_it_leaves_gets_no_new_request(script):
    """Guards against work for endpoints whose entry says nothing of their leaving."""
    daemon = ready_daemon()
    daemon.answer(head(), script)
    left = daemon.calls.calls[0].instance
    for number in range(20):
        daemon.answer(head(attempt_id=f"b{number}", session=f"s{number}"))
    assert left not in [call.instance for call in daemon.calls.calls[1:]]


def test_leaving_is_not_unlearnt_from_the_registry_and_ends_with_a_new_incarnation():
    """Guards against endpoints in use again by an entry older than their answer."""
    daemon = single_engine_daemon()
    daemon.answer(head(), Script(leaving=True))
    assert daemon.read()
    assert daemon.answer(head(attempt_id="a2")).status == 503
    daemon.source.endpoints["engine-1"] = report("engine-1", incarnation="2")
    assert daemon.read()
    assert daemon.answer(head(attempt_id="a3")).status == 200


def test_an_answer_of_the_life_before_says_nothing_of_the_new_one():
    """Guards against a restarted endpoint left out for what its old process said."""
    daemon = single_engine_daemon()
    old = daemon.table.endpoints["engine-1"]
    daemon.source.endpoints["engine-1"] = report("engine-1", incarnation="2")
    assert daemon.read()
    daemon.directory.mark_leaving(old, reason="answer")
    assert daemon.answer(head()).status == 200


def test_peers_are_told_of_an_endpoint_that_said_it_leaves():
    """Guards against daemons that each have to be told by the endpoint itself."""
    daemon, peer = single_engine_daemon(), single_engine_daemon(name="daemon-2")
    daemon.answer(head(), Script(leaving=True))
    peer.peers.apply(daemon.peers.build())
    assert peer.table.endpoints["engine-1"].leaving
    assert peer.answer(head()).status == 503


def test_an_escalation_goes_to_an_endpoint_that_stays():
    """Guards against a second attempt at the endpoint that announced its leaving."""
    daemon = ready_daemon()
    daemon.answer(head(), Script(confidence=5.0, leaving=True))
    first, second = (call.instance for call in daemon.calls.calls)
    assert first != second


def test_a_call_that_is_withdrawn_goes_elsewhere_and_costs_no_attempt():
    """Guards against requests sent on connections that took long to open."""
    daemon = ready_daemon()
    withdrawn = CallFault(CallFaultKind.WITHDRAWN, "leaves", may_have_run=False)
    before = daemon.budget.available("desk")
    reply = daemon.answer(head("/save/1"), Script(fault=withdrawn))
    assert reply.status == 200
    assert len(daemon.calls.calls) == 2
    assert daemon.budget.available("desk") >= before
    assert daemon.outcomes.failure_rate(daemon.calls.calls[0].instance) == 0.0
    assert daemon.metrics.value("ejections") == 0


def test_a_connected_call_asks_whether_its_endpoint_still_accepts_it():
    """Guards against a check that sees only what was known at the choice."""
    daemon = single_engine_daemon()
    daemon.answer(head())
    (call,) = daemon.calls.calls
    endpoint = daemon.table.endpoints["engine-1"]
    assert call.may_send()
    pause = decode(503, Retry_After="2")
    daemon.pauses.end(None, endpoint, pause)
    assert not call.may_send()
    daemon.clock.now += 3.0
    assert call.may_send()
    daemon.directory.mark_leaving(endpoint, reason="answer")
    assert not call.may_send()


@pytest.mark.parametrize(
    ("value", "leaving"), [("1", True), ("0", False), ("", False), (" 1 ", True)]
)
def test_the_header_of_leaving_is_read_from_any_status(value, leaving):
    for status in (200, 421, 500, 503):
        assert decode(status, Server_Leaving=value).leaving is leaving


# Pauses


def test_an_endpoint_gets_nothing_during_the_pause_that_it_asked_for():
    """Guards against requests that an endpoint has said it doesn't want."""
    daemon = ready_daemon()
    daemon.answer(head(), Script(**SHED, pause=4.0))
    paused = daemon.calls.calls[0].instance
    for number in range(30):
        daemon.clock.now += 0.1
        daemon.answer(head(attempt_id=f"b{number}", session=f"s{number}"))
    assert paused not in [call.instance for call in daemon.calls.calls[1:]]


def test_all_endpoints_paused_refuses_at_once_with_the_earliest_return():
    """Guards against callers that wait, or come back before anything takes them."""
    daemon = ready_daemon()
    scripts = [Script(**SHED, pause=seconds) for seconds in (5.0, 2.0, 3.0)]
    first = daemon.answer(head(), *scripts)
    second = daemon.answer(head(attempt_id="a2"))
    assert len(daemon.calls.calls) == 3
    for reply in (first, second):
        assert (reply.status, reply.refusal.ran) == (503, Ran.NO)
        assert reply.refusal.kind is ErrorKind.OVERLOADED
    assert second.refusal.retry_after_seconds == pytest.approx(2.1, abs=0.1)


def test_a_refusal_after_a_run_does_not_claim_that_there_was_none():
    """Guards against a false promise when only paused endpoints are left."""
    daemon = ready_daemon()
    scripts = [Script(fault=broken())] + [Script(**SHED, pause=5.0)] * 2
    reply = daemon.answer(head(), *scripts)
    assert reply.refusal.ran is Ran.UNKNOWN
    assert reply.status not in (408, 421, 429, 503)


def test_an_ejected_endpoint_is_not_the_last_resort_during_its_pause():
    """Guards against the pause being passed over when nothing else is left."""
    daemon = single_engine_daemon()
    daemon.answer(head(), Script(**SHED, pause=5.0))
    daemon.quarantine.quarantined.clear()
    daemon.table.endpoints["engine-1"].ejected_until = daemon.clock.now + 60.0
    assert daemon.answer(head(attempt_id="a2")).status == 503
    assert len(daemon.calls.calls) == 1


def test_a_stream_that_has_begun_waits_until_a_pause_is_over():
    """Guards against streams broken off although an endpoint takes the rest in time."""
    fleet = LimitedFleet(daemons=1, endpoints=1)
    (daemon,) = fleet.daemons.values()

    async def scenario():
        assert await daemon.poller.read_once()
        engine = daemon.table.endpoints["engine-1"]
        daemon.pauses.end(None, engine, decode(503, Retry_After="1"))
        request = daemon.forwarder.admission.admit(
            head(), b"", received=daemon.clock.monotonic()
        ).unwrap()
        assert await daemon.sender._choose(request, "small") is None
        request.events = 3
        began = fleet.now
        assert await daemon.sender._choose(request, "small") is engine
        return fleet.now - began

    assert 1.0 <= fleet.loop.run_until_complete(scenario()) <= 1.2
    fleet.loop.close()


def test_a_pause_ends_with_the_incarnation_that_asked_for_it():
    """Guards against a restarted endpoint left idle for its old process."""
    daemon = single_engine_daemon()
    daemon.answer(head(), Script(**SHED, pause=60.0))
    daemon.source.endpoints["engine-1"] = report("engine-1", incarnation="2")
    assert daemon.read()
    assert daemon.answer(head(attempt_id="a2")).status == 200


def test_requests_return_by_slow_start_after_a_pause():
    """Guards against all waiting callers reaching an endpoint at the same moment."""
    daemon = single_engine_daemon()
    engine = daemon.table.endpoints["engine-1"]
    daemon.answer(head(), Script(**SHED, pause=2.0))
    daemon.clock.now += 2.5
    assert daemon.read()
    allowed = []
    while engine.name in daemon.pauses.pauses:
        begun = []
        while daemon.pauses.may_send(engine):
            begun.append(daemon.pauses.begin(engine))
        allowed.append(len(begun))
        for pause in begun[1:]:
            daemon.pauses.end(pause, engine, None)
        daemon.pauses.end(begun[0], engine, decode(200))
    assert allowed == [1, 2, 4, 8]
    assert daemon.availability_of(engine) is None


def test_a_pause_asked_for_again_during_the_slow_start_starts_anew():
    """Guards against a slow start that goes on while the endpoint is still full."""
    daemon = single_engine_daemon()
    engine = daemon.table.endpoints["engine-1"]
    daemon.answer(head(), Script(**SHED, pause=1.0))
    daemon.clock.now += 1.5
    assert daemon.read()
    daemon.answer(head(attempt_id="a2"), Script())
    assert daemon.pauses.pauses[engine.name].allowed == 2
    daemon.answer(head(attempt_id="a3"), Script(**SHED, pause=1.0))
    assert daemon.pauses.pauses[engine.name].allowed == 1
    assert daemon.availability_of(engine) is ObstacleReason.PAUSED


def test_a_call_without_an_answer_does_not_block_the_slow_start():
    """Guards against an endpoint that is never sent to again after a lost answer."""
    daemon = single_engine_daemon()
    daemon.answer(head(), Script(**SHED, pause=1.0))
    daemon.clock.now += 1.5
    assert daemon.read()
    daemon.answer(head(attempt_id="a2"), Script(fault=broken()))
    assert daemon.answer(head(attempt_id="a3")).status == 200


@pytest.mark.parametrize(
    ("headers", "seconds"),
    [
        ({"Retry_After": "2"}, 2.0),
        ({"Retry_After": " 0.25 "}, 0.25),
        ({"Retry_After": "0"}, 0.0),
        ({"Retry_After": "-3"}, None),
        ({"Retry_After": "nan"}, None),
        ({"Retry_After": "inf"}, None),
        ({"Retry_After": "soon"}, None),
        ({"Retry_After": ""}, None),
        ({"Retry_After": MINUTE, "Date": START}, 60.0),
        ({"Retry_After": START, "Date": MINUTE}, None),
        ({"Retry_After": MINUTE}, None),
        ({"Retry_After": MINUTE, "Date": "today"}, None),
    ],
)
def test_the_time_of_a_pause_is_read_or_named_as_unreadable(headers, seconds):
    """Guards against malformed times that stop the use of an endpoint for good."""
    answer = decode(503, **headers)
    assert (answer.pause_seconds, answer.names_pause) == (seconds, True)
    assert not decode(200, **headers).names_pause


def test_an_unreadable_time_is_counted_and_a_huge_one_is_cut():
    daemon = single_engine_daemon()
    engine = daemon.table.endpoints["engine-1"]
    daemon.pauses.end(None, engine, decode(503, Retry_After="soon"))
    assert daemon.pauses.may_send(engine)
    assert daemon.metrics.value("endpoint_pauses", label="unreadable") == 1
    daemon.pauses.end(None, engine, decode(503, Retry_After="1e300"))
    assert 3600.0 <= daemon.pauses.seconds_left(engine) <= 3601.0


def test_a_frozen_daemon_counts_the_time_of_its_freeze_towards_a_pause():
    """The daemon's clock goes on while it is suspended, so the pause has ended then."""
    daemon = single_engine_daemon()
    daemon.answer(head(), Script(**SHED, pause=3.0))
    daemon.clock.now += 30.0
    assert daemon.read()
    assert daemon.answer(head(attempt_id="a2")).status == 200


# Fleets


def test_a_fleet_keeps_pauses_while_endpoints_turn_requests_away_in_turns():
    """Guards against a daemon that sends more than two requests during a pause."""
    fleet = LimitedFleet(daemons=6, endpoints=4)
    fleet.run(
        seconds=20.0,
        per_second=60.0,
        events=(
            (2.0, lambda: fleet.pause("engine-1", 5.0)),
            (3.0, lambda: fleet.pause("engine-2", 2.0)),
            (4.0, lambda: fleet.pause("engine-3", 6.0)),
            (5.0, lambda: fleet.pause("engine-4", 1.0)),
            (9.0, lambda: fleet.restart_endpoint("engine-3")),
            (12.0, lambda: fleet.pause("engine-1", 3.0)),
        ),
    )
    assert sum(map(len, fleet.pauses.values())) >= 6
    assert fleet.notice_violations() == []
    assert fleet.received("engine-1", 16.0, 20.0) > 20


def test_requests_come_back_in_measure_when_the_last_endpoint_ends_its_pause():
    """Guards against a herd of sixty daemons in the second after a pause."""
    fleet = LimitedFleet(daemons=60, endpoints=1, reports=False)
    fleet.run(
        seconds=12.0,
        per_second=600.0,
        events=((2.0, lambda: fleet.pause("engine-1", 4.0)),),
    )
    assert fleet.notice_violations() == []
    assert fleet.received("engine-1", 6.0, 6.1) <= 60
    assert fleet.received("engine-1", 8.0, 9.0) > 500


def test_a_fleet_stops_sending_to_an_endpoint_that_left_by_its_own_word():
    """Guards against daemons that wait for the registry while answers tell them."""
    fleet = LimitedFleet(daemons=6, endpoints=3)
    fleet.run(
        seconds=14.0,
        per_second=60.0,
        events=(
            (2.0, lambda: fleet.leaving.add("engine-2")),
            (3.0, lambda: fleet.cut_from_store("daemon-4")),
            (9.0, lambda: fleet.restart_endpoint("engine-2")),
        ),
    )
    assert fleet.notice_violations() == []
    assert fleet.received("engine-2", 3.0, 9.0) == 0
    assert fleet.received("engine-2", 10.5, 14.0) > 10


# The checks themselves


def arrival(time, **changes):
    fields = {"daemon": "d#0", "sent_at": time, "passed_on_at": time + 0.1, **changes}
    return SentOn(time=time, **fields)


def test_the_check_detects_requests_sent_to_an_endpoint_that_said_it_leaves():
    told = arrival(10.0, told_at=10.05)
    late = arrival(13.0)
    check = {"drain_seconds": 2.0}
    assert len(find_leaving_violations("w", [told, late], **check)) == 1
    assert find_leaving_violations("w", [told, arrival(12.0)], **check) == []
    other = arrival(13.0, daemon="d#1")
    assert find_leaving_violations("w", [told, other], **check) == []
    excuses = ({"restarts": [11.0]}, {"excused": {"d#0": [(11.0, 12.0)]}})
    for excuse in excuses:
        assert find_leaving_violations("w", [told, late], **check, **excuse) == []


def test_the_check_detects_a_third_request_in_a_pause():
    pause = AskedPause(time=10.0, daemon="d#0", seconds=3.0)
    early, two = [arrival(10.4)] * 9, [arrival(11.0), arrival(12.9)]
    assert find_pause_violations("w", early + two, [pause]) == []
    three = [*early, *two, arrival(12.0)]
    assert len(find_pause_violations("w", three, [pause])) == 1
    excuses = ({"restarts": [12.0]}, {"excused": {"d#0": [(12.0, 12.5)]}})
    for excuse in excuses:
        assert find_pause_violations("w", three, [pause], **excuse) == []


def test_a_waiting_request_is_not_sent_to_an_endpoint_that_began_to_leave():
    """Guards against requests that were chosen for an endpoint before it left."""
    daemon = LocalDaemon()
    daemon.source.endpoints["engine-1"] = report("engine-1")
    assert daemon.read()
    engine = daemon.table.endpoints["engine-1"]
    daemon.limits.learn_answer(
        engine, decode(200, Server_Limit="5"), sent_at=daemon.clock.monotonic()
    )

    async def scenario():
        reply = RecordedReply()
        answering = asyncio.ensure_future(
            daemon.forwarder.answer(
                head(), b"", received=daemon.clock.monotonic(), reply=reply
            )
        )
        await asyncio.sleep(0)
        daemon.directory.mark_leaving(engine, reason="answer")
        await answering
        return reply

    assert asyncio.run(scenario()).status == 503
    assert daemon.calls.calls == []

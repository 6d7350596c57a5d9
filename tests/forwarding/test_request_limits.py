"""One daemon's part in the limits that endpoints name for all daemons."""

import asyncio

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from linnetladder.coordination.permit_schedule import PermitSchedule
from linnetladder.errors import ErrorKind
from linnetladder.forwarding.protocol import ResponseHead
from linnetladder.forwarding.protocol.daemon_messages import (
    decode_message,
    encode_message,
)
from tests.support.forwarding import (
    LocalDaemon,
    RecordedReply,
    Script,
    head,
    ready_daemon,
    report,
)

SECRET = b"secret"
OBJECTIVE_SECONDS = 2.0


def limited_daemon(limit, *, endpoints=("engine-1",), peers=0):
    """Return a daemon whose endpoints have named a limit, with other daemons."""
    daemon = LocalDaemon()
    for name in endpoints:
        daemon.source.endpoints[name] = report(name)
    assert daemon.read()
    daemon.limits.update_members(f"peer-{number}" for number in range(peers))
    for name in endpoints:
        daemon.limits.learn_answer(
            daemon.table.endpoints[name],
            answer_head(limit),
            sent_at=daemon.clock.monotonic(),
        )
    return daemon


def answer_head(limit=None, **changes):
    fields = {
        "status": 200,
        "attempt_id": "a1",
        "not_run": False,
        "misdirected": False,
        "sealed": True,
        "confidence": None,
        "closes_connection": False,
        "length": None,
        "headers": (),
        "request_limit": limit,
        "names_request_limit": limit is not None,
        **changes,
    }
    return ResponseHead(**fields)


def test_a_request_goes_to_another_endpoint_instead_of_a_limited_one():
    """Guards against waiting for a permit while another endpoint is free."""
    daemon = limited_daemon(0.1, endpoints=("engine-1", "engine-2"))
    daemon.limits.named.pop("engine-2")
    for number in range(5):
        assert daemon.answer(head(attempt_id=f"a{number}")).status == 200
    assert [call.instance for call in daemon.calls.calls] == ["engine-2"] * 5


def test_a_request_waits_for_a_permit_that_is_due_in_time():
    """Guards against refusals although the endpoint takes the request in time."""
    daemon = limited_daemon(10.0)
    reply = daemon.answer(head(), Script(limit=10.0))
    assert reply.status == 200
    assert daemon.metrics.value("permit_waits") == 1


def test_each_permit_is_used_for_one_request():
    """Guards against several requests sent by one permit."""
    daemon = limited_daemon(0.1)
    assert not daemon.limits.may_send(daemon.table.endpoints["engine-1"])
    daemon.clock.now += 10.5
    assert daemon.read()
    replies = [
        daemon.answer(head(attempt_id=f"a{number}"), Script(limit=0.1))
        for number in range(3)
    ]
    assert [reply.status for reply in replies] == [200, 503, 503]
    assert len(daemon.calls.calls) == 1


def test_a_refusal_names_the_time_of_the_next_permit():
    """Guards against callers that come back before the endpoint takes their request."""
    daemon = limited_daemon(1.0, peers=29)
    reply = daemon.answer()
    endpoint = daemon.table.endpoints["engine-1"]
    assert reply.status == 503
    assert reply.refusal.retry_after_seconds == pytest.approx(
        daemon.limits.seconds_until_next(endpoint)
    )
    assert reply.refusal.retry_after_seconds > OBJECTIVE_SECONDS / 2
    assert daemon.calls.calls == []


def test_a_permit_that_was_waited_for_is_not_used_after_the_limit_fell():
    """Guards against waiting requests that are sent by a limit which has changed."""
    daemon = limited_daemon(5.0)
    endpoint = daemon.table.endpoints["engine-1"]

    async def scenario():
        reply = RecordedReply()
        answering = asyncio.ensure_future(
            daemon.forwarder.answer(
                head(), b"", received=daemon.clock.monotonic(), reply=reply
            )
        )
        await asyncio.sleep(0)
        daemon.limits.update_members(f"peer-{number}" for number in range(99))
        daemon.limits.learn_answer(endpoint, answer_head(1.0), sent_at=0.0)
        await answering
        return reply

    assert asyncio.run(scenario()).refusal.kind is ErrorKind.OVERLOADED
    assert daemon.calls.calls == []


def test_an_answer_is_not_dropped_for_a_larger_model_that_takes_no_more_requests():
    """Guards against refusals of requests that had an answer of low confidence."""
    daemon = limited_daemon(0.5)
    assert not daemon.limits.may_send(daemon.table.endpoints["engine-1"])
    daemon.clock.now += 2.1
    reply = daemon.answer(head(), Script(confidence=1.0, limit=0.5))
    assert (reply.status, reply.complete) == (200, True)
    assert len(daemon.calls.calls) == 1


def test_a_silent_endpoint_is_not_given_up_for_one_without_a_permit():
    """Guards against streams that are cut although no other attempt can follow."""
    daemon = limited_daemon(0.1)
    daemon.source.endpoints["engine-2"] = report("engine-2")
    assert daemon.read()
    request = daemon.forwarder.admission.admit(
        head(), b"", received=daemon.clock.monotonic()
    ).unwrap()
    request.endpoints_tried.append("engine-2")
    request.times_sent = request.attempts = 1
    assert not daemon.sender.reserve_retry(request, "small")


@pytest.mark.parametrize(
    ("changes", "sent_after", "lifted"),
    [
        ({}, 0.1, True),
        ({}, -0.1, False),
        ({"not_run": True, "status": 503}, 0.1, False),
        ({"misdirected": True, "status": 421}, 0.1, False),
        ({"names_request_limit": True}, 0.1, False),
    ],
)
def test_only_a_later_answer_of_the_endpoint_lifts_its_limit(
    changes, sent_after, lifted
):
    """Guards against limits lifted by answers that overtook each other or say nothing.

    Such a lift lets all daemons send at once.
    """
    daemon = limited_daemon(2.0)
    endpoint = daemon.table.endpoints["engine-1"]
    sent_at = daemon.clock.monotonic() + sent_after
    daemon.clock.now += 1.0
    daemon.limits.learn_answer(endpoint, answer_head(**changes), sent_at=sent_at)
    assert daemon.limits.limit_of(endpoint) == (None if lifted else 2.0)


def test_a_limit_is_kept_by_daemons_that_heard_of_it_only_from_peers():
    """Guards against a daemon that sends more because it got no answer with a limit."""
    teller, hearer = limited_daemon(1.5), ready_daemon(name="daemon-2")
    message = teller.peers.build()
    hearer.peers.apply(
        decode_message(encode_message(message, secret=SECRET), secret=SECRET)
    )
    endpoint = hearer.table.endpoints["engine-1"]
    assert hearer.limits.limit_of(endpoint) == 1.5
    assert hearer.peers.build().report.limits[0][:3] == ("engine-1", "1", 1.5)


@pytest.mark.parametrize("age", [0.5, 1.5])
def test_the_later_answer_decides_between_a_daemon_and_its_peer(age):
    """Guards against limits that old reports lower, raise or lift again."""
    daemon = limited_daemon(2.0)
    daemon.clock.now += 1.0
    endpoint = daemon.table.endpoints["engine-1"]
    daemon.limits.learn_report([("engine-1", "1", None, age)])
    assert daemon.limits.limit_of(endpoint) == (None if age < 1.0 else 2.0)
    daemon.limits.learn_report([("engine-1", "0", 9.0, 0.0)])
    assert daemon.limits.limit_of(endpoint) == (None if age < 1.0 else 2.0)


def test_a_peer_that_missed_the_latest_limit_is_told_again():
    """Guards against daemons that keep an old limit until their next answer."""
    daemon = limited_daemon(2.0)
    daemon.clock.now += 10.0
    assert daemon.limits.export(maximum_bytes=100, news_only=True) == []
    daemon.limits.learn_report([("engine-1", "1", None, 20.0)])
    (row,) = daemon.limits.export(maximum_bytes=100, news_only=True)
    assert row[:3] == ("engine-1", "1", 2.0)


def test_limits_of_any_size_fit_into_a_report():
    """Guards against reports that can't be encoded for a limit out of range."""
    for limit in (0.0, 0.0004, 1 / 3, 1e300):
        daemon = limited_daemon(limit)
        message = decode_message(
            encode_message(daemon.peers.build(), secret=SECRET), secret=SECRET
        )
        known = daemon.limits.limit_of(daemon.table.endpoints["engine-1"])
        assert message.report.limits[0][2] == known


def test_many_limits_take_turns_in_reports_that_keep_to_their_size():
    """Guards against reports that grow with the number of limited endpoints."""
    names = [f"engine-{number}" for number in range(60)]
    daemon = limited_daemon(1.0, endpoints=names)
    told = set()
    for _ in range(15):
        message = daemon.peers.build(maximum_bytes=640)
        assert len(encode_message(message, secret=SECRET)) <= 640
        told |= {name for name, *_ in message.report.limits}
    assert told == set(names)


def test_a_daemon_that_only_the_store_has_lost_sight_of_shares_the_limits():
    """Guards against permits granted twice while daemons are cut off from the store."""
    first, second = LocalDaemon(name="daemon-1"), LocalDaemon(name="daemon-2")
    second.peers.sequence = iter((5,))
    first.peers.apply(second.peers.build())
    first.clock.now += 4.0
    assert first.peers.members() == {"daemon-1", "daemon-2"}
    first.clock.now += 30.0
    assert first.peers.members() == {"daemon-1"}


def test_a_step_of_the_clock_starves_no_daemon():
    """Guards against a daemon that waits for permits of a time that was set back."""
    daemon = limited_daemon(5.0, peers=5)
    endpoint = daemon.table.endpoints["engine-1"]
    daemon.limits.may_send(endpoint)
    daemon.clock.unix_offset -= 3600.0
    daemon.limits.may_send(endpoint)
    daemon.clock.now += 1.3
    assert daemon.limits.take(endpoint)


def test_changes_of_limits_are_counted_and_logged_at_most_once_a_second(monkeypatch):
    """Guards against a log that an endpoint floods by changing its limit."""
    lines = []
    monkeypatch.setattr(
        "linnetladder.forwarding.coordination.request_limits.log_change",
        lambda event, **fields: lines.append((event, fields["previous"])),
    )
    daemon = limited_daemon(1.0)
    endpoint = daemon.table.endpoints["engine-1"]
    for number in range(20):
        daemon.clock.now += 0.1
        daemon.limits.learn_answer(endpoint, answer_head(2.0 + number), sent_at=0.0)
    assert len(lines) == 3
    assert daemon.metrics.value("request_limits", label="named") == 21


@settings(max_examples=25, deadline=None, phases=(Phase.explicit, Phase.generate))
@given(
    rate=st.floats(0.05, 300.0),
    turns=st.integers(1, 40),
    skews=st.lists(st.floats(-0.4, 0.4), min_size=40, max_size=40),
    idle=st.lists(st.booleans(), min_size=40, max_size=40),
)
def test_permits_of_all_daemons_stay_within_the_limit(rate, turns, skews, idle):
    """Guards against bursts of permits that were saved up, at any skew of clocks."""
    start = 1_700_000_000.0
    schedules = [
        PermitSchedule(rate=rate, turn=turn, turns=turns, now=start + skews[turn])
        for turn in range(turns)
    ]
    taken = []
    for step in range(120):
        now = start + step * 0.1
        for turn, schedule in enumerate(schedules):
            # An idle daemon has no requests for the first nine seconds.
            while not (idle[turn] and step < 90) and schedule.take(now + skews[turn]):
                taken.append(now)
    effective = max(rate, 0.1)
    for index, first in enumerate(taken):
        number = sum(first <= time < first + 4.0 for time in taken[index:])
        assert number <= 1.5 * 4.0 * effective + 5.0

"""Endpoints that fall over if they have to turn too many requests away."""

import pytest

from linnetladder.errors import Ran
from linnetladder.forwarding.coordination.availability import ObstacleReason
from linnetladder.platform import PlatformEndpointCodec
from tests.support.forwarding import Script, ScriptedExchange, head, ready_daemon

BRITTLE = Script(brittle=4)
TURNED_AWAY = Script(status=503, not_run=True, brittle=4)


def own_slots(daemon, endpoint):
    return daemon.selection.availability.brittleness._own_slots(endpoint)


def engine(daemon, name="engine-1"):
    return daemon.table.endpoints[name]


def learn(daemon, script, *, name="engine-1", sent_at=None):
    """Let a daemon learn from an answer of an engine."""
    head = ScriptedExchange(script=script, attempt_id="a1").head
    sent_at = daemon.clock.monotonic() if sent_at is None else sent_at
    availability = daemon.selection.availability
    availability.learn_answer(engine(daemon, name), head, sent_at=sent_at)


@pytest.mark.parametrize("members", [1, 3, 6, 195, 366])
def test_the_slots_of_a_brittle_endpoint_are_divided_among_the_daemons(members):
    names = [f"daemon-{number}" for number in range(members)]
    total = 0
    for name in names:
        daemon = ready_daemon(name=name)
        daemon.limits.update_members(names)
        total += own_slots(daemon, engine(daemon))
    assert total == engine(daemon).capacity


def test_beyond_its_own_slots_a_daemon_uses_what_is_known_to_be_free():
    daemon = ready_daemon()
    daemon.limits.update_members([f"daemon-{number}" for number in range(8)])
    learn(daemon, BRITTLE)
    own = own_slots(daemon, engine(daemon))
    engine(daemon).in_flight = own
    assert daemon.availability_of(engine(daemon)) is None
    daemon.loads.learn("daemon-2", {"engine-1": (8 - own, 0.0)})
    daemon.clock.now += 0.1
    assert daemon.availability_of(engine(daemon)) is ObstacleReason.FULL


def test_a_brittle_endpoint_that_turned_a_request_away_gets_none_for_a_moment():
    daemon = ready_daemon()
    learn(daemon, TURNED_AWAY)
    assert daemon.availability_of(engine(daemon)) is ObstacleReason.FULL
    daemon.clock.now += 0.4
    assert daemon.availability_of(engine(daemon)) is None


# Guards against rejections whose cause the metrics don't tell.
def test_rejections_are_counted_by_why_the_requests_were_sent():
    daemon = ready_daemon()
    daemon.limits.update_members([f"daemon-{number}" for number in range(8)])
    rejected = [TURNED_AWAY] * 3
    daemon.answer(head("/draft/1"), *rejected)
    value = daemon.metrics.value
    assert value("brittle_rejections", label="unaware") == 1
    assert value("brittle_rejections", label="own") == 2


def test_an_endpoint_that_said_nothing_yet_is_as_brittle_as_its_service():
    daemon = ready_daemon()
    brittleness = daemon.selection.availability.brittleness
    learn(daemon, BRITTLE)
    assert brittleness.limit_of(engine(daemon, "engine-2")) == 4
    assert brittleness.limit_of(engine(daemon, "desk-1")) is None
    daemon.clock.now += 20.0
    assert brittleness.limit_of(engine(daemon, "engine-2")) is None


# Guards against answers that overtake each other and lift what is still so.
def test_the_answer_to_the_latest_request_decides():
    daemon = ready_daemon()
    brittleness = daemon.selection.availability.brittleness
    learn(daemon, BRITTLE)
    learn(daemon, Script(), sent_at=daemon.clock.now - 1.0)
    assert brittleness.limit_of(engine(daemon)) == 4
    learn(daemon, Script(), sent_at=daemon.clock.now + 0.1)
    assert brittleness.limit_of(engine(daemon)) is None


def test_a_request_that_finds_all_brittle_endpoints_full_is_told_when_to_return():
    daemon = ready_daemon()
    for name in ("engine-1", "engine-2", "engine-3"):
        learn(daemon, TURNED_AWAY, name=name)
    reply = daemon.answer(head("/draft/1"))
    assert (reply.status, reply.refusal.ran) == (503, Ran.NO)
    assert 0 < reply.refusal.retry_after_seconds <= 0.3
    assert daemon.calls.calls == []


@pytest.mark.parametrize(
    ("value", "limit"), [("12", 12), ("0", 0), ("x", None), ("-1", None), (None, None)]
)
def test_the_header_is_decoded(value, limit):
    headers = {"Server-Brittle": value} if value is not None else {}
    decoded = PlatformEndpointCodec().decode_response_head(200, headers)
    assert decoded.brittle_limit == limit

"""Cold endpoints: the bound on requests from all daemons, and the pace below it."""

import dataclasses

import pytest

from linnetladder.forwarding.coordination.outcomes import AttemptOutcome
from linnetladder.forwarding.protocol.daemon_messages import (
    decode_message,
    encode_message,
)
from linnetladder.platform import PlatformEndpointCodec
from linnetladder.platform.documents import ConfigurationModel, ServerModel
from linnetladder.platform.settings import BoundsModel
from tests.support.cold_fleet import (
    ALLOWED_IN_A_SECOND,
    COLD_PER_SECOND,
    COLD_SECONDS,
    ColdFleet,
)
from tests.support.forwarding import (
    LocalDaemon,
    Script,
    head,
    report,
)
from tests.support.limited_fleet import LimitedFleet

CEILING = 0.7 * ALLOWED_IN_A_SECOND


def configure(source, *, seconds=COLD_SECONDS, per_second=COLD_PER_SECOND):
    """Make the service ``engines`` of a store one whose endpoints start cold."""
    services = source.table.services
    services["engines"] = dataclasses.replace(
        services["engines"], cold_seconds=seconds, cold_per_second=per_second
    )


def cold_daemon(*, cold_seconds=COLD_SECONDS, **options):
    """Return a daemon before one engine that has just started."""
    daemon = LocalDaemon(**options)
    configure(daemon.source)
    assert daemon.read()
    daemon.clock.now += 1.0
    daemon.source.endpoints["engine-1"] = report("engine-1", cold_seconds=cold_seconds)
    assert daemon.read()
    return daemon


def busiest_second(arrivals, *, until):
    """Return the most arrivals in a sliding second that ends before a time."""
    times = sorted(a.time for a in arrivals if a.time <= until)
    return max(sum(last - 1.0 < t <= last for t in times) for last in times)


# The bound over all daemons


@pytest.mark.parametrize("late", [0.0, 0.2], ids=["at_once", "late"])
@pytest.mark.parametrize(
    ("daemons", "unknown", "endpoints"), [(6, 1, 12), (61, 4, 6), (366, 19, 2)]
)
def test_a_herd_of_cold_endpoints_stays_within_the_bound(
    daemons, unknown, endpoints, late
):
    """Guards against daemons whose sum exceeds what a cold endpoint tolerates.

    A twentieth of them is cut off, and a twentieth has just started.
    """
    fleet = ColdFleet(
        daemons=daemons, endpoints=endpoints, cut=unknown, started=unknown, late=late
    )
    fleet.run(seconds=COLD_SECONDS - 0.1)
    assert fleet.busiest_second() <= ALLOWED_IN_A_SECOND


@pytest.mark.parametrize("daemons", [6, 61, 366])
def test_the_permits_of_a_cold_endpoint_are_used_under_load(daemons):
    """Guards against permits that expire while requests wait for them."""
    fleet = ColdFleet(daemons=daemons, endpoints=2)
    fleet.run(seconds=COLD_SECONDS - 0.1)
    assert fleet.received(3.5, 7.5) >= 0.9 * CEILING * 4.0


def test_every_path_to_a_cold_endpoint_keeps_to_the_bound():
    """Guards against attempts, retries and escalations that take no permit.

    All endpoints are replaced at the same moment by ones that start cold.
    """
    fleet = LimitedFleet(daemons=6, endpoints=3)
    configure(fleet.source)
    fleet.confidence = 5.0
    warm = tuple(fleet.source.endpoints)
    for name in warm:
        fleet.source.endpoints[name] = report(name, capacity=64, cold_seconds=0.0)

    def replace():
        for name in warm:
            fleet.remove_endpoint(name)
        for name in ("engine-8", "engine-9"):
            fleet.source.endpoints[name] = report(
                name, capacity=64, cold_seconds=COLD_SECONDS
            )

    fleet.run(seconds=12.0, per_second=120.0, events=((4.0, replace),))
    for name in ("engine-8", "engine-9"):
        arrivals = fleet.arrivals[name]
        assert busiest_second(arrivals, until=11.9) <= ALLOWED_IN_A_SECOND
        assert fleet.received(name, 7.9, 11.9) >= 0.9 * CEILING * 4.0


# Deployments without a bound


def test_without_a_bound_a_cold_endpoint_is_served_like_any_other():
    """Guards against slower requests where the configuration names no bound."""
    daemon = LocalDaemon()
    configure(daemon.source, per_second=0.0)
    daemon.source.endpoints["engine-1"] = report("engine-1", cold_seconds=COLD_SECONDS)
    assert daemon.read()
    for number in range(60):
        script = Script(cold=3.0)
        assert daemon.answer(head(attempt_id=f"a{number}"), script).status == 200
    daemon.paces.note_returned(daemon.table.endpoints["engine-1"])
    assert not daemon.paces.paces
    assert daemon.paces.export(maximum_bytes=1_000) == []


def test_a_daemon_that_starts_before_warm_endpoints_paces_none():
    """Guards against a fleet that holds requests back after its own start."""
    daemon = cold_daemon(cold_seconds=0.0)
    assert not daemon.paces.paces
    assert daemon.limits.limit_of(daemon.table.endpoints["engine-1"]) is None


# When an endpoint is cold


@pytest.mark.parametrize(
    ("fields", "seconds"),
    [
        ({"cold_seconds": 3.0}, 3.0),
        ({"cold_seconds": 0.0}, 0.0),
        ({}, COLD_SECONDS),
        ({"started_ago": 5.0}, COLD_SECONDS - 5.0),
        ({"started_ago": 60.0}, 0.0),
        ({"started_ago": -60.0}, COLD_SECONDS),
    ],
    ids=["entry", "warm", "nothing", "born", "born long ago", "born later"],
)
def test_a_new_endpoint_is_cold_for_as_long_as_its_entry_allows(fields, seconds):
    daemon = LocalDaemon()
    configure(daemon.source)
    fields = dict(fields)
    if "started_ago" in fields:
        fields["started_at"] = daemon.clock.unix() - fields.pop("started_ago")
    daemon.source.endpoints["engine-1"] = report("engine-1", **fields)
    assert daemon.read()
    pace = daemon.paces.paces.get("engine-1")
    left = pace.cold_until - daemon.clock.now if pace is not None else 0.0
    assert left == pytest.approx(seconds, abs=0.01)


def test_an_entry_that_is_read_again_does_not_prolong_the_cold_time():
    """Guards against endpoints that stay cold for as long as their entry is listed."""
    daemon = cold_daemon()
    until = daemon.paces.paces["engine-1"].cold_until
    daemon.clock.now += 2.0
    assert daemon.read()
    assert daemon.paces.paces["engine-1"].cold_until == until
    entry = daemon.source.endpoints["engine-1"]
    daemon.source.endpoints["engine-1"] = dataclasses.replace(entry, revision=7)
    assert daemon.read()
    assert daemon.paces.paces["engine-1"].cold_until == until + 2.0


def test_any_answer_may_say_that_its_endpoint_is_cold_or_warm():
    """Guards against a restart under the old name that only answers tell of."""
    daemon = cold_daemon(cold_seconds=0.0)
    engine = daemon.table.endpoints["engine-1"]
    daemon.answer(head(), Script(status=500, chunks=(b"",), cold=4.0))
    assert daemon.limits.limit_of(engine) == pytest.approx(COLD_PER_SECOND / 2)
    daemon.clock.now += 1.0
    daemon.answer(head(attempt_id="a2"), Script(cold=0.0))
    assert daemon.limits.limit_of(engine) is None


def test_a_late_answer_does_not_begin_the_pace_anew():
    """Guards against an endpoint held back again by an answer from before the end."""
    daemon = cold_daemon()
    engine = daemon.table.endpoints["engine-1"]
    for _ in range(3):
        daemon.clock.now += 0.5
        daemon.paces.learn_answer(engine, 1.0, sound=True, sent_at=daemon.clock.now)
    daemon.paces.note_cold(engine, COLD_SECONDS, reason="answer")
    assert daemon.limits.limit_of(engine) == pytest.approx(CEILING)
    daemon.clock.now += COLD_SECONDS
    assert daemon.limits.limit_of(engine) is None
    daemon.paces.note_cold(engine, 0.05, reason="answer")
    assert daemon.limits.limit_of(engine) is None
    daemon.paces.note_cold(engine, 4.0, reason="answer")
    assert daemon.limits.limit_of(engine) is not None


def test_an_endpoint_that_accepts_connections_again_is_presumed_cold():
    """Guards against a flood for a process that started again under its name."""
    daemon = cold_daemon(cold_seconds=0.0)
    engine = daemon.table.endpoints["engine-1"]
    daemon.quarantine.on_return(engine)
    assert daemon.limits.limit_of(engine) == pytest.approx(COLD_PER_SECOND / 2)
    # The fault may be this daemon's network, so peers are not told.
    assert daemon.paces.export(maximum_bytes=1_000) == []


# The pace


def test_a_pace_rises_with_sound_answers_and_ends_with_the_cold_time():
    """Guards against endpoints held back although they have shown that they keep up."""
    daemon = cold_daemon()
    engine = daemon.table.endpoints["engine-1"]
    seen = []
    for _ in range(6):
        daemon.clock.now += 0.5
        daemon.paces.learn_answer(engine, 1.0, sound=True, sent_at=daemon.clock.now)
        seen.append(daemon.limits.limit_of(engine))
    first = COLD_PER_SECOND / 2
    expected = [first * 1.5, first * 2.25, CEILING, CEILING, CEILING, CEILING]
    assert seen == pytest.approx(expected)
    daemon.clock.now += COLD_SECONDS
    assert daemon.limits.limit_of(engine) is None
    assert daemon.metrics.value("endpoint_paces", label="ended") == 1


@pytest.mark.parametrize(
    ("per_second", "overage", "slack", "ceiling"),
    [(9.7, 1.5, 5.0, 13.685), (2.0, 1.0, 0.0, 1 / 1.32), (0.5, 1.0, 0.0, 0.1)],
)
def test_the_rate_leaves_room_for_what_one_second_may_hold(
    per_second, overage, slack, ceiling
):
    """Guards against low bounds that two permits at a time exceed."""
    daemon = cold_daemon()
    configure(daemon.source, per_second=per_second)
    bounds = dataclasses.replace(
        daemon.holder.bounds, cold_overage=overage, cold_slack=slack
    )
    daemon.holder.current = dataclasses.replace(daemon.holder.current, bounds=bounds)
    engine = daemon.table.endpoints["engine-1"]
    assert daemon.paces.ceiling_of(engine) == pytest.approx(ceiling)
    daemon.clock.now += 3.0
    wait = daemon.limits.seconds_until_next(engine)
    assert wait <= 2.0 / min(ceiling, per_second / 2)


def test_a_failure_or_a_slow_answer_halves_the_pace_once():
    """Guards against a pace that falls by every answer to the requests in flight."""
    daemon = cold_daemon()
    engine = daemon.table.endpoints["engine-1"]
    daemon.clock.now += 1.0
    for _ in range(5):
        daemon.paces.learn_answer(engine, None, sound=False, sent_at=daemon.clock.now)
    assert daemon.limits.limit_of(engine) == pytest.approx(COLD_PER_SECOND / 4)
    daemon.clock.now += 1.0
    daemon.paces.learn_answer(engine, 1.0, sound=True, sent_at=daemon.clock.now)
    daemon.clock.now += 1.0
    daemon.paces.learn_answer(engine, 2.0, sound=True, sent_at=daemon.clock.now)
    assert daemon.limits.limit_of(engine) == pytest.approx(COLD_PER_SECOND * 3 / 8)
    daemon.paces.learn_answer(engine, 9.0, sound=True, sent_at=daemon.clock.now)
    assert daemon.limits.limit_of(engine) == pytest.approx(COLD_PER_SECOND * 3 / 16)


def test_a_new_endpoint_soon_gets_what_it_may_get():
    """Guards against capacity that is left idle after each start.

    A daemon learns little from its few answers, so it takes the reports of others.
    """
    fleet = ColdFleet(daemons=61, endpoints=4)
    fleet.run(seconds=6.0)
    seconds = [fleet.received(start, start + 0.5) * 2 for start in (0.5, 1.5, 3.0, 4.0)]
    assert seconds == sorted(seconds)
    assert seconds[2] >= 0.8 * CEILING


def test_an_endpoint_that_is_slow_since_it_is_cold_still_gets_more():
    """Guards against a pace that falls for what each cold endpoint needs."""
    daemon = cold_daemon()
    engine = daemon.table.endpoints["engine-1"]
    for _ in range(4):
        daemon.clock.now += 0.5
        daemon.paces.learn_answer(engine, 3.0, sound=True, sent_at=daemon.clock.now)
    assert daemon.limits.limit_of(engine) == pytest.approx(CEILING)
    daemon.clock.now += 0.5
    daemon.paces.learn_answer(engine, 9.0, sound=True, sent_at=daemon.clock.now)
    assert daemon.limits.limit_of(engine) == pytest.approx(CEILING / 2)


def test_permits_reserved_for_later_are_not_given_out_twice():
    """Guards against a change of the pace or of the list that repeats a permit."""
    daemon = cold_daemon()
    engine = daemon.table.endpoints["engine-1"]
    daemon.clock.now += 3.0
    due = [daemon.limits.reserve(engine, within=2.0) for _ in range(4)]
    assert due == sorted(due)
    daemon.paces.learn_answer(engine, 1.0, sound=True, sent_at=daemon.clock.now)
    assert daemon.limits.seconds_until_next(engine) > due[-1]
    daemon.limits.update_members(["daemon-2"])
    assert daemon.limits.seconds_until_next(engine) > due[-1]


def test_paces_are_told_in_a_report_of_their_own():
    """Guards against reports that a daemon of the version before can't read."""
    daemon, peer = cold_daemon(), cold_daemon(name="daemon-2")
    engine = daemon.table.endpoints["engine-1"]
    daemon.clock.now = peer.clock.now = peer.clock.now + 1.0
    daemon.paces.learn_answer(engine, 1.0, sound=True, sent_at=daemon.clock.now)
    assert daemon.peers.build().report.paces == []
    built = daemon.peers.build_paces()
    message = decode_message(encode_message(built, secret=b"x"), secret=b"x")
    (row,) = message.report.paces
    assert row == ("engine-1", "1", pytest.approx(7.275), 7.0, 0.0)
    # A peer may echo it, which confirms a read of the store.
    assert message.sequence in daemon.snapshots.sent_at
    peer.peers.apply(message)
    known = peer.table.endpoints["engine-1"]
    assert peer.limits.limit_of(known) == pytest.approx(7.275)


def test_a_daemon_that_has_not_read_of_a_restart_hears_of_it_from_peers():
    """Guards against daemons cut off from the store that flood a new process."""
    cut_off = cold_daemon(cold_seconds=0.0)
    daemon = cold_daemon(name="daemon-2", cold_seconds=0.0)
    daemon.clock.now += 1.0
    daemon.source.endpoints["engine-1"] = report(
        "engine-1", incarnation="2", cold_seconds=COLD_SECONDS
    )
    assert daemon.read()
    cut_off.peers.apply(daemon.peers.build_paces())
    engine = cut_off.table.endpoints["engine-1"]
    assert cut_off.limits.limit_of(engine) == pytest.approx(COLD_PER_SECOND / 2)


def test_a_daemon_that_starts_tells_no_peer_that_listed_endpoints_are_cold():
    """Guards against a fleet that slows down because one daemon read old entries."""
    daemon = LocalDaemon()
    configure(daemon.source)
    daemon.source.endpoints["engine-1"] = report("engine-1", cold_seconds=COLD_SECONDS)
    assert daemon.read()
    assert daemon.limits.limit_of(daemon.table.endpoints["engine-1"]) is not None
    assert daemon.peers.build_paces() is None
    daemon.answer(head(), Script(cold=3.0))
    assert daemon.peers.build_paces() is not None


def test_a_call_whose_connection_took_long_needs_another_permit():
    """Guards against calls that wait for a new process and reach it together."""
    daemon = cold_daemon(cold_seconds=0.0)
    engine = daemon.table.endpoints["engine-1"]
    daemon.answer(head())
    (call,) = daemon.calls.calls
    assert call.may_send()
    daemon.clock.now += 1.0
    assert call.may_send()
    daemon.paces.note_cold(engine, 5.0, reason="answer")
    assert not call.may_send()
    daemon.clock.now += 1.0
    assert call.may_send()
    assert sum(call.may_send() for _ in range(20)) <= 2


@pytest.mark.parametrize("reason", ["pause", "failing"])
def test_an_endpoint_that_failed_or_asked_for_a_pause_returns_at_a_pace(reason):
    """Guards against a flood at the end of an ejection or of a pause."""
    daemon = cold_daemon(cold_seconds=0.0)
    daemon.source.endpoints["engine-2"] = report("engine-2", cold_seconds=0.0)
    assert daemon.read()
    for _ in range(400):
        daemon.outcomes.add("engine-2", "draft", AttemptOutcome.GOOD)
    engine = daemon.table.endpoints["engine-1"]
    if reason == "pause":
        pause = PlatformEndpointCodec().decode_response_head(503, {"Retry-After": "2"})
        daemon.selection.availability.learn_answer(engine, pause, sent_at=0.0)
    else:
        daemon.paces.note_ejected(engine)
    daemon.clock.now += 3.0
    assert daemon.limits.limit_of(engine) == pytest.approx(COLD_PER_SECOND / 2)
    for _ in range(6):
        daemon.clock.now += 0.5
        daemon.paces.learn_answer(engine, 1.0, sound=True, sent_at=daemon.clock.now)
    assert daemon.limits.limit_of(engine) is None


# The border


def test_the_names_on_the_wire_are_read():
    service = {"Name": "engines", "ColdS": 12, "ColdPerS": 9.7}
    model = ConfigurationModel.model_validate({"Version": 1, "Services": [service]})
    spec = model.decode(revision=1).services["engines"]
    assert (spec.cold_seconds, spec.cold_per_second) == (12.0, 9.7)
    bounds = BoundsModel.model_validate({"ColdOverage": "2", "ColdSlack": "3"}).decode()
    assert (bounds.cold_overage, bounds.cold_slack) == (2.0, 3.0)
    defaults = BoundsModel().decode()
    assert (defaults.cold_overage, defaults.cold_slack) == (1.5, 5.0)
    entry = {
        "Service": "engines",
        "Address": "10.0.0.1:80",
        "Zone": "east",
        "Version": "v1",
        "Slots": 8,
        "State": "ready",
        "ColdMs": 2500,
        "Seq": 1,
        "born": 1_700_000_000_500,
    }
    server = ServerModel.model_validate(entry).decode(name="e", revision=1)
    assert (server.cold_seconds, server.started_at) == (2.5, 1_700_000_000.5)


@pytest.mark.parametrize(
    ("value", "seconds"),
    [("1500", 1.5), ("0", 0.0), ("soon", None), ("-1", None), ("nan", None)],
)
def test_the_cold_time_in_an_answer_is_read_or_ignored(value, seconds):
    fields = {"Linnetladder-Cold-Ms": value}
    answer = PlatformEndpointCodec().decode_response_head(200, fields)
    assert answer.cold_seconds == seconds


def test_the_endpoints_of_a_returned_failure_domain_are_cold():
    """Guards against full load on endpoints that became cold while evacuated."""
    daemon = LocalDaemon()
    configure(daemon.source)
    daemon.source.endpoints["engine-1"] = report("engine-1", cold_seconds=0.0)
    assert daemon.read()
    engine = daemon.table.endpoints["engine-1"]
    daemon.source.evacuate(engine.failure_domain)
    daemon.clock.now += 1.0
    assert daemon.read()
    assert daemon.availability_of(engine) == "evacuated"
    assert daemon.limits.limit_of(engine) is None
    daemon.source.evacuated.clear()
    daemon.clock.now += 1.0
    assert daemon.read()
    # Its entry still says that it is warm, since it was written before.
    assert daemon.limits.limit_of(engine) is not None
    daemon.clock.now += COLD_SECONDS / 2
    assert daemon.limits.paces.ceiling_of(engine) is not None

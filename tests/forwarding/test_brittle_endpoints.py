"""Endpoints that fall over if they have to turn too many requests away."""

import asyncio

import pytest

from linnetladder.errors import Ran
from linnetladder.forwarding.coordination.availability import ObstacleReason
from linnetladder.forwarding.coordination.brittleness import RoomBasis
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.protocol.daemon_messages import (
    decode_message,
    encode_message,
    sign,
)
from linnetladder.forwarding.protocol.slot_messages import (
    decode_slot_message,
    encode_slot_message,
)
from linnetladder.platform import PlatformEndpointCodec
from tests.support.forwarding import (
    ManualClock,
    MemorySource,
    Script,
    ScriptedExchange,
    head,
    ready_daemon,
    table,
)

BRITTLE = Script(brittle=4)
TURNED_AWAY = Script(status=503, not_run=True, brittle=4)


def reserve(daemon, name="engine-1"):
    """Return on what basis a daemon takes an engine to have room, or ``None``."""
    return asyncio.run(daemon.reservations.reserve(engine(daemon, name)))


def engine(daemon, name="engine-1"):
    return daemon.table.endpoints[name]


def learn(daemon, script, *, name="engine-1", sent_at=None):
    """Let a daemon learn from an answer of an engine."""
    head = ScriptedExchange(script=script, attempt_id="a1").head
    sent_at = daemon.clock.monotonic() if sent_at is None else sent_at
    availability = daemon.selection.availability
    availability.learn_answer(
        engine(daemon, name), head, sent_at=sent_at, basis=RoomBasis.RESERVED
    )


@pytest.mark.parametrize("members", [1, 3, 6, 195, 366])
def test_the_slots_of_a_brittle_endpoint_are_divided_among_the_daemons(members):
    names = [f"daemon-{number}" for number in range(members)]
    total = 0
    for name in names:
        daemon = ready_daemon(name=name)
        daemon.limits.update_members(names)
        total += daemon.reservations._own_slots(engine(daemon))
    assert total == engine(daemon).capacity


def fill(daemon, number):
    """Reserve slots of an engine and use them."""
    for _ in range(number):
        assert reserve(daemon) is RoomBasis.RESERVED
        daemon.reservations.begin(engine(daemon), RoomBasis.RESERVED)
        engine(daemon).in_flight += 1


def linked_daemons(number):
    """Return daemons by name that know that engines are brittle, and their clock.

    Messages on reservations reach their receivers at once, in the form on the wire.
    """
    clock, source = ManualClock(), MemorySource(table=table())
    names = [f"daemon-{position + 1}" for position in range(number)]
    for name in names:
        source.daemons[name] = DaemonAddress(
            instance=name,
            incarnation=f"{name}-1",
            failure_domain="east",
            host=name,
            port=1,
        )
    daemons = {
        name: ready_daemon(name=name, clock=clock, source=source) for name in names
    }

    def deliver(message, receiver):
        datagram = encode_slot_message(message, secret=b"secret")
        decoded = decode_slot_message(datagram, secrets=(b"secret",))
        daemons[receiver.instance].reservations.receive(decoded)
        return True

    for daemon in daemons.values():
        daemon.reservations.send = deliver
        learn(daemon, BRITTLE)
    return daemons, clock


def arbiters_and_asker(daemons):
    """Return the two arbiters of the first engine and a daemon that is none."""
    first = next(iter(daemons.values()))
    ranked = first.reservations._ranked_daemons(engine(first))
    return [daemons[address.instance] for address in ranked[:3]]


# Guards against daemons that count only their own requests.
def test_an_arbiter_grants_the_slots_that_no_daemon_holds():
    daemons, clock = linked_daemons(5)
    arbiter, _, asker = arbiters_and_asker(daemons)
    assert reserve(asker) is RoomBasis.RESERVED
    asker.reservations.cancel(engine(asker), RoomBasis.RESERVED)
    clock.now += 1.1
    engine(arbiter).in_flight = 6
    fill(asker, 2)
    assert reserve(asker) is None
    load = asker.loads.begin(engine(asker), model="small", tokens=0)
    engine(asker).in_flight = 2
    asker.loads.end(engine(asker), load)
    assert reserve(arbiter) is RoomBasis.RESERVED
    assert reserve(arbiter) is None


# Guards against a service that is refused room while an arbiter is down, against two
# arbiters that grant the same slots, and against daemons that reach none and become
# their own.
def test_the_second_arbiter_knows_what_is_held_when_the_first_does_not_answer():
    daemons, clock = linked_daemons(5)
    arbiter, second, asker = arbiters_and_asker(daemons)
    assert reserve(asker) is RoomBasis.RESERVED
    asker.reservations.cancel(engine(asker), RoomBasis.RESERVED)
    for _ in range(4):
        clock.now += 0.4
        engine(asker).in_flight = 6
        asker.reservations.refresh()
    arbiter.reservations.receive = lambda message: None
    fill(asker, 2)
    assert reserve(asker) is None
    assert asker.metrics.value("slot_reservations", label="granted") == 3
    second.reservations.receive = lambda message: None
    clock.now += 0.2
    engine(asker).in_flight = asker.reservations._own_slots(engine(asker))
    assert reserve(asker) is None
    engine(asker).in_flight -= 1
    clock.now += 0.2
    assert reserve(asker) is RoomBasis.OWN
    assert asker.metrics.value("slot_reservations", label="unanswered") == 2


# Guards against a peer's malformed message that ends the reception of others.
@pytest.mark.parametrize(
    "plain",
    [b"S", b"S[]", b'S["d","i",1,5,4,[]]', b'S["d","i",1,0,4,[["e","1",-1,0]]]'],
)
def test_malformed_messages_on_reservations_are_ignored(plain):
    datagram = sign(plain, b"secret") + plain
    assert decode_slot_message(datagram, secrets=(b"secret",)) is None
    assert decode_slot_message(datagram, secrets=(b"other",)) is None


# Guards against requests that are sent for slots of which nobody keeps count.
def test_a_slot_is_granted_as_long_as_one_is_free():
    daemon = ready_daemon()
    learn(daemon, BRITTLE)
    daemon.reservations.cancel(engine(daemon), reserve(daemon))
    daemon.clock.now += 1.1
    fill(daemon, engine(daemon).capacity)
    assert reserve(daemon) is None
    assert daemon.availability_of(engine(daemon)) is ObstacleReason.FULL
    engine(daemon).in_flight -= 1
    daemon.clock.now += 0.4
    assert daemon.availability_of(engine(daemon)) is None
    assert reserve(daemon) is RoomBasis.RESERVED


# Guards against an arbiter that has just started and grants what others hold.
def test_a_new_account_grants_few_slots_beyond_half():
    daemon = ready_daemon()
    learn(daemon, BRITTLE)
    spare_rejections = 2
    fill(daemon, engine(daemon).capacity // 2 + spare_rejections)
    assert reserve(daemon) is None


def test_a_slot_that_is_given_back_is_granted_again():
    daemon = ready_daemon()
    learn(daemon, BRITTLE)
    engine(daemon).in_flight = engine(daemon).capacity - 1
    basis = reserve(daemon)
    assert reserve(daemon) is None
    daemon.reservations.cancel(engine(daemon), basis)
    daemon.clock.now += 0.2
    assert reserve(daemon) is RoomBasis.RESERVED


# Guards against a slot that is used again before the endpoint knows that it is free.
def test_a_request_that_was_given_up_holds_its_slot_for_a_moment():
    daemon = ready_daemon()
    learn(daemon, BRITTLE)
    engine(daemon).in_flight = engine(daemon).capacity - 1
    daemon.reservations.note_given_up(engine(daemon))
    assert reserve(daemon) is None
    daemon.clock.now += 0.2
    assert reserve(daemon) is RoomBasis.RESERVED


# Guards against daemons that send nothing, or all that they have, where no arbiter
# answers.
def test_without_an_arbiter_a_daemon_uses_its_own_part_of_the_slots():
    daemon = ready_daemon()
    daemon.limits.update_members([f"daemon-{number}" for number in range(3)])
    daemon.peers.draining = True
    learn(daemon, BRITTLE)
    own = daemon.reservations._own_slots(engine(daemon))
    engine(daemon).in_flight = own - 1
    assert reserve(daemon) is RoomBasis.OWN
    daemon.reservations.cancel(engine(daemon), RoomBasis.OWN)
    engine(daemon).in_flight = own
    assert reserve(daemon) is None
    engine(daemon).in_flight = 0
    daemon.clock.now += 0.15
    learn(daemon, TURNED_AWAY)
    assert reserve(daemon) is None
    daemon.clock.now += 0.4
    assert reserve(daemon) is RoomBasis.OWN


def test_an_endpoint_that_turned_a_request_away_gets_no_more_than_it_held():
    daemon = ready_daemon()
    learn(daemon, BRITTLE)
    engine(daemon).in_flight = 3
    assert reserve(daemon) is RoomBasis.RESERVED
    daemon.reservations.cancel(engine(daemon), RoomBasis.RESERVED)
    learn(daemon, TURNED_AWAY)
    daemon.reservations.refresh()
    assert reserve(daemon) is None
    daemon.clock.now += 1.1
    assert reserve(daemon) is RoomBasis.RESERVED


# Guards against falls where daemons know of the rejections and go on.
def test_no_slot_is_granted_once_half_of_the_rejections_are_used_up():
    daemon = ready_daemon()
    for _ in range(2):
        learn(daemon, TURNED_AWAY)
    daemon.reservations.refresh()
    assert reserve(daemon) is None
    daemon.clock.now += 1.1
    assert reserve(daemon) is RoomBasis.RESERVED


# Guards against daemons that have had no answer yet and send as to a sound endpoint.
def test_peers_are_told_that_a_service_is_brittle():
    daemon, other = ready_daemon(), ready_daemon(name="daemon-2")
    learn(daemon, BRITTLE)
    message = daemon.peers.build()
    datagram = encode_message(message, secret=b"secret")
    other.peers.apply(decode_message(datagram, secret=b"secret"))
    brittleness = other.selection.availability.brittleness
    assert brittleness.limit_of(engine(other, "engine-2")) == 4
    assert brittleness.limit_of(engine(other, "desk-1")) is None
    # What was only heard from a peer is not passed on, or it would never end.
    assert other.peers.build().report.brittle == []


# Guards against a fallen endpoint that is taken for a sound one when it is back.
def test_an_endpoint_that_was_sound_counts_as_brittle_once_another_one_is():
    daemon = ready_daemon()
    brittleness = daemon.selection.availability.brittleness
    learn(daemon, BRITTLE)
    daemon.clock.now += 0.1
    learn(daemon, Script(), name="engine-2")
    assert brittleness.limit_of(engine(daemon, "engine-2")) is None
    daemon.clock.now += 0.1
    learn(daemon, BRITTLE, name="engine-3")
    assert brittleness.limit_of(engine(daemon, "engine-2")) == 4


# Guards against rejections whose cause the metrics don't tell.
def test_rejections_are_counted_by_why_the_requests_were_sent():
    daemon = ready_daemon()
    daemon.limits.update_members([f"daemon-{number}" for number in range(8)])
    rejected = [TURNED_AWAY] * 3
    daemon.answer(head("/draft/1"), *rejected)
    value = daemon.metrics.value
    assert value("brittle_rejections", label="unaware") == 1
    assert value("brittle_rejections", label="reserved") == 2


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
        learn(daemon, BRITTLE, name=name)
        engine(daemon, name).in_flight = engine(daemon, name).capacity
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

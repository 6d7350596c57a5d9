"""Evacuated failure domains: on all ways to endpoints, and as the store changes."""

import asyncio
import math

import pytest

from linnetladder.errors import ErrorKind, Ran
from linnetladder.forwarding.coordination.availability import ObstacleReason
from linnetladder.forwarding.coordination.calls import CallFault, CallFaultKind
from linnetladder.forwarding.coordination.directory import version_of
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.protocol.relaying import RelayedCall
from linnetladder.forwarding.state import (
    Position,
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
)
from linnetladder.platform import PlatformEndpointCodec
from tests.support.forwarding import (
    LocalDaemon,
    ManualClock,
    MemorySource,
    RecordedReply,
    Script,
    broken,
    head,
    report,
    table,
)
from tests.support.limited_fleet import LimitedFleet

WITHDRAWN = CallFault(CallFaultKind.WITHDRAWN, "leaves", may_have_run=False)
DOMAINS = ("east", "west", "north")


def source_of_domains(*, engines=6, desks=3):
    """Return a store with endpoints in three failure domains, in turn."""
    source = MemorySource(table=table())
    for service, number in (("engines", engines), ("desk", desks)):
        for serial in range(number):
            name = f"{service}-{serial}"
            source.endpoints[name] = report(
                name, service=service, failure_domain=DOMAINS[serial % 3]
            )
    return source


def daemon_of_domains(**options):
    """Return a daemon that has read endpoints in three failure domains."""
    source = options.pop("source", None) or source_of_domains()
    daemon = LocalDaemon(source=source, **options)
    assert daemon.read()
    return daemon


def evacuate(daemon, *domains):
    for domain in domains:
        daemon.source.evacuate(domain)
    assert daemon.read()


def domains_called(daemon):
    """Return the failure domain of the endpoint of each call."""
    endpoints = daemon.table.endpoints
    return [endpoints[call.instance].failure_domain for call in daemon.calls.calls]


PATHS = ("/draft/1", "/fetch/1", "/save/1")


@pytest.mark.parametrize("path", PATHS)
def test_first_attempts_and_sessions_keep_away_from_an_evacuated_domain(path):
    """Guards against requests to an evacuated domain, also of sessions held there."""
    daemon = daemon_of_domains()
    for number in range(40):
        daemon.answer(head(path, attempt_id=f"a{number}", session=f"s{number}"))
    assert "east" in domains_called(daemon)
    daemon.calls.calls.clear()
    evacuate(daemon, "east")
    for number in range(40):
        daemon.answer(head(path, attempt_id=f"b{number}", session=f"s{number}"))
    assert "east" not in domains_called(daemon)
    assert len(daemon.calls.calls) == 40


@pytest.mark.parametrize(
    "failed",
    [
        Script(fault=broken()),
        Script(status=500, chunks=(b"failed",)),
        Script(status=503, not_run=True),
        Script(cut_after=1),
        Script(confidence=5.0),
    ],
    ids=["retry", "server error", "not run", "resumed stream", "escalation"],
)
def test_a_second_attempt_keeps_away_from_a_domain_evacuated_meanwhile(failed):
    """Guards against retries, resumed streams and escalations that pass the check."""
    daemon = daemon_of_domains()
    opened = daemon.calls.open

    async def evacuate_after_first(call):
        if len(daemon.calls.calls) == 0:
            daemon.source.evacuate("east")
            daemon.source.evacuate("north")
            assert await daemon.poller.read_once()
        return await opened(call)

    daemon.calls.open = evacuate_after_first
    daemon.answer(head(), failed)
    assert len(daemon.calls.calls) >= 2
    assert set(domains_called(daemon)[1:]) == {"west"}


def test_a_request_that_waits_for_a_permit_is_not_sent_to_an_evacuated_domain():
    """Guards against a choice that was made before the evacuation was read."""
    daemon = daemon_of_domains(source=source_of_domains(engines=1))
    engine = daemon.table.endpoints["engines-0"]
    limited = PlatformEndpointCodec().decode_response_head(200, {"Server-Limit": "5"})
    daemon.limits.learn_answer(engine, limited, sent_at=daemon.clock.monotonic())

    async def scenario():
        reply = RecordedReply()
        received = daemon.clock.monotonic()
        answering = asyncio.ensure_future(
            daemon.forwarder.answer(head(), b"", received=received, reply=reply)
        )
        await asyncio.sleep(0)
        daemon.source.evacuate("east")
        assert await daemon.poller.read_once()
        await answering
        return reply

    assert asyncio.run(scenario()).status == 503
    assert daemon.calls.calls == []


def test_a_connected_call_is_withdrawn_if_its_domain_was_evacuated():
    """Guards against requests sent on connections that took long to open."""
    daemon = daemon_of_domains()
    daemon.answer(head("/save/1"))
    (call,) = daemon.calls.calls
    assert call.may_send()
    evacuate(daemon, *DOMAINS)
    assert not call.may_send()


@pytest.mark.parametrize("path", PATHS)
def test_a_request_is_refused_at_once_if_all_its_endpoints_are_evacuated(path):
    """Guards against callers that wait, and against a last resort in the domain."""
    daemon = daemon_of_domains()
    evacuate(daemon, *DOMAINS)
    for endpoint in daemon.table.endpoints.values():
        endpoint.ejected_until = daemon.clock.now + 60.0
    reply = daemon.answer(head(path))
    assert daemon.calls.calls == []
    assert (reply.status, reply.refusal.ran) == (503, Ran.NO)
    assert reply.refusal.kind is ErrorKind.NO_ENDPOINT
    assert reply.refusal.retry_after_seconds == 1.0
    assert "are evacuated" in reply.refusal.detail
    assert daemon.metrics.value("evacuation_refusals") == 1


def test_a_refusal_names_evacuation_only_if_nothing_else_is_left():
    """Guards against a detail that blames the operator for failed endpoints."""
    daemon = daemon_of_domains()
    evacuate(daemon, "east", "west")
    scripts = [Script(status=503, not_run=True, pause=5.0)] * 3
    reply = daemon.answer(head(), *scripts)
    assert reply.refusal.kind is ErrorKind.OVERLOADED
    assert daemon.metrics.value("evacuation_refusals") == 0


def test_a_running_stream_is_drained():
    """Guards against answers cut off by the evacuation of their domain."""
    daemon = daemon_of_domains()
    opened = daemon.calls.open

    async def evacuate_once_begun(call):
        exchange = await opened(call)
        for domain in DOMAINS:
            daemon.source.evacuate(domain)
        assert await daemon.poller.read_once()
        return exchange

    daemon.calls.open = evacuate_once_begun
    reply = daemon.answer(head())
    assert (reply.status, reply.complete) == (200, True)
    assert len(daemon.calls.calls) == 1


# Peers


def with_peer(daemon):
    """Give a daemon a peer, and cut it off from all endpoints."""
    daemon.source.daemons["peer"] = DaemonAddress(
        instance="peer", incarnation="p", failure_domain="west", host="peer", port=1
    )
    assert daemon.read()
    for endpoint in daemon.table.endpoints.values():
        endpoint.ejected_until = math.inf
    return daemon


def test_the_deciding_daemon_sends_nothing_through_peers_to_an_evacuated_domain():
    """Guards against the way through a peer as one around the evacuation."""
    daemon = with_peer(daemon_of_domains())
    daemon.answer(head("/fetch/1"))
    assert domains_called(daemon) == ["east"]
    evacuate(daemon, "east")
    daemon.calls.calls.clear()
    for number in range(20):
        daemon.answer(head("/fetch/1", attempt_id=f"b{number}"))
    assert all(call.relay for call in daemon.calls.calls)
    assert len(daemon.calls.calls) == 20
    assert "east" not in domains_called(daemon)
    evacuate(daemon, "west", "north")
    daemon.calls.calls.clear()
    assert daemon.answer(head("/save/1")).status == 503
    assert daemon.calls.calls == []


def relayed(instance):
    return RelayedCall(
        method="GET", target="/", instance=instance, attempt_id="a1", headers=[]
    )


def test_the_passing_daemon_holds_a_call_to_its_own_last_read():
    """Guards against calls of a daemon that was cut off before the evacuation."""
    daemon = daemon_of_domains()
    evacuate(daemon, "east")
    call = relayed("engines-0")
    with pytest.raises(CallFault) as raised:
        asyncio.run(daemon.relay_control.open(call))
    assert raised.value.kind is CallFaultKind.WITHDRAWN
    assert not raised.value.may_have_run


def test_the_passing_daemon_withdraws_a_call_if_the_domain_is_evacuated_meanwhile():
    """Guards against calls whose connection took longer than the evacuation."""
    daemon = daemon_of_domains()
    seen = []

    async def relay(call):
        seen.append(call.may_send())
        daemon.source.evacuate("east")
        assert await daemon.poller.read_once()
        seen.append(call.may_send())
        raise WITHDRAWN

    daemon.calls.relay = relay
    with pytest.raises(CallFault):
        asyncio.run(daemon.relay_control.open(relayed("engines-0")))
    assert seen == [True, False]


# The store


def test_a_cut_off_daemon_keeps_what_it_knew_until_it_reads_again():
    """Guards against endpoints in use again because the store is away."""
    daemon = daemon_of_domains()
    evacuate(daemon, "east")
    daemon.source.down = True
    for _ in range(60):
        daemon.clock.now += 1.0
        assert not daemon.read()
        assert daemon.evacuations.is_evacuated("east")
    del daemon.source.evacuated["east"]
    daemon.source.evacuate("west")
    daemon.source.down = False
    assert daemon.read()
    assert set(daemon.evacuations.domains) == {"west"}


def test_a_daemon_that_starts_while_the_store_is_away_serves_nothing():
    """Guards against a restart by which an evacuation is forgotten."""
    source = source_of_domains()
    source.evacuate("east")
    source.down = True
    started = LocalDaemon(source=source)
    assert not started.read()
    reply = started.answer(head())
    assert reply.refusal.kind is ErrorKind.CONFIGURATION_UNAVAILABLE
    assert started.calls.calls == []
    source.down = False
    assert started.read()
    assert started.evacuations.is_evacuated("east")


def test_two_overlapping_evacuations_end_one_by_one():
    """Guards against the end of one evacuation ending the other."""
    daemon = daemon_of_domains()
    returned = []
    daemon.evacuations.on_return = returned.append
    evacuate(daemon, "east")
    evacuate(daemon, "west")
    del daemon.source.evacuated["east"]
    assert daemon.read()
    assert returned == ["east"]
    for number in range(30):
        daemon.answer(head(attempt_id=f"a{number}", session=f"s{number}"))
    assert set(domains_called(daemon)) == {"east", "north"}
    evacuate(daemon, "east")
    del daemon.source.evacuated["west"]
    assert daemon.read()
    assert returned == ["east", "west"]
    assert set(daemon.evacuations.domains) == {"east"}


def test_an_endpoint_that_starts_in_an_evacuated_domain_gets_nothing():
    """Guards against an evacuation that binds only endpoints known at its start."""
    daemon = daemon_of_domains()
    evacuate(daemon, "east")
    daemon.source.endpoints["engines-9"] = report("engines-9", failure_domain="east")
    assert daemon.read()
    engine = daemon.table.endpoints["engines-9"]
    assert daemon.availability_of(engine) is ObstacleReason.EVACUATED


def new_era(daemon, *, without):
    """Let the store return from a copy that lacks some evacuations."""
    daemon.source.era += 1
    for domain in without:
        daemon.source.evacuated.pop(domain, None)
    assert daemon.read()


def read_for(daemon, seconds):
    for _ in range(round(seconds * 4)):
        daemon.clock.now += 0.25
        assert daemon.read()


def test_an_evacuation_that_an_older_copy_lacks_stays_in_force_for_a_time():
    """Guards against requests to the domain until the operator's key is back."""
    daemon = daemon_of_domains()
    returned = []
    daemon.evacuations.on_return = returned.append
    evacuate(daemon, "east", "west")
    new_era(daemon, without=("east", "west"))
    read_for(daemon, 4.5)
    assert set(daemon.evacuations.domains) == {"east", "west"}
    evacuate(daemon, "west")
    read_for(daemon, 2.0)
    assert set(daemon.evacuations.domains) == {"west"}
    assert returned == ["east"]
    del daemon.source.evacuated["west"]
    assert daemon.read()
    assert returned == ["east", "west"]


def test_a_second_rewind_starts_the_time_anew_and_a_copy_with_the_key_ends_it():
    """Guards against a hold that ends too early, or outlasts the operator's key."""
    daemon = daemon_of_domains()
    evacuate(daemon, "east")
    new_era(daemon, without=("east",))
    read_for(daemon, 4.0)
    new_era(daemon, without=("east",))
    read_for(daemon, 4.0)
    assert daemon.evacuations.is_evacuated("east")
    evacuate(daemon, "east")
    assert daemon.evacuations.held_until == {}
    del daemon.source.evacuated["east"]
    assert daemon.read()
    assert not daemon.evacuations.is_evacuated("east")


def test_a_read_that_began_within_the_time_does_not_end_the_evacuation():
    """Guards against a slow read that missed the key written while it ran."""
    daemon = daemon_of_domains()
    evacuate(daemon, "east")
    new_era(daemon, without=("east",))
    began = daemon.clock.now + 4.9
    daemon.clock.now += 6.0
    daemon.evacuations.update((), era=2, began=began)
    assert daemon.evacuations.is_evacuated("east")
    daemon.evacuations.update((), era=1, began=daemon.clock.now)
    assert daemon.evacuations.is_evacuated("east")
    daemon.evacuations.update((), era=2, began=daemon.clock.now)
    assert not daemon.evacuations.is_evacuated("east")


# Daemons among each other


def pair_of_daemons():
    clock, source = ManualClock(), source_of_domains()
    for name in ("daemon-1", "daemon-2"):
        source.daemons[name] = DaemonAddress(
            instance=name,
            incarnation=f"{name}-1",
            failure_domain="east",
            host=name,
            port=1,
        )
    daemons = [
        LocalDaemon(name=name, source=source, clock=clock) for name in source.daemons
    ]
    for daemon in daemons:
        assert daemon.read()
    return clock, source, *daemons


def send_report(sender, receiver):
    receiver.peers.apply(sender.peers.build(sender.peers.receivers()))


@pytest.mark.parametrize("change", ["evacuated", "returned", "written again"])
def test_a_peer_that_read_other_evacuations_confirms_nothing(change):
    """Guards against a daemon that takes a peer's newer content for its own."""
    clock, source, one, two = pair_of_daemons()
    if change != "evacuated":
        source.evacuate("east")
        assert one.read() and two.read()
    before = two.in_force.confirmed_at
    clock.now += 0.3
    send_report(two, one)
    if change == "returned":
        del source.evacuated["east"]
    else:
        source.evacuate("east")
    clock.now += 0.3
    assert one.read()
    send_report(one, two)
    assert two.in_force.confirmed_at == before
    assert two.poller.read_requested.is_set() is (change != "returned")


def test_a_lost_evacuation_ends_with_content_that_is_current_after_its_time():
    """Guards against an end by old content, and against one that needs a read each."""
    clock, source, one, two = pair_of_daemons()
    source.evacuate("east")
    assert one.read() and two.read()
    source.era, source.evacuated = 2, {}
    assert one.read() and two.read()
    until = clock.now + 5.0
    for since, evacuated in ((until - 0.1, True), (until, False)):
        clock.now = since
        send_report(two, one)
        clock.now += 0.3
        assert one.read()
        send_report(one, two)
        assert two.poller.content_confirmed_at == since
        assert two.evacuations.is_evacuated("east") is evacuated


def test_a_daemon_that_starts_after_an_evacuation_does_not_read_without_a_pause():
    """Guards against a read at each report of a peer that had read a deleted key."""
    clock, source, one, _ = pair_of_daemons()
    source.evacuate("east")
    assert one.read()
    del source.evacuated["east"]
    assert one.read()
    started = LocalDaemon(name="daemon-2", source=source, clock=clock)
    assert started.read()
    started.peers.apply(one.peers.build())
    assert started.poller.read_requested.is_set()
    started.poller.read_requested.clear()
    assert started.read()
    started.peers.apply(one.peers.build())
    assert not started.poller.read_requested.is_set()
    assert started.poller.position == Position(era=1, revision=101)


# Roll-outs and load


def test_an_evacuation_during_a_roll_out_keeps_both_versions_away():
    """Guards against the target of a roll-out that is used in an evacuated domain."""
    source = source_of_domains(engines=0)
    for serial in range(6):
        for version in ("v1", "v2"):
            name = f"{version}-{serial}"
            source.endpoints[name] = report(
                name, version=version, failure_domain=DOMAINS[serial % 3]
            )
    daemon = daemon_of_domains(source=source)
    source.orders["engines"] = RolloutOrder(
        service="engines", target="v2", duration_seconds=24.0, revision=7
    )
    now = daemon.clock.unix()
    source.records["engines"] = RolloutRecord(
        service="engines",
        target="v2",
        order_revision=7,
        phase=RolloutPhase.FULL,
        ordered_unix=now - 16.0,
        canary_unix=now - 14.0,
        canary_share=0.1,
        ramp_unix=now - 6.0,
        full_unix=now - 1.0,
        revision=9,
    )
    evacuate(daemon, "east")
    for number in range(80):
        daemon.answer(head(attempt_id=f"a{number}", session=f"s{number}"))
    called = {daemon.table.endpoints[call.instance] for call in daemon.calls.calls}
    assert {version_of(endpoint) for endpoint in called} == {"v1", "v2"}
    assert {endpoint.failure_domain for endpoint in called} == {"west", "north"}


class EvacuatedFleet(LimitedFleet):
    """Endpoints in three failure domains, and the times of their evacuations."""

    def __init__(self, **options):
        super().__init__(**options)
        self.evacuations = []

    def add_endpoint(self, name):
        domain = DOMAINS[int(name.rpartition("-")[2]) % 3]
        self.source.endpoints[name] = report(name, capacity=64, failure_domain=domain)

    def evacuate(self, domain):
        self.source.evacuate(domain)
        self.evacuations.append((self.now, domain, math.inf))

    def end(self, domain):
        del self.source.evacuated[domain]
        self.evacuations = [
            (began, name, min(ended, self.now) if name == domain else ended)
            for began, name, ended in self.evacuations
        ]

    def rewind_without(self, domain):
        """Return from a copy that lacks an evacuation, without ending it."""
        self.source.era += 1
        del self.source.evacuated[domain]

    def late_arrivals(self, *, excused=()):
        """Return requests that reached a domain later than reads should allow."""
        latest_read = 1.2
        return [
            (domain, arrival)
            for began, domain, ended in self.evacuations
            for name, endpoint in self.source.endpoints.items()
            if endpoint.failure_domain == domain
            for arrival in self.arrivals[name]
            if began + latest_read < arrival.time < ended
            and arrival.daemon not in excused
        ]


def send_burst(fleet, *, per_second, seconds):
    """Send further requests at a rate for a time."""

    def begin():
        for number in range(round(per_second * seconds)):
            fleet.loop.call_later(
                number / per_second, lambda: fleet.loop.create_task(fleet._request())
            )

    return begin


def test_a_fleet_keeps_evacuations_in_a_burst_while_the_store_is_rewound():
    """Guards against requests to a domain in a burst, a rewind and an overlap."""
    fleet = EvacuatedFleet(daemons=6, endpoints=9)
    fleet.run(
        seconds=20.0,
        per_second=60.0,
        events=(
            (2.0, lambda: fleet.evacuate("east")),
            (4.0, send_burst(fleet, per_second=300.0, seconds=6.0)),
            (5.0, lambda: fleet.rewind_without("east")),
            (7.0, lambda: fleet.evacuate("west")),
            (8.5, lambda: fleet.source.evacuate("east")),
            (12.0, lambda: fleet.end("east")),
            (14.0, lambda: fleet.end("west")),
        ),
    )
    assert fleet.late_arrivals() == []
    assert {reply.status for reply in fleet.replies} == {200}
    for name, first in (("engine-3", 14.0), ("engine-1", 16.0)):
        assert fleet.received(name, first, 20.0) > 10


def test_a_daemon_that_was_cut_off_keeps_the_evacuation_and_its_end():
    """Guards against a daemon that comes back and sends by what it knew before."""
    fleet = EvacuatedFleet(daemons=6, endpoints=9)

    def reconnect():
        fleet.cut.discard("daemon-4")

    fleet.run(
        seconds=16.0,
        per_second=60.0,
        events=(
            (1.0, lambda: fleet.evacuate("east")),
            (4.0, lambda: fleet.cut_from_store("daemon-4")),
            (6.0, lambda: fleet.evacuate("north")),
            (9.0, lambda: fleet.end("east")),
            (10.0, reconnect),
        ),
    )
    late = fleet.late_arrivals()
    # It could not know of the second evacuation before its first read.
    assert {arrival.daemon for _, arrival in late} <= {"daemon-4#1"}
    assert {domain for domain, _ in late} <= {"north"}
    assert max((a.time for _, a in late), default=0.0) < 11.2
    assert fleet.received("engine-3", 11.2, 16.0) > 10

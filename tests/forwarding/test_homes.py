"""Homes: requests that may reach endpoints and peers of some regions only."""

import asyncio
import dataclasses
import math

import pytest

from linnetladder.errors import ErrorKind, Ran
from linnetladder.forwarding.coordination.calls import CallFaultKind, ProbeOutcome
from linnetladder.forwarding.coordination.homes import homes_of
from linnetladder.forwarding.coordination.peer_gossip import PeerStatus
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.state import (
    ClientAccount,
    RequestKind,
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
    RoutingTable,
    credential_digest,
)
from tests.support.forwarding import (
    LocalDaemon,
    MemorySource,
    Script,
    broken,
    head,
    report,
    route,
    table,
)

# The daemon is in "east". The domain "south" has no region in the settings.
REGIONS = {"east": "eu", "west": "us", "north": "eu", "far": "asia"}
DOMAINS = ("east", "west", "north", "far", "south")
PATHS = ("/draft/1", "/fetch/1", "/save/1")


def table_with_homes(*, of_routes=(), of_account=()) -> RoutingTable:
    """Return a routing table whose routes and client account have homes."""
    plain = table()
    homes = frozenset(of_routes)
    return RoutingTable(
        version=1,
        revision=1,
        routes=[dataclasses.replace(r, allowed_regions=homes) for r in plain.routes],
        services=plain.services.values(),
        accounts=[
            ClientAccount(
                name="studio",
                credentials=(credential_digest("key-1"),),
                allowed_regions=frozenset(of_account),
            )
        ],
        limits=plain.limits,
    )


def daemon_with_homes(*, domains=DOMAINS, regions=REGIONS, **homes):
    """Return a daemon before two endpoints of each service in each domain."""
    source = MemorySource(table=table_with_homes(**homes))
    for service in ("engines", "desk"):
        for domain in domains:
            for serial in range(2):
                name = f"{service}-{domain}-{serial}"
                source.endpoints[name] = report(
                    name, service=service, failure_domain=domain
                )
    daemon = LocalDaemon(source=source, regions=regions)
    assert daemon.read()
    return daemon


def domains_called(daemon):
    endpoints = daemon.table.endpoints
    return {endpoints[call.instance].failure_domain for call in daemon.calls.calls}


def answer_many(daemon, path, *, number=60):
    return [
        daemon.answer(head(path, attempt_id=f"a{n}", session=f"s{n}"))
        for n in range(number)
    ]


# Endpoints


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    ("homes", "domains"),
    [
        ({"of_routes": ["us"]}, {"west"}),
        ({"of_account": ["us", "asia"]}, {"west", "far"}),
        ({"of_routes": ["us", "eu"], "of_account": ["us", "asia"]}, {"west"}),
    ],
)
def test_first_attempts_reach_the_homes_only(path, homes, domains):
    """Guards against requests to endpoints of other regions, though they are near."""
    daemon = daemon_with_homes(**homes)
    replies = answer_many(daemon, path)
    assert {reply.status for reply in replies} == {200}
    assert domains_called(daemon) <= domains
    if path == "/draft/1":
        assert domains_called(daemon) == domains


def test_without_homes_any_region_is_used():
    """Guards against settings without regions that stop deployments without homes."""
    daemon = daemon_with_homes(regions={})
    answer_many(daemon, "/draft/1", number=200)
    assert domains_called(daemon) == set(DOMAINS)


def test_a_public_route_has_its_own_homes_alone():
    """Guards against a public route whose requests have no client account."""
    public = route(
        "fetch",
        kind=RequestKind.IDEMPOTENT,
        public=True,
        allowed_regions=frozenset(("us",)),
    )
    assert homes_of(public, None) == {"us"}
    assert homes_of(route("fetch"), None) is None


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
def test_second_attempts_reach_the_homes_only(failed):
    """Guards against retries, resumed streams and escalations in other regions."""
    daemon = daemon_with_homes(of_routes=["us"])
    for number in range(10):
        daemon.answer(head(attempt_id=f"a{number}", session=f"s{number}"), failed)
    assert len(daemon.calls.calls) >= 20
    assert domains_called(daemon) == {"west"}


def test_a_session_leaves_a_region_that_is_no_home_any_more():
    """Guards against sessions kept at the endpoint that holds their prompt."""
    daemon = daemon_with_homes()
    answer_many(daemon, "/draft/1")
    assert "east" in domains_called(daemon)
    changed = table_with_homes(of_account=["us"])
    changed.version = changed.revision = 2
    daemon.source.table = changed
    assert daemon.read()
    daemon.calls.calls.clear()
    answer_many(daemon, "/draft/1")
    assert domains_called(daemon) == {"west"}


def test_regions_of_reloaded_settings_apply_also_to_connected_calls():
    """Guards against regions kept from the start of the daemon or of a call."""
    daemon = daemon_with_homes(of_routes=["us"])
    daemon.answer(head("/save/1"))
    (call,) = daemon.calls.calls
    assert call.may_send()
    moved = {**REGIONS, "west": "eu", "north": "us"}
    daemon.holder.current = dataclasses.replace(daemon.holder.current, regions=moved)
    assert not call.may_send()
    daemon.calls.calls.clear()
    answer_many(daemon, "/draft/1")
    assert domains_called(daemon) == {"north"}


# Refusals


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    ("homes", "regions"),
    [
        ({"of_routes": ["africa", "antarctica"]}, "africa, antarctica"),
        ({"of_routes": ["us"], "of_account": ["eu"]}, "none"),
    ],
)
def test_a_request_without_an_endpoint_in_its_homes_is_refused_at_once(
    path, homes, regions
):
    """Guards against a last resort in another region, and an unclear refusal."""
    daemon = daemon_with_homes(**homes)
    request = daemon.forwarder.admission.admit(
        head(path), b"", received=daemon.clock.monotonic()
    ).unwrap()
    reply = daemon.answer(head(path))
    assert daemon.calls.calls == []
    assert (reply.status, reply.refusal.ran) == (503, Ran.NO)
    assert reply.refusal.kind is ErrorKind.NO_ENDPOINT
    assert reply.refusal.retry_after_seconds == 1.0
    assert f"may use: {regions}" in reply.refusal.detail
    assert daemon.metrics.value("home_refusals") == 1
    asyncio.run(daemon.sender.open(request, model="", resume_after=""))
    assert request.history[-1] == f"homes: {regions}"


def test_ejected_endpoints_of_the_homes_are_the_last_resort():
    """Guards against other regions in use because the homes have failed endpoints."""
    daemon = daemon_with_homes(of_routes=["us"])
    for endpoint in daemon.table.endpoints.values():
        if endpoint.failure_domain == "west":
            endpoint.ejected_until = daemon.clock.now + 60.0
    answer_many(daemon, "/fetch/1", number=5)
    assert domains_called(daemon) == {"west"}


def test_an_evacuated_home_leaves_no_choice():
    """Guards against requests that leave their homes when those are evacuated."""
    daemon = daemon_with_homes(of_routes=["us"])
    daemon.source.evacuate("west")
    assert daemon.read()
    reply = daemon.answer(head("/save/1"))
    assert daemon.calls.calls == []
    assert reply.refusal.ran is Ran.NO
    assert "are evacuated; the regions that the request" in reply.refusal.detail
    assert daemon.metrics.value("evacuation_refusals") == 1
    assert daemon.metrics.value("home_refusals") == 0


# Roll-outs


def test_a_session_stays_on_the_old_version_if_the_target_is_not_in_its_homes():
    """Guards against refusals while a target runs in other regions only."""
    daemon = daemon_with_homes(of_routes=["eu"], domains=("east", "north", "west"))
    daemon.source.endpoints["new"] = report("new", version="v2", failure_domain="west")
    daemon.source.orders["engines"] = RolloutOrder(
        service="engines", target="v2", duration_seconds=24.0, revision=7
    )
    now = daemon.clock.unix()
    daemon.source.records["engines"] = RolloutRecord(
        service="engines",
        target="v2",
        order_revision=7,
        phase=RolloutPhase.CANARY,
        ordered_unix=now - 9.0,
        canary_unix=now - 7.0,
        canary_share=0.5,
        revision=9,
    )
    assert daemon.read()
    assert {reply.status for reply in answer_many(daemon, "/draft/1")} == {200}
    assert domains_called(daemon) == {"east", "north"}
    daemon.source.endpoints["new-2"] = report(
        "new-2", version="v2", failure_domain="north"
    )
    assert daemon.read()
    daemon.calls.calls.clear()
    answer_many(daemon, "/draft/1")
    called = [call.instance for call in daemon.calls.calls]
    assert 15 <= called.count("new-2") <= 45


# Peers


def cut_off_daemon(*peer_domains, **homes):
    """Return a daemon that can't reach any endpoint, with a peer in each domain."""
    daemon = daemon_with_homes(**homes)
    for domain in peer_domains:
        daemon.source.daemons[f"peer-{domain}"] = DaemonAddress(
            instance=f"peer-{domain}",
            incarnation=domain,
            failure_domain=domain,
            host=f"peer-{domain}",
            port=1,
        )
    assert daemon.read()
    for endpoint in daemon.table.endpoints.values():
        endpoint.ejected_until = math.inf
    return daemon


def peers_called(daemon):
    return {call.relay.partition(":")[0] for call in daemon.calls.calls}


@pytest.mark.parametrize("path", PATHS)
def test_bodies_go_through_peers_of_the_homes_and_of_the_own_region_only(path):
    """Guards against a body sent to a daemon of a third region, or of none known."""
    daemon = cut_off_daemon(*DOMAINS, of_routes=["us"])
    answer_many(daemon, path)
    assert domains_called(daemon) == {"west"}
    assert peers_called(daemon) == {"peer-east", "peer-west", "peer-north"}


def test_without_homes_any_peer_passes_calls_on():
    daemon = cut_off_daemon(*DOMAINS)
    answer_many(daemon, "/fetch/1", number=100)
    assert peers_called(daemon) == {f"peer-{domain}" for domain in DOMAINS}


def test_peers_of_other_regions_are_no_way_for_a_request_with_homes():
    """Guards against endpoints that count as reached by peers that may not be used."""
    daemon = cut_off_daemon("far", "south", of_routes=["us"])
    refused = Script(fault=broken(kind=CallFaultKind.CONNECT, ran=False))
    reply = daemon.answer(head("/save/1"), refused, refused)
    assert peers_called(daemon) == {""}
    assert domains_called(daemon) == {"west"}
    assert (reply.status, reply.refusal.ran) == (503, Ran.NO)


def test_a_call_that_could_not_connect_is_not_passed_on_to_another_region():
    """Guards against the second way of a request that began directly."""
    daemon = cut_off_daemon("far", of_routes=["us"])
    for endpoint in daemon.table.endpoints.values():
        endpoint.ejected_until = 0.0
    daemon.calls.reachable = False
    refused = Script(fault=broken(kind=CallFaultKind.CONNECT, ran=False))
    daemon.answer(head("/save/1"), refused, refused)
    assert peers_called(daemon) == {""}


def test_another_peer_is_asked_within_the_homes_after_one_failed():
    """Guards against the retry through a peer of a third region."""
    daemon = cut_off_daemon("west", "far", "north", of_routes=["us"])
    failed = broken(kind=CallFaultKind.CONNECT, ran=False, peer_failed=True)
    reply = daemon.answer(head("/save/1"), Script(fault=failed))
    assert reply.status == 200
    assert peers_called(daemon) == {"peer-west", "peer-north"}


def test_a_domain_without_a_region_passes_on_calls_of_itself():
    """Guards against two unknown regions that count as the same one."""
    daemon = cut_off_daemon("east", "south", of_routes=["us"])
    regions = {"west": "us"}
    daemon.holder.current = dataclasses.replace(daemon.holder.current, regions=regions)
    answer_many(daemon, "/fetch/1", number=20)
    assert peers_called(daemon) == {"peer-east"}


def test_a_probe_without_a_body_may_go_through_any_peer(monkeypatch):
    """Guards against crashes put down to requests since no peer could be asked."""
    daemon = cut_off_daemon("far", of_routes=["us"])
    daemon.peers.peer_status["peer-far"] = PeerStatus("far", 1, 0.0, draining=False)
    asked = []

    async def accepted(relay, instance):
        asked.append(relay)
        return ProbeOutcome.ACCEPTED

    monkeypatch.setattr(daemon.calls, "probe_through", accepted)
    endpoint = daemon.table.endpoints["desk-west-0"]
    assert not asyncio.run(daemon.sender.confirmation.confirm(endpoint))
    assert asked == ["peer-far:1"]

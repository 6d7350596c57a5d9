"""Daemons that are cut off from all endpoints, while peers still reach them."""

import asyncio
import math

import pytest

from linnetladder.errors import Ran
from linnetladder.forwarding.coordination.calls import CallFaultKind, ProbeOutcome
from linnetladder.forwarding.coordination.peer_gossip import PeerStatus
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.protocol.relaying import build_relay_headers, is_signed
from tests.support.forwarding import Script, broken, head, ready_daemon


def peers_of(daemon, number):
    """Give a daemon some peers."""
    for serial in range(number):
        name = f"peer-{serial}"
        daemon.source.daemons[name] = DaemonAddress(
            instance=name,
            incarnation=name,
            failure_domain="west",
            host=name,
            port=1,
        )
    assert daemon.read()


def cut_off_daemon(*, peers=2):
    """Return a daemon that can't reach any endpoint itself, and has some peers."""
    daemon = ready_daemon()
    peers_of(daemon, peers)
    for endpoint in daemon.table.endpoints.values():
        endpoint.ejected_until = math.inf
    return daemon


REFUSED = Script(fault=broken(kind=CallFaultKind.CONNECT, ran=False))
PEER_FAILED = broken(kind=CallFaultKind.CONNECT, ran=False, peer_failed=True)


def test_a_request_goes_through_a_peer_if_no_endpoint_is_reached_directly():
    daemon = cut_off_daemon()
    assert daemon.answer(head("/save/1")).status == 200
    (call,) = daemon.calls.calls
    assert call.relay in ("peer-0:1", "peer-1:1")
    assert call.address == daemon.table.endpoints[call.instance].address


def test_endpoints_that_are_reached_directly_come_first():
    daemon = cut_off_daemon()
    daemon.table.endpoints["desk-2"].ejected_until = 0.0
    assert daemon.answer(head("/save/1")).status == 200
    (call,) = daemon.calls.calls
    assert (call.instance, call.relay) == ("desk-2", "")


def test_a_request_whose_connections_fail_goes_through_a_peer_at_once():
    daemon = ready_daemon()
    peers_of(daemon, 2)
    daemon.calls.reachable = False
    assert daemon.answer(head("/save/1"), REFUSED, REFUSED).status == 200
    assert [bool(call.relay) for call in daemon.calls.calls] == [False, False, True]


def test_another_peer_is_asked_if_one_passes_nothing_on():
    daemon = cut_off_daemon()
    reply = daemon.answer(head("/save/1"), Script(fault=PEER_FAILED))
    assert reply.status == 200
    first, second = daemon.calls.calls
    assert first.relay != second.relay
    daemon.answer(head("/save/2", attempt_id="a2"))
    assert daemon.calls.calls[2].relay == second.relay


# Guards against a peer that is left out as failed after it has started again.
def test_a_peer_that_has_started_again_is_asked_at_once():
    daemon = cut_off_daemon(peers=1)
    daemon.peers.peer_status["peer-0"] = PeerStatus("first", 1, 0.0, draining=False)
    daemon.answer(head("/save/1"), Script(fault=PEER_FAILED))
    assert daemon.calls.calls[0].relay == "peer-0:1"
    # Another report of the same process does not show that it passes calls on.
    daemon.peers.peer_status["peer-0"] = PeerStatus("first", 2, 0.0, draining=False)
    daemon.answer(head("/save/2", attempt_id="a2"))
    assert daemon.calls.calls[-1].relay == ""
    daemon.peers.peer_status["peer-0"] = PeerStatus("second", 1, 0.0, draining=False)
    daemon.answer(head("/save/3", attempt_id="a3"))
    assert daemon.calls.calls[-1].relay == "peer-0:1"


# Guards against an endpoint that is given up since one peer is cut off from it, too.
def test_an_endpoint_that_one_peer_can_not_reach_is_reached_through_another():
    daemon = cut_off_daemon()
    daemon.table.endpoints["desk-2"].leaving = True
    assert daemon.answer(head("/save/1"), REFUSED).status == 200
    first, second = daemon.calls.calls
    assert (first.instance, second.instance) == ("desk-1", "desk-1")
    assert first.relay != second.relay
    daemon.answer(head("/save/1", attempt_id="b1"))
    assert daemon.calls.calls[2].relay == second.relay


@pytest.mark.parametrize(("peers", "asked"), [(2, 2), (9, 3)])
def test_an_endpoint_that_no_asked_peer_can_reach_is_left_out_for_a_while(peers, asked):
    daemon = cut_off_daemon(peers=peers)
    first = daemon.answer(head("/save/1"), *[REFUSED] * asked)
    assert first.status == 200
    *failed, last = daemon.calls.calls
    assert len({call.instance for call in failed}) == 1
    assert len({call.relay for call in failed}) == asked
    assert last.instance != failed[0].instance
    for serial in range(3):
        daemon.answer(head("/save/1", attempt_id=f"b{serial}"))
    later = daemon.calls.calls[asked + 1 :]
    assert {call.instance for call in later} == {last.instance}


# Guards against requests that run twice since a peer was lost and not their endpoint.
def test_a_request_that_broke_off_at_a_peer_may_have_run():
    daemon = cut_off_daemon()
    reply = daemon.answer(head("/save/1"), Script(fault=broken()))
    assert len(daemon.calls.calls) == 1
    assert reply.refusal.ran is Ran.UNKNOWN
    assert list(daemon.bills.open_bills) == ["a1"]


def test_failures_of_peers_are_not_put_down_to_endpoints():
    daemon = cut_off_daemon()
    daemon.answer(head("/fetch/1"), Script(fault=broken()), Script(fault=broken()))
    assert daemon.outcomes.failure_rate("desk-1") == 0.0
    assert daemon.crashes.export() == []


def test_without_peers_an_unreachable_endpoint_is_still_tried():
    daemon = cut_off_daemon(peers=0)
    assert daemon.answer(head("/save/1")).status == 200
    assert daemon.calls.calls[0].relay == ""


def test_peers_that_are_draining_pass_nothing_on():
    daemon = cut_off_daemon(peers=1)
    daemon.peers.peer_status["peer-0"] = PeerStatus("peer-0", 1, 0.0, draining=True)
    daemon.answer(head("/save/1"))
    assert daemon.calls.calls[0].relay == ""


# Guards against sound requests that are refused because a daemon was cut off.
def test_an_endpoint_that_a_peer_reaches_has_not_crashed(monkeypatch):
    daemon = ready_daemon()
    peers_of(daemon, 1)
    daemon.calls.reachable = False

    async def accepted(relay, instance):
        return ProbeOutcome.ACCEPTED

    monkeypatch.setattr(daemon.calls, "probe_through", accepted)
    daemon.answer(head("/fetch/1"), Script(fault=broken()), Script(fault=broken()))
    assert daemon.crashes.export() == []


# Guards against requests that each wait for a connection to find out what is cut off.
@pytest.mark.parametrize(("reachable", "ejected"), [(False, 5), (True, 2)])
def test_two_unreachable_endpoints_make_a_daemon_check_the_others(reachable, ejected):
    daemon = ready_daemon()
    daemon.calls.reachable = reachable

    async def scenario():
        for name in ("engine-1", "engine-2"):
            daemon.quarantine.eject(daemon.table.endpoints[name])
        for _ in range(10):
            await asyncio.sleep(0)
        return len(daemon.quarantine.quarantined)

    assert asyncio.run(scenario()) == ejected


@pytest.mark.parametrize("secret", ["", "other"])
def test_calls_of_peers_are_signed(secret):
    headers = dict(build_relay_headers(secret=b"secret", instance="e", attempt_id="a"))
    assert is_signed(headers, secret=b"secret")
    assert not is_signed(headers, secret=secret.encode() or b"x")
    assert not is_signed({**headers, "Relay-Endpoint": "f"}, secret=b"secret")

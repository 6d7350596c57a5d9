"""Answers of peers that are no HTTP responses, or no answers of a peer."""

import asyncio
import dataclasses
import functools

import pytest

from linnetladder.forwarding.coordination.calls import CallFault, CallFaultKind
from linnetladder.forwarding.transport import HttpEndpointCalls
from linnetladder.platform import PlatformEndpointCodec
from linnetladder.telemetry import Metrics
from standins.broken_answers import BROKEN
from tests.forwarding.test_transport import build_call
from tests.support.odd_server import OddServer, endless

SECONDS = 5.0
BODY = b"accepted"
HEAD = b"HTTP/1.1 200 OK\r\n"


def ask_peer(build_parts, ask):
    """Return what a daemon makes of the bytes of a peer."""

    async def scenario():
        async with OddServer(build_parts) as peer, asyncio.timeout(SECONDS):
            calls = HttpEndpointCalls(codec=PlatformEndpointCodec(), metrics=Metrics())
            try:
                return await ask(calls, peer)
            finally:
                await calls.close()

    return asyncio.run(scenario())


async def probe(calls, peer):
    return await calls.probe_through(peer.address, "desk-1")


async def relay(calls, peer):
    exchange = await calls.open(
        dataclasses.replace(build_call(peer), relay=peer.address)
    )
    return await exchange.read()


# Guards against an endpoint that is taken for reachable, or a body for an answer, since
# a peer's response is read that is none.
def test_a_malformed_response_of_a_peer_is_no_answer():
    for name, build in BROKEN.items():
        parts = [build("a1", BODY)]
        if "content coding" not in name:
            assert ask_peer(lambda parts=parts: parts, probe) is None, name
        with pytest.raises(CallFault) as caught:
            ask_peer(lambda parts=parts: parts, relay)
        assert caught.value.may_have_run


@pytest.mark.parametrize("first", [b"\r\n", b"Content-Length: 99999999\r\n\r\n"])
def test_a_peers_answer_to_a_probe_without_end_is_given_up(first):
    build_parts = functools.partial(endless, HEAD + first, b"accepted")
    assert ask_peer(build_parts, probe) is None


# Guards against an error of this daemon for a fault that only a peer knows.
def test_a_fault_of_a_kind_that_is_not_known_may_have_run():
    head = b"HTTP/1.1 502 Bad Gateway\r\nRelay-Fault: odd\r\nRelay-Ran: 1\r\n"
    with pytest.raises(CallFault) as caught:
        ask_peer(lambda: [head + b"Content-Length: 0\r\n\r\n"], relay)
    assert caught.value.kind is CallFaultKind.BROKEN
    assert caught.value.may_have_run

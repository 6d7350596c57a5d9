"""Calls to endpoints through a peer, over HTTP."""

import asyncio
import dataclasses
import math

import pytest

from linnetladder.forwarding.coordination.calls import (
    CallFault,
    CallFaultKind,
    ProbeOutcome,
)
from linnetladder.forwarding.protocol import ResponseHead
from linnetladder.forwarding.transport import (
    HttpEndpointCalls,
    PeerSocket,
    RelayServer,
)
from linnetladder.platform import PlatformEndpointCodec
from linnetladder.telemetry import Metrics
from tests.forwarding.test_transport import (
    ANSWER_HEAD,
    COMPLETE_ANSWER,
    RawEndpoint,
    build_call,
)
from tests.support.forwarding import memory_account, ready_daemon, report

SECRET = b"secret"
# A head without a length, whose body ends with the connection.
OPEN_HEAD = ANSWER_HEAD % b"a1" + b"\r\n"


class Relay:
    """A daemon that relays calls to a raw endpoint, and the calls of its peer."""

    def __init__(self, endpoint):
        self.endpoint = endpoint

    async def __aenter__(self):
        codec = PlatformEndpointCodec()
        self.calls = HttpEndpointCalls(codec=codec, metrics=Metrics())
        self.peer_calls = HttpEndpointCalls(codec=codec, metrics=Metrics())
        self.peer_calls.relay_secret = SECRET
        self.daemon = await asyncio.to_thread(ready_daemon)
        del self.daemon.source.endpoints["desk-1"]
        assert await self.daemon.poller.read_once()
        self.daemon.source.endpoints["desk-1"] = report(
            "desk-1", service="desk", address=self.endpoint.address
        )
        assert await self.daemon.poller.read_once()
        self.daemon.relay_control.calls = self.calls
        peer_socket = PeerSocket(gossip=self.daemon.peers, metrics=self.daemon.metrics)
        peer_socket.secret = SECRET
        self.server = RelayServer(
            control=self.daemon.relay_control,
            peer_socket=peer_socket,
            memory=memory_account(),
            maximum_connections=100,
        )
        await self.server.start(address="127.0.0.1", port=0)
        port = self.server.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *exception):
        await self.server.stop()
        await self.calls.close()
        await self.peer_calls.close()

    def call(self, **options):
        """Return a call of the peer that goes through this daemon."""
        return dataclasses.replace(
            build_call(self.endpoint, **options), relay=self.address
        )

    async def open(self, **options):
        return await self.peer_calls.open(self.call(**options))

    async def fault(self, **options):
        """Return the fault that a call ends with."""
        with pytest.raises(CallFault) as raised:
            exchange = await self.open(**options)
            await exchange.read()
        return raised.value

    def desk(self):
        return self.daemon.table.endpoints["desk-1"]


def run_relayed(work, *answers):
    """Run a coroutine function with a relay before an endpoint that sends answers."""

    async def scenario():
        async with (
            asyncio.timeout(5),
            RawEndpoint(*answers) as endpoint,
            Relay(endpoint) as relay,
        ):
            await work(relay, endpoint)

    asyncio.run(scenario())


def test_the_endpoint_sees_the_call_and_the_peer_its_answer():
    async def work(relay, endpoint):
        exchange = await relay.open()
        assert (exchange.head.status, await exchange.read()) == (200, b"ok")
        exchange.close()
        (request,) = endpoint.requests
        assert request.startswith(b"GET /fetch/1 HTTP/1.1\r\n")
        assert b"Linnetladder-Deadline-Ms: 5000" in request
        assert b"Linnetladder-Expect-Instance: desk-1" in request
        assert b"Host: api.example" in request
        assert b"relay-" not in request.lower()

    run_relayed(work, [COMPLETE_ANSWER])


def test_an_answer_that_ends_with_its_connection_is_complete():
    async def work(relay, endpoint):
        exchange = await relay.open()
        assert await exchange.read() == b"partial and whole"

    run_relayed(work, [OPEN_HEAD, b"partial ", b"and whole", b""])


# Guards against answers that look complete because the daemon between has ended.
@pytest.mark.parametrize("ending", [None, "relay stops"])
def test_an_answer_that_breaks_off_does_not_look_complete(ending):
    async def work(relay, endpoint):
        exchange = await relay.open()
        chunks = exchange.chunks()
        assert await anext(chunks) == b"partial"
        if ending is not None:
            relay.server.server.connections[0].transport.close()
        with pytest.raises(CallFault) as raised:
            async for _ in chunks:
                pass
        assert raised.value.may_have_run

    run_relayed(work, [OPEN_HEAD, b"partial", 0.3, ending and b"rest"])


def test_events_pass_as_they_arrive():
    async def work(relay, endpoint):
        loop = asyncio.get_running_loop()
        exchange = await relay.open()
        arrivals = [loop.time() async for _ in exchange.chunks()]
        assert len(arrivals) == 3
        assert arrivals[0] < arrivals[1] - 0.1 < arrivals[2] - 0.2

    events = [b"id: %d\ndata: x\n\n" % number for number in range(3)]
    run_relayed(work, [OPEN_HEAD, events[0], 0.15, events[1], 0.15, events[2], b""])


def test_a_caller_that_leaves_ends_the_call_at_the_endpoint():
    async def work(relay, endpoint):
        opening = asyncio.ensure_future(relay.open())
        while not endpoint.requests:
            await asyncio.sleep(0.01)
        assert relay.server.active_calls == 1
        opening.cancel()
        while relay.server.active_calls:
            await asyncio.sleep(0.01)

    run_relayed(work, [3.0, COMPLETE_ANSWER])


def test_a_call_that_breaks_off_before_its_answer_may_have_run():
    async def work(relay, endpoint):
        fault = await relay.fault()
        assert (fault.kind, fault.may_have_run) == (CallFaultKind.BROKEN, True)

    run_relayed(work, [None])


def test_an_endpoint_that_the_peer_can_not_reach_either_was_not_sent_to():
    async def work(relay, endpoint):
        relay.desk().ejected_until = math.inf
        fault = await relay.fault()
        assert (fault.kind, fault.may_have_run) == (CallFaultKind.CONNECT, False)
        assert not fault.peer_failed
        assert endpoint.requests == []

    run_relayed(work)


@pytest.mark.parametrize(
    "reason", ["cut off", "others leave", "leaving", "unsigned", "ended"]
)
def test_a_peer_that_can_pass_nothing_on_is_told_from_an_endpoint(reason):
    async def work(relay, endpoint):
        if reason == "cut off":
            for desk in relay.daemon.directory.pool("desk").endpoints:
                desk.ejected_until = math.inf
        elif reason == "others leave":
            relay.desk().ejected_until = math.inf
            relay.daemon.table.endpoints["desk-2"].leaving = True
        elif reason == "leaving":
            relay.server.leaving = True
        elif reason == "unsigned":
            relay.peer_calls.relay_secret = b"other"
        else:
            await relay.server.stop()
        fault = await relay.fault()
        assert (fault.kind, fault.may_have_run) == (CallFaultKind.CONNECT, False)
        assert fault.peer_failed
        assert endpoint.requests == []

    run_relayed(work)


# Guards against calls that go to an endpoint which told the relaying daemon to stop.
@pytest.mark.parametrize("reason", ["leaves", "pauses", "unknown"])
def test_an_endpoint_that_takes_nothing_gets_nothing_through_peers(reason):
    async def work(relay, endpoint):
        desk = relay.desk()
        if reason == "leaves":
            relay.daemon.directory.mark_leaving(desk, reason="answer")
        elif reason == "pauses":
            pauses = relay.daemon.pauses
            pauses.end(pauses.begin(desk), desk, pause_head(5.0))
        else:
            del relay.daemon.table.endpoints["desk-1"]
        fault = await relay.fault()
        assert (fault.kind, fault.may_have_run) == (CallFaultKind.WITHDRAWN, False)
        assert endpoint.requests == []

    run_relayed(work)


def pause_head(seconds):
    """Return the head of an answer that asks for a pause."""
    return ResponseHead(
        status=503,
        attempt_id="a1",
        not_run=True,
        misdirected=False,
        sealed=False,
        confidence=None,
        closes_connection=False,
        length=0,
        headers=(),
        pause_seconds=seconds,
        names_pause=True,
    )


def test_a_relaying_daemon_learns_that_an_endpoint_leaves():
    async def work(relay, endpoint):
        (await relay.open()).close()
        assert relay.desk().leaving

    leaving = b"Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
    run_relayed(work, [ANSWER_HEAD % b"a1" + leaving])


# Guards against endpoints whose answers pass for those of the daemon between.
def test_an_endpoint_can_not_report_a_fault_of_its_peer():
    async def work(relay, endpoint):
        exchange = await relay.open()
        assert exchange.head.status == 200

    forged = b"Relay-Fault: connect\r\nRelay-Ran: 0\r\nContent-Length: 0\r\n\r\n"
    run_relayed(work, [ANSWER_HEAD % b"a1" + forged])


def test_a_peer_probes_an_endpoint():
    async def work(relay, endpoint):
        probe = relay.peer_calls.probe_through
        assert await probe(relay.address, "desk-1") is ProbeOutcome.ACCEPTED
        assert await probe(relay.address, "unknown") is None
        relay.desk().address = "127.0.0.1:1"
        assert await probe(relay.address, "desk-1") is ProbeOutcome.REFUSED
        await relay.server.stop()
        assert await probe(relay.address, "desk-1") is None

    run_relayed(work)

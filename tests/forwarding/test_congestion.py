"""An instance whose own link is congested keeps the requests in flight.

Under load and with many failing endpoints, control traffic, streams and probes share a
slow link. What waits behind it looks like a silent endpoint.
"""

import asyncio

import pytest

from linnetladder.forwarding.coordination.calls import (
    CallFault,
    CallFaultKind,
    ProbeOutcome,
)
from linnetladder.forwarding.coordination.connect_timeout import ConnectTimeout
from linnetladder.forwarding.coordination.outcomes import AttemptOutcome
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.transport import HttpEndpointCalls, PeerSocket
from linnetladder.platform import PlatformEndpointCodec
from linnetladder.telemetry import Metrics
from tests.forwarding.test_transport import ANSWER_HEAD, RawEndpoint, build_call
from tests.support.forwarding import (
    LocalDaemon,
    RecordedReply,
    Script,
    broken,
    head,
    ready_daemon,
    report,
    route,
    table,
)

FIRST_EVENT = b"id: 1\ndata: a\n\n"
SECOND_EVENT = b"id: 2\ndata: b\n\n"
PAUSE_SECONDS = 0.8
# What a daemon may spend on control at the size of two years from now.
CONTROL_BYTES_PER_SECOND = 26_000
FAILURE_DOMAINS = ("east", "west", "north", "south", "centre")
DAEMONS = 66
ENDPOINTS = 140
ROUTES = ("draft", "line", "wording", "fetch")


class CongestedCalls(HttpEndpointCalls):
    """Calls over a link on which every probe times out."""

    async def probe(self, address):
        self.metrics.count("probes", label=ProbeOutcome.TIMED_OUT)
        return ProbeOutcome.TIMED_OUT


def test_stream_without_a_possible_successor_is_not_ended_for_silence():
    """Guards against streams cut while their endpoint is at work and none can follow.

    A pause of the stream and a probe that timed out ended the attempt although no
    further one was allowed.
    """

    async def scenario():
        answer = ANSWER_HEAD % b"a1" + b"Linnetladder-Confidence: 90\r\n\r\n"
        parts = [answer + FIRST_EVENT, PAUSE_SECONDS, SECOND_EVENT, b""]
        async with asyncio.timeout(5), RawEndpoint(parts) as endpoint:
            daemon = LocalDaemon()
            daemon.source.table = table(
                routes=(route(objective_seconds=1.0, maximum_attempts=1),)
            )
            daemon.source.endpoints["engine-1"] = report(
                "engine-1", address=endpoint.address
            )
            assert await daemon.poller.read_once()
            daemon.sender.calls = CongestedCalls(
                codec=PlatformEndpointCodec(), metrics=Metrics()
            )
            reply = RecordedReply()
            await daemon.forwarder.answer(
                head(), b"", received=daemon.clock.monotonic(), reply=reply
            )
            await daemon.sender.calls.close()
        return reply

    reply = asyncio.run(scenario())
    assert not reply.broken
    assert reply.complete
    assert reply.body == FIRST_EVENT + SECOND_EVENT


def test_failed_connection_does_not_use_up_the_retry_budget():
    """Guards against streams broken off because connections failed.

    The last retry of the budget was spent on an endpoint that it never reached, so
    nothing was left for one that would have gone on with the stream.
    """
    daemon = ready_daemon()
    daemon.budget.daemons = 10_000
    while daemon.budget.available("engines") < 0.5:
        daemon.budget.count_request("engines")
    reply = daemon.answer(
        head(),
        Script(chunks=(FIRST_EVENT,), cut_after=1),
        Script(fault=broken(ran=False, kind=CallFaultKind.CONNECT)),
        Script(chunks=(SECOND_EVENT,)),
    )
    assert len(daemon.calls.calls) == 3
    assert reply.complete
    assert reply.body == FIRST_EVENT + SECOND_EVENT


def fleet_with_failing_endpoints() -> LocalDaemon:
    """Return a daemon of a large fleet in which every endpoint has failed lately."""
    daemon = LocalDaemon()
    for number in range(ENDPOINTS):
        name = f"i-{number * 2654435761 % 2**40:010x}"
        daemon.source.endpoints[name] = report(
            name,
            failure_domain=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            version=f"v{1 + number % 2}",
        )
    for number in range(DAEMONS):
        domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        daemon.source.daemons[f"daemon-{number}"] = DaemonAddress(
            instance=f"daemon-{number}",
            incarnation="1",
            failure_domain=domain,
            host=f"10.0.{number}.1",
            port=90,
        )
    assert daemon.read()
    for number, (name, endpoint) in enumerate(daemon.table.endpoints.items()):
        endpoint.in_flight = 1 + number % 16
        daemon.loads.backlog[name] = 0.001 * number
        for route_name in ROUTES:
            for outcome in AttemptOutcome:
                daemon.outcomes.add(name, route_name, outcome)
            daemon.outcomes.add_duration(
                name, route_name, "small", 0.1 + number / 997, learn=True
            )
        if number % 4 == 0:
            daemon.crashes.learn(f"{number:032x}", f"{name}:1")
    return daemon


class RecordingTransport(asyncio.DatagramTransport):
    """Adds up the bytes that are sent."""

    def __init__(self):
        super().__init__()
        self.sent_bytes = 0
        self.datagrams = 0

    def sendto(self, data, addr=None):
        self.sent_bytes += len(data)
        self.datagrams += 1


def test_reports_do_not_congest_the_link_while_many_endpoints_fail():
    """Guards against control traffic that grows with failures and causes more of them.

    Each report listed every failing endpoint on every route, to fourteen peers at a
    time.
    """

    async def scenario(daemon, seconds):
        peer_socket = PeerSocket(gossip=daemon.peers, metrics=Metrics())
        peer_socket.secret = b"secret"
        peer_socket.transport = RecordingTransport()
        sending = asyncio.create_task(peer_socket.run())
        await asyncio.sleep(seconds)
        sending.cancel()
        return peer_socket.transport

    seconds = 2.5
    transport = asyncio.run(scenario(fleet_with_failing_endpoints(), seconds))
    assert transport.datagrams > 10
    assert transport.sent_bytes <= CONTROL_BYTES_PER_SECOND * seconds


def test_silence_reserves_the_retry_that_follows():
    """Guards against a stream given up whose retry another request has then taken."""
    daemon = ready_daemon()
    daemon.budget.daemons = 10_000
    while daemon.budget.available("engines") < 0.5:
        daemon.budget.count_request("engines")
    request = daemon.forwarder.admission.admit(
        head(), b"", received=daemon.clock.monotonic()
    ).unwrap()
    request.ran, request.times_sent, request.attempts = True, 1, 1
    assert daemon.sender.reserve_retry(request, "small")
    assert not daemon.budget.spend("engines")
    opened = asyncio.run(daemon.sender.open(request, model="small", resume_after="1"))
    daemon.sender.close(request, opened.unwrap(), None)
    daemon.sender.release_retry(request)
    assert not daemon.budget.spend("engines")


def test_reserved_retry_that_is_not_sent_is_given_back():
    """Guards against a budget that shrinks with requests that end on their own."""
    daemon = ready_daemon()
    daemon.budget.daemons = 10_000
    while daemon.budget.available("engines") < 0.5:
        daemon.budget.count_request("engines")
    request = daemon.forwarder.admission.admit(
        head(), b"", received=daemon.clock.monotonic()
    ).unwrap()
    assert daemon.sender.reserve_retry(request, "small")
    daemon.sender.release_retry(request)
    assert daemon.budget.spend("engines")


def test_cut_stream_without_a_retry_left_is_broken_off():
    """An answer that ended early must not look complete."""
    daemon = ready_daemon()
    daemon.budget.daemons = 10_000
    reply = daemon.answer(head(), Script(chunks=(FIRST_EVENT,), cut_after=1))
    assert reply.broken
    assert not reply.complete


def test_connect_timeout_follows_a_link_that_becomes_slow():
    """Guards against a congested link that makes every endpoint look unreachable.

    Connections that take longer than the shortest limit were all given up.
    """
    timeout = ConnectTimeout()
    timeout.succeeded(0.002)
    now = 10.0
    while timeout.seconds() < 0.7:
        started, now = now, now + timeout.seconds()
        timeout.timed_out(started=started, now=now)
    timeout.succeeded(0.6)
    assert timeout.seconds() > 0.6
    for _ in range(100):
        timeout.succeeded(0.002)
    assert timeout.seconds() == pytest.approx(0.2)


def test_connections_that_time_out_together_raise_the_limit_once():
    """Guards against slow failover after one failure domain became unreachable."""
    timeout = ConnectTimeout()
    for _ in range(20):
        timeout.timed_out(started=10.0, now=10.2)
    assert timeout.seconds() == pytest.approx(0.4)
    timeout.succeeded(0.002)
    assert timeout.seconds() == pytest.approx(0.2)


def test_silence_is_counted_from_the_time_the_request_was_sent():
    """Guards against a connection that is still being opened counting as silent.

    Such a request has not run, and was counted as if it may have.
    """

    class SlowConnector(CongestedCalls):
        async def open(self, call):
            connector = self.pooled_session.connector
            connect = connector._create_direct_connection

            async def delayed(*arguments, **options):
                await asyncio.sleep(0.3)
                return await connect(*arguments, **options)

            connector._create_direct_connection = delayed
            return await super().open(call)

    async def scenario():
        answer = ANSWER_HEAD % b"a1" + b"Content-Length: 2\r\n\r\nok"
        async with asyncio.timeout(5), RawEndpoint([answer]) as endpoint:
            calls = SlowConnector(codec=PlatformEndpointCodec(), metrics=Metrics())
            exchange = await calls.open(build_call(endpoint, probe_after=0.1))
            body = await exchange.read()
            exchange.close()
            await calls.close()
            return body

    assert asyncio.run(scenario()) == b"ok"


def test_failed_probe_of_a_silent_endpoint_is_not_repeated_before_the_retry():
    """Guards against retries that wait for a second probe of the same endpoint."""
    daemon = ready_daemon()
    probed = []

    async def is_reachable(address):
        probed.append(address)
        return False

    daemon.calls.is_reachable = is_reachable
    silent = CallFault(
        CallFaultKind.SILENT,
        "silent",
        may_have_run=True,
        probe=ProbeOutcome.TIMED_OUT,
    )
    reply = daemon.answer(head("/fetch/1"), Script(fault=silent))
    assert reply.status == 200
    assert probed == []

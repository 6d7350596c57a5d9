"""An instance whose own link is congested keeps the requests in flight.

Under load and with many failing endpoints, control traffic, streams and probes share a
slow link. What waits behind it looks like a silent endpoint.
"""

import asyncio
import contextlib
import dataclasses
import socket

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
    while timeout.seconds(now=now) < 0.7:
        started, now = now, now + timeout.seconds(now=now)
        timeout.timed_out(started=started, now=now)
    timeout.succeeded(0.6)
    assert timeout.seconds(now=now) > 0.6
    for _ in range(100):
        timeout.succeeded(0.002)
    assert timeout.seconds(now=now) == pytest.approx(0.2)


def test_connections_that_time_out_together_raise_the_limit_once():
    """Guards against slow failover after one failure domain became unreachable."""
    timeout = ConnectTimeout()
    for _ in range(20):
        timeout.timed_out(started=10.0, now=10.2)
    assert timeout.seconds(now=10.2) == pytest.approx(0.4)
    timeout.succeeded(0.002)
    assert timeout.seconds(now=10.2) == pytest.approx(0.2)


def test_raised_limit_ends_without_further_time_outs():
    """Guards against slow failover long after an outage, with no new connection."""
    timeout = ConnectTimeout()
    timeout.timed_out(started=10.0, now=10.2)
    assert timeout.seconds(now=11.0) == pytest.approx(0.4)
    assert timeout.seconds(now=12.3) == pytest.approx(0.2)
    timeout.timed_out(started=12.3, now=12.5)
    assert timeout.seconds(now=12.5) == pytest.approx(0.4)


def test_calls_and_probes_adapt_the_connect_timeout():
    """Guards against a limit that is computed and fed by nothing."""

    async def scenario():
        answer = ANSWER_HEAD % b"a1" + b"Content-Length: 2\r\n\r\nok"
        async with asyncio.timeout(5), RawEndpoint([answer]) as endpoint:
            calls = HttpEndpointCalls(codec=PlatformEndpointCodec(), metrics=Metrics())
            exchange = await calls.open(build_call(endpoint))
            await exchange.read()
            exchange.close()
            after_call = calls.connect_timeout.smoothed
            await calls.probe(endpoint.address)
            after_probe = calls.connect_timeout.smoothed
            with full_listener() as address:
                call = dataclasses.replace(build_call(endpoint), address=address)
                with pytest.raises(CallFault) as caught:
                    await calls.open(call)
                after_time_out = calls.connect_timeout.backoff
                await calls.probe(address)
            await calls.close()
            assert caught.value.kind is CallFaultKind.CONNECT
            return after_call, after_probe, after_time_out, calls

    after_call, after_probe, after_time_out, calls = asyncio.run(scenario())
    assert after_call is not None
    assert after_probe != after_call
    assert after_time_out == pytest.approx(2.0)
    assert calls.connect_timeout.backoff == pytest.approx(4.0)
    assert calls.metrics.value("probes", label="timed_out") == 1


@contextlib.contextmanager
def full_listener():
    """Yield an address whose queue of new connections is full, so that more hang."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    host, port = listener.getsockname()
    queued = []
    for _ in range(2):
        queued.append(socket.socket())
        queued[-1].setblocking(False)
        queued[-1].connect_ex((host, port))
    yield f"{host}:{port}"
    for sock in (*queued, listener):
        sock.close()


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


def stream_around_a_slow_probe(parts):
    """Return the body of a call whose probe takes longer than the endpoint's pause."""

    class SlowProbe(CongestedCalls):
        async def probe(self, address):
            await asyncio.sleep(0.5)
            return await super().probe(address)

    async def scenario():
        async with asyncio.timeout(5), RawEndpoint(parts) as endpoint:
            calls = SlowProbe(codec=PlatformEndpointCodec(), metrics=Metrics())
            exchange = await calls.open(build_call(endpoint, probe_after=0.1))
            body = await exchange.read()
            exchange.close()
            await calls.close()
            return body

    return asyncio.run(scenario())


def test_bytes_that_arrive_during_the_probe_keep_the_answer():
    """Guards against live streams cut because their probe timed out meanwhile."""
    answer = ANSWER_HEAD % b"a1" + b"Content-Length: 2\r\n\r\n"
    assert stream_around_a_slow_probe([answer + b"o", 0.3, b"k"]) == b"ok"


def test_answer_that_begins_during_the_probe_is_kept():
    """Guards against a live endpoint given up because its probe timed out meanwhile."""
    answer = ANSWER_HEAD % b"a1" + b"Content-Length: 2\r\n\r\nok"
    assert stream_around_a_slow_probe([0.3, answer]) == b"ok"


def test_time_out_after_a_broken_connection_is_no_crash():
    """Guards against innocent requests refused as poison on a congested link."""
    daemon = ready_daemon()

    async def probe(address):
        return ProbeOutcome.TIMED_OUT

    daemon.calls.probe = probe
    daemon.calls.reachable = False
    request = head("/fetch/1")
    daemon.answer(request, Script(fault=broken()), Script(fault=broken()))
    assert daemon.crashes.export() == []
    assert daemon.answer(request).status == 200


def test_poisonous_request_is_not_given_up_for_a_successor():
    """Guards against a stream cut for an attempt that would be refused as poison."""
    daemon = ready_daemon()
    request = daemon.forwarder.admission.admit(
        head(), b"", received=daemon.clock.monotonic()
    ).unwrap()
    for name in ("engine-1:1", "engine-2:1"):
        daemon.crashes.learn(request.fingerprint, name)
    assert not daemon.sender.reserve_retry(request, "small")


def test_refund_expires_the_retry_that_was_given_back():
    """Guards against a budget that is exceeded once an older retry has expired."""
    daemon = ready_daemon()
    for _ in range(100):
        daemon.budget.count_request("engines")
    assert daemon.budget.spend("engines")
    first = daemon.clock.now
    daemon.clock.now += 4.0
    assert daemon.budget.spend("engines")
    daemon.budget.refund("engines", spent_at=first)
    retries = daemon.budget.services["engines"].retries
    daemon.clock.now += 8.0
    assert retries.count(daemon.clock.now, 10.0) == 1


def test_unreachable_endpoint_is_ejected_although_its_answer_is_awaited():
    """Guards against new requests sent to an endpoint that a probe found dead."""
    daemon = ready_daemon()
    engine = daemon.table.endpoints["engine-1"]

    async def scenario():
        daemon.sender._eject_unreachable(engine)
        return engine.ejected_until

    assert asyncio.run(scenario()) > daemon.clock.now
    assert daemon.calls.addresses_with_closed_connections == [engine.address]


def test_failed_probe_of_a_silent_endpoint_is_not_repeated_before_the_retry():
    """Guards against retries that wait for a second probe of the same endpoint."""
    daemon = ready_daemon()
    probed = []

    async def probe(address):
        probed.append(address)
        return ProbeOutcome.TIMED_OUT

    daemon.calls.probe = probe
    silent = CallFault(
        CallFaultKind.SILENT,
        "silent",
        may_have_run=True,
        probe=ProbeOutcome.TIMED_OUT,
    )
    reply = daemon.answer(head("/fetch/1"), Script(fault=silent))
    assert reply.status == 200
    assert probed == []

"""Real sockets: what is kept, what is checked, and how answers end."""

import asyncio
import socket
import struct

import pytest

from linnetladder.forwarding.coordination.calls import CallFault, CallFaultKind
from linnetladder.forwarding.protocol import EndpointCall
from linnetladder.forwarding.state import ForwardRequest
from linnetladder.forwarding.transport import (
    ForwardingServer,
    HttpEndpointCalls,
    ReadyServer,
)
from linnetladder.platform import PlatformCallers, PlatformEndpoints
from linnetladder.telemetry import Metrics
from tests.support.forwarding import Script, head, ready_daemon, route

HEAD = (
    b"HTTP/1.1 200 OK\r\nLinnetladder-Attempt-Id: %s\r\nLinnetladder-Server-Seal: s\r\n"
)
RESET = struct.pack("ii", 1, 0)
WAIT = 60.0
WHOLE = HEAD % b"a1" + b"Content-Length: 2\r\n\r\nok"


class RawEndpoint:
    """An endpoint that answers each request with the next bytes of a list.

    ``None`` in the list resets the connection, an empty part closes it in order and a
    number is a pause in seconds.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.connections = 0
        self.requests = []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *exception):
        self.server.close()

    async def serve(self, reader, writer):
        self.connections += 1
        while True:
            try:
                request = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            self.requests.append(request)
            for part in self.answers.pop(0):
                if isinstance(part, float):
                    await asyncio.sleep(part)
                    continue
                if part is None:
                    await asyncio.sleep(0.05)
                    raw = writer.get_extra_info("socket")
                    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    writer.transport.abort()
                    return
                if part == b"":
                    writer.close()
                    return
                writer.write(part)
                await writer.drain()


def build_call(endpoint, attempt_id="a1", *, fresh=False, patience=None, limit=None):
    request = ForwardRequest(
        head=head("/fetch/1", attempt_id=attempt_id, method="GET"),
        body=b"",
        route=route("fetch"),
        service="desk",
        account=None,
        received=0.0,
        deadline=5.0,
        limited_by="caller",
        priority=0,
        fingerprint="",
        configuration_version=1,
    )
    return EndpointCall(
        request=request,
        instance="desk-1",
        address=endpoint.address,
        remaining_seconds=5.0,
        urgency=1,
        fresh_connection=fresh,
        patience_seconds=patience,
        silence_seconds=limit,
    )


def with_calls(work, *answers):
    """Run work with a client and an endpoint that answers as told."""

    async def scenario():
        calls = HttpEndpointCalls(dialect=PlatformEndpoints())
        try:
            async with asyncio.timeout(5), RawEndpoint(*answers) as endpoint:
                await work(calls, endpoint)
        finally:
            await calls.close()

    asyncio.run(scenario())


def test_a_whole_answer_leaves_its_connection_open():
    async def work(calls, endpoint):
        for _ in range(3):
            exchange = await calls.open(build_call(endpoint))
            assert await exchange.read() == b"ok"
            exchange.close()
        assert endpoint.connections == 1

    with_calls(work, [WHOLE], [WHOLE], [WHOLE])


def test_bytes_after_an_answer_are_no_answer_to_the_next_request():
    async def work(calls, endpoint):
        exchange = await calls.open(build_call(endpoint))
        assert await exchange.read() == b"ok"
        exchange.close()
        await asyncio.sleep(0.05)
        again = await calls.open(build_call(endpoint, "a2"))
        assert again.head.attempt_id == "a2"
        assert await again.read() == b"no"

    other = HEAD % b"a2" + b"Content-Length: 2\r\n\r\nno"
    with_calls(work, [WHOLE, WHOLE], [other])


def test_an_answer_to_another_request_is_not_passed_on():
    async def work(calls, endpoint):
        with pytest.raises(CallFault) as caught:
            await calls.open(build_call(endpoint, "a9"))
        assert caught.value.kind is CallFaultKind.INVALID
        assert caught.value.may_have_run

    with_calls(work, [WHOLE])


def test_a_success_without_a_seal_is_not_passed_on():
    async def work(calls, endpoint):
        with pytest.raises(CallFault):
            await calls.open(build_call(endpoint))

    bare = b"HTTP/1.1 200 OK\r\nLinnetladder-Attempt-Id: a1\r\n"
    with_calls(work, [bare + b"Content-Length: 2\r\n\r\nok"])


@pytest.mark.parametrize(
    "parts",
    [
        [HEAD % b"a1" + b"Content-Length: 9\r\n\r\nok", b""],
        [HEAD % b"a1" + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", b""],
        [HEAD % b"a1" + b"Content-Length: 9\r\n\r\nok", None],
        [HEAD % b"a1" + b"\r\nok", None],
    ],
)
def test_a_body_that_was_cut_is_a_fault(parts):
    async def work(calls, endpoint):
        exchange = await calls.open(build_call(endpoint))
        with pytest.raises(CallFault) as caught:
            await exchange.read()
        assert caught.value.kind is CallFaultKind.BROKEN

    with_calls(work, parts)


def test_a_body_without_a_length_is_whole_when_closed_in_order():
    async def work(calls, endpoint):
        exchange = await calls.open(build_call(endpoint))
        assert await exchange.read() == b"ok"

    with_calls(work, [HEAD % b"a1" + b"\r\nok", b""])


def test_a_request_is_never_sent_again_by_the_library():
    async def work(calls, endpoint):
        exchange = await calls.open(build_call(endpoint))
        await exchange.read()
        exchange.close()
        with pytest.raises(CallFault):
            await calls.open(build_call(endpoint))
        assert len(endpoint.requests) == 2

    with_calls(work, [WHOLE], [b""], [WHOLE])


def test_an_address_without_a_listener_is_a_fault_before_anything_was_sent():
    async def work(calls, endpoint):
        endpoint.server.close()
        await endpoint.server.wait_closed()
        with pytest.raises(CallFault) as caught:
            await calls.open(build_call(endpoint))
        assert caught.value.kind is CallFaultKind.CONNECT
        assert not caught.value.may_have_run
        assert not await calls.is_reachable(endpoint.address)

    with_calls(work)


@pytest.mark.parametrize(
    "parts",
    [
        [WAIT],
        [HEAD % b"a1" + b"Content-Length: 9\r\n\r\nok", WAIT],
    ],
)
def test_a_silent_connection_is_given_up_after_its_limit(parts):
    async def work(calls, endpoint):
        with pytest.raises(CallFault) as caught:
            exchange = await calls.open(build_call(endpoint, patience=0.05, limit=0.2))
            await exchange.read()
        assert caught.value.kind is CallFaultKind.SILENT
        assert caught.value.may_have_run

    with_calls(work, parts)


def test_a_silent_endpoint_that_takes_no_connection_is_given_up_at_once():
    async def work(calls, endpoint):
        asyncio.get_running_loop().call_later(0.02, endpoint.server.close)
        with pytest.raises(CallFault) as caught:
            await calls.open(build_call(endpoint, patience=0.1, limit=60.0))
        assert caught.value.kind is CallFaultKind.SILENT

    with_calls(work, [WAIT])


def test_a_slow_answer_of_a_living_endpoint_is_waited_for():
    async def work(calls, endpoint):
        exchange = await calls.open(build_call(endpoint, patience=0.02, limit=2.0))
        assert await exchange.read() == b"ok"

    with_calls(work, [0.15, WHOLE])


REQUEST = (
    b"POST /%s/1 HTTP/1.1\r\nHost: api.example\r\nLinnetladder-Attempt-Id: a1\r\n"
    b"Linnetladder-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n"
    b"Content-Length: 0\r\n\r\n"
)


def with_server(work, *scripts):
    """Run work with a callers' server over scripted endpoints."""
    daemon = ready_daemon()
    daemon.calls.scripts = list(scripts)

    async def scenario():
        server = ForwardingServer(
            forwarder=daemon.forwarder,
            in_force=daemon.in_force,
            dialect=PlatformCallers(),
            clock=daemon.clock,
            metrics=daemon.metrics,
        )
        await server.start(address="127.0.0.1", port=0)
        port = server.server.sockets[0].getsockname()[1]
        try:
            async with asyncio.timeout(5):
                await work(daemon, server, port)
        finally:
            await server.stop()

    asyncio.run(scenario())


async def read_head(reader):
    text = (await reader.readuntil(b"\r\n\r\n")).decode()
    status, *lines = text.split("\r\n")
    pairs = (line.split(": ", 1) for line in lines if line)
    return int(status.split()[1]), {name.lower(): value for name, value in pairs}


def test_idle_connections_are_closed_at_shutdown_and_the_others_answered():
    async def work(daemon, server, port):
        idle, idle_writer = await asyncio.open_connection("127.0.0.1", port)
        idle_writer.write(REQUEST % b"fetch")
        assert (await read_head(idle))[0] == 200
        await idle.readexactly(1)
        busy, busy_writer = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.05)
        server.leaving = True
        server.refuse_new()
        await idle.read()
        busy_writer.write(REQUEST % b"fetch")
        assert await busy.read() == b""
        late, late_writer = await asyncio.open_connection("127.0.0.1", port)
        late_writer.write(REQUEST % b"fetch")
        status, headers = await read_head(late)
        assert (status, headers["connection"]) == (503, "close")
        assert float(headers["retry-after"]) < 0.1
        assert len(daemon.calls.calls) == 1

    with_server(work, Script(chunks=(b"x",)))


def test_an_answer_while_leaving_says_that_the_connection_closes():
    async def work(daemon, server, port):
        server.leaving = True
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST % b"fetch")
        status, headers = await read_head(reader)
        assert (status, headers["connection"]) == (200, "close")
        assert await reader.read() == b"x"

    with_server(work, Script(chunks=(b"x",)))


def test_a_stream_that_is_broken_off_does_not_look_complete():
    async def work(daemon, server, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST % b"draft")
        status, headers = await read_head(reader)
        assert headers["transfer-encoding"] == "chunked"
        try:
            rest = await reader.read()
        except ConnectionError:
            rest = b""
        assert not rest.endswith(b"0\r\n\r\n")

    broken = Script(chunks=(b"id: 1\ndata: a\n\n",), cut_after=1)
    with_server(work, broken, broken, broken, broken)


def test_a_caller_that_leaves_ends_the_work_at_the_endpoint():
    async def work(daemon, server, port):
        started, cancelled = asyncio.Event(), asyncio.Event()

        async def hang(call):
            started.set()
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        daemon.calls.open = hang
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST % b"fetch")
        await started.wait()
        writer.close()
        await cancelled.wait()

    with_server(work)


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (REQUEST % b"fetch" + b"", 200),
        (b"GET /fetch/1 HTTP/1.1\r\nHost: api.example\r\n\r\n", 400),
        (
            b"POST /fetch/1 HTTP/1.1\r\nHost: api.example\r\nContent-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\nLinnetladder-Attempt-Id: a1\r\n\r\n"
            b"0\r\n\r\n",
            400,
        ),
        (b"GET /" + b"a" * 20_000 + b" HTTP/1.1\r\n\r\n", 431),
    ],
)
def test_what_is_no_proper_request_is_refused(request_bytes, status):
    async def work(daemon, server, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request_bytes)
        assert (await read_head(reader))[0] == status

    with_server(work)


def test_metrics_are_served_on_the_port_of_their_own_too():
    async def ask(port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        answer = await asyncio.wait_for(reader.read(), WAIT)
        writer.close()
        return answer

    async def play():
        metrics = Metrics()
        metrics.count("requests")
        server = ReadyServer(ready_path="/ready", reasons=list, metrics=metrics)
        for _ in range(2):
            await server.listen(address="127.0.0.1", port=0)
        ports = [one.sockets[0].getsockname()[1] for one in server.servers]
        answers = [await ask(port) for port in ports]
        await server.stop()
        return ports, answers

    ports, answers = asyncio.run(play())
    assert len(set(ports)) == 2
    assert all(b"linnetladder_requests_total 1" in answer for answer in answers)

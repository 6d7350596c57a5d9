"""Tests of the forwarding transport over real sockets.

They cover the reuse of connections, the checks of answers and the ends of connections.
"""

import asyncio
import socket
import struct

import pytest

from linnetladder.forwarding.coordination.caller_buffers import CallerBuffers
from linnetladder.forwarding.coordination.calls import CallFault, CallFaultKind
from linnetladder.forwarding.daemon_variables import CallerSettings
from linnetladder.forwarding.protocol import EndpointCall
from linnetladder.forwarding.state import ForwardRequest
from linnetladder.forwarding.transport import (
    ForwardingServer,
    HttpEndpointCalls,
    ReadyServer,
)
from linnetladder.platform import PlatformCallerCodec, PlatformEndpointCodec
from linnetladder.telemetry import Metrics
from tests.support.forwarding import (
    Script,
    head,
    memory_account,
    ready_daemon,
    route,
)

ANSWER_HEAD = (
    b"HTTP/1.1 200 OK\r\nLinnetladder-Attempt-Id: %s\r\nLinnetladder-Server-Seal: s\r\n"
)
LINGER_RESET = struct.pack("ii", 1, 0)
WAIT_SECONDS = 60.0
COMPLETE_ANSWER = ANSWER_HEAD % b"a1" + b"Content-Length: 2\r\n\r\nok"


class RawEndpoint:
    """An endpoint that answers each request with the next list of parts.

    It sends a part of bytes, closes the connection in order on an empty one, resets it
    on ``None`` and pauses for a number of seconds.
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
                    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                    writer.transport.abort()
                    return
                if part == b"":
                    writer.close()
                    return
                writer.write(part)
                await writer.drain()


def build_call(
    endpoint,
    attempt_id="a1",
    *,
    fresh=False,
    probe_after=None,
    limit=None,
    may_send=lambda: True,
):
    request = ForwardRequest(
        head=head("/fetch/1", attempt_id=attempt_id, method="GET"),
        body=b"",
        route=route("fetch"),
        service="desk",
        account=None,
        received=0.0,
        deadline=5.0,
        deadline_source="caller",
        priority=0,
        fingerprint="",
        configuration_version=1,
    )
    return EndpointCall(
        may_send=may_send,
        request=request,
        instance="desk-1",
        address=endpoint.address,
        remaining_seconds=5.0,
        urgency=1,
        fresh_connection=fresh,
        probe_after_seconds=probe_after,
        silence_seconds=limit,
    )


def run_with_calls(work, *answers):
    """Run a coroutine function with a client and an endpoint that sends answers."""

    async def scenario():
        calls = HttpEndpointCalls(codec=PlatformEndpointCodec(), metrics=Metrics())
        try:
            async with asyncio.timeout(5), RawEndpoint(*answers) as endpoint:
                await work(calls, endpoint)
        finally:
            await calls.close()

    asyncio.run(scenario())


def test_complete_answer_keeps_its_connection_open():
    async def work(calls, endpoint):
        for _ in range(3):
            exchange = await calls.open(build_call(endpoint))
            assert await exchange.read() == b"ok"
            exchange.close()
        assert endpoint.connections == 1

    run_with_calls(work, [COMPLETE_ANSWER], [COMPLETE_ANSWER], [COMPLETE_ANSWER])


def test_extra_bytes_after_an_answer_are_not_read_as_the_next_answer():
    async def work(calls, endpoint):
        exchange = await calls.open(build_call(endpoint))
        assert await exchange.read() == b"ok"
        exchange.close()
        await asyncio.sleep(0.05)
        again = await calls.open(build_call(endpoint, "a2"))
        assert again.head.attempt_id == "a2"
        assert await again.read() == b"no"

    other = ANSWER_HEAD % b"a2" + b"Content-Length: 2\r\n\r\nno"
    run_with_calls(work, [COMPLETE_ANSWER, COMPLETE_ANSWER], [other])


def test_answer_with_another_attempt_id_is_rejected():
    async def work(calls, endpoint):
        with pytest.raises(CallFault) as caught:
            await calls.open(build_call(endpoint, "a9"))
        assert caught.value.kind is CallFaultKind.INVALID
        assert caught.value.may_have_run

    run_with_calls(work, [COMPLETE_ANSWER])


def test_success_without_a_seal_is_rejected():
    async def work(calls, endpoint):
        with pytest.raises(CallFault):
            await calls.open(build_call(endpoint))

    unsealed_head = b"HTTP/1.1 200 OK\r\nLinnetladder-Attempt-Id: a1\r\n"
    run_with_calls(work, [unsealed_head + b"Content-Length: 2\r\n\r\nok"])


@pytest.mark.parametrize(
    "parts",
    [
        [ANSWER_HEAD % b"a1" + b"Content-Length: 9\r\n\r\nok", b""],
        [ANSWER_HEAD % b"a1" + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", b""],
        [ANSWER_HEAD % b"a1" + b"Content-Length: 9\r\n\r\nok", None],
        [ANSWER_HEAD % b"a1" + b"\r\nok", None],
    ],
)
def test_truncated_body_raises_a_call_fault(parts):
    async def work(calls, endpoint):
        exchange = await calls.open(build_call(endpoint))
        with pytest.raises(CallFault) as caught:
            await exchange.read()
        assert caught.value.kind is CallFaultKind.BROKEN

    run_with_calls(work, parts)


# Guards against the part that has arrived being taken for the whole answer when this
# side closes the connection, as it does when it stops.
def test_body_without_a_length_is_not_complete_if_this_side_closes_its_connection():
    async def work(calls, endpoint):
        exchange = await calls.open(build_call(endpoint))
        reading = asyncio.ensure_future(exchange.read())
        await asyncio.sleep(0.1)
        await calls.close()
        with pytest.raises(CallFault) as caught:
            await reading
        assert caught.value.kind is CallFaultKind.BROKEN

    run_with_calls(work, [ANSWER_HEAD % b"a1" + b"\r\npart", 1.0])


@pytest.mark.parametrize("pause", [0.0, 0.3])
def test_body_without_a_length_that_was_reset_before_it_is_read_is_not_complete(pause):
    async def work(calls, endpoint):
        exchange = await calls.open(build_call(endpoint))
        await asyncio.sleep(pause)
        with pytest.raises(CallFault):
            await exchange.read()

    run_with_calls(work, [ANSWER_HEAD % b"a1" + b"\r\npart", None])


def test_body_without_a_length_is_complete_after_an_orderly_close():
    async def work(calls, endpoint):
        exchange = await calls.open(build_call(endpoint))
        assert await exchange.read() == b"ok"

    run_with_calls(work, [ANSWER_HEAD % b"a1" + b"\r\nok", b""])


def test_http_library_never_sends_a_request_again():
    async def work(calls, endpoint):
        exchange = await calls.open(build_call(endpoint))
        await exchange.read()
        exchange.close()
        with pytest.raises(CallFault):
            await calls.open(build_call(endpoint))
        assert len(endpoint.requests) == 2

    run_with_calls(work, [COMPLETE_ANSWER], [b""], [COMPLETE_ANSWER])


@pytest.mark.parametrize("reused", [False, True], ids=["new", "reused"])
def test_call_is_withdrawn_if_its_endpoint_accepts_none_once_connected(reused):
    """Guards against requests that reach an endpoint which has begun to leave."""

    async def work(calls, endpoint):
        if reused:
            exchange = await calls.open(build_call(endpoint))
            await exchange.read()
            exchange.close()
        with pytest.raises(CallFault) as caught:
            await calls.open(build_call(endpoint, "a2", may_send=lambda: False))
        assert caught.value.kind is CallFaultKind.WITHDRAWN
        assert not caught.value.may_have_run
        await asyncio.sleep(0.05)
        assert len(endpoint.requests) == reused
        again = await calls.open(build_call(endpoint))
        assert await again.read() == b"ok"
        assert endpoint.connections == 1

    run_with_calls(work, [COMPLETE_ANSWER], [COMPLETE_ANSWER])


def test_a_call_that_waits_for_its_connection_is_not_connected():
    """An attempt that ends with its request is only known by that to be unsent."""

    async def work(calls, endpoint):
        call = build_call(endpoint)
        opening = asyncio.ensure_future(calls.open(call))
        await asyncio.sleep(0)
        opening.cancel()
        await asyncio.gather(opening, return_exceptions=True)
        assert not call.connected
        call = build_call(endpoint)
        (await calls.open(call)).close()
        assert call.connected

    run_with_calls(work, [COMPLETE_ANSWER])


def test_refused_connection_is_a_fault_that_cannot_have_run():
    async def work(calls, endpoint):
        endpoint.server.close()
        await endpoint.server.wait_closed()
        with pytest.raises(CallFault) as caught:
            await calls.open(build_call(endpoint))
        assert caught.value.kind is CallFaultKind.CONNECT
        assert not caught.value.may_have_run
        assert not await calls.is_reachable(endpoint.address)
        assert calls.metrics.value("probes", label="refused") == 1

    run_with_calls(work)


def test_silent_fault_names_the_outcome_of_the_probe():
    async def work(calls, endpoint):
        exchange = await calls.open(build_call(endpoint, probe_after=0.05))
        endpoint.server.close()
        with pytest.raises(CallFault) as caught:
            await exchange.read()
        assert caught.value.kind is CallFaultKind.SILENT
        assert caught.value.describe() == "silent:probe refused"

    run_with_calls(
        work, [ANSWER_HEAD % b"a1" + b"Content-Length: 2\r\n\r\n", WAIT_SECONDS]
    )


@pytest.mark.parametrize(
    "parts",
    [
        [WAIT_SECONDS],
        [ANSWER_HEAD % b"a1" + b"Content-Length: 9\r\n\r\nok", WAIT_SECONDS],
    ],
)
def test_silent_connection_fails_after_its_limit(parts):
    async def work(calls, endpoint):
        with pytest.raises(CallFault) as caught:
            exchange = await calls.open(
                build_call(endpoint, probe_after=0.05, limit=0.2)
            )
            await exchange.read()
        assert caught.value.kind is CallFaultKind.SILENT
        assert caught.value.may_have_run

    run_with_calls(work, parts)


def test_silent_endpoint_that_refuses_connections_fails_at_the_first_probe():
    async def work(calls, endpoint):
        asyncio.get_running_loop().call_later(0.02, endpoint.server.close)
        with pytest.raises(CallFault) as caught:
            await calls.open(build_call(endpoint, probe_after=0.1, limit=60.0))
        assert caught.value.kind is CallFaultKind.SILENT

    run_with_calls(work, [WAIT_SECONDS])


def test_slow_answer_of_a_reachable_endpoint_is_awaited():
    async def work(calls, endpoint):
        exchange = await calls.open(build_call(endpoint, probe_after=0.02, limit=2.0))
        assert await exchange.read() == b"ok"

    run_with_calls(work, [0.15, COMPLETE_ANSWER])


REQUEST = (
    b"POST /%s/1 HTTP/1.1\r\nHost: api.example\r\nLinnetladder-Attempt-Id: a1\r\n"
    b"Linnetladder-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n"
    b"Linnetladder-Model: *\r\nContent-Length: 0\r\n\r\n"
)


def run_with_server(work, *scripts, memory=None, maximum_connections=100):
    """Run a coroutine function with a callers' server over scripted endpoints."""
    daemon = ready_daemon()
    daemon.calls.scripts = list(scripts)
    memory = memory or memory_account()

    async def scenario():
        server = ForwardingServer(
            forwarder=daemon.forwarder,
            in_force=daemon.in_force,
            codec=PlatformCallerCodec(),
            buffers=CallerBuffers(
                settings=CallerSettings(),
                memory=memory,
                clock=daemon.clock,
                metrics=daemon.metrics,
            ),
            memory=memory,
            maximum_connections=maximum_connections,
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


def test_shutdown_closes_idle_connections_and_refuses_new_requests():
    async def work(daemon, server, port):
        idle, idle_writer = await asyncio.open_connection("127.0.0.1", port)
        idle_writer.write(REQUEST % b"fetch")
        assert (await read_head(idle))[0] == 200
        await idle.readexactly(1)
        busy, busy_writer = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.05)
        server.leaving = True
        server.refuse_new_requests()
        await idle.read()
        busy_writer.write(REQUEST % b"fetch")
        assert await busy.read() == b""
        late, late_writer = await asyncio.open_connection("127.0.0.1", port)
        late_writer.write(REQUEST % b"fetch")
        status, headers = await read_head(late)
        assert (status, headers["connection"]) == (503, "close")
        assert float(headers["retry-after"]) < 0.1
        assert len(daemon.calls.calls) == 1

    run_with_server(work, Script(chunks=(b"x",)))


def test_answer_during_shutdown_sends_connection_close():
    async def work(daemon, server, port):
        server.leaving = True
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST % b"fetch")
        status, headers = await read_head(reader)
        assert (status, headers["connection"]) == (200, "close")
        assert await reader.read() == b"x"

    run_with_server(work, Script(chunks=(b"x",)))


def test_aborted_stream_does_not_look_complete():
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
    run_with_server(work, broken, broken, broken, broken)


def test_caller_disconnect_cancels_the_endpoint_call():
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

    run_with_server(work)


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
def test_only_well_formed_requests_are_answered(request_bytes, status):
    async def work(daemon, server, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request_bytes)
        assert (await read_head(reader))[0] == status

    run_with_server(work)


def test_metrics_are_served_on_every_listening_port():
    async def fetch_metrics(port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        answer = await asyncio.wait_for(reader.read(), WAIT_SECONDS)
        writer.close()
        return answer

    async def serve_and_fetch():
        metrics = Metrics()
        metrics.count("requests")
        server = ReadyServer(
            ready_path="/ready", reasons=list, metrics=metrics, maximum_connections=10
        )
        for _ in range(2):
            await server.listen(address="127.0.0.1", port=0)
        ports = [one.getsockname()[1] for one in server.server.sockets]
        answers = [await fetch_metrics(port) for port in ports]
        await server.stop()
        return ports, answers

    ports, answers = asyncio.run(serve_and_fetch())
    assert len(set(ports)) == 2
    assert all(b"linnetladder_requests_total 1" in answer for answer in answers)

"""Endpoints that send bytes without end, in a head or a body, over real sockets."""

import asyncio
import time

import pytest

from linnetladder.forwarding.coordination.calls import CallFault, CallFaultKind
from linnetladder.forwarding.transport import (
    HttpEndpointCalls,
    endpoint_calls,
    read_turns,
)
from linnetladder.forwarding.transport.read_turns import (
    FREE_SECONDS,
    ReadTurns,
)
from linnetladder.platform import PlatformEndpointCodec
from linnetladder.telemetry import Metrics
from tests.forwarding.test_transport import ANSWER_HEAD, build_call, run_with_calls
from tests.support.forwarding import Script, ready_daemon
from tests.support.odd_server import OddServer

HEAD = ANSWER_HEAD % b"a1"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Each ends by itself only when the connection is closed.
ENDLESS = {
    "informational answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "blank lines": (b"", b"\r\n"),
    "header": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n"),
    "header line": (b"HTTP/1.1 200 OK\r\nX: ", b"aaaaaaaa"),
    "status line": (b"", b"junk bytes"),
    "chunk extension": (CHUNKED + b"2;x=", b"aaaaaaaa"),
    "chunk size": (CHUNKED, b"00000000"),
    "trailer": (CHUNKED + b"2\r\nok\r\n0\r\n", b"X-A: b\r\n"),
    "body": (HEAD + b"\r\n", b"aaaaaaaa"),
    "chunked body": (CHUNKED, b"8\r\naaaaaaaa\r\n"),
}
TIMEOUT_SECONDS = 6.0
# More than a part of a large body in chunks of a byte takes, less than all of it.
EXPENSIVE_BODY_SECONDS = 0.05
LARGE_BYTES = 2_000_000


class EndlessEndpoint:
    """An endpoint that answers with a beginning and then a piece again and again."""

    def __init__(self, first, piece):
        self.first = first
        self.pieces = piece * 200
        self.closed = asyncio.Event()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *exception):
        self.server.close()

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.first)
            while True:
                writer.write(self.pieces)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            self.closed.set()
        finally:
            writer.close()


@pytest.mark.parametrize("kind", ENDLESS)
def test_bytes_without_end_fail_the_call_and_close_the_connection(kind, monkeypatch):
    """Guards against an endpoint that takes a processor and memory until a deadline."""
    monkeypatch.setattr(endpoint_calls, "MAXIMUM_BUFFERED_BODY_BYTES", 1024 * 1024)

    async def scenario():
        calls = HttpEndpointCalls(codec=PlatformEndpointCodec(), metrics=Metrics())
        async with EndlessEndpoint(*ENDLESS[kind]) as endpoint:
            with pytest.raises(CallFault) as caught:
                exchange = await calls.open(build_call(endpoint))
                try:
                    await exchange.read()
                finally:
                    exchange.close()
            assert caught.value.kind is CallFaultKind.BROKEN
            assert caught.value.may_have_run
            await endpoint.closed.wait()
        await calls.close()

    async def in_time():
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await scenario()

    began = time.process_time()
    asyncio.run(in_time())
    assert time.process_time() - began < TIMEOUT_SECONDS / 2


# How many bytes arrive at once differs, so that a large body is read several times.
@pytest.mark.parametrize(("size", "repetitions"), [(20_000, 1), (60_000, 20)])
def test_many_small_chunks_of_a_sound_body_are_read_whole(size, repetitions):
    """Guards against a bound that cuts slow streams, which come in small chunks."""
    body = b"a" * size
    answer = CHUNKED + b"1\r\na\r\n" * len(body) + b"0\r\n\r\n"

    async def scenario():
        calls = HttpEndpointCalls(codec=PlatformEndpointCodec(), metrics=Metrics())

        async def serve(reader, writer):
            for _ in range(repetitions):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
                await writer.drain()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        endpoint = type("Endpoint", (), {"address": address})
        for _ in range(repetitions):
            exchange = await calls.open(build_call(endpoint))
            assert await exchange.read() == body
            exchange.close()
        await calls.close()
        server.close()

    asyncio.run(scenario())


# Guards against bodies that take all the time, each part of them too little to count.
def test_bodies_wait_for_a_turn_once_their_parts_together_took_long(monkeypatch):
    monkeypatch.setattr(endpoint_calls, "EXPENSIVE_SECONDS", EXPENSIVE_BODY_SECONDS)
    rested = []

    async def rest(self, seconds):
        rested.append(seconds)

    monkeypatch.setattr(ReadTurns, "rest", rest)

    async def scenario():
        calls = HttpEndpointCalls(codec=PlatformEndpointCodec(), metrics=Metrics())
        body = b"1\r\na\r\n" * LARGE_BYTES
        async with OddServer(lambda: [CHUNKED, body, b"0\r\n\r\n"]) as endpoint:
            exchange = await calls.open(build_call(endpoint))
            assert await exchange.read() == b"a" * LARGE_BYTES
            exchange.close()
        await calls.close()

    asyncio.run(scenario())
    assert len(rested) > 2
    assert min(rested) >= EXPENSIVE_BODY_SECONDS


def test_bodies_wait_only_while_parsing_takes_much_of_the_time(monkeypatch):
    waits = []

    async def sleep(seconds):
        waits.append(seconds)

    monkeypatch.setattr(read_turns.asyncio, "sleep", sleep)
    seconds = FREE_SECONDS / 10

    async def read_bodies(count):
        for _ in range(count):
            await turns.rest(seconds)

    turns = ReadTurns()
    asyncio.run(read_bodies(9))
    assert waits == []
    asyncio.run(read_bodies(40))
    assert len(waits) > 20
    assert set(waits) == {seconds}


# Guards against a bound that fails answers without a body, such as those to HEAD, whose
# length is that of a body that is not sent.
def test_a_large_length_of_a_body_that_is_not_sent_is_no_fault():
    large = b"Content-Length: 99999999\r\n\r\n"

    async def work(calls, endpoint):
        exchange = await calls.open(build_call(endpoint))
        assert await exchange.read() == b""
        exchange.close()

    unchanged = (ANSWER_HEAD % b"a1").replace(b"200 OK", b"304 Not Modified")
    run_with_calls(work, [unchanged + large])


def test_an_event_without_end_breaks_off_at_its_endpoint_and_goes_on_at_another():
    """Guards against a stream whose event fills the memory of the daemon."""
    daemon = ready_daemon()
    # The event ends only beyond the bound, so without one it would be relayed.
    endless = Script(chunks=(b"id: 1\ndata: ", *(b"a" * 400_000,) * 4, b"\n\n"))
    reply = daemon.answer(None, endless, Script())
    assert (reply.status, reply.complete) == (200, True)
    first, second = (call.instance for call in daemon.calls.calls)
    assert first != second

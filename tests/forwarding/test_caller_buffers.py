"""Memory held for callers that read slowly or not at all."""

import asyncio

import pytest

from linnetladder.forwarding.coordination.caller_buffers import (
    CallerBuffer,
    CallerBuffers,
)
from linnetladder.forwarding.daemon_variables import (
    CallerSettings,
    VariableError,
    read_caller_settings,
)
from linnetladder.forwarding.transport import ForwardingServer, HttpEndpointCalls
from linnetladder.platform import PlatformCallerCodec, PlatformEndpointCodec
from linnetladder.state import SystemClock
from linnetladder.telemetry import Metrics
from tests.forwarding.test_transport import ANSWER_HEAD, RawEndpoint, build_call
from tests.support.forwarding import (
    ManualClock,
    Script,
    memory_account,
    ready_daemon,
)

MIB = 1024 * 1024
REQUEST = (
    b"POST /%s/1 HTTP/1.1\r\nHost: api.example\r\nLinnetladder-Attempt-Id: a%d\r\n"
    b"Linnetladder-Deadline-Ms: 12000\r\nAuthorization: Bearer key-1\r\n"
    b"Linnetladder-Model: *\r\n"
    b"Content-Length: 0\r\n\r\n"
)
EVENTS = tuple(b"id: %d\ndata: %s\n\n" % (n, b"x" * 50_000) for n in range(1, 400))


class FakeBuffer(CallerBuffer):
    def __init__(self, name, held=0):
        self.attempt_id = name
        self.held = held
        self.taken = 0
        self.ended = False

    def held_bytes(self):
        return self.held

    def taken_bytes(self):
        return self.taken

    def end(self):
        self.ended = True


def caller_buffers(clock, **settings):
    return CallerBuffers(
        settings=CallerSettings(**settings),
        memory=memory_account(),
        clock=clock,
        metrics=Metrics(),
    )


def pass_time(buffers, clock, seconds, reading=()):
    """Check at intervals, while some callers take a few bytes each second."""
    for _ in range(round(seconds * 5)):
        clock.now += 0.2
        for buffer in reading:
            buffer.taken += 100
        buffers.check()


def test_longest_stalled_caller_is_ended_first_and_only_as_many_as_needed():
    clock = ManualClock()
    buffers = caller_buffers(clock, daemon_buffer_bytes=4 * MIB)
    callers = [FakeBuffer(f"a{number}", held=MIB) for number in range(5)]
    for caller in callers:
        buffers.add(caller)
        clock.now += 0.1
        buffers.check()
    pass_time(buffers, clock, 0.4)
    assert not any(caller.ended for caller in callers)
    pass_time(buffers, clock, 4.0)
    assert [caller.ended for caller in callers] == [True, False, False, False, False]
    assert buffers.metrics.value("slow_callers_ended") == 1
    assert buffers.held == 4 * MIB


def test_slow_but_steady_caller_is_not_cut():
    clock = ManualClock()
    buffers = caller_buffers(clock, daemon_buffer_bytes=MIB)
    steady, stalled = FakeBuffer("steady", held=3 * MIB), FakeBuffer("stalled", MIB)
    buffers.add(steady)
    buffers.add(stalled)
    pass_time(buffers, clock, 10.0, reading=[steady])
    assert (steady.ended, stalled.ended) == (False, True)


@pytest.mark.parametrize(("held", "ended"), [(MIB, False), (MIB + 1, True)])
def test_one_caller_that_stalls_beyond_its_bound_is_ended(held, ended):
    clock = ManualClock()
    buffers = caller_buffers(clock)
    caller = FakeBuffer("a1", held=held)
    buffers.add(caller)
    pass_time(buffers, clock, 2.8)
    assert not caller.ended
    pass_time(buffers, clock, 1.0)
    assert caller.ended is ended


def test_caller_that_waits_for_its_endpoint_is_not_stalled():
    clock = ManualClock()
    buffers = caller_buffers(clock, daemon_buffer_bytes=MIB)
    waiting, other = FakeBuffer("a1"), FakeBuffer("a2", held=2 * MIB)
    buffers.add(waiting)
    buffers.add(other)
    pass_time(buffers, clock, 10.0, reading=[other])
    assert not waiting.ended and not other.ended


def test_bounds_are_settings():
    name = "LINNETLADDER_CALLERS_DAEMON_BUFFER_BYTES"
    assert read_caller_settings({name: "100000"}).daemon_buffer_bytes == 100_000
    assert read_caller_settings({}).caller_buffer_bytes == MIB
    with pytest.raises(VariableError, match=name):
        read_caller_settings({name: "1"})


def run_with_callers(work, count, path, script, **settings):
    """Run work with open connections, on each of which a request was sent."""
    daemon = ready_daemon()
    daemon.calls.scripts = [script] * count

    async def scenario():
        server = ForwardingServer(
            forwarder=daemon.forwarder,
            in_force=daemon.in_force,
            codec=PlatformCallerCodec(),
            buffers=caller_buffers(SystemClock(), **settings),
            memory=memory_account(),
            maximum_connections=100,
            clock=daemon.clock,
            metrics=daemon.metrics,
        )
        await server.start(address="127.0.0.1", port=0)
        port = server.server.sockets[0].getsockname()[1]
        callers = []
        try:
            async with asyncio.timeout(15):
                for number in range(count):
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", port, limit=1024
                    )
                    writer.write(REQUEST % (path, number))
                    callers.append((reader, writer))
                await work(daemon, server, callers)
        finally:
            for _, writer in callers:
                writer.transport.abort()
            await server.stop()

    asyncio.run(scenario())


def held_by_transports(server):
    return sum(
        handler.transport.get_write_buffer_size()
        for handler in server.server.connections
        if handler.transport is not None
    )


def test_burst_of_unread_answers_is_ended_and_a_slow_reader_is_not():
    """Unread answers of any length would be held until the time limit of each.

    The caller's socket takes more of the slow reader's answer only every few seconds.
    """

    async def work(daemon, server, callers):
        # The writer is kept, since it closes the connection when it is deleted.
        slow, slow_writer = callers.pop(0)
        received = bytearray()

        async def read_slowly():
            while data := await slow.read(100_000):
                received.extend(data)
                await asyncio.sleep(0.25)

        reading = asyncio.ensure_future(read_slowly())
        await asyncio.sleep(2.5)
        assert not reading.done()
        # All are ended but the slow reader, although it alone is over the bound.
        assert server.buffers.metrics.value("slow_callers_ended") == 7
        assert held_by_transports(server) < 12 * MIB
        for _, writer in callers:
            writer.transport.abort()
        reading.cancel()
        await asyncio.wait([reading])
        while len(received) < 12 * MIB and (data := await slow.read(MIB)):
            received.extend(data)
        assert received.endswith(b"x" * 1000)
        assert len(received) > 12 * MIB
        slow_writer.close()

    script = Script(chunks=(b"x" * (12 * MIB),))
    run_with_callers(work, 8, b"fetch", script, daemon_buffer_bytes=MIB)


def test_streams_are_not_read_further_and_end_incomplete_beyond_the_bound():
    async def work(daemon, server, callers):
        await asyncio.sleep(0.8)
        held = server.buffers.held
        assert held > 200_000
        assert all(caller.held_bytes() < 400_000 for caller in server.buffers.progress)
        await asyncio.sleep(1.5)
        assert server.buffers.metrics.value("slow_callers_ended") > 0
        assert server.buffers.held <= 200_000
        ended = daemon.metrics.value("caller_left")
        assert ended == server.buffers.metrics.value("slow_callers_ended")
        await asyncio.sleep(0)
        rests = []
        for reader, _ in callers:
            try:
                rests.append(await asyncio.wait_for(reader.read(), 1.0))
            except (ConnectionError, TimeoutError):
                continue
        assert not any(rest.endswith(b"0\r\n\r\n") for rest in rests[:ended])

    script = Script(chunks=EVENTS)
    run_with_callers(work, 6, b"draft", script, daemon_buffer_bytes=200_000)


def test_bytes_read_ahead_of_an_endpoint_are_counted():
    async def scenario():
        calls = HttpEndpointCalls(codec=PlatformEndpointCodec(), metrics=Metrics())
        body = b"x" * 100_000
        length = b"Content-Length: 100000\r\n\r\n"
        answer = [ANSWER_HEAD % b"a1" + length + body]
        try:
            async with RawEndpoint(answer) as endpoint:
                exchange = await calls.open(build_call(endpoint))
                await asyncio.sleep(0.1)
                assert exchange.read_ahead_bytes() == len(body)
                assert await exchange.read() == body
                assert exchange.read_ahead_bytes() == 0
                exchange.close()
        finally:
            await calls.close()

    asyncio.run(scenario())

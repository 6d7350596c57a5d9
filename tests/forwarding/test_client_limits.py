"""Limits on what clients may hold, and what their refusals promise."""

import asyncio
import dataclasses
import socket
import weakref
from unittest import mock

import pytest

from linnetladder.forwarding.coordination.calls import CallFault, CallFaultKind
from linnetladder.forwarding.coordination.memory_account import (
    MemoryHolder,
    MemoryLease,
)
from linnetladder.platform.settings import read_settings
from tests.forwarding.test_relaying import Relay
from tests.forwarding.test_transport import (
    COMPLETE_ANSWER,
    RawEndpoint,
    run_with_server,
)
from tests.support.forwarding import Script, memory_account

KIB, MIB = 1024, 1024 * 1024
HEAD = (
    b"POST /fetch/1 HTTP/1.1\r\nHost: api.example\r\nLinnetladder-Attempt-Id: a%d\r\n"
    b"Linnetladder-Deadline-Ms: 2500\r\nAuthorization: Bearer key-1\r\n%s\r\n"
)
NO_BODY = b"Content-Length: 0\r\n"


async def connect(port, *parts):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    # A writer closes its connection when it is deleted.
    reader.writer = writer
    for part in parts:
        writer.write(part)
        await writer.drain()
    return reader, writer


async def read_answer(reader):
    """Return the status, the header fields and the body of an answer."""
    rows = (await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
    fields = dict(row.split(": ", 1) for row in rows[1:] if row)
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return int(rows[0].split()[1]), fields, body.decode()


def set_limits(daemon, **limits):
    table = daemon.in_force.table
    table.limits = dataclasses.replace(table.limits, **limits)


# Guards against bodies that are read although nothing can hold them.
def test_a_body_that_does_not_fit_is_refused_at_its_head_with_a_time_to_come_back():
    memory = memory_account(capacity=MIB)

    async def work(daemon, server, port):
        memory.held[MemoryHolder.BODIES] = MIB // 2
        declared = b"Content-Length: 524288\r\n"
        reader, writer = await connect(port, HEAD % (1, declared))
        status, fields, text = await read_answer(reader)
        assert (status, fields["connection"]) == (503, "close")
        assert 1.0 <= float(fields["retry-after"]) <= 1.5
        assert text.startswith("overloaded:") and "ran: no" in text
        # Small requests still find room, with a body and without.
        reader, _ = await connect(port, HEAD % (2, b"Content-Length: 3\r\n"), b"abc")
        assert (await read_answer(reader))[0] == 200
        writer.close()
        memory.held[MemoryHolder.BODIES] -= MIB // 2
        assert memory.total == 0
        refused = server.metrics.value("clients_refused", label="callers_memory")
        assert refused == 1
        assert daemon.calls.calls[0].request.body == b"abc"

    run_with_server(work, Script(), memory=memory)


# Guards against a request within the limits that is refused although nothing else runs.
def test_a_single_body_of_the_largest_size_is_served_on_a_small_instance():
    async def work(daemon, server, port):
        limit = daemon.in_force.limits().body_bytes
        head = HEAD % (1, b"Content-Length: %d\r\n" % limit)
        reader, _ = await connect(port, head, b"x" * limit)
        assert (await read_answer(reader))[0] == 200
        assert len(daemon.calls.calls[0].request.body) == limit
        assert server.memory.total == 0

    run_with_server(work, Script(), memory=memory_account(capacity=MIB))


# Guards against legal bodies in tiny chunks that are refused or cut in calm.
def test_a_body_in_tiny_chunks_is_served_whole():
    async def work(daemon, server, port):
        chunks = b"7\r\nabcdefg\r\n" * 10_000
        head = HEAD % (1, b"Transfer-Encoding: chunked\r\n")
        reader, _ = await connect(port, head, chunks, b"0\r\n\r\n")
        assert (await read_answer(reader))[0] == 200
        assert daemon.calls.calls[0].request.body == b"abcdefg" * 10_000

    run_with_server(work, Script())


# Guards against a body that is read up to its limit though its length rules it out.
def test_a_declared_length_beyond_the_limit_is_refused_before_the_body():
    async def work(daemon, server, port):
        reader, _ = await connect(port, HEAD % (1, b"Content-Length: 400000000\r\n"))
        status, _, text = await read_answer(reader)
        assert status == 413 and "ran: no" in text
        assert daemon.calls.calls == []

    run_with_server(work)


# Guards against unfinished heads that stay, and against limits of a default.
def test_a_head_that_is_not_complete_in_time_is_refused_and_closed():
    async def work(daemon, server, port):
        set_limits(daemon, header_seconds=0.3)
        reader, _ = await connect(port, (HEAD % (1, NO_BODY))[:-1])
        status, fields, text = await read_answer(reader)
        assert status == 408 and "ran: no" in text and "retry-after" in fields
        assert await reader.read() == b""

    run_with_server(work)


def test_idle_connections_are_closed_at_the_limit_in_force_and_not_before():
    async def work(daemon, server, port):
        set_limits(daemon, idle_seconds=0.8)
        silent, _ = await connect(port)
        reader, writer = await connect(port, HEAD % (1, NO_BODY))
        for number in (2, 3):
            assert (await read_answer(reader))[0] == 200
            await asyncio.sleep(0.8 * 0.8)
            writer.write(HEAD % (number, NO_BODY))
        assert (await read_answer(reader))[0] == 200
        assert await silent.read() == await reader.read() == b""

    run_with_server(work, Script(), Script(), Script())


# Guards against connections that are closed while their clients observe a longer limit.
def test_a_shorter_idle_limit_binds_a_connection_after_its_next_request():
    async def work(daemon, server, port):
        reader, writer = await connect(port, HEAD % (1, NO_BODY))
        assert (await read_answer(reader))[0] == 200
        set_limits(daemon, idle_seconds=0.3)
        await asyncio.sleep(0.8)
        writer.write(HEAD % (2, NO_BODY))
        assert (await read_answer(reader))[0] == 200

    run_with_server(work, Script(), Script())


@pytest.mark.parametrize(("size", "status"), [(1000, 200), (3000, 431)])
def test_the_limit_in_force_bounds_the_whole_head(size, status):
    async def work(daemon, server, port):
        set_limits(daemon, header_bytes=2000)
        fields = b"".join(b"X-%d: %s\r\n" % (n, b"x" * 90) for n in range(size // 100))
        head = HEAD % (1, fields + b"Content-Length: 4000\r\n")
        # The end of the head comes in two parts, the second one with the body.
        reader, writer = await connect(port, head[:-1])
        await asyncio.sleep(0.05)
        writer.write(head[-1:] + b"x" * 4000)
        assert (await read_answer(reader))[0] == status

    run_with_server(work, Script())


# Guards against heads that grow without an end until their time is over.
def test_a_head_that_is_not_complete_is_refused_once_it_is_too_large():
    async def work(daemon, server, port):
        set_limits(daemon, header_bytes=2000)
        unfinished = HEAD % (1, b"X-Long: " + b"x" * 3000)
        reader, _ = await connect(port, unfinished[:-2])
        status, _, text = await read_answer(reader)
        assert status == 431 and "ran: no" in text

    run_with_server(work)


# Guards against requests behind another one that are forgotten in calm.
def test_pipelined_requests_are_all_answered_in_order():
    async def work(daemon, server, port):
        body = b"x" * 3000
        length = b"Content-Length: 3000\r\n"
        requests = [HEAD % (number, length) + body for number in range(20)]
        reader, _ = await connect(port, *requests)
        for _ in range(20):
            assert (await read_answer(reader))[0] == 200
        attempts = [call.request.head.attempt_id for call in daemon.calls.calls]
        assert attempts == [f"a{number}" for number in range(20)]
        assert server.memory.total == 0

    run_with_server(work, *[Script()] * 20)


# Guards against a connection that is closed with an answer on its way.
def test_requests_read_ahead_are_given_up_without_cutting_the_answer_before_them():
    async def work(daemon, server, port):
        server.memory.held[MemoryHolder.CALLERS] = server.memory.capacity
        requests = [HEAD % (number, NO_BODY) for number in range(50)]
        reader, _ = await connect(port, b"".join(requests))
        status, fields, _ = await read_answer(reader)
        assert (status, fields["connection"]) == (200, "close")
        assert await reader.read() == b""
        assert len(daemon.calls.calls) == 1

    run_with_server(work, Script())


# Guards against the first request of a connection that is taken for one behind another.
def test_a_request_that_arrives_before_its_connection_is_served_is_answered():
    async def work(daemon, server, port):
        server.memory.held[MemoryHolder.CALLERS] = server.memory.capacity
        transport = mock.MagicMock(spec=asyncio.Transport)
        client, connection = socket.socketpair()
        transport.get_extra_info = {"socket": connection}.get
        transport.get_write_buffer_size.return_value = 0
        transport.is_closing.return_value = False
        handler = server.server()
        handler.connection_made(transport)
        handler.data_received(HEAD % (1, NO_BODY))
        await asyncio.sleep(0.05)
        assert len(daemon.calls.calls) == 1
        handler.connection_lost(None)
        client.close()
        connection.close()

    run_with_server(work, Script())


def test_the_connection_that_was_idle_longest_makes_room_for_a_new_one():
    async def work(daemon, server, port):
        first, _ = await connect(port)
        await asyncio.sleep(0.05)
        second, writer = await connect(port)
        await asyncio.sleep(0.05)
        third, _ = await connect(port, HEAD % (1, NO_BODY))
        assert (await read_answer(third))[0] == 200
        assert await first.read() == b""
        writer.write(HEAD % (2, NO_BODY))
        assert (await read_answer(second))[0] == 200

    run_with_server(work, Script(), Script(), maximum_connections=2)


# Guards against connections beyond the limit that wait without an answer.
def test_a_connection_is_refused_with_a_promise_when_all_are_in_use():
    async def work(daemon, server, port):
        released = asyncio.Event()

        async def hang(call):
            await released.wait()
            raise asyncio.CancelledError

        daemon.calls.open = hang
        busy, _ = await connect(port, HEAD % (1, NO_BODY))
        await asyncio.sleep(0.05)
        reader, _ = await connect(port)
        status, fields, _ = await read_answer(reader)
        assert status == 503 and float(fields["retry-after"]) > 0
        released.set()

    run_with_server(work, maximum_connections=1)


# Guards against bodies that have stalled and keep others out.
def test_a_stalled_body_is_ended_for_one_that_does_not_fit():
    async def work(daemon, server, port):
        length = b"Content-Length: 1500000\r\n"
        stalled, _ = await connect(port, HEAD % (1, length), b"x" * 1_400_000)
        await asyncio.sleep(1.2)
        refused, _ = await connect(port, HEAD % (2, length))
        assert (await read_answer(refused))[0] == 503
        status, fields, text = await read_answer(stalled)
        assert status == 408 and "ran: no" in text and "retry-after" in fields
        third, _ = await connect(port, HEAD % (3, length), b"x" * 1_500_000)
        assert (await read_answer(third))[0] == 200

    run_with_server(work, Script(), memory=memory_account(capacity=2 * MIB))


# Guards against peers that hold the bodies of a crowd which another daemon took.
def test_a_relayed_body_that_does_not_fit_is_reported_as_not_sent():
    async def scenario():
        async with RawEndpoint([COMPLETE_ANSWER]) as endpoint, Relay(endpoint) as relay:
            call = relay.call()
            call.request.body = b"x" * 100_000
            memory = relay.server.memory
            memory.held[MemoryHolder.BODIES] = memory.capacity
            with pytest.raises(CallFault) as raised:
                await relay.peer_calls.open(call)
            fault = raised.value
            assert fault.kind is CallFaultKind.WITHDRAWN
            assert not fault.may_have_run and endpoint.requests == []
            assert memory.held[MemoryHolder.RELAYS] == 0
            memory.held[MemoryHolder.BODIES] = 0
            exchange = await relay.peer_calls.open(call)
            assert await exchange.read() == b"ok"
            exchange.close()

    asyncio.run(scenario())


# Guards against answers that wait for each other's memory until their deadlines.
def test_answers_that_are_read_in_part_do_not_wait_for_each_other():
    async def scenario():
        account = memory_account(capacity=100 * KIB)
        leases = [
            MemoryLease(account=account, holder=MemoryHolder.ANSWERS) for _ in range(4)
        ]

        async def read(lease):
            for _ in range(5):
                await lease.grow_when_free(20 * KIB)
                await asyncio.sleep(0)
            assert account.total <= 200 * KIB
            lease.release()

        async with asyncio.timeout(5):
            await asyncio.gather(*map(read, leases))
        assert account.total == 0

    asyncio.run(scenario())


# Guards against bodies that tracebacks of failed attempts hold without being counted.
def test_bodies_in_reference_cycles_are_freed_once_many_were_given_back():
    account = memory_account(capacity=8 * MIB)
    failures = []
    for _ in range(8):
        lease = MemoryLease(account=account, holder=MemoryHolder.BODIES)
        assert lease.grow(MIB // 2)
        failure = CallFault(CallFaultKind.BROKEN, "broke off", may_have_run=True)
        failure.cause = failure
        failures.append(weakref.ref(failure))
        del failure
        lease.release()
    assert sum(failure() is not None for failure in failures) <= 2


def test_the_resources_of_the_instance_are_read_and_checked(tmp_path):
    lines = (
        "Node=n\nZone=z\nIp=127.0.0.1\nListen.Front=127.0.0.1:1\n"
        "Listen.Ready=127.0.0.1:2\nPortRange=3,4\nProvider.Address=127.0.0.1:5\n"
    )
    path = tmp_path / "node.conf"
    path.write_text(lines + "Limits.MemoryMb=160\nLimits.MaxFds=1638\n")
    settings = read_settings(path)
    assert (settings.memory_megabytes, settings.descriptors) == (160, 1638)
    path.write_text(lines + "Limits.MemoryMb=-1\nLimits.MaxFds=1638\n")
    settings = read_settings(path)
    assert (settings.memory_megabytes, settings.descriptors) == (300, 1638)
    assert ["Limits.MemoryMb" in problem for problem in settings.problems] == [True]


def test_log_names_who_was_refused_for_what_in_bounded_lines(monkeypatch):
    lines = []
    module = "linnetladder.telemetry.refusal_log.log_change"
    monkeypatch.setattr(module, lambda event, **fields: lines.append(fields))

    async def work(daemon, server, port):
        refusals = server.server.refusals
        for number in range(500):
            refusals.record("memory", f"client-{number}")
        refusals.record("memory", "client-7")
        refusals.flush()
        (line,) = lines
        assert (line["port"], line["reason"]) == ("callers", "memory")
        assert line["count"] == 501
        assert line["clients"]["others"] == 400 and line["clients"]["client-7"] == 2
        assert len(line["clients"]) == 5

    run_with_server(work)

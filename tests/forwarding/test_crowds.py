"""Crowds of clients that do not behave: no process ends, ordinary callers are served.

Each test starts a daemon with low limits in a process of its own.
"""

import asyncio

import pytest

from tests.support.crowds import BODY_LIMIT, HEADER_LIMIT, run_crowd

CROWD = 100
DESCRIPTOR_CROWD = 500
TINY_CHUNK = b"7\r\nxxxxxxx\r\n"
STAY_SECONDS = 60.0
LENGTH = f"Content-Length: {BODY_LIMIT}"
CHUNKED = "Transfer-Encoding: chunked"


async def stay(writer, *parts):
    """Send, and keep the connection open."""
    for part in parts:
        writer.write(part)
        await writer.drain()
    await asyncio.sleep(STAY_SECONDS)


# Guards against bodies that are bounded each, and not all of them together.
def test_bodies_that_stop_one_byte_short(tmp_path):
    async def work(crowd):
        async def send(reader, writer):
            await stay(writer, crowd.head("fetch", LENGTH), b"x" * (BODY_LIMIT - 1))

        crowd.open(CROWD, send)

    run_crowd(tmp_path, work, seconds=4.0)


# Guards against bodies without a declared length, which nothing can be refused for.
def test_chunked_bodies_that_stop_short_of_their_end(tmp_path):
    async def work(crowd):
        async def send(reader, writer):
            chunks = [b"4000\r\n" + b"x" * 0x4000 + b"\r\n"] * (BODY_LIMIT // 0x4000)
            await stay(writer, crowd.head("fetch", CHUNKED), *chunks)

        crowd.open(CROWD, send)

    run_crowd(tmp_path, work, seconds=4.0)


# Guards against framing that takes the processor from ordinary callers.
def test_bodies_in_chunks_of_seven_bytes(tmp_path):
    async def work(crowd):
        async def send(reader, writer):
            chunks = TINY_CHUNK * 1000
            await stay(writer, crowd.head("fetch", CHUNKED), *[chunks] * 149)

        crowd.open(CROWD, send)

    run_crowd(tmp_path, work, seconds=6.0)


# Guards against bodies that wait for endpoints, and against their copies.
def test_whole_bodies_one_after_the_other(tmp_path):
    async def work(crowd):
        async def send(reader, writer):
            body = b"x" * (BODY_LIMIT - 1024)
            while True:
                length = f"Content-Length: {len(body)}"
                writer.write(crowd.head("stream", length) + body)
                await writer.drain()
                await reader.readuntil(b"\r\n\r\n")

        crowd.open(CROWD, send)

    run_crowd(tmp_path, work, seconds=5.0)


# Guards against reading what a declared length has ruled out already.
def test_declared_lengths_far_beyond_the_limit(tmp_path):
    async def work(crowd):
        async def send(reader, writer):
            head = crowd.head("fetch", f"Content-Length: {100 * BODY_LIMIT}")
            await stay(writer, head, *[b"x" * BODY_LIMIT] * 100)

        crowd.open(CROWD, send)

    run_crowd(tmp_path, work, seconds=4.0, body_limit=4 * BODY_LIMIT)


# Guards against requests that are read ahead while an earlier one is answered.
def test_pipelined_requests_whose_answers_are_not_read(tmp_path):
    async def work(crowd):
        async def send(reader, writer):
            body = b"x" * 20_000
            length = f"Content-Length: {len(body)}"
            requests = (crowd.head("stream", length) + body for _ in range(400))
            await stay(writer, *requests)

        crowd.open(CROWD, send)

    run_crowd(tmp_path, work, seconds=4.0)


# Guards against heads that are bounded by field, and not as a whole.
def test_heads_of_many_long_fields(tmp_path):
    async def work(crowd):
        async def send(reader, writer):
            field = b"X-Field: " + b"x" * (HEADER_LIMIT // 2) + b"\r\n"
            await stay(writer, crowd.head("fetch")[:-2], *[field] * 200)

        crowd.open(CROWD, send)

    run_crowd(tmp_path, work, seconds=4.0)


# Guards against unfinished heads that take all descriptors.
def test_heads_that_stop_short_of_their_end(tmp_path):
    async def work(crowd):
        async def send(reader, writer):
            await stay(writer, crowd.head("fetch", LENGTH)[:-1])

        crowd.open(DESCRIPTOR_CROWD, send)

    run_crowd(tmp_path, work, seconds=2.0)


# Guards against connections that take all descriptors, on any port.
@pytest.mark.parametrize(
    ("port", "sent"),
    [
        ("front", b""),
        ("ready", b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n"),
        ("peer", b"POST / HTTP/1.1\r\nHost: x\r\n"),
    ],
)
def test_connections_without_a_request(tmp_path, port, sent):
    async def work(crowd):
        async def send(reader, writer):
            await stay(writer, sent)

        crowd.open(DESCRIPTOR_CROWD, send, port=port)

    run_crowd(tmp_path, work, seconds=2.0)

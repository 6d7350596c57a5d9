"""Streams that break off, and answers of the next endpoint that are no rest of them."""

import asyncio

import pytest

from linnetladder.forwarding.transport import caller_server
from tests.forwarding.test_transport import REQUEST, read_head, run_with_server
from tests.support.forwarding import Script

EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
END = b"0\r\n\r\n"
BROKEN = Script(chunks=EVENTS, cut_after=1)


async def read_stream(port):
    """Return what a caller reads of a stream after its head."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    received = b""
    try:
        writer.write(REQUEST % b"draft")
        assert (await read_head(reader))[0] == 200
        while not received.endswith(END) and (data := await reader.read(65536)):
            received += data
    except ConnectionError:
        pass
    finally:
        writer.close()
    return received


# Guards against the text or the head of an error in the middle of a stream, and against
# a stream that ends there and looks complete.
@pytest.mark.parametrize(
    "error",
    [
        Script(status=500, chunks=(b"id: 9\ndata: error\n\n",)),
        Script(status=500, chunks=(b"id: 9\ndata: error\n\n",), cut_after=0),
        Script(status=504, chunks=(b"error",)),
        Script(status=503, chunks=(b"error",)),
        Script(status=503, chunks=(b"error",), not_run=True),
        Script(status=429, chunks=(b"error",), not_run=True),
        Script(status=421, chunks=(b"error",), misdirected=True),
        Script(status=400, chunks=(b"id: 9\ndata: error\n\n",)),
        Script(status=404, chunks=(b"error",)),
        Script(status=204, chunks=()),
        Script(status=206, chunks=EVENTS[1:]),
        Script(status=302, chunks=(b"error",)),
        Script(status=200, chunks=(b"error",)),
    ],
    ids=lambda script: f"{script.status}-{len(script.chunks)}-{script.cut_after}",
)
def test_an_error_after_a_stream_broke_off_is_not_passed_on(error):
    async def work(daemon, server, port):
        received = await read_stream(port)
        assert EVENTS[0] in received
        assert b"error" not in received
        assert b"HTTP/1" not in received
        assert not received.endswith(END)

    run_with_server(work, BROKEN, error, error, error, error)


def test_a_stream_that_is_resumed_holds_each_event_once():
    async def work(daemon, server, port):
        received = await read_stream(port)
        assert received.count(EVENTS[0]) == received.count(EVENTS[1]) == 1
        assert received.endswith(END)

    run_with_server(work, BROKEN, Script(chunks=EVENTS))


# Guards against a second head on a connection on which a stream has begun, whatever
# part of the daemon sends it.
@pytest.mark.parametrize("method", ["send", "refuse"])
def test_a_reply_that_has_begun_is_aborted_by_another_answer(method, monkeypatch):
    async def work(daemon, server, port):
        async def finish(reply):
            if method == "send":
                await reply.send(500, (), b"error")
            else:
                await reply.refuse(caller_server._shutdown_refusal())

        monkeypatch.setattr(caller_server.HttpReply, "finish", finish)
        received = await read_stream(port)
        assert EVENTS[1] in received
        assert b"error" not in received and b"HTTP/1" not in received
        assert not received.endswith(END)

    run_with_server(work, Script(chunks=EVENTS))

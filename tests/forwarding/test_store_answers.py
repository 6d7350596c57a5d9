"""Answers of the store that are no HTTP responses, or have no end."""

import asyncio
import functools

import pytest
from returns.result import Failure, Success

from linnetladder.coordination.platform import FaultKind, Put
from linnetladder.forwarding.coordination.store_era import StoreEra
from linnetladder.platform import PlatformStore
from linnetladder.platform import store as store_module
from linnetladder.state import SystemClock
from linnetladder.telemetry import Metrics
from standins.broken_answers import BROKEN_HEADS, SOUND
from tests.support.odd_server import OddServer, endless

ITEM = b'{"Key": "k", "Value": "", "Rev": 7, "Created": 7, "At": 7}'
PUT = Put("k", b"v")
CALL_SECONDS = 8.0
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "informational responses": (b"", b"HTTP/1.1 102 P\r\nX-A: b\r\n\r\n"),
    "fields": (HEAD, b"X-A: b\r\n"),
    "body": (HEAD + b"\r\n", b"a" * 64),
    "chunks": (CHUNKED, b"ff\r\n" + b"a" * 255 + b"\r\n"),
    "length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"a" * 64),
}


def ask_store(build_parts):
    """Return the results of a read and of a write, each on a connection of its own."""

    async def ask(call):
        metrics = Metrics()
        async with OddServer(build_parts) as server, asyncio.timeout(CALL_SECONDS):
            store = PlatformStore(
                address=server.address,
                era=StoreEra(metrics=metrics),
                clock=SystemClock(),
                metrics=metrics,
            )
            result = await call(store)
            await store.close()
            assert len(server.requests) == 1
            return result

    read = asyncio.run(ask(lambda store: store.get("k")))
    written = asyncio.run(ask(lambda store: store.transact(puts=(PUT,))))
    return read, written


# Guards against a write that is taken for one that was not applied, or a read that is
# taken for the store's content, since a response is read that is none.
@pytest.mark.parametrize("name", BROKEN_HEADS)
def test_a_response_of_the_store_with_a_malformed_head_says_nothing(name):
    read, written = ask_store(lambda: [BROKEN_HEADS[name]("a1", ITEM)])
    assert isinstance(read, Failure)
    assert read.failure().kind is FaultKind.UNREACHABLE
    assert isinstance(written, Failure)
    assert written.failure().kind is FaultKind.UNKNOWN_OUTCOME


@pytest.mark.parametrize("name", [n for n in SOUND if not n.startswith("status")])
def test_an_unusual_response_of_the_store_that_is_sound_is_read(name):
    read, written = ask_store(lambda: [SOUND[name]("a1", ITEM)])
    assert isinstance(read, Success)
    assert read.unwrap().modify_revision == 7
    assert written.unwrap().succeeded


# Guards against a daemon that keeps what a faulty store sends for as long as it comes.
@pytest.mark.parametrize("name", ENDLESS)
def test_a_response_of_the_store_without_end_is_given_up(name, monkeypatch):
    monkeypatch.setattr(
        store_module, "MAXIMUM_ANSWER_BYTES", 1024 * 1024, raising=False
    )

    read, written = ask_store(functools.partial(endless, *ENDLESS[name]))
    assert isinstance(read, Failure)
    assert read.failure().kind is FaultKind.UNREACHABLE
    assert written.failure().kind is FaultKind.UNKNOWN_OUTCOME

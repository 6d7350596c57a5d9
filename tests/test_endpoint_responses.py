"""Responses to a site's daemon that are no HTTP responses, or have no end."""

import asyncio
import functools

import pytest
from returns.result import Failure, Success

from linnetladder.coordination.attempts.endpoint_client import (
    EndpointCall,
    EndpointFaultKind,
)
from linnetladder.coordination.platform import FaultKind, Put
from linnetladder.errors import Ran
from linnetladder.state import Endpoint, SystemClock, VersionRef
from linnetladder.telemetry import Metrics
from linnetladder.transport import (
    ConnectionPools,
    EtcdKeyValue,
    HttpEndpointClient,
    HttpInstanceList,
    HttpRatingService,
    endpoint_client,
    instance_list,
    key_value,
    rating_service,
)
from standins.broken_answers import BROKEN, SOUND
from tests.support.odd_server import OddServer, endless

BODY = b'{"instances": []}'
SECONDS = 8.0
BOUND_BYTES = 1024 * 1024
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "informational responses": (b"", b"HTTP/1.1 102 P\r\nX-A: b\r\n\r\n"),
    "fields": (HEAD, b"X-A: b\r\n"),
    "body": (HEAD + b"\r\n", b"a" * 64),
    "chunks": (CHUNKED, b"ff\r\n" + b"a" * 255 + b"\r\n"),
    "length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"a" * 64),
}


async def call_endpoint(server, *, target=None):
    """Return the outcome of a call of a plain service, or of a stream of a target.

    Of a stream it is that of its first events.
    """
    clock = SystemClock()
    connections = ConnectionPools(connect_seconds=1.0)
    client = HttpEndpointClient(
        connections=connections, clock=clock, silence_seconds=SECONDS
    )
    endpoint = Endpoint(
        name="desk-1",
        incarnation="1",
        address=server.address,
        failure_domain="a",
        service="desk",
    )
    call = EndpointCall(
        request_id="r1",
        method="POST",
        path="/x",
        body=b"x",
        headers={},
        target=target,
        stream=target is not None,
        deadline=clock.monotonic() + SECONDS,
        priority=1,
    )
    try:
        outcome = await client.call(endpoint, call)
        if target is None or isinstance(outcome, Failure):
            return outcome
        return await anext(outcome.unwrap().events())
    finally:
        await connections.close()


async def list_instances(server):
    """Return the outcome of a read of the instance list."""
    instances = HttpInstanceList(
        url=server.url, timeout_seconds=SECONDS, metrics=Metrics()
    )
    try:
        return await instances.endpoints()
    finally:
        await instances.close()


async def read_ratings(server):
    """Return the outcome of a read of the rating feed."""
    ratings = HttpRatingService(url=server.url, metrics=Metrics())
    try:
        return await ratings.page(0)
    finally:
        await ratings.close()


async def write_key(server):
    """Return the outcome of a write to the key-value service."""
    store = EtcdKeyValue(
        urls=(server.url,),
        timeout_seconds=SECONDS,
        clock=SystemClock(),
        metrics=Metrics(),
    )
    try:
        return await store.transact(puts=(Put("k", b"v"),))
    finally:
        await store.close()


CLIENTS = {
    "endpoints": call_endpoint,
    "instances": list_instances,
    "ratings": read_ratings,
    "key-value service": write_key,
}
BOUNDS = (endpoint_client, instance_list, key_value, rating_service)


def ask(client, build_parts, **options):
    """Return what one of the clients makes of a server's bytes."""

    async def scenario():
        async with OddServer(build_parts) as server, asyncio.timeout(SECONDS):
            return await CLIENTS[client](server, **options)

    return asyncio.run(scenario())


# Guards against callers who get a response that is none, such as one with a status of
# 000, and against writes that are taken for rejected although they may be applied.
@pytest.mark.parametrize("client", CLIENTS)
def test_a_malformed_response_is_a_fault(client):
    passed = []
    for name, build in BROKEN.items():
        outcome = ask(client, lambda build=build: [build("a1", BODY)])
        if not isinstance(outcome, Failure):
            passed.append(name)
        elif client == "endpoints":
            assert outcome.failure().ran is not Ran.NO, name
        elif client == "key-value service":
            assert outcome.failure().kind is FaultKind.UNKNOWN_OUTCOME, name
    assert passed == []


def test_an_unusual_response_that_is_sound_is_read():
    for name, build in SOUND.items():
        outcome = ask("endpoints", lambda build=build: [build("a1", BODY)])
        assert isinstance(outcome, Success), name
        assert outcome.unwrap().body == BODY, name
        if not name.startswith("status"):
            listed = ask("instances", lambda build=build: [build("a1", BODY)])
            assert listed == Success(()), name


# Guards against a daemon that keeps what a faulty server sends for as long as it comes.
@pytest.mark.parametrize("client", CLIENTS)
@pytest.mark.parametrize("name", ENDLESS)
def test_a_response_without_end_is_given_up(client, name, monkeypatch):
    for module in BOUNDS:
        monkeypatch.setattr(module, "MAXIMUM_ANSWER_BYTES", BOUND_BYTES)
    outcome = ask(client, functools.partial(endless, *ENDLESS[name]))
    assert isinstance(outcome, Failure)
    detail = outcome.failure().detail
    assert "no answer within" not in detail
    assert "TimeoutError" not in detail
    if client == "endpoints":
        kind = outcome.failure().kind
        assert kind in (EndpointFaultKind.BROKEN, EndpointFaultKind.FAILED)


def test_an_event_without_end_is_given_up():
    target = VersionRef.parse("m@1")
    first = HEAD + b"X-Served-Version: m@1\r\n\r\ndata: "
    outcome = ask("endpoints", functools.partial(endless, first, b"a"), target=target)
    assert outcome.failure().kind is EndpointFaultKind.CUT
    assert "event" in outcome.failure().detail

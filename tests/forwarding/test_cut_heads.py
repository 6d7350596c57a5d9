"""Answers that endpoints cut off, at each byte of their heads and bodies."""

import asyncio
import itertools
import random

import pytest

from linnetladder.forwarding.coordination.calls import CallFault
from linnetladder.forwarding.transport import HttpEndpointCalls
from linnetladder.platform import PlatformEndpointCodec
from linnetladder.telemetry import Metrics
from tests.forwarding.test_transport import RawEndpoint, build_call
from tests.support.wire_site import WireSite, answer_bytes, read_answer

BODY = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
FRAMINGS = ("length", "chunked", "close")
KINDS = ("stream", "fetch", "save")
CALLERS = 6
SECONDS = 8.0
SEED = 51
PAUSE_SECONDS = 0.02
# Of three answers one is cut, so that endpoints are not left out for long.
CUT_SHARE = 1 / 3
MINIMUM_CUT_ANSWERS = 60


async def outcome(calls, endpoint, attempt):
    """Return the body of an answer that is taken for a whole one, else ``None``."""
    exchange = None
    try:
        exchange = await calls.open(build_call(endpoint, attempt))
        return await exchange.read()
    except CallFault as fault:
        assert fault.may_have_run
        return None
    finally:
        if exchange is not None:
            exchange.close()


# Guards against an answer whose head or body broke off being taken for a whole one: an
# empty or short body, framed as complete.
@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("pieces", [1, 3])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_an_answer_that_is_cut_at_any_byte_is_not_taken_for_a_whole_one(
    framing, pieces, kept
):
    whole = answer_bytes("a1", BODY, framing=framing, streams=True)
    head_bytes = whole.index(b"\r\n\r\n") + 4
    # An answer without a length ends with its connection, so only its head can be cut.
    end = head_bytes if framing == "close" else len(whole)
    first = answer_bytes("a0", BODY, framing="length", streams=True)

    async def scenario():
        taken = []
        calls = HttpEndpointCalls(codec=PlatformEndpointCodec(), metrics=Metrics())
        for cut in range(1, end):
            bounds = sorted({0, *(cut * n // pieces for n in range(1, pieces + 1))})
            parts = []
            for start, stop in itertools.pairwise(bounds):
                parts += [whole[start:stop], 0.001] if pieces > 1 else [whole[:cut]]
            answers = [[first], [*parts, b""]] if kept else [[*parts, b""]]
            async with RawEndpoint(*answers) as endpoint:
                if kept:
                    assert await outcome(calls, endpoint, "a0") == BODY
                body = await outcome(calls, endpoint, "a1")
                if body is not None and body != BODY:
                    taken.append((cut, body))
                if cut < head_bytes and body is not None:
                    taken.append((cut, body))
        await calls.close()
        return taken

    assert asyncio.run(scenario()) == []


class CuttingEndpoints:
    """Answers some requests whole, and cuts others at a random byte."""

    def __init__(self):
        self.random = random.Random(SEED)
        self.cuts = {}

    async def answer(self, request, writer):
        kind = request.path.split("/")[1]
        framing = self.random.choice(FRAMINGS)
        whole = answer_bytes(
            request.attempt, BODY, framing=framing, streams=kind == "stream"
        )
        sent = whole
        if self.random.random() < CUT_SHARE:
            end = whole.index(b"\r\n\r\n") + 4 if framing == "close" else len(whole)
            sent = whole[: self.random.randrange(1, end)]
            self.cuts[request.attempt] = (framing, len(sent))
        pieces = self.random.choice((1, 1, 2, 4))
        for number in range(pieces):
            start, stop = (len(sent) * n // pieces for n in (number, number + 1))
            writer.write(sent[start:stop])
            await writer.drain()
            if pieces > 1:
                await asyncio.sleep(PAUSE_SECONDS)
        return sent is whole and framing != "close"


async def call_daemon(site, caller, until, answers):
    """Send requests of all kinds on kept and new connections."""
    loop = asyncio.get_running_loop()
    connection = None
    for number in itertools.count():
        if loop.time() > until:
            break
        kind = KINDS[number % len(KINDS)]
        attempt = f"{kind}-{caller}-{number}"
        if connection is None:
            port = site.ports["daemon-1"]["front"]
            connection = await asyncio.open_connection("127.0.0.1", port)
        reader, writer = connection
        writer.write(site.request_head(kind, attempt))
        answers[attempt] = status, _, complete = await read_answer(reader)
        if not complete or number % 2:
            writer.close()
            connection = None


# Guards against the same at callers of a real daemon, on each kind of route.
def test_callers_get_no_cut_answer_as_a_whole_one(tmp_path):
    async def scenario():
        endpoints = CuttingEndpoints()
        answers = {}
        site = WireSite(
            folder=tmp_path, daemons=1, answer=endpoints.answer, endpoints=16
        )
        try:
            await site.start()
            await site.wait_until_ready()
            until = asyncio.get_running_loop().time() + SECONDS
            await asyncio.gather(
                *(call_daemon(site, n, until, answers) for n in range(CALLERS))
            )
        finally:
            await site.stop()
        return endpoints.cuts, answers

    cuts, answers = asyncio.run(scenario())
    short = [
        (attempt, answer)
        for attempt, answer in answers.items()
        if answer[0] == 200 and answer[2] and answer[1] != BODY
    ]
    assert short == []
    assert len(cuts) >= MINIMUM_CUT_ANSWERS
    statuses = {answer[0] for answer in answers.values()}
    assert 200 in statuses
    # A request that may not be repeated and may have run is not said not to have run.
    assert not [a for a in cuts if a.startswith("save") and answers[a][0] in (429, 503)]

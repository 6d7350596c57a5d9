"""Answers that are no HTTP responses, at callers that read the bytes themselves."""

import asyncio
import itertools
import re
import socket
import struct

import pytest

from standins.broken_answers import BROKEN, MARK, ODD_SEALS, SOUND, seal_of
from tests.support.wire_site import WireSite

KINDS = ("save", "fetch", "stream")
BODY = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
ENDPOINTS = 32
CALLERS = 8
TRIES = 12
PAUSE_SECONDS = 0.3
ANSWER_SECONDS = 10.0
UPLOAD_BYTES = (70_000, 400_000, 1_000_000)
UPLOAD_PAUSES_SECONDS = (0.0, 0.001, 0.01, 0.05, 0.3)
UPLOAD_ROUNDS = 2
# Bytes of a body that arrive before a reset: none, a part of an event, and an event.
PART_BYTES = (0, 5, len(BODY) // 2)
LINGER_RESET = struct.pack("ii", 1, 0)
MINIMUM_RESETS = 200
# Enough that each stream can be resumed, which is cut otherwise.
RETRIES = 10_000
# Statuses with which a daemon promises that a request has not run.
PROMISES = (408, 421, 429, 503)

STATUS_LINE = re.compile(rb"HTTP/1\.1 ([2-5][0-9][0-9]) [\t -~\x80-\xff]*")
FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t -~\x80-\xff]*?)[ \t]*")
CHUNK = re.compile(rb"([0-9a-f]+)\r\n")


class StrictAnswer:
    """All bytes that a connection returned, read as one response and nothing else.

    Reading them raises an assertion error if they are not exactly that.
    """

    def __init__(self, received: bytes):
        head, separator, rest = received.partition(b"\r\n\r\n")
        assert separator, f"no complete head in {received[:200]!r}"
        first, *lines = head.split(b"\r\n")
        match = STATUS_LINE.fullmatch(first)
        assert match, first
        self.status = int(match[1])
        self.fields = {}
        for line in lines:
            field = FIELD.fullmatch(line)
            assert field, line
            self.fields[field[1].lower()] = field[2]
        if b"transfer-encoding" in self.fields:
            assert self.fields[b"transfer-encoding"] == b"chunked"
            assert b"content-length" not in self.fields
            self.body = self._read_chunks(rest)
        else:
            self.body = rest
            assert int(self.fields[b"content-length"]) == len(rest), received

    def _read_chunks(self, rest):
        body = b""
        while True:
            size = CHUNK.match(rest)
            assert size, rest[:100]
            rest = rest[size.end() :]
            end = int(size[1], 16)
            assert rest[end : end + 2] == b"\r\n", rest[:100]
            body += rest[:end]
            rest = rest[end + 2 :]
            if end == 0:
                assert rest == b""
                return body


class OddEndpoints:
    """Answers an attempt oddly the first time that it comes, and soundly after that."""

    def __init__(self, answers):
        self.answers = answers
        self.names = {}
        self.asked = set()

    async def answer(self, request, writer):
        build = self.answers[self.names[request.attempt]]
        if request.attempt in self.asked:
            build = SOUND["length"]
        self.asked.add(request.attempt)
        writer.write(build(request.attempt, BODY))
        await writer.drain()
        return False


async def call(site, kind, attempt, body=b""):
    """Return what a daemon sends to one request until it closes the connection."""
    port = site.ports["daemon-1"]["front"]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        head = site.request_head(kind, attempt, body_bytes=len(body))
        head = head.removesuffix(b"\r\n") + b"Connection: close\r\n\r\n"
        writer.write(head + body)
        async with asyncio.timeout(ANSWER_SECONDS):
            return await reader.read()
    finally:
        writer.close()


async def ask(site, endpoints, kind, name, serial):
    """Send requests until one reaches an endpoint; return its id and its answer."""
    for number in range(TRIES):
        attempt = f"{kind}-{serial}-{number}"
        endpoints.names[attempt] = name
        received = await call(site, kind, attempt)
        if attempt in endpoints.asked:
            return attempt, StrictAnswer(received)
        # Endpoints are left out for a while after several broken answers.
        await asyncio.sleep(PAUSE_SECONDS)
    raise AssertionError(f"{name}: no request of {TRIES} reached an endpoint")


def run_answers(folder, answers, check, *, through_peers):
    """Check what callers get of each kind of answer on each kind of route."""

    async def scenario():
        endpoints = OddEndpoints(answers | {"length": SOUND["length"]})
        site = WireSite(
            folder=folder,
            daemons=2 if through_peers else 1,
            answer=endpoints.answer,
            endpoints=ENDPOINTS,
            through_peers=through_peers,
        )
        work = itertools.count()
        cases = iter([(name, kind) for name in answers for kind in KINDS])
        failures = []

        async def call_in_turn():
            for name, kind in cases:
                try:
                    attempt, answer = await ask(site, endpoints, kind, name, next(work))
                    check(name, kind, attempt, answer)
                except AssertionError as error:
                    failures.append(f"{name}, {kind}: {error}")
                # Sound answers in between keep endpoints from being left out.
                await ask(site, endpoints, "fetch", "length", next(work))

        try:
            await site.start()
            await site.wait_until_ready()
            await asyncio.gather(*(call_in_turn() for _ in range(CALLERS)))
        finally:
            await site.stop()
        for name in site.daemon_names:
            if MARK.decode() in site.process_manager.log(name):
                failures.append(f"the log of {name} holds bytes of an answer")
        return failures

    assert asyncio.run(scenario()) == []


def check_broken(name, kind, attempt, answer):
    """Check the answer to a request whose first answer was broken."""
    assert MARK not in answer.body
    assert b"x-odd" not in answer.fields
    assert answer.status not in PROMISES
    if kind == "save" or not 200 <= answer.status < 300:
        assert answer.status == 502
        assert b"linnetladder-server-seal" not in answer.fields
        return
    check_sound(name, kind, attempt, answer, status=200)


def check_sound(name, kind, attempt, answer, status=None):
    """Check that an answer has the status, the seal and the body of the endpoint."""
    expected = status or (int(name[7:]) if name.startswith("status ") else 200)
    assert answer.status == expected
    assert answer.fields[b"linnetladder-server-seal"] == seal_of(attempt).encode()
    assert answer.body == BODY


# Guards against answers that are passed on although they are no responses: a status
# that does not exist, names and values that no field has, lines taken for a part of
# the seal, and bodies of an unknown framing or coding.
@pytest.mark.parametrize("through_peers", [False, True])
def test_callers_get_no_broken_answer(tmp_path, through_peers):
    run_answers(tmp_path, BROKEN | ODD_SEALS, check_broken, through_peers=through_peers)


# Guards against a check that also fails what RFC 9110 and RFC 9112 allow.
@pytest.mark.parametrize("through_peers", [False, True])
def test_callers_get_unusual_answers_that_are_sound(tmp_path, through_peers):
    run_answers(tmp_path, SOUND, check_sound, through_peers=through_peers)


class ResettingEndpoints:
    """Answers the first time without a length and resets it during the upload.

    ``cases`` holds, by attempt id, the bytes of the body that are sent and the seconds
    before the reset.
    """

    def __init__(self):
        self.cases = {}
        self.asked = set()

    async def answer(self, request, writer):
        if request.attempt in self.asked:
            await request.read_body()
            writer.write(SOUND["length"](request.attempt, BODY))
            await writer.drain()
            return False
        self.asked.add(request.attempt)
        size, seconds = self.cases[request.attempt]
        whole = SOUND["no length and an orderly end"](request.attempt, BODY)
        writer.write(whole[: len(whole) - len(BODY) + size])
        await asyncio.sleep(seconds)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.transport.abort()
        return False


# Guards against the part of an answer that has arrived being taken for the whole when
# the endpoint resets its connection while a long request is still being written to it.
@pytest.mark.parametrize("through_peers", [False, True])
def test_an_answer_that_is_reset_during_an_upload_is_not_complete(
    tmp_path, through_peers
):
    async def scenario():
        endpoints = ResettingEndpoints()
        site = WireSite(
            folder=tmp_path,
            daemons=2 if through_peers else 1,
            answer=endpoints.answer,
            endpoints=ENDPOINTS,
            answers_early=True,
            through_peers=through_peers,
            settings={"Bounds.BudgetSlack": RETRIES},
        )
        cases = itertools.product(
            range(UPLOAD_ROUNDS), UPLOAD_BYTES, UPLOAD_PAUSES_SECONDS, PART_BYTES, KINDS
        )
        cases = enumerate(cases)
        failures, reset = [], 0

        async def call_in_turn():
            nonlocal reset
            for serial, (_, upload, seconds, size, kind) in cases:
                attempt = f"{kind}-{serial}"
                endpoints.cases[attempt] = size, seconds
                received = await call(site, kind, attempt, b"u" * upload)
                reset += attempt in endpoints.asked
                try:
                    answer = StrictAnswer(received)
                    if attempt in endpoints.asked:
                        check_broken("reset", kind, attempt, answer)
                except AssertionError as error:
                    failures.append(f"{upload}, {seconds}, {size}, {kind}: {error}")

        try:
            await site.start()
            await site.wait_until_ready()
            await asyncio.gather(*(call_in_turn() for _ in range(CALLERS)))
        finally:
            await site.stop()
        return failures, reset

    failures, reset = asyncio.run(scenario())
    assert failures == []
    assert reset >= MINIMUM_RESETS

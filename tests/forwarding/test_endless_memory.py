"""Endpoints that send bytes without end to many calls, beside other callers.

One daemon in a process of its own gets one kind of answer after the other, so that what
an earlier one has left in its memory counts, too.
"""

import asyncio
import collections
import itertools
import statistics

import pytest

from bench.process_gauge import ProcessGauge
from tests.support.wire_site import WireSite, answer_bytes, read_answer

MEMORY_MEGABYTES = 300
# Answers without end may take two thirds of the memory at most.
MAXIMUM_MEGABYTES = 200
CALLS = 80
ENDPOINTS = 32
SEND_BYTES = 64 * 1024
EVENT = b"id: 1\ndata: a\n\n"
# More than the time limit of the routes, at which a daemon itself ends a request.
ANSWER_SECONDS = 8.0
# The routes' goal for answers.
GOAL_SECONDS = 1.0
# Endpoints that have failed take requests again after this time.
EJECTION_SECONDS = 2.5
PAUSE_SECONDS = 0.1
RETRIES = 10_000

OK = (
    b"HTTP/1.1 200 OK\r\nLinnetladder-Attempt-Id: %s\r\nLinnetladder-Server-Seal: s\r\n"
)
FAILED = OK.replace(b"200 OK", b"500 Oops")
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# The beginning of an answer, and what follows again and again.
HEADS = {
    "junk": (b"", b"junk bytes"),
    "reason": (b"HTTP/1.1 200 ", b"aaaaaaaa"),
    "name": (b"HTTP/1.1 200 OK\r\n", b"aaaaaaaa"),
    "value": (b"HTTP/1.1 200 OK\r\nX: ", b"aaaaaaaa"),
    "fields": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n"),
    "folded": (b"HTTP/1.1 200 OK\r\nX-A: b\r\n", b" bbbbbb\r\n"),
    "informational": (b"", b"HTTP/1.1 102 P\r\nX-A: b\r\nX-B: c\r\n\r\n"),
    "trailer": (OK + CHUNKED + b"2\r\nok\r\n0\r\n", b"X-A: b\r\n"),
    "extension": (OK + CHUNKED + b"2;x=", b"aaaaaaaa"),
}
BODIES = {
    "body": (OK + b"\r\n", b"a" * 64),
    "chunks": (OK + CHUNKED, b"ffff\r\n" + b"a" * 0xFFFF + b"\r\n"),
    "failure": (FAILED + b"\r\n", b"a" * 64),
    "length": (OK + b"Content-Length: 99999999999\r\n\r\n", b"a" * 64),
}

# Bodies that take much processor time for their size; they end with the time limit.
CHUNKS = {
    "one": (OK + CHUNKED, b"1\r\na\r\n"),
    "two": (OK + CHUNKED, b"2\r\nab\r\n"),
    "eight": (OK + CHUNKED, b"8\r\nabcdefgh\r\n"),
}
# The kinds, the route of the calls, and that of the other caller.
CASES = {
    "heads": (HEADS, "save", "stream"),
    "bodies": (CHUNKS | BODIES, "save", "stream"),
    "streams": (BODIES, "stream", "fetch"),
}


class EndlessEndpoints:
    """Answers of the kind that an attempt's id names, sound ones to other callers."""

    def __init__(self, kinds):
        self.kinds = kinds

    async def answer(self, request, writer):
        kind = request.attempt.partition(".")[0]
        if kind not in self.kinds:
            writer.write(
                answer_bytes(request.attempt, EVENT, framing="chunked", streams=True)
            )
            await writer.drain()
            return True
        first, piece = self.kinds[kind]
        writer.write(first.replace(b"%s", request.attempt.encode()))
        pieces = piece * (SEND_BYTES // len(piece) or 1)
        while True:
            writer.write(pieces)
            await writer.drain()


async def status_of(site, route, attempt):
    """Return the status of one request's answer, 0 if none comes in time."""
    port = site.ports["daemon-1"]["front"]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        async with asyncio.timeout(ANSWER_SECONDS):
            writer.write(site.request_head(route, attempt))
            status, _, complete = await read_answer(reader)
            return status if complete else 0
    except TimeoutError:
        return 0
    finally:
        writer.close()


async def call_beside(site, calls, route, serials):
    """Return what another caller gets while the calls are there: statuses, seconds."""
    loop = asyncio.get_running_loop()
    answers = []
    while not all(call.done() for call in calls) or not answers:
        began = loop.time()
        status = await status_of(site, route, f"ordinary.{next(serials)}")
        answers.append((status, loop.time() - began))
        await asyncio.sleep(PAUSE_SECONDS)
    return answers


async def run_kinds(folder, kinds, route, other_route):
    """Return, by kind, the highest memory and what callers got."""
    site = WireSite(
        folder=folder,
        daemons=1,
        answer=EndlessEndpoints(kinds).answer,
        endpoints=ENDPOINTS,
        settings={
            "Limits.MemoryMb": MEMORY_MEGABYTES,
            "Bounds.BudgetSlack": RETRIES,
        },
    )
    serials = itertools.count()
    figures = {}
    try:
        await site.start()
        await site.wait_until_ready()
        process = site.process_manager.processes["daemon-1"]
        for kind in kinds:
            gauge = ProcessGauge(process.pid, set())
            watching = asyncio.ensure_future(gauge.watch())
            calls = [
                asyncio.ensure_future(status_of(site, route, f"{kind}.{next(serials)}"))
                for _ in range(CALLS)
            ]
            beside = await call_beside(site, calls, other_route, serials)
            statuses = collections.Counter(call.result() for call in calls)
            watching.cancel()
            figures[kind] = round(gauge.highest_megabytes), statuses, beside
            assert process.poll() is None, figures
            await asyncio.sleep(EJECTION_SECONDS)
    finally:
        await site.stop()
    return figures


# Guards against a daemon that keeps what a faulty endpoint sends until it runs out of
# memory, and ends with the requests of all other callers, and against one that is busy
# with it alone.
@pytest.mark.parametrize("case", CASES)
def test_answers_without_end_leave_memory_and_time_to_other_callers(tmp_path, case):
    figures = asyncio.run(run_kinds(tmp_path, *CASES[case]))
    print({kind: megabytes for kind, (megabytes, _, _) in figures.items()})
    for kind, (megabytes, statuses, beside) in figures.items():
        assert megabytes <= MAXIMUM_MEGABYTES, (kind, figures)
        assert set(statuses) <= ({502, 504} if kind in CHUNKS else {502}), (
            kind,
            figures,
        )
        assert {status for status, _ in beside} == {200}, (kind, figures)
        typical_seconds = statistics.median(seconds for _, seconds in beside)
        assert typical_seconds <= GOAL_SECONDS, (kind, figures)

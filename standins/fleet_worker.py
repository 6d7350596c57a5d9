"""In-process stand-in for a worker of the users' platform, after its documentation.

It registers in the store, runs a bounded number of requests at once, streams events
that can be resumed, and records every run. ``faults`` is a queue of faults for the next
requests: see `Fault`. It can name a limit on the requests that it takes a second, which
it does not enforce, say in its answers that it will stop, turn requests away with a
time to come back, and crash when it begins an answer on certain paths or parts of
prompts. While it is brittle it lets few requests wait, and crashes if it has to turn
too many away. While it is cold it is slow, which its entry and its answers to health
checks say.
"""

import asyncio
import collections
import enum
import hashlib
import time
from collections.abc import Callable, Mapping

from aiohttp import ClientConnectionResetError, web

from standins.broken_answers import ENDLESS, Answer
from standins.fleet_store import FleetStore

__all__ = [
    "EVENT_INTERVAL_SECONDS",
    "Fault",
    "FleetWorker",
    "HEALTH_PATH",
    "expected_body",
    "shared_parts",
]

EVENT_INTERVAL_SECONDS = 0.01
WORK_SECONDS = 0.01
EVENT_COUNT = 6
# How much shorter a truncated body is than its Content-Length.
TRUNCATED_BYTES = 10
SILENT_SECONDS = 30.0
SILENT_POLL_SECONDS = 0.1
# Requests that wait for a slot of a brittle worker.
BRITTLE_WAITING = 2
# In this time a brittle worker can turn away as many requests as it names.
REJECTION_WINDOW_SECONDS = 1.0
HEALTH_PATH = "/healthz"
# What follows on the beginning of an answer without end, again and again.
ENDLESS_BYTES = b"X-Odd: b\r\n" * 6_000
ENDLESS_PAUSE_SECONDS = 0.005
COLD_SLOWDOWN = 3


class Fault(enum.StrEnum):
    """A fault that a worker injects into one request.

    ``SHED`` answers 503 as not run, ``FAIL`` answers 500, ``RESET_BEFORE`` and
    ``LOSE_ANSWER`` abort the connection before and after the run, ``CUT`` truncates the
    answer, ``EXTRA`` sends a second response on the connection, ``CROSSED`` sends the
    answer of another request, and ``SILENT`` delays the answer by 30 seconds, or until
    the connection is closed.
    """

    SHED = "shed"
    FAIL = "fail"
    RESET_BEFORE = "reset_before"
    LOSE_ANSWER = "lose_answer"
    CUT = "cut"
    EXTRA = "extra"
    CROSSED = "crossed"
    SILENT = "silent"


def expected_body(attempt_id: str, *, path: str, events: int = EVENT_COUNT) -> bytes:
    """Return the complete body with which a worker answers a request."""
    if "/stream/" not in path:
        return f"{attempt_id} done".encode()
    return b"".join(_event(attempt_id, number) for number in range(1, events + 1))


def shared_parts(headers: Mapping[str, str]) -> tuple[str, ...]:
    """Return the ids of the parts of a prompt but the last."""
    parts = headers.get("Linnetladder-Prompt-Prefix", "").split(",")
    return tuple(part.partition(":")[0] for part in parts[:-1])


def _event(attempt_id: str, number: int) -> bytes:
    return f"id: {number}\ndata: {attempt_id} {number}\n\n".encode()


class FleetWorker:
    """A worker on a loopback address; ``advertised`` is the address in the store."""

    def __init__(
        self,
        *,
        name: str,
        service: str,
        store: FleetStore,
        version: str = "v1",
        zone: str = "a",
        slots: int = 16,
        event_seconds: float = EVENT_INTERVAL_SECONDS,
        cold_seconds: float = 0.0,
        host: str = "127.0.0.1",
    ):
        self.name = name
        self.service = service
        self.store = store
        self.version = version
        self.zone = zone
        self.slots = slots
        self.event_seconds = event_seconds
        self.cold_seconds = cold_seconds
        self.cold_until = 0.0
        self.cold_spells: list[tuple[float, float, bool]] = []
        self.free_slots = asyncio.Semaphore(slots)
        self.host = host
        self.state = "ready"
        self.failing = 0.0
        self.running = 0
        self.sequence = 0
        self.started_at_ms = int(time.time() * 1000)
        self.faults: collections.deque[Fault] = collections.deque()
        # Answers that are no sound responses, for the next requests that it runs.
        self.broken_answers: collections.deque[Answer] = collections.deque()
        self.broken_sent = 0
        self.runs: list[dict] = []
        self.limit: float | None = None
        self.limit_changes: list[tuple[float, float | None]] = []
        self.arrivals: list[tuple[float, str]] = []
        self.told_at: dict[str, float] = {}
        self.leaving = False
        self.leaving_told: dict[str, float] = {}
        self.restarts: list[float] = []
        self.pause_seconds: float | None = None
        self.pauses_asked: list[tuple[float, str, float]] = []
        self.crash_causes: set[str] = set()
        self.crashes: list[tuple[float, str]] = []
        self.brittle_limit: int | None = None
        self.rejections: list[tuple[float, str]] = []
        self.falls: list[list[tuple[float, str]]] = []
        self.has_fallen = False
        self.repeats_refusals = False
        self.refusals_to_repeat: dict[asyncio.Transport, bytes] = {}
        self.repeated_refusals = 0
        self.on_crash: Callable[[str], None] = _ignore
        self.advertised = ""
        self.address = ""
        self.runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start listening, without registering in the store."""
        self.runner = web.ServerRunner(web.Server(self.handle, access_log=None))
        await self.runner.setup()
        await web.TCPSite(self.runner, self.host, 0).start()
        self.address = f"{self.host}:{self.runner.addresses[0][1]}"
        self.advertised = self.advertised or self.address

    async def stop(self) -> None:
        """Stop listening and drop all connections."""
        await self.runner.cleanup()

    @property
    def cold_milliseconds(self) -> int:
        """How much longer this worker is cold, in milliseconds."""
        return max(int((self.cold_until - time.monotonic()) * 1000), 0)

    def register(self) -> None:
        """Write this worker's entry to the store."""
        self.sequence += 1
        self.store.put(
            f"servers/{self.name}",
            {
                "Service": self.service,
                "Address": self.advertised,
                "Zone": self.zone,
                "Version": self.version,
                "Slots": self.slots,
                "State": self.state,
                "ColdMs": self.cold_milliseconds,
                "Seq": self.sequence,
                "born": self.started_at_ms,
            },
        )

    def drain(self) -> None:
        """Register as draining."""
        self.state = "draining"
        self.register()

    def name_limit(self, limit: float | None) -> None:
        """Name a limit in all answers from now on, or none."""
        self.limit = limit
        self.limit_changes.append((time.monotonic(), limit))

    def become_cold(self) -> None:
        """Be cold again from now on."""
        self._begin_cold(was_unreachable=False)
        self.register()

    def _begin_cold(self, *, was_unreachable: bool) -> None:
        """Be cold from now on, if workers of this service are cold after a start.

        ``cold_spells`` holds from when and until when this worker is cold, and whether
        it was unreachable before.
        """
        if not self.cold_seconds:
            return
        now = time.monotonic()
        began = now
        if now < self.cold_until and not was_unreachable:
            began, _, was_unreachable = self.cold_spells.pop()
        self.cold_until = now + self.cold_seconds
        self.cold_spells.append((began, self.cold_until, was_unreachable))

    def restart(self, *, was_unreachable: bool = False) -> None:
        """Start again under the same name, with nothing of the life before.

        A worker that the operator drains stays so.
        """
        self.started_at_ms = max(int(time.time() * 1000), self.started_at_ms + 1)
        self.restarts.append(time.monotonic())
        self.leaving = False
        self.pause_seconds = None
        self.has_fallen = False
        self._begin_cold(was_unreachable=was_unreachable)
        self.register()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run one request, subject to the next fault in the queue."""
        body = await request.read()
        self._repeat_refusal(request)
        attempt_id = request.headers.get("Linnetladder-Attempt-Id", "")
        if request.path == HEALTH_PATH:
            headers = {"Linnetladder-Cold-Ms": str(self.cold_milliseconds)}
            return self._reply(200, attempt_id, b"", headers)
        if request.headers.get("Linnetladder-Expect-Instance") != self.name:
            return self._misdirected(attempt_id)
        self.arrivals.append((time.monotonic(), attempt_id))
        if self.pause_seconds is not None:
            return self._ask_for_pause(attempt_id, self.pause_seconds)
        fault = self.faults.popleft() if self.faults else None
        waiting = 0 if self.brittle_limit is None else BRITTLE_WAITING
        is_full = self.running >= self.slots + waiting
        if is_full:
            self._count_rejection(attempt_id)
        if fault is Fault.SHED or is_full:
            headers = {"Linnetladder-Not-Run": "1"}
            if self.repeats_refusals:
                self.refusals_to_repeat[request.transport] = _refusal(attempt_id)
            return self._reply(503, attempt_id, b"", headers)
        if fault is Fault.RESET_BEFORE:
            request.transport.abort()
            return web.Response()
        self.running += 1
        try:
            async with self.free_slots:
                self._record(request, attempt_id, body)
                return await self._run(request, attempt_id, fault)
        except ClientConnectionResetError:
            # The daemon may close the connection while the answer is being written.
            return web.Response()
        finally:
            self.running -= 1

    async def _run(
        self, request: web.BaseRequest, attempt_id: str, fault: Fault | None
    ) -> web.StreamResponse:
        await asyncio.sleep(WORK_SECONDS * self._slowdown())
        if fault is Fault.SILENT:
            await _wait_until_closed(request)
        if fault is Fault.LOSE_ANSWER:
            request.transport.abort()
            return web.Response()
        if fault is Fault.FAIL:
            return self._reply(500, attempt_id, b"failed")
        if fault is Fault.CROSSED:
            return self._reply(200, "another", expected_body("another", path="/"))
        if self.broken_answers and fault is None:
            return await self._send_broken(request, attempt_id)
        if "/stream/" in request.path:
            return await self._stream(request, attempt_id, fault)
        answer = self._reply(200, attempt_id, expected_body(attempt_id, path="/"))
        if fault is Fault.CUT:
            return await self._send_truncated(request, attempt_id, answer.body)
        if fault is Fault.EXTRA:
            await answer.prepare(request)
            await answer.write_eof()
            request.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
        return answer

    async def _send_broken(
        self, request: web.BaseRequest, attempt_id: str
    ) -> web.StreamResponse:
        """Send the bytes of a broken answer, some of which have no end."""
        self.broken_sent += 1
        build = self.broken_answers.popleft()
        body = expected_body(attempt_id, path=request.path)
        transport = request.transport
        transport.write(build(attempt_id, body))
        while build in ENDLESS and not transport.is_closing():
            transport.write(ENDLESS_BYTES)
            await asyncio.sleep(ENDLESS_PAUSE_SECONDS)
        transport.close()
        return web.Response()

    async def _send_truncated(
        self, request: web.BaseRequest, attempt_id: str, body: bytes
    ) -> web.StreamResponse:
        """Send a body shorter than its Content-Length, then abort the connection."""
        answer = web.StreamResponse(headers=self._headers(attempt_id))
        answer.content_length = len(body) + TRUNCATED_BYTES
        await answer.prepare(request)
        await answer.write(body)
        request.transport.abort()
        return answer

    async def _stream(
        self, request: web.BaseRequest, attempt_id: str, fault: Fault | None
    ) -> web.StreamResponse:
        answer = web.StreamResponse(headers=self._headers(attempt_id))
        answer.headers["Linnetladder-Confidence"] = str(_confidence(attempt_id))
        await answer.prepare(request)
        if self.crash_causes & {request.path, *shared_parts(request.headers)}:
            self.crashes.append((time.monotonic(), attempt_id))
            self.on_crash(self.name)
            request.transport.abort()
            return answer
        after = int(request.headers.get("Last-Event-Id") or 0)
        for number in range(after + 1, EVENT_COUNT + 1):
            content = _event(attempt_id, number)
            if fault is Fault.CUT and number == EVENT_COUNT // 2:
                await answer.write(content[: len(content) // 2])
                request.transport.abort()
                return answer
            await answer.write(content)
            await asyncio.sleep(self.event_seconds * self._slowdown())
        return answer

    def _record(self, request: web.BaseRequest, attempt_id: str, body: bytes) -> None:
        self.runs.append(
            {
                "time": time.monotonic(),
                "attempt": attempt_id,
                "worker": self.name,
                "version": self.version,
                "method": request.method,
                "path": request.path,
                "body": body,
                "tenant": request.headers.get("Linnetladder-Tenant", ""),
                "key": request.headers.get("Authorization", ""),
                "draining": self.state == "draining",
                "parts": shared_parts(request.headers),
            }
        )

    def _headers(self, attempt_id: str) -> dict[str, str]:
        seal = hashlib.sha256(f"{self.name}{attempt_id}".encode()).hexdigest()[:16]
        headers = {
            "Linnetladder-Attempt-Id": attempt_id,
            "Linnetladder-Server-Seal": seal,
        }
        if self.limit is not None:
            headers["Server-Limit"] = f"{self.limit:g}"
            self.told_at.setdefault(attempt_id, time.monotonic())
        if self.brittle_limit is not None:
            headers["Server-Brittle"] = str(self.brittle_limit)
        if self.leaving:
            headers["Server-Leaving"] = "1"
            self.leaving_told.setdefault(attempt_id, time.monotonic())
        return headers

    def _slowdown(self) -> float:
        return COLD_SLOWDOWN if self.cold_milliseconds else 1

    def _count_rejection(self, attempt_id: str) -> None:
        """Count a request that is turned away for want of room, and crash on too many.

        ``falls`` holds the times and ids of the requests that led to each crash.
        """
        if self.brittle_limit is None or self.has_fallen:
            return
        now = time.monotonic()
        self.rejections.append((now, attempt_id))
        since = max([now - REJECTION_WINDOW_SECONDS, *self.restarts[-1:]])
        recent = [entry for entry in self.rejections if entry[0] > since]
        if len(recent) > self.brittle_limit:
            self.has_fallen = True
            self.falls.append(recent)
            self.on_crash(self.name)

    def _repeat_refusal(self, request: web.BaseRequest) -> None:
        """Write the refusal of the request before on a connection once more."""
        refusal = self.refusals_to_repeat.pop(request.transport, None)
        if refusal is not None and request.transport is not None:
            self.repeated_refusals += 1
            request.transport.write(refusal)

    def _ask_for_pause(self, attempt_id: str, seconds: float) -> web.Response:
        """Turn a request away and ask for no others for some seconds."""
        self.pauses_asked.append((time.monotonic(), attempt_id, seconds))
        headers = {"Linnetladder-Not-Run": "1", "Retry-After": f"{seconds:g}"}
        return self._reply(503, attempt_id, b"", headers)

    def _misdirected(self, attempt_id: str) -> web.Response:
        """Answer a request for another worker, about which this one can't say more."""
        return web.Response(
            status=421, headers={"Linnetladder-Attempt-Id": attempt_id}, body=b""
        )

    def _reply(
        self,
        status: int,
        attempt_id: str,
        body: bytes,
        headers: dict[str, str] | None = None,
    ) -> web.Response:
        return web.Response(
            status=status,
            body=body,
            headers={**self._headers(attempt_id), **(headers or {})},
        )


async def _wait_until_closed(request: web.BaseRequest) -> None:
    """Wait until a request's connection is closed, which frees its slot."""
    until = time.monotonic() + SILENT_SECONDS
    while request.transport is not None and time.monotonic() < until:
        await asyncio.sleep(SILENT_POLL_SECONDS)


def _refusal(attempt_id: str) -> bytes:
    head = "HTTP/1.1 503 Service Unavailable\r\nLinnetladder-Not-Run: 1\r\n"
    named = f"Linnetladder-Attempt-Id: {attempt_id}\r\nContent-Length: 0\r\n\r\n"
    return (head + named).encode()


def _ignore(worker: str) -> None:
    """Do nothing; the default action on a crash."""


def _confidence(attempt_id: str) -> int:
    return int(hashlib.sha256(attempt_id.encode()).hexdigest()[:4], 16) % 101

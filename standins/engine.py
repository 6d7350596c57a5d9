"""Stand-in for a model engine.

It serves chat completions, as one document or as a stream, and runs a bounded number of
requests at once, ordered by priority. Runs are kept by request id, so that a stream can
be resumed, a result fetched and a run cancelled. The generated text depends on the
request alone, so callers can compute the answer that they should receive.
"""

import asyncio
import heapq
import itertools
import os
import secrets
import time

import orjson
from absl import app as absl_app
from absl import flags
from aiohttp import web

from standins.history import Recorder, extract_proof_key
from standins.registering import define_endpoint_flags, list_while_serving
from standins.serving import serve

__all__ = ["EngineStandIn", "answer_text", "build_app", "split_tokens"]

FLAGS = flags.FLAGS
CRASH_MARKER = "crash-the-endpoint"
CHARACTERS_PER_TOKEN = 6
RUN_RETENTION_SECONDS = 30.0
# Requests in flight for each slot, queued ones included, at which it answers "busy".
MAX_REQUESTS_PER_SLOT = 8
# Length of the prompt prefix that is the key of the prefix cache.
PREFIX_CHARACTERS = 1024
MAX_CACHED_PREFIXES = 8


def answer_text(messages: list[dict], model: str) -> str:
    """Return the text with which every engine answers these messages."""
    last = messages[-1].get("content") or ""
    text = last if isinstance(last, str) else orjson.dumps(last).decode()
    return f"[{model}] {text}"


def split_tokens(text: str, limit: int) -> list[str]:
    """Split the text into tokens of a fixed length and return at most ``limit``."""
    pieces = [
        text[start : start + CHARACTERS_PER_TOKEN]
        for start in range(0, len(text), CHARACTERS_PER_TOKEN)
    ]
    return pieces[:limit]


class Run:
    """A request at the engine and the stream events generated for it so far."""

    def __init__(
        self, *, request_id: str, model: str, pieces: list[str], prompt_token_count: int
    ):
        self.request_id = request_id
        self.model = model
        self.pieces = pieces
        self.prompt_tokens = prompt_token_count
        self.events: list[bytes] = []
        self.progress = asyncio.Event()
        self.finished = False
        self.task: asyncio.Task | None = None
        self.created = time.time()
        self.ended = 0.0

    def add(self, event: bytes) -> None:
        """Append a stream event and wake the responses that wait for it."""
        self.events.append(event)
        self.progress.set()
        self.progress = asyncio.Event()

    def finish(self) -> None:
        """Mark the run as finished and wake the responses that wait for it."""
        self.finished = True
        self.ended = time.monotonic()
        self.progress.set()

    def chunk(self, delta: dict, reason: str | None, usage: bool = False) -> bytes:
        """Return one chunk of the stream as a server-sent event."""
        body: dict = {
            "id": self.request_id,
            "object": "chat.completion.chunk",
            "created": int(self.created),
            "model": self.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": reason}],
        }
        if usage:
            body["usage"] = self.usage()
        return b"data: " + orjson.dumps(body) + b"\n\n"

    def usage(self) -> dict:
        """Return the token counts as the ``usage`` object of a completion."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": len(self.pieces),
            "total_tokens": self.prompt_tokens + len(self.pieces),
        }

    def completion_body(self) -> bytes:
        """Return the body of an answer that is not streamed."""
        message = {"role": "assistant", "content": "".join(self.pieces)}
        return orjson.dumps(
            {
                "id": self.request_id,
                "object": "chat.completion",
                "created": int(self.created),
                "model": self.model,
                "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
                "usage": self.usage(),
            }
        )


class Slots:
    """A semaphore whose waiters are served by priority, then in order of arrival."""

    def __init__(self, *, capacity: int):
        self.available = capacity
        self.waiters: list[tuple[int, int, asyncio.Future]] = []
        self.arrival_numbers = itertools.count()

    async def acquire(self, priority: int) -> None:
        """Wait for a slot."""
        if self.available > 0:
            self.available -= 1
            return
        waiter = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiters, (-priority, next(self.arrival_numbers), waiter))
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Pass the slot on to the next waiter, or make it available."""
        while self.waiters:
            waiter = heapq.heappop(self.waiters)[2]
            if not waiter.done():
                waiter.set_result(None)
                return
        self.available += 1


class EngineStandIn:
    """The state of an engine and the faults that it is to inject.

    ``faults`` maps the name of a fault to the number of requests that it still affects.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        failure_domain: str,
        service: str,
        versions: tuple[str, ...],
        capacity: int = 8,
        token_seconds: float = 0.0,
        prefill_seconds: float = 0.0,
        recorder: Recorder | None = None,
    ):
        self.name = name
        self.incarnation = secrets.token_hex(4)
        self.address = address
        self.failure_domain = failure_domain
        self.service = service
        self.versions = versions
        self.capacity = capacity
        self.token_seconds = token_seconds
        self.prefill_seconds = prefill_seconds
        self.recorder = recorder or Recorder(source=name)
        self.slots = Slots(capacity=capacity)
        self.runs: dict[str, Run] = {}
        self.in_flight = 0
        self.leaving = False
        self.faults: dict[str, int] = {}
        self.prefix_cache: dict[str, None] = {}
        self.runs_started = 0

    def instance_entry(self) -> dict:
        """Return the engine's entry in the platform's instance list."""
        return {
            "name": self.name,
            "incarnation": self.incarnation,
            "address": self.address,
            "failure_domain": self.failure_domain,
            "service": self.service,
            "versions": list(self.versions),
            "capacity": self.capacity,
            "state": "leaving" if self.leaving else "live",
        }

    def load(self) -> dict:
        """Return the engine's load report."""
        report = self.instance_entry()
        del report["state"]
        report["in_flight"] = self.in_flight
        report["leaving"] = self.leaving
        return report

    def consume_fault(self, name: str) -> bool:
        """Return whether to inject a fault now, and count one injection down."""
        remaining = self.faults.get(name, 0)
        if remaining <= 0:
            return False
        self.faults[name] = remaining - 1
        return True

    def start_run(self, request_id: str, body: dict, priority: int) -> Run:
        """Start a request, or return the existing run with the same id."""
        existing = self.runs.get(request_id)
        if existing is not None:
            return existing
        model = body["model"]
        if self.consume_fault("wrong_version"):
            model = model.partition("@")[0] + "@0.0"
        text = answer_text(body["messages"], body["model"])
        pieces = split_tokens(text, int(body.get("max_tokens") or 4096))
        prompt_token_count = (
            sum(len(str(m.get("content"))) for m in body["messages"]) // 4
        )
        run = Run(
            request_id=request_id,
            model=model,
            pieces=pieces,
            prompt_token_count=prompt_token_count,
        )
        self.runs[request_id] = run
        self.in_flight += 1
        self.runs_started += 1
        key = extract_proof_key(text)
        self.recorder.record_event(
            "run", request_id=request_id, version=body["model"], key=key
        )
        if CRASH_MARKER in text:
            self.recorder.record_event("crash", request_id=request_id, key=key)
            os._exit(1)
        prefix = str(body["messages"][0].get("content"))[:PREFIX_CHARACTERS]
        run.task = asyncio.ensure_future(self._generate(run, priority, prefix))
        self._evict_finished_runs()
        return run

    async def _generate(self, run: Run, priority: int, prefix: str) -> None:
        try:
            await self.slots.acquire(priority)
            try:
                await self._prefill(prefix)
                for piece in run.pieces:
                    if self.token_seconds:
                        await asyncio.sleep(self.token_seconds)
                    run.add(run.chunk({"content": piece}, None))
                run.add(run.chunk({}, "stop", usage=True))
            finally:
                self.slots.release()
            self.recorder.record_event("finish", request_id=run.request_id)
        finally:
            self.in_flight -= 1
            run.finish()

    async def _prefill(self, prefix: str) -> None:
        """Wait for the prefill time unless the prompt's prefix is cached."""
        if prefix in self.prefix_cache:
            del self.prefix_cache[prefix]
        elif self.prefill_seconds:
            await asyncio.sleep(self.prefill_seconds)
        self.prefix_cache[prefix] = None
        while len(self.prefix_cache) > MAX_CACHED_PREFIXES:
            del self.prefix_cache[next(iter(self.prefix_cache))]

    def _evict_finished_runs(self) -> None:
        limit = time.monotonic() - RUN_RETENTION_SECONDS
        while self.runs:
            oldest = next(iter(self.runs.values()))
            if not oldest.finished or oldest.ended > limit:
                return
            del self.runs[oldest.request_id]


class EngineHandlers:
    """HTTP handlers of the engine."""

    def __init__(self, *, engine: EngineStandIn):
        self.engine = engine

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Run a chat completion."""
        engine = self.engine
        request_id = request.headers.get("X-Request-Id") or secrets.token_hex(8)
        body = orjson.loads(await request.read())
        refusal = self._refuse(request_id, body)
        if refusal is not None:
            return refusal
        priority = int(request.headers.get("Linnetladder-Priority", "0"))
        run = engine.start_run(request_id, body, priority)
        if engine.consume_fault("silent"):
            await asyncio.sleep(3600)
        if body.get("stream"):
            return await self._send_stream(request, run, 0)
        return await self._send_completion(request, run)

    async def status(self, request: web.Request) -> web.Response:
        """Return whether a request is running, finished or unknown."""
        run = self.engine.runs.get(request.match_info["request_id"])
        state = "unknown"
        if run is not None:
            state = "finished" if run.finished else "running"
        return web.json_response({"state": state})

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Send a run's stream events after a position, or its complete answer."""
        run = self.engine.runs.get(request.match_info["request_id"])
        if run is None:
            return web.json_response({"error": "unknown request"}, status=404)
        after = int(request.query.get("after", "0"))
        if request.headers.get("Accept") == "text/event-stream":
            return await self._send_stream(request, run, after)
        return await self._send_completion(request, run)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a running request."""
        run = self.engine.runs.get(request.match_info["request_id"])
        if run is not None and not run.finished and run.task is not None:
            self.engine.recorder.record_event("cancel", request_id=run.request_id)
            run.task.cancel()
        return web.json_response({})

    async def load(self, request: web.Request) -> web.Response:
        """Report the engine's load."""
        return web.json_response(self.engine.load())

    async def control(self, request: web.Request) -> web.Response:
        """Set the faults, the leaving state or the speed, for the demo and tests."""
        changes = await request.json()
        self.engine.faults.update(changes.get("faults", {}))
        self.engine.leaving = changes.get("leaving", self.engine.leaving)
        self.engine.token_seconds = changes.get(
            "token_seconds", self.engine.token_seconds
        )
        return web.json_response(self.engine.load())

    async def history(self, request: web.Request) -> web.Response:
        """Return the recorded events."""
        return web.json_response(self.engine.recorder.events)

    def _refuse(self, request_id: str, body: dict) -> web.Response | None:
        engine = self.engine
        headers = {"X-Request-Id": request_id, "X-Ran": "no"}
        if request_id in engine.runs:
            return None
        if engine.leaving:
            headers["X-Endpoint-Leaving"] = "1"
            return web.json_response({"error": "leaving"}, status=503, headers=headers)
        if body.get("model") not in engine.versions:
            error = {"error": f"version {body.get('model')!r} is not loaded"}
            return web.json_response(error, status=404, headers=headers)
        if engine.in_flight >= engine.capacity * MAX_REQUESTS_PER_SLOT:
            return web.json_response({"error": "busy"}, status=503, headers=headers)
        return None

    def _headers(self, run: Run) -> dict[str, str]:
        request_id = run.request_id
        if self.engine.consume_fault("crossed"):
            request_id = "req-of-somebody-else"
        return {"X-Request-Id": request_id, "X-Served-Version": run.model}

    async def _send_completion(self, request: web.Request, run: Run) -> web.Response:
        while not run.finished:
            await run.progress.wait()
        body = run.completion_body()
        headers = self._headers(run)
        if self.engine.consume_fault("crossed_body"):
            body = body.replace(run.request_id.encode(), b"req-of-somebody-else")
        if self.engine.consume_fault("cut"):
            headers["Content-Length"] = str(len(body))
            response = web.StreamResponse(headers=headers)
            await response.prepare(request)
            await response.write(body[: len(body) // 2])
            request.transport.abort()
            return response
        headers["Content-Type"] = "application/json"
        return web.Response(body=body, headers=headers)

    async def _send_stream(
        self, request: web.Request, run: Run, after: int
    ) -> web.StreamResponse:
        headers = self._headers(run)
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        sent = after
        cut = self.engine.consume_fault("cut")
        try:
            while True:
                progress = run.progress
                unsent = run.events[sent:]
                if unsent:
                    await response.write(b"".join(unsent))
                    sent += len(unsent)
                    if cut:
                        request.transport.abort()
                        return response
                    continue
                if run.finished:
                    break
                await progress.wait()
            await response.write(b"data: [DONE]\n\n")
            await response.write_eof()
        except ConnectionError:
            return response
        return response


def build_app(engine: EngineStandIn) -> web.Application:
    """Return the HTTP application of an engine."""
    handlers = EngineHandlers(engine=engine)
    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.router.add_post("/v1/chat/completions", handlers.complete)
    app.router.add_get("/v1/requests/{request_id}", handlers.status)
    app.router.add_delete("/v1/requests/{request_id}", handlers.cancel)
    app.router.add_post("/v1/requests/{request_id}/resume", handlers.resume)
    app.router.add_get("/load", handlers.load)
    app.router.add_post("/control", handlers.control)
    app.router.add_get("/history", handlers.history)
    return app


def main(argv: list[str]) -> None:
    """Serve until stopped and be listed at the platform for that time."""
    engine = EngineStandIn(
        name=FLAGS.name,
        address=FLAGS.advertise or f"127.0.0.1:{FLAGS.port}",
        failure_domain=FLAGS.failure_domain,
        service=FLAGS.service,
        versions=tuple(FLAGS.versions),
        capacity=FLAGS.capacity,
        token_seconds=FLAGS.token_seconds,
        prefill_seconds=FLAGS.prefill_seconds,
        recorder=Recorder(source=FLAGS.name, path=FLAGS.history),
    )
    app = build_app(engine)
    list_while_serving(app, FLAGS.platform_url, engine.instance_entry)
    serve(app, port=FLAGS.port)


if __name__ == "__main__":
    define_endpoint_flags(name="engine", port=9000, capacity=8)
    flags.DEFINE_string("advertise", "", "Address to be listed with, if another.")
    flags.DEFINE_list("versions", [], "Versions it serves, as model@version.")
    flags.DEFINE_float("token_seconds", 0.0, "Time between two tokens.")
    flags.DEFINE_float("prefill_seconds", 0.0, "Time of a prefix that is not cached.")
    absl_app.run(main)

"""The HTTP server for callers."""

import asyncio
import dataclasses

import orjson
from aiohttp import web
from returns.result import Failure, Result, Success

from linnetladder.coordination import AddressLimits, Refused, Router
from linnetladder.coordination.routing.exchanges import (
    AnswerHead,
    StreamExchange,
    WholeExchange,
)
from linnetladder.coordination.routing.requests import CallerRequest
from linnetladder.errors import ErrorKind, Ran, Refusal
from linnetladder.protocol import (
    Submission,
    encode_problem,
    parse_chat,
    parse_credential,
    parse_service_call,
    problem_event,
    retry_after,
)
from linnetladder.protocol import headers as header_names
from linnetladder.protocol.problems import PROBLEM_CONTENT_TYPE
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics, log_failure
from linnetladder.transport.problem_server import ProblemServer

__all__ = ["CallerServer"]

CHAT_PATH = "/v1/chat/completions"
SERVICE_PREFIX = "/v1/services/"
TICKET_PATH = "/v1/tickets"
HEALTH_PATH = "/healthz"
SLOW_READER_TIMEOUT_SECONDS = 30.0
KEEP_ALIVE_SECONDS = 75.0
UNROUTED_REQUEST_ID = "unrouted"


class CallerServer:
    """Parse callers' requests, pass them to the router and write its answers."""

    def __init__(
        self,
        *,
        router: Router,
        limits: AddressLimits,
        clock: Clock,
        metrics: Metrics,
        header_bytes: int,
        body_bytes: int,
        body_seconds: float,
    ):
        self.router = router
        self.limits = limits
        self.clock = clock
        self.metrics = metrics
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.body_seconds = body_seconds
        self.active_requests = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.runner: web.ServerRunner | None = None

    async def start(self, *, address: str, port: int) -> int:
        """Listen and return the port; raise `OSError` if the port can't be bound."""
        server = ProblemServer(
            self._handle,
            metrics=self.metrics,
            handler_cancellation=True,
            keepalive_timeout=KEEP_ALIVE_SECONDS,
            max_field_size=self.header_bytes,
            max_line_size=self.header_bytes,
            access_log=None,
        )
        self.runner = web.ServerRunner(server)
        await self.runner.setup()
        site = web.TCPSite(self.runner, address, port, backlog=1024)
        await site.start()
        return self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening and close all remaining connections."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def wait_idle(self, *, seconds: float) -> bool:
        """Wait until no request is in flight; return false after ``seconds``."""
        try:
            async with asyncio.timeout(seconds):
                await self.idle.wait()
        except TimeoutError:
            return False
        return True

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.active_requests += 1
        self.idle.clear()
        try:
            return await self._respond(request)
        except asyncio.CancelledError:
            raise
        except ConnectionError:
            return web.Response(status=499)
        except Exception as error:
            log_failure("request handler failed", error)
            detail = "the daemon failed; whether the request ran is not known"
            return self._refuse_unrouted(
                request, Refusal(ErrorKind.INTERNAL, detail, Ran.UNKNOWN)
            )
        finally:
            self.active_requests -= 1
            if self.active_requests == 0:
                self.idle.set()

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        received = self.clock.monotonic()
        if request.path == HEALTH_PATH:
            return web.Response(text="ok\n")
        wait = self.limits.take(request.remote or "", received)
        if wait > 0:
            detail = f"address {request.remote!r} sends too many requests"
            return self._refuse_unrouted(
                request,
                Refusal(
                    ErrorKind.ADDRESS_RATE_LIMITED, detail, retry_after_seconds=wait
                ),
            )
        if request.path == TICKET_PATH and request.method == "POST":
            return self._issue_ticket(request)
        parsed = await self._parse(request, received)
        if isinstance(parsed, Failure):
            return self._refuse_unrouted(request, parsed.failure())
        exchange = await self.router.answer(parsed.unwrap())
        if isinstance(exchange, StreamExchange):
            return await self._write_stream(request, exchange)
        if isinstance(exchange, Refused):
            return self._problem_response(exchange)
        return self._whole_response(exchange)

    def _issue_ticket(self, request: web.BaseRequest) -> web.Response:
        """Issue a ticket for one request that is not idempotent."""
        digest = parse_credential(request.headers)
        if isinstance(digest, Failure):
            return self._refuse_unrouted(request, digest.failure())
        issued = self.router.issue_ticket(digest.unwrap())
        if isinstance(issued, Failure):
            return self._refuse_unrouted(request, issued.failure())
        text, ticket = issued.unwrap()
        body = {"ticket": text, "expires_seconds": ticket.expires_seconds}
        return web.Response(body=orjson.dumps(body), content_type="application/json")

    async def _parse(
        self, request: web.BaseRequest, received: float
    ) -> Result[CallerRequest, Refusal]:
        path = request.path
        is_chat = path == CHAT_PATH
        service, _, service_path = path.removeprefix(SERVICE_PREFIX).partition("/")
        if not is_chat and not (path.startswith(SERVICE_PREFIX) and service):
            return Failure(
                Refusal(ErrorKind.UNKNOWN_PATH, f"path {path!r} does not exist")
            )
        if is_chat and request.method != "POST":
            detail = f"method {request.method!r} is not allowed at {path!r}"
            return Failure(Refusal(ErrorKind.METHOD_NOT_ALLOWED, detail))
        body = await self._read_body(request)
        if isinstance(body, Failure):
            return body
        submission = Submission(
            method=request.method,
            path=request.raw_path,
            headers=request.headers,
            body=body.unwrap(),
            received=received,
        )
        if is_chat:
            return parse_chat(submission)
        query = f"?{request.rel_url.raw_query_string}" if request.query_string else ""
        return parse_service_call(
            submission, service=service, path=f"/{service_path}{query}"
        )

    async def _read_body(self, request: web.BaseRequest) -> Result[bytes, Refusal]:
        """Read a body; refuse it if it exceeds the size limit or the time limit."""
        if (request.content_length or 0) > self.body_bytes:
            return Failure(self._body_too_large())
        if not request.body_exists:
            return Success(b"")
        if request.content.is_eof():
            return Success(request.content.read_nowait())
        chunks: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(self.body_seconds):
                while chunk := await request.content.readany():
                    size += len(chunk)
                    if size > self.body_bytes:
                        return Failure(self._body_too_large())
                    chunks.append(chunk)
        except TimeoutError:
            detail = f"the body did not arrive within {self.body_seconds:g} s"
            return Failure(Refusal(ErrorKind.REQUEST_TIMEOUT, detail))
        return Success(chunks[0] if len(chunks) == 1 else b"".join(chunks))

    def _body_too_large(self) -> Refusal:
        detail = f"the body exceeds {self.body_bytes} bytes"
        return Refusal(ErrorKind.BODY_TOO_LARGE, detail)

    def _whole_response(self, exchange: WholeExchange) -> web.Response:
        headers = _answer_headers(exchange.head)
        headers["Content-Type"] = exchange.content_type
        return web.Response(status=exchange.status, body=exchange.body, headers=headers)

    async def _write_stream(
        self, request: web.BaseRequest, exchange: StreamExchange
    ) -> web.StreamResponse:
        headers = _answer_headers(exchange.head)
        headers["Content-Type"] = "text/event-stream"
        headers["Cache-Control"] = "no-store"
        response = web.StreamResponse(headers=headers)
        try:
            await response.prepare(request)
            async for chunk in exchange.chunks():
                data = problem_event(chunk) if isinstance(chunk, Refused) else chunk
                async with asyncio.timeout(SLOW_READER_TIMEOUT_SECONDS):
                    await response.write(data)
            await response.write_eof()
        except (ConnectionError, TimeoutError, asyncio.CancelledError):
            await exchange.abandon()
            raise
        return response

    def _refuse_unrouted(
        self, request: web.BaseRequest, refusal: Refusal
    ) -> web.Response:
        """Refuse a request that has not reached the router.

        A request with an idempotency key or a ticket may have run when it was sent
        before, so ``ran`` is ``unknown`` in its refusal.
        """
        has_idempotency_key = header_names.IDEMPOTENCY_KEY in request.headers
        if refusal.ran is Ran.NO and (
            has_idempotency_key or header_names.TICKET in request.headers
        ):
            refusal = dataclasses.replace(refusal, ran=Ran.UNKNOWN)
        self.metrics.count("requests")
        self.metrics.count("refused", label=refusal.kind)
        self.metrics.count("refused_ran", label=refusal.ran)
        refused = Refused(request_id=UNROUTED_REQUEST_ID, refusal=refusal, receipt="")
        return self._problem_response(refused)

    def _problem_response(self, refused: Refused) -> web.Response:
        headers = {
            "Content-Type": PROBLEM_CONTENT_TYPE,
            header_names.REQUEST_ID: refused.request_id,
        }
        if refused.receipt:
            headers[header_names.RECEIPT] = refused.receipt
        retry_after_value = retry_after(refused.refusal)
        if retry_after_value:
            headers["Retry-After"] = retry_after_value
        if self.router.draining:
            headers["Connection"] = "close"
        return web.Response(
            status=refused.refusal.status, body=encode_problem(refused), headers=headers
        )


def _answer_headers(head: AnswerHead) -> dict[str, str]:
    headers = {
        header_names.REQUEST_ID: head.request_id,
        header_names.SERVED_VERSION: head.target,
        header_names.RECEIPT: head.receipt,
    }
    if head.session_token:
        headers[header_names.SESSION] = head.session_token
        headers[header_names.SESSION_STATE] = head.session_state
    return headers

"""The HTTP server that callers connect to."""

import asyncio
import fcntl
import struct
import termios

from aiohttp.http_exceptions import LineTooLong
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from linnetladder.errors import ErrorKind, Ran, Refusal
from linnetladder.forwarding.coordination.caller_buffers import (
    CHECK_SECONDS,
    CallerBuffer,
    CallerBuffers,
)
from linnetladder.forwarding.coordination.calls import Reply
from linnetladder.forwarding.coordination.forwarder import Forwarder
from linnetladder.forwarding.coordination.in_force import TableInForce
from linnetladder.forwarding.coordination.planned_stop import shutdown_refusal
from linnetladder.forwarding.protocol import CallerCodec, InvalidHeadError
from linnetladder.forwarding.state import CallerLimits
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics, log_change, log_failure, log_request

__all__ = ["ForwardingServer"]

LISTEN_BACKLOG = 1024
READ_BUFFER_BYTES = 256 * 1024
# At least the longest idle limit of any configuration, so that no connection is closed
# while its caller still observes the limit in force.
KEEPALIVE_SECONDS = 120.0
BODY_TIMEOUT_SECONDS = 10.0
REFUSAL_CONTENT_TYPE = "text/plain; charset=utf-8"


class HttpReply(Reply, CallerBuffer):
    """Sends the answer to one aiohttp request.

    ``written`` are the bytes that were passed to the caller's transport.
    """

    def __init__(self, *, request: BaseRequest, closes_connection: bool):
        self.request = request
        self.closes_connection = closes_connection
        self.written = 0
        self.response: StreamResponse | None = None
        self.begun = False

    async def send(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        """Send a complete answer, unless another one has begun."""
        if not self._begins():
            return
        self.written = len(body)
        self.response = Response(status=status, headers=headers, body=body)
        await self._send()

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as plain text, unless an answer has begun."""
        if not self._begins():
            return
        headers = {"Content-Type": REFUSAL_CONTENT_TYPE}
        if refusal.retry_after_seconds is not None and refusal.ran is Ran.NO:
            headers["Retry-After"] = f"{refusal.retry_after_seconds:.2f}"
        text = f"{refusal.kind}: {refusal.title}; ran: {refusal.ran}; {refusal.detail}"
        self.response = Response(
            status=refusal.status, headers=headers, body=text.encode()
        )
        await self._send()

    async def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Send the head of a stream, unless an answer has begun."""
        if not self._begins():
            return
        self.response = StreamResponse(status=status, headers=headers)
        self._apply_connection_close()
        await self.response.prepare(self.request)

    async def write(self, data: bytes) -> None:
        """Send a chunk of a stream.

        It waits while more than 64 KiB are buffered, so that the stream does not read
        further from its endpoint meanwhile.
        """
        self.written += len(data)
        await self.response.write(data)

    async def finish(self) -> None:
        """Send the end of a complete stream."""
        await self.response.write_eof()

    def held_bytes(self) -> int:
        """Return the bytes of the answer that the caller has not taken yet."""
        return self._buffered_bytes() + self.read_ahead_bytes()

    def taken_bytes(self) -> int:
        """Return the bytes that the caller has acknowledged so far.

        The transport alone says too little: the system takes further bytes only once a
        third of its own buffer, of several megabytes, is free. A slow caller would seem
        to take nothing for seconds.
        """
        return self.written - self._buffered_bytes() - self._unacknowledged_bytes()

    def _unacknowledged_bytes(self) -> int:
        """Return the bytes in the system's buffer of the caller's socket."""
        transport = self.request.transport
        if transport is None:
            return 0
        connection = transport.get_extra_info("socket")
        size = struct.pack("i", 0)
        try:
            size = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, size)
        except OSError:
            return 0
        return struct.unpack("i", size)[0]

    def _buffered_bytes(self) -> int:
        transport = self.request.transport
        return transport.get_write_buffer_size() if transport is not None else 0

    def end(self) -> None:
        """Abort the connection, which frees what is held for it."""
        self.abort_response()

    def abort_response(self) -> None:
        """Abort the connection, so that the answer does not look complete."""
        transport = self.request.transport
        if transport is not None:
            transport.abort()

    def _begins(self) -> bool:
        """Return whether no answer has begun; one that has is aborted.

        A second answer would end up in the middle of the first one.
        """
        if self.begun:
            log_change("answer aborted by another one", request=self.attempt_id)
            self.abort_response()
            return False
        self.begun = True
        return True

    async def _send(self) -> None:
        self._apply_connection_close()
        await self.response.prepare(self.request)
        await self.response.write_eof()

    def _apply_connection_close(self) -> None:
        if self.closes_connection:
            self.response.force_close()
            self.response.headers["Connection"] = "close"


class ForwardingHandler(RequestHandler):
    """Handles one connection and answers requests that can't be parsed."""

    def is_idle(self) -> bool:
        """Return whether no request is being read or answered."""
        waiting = self._waiter is not None and not self._waiter.done()
        return waiting and not self._messages

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Return an answer with a documented error kind that closes the connection."""
        if request.writer.output_size > 0:
            raise ConnectionError("can't send an error: the answer has already begun")
        kind = ErrorKind.INTERNAL
        if isinstance(exc, LineTooLong):
            kind = ErrorKind.HEADER_TOO_LARGE
        elif status < 500:
            kind = ErrorKind.MALFORMED_HTTP
        if kind is ErrorKind.INTERNAL and exc is not None:
            log_failure("request failed", exc)
        refusal = Refusal(kind, str(message or exc), Ran.UNKNOWN)
        log_request("unreadable", kind=kind, detail=refusal.detail[:200])
        response = Response(
            status=refusal.status, text=f"{kind}: {refusal.title}; ran: unknown"
        )
        response.force_close()
        return response


class HandlerServer(Server):
    """A server whose connections are handled by `ForwardingHandler`."""

    def __call__(self) -> RequestHandler:
        """Return the handler for a new connection."""
        return ForwardingHandler(self, loop=self._loop, **self._kwargs)


class ForwardingServer:
    """Reads callers' requests, passes them to the forwarder and sends its answers."""

    def __init__(
        self,
        *,
        forwarder: Forwarder,
        in_force: TableInForce,
        codec: CallerCodec,
        buffers: CallerBuffers,
        clock: Clock,
        metrics: Metrics,
    ):
        self.forwarder = forwarder
        self.in_force = in_force
        self.codec = codec
        self.buffers = buffers
        self.clock = clock
        self.metrics = metrics
        self.active_requests = 0
        self.leaving = False
        self.refusing = False
        self.handlers: HandlerServer | None = None
        self.server: asyncio.Server | None = None
        self.check_task: asyncio.Task | None = None

    async def start(self, *, address: str, port: int) -> None:
        """Listen on a port; raise `OSError` if that fails."""
        limits = CallerLimits()
        self.handlers = HandlerServer(
            self.handle,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_SECONDS,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            max_headers=512,
            lingering_time=0.0,
            access_log=None,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
        )
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self.handlers, host=address, port=port, backlog=LISTEN_BACKLOG
        )
        self.check_task = asyncio.ensure_future(self._check_buffers())

    async def _check_buffers(self) -> None:
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            self.buffers.check()

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self.check_task is not None:
            self.check_task.cancel()
        if self.server is not None:
            self.server.close()
        if self.handlers is not None:
            await self.handlers.shutdown(0.1)

    def refuse_new_requests(self) -> None:
        """Close idle connections and refuse all further requests.

        Connections with an answer in progress stay open; later requests on them are
        refused.
        """
        self.refusing = True
        for handler in self.handlers.connections:
            if handler.is_idle():
                handler.force_close()

    async def handle(self, request: BaseRequest) -> StreamResponse:
        """Answer one request."""
        self.active_requests += 1
        reply = HttpReply(request=request, closes_connection=self.leaving)
        self.buffers.add(reply)
        received = self.clock.monotonic()
        try:
            if self.refusing:
                await reply.refuse(shutdown_refusal())
            else:
                await self._answer(request, reply, received)
        finally:
            self.active_requests -= 1
            self.buffers.remove(reply)
        if reply.response is None:
            raise ConnectionError("the answer was aborted before its head was sent")
        return reply.response

    async def _answer(
        self, request: BaseRequest, reply: HttpReply, received: float
    ) -> None:
        try:
            head = self.codec.decode_request_head(
                request.method, request.raw_path, request.headers
            )
        except InvalidHeadError as problem:
            detail = str(problem)
            log_request("refused", kind=ErrorKind.INVALID_HEADER, detail=detail)
            await reply.refuse(Refusal(ErrorKind.INVALID_HEADER, detail))
            return
        reply.attempt_id = head.attempt_id
        body, refusal = await self._read_body(request)
        if refusal is not None:
            log_request("refused", request=head.attempt_id, kind=refusal.kind)
            await reply.refuse(refusal)
            return
        reply.closes_connection = reply.closes_connection or self.leaving
        await self.forwarder.answer(head, body, received=received, reply=reply)

    async def _read_body(self, request: BaseRequest) -> tuple[bytes, Refusal | None]:
        """Return the whole body, or the refusal if it is too large or too slow."""
        if not request.body_exists:
            return b"", None
        table = self.in_force.table
        limits = table.limits if table is not None else CallerLimits()
        content = bytearray()
        try:
            async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
                async for chunk in request.content.iter_any():
                    content += chunk
                    if len(content) > limits.body_bytes:
                        detail = f"the body exceeds {limits.body_bytes} bytes"
                        return b"", Refusal(ErrorKind.BODY_TOO_LARGE, detail)
        except TimeoutError:
            detail = f"the body was not complete after {BODY_TIMEOUT_SECONDS:g} s"
            return b"", Refusal(ErrorKind.REQUEST_TIMEOUT, detail)
        return bytes(content), None

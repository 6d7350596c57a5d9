"""HTTP servers whose clients can't take all descriptors, memory or time.

A port accepts a number of connections. Beyond it those are closed first that wait for a
request or have not sent all of one, the longest idle first. A head has to be complete
within the limits of time and size, and a connection may be idle for a limited time.
While requests wait behind another one, no more is read from their connection.
"""

import abc
import asyncio
import contextlib
import functools
import socket
import time
from collections.abc import Awaitable, Callable

from aiohttp.http_exceptions import LineTooLong
from aiohttp.http_parser import HttpRequestParser
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from linnetladder.errors import ErrorKind, Ran, Refusal
from linnetladder.forwarding.coordination.memory_account import (
    MemoryAccount,
    MemoryHolder,
)
from linnetladder.forwarding.state import CallerLimits
from linnetladder.telemetry import Metrics, RefusalLog, log_failure, log_request

__all__ = [
    "BodySource",
    "GuardedHandler",
    "GuardedServer",
    "READ_BUFFER_BYTES",
    "default_limits",
]

LISTEN_BACKLOG = 1024
# Connections that are accepted in one turn of the event loop, in which no other one is
# closed.
ACCEPTS_PER_TURN = 16
ACCEPT_PAUSE_SECONDS = 0.1
READ_BUFFER_BYTES = 32 * 1024
# Bytes that the system receives for a connection that is not read.
RECEIVE_BUFFER_BYTES = 64 * 1024
# The parser's own limits; those of the configuration are checked here.
MAXIMUM_HEAD_BYTES = 1024 * 1024
MAXIMUM_HEADERS = 512
# Requests that are parsed while another one is answered.
MAXIMUM_WAITING_REQUESTS = 1
CHECK_SECONDS = 0.2
# After a longer pause of the process, bytes have arrived that are not read yet.
LATE_CHECK_SECONDS = 1.0
CHECKS_PER_LOG_LINE = 5
RETRY_AFTER_SECONDS = 1.0
# aiohttp's own limit; the one of the configuration is checked here.
KEEPALIVE_SECONDS = 600.0
HEAD_END = b"\r\n\r\n"
FULL_ANSWER = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    b"Retry-After: %.2f\r\nConnection: close\r\n\r\n" % RETRY_AFTER_SECONDS
)


class RejectedHeadError(Exception):
    """A head that is not complete in time, or is too large."""

    def __init__(self, refusal: Refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal


class BodySource(abc.ABC):
    """Bodies that are being read, which hold a connection each."""

    @abc.abstractmethod
    def end_stalled(self) -> bool:
        """End the body that has stalled for longest; return false if none has."""


class GuardedHandler(RequestHandler):
    """Handles one connection of a `GuardedServer`.

    ``head_bytes`` counts what has arrived of a head that is not complete, since
    ``head_began_at``, and ``head_tail`` are its last bytes. ``active_at`` is the time
    at which the connection was last seen with a request or with new bytes.
    ``read_seconds`` is the time spent on parsing.
    """

    def __init__(self, server: "GuardedServer", **options: object):
        super().__init__(server, **options)
        self.guard = server
        self._max_msg_queue_size = MAXIMUM_WAITING_REQUESTS
        self._msg_queue_resume_size = 0
        self._parser = HttpRequestParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            max_line_size=MAXIMUM_HEAD_BYTES,
            max_field_size=MAXIMUM_HEAD_BYTES,
            max_headers=MAXIMUM_HEADERS,
            payload_exception=RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=MAXIMUM_WAITING_REQUESTS,
        )
        self.client = ""
        self.active_at = self._loop.time()
        # The client may observe this limit until its next request, if it is the longer.
        self.idle_seconds = server.limits().idle_seconds
        self.head_bytes = 0
        self.head_began_at: float | None = None
        self.head_tail = b""
        self.last_payload = EMPTY_PAYLOAD
        self.last_read_bytes = 0
        self.read_ahead_bytes = 0
        self.read_seconds = 0.0
        self.rejected = False
        self.started = False

    async def start(self) -> None:
        """Answer the requests of the connection."""
        self.started = True
        await super().start()

    def is_idle(self) -> bool:
        """Return whether no request is being read or answered."""
        waiting = self._waiter is not None and not self._waiter.done()
        return waiting and not self._messages

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        name = transport.get_extra_info("peername")
        self.client = str(name[0]) if name else ""
        self.guard.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Count the connection no longer."""
        self.guard.discard(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, unless its head was rejected."""
        if self.rejected:
            return
        if data:
            self.last_read_bytes = len(data)
            self.active_at = self._loop.time()
            self.guard.note_active(self)
        awaits_head = self.last_payload.is_eof()
        if awaits_head and self._exceeds_head_limit(data):
            self.reject(self.guard.refuse_large_head())
            return
        count = self._request_count
        began = time.perf_counter()
        super().data_received(data)
        self.read_seconds += time.perf_counter() - began
        if self._request_count > count and self._messages:
            self.last_payload = self._messages[-1][1]
            self.head_bytes, self.head_began_at, self.head_tail = 0, None, b""
        elif awaits_head and data:
            self.head_bytes += len(data)
            self.head_tail = (self.head_tail + data)[1 - len(HEAD_END) :]
            if self.head_began_at is None:
                self.head_began_at = self.active_at
        if self._messages and self._is_answering():
            self._hold_read_ahead()

    def _is_answering(self) -> bool:
        """Return whether a request has been taken from the queue and not ended."""
        return self.started and self._waiter is None

    def _exceeds_head_limit(self, data: bytes) -> bool:
        """Return whether a head is too large with what has arrived of it now."""
        limit = self.guard.limits().header_bytes
        size = self.head_bytes + len(data)
        if size <= limit:
            return False
        # The end of the head may be in two parts.
        end = (self.head_tail + data).find(HEAD_END)
        if end >= 0:
            size = self.head_bytes - len(self.head_tail) + end
        return size > limit

    def take_read_seconds(self) -> float:
        """Return the time spent on parsing since the last call."""
        seconds, self.read_seconds = self.read_seconds, 0.0
        return seconds

    def reject(self, refusal: Refusal) -> None:
        """Answer an incomplete head with a refusal after the requests before it."""
        self.rejected = True
        error = _ErrInfo(refusal.status, RejectedHeadError(refusal), refusal.detail)
        self._messages.append((error, EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def shed_requests(self) -> None:
        """Forget the requests behind the current one, and close after its answer."""
        self._messages.clear()
        self._close = True
        self.guard.release_read_ahead(self)

    @property
    def is_closing(self) -> bool:
        """Whether the connection closes after the current answer."""
        return self._close

    def _hold_read_ahead(self) -> None:
        """Count what waits behind a request in progress, unless it is counted."""
        if self.read_ahead_bytes or self._close:
            return
        queued = sum(payload.total_bytes for _, payload in self._messages)
        size = queued + self.last_read_bytes + RECEIVE_BUFFER_BYTES
        self.guard.hold_read_ahead(self, size)

    def _resume_reading_for_buffer(self) -> None:
        self.guard.release_read_ahead(self)
        super()._resume_reading_for_buffer()

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
        if isinstance(exc, RejectedHeadError):
            response = refusal_response(exc.refusal)
            response.force_close()
            return response
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


def default_limits() -> CallerLimits:
    """Return the limits of a port for which the configuration gives none."""
    return CallerLimits()


class GuardedServer(Server):
    """Listens on one port for at most ``maximum_connections``.

    ``port_name`` names the port in logs and counters, ``limits`` returns the limits in
    force, and ``bodies`` ends bodies that have stalled if a connection is needed.
    """

    def __init__(
        self,
        handle: Callable[[BaseRequest], Awaitable[StreamResponse]],
        *,
        port_name: str,
        maximum_connections: int,
        metrics: Metrics,
        limits: Callable[[], CallerLimits] = default_limits,
        memory: MemoryAccount | None = None,
        bodies: BodySource | None = None,
    ):
        super().__init__(
            handle,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_SECONDS,
            lingering_time=0.0,
            access_log=None,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
        )
        self.port_name = port_name
        self.maximum_connections = maximum_connections
        self.limits = limits
        self.memory = memory
        self.bodies = bodies
        self.refusals = RefusalLog(port=port_name, metrics=metrics)
        # Open connections, from the one that has been inactive for longest.
        self.open: dict[GuardedHandler, None] = {}
        self.reading_ahead: dict[GuardedHandler, None] = {}
        self.connecting: set[asyncio.Task] = set()
        self.sockets: list[socket.socket] = []
        self.tasks: list[asyncio.Task] = []
        metrics.gauge(
            f"{port_name}_connections",
            f"Open connections on the port for {port_name}",
            lambda: len(self.open),
        )

    def __call__(self) -> GuardedHandler:
        """Return the handler for a new connection."""
        return GuardedHandler(self, loop=self._loop, **self._kwargs)

    async def listen(self, *, address: str, port: int) -> None:
        """Listen on a port; raise `OSError` if that fails."""
        listener = socket.socket()
        try:
            listener.setblocking(False)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # Connections that are accepted have the listener's buffer size.
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            listener.bind((address, port))
            listener.listen(LISTEN_BACKLOG)
        except OSError:
            listener.close()
            raise
        self.sockets.append(listener)
        self._loop.add_reader(listener, self._accept, listener)
        if not self.tasks:
            self.tasks.append(asyncio.ensure_future(self._run_checks()))

    def close(self) -> None:
        """Stop listening."""
        for task in self.tasks:
            task.cancel()
        for listener in self.sockets:
            self._loop.remove_reader(listener)
            listener.close()
        self.sockets.clear()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self.close()
        await self.shutdown(0.1)

    def _accept(self, listener: socket.socket) -> None:
        """Accept some connections, for which others are closed beyond the limit."""
        for _ in range(ACCEPTS_PER_TURN):
            is_full = len(self.open) + len(self.connecting) >= self.maximum_connections
            try:
                connection, client = listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._pause_accepting(listener, error)
                return
            if is_full and not self._make_room():
                self._refuse_connection(connection, client[0])
                continue
            connection.setblocking(False)
            task = asyncio.ensure_future(
                self._loop.connect_accepted_socket(self, connection)
            )
            self.connecting.add(task)
            task.add_done_callback(functools.partial(self._connected, client[0]))

    def _connected(self, client: str, task: asyncio.Task) -> None:
        self.connecting.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.refusals.record("accept_failed", client)

    def _pause_accepting(self, listener: socket.socket, error: OSError) -> None:
        """Stop accepting for a moment, since the process has no descriptor left."""
        log_failure("accepting a connection failed", error)
        self._loop.remove_reader(listener)

        def resume() -> None:
            if listener in self.sockets:
                self._loop.add_reader(listener, self._accept, listener)

        self._loop.call_later(ACCEPT_PAUSE_SECONDS, resume)

    def _refuse_connection(self, connection: socket.socket, client: str) -> None:
        self.refusals.record("connections", client)
        with contextlib.suppress(OSError):
            connection.setblocking(False)
            connection.send(FULL_ANSWER)
        connection.close()

    def _make_room(self) -> bool:
        """Close the connection that has been idle for longest; false if none is."""
        handler = next((one for one in self.open if one.is_idle()), None)
        if handler is None:
            return self.bodies is not None and self.bodies.end_stalled()
        self.discard(handler)
        self.refusals.record("idle_closed", handler.client)
        handler.force_close()
        return True

    def add(self, handler: GuardedHandler) -> None:
        """Count a new connection."""
        self.open[handler] = None

    def discard(self, handler: GuardedHandler) -> None:
        """Count a connection no longer."""
        self.open.pop(handler, None)
        self.release_read_ahead(handler)

    def note_active(self, handler: GuardedHandler) -> None:
        """Order a connection behind those that have been idle for longer."""
        if handler in self.open:
            del self.open[handler]
            self.open[handler] = None

    def hold_read_ahead(self, handler: GuardedHandler, size: int) -> None:
        """Count what is read ahead on a connection, giving up the oldest if need be."""
        if self.memory is None:
            return
        while not self.memory.take_read_ahead(size):
            oldest = next(iter(self.reading_ahead), handler)
            self.refusals.record("read_ahead", oldest.client)
            oldest.shed_requests()
            if oldest is handler:
                return
        handler.read_ahead_bytes = size
        self.reading_ahead[handler] = None

    def release_read_ahead(self, handler: GuardedHandler) -> None:
        """Count no longer what was read ahead on a connection."""
        if handler.read_ahead_bytes:
            self.memory.held[MemoryHolder.READ_AHEAD] -= handler.read_ahead_bytes
            handler.read_ahead_bytes = 0
        self.reading_ahead.pop(handler, None)

    def refuse_large_head(self) -> Refusal:
        """Return the refusal of a head that exceeds its bound."""
        detail = f"the head exceeds {self.limits().header_bytes} bytes"
        return Refusal(ErrorKind.HEADER_TOO_LARGE, detail)

    async def _run_checks(self) -> None:
        """Enforce the limits on time until cancelled."""
        checks = 0
        while True:
            checked_at = self._loop.time()
            await asyncio.sleep(CHECK_SECONDS)
            checks += 1
            # After a pause of this process, what has arrived meanwhile is read first.
            if self._loop.time() - checked_at < LATE_CHECK_SECONDS:
                self.check_times()
            if checks % CHECKS_PER_LOG_LINE == 0:
                self.refusals.flush()

    def check_times(self) -> None:
        """Close connections that exceed the limits on heads and on idle time."""
        now = self._loop.time()
        limits = self.limits()
        for handler in list(self.open):
            if not handler.is_idle():
                handler.active_at = now
                handler.idle_seconds = limits.idle_seconds
            elif handler.head_began_at is not None:
                if now - handler.head_began_at > limits.header_seconds:
                    self.refusals.record("head_timeout", handler.client)
                    handler.reject(_refuse_late_head(limits.header_seconds))
            elif now - handler.active_at > max(
                handler.idle_seconds, limits.idle_seconds
            ):
                self.refusals.record("idle_timeout", handler.client)
                handler.force_close()


def refusal_response(refusal: Refusal) -> Response:
    """Return a refusal as plain text, with the time to come back if it has not run."""
    headers = {"Content-Type": "text/plain; charset=utf-8"}
    if refusal.retry_after_seconds is not None and refusal.ran is Ran.NO:
        headers["Retry-After"] = f"{refusal.retry_after_seconds:.2f}"
    text = f"{refusal.kind}: {refusal.title}; ran: {refusal.ran}; {refusal.detail}"
    return Response(status=refusal.status, headers=headers, body=text.encode())


def _refuse_late_head(seconds: float) -> Refusal:
    detail = f"the head was not complete after {seconds:g} s"
    return Refusal(
        ErrorKind.REQUEST_TIMEOUT, detail, retry_after_seconds=RETRY_AFTER_SECONDS
    )

"""HTTP calls to endpoints over pooled connections, with checks that aiohttp lacks.

A connection is closed instead of returned to the pool after unsolicited bytes, an
answer to another request or a truncated body. A refusal that may be a copy of an
earlier one on its connection does not show that the request has not run. Heads, framing
and ends are checked where all responses are read; bodies that are held in memory are
bounded, since an endpoint may send them without end.
"""

import asyncio
import math
import socket
from collections.abc import AsyncIterator, Callable, Iterator

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from yarl import URL

from linnetladder.forwarding.coordination.calls import (
    CallFault,
    CallFaultKind,
    EndpointCalls,
    Exchange,
    ProbeOutcome,
)
from linnetladder.forwarding.coordination.connect_timeout import ConnectTimeout
from linnetladder.forwarding.protocol import (
    EndpointCall,
    EndpointCodec,
    ResponseHead,
)
from linnetladder.forwarding.protocol.relaying import (
    RelayedCall,
    RelayFault,
    build_relay_headers,
)
from linnetladder.forwarding.transport.read_turns import EXPENSIVE_SECONDS, ReadTurns
from linnetladder.telemetry import Metrics
from linnetladder.transport.responses import (
    MalformedResponseError,
    StrictConnector,
    StrictResponseHandler,
    read_body,
)

__all__ = ["HttpEndpointCalls"]

# Shorter than the time after which any observed endpoint closes an idle connection.
KEEPALIVE_SECONDS = 4.0
# A request that must not be sent twice only reuses a connection that was idle for less.
FRESH_KEEPALIVE_SECONDS = 1.0
READ_BUFFER_BYTES = 64 * 1024
# Parts in which a long body is written, so that no second copy of it waits, and in
# which one is held that is read whole.
BODY_PART_BYTES = 64 * 1024
# Bodies that are relayed only once they are complete.
MAXIMUM_BUFFERED_BODY_BYTES = 16 * 1024 * 1024
TCP_USER_TIMEOUT_MILLISECONDS = 4_000
# The longest time that a peer may take to probe an endpoint, and its longest answer.
PEER_PROBE_SECONDS = 0.6
MAXIMUM_PROBE_BYTES = 64
SUPPRESSED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class EndpointConnection(StrictResponseHandler):
    """A connection to an endpoint.

    ``requests`` counts the requests on it, and ``refused`` holds the attempt ids of
    those that the endpoint refused as not run.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self.requests = 0
        self.refused: set[str] = set()

    def set_response_params(self, **options: object) -> None:
        """Count a request."""
        self.requests += 1
        super().set_response_params(**options)


class EndpointConnector(StrictConnector):
    """A connector that asks whether a call may still be sent once it is connected."""

    handler_class = EndpointConnection

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Return a connection; raise `WithdrawnCallError` if it may not be used."""
        connection = await super().connect(req, traces, timeout)
        monitor: SilenceMonitor = traces[0]._trace_config_ctx.trace_request_ctx
        if not monitor.call.may_send():
            connection.release()
            raise WithdrawnCallError(f"{monitor.address} accepts no more requests")
        monitor.call.connected = True
        return connection


class WithdrawnCallError(Exception):
    """A call was withdrawn after its connection was made, before it was sent."""


class SilenceMonitor:
    """Probes the endpoint of a call that receives nothing, and may give it up.

    A probe is skipped if any call to the same address has received something within
    ``probe_after`` seconds. ``limit`` is the longest silence in seconds. ``sent_at`` is
    the event loop's time at which the request was sent, ``None`` before that.
    """

    def __init__(self, *, calls: "HttpEndpointCalls", call: EndpointCall | RelayedCall):
        self.calls = calls
        self.call = call
        self.address = call.relay or call.address
        self.loop = asyncio.get_running_loop()
        self.probe_after = call.probe_after_seconds
        self.limit = call.silence_seconds
        self.started_at = self.loop.time()
        self.sent_at: float | None = None

    def record_sent(self) -> None:
        """Record that the request was sent; the endpoint's silence begins."""
        self.sent_at = self.loop.time()

    def record_activity(self) -> None:
        """Record that the endpoint has sent something."""
        self.calls.last_activity[self.address] = self.loop.time()

    async def wait(self, work: asyncio.Task) -> aiohttp.ClientResponse:
        """Return the response that a task awaits; raise `CallFault` on silence."""
        checked_at = 0.0
        try:
            while not work.done():
                due = self._next_check(checked_at)
                await asyncio.wait((work,), timeout=max(due - self.loop.time(), 0.0))
                # The request may have been sent during the wait, which moves the check.
                if work.done() or self.loop.time() < self._next_check(checked_at):
                    continue
                await self.check_liveness(since=self.sent_at, arrived=work.done)
                checked_at = self.loop.time()
            return work.result()
        finally:
            if not work.done():
                work.cancel()

    def _next_check(self, checked_at: float) -> float:
        """Return the time of the next check; the connection's own limit comes first."""
        silent_since = self.loop.time() if self.sent_at is None else self.sent_at
        return max(silent_since, checked_at) + self.probe_after

    async def check_liveness(
        self, *, since: float, arrived: Callable[[], bool]
    ) -> None:
        """Raise `CallFault` for a silent endpoint if another attempt can follow.

        It is silent if it is unreachable or has sent nothing since a time for the
        limit. ``arrived`` returns whether it has sent something meanwhile.
        """
        now = self.loop.time()
        silent = self.limit is not None and now - since >= self.limit
        last_activity = self.calls.last_activity.get(self.address, -math.inf)
        if not silent and now - last_activity < self.probe_after:
            return
        probe = None
        if not silent:
            probe = await self.calls.probe(self.address)
            if probe is ProbeOutcome.ACCEPTED or arrived():
                return
            self.call.on_unreachable()
        # Without a successor, waiting is the only way to the rest of the answer.
        if not self.call.reserve_retry():
            return
        detail = f"{self.address} was silent for {self.loop.time() - since:.1f} s"
        raise CallFault(CallFaultKind.SILENT, detail, may_have_run=True, probe=probe)


class HttpExchange(Exchange):
    """An answer that is read from one aiohttp response."""

    def __init__(
        self,
        *,
        head: ResponseHead,
        response: aiohttp.ClientResponse,
        monitor: SilenceMonitor,
    ):
        super().__init__(head=head)
        self.response = response
        self.monitor = monitor
        self.connection: EndpointConnection = response._protocol
        self.complete = False
        self.yielded_bytes = 0
        self.closed = False

    def read_ahead_bytes(self) -> int:
        """Return the bytes that have arrived and were not yet yielded."""
        if self.closed:
            return 0
        return self.response.content.total_bytes - self.yielded_bytes

    async def read(self) -> bytes:
        """Return the whole body."""
        length = self.head.length
        has_body = not self.response.content.is_eof()
        if has_body and (length or 0) > MAXIMUM_BUFFERED_BODY_BYTES:
            raise _endless_body_fault()
        # Parts of a similar size can be used again once they are free, unlike the
        # growing buffers of several bodies.
        parts: list[bytearray] = []
        held = self.memory.size if self.memory is not None else 0
        received = 0
        try:
            async for data in self.chunks():
                received += len(data)
                if received > MAXIMUM_BUFFERED_BODY_BYTES:
                    raise _endless_body_fault()
                if self.memory is not None:
                    has_length = length is not None
                    await self.memory.grow_when_free(len(data), has_length=has_length)
                if parts and len(parts[-1]) < BODY_PART_BYTES:
                    parts[-1] += data
                else:
                    parts.append(bytearray(data))
        except BaseException:
            # The traceback would hold the parts until garbage is collected.
            parts.clear()
            if self.memory is not None:
                self.memory.give_back_to(held)
            raise
        return b"".join(parts)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield chunks of the body as they arrive."""
        content = self.response.content
        try:
            while data := await self._read_next(content):
                self.yielded_bytes += len(data)
                yield data
                await self._rest()
        except (aiohttp.ClientError, OSError) as error:
            raise _truncated_answer_fault(error) from error
        self.complete = True

    async def _rest(self) -> None:
        """Wait if parsing took long since the last time, as tiny chunks do."""
        if self.connection.read_seconds >= EXPENSIVE_SECONDS:
            seconds = self.connection.take_read_seconds()
            await self.monitor.calls.read_turns.rest(seconds)

    async def _read_next(self, content: aiohttp.StreamReader) -> bytes:
        """Return the next bytes, or ``b""`` at the end."""
        since = self.monitor.loop.time()
        received = content.total_bytes
        while True:
            try:
                async with asyncio.timeout(self.monitor.probe_after):
                    data = await content.readany()
                self.monitor.record_activity()
                return data
            except TimeoutError:
                await self.monitor.check_liveness(
                    since=since,
                    arrived=lambda: (
                        content.total_bytes > received
                        or content.is_eof()
                        or content.exception() is not None
                    ),
                )

    def close(self) -> None:
        """Return the connection to the pool after a complete answer, else close it."""
        self.closed = True
        if self.complete and not self.head.closes_connection:
            self.response.release()
            return
        self.response.close()


class HttpEndpointCalls(EndpointCalls):
    """Calls endpoints at their ``IP:port`` addresses, directly or through peers.

    ``last_activity`` maps an address to the event loop's time when it last sent
    something or accepted a probe. ``connect_timeout`` is shared by calls and probes.
    ``relay_secret`` signs calls that go through a peer.
    """

    def __init__(self, *, codec: EndpointCodec, metrics: Metrics):
        self.codec = codec
        self.metrics = metrics
        self.last_activity: dict[str, float] = {}
        self.read_turns = ReadTurns()
        self.connect_timeout = ConnectTimeout()
        self.relay_secret = b""
        self.loop = asyncio.get_running_loop()
        self.pooled_session = self._build_session(keepalive_timeout=KEEPALIVE_SECONDS)
        self.fresh_session = self._build_session(
            keepalive_timeout=FRESH_KEEPALIVE_SECONDS
        )
        self.peer_session = aiohttp.ClientSession(
            connector=StrictConnector(limit=0, socket_factory=_build_socket)
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.pooled_session.close()
        await self.fresh_session.close()
        await self.peer_session.close()

    async def open(self, call: EndpointCall) -> Exchange:
        """Send a call and return once the head of its answer has arrived."""
        head = call.request.head
        headers = self.codec.build_call_headers(call)
        if call.relay:
            headers += build_relay_headers(
                secret=self.relay_secret,
                instance=call.instance,
                attempt_id=head.attempt_id,
            )
        return await self._open(
            call,
            method=head.method,
            target=head.target,
            headers=headers,
            body=call.request.body,
            attempt_id=head.attempt_id,
        )

    async def relay(self, call: RelayedCall) -> Exchange:
        """Pass a peer's call on and return once the head of its answer has arrived."""
        return await self._open(
            call,
            method=call.method,
            target=call.target,
            headers=call.headers,
            body=call.body,
            attempt_id=call.attempt_id,
        )

    async def _open(
        self,
        call: EndpointCall | RelayedCall,
        *,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        attempt_id: str,
    ) -> Exchange:
        session = self.fresh_session if call.fresh_connection else self.pooled_session
        monitor = SilenceMonitor(calls=self, call=call)
        sending = session.request(
            method,
            URL(f"http://{monitor.address}{target}", encoded=True),
            data=_build_payload(body),
            headers=headers,
            skip_auto_headers=SUPPRESSED_HEADERS,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=self.connect_timeout.seconds(now=self.loop.time()),
            ),
            trace_request_ctx=monitor,
        )
        try:
            if monitor.probe_after is None:
                response = await sending
            else:
                response = await monitor.wait(asyncio.ensure_future(sending))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            if isinstance(error, aiohttp.ConnectionTimeoutError):
                self.connect_timeout.timed_out(
                    started=monitor.started_at, now=monitor.loop.time()
                )
            detail = f"can't connect to {monitor.address}: {error}"
            raise CallFault(
                CallFaultKind.CONNECT,
                detail,
                may_have_run=False,
                peer_failed=bool(call.relay),
            ) from error
        except WithdrawnCallError as error:
            raise CallFault(
                CallFaultKind.WITHDRAWN, str(error), may_have_run=False
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise CallFault(
                CallFaultKind.BROKEN,
                f"{monitor.address} broke off: {_describe(error)}",
                may_have_run=True,
            ) from error
        monitor.record_activity()
        if call.relay:
            _check_relayed(call, response)
        return self._check_head(attempt_id, response, monitor)

    async def is_reachable(self, address: str) -> bool:
        """Return whether an address accepts a new connection, which is closed again.

        A time-out says nothing about the link, since the address was unreachable.
        """
        outcome = await self._open_and_close(address)
        self.metrics.count("probes", label=outcome)
        return outcome is ProbeOutcome.ACCEPTED

    async def probe(self, address: str) -> ProbeOutcome:
        """Open a connection to an address and close it again."""
        started = self.loop.time()
        outcome = await self._open_and_close(address)
        self.metrics.count("probes", label=outcome)
        if outcome is ProbeOutcome.TIMED_OUT:
            self.connect_timeout.timed_out(started=started, now=self.loop.time())
        if outcome is ProbeOutcome.ACCEPTED:
            self.last_activity[address] = self.loop.time()
        return outcome

    async def probe_through(self, relay: str, instance: str) -> ProbeOutcome | None:
        """Let a peer probe an endpoint; return ``None`` if it can't tell."""
        headers = build_relay_headers(
            secret=self.relay_secret, instance=instance, probe_only=True
        )
        try:
            async with (
                asyncio.timeout(PEER_PROBE_SECONDS),
                self.peer_session.get(f"http://{relay}/", headers=headers) as response,
            ):
                outcome = await read_body(response, maximum_bytes=MAXIMUM_PROBE_BYTES)
                return ProbeOutcome(outcome.decode())
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            self.metrics.count("relayed_calls", label="probe_failed")
            return None

    async def _open_and_close(self, address: str) -> ProbeOutcome:
        host, _, port = address.rpartition(":")
        started = self.loop.time()
        try:
            async with asyncio.timeout(self.connect_timeout.seconds(now=started)):
                _, writer = await asyncio.open_connection(host, int(port))
        except TimeoutError:
            return ProbeOutcome.TIMED_OUT
        except OSError:
            return ProbeOutcome.REFUSED
        self._record_connected(started)
        writer.close()
        return ProbeOutcome.ACCEPTED

    def _record_connected(self, started: float) -> None:
        seconds = self.loop.time() - started
        self.connect_timeout.succeeded(seconds)
        self.metrics.record("connect_seconds", seconds)

    def close_idle_connections(self, address: str) -> None:
        """Close the idle connections to an address after one of them failed."""
        host, _, port = address.rpartition(":")
        for session in (self.pooled_session, self.fresh_session):
            _drop_idle(session.connector, host, int(port))

    def _check_head(
        self,
        attempt_id: str,
        response: aiohttp.ClientResponse,
        monitor: SilenceMonitor,
    ) -> HttpExchange:
        """Return the exchange; raise `CallFault` for an answer that can't be used."""
        head = self.codec.decode_response_head(response.status, response.headers)
        if head.attempt_id and head.attempt_id != attempt_id:
            response.close()
            detail = f"{monitor.address} answered another request"
            raise CallFault(CallFaultKind.INVALID, detail, may_have_run=True)
        if head.succeeded and not (head.sealed and head.attempt_id):
            response.close()
            detail = f"{monitor.address} sent a success without its seal"
            raise CallFault(CallFaultKind.INVALID, detail, may_have_run=True)
        if head.succeeded and head.encoded:
            response.close()
            detail = f"{monitor.address} encoded a body without being asked"
            raise CallFault(CallFaultKind.INVALID, detail, may_have_run=True)
        is_refusal = head.not_run or head.misdirected
        if is_refusal and not monitor.call.relay:
            self._check_refusal(attempt_id, head, response, monitor)
        return HttpExchange(head=head, response=response, monitor=monitor)

    def _check_refusal(
        self,
        attempt_id: str,
        head: ResponseHead,
        response: aiohttp.ClientResponse,
        monitor: SilenceMonitor,
    ) -> None:
        """Raise `CallFault` for a refusal that may be a copy of an earlier one.

        A request is refused at most once on a connection, and a refusal that names no
        request is one of the only request on its connection.
        """
        protocol: EndpointConnection = response._protocol
        may_be_copy = protocol.requests > 1
        if head.attempt_id:
            may_be_copy = attempt_id in protocol.refused
        if may_be_copy:
            response.close()
            detail = f"{monitor.address} may have sent an earlier refusal once more"
            raise CallFault(CallFaultKind.INVALID, detail, may_have_run=True)
        protocol.refused.add(attempt_id)

    def _build_session(self, *, keepalive_timeout: float) -> aiohttp.ClientSession:
        session = aiohttp.ClientSession(
            connector=EndpointConnector(
                limit=0,
                keepalive_timeout=keepalive_timeout,
                socket_factory=_build_socket,
            ),
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            trace_configs=[self._build_trace_config()],
        )
        # aiohttp would silently retry requests with idempotent methods.
        session._retry_connection = False
        return session

    def _build_trace_config(self) -> aiohttp.TraceConfig:
        """Return callbacks that time connections and note when requests are sent."""

        async def record_start(session, context, parameters) -> None:
            context.connection_started = self.loop.time()

        async def record_connected(session, context, parameters) -> None:
            self._record_connected(context.connection_started)

        async def record_sent(session, context, parameters) -> None:
            context.trace_request_ctx.record_sent()

        config = aiohttp.TraceConfig()
        config.on_connection_create_start.append(record_start)
        config.on_connection_create_end.append(record_connected)
        config.on_request_headers_sent.append(record_sent)
        return config


class BodyParts(aiohttp.payload.BytesPayload):
    """A long body that is written in parts, as fast as the endpoint takes them."""

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body, of which nothing is left out."""
        for part in _split(self._value):
            await writer.write(part)


def _split(body: bytes) -> Iterator[bytes]:
    view = memoryview(body)
    for begin in range(0, len(body), BODY_PART_BYTES):
        yield bytes(view[begin : begin + BODY_PART_BYTES])


def _build_payload(body: bytes) -> aiohttp.payload.Payload | bytes | None:
    """Return what aiohttp writes as the body of a call."""
    return BodyParts(body) if len(body) > BODY_PART_BYTES else body or None


def _build_socket(address_info) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLISECONDS
    )
    return sock


def _drop_idle(connector: aiohttp.TCPConnector, host: str, port: int) -> None:
    for key in list(connector._conns):
        if key.host == host and key.port == port:
            for protocol, _ in connector._conns.pop(key):
                protocol.close()


def _check_relayed(call: EndpointCall, response: aiohttp.ClientResponse) -> None:
    """Raise the fault with which a relayed call ended, if its peer reports one."""
    fault = RelayFault.from_headers(response.headers)
    if fault is None:
        return
    response.close()
    kind = CallFaultKind.BROKEN
    if fault.kind in set(CallFaultKind):
        kind = CallFaultKind(fault.kind)
    raise CallFault(
        kind,
        f"the peer at {call.relay} reports: {kind} at {call.instance}",
        may_have_run=fault.may_have_run,
        peer_failed=fault.cut_off,
    )


def _endless_body_fault() -> CallFault:
    detail = f"the body exceeds {MAXIMUM_BUFFERED_BODY_BYTES} bytes"
    return CallFault(CallFaultKind.BROKEN, detail, may_have_run=True)


def _truncated_answer_fault(error: Exception) -> CallFault:
    return CallFault(
        CallFaultKind.BROKEN,
        f"the answer was cut: {_describe(error)}",
        may_have_run=True,
    )


def _describe(error: Exception) -> str:
    """Return what failed, without bytes of an answer that could not be parsed."""
    if isinstance(error, aiohttp.ClientResponseError):
        return type(error).__name__
    return str(error) if isinstance(error, MalformedResponseError) else repr(error)

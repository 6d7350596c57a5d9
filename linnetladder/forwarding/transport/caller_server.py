"""The HTTP server that callers connect to."""

import asyncio
import fcntl
import struct
import termios

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse

from linnetladder.errors import ErrorKind, Refusal
from linnetladder.forwarding.coordination.caller_buffers import (
    CHECK_SECONDS,
    CallerBuffer,
    CallerBuffers,
)
from linnetladder.forwarding.coordination.calls import Reply
from linnetladder.forwarding.coordination.forwarder import Forwarder
from linnetladder.forwarding.coordination.in_force import TableInForce
from linnetladder.forwarding.coordination.memory_account import (
    MemoryAccount,
    MemoryHolder,
    MemoryLease,
)
from linnetladder.forwarding.coordination.planned_stop import shutdown_refusal
from linnetladder.forwarding.protocol import CallerCodec, InvalidHeadError
from linnetladder.forwarding.state import (
    RequestHead,
    credential_digest,
)
from linnetladder.forwarding.transport.body_reader import BodyReader
from linnetladder.forwarding.transport.guarded_server import (
    GuardedServer,
    refusal_response,
)
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics, log_change, log_request

__all__ = ["ForwardingServer"]

# Bytes of a header field besides its name and its value.
FIELD_FRAMING_BYTES = 4


class HttpReply(Reply, CallerBuffer):
    """Sends the answer to one aiohttp request.

    ``written`` are the bytes that were passed to the caller's transport.
    """

    def __init__(
        self, *, request: BaseRequest, closes_connection: bool, memory: MemoryLease
    ):
        self.request = request
        self.memory = memory
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
        self.response = refusal_response(refusal)
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
        if self.closes_connection or self.request.protocol.is_closing:
            self.response.force_close()
            self.response.headers["Connection"] = "close"


class ForwardingServer:
    """Reads callers' requests, passes them to the forwarder and sends its answers."""

    def __init__(
        self,
        *,
        forwarder: Forwarder,
        in_force: TableInForce,
        codec: CallerCodec,
        buffers: CallerBuffers,
        memory: MemoryAccount,
        maximum_connections: int,
        clock: Clock,
        metrics: Metrics,
    ):
        self.forwarder = forwarder
        self.in_force = in_force
        self.codec = codec
        self.buffers = buffers
        self.memory = memory
        self.maximum_connections = maximum_connections
        self.clock = clock
        self.metrics = metrics
        self.active_requests = 0
        self.leaving = False
        self.refusing = False
        self.server: GuardedServer | None = None
        self.bodies: BodyReader | None = None
        self.check_task: asyncio.Task | None = None

    async def start(self, *, address: str, port: int) -> None:
        """Listen on a port; raise `OSError` if that fails."""
        self.server = GuardedServer(
            self.handle,
            port_name="callers",
            maximum_connections=self.maximum_connections,
            metrics=self.metrics,
            limits=self.in_force.limits,
            memory=self.memory,
        )
        self.bodies = BodyReader(
            account=self.memory,
            holder=MemoryHolder.BODIES,
            refusals=self.server.refusals,
        )
        self.server.bodies = self.bodies
        await self.server.listen(address=address, port=port)
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
            await self.server.stop()

    def refuse_new_requests(self) -> None:
        """Close idle connections and refuse all further requests.

        Connections with an answer in progress stay open; later requests on them are
        refused.
        """
        self.refusing = True
        for handler in self.server.connections:
            if handler.is_idle():
                handler.force_close()

    async def handle(self, request: BaseRequest) -> StreamResponse:
        """Answer one request."""
        self.active_requests += 1
        body_lease = self.bodies.lease()
        reply = HttpReply(
            request=request,
            closes_connection=self.leaving,
            memory=MemoryLease(account=self.memory, holder=MemoryHolder.ANSWERS),
        )
        self.buffers.add(reply)
        received = self.clock.monotonic()
        try:
            if self.refusing:
                await reply.refuse(shutdown_refusal())
            else:
                await self._answer(request, reply, body_lease, received)
        finally:
            self.active_requests -= 1
            self.buffers.remove(reply)
            body_lease.release()
            reply.memory.release()
        if reply.response is None:
            raise ConnectionError("the answer was aborted before its head was sent")
        if not request.content.is_eof():
            await self.bodies.discard(request)
        return reply.response

    async def _answer(
        self,
        request: BaseRequest,
        reply: HttpReply,
        body_lease: MemoryLease,
        received: float,
    ) -> None:
        limits = self.in_force.limits()
        if _head_size(request) > limits.header_bytes:
            await self._refuse_unread(reply, self.server.refuse_large_head())
            return
        try:
            head = self.codec.decode_request_head(
                request.method, request.raw_path, request.headers
            )
        except InvalidHeadError as problem:
            refusal = Refusal(ErrorKind.INVALID_HEADER, str(problem))
            await self._refuse_unread(reply, refusal)
            return
        reply.attempt_id = head.attempt_id
        client = self._describe_client(head, request)
        body, refusal = await self.bodies.read(
            request, body_lease, limit=limits.body_bytes, client=client
        )
        if refusal is not None:
            await self._refuse_unread(reply, refusal)
            return
        reply.closes_connection = reply.closes_connection or self.leaving
        await self.forwarder.answer(head, body, received=received, reply=reply)

    async def _refuse_unread(self, reply: HttpReply, refusal: Refusal) -> None:
        """Refuse a request before its body was read whole."""
        if not reply.request.content.is_eof():
            reply.closes_connection = True
        log_request(
            "refused",
            request=reply.attempt_id,
            kind=refusal.kind,
            detail=refusal.detail,
        )
        await reply.refuse(refusal)

    def _describe_client(self, head: RequestHead, request: BaseRequest) -> str:
        """Return the client account that a request names, or its address."""
        table = self.in_force.table
        account = None
        if table is not None and head.credential is not None:
            account = table.find_account(credential_digest(head.credential))
        return account.name if account is not None else str(request.remote)


def _head_size(request: BaseRequest) -> int:
    """Return the bytes of a request's head, about as they were sent."""
    fields = request._message.raw_headers
    size = sum(len(name) + len(value) for name, value in fields)
    return size + FIELD_FRAMING_BYTES * len(fields) + len(request.raw_path)

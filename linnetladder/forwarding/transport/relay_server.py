"""The HTTP server through which peers reach endpoints that they can't reach."""

import asyncio

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from linnetladder.forwarding.coordination.calls import (
    CallFault,
    CallFaultKind,
    Exchange,
)
from linnetladder.forwarding.coordination.relaying import CutOffError, RelayControl
from linnetladder.forwarding.protocol.relaying import (
    RELAY_HEADERS,
    RelayedCall,
    RelayFault,
    is_signed,
)
from linnetladder.forwarding.transport.peer_socket import PeerSocket
from linnetladder.telemetry import log_change

__all__ = ["RelayServer"]

LISTEN_BACKLOG = 256
KEEPALIVE_SECONDS = 15.0
READ_BUFFER_BYTES = 256 * 1024
MAXIMUM_HEADER_BYTES = 64 * 1024
FAULT_STATUS = 502
BODILESS_STATUSES = frozenset((204, 304))
# Headers of the connection between the daemons.
HOP_HEADERS = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "content-length")
)

# The fault of a daemon that can pass nothing on.
CUT_OFF = RelayFault(kind=CallFaultKind.CONNECT, may_have_run=False, cut_off=True)


class RelayServer:
    """Reads peers' calls, passes them on and returns the answers as they come.

    The calls are signed with the secret of the messages between daemons.
    """

    def __init__(self, *, control: RelayControl, peer_socket: PeerSocket):
        self.control = control
        self.peer_socket = peer_socket
        self.active_calls = 0
        self.leaving = False
        self.handlers: Server | None = None
        self.server: asyncio.Server | None = None

    async def start(self, *, address: str, port: int) -> None:
        """Listen on a port; raise `OSError` if that fails."""
        self.handlers = Server(
            self.handle,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_SECONDS,
            max_line_size=MAXIMUM_HEADER_BYTES,
            max_field_size=MAXIMUM_HEADER_BYTES,
            max_headers=512,
            lingering_time=0.0,
            access_log=None,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
        )
        self.server = await asyncio.get_running_loop().create_server(
            self.handlers, host=address, port=port, backlog=LISTEN_BACKLOG
        )

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self.server is not None:
            self.server.close()
        if self.handlers is not None:
            await self.handlers.shutdown(0.1)

    async def handle(self, request: BaseRequest) -> StreamResponse:
        """Pass one call on."""
        secrets = self.peer_socket.accepted_secrets()
        if not any(is_signed(request.headers, secret=secret) for secret in secrets):
            self.control.metrics.count("rejected_peers", label="relay")
            return _fault_response(CUT_OFF)
        call = RelayedCall.from_headers(
            request.method, request.raw_path, request.headers, omit=HOP_HEADERS
        )
        if call.probe_only:
            outcome = await self.control.probe(call.instance)
            return Response(text=str(outcome))
        call.body = await request.content.read()
        self.active_calls += 1
        try:
            return await self._answer(request, call)
        finally:
            self.active_calls -= 1

    async def _answer(self, request: BaseRequest, call: RelayedCall) -> StreamResponse:
        if self.leaving:
            return _fault_response(CUT_OFF)
        try:
            exchange = await self.control.open(call)
        except CutOffError:
            return _fault_response(CUT_OFF)
        except CallFault as fault:
            return _fault_response(
                RelayFault(kind=fault.kind, may_have_run=fault.may_have_run)
            )
        try:
            return await _pass_on(request, exchange)
        finally:
            exchange.close()


async def _pass_on(request: BaseRequest, exchange: Exchange) -> StreamResponse:
    """Return an answer as it arrives; abort the connection if it breaks off."""
    headers = [
        (name, value)
        for name, value in exchange.head.headers
        if name.lower() not in RELAY_HEADERS
    ]
    response = StreamResponse(status=exchange.head.status, headers=headers)
    if exchange.head.length is not None:
        response.content_length = exchange.head.length
    elif exchange.head.status not in BODILESS_STATUSES:
        response.enable_chunked_encoding()
    await response.prepare(request)
    try:
        async for data in exchange.chunks():
            await response.write(data)
    except CallFault as fault:
        log_change("relayed answer broke off", detail=fault.detail)
        if request.transport is not None:
            request.transport.abort()
        return response
    await response.write_eof()
    return response


def _fault_response(fault: RelayFault) -> Response:
    return Response(status=FAULT_STATUS, headers=fault.headers())

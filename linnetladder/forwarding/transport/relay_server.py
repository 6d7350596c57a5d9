"""The HTTP server through which peers reach endpoints that they can't reach."""

import dataclasses
from collections.abc import Callable

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse

from linnetladder.forwarding.coordination.calls import (
    CallFault,
    CallFaultKind,
    Exchange,
)
from linnetladder.forwarding.coordination.memory_account import (
    MemoryAccount,
    MemoryHolder,
    MemoryLease,
)
from linnetladder.forwarding.coordination.relaying import CutOffError, RelayControl
from linnetladder.forwarding.protocol.relaying import (
    RELAY_HEADERS,
    RelayedCall,
    RelayFault,
    is_signed,
)
from linnetladder.forwarding.state import CallerLimits
from linnetladder.forwarding.transport.body_reader import BodyReader
from linnetladder.forwarding.transport.guarded_server import (
    GuardedServer,
    default_limits,
)
from linnetladder.forwarding.transport.peer_socket import PeerSocket
from linnetladder.telemetry import log_change

__all__ = ["RelayServer"]

# What daemons add to a caller's head.
RELAY_HEADER_BYTES = 16 * 1024
FAULT_STATUS = 502
BODILESS_STATUSES = frozenset((204, 304))
# Headers of the connection between the daemons.
HOP_HEADERS = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "content-length")
)

# The fault of a daemon that can pass nothing on.
CUT_OFF = RelayFault(kind=CallFaultKind.CONNECT, may_have_run=False, cut_off=True)
# The fault of a call whose body this daemon can't hold.
NOT_HELD = RelayFault(kind=CallFaultKind.WITHDRAWN, may_have_run=False)


class RelayServer:
    """Reads peers' calls, passes them on and returns the answers as they come.

    The calls are signed with the secret of the messages between daemons. ``limits``
    returns the limits on callers in force, which also bound what peers pass on.
    """

    def __init__(
        self,
        *,
        control: RelayControl,
        peer_socket: PeerSocket,
        memory: MemoryAccount,
        maximum_connections: int,
        limits: Callable[[], CallerLimits] = default_limits,
    ):
        self.control = control
        self.peer_socket = peer_socket
        self.memory = memory
        self.maximum_connections = maximum_connections
        self.limits = limits
        self.active_calls = 0
        self.leaving = False
        self.server: GuardedServer | None = None
        self.bodies: BodyReader | None = None

    async def start(self, *, address: str, port: int) -> None:
        """Listen on a port; raise `OSError` if that fails."""
        self.server = GuardedServer(
            self.handle,
            port_name="peers",
            maximum_connections=self.maximum_connections,
            metrics=self.control.metrics,
            limits=self._connection_limits,
            memory=self.memory,
        )
        self.bodies = BodyReader(
            account=self.memory,
            holder=MemoryHolder.RELAYS,
            refusals=self.server.refusals,
        )
        self.server.bodies = self.bodies
        await self.server.listen(address=address, port=port)

    def _connection_limits(self) -> CallerLimits:
        """Return the limits on peers' connections."""
        limits = self.limits()
        header_bytes = limits.header_bytes + RELAY_HEADER_BYTES
        return dataclasses.replace(limits, header_bytes=header_bytes)

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self.server is not None:
            await self.server.stop()

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
        lease = self.bodies.lease()
        self.active_calls += 1
        try:
            return await self._read_and_answer(request, call, lease)
        finally:
            self.active_calls -= 1
            lease.release()

    async def _read_and_answer(
        self, request: BaseRequest, call: RelayedCall, lease: MemoryLease
    ) -> StreamResponse:
        call.body, refusal = await self.bodies.read(
            request,
            lease,
            limit=self.limits().body_bytes,
            client=str(request.remote),
        )
        if refusal is not None:
            self.control.metrics.count("relayed_calls", label="not_held")
            response = _fault_response(NOT_HELD)
            response.force_close()
            await response.prepare(request)
            await response.write_eof()
            await self.bodies.discard(request)
            return response
        return await self._answer(request, call)

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

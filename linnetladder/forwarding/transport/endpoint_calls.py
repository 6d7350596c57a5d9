"""HTTP calls to endpoints over kept connections, with what aiohttp leaves unchecked.

A connection is not kept after anything odd: bytes that belong to no answer, an answer
to another request, a body that was cut. An answer without a length counts as whole
only if its connection was closed in order and not reset.
"""

import asyncio
import functools
import math
import socket
from collections.abc import AsyncIterator

import aiohttp
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from linnetladder.forwarding.coordination.calls import (
    CallFault,
    CallFaultKind,
    EndpointCalls,
    Exchange,
)
from linnetladder.forwarding.protocol import (
    AnswerHead,
    EndpointCall,
    EndpointDialect,
)

__all__ = ["HttpEndpointCalls"]

# A connection within a region takes a few milliseconds; a lost opening packet is sent
# again after a second, which is too late for most requests.
CONNECT_SECONDS = 0.2
PROBE_SECONDS = 0.2
# Below the shortest time for which endpoints were seen to keep an idle connection.
KEPT_SECONDS = 4.0
# A request that must not be sent twice goes out on a connection used this recently.
FRESH_SECONDS = 1.0
READ_BYTES = 256 * 1024
USER_TIMEOUT_MILLISECONDS = 4_000
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class CheckedResponseHandler(ResponseHandler):
    """A connection that remembers a reset and bytes that nobody asked for."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self.was_reset = False
        self.idle = True

    def set_response_params(self, **options: object) -> None:
        """Expect an answer from here on."""
        self.idle = False
        super().set_response_params(**options)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note whether the connection was reset."""
        self.was_reset = exc is not None
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Close the connection on bytes that come while nothing is asked."""
        if self.idle and data:
            self.close()
            return
        super().data_received(data)


class CheckedConnector(aiohttp.TCPConnector):
    """Make connections of `CheckedResponseHandler`."""

    def __init__(self, **options: object):
        super().__init__(**options)
        self._factory = functools.partial(
            CheckedResponseHandler, loop=asyncio.get_running_loop()
        )

    def _release(
        self, key, protocol: CheckedResponseHandler, *, should_close: bool = False
    ) -> None:
        """Expect nothing on a connection that goes back to the pool."""
        protocol.idle = True
        super()._release(key, protocol, should_close=should_close)


class Silence:
    """What becomes of a call while its endpoint sends nothing."""

    def __init__(self, *, calls: "HttpEndpointCalls", call: EndpointCall):
        self.calls = calls
        self.address = call.address
        self.loop = asyncio.get_running_loop()
        self.patience = call.patience_seconds
        self.limit = call.silence_seconds

    def hear(self) -> None:
        """Note that the endpoint has sent something."""
        self.calls.heard[self.address] = self.loop.time()

    async def wait(self, work: asyncio.Task) -> aiohttp.ClientResponse:
        """Return the response that a task waits for; raise `CallFault` on silence."""
        waited = 0.0
        try:
            while not work.done():
                await asyncio.wait((work,), timeout=self.patience)
                if not work.done():
                    waited += self.patience
                    await self.check(waited)
            return work.result()
        finally:
            if not work.done():
                work.cancel()

    async def check(self, waited: float) -> None:
        """Raise `CallFault` if the endpoint is gone or was silent for too long."""
        silent = self.limit is not None and waited >= self.limit
        heard = self.loop.time() - self.calls.heard.get(self.address, -math.inf)
        if not silent and heard < self.patience:
            return
        if silent or not await self.calls.is_reachable(self.address):
            detail = f"{self.address} was silent for {waited:.1f} s"
            raise CallFault(CallFaultKind.SILENT, detail, may_have_run=True)


class HttpExchange(Exchange):
    """A call over one aiohttp response."""

    def __init__(
        self,
        *,
        head: AnswerHead,
        response: aiohttp.ClientResponse,
        silence: Silence,
    ):
        super().__init__(head=head)
        self.response = response
        self.silence = silence
        self.protocol = response._protocol
        self.whole = False

    async def read(self) -> bytes:
        """Return the whole body."""
        return b"".join([data async for data in self.chunks()])

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes."""
        content = self.response.content
        try:
            while data := await self._next(content):
                yield data
        except (aiohttp.ClientError, OSError) as error:
            raise _cut(error) from error
        self._check_end()
        self.whole = True

    async def _next(self, content: aiohttp.StreamReader) -> bytes:
        """Return the next bytes, none at the end."""
        waited = 0.0
        while True:
            try:
                async with asyncio.timeout(self.silence.patience):
                    data = await content.readany()
                self.silence.hear()
                return data
            except TimeoutError:
                waited += self.silence.patience
                await self.silence.check(waited)

    def close(self) -> None:
        """Close the connection, unless the answer was read to its end."""
        if self.whole and not self.head.closes:
            self.response.release()
            return
        self.response.close()

    def _check_end(self) -> None:
        """Hold an answer without a length to an orderly end."""
        if self.head.length is not None:
            return
        if self.protocol is not None and self.protocol.was_reset:
            detail = "the connection was reset within an answer without a length"
            raise CallFault(CallFaultKind.BROKEN, detail, may_have_run=True)


class HttpEndpointCalls(EndpointCalls):
    """Call endpoints by IP number."""

    def __init__(self, *, dialect: EndpointDialect):
        self.dialect = dialect
        self.heard: dict[str, float] = {}
        self.kept = self._session(keepalive_timeout=KEPT_SECONDS)
        self.fresh = self._session(keepalive_timeout=FRESH_SECONDS)

    async def close(self) -> None:
        """Close all connections."""
        await self.kept.close()
        await self.fresh.close()

    async def open(self, call: EndpointCall) -> Exchange:
        """Send a call and return when its answer's head is in."""
        head = call.request.head
        session = self.fresh if call.fresh_connection else self.kept
        silence = Silence(calls=self, call=call)
        sending = session.request(
            head.method,
            URL(f"http://{call.address}{head.target}", encoded=True),
            data=call.request.body or None,
            headers=self.dialect.call_headers(call),
            skip_auto_headers=SKIPPED_HEADERS,
            allow_redirects=False,
        )
        try:
            if silence.patience is None:
                response = await sending
            else:
                response = await silence.wait(asyncio.ensure_future(sending))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            detail = f"can't connect to {call.address}: {error}"
            raise CallFault(
                CallFaultKind.CONNECT, detail, may_have_run=False
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise CallFault(
                CallFaultKind.BROKEN,
                f"{call.address} broke off: {error!r}",
                may_have_run=True,
            ) from error
        silence.hear()
        return self._check_head(call, response, silence)

    async def is_reachable(self, address: str) -> bool:
        """Open a connection and close it."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(PROBE_SECONDS):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        self.heard[address] = asyncio.get_running_loop().time()
        return True

    def close_idle_connections(self, address: str) -> None:
        """Close idle connections to an address, since one of them was broken."""
        host, _, port = address.rpartition(":")
        for session in (self.kept, self.fresh):
            _drop_idle(session.connector, host, int(port))

    def _check_head(
        self, call: EndpointCall, response: aiohttp.ClientResponse, silence: Silence
    ) -> HttpExchange:
        """Hold an answer to the request that it should belong to."""
        head = self.dialect.read_answer(response.status, response.headers)
        wanted = call.request.head.attempt_id
        if head.attempt_id and head.attempt_id != wanted:
            response.close()
            detail = f"{call.address} answered request {head.attempt_id!r} instead"
            raise CallFault(CallFaultKind.INVALID, detail, may_have_run=True)
        success = 200 <= head.status < 300
        if success and not (head.sealed and head.attempt_id):
            response.close()
            detail = f"{call.address} sent a success without its seal"
            raise CallFault(CallFaultKind.INVALID, detail, may_have_run=True)
        return HttpExchange(head=head, response=response, silence=silence)

    def _session(self, *, keepalive_timeout: float) -> aiohttp.ClientSession:
        session = aiohttp.ClientSession(
            connector=CheckedConnector(
                limit=0,
                keepalive_timeout=keepalive_timeout,
                socket_factory=_build_socket,
            ),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
            auto_decompress=False,
            read_bufsize=READ_BYTES,
        )
        # aiohttp would send idempotent methods once more by itself, unseen.
        session._retry_connection = False
        return session


def _build_socket(address_info) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    made = socket.socket(family=family, type=kind, proto=protocol)
    made.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS
    )
    return made


def _drop_idle(connector: aiohttp.TCPConnector, host: str, port: int) -> None:
    for key in list(connector._conns):
        if key.host == host and key.port == port:
            for protocol, _ in connector._conns.pop(key):
                protocol.close()


def _cut(error: Exception) -> CallFault:
    return CallFault(
        CallFaultKind.BROKEN, f"the answer was cut: {error!r}", may_have_run=True
    )

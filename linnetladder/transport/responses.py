"""How responses are read, whichever server sends them.

Connections made here take only responses that are sound by RFC 9110 and RFC 9112.
aiohttp alone would return others, and take some that broke off for complete ones.
"""

import asyncio
import functools
import time
from collections.abc import AsyncIterator

import aiohttp
from aiohttp.client_proto import ResponseHandler

from linnetladder.protocol.response_heads import (
    ResponseHeadError,
    ResponseHeadReader,
)

__all__ = [
    "MalformedResponseError",
    "OversizedBodyError",
    "StrictConnector",
    "StrictResponseHandler",
    "read_body",
    "read_parts",
]

# Bytes of a response that are no body, such as the framing of chunks, for which more is
# allowed as the body grows.
MAXIMUM_FRAMING_BYTES = 64 * 1024
FRAMING_BYTES_PER_BODY_BYTE = 16
# Bytes that are parsed at once. The parser keeps those that it has not parsed when its
# reader pauses it, so that they are counted before it is known what they are.
PARSED_BYTES = 64 * 1024
BROKEN_OFF = "the connection ended within the response"


class MalformedResponseError(aiohttp.ClientPayloadError):
    """A response that can't be used; the message contains none of its bytes."""


class OversizedBodyError(MalformedResponseError):
    """A body that exceeds its bound, which may have no end."""


class StrictResponseHandler(ResponseHandler):
    """A connection that fails responses whose head, framing or end is not sound.

    A head is checked before it is parsed. A body without a length is complete only if
    its connection was closed in order and not reset. Bytes that are no body, such as
    the framing of chunks, are bounded, since a server may send them without end.
    Unsolicited bytes close the connection. ``idle`` is set while no response is
    awaited; ``received_bytes`` and ``body_bytes`` count those of the current response.
    ``unparsed`` are bytes that wait until the body before them is read.
    ``read_seconds`` is the time that parsing the current response took.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self.idle = True
        self.head_reader = ResponseHeadReader()
        self.ended_in_order = False
        self.received_bytes = 0
        self.body_bytes = 0
        self.unparsed = b""
        self.read_seconds = 0.0

    def set_response_params(self, **options: object) -> None:
        """Mark the connection as awaiting a response."""
        self.idle = False
        self.head_reader = ResponseHeadReader()
        self.received_bytes = self.body_bytes = 0
        self.unparsed = b""
        self.read_seconds = 0.0
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the awaited response; others close the connection."""
        if self.idle and data:
            self.close()
            return
        if data and not self.head_reader.complete:
            try:
                data = self.head_reader.feed(data)
            except ResponseHeadError as error:
                self.fail(MalformedResponseError(str(error)))
                return
            if not data:
                return
        began = time.perf_counter()
        self._parse(data)
        self.read_seconds += time.perf_counter() - began

    def _parse(self, data: bytes) -> None:
        """Parse bytes until the reader of the body pauses it, and keep the others.

        It is called without bytes once the reader goes on.
        """
        if not data:
            # The parser has kept bytes, too, which come first.
            super().data_received(data)
        data = self.unparsed + data
        self.unparsed = b""
        for begin in range(0, len(data), PARSED_BYTES):
            if self._reading_paused:
                self.unparsed = data[begin:]
                return
            if self.idle:
                self.close()
                return
            if self.exception() is not None:
                return
            part = data[begin : begin + PARSED_BYTES]
            super().data_received(part)
            self._count(len(part))

    def _count(self, received: int) -> None:
        """Count bytes; fail the response if too many of them are no body."""
        self.received_bytes += received
        if self._payload is not None:
            self.body_bytes = self._payload.total_bytes
        framing = self.received_bytes - self.body_bytes
        allowed = self.body_bytes * FRAMING_BYTES_PER_BODY_BYTE + MAXIMUM_FRAMING_BYTES
        if framing > allowed:
            self.fail(MalformedResponseError(f"{framing} bytes are no body"))

    def take_read_seconds(self) -> float:
        """Return the time that parsing took since the last call."""
        seconds, self.read_seconds = self.read_seconds, 0.0
        return seconds

    def fail(self, error: MalformedResponseError) -> None:
        """Fail the current response and drop its connection."""
        self._fail_body(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> None:
        """Record that the server has closed the connection in order."""
        self.ended_in_order = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body that did not end with an orderly close."""
        if exc is not None or not self.ended_in_order or self.unparsed:
            self._fail_body(MalformedResponseError(BROKEN_OFF))
        super().connection_lost(exc)

    def close(self) -> None:
        """Close the connection; a body that is not complete fails."""
        self._fail_body(MalformedResponseError(BROKEN_OFF))
        super().close()

    def abort(self) -> None:
        """Drop the connection; a body that is not complete fails."""
        self._fail_body(MalformedResponseError(BROKEN_OFF))
        super().abort()

    def _fail_body(self, error: MalformedResponseError) -> None:
        body = self._payload
        if body is not None and not body.is_eof() and body.exception() is None:
            body.set_exception(error)


class StrictConnector(aiohttp.TCPConnector):
    """A connector whose connections are handled by ``handler_class``."""

    handler_class = StrictResponseHandler

    def __init__(self, **options: object):
        super().__init__(**options)
        self._factory = functools.partial(
            self.handler_class, loop=asyncio.get_running_loop()
        )

    def _release(
        self, key, protocol: StrictResponseHandler, *, should_close: bool = False
    ) -> None:
        """Mark a connection that returns to the pool as awaiting no response."""
        protocol.idle = True
        super()._release(key, protocol, should_close=should_close)


async def read_parts(
    response: aiohttp.ClientResponse, *, maximum_bytes: int
) -> AsyncIterator[bytes]:
    """Yield a body as it arrives; raise `OversizedBodyError` over a bound.

    The connection is closed if the body is not read to its end.
    """
    received = 0
    try:
        if (response.content_length or 0) > maximum_bytes:
            raise OversizedBodyError(f"the body exceeds {maximum_bytes} bytes")
        async for part in response.content.iter_any():
            received += len(part)
            if received > maximum_bytes:
                raise OversizedBodyError(f"the body exceeds {maximum_bytes} bytes")
            yield part
    except BaseException:
        response.close()
        raise


async def read_body(response: aiohttp.ClientResponse, *, maximum_bytes: int) -> bytes:
    """Return a whole body; raise `OversizedBodyError` over a bound."""
    parts = read_parts(response, maximum_bytes=maximum_bytes)
    return b"".join([part async for part in parts])

"""How responses are read, whichever server sends them.

Connections made here take only responses that are sound by RFC 9110 and RFC 9112.
aiohttp alone would return others as well.
"""

import asyncio
import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler

from linnetladder.protocol.response_heads import (
    MAXIMUM_HEAD_BYTES,
    ResponseHeadError,
    ResponseHeadReader,
)

__all__ = [
    "MalformedResponseError",
    "StrictConnector",
    "StrictResponseHandler",
]

# Framing of chunks that is allowed for each byte of a body, beside that of a head.
FRAMING_BYTES_PER_BODY_BYTE = 16


class MalformedResponseError(aiohttp.ClientPayloadError):
    """A response that can't be used; the message contains none of its bytes."""


class StrictResponseHandler(ResponseHandler):
    """A connection that fails responses whose head or framing is not sound.

    A head is checked before it is parsed. Bytes that are no body, such as the framing
    of chunks, are bounded, since a server may send them without end. Unsolicited bytes
    close the connection. ``idle`` is set while no response is awaited;
    ``received_bytes`` and ``body_bytes`` count those of the current response.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self.idle = True
        self.head_reader = ResponseHeadReader()
        self.was_reset = False
        self.received_bytes = 0
        self.body_bytes = 0

    def set_response_params(self, **options: object) -> None:
        """Mark the connection as awaiting a response."""
        self.idle = False
        self.head_reader = ResponseHeadReader()
        self.received_bytes = self.body_bytes = 0
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
        super().data_received(data)
        self.received_bytes += len(data)
        if self._payload is not None:
            self.body_bytes = self._payload.total_bytes
        framing = self.received_bytes - self.body_bytes
        allowed = self.body_bytes * FRAMING_BYTES_PER_BODY_BYTE + MAXIMUM_HEAD_BYTES
        if framing > allowed:
            self.fail(MalformedResponseError(f"{framing} bytes are no body"))

    def fail(self, error: MalformedResponseError) -> None:
        """Fail the current response and drop its connection."""
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record whether the connection was reset."""
        self.was_reset = exc is not None
        super().connection_lost(exc)


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

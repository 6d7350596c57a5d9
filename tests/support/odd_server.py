"""A server on a raw socket whose answers a test chooses, byte by byte."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable

__all__ = ["OddServer", "endless"]

PIECE_BYTES = 64 * 1024


class OddServer:
    """Sends the same bytes in answer to each request, then closes the connection.

    ``build_parts`` returns the parts that are sent. ``requests`` holds the heads of the
    requests.
    """

    def __init__(self, build_parts: Callable[[], Iterable[bytes]]):
        self.build_parts = build_parts
        self.requests: list[bytes] = []

    async def __aenter__(self) -> "OddServer":
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.url = f"http://{self.address}"
        return self

    async def __aexit__(self, *exception) -> None:
        self.server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            self.requests.append(await reader.readuntil(b"\r\n\r\n"))
            for part in self.build_parts():
                writer.write(part)
                await writer.drain()
        writer.close()


def endless(first: bytes, piece: bytes) -> Iterable[bytes]:
    """Yield a beginning and then a piece without end."""
    yield first
    pieces = piece * (PIECE_BYTES // len(piece) or 1)
    while True:
        yield pieces

"""A TCP relay with the bandwidth of a slow link, which counts the bytes it passes."""

import asyncio
import collections

__all__ = ["SlowLink"]

CHUNK_BYTES = 8 * 1024
BITS_PER_BYTE = 8
# A process that has nothing to pass on for longer finds the link idle.
WAKE_UP_SECONDS = 0.05


class SlowLink:
    """Forwards connections to a port of loopback at a rate that all of them share.

    ``bits_per_second`` is the rate of each direction, and ``passed_bytes`` counts the
    bytes by direction. While ``stalled`` is set nothing is passed on.
    """

    def __init__(self, *, port: int, bits_per_second: float):
        self.port = port
        self.bits_per_second = bits_per_second
        self.passed_bytes: collections.Counter[str] = collections.Counter()
        self.free_at: dict[str, float] = {"requests": 0.0, "answers": 0.0}
        self.stalled = False
        self.server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen on loopback and return ``IP:port``."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening."""
        self.server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            upstream = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._copy(reader, upstream[1], "requests"),
            self._copy(upstream[0], writer, "answers"),
        )

    def _next_begin(self, direction: str) -> float:
        """Return when the next bytes begin to pass, in seconds of the event loop.

        A link does not wait for this process: when it wakes up a little late the bytes
        began to pass at once after those before.
        """
        now, free_at = asyncio.get_running_loop().time(), self.free_at[direction]
        return free_at if now - free_at < WAKE_UP_SECONDS else now

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(CHUNK_BYTES):
                seconds = len(data) * BITS_PER_BYTE / self.bits_per_second
                self.free_at[direction] = self._next_begin(direction) + seconds
                await asyncio.sleep(self.free_at[direction] - loop.time())
                while self.stalled:
                    await asyncio.sleep(0.01)
                self.passed_bytes[direction] += len(data)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            # The other end closed the connection; so does this one.
            pass
        finally:
            writer.close()

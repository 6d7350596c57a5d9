"""A TCP relay in front of one endpoint that injects connection faults.

``POST /control`` on the control port sets the fault. ``{"order": "silence"}`` keeps the
open connections open but forwards nothing more on them, while new connections work.
``{"order": "cut"}`` closes the open connections and refuses new ones until
``{"order": "heal"}``.
"""

import asyncio

from absl import app as absl_app
from absl import flags
from aiohttp import web

from standins.serving import serve

__all__ = ["Relay"]

FLAGS = flags.FLAGS
CHUNK_BYTES = 65_536


class Relay:
    """Forward bytes in both directions, subject to the injected fault.

    Each connection keeps the ``generation`` in which it was opened; only connections of
    the current generation are forwarded.
    """

    def __init__(self, *, host: str, port: int):
        self.host = host
        self.port = port
        self.generation = 0
        self.is_cut = False
        self.writers: set[asyncio.StreamWriter] = set()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until both directions have ended."""
        if self.is_cut:
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.transport.abort()
            return
        if self.is_cut:
            writer.transport.abort()
            upstream[1].transport.abort()
            return
        writers = {writer, upstream[1]}
        self.writers |= writers
        generation = self.generation
        await asyncio.gather(
            self._copy(reader, upstream[1], generation),
            self._copy(upstream[0], writer, generation),
        )
        self.writers -= writers

    def silence(self) -> None:
        """Stop forwarding on all open connections without closing them."""
        self.generation += 1

    def cut(self) -> None:
        """Abort all open connections and refuse new ones."""
        self.is_cut = True
        for writer in self.writers:
            writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        generation: int,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if generation == self.generation:
                    writer.write(data)
                    await writer.drain()
            if generation == self.generation:
                writer.close()
        except OSError:
            writer.transport.abort()


async def _start(relay: Relay, port: int) -> None:
    await asyncio.start_server(relay.handle, "127.0.0.1", port, backlog=512)


def main(argv: list[str]) -> None:
    """Serve until stopped."""
    relay = Relay(host="127.0.0.1", port=FLAGS.to_port)
    app = web.Application()

    async def control(request: web.Request) -> web.Response:
        action = (await request.json())["order"]
        if action == "silence":
            relay.silence()
        elif action == "cut":
            relay.cut()
        else:
            relay.is_cut = False
        return web.json_response({})

    async def on_startup(app: web.Application) -> None:
        await _start(relay, FLAGS.port)

    app.on_startup.append(on_startup)
    app.router.add_post("/control", control)
    serve(app, port=FLAGS.control_port)


if __name__ == "__main__":
    flags.DEFINE_integer("port", 9200, "Port to relay from.")
    flags.DEFINE_integer("to_port", 9000, "Port to relay to.")
    flags.DEFINE_integer("control_port", 9201, "Port for orders.")
    absl_app.run(main)

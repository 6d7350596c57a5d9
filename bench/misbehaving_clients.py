"""Clients that don't behave: they hold what they can of a daemon and read nothing.

Each opens one connection after the other to a random daemon, and draws what it does on
it. They stay inside no limit but that of a bounded run.
"""

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable

from bench.fleet_site import ACCOUNTS, HOST, FleetSite

__all__ = ["MisbehavingClients"]

CLIENTS = 40
BODY_BYTES = 1024 * 1024
PIPELINED = 100
TINY_CHUNKS = b"7\r\nxxxxxxx\r\n" * 20_000
# How long a client stays on a connection at most.
STAY_SECONDS = 4.0


class MisbehavingClients:
    """A crowd on the daemons of a site, drawn by a seed."""

    def __init__(self, *, site: FleetSite, seed: int):
        self.site = site
        self.seed = seed
        self.serial = 0

    async def run(self, until: float) -> None:
        """Let the clients work until a time of the monotonic clock."""
        async with asyncio.TaskGroup() as tasks:
            for number in range(CLIENTS):
                rng = random.Random(f"misbehaving {number} of {self.seed}")
                tasks.create_task(self._run_client(rng, until))

    async def _run_client(self, rng: random.Random, until: float) -> None:
        works = (self._stop_short, self._send_chunks, self._pipeline, self._stay_silent)
        while time.monotonic() < until:
            daemon = rng.choice(self.site.daemon_names)
            port = rng.choice(("front", "front", "front", "ready", "peer"))
            seconds = STAY_SECONDS * rng.random()
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(seconds):
                    await self._connect(
                        self.site.ports[daemon][port], rng.choice(works)
                    )
            await asyncio.sleep(0.05)

    async def _connect(
        self, port: int, work: Callable[[asyncio.StreamWriter], Awaitable[None]]
    ) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            await work(writer)
            await asyncio.sleep(STAY_SECONDS)
        finally:
            writer.transport.abort()

    async def _stop_short(self, writer: asyncio.StreamWriter) -> None:
        """Send a body but its last byte."""
        writer.write(self._head(f"Content-Length: {BODY_BYTES}"))
        writer.write(b"x" * (BODY_BYTES - 1))
        await writer.drain()

    async def _send_chunks(self, writer: asyncio.StreamWriter) -> None:
        """Send a body in tiny chunks without an end."""
        writer.write(self._head("Transfer-Encoding: chunked") + TINY_CHUNKS)
        await writer.drain()

    async def _pipeline(self, writer: asyncio.StreamWriter) -> None:
        """Send many requests and read no answer."""
        for _ in range(PIPELINED):
            writer.write(self._head("Content-Length: 20000") + b"x" * 20_000)
            await writer.drain()

    async def _stay_silent(self, writer: asyncio.StreamWriter) -> None:
        """Send an unfinished head."""
        writer.write(self._head("X-Unfinished: 1")[:-2])

    def _head(self, field: str) -> bytes:
        self.serial += 1
        # The credential is of no account, so that nothing of this runs or is billed.
        rows = (
            "POST /fetch/crowd HTTP/1.1",
            f"Host: {HOST}",
            f"Linnetladder-Attempt-Id: crowd-{self.serial}",
            "Linnetladder-Deadline-Ms: 6000",
            f"Authorization: Bearer no-{next(iter(ACCOUNTS))}",
            field,
        )
        return ("\r\n".join(rows) + "\r\n\r\n").encode()

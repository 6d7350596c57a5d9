"""Crowds of clients that do not behave, against one daemon in a process of its own.

The limits are low, so that a small crowd reaches them. Memory is that of the process
and the bytes that its sockets have received and it has not read.
"""

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp

from bench.fleet_site import ACCOUNTS, HOST, FleetSite
from bench.process_gauge import ProcessGauge
from bench.processes import wait_for

__all__ = ["BODY_LIMIT", "Crowd", "HEADER_LIMIT", "MEMORY_MEGABYTES", "run_crowd"]

MEMORY_MEGABYTES = 128
DESCRIPTORS = 400
BODY_LIMIT = 1024 * 1024
HEADER_LIMIT = 16_384
LIMITS = {
    "MaxHeaderBytes": HEADER_LIMIT,
    "HeaderTimeoutMs": 1000,
    "IdleTimeoutMs": 4000,
}
# Tries of the ordinary caller, and what it allows for each.
ORDINARY_TRIES = 5
ORDINARY_SECONDS = 6.0
CONNECT_SECONDS = 1.0
PAUSE_SECONDS = 0.5

_attempts = itertools.count(1)


class Crowd:
    """Clients that each open one connection, and what they send on it."""

    def __init__(self, site: FleetSite):
        self.site = site
        self.writers: list[asyncio.StreamWriter] = []
        self.tasks: list[asyncio.Task] = []

    def open(
        self, count: int, send: Callable[..., Awaitable[None]], port: str = "front"
    ) -> None:
        """Let clients connect to a port of the daemon and send."""
        for _ in range(count):
            self.tasks.append(asyncio.ensure_future(self._client(send, port)))

    async def _client(self, send: Callable[..., Awaitable[None]], port: str) -> None:
        # A client that was cut off does no more; the others stay.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.site.ports["daemon-1"][port]
            )
            self.writers.append(writer)
            await send(reader, writer)

    async def leave(self) -> None:
        """Close all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    def head(self, route: str, *fields: str) -> bytes:
        """Return the head of a request with further header fields."""
        rows = [
            f"POST /{route}/crowd HTTP/1.1",
            f"Host: {HOST}",
            f"Linnetladder-Attempt-Id: crowd-{next(_attempts)}",
            "Linnetladder-Deadline-Ms: 20000",
            f"Authorization: Bearer {ACCOUNTS['studio']}",
            *fields,
        ]
        return ("\r\n".join(rows) + "\r\n\r\n").encode()


async def request(site: FleetSite, body: bytes, *, route: str = "fetch") -> int:
    """Send one request on a connection of its own and return its status, 0 if none."""
    headers = {
        "Host": HOST,
        "Linnetladder-Attempt-Id": f"ordinary-{next(_attempts)}",
        "Linnetladder-Deadline-Ms": str(int(ORDINARY_SECONDS * 1000)),
        "Authorization": f"Bearer {ACCOUNTS['printer']}",
    }
    timeout = aiohttp.ClientTimeout(total=ORDINARY_SECONDS, connect=CONNECT_SECONDS)
    url = f"{site.front_url('daemon-1')}/{route}/x"
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(url, data=body, headers=headers) as answer,
        ):
            await answer.read()
            return answer.status
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0


async def ordinary_statuses(site: FleetSite) -> list[int]:
    """Return the statuses of an ordinary caller's tries, up to the first success."""
    statuses = []
    while len(statuses) < ORDINARY_TRIES and 200 not in statuses:
        if statuses:
            await asyncio.sleep(PAUSE_SECONDS)
        statuses.append(await request(site, b"x"))
    return statuses


def run_crowd(
    folder: Path,
    work: Callable[[Crowd], Awaitable[None]],
    *,
    seconds: float,
    body_limit: int = BODY_LIMIT,
) -> None:
    """Let a crowd work, and check what must hold while it is there and afterwards.

    The process lives, its memory and descriptors stay under the limits that it was
    given, and an ordinary caller is served, beside the crowd and once it has left.
    """
    asyncio.run(_run_crowd(folder, work, seconds, body_limit))


async def _run_crowd(
    folder: Path,
    work: Callable[[Crowd], Awaitable[None]],
    seconds: float,
    body_limit: int,
) -> None:
    site = FleetSite(
        folder=folder,
        daemons=1,
        event_seconds=0.5,
        limits={**LIMITS, "MaxBodyBytes": body_limit},
        settings={
            "Limits.MemoryMb": MEMORY_MEGABYTES,
            "Limits.MaxFds": DESCRIPTORS,
        },
        descriptors=DESCRIPTORS,
    )
    crowd = Crowd(site)
    watching = None
    try:
        await site.start()
        assert await wait_for(site.ready_url("daemon-1"))
        process = site.process_manager.processes["daemon-1"]
        gauge = ProcessGauge(process.pid, set(site.ports["daemon-1"].values()))
        watching = asyncio.ensure_future(gauge.watch())
        await work(crowd)
        await asyncio.sleep(seconds)
        beside = await ordinary_statuses(site)
        await crowd.leave()
        after = await ordinary_statuses(site)
        figures = (
            f"{gauge.highest_megabytes:.0f} MB, {gauge.highest_descriptors} "
            f"descriptors, beside {beside}, after {after}"
        )
        print(figures)
        assert process.poll() is None, f"the process ended: {figures}"
        assert gauge.highest_megabytes <= MEMORY_MEGABYTES, figures
        assert gauge.highest_descriptors < DESCRIPTORS, figures
        assert beside[-1] == after[-1] == 200, figures
    finally:
        if watching is not None:
            watching.cancel()
        await crowd.leave()
        await site.stop()

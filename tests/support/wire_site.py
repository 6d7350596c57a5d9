"""A site of real daemons whose endpoints answer with the bytes that a test chooses."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable

import aiohttp

from bench.fleet_site import HOST, FleetSite
from bench.processes import free_port

__all__ = ["WireRequest", "WireSite", "answer_bytes", "read_answer"]

READY_TIMEOUT_SECONDS = 40.0
SLOTS = 200
KEY = "key-studio"


class WireRequest:
    """A request as an endpoint received it; ``connection_requests`` counts from 1.

    ``read_body`` reads its body of ``body_bytes`` and drops it.
    """

    def __init__(
        self,
        *,
        attempt: str,
        path: str,
        connection_requests: int,
        body_bytes: int,
        reader: asyncio.StreamReader,
    ):
        self.attempt = attempt
        self.path = path
        self.connection_requests = connection_requests
        self.body_bytes = body_bytes
        self.reader = reader
        self.received_at = time.monotonic()

    async def read_body(self) -> None:
        """Read the body; raise `IncompleteReadError` if it breaks off."""
        await self.reader.readexactly(self.body_bytes)


class WireEndpoint:
    """An endpoint on a raw socket; ``answer`` writes what it likes for each request."""

    def __init__(self, *, name: str, service: str, site: "WireSite"):
        self.name = name
        self.service = service
        self.site = site
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.server: asyncio.Server | None = None
        self.runs: list[WireRequest] = []

    async def start(self) -> None:
        """Listen and register."""
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=4 * 1024 * 1024
        )
        self.register()

    async def stop(self) -> None:
        """Stop listening."""
        self.server.close()

    def register(self) -> None:
        """Write the entry of the endpoint."""
        self.sequence += 1
        host, port = self.server.sockets[0].getsockname()
        self.site.store.put(
            f"servers/{self.name}",
            {
                "Service": self.service,
                "Address": f"{host}:{port}",
                "Zone": "zone-1",
                "Version": "v1",
                "Slots": SLOTS,
                "State": "ready",
                "ColdMs": 0,
                "Seq": self.sequence,
                "born": self.born,
            },
        )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        count = 0
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines)
                }
                count += 1
                request = WireRequest(
                    attempt=headers.get("linnetladder-attempt-id", ""),
                    path=first.split(" ")[1],
                    connection_requests=count,
                    body_bytes=int(headers.get("content-length", "0")),
                    reader=reader,
                )
                if not self.site.answers_early:
                    await request.read_body()
                if request.attempt:
                    self.runs.append(request)
                if not await self.site.answer(request, writer):
                    break
        writer.close()


class WireSite(FleetSite):
    """A site whose endpoints answer by ``answer``, which returns false to close.

    With ``answers_early`` requests are answered before their bodies are read. With
    ``through_peers`` the first daemon reaches endpoints only through the others.
    """

    def __init__(
        self,
        *,
        answer: Callable[[WireRequest, asyncio.StreamWriter], Awaitable[bool]],
        endpoints: int = 2,
        answers_early: bool = False,
        through_peers: bool = False,
        **options,
    ):
        super().__init__(own_links=through_peers, **options)
        self.answer = answer
        self.endpoints = endpoints
        self.answers_early = answers_early

    async def _start_worker(self, name: str, service: str, zone: str) -> None:
        # FleetSite starts two endpoints of each service.
        for number in range(self.endpoints // 2):
            endpoint = WireEndpoint(name=f"{name}-{number}", service=service, site=self)
            await endpoint.start()
            self.workers.append(endpoint)

    async def _start_own_links(self, daemon: str) -> str:
        """Return an address of the store that gives the first daemon no way out."""
        addresses = {}
        if daemon == self.daemon_names[0]:
            port = free_port()
            addresses = {worker.name: f"127.0.0.1:{port}" for worker in self.workers}
        return await self.store.start(worker_addresses=addresses)

    async def wait_until_ready(self) -> None:
        """Wait until all daemons say that they are ready."""
        async with (
            asyncio.timeout(READY_TIMEOUT_SECONDS),
            aiohttp.ClientSession() as session,
        ):
            for name in self.daemon_names:
                while not await self._is_ready(session, name):
                    await asyncio.sleep(0.05)

    async def _is_ready(self, session: aiohttp.ClientSession, name: str) -> bool:
        try:
            async with session.get(self.ready_url(name)) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    def ran(self) -> dict[str, WireRequest]:
        """Return the requests that reached an endpoint, by their attempt ids."""
        return {run.attempt: run for worker in self.workers for run in worker.runs}

    def request_head(self, kind: str, attempt: str, *, body_bytes: int = 0) -> bytes:
        """Return the head of a caller's request on a route."""
        lines = [
            f"POST /{kind}/{attempt} HTTP/1.1",
            f"Host: {HOST}",
            f"Linnetladder-Attempt-Id: {attempt}",
            f"Authorization: Bearer {KEY}",
            f"Content-Length: {body_bytes}",
        ]
        if kind == "stream":
            lines.append("Linnetladder-Model: *")
            lines.append("Linnetladder-Token-Counts: 10,20")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


def answer_bytes(attempt: str, body: bytes, *, framing: str, streams: bool) -> bytes:
    """Return a whole answer with a body that is framed in one of three ways."""
    lines = [
        "HTTP/1.1 200 OK",
        f"Linnetladder-Attempt-Id: {attempt}",
        f"Linnetladder-Server-Seal: seal-{attempt}",
        "Linnetladder-Confidence: 99",
        "Linnetladder-Weight-Versions: 1",
    ]
    if streams:
        lines.append("Content-Type: text/event-stream")
    framed = body
    if framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    elif framing == "chunked":
        lines.append("Transfer-Encoding: chunked")
        half = len(body) // 2
        parts = [part for part in (body[:half], body[half:]) if part]
        framed = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + framed


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes, bool]:
    """Return the status, the body and whether the answer is complete.

    The status is 0 if the connection ended within the head or before it.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, b"", False
    status = int(head.split(b" ")[1])
    lower = head.lower()
    try:
        if b"transfer-encoding: chunked" in lower:
            return status, *await _read_chunks(reader)
        length = int(lower.split(b"content-length:")[1].split(b"\r\n")[0])
        return status, await reader.readexactly(length), True
    except asyncio.IncompleteReadError as error:
        return status, error.partial, False
    except ConnectionError:
        return status, b"", False


async def _read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    body = b""
    try:
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    except (asyncio.IncompleteReadError, ConnectionError):
        return body, False
    return body, True

"""Clients of a `FleetSite`: they send requests and record the responses.

A `StubbornConnection` is used until the process at its other end is gone, whatever the
answers say of closing it.
"""

import asyncio
import time

import aiohttp

from bench.fleet_checks import SentRequest
from bench.fleet_site import ACCOUNTS, HOST, REVOKED_KEY

__all__ = ["StubbornConnection", "open_session", "send"]

REQUEST_DEADLINE_SECONDS = 6.0
# A client waits this much beyond its stated deadline before it closes the connection.
CLIENT_SLACK_SECONDS = 2.0


def open_session() -> aiohttp.ClientSession:
    """Return a session that reuses connections and never retries by itself."""
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    session._retry_connection = False
    return session


async def send(
    session: aiohttp.ClientSession,
    sent: SentRequest,
    *,
    front_url: str,
    shared_parts: tuple[str, ...],
) -> None:
    """Send one request and record its response.

    The prompts of streams begin with the ``shared_parts``, of 400 tokens each.
    """
    headers = _build_headers(sent, shared_parts)
    url = f"{front_url}{sent.path}"
    try:
        async with asyncio.timeout(REQUEST_DEADLINE_SECONDS + CLIENT_SLACK_SECONDS):
            async with session.post(url, headers=headers, data=b"x") as response:
                sent.body = await response.read()
                sent.status = response.status
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        sent.error = repr(error)
    sent.ended = time.monotonic()


def _build_headers(sent: SentRequest, shared_parts: tuple[str, ...]) -> dict[str, str]:
    """Return the headers of a request."""
    key = REVOKED_KEY if sent.account == "guest" else ACCOUNTS[sent.account]
    headers = {
        "Host": HOST,
        "Linnetladder-Attempt-Id": sent.attempt,
        "Linnetladder-Deadline-Ms": str(int(REQUEST_DEADLINE_SECONDS * 1000)),
        "Authorization": f"Bearer {key}",
    }
    if sent.route == "stream":
        headers["Linnetladder-Model"] = "*"
        tokens = 400 * len(shared_parts) + 100
        headers["Linnetladder-Token-Counts"] = f"{tokens},20"
        headers["Linnetladder-Prompt-Prefix"] = ",".join(
            [f"{part}:400" for part in shared_parts] + [f"{sent.attempt}:100"]
        )
    return headers


class StubbornConnection:
    """A connection to one daemon that is used until it breaks."""

    def __init__(self, *, port: int):
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send(self, sent: SentRequest, *, shared_parts: tuple[str, ...]) -> None:
        """Send one request and record its response; connect if there is need."""
        rows = [f"POST {sent.path} HTTP/1.1", "Content-Length: 1"]
        headers = _build_headers(sent, shared_parts)
        rows += [f"{name}: {value}" for name, value in headers.items()]
        try:
            async with asyncio.timeout(REQUEST_DEADLINE_SECONDS + CLIENT_SLACK_SECONDS):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(
                        "127.0.0.1", self.port
                    )
                self.writer.write(("\r\n".join(rows) + "\r\n\r\nx").encode())
                sent.status, sent.body = await self._read_answer()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            sent.status, sent.body = 0, b""
            sent.error = repr(error)
            self.close()
        sent.ended = time.monotonic()

    async def _read_answer(self) -> tuple[int, bytes]:
        rows = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = dict(row.lower().split(": ", 1) for row in rows[1:] if row)
        status = int(rows[0].split()[1])
        if fields.get("transfer-encoding") != "chunked":
            size = int(fields.get("content-length", 0))
            return status, await self.reader.readexactly(size)
        body = b""
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            body += (await self.reader.readexactly(size + 2))[:-2]
        await self.reader.readexactly(2)
        return status, body

    def close(self) -> None:
        """Close the connection; the next request opens another one."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None

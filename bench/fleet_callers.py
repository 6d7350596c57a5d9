"""Clients of a `FleetSite`: they send requests and record the responses."""

import asyncio
import time

import aiohttp

from bench.fleet_checks import SentRequest
from bench.fleet_site import ACCOUNTS, HOST, REVOKED_KEY

__all__ = ["open_session", "send"]

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
    url = f"{front_url}{sent.path}"
    try:
        async with asyncio.timeout(REQUEST_DEADLINE_SECONDS + CLIENT_SLACK_SECONDS):
            async with session.post(url, headers=headers, data=b"x") as response:
                sent.body = await response.read()
                sent.status = response.status
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        sent.error = repr(error)
    sent.ended = time.monotonic()

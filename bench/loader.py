"""Send one kind of request from a number of callers and print the latencies as JSON."""

import asyncio
import json
import secrets
import time

import aiohttp
import uvloop
from absl import app as absl_app
from absl import flags

__all__ = ["main"]

FLAGS = flags.FLAGS
PROMPT_CHARACTERS = 1800
ANSWER_CHARACTERS = 120


def build_body(model: str, stream: bool) -> bytes:
    """Return a request of about 2 KB."""
    messages = [
        {"role": "system", "content": "s" * PROMPT_CHARACTERS},
        {"role": "user", "content": "u" * ANSWER_CHARACTERS},
    ]
    document = {"model": model, "messages": messages, "stream": stream}
    return json.dumps(document).encode()


async def call(session: aiohttp.ClientSession, body: bytes) -> tuple[float, float]:
    """Send one request and return the seconds to the first byte and to the end."""
    headers = {
        "Authorization": f"Bearer {FLAGS.credential}",
        "X-Request-Id": secrets.token_hex(8),
    }
    started = time.perf_counter()
    async with session.post(FLAGS.url, data=body, headers=headers) as response:
        await response.content.readany()
        first = time.perf_counter() - started
        await response.content.read()
        if response.status != 200:
            raise RuntimeError(f"status {response.status}")
    return first, time.perf_counter() - started


async def run() -> dict:
    """Load the URL for a while and return what was seen."""
    body = build_body(FLAGS.model, FLAGS.stream)
    firsts: list[float] = []
    totals: list[float] = []
    errors = 0
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        for _ in range(20):
            await call(session, body)
        ends = time.perf_counter() + FLAGS.seconds

        async def work() -> None:
            nonlocal errors
            while time.perf_counter() < ends:
                try:
                    first, total = await call(session, body)
                except (RuntimeError, aiohttp.ClientError):
                    errors += 1
                    continue
                firsts.append(first)
                totals.append(total)

        await asyncio.gather(*(work() for _ in range(FLAGS.callers)))
    return {"firsts": firsts, "totals": totals, "errors": errors}


def main(argv: list[str]) -> None:
    """Print the result of one run."""
    print(json.dumps(uvloop.run(run())))


if __name__ == "__main__":
    flags.DEFINE_string("url", "", "URL to load.")
    flags.DEFINE_string("model", "", "Model to ask for.")
    flags.DEFINE_string("credential", "", "Credential to send.")
    flags.DEFINE_integer("callers", 1, "Callers at once.")
    flags.DEFINE_float("seconds", 3.0, "Time to load for.")
    flags.DEFINE_bool("stream", False, "Whether to ask for streams.")
    absl_app.run(main)

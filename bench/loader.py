"""Load generator: send one kind of request concurrently, print latencies as JSON."""

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
SYSTEM_PROMPT_CHARACTERS = 1800
# The stand-in engine echoes the user message, so this is also the answer's length.
ANSWER_CHARACTERS = 120


def build_body(model: str, stream: bool) -> bytes:
    """Return a chat request body of about 2 KB."""
    messages = [
        {"role": "system", "content": "s" * SYSTEM_PROMPT_CHARACTERS},
        {"role": "user", "content": "u" * ANSWER_CHARACTERS},
    ]
    document = {"model": model, "messages": messages, "stream": stream}
    return json.dumps(document).encode()


async def send_request(
    session: aiohttp.ClientSession, body: bytes
) -> tuple[float, float]:
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
    """Send requests for ``--seconds``, after 20 warm-up requests.

    Return the seconds to the first byte and to the end of each request, and the
    number of failed requests.
    """
    body = build_body(FLAGS.model, FLAGS.stream)
    first_byte_seconds: list[float] = []
    total_seconds: list[float] = []
    errors = 0
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        for _ in range(20):
            await send_request(session, body)
        end_time = time.perf_counter() + FLAGS.seconds

        async def run_caller() -> None:
            nonlocal errors
            while time.perf_counter() < end_time:
                try:
                    first, total = await send_request(session, body)
                except (RuntimeError, aiohttp.ClientError):
                    errors += 1
                    continue
                first_byte_seconds.append(first)
                total_seconds.append(total)

        await asyncio.gather(*(run_caller() for _ in range(FLAGS.callers)))
    return {"firsts": first_byte_seconds, "totals": total_seconds, "errors": errors}


def main(argv: list[str]) -> None:
    """Run the load and print its result."""
    print(json.dumps(uvloop.run(run())))


if __name__ == "__main__":
    flags.DEFINE_string("url", "", "URL to load.")
    flags.DEFINE_string("model", "", "Model to ask for.")
    flags.DEFINE_string("credential", "", "Credential to send.")
    flags.DEFINE_integer("callers", 1, "Callers at once.")
    flags.DEFINE_float("seconds", 3.0, "Time to load for.")
    flags.DEFINE_bool("stream", False, "Whether to ask for streams.")
    absl_app.run(main)

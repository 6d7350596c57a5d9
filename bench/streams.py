"""Measure a daemon's memory per open stream and CPU time per streamed event."""

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
from absl import app as absl_app
from absl import flags
from rich.console import Console

from bench.demo import run_management_command
from bench.overhead import cpu_seconds
from bench.sites import SITE_SPECS, Site, credential
from bench.slopes import memory_bytes

__all__ = ["main"]

FLAGS = flags.FLAGS
TOKEN_SECONDS = 0.038
ANSWER_CHARACTERS = 3000
MEASURE_SECONDS = 6.0
KIBIBYTE = 1024


class StreamReaders:
    """Reads streams to their end and counts their events."""

    def __init__(self, *, url: str):
        self.url = url
        self.event_count = 0

    async def read(self, session: aiohttp.ClientSession) -> None:
        """Read one stream to its end."""
        messages = [{"role": "user", "content": "x" * ANSWER_CHARACTERS}]
        document = {
            "model": "linnet-medium@2026.08",
            "messages": messages,
            "stream": True,
        }
        headers = {"Authorization": f"Bearer {credential('ozols')}"}
        async with session.post(
            self.url, data=json.dumps(document), headers=headers
        ) as response:
            async for chunk in response.content.iter_any():
                self.event_count += chunk.count(b"\n\n")


async def run(console: Console) -> bool:
    """Open the streams and measure the daemon while it forwards them.

    Return False if the configuration was rejected or no event arrived.
    """
    folder = Path(tempfile.mkdtemp(prefix="linnetladder-streams-"))
    site = Site(spec=SITE_SPECS["daugava"], folder=folder, token_seconds=TOKEN_SECONDS)
    site.daemons = site.daemons[:1]
    text = site.spec.declarations.read_text("utf-8")
    # Raise the limit on requests in flight of the large accounts.
    text = text.replace("quality_target: 0.9", "maximum_in_flight: 4096")
    declarations = folder / "settings.yaml"
    declarations.write_text(text, "utf-8")
    try:
        await site.start("--maximum_queue=4096")
        if run_management_command(
            site, "apply", str(declarations), "--wait"
        ).returncode:
            return False
        await site.wait_ready()
        pid = site.process_manager.processes[site.daemons[0].name].pid
        memory_before = memory_bytes(pid)
        readers = StreamReaders(
            url=site.caller_url(site.daemons[0]) + "/v1/chat/completions"
        )
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            tasks = [
                asyncio.ensure_future(readers.read(session))
                for _ in range(FLAGS.streams)
            ]
            await asyncio.sleep(4.0)
            event_count, cpu_before = readers.event_count, cpu_seconds(pid)
            started = time.monotonic()
            await asyncio.sleep(MEASURE_SECONDS)
            elapsed = time.monotonic() - started
            measured_events = readers.event_count - event_count
            cpu_used = cpu_seconds(pid) - cpu_before
            memory_during = memory_bytes(pid)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        site.process_manager.stop()
    console.print(
        f"{FLAGS.streams} streams: {measured_events / elapsed:.0f} events/s, "
        f"{cpu_used * 1e6 / max(measured_events, 1):.0f} us of CPU time per event, "
        f"{(memory_during - memory_before) / KIBIBYTE / FLAGS.streams:.1f} "
        "KiB per stream"
    )
    return measured_events > 0


def main(argv: list[str]) -> None:
    """Measure and print."""
    sys.exit(0 if asyncio.run(run(Console(width=120))) else 1)


if __name__ == "__main__":
    flags.DEFINE_integer("streams", 40, "Streams to open.")
    absl_app.run(main)

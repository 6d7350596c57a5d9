"""Measure how a flood of requests from one large account affects the small accounts.

The small accounts send the same low rate of requests without and with the flood. The
run passes if their p95 latency with the flood is at most three times the p95 without
it, the documented bound.
"""

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
import numpy
from absl import app as absl_app
from absl import flags
from rich.console import Console
from rich.table import Table

from bench.demo import run_management_command
from bench.sites import SITE_SPECS, Site, credential

__all__ = ["main"]

FLAGS = flags.FLAGS
MAXIMUM_P95_RATIO = 3.0
SMALL_ACCOUNT_PAUSE_SECONDS = 0.2
MODEL = "linnet-small@2026.09"


async def send_request(session: aiohttp.ClientSession, url: str, account: str) -> float:
    """Send one request; return its latency in seconds, or infinity if refused."""
    document = {"model": MODEL, "messages": [{"role": "user", "content": "x" * 90}]}
    headers = {
        "Authorization": f"Bearer {credential(account)}",
        "Linnetladder-Deadline-Ms": "10000",
    }
    started = time.monotonic()
    async with session.post(
        url, data=json.dumps(document), headers=headers
    ) as response:
        await response.read()
        if response.status != 200:
            return float("inf")
    return time.monotonic() - started


async def run_load(site: Site, *, flood: int) -> dict[str, list[float]]:
    """Send the small accounts' requests beside ``flood`` callers of a large account.

    Return the latencies in seconds of both groups, with infinity for a refusal.
    """
    url = site.caller_url(site.daemons[0]) + "/v1/chat/completions"
    large = site.spec.large_accounts[0]
    small = [a for a in site.spec.accounts if a not in site.spec.large_accounts]
    latencies: dict[str, list[float]] = {"small": [], "large": []}
    end_time = time.monotonic() + FLAGS.seconds
    connector = aiohttp.TCPConnector(limit=0)

    async def run_caller(account: str, group: str, pause: float) -> None:
        while time.monotonic() < end_time:
            seconds = await send_request(session, url, account)
            latencies[group].append(seconds)
            refused_pause = 0.05 if seconds == float("inf") else 0.0
            await asyncio.sleep(max(pause, refused_pause))

    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(
            *(
                run_caller(account, "small", SMALL_ACCOUNT_PAUSE_SECONDS)
                for account in small
            ),
            *(run_caller(large, "large", 0.0) for _ in range(flood)),
        )
    return latencies


def _percentile_milliseconds(values: list[float], percent: float) -> float:
    return float(numpy.percentile(values, percent)) * 1000 if values else 0.0


async def run(console: Console) -> bool:
    """Measure both cases and return whether the p95 ratio is within its bound."""
    folder = Path(tempfile.mkdtemp(prefix="linnetladder-flood-"))
    site = Site(spec=SITE_SPECS["daugava"], folder=folder, token_seconds=0.005)
    site.daemons = site.daemons[:1]
    text = site.spec.declarations.read_text("utf-8")
    # Raise the rate limits so that they do not reject the load.
    for old in ("requests_per_second: 400", "burst: 800"):
        text = text.replace(old, old.split(":")[0] + ": 100000")
    # Raise the limit on requests in flight of the large accounts.
    text = text.replace("quality_target: 0.9", "maximum_in_flight: 4096")
    declarations = folder / "settings.yaml"
    declarations.write_text(text, "utf-8")
    try:
        await site.start("--address_requests_per_second=100000")
        if run_management_command(
            site, "apply", str(declarations), "--wait"
        ).returncode:
            return False
        await site.wait_ready()
        without_flood = await run_load(site, flood=0)
        with_flood = await run_load(site, flood=FLAGS.flood)
    finally:
        site.process_manager.stop()
    table = Table(title=f"flood of {FLAGS.flood} callers of one account")
    for column in ("case", "small p50 ms", "small p95 ms", "small refused", "large/s"):
        table.add_column(column)
    for name, latencies in (("no flood", without_flood), ("flood", with_flood)):
        refused = sum(1 for value in latencies["small"] if value == float("inf"))
        answered = sum(1 for value in latencies["large"] if value != float("inf"))
        table.add_row(
            name,
            f"{_percentile_milliseconds(latencies['small'], 50):.0f}",
            f"{_percentile_milliseconds(latencies['small'], 95):.0f}",
            f"{refused} of {len(latencies['small'])}",
            f"{answered / FLAGS.seconds:.0f}",
        )
    console.print(table)
    p95_ratio = _percentile_milliseconds(
        with_flood["small"], 95
    ) / _percentile_milliseconds(without_flood["small"], 95)
    console.print(f"p95 with / without flood: {p95_ratio:.2f}, max {MAXIMUM_P95_RATIO}")
    return p95_ratio <= MAXIMUM_P95_RATIO


def main(argv: list[str]) -> None:
    """Measure and print."""
    sys.exit(0 if asyncio.run(run(Console(width=120))) else 1)


if __name__ == "__main__":
    flags.DEFINE_float("seconds", 8.0, "Length of each case.")
    flags.DEFINE_integer("flood", 300, "Callers of the large account.")
    absl_app.run(main)

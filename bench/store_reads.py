"""What reads of the store cost a daemon: bytes, calls and the time of a change.

Real daemons read the store stand-in, each over a link of its own, first without changes
and then through changes of the configuration. Usage::

    python -m bench.store_reads --daemons=8 --routes=2800 --mbps=5
"""

import asyncio
import json
import tempfile
import time
from pathlib import Path

import aiohttp
from absl import app as absl_app
from absl import flags

from bench.fleet_site import FleetSite
from standins.slow_link import SlowLink

__all__ = ["MeasuredSite", "measure"]

FLAGS = flags.FLAGS
flags.DEFINE_integer("daemons", 8, "Number of daemons.", lower_bound=1)
flags.DEFINE_integer("routes", 2800, "Number of added routes.", lower_bound=0)
flags.DEFINE_float("mbps", 1000.0, "Rate of each daemon's link, in Mbit/s.")
flags.DEFINE_integer("changes", 3, "Number of changes to measure.", lower_bound=1)

BITS_PER_MEGABIT = 1_000_000
START_TIMEOUT_SECONDS = 90.0
SETTLE_SECONDS = 8.0
STEADY_SECONDS = 10.0
CHANGE_SECONDS = 6.0
POLL_SECONDS = 0.2
READY_STATUS = 200


class MeasuredSite(FleetSite):
    """A site whose daemons reach the store over links that count bytes."""

    def __init__(self, *, bits_per_second: float, **options):
        super().__init__(**options)
        self.bits_per_second = bits_per_second
        self.links: dict[str, SlowLink] = {}

    async def _start_relay(self, name: str, to_port: int) -> int:
        if not name.startswith("store-"):
            return await super()._start_relay(name, to_port)
        link = SlowLink(port=to_port, bits_per_second=self.bits_per_second)
        self.links[name] = link
        return int((await link.start()).rpartition(":")[2])

    async def wait_until_ready(self) -> None:
        """Wait until all daemons say that they are ready."""
        async with aiohttp.ClientSession() as session:
            for name in self.daemon_names:
                while not await _is_ready(session, self.ready_url(name)):
                    await asyncio.sleep(POLL_SECONDS)

    def totals(self) -> tuple[int, int]:
        """Return the bytes of answers and the calls of all daemons so far."""
        passed = sum(link.passed_bytes["answers"] for link in self.links.values())
        return passed, sum(self.store.calls.values())

    def in_force_times(self, version: int) -> list[float]:
        """Return when each daemon had a version in force, in Unix seconds."""
        times = []
        for name in self.daemon_names:
            for line in (self.folder / f"{name}.log").read_text().splitlines():
                if '"configuration in force"' not in line:
                    continue
                event = json.loads(line)
                if event["version"] >= version:
                    times.append(event["time"])
                    break
        return times


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == READY_STATUS
    except aiohttp.ClientError:
        return False


async def measure(
    *, folder: Path, daemons: int, routes: int, mbps: float, changes: int
) -> dict[str, float]:
    """Return the figures of one run, bytes and calls for each daemon."""
    site = MeasuredSite(
        folder=folder,
        daemons=daemons,
        added_routes=routes,
        bits_per_second=mbps * BITS_PER_MEGABIT,
    )
    figures: dict[str, float] = {"daemons": daemons, "routes": routes, "mbps": mbps}
    try:
        await site.start()
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            await site.wait_until_ready()
        await asyncio.sleep(SETTLE_SECONDS)
        figures["configuration_bytes"] = len(site.store.encoded("op/config"))
        before = site.totals()
        await asyncio.sleep(STEADY_SECONDS)
        steady = [
            (after - earlier) / daemons / STEADY_SECONDS
            for earlier, after in zip(before, site.totals(), strict=True)
        ]
        figures["steady_bytes_a_second"] = round(steady[0])
        figures["steady_calls_a_second"] = round(steady[1], 2)
        seconds: list[float] = []
        before = site.totals()
        for _ in range(changes):
            written_at = time.time()
            version = site.publish_configuration()
            await asyncio.sleep(CHANGE_SECONDS)
            times = site.in_force_times(version)
            seconds.append(
                max(times) - written_at if len(times) == daemons else float("inf")
            )
        changed = [
            (after - earlier) / daemons / changes - rate * CHANGE_SECONDS
            for earlier, after, rate in zip(before, site.totals(), steady, strict=True)
        ]
        figures["bytes_a_change"] = round(changed[0])
        figures["calls_a_change"] = round(changed[1], 2)
        figures["seconds_until_all_have_it"] = round(max(seconds), 2)
    finally:
        await site.stop()
        for link in site.links.values():
            link.stop()
    return figures


def main(arguments: list[str]) -> None:
    """Measure once and print the figures as JSON."""
    del arguments
    with tempfile.TemporaryDirectory() as folder:
        figures = asyncio.run(
            measure(
                folder=Path(folder),
                daemons=FLAGS.daemons,
                routes=FLAGS.routes,
                mbps=FLAGS.mbps,
                changes=FLAGS.changes,
            )
        )
    print(json.dumps(figures))


if __name__ == "__main__":
    absl_app.run(main)

"""Measure how a daemon's idle cost grows with daemons, endpoints and accounts.

Each experiment varies one of these numbers, measures idle daemon processes for a while
and fits a line. It prints a table with slope, intercept and the error of the fit, and
writes a plot. Another experiment measures how soon configuration changes are in force.
"""

import asyncio
import dataclasses
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
import matplotlib
import numpy
from absl import app as absl_app
from absl import flags
from rich.console import Console
from rich.table import Table

from bench.demo import run_management_command
from bench.overhead import cpu_seconds
from bench.processes import wait_until
from bench.sites import SITE_SPECS, Site
from linnetladder.coordination.configuration.publishing import Change, Publisher
from linnetladder.protocol.declarations import parse_declarations
from linnetladder.state import SystemClock
from linnetladder.telemetry import Metrics
from linnetladder.transport import EtcdKeyValue

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

__all__ = ["main"]

FLAGS = flags.FLAGS
FIRST_EXTRA_ENDPOINT_PORT = 15_000
MEBIBYTE = 1024 * 1024
PAGE_BYTES = 4096
COST_FIELDS = (
    ("CPU", "ms/s"),
    ("memory", "MiB"),
    ("platform calls", "1/s"),
    ("platform bytes", "KB/s"),
    ("peer bytes", "KB/s"),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Mean resource use of a run's daemons; units are in ``COST_FIELDS``."""

    cpu: float
    memory: float
    platform_calls: float
    platform_bytes: float
    peer_bytes: float


def memory_bytes(process_id: int) -> int:
    """Return a process's resident memory in bytes."""
    fields = Path(f"/proc/{process_id}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


async def read_counters(session: aiohttp.ClientSession, port: int) -> dict[str, float]:
    """Return a daemon's counters by name, summed over their labels."""
    async with session.get(f"http://127.0.0.1:{port}/metrics") as response:
        text = await response.text()
    sums: dict[str, float] = {}
    for line in text.splitlines():
        if line.startswith("#") or "_total" not in line:
            continue
        name, value = line.rsplit(" ", 1)
        family = name.partition("{")[0].removeprefix("linnetladder_")
        sums[family] = sums.get(family, 0.0) + float(value)
    return sums


async def measure(site: Site) -> Cost:
    """Measure the site's daemons for ``--seconds`` without load."""
    pids = [site.process_manager.processes[daemon.name].pid for daemon in site.daemons]
    async with aiohttp.ClientSession() as session:
        counters_before = [
            await read_counters(session, d.operations_port) for d in site.daemons
        ]
        cpu_before = [cpu_seconds(pid) for pid in pids]
        await asyncio.sleep(FLAGS.seconds)
        counters_after = [
            await read_counters(session, d.operations_port) for d in site.daemons
        ]
    cpu_used = [cpu_seconds(pid) - u for pid, u in zip(pids, cpu_before, strict=True)]

    def rate(family: str) -> float:
        deltas = [
            a.get(family, 0.0) - b.get(family, 0.0)
            for a, b in zip(counters_after, counters_before, strict=True)
        ]
        return float(numpy.mean(deltas)) / FLAGS.seconds

    return Cost(
        cpu=float(numpy.mean(cpu_used)) * 1000 / FLAGS.seconds,
        memory=float(numpy.mean([memory_bytes(pid) for pid in pids])) / MEBIBYTE,
        platform_calls=rate("platform_calls_total"),
        platform_bytes=rate("platform_bytes_total") / 1000,
        peer_bytes=rate("peer_bytes_total") / 1000,
    )


async def measure_with_daemons(count: int, folder: Path) -> Cost:
    """Measure ``count`` linked daemons with the endpoints of the site spec."""
    per_domain = max(count // 3, 1)
    site = Site(
        spec=SITE_SPECS["daugava"], folder=folder, daemons_per_domain=per_domain
    )
    site.daemons = site.daemons[:count]
    return await _measure_site(site)


async def measure_with_endpoints(count: int, folder: Path) -> Cost:
    """Measure one daemon with ``count`` endpoints beside those of the site spec."""
    site = Site(spec=SITE_SPECS["daugava"], folder=folder)
    site.daemons = site.daemons[:1]
    return await _measure_site(site, extra_endpoints=count)


async def measure_with_accounts(count: int, folder: Path) -> Cost:
    """Measure one daemon with ``count`` additional client accounts in the tree."""
    site = Site(spec=SITE_SPECS["daugava"], folder=folder)
    site.daemons = site.daemons[:1]
    text = site.spec.declarations.read_text("utf-8")
    account_lines = [
        f"  - {{name: more-{n}, parent: small-studios, account: true, "
        f"credentials: [sha256:{n:064x}]}}\n"
        for n in range(count)
    ]
    declarations = folder / "many.yaml"
    folder.mkdir(parents=True, exist_ok=True)
    declarations.write_text(text + "".join(account_lines), "utf-8")
    return await _measure_site(site, declarations=declarations)


async def _measure_site(
    site: Site, *, extra_endpoints: int = 0, declarations: Path | None = None
) -> Cost:
    """Start a site, wait until all daemons list all endpoints, and measure it."""
    try:
        await site.start()
        if extra_endpoints:
            site.process_manager.start(
                "crowd",
                "standins.idle_engines",
                f"--count={extra_endpoints}",
                f"--first_port={FIRST_EXTRA_ENDPOINT_PORT}",
                f"--domains={','.join(site.spec.domains)}",
                f"--platform_url={site.platform_url}",
            )
        applied = run_management_command(
            site, "apply", str(declarations or site.spec.declarations), "--wait"
        )
        if applied.returncode:
            raise RuntimeError(applied.stderr)
        expected = (
            site.spec.engine_count + site.spec.plain_instance_count + extra_endpoints
        )
        for daemon in site.daemons:
            await wait_until(
                f"http://127.0.0.1:{daemon.operations_port}/status",
                lambda status: len(status["endpoints"]) >= expected,
                seconds=60,
            )
        await asyncio.sleep(3.0)
        return await measure(site)
    finally:
        site.process_manager.stop()


async def time_changes(count: int, folder: Path) -> tuple[list[float], float]:
    """Return the seconds until each change was in force, and platform calls per change.

    There are six daemons; each change raises the request rate of some accounts. The
    time runs from the acceptance of a change until the last daemon reports its
    revision. The calls that idle daemons make anyway (``--idle_calls``) are left out.
    """
    site = Site(spec=SITE_SPECS["daugava"], folder=folder, daemons_per_domain=2)
    text = site.spec.declarations.read_text("utf-8")
    store = EtcdKeyValue(
        urls=(site.platform_url,),
        timeout_seconds=5.0,
        clock=SystemClock(),
        metrics=Metrics(),
    )
    publisher = Publisher(store=store, clock=SystemClock())
    try:
        await site.start()
        run_management_command(site, "apply", str(site.spec.declarations), "--wait")
        await site.wait_ready()
        seconds = []
        async with aiohttp.ClientSession() as session:
            counters_before = [
                await read_counters(session, d.operations_port) for d in site.daemons
            ]
            started = time.monotonic()
            for number in range(count):
                rate = f"requests_per_second: {500 + number}"
                changed_text = text.replace("requests_per_second: 400", rate)
                seconds.append(
                    await _time_change(session, site, publisher, changed_text)
                )
            elapsed = time.monotonic() - started
            counters_after = [
                await read_counters(session, d.operations_port) for d in site.daemons
            ]
        calls = sum(
            a["platform_calls_total"] - b["platform_calls_total"]
            for a, b in zip(counters_after, counters_before, strict=True)
        )
        return seconds, calls / count - FLAGS.idle_calls * elapsed * 6 / count
    finally:
        await store.close()
        site.process_manager.stop()


async def _time_change(
    session: aiohttp.ClientSession, site: Site, publisher: Publisher, text: str
) -> float:
    """Publish one change and return the seconds until all daemons report it."""
    parts = parse_declarations(text, file="change").unwrap().parts
    plan = (await publisher.plan(parts, reinstate=frozenset())).unwrap()
    change = Change(author="bench", message="change")
    manifest = (await publisher.publish(plan, change)).unwrap()
    accepted = time.monotonic()
    pending_ports = {daemon.operations_port for daemon in site.daemons}
    while pending_ports:
        for port in tuple(pending_ports):
            async with session.get(f"http://127.0.0.1:{port}/status") as response:
                if (await response.json())["revision"] >= manifest.revision:
                    pending_ports.discard(port)
    return time.monotonic() - accepted


def fit_line(sizes: list[int], values: list[float]) -> tuple[float, float, float]:
    """Fit a line and return its slope, intercept and root mean square error."""
    slope, intercept = numpy.polyfit(sizes, values, 1)
    predicted = numpy.polyval((slope, intercept), sizes)
    error = float(numpy.sqrt(numpy.mean((numpy.array(values) - predicted) ** 2)))
    return float(slope), float(intercept), error


def report(console: Console, name: str, sizes: list[int], costs: list[Cost]) -> None:
    """Print a table of one experiment's fitted lines and save their plots."""
    table = Table(title=f"by number of {name}: {sizes}")
    for column in ("cost of a daemon", "measured", "slope", "intercept", "rms error"):
        table.add_column(column)
    figure, axes = pyplot.subplots(
        1, len(COST_FIELDS), figsize=(4 * len(COST_FIELDS), 3.2)
    )
    fields = dataclasses.fields(Cost)
    for axis, field, (label, unit) in zip(axes, fields, COST_FIELDS, strict=True):
        values = [getattr(cost, field.name) for cost in costs]
        slope, intercept, error = fit_line(sizes, values)
        measured = ", ".join(f"{value:.2f}" for value in values)
        table.add_row(
            f"{label} {unit}",
            measured,
            f"{slope:.4f}",
            f"{intercept:.2f}",
            f"{error:.2f}",
        )
        axis.plot(sizes, values, "o")
        axis.plot(sizes, numpy.polyval((slope, intercept), sizes))
        axis.set(xlabel=name, ylabel=f"{label} {unit}")
    console.print(table)
    figure.tight_layout()
    plots = Path(FLAGS.plots)
    plots.mkdir(parents=True, exist_ok=True)
    figure.savefig(plots / f"slopes-{name}.png", dpi=80)
    pyplot.close(figure)


async def run(console: Console) -> None:
    """Run the experiments that ``--only`` names."""
    folder = Path(tempfile.mkdtemp(prefix="linnetladder-slopes-"))
    experiments = {
        "daemons": (measure_with_daemons, [3, 6, 12, 24]),
        "endpoints": (measure_with_endpoints, [10, 50, 150, 300]),
        "accounts": (measure_with_accounts, [10, 500, 2000, 5000]),
    }
    for name, (experiment, sizes) in experiments.items():
        if name not in FLAGS.only:
            continue
        costs = [await experiment(size, folder / f"{name}-{size}") for size in sizes]
        report(console, name, sizes, costs)
    if "changes" not in FLAGS.only:
        return
    seconds, calls = await time_changes(FLAGS.changes, folder / "changes")
    percentiles = [numpy.percentile(seconds, p) for p in (50, 99)]
    console.print(
        f"{FLAGS.changes} changes, 6 daemons: in force everywhere after p50 "
        f"{percentiles[0]:.2f} s, p99 {percentiles[1]:.2f} s; "
        f"{calls:.1f} platform calls per change"
    )


def main(argv: list[str]) -> None:
    """Run the experiments and print the time they took."""
    started = time.monotonic()
    console = Console(width=150)
    asyncio.run(run(console))
    console.print(f"took {time.monotonic() - started:.0f} s")
    sys.exit(0)


if __name__ == "__main__":
    flags.DEFINE_float("seconds", 8.0, "Length of one measurement.")
    flags.DEFINE_integer("changes", 20, "Changes to time.")
    flags.DEFINE_float("idle_calls", 3.0, "Platform calls a second of an idle daemon.")
    flags.DEFINE_list(
        "only", ["daemons", "endpoints", "accounts", "changes"], "What to measure."
    )
    flags.DEFINE_string("plots", "docs/plots", "Folder for the plots.")
    absl_app.run(main)

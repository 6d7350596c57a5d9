"""Compare a daemon with a bare pass-through proxy on the same traffic in one run."""

import asyncio
import dataclasses
import json
import statistics
import sys
import tempfile
import time
from pathlib import Path

import numpy
from absl import app as absl_app
from absl import flags
from rich.console import Console
from rich.table import Table

from bench.demo import run_management_command
from bench.processes import free_port, wait_for
from bench.sites import SITE_SPECS, Site, credential

__all__ = ["main"]

FLAGS = flags.FLAGS
LOADERS_FOR_MANY_CALLERS = 2
MAXIMUM_LATENCY_RATIO = 1.5
MINIMUM_THROUGHPUT_RATIO = 0.7
MODEL = "linnet-medium@2026.08"


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Results of one run: latencies in ms, requests per second, CPU ms per request."""

    p50: float
    p99: float
    rate: float
    errors: int
    cpu_milliseconds: float


async def run_loaders(url: str, *, model: str, callers: int, stream: bool) -> dict:
    """Run `bench.loader` processes against a URL and return their combined results."""
    loaders = LOADERS_FOR_MANY_CALLERS if callers > 1 else 1
    processes = []
    for _ in range(loaders):
        command = [
            sys.executable,
            "-m",
            "bench.loader",
            f"--url={url}/v1/chat/completions",
            f"--model={model}",
            f"--credential={credential('ozols')}",
            f"--callers={callers // loaders}",
            f"--seconds={FLAGS.seconds}",
            f"--stream={'true' if stream else 'false'}",
        ]
        process = await asyncio.create_subprocess_exec(
            *command, stdout=asyncio.subprocess.PIPE
        )
        processes.append(process)
    outputs = await asyncio.gather(*(p.communicate() for p in processes))
    results = [json.loads(stdout) for stdout, _ in outputs]
    return {
        "totals": [t for result in results for t in result["totals"]],
        "errors": sum(result["errors"] for result in results),
    }


def cpu_seconds(process_id: int) -> float:
    """Return the user and system CPU time of a process, in seconds."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    ticks_per_second = 100  # the unit of these fields on Linux
    return (int(fields[11]) + int(fields[12])) / ticks_per_second


async def measure(
    url: str, process_id: int, *, model: str, callers: int, stream: bool
) -> Measurement:
    """Load one target with one kind of traffic and measure it."""
    cpu_before = cpu_seconds(process_id)
    result = await run_loaders(url, model=model, callers=callers, stream=stream)
    cpu_used = cpu_seconds(process_id) - cpu_before
    totals = result["totals"]
    return Measurement(
        p50=float(numpy.percentile(totals, 50)) * 1000,
        p99=float(numpy.percentile(totals, 99)) * 1000,
        rate=len(totals) / FLAGS.seconds,
        errors=result["errors"],
        cpu_milliseconds=cpu_used * 1000 / max(len(totals), 1),
    )


def _median(runs: list[Measurement]) -> Measurement:
    return Measurement(
        *(
            statistics.median(getattr(run, field.name) for run in runs)
            for field in dataclasses.fields(Measurement)
        )
    )


async def compare(site: Site, bare_url: str) -> list[tuple]:
    """Return a row for each kind of traffic with both targets' medians over all rounds.

    Each round measures the pass-through proxy and then the daemon.
    """
    measured_daemon = site.daemons[0]
    targets = {
        "bare": (bare_url, site.process_manager.processes["bare"].pid),
        "daemon": (
            site.caller_url(measured_daemon),
            site.process_manager.processes[measured_daemon.name].pid,
        ),
    }
    rows = []
    for stream in (False, True):
        for callers in (1, 32):
            runs: dict[str, list[Measurement]] = {name: [] for name in targets}
            for _ in range(FLAGS.rounds):
                for name, (url, process_id) in targets.items():
                    measurement = await measure(
                        url, process_id, model=MODEL, callers=callers, stream=stream
                    )
                    runs[name].append(measurement)
            bare, daemon = _median(runs["bare"]), _median(runs["daemon"])
            rows.append(("stream" if stream else "whole", callers, bare, daemon))
    return rows


def print_rows(console: Console, rows: list[tuple]) -> None:
    """Print the medians, their ratios and whether the performance targets are met."""
    table = Table(title=f"medians of {FLAGS.rounds} rounds of {FLAGS.seconds:g} s")
    columns = (
        "traffic",
        "callers",
        "p50 ms bare / daemon",
        "ratio",
        "p99 ms bare / daemon",
        "ratio",
        "requests/s bare / daemon",
        "ratio",
        "CPU ms per request bare / daemon",
        "errors",
        "targets",
    )
    for column in columns:
        table.add_column(column)
    for kind, callers, bare, daemon in rows:
        ratios = (daemon.p50 / bare.p50, daemon.p99 / bare.p99, daemon.rate / bare.rate)
        targets_met = (
            ratios[0] <= MAXIMUM_LATENCY_RATIO
            and ratios[1] <= MAXIMUM_LATENCY_RATIO
            and ratios[2] >= MINIMUM_THROUGHPUT_RATIO
        )
        table.add_row(
            kind,
            str(callers),
            f"{bare.p50:.2f} / {daemon.p50:.2f}",
            f"{ratios[0]:.2f}",
            f"{bare.p99:.2f} / {daemon.p99:.2f}",
            f"{ratios[1]:.2f}",
            f"{bare.rate:.0f} / {daemon.rate:.0f}",
            f"{ratios[2]:.2f}",
            f"{bare.cpu_milliseconds:.2f} / {daemon.cpu_milliseconds:.2f}",
            f"{bare.errors:.0f} / {daemon.errors:.0f}",
            "met" if targets_met else "not met",
        )
    console.print(table)


async def run(console: Console) -> bool:
    """Start the daemon and the proxy, measure both and print the results.

    Return False if one of them did not start.
    """
    folder = Path(tempfile.mkdtemp(prefix="linnetladder-bench-"))
    site = Site(spec=SITE_SPECS["daugava"], folder=folder, token_seconds=0.0)
    site.daemons = site.daemons[:1]
    declarations = folder / "settings.yaml"
    text = site.spec.declarations.read_text("utf-8")
    # Raise the rate limits so that they do not reject the load.
    text = text.replace("requests_per_second: 400", "requests_per_second: 100000")
    text = text.replace("burst: 800", "burst: 100000")
    declarations.write_text(text, "utf-8")
    try:
        started = await site.start("--address_requests_per_second=100000")
        applied = run_management_command(site, "apply", str(declarations), "--wait")
        if not started or applied.returncode or not await site.wait_ready():
            console.print(f"the site did not become ready; logs are in {folder}")
            return False
        endpoint_addresses = [f"127.0.0.1:{port}" for port in site.endpoints.values()]
        port = free_port()
        endpoints = ",".join(endpoint_addresses[: site.spec.engine_count])
        site.process_manager.start(
            "bare", "bench.passthrough", f"--port={port}", f"--endpoints={endpoints}"
        )
        bare_url = f"http://127.0.0.1:{port}"
        if not await wait_for(f"{bare_url}/load"):
            return False
        print_rows(console, await compare(site, bare_url))
        return True
    finally:
        site.process_manager.stop()


def main(argv: list[str]) -> None:
    """Measure and print."""
    started = time.monotonic()
    console = Console(width=160)
    completed = asyncio.run(run(console))
    console.print(f"took {time.monotonic() - started:.0f} s")
    sys.exit(0 if completed else 1)


if __name__ == "__main__":
    flags.DEFINE_float("seconds", 3.0, "Length of one round.")
    flags.DEFINE_integer("rounds", 3, "Rounds of each kind of traffic.")
    absl_app.run(main)

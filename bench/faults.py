"""Inject faults into a site of real processes under load and check its history.

Prints the number of faults of each kind, the outcomes of the requests, the latencies
with and without faults, and the violations of guarantees. There must be no violation.
"""

import asyncio
import collections
import json
import signal
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
from bench.fault_load import Callers
from bench.processes import wait_for
from bench.sites import SITE_SPECS, DaemonPorts, Site
from proof import History, Rules, Violation, check_history
from proof.history import (
    Answered,
    Billed,
    ConfigurationAccepted,
    Crashed,
    Disconnected,
    InForce,
    Leaving,
    Partitioned,
    Ran,
    Refused,
    Stopped,
    Submitted,
    Withdrawn,
)

__all__ = ["main"]

FLAGS = flags.FLAGS
FAULT_FREE_SECONDS = 12.0
SETTLE_SECONDS = 12.0
FREEZE_SECONDS = 6.0
OBSERVE_INTERVAL_SECONDS = 0.5
SMALL_VERSIONS = frozenset({"linnet-small@2026.09", "linnet-small@2026.11"})
MEDIUM_VERSIONS = SMALL_VERSIONS | {"linnet-medium@2026.08"}
LARGE_VERSIONS = MEDIUM_VERSIONS | {"linnet-large@2026.06"}
WITHDRAWN_VERSION = "linnet-small@2026.11"


def build_rules(accounts: tuple[str, ...], large: tuple[str, ...]) -> Rules:
    """Return the versions that the example's declarations allow to each account."""
    allowed = {name: MEDIUM_VERSIONS for name in accounts}
    allowed.update({name: LARGE_VERSIONS for name in large})
    allowed["proof-printers"] = SMALL_VERSIONS
    return Rules(allowed=allowed)


class FaultInjector:
    """Injects the faults one after another and counts them."""

    def __init__(self, *, site: Site, history: History, callers: Callers):
        self.site = site
        self.history = history
        self.callers = callers
        self.counts: collections.Counter[str] = collections.Counter()
        self.session: aiohttp.ClientSession | None = None

    async def run(self) -> None:
        """Run the whole sequence of faults."""
        async with aiohttp.ClientSession() as self.session:
            for step in (
                self.kill_engine,
                self.silence_connections,
                self.kill_daemon,
                self.freeze_daemon,
                self.kill_daemon_during_platform_outage,
                self.pause_platform,
                self.lose_replies,
                self.inject_bad_answers,
                self.stop_daemon,
                self.announce_leaving,
                self.withdraw_version,
                self.send_poison_request,
                self.silence_connections,
                self.kill_engine,
                self.inject_concurrent_faults,
            ):
                await step()
                await asyncio.sleep(1.5)

    async def kill_engine(self) -> None:
        """Kill an engine and start another incarnation in its place."""
        self.counts["endpoint killed"] += 1
        index = self.counts["endpoint killed"] % self.site.spec.engine_count
        name = f"{self.site.spec.engine_service}-{index + 1}"
        self.site.process_manager.send(name, signal.SIGKILL)
        self.site.process_manager.wait(name)
        await asyncio.sleep(2.0)
        self.site.start_engine(index)

    async def silence_connections(self) -> None:
        """Make the relays of all engines stop forwarding on their open connections."""
        self.counts["connections made silent"] += len(self.site.relays)
        for _, control_port in self.site.relays.values():
            await self._post_control(
                f"http://127.0.0.1:{control_port}/control", order="silence"
            )
        await asyncio.sleep(3.0)

    async def kill_daemon(self, number: int = 0) -> None:
        """Kill a daemon and start it again."""
        self.counts["daemon killed"] += 1
        daemon = self.site.daemons[number]
        self._record_stop(daemon, graceful=False)
        self.site.process_manager.send(daemon.name, signal.SIGKILL)
        self.site.process_manager.wait(daemon.name)
        await asyncio.sleep(1.0)
        self.site.start_daemon(daemon)

    async def freeze_daemon(self) -> None:
        """Suspend a daemon's process for a while, then resume it."""
        self.counts["daemon frozen"] += 1
        daemon = self.site.daemons[4]
        frozen = time.monotonic()
        self.site.process_manager.send(daemon.name, signal.SIGSTOP)
        await asyncio.sleep(FREEZE_SECONDS)
        self.site.process_manager.send(daemon.name, signal.SIGCONT)
        partition = Partitioned(time=frozen, until=time.monotonic(), daemon=daemon.name)
        self.history.events.append(partition)

    async def stop_daemon(self) -> None:
        """Shut a daemon down gracefully and start it again."""
        self.counts["daemon shut down"] += 1
        daemon = self.site.daemons[2]
        self._record_stop(daemon, graceful=True)
        self.site.process_manager.send(daemon.name, signal.SIGTERM)
        await asyncio.to_thread(self.site.process_manager.wait, daemon.name)
        self.site.start_daemon(daemon)

    async def kill_daemon_during_platform_outage(self) -> None:
        """Kill a daemon while the platform is down, and restart it afterwards."""
        self.counts["platform down"] += 1
        async with self._outage("down"):
            await asyncio.sleep(3.0)
            daemon = self.site.daemons[1]
            self.counts["daemon killed"] += 1
            self._record_stop(daemon, graceful=False)
            self.site.process_manager.send(daemon.name, signal.SIGKILL)
            await asyncio.sleep(4.0)
        self.site.start_daemon(daemon)

    async def pause_platform(self) -> None:
        """Make the platform accept calls without answering them for a while."""
        self.counts["platform paused"] += 1
        async with self._outage("paused"):
            await asyncio.sleep(5.0)

    async def lose_replies(self) -> None:
        """Make the platform apply writes without replying for a while."""
        self.counts["platform replies lost"] += 1
        async with self._outage("lose_replies"):
            await asyncio.sleep(5.0)

    async def inject_bad_answers(self) -> None:
        """Make engines answer truncated, for another request or as a wrong version."""
        faults = {"crossed": 5, "crossed_body": 5, "cut": 5, "wrong_version": 5}
        for index in range(2):
            name = f"{self.site.spec.engine_service}-{index + 1}"
            self.counts["bad answers"] += sum(faults.values())
            url = f"http://127.0.0.1:{self.site.endpoints[name]}/control"
            await self._post_control(url, faults=faults)
        await asyncio.sleep(2.0)

    async def announce_leaving(self) -> None:
        """Make an engine announce that it is leaving."""
        self.counts["endpoint leaving"] += 1
        name = f"{self.site.spec.engine_service}-6"
        url = f"http://127.0.0.1:{self.site.endpoints[name]}/control"
        self.history.events.append(Leaving(time=time.monotonic(), endpoint=name))
        await self._post_control(url, leaving=True)
        await asyncio.sleep(4.0)

    async def withdraw_version(self) -> None:
        """Withdraw the version that is being rolled out."""
        self.counts["version withdrawn"] += 1
        arguments = (
            "withdraw",
            WITHDRAWN_VERSION,
            "--reason=fault run",
            "--format=json",
        )
        completed = await asyncio.to_thread(
            run_management_command, self.site, *arguments
        )
        if completed.returncode == 0:
            now = time.monotonic()
            revision = json.loads(completed.stdout)["revision"]
            self.history.events.append(Withdrawn(time=now, version=WITHDRAWN_VERSION))
            self.history.events.append(
                ConfigurationAccepted(time=now, revision=revision)
            )
        await asyncio.sleep(8.0)

    async def send_poison_request(self) -> None:
        """Send a request that crashes each engine that runs it, repeatedly.

        Engines that crashed are started again.
        """
        self.counts["poison request"] += 1
        await self.callers.send_poison_request("deadly")
        for index in range(self.site.spec.engine_count):
            name = f"{self.site.spec.engine_service}-{index + 1}"
            if self.site.process_manager.processes[name].poll() is not None:
                self.site.start_engine(index)

    async def inject_concurrent_faults(self) -> None:
        """Inject several faults at once while the platform is down."""
        async with self._outage("down"):
            await asyncio.gather(
                self.kill_engine(), self.silence_connections(), self.kill_daemon(3)
            )

    def _record_stop(self, daemon: DaemonPorts, *, graceful: bool) -> None:
        stopped = Stopped(time=time.monotonic(), daemon=daemon.name, graceful=graceful)
        self.history.events.append(stopped)

    def _outage(self, mode: str) -> "Outage":
        return Outage(faults=self, mode=mode)

    async def _post_control(self, url: str, **fields: object) -> None:
        async with self.session.post(url, json=fields):
            return


class Outage:
    """Puts the platform into a fault mode for a while.

    The period is recorded as a partition of every daemon.
    """

    def __init__(self, *, faults: FaultInjector, mode: str):
        self.faults = faults
        self.mode = mode
        self.url = f"{faults.site.platform_url}/control"
        self.since = 0.0

    async def __aenter__(self) -> None:
        self.since = time.monotonic()
        await self.faults._post_control(self.url, mode=self.mode)

    async def __aexit__(self, *exception: object) -> None:
        await self.faults._post_control(self.url, mode="up")
        for daemon in self.faults.site.daemons:
            partition = Partitioned(
                time=self.since, until=time.monotonic(), daemon=daemon.name
            )
            self.faults.history.events.append(partition)


async def record_revisions(site: Site, history: History) -> None:
    """Record the revision that each daemon reports as in force, until cancelled."""
    timeout = aiohttp.ClientTimeout(total=1.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            for daemon in site.daemons:
                url = f"http://127.0.0.1:{daemon.operations_port}/status"
                try:
                    async with session.get(url) as response:
                        status = await response.json()
                except (aiohttp.ClientError, OSError, TimeoutError):
                    continue
                if status["revision"]:
                    in_force = InForce(
                        time=time.monotonic(),
                        daemon=daemon.name,
                        incarnation=status["incarnation"],
                        revision=status["revision"],
                    )
                    history.events.append(in_force)
            await asyncio.sleep(OBSERVE_INTERVAL_SECONDS)


def read_endpoint_histories(folder: Path, history: History) -> None:
    """Add the runs and crashes that the endpoints recorded to the history."""
    for path in sorted(folder.glob("*.jsonl")):
        for line in path.read_bytes().splitlines():
            record = json.loads(line)
            if record["event"] == "run" and record["key"]:
                run = Ran(
                    time=record["time"],
                    key=record["key"],
                    endpoint=record["source"],
                    version=record["version"],
                )
                history.events.append(run)
            if record["event"] == "crash":
                crash = Crashed(
                    time=record["time"], endpoint=record["source"], key=record["key"]
                )
                history.events.append(crash)


def read_ledger(site: Site, history: History) -> None:
    """Add the bills that the management command `bill` lists to the history."""
    output = run_management_command(site, "bill", "--detail", "--format=json").stdout
    for bill in json.loads(output):
        key = bill["request_key"]
        history.bills.append(Billed(account=bill["account"], key=key))


def _format_percentiles(
    latencies: list[tuple[float, float]], since: float, until: float
) -> str:
    values = [seconds for start, seconds in latencies if since <= start < until]
    if not values:
        return "none"
    percentiles = [numpy.percentile(values, p) * 1000 for p in (50, 95, 99)]
    return " / ".join(f"{value:.0f}" for value in percentiles) + f"  ({len(values)})"


def print_result(
    console: Console,
    history: History,
    faults: FaultInjector,
    callers: Callers,
    fault_free_period: tuple[float, float],
    violations: list[Violation],
) -> None:
    """Print the table and the first 20 violations."""
    table = Table(show_header=False, box=None)
    refused = collections.Counter(
        f"{event.kind}, ran {event.ran}" for event in history.of_type(Refused)
    )
    rows: list[tuple[str, object]] = list(faults.counts.items())
    rows += [
        ("requests", len({event.key for event in history.of_type(Submitted)})),
        ("submissions", len(history.of_type(Submitted))),
        ("answered", len(history.of_type(Answered))),
        ("refused", len(history.of_type(Refused))),
        *((f"  {name}", count) for name, count in sorted(refused.items())),
        ("connections broken", len(history.of_type(Disconnected))),
        ("runs at endpoints", len(history.of_type(Ran))),
        ("billed", len(history.bills)),
        (
            "ms without faults, p50/p95/p99",
            _format_percentiles(callers.latencies, *fault_free_period),
        ),
        (
            "ms with faults, p50/p95/p99",
            _format_percentiles(callers.latencies, fault_free_period[1], float("inf")),
        ),
        ("violations", len(violations)),
    ]
    for name, value in rows:
        table.add_row(name, str(value))
    console.print(table)
    for violation in violations[:20]:
        console.print(f"{violation.guarantee}: {violation.detail}", markup=False)


async def run(console: Console) -> bool:
    """Run the load, inject the faults and check the history.

    Return whether the site started and no guarantee was violated.
    """
    folder = Path(tempfile.mkdtemp(prefix="linnetladder-faults-"))
    console.print(f"logs and histories in {folder}")
    site = Site(
        spec=SITE_SPECS["daugava"],
        folder=folder,
        token_seconds=0.004,
        daemons_per_domain=2,
        use_relays=True,
    )
    history = History()
    callers = Callers(site=site, history=history, seed=FLAGS.seed)
    faults = FaultInjector(site=site, history=history, callers=callers)
    try:
        if not await site.start("--silence_seconds=0.5"):
            return False
        applied = run_management_command(
            site, "apply", str(site.spec.declarations), "--wait"
        )
        if applied.returncode or not await site.wait_ready():
            console.print(applied.stderr)
            return False
        observer_task = asyncio.ensure_future(record_revisions(site, history))
        load_task = asyncio.ensure_future(callers.run())
        load_started = time.monotonic()
        await asyncio.sleep(FAULT_FREE_SECONDS)
        fault_free_period = (load_started, time.monotonic())
        await faults.run()
        callers.running = False
        await load_task
        for daemon in site.daemons:
            await wait_for(f"http://127.0.0.1:{daemon.operations_port}/readyz")
        await asyncio.sleep(SETTLE_SECONDS)
        observer_task.cancel()
        read_ledger(site, history)
        read_endpoint_histories(folder / "history", history)
        rules = build_rules(site.spec.accounts, site.spec.large_accounts)
        violations = check_history(history, rules)
        print_result(console, history, faults, callers, fault_free_period, violations)
        return not violations
    finally:
        site.process_manager.stop()


def main(argv: list[str]) -> None:
    """Run everything and exit with 0 only if there is no violation."""
    console = Console(width=120)
    started = time.monotonic()
    passed = asyncio.run(run(console))
    console.print(f"took {time.monotonic() - started:.0f} s")
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 7, "Seed of the load.")
    absl_app.run(main)

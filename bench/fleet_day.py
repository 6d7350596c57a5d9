"""Run a day plan from a file on real daemons and stand-ins of the users' platform.

A plan lists traffic and faults with their times. ``python -m bench.fleet_day
bench/days/quiet.toml`` prints the results of each route and the violations of
guarantees; the exit code is 1 if there are any. An experiment runs the plan once for
each value of a daemon's environment variable:
``--vary=LINNETLADDER_POLICY_CONFIDENCE=30,50,70``.
"""

import asyncio
import enum
import random
import sys
import tempfile
import time
import tomllib
from collections.abc import Coroutine
from pathlib import Path

import pydantic
from absl import app as absl_app
from absl import flags
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from bench.fleet_callers import open_session, send
from bench.fleet_checks import SentRequest, find_violations
from bench.fleet_faults import READY_TIMEOUT_SECONDS, FaultInjector, FaultRecord
from bench.fleet_site import ACCOUNTS, ROUTES, FleetSite
from bench.processes import wait_for
from standins.fleet_worker import Fault

__all__ = ["Day", "DayPlan", "read_plan"]

FLAGS = flags.FLAGS
EXIT_USAGE = 2
# Peers write a killed daemon's bills once it has been gone for 12 s.
SETTLE_SECONDS = 16.0
MICROSECONDS_PER_SECOND = 1e6
MAXIMUM_LATENCY_MICROSECONDS = 60 * 1_000_000
SHARED_PREFIXES = 20


class FaultKind(enum.StrEnum):
    """The kinds of faults that a plan may contain."""

    WORKER_ANSWERS = "worker_answers"
    SILENCE = "silence"
    CUT = "cut"
    PAUSE = "pause"
    KILL = "kill"
    TERMINATE = "terminate"
    RELOAD = "reload"
    STORE_OUTAGE = "store_outage"
    LOST_REPLIES = "lost_replies"
    DRILL = "drill"
    REVOKE = "revoke"
    DRAIN = "drain"
    LIMIT = "limit"
    PAUSE_REQUESTS = "pause_requests"
    LEAVE = "leave"


class Traffic(pydantic.BaseModel):
    """Requests to one route at a mean rate, from ``at`` for ``seconds``.

    Without ``seconds`` they last until the end of the day.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    route: str
    per_second: float = pydantic.Field(gt=0, le=1000)
    at: float = pydantic.Field(0.0, ge=0)
    seconds: float | None = pydantic.Field(None, gt=0)

    @pydantic.field_validator("route")
    @classmethod
    def check_route(cls, route: str) -> str:
        """Reject a route that the site's configuration does not have."""
        if route not in ROUTES:
            raise ValueError(f"no such route; there are {', '.join(ROUTES)}")
        return route


class PlannedFault(pydantic.BaseModel):
    """A fault at a time; ``on`` names the daemon, worker or link that it affects.

    A drill returns the store from a copy of ``copy_seconds`` before. A worker names
    each of its ``limits`` for ``seconds``.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    at: float = pydantic.Field(ge=0)
    kind: FaultKind
    on: str = ""
    seconds: float = pydantic.Field(1.0, gt=0)
    copy_seconds: float = pydantic.Field(5.0, ge=0, le=20)
    answers: list[Fault] = []
    limits: list[float] = []

    def inject(self, faults: FaultInjector) -> Coroutine[None, None, None]:
        """Return a coroutine that injects the fault."""
        injections = {
            FaultKind.WORKER_ANSWERS: lambda: faults.worker_answers(
                self.on, self.answers
            ),
            FaultKind.SILENCE: lambda: faults.silence(self.on),
            FaultKind.CUT: lambda: faults.cut(self.on, self.seconds),
            FaultKind.PAUSE: lambda: faults.pause(self.on, self.seconds),
            FaultKind.KILL: lambda: faults.kill(self.on),
            FaultKind.TERMINATE: lambda: faults.terminate(self.on),
            FaultKind.RELOAD: lambda: faults.reload(self.on),
            FaultKind.STORE_OUTAGE: lambda: faults.store_outage(self.seconds),
            FaultKind.LOST_REPLIES: faults.lost_replies,
            FaultKind.DRILL: lambda: faults.drill(self.seconds, self.copy_seconds),
            FaultKind.REVOKE: faults.revoke,
            FaultKind.DRAIN: lambda: faults.drain(self.on),
            FaultKind.LIMIT: lambda: faults.limit(self.on, self.limits, self.seconds),
            FaultKind.PAUSE_REQUESTS: lambda: faults.pause_requests(
                self.on, self.seconds
            ),
            FaultKind.LEAVE: lambda: faults.leave(self.on, self.seconds),
        }
        return injections[self.kind]()


class DayPlan(pydantic.BaseModel):
    """The content of a plan's file; times are seconds from the start of traffic."""

    model_config = pydantic.ConfigDict(extra="forbid")

    seconds: float = pydantic.Field(gt=0, le=600)
    seed: int = 1
    daemons: int = pydantic.Field(3, ge=1, le=12)
    traffic: list[Traffic] = pydantic.Field(min_length=1)
    fault: list[PlannedFault] = []


def read_plan(path: Path) -> DayPlan:
    """Return a file's plan; raise `OSError` or, if it is invalid, `ValueError`."""
    return DayPlan.model_validate(tomllib.loads(path.read_text("utf-8")))


class Day:
    """One run of a plan."""

    def __init__(self, *, plan: DayPlan, folder: Path, variables: dict[str, str]):
        self.plan = plan
        self.random = random.Random(plan.seed)
        self.site = FleetSite(folder=folder, daemons=plan.daemons, variables=variables)
        self.record = FaultRecord()
        self.faults = FaultInjector(site=self.site, record=self.record)
        self.sent: list[SentRequest] = []

    async def run(self, *, settle_seconds: float = SETTLE_SECONDS) -> None:
        """Run the plan and wait until everything settled.

        Raise `ValueError` if a fault names an unknown daemon, worker or link, and
        `TimeoutError` if a daemon does not become ready.
        """
        await self.site.start()
        try:
            self._check_names()
            for name in self.site.daemon_names:
                if not await wait_for(
                    self.site.ready_url(name), seconds=READY_TIMEOUT_SECONDS
                ):
                    raise TimeoutError(f"{name} did not become ready")
            async with open_session() as session, asyncio.TaskGroup() as tasks:
                for traffic in self.plan.traffic:
                    tasks.create_task(self._generate_traffic(session, traffic, tasks))
                for fault in self.plan.fault:
                    tasks.create_task(self._inject_fault(fault))
            await asyncio.sleep(settle_seconds)
        finally:
            await self.site.stop()

    def violations(self, *, timed: bool = True) -> list[str]:
        """Return a line for each violation of a guarantee."""
        return find_violations(self.site, self.sent, self.record, timed=timed)

    def _check_names(self) -> None:
        workers = {worker.name for worker in self.site.workers}
        valid_names = {*self.site.daemon_names, *workers, *self.site.relays, ""}
        for fault in self.plan.fault:
            if fault.on not in valid_names:
                targets = ", ".join(sorted(valid_names - {""}))
                raise ValueError(
                    f"unknown fault target {fault.on!r}: there are {targets}"
                )

    async def _generate_traffic(
        self, session, traffic: Traffic, tasks: asyncio.TaskGroup
    ) -> None:
        """Start requests as a Poisson process, without waiting for their responses."""
        await asyncio.sleep(traffic.at)
        seconds = traffic.seconds or self.plan.seconds - traffic.at
        end_time = time.monotonic() + seconds
        while time.monotonic() < end_time:
            tasks.create_task(self._send_request(session, traffic.route))
            await asyncio.sleep(self.random.expovariate(traffic.per_second))

    async def _send_request(self, session, route: str) -> None:
        sent = SentRequest(
            attempt=f"d{len(self.sent)}",
            route=route,
            daemon=self.random.choice(self.site.daemon_names),
            account=self.random.choice(tuple(ACCOUNTS)),
            time=time.monotonic(),
        )
        self.sent.append(sent)
        shared_prefix = f"s{self.random.randrange(SHARED_PREFIXES)}"
        await send(
            session,
            sent,
            front_url=self.site.front_url(sent.daemon),
            shared_parts=(shared_prefix,),
        )

    async def _inject_fault(self, fault: PlannedFault) -> None:
        await asyncio.sleep(fault.at)
        await fault.inject(self.faults)


def summarize(day: Day, label: str) -> list[tuple[str, ...]]:
    """Return a row for each route: counts, and latencies in ms of answered requests."""
    rows = []
    for route in sorted({sent.route for sent in day.sent}):
        requests = [sent for sent in day.sent if sent.route == route]
        answered = [sent for sent in requests if sent.status == 200]
        histogram = HdrHistogram(1, MAXIMUM_LATENCY_MICROSECONDS, 3)
        for sent in answered:
            histogram.record_value(
                int((sent.ended - sent.time) * MICROSECONDS_PER_SECOND)
            )
        percentiles = (
            f"{histogram.get_value_at_percentile(percentile) / 1000:.1f}"
            for percentile in (50, 95, 99)
        )
        refused = sum(sent.status == 503 for sent in requests)
        failed = len(requests) - len(answered) - refused
        counts = map(str, (len(requests), len(answered), refused, failed))
        rows.append((label, route, *counts, *percentiles))
    return rows


def run_plan(plan: DayPlan, variables: dict[str, str], label: str) -> tuple[list, list]:
    """Run a plan once; return the table's rows and the violations."""
    folder = Path(tempfile.mkdtemp(prefix="day-"))
    day = Day(plan=plan, folder=folder, variables=variables)
    asyncio.run(day.run())
    return summarize(day, label), day.violations()


def read_variants(text: str) -> list[dict[str, str]]:
    """Return the environment of each run for ``NAME=VALUE,VALUE...``."""
    if not text:
        return [{}]
    name, separator, values = text.partition("=")
    if not separator or not values:
        raise ValueError("--vary must have the form NAME=VALUE,VALUE...")
    return [{name: value} for value in values.split(",")]


def main(argv: list[str]) -> None:
    """Run the plan that the command line names."""
    try:
        (path,) = argv[1:]
        plan = read_plan(Path(path))
        violations = run_variants(plan, read_variants(FLAGS.vary))
    except (OSError, ValueError) as error:
        print(f"fleet_day: {error}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE) from error
    for line in violations:
        print(line)
    print(f"{len(violations)} violations")
    raise SystemExit(1 if violations else 0)


def run_variants(plan: DayPlan, variants: list[dict[str, str]]) -> list[str]:
    """Run the plan once per variant, print a table and return the violations."""
    table = Table(box=None, header_style="bold")
    for column in ("variant", "route", "sent", "answered", "refused", "failed"):
        table.add_column(column)
    for percentile in ("p50", "p95", "p99"):
        table.add_column(f"{percentile} ms", justify="right")
    violations: list[str] = []
    for variables in variants:
        label = ",".join(variables.values()) or "unchanged"
        rows, variant_violations = run_plan(plan, variables, label)
        for row in rows:
            table.add_row(*row)
        violations += [f"{label}: {line}" for line in variant_violations]
    Console().print(table)
    return violations


if __name__ == "__main__":
    flags.DEFINE_string("vary", "", "A daemon's variable and its values to try.")
    absl_app.run(main)

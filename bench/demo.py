"""Run the demo: start a site of stand-ins, send a mixed load and check all outcomes.

Exits with 0 only if every request was answered or refused, every outcome was the
expected one, and there are as many bills as answers.
"""

import asyncio
import collections
import dataclasses
import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
from absl import app as absl_app
from absl import flags
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from bench.demo_load import Load, Task
from bench.sites import SITE_SPECS, Site, SiteSpec, credential
from standins.engine import answer_text

__all__ = ["main"]

FLAGS = flags.FLAGS
CALLERS = 24
DEADLINE_MILLISECONDS = 20_000
MAXIMUM_LATENCY_MICROSECONDS = 600_000_000
MICROSECONDS_PER_SECOND = 1_000_000


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """The outcome of one task as its caller saw it.

    ``first_byte`` and ``total`` are in seconds from the start of the request.
    """

    task: Task
    status: int
    refusal: str = ""
    ran: str = ""
    version: str = ""
    receipt: str = ""
    text: str = ""
    as_expected: bool = True
    first_byte: float = 0.0
    total: float = 0.0


class Caller:
    """Sends tasks to the daemons in turn and checks the responses."""

    def __init__(self, *, session: aiohttp.ClientSession, urls: list[str]):
        self.session = session
        self.urls = urls
        self.sent_count = 0

    async def send(self, task: Task) -> Outcome:
        """Send one task to the next daemon."""
        self.sent_count += 1
        url = self.urls[self.sent_count % len(self.urls)] + task.path
        headers = {
            "Linnetladder-Deadline-Ms": str(DEADLINE_MILLISECONDS),
            "Linnetladder-Kind": task.kind,
            **task.headers,
        }
        if task.account:
            headers["Authorization"] = f"Bearer {credential(task.account)}"
        body = task.raw
        if body is None and task.messages:
            document = {
                "model": task.model,
                "messages": list(task.messages),
                "stream": task.stream,
            }
            body = json.dumps(document, ensure_ascii=False).encode()
        started = time.perf_counter()
        async with self.session.request(
            task.method, url, data=body, headers=headers
        ) as response:
            first_chunk = await response.content.readany()
            first_byte = time.perf_counter() - started
            content = first_chunk + await response.content.read()
        outcome = Outcome(
            task=task,
            status=response.status,
            version=response.headers.get("X-Served-Version", ""),
            receipt=response.headers.get("Linnetladder-Receipt", ""),
            first_byte=first_byte,
            total=time.perf_counter() - started,
        )
        _evaluate_response(outcome, content)
        return outcome


def _evaluate_response(outcome: Outcome, content: bytes) -> None:
    """Set the outcome's refusal, text and whether it is the one the task expects."""
    task = outcome.task
    if outcome.status != 200:
        problem = json.loads(content)
        outcome.refusal, outcome.ran = problem["kind"], problem["ran"]
        outcome.as_expected = outcome.refusal == task.expected_refusal
        return
    if not task.messages:
        outcome.as_expected = json.loads(content)["method"] == task.method
        return
    if task.stream:
        outcome.text, complete = _parse_stream(content)
    else:
        outcome.text = json.loads(content)["choices"][0]["message"]["content"]
        complete = True
    expected = answer_text(list(task.messages), outcome.version)
    text_matches = outcome.text.encode() == expected.encode()
    outcome.as_expected = complete and text_matches and not task.expected_refusal


def _parse_stream(content: bytes) -> tuple[str, bool]:
    pieces = []
    complete = False
    for event in content.split(b"\n\n"):
        data = event.removeprefix(b"data: ")
        if data == b"[DONE]":
            complete = True
        elif data.startswith(b"{"):
            delta = json.loads(data)["choices"][0]["delta"]
            pieces.append(delta.get("content", ""))
    return "".join(pieces), complete


async def run_session(caller: Caller, spec: SiteSpec) -> list[Outcome]:
    """Open a session, continue it on all daemons in turn and return its outcomes.

    Every request of the session must be served by the version that served the first.
    """
    messages = ({"role": "user", "content": spec.name},)
    account = spec.accounts[1]
    headers = {
        "Authorization": f"Bearer {credential(account)}",
        "Linnetladder-Session": "open",
    }
    url = caller.urls[0] + "/v1/chat/completions"
    body = json.dumps({"messages": list(messages)})
    async with caller.session.post(url, data=body, headers=headers) as response:
        token = response.headers["Linnetladder-Session"]
        pinned_version = response.headers["X-Served-Version"]
        outcome = Outcome(
            task=Task(account=account, kind="session", messages=messages),
            status=response.status,
            version=pinned_version,
        )
        _evaluate_response(outcome, await response.read())
    outcomes = [outcome]
    for _ in range(9):
        task = Task(
            account=account,
            kind="session",
            messages=messages,
            headers={"Linnetladder-Session": token},
        )
        next_outcome = await caller.send(task)
        next_outcome.as_expected = (
            next_outcome.as_expected and next_outcome.version == pinned_version
        )
        outcomes.append(next_outcome)
    return outcomes


async def run_load(site: Site, tasks: list[Task], console: Console) -> list[Outcome]:
    """Run one session, then all tasks from ``CALLERS`` callers; return the outcomes."""
    urls = [site.caller_url(daemon) for daemon in site.daemons]
    outcomes: list[Outcome] = []
    queue = collections.deque(tasks)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        caller = Caller(session=session, urls=urls)
        outcomes.extend(await run_session(caller, site.spec))
        with Progress(console=console, transient=False) as progress:
            bar = progress.add_task("requests", total=len(tasks))

            async def run_caller() -> None:
                while queue:
                    outcomes.append(await caller.send(queue.popleft()))
                    progress.advance(bar)

            await asyncio.gather(*(run_caller() for _ in range(CALLERS)))
    return outcomes


def run_management_command(site: Site, *arguments: str) -> subprocess.CompletedProcess:
    """Run a command of `linnetladder.management` against the site's platform."""
    command = [sys.executable, "-m", "linnetladder.management", *arguments]
    command.append(f"--platform_urls={site.platform_url}")
    return subprocess.run(command, capture_output=True, text=True, check=False)


def _format_percentiles(seconds: list[float]) -> str:
    histogram = HdrHistogram(1, MAXIMUM_LATENCY_MICROSECONDS, 3)
    for value in seconds:
        histogram.record_value(max(int(value * MICROSECONDS_PER_SECOND), 1))
    percentiles = [histogram.get_value_at_percentile(p) / 1000 for p in (50, 95, 99)]
    return " / ".join(f"{value:.1f}" for value in percentiles)


async def _measure_added_latency(site: Site) -> str:
    """Return the latency in ms that a daemon adds to an engine's, at the median."""
    engine_port = site.endpoints[f"{site.spec.engine_service}-1"]
    model = site.spec.engine_versions[0][0]
    messages = [{"role": "user", "content": "x" * 60}]
    body = json.dumps({"model": model, "messages": messages})
    account = site.spec.accounts[0]
    headers = {"Authorization": f"Bearer {credential(account)}"}
    medians = []
    async with aiohttp.ClientSession() as session:
        for port in (engine_port, site.daemons[0].caller_port):
            url = f"http://127.0.0.1:{port}/v1/chat/completions"
            times = []
            for _ in range(60):
                started = time.perf_counter()
                async with session.post(url, data=body, headers=headers) as response:
                    await response.read()
                times.append(time.perf_counter() - started)
            medians.append(sorted(times)[len(times) // 2])
    return f"{(medians[1] - medians[0]) * 1000:.1f}"


def summarize(
    console: Console,
    outcomes: list[Outcome],
    bills: list[dict],
    added_milliseconds: str,
) -> bool:
    """Print the table and return whether all outcomes are accounted for.

    Every request must be answered or refused as expected, and the number of bills must
    be the number of answers.
    """
    answered = [o for o in outcomes if o.status == 200]
    refused = collections.Counter(o.refusal for o in outcomes if o.status != 200)
    versions = collections.Counter(o.version for o in answered)
    billed = len(bills)
    cost = sum(bill["price"] for bill in bills) / 1_000_000
    unexpected = [o for o in outcomes if not o.as_expected]
    table = Table(show_header=False, box=None)
    rows = [
        ("requests", len(outcomes)),
        ("answered", len(answered)),
        ("refused", sum(refused.values())),
        *((f"  {kind}", count) for kind, count in sorted(refused.items())),
        ("billed", billed),
        *((f"  {version}", count) for version, count in sorted(versions.items())),
        ("cost", f"{cost:.6f}"),
        (
            "first byte ms, p50/p95/p99",
            _format_percentiles([o.first_byte for o in answered]),
        ),
        ("total ms, p50/p95/p99", _format_percentiles([o.total for o in answered])),
        ("added ms at p50, one caller", added_milliseconds),
        ("unexpected outcomes", len(unexpected)),
    ]
    for name, value in rows:
        table.add_row(str(name), str(value))
    console.print(table)
    for outcome in unexpected[:5]:
        console.print(f"unexpected: {outcome}", markup=False)
    accounted = len(answered) + sum(refused.values()) == len(outcomes)
    return accounted and billed == len(answered) and not unexpected


async def run(console: Console, spec: SiteSpec, folder: Path) -> bool:
    """Run the demo and return whether all of its checks passed."""
    site = Site(spec=spec, folder=folder)
    try:
        console.print(f"starting {spec.name} on loopback, logs in {folder}")
        if not await site.start():
            console.print("the platform or a daemon did not start in time; see its log")
            return False
        applied = run_management_command(
            site, "apply", str(spec.declarations), "--wait"
        )
        console.print(applied.stdout, markup=False)
        if applied.returncode != 0 or not await site.wait_ready():
            console.print(f"the site did not become ready: {applied.stderr}")
            return False
        tasks = Load(spec=spec, seed=FLAGS.seed).tasks(FLAGS.requests)
        outcomes = await run_load(site, tasks, console)
        bills = json.loads(
            run_management_command(site, "bill", "--detail", "--format=json").stdout
        )
        added_milliseconds = await _measure_added_latency(site)
        as_expected = summarize(console, outcomes, bills, added_milliseconds)
        refused = next(o for o in outcomes if o.refusal == "model_not_allowed")
        console.print("\nexplanation of one refusal:")
        explanation = run_management_command(site, "explain", refused.receipt)
        console.print(explanation.stdout + explanation.stderr, markup=False)
        return as_expected and explanation.returncode == 0
    finally:
        exit_codes = site.process_manager.stop()
        nonzero_codes = {name: code for name, code in exit_codes.items() if code != 0}
        console.print(f"stopped; nonzero exit codes: {nonzero_codes or 'none'}")


def main(argv: list[str]) -> None:
    """Run the demo of one example."""
    console = Console()
    if FLAGS.example not in SITE_SPECS:
        console.print(
            f"example {FLAGS.example!r} is not one of {', '.join(SITE_SPECS)}"
        )
        sys.exit(2)
    folder = Path(tempfile.mkdtemp(prefix="linnetladder-demo-"))
    as_expected = asyncio.run(run(console, SITE_SPECS[FLAGS.example], folder))
    console.print("all checks passed" if as_expected else "CHECKS FAILED")
    sys.exit(0 if as_expected else 1)


if __name__ == "__main__":
    flags.DEFINE_string("example", "daugava", "Example to run: daugava or barakat.")
    flags.DEFINE_integer("requests", 1500, "Requests to send.")
    flags.DEFINE_integer("seed", 2026, "Seed of the load.")
    absl_app.run(main)

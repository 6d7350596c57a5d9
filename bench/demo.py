"""The main job on stand-ins: start a site, send a mixed load, account for all of it.

Exits with 0 only if every request was answered or refused, every answer was the right
one, and what was billed is exactly what was answered.
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
from bench.scenes import SCENES, Scene, Site, credential
from standins.engine import answer_text

__all__ = ["main"]

FLAGS = flags.FLAGS
CALLERS = 24
DEADLINE_MILLISECONDS = 20_000
HIGHEST_MICROSECONDS = 600_000_000
MICROSECONDS = 1_000_000


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """What a caller saw."""

    task: Task
    status: int
    refusal: str = ""
    ran: str = ""
    version: str = ""
    receipt: str = ""
    text: str = ""
    right: bool = True
    first_byte: float = 0.0
    total: float = 0.0


class Caller:
    """Send tasks and see what comes back."""

    def __init__(self, *, session: aiohttp.ClientSession, urls: list[str]):
        self.session = session
        self.urls = urls
        self.turn = 0

    async def send(self, task: Task) -> Outcome:
        """Send one task to the next daemon."""
        self.turn += 1
        url = self.urls[self.turn % len(self.urls)] + task.path
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
            first = await response.content.readany()
            first_byte = time.perf_counter() - started
            content = first + await response.content.read()
        outcome = Outcome(
            task=task,
            status=response.status,
            version=response.headers.get("X-Served-Version", ""),
            receipt=response.headers.get("Linnetladder-Receipt", ""),
            first_byte=first_byte,
            total=time.perf_counter() - started,
        )
        _judge(outcome, content)
        return outcome


def _judge(outcome: Outcome, content: bytes) -> None:
    """Note what an answer says and whether it is the one that was asked for."""
    task = outcome.task
    if outcome.status != 200:
        problem = json.loads(content)
        outcome.refusal, outcome.ran = problem["kind"], problem["ran"]
        outcome.right = outcome.refusal == task.expected_refusal
        return
    if not task.messages:
        outcome.right = json.loads(content)["method"] == task.method
        return
    if task.stream:
        outcome.text, whole = _stream_text(content)
    else:
        outcome.text = json.loads(content)["choices"][0]["message"]["content"]
        whole = True
    expected = answer_text(list(task.messages), outcome.version)
    same = outcome.text.encode() == expected.encode()
    outcome.right = whole and same and not task.expected_refusal


def _stream_text(content: bytes) -> tuple[str, bool]:
    pieces = []
    whole = False
    for event in content.split(b"\n\n"):
        data = event.removeprefix(b"data: ")
        if data == b"[DONE]":
            whole = True
        elif data.startswith(b"{"):
            delta = json.loads(data)["choices"][0]["delta"]
            pieces.append(delta.get("content", ""))
    return "".join(pieces), whole


async def run_session(caller: Caller, scene: Scene) -> list[Outcome]:
    """Open a session, go on with it on other daemons, and return its outcomes."""
    messages = ({"role": "user", "content": scene.name},)
    account = scene.accounts[1]
    headers = {
        "Authorization": f"Bearer {credential(account)}",
        "Linnetladder-Session": "open",
    }
    url = caller.urls[0] + "/v1/chat/completions"
    body = json.dumps({"messages": list(messages)})
    async with caller.session.post(url, data=body, headers=headers) as response:
        token = response.headers["Linnetladder-Session"]
        pinned = response.headers["X-Served-Version"]
        outcome = Outcome(
            task=Task(account=account, kind="session", messages=messages),
            status=response.status,
            version=pinned,
        )
        _judge(outcome, await response.read())
    outcomes = [outcome]
    for _ in range(9):
        task = Task(
            account=account,
            kind="session",
            messages=messages,
            headers={"Linnetladder-Session": token},
        )
        following = await caller.send(task)
        following.right = following.right and following.version == pinned
        outcomes.append(following)
    return outcomes


async def run_load(site: Site, tasks: list[Task], console: Console) -> list[Outcome]:
    """Send all tasks from a number of callers and return their outcomes."""
    urls = [site.caller_url(daemon) for daemon in site.daemons]
    outcomes: list[Outcome] = []
    queue = collections.deque(tasks)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        caller = Caller(session=session, urls=urls)
        outcomes.extend(await run_session(caller, site.scene))
        with Progress(console=console, transient=False) as progress:
            bar = progress.add_task("requests", total=len(tasks))

            async def work() -> None:
                while queue:
                    outcomes.append(await caller.send(queue.popleft()))
                    progress.advance(bar)

            await asyncio.gather(*(work() for _ in range(CALLERS)))
    return outcomes


def tool(site: Site, *arguments: str) -> subprocess.CompletedProcess:
    """Run the operators' tool against the site."""
    command = [sys.executable, "-m", "linnetladder.management", *arguments]
    command.append(f"--platform_urls={site.platform_url}")
    return subprocess.run(command, capture_output=True, text=True, check=False)


def _percentiles(seconds: list[float]) -> str:
    histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, 3)
    for value in seconds:
        histogram.record_value(max(int(value * MICROSECONDS), 1))
    shown = [histogram.get_value_at_percentile(p) / 1000 for p in (50, 95, 99)]
    return " / ".join(f"{value:.1f}" for value in shown)


async def _added_latency(site: Site) -> str:
    """Return the daemons' own latency beside that of one engine, both at p50."""
    engine_port = site.endpoints[f"{site.scene.engine_service}-1"]
    model = site.scene.engine_versions[0][0]
    messages = [{"role": "user", "content": "x" * 60}]
    body = json.dumps({"model": model, "messages": messages})
    account = site.scene.accounts[0]
    headers = {"Authorization": f"Bearer {credential(account)}"}
    medians = []
    async with aiohttp.ClientSession() as session:
        for port in (engine_port, site.daemons[0].callers):
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
    console: Console, outcomes: list[Outcome], bills: list[dict], added: str
) -> bool:
    """Print the table and return whether everything adds up."""
    answered = [o for o in outcomes if o.status == 200]
    refused = collections.Counter(o.refusal for o in outcomes if o.status != 200)
    versions = collections.Counter(o.version for o in answered)
    billed = len(bills)
    cost = sum(bill["price"] for bill in bills) / 1_000_000
    wrong = [o for o in outcomes if not o.right]
    table = Table(show_header=False, box=None)
    rows = [
        ("requests", len(outcomes)),
        ("answered", len(answered)),
        ("refused", sum(refused.values())),
        *((f"  {kind}", count) for kind, count in sorted(refused.items())),
        ("billed", billed),
        *((f"  {version}", count) for version, count in sorted(versions.items())),
        ("cost", f"{cost:.6f}"),
        ("first byte ms, p50/p95/p99", _percentiles([o.first_byte for o in answered])),
        ("total ms, p50/p95/p99", _percentiles([o.total for o in answered])),
        ("added ms at p50, one caller", added),
        ("wrong or unexpected outcomes", len(wrong)),
    ]
    for name, value in rows:
        table.add_row(str(name), str(value))
    console.print(table)
    for outcome in wrong[:5]:
        console.print(f"unexpected: {outcome}", markup=False)
    accounted = len(answered) + sum(refused.values()) == len(outcomes)
    return accounted and billed == len(answered) and not wrong


async def run(console: Console, scene: Scene, folder: Path) -> bool:
    """Run the demo and return whether everything adds up."""
    site = Site(scene=scene, folder=folder)
    try:
        console.print(f"starting {scene.name} on loopback, logs in {folder}")
        if not await site.start():
            console.print("a process did not start; see its log")
            return False
        applied = tool(site, "apply", str(scene.declarations), "--wait")
        console.print(applied.stdout, markup=False)
        if applied.returncode != 0 or not await site.wait_ready():
            console.print(f"the site did not become ready: {applied.stderr}")
            return False
        tasks = Load(scene=scene, seed=FLAGS.seed).tasks(FLAGS.requests)
        outcomes = await run_load(site, tasks, console)
        bills = json.loads(tool(site, "bill", "--detail", "--format=json").stdout)
        added = await _added_latency(site)
        right = summarize(console, outcomes, bills, added)
        refused = next(o for o in outcomes if o.refusal == "model_not_allowed")
        console.print("\none refusal, explained:")
        explained = tool(site, "explain", refused.receipt)
        console.print(explained.stdout + explained.stderr, markup=False)
        return right and explained.returncode == 0
    finally:
        codes = site.fleet.stop()
        unclean = {name: code for name, code in codes.items() if code != 0}
        console.print(f"stopped; unclean ends: {unclean or 'none'}")


def main(argv: list[str]) -> None:
    """Run the demo of one example."""
    console = Console()
    if FLAGS.example not in SCENES:
        console.print(f"example {FLAGS.example!r} is not one of {', '.join(SCENES)}")
        sys.exit(2)
    folder = Path(tempfile.mkdtemp(prefix="linnetladder-demo-"))
    right = asyncio.run(run(console, SCENES[FLAGS.example], folder))
    console.print("everything adds up" if right else "SOMETHING DOES NOT ADD UP")
    sys.exit(0 if right else 1)


if __name__ == "__main__":
    flags.DEFINE_string("example", "daugava", "Example to run: daugava or barakat.")
    flags.DEFINE_integer("requests", 1500, "Requests to send.")
    flags.DEFINE_integer("seed", 2026, "Seed of the load.")
    absl_app.run(main)

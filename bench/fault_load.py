"""The load of the fault-injection run: callers that retry and record the outcomes."""

import asyncio
import json
import random
import time

import aiohttp

from bench.sites import DaemonPorts, Site, credential
from proof import History
from proof.history import Answered, Disconnected, Refused, Submitted
from standins.engine import CRASH_MARKER, answer_text

__all__ = ["Callers"]

CALLERS = 40
MAXIMUM_SUBMISSIONS_PER_KEY = 4


class Callers:
    """A closed loop of callers that retry a request when it is not answered.

    ``latencies`` holds the start and the duration of each answered request in seconds,
    retries included.
    """

    def __init__(self, *, site: Site, history: History, seed: int):
        self.site = site
        self.history = history
        self.random = random.Random(seed)
        self.serial = 0
        self.running = True
        self.latencies: list[tuple[float, float]] = []
        self.session: aiohttp.ClientSession | None = None

    async def run(self) -> None:
        """Send requests until ``running`` is false."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as self.session:
            await asyncio.gather(*(self._run_caller() for _ in range(CALLERS)))

    async def send_poison_request(self, key: str) -> None:
        """Send a request that crashes endpoints to each daemon, twice, in turn.

        Each submission has an idempotency key of its own.
        """
        for number in range(2 * len(self.site.daemons)):
            daemon = self.site.daemons[number % len(self.site.daemons)]
            await self._submit(key, "ozols", "chat", daemon, f"{key}-{number}", True)

    async def _run_caller(self) -> None:
        while self.running:
            self.serial += 1
            key = f"k{self.serial}"
            kind = self.random.choices(["chat", "stream", "order"], [4, 4, 2])[0]
            account = self.random.choice(self.site.spec.accounts)
            await self._send_with_retries(key, account, kind)

    async def _send_with_retries(self, key: str, account: str, kind: str) -> None:
        """Submit a request until it is answered or was refused after it ran.

        There are at most ``MAXIMUM_SUBMISSIONS_PER_KEY`` submissions.
        """
        started = time.monotonic()
        for _ in range(MAXIMUM_SUBMISSIONS_PER_KEY):
            daemon = self.random.choice(self.site.daemons)
            event = await self._submit(key, account, kind, daemon, key, False)
            if isinstance(event, Answered):
                self.latencies.append((started, time.monotonic() - started))
                return
            if isinstance(event, Refused) and event.ran == "yes":
                return
            await asyncio.sleep(0.2 * self.random.random())

    async def _submit(
        self,
        key: str,
        account: str,
        kind: str,
        daemon: DaemonPorts,
        idempotency_key: str,
        crashes_endpoint: bool,
    ) -> Answered | Refused | Disconnected:
        """Send one request; record its submission and outcome, and return the outcome.

        ``key`` identifies the request in the history.
        """
        self.serial += 1
        submission = f"{key}/{self.serial}"
        is_order = kind == "order"
        self.history.events.append(
            Submitted(
                time=time.monotonic(),
                submission=submission,
                key=key,
                account=account,
                daemon=daemon.name,
                idempotent=not is_order,
            )
        )
        text = f"proof-key:{key}; " + (
            CRASH_MARKER if crashes_endpoint else "proof " * 8
        )
        path = "/v1/services/layout-app/orders" if is_order else "/v1/chat/completions"
        document = {
            "messages": [{"role": "user", "content": text}],
            "stream": kind == "stream",
        }
        headers = {
            "Authorization": f"Bearer {credential(account)}",
            "Idempotency-Key": idempotency_key,
            "Linnetladder-Deadline-Ms": "8000",
            "Linnetladder-Kind": self.random.choice(["caption", "catalogue"]),
        }
        try:
            async with self.session.post(
                self.site.caller_url(daemon) + path,
                data=text.encode() if is_order else json.dumps(document).encode(),
                headers=headers,
            ) as response:
                content = await response.read()
            event = _classify_response(
                submission, document, is_order, response, content
            )
        except (aiohttp.ClientError, OSError):
            event = Disconnected(time=time.monotonic(), submission=submission)
        self.history.events.append(event)
        return event


def _classify_response(submission, document, is_order, response, content):
    """Return the event for a response: `Answered`, `Refused` or `Disconnected`.

    A stream without its final event counts as disconnected.
    """
    now = time.monotonic()
    if response.status != 200:
        problem = json.loads(content)
        return Refused(
            time=now, submission=submission, kind=problem["kind"], ran=problem["ran"]
        )
    version = response.headers.get("X-Served-Version", "")
    if is_order:
        is_correct = json.loads(content)["method"] == "POST"
        return Answered(
            time=now, submission=submission, version=version, is_correct=is_correct
        )
    expected = answer_text(document["messages"], version)
    if not document["stream"]:
        text = json.loads(content)["choices"][0]["message"]["content"]
        is_correct = text == expected
        return Answered(
            time=now, submission=submission, version=version, is_correct=is_correct
        )
    *events, remainder = content.split(b"\n\n")
    if events and events[-1].startswith(b"event: error"):
        problem = json.loads(events[-1].split(b"data: ", 1)[1])
        return Refused(
            time=now, submission=submission, kind=problem["kind"], ran=problem["ran"]
        )
    if remainder or not events or events[-1] != b"data: [DONE]":
        return Disconnected(time=now, submission=submission)
    deltas = [json.loads(e[6:])["choices"][0]["delta"] for e in events[:-1]]
    text = "".join(delta.get("content", "") for delta in deltas)
    return Answered(
        time=now, submission=submission, version=version, is_correct=text == expected
    )

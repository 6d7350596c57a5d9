"""A fleet of daemons before endpoints that get more requests than they can serve.

Endpoints run some requests at once and let the others wait, the most urgent first. Time
is virtual and the same for all. Reports arrive late and none is encoded.
"""

import asyncio
import dataclasses
import heapq
import itertools
import random

import looptime

from linnetladder.forwarding.coordination.room import ServiceTimes
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.state import Prompt, PromptPart, RequestKind
from tests.support.endpoint_fleet import FleetClock
from tests.support.forwarding import (
    LocalDaemon,
    MemorySource,
    RecordedReply,
    Script,
    ScriptedExchange,
    head,
    report,
    route,
    table,
)

REPORT_INTERVAL_SECONDS = 0.4
READ_INTERVAL_SECONDS = 1.0
NETWORK_SECONDS = 0.005
ACCOUNTS = ("studio", "press", "radio", "archive")
# How long a request runs on average. Some take a quarter more or less.
RUN_SECONDS = 0.6
DEADLINE_SECONDS = 4.0
OBJECTIVE_SECONDS = 2.0
CACHE_TOKENS = 100_000


@dataclasses.dataclass(slots=True, kw_only=True)
class Sent:
    """A caller's request and its end; ``tries`` counts what its caller sent."""

    at: float
    account: str
    urgent: bool
    served: bool = False
    refused: bool = False
    ended: float = 0.0
    retry_after: float | None = None
    tries: int = 0


class QueuedEndpoint:
    """An endpoint with slots and, for prompts, memory; other requests wait."""

    def __init__(self, *, slots):
        self.slots = slots
        self.free_tokens = CACHE_TOKENS
        self.waiting = []
        self.serial = itertools.count()
        self.preempted = 0

    async def begin(self, urgency, tokens):
        """Wait for a slot and memory."""
        begun = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (urgency, next(self.serial), tokens, begun))
        self._start()
        try:
            await begun
        except asyncio.CancelledError:
            if begun.done() and not begun.cancelled():
                self.end(tokens)
            raise

    def end(self, tokens):
        self.slots += 1
        self.free_tokens += tokens
        self._start()

    def _start(self):
        while self.waiting and self.slots:
            _, _, tokens, begun = self.waiting[0]
            if not begun.cancelled():
                if tokens > self.free_tokens:
                    return
                self.slots -= 1
                self.free_tokens -= tokens
                begun.set_result(None)
            heapq.heappop(self.waiting)


class QueuedExchange(ScriptedExchange):
    """An answer that ends when its endpoint has run the request."""

    def __init__(self, *, endpoint, seconds, tokens, attempt_id):
        super().__init__(script=Script(), attempt_id=attempt_id)
        self.endpoint = endpoint
        self.seconds = seconds
        self.tokens = tokens

    async def chunks(self):
        await asyncio.sleep(self.seconds)
        yield b"id: 1\ndata: a\n\n"

    def close(self):
        if not self.closed:
            self.endpoint.end(self.tokens)
        super().close()


class QueuedCalls:
    """Calls of one daemon to the endpoints of a fleet."""

    def __init__(self, *, fleet):
        self.fleet = fleet

    async def open(self, call):
        endpoint = self.fleet.endpoints[call.instance]
        prompt = call.request.head.prompt
        tokens = prompt.input_tokens + prompt.output_tokens if prompt else 0
        call.connected = True
        await asyncio.sleep(NETWORK_SECONDS)
        urgency = call.urgency if prompt else call.request.priority
        await endpoint.begin(urgency, tokens)
        seconds = self.fleet.run_seconds()
        if prompt is None:
            try:
                await asyncio.sleep(seconds)
            except asyncio.CancelledError:
                endpoint.end(tokens)
                raise
            seconds = 0.0
        return QueuedExchange(
            endpoint=endpoint,
            seconds=seconds,
            tokens=tokens,
            attempt_id=call.request.head.attempt_id,
        )

    def close_idle_connections(self, address):
        """Do nothing: these calls keep no connections."""


class LoadedFleet:
    """Daemons, endpoints of one service, and callers of several accounts.

    The daemons have served the service before, so they know how long requests take.

    ``prompt_tokens`` makes the requests prompts of that length; otherwise they are
    plain. No caller sends to the daemons in ``idle``. ``report_seconds`` is the age of
    reports when they arrive.
    """

    def __init__(
        self,
        *,
        daemons=6,
        endpoints=3,
        slots=6,
        prompt_tokens=0,
        report_seconds=NETWORK_SECONDS,
        seed=1,
    ):
        self.loop = looptime.new_event_loop(noop_cycles=2)
        self.random = random.Random(seed)
        self.prompt_tokens = prompt_tokens
        self.report_seconds = report_seconds
        self.path = "/draft/1" if prompt_tokens else "/fetch/1"
        kind = RequestKind.STREAMING if prompt_tokens else RequestKind.IDEMPOTENT
        name = self.path.split("/")[1]
        options = {"kind": kind, "objective_seconds": OBJECTIVE_SECONDS}
        urgent = route(f"urgent-{name}", priority=0, **options)
        self.source = MemorySource(
            table=table(
                routes=(route(name, **options), urgent),
                accounts=tuple((account, account) for account in ACCOUNTS),
            )
        )
        self.service = service = "engines" if prompt_tokens else "desk"
        self.endpoints = {}
        for number in range(endpoints):
            instance = f"{service}-{number + 1}"
            self.endpoints[instance] = QueuedEndpoint(slots=slots)
            self.source.endpoints[instance] = report(
                instance, service=service, capacity=slots, address=instance
            )
        fitting = CACHE_TOKENS // (prompt_tokens + 100) if prompt_tokens else slots
        self.capacity = endpoints * min(slots, fitting) / RUN_SECONDS
        self.sent = []
        self.serial = itertools.count()
        self.tasks = set()
        self.idle = set()
        self.daemons = {}
        for number in range(daemons):
            self._add_daemon(f"daemon-{number + 1}")

    @property
    def now(self):
        return self.loop.time()

    def run_seconds(self):
        return RUN_SECONDS * self.random.uniform(0.75, 1.25)

    def kill(self, share):
        """End a share of the daemons; the requests that they hold are lost."""
        for name in list(self.daemons)[: int(len(self.daemons) * share)]:
            del self.daemons[name]
            for task in self.tasks:
                if task.get_name() == name:
                    task.cancel()

    def run(self, *callers, events=()):
        """Let callers send, as described by `load`, while events take place."""
        try:
            self.loop.run_until_complete(self._run(callers, events))
        finally:
            self.loop.close()

    async def load(
        self, times, *, first, last, account=None, urgent=False, tries=1, pause=0.0
    ):
        """Send a multiple of the capacity for a time.

        Callers that are refused try again after a pause, without regard to what the
        refusal says.
        """
        await asyncio.sleep(first)
        while self.now < last:
            sent = Sent(
                at=self.now,
                account=account or self.random.choice(ACCOUNTS),
                urgent=urgent,
            )
            self.sent.append(sent)
            self._start(self._send(sent, tries, pause))
            await asyncio.sleep(self.random.uniform(0.5, 1.5) / times / self.capacity)

    def served_per_second(self, first, last, **fields):
        """Return the requests served a second, among those that ended in a period."""
        served = [s for s in self.chosen(**fields) if s.served]
        return sum(first <= s.ended < last for s in served) / (last - first)

    def served_share(self, first, last, **fields):
        """Return the share that was served of the requests sent in a period."""
        chosen = [s for s in self.chosen(**fields) if first <= s.at < last]
        return sum(s.served for s in chosen) / len(chosen)

    def chosen(self, **fields):
        """Return the requests whose fields have these values."""
        return [
            s
            for s in self.sent
            if all(getattr(s, name) == value for name, value in fields.items())
        ]

    def count(self, name, label):
        """Return the sum of a counter over the daemons."""
        return sum(d.metrics.value(name, label=label) for d in self.daemons.values())

    def _add_daemon(self, name):
        daemon = LocalDaemon(name=name, source=self.source, clock=FleetClock(self.loop))
        times = ServiceTimes(held=RUN_SECONDS, answers=20)
        daemon.peers.room.times[self.service] = times
        daemon.sender.calls = QueuedCalls(fleet=self)
        daemon.bill_flusher.ensure_durable = _return_at_once
        self.source.daemons[name] = DaemonAddress(
            instance=name,
            incarnation=f"{name}-1",
            failure_domain=("east", "west")[len(self.daemons) % 2],
            host=name,
            port=1,
        )
        self.daemons[name] = daemon

    def _start(self, coroutine, name=None):
        task = asyncio.create_task(coroutine, name=name)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _run(self, callers, events):
        for daemon in self.daemons.values():
            assert await daemon.poller.read_once()
        background = [
            asyncio.create_task(self._report()),
            asyncio.create_task(self._read()),
        ]
        for delay, action in events:
            self.loop.call_later(delay, action)
        await asyncio.gather(*callers)
        while self.tasks:
            await asyncio.wait(self.tasks)
        for task in background:
            task.cancel()

    async def _send(self, sent, tries, pause):
        prefix = "/urgent-" if sent.urgent else "/"
        while sent.tries < tries and not sent.served:
            sent.tries += 1
            name = self.random.choice([n for n in self.daemons if n not in self.idle])
            task = self._start(self._answer(name, prefix + self.path[1:], sent), name)
            await asyncio.wait([task])
            await asyncio.sleep(pause)

    async def _answer(self, name, path, sent):
        number = next(self.serial)
        prompt = None
        if self.prompt_tokens:
            parts = (PromptPart(f"s{number}", 0), PromptPart(f"own-{number}", 200))
            prompt = Prompt(
                input_tokens=self.prompt_tokens, output_tokens=100, parts=parts
            )
        request_head = head(
            path,
            attempt_id=f"a{number}",
            key=sent.account,
            deadline_seconds=DEADLINE_SECONDS,
            prompt=prompt,
            model="*" if prompt else "",
        )
        reply, daemon = RecordedReply(), self.daemons[name]
        await daemon.forwarder.answer(request_head, b"", received=self.now, reply=reply)
        sent.served = reply.status == 200 and reply.complete and not reply.broken
        sent.refused = reply.refusal is not None
        sent.ended = self.now
        if reply.refusal is not None:
            sent.retry_after = reply.refusal.retry_after_seconds

    async def _read(self):
        while True:
            await asyncio.sleep(READ_INTERVAL_SECONDS)
            for daemon in list(self.daemons.values()):
                assert await daemon.poller.read_once()

    async def _report(self):
        """Send reports at even times, so that few arrive at once."""
        while True:
            for name in list(self.daemons):
                await asyncio.sleep(REPORT_INTERVAL_SECONDS / len(self.daemons))
                if name not in self.daemons:
                    continue
                daemon = self.daemons[name]
                receivers = daemon.peers.receivers()
                message = daemon.peers.build(receivers)
                for receiver in receivers:
                    daemon.peers.record_sent(receiver)
                self.loop.call_later(
                    self.report_seconds, self._deliver, message, receivers
                )

    def _deliver(self, message, receivers):
        for receiver in receivers:
            if receiver.instance in self.daemons:
                self.daemons[receiver.instance].peers.apply(message)


async def _return_at_once(*, seconds):
    return True

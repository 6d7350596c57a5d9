"""A fleet of daemons before endpoints that name limits, leave or ask for pauses.

Time is virtual and the same for all. Reports travel between the daemons without delay.
"""

import asyncio
import collections
import random

import looptime

from bench.limit_checks import Arrival, LimitHistory, find_limit_violations
from bench.notice_checks import (
    AskedPause,
    SentOn,
    find_leaving_violations,
    find_pause_violations,
)
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.protocol.daemon_messages import (
    decode_message,
    encode_message,
)
from linnetladder.state import Clock
from tests.support.forwarding import (
    LocalDaemon,
    MemorySource,
    RecordedReply,
    Script,
    ScriptedExchange,
    head,
    report,
    table,
)

REPORT_INTERVAL_SECONDS = 0.4
READ_INTERVAL_SECONDS = 1.0
# From the arrival of a request at an endpoint to the first byte of its answer.
ANSWER_SECONDS = 0.05
SECRET = b"secret"


class LimitedCalls:
    """Calls of one daemon to the endpoints of a fleet."""

    def __init__(self, *, fleet, daemon, life):
        self.fleet = fleet
        self.identity = f"{daemon}#{life}"

    async def open(self, call):
        fleet, began = self.fleet, self.fleet.now
        await asyncio.sleep(ANSWER_SECONDS)
        limit = fleet.limits.get(call.instance)
        fleet.arrivals[call.instance].append(
            Arrival(
                time=began,
                daemon=self.identity,
                told_at=fleet.now if limit is not None else None,
            )
        )
        leaving = call.instance in fleet.leaving
        fleet.sent_on[call.instance].append(
            SentOn(
                time=began,
                daemon=self.identity,
                sent_at=call.request.received,
                told_at=fleet.now if leaving else None,
                passed_on_at=fleet.now,
            )
        )
        script = Script(limit=limit, confidence=fleet.confidence, leaving=leaving)
        pause = fleet.pause_of(call.instance)
        if pause is not None:
            fleet.pauses[call.instance].append(
                AskedPause(time=fleet.now, daemon=self.identity, seconds=pause)
            )
            script = Script(status=503, not_run=True, pause=pause, leaving=leaving)
        return ScriptedExchange(script=script, attempt_id=call.request.head.attempt_id)

    def close_idle_connections(self, address):
        """Do nothing: these calls keep no connections."""


class LimitedFleet:
    """Daemons, endpoints of the service ``engines``, and the requests of callers.

    ``skew`` is the largest difference of a daemon's Unix time from the true one, in
    seconds. ``cut`` holds the daemons that can't reach the store. ``reports`` is
    whether daemons report to each other.
    """

    def __init__(self, *, daemons, endpoints, seed=1, skew=0.0, reports=True):
        self.loop = looptime.new_event_loop()
        self.random = random.Random(seed)
        self.source = MemorySource(table=table())
        self.skew = skew
        self.reports = reports
        self.confidence = 90.0
        self.limits = {}
        self.histories = collections.defaultdict(LimitHistory)
        self.arrivals = collections.defaultdict(list)
        self.replies = []
        self.waits = []
        self.cut = set()
        self.leaving = set()
        self.paused_until = {}
        self.sent_on = collections.defaultdict(list)
        self.pauses = collections.defaultdict(list)
        self.restarts = collections.defaultdict(list)
        self.daemons = {}
        self.lives = collections.Counter()
        self.serial = 0
        for number in range(endpoints):
            self.add_endpoint(f"engine-{number + 1}")
        for number in range(daemons):
            self.add_daemon(f"daemon-{number + 1}")

    @property
    def now(self):
        return self.loop.time()

    def add_endpoint(self, name):
        self.source.endpoints[name] = report(name, capacity=64)

    def remove_endpoint(self, name):
        del self.source.endpoints[name]

    def add_daemon(self, name):
        """Start a daemon, or start one again."""
        self.lives[name] += 1
        life = self.lives[name]
        clock = SkewedClock(self.loop, self.random.uniform(-self.skew, self.skew))
        daemon = LocalDaemon(
            name=name, incarnation=f"{name}-{life}", source=self.source, clock=clock
        )
        daemon.sender.calls = LimitedCalls(fleet=self, daemon=name, life=life)
        daemon.bill_flusher.ensure_durable = _return_at_once
        self.source.daemons[name] = DaemonAddress(
            instance=name,
            incarnation=f"{name}-{life}",
            failure_domain="east",
            host=name,
            port=1,
        )
        self.daemons[name] = daemon

    def cut_from_store(self, name):
        """Cut a daemon off from the store, which drops its registration."""
        self.cut.add(name)
        del self.source.daemons[name]

    def restart_endpoint(self, name):
        """Start an endpoint again under its name, without a limit."""
        incarnation = str(int(self.source.endpoints[name].incarnation) + 1)
        self.source.endpoints[name] = report(name, capacity=64, incarnation=incarnation)
        self.name_limit(name, None)
        self.restarts[name].append(self.now)
        self.leaving.discard(name)
        self.paused_until.pop(name, None)

    def pause(self, endpoint, seconds):
        """Make an endpoint turn requests away until some seconds from now."""
        self.paused_until[endpoint] = self.now + seconds

    def pause_of(self, endpoint):
        """Return for how many seconds an endpoint wants nothing, or ``None``."""
        seconds = self.paused_until.get(endpoint, 0.0) - self.now
        return seconds if seconds > 0 else None

    def name_limit(self, endpoint, limit):
        """Make an endpoint name a limit from now on, or none."""
        self.limits[endpoint] = limit
        self.histories[endpoint].name(self.now, limit)

    def run(self, *, seconds, per_second, events=()):
        """Send requests at a rate while ``events`` take place: seconds and actions."""
        try:
            self.loop.run_until_complete(self._run(seconds, per_second, events))
        finally:
            self.loop.close()

    def violations(self):
        """Return the violations of limits, by an independent check."""
        return [
            line
            for name, history in self.histories.items()
            for line in find_limit_violations(name, self.arrivals[name], history)
        ]

    def notice_violations(self, *, drain_seconds=0.3):
        """Return the violations of what endpoints said, by an independent check."""
        violations = []
        for name, arrivals in self.sent_on.items():
            restarts = self.restarts[name]
            violations += find_leaving_violations(
                name, arrivals, drain_seconds=drain_seconds, restarts=restarts
            )
            violations += find_pause_violations(
                name, arrivals, self.pauses[name], restarts=restarts
            )
        return violations

    def received(self, endpoint, first, last):
        """Return how many requests an endpoint got in a period."""
        return sum(first < a.time <= last for a in self.arrivals[endpoint])

    async def _run(self, seconds, per_second, events):
        for daemon in self.daemons.values():
            assert await daemon.poller.read_once()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._read(seconds))
            if self.reports:
                tasks.create_task(self._exchange_reports(seconds))
            for delay, action in events:
                tasks.create_task(self._act(delay, action))
            while self.now < seconds:
                tasks.create_task(self._request())
                await asyncio.sleep(self.random.expovariate(per_second))

    async def _act(self, delay, action):
        await asyncio.sleep(delay)
        action()

    async def _request(self):
        self.serial += 1
        daemon = self.random.choice(list(self.daemons.values()))
        reply, began = RecordedReply(), self.now
        self.replies.append(reply)
        await daemon.forwarder.answer(
            head(attempt_id=f"a{self.serial}", session=f"s{self.serial % 40}"),
            b"",
            received=daemon.clock.monotonic(),
            reply=reply,
        )
        self.waits.append((reply, self.now - began))

    async def _read(self, seconds):
        while self.now < seconds:
            await asyncio.sleep(READ_INTERVAL_SECONDS)
            for name, daemon in list(self.daemons.items()):
                if name not in self.cut:
                    assert await daemon.poller.read_once()

    async def _exchange_reports(self, seconds):
        while self.now < seconds:
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)
            for daemon in self.daemons.values():
                self.report(daemon)

    def report(self, daemon):
        """Send a daemon's report to the receivers of a round."""
        receivers = daemon.peers.receivers()
        for built in (daemon.peers.build(receivers), daemon.peers.build_paces()):
            if built is None:
                continue
            message = decode_message(
                encode_message(built, secret=SECRET), secret=SECRET
            )
            for receiver in receivers:
                daemon.peers.record_sent(receiver)
                if receiver.instance in self.daemons:
                    self.daemons[receiver.instance].peers.apply(message)


class SkewedClock(Clock):
    """An event loop's clock, whose Unix time is off by some seconds."""

    def __init__(self, loop, skew):
        self.loop = loop
        self.skew = skew

    def monotonic(self):
        return self.loop.time()

    def unix(self):
        return 1_700_000_000.0 + self.loop.time() + self.skew


async def _return_at_once(*, seconds):
    return True

"""A fleet of daemons before endpoints that crash on certain requests or their parts.

Daemons may be cut off from all endpoints for a time. Engines may be brittle: they let
no request wait, and fall over if they turn too many away.

Time is virtual and the same for all. Reports travel over links that lose some, within
the daemons' budget of bytes.
"""

import asyncio
import collections
import dataclasses
import math
import random

import looptime

from bench.crash_checks import (
    CRASHES,
    PromptRun,
    SoundRequest,
    find_crash_violations,
    find_late_runs,
    find_unserved_violations,
)
from bench.partition_checks import Cut, FirstAttempt, find_partition_violations
from linnetladder.forwarding.coordination.calls import ProbeOutcome
from linnetladder.forwarding.coordination.relaying import CutOffError
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.protocol.relaying import RelayedCall
from linnetladder.forwarding.state import Prompt, PromptPart
from linnetladder.forwarding.transport import PeerSocket
from linnetladder.state import Clock
from tests.support.forwarding import (
    LocalDaemon,
    MemorySource,
    RecordedReply,
    Script,
    ScriptedExchange,
    broken,
    head,
    report,
    table,
)

READ_INTERVAL_SECONDS = 1.0
CONTACT_SECONDS = 3.0
DOMAINS = ("east", "west", "north")
# The time to the first byte, from event to event, and from the head to a crash.
ANSWER_SECONDS = 0.05
EVENT_SECONDS = 0.04
CRASH_SECONDS = 0.06
EVENTS = 10
CONNECT_SECONDS = 0.002
TIME_OUT_SECONDS = 0.4
# A crashed endpoint refuses connections for this long, then it is listed anew.
RESTART_SECONDS = 3.0
NETWORK_SECONDS = 0.005
LOSS = 0.02
# Requests that an endpoint lets wait beside those that it runs.
WAITING = 4
SECRET = b"secret"
# A caller sends a request that failed once more.
CALLER_ATTEMPTS = 2
DESKS = 4
DESK_PATHS = ("/fetch/1", "/save/1")
COMMON_PARTS = ("style-1", "style-2")
SESSIONS = 60


class FleetExchange(ScriptedExchange):
    """A stream that ends when its endpoint crashes, and may crash it."""

    def __init__(self, *, fleet, endpoint, call, run):
        super().__init__(
            script=Script(brittle=fleet.brittle_limit_of(endpoint)),
            attempt_id=call.request.head.attempt_id,
        )
        self.fleet = fleet
        self.endpoint = endpoint
        self.first_event = int(call.resume_after or 0) + 1
        self.run = run

    async def chunks(self):
        if self.run is not None:
            await asyncio.sleep(CRASH_SECONDS)
            if self.endpoint not in self.fleet.down:
                self.fleet.crash(self.endpoint, self.run)
        for number in range(self.first_event, EVENTS + 1):
            await asyncio.sleep(self.fleet.event_seconds)
            await self.fleet.wait_for_stall(self.endpoint)
            if self.endpoint in self.fleet.down:
                raise broken()
            yield f"id: {number}\ndata: x\n\n".encode()

    def close(self):
        if not self.closed:
            self.fleet.leave(self.endpoint)
        super().close()


class FleetCalls:
    """Calls of one daemon to the endpoints of a fleet."""

    def __init__(self, *, fleet, daemon):
        self.fleet = fleet
        self.daemon = daemon

    async def open(self, call):
        if not call.relay:
            return await self._send(call)
        await asyncio.sleep(NETWORK_SECONDS)
        relayed = RelayedCall(
            method=call.request.head.method,
            target=call.request.head.target,
            instance=call.instance,
            attempt_id=call.request.head.attempt_id,
            headers=[],
        )
        self.fleet.relayed[relayed.attempt_id] = call
        try:
            return await self._peer(call.relay).relay_control.open(relayed)
        except CutOffError as error:
            raise broken(kind="connect", ran=False, peer_failed=True) from error

    async def relay(self, call):
        assert call.may_send()
        return await self._send(self.fleet.relayed[call.attempt_id])

    def _peer(self, address):
        return self.fleet.daemons[address.partition(":")[0]]

    async def _send(self, call):
        fleet = self.fleet
        if not await self._connects(call.instance):
            raise broken(kind="connect", ran=False)
        call.connected = True
        prompt = call.request.head.prompt
        parts = tuple(p.part_id for p in prompt.shared_parts) if prompt else ()
        run = len(fleet.runs)
        content = call.request.body.decode()
        fleet.runs.append(
            PromptRun(
                sent_at=fleet.now, daemon=self.daemon, parts=parts, content=content
            )
        )
        await fleet.wait_for_stall(call.instance)
        if not fleet.admit(call.instance):
            fleet.rejections.append((fleet.now, call.instance, self.daemon))
            return ScriptedExchange(
                script=Script(
                    status=503,
                    not_run=True,
                    brittle=fleet.brittle_limit_of(call.instance),
                ),
                attempt_id=call.request.head.attempt_id,
            )
        await asyncio.sleep(ANSWER_SECONDS)
        if call.instance in fleet.down:
            fleet.leave(call.instance)
            raise broken()
        crashes = bool(fleet.causes & {*parts, content})
        return FleetExchange(
            fleet=fleet,
            endpoint=call.instance,
            call=call,
            run=run if crashes else None,
        )

    async def probe(self, address):
        if await self._connects(address):
            return ProbeOutcome.ACCEPTED
        hangs = self.daemon in self.fleet.cut and not self.fleet.refuses
        return ProbeOutcome.TIMED_OUT if hangs else ProbeOutcome.REFUSED

    async def _connects(self, endpoint):
        """Return whether an endpoint is connected to, after the time that takes."""
        cut = self.daemon in self.fleet.cut
        hangs = cut and not self.fleet.refuses
        await asyncio.sleep(TIME_OUT_SECONDS if hangs else CONNECT_SECONDS)
        return not cut and endpoint not in self.fleet.down

    async def probe_through(self, relay, address):
        return await self._peer(relay).sender.calls.probe(address)

    async def is_reachable(self, address):
        return await self.probe(address) is ProbeOutcome.ACCEPTED

    def close_idle_connections(self, address):
        """Do nothing: these calls keep no connections."""


class EndpointFleet:
    """Daemons, endpoints of two services, and the requests of callers.

    There are ``endpoints`` of the service ``engines``, with ``slots`` each, and
    ``desks`` of the service ``desk``, which gets ``desk_share`` of the requests.
    Prompts begin with one of the ``common_parts``. ``causes`` holds the contents of
    requests and the parts of prompts on which endpoints crash, which are then down for
    ``restart_seconds``.
    """

    def __init__(
        self,
        *,
        daemons,
        endpoints,
        slots=64,
        desks=DESKS,
        desk_slots=64,
        desk_share=0.0,
        event_seconds=EVENT_SECONDS,
        common_parts=COMMON_PARTS,
        restart_seconds=RESTART_SECONDS,
        seed=1,
    ):
        self.loop = looptime.new_event_loop()
        self.random = random.Random(seed)
        self.source = MemorySource(table=table())
        self.causes = set()
        self.common_parts = common_parts
        self.restart_seconds = restart_seconds
        self.down = set()
        self.runs = []
        self.sound = []
        self.desk_share = desk_share
        self.event_seconds = event_seconds
        self.excused = collections.defaultdict(list)
        self.cut = set()
        self.cuts = []
        self.refuses = False
        self.first_attempts = []
        self.slots = {"engines": slots, "desk": desk_slots}
        self.brittle = {}
        self.brittle_from = math.inf
        self.running = collections.Counter()
        self.turned_away = collections.defaultdict(list)
        self.stalled_until = {}
        self.rejections = []
        self.falls = []
        self.relayed = {}
        self.serial = 0
        self.daemons = {}
        self.sockets = {}
        self.lives = collections.Counter()
        self.tasks = {}
        for number in range(endpoints):
            self.list_endpoint(f"engine-{number + 1}")
        for number in range(desks):
            self.list_endpoint(f"desk-{number + 1}")
        for number in range(daemons):
            self.add_daemon(f"daemon-{number + 1}")

    @property
    def now(self):
        return self.loop.time()

    def list_endpoint(self, name):
        """List an endpoint whose address is its name."""
        service = service_of(name)
        self.source.endpoints[name] = report(
            name, service=service, capacity=self.slots[service], address=name
        )

    def add_daemon(self, name):
        """Start a daemon, or start one again that remembers nothing."""
        self.lives[name] += 1
        incarnation = f"{name}-{self.lives[name]}"
        number = list(self.lives).index(name)
        failure_domain = DOMAINS[number % len(DOMAINS)]
        daemon = LocalDaemon(
            name=name,
            incarnation=incarnation,
            source=self.source,
            clock=FleetClock(self.loop),
            failure_domain=failure_domain,
        )
        calls = FleetCalls(fleet=self, daemon=name)
        daemon.sender.calls = daemon.quarantine.calls = calls
        daemon.relay_control.calls = daemon.sender.confirmation.calls = calls
        daemon.bill_flusher.ensure_durable = _return_at_once
        self.source.daemons.setdefault(
            name,
            DaemonAddress(
                instance=name,
                incarnation=incarnation,
                failure_domain=failure_domain,
                host=name,
                port=1,
            ),
        )
        peer_socket = PeerSocket(
            gossip=daemon.peers,
            metrics=daemon.metrics,
            reservations=daemon.reservations,
            trials=daemon.trials,
        )
        peer_socket.secret = SECRET
        peer_socket.transport = FleetLink(fleet=self)
        daemon.crashes.on_crash = peer_socket.send_soon
        daemon.directory.on_leaving = peer_socket.send_soon
        daemon.peers.on_news = peer_socket.send_soon
        self.daemons[name] = daemon
        self.sockets[name] = peer_socket

    async def restart_daemon(self, name):
        """Start a daemon again, which has lost all that it knew."""
        self.excused[name].append((self.now, self.now))
        for task in self.tasks[name]:
            task.cancel()
        self.add_daemon(name)
        await self._start(name)

    async def cut_off(self, daemons, seconds, *, refuses=False):
        """Cut daemons off from all endpoints for some seconds.

        Their connections hang, or are refused.
        """
        began, self.refuses = self.now, refuses
        self.cut.update(daemons)
        await asyncio.sleep(seconds)
        self.cut.difference_update(daemons)
        self.cuts.append(Cut(began=began, ended=self.now, daemons=daemons))

    def admit(self, endpoint):
        """Return whether an endpoint has room for a request, and count it there.

        One that has to turn too many away falls over.
        """
        limit = self.brittle_limit_of(endpoint)
        is_brittle = limit is not None and self.now >= self.brittle_from
        waiting = 0 if is_brittle else WAITING
        if self.running[endpoint] < self.slots[service_of(endpoint)] + waiting:
            self.running[endpoint] += 1
            return True
        recent = self.turned_away[endpoint]
        recent.append(self.now)
        if is_brittle and endpoint not in self.down:
            recent[:] = [time for time in recent if time > self.now - 1.0]
            if len(recent) > limit:
                self.falls.append(self.now)
                self._end(endpoint)
        return False

    def leave(self, endpoint):
        """Count the end of a request at an endpoint."""
        self.running[endpoint] -= 1

    def brittle_limit_of(self, endpoint):
        """Return how many requests an endpoint says it can turn away in a second."""
        return self.brittle.get(service_of(endpoint))

    def become_brittle(self, limit, *, service="engines"):
        """Let a service say that it is brittle, and be so some time later."""
        self.brittle[service] = limit
        self.brittle_from = self.now + CONTACT_SECONDS

    def stall(self, endpoint, seconds):
        """Let an endpoint fall silent for some seconds and go on after that."""
        self.stalled_until[endpoint] = self.now + seconds

    async def wait_for_stall(self, endpoint):
        """Wait until an endpoint that has fallen silent goes on."""
        await asyncio.sleep(max(self.stalled_until.get(endpoint, 0.0) - self.now, 0.0))

    def crash(self, endpoint, run):
        """End an endpoint on a request; it comes back under another name."""
        self.runs[run] = dataclasses.replace(self.runs[run], crashed_at=self.now)
        self._end(endpoint)

    def end_all_endpoints(self):
        """End all engines for a reason that lies in no request."""
        for endpoint in list(self.source.endpoints):
            if service_of(endpoint) == "engines" and endpoint not in self.down:
                self._end(endpoint)

    def _end(self, endpoint):
        self.down.add(endpoint)
        self.loop.call_later(self.restart_seconds, self._bring_back, endpoint)

    def _bring_back(self, endpoint):
        self.source.endpoints.pop(endpoint, None)
        name, _, life = endpoint.partition("#")
        self.list_endpoint(f"{name}#{int(life or 1) + 1}")

    def run(self, *, seconds, per_second, events=()):
        """Send sound requests at a rate while ``events`` take place.

        An event is a number of seconds and a function, which may be a coroutine's.
        """
        try:
            self.loop.run_until_complete(self._run(seconds, per_second, events))
        finally:
            self.loop.close()

    def send_crashing(self, part, *, per_second, seconds, sessions=()):
        """Return a coroutine that sends requests with a part that crashes endpoints.

        It comes first in their prompts if ``sessions`` are given, one of which follows,
        and last of the shared parts otherwise.
        """
        self.causes.add(part)
        prompts = [(part, session) for session in sessions]
        prompts = prompts or [(self.common_parts[0], part)]
        return self._send_crashing(prompts, per_second, seconds)

    async def repeat_crashing(self, content, session, *, per_second, seconds):
        """Send a request again and again that crashes endpoints as a whole."""
        self.causes.add(content)
        shared = (self.common_parts[0], session)
        tasks = []
        until = self.now + seconds
        while self.now < until:
            attempt = self._attempt(shared, body=content.encode())
            tasks.append(asyncio.create_task(attempt))
            await asyncio.sleep(self.random.expovariate(per_second))
        await asyncio.gather(*tasks)

    async def send_until_bad(self, session, *, per_second, seconds, bad_after):
        """Send requests of a session that begins to crash endpoints some time later."""
        prompts = [(self.common_parts[0], session)]
        self.loop.call_later(bad_after, self.causes.add, session)
        await self._send_crashing(prompts, per_second, seconds)

    def crash_violations(self):
        """Return the violations by requests that crash endpoints."""
        return find_crash_violations(
            self.runs,
            causes=self.causes,
            notice_seconds=CONTACT_SECONDS,
            excused=self.excused,
        )

    def late_runs(self, cause):
        """Return the requests with a cause that daemons in touch sent too late."""
        return find_late_runs(
            self.runs,
            cause=cause,
            notice_seconds=CONTACT_SECONDS,
            excused=self.excused,
        )

    def crashes_of(self, cause):
        """Return how many endpoints crashed on a request with a cause."""
        return sum(
            run.crashed_at is not None and cause in (run.content, *run.parts)
            for run in self.runs
        )

    def served_ratio(self, *, before):
        """Return the share of sound requests that were served after a time.

        It is relative to the share before that time.
        """
        earlier = [sound.served for sound in self.sound if sound.sent_at < before]
        later = [sound.served for sound in self.sound if sound.sent_at >= before]
        return sum(later) / len(later) / (sum(earlier) / len(earlier))

    def unserved_violations(self, *, before):
        """Return the violations by sound requests that were not served."""
        crashes = sorted(r.crashed_at for r in self.runs if r.crashed_at is not None)
        last = crashes[:CRASHES][-1]
        return find_unserved_violations(
            self.sound, before=before, since=last + 2 * CONTACT_SECONDS
        )

    def partition_violations(self):
        """Return the violations by daemons that were cut off from endpoints."""
        return find_partition_violations(
            self.first_attempts, self.cuts, notice_seconds=CONTACT_SECONDS
        )

    async def _run(self, seconds, per_second, events):
        for name in list(self.daemons):
            await self._start(name)
        tasks = [asyncio.create_task(self._act(*event)) for event in events]
        while self.now < seconds:
            to_desk = self.random.random() < self.desk_share
            send = self._send_to_desk if to_desk else self._send_sound
            tasks.append(asyncio.create_task(send()))
            await asyncio.sleep(self.random.expovariate(per_second))
        await asyncio.gather(*tasks)
        ending = asyncio.all_tasks() - {asyncio.current_task()}
        for task in ending:
            task.cancel()
        await asyncio.gather(*ending, return_exceptions=True)

    async def _act(self, delay, action):
        await asyncio.sleep(delay)
        result = action()
        if asyncio.iscoroutine(result):
            await result

    async def _start(self, name):
        daemon = self.daemons[name]
        assert await daemon.poller.read_once()
        await asyncio.sleep(0.4 * self.random.random() / len(self.daemons))
        self.tasks[name] = [
            asyncio.create_task(self.sockets[name].run()),
            asyncio.create_task(self._read(daemon)),
            asyncio.create_task(daemon.crash_records.run()),
        ]

    async def _read(self, daemon):
        while True:
            await asyncio.sleep(READ_INTERVAL_SECONDS)
            assert await daemon.poller.read_once()

    async def _send_sound(self):
        number = self.random.randrange(SESSIONS)
        session = f"s{number}"
        common = self.common_parts[number % len(self.common_parts)]
        began = self.now
        served = await self._attempt((common, session))
        self.sound.append(SoundRequest(sent_at=began, served=served))

    async def _send_crashing(self, prompts, per_second, seconds):
        tasks = []
        until = self.now + seconds
        while self.now < until:
            shared = self.random.choice(prompts)
            tasks.append(asyncio.create_task(self._send_until_answered(shared)))
            await asyncio.sleep(self.random.expovariate(per_second))
        await asyncio.gather(*tasks)

    async def _send_until_answered(self, shared):
        self.serial += 1
        body = str(self.serial).encode()
        for _ in range(CALLER_ATTEMPTS):
            if await self._attempt(shared, body=body):
                return
            await asyncio.sleep(0.2)

    async def _send_to_desk(self):
        self.serial += 1
        path = self.random.choice(DESK_PATHS)
        request = head(path, attempt_id=f"a{self.serial}", deadline_seconds=1.0)
        await self._answer(request, str(self.serial).encode())

    async def _attempt(self, shared, *, body=b""):
        self.serial += 1
        parts = [PromptPart(part, 400) for part in shared]
        parts.append(PromptPart(f"own-{self.serial}", 200))
        prompt = Prompt(input_tokens=1000, output_tokens=80, parts=tuple(parts))
        request = head(attempt_id=f"a{self.serial}", prompt=prompt)
        return await self._answer(request, body or str(self.serial).encode())

    async def _answer(self, request, body):
        """Send a request to any daemon and return whether it was answered."""
        name = self.random.choice(list(self.daemons))
        reply, began = RecordedReply(), self.now
        await self.daemons[name].forwarder.answer(
            request, body, received=began, reply=reply
        )
        served = reply.status == 200 and reply.complete
        self.first_attempts.append(
            FirstAttempt(sent_at=began, daemon=name, served=served)
        )
        return served


class FleetLink(asyncio.DatagramTransport):
    """Delivers datagrams between the daemons of a fleet, and loses some."""

    def __init__(self, *, fleet):
        super().__init__()
        self.fleet = fleet

    def sendto(self, data, addr=None):
        if self.fleet.random.random() < LOSS:
            return
        self.fleet.loop.call_later(NETWORK_SECONDS, self._deliver, data, addr[0])

    def _deliver(self, data, name):
        self.fleet.sockets[name].datagram_received(data, ())


class FleetClock(Clock):
    """An event loop's clock."""

    def __init__(self, loop):
        self.loop = loop

    def monotonic(self):
        return self.loop.time()

    def unix(self):
        return 1_700_000_000.0 + self.loop.time()


def service_of(endpoint):
    """Return the service of an endpoint by its name."""
    return "desk" if endpoint.startswith("desk") else "engines"


async def _return_at_once(*, seconds):
    return True

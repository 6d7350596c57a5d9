"""A forwarding daemon's coordination with fakes and a manually advanced clock."""

import asyncio
import dataclasses

from returns.result import Failure, Success

from linnetladder.coordination.platform import FaultKind, PlatformFault
from linnetladder.forwarding.coordination.calls import (
    CallFault,
    CallFaultKind,
    EndpointCalls,
    Exchange,
    ProbeOutcome,
    Reply,
)
from linnetladder.forwarding.coordination.memory_account import MemoryAccount
from linnetladder.forwarding.coordination.shared_snapshots import content_digest
from linnetladder.forwarding.coordination.sources import (
    OperatorSource,
    StoreContent,
    StoreSnapshot,
)
from linnetladder.forwarding.coordination.store_era import StoreEra
from linnetladder.forwarding.core import ForwardingPorts, build_forwarding_core
from linnetladder.forwarding.daemon_variables import PolicySettings
from linnetladder.forwarding.protocol import ResponseHead
from linnetladder.forwarding.settings import FleetSettings, SettingsHolder
from linnetladder.forwarding.state import (
    CallerLimits,
    ClientAccount,
    EngineSpec,
    EvacuatedDomain,
    Prompt,
    PromptPart,
    RequestHead,
    RequestKind,
    Route,
    RoutingTable,
    ServiceShare,
    ServiceSpec,
    credential_digest,
)
from linnetladder.state import Clock, EndpointReport, VersionRef
from linnetladder.telemetry import Metrics

MODELS = ("small", "middle", "large")
MEMORY_CAPACITY = 64 * 1024 * 1024


def memory_account(capacity: int = MEMORY_CAPACITY) -> MemoryAccount:
    """Return an account for a server under test."""
    return MemoryAccount(capacity=capacity, metrics=Metrics())


class ManualClock(Clock):
    """A clock that only tests advance."""

    def __init__(self):
        self.now = 1000.0
        self.unix_offset = 1_700_000_000.0

    def monotonic(self) -> float:
        return self.now

    def unix(self) -> float:
        return self.now + self.unix_offset


def route(name="draft", *, kind=RequestKind.STREAMING, **changes) -> Route:
    """Return a route of the service ``engines`` or, if not a stream, ``desk``."""
    streaming = kind is RequestKind.STREAMING
    fields = {
        "name": name,
        "host": "api.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_seconds": 12.0,
        "objective_seconds": 2.0,
        "priority": 1,
        "shares": (ServiceShare("engines" if streaming else "desk", 1.0),),
        "maximum_attempts": 3 if streaming else 2,
        "resumable": streaming,
        "models": MODELS if streaming else (),
    }
    fields.update(changes)
    return Route(**fields)


def table(version=1, *, routes=None, accounts=(("studio", "key-1"),)) -> RoutingTable:
    """Return a routing table with the usual routes and one client account.

    ``accounts`` are ``None`` in a table that does without them.
    """
    return RoutingTable(
        version=version,
        revision=version,
        routes=routes
        or (
            route("draft"),
            route("fetch", kind=RequestKind.IDEMPOTENT),
            route("save", kind=RequestKind.NON_IDEMPOTENT, maximum_attempts=1),
        ),
        services=(
            ServiceSpec(
                name="engines",
                health_path="/healthz",
                maximum_connections=100,
                engine=EngineSpec(
                    slots=8,
                    cache_tokens=100_000,
                ),
            ),
            ServiceSpec(name="desk", health_path="/healthz", maximum_connections=10),
        ),
        accounts=None
        if accounts is None
        else [
            ClientAccount(name=name, credentials=(credential_digest(key),))
            for name, key in accounts
        ],
        limits=CallerLimits(),
    )


def report(name, *, service="engines", version="v1", **changes) -> EndpointReport:
    """Return an endpoint's entry as read from the registry."""
    fields = {
        "name": name,
        "incarnation": "1",
        "address": f"10.0.0.{sum(name.encode()) % 250}:80",
        "failure_domain": "east",
        "service": service,
        "versions": frozenset((VersionRef(service, version),)),
        "capacity": 8,
    }
    fields.update(changes)
    return EndpointReport(**fields)


def head(
    path="/draft/1", *, attempt_id="a1", key="key-1", session="s1", **changes
) -> RequestHead:
    """Return a request's head; requests to ``/draft/`` have a prompt of two parts."""
    prompt = None
    if path.startswith("/draft/"):
        parts = (PromptPart(session, 800), PromptPart(f"own-{attempt_id}", 200))
        prompt = Prompt(input_tokens=1000, output_tokens=80, parts=parts)
    fields = {
        "attempt_id": attempt_id,
        "method": "POST",
        "target": path,
        "path": path,
        "host": "api.example",
        "headers": (),
        "credential": key,
        "deadline_seconds": 6.0,
        "model": "*" if prompt is not None else "",
        "prompt": prompt,
        "resume_after": "",
    }
    fields.update(changes)
    return RequestHead(**fields)


@dataclasses.dataclass
class Script:
    """The scripted result of one call to an endpoint.

    ``fault`` is raised instead of a response; ``cut_after`` truncates the response
    after that many chunks; ``seconds`` is how long the call takes. ``limit`` is the
    limit on requests that the endpoint names, ``leaving`` whether it says that it will
    stop, ``pause`` for how many seconds it wants no requests, ``brittle`` how many
    requests it can turn away in a second, and ``cold`` for how long it stays cold.
    """

    status: int = 200
    chunks: tuple[bytes, ...] = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
    confidence: float | None = 90.0
    not_run: bool = False
    misdirected: bool = False
    answered_by: str = ""
    fault: CallFault | None = None
    cut_after: int | None = None
    seconds: float = 0.0
    limit: float | None = None
    leaving: bool = False
    pause: float | None = None
    brittle: float | None = None
    cold: float | None = None


class ScriptedExchange(Exchange):
    """An exchange whose response follows a script."""

    def __init__(self, *, script: Script, attempt_id: str):
        super().__init__(
            head=ResponseHead(
                status=script.status,
                attempt_id=attempt_id,
                not_run=script.not_run,
                misdirected=script.misdirected,
                answered_by=script.answered_by,
                sealed=True,
                confidence=script.confidence,
                closes_connection=False,
                length=None,
                headers=(("Seal", "x"),),
                request_limit=script.limit,
                names_request_limit=script.limit is not None,
                leaving=script.leaving,
                pause_seconds=script.pause,
                names_pause=script.pause is not None,
                brittle_limit=script.brittle,
                cold_seconds=script.cold,
            )
        )
        self.script = script
        self.closed = False

    async def read(self) -> bytes:
        return b"".join([chunk async for chunk in self.chunks()])

    async def chunks(self):
        for index, chunk in enumerate(self.script.chunks):
            if index == self.script.cut_after:
                raise cut()
            yield chunk
        if self.script.cut_after == len(self.script.chunks):
            raise cut()

    def close(self) -> None:
        self.closed = True


class ScriptedCalls(EndpointCalls):
    """Calls that follow a list of scripts, and succeed when it is used up."""

    def __init__(self, *, clock: ManualClock):
        self.clock = clock
        self.scripts: list[Script] = []
        self.calls = []
        self.exchanges = []
        self.reachable = True
        self.addresses_with_closed_connections = []

    async def open(self, call):
        self.calls.append(call)
        call.connected = True
        script = self.scripts.pop(0) if self.scripts else Script()
        self.clock.now += script.seconds
        await asyncio.sleep(0)
        if script.fault is not None:
            raise script.fault
        exchange = ScriptedExchange(
            script=script, attempt_id=call.request.head.attempt_id
        )
        self.exchanges.append(exchange)
        return exchange

    async def probe(self, address):
        return ProbeOutcome.ACCEPTED if self.reachable else ProbeOutcome.REFUSED

    async def relay(self, call):
        raise NotImplementedError

    async def probe_through(self, relay, address):
        return await self.probe(address)

    async def is_reachable(self, address):
        return self.reachable

    def close_idle_connections(self, address):
        self.addresses_with_closed_connections.append(address)


class RecordedReply(Reply):
    """A reply that records what its caller would receive."""

    def __init__(self):
        self.begun = False
        self.status = 0
        self.body = b""
        self.refusal = None
        self.complete = False
        self.broken = False

    async def send(self, status, headers, body):
        self.begun = self.complete = True
        self.status, self.body = status, body

    async def refuse(self, refusal):
        self.begun = self.complete = True
        self.refusal, self.status = refusal, refusal.status

    async def begin(self, status, headers):
        assert not self.begun
        self.begun, self.status = True, status

    async def write(self, data):
        assert not self.complete and not self.broken
        self.body += data

    async def finish(self):
        self.complete = True

    def abort_response(self):
        self.broken = True


class MemorySource(OperatorSource):
    """An in-memory store, shared by the daemons of a test.

    The next ``lose_replies`` writes take effect but report an unknown outcome.
    """

    def __init__(self, *, table=None):
        self.table = table
        self.orders = {}
        self.records = {}
        self.endpoints = {}
        self.daemons = {}
        self.blocks = {}
        self.crashing_parts = {}
        self.evacuated = {}
        self.revision = 100
        self.era = 1
        self.down = False
        self.lose_replies = 0
        self.table_problem = ""
        self.writes = []
        self.copies = []
        self.last_read = None
        self.contents = {}

    def copy(self):
        """Record a copy of the blocks and daemons that `rewind` may return to."""
        self.copies.append((dict(self.blocks), dict(self.daemons)))

    def rewind(self, copies=1):
        """Return from an older copy, 1 for the latest; the era rises."""
        blocks, daemons = self.copies[-copies]
        self.blocks, self.daemons = dict(blocks), dict(daemons)
        self.era += 1

    def evacuate(self, domain):
        """Write the operator's key that evacuates a failure domain."""
        self.revision += 1
        self.evacuated[domain] = self.revision

    def fault(self):
        return Failure(PlatformFault(FaultKind.UNREACHABLE, "down"))

    async def read(self):
        if self.down:
            return self.fault()
        self.last_read = StoreSnapshot(
            table=self.table,
            table_problem=self.table_problem,
            orders=tuple(self.orders.values()),
            records=tuple(self.records.values()),
            endpoints=tuple(self.endpoints.values()),
            daemons=tuple(self.daemons.values()),
            crashing_parts=tuple(self.crashing_parts.values()),
            evacuated_domains=tuple(
                EvacuatedDomain(*item) for item in self.evacuated.items()
            ),
            era=self.era,
        )
        return Success(self.last_read)

    async def wait_for_table(self):
        await asyncio.Event().wait()

    def last_content(self):
        digest = content_digest(self.last_read)
        self.contents[str(digest)] = self.last_read
        return StoreContent(era=self.era, rows={"all": (str(digest), 1, digest)})

    def decode_content(self, content):
        return self.contents[content.rows["all"][0]]

    async def write_rollout(self, record):
        if self.down:
            return self.fault()
        stored = self.records.get(record.service)
        if record.revision != (stored.revision if stored is not None else 0):
            return Success(False)
        self.revision += 1
        self.records[record.service] = dataclasses.replace(
            record, revision=self.revision
        )
        self.writes.append(record.phase)
        return self.reply(True)

    def reply(self, value):
        if self.lose_replies:
            self.lose_replies -= 1
            return Failure(PlatformFault(FaultKind.UNKNOWN_OUTCOME, "lost"))
        return Success(value)

    async def register_daemon(self, address, *, seconds):
        if self.down:
            return self.fault()
        self.daemons[address.instance] = address
        return Success(None)

    async def write_bills(self, *, incarnation, name, content):
        if self.down:
            return self.fault()
        created = (incarnation, name) not in self.blocks
        self.blocks.setdefault((incarnation, name), content)
        return self.reply(created)

    async def write_crashing_part(self, record):
        if self.down:
            return self.fault()
        self.revision += 1
        stored = dataclasses.replace(record, revision=self.revision)
        created = self.crashing_parts.setdefault(record.part, stored) is stored
        return self.reply(created)

    async def delete_crashing_part(self, record):
        if self.down:
            return self.fault()
        if self.crashing_parts.get(record.part) != record:
            return self.reply(False)
        del self.crashing_parts[record.part]
        return self.reply(True)

    async def shared_secret(self, proposed):
        return Success("secret")


class ObservedSource(OperatorSource):
    """A shared store as one daemon sees it, which reads the era of each answer."""

    def __init__(self, *, source, era):
        self.source = source
        self.era = era

    def observe(self, answer):
        if isinstance(answer, Success):
            self.era.observe(self.source.era)
        return answer

    async def read(self):
        return self.observe(await self.source.read())

    async def wait_for_table(self):
        return await self.source.wait_for_table()

    def last_content(self):
        return self.source.last_content()

    def decode_content(self, content):
        return self.source.decode_content(content)

    async def write_rollout(self, record):
        return self.observe(await self.source.write_rollout(record))

    async def register_daemon(self, address, *, seconds):
        answer = await self.source.register_daemon(address, seconds=seconds)
        return self.observe(answer)

    async def write_bills(self, *, incarnation, name, content):
        answer = await self.source.write_bills(
            incarnation=incarnation, name=name, content=content
        )
        return self.observe(answer)

    async def write_crashing_part(self, record):
        return self.observe(await self.source.write_crashing_part(record))

    async def delete_crashing_part(self, record):
        return self.observe(await self.source.delete_crashing_part(record))

    async def shared_secret(self, proposed):
        return self.observe(await self.source.shared_secret(proposed))


class LocalDaemon:
    """The coordination of one daemon, with its components as attributes."""

    def __init__(
        self,
        *,
        name="daemon-1",
        incarnation="",
        source=None,
        clock=None,
        policy=None,
        regions=None,
        failure_domain="east",
    ):
        self.clock = clock or ManualClock()
        self.source = source or MemorySource(table=table())
        self.metrics = Metrics()
        self.era = StoreEra(metrics=self.metrics)
        self.holder = SettingsHolder(
            settings=FleetSettings(
                instance=name,
                failure_domain=failure_domain,
                failure_domains=("east", "west"),
                address="10.1.0.1",
                caller_port=80,
                ready_port=81,
                peer_ports=(90, 95),
                store_address="10.9.0.1:80",
                regions=regions or {},
            )
        )
        self.calls = ScriptedCalls(clock=self.clock)
        core = build_forwarding_core(
            self.holder,
            policy or PolicySettings(),
            ForwardingPorts(
                source=self._observed_source(),
                era=self.era,
                calls=self.calls,
                clock=self.clock,
                metrics=self.metrics,
            ),
            incarnation=incarnation or f"{name}-1",
            seed=1,
        )
        for field in dataclasses.fields(core):
            setattr(self, field.name, getattr(core, field.name))

    def _observed_source(self) -> OperatorSource:
        """Return the source; the platform's own reads the era by itself."""
        if isinstance(self.source, MemorySource):
            return ObservedSource(source=self.source, era=self.era)
        return self.source

    def read(self) -> bool:
        """Read the store once."""
        return asyncio.run(self.poller.read_once())

    def availability_of(self, endpoint):
        """Return the reason for which an endpoint is not sent to, or ``None``."""
        obstacle = self.selection.availability.obstacle(endpoint)
        return obstacle.reason if obstacle is not None else None

    def answer(self, request_head=None, *scripts, body=b"") -> RecordedReply:
        """Answer one request, with one script for each call to an endpoint."""
        self.calls.scripts = list(scripts)
        reply = RecordedReply()
        asyncio.run(
            self.forwarder.answer(
                request_head or head(),
                body,
                received=self.clock.monotonic(),
                reply=reply,
            )
        )
        return reply


def ready_daemon(**options) -> LocalDaemon:
    """Return a daemon that has read three engines and two desks from its store."""
    daemon = LocalDaemon(**options)
    for name in ("engine-1", "engine-2", "engine-3"):
        daemon.source.endpoints[name] = report(name)
    for name in ("desk-1", "desk-2"):
        daemon.source.endpoints[name] = report(name, service="desk")
    assert daemon.read()
    return daemon


def broken(*, ran=True, kind=CallFaultKind.BROKEN, peer_failed=False) -> CallFault:
    """Return the fault of a call that failed before its response began."""
    kind = CallFaultKind(kind)
    return CallFault(kind, "broken off", may_have_run=ran, peer_failed=peer_failed)


def cut() -> CallFault:
    """Return the fault of a response that was truncated."""
    return CallFault(CallFaultKind.BROKEN, "cut", may_have_run=True)

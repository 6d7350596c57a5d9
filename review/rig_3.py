"""A small installation on loopback for the cases of the third review.

The store, the workers and the clients are stand-ins in this process that do what the
users' pages say; the daemons are processes that are started with the command of the
deploy file. Each daemon reaches the store through a proxy of its own.
"""

import asyncio
import base64
import collections
import contextlib
import dataclasses
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

__all__ = [
    "Answer",
    "Channel",
    "Client",
    "HOST",
    "KEY",
    "Proxy",
    "Record",
    "Rig",
    "Store",
    "Worker",
    "route",
    "run_case",
    "trouble",
]

ROOT = Path(__file__).resolve().parent.parent
HOST = "api.example"
KEY = "key-studio"
HEARTBEAT_SECONDS = 1.2
NOT_RUN = "Linnetladder-Not-Run: 1\r\n"
# The bounds of the small sites on the users' pages.
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigMs": 2000,
    "RollbackSlackMs": 250,
    "MaxStretchMs": 5000,
    "StrictRevoke": "true",
    "RevokeMs": 5000,
    "BudgetRatio": 0.9,
    "BudgetWindowS": 10,
    "BudgetSlack": 52,
    "ExposureShare": 0.15,
    "ExposureSlack": 30,
    "RollbackMs": 5000,
    "RecoverS": 12,
    "PassMs": 120,
    "ReuseWindowS": 10,
    "SessionS": 5,
}


def trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int) -> list[int]:
    """Return loopback ports for TCP and UDP on which nothing listens."""
    taken = []
    ports = []
    while len(ports) < count:
        port = random.randint(21_000, 30_000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                probe = socket.socket(socket.AF_INET, kind)
                taken.append(probe)
                probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        ports.append(port)
    for probe in taken:
        probe.close()
    return ports


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path):
        self.began = time.monotonic()
        self.file = path.open("w")

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")
        self.file.flush()


@dataclasses.dataclass
class Item:
    """A key's value and revisions."""

    value: str
    revision: int
    created: int
    lease: int = 0


class Store:
    """The platform's key-value store, as PROTOCOL.md describes it."""

    def __init__(self):
        self.items: dict[str, Item] = {}
        self.history: list[dict] = []
        self.revision = 1
        self.leases: dict[int, tuple[float, float]] = {}
        self.lease_numbers = itertools.count(1001)
        self.changed = asyncio.Event()
        self.servers: list[asyncio.Server] = []
        self.expiry: asyncio.Task | None = None
        # The daemons whose calls are answered 503 at present.
        self.turned_away: set[str] = set()

    def start(self) -> None:
        """Begin to end leases."""
        self.expiry = asyncio.ensure_future(self._expire())

    async def listen(self, daemon: str) -> int:
        """Listen on loopback for one daemon and return the port."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(daemon, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def turn_away(self, daemon: str) -> None:
        """Answer a daemon 503 from now on, also to the watches that wait."""
        self.turned_away.add(daemon)
        self.changed.set()

    def put(self, key: str, document: dict) -> int:
        """Write a document of the operator or of a worker; return its revision."""
        return self._put(key, json.dumps(document).encode(), 0)

    def _put(self, key: str, value: bytes, lease: int) -> int:
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        encoded = base64.b64encode(value).decode()
        self.items[key] = Item(encoded, self.revision, created, lease)
        self.history.append(self._entry(key))
        self.changed.set()
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"Key": key, "Rev": self.revision, "Removed": True})
            self.changed.set()

    def document(self, key: str) -> dict | None:
        """Return a document, ``None`` if there is none."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item.value)) if item else None

    def _entry(self, key: str) -> dict:
        item = self.items[key]
        return {
            "Key": key,
            "Value": item.value,
            "Rev": item.revision,
            "Created": item.created,
            "Lease": item.lease,
        }

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (ends, _) in list(self.leases.items()):
                if ends < now:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.remove(key)

    async def _serve(
        self,
        daemon: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                _, target, _, body = await read_request(reader)
                status, answer = 503, {}
                if daemon not in self.turned_away:
                    status, answer = await self._answer(daemon, target, body)
                content = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        writer.close()

    async def _answer(self, daemon: str, target: str, body: bytes) -> tuple[int, dict]:
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, True).items()}
        name, _, argument = parts.path.removeprefix("/-/").partition("/")
        content = json.loads(body) if body else {}
        if name == "kv-key":
            if query["Key"] not in self.items:
                return 404, {"At": self.revision}
            return 200, {**self._entry(query["Key"]), "At": self.revision}
        if name == "kv-range":
            prefix, after = query.get("PathPrefix", ""), query.get("After", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {
                "Entries": [self._entry(key) for key in keys[:500]],
                "HasMore": len(keys) > 500,
                "At": self.revision,
            }
        if name == "kv-watch":
            return await self._watch(daemon, query)
        if name == "kv-txn":
            return self._transact(content)
        if name == "kv-lease":
            seconds = max(content["TtlMs"], 1000) / 1000
            lease = next(self.lease_numbers)
            self.leases[lease] = (time.monotonic() + seconds, seconds)
            return 200, {"Lease": lease, "TtlMs": int(seconds * 1000)}
        if name == "kv-keep":
            held = self.leases.get(int(argument))
            if held is None:
                return 404, {}
            self.leases[int(argument)] = (time.monotonic() + held[1], held[1])
            return 200, {"Lease": int(argument), "TtlMs": int(held[1] * 1000)}
        if name == "kv-lease-end":
            self._end_lease(int(unquote(argument)))
            return 200, {}
        return 404, {}

    async def _watch(self, daemon: str, query: dict) -> tuple[int, dict]:
        after, prefix = int(query["After"]), query.get("PathPrefix", "")
        until = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            if daemon in self.turned_away:
                return 503, {}
            events = [
                event
                for event in self.history
                if event["Rev"] > after and event["Key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "At": self.revision}
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def _transact(self, body: dict) -> tuple[int, dict]:
        conditions = body.get("ExpectRev", [])
        writes, deletes = body.get("Writes", []), body.get("Delete", [])
        for key in [write["Key"] for write in writes] + deletes:
            if key.startswith(("op/", "servers/")):
                return 403, {}
        for condition in conditions:
            item = self.items.get(condition["Key"])
            if (item.revision if item else 0) != condition["Rev"]:
                found = [c["Key"] for c in conditions if c["Key"] in self.items]
                entries = [self._entry(key) for key in found]
                return 412, {"Entries": entries, "At": self.revision}
        if any(w.get("Lease") and w["Lease"] not in self.leases for w in writes):
            return 404, {}
        for write in writes:
            value = base64.b64decode(write["Value"])
            self._put(write["Key"], value, write.get("Lease", 0))
        for key in deletes:
            self.remove(key)
        return 200, {"Rev": self.revision}


async def read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, str, dict[str, str], bytes]:
    """Return method, target, headers (names in lower case) and body."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return method, target, headers, await read_chunks(reader)
    length = int(headers.get("content-length", 0))
    return method, target, headers, await reader.readexactly(length)


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a chunked body."""
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


class Proxy:
    """Forwards a daemon's channels; open ones can go silent, or all be held up."""

    def __init__(self, *, port: int):
        self.to_port = port
        self.port = 0
        self.generation = 0
        self.open = 0
        self.server: asyncio.Server | None = None
        self.opened: collections.Counter[int] = collections.Counter()

    async def start(self) -> None:
        """Listen on loopback."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def silence(self) -> None:
        """Forward nothing more on the channels that are open, which stay open."""
        self.generation += 1

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        generation = self.generation
        self.opened[generation] += 1
        try:
            there = await asyncio.open_connection("127.0.0.1", self.to_port)
        except OSError:
            writer.transport.abort()
            return
        self.open += 1
        await asyncio.gather(
            self._copy(reader, there[1], generation),
            self._copy(there[0], writer, generation),
        )
        self.open -= 1

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        generation: int,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if generation != self.generation:
                    continue
                writer.write(data)
                await writer.drain()
        if generation == self.generation:
            writer.close()


class Worker:
    """A worker; ``run`` may replace what it answers to a request."""

    def __init__(
        self,
        *,
        rig: "Rig",
        name: str,
        service: str,
        version: str = "v1",
        zone: str = "a",
        slots: int = 16,
        queue: int = 4,
        work_seconds: float = 0.02,
    ):
        self.rig = rig
        self.name = name
        self.service = service
        self.version = version
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.free_slots = asyncio.Semaphore(slots)
        self.work_seconds = work_seconds
        self.state = "ready"
        self.sequence = 0
        self.port = 0
        # The port in the entry, where a proxy stands before the worker.
        self.advertised_port = 0
        self.server: asyncio.Server | None = None
        self.listed = False
        self.running = 0
        self.runs: list[tuple[float, str]] = []
        self.readers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}
        self.respond: Callable[..., Awaitable[None]] = self.answer

    async def start(self) -> None:
        """Listen on loopback and register."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=2**20
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.listed = True
        self.register()

    def register(self) -> None:
        """Write this worker's entry."""
        self.sequence += 1
        self.rig.store.put(
            f"servers/{self.name}",
            {
                "Service": self.service,
                "Address": f"127.0.0.1:{self.advertised_port or self.port}",
                "Zone": self.zone,
                "Version": self.version,
                "Slots": self.slots,
                "State": self.state,
                "ColdMs": 0,
                "Seq": self.sequence,
            },
        )

    def stop(self) -> None:
        """End at once, with all channels."""
        self.listed = False
        self.server.close()
        for writer in list(self.readers):
            writer.transport.abort()

    def is_closed(self, writer: asyncio.StreamWriter) -> bool:
        """Return whether the other end of a channel has closed it."""
        return writer.transport.is_closing() or self.readers[writer].at_eof()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.readers[writer] = reader
        try:
            while True:
                method, target, headers, body = await read_request(reader)
                await self._take(writer, method, target, headers, body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()
        finally:
            del self.readers[writer]

    async def _take(
        self,
        writer: asyncio.StreamWriter,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        if target.startswith("/-/"):
            status, document = self.control(method, target, body)
            content = json.dumps(document).encode()
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(content)}\r\n\r\n".encode()
                + content
            )
            return
        attempt = headers.get("linnetladder-attempt-id", "")
        if headers.get("linnetladder-expect-instance", self.name) != self.name:
            writer.write(reply(421, attempt, b"", seal="", extra=NOT_RUN))
            return
        if self.running >= self.slots + self.queue:
            writer.write(reply(503, attempt, b"", seal="", extra=NOT_RUN))
            return
        self.running += 1
        try:
            async with self.free_slots:
                if self.is_closed(writer):
                    return
                self.runs.append((time.monotonic(), attempt))
                self.rig.record.write(
                    f"run {attempt} at {self.name} "
                    f"({self.service} {self.version}) {target}"
                )
                await self.respond(writer, attempt, target, headers, body)
        finally:
            self.running -= 1

    def control(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        """Answer a call to the worker's own interface."""
        return 404, {}

    async def answer(
        self,
        writer: asyncio.StreamWriter,
        attempt: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Work, then answer with the attempt's id."""
        await asyncio.sleep(self.work_seconds)
        writer.write(reply(200, attempt, f"{attempt} done".encode(), seal=self.name))


def reply(
    status: int, attempt: str, body: bytes, *, seal: str, extra: str = ""
) -> bytes:
    """Return the bytes of a worker's answer."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += f"Linnetladder-Attempt-Id: {attempt}\r\n"
    if seal:
        head += f"Linnetladder-Server-Seal: {seal}.{attempt}\r\n"
    return (head + extra + "\r\n").encode() + body


@dataclasses.dataclass
class Answer:
    """What a client saw of one request."""

    attempt: str
    daemon: str
    target: str
    sent_at: float
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    error: str = ""
    ended_at: float = 0.0


class Channel:
    """A channel to a daemon that a client keeps open for many requests."""

    def __init__(self):
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self, port: int) -> None:
        """Open the channel, unless it is open already."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", port, limit=2**20
            )

    def close(self) -> None:
        """Close the channel."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


class Client:
    """Sends requests, each on a new channel unless it is given one."""

    def __init__(self, rig: "Rig"):
        self.rig = rig
        self.numbers = itertools.count(1)

    async def send(
        self,
        daemon: str,
        target: str,
        *,
        method: str = "POST",
        body: bytes = b"x",
        deadline: float = 3.0,
        key: str = KEY,
        headers: dict[str, str] | None = None,
        kept: Channel | None = None,
    ) -> Answer:
        """Send one request and return what was answered.

        A ``kept`` channel stays open, unless the answer says that it closes.
        """
        attempt = f"{next(self.numbers):06x}{random.getrandbits(40):010x}"
        answer = Answer(attempt, daemon, target, time.monotonic())
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"Linnetladder-Attempt-Id: {attempt}",
            f"Linnetladder-Deadline-Ms: {int(deadline * 1000)}",
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        if key:
            lines.append(f"Authorization: Bearer {key}")
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        self.rig.record.write(f"send {attempt} to {daemon} {method} {target}")
        channel = kept or Channel()
        try:
            async with asyncio.timeout(deadline + 1.0):
                await channel.open(self.rig.front[daemon])
                reader = channel.reader
                head = "\r\n".join(lines) + "\r\n\r\n"
                channel.writer.write(head.encode("latin-1") + body)
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *fields = head.split("\r\n")
                answer.status = int(first.split(" ")[1])
                for line in fields:
                    name, _, value = line.partition(":")
                    answer.headers[name.lower()] = value.strip()
                if answer.headers.get("transfer-encoding") == "chunked":
                    answer.body = await read_chunks(reader)
                else:
                    length = int(answer.headers.get("content-length", 0))
                    answer.body = await reader.readexactly(length)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            answer.error = repr(error)
        if kept is None or answer.error or answer.headers.get("connection") == "close":
            channel.close()
        answer.ended_at = time.monotonic()
        self.rig.record.write(
            f"got  {attempt} from {daemon}: {answer.status} "
            f"{answer.body[:60]!r} {answer.error}"
        )
        return answer


def route(name: str, service: str, **fields: object) -> dict:
    """Return a route of the configuration, by default of idempotent requests."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": "idempotent",
        "TimeoutMs": 3000,
        "GoalMs": 500,
        "Attempts": 2,
        "Priority": 1,
        "Service": service,
        **fields,
    }


class Rig:
    """The store, the workers and the daemons of one run."""

    def __init__(self, record: Record, *, daemons: int = 3):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="linnetladder-review-"))
        self.store = Store()
        self.names = [f"edge-{number}" for number in range(1, daemons + 1)]
        ports = iter(free_ports(daemons * 4))
        self.front = {name: next(ports) for name in self.names}
        self.ready = {name: next(ports) for name in self.names}
        self.peer = {name: next(ports) for name in self.names}
        self.control = {name: next(ports) for name in self.names}
        self.proxies: dict[str, Proxy] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        self.workers: list[Worker] = []
        self.client = Client(self)
        self.version = 0
        self.bounds = dict(BOUNDS)
        self.descriptors = 4100
        self.heartbeat: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the store, the proxies and the heartbeats of workers."""
        self.store.start()
        for name in self.names:
            self.proxies[name] = Proxy(port=await self.store.listen(name))
            await self.proxies[name].start()
        self.heartbeat = asyncio.ensure_future(self._beat())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for worker in self.workers:
                if worker.listed:
                    worker.register()

    async def add_worker(self, name: str, service: str, **options: object) -> Worker:
        """Start one more worker."""
        worker = Worker(rig=self, name=name, service=service, **options)
        await worker.start()
        self.workers.append(worker)
        return worker

    def configure(
        self, routes: list[dict], services: list[dict], **fields: object
    ) -> int:
        """Write the next configuration; return its version."""
        self.version += 3
        self.store.put(
            "op/config",
            {
                "Version": self.version,
                "Routes": routes,
                "Services": services,
                "Tenants": [{"Name": "studio", "ApiKeys": [KEY]}],
                "Limits": {
                    "MaxHeaderBytes": 16384,
                    "MaxBodyBytes": 4194304,
                    "HeaderTimeoutMs": 3000,
                    "IdleTimeoutMs": 15000,
                },
                **fields,
            },
        )
        self.record.write(f"configuration {self.version} is confirmed")
        return self.version

    def write_settings(self, name: str) -> Path:
        """Put a daemon's settings file in place, as a whole; return its path."""
        number = self.names.index(name) + 1
        zones = [f"Zones.zone-{n}=here" for n in range(1, len(self.names) + 1)]
        seeds = ",".join(f"127.0.0.1:{self.control[n]}" for n in self.names[:3])
        lines = [
            f"Node={name}",
            "Role=router",
            "Class=edge",
            "Serves=edge",
            "Ip=127.0.0.1",
            f"Zone=zone-{number}",
            "Region=here",
            *zones,
            f"Listen.Front=127.0.0.1:{self.front[name]}",
            f"Listen.Ready=127.0.0.1:{self.ready[name]}",
            f"Listen.Control=127.0.0.1:{self.control[name]}",
            f"PortRange={self.peer[name]},{self.peer[name]}",
            f"Seeds={seeds}",
            "Bootstrap=true",
            "Limits.CpuShare=0.537",
            "Limits.Cores=2",
            "Limits.MemoryMb=300",
            f"Limits.MaxFds={self.descriptors}",
            "Discovery=platform",
            "Entry=vip",
            "HeartbeatMs=1200",
            *(f"Bounds.{bound}={value}" for bound, value in self.bounds.items()),
            f"Provider.Address=127.0.0.1:{self.proxies[name].port}",
            "Provider.form=kv",
        ]
        settings = self.folder / f"{name}.conf"
        written = settings.with_suffix(".new")
        written.write_text("\n".join(lines) + "\n")
        written.replace(settings)
        return settings

    def start_daemon(self, name: str) -> None:
        """Start one daemon with the command of the deploy file."""
        settings = self.write_settings(name)
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LINNETLADDER_BOOT": str(settings),
        }
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                ["python3", "-m", "linnetladder.fleet"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a daemon."""
        self.record.write(f"{number.name} to {name}")
        self.processes[name].send_signal(number)

    async def is_ready(self, name: str) -> bool:
        """Return whether a daemon says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ready[name]
            )
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.transport.abort()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_ready(self, *, seconds: float = 30.0) -> None:
        """Wait until all daemons are ready; raise `RuntimeError` if they are not."""
        until = time.monotonic() + seconds
        waiting = set(self.names)
        while waiting:
            if time.monotonic() > until:
                raise RuntimeError(f"not ready: {sorted(waiting)}")
            for name in sorted(waiting):
                if await self.is_ready(name):
                    waiting.discard(name)
            await asyncio.sleep(0.1)
        self.record.write("all daemons are ready")

    def log(self, name: str) -> str:
        """Return what a daemon has logged."""
        return (self.folder / f"{name}.log").read_text("utf-8", "replace")

    async def stop(self) -> None:
        """End all processes that were started."""
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if self.heartbeat is not None:
            self.heartbeat.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(
    folder: Path,
    case: Callable[[Rig], Awaitable[str]],
    *,
    daemons: int = 3,
    limit_seconds: float = 115.0,
) -> None:
    """Play a case and exit: 1 if it returns how the rule was broken, 0 if not.

    What prevents the case from running makes it 2.
    """
    record = Record(Path(os.environ.get("RECORD_FOLDER", folder)) / "record.txt")

    async def play() -> None:
        rig = Rig(record, daemons=daemons)
        try:
            async with asyncio.timeout(limit_seconds):
                await rig.start()
                broken = await case(rig)
            verdict = f"BROKEN: {broken}" if broken else "the rule held"
            code = 1 if broken else 0
        except BaseException:
            verdict = "could not run: " + traceback.format_exc()
            code = 2
        await rig.stop()
        record.write(verdict)
        print(verdict, flush=True)
        # Channels of the stand-ins may still be open, which need no orderly end.
        os._exit(code)

    asyncio.run(play())

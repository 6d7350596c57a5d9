"""Stand-ins and helpers of the cases 6 to 10, with the standard library alone.

A `Rig` runs daemons as processes with the command of the deploy file. The platform's
store, the workers and the clients are stand-ins in the process of the case. Each daemon
has a loopback address of its own, so that all have the same ports, as on machines.
"""

import asyncio
import base64
import copy
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parent.parent
HOST = "api.example"
HEARTBEAT_SECONDS = 1.2
# Bounds of the site files barakat-muscat.toml and maketu-mala.toml.
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


class Record:
    """The file ``record.txt`` of a case."""

    def __init__(self, folder: Path):
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start of the case."""
        line = f"{time.monotonic() - self.began:8.3f}  {text}"
        print(line, file=self.file, flush=True)

    def say(self, text: str) -> None:
        """Write a line and print it, too."""
        self.write(text)
        print(text, flush=True)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message and its fields, named in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *rows = data.decode("latin-1").split("\r\n")
    fields = {}
    for row in rows:
        name, separator, value = row.partition(":")
        if separator:
            fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if "chunked" not in fields.get("transfer-encoding", ""):
        return await reader.readexactly(int(fields.get("content-length", 0)))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


def http_answer(status: int, fields: dict[str, object], body: bytes = b"") -> bytes:
    """Return an answer with a length."""
    rows = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    rows += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(rows) + "\r\n\r\n").encode() + body


class HttpServer:
    """Serves one request at a time on each channel."""

    def __init__(self):
        self.server: asyncio.Server | None = None
        # The open channels, each with the reader of its other direction.
        self.writers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}
        self.tasks: set[asyncio.Task] = set()
        self.address = ""

    async def listen(self, host: str, port: int = 0) -> None:
        """Listen at a loopback address; port 0 picks a free one."""
        self.server = await asyncio.start_server(self._accept, host, port)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    def close(self) -> None:
        """Stop listening and reset all channels."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def _accept(self, reader, writer) -> None:
        self.writers[writer] = reader
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = first.split(" ", 2)
                if not await self.serve(method, target, fields, body, writer):
                    break
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.pop(writer, None)
            self.tasks.discard(task)
            writer.close()

    async def serve(self, method, target, fields, body, writer) -> bool:
        """Answer one request; return false to close the channel."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store, after PROTOCOL.md and the letters.

    While ``away`` is set it resets all channels and accepts none.
    """

    page = 500

    def __init__(self, record: Record):
        super().__init__()
        self.record = record
        self.era = 1
        self.revision = 10
        self.items: dict[str, dict] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease = 100
        self.history: list[dict] = []
        self.changed = asyncio.Event()
        self.host, self.port = "", 0
        self.calls: list[tuple[float, str]] = []
        self.answer_seconds = 0.004

    async def start(self, host: str) -> None:
        """Listen at a loopback address."""
        await self.listen(host)
        self.host, _, port = self.address.rpartition(":")
        self.port = int(port)

    def leave(self) -> None:
        """Be away: reset all channels and refuse new ones."""
        self.record.say("the store is away")
        self.close()

    async def come_back(self, state: dict | None = None) -> None:
        """Be back, from a copy if one is given, which raises the era."""
        if state is not None:
            self.era += 1
            self.revision = state["revision"]
            self.items = copy.deepcopy(state["items"])
            self.leases = dict(state["leases"])
            self.history = [e for e in self.history if e["Rev"] <= self.revision]
        await self.listen(self.host, self.port)
        self.record.say(f"the store is back in era {self.era}")

    def copy(self) -> dict:
        """Return a copy of all that the store holds."""
        state = {"revision": self.revision, "items": self.items, "leases": self.leases}
        return copy.deepcopy(state)

    def put(self, key: str, document: object, lease: int = 0) -> None:
        """Write a document of the operator or of a worker."""
        self._put(key, base64.b64encode(json.dumps(document).encode()).decode(), lease)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"Key": key, "Rev": self.revision, "Removed": True})

    def _put(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        item = {
            "Key": key,
            "Value": value,
            "Rev": self.revision,
            "Created": created,
            "Lease": lease,
        }
        self.items[key] = item
        self._note(item)

    def _note(self, event: dict) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (_, until) in list(self.leases.items()):
            if until <= now:
                del self.leases[lease]
                for key in [k for k, i in self.items.items() if i["Lease"] == lease]:
                    self.remove(key)

    async def serve(self, method, target, fields, body, writer) -> bool:
        """Answer one call."""
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        name, _, argument = url.path.removeprefix("/-/").partition("/")
        self.calls.append((time.monotonic(), name))
        document = json.loads(body) if body else {}
        await asyncio.sleep(self.answer_seconds)
        self._expire()
        status, answer = await self._call(name, argument, query, document)
        fields = {"Content-Type": "application/json", "Store-Era": self.era}
        writer.write(http_answer(status, fields, json.dumps(answer).encode()))
        await writer.drain()
        return True

    async def _call(self, name, argument, query, document) -> tuple[int, dict]:
        if name == "kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {"At": self.revision}
            return 200, {**item, "At": self.revision}
        if name == "kv-range":
            after, prefix = query.get("After", ""), query.get("PathPrefix", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            entries = [self.items[key] for key in keys[: self.page]]
            more = len(keys) > self.page
            return 200, {"Entries": entries, "HasMore": more, "At": self.revision}
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(document)
        if name == "kv-lease":
            self.last_lease += 1
            seconds = document["TtlMs"] / 1000
            self.leases[self.last_lease] = (seconds, time.monotonic() + seconds)
            return 200, {"Lease": self.last_lease, "TtlMs": document["TtlMs"]}
        if name == "kv-keep":
            if int(argument) not in self.leases:
                return 404, {}
            seconds, _ = self.leases[int(argument)]
            self.leases[int(argument)] = (seconds, time.monotonic() + seconds)
            return 200, {"Lease": int(argument), "TtlMs": int(seconds * 1000)}
        return 404, {}

    async def _watch(self, query) -> tuple[int, dict]:
        after = int(query["After"])
        if after > self.revision:
            return 410, {"At": self.revision}
        until = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event["Rev"] > after and event["Key"].startswith(query["PathPrefix"])
            ]
            seconds = until - time.monotonic()
            if events or seconds <= 0:
                return 200, {"events": events, "At": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), seconds)
            except TimeoutError:
                continue

    def _transact(self, document) -> tuple[int, dict]:
        conditions = document.get("ExpectRev", [])
        for row in conditions:
            if self.items.get(row["Key"], {}).get("Rev", 0) != row["Rev"]:
                rows = [c["Key"] for c in conditions]
                entries = [self.items.get(k, {"Key": k, "Rev": 0}) for k in rows]
                return 412, {"Entries": entries, "At": self.revision}
        writes = document.get("Writes", [])
        if any(w.get("Lease") and w["Lease"] not in self.leases for w in writes):
            return 404, {}
        for write in writes:
            self._put(write["Key"], write["Value"], write.get("Lease", 0))
        for key in document.get("Delete", []):
            self.remove(key)
        return 200, {"Rev": self.revision}


class Worker(HttpServer):
    """A worker of a service: it runs each request for some milliseconds."""

    numbers = itertools.count(1)

    def __init__(self, *, service: str, zone: str, store: Store, record: Record):
        super().__init__()
        self.name = f"i-{next(self.numbers):08x}"
        self.service, self.zone = service, zone
        self.store, self.record = store, record
        self.work_seconds = 0.02
        self.slots = 16
        self.version = "v1"
        self.state = "ready"
        self.sequence = 0
        self.registers = True
        # The address that the entry names, if clients reach the worker by another one.
        self.advertised = ""
        # The time, the attempt id and the fields of each request that ran.
        self.runs: list[tuple[float, str, dict[str, str]]] = []

    def register(self) -> None:
        """Write this worker's entry."""
        self.sequence += 1
        document = {
            "Service": self.service,
            "Address": self.advertised or self.address,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": self.state,
            "ColdMs": 0,
            "Seq": self.sequence,
        }
        if self.registers:
            self.store.put(f"servers/{self.name}", document)

    async def serve(self, method, target, fields, body, writer) -> bool:
        """Run one request, or answer 421 if it is for another worker."""
        attempt = fields.get("linnetladder-attempt-id", "")
        echo = {"Linnetladder-Attempt-Id": attempt}
        expected = fields.get("linnetladder-expect-instance", self.name)
        if expected != self.name:
            echo["Linnetladder-Instance-Id"] = self.name
            writer.write(http_answer(421, echo))
            return True
        self.runs.append((time.monotonic(), attempt, {"target": target, **fields}))
        self.record.write(f"{self.name} ({self.service}) runs {attempt} {target}")
        await asyncio.sleep(self.work_seconds)
        echo["Linnetladder-Server-Seal"] = f"{self.name}.{attempt}"
        writer.write(http_answer(200, echo, f"{attempt} done".encode()))
        await writer.drain()
        return True


class Daemon:
    """A daemon of the system: one process on a machine of its own."""

    def __init__(self, *, rig: "Rig", number: int, zone: str):
        self.rig = rig
        self.name = f"edge-{number}"
        self.zone = zone
        self.ip = f"127.0.{rig.network}.{10 + number}"
        self.process: asyncio.subprocess.Process | None = None
        self.settings_file = rig.folder / f"{self.name}.conf"
        self.store_address = ""
        self.added_lines: list[str] = []

    @property
    def front(self) -> tuple[str, int]:
        """The address for clients."""
        return self.ip, self.rig.ports["front"]

    def write_settings(self) -> None:
        """Write the settings file at once, as a platform replaces it."""
        ports = self.rig.ports
        address = self.store_address or self.rig.store.address
        lines = [
            f"Node={self.name}",
            "Role=router",
            "Class=edge",
            "Serves=edge",
            f"Ip={self.ip}",
            f"Zone={self.zone}",
            "Region=here",
            *(f"Zones.{zone}=here" for zone in self.rig.zones),
            f"Listen.Front={self.ip}:{ports['front']}",
            f"Listen.Ready={self.ip}:{ports['ready']}",
            f"PortRange={ports['peer']},{ports['peer'] + 15}",
            "Limits.MemoryMb=300",
            "Limits.MaxFds=4100",
            f"HeartbeatMs={int(HEARTBEAT_SECONDS * 1000)}",
            *(f"Bounds.{name}={value}" for name, value in BOUNDS.items()),
            *self.added_lines,
            f"Provider.Address={address}",
            "Provider.form=kv",
        ]
        new = self.settings_file.with_suffix(".new")
        new.write_text("\n".join(lines) + "\n")
        new.replace(self.settings_file)

    async def start(self) -> None:
        """Start the process with the deploy file's command."""
        role = self.rig.role
        environment = {
            k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ
        }
        environment |= role["env"]
        environment["LINNETLADDER_OPERATIONS_METRICS_PORT"] = str(
            self.rig.ports["metrics"]
        )
        environment["LINNETLADDER_BOOT"] = str(self.settings_file)
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self.rig.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(),
            cwd=REPOSITORY,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.rig.record.say(f"{self.name} starts, process {self.process.pid}")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.rig.record.say(f"{self.name} gets {number.name}")
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.send(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        try:
            async with asyncio.timeout(0.5):
                address = (self.ip, self.rig.ports["ready"])
                reader, writer = await asyncio.open_connection(*address)
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                first, _ = await read_head(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return " 200" in first

    async def accepts(self) -> bool:
        """Return whether the port for clients accepts a channel."""
        try:
            async with asyncio.timeout(0.5):
                _, writer = await asyncio.open_connection(*self.front)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return True


class Proxy:
    """Passes the bytes of channels on; channels that it silences stay open for good."""

    def __init__(self, *, host: str, target: str):
        self.host = host
        self.target = target
        self.server: asyncio.Server | None = None
        self.address = ""
        self.silent: set[int] = set()
        self.open: dict[int, tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = {}
        self.numbers = itertools.count(1)

    async def listen(self) -> None:
        """Listen at a free port."""
        self.server = await asyncio.start_server(self._accept, self.host, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    def silence(self) -> int:
        """Pass nothing on any more on the channels that are open now."""
        self.silent |= self.open.keys()
        return len(self.open)

    def close(self) -> None:
        """Stop listening and reset all channels."""
        if self.server is not None:
            self.server.close()
        for pair in list(self.open.values()):
            for writer in pair:
                writer.transport.abort()

    async def _accept(self, reader, writer) -> None:
        number = next(self.numbers)
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.open[number] = (writer, far_writer)
        try:
            await asyncio.gather(
                self._pass_on(number, reader, far_writer),
                self._pass_on(number, far_reader, writer),
            )
        except asyncio.CancelledError:
            return
        self.open.pop(number, None)
        self.silent.discard(number)

    async def _pass_on(self, number, reader, writer) -> None:
        try:
            while data := await reader.read(65536):
                if number not in self.silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if number not in self.silent:
            writer.close()


class Answer:
    """What a client got for one request."""

    def __init__(self, *, attempt: str, sent: float):
        self.attempt, self.sent = attempt, sent
        self.ended = 0.0
        self.status = 0
        self.fields: dict[str, str] = {}
        self.body = b""
        self.error = ""


class Client:
    """A client with one channel to a daemon, which it opens when needed."""

    attempts = itertools.count(1)

    def __init__(self, *, daemon: Daemon, key: str, record: Record):
        self.daemon, self.key, self.record = daemon, key, record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        target: str,
        *,
        method: str = "GET",
        limit_ms: int = 2500,
        body: bytes = b"",
        fields: dict[str, str] | None = None,
    ) -> Answer:
        """Send one request and return what came back."""
        attempt = f"{os.getpid():08x}{next(self.attempts):08x}"
        rows = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"Linnetladder-Attempt-Id: {attempt}",
            f"Linnetladder-Deadline-Ms: {limit_ms}",
        ]
        if self.key:
            rows.append(f"Authorization: Bearer {self.key}")
        if body or method == "POST":
            rows.append(f"Content-Length: {len(body)}")
        rows += [f"{name}: {value}" for name, value in (fields or {}).items()]
        answer = Answer(attempt=attempt, sent=time.monotonic())
        try:
            async with asyncio.timeout(limit_ms / 1000):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(
                        *self.daemon.front
                    )
                answer.sent = time.monotonic()
                self.writer.write("\r\n".join(rows).encode() + b"\r\n\r\n" + body)
                first, answer.fields = await read_head(self.reader)
                answer.body = await read_body(self.reader, answer.fields)
                answer.status = int(first.split()[1])
                if answer.fields.get("connection", "").lower() == "close":
                    self.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            answer.error = type(error).__name__
            self.close()
        answer.ended = time.monotonic()
        shown = answer.status or answer.error
        key = self.key or "no key"
        text = f"client ({key}) -> {self.daemon.name} {attempt} {target}: {shown}"
        if answer.status >= 400:
            text += f" {answer.body[:160].decode('utf-8', 'replace')}"
        self.record.write(text)
        return answer

    def close(self) -> None:
        """Close the channel."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


class Rig:
    """A small deployment on loopback addresses."""

    def __init__(self, folder: Path, *, daemons: int, zones: tuple[str, ...]):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        self.role = deploy["roles"]["router"]
        self.zones = zones
        # Cases that run side by side get other addresses.
        self.network = 1 + os.getpid() % 250
        self.store = Store(self.record)
        self.workers: list[Worker] = []
        self.daemons = [
            Daemon(rig=self, number=n, zone=zones[n % len(zones)])
            for n in range(daemons)
        ]
        self.ports = dict(
            zip(("front", "ready", "peer", "metrics"), self._free_ports(), strict=True)
        )
        self.tasks: list[asyncio.Task] = []
        self.proxies: list[Proxy] = []
        self.configuration: dict = {}

    def _free_ports(self) -> list[int]:
        """Return ports that are free at the address of each daemon."""
        found: list[int] = []
        for port in range(21000 + os.getpid() % 97 * 20, 60000, 20):
            try:
                for daemon in self.daemons:
                    with socket.socket() as probe:
                        probe.bind((daemon.ip, port))
            except OSError:
                continue
            found.append(port)
            if len(found) == 4:
                break
        return found

    async def start(self) -> None:
        """Start the store, then the workers, then the daemons."""
        if not self.store.address:
            await self.store.start(f"127.0.{self.network}.2")
        self.publish()
        for worker in self.workers:
            if not worker.address:
                await worker.listen(f"127.0.{self.network}.3")
            worker.register()
        self.tasks.append(asyncio.ensure_future(self._send_heartbeats()))
        for daemon in self.daemons:
            daemon.write_settings()
            await daemon.start()

    def publish(self) -> None:
        """Write the operator's configuration, which the store confirms."""
        self.store.put("op/config", self.configuration)
        version = self.configuration["Version"]
        self.record.say(f"configuration {version} is confirmed")

    async def wait_until_ready(self, seconds: float = 20.0) -> bool:
        """Wait until all daemons are ready; return false if they are not in time."""
        until = time.monotonic() + seconds
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.1)
        self.record.say("all daemons are ready")
        return True

    async def stop(self) -> None:
        """End all processes that were started."""
        for daemon in self.daemons:
            await daemon.kill()
        for task in self.tasks:
            task.cancel()
        for server in (self.store, *self.workers, *self.proxies):
            server.close()

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for worker in self.workers:
                worker.register()


def route(name: str, *, kind: str, service: str, **fields: object) -> dict:
    """Return a route of the configuration, whose path is its name."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "Service": service,
        "TimeoutMs": 2500,
        "GoalMs": 200,
        "Attempts": 3 if kind != "non_idempotent" else 1,
        "Priority": 2,
        **fields,
    }


def has_trouble() -> bool:
    """Return whether the disruption is part of the run."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case) -> None:
    """Run a case: exit with 1 if its rule was broken, 0 if it held, else 2."""
    try:
        code = asyncio.run(asyncio.wait_for(case(), 115))
    except Exception as error:
        print(f"the case could not run: {error!r}", flush=True)
        code = 2
    sys.stdout.flush()
    os._exit(code)

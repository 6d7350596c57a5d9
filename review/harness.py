"""A small installation on loopback for the cases of the review.

The daemons are processes of their own, started with the command of the deploy file. The
store is the project's stand-in, workers and callers are the small ones of this module.
Everything that a case sends, gets and runs goes to its ``record.txt``.
"""

import asyncio
import contextlib
import json
import os
import resource
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT)]

from standins.fleet_store import FleetStore  # noqa: E402

HELD, BROKEN, UNUSABLE = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "studio.example"
KEY = "key-studio"
ENGINES, DESK = "linnet-models", "layout-app"
MODELS = ("m0", "m1", "m2")
START_SECONDS = 25.0
HEARTBEAT_SECONDS = 0.6
# Each case uses addresses 127.0.N.*, so that cases can run side by side.
FIRST_NETWORK, LAST_NETWORK = 20, 250
GUARD_PORT = 8199

ROUTES = (
    {
        "Name": "draft",
        "PathPrefix": "/draft/",
        "Kind": "streaming",
        "TimeoutMs": 12000,
        "GoalMs": 2000,
        "GapTargetMs": 800,
        "Attempts": 3,
        "CanResume": True,
        "Sticky": True,
        "Sizes": list(MODELS),
        "Service": ENGINES,
    },
    {
        "Name": "save",
        "PathPrefix": "/save/",
        "Kind": "non_idempotent",
        "TimeoutMs": 2500,
        "GoalMs": 200,
        "Attempts": 1,
        "Service": DESK,
    },
    {
        "Name": "status",
        "PathPrefix": "/status/",
        "Kind": "idempotent",
        "TimeoutMs": 2500,
        "GoalMs": 200,
        "Attempts": 2,
        "Service": DESK,
    },
)


def reserve_network() -> tuple[str, socket.socket]:
    """Return the first bytes of loopback addresses that no other case uses.

    The socket reserves them as long as it is open.
    """
    for number in range(FIRST_NETWORK, LAST_NETWORK):
        guard = socket.socket()
        try:
            guard.bind((f"127.0.{number}.254", GUARD_PORT))
        except OSError:
            guard.close()
            continue
        return f"127.0.{number}", guard
    raise Unusable("all loopback addresses are in use")


class Unusable(Exception):
    """The case could not run."""


class Record:
    """The log of a case; each line begins with the seconds since its start."""

    def __init__(self, path: Path):
        self.file = path.open("w")
        self.began = time.monotonic()

    def write(self, *words: object) -> None:
        """Write one line."""
        seconds = time.monotonic() - self.began
        self.file.write(f"{seconds:8.3f} {' '.join(map(str, words))}\n")
        self.file.flush()


class Request:
    """The head and the body of a request that a stand-in has read."""

    def __init__(self, method: str, target: str, headers: dict[str, str]):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""

    @property
    def attempt(self) -> str:
        """The id of the client attempt."""
        return self.headers.get("linnetladder-attempt-id", "")

    @property
    def model(self) -> str:
        """The model that the request names."""
        return self.headers.get("linnetladder-model", "")


async def read_head(reader: asyncio.StreamReader) -> Request | None:
    """Return the head of the next request on a channel, ``None`` at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Request(method, target, headers)


async def read_body(reader: asyncio.StreamReader, request: Request) -> None:
    """Read a request's body."""
    if request.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).partition(b";")[0], 16):
            request.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return
    request.body = await reader.readexactly(
        int(request.headers.get("content-length", "0"))
    )


class Worker:
    """A worker: it answers requests that expect it, of the models that it has.

    Answers take ``work`` seconds. A service whose workers have models streams
    ``events`` events, the others answer with a short text.
    """

    def __init__(
        self,
        *,
        site: "Site",
        name: str,
        service: str,
        zone: str,
        slots: int = 64,
        work: float = 0.02,
        events: int = 6,
    ):
        self.site = site
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work = work
        self.events = events
        self.running = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.server: asyncio.Server | None = None
        self.address = ""
        self.run_ids: list[str] = []

    async def start(self) -> None:
        """Listen on a free port and register."""
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=256 * 1024
        )
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.register()

    def register(self) -> None:
        """Write this worker's entry."""
        self.sequence += 1
        self.site.store.put(
            f"servers/{self.name}",
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": self.zone,
                "Version": "v1",
                "Slots": self.slots,
                "State": self.state,
                "ColdMs": 0,
                "Seq": self.sequence,
                "born": self.born,
            },
        )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one channel."""
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (request := await read_head(reader)) is not None:
                await self.read_request_body(reader, request)
                await self.answer(request, writer)
                await writer.drain()
        writer.close()

    async def read_request_body(
        self, reader: asyncio.StreamReader, request: Request
    ) -> None:
        """Read the body of a request."""
        await read_body(reader, request)

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        record = self.site.record
        expected = request.headers.get("linnetladder-expect-instance", self.name)
        if request.target == "/healthz":
            self.send(writer, request, 200, b"")
            return
        rejection = self.rejection(request, expected)
        if rejection is not None:
            status, reason = rejection
            record.write("turned away", request.attempt, self.name, status, reason)
            self.send(writer, request, status, b"", not_run=True)
            return
        self.running += 1
        try:
            self.run_ids.append(request.attempt)
            record.write("run", request.attempt, self.name, request.target)
            await self.run(request, writer)
        finally:
            self.running -= 1

    def rejection(self, request: Request, expected: str) -> tuple[int, str] | None:
        """Return the status and the reason with which a request is turned away."""
        if expected != self.name:
            return 421, "another instance is expected"
        if self.service == ENGINES and request.model not in MODELS:
            return 421, f"there is no model {request.model!r}"
        if self.running >= self.slots:
            return 503, "full"
        return None

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Run a request and send its answer."""
        await asyncio.sleep(self.work)
        if self.service != ENGINES:
            self.send(writer, request, 200, f"done {request.attempt}".encode())
            return
        writer.write(self.head(request, 200, "Transfer-Encoding: chunked"))
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: {request.attempt} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.work)
        writer.write(b"0\r\n\r\n")

    def head(self, request: Request, status: int, *lines: str) -> bytes:
        """Return the head of an answer."""
        rows = [
            f"HTTP/1.1 {status} Status",
            f"Linnetladder-Attempt-Id: {request.attempt}",
            f"Linnetladder-Server-Seal: {self.name}.{request.attempt}",
            f"Linnetladder-Instance-Id: {self.name}",
            *lines,
        ]
        if self.service == ENGINES and status == 200:
            rows.append("Content-Type: text/event-stream")
            rows.append("Linnetladder-Confidence: 90")
            rows.append("Linnetladder-Weight-Versions: 1")
        return ("\r\n".join(rows) + "\r\n\r\n").encode()

    def send(
        self,
        writer: asyncio.StreamWriter,
        request: Request,
        status: int,
        body: bytes,
        *,
        not_run: bool = False,
    ) -> None:
        """Send a whole answer."""
        lines = [f"Content-Length: {len(body)}"]
        if not_run:
            lines.append("Linnetladder-Not-Run: 1")
        writer.write(self.head(request, status, *lines) + body)


class Daemon:
    """One process of the system, on a loopback address of its own."""

    def __init__(self, *, site: "Site", number: int):
        self.site = site
        self.name = f"edge-{number}"
        self.zone = f"zone-{number}"
        self.address = f"{site.network}.{number}"
        self.settings = site.folder / f"{self.name}.conf"
        self.log = site.folder / f"{self.name}.log"
        # The address of the store for this daemon, if it has a link of its own to it.
        self.store_address = ""
        self.process: subprocess.Popen | None = None
        self.ends = 0
        self.highest_rss = 0.0

    def write_settings(self, names: list[str], fields: dict[str, object]) -> None:
        """Write the settings file."""
        lines = {
            "Node": self.name,
            "Role": "router",
            "Class": "edge",
            "Serves": "edge",
            "Ip": self.address,
            "Zone": self.zone,
            "Region": "riga",
            **{f"Zones.{zone}": "riga" for zone in names},
            "Listen.Front": f"{self.address}:8227",
            "Listen.Ready": f"{self.address}:8220",
            "PortRange": "7340,7355",
            "Bootstrap": "true",
            "HeartbeatMs": 1200,
            "Limits.MemoryMb": 300,
            "Limits.MaxFds": 4100,
            "Bounds.ContactMs": 3000,
            "Bounds.DrainMs": 2000,
            "Bounds.GraceS": 8,
            "Bounds.ConfigMs": 2000,
            "Bounds.StrictRevoke": "true",
            "Bounds.RevokeMs": 5000,
            "Bounds.BudgetRatio": 0.9,
            "Bounds.BudgetWindowS": 10,
            "Bounds.BudgetSlack": 52,
            "Bounds.RecoverS": 12,
            "Provider.Address": self.store_address or self.site.store_address,
            "Provider.form": "kv",
            **fields,
        }
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        self.settings.write_text(text)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = role["roles"]["router"]
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        environment = {
            **kept,
            **role.get("env", {}),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "LINNETLADDER_BOOT": str(self.settings),
        }
        descriptors = self.site.descriptors

        def limit_descriptors() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                shlex.split(role["run"]),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=environment,
                preexec_fn=limit_descriptors,
            )
        self.site.record.write("start", self.name, "process", self.process.pid)

    def rss_megabytes(self) -> float:
        """Return the memory that the process holds now."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self) -> bool:
        """Return whether the daemon says that it is ready."""
        status, _ = await fetch(self.address, 8220, "GET", "/-/readyz", {}, seconds=1)
        return status == 200


class Site:
    """The store, the workers and the daemons of a case."""

    def __init__(
        self,
        *,
        record: Record,
        daemons: int = 2,
        descriptors: int = 4100,
        settings: dict[str, object] | None = None,
        routes: tuple[dict, ...] = ROUTES,
        limits: dict[str, object] | None = None,
    ):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.descriptors = descriptors
        self.settings = settings or {}
        self.routes = routes
        self.limits = limits or {}
        self.store = FleetStore()
        self.store_address = ""
        self.version = 0
        self.workers: list[Worker] = []
        self.tasks: list[asyncio.Task] = []
        self.network, self.guard = reserve_network()
        self.daemons = [Daemon(site=self, number=n + 1) for n in range(daemons)]

    async def start(self, workers: list[Worker]) -> None:
        """Start everything and wait until the daemons are ready."""
        self.store_address = await self.store.start()
        self.publish()
        self.workers = workers
        for worker in workers:
            await worker.start()
        await self.start_links()
        zones = [daemon.zone for daemon in self.daemons]
        for daemon in self.daemons:
            daemon.write_settings(zones, self.settings)
            daemon.start()
        self.tasks.append(asyncio.ensure_future(self.send_heartbeats()))
        deadline = time.monotonic() + START_SECONDS
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > deadline or daemon.process.poll() is not None:
                    raise Unusable(f"{daemon.name} does not become ready")
                await asyncio.sleep(0.1)
        self.record.write("ready", *(daemon.name for daemon in self.daemons))

    async def start_links(self) -> None:
        """Start what lies between the daemons and the store; by default nothing."""

    def publish(self) -> None:
        """Write the next configuration."""
        self.version += 1
        self.store.put("op/config", self.configuration())
        self.record.write("configuration", self.version, "accepted")

    def configuration(self) -> dict:
        """Return the newest configuration."""
        return {
            "Version": self.version,
            "Routes": [{"Host": HOST, **route} for route in self.routes],
            "Services": [
                {
                    "Name": ENGINES,
                    "HealthPath": "/healthz",
                    "MaxConns": 360,
                    "Engine": {"Slots": 64, "KvCapacity": 345460},
                },
                {"Name": DESK, "HealthPath": "/healthz", "MaxConns": 360},
            ],
            "Tenants": [{"Name": "studio", "ApiKeys": [KEY]}],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 4194304,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
                **self.limits,
            },
        }

    async def send_heartbeats(self) -> None:
        """Let the workers write their entries again and again."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for worker in self.workers:
                worker.register()

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.kill()
            if daemon.process is not None:
                daemon.process.wait()
        for worker in self.workers:
            if worker.server is not None:
                worker.server.close()
        with contextlib.suppress(Exception):
            await asyncio.wait_for(self.store.stop(), 2)
        self.guard.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs are in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Channel:
    """A client's channel to a daemon."""

    def __init__(self, address: str, port: int = 8227):
        self.address = address
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the channel; clients allow one second for that."""
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.address, self.port), 1.0
        )

    async def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Send a request."""
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self.writer.drain()

    async def receive(self) -> tuple[int, dict[str, str], bytes]:
        """Return the status, the headers and the whole body of an answer."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        headers = {}
        for line in lines:
            name, separator, value = line.partition(":")
            if separator:
                headers[name.strip().lower()] = value.strip()
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
            await self.reader.readexactly(2)
        else:
            length = int(headers.get("content-length", "0"))
            body = await self.reader.readexactly(length)
        return int(first.split(" ")[1]), headers, body

    def close(self) -> None:
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()


async def fetch(
    address: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    seconds: float,
) -> tuple[int, bytes]:
    """Send one request on a new channel; the status is 0 without a whole answer."""
    channel = Channel(address, port)
    try:
        async with asyncio.timeout(seconds):
            await channel.connect()
            await channel.send(method, target, headers, body)
            status, _, content = await channel.receive()
            return status, content
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return 0, repr(error).encode()
    finally:
        channel.close()


def request_headers(
    attempt: str, *, deadline_ms: int, model: str = "", tokens: str = ""
) -> dict[str, str]:
    """Return the headers of a client's request."""
    headers = {
        "Linnetladder-Attempt-Id": attempt,
        "Linnetladder-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }
    if model:
        headers["Linnetladder-Model"] = model
        headers["Linnetladder-Token-Counts"] = tokens or "200,18"
        headers["Linnetladder-Prompt-Prefix"] = f"5c1e07a2:100,{attempt}:100"
    return headers


def run_case(case, folder: str) -> None:
    """Run a case and exit with its result."""
    record = Record(Path(folder) / "record.txt")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(UNUSABLE))
    try:
        result, verdict = asyncio.run(case(record))
    except Exception as problem:  # noqa: BLE001 (a case that fails shows nothing)
        result, verdict = UNUSABLE, f"could not run: {problem!r}"
    record.write("result", result, verdict)
    print(json.dumps({"trouble": TROUBLE, "result": result, "verdict": verdict}))
    sys.exit(result)

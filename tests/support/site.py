"""A complete site in one process: stand-ins and daemons on loopback TCP."""

import asyncio
import dataclasses
import hashlib
import json
import tempfile
from pathlib import Path

import aiohttp
from aiohttp import web

from linnetladder.conf import Settings
from linnetladder.coordination.configuration.publishing import Change, Publisher
from linnetladder.daemon import Daemon
from linnetladder.protocol.declarations import parse_declarations
from linnetladder.state import SystemClock, VersionRef
from linnetladder.state.versions import Withdrawal
from linnetladder.telemetry import Metrics
from linnetladder.transport import EtcdKeyValue
from standins import engine as engines
from standins import platform as platforms
from standins import service as services
from standins.certificates import CertificateAuthority

WAIT_SECONDS = 10.0
DOMAINS = ("riga-ke", "riga-pl", "riga-im")

DECLARATIONS = """
models:
  small:
    versions:
      "1": {input_price: 0.1, output_price: 0.4, quality: {default: 0.9, hard: 0.5}}
      "2": {input_price: 0.1, output_price: 0.4, quality: {default: 0.9, hard: 0.5}}
  large:
    versions:
      "1": {input_price: 2.5, output_price: 10, quality: {default: 0.95}}
services:
  desk: {price: 150, idempotent_methods: [GET]}
nodes:
  - name: firm
    settings:
      allowed_versions: [small, large]
      allowed_services: [desk]
      rollouts: {small: {stable: "1"}}
      requests_per_second: 1000
      burst: 1000
  - name: studio
    parent: firm
    account: true
    credentials: [sha256:%(studio)s]
  - name: cheap
    parent: firm
    account: true
    credentials: [sha256:%(cheap)s]
    settings: {allowed_versions: [small]}
  - name: limited
    parent: firm
    account: true
    credentials: [sha256:%(limited)s]
    settings: {requests_per_second: 0.01, burst: 1, allowed_services: []}
"""


def declarations_text(**replacements: str) -> str:
    """Return the test declarations, with text replaced.

    The credential of each client account is the account's name.
    """
    digests = {
        name: hashlib.sha256(name.encode()).hexdigest()
        for name in ("studio", "cheap", "limited")
    }
    text = DECLARATIONS % digests
    for old, new in replacements.items():
        text = text.replace(old, new)
    return text


@dataclasses.dataclass(slots=True)
class Reply:
    """The HTTP response to a caller, with its whole body."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def document(self) -> dict:
        """The body parsed as JSON."""
        return json.loads(self.body)

    @property
    def content(self) -> str:
        """The text of a chat answer that was not streamed."""
        return self.document["choices"][0]["message"]["content"]

    @property
    def version(self) -> str:
        """The model version that served the request."""
        return self.headers.get("X-Served-Version", "")


class LocalServer:
    """An aiohttp application that listens on its own loopback port."""

    def __init__(self, app: web.Application):
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
        self.port = 0

    async def start(self, port: int = 0) -> int:
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", port).start()
        self.port = self.runner.addresses[0][1]
        return self.port

    async def stop(self) -> None:
        await self.runner.cleanup()


class LocalSite:
    """A platform, engines, a plain service and daemons."""

    def __init__(self, *, daemons: int = 1, engine_count: int = 2):
        self.daemon_count = daemons
        self.engine_count = engine_count
        self.platform = platforms.PlatformStandIn(list_lag_seconds=0.0)
        self.folder = tempfile.TemporaryDirectory()
        self.authority = CertificateAuthority(folder=Path(self.folder.name))
        self.engines: list[engines.EngineStandIn] = []
        self.services: list[services.ServiceStandIn] = []
        self.servers: list[LocalServer] = []
        self.servers_by_address: dict[str, LocalServer] = {}
        self.daemons: list[Daemon] = []
        self.store: EtcdKeyValue | None = None
        self.session: aiohttp.ClientSession | None = None

    async def start(self, text: str | None = None) -> None:
        """Start everything and wait until the daemons are ready."""
        port = await self._serve(platforms.build_app(self.platform))
        self.platform_url = f"http://127.0.0.1:{port}"
        self.session = aiohttp.ClientSession()
        self.store = EtcdKeyValue(
            urls=(self.platform_url,),
            timeout_seconds=5.0,
            clock=SystemClock(),
            metrics=Metrics(),
        )
        self.publisher = Publisher(store=self.store, clock=SystemClock())
        for number in range(self.engine_count):
            await self.add_engine(f"engine-{number + 1}", DOMAINS[number % 3])
        await self.add_service("desk-1", DOMAINS[0])
        await self.apply(text or declarations_text())
        for number in range(self.daemon_count):
            await self.add_daemon(f"daemon-{number + 1}", DOMAINS[number % 3])
        for daemon in self.daemons:
            await self.wait_for(lambda d=daemon: self._is_complete(d))

    async def stop(self) -> None:
        """Stop everything."""
        self.platform.set_mode("up")
        for daemon in self.daemons:
            await daemon.stop()
        await self.session.close()
        await self.store.close()
        for local_server in self.servers:
            await local_server.stop()
        self.folder.cleanup()

    async def add_engine(self, name: str, domain: str) -> engines.EngineStandIn:
        """Start an engine and register it with the platform."""
        engine = engines.EngineStandIn(
            name=name,
            address="",
            failure_domain=domain,
            service="models",
            versions=("small@1", "small@2", "large@1"),
        )
        engine.address = f"127.0.0.1:{await self._serve(engines.build_app(engine))}"
        self.engines.append(engine)
        self.platform.register(engine.instance_entry())
        return engine

    async def add_service(self, name: str, domain: str) -> services.ServiceStandIn:
        """Start an instance of the plain service and register it with the platform."""
        service = services.ServiceStandIn(
            name=name, address="", failure_domain=domain, service="desk"
        )
        port = await self._serve(services.build_app(service))
        service.address = f"127.0.0.1:{port}"
        self.services.append(service)
        self.platform.register(service.instance_entry())
        return service

    async def add_daemon(self, name: str, domain: str, **changes: object) -> Daemon:
        """Start a daemon; ``changes`` are additional settings."""
        certificate, key = self.authority.issue(name)
        settings = Settings(
            tls_certificate=str(certificate),
            tls_key=str(key),
            tls_authority=str(self.authority.path),
            instance=name,
            failure_domain=domain,
            failure_domains=DOMAINS,
            caller_port=0,
            operations_port=0,
            peer_port=0,
            platform_urls=(self.platform_url,),
            instance_list_url=f"{self.platform_url}/instances",
            ratings_url=self.platform_url,
            configuration_poll_seconds=0.2,
            list_poll_seconds=0.1,
            load_poll_seconds=0.1,
            platform_timeout_seconds=0.5,
            silence_seconds=0.2,
            drain_notice_seconds=0.0,
            drain_seconds=10.0,
            **changes,
        )
        daemon = Daemon(settings=settings)
        await daemon.start()
        self.daemons.append(daemon)
        return daemon

    def crash_on_text(self, engine: engines.EngineStandIn, text: str) -> None:
        """Make an engine crash, like a killed process, when a request has this text."""
        start_run = engine.start_run

        def start_run_or_crash(request_id, body, priority):
            if body["messages"][-1]["content"] == text:
                engine.runs_started += 1
                local_server = self.servers_by_address[engine.address]
                for site in tuple(local_server.runner.sites):
                    site._server.close()
                for connection in tuple(local_server.runner.server.connections):
                    connection.transport.abort()
                raise ConnectionResetError("the engine went down")
            return start_run(request_id, body, priority)

        engine.start_run = start_run_or_crash

    async def kill(self, number: int) -> None:
        """Stop a daemon as a crash would: without draining requests or flushing bills.

        ``number`` is its index in ``daemons``, from which it is removed.
        """
        daemon = self.daemons.pop(number)
        parts = daemon.parts
        for task in (*daemon.tasks, *parts.bills.open_blocks.values()):
            task.cancel()
        await parts.callers.stop()
        await daemon.operations.stop()
        await parts.peer_transport.stop()
        await parts.connections.close()
        await parts.instances.close()
        await parts.store.close()

    async def apply(self, text: str) -> int:
        """Apply declarations and return the revision."""
        declarations = parse_declarations(text, file="test.yaml").unwrap()
        plan = await self.publisher.plan(
            declarations.parts, reinstate=declarations.reinstate
        )
        published = await self.publisher.publish(
            plan.unwrap(), Change(author="tests", message="apply")
        )
        return published.unwrap().revision

    async def withdraw(self, version: str) -> int:
        """Withdraw a version and wait until the withdrawal is in force everywhere."""
        withdrawal = Withdrawal(VersionRef.parse(version), "turned bad", "tests")
        change = Change(author="tests", message="withdraw")
        published = (await self.publisher.withdraw(withdrawal, change)).unwrap()
        outcome = await self.publisher.wait_in_force(published, seconds=WAIT_SECONDS)
        assert not outcome.unwrap().outstanding
        return published.revision

    async def send(
        self,
        *,
        account: str = "studio",
        path: str = "/v1/chat/completions",
        method: str = "POST",
        daemon: int = 0,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send one request to the daemon with this index and read the whole reply."""
        all_headers = dict(headers or {})
        if account:
            all_headers["Authorization"] = f"Bearer {account}"
        data = body if isinstance(body, bytes) else json.dumps(body or {}).encode()
        async with self.session.request(
            method, self.caller_url(daemon) + path, data=data, headers=all_headers
        ) as response:
            content = await response.read()
            return Reply(response.status, dict(response.headers), content)

    async def chat(self, text: str = "hello", **options) -> Reply:
        """Send a chat completion request."""
        body = {
            "model": options.pop("model", "auto"),
            "messages": [{"role": "user", "content": text}],
            "stream": options.pop("stream", False),
        }
        return await self.send(body=body, **options)

    def caller_url(self, daemon: int) -> str:
        """Return the caller URL of the daemon with this index."""
        record = self.daemons[daemon].registration.record
        return f"http://{record.caller_address}"

    def runs(self) -> list[dict]:
        """Return the recorded run events of all endpoints."""
        endpoints = [*self.engines, *self.services]
        return [
            event
            for endpoint in endpoints
            for event in endpoint.recorder.events
            if event["event"] == "run"
        ]

    async def wait_for(self, condition, *, seconds: float = WAIT_SECONDS) -> None:
        """Wait until a condition holds; the timeout only matters for a failing test."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)

    def _is_complete(self, daemon: Daemon) -> bool:
        discovered = len(daemon.parts.table.endpoints)
        expected = len(self.engines) + len(self.services)
        return not daemon.unready_reasons() and discovered == expected

    async def _serve(self, app: web.Application) -> int:
        local_server = LocalServer(app)
        self.servers.append(local_server)
        port = await local_server.start()
        self.servers_by_address[f"127.0.0.1:{port}"] = local_server
        return port

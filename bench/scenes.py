"""The two firms' sites as the demo and the measurements set them up on loopback."""

import dataclasses
from pathlib import Path

from bench.processes import Fleet, free_port, wait_for, wait_until
from standins.certificates import Authority

__all__ = ["SCENES", "Scene", "Site", "credential"]

EXAMPLES = Path(__file__).parent.parent / "examples"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scene:
    """A firm's site: its failure domains, engines, services and accounts."""

    name: str
    domains: tuple[str, ...]
    engine_service: str
    engines: int
    engine_versions: tuple[tuple[str, ...], ...]
    plain_service: str
    plain_instances: int
    accounts: tuple[str, ...]
    large_accounts: tuple[str, ...]

    @property
    def declarations(self) -> Path:
        """The file that declares the settings tree."""
        return EXAMPLES / self.name / "settings.yaml"


SCENES = {
    "daugava": Scene(
        name="daugava",
        domains=("riga-ke", "riga-pl", "riga-im"),
        engine_service="linnet-models",
        engines=6,
        engine_versions=(
            ("linnet-small@2026.09", "linnet-small@2026.11", "linnet-medium@2026.08"),
            ("linnet-large@2026.06", "linnet-medium@2026.08"),
        ),
        plain_service="layout-app",
        plain_instances=3,
        accounts=(
            "ozols",
            "kalnins",
            "berzins",
            "liepa",
            "krauklis",
            "jansons",
            "eglite",
            "vitols",
            "zarins",
            "proof-printers",
        ),
        large_accounts=("ozols", "kalnins", "berzins"),
    ),
    "barakat": Scene(
        name="barakat",
        domains=("ruwi", "seeb", "qurum", "bawshar"),
        engine_service="drafting-model",
        engines=5,
        engine_versions=(("linnet-line@3.1", "linnet-line@3.2", "linnet-notice@7.0"),),
        plain_service="notice-desk",
        plain_instances=4,
        accounts=(
            "muscat-daily",
            "oman-times",
            "al-watan-desk",
            "ruwi-mosque",
            "seeb-mosque",
            "qurum-board",
            "bawshar-board",
            "mutrah-board",
            "nizwa-board",
            "short-lines",
        ),
        large_accounts=("muscat-daily", "oman-times", "al-watan-desk"),
    ),
}


def credential(account: str) -> str:
    """Return the credential that the example declarations give an account."""
    return f"demo-{account}"


@dataclasses.dataclass(slots=True)
class DaemonPorts:
    """Where one daemon listens."""

    name: str
    domain: str
    callers: int
    operations: int
    peers: int


class Site:
    """A scene as running processes."""

    def __init__(
        self,
        *,
        scene: Scene,
        folder: Path,
        token_seconds: float = 0.001,
        daemons_per_domain: int = 1,
        relayed: bool = False,
    ):
        self.scene = scene
        self.fleet = Fleet(folder=folder)
        self.authority = Authority(folder=folder / "certificates")
        self.folder = folder
        self.token_seconds = token_seconds
        self.platform_port = free_port()
        self.endpoints: dict[str, int] = {}
        self.relayed = relayed
        self.relays: dict[str, tuple[int, int]] = {}
        self.daemons: list[DaemonPorts] = [
            DaemonPorts(
                f"{domain}-{number}", domain, free_port(), free_port(), free_port()
            )
            for domain in scene.domains
            for number in range(1, daemons_per_domain + 1)
        ]

    @property
    def platform_url(self) -> str:
        """The platform's URL."""
        return f"http://127.0.0.1:{self.platform_port}"

    def caller_url(self, daemon: DaemonPorts) -> str:
        """Return a daemon's URL for callers."""
        return f"http://127.0.0.1:{daemon.callers}"

    async def start_platform(self) -> bool:
        """Start the platform's stand-in."""
        self.fleet.start(
            "platform", "standins.platform", f"--port={self.platform_port}"
        )
        return await wait_for(f"{self.platform_url}/instances")

    def start_endpoints(self) -> None:
        """Start every engine and plain service."""
        for index in range(self.scene.engines):
            self.start_engine(index)
        for index in range(self.scene.plain_instances):
            self.start_service(index)

    def start_engine(self, index: int) -> None:
        """Start one engine, on its old port if it ran before."""
        scene = self.scene
        name = f"{scene.engine_service}-{index + 1}"
        versions = scene.engine_versions[index % len(scene.engine_versions)]
        port = self.endpoints.setdefault(name, free_port())
        relay = self._start_relay(name, port)
        self.fleet.start(
            name,
            "standins.engine",
            f"--advertise={relay}",
            f"--name={name}",
            f"--port={port}",
            f"--failure_domain={scene.domains[index % len(scene.domains)]}",
            f"--service={scene.engine_service}",
            f"--versions={','.join(versions)}",
            f"--token_seconds={self.token_seconds}",
            f"--platform_url={self.platform_url}",
            f"--history={self.folder / 'history' / name}.jsonl",
        )

    def _start_relay(self, name: str, port: int) -> str:
        """Put a relay before an engine, where asked for, and return its address."""
        if not self.relayed:
            return ""
        if name not in self.relays:
            self.relays[name] = (free_port(), free_port())
            front, control = self.relays[name]
            self.fleet.start(
                f"relay-{name}",
                "standins.relay",
                f"--port={front}",
                f"--to_port={port}",
                f"--control_port={control}",
            )
        return f"127.0.0.1:{self.relays[name][0]}"

    def start_service(self, index: int) -> None:
        """Start one instance of the plain service."""
        scene = self.scene
        name = f"{scene.plain_service}-{index + 1}"
        port = self.endpoints.setdefault(name, free_port())
        self.fleet.start(
            name,
            "standins.service",
            f"--name={name}",
            f"--port={port}",
            f"--failure_domain={scene.domains[index % len(scene.domains)]}",
            f"--service={scene.plain_service}",
            f"--platform_url={self.platform_url}",
            f"--history={self.folder / 'history' / name}.jsonl",
        )

    def start_daemon(self, daemon: DaemonPorts, *extra: str) -> None:
        """Start one daemon."""
        self.fleet.start(
            daemon.name,
            "linnetladder.daemon",
            f"--instance={daemon.name}",
            f"--failure_domain={daemon.domain}",
            f"--failure_domains={','.join(self.scene.domains)}",
            f"--caller_port={daemon.callers}",
            f"--operations_port={daemon.operations}",
            f"--peer_port={daemon.peers}",
            f"--platform_urls={self.platform_url}",
            f"--instance_list_url={self.platform_url}/instances",
            f"--ratings_url={self.platform_url}",
            "--drain_notice_seconds=0.2",
            *self.authority.flags(daemon.name),
            *extra,
        )

    async def start(self, *extra: str) -> bool:
        """Start everything but the configuration and return whether it listens."""
        (self.folder / "history").mkdir(parents=True, exist_ok=True)
        if not await self.start_platform():
            return False
        self.start_endpoints()
        for daemon in self.daemons:
            self.start_daemon(daemon, *extra)
        return all(
            [
                await wait_for(f"http://127.0.0.1:{daemon.operations}/healthz")
                for daemon in self.daemons
            ]
        )

    async def wait_ready(self) -> bool:
        """Wait until every daemon is ready and knows every endpoint."""
        urls = [f"http://127.0.0.1:{daemon.operations}" for daemon in self.daemons]
        ready = [await wait_for(f"{url}/readyz") for url in urls]
        if not all(ready):
            return False
        expected = self.scene.engines + self.scene.plain_instances
        known = [
            await wait_until(f"{url}/status", lambda s: _accepting(s) == expected)
            for url in urls
        ]
        return all(known)


def _accepting(status: dict) -> int:
    return sum(1 for endpoint in status["endpoints"] if endpoint["accepts_work"])

"""Sites of the two example firms, run on loopback for the demo and the benchmarks."""

import dataclasses
from pathlib import Path

from bench.processes import ProcessManager, free_port, wait_for, wait_until
from standins.certificates import CertificateAuthority

__all__ = ["SITE_SPECS", "Site", "SiteSpec", "credential"]

EXAMPLES_FOLDER = Path(__file__).parent.parent / "examples"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SiteSpec:
    """Describes a firm's site: its failure domains, engines, services and accounts.

    The engines take the entries of ``engine_versions`` in turn; ``plain_service`` is
    a service without models.
    """

    name: str
    domains: tuple[str, ...]
    engine_service: str
    engine_count: int
    engine_versions: tuple[tuple[str, ...], ...]
    plain_service: str
    plain_instance_count: int
    accounts: tuple[str, ...]
    large_accounts: tuple[str, ...]

    @property
    def declarations(self) -> Path:
        """The path of the file that declares the settings tree."""
        return EXAMPLES_FOLDER / self.name / "settings.yaml"


SITE_SPECS = {
    "daugava": SiteSpec(
        name="daugava",
        domains=("riga-ke", "riga-pl", "riga-im"),
        engine_service="linnet-models",
        engine_count=6,
        engine_versions=(
            ("linnet-small@2026.09", "linnet-small@2026.11", "linnet-medium@2026.08"),
            ("linnet-large@2026.06", "linnet-medium@2026.08"),
        ),
        plain_service="layout-app",
        plain_instance_count=3,
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
    "barakat": SiteSpec(
        name="barakat",
        domains=("ruwi", "seeb", "qurum", "bawshar"),
        engine_service="drafting-model",
        engine_count=5,
        engine_versions=(("linnet-line@3.1", "linnet-line@3.2", "linnet-notice@7.0"),),
        plain_service="notice-desk",
        plain_instance_count=4,
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
    """The name, failure domain and loopback ports of one daemon."""

    name: str
    domain: str
    caller_port: int
    operations_port: int
    peer_port: int


class Site:
    """The processes of one site: platform stand-in, endpoints, relays and daemons.

    ``endpoints`` maps each endpoint to its port, ``relays`` each engine to its relay's
    port and control port.
    """

    def __init__(
        self,
        *,
        spec: SiteSpec,
        folder: Path,
        token_seconds: float = 0.001,
        daemons_per_domain: int = 1,
        use_relays: bool = False,
    ):
        self.spec = spec
        self.process_manager = ProcessManager(folder=folder)
        self.authority = CertificateAuthority(folder=folder / "certificates")
        self.folder = folder
        self.token_seconds = token_seconds
        self.platform_port = free_port()
        self.endpoints: dict[str, int] = {}
        self.use_relays = use_relays
        self.relays: dict[str, tuple[int, int]] = {}
        self.daemons: list[DaemonPorts] = [
            DaemonPorts(
                f"{domain}-{number}", domain, free_port(), free_port(), free_port()
            )
            for domain in spec.domains
            for number in range(1, daemons_per_domain + 1)
        ]

    @property
    def platform_url(self) -> str:
        """The URL of the platform's stand-in."""
        return f"http://127.0.0.1:{self.platform_port}"

    def caller_url(self, daemon: DaemonPorts) -> str:
        """Return a daemon's URL for callers."""
        return f"http://127.0.0.1:{daemon.caller_port}"

    async def start_platform(self) -> bool:
        """Start the platform's stand-in and return whether it answers."""
        self.process_manager.start(
            "platform", "standins.platform", f"--port={self.platform_port}"
        )
        return await wait_for(f"{self.platform_url}/instances")

    def start_endpoints(self) -> None:
        """Start every engine and every instance of the plain service."""
        for index in range(self.spec.engine_count):
            self.start_engine(index)
        for index in range(self.spec.plain_instance_count):
            self.start_service(index)

    def start_engine(self, index: int) -> None:
        """Start one engine; a restarted engine keeps its port."""
        spec = self.spec
        name = f"{spec.engine_service}-{index + 1}"
        versions = spec.engine_versions[index % len(spec.engine_versions)]
        port = self.endpoints.setdefault(name, free_port())
        relay = self._start_relay(name, port)
        self.process_manager.start(
            name,
            "standins.engine",
            f"--advertise={relay}",
            f"--name={name}",
            f"--port={port}",
            f"--failure_domain={spec.domains[index % len(spec.domains)]}",
            f"--service={spec.engine_service}",
            f"--versions={','.join(versions)}",
            f"--token_seconds={self.token_seconds}",
            f"--platform_url={self.platform_url}",
            f"--history={self.folder / 'history' / name}.jsonl",
        )

    def _start_relay(self, name: str, port: int) -> str:
        """Return the address of the relay in front of an engine, starting it if needed.

        Return an empty string if the site has no relays.
        """
        if not self.use_relays:
            return ""
        if name not in self.relays:
            self.relays[name] = (free_port(), free_port())
            relay_port, control_port = self.relays[name]
            self.process_manager.start(
                f"relay-{name}",
                "standins.relay",
                f"--port={relay_port}",
                f"--to_port={port}",
                f"--control_port={control_port}",
            )
        return f"127.0.0.1:{self.relays[name][0]}"

    def start_service(self, index: int) -> None:
        """Start one instance of the plain service."""
        spec = self.spec
        name = f"{spec.plain_service}-{index + 1}"
        port = self.endpoints.setdefault(name, free_port())
        self.process_manager.start(
            name,
            "standins.service",
            f"--name={name}",
            f"--port={port}",
            f"--failure_domain={spec.domains[index % len(spec.domains)]}",
            f"--service={spec.plain_service}",
            f"--platform_url={self.platform_url}",
            f"--history={self.folder / 'history' / name}.jsonl",
        )

    def start_daemon(self, daemon: DaemonPorts, *extra_flags: str) -> None:
        """Start one daemon."""
        self.process_manager.start(
            daemon.name,
            "linnetladder.daemon",
            f"--instance={daemon.name}",
            f"--failure_domain={daemon.domain}",
            f"--failure_domains={','.join(self.spec.domains)}",
            f"--caller_port={daemon.caller_port}",
            f"--operations_port={daemon.operations_port}",
            f"--peer_port={daemon.peer_port}",
            f"--platform_urls={self.platform_url}",
            f"--instance_list_url={self.platform_url}/instances",
            f"--ratings_url={self.platform_url}",
            "--drain_notice_seconds=0.2",
            *self.authority.flags(daemon.name),
            *extra_flags,
        )

    async def start(self, *extra_flags: str) -> bool:
        """Start all processes and return whether every daemon answers `/healthz`.

        The configuration is applied separately. ``extra_flags`` are passed to each
        daemon.
        """
        (self.folder / "history").mkdir(parents=True, exist_ok=True)
        if not await self.start_platform():
            return False
        self.start_endpoints()
        for daemon in self.daemons:
            self.start_daemon(daemon, *extra_flags)
        return all(
            [
                await wait_for(f"http://127.0.0.1:{daemon.operations_port}/healthz")
                for daemon in self.daemons
            ]
        )

    async def wait_ready(self) -> bool:
        """Wait until every daemon is ready and reports that all endpoints accept work.

        Return False if one does not in time.
        """
        urls = [f"http://127.0.0.1:{daemon.operations_port}" for daemon in self.daemons]
        daemons_ready = [await wait_for(f"{url}/readyz") for url in urls]
        if not all(daemons_ready):
            return False
        expected = self.spec.engine_count + self.spec.plain_instance_count
        endpoints_accepting = [
            await wait_until(f"{url}/status", lambda s: _count_accepting(s) == expected)
            for url in urls
        ]
        return all(endpoints_accepting)


def _count_accepting(status: dict) -> int:
    return sum(1 for endpoint in status["endpoints"] if endpoint["accepts_work"])

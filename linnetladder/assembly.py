"""Construct and connect the objects of a daemon that uses the network transport."""

import dataclasses
import secrets
import time
from pathlib import Path

from linnetladder.conf import Settings
from linnetladder.coordination import (
    AddressLimits,
    Registration,
)
from linnetladder.coordination.membership.registration import DaemonRecord
from linnetladder.coordination.peers.messages import Neighbour
from linnetladder.core_assembly import (
    CoordinationCore,
    CoordinationPorts,
    build_coordination_core,
)
from linnetladder.state import Clock, SigningKey, SystemClock
from linnetladder.telemetry import Metrics, Tracer, build_tracer
from linnetladder.transport import (
    CallerServer,
    Certificates,
    ConnectionPools,
    EtcdKeyValue,
    HttpEndpointClient,
    HttpInstanceList,
    HttpRatingService,
    PeerTransport,
)

__all__ = [
    "DaemonParts",
    "assemble_daemon",
    "build_registration",
    "new_signing_key",
    "parse_seed_peers",
]

INCARNATION_BYTES = 8
SECRET_BYTES = 32
# Burst of a caller address, in seconds of its sustained request rate.
ADDRESS_BURST_SECONDS = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class DaemonParts(CoordinationCore):
    """The long-lived objects of one daemon."""

    settings: Settings
    instances: HttpInstanceList
    connections: ConnectionPools
    client: HttpEndpointClient
    rater: HttpRatingService | None
    callers: CallerServer
    peer_transport: PeerTransport | None


def new_signing_key(key_id: str) -> SigningKey:
    """Return a key with a new random secret."""
    return SigningKey(key_id, secrets.token_hex(SECRET_BYTES), time.time())


def assemble_daemon(settings: Settings) -> DaemonParts:
    """Construct a daemon's objects with the network transport."""
    clock = SystemClock()
    metrics = Metrics()
    store = EtcdKeyValue(
        urls=settings.platform_urls,
        timeout_seconds=settings.platform_timeout_seconds,
        clock=clock,
        metrics=metrics,
    )
    instances = HttpInstanceList(
        url=settings.instance_list_url,
        timeout_seconds=settings.platform_timeout_seconds,
        metrics=metrics,
    )
    connections = ConnectionPools(connect_seconds=settings.connect_timeout_seconds)
    client = HttpEndpointClient(
        connections=connections,
        clock=clock,
        silence_seconds=settings.silence_seconds,
    )
    rater = None
    if settings.ratings_url:
        rater = HttpRatingService(url=settings.ratings_url, metrics=metrics)
    ports = CoordinationPorts(
        store=store,
        instances=instances,
        client=client,
        loads=client,
        clock=clock,
        metrics=metrics,
        tracer=_build_tracer(settings),
        rater=rater,
    )
    core = build_coordination_core(
        settings,
        ports,
        incarnation=secrets.token_hex(INCARNATION_BYTES),
        seed=secrets.randbits(64),
    )
    fields = {
        field.name: getattr(core, field.name)
        for field in dataclasses.fields(CoordinationCore)
    }
    return DaemonParts(
        **fields,
        settings=settings,
        instances=instances,
        connections=connections,
        client=client,
        rater=rater,
        callers=_build_callers(settings, core, clock),
        peer_transport=_build_peer_transport(settings, core, clock),
    )


def _build_tracer(settings: Settings) -> Tracer:
    return build_tracer(
        exporter=settings.trace_exporter,
        endpoint=settings.trace_endpoint,
        share=settings.trace_share,
        instance=settings.instance,
        failure_domain=settings.failure_domain,
    )


def _build_callers(
    settings: Settings, core: CoordinationCore, clock: Clock
) -> CallerServer:
    rate = settings.address_requests_per_second
    return CallerServer(
        router=core.router,
        limits=AddressLimits(rate=rate, burst=rate * ADDRESS_BURST_SECONDS),
        clock=clock,
        metrics=core.metrics,
        header_bytes=settings.header_bytes,
        body_bytes=settings.body_bytes,
        body_seconds=settings.body_seconds,
    )


def _build_peer_transport(
    settings: Settings, core: CoordinationCore, clock: Clock
) -> PeerTransport | None:
    """Return the transport of peer links, or ``None`` without a TLS certificate."""
    if not settings.tls_certificate:
        return None
    certificates = Certificates(
        certificate=Path(settings.tls_certificate),
        key=Path(settings.tls_key),
        authority=Path(settings.tls_authority),
    )
    return PeerTransport(
        peers=core.peers, certificates=certificates, clock=clock, metrics=core.metrics
    )


def parse_seed_peers(settings: Settings) -> tuple[Neighbour, ...]:
    """Parse the ``seed_peers`` setting, whose entries are ``instance@IP:port``."""
    neighbours = []
    for text in settings.seed_peers:
        instance, _, address = text.partition("@")
        neighbours.append(Neighbour(instance, "", address))
    return tuple(neighbours)


def build_registration(
    parts: DaemonParts, *, caller_port: int, operations_port: int, peer_address: str
) -> Registration:
    """Return the registration of a daemon that listens on the given ports."""
    settings = parts.settings
    record = DaemonRecord(
        instance=settings.instance,
        incarnation=parts.incarnation,
        failure_domain=settings.failure_domain,
        caller_address=f"{settings.address}:{caller_port}",
        operations_address=f"{settings.address}:{operations_port}",
        peer_address=peer_address,
    )
    return Registration(
        store=parts.store, configuration=parts.configuration, record=record
    )

"""How the parts of a daemon are put together from its settings.

`build_core` joins the parts of coordination to whatever stands behind their abstract
base classes, which tests use with fakes. `assemble` adds the real transport.
"""

import dataclasses
import secrets
import time
from pathlib import Path

from linnetladder.conf import Settings
from linnetladder.coordination import (
    AccountLimits,
    AddressLimits,
    Admission,
    AttemptRunner,
    Background,
    BillWriter,
    CompareAndSwapClaims,
    Completion,
    ConfigurationInForce,
    Discovery,
    Ejector,
    EntryChecks,
    LiveState,
    PoisonRegistry,
    Registration,
    RetryBudget,
    Router,
)
from linnetladder.coordination.attempts.endpoint_client import EndpointClient
from linnetladder.coordination.billing.copies import PeerBillCopier
from linnetladder.coordination.billing.held_blocks import HeldBlocks
from linnetladder.coordination.cascades.escalation import Escalation
from linnetladder.coordination.cascades.health_watch import HealthWatch
from linnetladder.coordination.cascades.learner import QualityLearner
from linnetladder.coordination.cascades.rating import AnswerRater, RatingFeed
from linnetladder.coordination.claims.tickets import TicketClaims
from linnetladder.coordination.configuration.publishing import Publisher
from linnetladder.coordination.membership.discovery import LoadSource
from linnetladder.coordination.membership.registration import DaemonRecord
from linnetladder.coordination.peers.configuration import PeerConfiguration
from linnetladder.coordination.peers.links import Peers
from linnetladder.coordination.peers.messages import Hello, Neighbour
from linnetladder.coordination.platform import InstanceList, KeyValueService
from linnetladder.coordination.routing.endpoint_choice import CHOICES
from linnetladder.state import Clock, EndpointTable, KeyRing, SigningKey, SystemClock
from linnetladder.telemetry import Metrics, Tracer, build_tracer
from linnetladder.transport import (
    CallerServer,
    Certificates,
    Connections,
    EtcdKeyValue,
    HttpEndpointClient,
    HttpInstanceList,
    HttpRatingService,
    PeerTransport,
)

__all__ = [
    "Core",
    "Parts",
    "Ports",
    "assemble",
    "build_core",
    "build_registration",
    "new_signing_key",
    "seed_neighbours",
]

INCARNATION_BYTES = 8
SECRET_BYTES = 32
ADDRESS_BURST_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """What stands behind coordination's abstract base classes."""

    store: KeyValueService
    instances: InstanceList
    client: EndpointClient
    loads: LoadSource
    clock: Clock
    metrics: Metrics
    tracer: Tracer
    rater: AnswerRater | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class Core:
    """The parts of coordination and state of one daemon."""

    incarnation: str
    metrics: Metrics
    store: KeyValueService
    keys: KeyRing
    configuration: ConfigurationInForce
    live_state: LiveState
    table: EndpointTable
    admission: Admission
    limits: AccountLimits
    discovery: Discovery
    background: Background
    bills: BillWriter
    poison: PoisonRegistry
    held: HeldBlocks
    peers: Peers
    learner: QualityLearner
    watch: HealthWatch
    feed: RatingFeed | None
    router: Router


@dataclasses.dataclass(slots=True, kw_only=True)
class Parts(Core):
    """All long-lived objects of one daemon."""

    settings: Settings
    instances: HttpInstanceList
    connections: Connections
    client: HttpEndpointClient
    rater: HttpRatingService | None
    callers: CallerServer
    peer_transport: PeerTransport | None


def new_signing_key(key_id: str) -> SigningKey:
    """Return a key with a new random secret."""
    return SigningKey(key_id, secrets.token_hex(SECRET_BYTES), time.time())


def build_core(
    settings: Settings, ports: Ports, *, incarnation: str, seed: int
) -> Core:
    """Join the parts of coordination; nothing is started and nothing is sent yet."""
    clock, metrics, store = ports.clock, ports.metrics, ports.store
    keys = KeyRing()
    table = EndpointTable()
    background = Background()
    configuration = ConfigurationInForce(store=store, clock=clock, metrics=metrics)
    poison = PoisonRegistry(store=store, clock=clock, incarnation=incarnation)
    live_state = LiveState(
        store=store,
        clock=clock,
        configuration=configuration,
        keys=keys,
        poison=poison,
        poll_seconds=settings.configuration_poll_seconds,
    )
    admission = Admission(
        table=table,
        choice=CHOICES[settings.endpoint_choice](seed=seed),
        clock=clock,
        own_domain=settings.failure_domain,
        maximum_queue=settings.maximum_queue,
    )
    discovery = Discovery(
        table=table,
        instances=ports.instances,
        loads=ports.loads,
        admission=admission,
        list_seconds=settings.list_poll_seconds,
        load_seconds=settings.load_poll_seconds,
    )
    held = HeldBlocks(store=store, clock=clock, metrics=metrics)
    peers = _build_peers(
        settings, ports, incarnation, configuration, keys, table, poison, held
    )
    bills = BillWriter(
        store=store,
        copier=PeerBillCopier(peers=peers),
        metrics=metrics,
        incarnation=incarnation,
        copy_after_seconds=settings.bill_copy_after_seconds,
        maximum_unrecorded=settings.maximum_unrecorded_bills,
    )
    claims = CompareAndSwapClaims(store=store, clock=clock)
    tickets = TicketClaims(keys=keys, clock=clock, incarnation=incarnation)
    limits = AccountLimits()
    checks = EntryChecks(
        configuration=configuration,
        keys=keys,
        limits=limits,
        poison=poison,
        clock=clock,
    )
    completion = Completion(
        bills=bills,
        claims=claims,
        tickets=tickets,
        keys=keys,
        clock=clock,
        metrics=metrics,
        incarnation=incarnation,
    )
    learner = QualityLearner()
    watch = HealthWatch(
        configuration=configuration,
        publisher=Publisher(store=store, clock=clock),
        background=background,
        metrics=metrics,
        instance=settings.instance,
        pulls=settings.pull_bad_versions,
    )
    runner = AttemptRunner(
        configuration=configuration,
        table=table,
        admission=admission,
        client=ports.client,
        budget=RetryBudget(share=settings.retry_share),
        ejector=Ejector(clock=clock),
        poison=poison,
        watch=watch,
        background=background,
        clock=clock,
        metrics=metrics,
        silence_seconds=settings.silence_seconds,
        seed=seed,
    )
    feed, escalation = _build_ratings(ports, learner, watch, runner, configuration)
    router = Router(
        checks=checks,
        table=table,
        runner=runner,
        claims=claims,
        tickets=tickets,
        learner=learner,
        watch=watch,
        escalation=escalation,
        feed=feed,
        completion=completion,
        clock=clock,
        metrics=metrics,
        tracer=ports.tracer,
        exploration_seed=seed,
    )
    return Core(
        incarnation=incarnation,
        metrics=metrics,
        store=store,
        keys=keys,
        configuration=configuration,
        live_state=live_state,
        table=table,
        admission=admission,
        limits=limits,
        discovery=discovery,
        background=background,
        bills=bills,
        poison=poison,
        held=held,
        peers=peers,
        learner=learner,
        watch=watch,
        feed=feed,
        router=router,
    )


def _build_peers(
    settings: Settings,
    ports: Ports,
    incarnation: str,
    configuration: ConfigurationInForce,
    keys: KeyRing,
    table: EndpointTable,
    poison: PoisonRegistry,
    held: HeldBlocks,
) -> Peers:
    """Return the daemon's side of its links."""
    own = Hello(
        instance=settings.instance,
        incarnation=incarnation,
        failure_domain=settings.failure_domain,
        peer_address="",
    )
    exchange = PeerConfiguration(
        configuration=configuration, keys=keys, table=table, metrics=ports.metrics
    )
    return Peers(
        own=own,
        configuration=configuration,
        exchange=exchange,
        poison=poison,
        table=table,
        held=held,
        clock=ports.clock,
        metrics=ports.metrics,
    )


def _build_ratings(
    ports: Ports,
    learner: QualityLearner,
    watch: HealthWatch,
    runner: AttemptRunner,
    configuration: ConfigurationInForce,
) -> tuple[RatingFeed | None, Escalation | None]:
    """Return what follows ratings and acts on them, if there is a rating service."""
    if ports.rater is None:
        return None, None
    feed = RatingFeed(
        rater=ports.rater, learner=learner, watch=watch, configuration=configuration
    )
    escalation = Escalation(
        rater=ports.rater,
        learner=learner,
        runner=runner,
        clock=ports.clock,
        metrics=ports.metrics,
    )
    return feed, escalation


def assemble(settings: Settings) -> Parts:
    """Build a daemon's parts with the real transport."""
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
    connections = Connections(connect_seconds=settings.connect_timeout_seconds)
    client = HttpEndpointClient(
        connections=connections,
        clock=clock,
        silence_seconds=settings.silence_seconds,
    )
    rater = None
    if settings.ratings_url:
        rater = HttpRatingService(url=settings.ratings_url, metrics=metrics)
    ports = Ports(
        store=store,
        instances=instances,
        client=client,
        loads=client,
        clock=clock,
        metrics=metrics,
        tracer=_build_tracer(settings),
        rater=rater,
    )
    core = build_core(
        settings,
        ports,
        incarnation=secrets.token_hex(INCARNATION_BYTES),
        seed=secrets.randbits(64),
    )
    fields = {
        field.name: getattr(core, field.name) for field in dataclasses.fields(Core)
    }
    return Parts(
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


def _build_callers(settings: Settings, core: Core, clock: Clock) -> CallerServer:
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
    settings: Settings, core: Core, clock: Clock
) -> PeerTransport | None:
    """Return the links' transport, or ``None`` where no certificate is given."""
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


def seed_neighbours(settings: Settings) -> tuple[Neighbour, ...]:
    """Return the peers that the settings name as ``instance@IP:port``."""
    found = []
    for text in settings.seed_peers:
        instance, _, address = text.partition("@")
        found.append(Neighbour(instance, "", address))
    return tuple(found)


def build_registration(
    parts: Parts, *, caller_port: int, operations_port: int, peer_address: str
) -> Registration:
    """Return the registration of a daemon whose ports are known."""
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

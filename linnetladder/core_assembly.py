"""Construct and connect a daemon's coordination objects.

`build_coordination_core` receives the implementations of coordination's abstract base
classes as `CoordinationPorts`; tests pass fakes.
"""

import dataclasses

from linnetladder.conf import Settings
from linnetladder.coordination import (
    AccountLimits,
    Admission,
    AttemptRunner,
    BackgroundTasks,
    BillWriter,
    CompareAndSwapClaims,
    Completion,
    ConfigurationInForce,
    Discovery,
    Ejector,
    EntryChecks,
    LiveState,
    PoisonRegistry,
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
from linnetladder.coordination.peers.configuration import ConfigurationExchange
from linnetladder.coordination.peers.links import Peers
from linnetladder.coordination.peers.messages import Hello
from linnetladder.coordination.platform import InstanceList, KeyValueService
from linnetladder.coordination.routing.endpoint_choice import CHOICES
from linnetladder.state import Clock, EndpointTable, KeyRing
from linnetladder.telemetry import Metrics, Tracer

__all__ = ["CoordinationCore", "CoordinationPorts", "build_coordination_core"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CoordinationPorts:
    """The implementations of coordination's abstract base classes."""

    store: KeyValueService
    instances: InstanceList
    client: EndpointClient
    loads: LoadSource
    clock: Clock
    metrics: Metrics
    tracer: Tracer
    rater: AnswerRater | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class CoordinationCore:
    """The coordination and state objects of one daemon."""

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
    background: BackgroundTasks
    bills: BillWriter
    poison: PoisonRegistry
    held_bill_blocks: HeldBlocks
    peers: Peers
    learner: QualityLearner
    watch: HealthWatch
    feed: RatingFeed | None
    router: Router


def build_coordination_core(
    settings: Settings, ports: CoordinationPorts, *, incarnation: str, seed: int
) -> CoordinationCore:
    """Construct the coordination objects without starting tasks or sending anything."""
    clock, metrics, store = ports.clock, ports.metrics, ports.store
    keys = KeyRing()
    table = EndpointTable()
    background = BackgroundTasks()
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
        list_interval_seconds=settings.list_poll_seconds,
        load_interval_seconds=settings.load_poll_seconds,
    )
    held_bill_blocks = HeldBlocks(store=store, clock=clock, metrics=metrics)
    peers = _build_peers(
        settings,
        ports,
        incarnation,
        configuration,
        keys,
        table,
        poison,
        held_bill_blocks,
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
    feed, escalation = _build_rating_components(
        ports, learner, watch, runner, configuration
    )
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
    return CoordinationCore(
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
        held_bill_blocks=held_bill_blocks,
        peers=peers,
        learner=learner,
        watch=watch,
        feed=feed,
        router=router,
    )


def _build_peers(
    settings: Settings,
    ports: CoordinationPorts,
    incarnation: str,
    configuration: ConfigurationInForce,
    keys: KeyRing,
    table: EndpointTable,
    poison: PoisonRegistry,
    held_bill_blocks: HeldBlocks,
) -> Peers:
    """Return the object that manages the links to peers."""
    own = Hello(
        instance=settings.instance,
        incarnation=incarnation,
        failure_domain=settings.failure_domain,
        peer_address="",
    )
    configuration_exchange = ConfigurationExchange(
        configuration=configuration, keys=keys, table=table, metrics=ports.metrics
    )
    return Peers(
        own=own,
        configuration=configuration,
        configuration_exchange=configuration_exchange,
        poison=poison,
        table=table,
        held_bill_blocks=held_bill_blocks,
        clock=ports.clock,
        metrics=ports.metrics,
    )


def _build_rating_components(
    ports: CoordinationPorts,
    learner: QualityLearner,
    watch: HealthWatch,
    runner: AttemptRunner,
    configuration: ConfigurationInForce,
) -> tuple[RatingFeed | None, Escalation | None]:
    """Return the rating feed and the escalation, both ``None`` without a rater."""
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

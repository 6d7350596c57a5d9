"""Composition of a forwarding daemon's coordination layer.

`build_forwarding_core` wires the components to the given implementations of the
operator's store and of the calls to endpoints; tests pass in fakes.
"""

import dataclasses

from linnetladder.coordination.attempts.ejection import Ejector
from linnetladder.coordination.background import BackgroundTasks
from linnetladder.forwarding.coordination import (
    Forwarder,
    StorePoller,
    TableInForce,
)
from linnetladder.forwarding.coordination.account_shares import AccountShares
from linnetladder.forwarding.coordination.admission import AdmissionControl
from linnetladder.forwarding.coordination.availability import EndpointAvailability
from linnetladder.forwarding.coordination.bill_flushing import BillFlusher
from linnetladder.forwarding.coordination.bill_replicas import BillReplicas
from linnetladder.forwarding.coordination.bills import BillBuffer
from linnetladder.forwarding.coordination.brittleness import Brittleness
from linnetladder.forwarding.coordination.budget import RetryBudget
from linnetladder.forwarding.coordination.calls import EndpointCalls
from linnetladder.forwarding.coordination.canary_analysis import CanaryAnalysis
from linnetladder.forwarding.coordination.crash_confirmation import CrashConfirmation
from linnetladder.forwarding.coordination.crash_records import CrashRecords
from linnetladder.forwarding.coordination.crash_trials import CrashTrials
from linnetladder.forwarding.coordination.directory import EndpointDirectory
from linnetladder.forwarding.coordination.endpoint_load import (
    EndpointLoads,
)
from linnetladder.forwarding.coordination.endpoint_paces import EndpointPaces
from linnetladder.forwarding.coordination.endpoint_pauses import EndpointPauses
from linnetladder.forwarding.coordination.escalation_gain import EscalationGain
from linnetladder.forwarding.coordination.evacuations import Evacuations
from linnetladder.forwarding.coordination.explaining import RouteExplainer
from linnetladder.forwarding.coordination.homes import Homes
from linnetladder.forwarding.coordination.load_admission import LoadAdmission
from linnetladder.forwarding.coordination.outcomes import Outcomes
from linnetladder.forwarding.coordination.peer_gossip import PeerGossip
from linnetladder.forwarding.coordination.peer_paths import PeerPaths
from linnetladder.forwarding.coordination.planned_stop import PlannedStop
from linnetladder.forwarding.coordination.poison import CrashLog
from linnetladder.forwarding.coordination.quarantine import Quarantine
from linnetladder.forwarding.coordination.read_groups import ReadGroups
from linnetladder.forwarding.coordination.relaying import RelayControl
from linnetladder.forwarding.coordination.request_limits import RequestLimits
from linnetladder.forwarding.coordination.rollouts import RolloutController
from linnetladder.forwarding.coordination.room import EndpointRoom
from linnetladder.forwarding.coordination.selection import Selection
from linnetladder.forwarding.coordination.sender import Sender
from linnetladder.forwarding.coordination.service_demand import ServiceDemand
from linnetladder.forwarding.coordination.shared_reads import SharedReads
from linnetladder.forwarding.coordination.shared_snapshots import SharedSnapshots
from linnetladder.forwarding.coordination.sizing import ConfidenceCascade
from linnetladder.forwarding.coordination.slot_reservations import SlotReservations
from linnetladder.forwarding.coordination.sources import (
    DaemonAddress,
    OperatorSource,
)
from linnetladder.forwarding.coordination.store_era import StoreEra
from linnetladder.forwarding.daemon_variables import (
    PolicySettings,
)
from linnetladder.forwarding.settings import SettingsHolder
from linnetladder.state import Clock, EndpointTable
from linnetladder.telemetry import Metrics

__all__ = ["ForwardingCore", "ForwardingPorts", "build_forwarding_core"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardingPorts:
    """Implementations of the interfaces that the coordination layer depends on."""

    source: OperatorSource
    era: StoreEra
    calls: EndpointCalls
    clock: Clock
    metrics: Metrics


@dataclasses.dataclass(slots=True, kw_only=True)
class ForwardingCore:
    """The coordination and state components of one daemon."""

    ports: ForwardingPorts
    table: EndpointTable
    loads: EndpointLoads
    outcomes: Outcomes
    crashes: CrashLog
    crash_records: CrashRecords
    trials: CrashTrials
    directory: EndpointDirectory
    budget: RetryBudget
    rollouts: RolloutController
    bills: BillBuffer
    bill_replicas: BillReplicas
    bill_flusher: BillFlusher
    snapshots: SharedSnapshots
    shared_reads: SharedReads
    peers: PeerGossip
    in_force: TableInForce
    poller: StorePoller
    background: BackgroundTasks
    quarantine: Quarantine
    limits: RequestLimits
    paces: EndpointPaces
    pauses: EndpointPauses
    reservations: SlotReservations
    evacuations: Evacuations
    paths: PeerPaths
    relay_control: RelayControl
    selection: Selection
    load_admission: LoadAdmission
    sender: Sender
    planned_stop: PlannedStop
    forwarder: Forwarder
    explainer: RouteExplainer


def build_forwarding_core(
    holder: SettingsHolder,
    policy: PolicySettings,
    ports: ForwardingPorts,
    *,
    incarnation: str,
    seed: int,
) -> ForwardingCore:
    """Wire the components together without starting tasks or opening connections."""
    settings = holder.current
    source, calls = ports.source, ports.calls
    clock, metrics = ports.clock, ports.metrics
    table = EndpointTable()
    loads = EndpointLoads(clock=clock)
    outcomes = Outcomes(clock=clock)
    crashes = CrashLog(clock=clock)
    crash_records = CrashRecords(source=source, crashes=crashes, clock=clock)
    directory = EndpointDirectory(table=table, loads=loads, clock=clock)
    budget = RetryBudget(settings=holder, clock=clock)
    in_force = TableInForce(settings=holder, clock=clock)
    paces = EndpointPaces(
        in_force=in_force,
        settings=holder,
        directory=directory,
        outcomes=outcomes,
        clock=clock,
        metrics=metrics,
    )
    limits = RequestLimits(
        instance=settings.instance,
        table=table,
        paces=paces,
        clock=clock,
        metrics=metrics,
    )
    pauses = EndpointPauses(
        instance=settings.instance, table=table, clock=clock, metrics=metrics
    )
    brittleness = Brittleness(table=table, clock=clock, metrics=metrics)
    room = EndpointRoom(in_force=in_force, loads=loads)
    evacuations = Evacuations(clock=clock)
    evacuations.on_return = paces.note_domain_returned
    demand = ServiceDemand(room=room, clock=clock)
    shares = AccountShares(demand=demand, clock=clock)
    rollouts = RolloutController(
        source=source,
        directory=directory,
        analysis=CanaryAnalysis(directory=directory, outcomes=outcomes),
        loads=loads,
        budget=budget,
        clock=clock,
        metrics=metrics,
        seed=seed,
    )
    bill_arguments = {
        "source": source,
        "incarnation": incarnation,
        "era": ports.era,
        "clock": clock,
        "metrics": metrics,
    }
    bills = BillBuffer(**bill_arguments)
    bill_replicas = BillReplicas(**bill_arguments)
    snapshots = SharedSnapshots(
        instance=settings.instance, incarnation=incarnation, clock=clock
    )
    peers = PeerGossip(
        instance=settings.instance,
        incarnation=incarnation,
        table=table,
        directory=directory,
        loads=loads,
        outcomes=outcomes,
        crashes=crashes,
        limits=limits,
        brittleness=brittleness,
        room=room,
        demand=demand,
        shares=shares,
        rollouts=rollouts,
        bills=bills,
        bill_replicas=bill_replicas,
        snapshots=snapshots,
        failure_domain=settings.failure_domain,
        clock=clock,
        metrics=metrics,
    )
    homes = Homes(settings=holder)
    paths = PeerPaths(peers=peers, homes=homes, clock=clock, metrics=metrics)
    own_address = DaemonAddress(
        instance=settings.instance,
        incarnation=incarnation,
        failure_domain=settings.failure_domain,
        host=settings.address,
        port=settings.peer_ports[0],
    )
    reservations = SlotReservations(
        own_address=own_address,
        brittleness=brittleness,
        limits=limits,
        table=table,
        loads=loads,
        room=room,
        peers=peers,
        clock=clock,
        metrics=metrics,
    )
    trials = CrashTrials(
        own_address=own_address,
        crashes=crashes,
        peers=peers,
        clock=clock,
        metrics=metrics,
    )
    loads.on_end = reservations.tell_arbiters
    availability = EndpointAvailability(
        limits=limits,
        pauses=pauses,
        evacuations=evacuations,
        brittleness=brittleness,
        reservations=reservations,
        paths=paths,
        clock=clock,
    )
    background = BackgroundTasks()
    read_groups = ReadGroups(
        instance=settings.instance,
        failure_domain=settings.failure_domain,
        peers=peers,
        clock=clock,
    )
    shared_reads = SharedReads(
        source=source,
        groups=read_groups,
        own_address=(settings.address, settings.peer_ports[0]),
        background=background,
        metrics=metrics,
    )
    poller = StorePoller(
        source=source,
        shared_reads=shared_reads,
        read_groups=read_groups,
        era=ports.era,
        in_force=in_force,
        directory=directory,
        rollouts=rollouts,
        peers=peers,
        snapshots=snapshots,
        budget=budget,
        limits=limits,
        crash_records=crash_records,
        evacuations=evacuations,
        address=own_address,
        clock=clock,
        metrics=metrics,
        seed=seed,
    )
    bill_flusher = BillFlusher(
        bills=bills,
        bill_replicas=bill_replicas,
        peers=peers,
        poller=poller,
        metrics=metrics,
        seed=seed,
    )
    ports.era.listeners += [
        bills.restart,
        bill_replicas.restart,
        bill_flusher.on_era,
    ]
    selection = Selection(
        directory=directory,
        loads=loads,
        outcomes=outcomes,
        availability=availability,
        room=room,
        homes=homes,
        clock=clock,
        own_domain=settings.failure_domain,
    )
    quarantine = Quarantine(
        table=table, calls=calls, background=background, clock=clock, metrics=metrics
    )
    quarantine.on_return = paces.note_returned
    planned_stop = PlannedStop(clock=clock)
    sender = Sender(
        calls=calls,
        selection=selection,
        directory=directory,
        loads=loads,
        outcomes=outcomes,
        rollouts=rollouts,
        budget=budget,
        crashes=crashes,
        trials=trials,
        ejector=Ejector(clock=clock),
        quarantine=quarantine,
        confirmation=CrashConfirmation(calls=calls, paths=paths, clock=clock),
        availability=availability,
        planned_stop=planned_stop,
        clock=clock,
        metrics=metrics,
    )
    relay_control = RelayControl(
        calls=calls,
        table=table,
        directory=directory,
        availability=availability,
        metrics=metrics,
    )
    load_admission = LoadAdmission(
        selection=selection,
        loads=loads,
        room=room,
        demand=demand,
        shares=shares,
        clock=clock,
        metrics=metrics,
    )
    forwarder = Forwarder(
        admission=AdmissionControl(in_force=in_force, budget=budget, crashes=crashes),
        load_admission=load_admission,
        in_force=in_force,
        sender=sender,
        sizing=ConfidenceCascade(
            loads=loads,
            policy=policy,
            gain=EscalationGain(loads=loads, policy=policy),
        ),
        budget=budget,
        bills=bills,
        bill_flusher=bill_flusher,
        clock=clock,
        metrics=metrics,
    )
    return ForwardingCore(
        ports=ports,
        table=table,
        loads=loads,
        outcomes=outcomes,
        crashes=crashes,
        crash_records=crash_records,
        trials=trials,
        directory=directory,
        budget=budget,
        rollouts=rollouts,
        bills=bills,
        bill_replicas=bill_replicas,
        bill_flusher=bill_flusher,
        snapshots=snapshots,
        shared_reads=shared_reads,
        peers=peers,
        in_force=in_force,
        poller=poller,
        background=background,
        quarantine=quarantine,
        limits=limits,
        paces=paces,
        pauses=pauses,
        reservations=reservations,
        evacuations=evacuations,
        paths=paths,
        relay_control=relay_control,
        selection=selection,
        load_admission=load_admission,
        sender=sender,
        planned_stop=planned_stop,
        forwarder=forwarder,
        explainer=RouteExplainer(
            instance=settings.instance, forwarder=forwarder, clock=clock
        ),
    )

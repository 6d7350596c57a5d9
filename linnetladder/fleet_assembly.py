"""How the parts of a forwarding daemon are put together on the users' platform."""

import dataclasses
import secrets

from linnetladder.coordination.attempts.ejection import Ejector
from linnetladder.coordination.background import Background
from linnetladder.forwarding.coordination import (
    Follower,
    Forwarder,
    TableInForce,
)
from linnetladder.forwarding.coordination.bills import (
    BillBuffer,
    HeldBills,
)
from linnetladder.forwarding.coordination.budget import WindowBudget
from linnetladder.forwarding.coordination.directory import Directory
from linnetladder.forwarding.coordination.endpoint_load import (
    EndpointLoads,
)
from linnetladder.forwarding.coordination.entry import Entry
from linnetladder.forwarding.coordination.judgement import Judge
from linnetladder.forwarding.coordination.outcomes import Outcomes
from linnetladder.forwarding.coordination.peer_news import PeerNews
from linnetladder.forwarding.coordination.poison import CrashLog
from linnetladder.forwarding.coordination.quarantine import Quarantine
from linnetladder.forwarding.coordination.rollouts import Rollouts
from linnetladder.forwarding.coordination.selection import Selection
from linnetladder.forwarding.coordination.sender import Sender
from linnetladder.forwarding.coordination.sizing import ConfidenceLadder
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.daemon_variables import (
    PolicySettings,
)
from linnetladder.forwarding.settings import SettingsHolder
from linnetladder.forwarding.transport import (
    ForwardingServer,
    HttpEndpointCalls,
    NewsSocket,
)
from linnetladder.platform import (
    PlatformCallers,
    PlatformEndpoints,
    PlatformSource,
    PlatformStore,
)
from linnetladder.state import BootClock, EndpointTable
from linnetladder.telemetry import (
    Metrics,
)

__all__ = ["FleetParts", "assemble_fleet"]


@dataclasses.dataclass(slots=True, kw_only=True)
class FleetParts:
    """The long-lived objects of one daemon."""

    metrics: Metrics
    store: PlatformStore
    source: PlatformSource
    directory: Directory
    in_force: TableInForce
    follower: Follower
    peers: PeerNews
    bills: BillBuffer
    held_bills: HeldBills
    background: Background
    calls: HttpEndpointCalls
    callers: ForwardingServer
    news_socket: NewsSocket


def assemble_fleet(holder: SettingsHolder, policy: PolicySettings) -> FleetParts:
    """Join the parts; nothing is sent yet."""
    settings = holder.current
    clock, metrics = BootClock(), Metrics()
    incarnation = secrets.token_hex(8)
    seed = secrets.randbits(64)
    store = PlatformStore(address=settings.store_address, clock=clock, metrics=metrics)
    source = PlatformSource(store=store, metrics=metrics)
    table = EndpointTable()
    loads = EndpointLoads(clock=clock)
    outcomes = Outcomes(clock=clock)
    crashes = CrashLog(clock=clock)
    directory = Directory(table=table, loads=loads, clock=clock)
    budget = WindowBudget(settings=holder, clock=clock)
    rollouts = Rollouts(
        source=source,
        directory=directory,
        judge=Judge(directory=directory, outcomes=outcomes),
        loads=loads,
        budget=budget,
        clock=clock,
        metrics=metrics,
        seed=seed,
    )
    ledger = {
        "source": source,
        "incarnation": incarnation,
        "clock": clock,
        "metrics": metrics,
    }
    bills = BillBuffer(**ledger)
    held_bills = HeldBills(**ledger)
    peers = PeerNews(
        instance=settings.instance,
        incarnation=incarnation,
        table=table,
        loads=loads,
        outcomes=outcomes,
        crashes=crashes,
        rollouts=rollouts,
        bills=bills,
        held_bills=held_bills,
        failure_domain=settings.failure_domain,
        metrics=metrics,
        seed=seed,
    )
    in_force = TableInForce(settings=holder, clock=clock)
    follower = Follower(
        source=source,
        in_force=in_force,
        directory=directory,
        rollouts=rollouts,
        peers=peers,
        budget=budget,
        address=DaemonAddress(
            instance=settings.instance,
            incarnation=incarnation,
            failure_domain=settings.failure_domain,
            host=settings.address,
            port=settings.peer_ports[0],
        ),
        clock=clock,
        metrics=metrics,
        seed=seed,
    )
    background = Background()
    calls = HttpEndpointCalls(dialect=PlatformEndpoints())
    sender = Sender(
        calls=calls,
        selection=Selection(
            directory=directory,
            loads=loads,
            outcomes=outcomes,
            clock=clock,
            own_domain=settings.failure_domain,
        ),
        directory=directory,
        loads=loads,
        outcomes=outcomes,
        rollouts=rollouts,
        budget=budget,
        crashes=crashes,
        ejector=Ejector(clock=clock),
        quarantine=Quarantine(
            calls=calls,
            background=background,
            clock=clock,
            metrics=metrics,
        ),
        clock=clock,
        metrics=metrics,
    )
    forwarder = Forwarder(
        entry=Entry(in_force=in_force, budget=budget, crashes=crashes),
        in_force=in_force,
        sender=sender,
        sizing=ConfidenceLadder(loads=loads, policy=policy),
        budget=budget,
        bills=bills,
        clock=clock,
        metrics=metrics,
    )
    callers = ForwardingServer(
        forwarder=forwarder,
        in_force=in_force,
        dialect=PlatformCallers(),
        clock=clock,
        metrics=metrics,
    )
    news_socket = NewsSocket(news=peers, metrics=metrics)
    bills.on_bill = news_socket.send_bill
    return FleetParts(
        metrics=metrics,
        store=store,
        source=source,
        directory=directory,
        in_force=in_force,
        follower=follower,
        peers=peers,
        bills=bills,
        held_bills=held_bills,
        background=background,
        calls=calls,
        callers=callers,
        news_socket=news_socket,
    )

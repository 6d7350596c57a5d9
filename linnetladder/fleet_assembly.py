"""Construct and connect the objects of a forwarding daemon on the platform."""

import dataclasses
import secrets

from linnetladder.forwarding.coordination.caller_buffers import CallerBuffers
from linnetladder.forwarding.coordination.shared_secret import SharedSecret
from linnetladder.forwarding.coordination.store_era import StoreEra
from linnetladder.forwarding.core import (
    ForwardingCore,
    ForwardingPorts,
    build_forwarding_core,
)
from linnetladder.forwarding.daemon_variables import (
    CallerSettings,
    PeerSettings,
    PolicySettings,
)
from linnetladder.forwarding.settings import SettingsHolder
from linnetladder.forwarding.transport import (
    ForwardingServer,
    HttpEndpointCalls,
    PeerSocket,
    RelayServer,
)
from linnetladder.platform import (
    PlatformCallerCodec,
    PlatformEndpointCodec,
    PlatformSource,
    PlatformStore,
)
from linnetladder.state import BootClock
from linnetladder.telemetry import Metrics

__all__ = ["FleetDaemonParts", "assemble_fleet_daemon"]

INCARNATION_BYTES = 8


@dataclasses.dataclass(slots=True, kw_only=True)
class FleetDaemonParts(ForwardingCore):
    """The long-lived objects of one forwarding daemon."""

    metrics: Metrics
    store: PlatformStore
    source: PlatformSource
    calls: HttpEndpointCalls
    callers: ForwardingServer
    peer_socket: PeerSocket
    relay_server: RelayServer
    shared_secret: SharedSecret


def assemble_fleet_daemon(
    settings_holder: SettingsHolder,
    policy_settings: PolicySettings,
    peer_settings: PeerSettings,
    caller_settings: CallerSettings,
) -> FleetDaemonParts:
    """Connect the forwarding core to the platform's store and to network sockets."""
    clock, metrics = BootClock(), Metrics()
    era = StoreEra(metrics=metrics)
    store = PlatformStore(
        address=settings_holder.current.store_address,
        era=era,
        clock=clock,
        metrics=metrics,
    )
    store.late_after = settings_holder.bounds.configuration
    source = PlatformSource(store=store, metrics=metrics)
    calls = HttpEndpointCalls(codec=PlatformEndpointCodec(), metrics=metrics)
    core = build_forwarding_core(
        settings_holder,
        policy_settings,
        ForwardingPorts(
            source=source, era=era, calls=calls, clock=clock, metrics=metrics
        ),
        incarnation=secrets.token_hex(INCARNATION_BYTES),
        seed=secrets.randbits(64),
    )
    callers = ForwardingServer(
        forwarder=core.forwarder,
        in_force=core.in_force,
        codec=PlatformCallerCodec(),
        buffers=CallerBuffers(settings=caller_settings, clock=clock, metrics=metrics),
        clock=clock,
        metrics=metrics,
    )
    peer_socket = PeerSocket(
        gossip=core.peers,
        metrics=metrics,
        settings=peer_settings,
        shared_reads=core.shared_reads,
        reservations=core.reservations,
        trials=core.trials,
    )
    shared_secret = SharedSecret(source=source, era=era, seed=secrets.randbits(64))
    relay_server = RelayServer(control=core.relay_control, peer_socket=peer_socket)

    def use_secret(secret: bytes) -> None:
        peer_socket.use_secret(secret)
        calls.relay_secret = secret

    shared_secret.on_change = use_secret
    core.poller.regained_listeners.append(shared_secret.on_store_regained)
    core.bills.on_bill = peer_socket.send_bill
    core.bill_replicas.on_copy = peer_socket.send_copies_of
    core.poller.on_read = peer_socket.send_soon
    core.crashes.on_crash = peer_socket.send_soon
    core.directory.on_leaving = peer_socket.send_soon
    core.rollouts.on_bad_target = peer_socket.send_soon
    core.peers.on_news = peer_socket.send_soon
    core.loads.on_long_prompt = peer_socket.send_loads_soon
    core.limits.on_change = peer_socket.send_soon
    core.paces.on_change = peer_socket.send_soon
    fields = {
        field.name: getattr(core, field.name)
        for field in dataclasses.fields(ForwardingCore)
    }
    return FleetDaemonParts(
        **fields,
        metrics=metrics,
        store=store,
        source=source,
        calls=calls,
        callers=callers,
        peer_socket=peer_socket,
        relay_server=relay_server,
        shared_secret=shared_secret,
    )

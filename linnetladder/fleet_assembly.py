"""Construct and connect the objects of a forwarding daemon on the platform."""

import dataclasses
import resource
import secrets

from linnetladder.forwarding.coordination.caller_buffers import CallerBuffers
from linnetladder.forwarding.coordination.memory_account import (
    MemoryAccount,
    memory_capacity,
)
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
from linnetladder.forwarding.settings import FleetSettings, SettingsHolder
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

__all__ = ["FleetDaemonParts", "apply_resources", "assemble_fleet_daemon"]

INCARNATION_BYTES = 8
# Descriptors that are kept for files, and the largest share of them.
FILE_DESCRIPTORS = 200
FILE_DESCRIPTORS_SHARE = 0.25
# Shares of the sockets for the connections of peers, and for each port for operators.
# What is left, with that of callers, is for endpoints, the store and peers.
PEER_CONNECTION_SHARE = 0.05
OPERATOR_CONNECTION_SHARE = 0.02
MINIMUM_CONNECTIONS = 16
# What a connection may hold beside bodies, which is mostly its head, and the share of
# what the daemon may hold for others that these take at most.
CONNECTION_BYTES = 24 * 1024
CONNECTIONS_MEMORY_SHARE = 0.5


@dataclasses.dataclass(slots=True, kw_only=True)
class FleetDaemonParts(ForwardingCore):
    """The long-lived objects of one forwarding daemon.

    ``operator_connections`` is the number that each port for operators accepts.
    """

    metrics: Metrics
    operator_connections: int
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
    memory = MemoryAccount(
        capacity=_memory_capacity(settings_holder.current, caller_settings),
        metrics=metrics,
    )
    settings = settings_holder.current
    sockets = _count_sockets(settings.descriptors)
    callers = ForwardingServer(
        forwarder=core.forwarder,
        in_force=core.in_force,
        codec=PlatformCallerCodec(),
        buffers=CallerBuffers(
            settings=caller_settings, memory=memory, clock=clock, metrics=metrics
        ),
        memory=memory,
        maximum_connections=_count_caller_connections(settings, caller_settings),
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
    relay_server = RelayServer(
        control=core.relay_control,
        peer_socket=peer_socket,
        memory=memory,
        maximum_connections=_share_of(sockets, PEER_CONNECTION_SHARE),
        limits=core.in_force.limits,
    )

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
        operator_connections=_share_of(sockets, OPERATOR_CONNECTION_SHARE),
        store=store,
        source=source,
        calls=calls,
        callers=callers,
        peer_socket=peer_socket,
        relay_server=relay_server,
        shared_secret=shared_secret,
    )


def apply_resources(
    parts: FleetDaemonParts, settings: FleetSettings, caller_settings: CallerSettings
) -> None:
    """Bound what callers may hold by the instance's resources, which have changed."""
    parts.callers.memory.capacity = _memory_capacity(settings, caller_settings)
    parts.callers.server.maximum_connections = _count_caller_connections(
        settings, caller_settings
    )


def _memory_capacity(settings: FleetSettings, caller_settings: CallerSettings) -> int:
    return memory_capacity(
        memory_megabytes=settings.memory_megabytes, share=caller_settings.memory_share
    )


def _count_caller_connections(
    settings: FleetSettings, caller_settings: CallerSettings
) -> int:
    """Return the connections of callers, for which there are sockets and memory."""
    sockets = _count_sockets(settings.descriptors)
    memory = _memory_capacity(settings, caller_settings) * CONNECTIONS_MEMORY_SHARE
    return min(
        _share_of(sockets, caller_settings.connection_share),
        int(memory // CONNECTION_BYTES),
    )


def _count_sockets(descriptors: int) -> int:
    """Return the sockets that the process may open, by its settings and the system."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed != resource.RLIM_INFINITY:
        descriptors = min(descriptors, allowed)
    files = min(FILE_DESCRIPTORS, int(descriptors * FILE_DESCRIPTORS_SHARE))
    return descriptors - files


def _share_of(sockets: int, share: float) -> int:
    """Return the connections that a port accepts."""
    return max(int(sockets * share), MINIMUM_CONNECTIONS)

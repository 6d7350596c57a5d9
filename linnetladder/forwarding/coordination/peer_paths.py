"""Peers through which endpoints are reached that this daemon can't reach itself.

A daemon may be cut off from endpoints while its callers and its peers reach it. It
still decides everything about its requests; a peer only passes a call on.
"""

import dataclasses
import math

import xxhash

from linnetladder.forwarding.coordination.homes import Homes
from linnetladder.forwarding.coordination.peer_gossip import PeerGossip
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.state import Clock, Endpoint
from linnetladder.telemetry import Metrics, log_change

__all__ = ["PeerPaths"]

# A peer that did not answer, or that reaches no endpoint of a service itself.
PEER_EXPIRY_SECONDS = 2.0
# An endpoint that a peer couldn't reach either.
ENDPOINT_EXPIRY_SECONDS = 1.0
# An endpoint that so many peers couldn't reach is taken for down. Some of them may be
# cut off like this daemon.
PEERS_PER_ENDPOINT = 3
# The use of peers is logged again after a pause of this length.
LOG_INTERVAL_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerFailure:
    """A peer that passed nothing on, with its incarnation if that was known."""

    failed_at: float
    incarnation: str | None


class PeerPaths:
    """Chooses peers, and remembers what failed lately.

    ``failed_peers`` holds the peers that passed nothing on, and ``failed_endpoints``
    for each endpoint the peers that couldn't reach it, with the times.
    """

    def __init__(
        self, *, peers: PeerGossip, homes: Homes, clock: Clock, metrics: Metrics
    ):
        self.peers = peers
        self.homes = homes
        self.clock = clock
        self.metrics = metrics
        self.failed_peers: dict[str, PeerFailure] = {}
        self.failed_endpoints: dict[tuple[str, str], dict[str, float]] = {}
        self.used_at = -math.inf

    def may_reach(
        self, endpoint: Endpoint, *, homes: frozenset[str] | None = None
    ) -> bool:
        """Return whether a peer may reach an endpoint that this daemon can't.

        ``homes`` are those of the request that is to be passed on.
        """
        failed = self._peers_without(endpoint)
        if len(failed) >= PEERS_PER_ENDPOINT:
            return False
        return any(
            self._is_usable(peer)
            and peer.instance not in failed
            and self.homes.allow_peer(homes, peer)
            for peer in self.peers.peers
        )

    def choose(
        self, key: str, endpoint: Endpoint, *, homes: frozenset[str] | None = None
    ) -> DaemonAddress | None:
        """Return a peer that may reach an endpoint, or ``None``.

        Requests with different keys go through different peers. ``homes`` are those of
        the request that is to be passed on; a probe has none.
        """
        failed = self._peers_without(endpoint)
        return max(
            (
                peer
                for peer in self.peers.peers
                if self._is_usable(peer)
                and peer.instance not in failed
                and self.homes.allow_peer(homes, peer)
            ),
            key=lambda peer: xxhash.xxh32_intdigest(f"{key}\0{peer.instance}".encode()),
            default=None,
        )

    def note_used(self, peer: DaemonAddress, endpoint: Endpoint) -> None:
        """Count a call that goes through a peer."""
        self.metrics.count("relayed_calls", label="sent")
        now = self.clock.monotonic()
        if now - self.used_at >= LOG_INTERVAL_SECONDS:
            log_change(
                "endpoints reached through peers",
                endpoint=endpoint.name,
                peer=peer.instance,
            )
        self.used_at = now

    def peer_failed(self, peer: DaemonAddress) -> None:
        """Record that a peer did not pass a call on."""
        self._forget_expired()
        self.failed_peers[peer.instance] = PeerFailure(
            self.clock.monotonic(), self._incarnation_of(peer)
        )

    def endpoint_failed(self, peer: DaemonAddress, endpoint: Endpoint) -> None:
        """Record that a peer could not reach an endpoint."""
        self._forget_expired()
        key = (endpoint.name, endpoint.incarnation)
        failures = self.failed_endpoints.setdefault(key, {})
        failures[peer.instance] = self.clock.monotonic()

    def _peers_without(self, endpoint: Endpoint) -> set[str]:
        """Return the peers that lately couldn't reach an endpoint."""
        key = (endpoint.name, endpoint.incarnation)
        since = self.clock.monotonic() - ENDPOINT_EXPIRY_SECONDS
        failures = self.failed_endpoints.get(key, {})
        return {peer for peer, failed_at in failures.items() if failed_at > since}

    def _is_usable(self, peer: DaemonAddress) -> bool:
        failure = self.failed_peers.get(peer.instance)
        if failure is not None and self._still_counts(failure, peer):
            return False
        status = self.peers.peer_status.get(peer.instance)
        return status is None or not status.draining

    def _still_counts(self, failure: PeerFailure, peer: DaemonAddress) -> bool:
        """Return whether a failure is recent and the peer has not started again."""
        if self.clock.monotonic() - failure.failed_at >= PEER_EXPIRY_SECONDS:
            return False
        return self._incarnation_of(peer) == failure.incarnation

    def _incarnation_of(self, peer: DaemonAddress) -> str | None:
        status = self.peers.peer_status.get(peer.instance)
        return status.incarnation if status is not None else None

    def _forget_expired(self) -> None:
        now = self.clock.monotonic()
        for instance, failure in list(self.failed_peers.items()):
            if now - failure.failed_at >= PEER_EXPIRY_SECONDS:
                del self.failed_peers[instance]
        for key, failures in list(self.failed_endpoints.items()):
            if now - max(failures.values()) >= ENDPOINT_EXPIRY_SECONDS:
                del self.failed_endpoints[key]

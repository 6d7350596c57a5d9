"""Links to other daemons: choosing peers and processing their messages.

Each daemon links to a few others in its own failure domain and in every other one, so
the cost per daemon does not grow with the fleet. A daemon forwards crashes and
departures that are new to it to all its peers. No correctness guarantee depends on a
peer's clock or on a peer being silent.
"""

import abc
import asyncio
import dataclasses
import random
from collections.abc import Iterable

import xxhash

from linnetladder.coordination.attempts.poison import PoisonRegistry
from linnetladder.coordination.billing.held_blocks import HeldBlocks
from linnetladder.coordination.configuration.in_force import ConfigurationInForce
from linnetladder.coordination.peers.configuration import ConfigurationExchange
from linnetladder.coordination.peers.messages import (
    PROTOCOL_VERSION,
    BillCopy,
    BillHeld,
    BillRecorded,
    Departure,
    Facts,
    Heartbeat,
    Hello,
    ManifestReply,
    ManifestRequest,
    Neighbour,
    PartsReply,
    PartsRequest,
    PeerMessage,
)
from linnetladder.state import Clock, EndpointTable
from linnetladder.telemetry import Metrics, log_change

__all__ = ["Link", "Peers", "choose_neighbours"]

HEARTBEAT_INTERVAL_SECONDS = 4.0
FACTS_INTERVAL_SECONDS = 0.25
SILENCE_TIMEOUT_SECONDS = 13.0
OWN_DOMAIN_LINKS = 2
OTHER_DOMAIN_LINKS = 1
MAXIMUM_KNOWN_PEERS = 1024
MAXIMUM_HEARTBEAT_NEIGHBOURS = 2


class Link(abc.ABC):
    """A stream to one peer whose `Hello` was received.

    ``is_responsive`` is false from an unanswered request until the next heartbeat.
    ``last_heard_at`` is the monotonic time of the last heartbeat, or of the link's
    creation before the first one.
    """

    def __init__(self, *, hello: Hello, dialer: str, now: float):
        self.hello = hello
        self.dialer = dialer
        self.last_heartbeat: Heartbeat | None = None
        self.last_heard_at = now
        self.is_responsive = True

    @abc.abstractmethod
    def send(self, message: PeerMessage) -> None:
        """Queue a message; the link to a peer that does not keep up is closed."""

    @abc.abstractmethod
    def close(self, reason: str) -> None:
        """Close the link, with a reason for the log."""


def choose_neighbours(
    own: Hello, known_peers: Iterable[Neighbour]
) -> tuple[Neighbour, ...]:
    """Return the daemons to link to: a few from each failure domain.

    They are chosen by rendezvous hashing, so few links change when daemons join or
    leave, and no daemon is chosen by all others.
    """
    by_domain: dict[str, list[Neighbour]] = {}
    for neighbour in known_peers:
        if neighbour.instance != own.instance:
            by_domain.setdefault(neighbour.failure_domain, []).append(neighbour)
    chosen: list[Neighbour] = []
    for domain, members in sorted(by_domain.items()):
        limit = OTHER_DOMAIN_LINKS
        if domain == own.failure_domain:
            limit = OWN_DOMAIN_LINKS
        members.sort(key=lambda member: _rank(own.instance, member.instance))
        chosen.extend(members[:limit])
    return tuple(chosen)


def _rank(own: str, other: str) -> int:
    return xxhash.xxh64_intdigest(f"{own}\0{other}".encode())


class Peers:
    """Manage the links, exchange heartbeats and forward crashes and departures."""

    def __init__(
        self,
        *,
        own: Hello,
        configuration: ConfigurationInForce,
        configuration_exchange: ConfigurationExchange,
        poison: PoisonRegistry,
        table: EndpointTable,
        held_bill_blocks: HeldBlocks,
        clock: Clock,
        metrics: Metrics,
    ):
        self.own = own
        self.configuration = configuration
        self.configuration_exchange = configuration_exchange
        self.poison = poison
        self.table = table
        self.held_bill_blocks = held_bill_blocks
        self.clock = clock
        self.metrics = metrics
        self.links: dict[str, Link] = {}
        self.known_peers: dict[str, Neighbour] = {}
        self.draining = False
        self.sent_facts: set[object] = set()
        self.sent_change_counts: tuple[int, int] | None = None
        self.pending_copy_acknowledgements: dict[tuple[str, int], asyncio.Future] = {}

    def add_known_peers(self, neighbours: Iterable[Neighbour]) -> None:
        """Add daemons, as listed by the platform or by peers, to `known_peers`."""
        for neighbour in neighbours:
            if neighbour.peer_address and neighbour.instance != self.own.instance:
                self.known_peers[neighbour.instance] = neighbour
        while len(self.known_peers) > MAXIMUM_KNOWN_PEERS:
            del self.known_peers[next(iter(self.known_peers))]

    def peers_to_dial(self) -> tuple[Neighbour, ...]:
        """Return the chosen daemons that are not linked yet."""
        chosen = choose_neighbours(self.own, self.known_peers.values())
        return tuple(n for n in chosen if n.instance not in self.links)

    def opened(self, link: Link) -> bool:
        """Register a link whose `Hello` was received; return whether it is accepted."""
        hello = link.hello
        if hello.protocol != PROTOCOL_VERSION:
            self._reject(link, "protocol")
            return False
        if hello.instance == self.own.instance:
            self._reject(link, "same_instance")
            return False
        existing_link = self.links.get(hello.instance)
        if existing_link is not None and not self._replaces(link, existing_link):
            link.close("duplicate link")
            return False
        if existing_link is not None:
            existing_link.close("replaced by a newer link")
        self.links[hello.instance] = link
        self.add_known_peers(
            (Neighbour(hello.instance, hello.failure_domain, hello.peer_address),)
        )
        log_change("peer linked", peer=hello.instance)
        link.send(self._heartbeat(link))
        facts = self._all_facts()
        if facts.crashes or facts.departures:
            link.send(facts)
        return True

    def _replaces(self, link: Link, existing_link: Link) -> bool:
        """Return whether a new link to a peer replaces the existing one.

        Both ends come to the same decision.
        """
        if existing_link.hello.incarnation != link.hello.incarnation:
            return True
        if existing_link.dialer == link.dialer:
            return True
        return link.dialer == min(self.own.instance, link.hello.instance)

    def closed(self, link: Link) -> None:
        """Remove a link that has ended."""
        if self.links.get(link.hello.instance) is link:
            del self.links[link.hello.instance]
            log_change("peer unlinked", peer=link.hello.instance)

    async def received(self, link: Link, message: PeerMessage) -> None:
        """Process one message."""
        match message:
            case Heartbeat():
                self._handle_heartbeat(link, message)
            case BillCopy(block) if self.held_bill_blocks.has_capacity():
                self.held_bill_blocks.hold(block)
                link.send(BillHeld(block.incarnation, block.sequence))
            case BillHeld(incarnation, sequence):
                self._acknowledge_copy(link, incarnation, sequence)
            case BillRecorded(incarnation, sequence):
                self.held_bill_blocks.drop(incarnation, sequence)
            case Facts():
                self._handle_facts(link, message)
            case ManifestRequest():
                link.send(self.configuration_exchange.build_manifest_reply())
            case ManifestReply():
                request = self.configuration_exchange.handle_manifest(message)
                if request is not None:
                    link.send(request)
            case PartsRequest():
                link.send(self.configuration_exchange.build_parts_reply(message))
            case PartsReply():
                if self.configuration_exchange.handle_parts(message):
                    self.send_heartbeats()
            case Hello():
                link.close("unexpected second hello")

    async def run(self) -> None:
        """Send heartbeats, and new facts as they appear, until cancelled."""
        next_heartbeat = self.clock.monotonic()
        while True:
            now = self.clock.monotonic()
            if now >= next_heartbeat:
                next_heartbeat = now + HEARTBEAT_INTERVAL_SECONDS
                self._close_silent_links()
                self.send_heartbeats()
            self._send_new_facts()
            await asyncio.sleep(FACTS_INTERVAL_SECONDS)

    def _close_silent_links(self) -> None:
        """Close links without recent heartbeats, so that new ones are opened."""
        limit = self.clock.monotonic() - SILENCE_TIMEOUT_SECONDS
        for link in tuple(self.links.values()):
            if link.last_heard_at < limit:
                link.close("silent")
                self.closed(link)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to every peer."""
        for link in tuple(self.links.values()):
            link.send(self._heartbeat(link))

    def _send_new_facts(self) -> None:
        """Send every peer the facts that have not been sent yet."""
        new_facts = self._new_facts()
        if new_facts.crashes or new_facts.departures:
            for link in tuple(self.links.values()):
                link.send(new_facts)

    def in_force(self) -> dict[str, int]:
        """Return the revision in each linked peer's last heartbeat."""
        return {
            instance: link.last_heartbeat.revision
            for instance, link in self.links.items()
            if link.last_heartbeat is not None
        }

    def _heartbeat(self, link: Link) -> Heartbeat:
        snapshot = self.configuration.snapshot
        named_peers = random.sample(
            tuple(self.known_peers.values()),
            min(len(self.known_peers), MAXIMUM_HEARTBEAT_NEIGHBOURS),
        )
        return Heartbeat(
            revision=self.configuration.revision,
            checkpoint_id=snapshot.manifest.checkpoint_id if snapshot else "",
            confirmed_age_seconds=self.configuration.age(),
            sent_at=self.clock.monotonic(),
            echo=link.last_heartbeat.sent_at if link.last_heartbeat else 0.0,
            draining=self.draining,
            neighbours=tuple(named_peers),
        )

    def _handle_heartbeat(self, link: Link, heartbeat: Heartbeat) -> None:
        link.last_heartbeat = heartbeat
        link.is_responsive = True
        link.last_heard_at = self.clock.monotonic()
        self.add_known_peers(heartbeat.neighbours)
        if heartbeat.revision > self.configuration.revision:
            link.send(ManifestRequest())
            return
        if self.configuration_exchange.needs_bootstrap():
            link.send(ManifestRequest())
        if heartbeat.echo:
            confirmed_at = heartbeat.echo - heartbeat.confirmed_age_seconds
            self.configuration.confirm_by_peer(
                revision=heartbeat.revision,
                checkpoint_id=heartbeat.checkpoint_id,
                when=confirmed_at,
            )

    def _handle_facts(self, link: Link, facts: Facts) -> None:
        """Record facts that are new here and forward them to all other peers."""
        crashes = tuple(c for c in facts.crashes if self.poison.add_crash(c))
        departures = tuple(
            d
            for d in facts.departures
            if (d.endpoint, d.incarnation) not in self.table.departed
        )
        for departure in departures:
            self.table.mark_leaving(departure.endpoint, departure.incarnation)
        self.sent_facts.update(crashes)
        self.sent_facts.update(departures)
        new_facts = Facts(crashes, departures)
        if not (crashes or departures):
            return
        for other in tuple(self.links.values()):
            if other is not link:
                other.send(new_facts)

    def _all_facts(self) -> Facts:
        departures = tuple(Departure(*entry) for entry in self.table.departed)
        return Facts(tuple(self.poison.crashes()), departures)

    def _new_facts(self) -> Facts:
        """Return the facts that have not been sent to all peers yet."""
        change_counts = (self.poison.changes, self.table.departures)
        if change_counts == self.sent_change_counts:
            return Facts()
        self.sent_change_counts = change_counts
        facts = self._all_facts()
        crashes = tuple(c for c in facts.crashes if c not in self.sent_facts)
        departures = tuple(d for d in facts.departures if d not in self.sent_facts)
        self.sent_facts = {*facts.crashes, *facts.departures}
        return Facts(crashes, departures)

    def _acknowledge_copy(self, link: Link, incarnation: str, sequence: int) -> None:
        key = (link.hello.instance, incarnation, sequence)
        acknowledgement = self.pending_copy_acknowledgements.pop(key, None)
        if acknowledgement is not None and not acknowledgement.done():
            acknowledgement.set_result(None)

    def _reject(self, link: Link, reason: str) -> None:
        self.metrics.count("rejected_peers", label=reason)
        link.close(reason)


def describe_links(peers: Peers) -> list[dict[str, object]]:
    """Return the links for the status document."""
    now = peers.clock.monotonic()
    return [
        {
            **dataclasses.asdict(link.hello),
            "heard_seconds_ago": round(now - link.last_heard_at, 3)
            if link.last_heartbeat
            else None,
            "revision": link.last_heartbeat.revision if link.last_heartbeat else 0,
        }
        for link in peers.links.values()
    ]

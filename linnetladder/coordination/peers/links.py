"""Links to other daemons: who is linked, and what is passed between them.

Each daemon links to a few others, in its own failure domain and in every other one,
so its cost does not grow with the fleet. Facts are passed on by everyone who did not
know them. Nothing that must be right rests on a peer's clock or on its silence.
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
from linnetladder.coordination.peers.configuration import PeerConfiguration
from linnetladder.coordination.peers.messages import (
    PROTOCOL,
    BillCopy,
    BillHeld,
    BillStands,
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

HEARTBEAT_SECONDS = 4.0
NEWS_SECONDS = 0.25
SILENT_SECONDS = 13.0
OWN_DOMAIN_LINKS = 2
OTHER_DOMAIN_LINKS = 1
MAXIMUM_KNOWN = 1024
MAXIMUM_NAMED = 2


class Link(abc.ABC):
    """A stream to one peer that has said who it is.

    ``responds`` is false from an unanswered question until the peer is heard again.
    """

    def __init__(self, *, hello: Hello, dialer: str, now: float):
        self.hello = hello
        self.dialer = dialer
        self.heard: Heartbeat | None = None
        self.heard_at = now
        self.responds = True

    @abc.abstractmethod
    def send(self, message: PeerMessage) -> None:
        """Queue a message; a peer that does not keep up is cut off."""

    @abc.abstractmethod
    def close(self, reason: str) -> None:
        """Cut the peer off."""


def choose_neighbours(own: Hello, known: Iterable[Neighbour]) -> tuple[Neighbour, ...]:
    """Return the daemons to link to: a few of each failure domain.

    The choice is by hash, so it moves little when daemons come and go and no daemon
    is chosen by all.
    """
    by_domain: dict[str, list[Neighbour]] = {}
    for neighbour in known:
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
    """Keep links, exchange heartbeats and pass on what all should know."""

    def __init__(
        self,
        *,
        own: Hello,
        configuration: ConfigurationInForce,
        exchange: PeerConfiguration,
        poison: PoisonRegistry,
        table: EndpointTable,
        held: HeldBlocks,
        clock: Clock,
        metrics: Metrics,
    ):
        self.own = own
        self.configuration = configuration
        self.exchange = exchange
        self.poison = poison
        self.table = table
        self.held = held
        self.clock = clock
        self.metrics = metrics
        self.links: dict[str, Link] = {}
        self.known: dict[str, Neighbour] = {}
        self.draining = False
        self.passed_on: set[object] = set()
        self.passed_on_mark: tuple[int, int] | None = None
        self.holds: dict[tuple[str, int], asyncio.Future] = {}

    def learn(self, neighbours: Iterable[Neighbour]) -> None:
        """Take in daemons that exist, from the platform or from peers."""
        for neighbour in neighbours:
            if neighbour.peer_address and neighbour.instance != self.own.instance:
                self.known[neighbour.instance] = neighbour
        while len(self.known) > MAXIMUM_KNOWN:
            del self.known[next(iter(self.known))]

    def wanted(self) -> tuple[Neighbour, ...]:
        """Return the daemons to dial that are not linked yet."""
        chosen = choose_neighbours(self.own, self.known.values())
        return tuple(n for n in chosen if n.instance not in self.links)

    def opened(self, link: Link) -> bool:
        """Take in a link whose hello arrived; return whether it may stay."""
        hello = link.hello
        if hello.protocol != PROTOCOL:
            self._reject(link, "protocol")
            return False
        if hello.instance == self.own.instance:
            self._reject(link, "same_instance")
            return False
        before = self.links.get(hello.instance)
        if before is not None and not self._replaces(link, before):
            link.close("linked already")
            return False
        if before is not None:
            before.close("replaced by a newer link")
        self.links[hello.instance] = link
        self.learn(
            (Neighbour(hello.instance, hello.failure_domain, hello.peer_address),)
        )
        log_change("peer linked", peer=hello.instance)
        link.send(self._heartbeat(link))
        facts = self._all_facts()
        if facts.crashes or facts.departures:
            link.send(facts)
        return True

    def _replaces(self, link: Link, before: Link) -> bool:
        """Tell which of two links to one peer stays; both ends come to the same."""
        if before.hello.incarnation != link.hello.incarnation:
            return True
        if before.dialer == link.dialer:
            return True
        return link.dialer == min(self.own.instance, link.hello.instance)

    def closed(self, link: Link) -> None:
        """Forget a link that has ended."""
        if self.links.get(link.hello.instance) is link:
            del self.links[link.hello.instance]
            log_change("peer unlinked", peer=link.hello.instance)

    async def received(self, link: Link, message: PeerMessage) -> None:
        """Act on one message."""
        match message:
            case Heartbeat():
                self._take_heartbeat(link, message)
            case BillCopy(block) if self.held.has_room():
                self.held.hold(block)
                link.send(BillHeld(block.incarnation, block.sequence))
            case BillHeld(incarnation, sequence):
                self._note_held(link, incarnation, sequence)
            case BillStands(incarnation, sequence):
                self.held.drop(incarnation, sequence)
            case Facts():
                self._take_facts(link, message)
            case ManifestRequest():
                link.send(self.exchange.manifest_reply())
            case ManifestReply():
                request = self.exchange.take_manifest(message)
                if request is not None:
                    link.send(request)
            case PartsRequest():
                link.send(self.exchange.parts_reply(message))
            case PartsReply():
                if self.exchange.take_parts(message):
                    self.announce()
            case Hello():
                link.close("a second hello")

    async def run(self) -> None:
        """Send heartbeats, and news as soon as there is any, until cancelled."""
        next_heartbeat = self.clock.monotonic()
        while True:
            now = self.clock.monotonic()
            if now >= next_heartbeat:
                next_heartbeat = now + HEARTBEAT_SECONDS
                self._close_silent()
                self.announce()
            self._send_news()
            await asyncio.sleep(NEWS_SECONDS)

    def _close_silent(self) -> None:
        """Close links that have gone silent, so that new ones are opened."""
        limit = self.clock.monotonic() - SILENT_SECONDS
        for link in tuple(self.links.values()):
            if link.heard_at < limit:
                link.close("silent")
                self.closed(link)

    def announce(self) -> None:
        """Send a heartbeat to every peer."""
        for link in tuple(self.links.values()):
            link.send(self._heartbeat(link))

    def _send_news(self) -> None:
        """Send the facts that are new to every peer."""
        news = self._new_facts()
        if news.crashes or news.departures:
            for link in tuple(self.links.values()):
                link.send(news)

    def in_force(self) -> dict[str, int]:
        """Return the revision that each linked peer said it has."""
        return {
            instance: link.heard.revision
            for instance, link in self.links.items()
            if link.heard is not None
        }

    def _heartbeat(self, link: Link) -> Heartbeat:
        snapshot = self.configuration.snapshot
        names = random.sample(
            tuple(self.known.values()), min(len(self.known), MAXIMUM_NAMED)
        )
        return Heartbeat(
            revision=self.configuration.revision,
            checkpoint_id=snapshot.manifest.checkpoint_id if snapshot else "",
            confirmed_age_seconds=self.configuration.age(),
            sent_at=self.clock.monotonic(),
            echo=link.heard.sent_at if link.heard else 0.0,
            draining=self.draining,
            neighbours=tuple(names),
        )

    def _take_heartbeat(self, link: Link, heartbeat: Heartbeat) -> None:
        link.heard = heartbeat
        link.responds = True
        link.heard_at = self.clock.monotonic()
        self.learn(heartbeat.neighbours)
        if heartbeat.revision > self.configuration.revision:
            link.send(ManifestRequest())
            return
        if self.exchange.lacks_basics():
            link.send(ManifestRequest())
        if heartbeat.echo:
            made = heartbeat.echo - heartbeat.confirmed_age_seconds
            self.configuration.confirm_by_peer(
                revision=heartbeat.revision,
                checkpoint_id=heartbeat.checkpoint_id,
                when=made,
            )

    def _take_facts(self, link: Link, facts: Facts) -> None:
        """Learn what is new, and pass it on to everybody else."""
        crashes = tuple(c for c in facts.crashes if self.poison.learn(c))
        departures = tuple(
            d
            for d in facts.departures
            if (d.endpoint, d.incarnation) not in self.table.departed
        )
        for departure in departures:
            self.table.mark_leaving(departure.endpoint, departure.incarnation)
        self.passed_on.update(crashes)
        self.passed_on.update(departures)
        news = Facts(crashes, departures)
        if not (crashes or departures):
            return
        for other in tuple(self.links.values()):
            if other is not link:
                other.send(news)

    def _all_facts(self) -> Facts:
        departures = tuple(Departure(*entry) for entry in self.table.departed)
        return Facts(tuple(self.poison.crashes()), departures)

    def _new_facts(self) -> Facts:
        """Return the facts that were not sent to all yet."""
        mark = (self.poison.changes, self.table.departures)
        if mark == self.passed_on_mark:
            return Facts()
        self.passed_on_mark = mark
        facts = self._all_facts()
        crashes = tuple(c for c in facts.crashes if c not in self.passed_on)
        departures = tuple(d for d in facts.departures if d not in self.passed_on)
        self.passed_on = {*facts.crashes, *facts.departures}
        return Facts(crashes, departures)

    def _note_held(self, link: Link, incarnation: str, sequence: int) -> None:
        key = (link.hello.instance, incarnation, sequence)
        waiting = self.holds.pop(key, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

    def _reject(self, link: Link, reason: str) -> None:
        self.metrics.count("rejected_peers", label=reason)
        link.close(reason)


def describe(peers: Peers) -> list[dict[str, object]]:
    """Return the links as fields of a status document."""
    now = peers.clock.monotonic()
    return [
        {
            **dataclasses.asdict(link.hello),
            "heard_seconds_ago": round(now - link.heard_at, 3) if link.heard else None,
            "revision": link.heard.revision if link.heard else 0,
        }
        for link in peers.links.values()
    ]

"""Slots of brittle endpoints, which daemons reserve before they send requests.

For each endpoint one daemon of its failure domain, the arbiter, counts the requests of
all and grants the slots that are free. Who that is follows from the list of daemons, so
nothing is agreed on: daemons that disagree on the list have two arbiters for a while,
which costs rejections. A second daemon keeps the same account and takes over when the
first does not answer. Where neither does, a daemon uses its own part of the slots.
"""

import asyncio
import collections
import itertools
import math
import secrets
from collections.abc import Callable

import xxhash

from linnetladder.forwarding.coordination.brittleness import Brittleness, RoomBasis
from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads
from linnetladder.forwarding.coordination.peer_gossip import PeerGossip
from linnetladder.forwarding.coordination.request_limits import RequestLimits
from linnetladder.forwarding.coordination.room import EndpointRoom
from linnetladder.forwarding.coordination.slot_ledger import SlotLedger
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.protocol.slot_messages import (
    HeldSlots,
    SlotAnswer,
    SlotReport,
)
from linnetladder.state import Clock, Endpoint, EndpointTable
from linnetladder.telemetry import Metrics, log_change

__all__ = ["SlotReservations"]

# Daemons that keep the account of an endpoint.
ARBITERS = 2
# An arbiter in another failure domain answers within some milliseconds.
ANSWER_TIMEOUT_SECONDS = 0.04
# Datagrams get lost, so an arbiter is asked more than once.
TRIES = 3
# An arbiter that did not answer is asked again after this time.
FAILURE_EXPIRY_SECONDS = 1.0
# A full endpoint is asked for again when a slot is expected to come free, within these
# bounds, and after the second one if that is not known.
MINIMUM_FULL_SECONDS = 0.005
MAXIMUM_FULL_SECONDS = 0.1
# Without an arbiter, an endpoint that turned a request away gets none for this long.
REJECTION_PAUSE_SECONDS = 0.3
# An endpoint learns with some delay that a request was given up.
GIVEN_UP_SECONDS = 0.1
# Reports on loads count if so large a share of the peers has sent one.
MINIMUM_HEARD = 0.5
NONCE_BITS = 63

Key = tuple[str, str]


class SlotReservations:
    """Reserves slots with the arbiters of endpoints, and is the arbiter of some.

    ``asking`` has a lock for each endpoint, which is held while a slot is asked for,
    ``pending`` counts the slots that are granted and not used yet, and ``given_up``
    holds the times until which requests count that were given up. ``told`` are the
    endpoints at which others count requests of this daemon; of those in ``untold`` a
    change is not told yet. All are by the endpoint's name and incarnation. ``ranked``
    keeps the order of the daemons for an endpoint, with the peers that it was made
    from. ``send`` sends a message to a daemon; it returns false if it can't.
    """

    def __init__(
        self,
        *,
        own_address: DaemonAddress,
        brittleness: Brittleness,
        limits: RequestLimits,
        table: EndpointTable,
        loads: EndpointLoads,
        room: EndpointRoom,
        peers: PeerGossip,
        clock: Clock,
        metrics: Metrics,
    ):
        self.own_address = own_address
        self.brittleness = brittleness
        self.limits = limits
        self.table = table
        self.loads = loads
        self.room = room
        self.peers = peers
        self.clock = clock
        self.metrics = metrics
        self.ledger = SlotLedger(clock=clock)
        self.send: Callable[[SlotReport | SlotAnswer, DaemonAddress], bool] = (
            _send_nothing
        )
        self.sequence = itertools.count(1)
        self.asking: dict[Key, asyncio.Lock] = collections.defaultdict(asyncio.Lock)
        self.pending: collections.Counter[Key] = collections.Counter()
        self.given_up: dict[Key, collections.deque[float]] = {}
        self.told: set[Key] = set()
        self.untold: set[Key] = set()
        self.full_until: dict[Key, float] = {}
        self.failed_at: dict[str, float] = {}
        self.ranked: dict[
            str, tuple[tuple[DaemonAddress, ...], tuple[DaemonAddress, ...]]
        ] = {}
        self.answers: dict[int, asyncio.Future[bool | None]] = {}

    def seconds_until_room(self, endpoint: Endpoint) -> float:
        """Return the seconds until a slot may be asked for, 0 for now."""
        until = self.full_until.get(_key(endpoint))
        if until is None:
            return 0.0
        if until <= self.clock.monotonic():
            del self.full_until[_key(endpoint)]
            return 0.0
        return until - self.clock.monotonic()

    async def reserve(self, endpoint: Endpoint) -> RoomBasis | None:
        """Reserve a slot and return on what basis, ``None`` if there is none.

        The request then has to be recorded with `begin`, or given back with `cancel`.
        """
        limit = self.brittleness.limit_of(endpoint)
        if limit is None:
            return RoomBasis.UNAWARE
        key = _key(endpoint)
        # What a daemon holds is exact only while it asks for one slot at a time.
        async with self.asking[key]:
            if self.seconds_until_room(endpoint) > 0:
                return None
            basis = await self._reserve(endpoint, limit)
            if basis is None:
                self._note_full(endpoint)
            else:
                self.pending[key] += 1
        if key in self.untold:
            self.tell_arbiters(endpoint)
        return basis

    def begin(self, endpoint: Endpoint, basis: RoomBasis) -> None:
        """Record that a request with a reservation counts as in flight now."""
        if basis is not RoomBasis.UNAWARE:
            self._settle(endpoint)
            if any(map(self._has_failed, self._arbiters(endpoint))):
                # The arbiter that did not answer has not granted this slot.
                self.tell_arbiters(endpoint)

    def cancel(self, endpoint: Endpoint, basis: RoomBasis) -> None:
        """Give back a slot to which nothing is sent."""
        if basis is not RoomBasis.UNAWARE:
            self._settle(endpoint)
            self.tell_arbiters(endpoint)

    def note_given_up(self, endpoint: Endpoint) -> None:
        """Record that a request ends before its answer: it holds its slot longer."""
        if self.brittleness.limit_of(endpoint) is not None:
            until = self.clock.monotonic() + GIVEN_UP_SECONDS
            self.given_up.setdefault(_key(endpoint), collections.deque()).append(until)

    def tell_arbiters(self, endpoint: Endpoint) -> None:
        """Tell the arbiters what this daemon holds at an endpoint, if that changed."""
        key = _key(endpoint)
        if key not in self.told:
            return
        if self._is_asking(key):
            self.untold.add(key)
            return
        self.untold.discard(key)
        for arbiter in self._arbiters(endpoint):
            self._report(arbiter, [self._row(endpoint)])

    def refresh(self) -> None:
        """Report what this daemon holds to the arbiters."""
        if not self.told and not self.brittleness.services:
            return
        self._forget_unlisted()
        rows: dict[DaemonAddress, list[HeldSlots]] = {}
        for endpoint in self.table.endpoints.values():
            key = _key(endpoint)
            if self._is_asking(key):
                continue
            is_brittle = self.brittleness.limit_of(endpoint) is not None
            if not is_brittle and key not in self.told:
                continue
            row = self._row(endpoint)
            if is_brittle and row.in_use:
                self.told.add(key)
            elif key in self.told:
                self.told.remove(key)
            else:
                continue
            for arbiter in self._arbiters(endpoint):
                rows.setdefault(arbiter, []).append(row)
        for arbiter, arbiter_rows in rows.items():
            self._report(arbiter, arbiter_rows)

    def receive(self, message: SlotReport | SlotAnswer) -> None:
        """Process a message of a peer."""
        if isinstance(message, SlotAnswer):
            answer = self.answers.get(message.nonce)
            if answer is not None and not answer.done():
                answer.set_result(message.granted)
            return
        self.ledger.learn(message)
        if not message.nonce:
            return
        row = message.rows[0]
        endpoint = self.table.endpoints.get(row.endpoint)
        granted = None
        if endpoint is not None and endpoint.incarnation == row.incarnation:
            self._report(self.own_address, [self._row(endpoint)])
            granted = self._decide(endpoint, message.sender, message.limit)
        sender = self._peer(message.sender)
        if sender is not None:
            self.send(SlotAnswer(nonce=message.nonce, granted=granted), sender)

    def held(self, endpoint: Endpoint) -> int:
        """Return how many slots of an endpoint this daemon holds."""
        return (
            endpoint.in_flight
            + self.pending[_key(endpoint)]
            + self._given_up(_key(endpoint))
        )

    async def _reserve(self, endpoint: Endpoint, limit: float) -> RoomBasis | None:
        for arbiter in self._arbiters(endpoint):
            if self._has_failed(arbiter):
                continue
            if arbiter is self.own_address:
                self._report(arbiter, [self._row(endpoint)])
                granted = self._decide(endpoint, arbiter.instance, limit)
            else:
                granted = await self._ask(arbiter, endpoint, limit)
            if granted is not None:
                label = "granted" if granted else "full"
                self.metrics.count("slot_reservations", label=label)
                return RoomBasis.RESERVED if granted else None
        self.metrics.count("slot_reservations", label="unanswered")
        since = self.clock.monotonic() - self.brittleness.rejected_at(endpoint)
        if since < REJECTION_PAUSE_SECONDS:
            return None
        has_own = self.held(endpoint) < self._own_slots(endpoint)
        return RoomBasis.OWN if has_own else None

    async def _ask(
        self, arbiter: DaemonAddress, endpoint: Endpoint, limit: float
    ) -> bool | None:
        """Ask an arbiter for a slot; return ``None`` without a usable answer."""
        self.told.add(_key(endpoint))
        for _ in range(TRIES):
            nonce = secrets.randbits(NONCE_BITS) or 1
            answered = asyncio.get_running_loop().create_future()
            self.answers[nonce] = answered
            try:
                rows = [self._row(endpoint)]
                if not self._report(arbiter, rows, nonce=nonce, limit=limit):
                    return None
                async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                    return await answered
            except TimeoutError:
                continue
            finally:
                del self.answers[nonce]
        self._note_failure(arbiter)
        return None

    def _decide(self, endpoint: Endpoint, daemon: str, limit: float) -> bool:
        """Return whether a daemon that has reported gets a slot, as its arbiter."""
        known = None
        if self.loads.peer_sums().heard >= MINIMUM_HEARD:
            known = self.loads.in_flight_of(endpoint)
        return self.ledger.grant(endpoint, daemon, limit=limit, known=known)

    def _report(
        self,
        arbiter: DaemonAddress,
        rows: list[HeldSlots],
        *,
        nonce: int = 0,
        limit: float = 0.0,
    ) -> bool:
        """Send a report to an arbiter; return false if that is not possible."""
        report = SlotReport(
            sender=self.own_address.instance,
            incarnation=self.own_address.incarnation,
            sequence=next(self.sequence),
            rows=tuple(rows),
            nonce=nonce,
            limit=limit,
        )
        if arbiter is self.own_address:
            self.ledger.learn(report)
            return True
        return self.send(report, arbiter)

    def _row(self, endpoint: Endpoint) -> HeldSlots:
        """Return what this daemon holds at an endpoint."""
        return HeldSlots(
            endpoint.name,
            endpoint.incarnation,
            self.held(endpoint),
            self.brittleness.rejections_of(endpoint),
        )

    def _settle(self, endpoint: Endpoint) -> None:
        key = _key(endpoint)
        self.pending[key] -= 1
        if self.pending[key] <= 0:
            del self.pending[key]

    def _given_up(self, key: Key) -> int:
        until = self.given_up.get(key)
        if until is None:
            return 0
        now = self.clock.monotonic()
        while until and until[0] <= now:
            until.popleft()
        if not until:
            del self.given_up[key]
        return len(until)

    def _is_asking(self, key: Key) -> bool:
        """Return whether an answer is awaited, which a report would cross."""
        lock = self.asking.get(key)
        return lock is not None and lock.locked()

    def _forget_unlisted(self) -> None:
        listed = set(map(_key, self.table.endpoints.values()))
        for kept in (self.asking, self.full_until, self.given_up):
            for key in kept.keys() - listed:
                del kept[key]
        self.told &= listed
        self.untold &= listed
        for name in self.ranked.keys() - self.table.endpoints.keys():
            del self.ranked[name]

    def _note_full(self, endpoint: Endpoint) -> None:
        times = self.room.times_of(endpoint.service)
        seconds = MAXIMUM_FULL_SECONDS
        if times is not None:
            seconds = times.held / endpoint.capacity
        seconds = min(max(seconds, MINIMUM_FULL_SECONDS), MAXIMUM_FULL_SECONDS)
        self.full_until[_key(endpoint)] = self.clock.monotonic() + seconds

    def _arbiters(self, endpoint: Endpoint) -> list[DaemonAddress]:
        """Return the daemons that keep an endpoint's account, in their order.

        They are of its failure domain, so that one that is cut off has its own. No
        other daemon takes the place of one that fails: a daemon that reaches none would
        become the arbiter of all endpoints.
        """
        staying = filter(self._stays, self._ranked_daemons(endpoint))
        return list(itertools.islice(staying, ARBITERS))

    def _has_failed(self, arbiter: DaemonAddress) -> bool:
        failed_at = self.failed_at.get(arbiter.instance, -math.inf)
        return self.clock.monotonic() - failed_at < FAILURE_EXPIRY_SECONDS

    def _ranked_daemons(self, endpoint: Endpoint) -> tuple[DaemonAddress, ...]:
        """Return all daemons, those of an endpoint's failure domain first."""
        peers, ranked = self.ranked.get(endpoint.name, (None, ()))
        if peers is not self.peers.peers:
            peers = self.peers.peers
            ranked = tuple(
                sorted(
                    (*peers, self.own_address),
                    key=lambda daemon: (
                        daemon.failure_domain != endpoint.failure_domain,
                        xxhash.xxh64_intdigest(
                            f"{endpoint.name}\0{daemon.instance}".encode()
                        ),
                    ),
                )
            )
            self.ranked[endpoint.name] = peers, ranked
        return ranked

    def _stays(self, daemon: DaemonAddress) -> bool:
        """Return whether a daemon is not shutting down."""
        if daemon is self.own_address:
            return not self.peers.draining
        status = self.peers.peer_status.get(daemon.instance)
        return status is None or not status.draining

    def _note_failure(self, arbiter: DaemonAddress) -> None:
        self.failed_at[arbiter.instance] = self.clock.monotonic()
        log_change("arbiter of slots does not answer", peer=arbiter.instance)

    def _peer(self, instance: str) -> DaemonAddress | None:
        return next((p for p in self.peers.peers if p.instance == instance), None)

    def _own_slots(self, endpoint: Endpoint) -> int:
        """Return this daemon's part of an endpoint's slots, which all add up to.

        The daemons take the slots in turns, from an offset by the endpoint's name.
        """
        turns = self.limits.turns
        offset = xxhash.xxh32_intdigest(endpoint.name.encode())
        own_turn = (self.limits.rank - offset) % turns
        return endpoint.capacity // turns + (own_turn < endpoint.capacity % turns)


def _key(endpoint: Endpoint) -> Key:
    return endpoint.name, endpoint.incarnation


def _send_nothing(message: SlotReport | SlotAnswer, daemon: DaemonAddress) -> bool:
    """Send nothing; the default until a socket is open."""
    return False

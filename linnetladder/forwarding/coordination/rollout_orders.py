"""The current roll-out orders and their identity across eras of the store.

After the store has returned from an older copy, the operator writes its orders again,
under other revisions. An order keeps the position at which it was first known, so that
its sessions, its evidence and its record stay with it.
"""

import collections
import dataclasses
import math

from linnetladder.forwarding.state import Position, RolloutOrder, RolloutRecord
from linnetladder.state import Clock
from linnetladder.telemetry import log_change

__all__ = ["OrderBook"]

# Time for the operator to write its orders again in a new era.
RESTORE_GRACE_SECONDS = 3.0
EARLIER_ORDERS_KEPT = 32


class OrderBook:
    """The order in force for each service.

    ``current`` holds orders with the position at which they were first known, and
    ``positions`` where each was last read. ``aliases`` are all positions of a current
    order, and ``earlier`` has the contents and positions of those before it.
    ``first_seen`` maps service and identity to a monotonic time in seconds.
    ``waiting`` holds orders of a new era until the operator has had time to write a
    newer one. ``without_history`` names the services whose current order is the first
    that this daemon read, or replaced it at once.
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.current: dict[str, RolloutOrder] = {}
        self.positions: dict[str, Position] = {}
        self.aliases: dict[str, set[Position]] = {}
        self.first_seen: dict[tuple[str, int], float] = {}
        self.earlier: dict[str, collections.deque] = {}
        self.waiting: dict[str, RolloutOrder] = {}
        self.without_history: set[str] = set()
        self.era: int | None = None
        self.era_seen_at = -math.inf
        self.era_changed_at = -math.inf

    def update(self, orders: tuple[RolloutOrder, ...], *, era: int) -> None:
        """Store the orders of one read of the store in an era."""
        if self.era is None or era > self.era:
            self.era_seen_at = self.clock.monotonic()
            if self.era is not None:
                self.era_changed_at = self.era_seen_at
            self.era = era
            self.waiting.clear()
        for order in orders:
            self._consider(dataclasses.replace(order, era=era))

    def release(self, records: dict[str, RolloutRecord]) -> None:
        """Accept orders of a new era that need to wait no longer.

        A peer's record of an order in the store shows that the peer accepted it.
        """
        for service, order in list(self.waiting.items()):
            record = records.get(service)
            is_accepted = record is not None and record.order_position == order.position
            if is_accepted or not self.in_grace():
                self._accept(order)

    def in_grace(self) -> bool:
        """Return whether the operator may not yet have written its orders again."""
        seconds = self.clock.monotonic() - self.era_seen_at
        return seconds < RESTORE_GRACE_SECONDS

    def names(self, record: RolloutRecord, *, known: RolloutRecord | None) -> bool:
        """Return whether a record is of the current order of its service.

        ``known`` is the known record of that order. A record of an order of an older
        era with the same target is, if a peer has written it over the known one in
        this era, or if this daemon has not read the older order.
        """
        service = record.service
        order = self.current.get(service)
        if order is None or record.target != order.target:
            return False
        if record.order_position in self.aliases[service]:
            return True
        if record.order_era >= order.era:
            return False
        if known is not None and known.era == record.era:
            return True
        earlier = self.earlier.get(service, ())
        if any(record.order_position == position for _, position in earlier):
            return False
        return known is not None or service in self.without_history

    def adopt_identity(self, record: RolloutRecord) -> None:
        """Know the current order by the position that its record names."""
        service = record.service
        order = self.current[service]
        if record.order_position == order.position:
            return
        seen = self.first_seen[(service, order.identity)]
        order = dataclasses.replace(
            order, revision=record.order_revision, era=record.order_era
        )
        self.current[service] = order
        self.aliases[service].add(order.position)
        self.first_seen[(service, order.identity)] = seen

    def _consider(self, order: RolloutOrder) -> None:
        service = order.service
        current = self.current.get(service)
        if current is None:
            self._accept(order)
            self.without_history.add(service)
            return
        position = self.positions[service]
        if order.position <= position:
            return
        if order.era > position.era and self._is_earlier(order):
            return
        if order.content == current.content and self._is_same(order, current):
            self.positions[service] = order.position
            self.aliases[service].add(order.position)
            self.waiting.pop(service, None)
        elif order.era == position.era:
            self._accept(order)
        else:
            self.waiting[service] = order
            self.release({})

    def _is_same(self, order: RolloutOrder, current: RolloutOrder) -> bool:
        """Return whether an order with the current one's content was written again.

        The operator may also write an order again that the older copy contains.
        """
        if order.era > self.positions[order.service].era:
            return True
        return current.era < order.era and self.in_grace()

    def _is_earlier(self, order: RolloutOrder) -> bool:
        """Return whether an order of a new era is a known one of before."""
        return any(
            order.content == content and order.revision == position.revision
            for content, position in self.earlier.get(order.service, ())
        )

    def _accept(self, order: RolloutOrder) -> None:
        service = order.service
        previous = self.current.get(service)
        if previous is not None:
            kept = self.earlier.setdefault(
                service, collections.deque(maxlen=EARLIER_ORDERS_KEPT)
            )
            kept.extend(
                (previous.content, position)
                for position in sorted(self.aliases[service])
            )
        self.current[service] = order
        self.positions[service] = order.position
        self.aliases[service] = {order.position}
        self.first_seen[(service, order.identity)] = self.clock.monotonic()
        if not self.in_grace():
            self.without_history.discard(service)
        self.waiting.pop(service, None)
        log_change(
            "roll-out ordered",
            service=service,
            target=order.target,
            seconds=order.duration_seconds,
            revision=order.revision,
        )

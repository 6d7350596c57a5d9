"""The known roll-out records, and which of them the store has lost."""

import dataclasses

from linnetladder.forwarding.coordination.rollout_orders import OrderBook
from linnetladder.forwarding.state import RolloutRecord
from linnetladder.telemetry import log_change

__all__ = ["RecordBook"]


class RecordBook:
    """The record of each current order that is furthest, and those in the store.

    ``known`` holds the records that decisions follow, and ``stored`` the content of the
    last read, which is behind after the store has returned from an older copy.
    """

    def __init__(self, *, orders: OrderBook):
        self.orders = orders
        self.known: dict[str, RolloutRecord] = {}
        self.stored: dict[str, RolloutRecord] = {}
        self.era = 0

    def update(self, records: tuple[RolloutRecord, ...], *, era: int) -> None:
        """Store the records of one read of the store in an era."""
        self.era = era
        self.stored = {
            record.service: dataclasses.replace(record, era=era) for record in records
        }
        for record in self.stored.values():
            if not self._replaces_known(record):
                continue
            self.known[record.service] = record
            self.orders.adopt_identity(record)
            log_change(
                "roll-out phase",
                service=record.service,
                target=record.target,
                phase=record.phase,
                revision=record.revision,
            )

    def current(self, service: str) -> RolloutRecord | None:
        """Return the known record of a service's current order, if it has one."""
        record = self.known.get(service)
        order = self.orders.current.get(service)
        if record is None or order is None:
            return None
        return record if record.order_position == order.position else None

    def lost_record(self, service: str) -> RolloutRecord | None:
        """Return the record to write again if the store's is behind, else ``None``.

        Its revision is that of the record to write over, 0 if there is none.
        """
        known, stored = self.current(service), self.stored.get(service)
        if known is None:
            return None
        if stored is None:
            is_lost = known.era < self.era
        elif stored.position <= known.position:
            return None
        elif self.orders.names(stored, known=known):
            is_lost = _is_behind(stored, known)
        else:
            # A record of an order of this era is a peer's that accepted a new order.
            is_lost = known.era < stored.era and stored.order_era < stored.era
        if not is_lost:
            return None
        revision = 0 if stored is None else stored.revision
        return dataclasses.replace(known, revision=revision, era=self.era)

    def shows_newer_order(self, service: str) -> bool:
        """Return whether the operator may still have to write a newer order again.

        The store's record is of an order of an older era that this daemon never read.
        """
        stored = self.stored.get(service)
        return (
            stored is not None
            and stored.order_era < self.era
            and service in self.orders.without_history
            and self.orders.in_grace()
        )

    def _replaces_known(self, record: RolloutRecord) -> bool:
        known = self.current(record.service)
        if known is not None and record.position <= known.position:
            return False
        if not self.orders.names(record, known=known):
            return False
        return known is None or not _is_behind(record, known)


def _is_behind(record: RolloutRecord, known: RolloutRecord) -> bool:
    """Return whether a record of the same order is less far than the known one.

    Neither final phase replaces the other. Of two positions by which the same order is
    known, the older one stays.
    """
    if record.phase.is_final:
        return False
    return (record.phase.rank, -record.order_era) < (
        known.phase.rank,
        -known.order_era,
    )

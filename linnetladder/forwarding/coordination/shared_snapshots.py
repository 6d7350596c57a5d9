"""What daemons know of the store's present content through each other's readings.

A daemon that has read the store tells its peers a digest of what it read. A peer that
holds the same content then knows that it is the newest, and need not read itself.

Since when it knows that is what safety rests on. The reader names, for each receiver,
the last report of that receiver which it had when its reading began. The receiver looks
up when it sent that report, by its own clock: the reading began later. So no clock is
compared with another, and a report that is late or repeated only says something older.
"""

import collections
import math
from collections.abc import Iterable

import xxhash

from linnetladder.forwarding.coordination.sources import DaemonAddress, StoreSnapshot
from linnetladder.state import Clock

__all__ = ["SharedReadings", "digest_of"]

# Reports from before this say nothing that a daemon would still use.
RETENTION_SECONDS = 10.0


def content_digest(snapshot: StoreSnapshot) -> int:
    """Return a digest of all that daemons act on; status reports don't change it."""
    table = snapshot.table
    content = (
        (table.version, table.revision) if table is not None else None,
        sorted((order.service, order.revision) for order in snapshot.orders),
        sorted((record.service, record.revision) for record in snapshot.records),
        sorted(
            (
                report.name,
                report.incarnation,
                report.address,
                report.failure_domain,
                report.service,
                sorted(map(repr, report.versions or ())),
                report.capacity,
                report.leaving,
            )
            for report in snapshot.endpoints
        ),
        sorted(
            (daemon.instance, daemon.incarnation, daemon.host, daemon.port)
            for daemon in snapshot.daemons
        ),
    )
    return xxhash.xxh64_intdigest(repr(content).encode())


class SharedSnapshots:
    """Keep this daemon's digest, and what it takes to trust a peer's."""

    def __init__(self, *, instance: str, incarnation: str, clock: Clock):
        self.own_incarnation_hash = _incarnation_hash(instance, incarnation)
        self.clock = clock
        self.digest = 0
        self.confirmed_at = -math.inf
        self.sent_at: collections.OrderedDict[int, float] = collections.OrderedDict()
        self.received_reports: dict[str, collections.deque[tuple[float, int, int]]] = {}

    def record_snapshot(self, snapshot: StoreSnapshot, *, began: float) -> None:
        """Take in this daemon's own reading, which began at a clock reading."""
        self.digest = content_digest(snapshot)
        self.confirmed_at = began

    def record_sent(self, sequence: int) -> None:
        """Remember when a report was sent."""
        now = self.clock.monotonic()
        self.sent_at[sequence] = now
        while next(iter(self.sent_at.values())) < now - RETENTION_SECONDS:
            self.sent_at.popitem(last=False)

    def record_received(self, peer: str, incarnation: str, sequence: int) -> None:
        """Remember when a peer's report came."""
        now = self.clock.monotonic()
        reports = self.received_reports.setdefault(peer, collections.deque())
        reports.append((now, _incarnation_hash(peer, incarnation), sequence))
        while reports[0][0] < now - RETENTION_SECONDS:
            reports.popleft()

    def echoes(self, receivers: Iterable[DaemonAddress]) -> list[tuple[int, int]]:
        """Return the last report of each that came before the content was confirmed."""
        echoed = []
        for receiver in receivers:
            for timestamp, incarnation_hash, sequence in reversed(
                self.received_reports.get(receiver.instance, ())
            ):
                if timestamp <= self.confirmed_at:
                    echoed.append((incarnation_hash, sequence))
                    break
        return echoed

    def confirm(self, digest: int, echoes: list[tuple[int, int]]) -> float | None:
        """Return since when a peer's word shows that the content is the newest.

        It is ``None`` if the peer holds other content, or has not heard this daemon.
        """
        if not self.digest or digest != self.digest:
            return None
        for incarnation_hash, sequence in echoes:
            if incarnation_hash == self.own_incarnation_hash:
                timestamp = self.sent_at.get(sequence)
                if timestamp is not None:
                    self.confirmed_at = max(self.confirmed_at, timestamp)
                return timestamp
        return None


def _incarnation_hash(instance: str, incarnation: str) -> int:
    """Return a short name of one start of a daemon."""
    return xxhash.xxh32_intdigest(f"{instance}\0{incarnation}".encode())

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

from linnetladder.forwarding.coordination.sources import DaemonAddress, StoreReading
from linnetladder.state import Clock

__all__ = ["SharedReadings", "digest_of"]

# Reports from before this say nothing that a daemon would still use.
MEMORY_SECONDS = 10.0


def digest_of(reading: StoreReading) -> int:
    """Return a digest of all that daemons act on; status reports don't change it."""
    table = reading.table
    content = (
        (table.version, table.revision) if table is not None else None,
        sorted((order.service, order.revision) for order in reading.orders),
        sorted((record.service, record.revision) for record in reading.records),
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
            for report in reading.endpoints
        ),
        sorted(
            (daemon.instance, daemon.incarnation, daemon.host, daemon.port)
            for daemon in reading.daemons
        ),
    )
    return xxhash.xxh64_intdigest(repr(content).encode())


class SharedReadings:
    """Keep this daemon's digest, and what it takes to trust a peer's."""

    def __init__(self, *, instance: str, incarnation: str, clock: Clock):
        self.own_key = _key(instance, incarnation)
        self.clock = clock
        self.digest = 0
        self.confirmed_at = -math.inf
        self.sent: collections.OrderedDict[int, float] = collections.OrderedDict()
        self.heard: dict[str, collections.deque[tuple[float, int, int]]] = {}

    def note_reading(self, reading: StoreReading, *, began: float) -> None:
        """Take in this daemon's own reading, which began at a clock reading."""
        self.digest = digest_of(reading)
        self.confirmed_at = began

    def note_sent(self, sequence: int) -> None:
        """Remember when a report was sent."""
        now = self.clock.monotonic()
        self.sent[sequence] = now
        while next(iter(self.sent.values())) < now - MEMORY_SECONDS:
            self.sent.popitem(last=False)

    def note_heard(self, peer: str, incarnation: str, sequence: int) -> None:
        """Remember when a peer's report came."""
        now = self.clock.monotonic()
        reports = self.heard.setdefault(peer, collections.deque())
        reports.append((now, _key(peer, incarnation), sequence))
        while reports[0][0] < now - MEMORY_SECONDS:
            reports.popleft()

    def echoes(self, receivers: Iterable[DaemonAddress]) -> list[tuple[int, int]]:
        """Return the last report of each that came before the content was confirmed."""
        found = []
        for receiver in receivers:
            for moment, key, sequence in reversed(
                self.heard.get(receiver.instance, ())
            ):
                if moment <= self.confirmed_at:
                    found.append((key, sequence))
                    break
        return found

    def confirm(self, digest: int, echoes: list[tuple[int, int]]) -> float | None:
        """Return since when a peer's word shows that the content is the newest.

        It is ``None`` if the peer holds other content, or has not heard this daemon.
        """
        if not self.digest or digest != self.digest:
            return None
        for key, sequence in echoes:
            if key == self.own_key:
                moment = self.sent.get(sequence)
                if moment is not None:
                    self.confirmed_at = max(self.confirmed_at, moment)
                return moment
        return None


def _key(instance: str, incarnation: str) -> int:
    """Return a short name of one start of a daemon."""
    return xxhash.xxh32_intdigest(f"{instance}\0{incarnation}".encode())

"""Confirmation of the store's content by the reads of other daemons.

A daemon that has read the store sends its peers a digest of the content. A peer that
holds the same content then knows that it was current, without reading the store itself.

Safety depends on the time as of which the content is confirmed. For each receiver, the
reader echoes the last report that it had received from it before its read began. The
receiver looks up when it sent that report, by its own clock; the read began after that.
So clocks of different daemons are never compared, and a delayed or repeated report only
confirms an earlier time.
"""

import collections
import math
from collections.abc import Iterable

import xxhash

from linnetladder.forwarding.coordination.sources import DaemonAddress, StoreSnapshot
from linnetladder.state import Clock

__all__ = ["SharedSnapshots", "content_digest"]

# Older reports are forgotten; what they could confirm is too old to be of use.
RETENTION_SECONDS = 10.0


def content_digest(snapshot: StoreSnapshot) -> int:
    """Return a digest of the content that daemons act on.

    Status reports do not change it.
    """
    table = snapshot.table
    content = (
        snapshot.era,
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
    # Without evacuations the digest is that of daemons of the previous version.
    if snapshot.evacuated_domains:
        evacuated = sorted((d.name, d.revision) for d in snapshot.evacuated_domains)
        content = (*content, evacuated)
    # The table is not the newest one then.
    if snapshot.table_problem:
        content = (*content, snapshot.table_problem)
    return xxhash.xxh64_intdigest(repr(content).encode())


class SharedSnapshots:
    """Keeps this daemon's digest and the times of reports; checks peers' digests."""

    def __init__(self, *, instance: str, incarnation: str, clock: Clock):
        self.own_incarnation_hash = _incarnation_hash(instance, incarnation)
        self.clock = clock
        self.digest = 0
        self.confirmed_at = -math.inf
        self.sent_at: collections.OrderedDict[int, float] = collections.OrderedDict()
        self.received_reports: dict[str, collections.deque[tuple[float, int, int]]] = {}

    def record_snapshot(self, snapshot: StoreSnapshot, *, began: float) -> None:
        """Record this daemon's own read, which began at a monotonic time."""
        self.digest = content_digest(snapshot)
        self.confirmed_at = began

    def record_sent(self, sequence: int) -> None:
        """Record the time at which a report was sent."""
        now = self.clock.monotonic()
        self.sent_at[sequence] = now
        while next(iter(self.sent_at.values())) < now - RETENTION_SECONDS:
            self.sent_at.popitem(last=False)

    def record_received(self, peer: str, incarnation: str, sequence: int) -> None:
        """Record the time at which a peer's report was received."""
        now = self.clock.monotonic()
        reports = self.received_reports.setdefault(peer, collections.deque())
        reports.append((now, _incarnation_hash(peer, incarnation), sequence))
        while reports[0][0] < now - RETENTION_SECONDS:
            reports.popleft()

    def echoes(self, receivers: Iterable[DaemonAddress]) -> list[tuple[int, int]]:
        """Return the last report of each receiver from before the last confirmation.

        A report is given by the hash of its sender's incarnation and its sequence
        number.
        """
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
        """Return the time as of which a peer's report confirms this daemon's content.

        It is ``None`` if the peer has other content, or echoes no report of this
        daemon that is still known.
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
    """Return a 32-bit hash that identifies one incarnation of an instance."""
    return xxhash.xxh32_intdigest(f"{instance}\0{incarnation}".encode())

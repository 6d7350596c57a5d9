"""The current endpoints, from a registry that may lose entries during an outage."""

import collections
import dataclasses
import math
from collections.abc import Callable, Iterable

from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads
from linnetladder.state import (
    Clock,
    Endpoint,
    EndpointReport,
    EndpointTable,
    Pool,
    VersionRef,
)
from linnetladder.telemetry import log_change

__all__ = ["EndpointDirectory", "group_name", "version_of"]

# The platform guarantees that entries that lapsed during an outage of the registry are
# back within two seconds of its return.
LAPSE_GRACE_SECONDS = 2.2
# If the time between two reads exceeds the usual interval by this, at least one read
# failed because of an outage of the registry.
OUTAGE_EXCESS_SECONDS = 0.9
# A longer excess ends a period of reads without a gap.
GAP_EXCESS_SECONDS = 0.3
# Revisions of an entry that are kept to recognize it in an older copy.
KEPT_REVISIONS = 4
MAXIMUM_GONE_ENTRIES = 4096


@dataclasses.dataclass(slots=True)
class SeenEntry:
    """An entry of the registry: its incarnation and the latest revisions seen.

    ``era`` is the era of the read in which it was last found or first missed.
    """

    incarnation: str
    era: int
    revisions: collections.deque[int]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPeriod:
    """A period of reads without a gap, in seconds of this daemon's clock."""

    began: float
    latest: float


class EndpointDirectory:
    """Keeps the endpoint table up to date with what is read from the registry.

    The registry may return from an older copy, in a new era. An entry that was gone
    before stays so while the copy lists it at a revision that was seen: ``gone``
    holds such entries, and ``held_back`` the names of those that the last read listed.
    ``outage`` is the time without reads after which entries are taken for lapsed.
    A peer that read the registry all that time shows that only this daemon was cut off:
    then the missing entries are gone.
    """

    def __init__(self, *, table: EndpointTable, loads: EndpointLoads, clock: Clock):
        self.table = table
        self.loads = loads
        self.clock = clock
        self.last_read = math.inf
        self.lapsed_until: dict[str, float] = {}
        self.reads_began_at = math.inf
        self.interval = 0.0
        self.peer_reads: dict[str, ReadPeriod] = {}
        self.outage: ReadPeriod | None = None
        self.era = 0
        self.era_grace_until = -math.inf
        self.entries: dict[str, SeenEntry] = {}
        self.gone: collections.OrderedDict[str, SeenEntry] = collections.OrderedDict()
        self.held_back: set[str] = set()
        self.read_once = False
        self.on_leaving: Callable[[], None] = _do_nothing
        self.on_entry: Callable[..., None] = _ignore_entry
        self.pools_by_service: dict[str, Pool] = {}

    def apply(
        self,
        reports: Iterable[EndpointReport],
        *,
        interval: float = 1.25,
        era: int = 0,
    ) -> None:
        """Update the table from one complete read of the registry.

        ``interval`` is the usual time between two reads, in seconds; ``era`` is the era
        of the registry.
        """
        now = self.clock.monotonic()
        self.interval = interval
        outage = ReadPeriod(self.last_read, now)
        after_outage = now - self.last_read > interval + OUTAGE_EXCESS_SECONDS
        if era > self.era:
            if self.era:
                after_outage = True
                outage = None
                self.era_grace_until = now + LAPSE_GRACE_SECONDS
            self.era = era
        self._extend_reads(now)
        self.read_once = True
        names = set()
        self.held_back = set()
        for report in reports:
            if self._is_gone(report):
                self.held_back.add(report.name)
                continue
            names.add(report.name)
            self._merge(report)
            self._note_seen(report)
        if after_outage and not self._was_up(outage):
            self.outage = outage
            self._note_lapsed(names, now)
        self.lapsed_until = {
            name: until
            for name, until in self.lapsed_until.items()
            if until > now and name not in names
        }
        self._update_listed(names | self.lapsed_until.keys())

    def confirm(self, since: float) -> None:
        """Record that the last content read was still current at a time."""
        if since > self.last_read:
            self._extend_reads(since)

    def read_ages(self) -> tuple[float, float] | None:
        """Return the seconds since reads without a gap began and since the last one.

        It is ``None`` before the first read.
        """
        if not self.read_once:
            return None
        now = self.clock.monotonic()
        return round(now - self.reads_began_at, 2), round(now - self.last_read, 2)

    def learn_reads(self, peer: str, began_age: float, latest_age: float) -> None:
        """Record for how long a peer has read the registry without a gap.

        Entries taken for lapsed are gone if that covers the outage of this daemon.
        """
        now = self.clock.monotonic()
        self.peer_reads[peer] = ReadPeriod(now - began_age, now - latest_age)
        if self.lapsed_until and self._was_up(self.outage):
            listed = {e.name for e in self.table.endpoints.values() if e.listed}
            listed -= self.lapsed_until.keys()
            self.lapsed_until.clear()
            self._update_listed(listed)

    @property
    def is_settled(self) -> bool:
        """Whether no entry that lapsed or was held back is expected to come back."""
        awaited = self.held_back and self.clock.monotonic() < self.era_grace_until
        return not self.lapsed_until and not awaited

    def pool(self, service: str) -> Pool | None:
        """Return the endpoints of a service, whether or not they accept work."""
        return self.pools_by_service.get(service)

    def mark_leaving(self, endpoint: Endpoint, *, reason: str) -> None:
        """Mark an endpoint as leaving and log it, unless it is marked already."""
        if endpoint.leaving:
            return
        self.table.mark_leaving(endpoint.name, endpoint.incarnation)
        self.on_leaving()
        log_change("endpoint leaves", endpoint=endpoint.name, reason=reason)

    def _merge(self, report: EndpointReport) -> None:
        previous = self.table.endpoints.get(report.name)
        same_incarnation = (
            previous is not None and previous.incarnation == report.incarnation
        )
        was_leaving = same_incarnation and previous.leaving
        endpoint = self.table.merge(report)
        if not same_incarnation:
            self.loads.discard_backlog(report.name)
            log_change(
                "endpoint registered",
                endpoint=report.name,
                service=report.service,
                address=report.address,
                versions=[ref.version for ref in report.versions or ()],
            )
        if endpoint.incarnation == report.incarnation:
            self.on_entry(endpoint, report, is_new=not same_incarnation)
        if endpoint.leaving and not was_leaving:
            log_change("endpoint leaves", endpoint=report.name, reason="register")

    def _update_listed(self, listed: set[str]) -> None:
        self._note_gone(listed)
        self.table.update_listed(listed)
        self._index()

    def _extend_reads(self, now: float) -> None:
        """Record the time of a read, which begins a new period after a gap."""
        gap = now - self.last_read
        if not self.read_once or gap > self.interval + GAP_EXCESS_SECONDS:
            self.reads_began_at = now
        self.last_read = now

    def _was_up(self, outage: ReadPeriod | None) -> bool:
        """Return whether a peer read the registry during an outage of this daemon."""
        if outage is None:
            return False
        latest = outage.latest - self.interval - GAP_EXCESS_SECONDS
        return any(
            reads.began <= outage.began and reads.latest >= latest
            for reads in self.peer_reads.values()
        )

    def _is_gone(self, report: EndpointReport) -> bool:
        """Return whether an older copy lists an entry that had gone before."""
        seen = self.gone.get(report.name)
        if seen is None:
            return False
        if (
            seen.era < self.era
            and seen.incarnation == report.incarnation
            and report.revision in seen.revisions
        ):
            return True
        del self.gone[report.name]
        return False

    def _note_seen(self, report: EndpointReport) -> None:
        """Remember the revision at which an entry was found."""
        seen = self.entries.get(report.name)
        if seen is None or seen.incarnation != report.incarnation:
            revisions = collections.deque(maxlen=KEPT_REVISIONS)
            seen = SeenEntry(report.incarnation, self.era, revisions)
            self.entries[report.name] = seen
        seen.era = self.era
        if report.revision not in seen.revisions:
            seen.revisions.append(report.revision)

    def _note_gone(self, listed: set[str]) -> None:
        """Remember the entries that are no longer listed."""
        for name in self.entries.keys() - listed:
            seen = self.entries.pop(name)
            seen.era = self.era
            self.gone[name] = seen
            if len(self.gone) > MAXIMUM_GONE_ENTRIES:
                self.gone.popitem(last=False)

    def _note_lapsed(self, names: set[str], now: float) -> None:
        """Start the grace period of endpoints without an entry after an outage."""
        for endpoint in self.table.endpoints.values():
            if not endpoint.listed or endpoint.leaving or endpoint.name in names:
                continue
            self.lapsed_until[endpoint.name] = now + LAPSE_GRACE_SECONDS
            log_change("entry may have lapsed", endpoint=endpoint.name)

    def _index(self) -> None:
        members: dict[str, list[Endpoint]] = {}
        for endpoint in self.table.endpoints.values():
            members.setdefault(endpoint.service, []).append(endpoint)
        for service, service_endpoints in members.items():
            previous = self.pools_by_service.get(service)
            if previous is None or set(previous.endpoints) != set(service_endpoints):
                self.pools_by_service[service] = Pool(endpoints=service_endpoints)
        for service in tuple(self.pools_by_service):
            if service not in members:
                del self.pools_by_service[service]


def version_of(endpoint: Endpoint) -> str:
    """Return the version of its service that an endpoint runs, or an empty string."""
    for ref in endpoint.versions:
        if isinstance(ref, VersionRef) and ref.model == endpoint.service:
            return ref.version
    return ""


def group_name(service: str, version: str) -> str:
    """Return the name under which all endpoints of a version are grouped."""
    return f"{service}/{version}"


def _do_nothing() -> None:
    """Do nothing; the default action when an endpoint leaves."""


def _ignore_entry(endpoint: Endpoint, report: EndpointReport, *, is_new: bool) -> None:
    """Do nothing; the default action on an entry that was read."""

"""The endpoints in force, from a register that may lose entries while it is away."""

import math
from collections.abc import Iterable

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

__all__ = ["Directory", "group_name", "version_of"]

# Entries that lapsed while the register was away are back within two seconds of its
# return, by the platform's word.
LAPSE_GRACE_SECONDS = 2.2
# Readings further apart than their interval by this mean that at least one was lost to
# an outage of the register.
OUTAGE_EXCESS_SECONDS = 0.9


class Directory:
    """Keep the endpoint table in step with the register's readings."""

    def __init__(self, *, table: EndpointTable, loads: EndpointLoads, clock: Clock):
        self.table = table
        self.loads = loads
        self.clock = clock
        self.last_read = math.inf
        self.lapsed: dict[str, float] = {}
        self.read_once = False
        self.by_service: dict[str, Pool] = {}

    def take(
        self, reports: Iterable[EndpointReport], *, interval: float = 1.25
    ) -> None:
        """Take in one complete reading; ``interval`` is the usual time between two."""
        now = self.clock.monotonic()
        after_outage = now - self.last_read > interval + OUTAGE_EXCESS_SECONDS
        self.last_read = now
        self.read_once = True
        names = set()
        for report in reports:
            names.add(report.name)
            self._merge(report)
        if after_outage:
            self._note_lapsed(names, now)
        self.lapsed = {
            name: until
            for name, until in self.lapsed.items()
            if until > now and name not in names
        }
        self.table.keep_listed(names | self.lapsed.keys())
        self._index()

    def confirm(self, since: float) -> None:
        """Take in that the last reading still held at a moment."""
        self.last_read = max(self.last_read, since)

    @property
    def is_settled(self) -> bool:
        """Whether no entry may still come back after an outage."""
        return not self.lapsed

    def pool(self, service: str) -> Pool | None:
        """Return the endpoints of a service, whether or not they accept work."""
        return self.by_service.get(service)

    def mark_leaving(self, endpoint: Endpoint, *, reason: str) -> None:
        """Believe that an endpoint is leaving."""
        if endpoint.leaving:
            return
        self.table.mark_leaving(endpoint.name, endpoint.incarnation)
        log_change("endpoint leaves", endpoint=endpoint.name, reason=reason)

    def _merge(self, report: EndpointReport) -> None:
        known = self.table.endpoints.get(report.name)
        same = known is not None and known.incarnation == report.incarnation
        was_leaving = same and known.leaving
        endpoint = self.table.merge(report)
        if not same:
            self.loads.discard_backlog(report.name)
            log_change(
                "endpoint registered",
                endpoint=report.name,
                service=report.service,
                address=report.address,
                versions=[ref.version for ref in report.versions or ()],
            )
        if endpoint.leaving and not was_leaving:
            log_change("endpoint leaves", endpoint=report.name, reason="register")

    def _note_lapsed(self, names: set[str], now: float) -> None:
        """Keep endpoints for a while whose entries were lost during an outage."""
        for endpoint in self.table.endpoints.values():
            if not endpoint.listed or endpoint.leaving or endpoint.name in names:
                continue
            self.lapsed[endpoint.name] = now + LAPSE_GRACE_SECONDS
            log_change("entry may have lapsed", endpoint=endpoint.name)

    def _index(self) -> None:
        members: dict[str, list[Endpoint]] = {}
        for endpoint in self.table.endpoints.values():
            members.setdefault(endpoint.service, []).append(endpoint)
        for service, found in members.items():
            known = self.by_service.get(service)
            if known is None or set(known.endpoints) != set(found):
                self.by_service[service] = Pool(endpoints=found)
        for service in tuple(self.by_service):
            if service not in members:
                del self.by_service[service]


def version_of(endpoint: Endpoint) -> str:
    """Return the software version that an endpoint of a service runs."""
    for ref in endpoint.versions:
        if isinstance(ref, VersionRef) and ref.model == endpoint.service:
            return ref.version
    return ""


def group_name(service: str, version: str) -> str:
    """Return what all endpoints of a version are called together."""
    return f"{service}/{version}"

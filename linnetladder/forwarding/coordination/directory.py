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


class EndpointDirectory:
    """Keep the endpoint table in step with the register's readings."""

    def __init__(self, *, table: EndpointTable, loads: EndpointLoads, clock: Clock):
        self.table = table
        self.loads = loads
        self.clock = clock
        self.last_read = math.inf
        self.lapsed_until: dict[str, float] = {}
        self.read_once = False
        self.pools_by_service: dict[str, Pool] = {}

    def apply(
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
        self.lapsed_until = {
            name: until
            for name, until in self.lapsed_until.items()
            if until > now and name not in names
        }
        self.table.keep_listed(names | self.lapsed_until.keys())
        self._index()

    def confirm(self, since: float) -> None:
        """Take in that the last reading still held at a moment."""
        self.last_read = max(self.last_read, since)

    @property
    def is_settled(self) -> bool:
        """Whether no entry may still come back after an outage."""
        return not self.lapsed_until

    def pool(self, service: str) -> Pool | None:
        """Return the endpoints of a service, whether or not they accept work."""
        return self.pools_by_service.get(service)

    def mark_leaving(self, endpoint: Endpoint, *, reason: str) -> None:
        """Believe that an endpoint is leaving."""
        if endpoint.leaving:
            return
        self.table.mark_leaving(endpoint.name, endpoint.incarnation)
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
        if endpoint.leaving and not was_leaving:
            log_change("endpoint leaves", endpoint=report.name, reason="register")

    def _note_lapsed(self, names: set[str], now: float) -> None:
        """Keep endpoints for a while whose entries were lost during an outage."""
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
    """Return the software version that an endpoint of a service runs."""
    for ref in endpoint.versions:
        if isinstance(ref, VersionRef) and ref.model == endpoint.service:
            return ref.version
    return ""


def group_name(service: str, version: str) -> str:
    """Return what all endpoints of a version are called together."""
    return f"{service}/{version}"

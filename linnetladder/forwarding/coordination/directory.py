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

__all__ = ["Directory"]

# Entries that lapsed while the register was away are back within this time of its
# return, by the platform's word; a second more covers the interval between reads.
LAPSE_GRACE_SECONDS = 3.0
# Readings further apart than this mean that at least one was lost to an outage of the
# register; they come at intervals well below it.
OUTAGE_SECONDS = 2.2


class Directory:
    """Keep the endpoint table in step with the register's readings."""

    def __init__(self, *, table: EndpointTable, loads: EndpointLoads, clock: Clock):
        self.table = table
        self.loads = loads
        self.clock = clock
        self.last_read = math.inf
        self.lapse_until = -math.inf
        self.read_once = False
        self.by_service: dict[str, Pool] = {}

    def take(self, reports: Iterable[EndpointReport]) -> None:
        """Take in one complete reading."""
        now = self.clock.monotonic()
        if now - self.last_read > OUTAGE_SECONDS:
            self.lapse_until = now + LAPSE_GRACE_SECONDS
        self.last_read = now
        self.read_once = True
        names = set()
        for report in reports:
            names.add(report.name)
            self._merge(report)
        self.table.keep_listed(names | self._lapsed(names, now))
        self._index()

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
            self.loads.forget(report.name)
            log_change(
                "endpoint registered",
                endpoint=report.name,
                service=report.service,
                address=report.address,
                versions=[ref.version for ref in report.versions or ()],
            )
        if endpoint.leaving and not was_leaving:
            log_change("endpoint leaves", endpoint=report.name, reason="register")

    def _lapsed(self, names: set[str], now: float) -> set[str]:
        """Return endpoints whose entries may only have lapsed in an outage."""
        if now >= self.lapse_until:
            return set()
        return {
            endpoint.name
            for endpoint in self.table.endpoints.values()
            if endpoint.listed and not endpoint.leaving and endpoint.name not in names
        }

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

"""The table of endpoints, merged from sources that lag and may disagree.

A report from any source that an incarnation is leaving is accepted, and no outdated
report reverts it. An incarnation that was replaced never comes back.
"""

import collections
from collections.abc import Iterable

from linnetladder.state.endpoints import Endpoint, EndpointReport
from linnetladder.state.pools import Pool
from linnetladder.state.versions import VersionRef

__all__ = ["EndpointTable", "Target"]

MAXIMUM_DEPARTED_INCARNATIONS = 4096

# A version, or the name of a plain service.
Target = VersionRef | str


class EndpointTable:
    """Endpoints by name, and the pools that serve a version or a plain service.

    ``departed`` holds the latest incarnations that are leaving or were replaced, by
    endpoint name and incarnation; ``departures`` increases with each one added.
    """

    def __init__(self):
        self.endpoints: dict[str, Endpoint] = {}
        self.pools: dict[Target, Pool] = {}
        self.departed: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )
        self.departures = 0

    def merge(self, report: EndpointReport) -> Endpoint:
        """Merge a report from any source and return the resulting endpoint."""
        if report.leaving:
            self._record_departure(report.name, report.incarnation)
        existing = self.endpoints.get(report.name)
        if existing is None:
            return self._add(report)
        if existing.incarnation == report.incarnation:
            self._update(existing, report)
            return existing
        if (report.name, report.incarnation) in self.departed:
            return existing
        self._record_departure(existing.name, existing.incarnation)
        existing.leaving = True
        return self._add(report)

    def mark_leaving(self, name: str, incarnation: str) -> None:
        """Mark one incarnation of an endpoint as leaving."""
        self._record_departure(name, incarnation)
        existing = self.endpoints.get(name)
        if existing is not None and existing.incarnation == incarnation:
            existing.leaving = True

    def update_listed(self, names: Iterable[str]) -> None:
        """Stop sending work to endpoints that the platform no longer lists.

        ``names`` are the endpoints that count as listed. The others are removed as soon
        as this daemon has no request in flight at them.
        """
        listed = set(names)
        for endpoint in self.endpoints.values():
            endpoint.listed = endpoint.name in listed
        removable = [e.name for e in self.endpoints.values() if _is_removable(e)]
        for name in removable:
            del self.endpoints[name]
        if removable:
            self._rebuild_pools()

    def reports(self) -> tuple[EndpointReport, ...]:
        """Return a report on every listed endpoint, for a newly started daemon."""
        return tuple(
            EndpointReport(
                name=endpoint.name,
                incarnation=endpoint.incarnation,
                address=endpoint.address,
                failure_domain=endpoint.failure_domain,
                service=endpoint.service,
                versions=endpoint.versions,
                capacity=endpoint.capacity,
                leaving=endpoint.leaving,
            )
            for endpoint in self.endpoints.values()
            if endpoint.listed
        )

    def pool(self, target: Target) -> Pool | None:
        """Return the pool that serves a target, or ``None`` if there is none."""
        return self.pools.get(target)

    def accepts_work(self, target: Target, now: float) -> bool:
        """Return whether at least one endpoint accepts work for a target."""
        pool = self.pools.get(target)
        return pool is not None and any(e.accepts_work(now) for e in pool.endpoints)

    def _add(self, report: EndpointReport) -> Endpoint:
        endpoint = Endpoint(
            name=report.name,
            incarnation=report.incarnation,
            address=report.address,
            failure_domain=report.failure_domain,
            service=report.service,
            leaving=(report.name, report.incarnation) in self.departed,
        )
        self.endpoints[report.name] = endpoint
        self._update(endpoint, report)
        self._rebuild_pools()
        return endpoint

    def _update(self, endpoint: Endpoint, report: EndpointReport) -> None:
        endpoint.leaving = endpoint.leaving or report.leaving
        if report.capacity is not None:
            endpoint.capacity = max(report.capacity, 1)
        if report.in_flight is not None:
            others = report.in_flight - endpoint.in_flight
            endpoint.others_in_flight = max(others, 0)
        if report.versions is not None and report.versions != endpoint.versions:
            endpoint.versions = report.versions
            self._rebuild_pools()

    def _record_departure(self, name: str, incarnation: str) -> None:
        if (name, incarnation) not in self.departed:
            self.departures += 1
        self.departed[(name, incarnation)] = None
        if len(self.departed) > MAXIMUM_DEPARTED_INCARNATIONS:
            self.departed.popitem(last=False)

    def _rebuild_pools(self) -> None:
        members: dict[Target, list[Endpoint]] = {}
        for endpoint in self.endpoints.values():
            for target in endpoint.versions or (endpoint.service,):
                members.setdefault(target, []).append(endpoint)
        self.pools = {
            target: Pool(endpoints=pool_members)
            for target, pool_members in members.items()
        }


def _is_removable(endpoint: Endpoint) -> bool:
    return not endpoint.listed and endpoint.in_flight == 0

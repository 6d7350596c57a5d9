"""All endpoints a daemon knows, merged from sources that lag and may disagree.

Leaving is believed from any source and is never undone for the same incarnation,
whatever an older report says. An incarnation that was replaced never comes back.
"""

import collections
from collections.abc import Iterable

from linnetladder.state.endpoints import Endpoint, EndpointReport
from linnetladder.state.pools import Pool
from linnetladder.state.versions import VersionRef

__all__ = ["EndpointTable", "Target"]

MAXIMUM_DEPARTED_INCARNATIONS = 4096

Target = VersionRef | str


class EndpointTable:
    """Endpoints by name, and the pools that serve a version or a plain service."""

    def __init__(self):
        self.endpoints: dict[str, Endpoint] = {}
        self.pools: dict[Target, Pool] = {}
        self.departed: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )
        self.departures = 0

    def merge(self, report: EndpointReport) -> Endpoint:
        """Take in one report, from whichever source, and return what now holds."""
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
        """Believe that one incarnation of an endpoint is leaving."""
        self._record_departure(name, incarnation)
        existing = self.endpoints.get(name)
        if existing is not None and existing.incarnation == incarnation:
            existing.leaving = True

    def update_listed(self, names: Iterable[str]) -> None:
        """Stop sending work to endpoints that the platform no longer lists."""
        listed = set(names)
        for endpoint in self.endpoints.values():
            endpoint.listed = endpoint.name in listed
        removable = [e.name for e in self.endpoints.values() if _is_removable(e)]
        for name in removable:
            del self.endpoints[name]
        if removable:
            self._rebuild_pools()

    def reports(self) -> tuple[EndpointReport, ...]:
        """Return what is known of every listed endpoint, for a daemon that is new."""
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
        """Return the endpoints that serve a target, if there are any."""
        return self.pools.get(target)

    def accepts_work(self, target: Target, now: float) -> bool:
        """Tell whether at least one endpoint accepts work for a target."""
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

"""The current endpoints, from a registry that may lose entries during an outage."""

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


class EndpointDirectory:
    """Keeps the endpoint table up to date with what is read from the registry."""

    def __init__(self, *, table: EndpointTable, loads: EndpointLoads, clock: Clock):
        self.table = table
        self.loads = loads
        self.clock = clock
        self.last_read = math.inf
        self.lapsed_until: dict[str, float] = {}
        self.read_once = False
        self.on_leaving: Callable[[], None] = _do_nothing
        self.pools_by_service: dict[str, Pool] = {}

    def apply(
        self, reports: Iterable[EndpointReport], *, interval: float = 1.25
    ) -> None:
        """Update the table from one complete read of the registry.

        ``interval`` is the usual time between two reads, in seconds.
        """
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
        self.table.update_listed(names | self.lapsed_until.keys())
        self._index()

    def confirm(self, since: float) -> None:
        """Record that the last content read was still current at a time."""
        self.last_read = max(self.last_read, since)

    @property
    def is_settled(self) -> bool:
        """Whether no entry that lapsed in an outage may still come back."""
        return not self.lapsed_until

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
        if endpoint.leaving and not was_leaving:
            log_change("endpoint leaves", endpoint=report.name, reason="register")

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

"""One endpoint as seen by a daemon: load, health, and whether it is leaving."""

import dataclasses

from linnetladder.state.versions import VersionRef

__all__ = ["Endpoint", "EndpointReport"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointReport:
    """One source's report on an endpoint; ``None`` where the source has no value.

    ``capacity`` is the number of requests that the endpoint runs at once; ``in_flight``
    is the number that it runs or holds queued, from all daemons. ``revision`` is the
    revision of the entry in a registry, 0 from sources that have none.

    ``cold_seconds`` is how much longer the endpoint was cold when it reported, and
    ``started_at`` the Unix time of its start in seconds.
    """

    name: str
    incarnation: str
    address: str
    failure_domain: str
    service: str
    versions: frozenset[VersionRef] | None = None
    capacity: int | None = None
    in_flight: int | None = None
    leaving: bool = False
    revision: int = 0
    cold_seconds: float | None = None
    started_at: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Endpoint:
    """An endpoint as seen by this daemon; times are of the monotonic clock.

    ``in_flight`` counts this daemon's own requests; ``others_in_flight`` is the number
    of further requests according to the last report. ``listed`` is false for an
    endpoint that the platform no longer lists.
    """

    name: str
    incarnation: str
    address: str
    failure_domain: str
    service: str
    versions: frozenset[VersionRef] = frozenset()
    capacity: int = 1
    in_flight: int = 0
    others_in_flight: int = 0
    leaving: bool = False
    listed: bool = True
    ejected_until: float = 0.0
    consecutive_failures: int = 0
    ejections: int = 0

    def accepts_work(self, now: float) -> bool:
        """Return whether new work may be sent to this endpoint."""
        return self.listed and not self.leaving and now >= self.ejected_until

    def has_capacity(self, now: float) -> bool:
        """Return whether the endpoint accepts work and is below its capacity."""
        return self.accepts_work(now) and self.load < 1.0

    @property
    def load(self) -> float:
        """The share of capacity in use by this daemon and, as reported, by others."""
        return (self.in_flight + self.others_in_flight) / self.capacity

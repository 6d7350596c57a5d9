"""Demand for services: the requests a second that callers send to all daemons."""

import dataclasses
import math
import statistics
from collections.abc import Callable, Iterable

from linnetladder.forwarding.coordination.decayed_sum import DecayedSum
from linnetladder.forwarding.coordination.endpoint_load import RECENT_SECONDS
from linnetladder.forwarding.coordination.room import EndpointRoom
from linnetladder.state import Clock

__all__ = ["DEMAND_ROW_BYTES", "Demand", "DemandRow", "ServiceDemand"]

# Half-life of the counts of requests.
HALF_LIFE_SECONDS = 1.0
# Demand is told to peers for this long after all endpoints were full.
SHORT_SECONDS = 3.0
# Upper estimate of the compressed bytes of a row in a report.
DEMAND_ROW_BYTES = 30
# Sums over peers are computed again after this time.
REFRESH_SECONDS = 0.1
# Reports that seem older than this come from a daemon with another clock.
MAXIMUM_AGE_SECONDS = 5.0

# Service, requests a second that are not urgent, urgent ones, seconds in a slot.
DemandRow = tuple[str, float, float, float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Requests a second over all daemons; ``age`` is the mean age of peers' reports.

    ``others`` are those that are not urgent.
    """

    others: float
    urgent: float
    age: float

    def exceeds(self, rate: float) -> bool:
        """Return whether callers send more than a rate that is known."""
        return 0.0 < rate < self.others + self.urgent


@dataclasses.dataclass(slots=True, kw_only=True)
class DemandReport:
    """What a peer reported, and when: on this daemon's clock, and its own Unix time."""

    received: float
    sent_at: float
    rows: list[DemandRow]


class ServiceDemand:
    """Counts this daemon's requests and adds up what peers report."""

    def __init__(self, *, room: EndpointRoom, clock: Clock):
        self.room = room
        self.clock = clock
        self.requests: dict[tuple[str, bool], DecayedSum] = {}
        self.short_at: dict[str, float] = {}
        self.is_full: Callable[[str], bool] = _return_false
        self.reports: dict[str, DemandReport] = {}
        self.peer_sums: dict[str, Demand] = {}
        self.updated = -math.inf

    def count(self, service: str, *, urgent: bool) -> None:
        """Count a request of a caller."""
        key = (service, urgent)
        requests = self.requests.setdefault(key, DecayedSum(HALF_LIFE_SECONDS))
        requests.add(self.clock.monotonic(), 1.0)

    def export(self) -> list[DemandRow]:
        """Return rows for a report: the services that were full lately."""
        now = self.clock.monotonic()
        for service, _ in self.requests:
            if self.is_full(service):
                self.short_at[service] = now
        return [
            (
                service,
                self._own(service, urgent=False),
                self._own(service, urgent=True),
                self.room.own_held(service),
            )
            for service in self.full_services()
        ]

    def full_services(self) -> list[str]:
        """Return the services that were full lately."""
        since = self.clock.monotonic() - SHORT_SECONDS
        return [name for name, full_at in self.short_at.items() if full_at >= since]

    def scale(self, reports: int) -> float:
        """Return the factor from the sums over some peers to those over all."""
        return max((self.room.loads.daemons - 1) / max(reports, 1), 1.0)

    def learn(
        self, peer: str, rows: Iterable[DemandRow], *, sent_at: float = 0.0
    ) -> None:
        """Replace what a peer reported; ``sent_at`` is its Unix time, 0 if unknown."""
        self.reports[peer] = DemandReport(
            received=self.clock.monotonic(), sent_at=sent_at, rows=list(rows)
        )

    def total(self, service: str) -> Demand:
        """Return the demand for a service over this daemon and its peers."""
        peers = self._peer_sums().get(service)
        return Demand(
            others=self._own(service, urgent=False) + (peers.others if peers else 0.0),
            urgent=self._own(service, urgent=True) + (peers.urgent if peers else 0.0),
            age=peers.age if peers else 0.0,
        )

    def _own(self, service: str, *, urgent: bool) -> float:
        """Return the requests a second that callers send to this daemon."""
        requests = self.requests.get((service, urgent))
        if requests is None:
            return 0.0
        return requests.at(self.clock.monotonic()) * math.log(2) / HALF_LIFE_SECONDS

    def _age(self, report: DemandReport) -> float:
        """Return a report's age in seconds, also of the time that it travelled."""
        age = self.clock.unix() - report.sent_at
        received_age = self.clock.monotonic() - report.received
        return age if received_age <= age <= MAXIMUM_AGE_SECONDS else received_age

    def _peer_sums(self) -> dict[str, Demand]:
        """Return the sums of recent reports, scaled up to the number of peers."""
        now = self.clock.monotonic()
        if now - self.updated < REFRESH_SECONDS:
            return self.peer_sums
        self.updated = now
        for peer, report in list(self.reports.items()):
            if now - report.received > RECENT_SECONDS:
                del self.reports[peer]
        number = max(len(self.reports), 1)
        scale = self.scale(number)
        age = sum(map(self._age, self.reports.values())) / number
        sums: dict[str, tuple[float, float]] = {}
        held: dict[str, list[float]] = {}
        for report in self.reports.values():
            for service, others, urgent, seconds in report.rows:
                known = sums.get(service, (0.0, 0.0))
                sums[service] = (known[0] + others, known[1] + urgent)
                if seconds > 0:
                    held.setdefault(service, []).append(seconds)
        for service, values in held.items():
            self.room.peer_held[service] = statistics.median(values)
        self.peer_sums = {
            service: Demand(others=others * scale, urgent=urgent * scale, age=age)
            for service, (others, urgent) in sums.items()
        }
        return self.peer_sums


def _return_false(service: str) -> bool:
    """Return that no service is full; the default."""
    return False

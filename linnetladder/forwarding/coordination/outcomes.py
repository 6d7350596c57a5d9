"""How well endpoints answer, by route, here and at peers, fading with time.

A row counts the answers of one endpoint on one route. Its counts halve every few
seconds, so that a version that turns bad late is not excused by its past.
"""

import dataclasses
import math

from linnetladder.state import Clock

__all__ = ["Outcomes", "Row", "Tally"]

HALF_LIFE_SECONDS = 6.0
NEGLIGIBLE = 0.05
# An answer counts as slow at this many times of what the route's answers take.
SLOW_FACTOR = 3.5
SLOW_MINIMUM_SECONDS = 0.12
LATENCY_WEIGHT = 0.08
PEER_ROWS_SECONDS = 6.0


@dataclasses.dataclass(slots=True)
class Row:
    """Faded counts of answers and of bad ones among them."""

    bad: float = 0.0
    total: float = 0.0
    updated: float = 0.0

    def fade(self, now: float) -> None:
        """Bring the counts up to a moment."""
        factor = 0.5 ** ((now - self.updated) / HALF_LIFE_SECONDS)
        self.bad *= factor
        self.total *= factor
        self.updated = now


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts of a group of endpoints, and how many of them answered badly."""

    bad: float = 0.0
    total: float = 0.0
    endpoints_bad: int = 0
    endpoints: int = 0

    @property
    def share(self) -> float:
        """The share of bad answers."""
        return self.bad / self.total if self.total else 0.0


class Outcomes:
    """Rows by endpoint and route, of this daemon and of each peer."""

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.rows: dict[tuple[str, str], Row] = {}
        self.peers: dict[str, tuple[float, dict[tuple[str, str], Row]]] = {}
        self.latency: dict[tuple[str, str], float] = {}

    def add(self, endpoint: str, route: str, *, bad: bool) -> None:
        """Count one answer."""
        now = self.clock.monotonic()
        row = self.rows.get((endpoint, route))
        if row is None:
            row = self.rows[(endpoint, route)] = Row(updated=now)
        row.fade(now)
        row.total += 1
        row.bad += bad

    def is_slow(self, route: str, model: str, seconds: float, *, learn: bool) -> bool:
        """Tell whether a first byte came far later than is usual for its route."""
        usual = self.latency.get((route, model))
        if usual is None:
            if learn:
                self.latency[(route, model)] = seconds
            return False
        slow = seconds > max(usual * SLOW_FACTOR, SLOW_MINIMUM_SECONDS)
        if learn:
            capped = min(seconds, usual * SLOW_FACTOR)
            self.latency[(route, model)] = usual + (capped - usual) * LATENCY_WEIGHT
        return slow

    def export(self) -> list[tuple[str, str, float, float]]:
        """Return this daemon's rows that still matter."""
        now = self.clock.monotonic()
        found = []
        for key, row in list(self.rows.items()):
            row.fade(now)
            if row.total < NEGLIGIBLE:
                del self.rows[key]
                continue
            found.append((*key, round(row.bad, 2), round(row.total, 2)))
        return found

    def learn(self, peer: str, rows: list[tuple[str, str, float, float]]) -> None:
        """Replace what a peer said."""
        now = self.clock.monotonic()
        table = {
            (endpoint, route): Row(bad, total, now)
            for endpoint, route, bad, total in rows
        }
        self.peers[peer] = (now, table)

    def tally(self, endpoints: frozenset[str], route: str | None = None) -> Tally:
        """Sum the rows of some endpoints, on one route or on all."""
        now = self.clock.monotonic()
        by_endpoint: dict[str, list[float]] = {}
        for (endpoint, row_route), row in self._all_rows(now):
            if endpoint not in endpoints or route not in (None, row_route):
                continue
            row.fade(now)
            counts = by_endpoint.setdefault(endpoint, [0.0, 0.0])
            counts[0] += row.bad
            counts[1] += row.total
        tally = Tally()
        for bad, total in by_endpoint.values():
            tally.bad += bad
            tally.total += total
            tally.endpoints += 1
            tally.endpoints_bad += bad >= 0.5
        return tally

    def bad_share(self, endpoint: str) -> float:
        """Return an endpoint's share of bad answers, shrunk towards none."""
        tally = self.tally(frozenset((endpoint,)))
        return tally.bad / (tally.total + 4.0)

    def routes(self) -> set[str]:
        """Return the routes that have rows."""
        return {key[1] for key, _ in self._all_rows(self.clock.monotonic())}

    def _all_rows(self, now: float):
        yield from list(self.rows.items())
        for peer, (heard, table) in list(self.peers.items()):
            if now - heard > PEER_ROWS_SECONDS:
                del self.peers[peer]
                continue
            yield from table.items()


def evidence_of_badness(candidate: Tally, baseline: Tally) -> float:
    """Return the log likelihood ratio of a bad against a usual share of bad answers.

    The usual share is the baseline's, shrunk towards a small prior; bad means three
    times that and at least a fifth.
    """
    usual = (baseline.bad + 0.3) / (baseline.total + 10.0)
    usual = min(max(usual, 0.01), 0.6)
    worse = min(max(3.0 * usual, 0.2), 0.9)
    good = max(candidate.total - candidate.bad, 0.0)
    return candidate.bad * math.log(worse / usual) + good * math.log(
        (1 - worse) / (1 - usual)
    )

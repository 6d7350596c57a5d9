"""How well endpoints answer, by route, here and at peers, fading with time.

A row counts the answers of one endpoint on one route. Its counts halve every few
seconds, so that a version that turns bad late is not excused by its past.
"""

import dataclasses
import enum
import math

from linnetladder.state import Clock

__all__ = ["Outcomes", "Row", "Tally", "Verdict", "evidence_of_badness"]

# Recent answers show a change soon; a longer memory adds up the few answers of a
# version that gets little traffic yet.
RECENT_HALF_LIFE_SECONDS = 6.0
LONG_HALF_LIFE_SECONDS = 25.0
NEGLIGIBLE = 0.05
# An answer counts as slow at this many times of what the route's answers take.
SLOW_FACTOR = 3.5
SLOW_MINIMUM_SECONDS = 0.12
LATENCY_WEIGHT = 0.08
PEER_ROWS_SECONDS = 6.0
# Shares are summed up over all peers' rows this often, not for each request.
SHARES_SECONDS = 0.25
# Good attempts that an endpoint is credited with.
SHARE_PRIOR = 4.0
# Falls of the share of good answers that are looked for.
DROPS = (0.15, 0.3, 0.5, 0.7)


class Verdict(enum.IntEnum):
    """How one attempt went.

    ``FAILED`` is an answer that says so or came far too late; ``BROKEN`` a call that
    gave no answer, which may be the network's fault.
    """

    GOOD = 0
    FAILED = 1
    BROKEN = 2


@dataclasses.dataclass(slots=True)
class Row:
    """Faded counts: all answers, failed ones, and calls that broke."""

    broken: float = 0.0
    failed: float = 0.0
    total: float = 0.0
    long_failed: float = 0.0
    long_total: float = 0.0
    updated: float = 0.0

    def fade(self, now: float) -> None:
        """Bring the counts up to a moment."""
        elapsed = now - self.updated
        if elapsed <= 0:
            return
        recent = 0.5 ** (elapsed / RECENT_HALF_LIFE_SECONDS)
        self.broken *= recent
        self.failed *= recent
        self.total *= recent
        longer = 0.5 ** (elapsed / LONG_HALF_LIFE_SECONDS)
        self.long_failed *= longer
        self.long_total *= longer
        self.updated = now

    def counts(self) -> tuple[float, float, float, float, float]:
        """Return the counts in the order of the fields."""
        return (
            self.broken,
            self.failed,
            self.total,
            self.long_failed,
            self.long_total,
        )


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts of a group of endpoints, and how many of them answered badly."""

    counts: Row = dataclasses.field(default_factory=Row)
    endpoints_failed: int = 0
    endpoints: int = 0


class Outcomes:
    """Rows by endpoint and route, of this daemon and of each peer."""

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.rows: dict[tuple[str, str], Row] = {}
        self.peers: dict[str, tuple[float, dict[tuple[str, str], Row]]] = {}
        self.latency: dict[tuple[str, str], float] = {}
        self.shares: dict[str, float] = {}
        self.shared = -math.inf

    def add(self, endpoint: str, route: str, verdict: Verdict) -> None:
        """Count one attempt."""
        now = self.clock.monotonic()
        row = self.rows.get((endpoint, route))
        if row is None:
            row = self.rows[(endpoint, route)] = Row(updated=now)
        row.fade(now)
        row.total += 1
        row.broken += verdict is Verdict.BROKEN
        if verdict is not Verdict.BROKEN:
            row.failed += verdict is Verdict.FAILED
            row.long_failed += verdict is Verdict.FAILED
            row.long_total += 1

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

    def export(self) -> list[tuple[str, str, float, float, float, float, float]]:
        """Return this daemon's rows that still matter."""
        now = self.clock.monotonic()
        found = []
        for key, row in list(self.rows.items()):
            row.fade(now)
            if row.total < NEGLIGIBLE and row.long_total < NEGLIGIBLE:
                del self.rows[key]
                continue
            found.append((*key, *(round(count, 2) for count in row.counts())))
        return found

    def learn(
        self,
        peer: str,
        rows: list[tuple[str, str, float, float, float, float, float]],
    ) -> None:
        """Replace what a peer said."""
        now = self.clock.monotonic()
        table = {
            (endpoint, route): Row(*counts, now) for endpoint, route, *counts in rows
        }
        self.peers[peer] = (now, table)

    def tally(self, endpoints: frozenset[str], route: str | None = None) -> Tally:
        """Sum the rows of some endpoints, on one route or on all."""
        now = self.clock.monotonic()
        by_endpoint: dict[str, Row] = {}
        for (endpoint, row_route), row in self._all_rows(now):
            if endpoint not in endpoints or route not in (None, row_route):
                continue
            row.fade(now)
            _add(by_endpoint.setdefault(endpoint, Row()), row)
        tally = Tally()
        for row in by_endpoint.values():
            _add(tally.counts, row)
            tally.endpoints += 1
            tally.endpoints_failed += row.long_failed >= 0.5
        return tally

    def bad_share(self, endpoint: str) -> float:
        """Return an endpoint's share of bad attempts, shrunk towards none."""
        now = self.clock.monotonic()
        if now - self.shared >= SHARES_SECONDS:
            self.shared = now
            self.shares = self._bad_shares(now)
        return self.shares.get(endpoint, 0.0)

    def _bad_shares(self, now: float) -> dict[str, float]:
        sums: dict[str, list[float]] = {}
        for (endpoint, _), row in self._all_rows(now):
            row.fade(now)
            counts = sums.setdefault(endpoint, [0.0, 0.0])
            counts[0] += row.failed + row.broken
            counts[1] += row.total
        return {
            endpoint: bad / (total + SHARE_PRIOR)
            for endpoint, (bad, total) in sums.items()
        }

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


def _add(total: Row, row: Row) -> None:
    total.broken += row.broken
    total.failed += row.failed
    total.total += row.total
    total.long_failed += row.long_failed
    total.long_total += row.long_total


def evidence_of_badness(candidate: Row, baseline: Row) -> float:
    """Return the log likelihood ratio of a bad against a usual share of failures.

    The usual share is the baseline's, shrunk towards a small prior. Of all falls that
    are looked for, over the recent and the longer memory, the likeliest one counts,
    less what looking for several of them costs.
    """
    pairs = (
        (candidate.failed, candidate.total - candidate.broken),
        (candidate.long_failed, candidate.long_total),
    )
    usual = (baseline.long_failed + 0.3) / (baseline.long_total + 10.0)
    usual = min(max(usual, 0.01), 0.6)
    best = -math.inf
    for failed, total in pairs:
        good = max(total - failed, 0.0)
        for drop in DROPS:
            worse = usual + (1 - usual) * drop
            ratio = failed * math.log(worse / usual)
            ratio += good * math.log((1 - worse) / (1 - usual))
            best = max(best, ratio)
    return best - math.log(len(DROPS) * len(pairs))

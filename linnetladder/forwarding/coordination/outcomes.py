"""How well endpoints answer, by route, here and at peers, fading with time.

A row counts the answers of one endpoint on one route. Its counts halve every few
seconds, so that a version that turns bad late is not excused by its past.
"""

import dataclasses
import enum
import math
from collections.abc import Callable

from linnetladder.state import Clock

__all__ = [
    "Outcomes",
    "Row",
    "Tally",
    "Verdict",
    "evidence_of_badness",
    "evidence_of_slowness",
]

# Recent answers show a change soon; a longer memory adds up the few answers of a
# version that gets little traffic yet.
RECENT_HALF_LIFE_SECONDS = 6.0
LONG_HALF_LIFE_SECONDS = 25.0
NEGLIGIBLE = 0.05
LEARNING_WEIGHT = 0.08
LEAST_SECONDS = 1e-4
# Loads are parted by powers of two of the requests in flight, up to 31 and more.
LARGEST_LOAD_CLASS = 5
# Ten times longer than usual; what is later still says no more.
LARGEST_LATENESS = 2.3
# An answer of 2.5 times the usual length counts as slow.
SLOW_LATENESS = 0.92
# Times of 1.5 and more than the old version's are a fault of a new one.
SMALLEST_SLOWNESS = 0.4
LEAST_TIMED = 4.0
LEAST_VARIANCE = 0.1
SLOWNESS_PENALTY = 1.5
LEAST_SLOW = 2.5
PEER_ROWS_SECONDS = 6.0
# Shares are summed up over all peers' rows this often, not for each request.
SHARES_SECONDS = 0.25
# With more peers the sums are made less often, so that they take the same time.
PEERS_AT_ONCE = 12
# Good attempts that an endpoint is credited with.
SHARE_PRIOR = 4.0
# Falls of the share of good answers that are looked for.
DROPS = (0.15, 0.3, 0.5, 0.7)


class Verdict(enum.IntEnum):
    """How one attempt went.

    ``FAILED`` is an answer that says so; ``BROKEN`` a call that gave no answer, which
    may be the network's fault.
    """

    GOOD = 0
    FAILED = 1
    BROKEN = 2


@dataclasses.dataclass(slots=True)
class Row:
    """Faded counts: all answers, failed ones, and calls that broke.

    ``timed`` counts the answers whose pace is known; ``lateness`` is the sum of the
    logarithms of how much longer than usual they took, ``lateness_squared`` that of
    their squares, ``slow`` how many were far too long.
    """

    broken: float = 0.0
    failed: float = 0.0
    total: float = 0.0
    long_failed: float = 0.0
    long_total: float = 0.0
    timed: float = 0.0
    lateness: float = 0.0
    lateness_squared: float = 0.0
    slow: float = 0.0
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
        self.timed *= longer
        self.lateness *= longer
        self.lateness_squared *= longer
        self.slow *= longer
        self.updated = now

    @property
    def spoiled(self) -> bool:
        """Whether any attempt failed that still counts."""
        return self.failed + self.broken + self.long_failed >= NEGLIGIBLE

    def counts(self) -> tuple[float, ...]:
        """Return the counts in the order of the fields."""
        return tuple(getattr(self, name) for name in COUNTS)


COUNTS = tuple(f.name for f in dataclasses.fields(Row) if f.name != "updated")


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
        self.usual: dict[tuple[str, str, int], float] = {}
        self.shares: dict[str, float] = {}
        self.shared = -math.inf

    def add(self, endpoint: str, route: str, verdict: Verdict) -> None:
        """Count one attempt."""
        row = self._row(endpoint, route)
        row.total += 1
        row.broken += verdict is Verdict.BROKEN
        if verdict is not Verdict.BROKEN:
            row.failed += verdict is Verdict.FAILED
            row.long_failed += verdict is Verdict.FAILED
            row.long_total += 1

    def add_time(
        self,
        endpoint: str,
        route: str,
        model: str,
        seconds: float,
        *,
        learn: bool,
        in_flight: int = 0,
    ) -> None:
        """Count how long something took, against what is usual for route and model.

        ``learn`` takes it into what is usual, which a version on trial must not set.
        ``in_flight`` is how many requests the endpoint had: a version on trial has
        few, and must not be excused by how slow the others are under their load.
        """
        lateness = self.lateness(
            route, model, seconds, learn=learn, in_flight=in_flight
        )
        if lateness is None:
            return
        row = self._row(endpoint, route)
        row.timed += 1
        row.lateness += lateness
        row.lateness_squared += lateness * lateness
        row.slow += lateness >= SLOW_LATENESS

    def _row(self, endpoint: str, route: str) -> Row:
        """Return a row of this daemon, faded up to now."""
        now = self.clock.monotonic()
        row = self.rows.get((endpoint, route))
        if row is None:
            row = self.rows[(endpoint, route)] = Row(updated=now)
        row.fade(now)
        return row

    def lateness(
        self, route: str, model: str, seconds: float, *, learn: bool, in_flight: int = 0
    ) -> float | None:
        """Return the logarithm of how much longer than usual something took.

        It is ``None`` while nothing is known of such a load or a higher one.
        """
        taken = math.log(max(seconds, LEAST_SECONDS))
        load_class = min((1 + in_flight).bit_length() - 1, LARGEST_LOAD_CLASS)
        usual = self._usual(route, model, load_class)
        if learn:
            own = self.usual.get((route, model, load_class), taken)
            own += (taken - own) * LEARNING_WEIGHT
            self.usual[(route, model, load_class)] = own
        if usual is None:
            return None
        return min(max(taken - usual, -LARGEST_LATENESS), LARGEST_LATENESS)

    def _usual(self, route: str, model: str, load_class: int) -> float | None:
        for at_load in range(load_class, LARGEST_LOAD_CLASS + 1):
            usual = self.usual.get((route, model, at_load))
            if usual is not None:
                return usual
        return None

    def export(
        self, group_of: Callable[[str], str | None]
    ) -> list[tuple[str, str, tuple[float, ...]]]:
        """Return this daemon's rows that still matter.

        Endpoints without a failure are told as one row of their group, since there are
        many of them and nobody asks after each; ``group_of`` names it, or ``None``.
        """
        self._forget_negligible()
        spoiled = {endpoint for (endpoint, _), row in self.rows.items() if row.spoiled}
        told: dict[tuple[str, str], Row] = {}
        for (endpoint, route), row in self.rows.items():
            group = None if endpoint in spoiled else group_of(endpoint)
            _add(told.setdefault((group or endpoint, route), Row()), row)
        return [
            (*key, tuple(round(count, 2) for count in row.counts()))
            for key, row in told.items()
        ]

    def _forget_negligible(self) -> None:
        now = self.clock.monotonic()
        for key, row in list(self.rows.items()):
            row.fade(now)
            if row.total < NEGLIGIBLE and row.long_total < NEGLIGIBLE:
                del self.rows[key]

    def learn(
        self,
        peer: str,
        rows: list[tuple[str, str, tuple[float, ...]]],
    ) -> None:
        """Replace what a peer said."""
        now = self.clock.monotonic()
        table = {
            (endpoint, route): Row(*counts, updated=now)
            for endpoint, route, counts in rows
            if len(counts) == len(COUNTS)
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
        pause = SHARES_SECONDS * max(1.0, len(self.peers) / PEERS_AT_ONCE)
        if now - self.shared >= pause:
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
    for name in COUNTS:
        setattr(total, name, getattr(total, name) + getattr(row, name))


def evidence_of_slowness(candidate: Row, baseline: Row) -> float:
    """Return the evidence that a candidate's answers take longer than usual.

    Either all of them do by some factor, which their mean shows, or a part of them far
    longer, which the share of slow ones shows.
    """
    if min(candidate.timed, baseline.timed) < LEAST_TIMED:
        return -math.inf
    by_share = -math.inf
    if candidate.slow >= LEAST_SLOW:
        usual = (baseline.slow + 0.3) / (baseline.timed + 10.0)
        by_share = _best_drop(candidate.slow, candidate.timed, usual)
        by_share -= math.log(len(DROPS))
    return max(by_share, _evidence_of_mean(candidate, baseline))


def _evidence_of_mean(candidate: Row, baseline: Row) -> float:
    """Return half the square of how many standard errors slower a candidate is.

    That is the log likelihood ratio of its own mean against the baseline's, less what
    looking at several routes costs. A small difference is no fault, however sure.
    """
    difference = candidate.lateness / candidate.timed
    difference -= baseline.lateness / baseline.timed
    if difference < SMALLEST_SLOWNESS:
        return -math.inf
    variance = _variance(candidate) / candidate.timed
    variance += _variance(baseline) / baseline.timed
    return difference * difference / variance / 2 - SLOWNESS_PENALTY


def _variance(row: Row) -> float:
    mean = row.lateness / row.timed
    return max(row.lateness_squared / row.timed - mean * mean, LEAST_VARIANCE)


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
    best = max(_best_drop(failed, total, usual) for failed, total in pairs)
    return best - math.log(len(DROPS) * len(pairs))


def _best_drop(bad: float, total: float, usual: float) -> float:
    """Return the log likelihood ratio of the likeliest fall against a usual share."""
    usual = min(max(usual, 0.01), 0.6)
    good = max(total - bad, 0.0)
    best = -math.inf
    for drop in DROPS:
        worse = usual + (1 - usual) * drop
        ratio = bad * math.log(worse / usual)
        ratio += good * math.log((1 - worse) / (1 - usual))
        best = max(best, ratio)
    return best

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
NEGLIGIBLE_COUNT = 0.05
MOVING_AVERAGE_WEIGHT = 0.08
MINIMUM_SECONDS = 1e-4
# Loads are parted by powers of two of the requests in flight, up to 31 and more.
MAXIMUM_LOAD_CLASS = 5
# Ten times longer than usual; what is later still says no more.
MAXIMUM_LOG_SLOWDOWN = 2.3
# An answer of 2.5 times the usual length counts as slow.
SLOW_ANSWER_LOG_SLOWDOWN = 0.92
# Times of 1.5 and more than the old version's are a fault of a new one.
MINIMUM_MEAN_LOG_SLOWDOWN = 0.4
MINIMUM_TIMED_ANSWERS = 4.0
MINIMUM_VARIANCE = 0.1
MULTIPLE_TESTING_PENALTY = 1.5
MINIMUM_SLOW_ANSWERS = 2.5
PEER_ROWS_TTL_SECONDS = 6.0
# Shares are summed up over all peers' rows this often, not for each request.
FAILURE_RATES_REFRESH_SECONDS = 0.25
# With more peers the sums are made less often, so that they take the same time.
PEERS_PER_REFRESH_INTERVAL = 12
# Good attempts that an endpoint is credited with.
PRIOR_GOOD_ATTEMPTS = 4.0
# Falls of the share of good answers that are looked for.
TESTED_DROPS = (0.15, 0.3, 0.5, 0.7)


class AttemptOutcome(enum.IntEnum):
    """How one attempt went.

    ``FAILED`` is an answer that says so; ``BROKEN`` a call that gave no answer, which
    may be the network's fault.
    """

    GOOD = 0
    FAILED = 1
    BROKEN = 2


@dataclasses.dataclass(slots=True)
class OutcomeCounts:
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
    log_slowdown: float = 0.0
    log_slowdown_squared: float = 0.0
    slow: float = 0.0
    updated: float = 0.0

    def decay(self, now: float) -> None:
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
        self.log_slowdown *= longer
        self.log_slowdown_squared *= longer
        self.slow *= longer
        self.updated = now

    @property
    def has_failures(self) -> bool:
        """Whether any attempt failed that still counts."""
        return self.failed + self.broken + self.long_failed >= NEGLIGIBLE_COUNT

    def counts(self) -> tuple[float, ...]:
        """Return the counts in the order of the fields."""
        return tuple(getattr(self, name) for name in COUNTS)


COUNTS = tuple(f.name for f in dataclasses.fields(OutcomeCounts) if f.name != "updated")


@dataclasses.dataclass(slots=True)
class GroupCounts:
    """Counts of a group of endpoints, and how many of them answered badly."""

    counts: OutcomeCounts = dataclasses.field(default_factory=OutcomeCounts)
    endpoints_failed: int = 0
    endpoints: int = 0


class Outcomes:
    """Rows by endpoint and route, of this daemon and of each peer."""

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.rows: dict[tuple[str, str], OutcomeCounts] = {}
        self.peer_rows: dict[
            str, tuple[float, dict[tuple[str, str], OutcomeCounts]]
        ] = {}
        self.expected: dict[tuple[str, str, int], float] = {}
        self.failure_rates: dict[str, float] = {}
        self.failure_rates_updated = -math.inf

    def add(self, endpoint: str, route: str, outcome: AttemptOutcome) -> None:
        """Count one attempt."""
        row = self._row(endpoint, route)
        row.total += 1
        row.broken += outcome is AttemptOutcome.BROKEN
        if outcome is not AttemptOutcome.BROKEN:
            row.failed += outcome is AttemptOutcome.FAILED
            row.long_failed += outcome is AttemptOutcome.FAILED
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
        log_slowdown = self.log_slowdown(
            route, model, seconds, learn=learn, in_flight=in_flight
        )
        if log_slowdown is None:
            return
        row = self._row(endpoint, route)
        row.timed += 1
        row.log_slowdown += log_slowdown
        row.log_slowdown_squared += log_slowdown * log_slowdown
        row.slow += log_slowdown >= SLOW_ANSWER_LOG_SLOWDOWN

    def _row(self, endpoint: str, route: str) -> OutcomeCounts:
        """Return a row of this daemon, faded up to now."""
        now = self.clock.monotonic()
        row = self.rows.get((endpoint, route))
        if row is None:
            row = self.rows[(endpoint, route)] = OutcomeCounts(updated=now)
        row.decay(now)
        return row

    def log_slowdown(
        self, route: str, model: str, seconds: float, *, learn: bool, in_flight: int = 0
    ) -> float | None:
        """Return the logarithm of how much longer than usual something took.

        It is ``None`` while nothing is known of such a load or a higher one.
        """
        log_seconds = math.log(max(seconds, MINIMUM_SECONDS))
        load_class = min((1 + in_flight).bit_length() - 1, MAXIMUM_LOAD_CLASS)
        expected = self._expected_log_seconds(route, model, load_class)
        if learn:
            average = self.expected.get((route, model, load_class), log_seconds)
            average += (log_seconds - average) * MOVING_AVERAGE_WEIGHT
            self.expected[(route, model, load_class)] = average
        if expected is None:
            return None
        return min(
            max(log_seconds - expected, -MAXIMUM_LOG_SLOWDOWN), MAXIMUM_LOG_SLOWDOWN
        )

    def _expected_log_seconds(
        self, route: str, model: str, load_class: int
    ) -> float | None:
        for known_load_class in range(load_class, MAXIMUM_LOAD_CLASS + 1):
            expected = self.expected.get((route, model, known_load_class))
            if expected is not None:
                return expected
        return None

    def export(
        self, group_of: Callable[[str], str | None]
    ) -> list[tuple[str, str, tuple[float, ...]]]:
        """Return this daemon's rows that still matter.

        Endpoints without a failure are told as one row of their group, since there are
        many of them and nobody asks after each; ``group_of`` names it, or ``None``.
        """
        self._drop_negligible()
        has_failures = {
            endpoint for (endpoint, _), row in self.rows.items() if row.has_failures
        }
        exported: dict[tuple[str, str], OutcomeCounts] = {}
        for (endpoint, route), row in self.rows.items():
            group = None if endpoint in has_failures else group_of(endpoint)
            _add(exported.setdefault((group or endpoint, route), OutcomeCounts()), row)
        return [
            (*key, tuple(round(count, 2) for count in row.counts()))
            for key, row in exported.items()
        ]

    def _drop_negligible(self) -> None:
        now = self.clock.monotonic()
        for key, row in list(self.rows.items()):
            row.decay(now)
            if row.total < NEGLIGIBLE_COUNT and row.long_total < NEGLIGIBLE_COUNT:
                del self.rows[key]

    def learn(
        self,
        peer: str,
        rows: list[tuple[str, str, tuple[float, ...]]],
    ) -> None:
        """Replace what a peer said."""
        now = self.clock.monotonic()
        table = {
            (endpoint, route): OutcomeCounts(*counts, updated=now)
            for endpoint, route, counts in rows
            if len(counts) == len(COUNTS)
        }
        self.peer_rows[peer] = (now, table)

    def group_counts(
        self, endpoints: frozenset[str], route: str | None = None
    ) -> GroupCounts:
        """Sum the rows of some endpoints, on one route or on all."""
        now = self.clock.monotonic()
        by_endpoint: dict[str, OutcomeCounts] = {}
        for (endpoint, row_route), row in self._all_rows(now):
            if endpoint not in endpoints or route not in (None, row_route):
                continue
            row.decay(now)
            _add(by_endpoint.setdefault(endpoint, OutcomeCounts()), row)
        group_counts = GroupCounts()
        for row in by_endpoint.values():
            _add(group_counts.counts, row)
            group_counts.endpoints += 1
            group_counts.endpoints_failed += row.long_failed >= 0.5
        return group_counts

    def failure_rate(self, endpoint: str) -> float:
        """Return an endpoint's share of bad attempts, shrunk towards none."""
        now = self.clock.monotonic()
        refresh_interval = FAILURE_RATES_REFRESH_SECONDS * max(
            1.0, len(self.peer_rows) / PEERS_PER_REFRESH_INTERVAL
        )
        if now - self.failure_rates_updated >= refresh_interval:
            self.failure_rates_updated = now
            self.failure_rates = self._failure_rates(now)
        return self.failure_rates.get(endpoint, 0.0)

    def _failure_rates(self, now: float) -> dict[str, float]:
        sums: dict[str, list[float]] = {}
        for (endpoint, _), row in self._all_rows(now):
            row.decay(now)
            counts = sums.setdefault(endpoint, [0.0, 0.0])
            counts[0] += row.failed + row.broken
            counts[1] += row.total
        return {
            endpoint: bad / (total + PRIOR_GOOD_ATTEMPTS)
            for endpoint, (bad, total) in sums.items()
        }

    def routes(self) -> set[str]:
        """Return the routes that have rows."""
        return {key[1] for key, _ in self._all_rows(self.clock.monotonic())}

    def _all_rows(self, now: float):
        yield from list(self.rows.items())
        for peer, (received_at, table) in list(self.peer_rows.items()):
            if now - received_at > PEER_ROWS_TTL_SECONDS:
                del self.peer_rows[peer]
                continue
            yield from table.items()


def _add(total: OutcomeCounts, row: OutcomeCounts) -> None:
    for name in COUNTS:
        setattr(total, name, getattr(total, name) + getattr(row, name))


def slowness_evidence(candidate: OutcomeCounts, baseline: OutcomeCounts) -> float:
    """Return the evidence that a candidate's answers take longer than usual.

    Either all of them do by some factor, which their mean shows, or a part of them far
    longer, which the share of slow ones shows.
    """
    if min(candidate.timed, baseline.timed) < MINIMUM_TIMED_ANSWERS:
        return -math.inf
    share_evidence = -math.inf
    if candidate.slow >= MINIMUM_SLOW_ANSWERS:
        expected = (baseline.slow + 0.3) / (baseline.timed + 10.0)
        share_evidence = _best_drop_evidence(candidate.slow, candidate.timed, expected)
        share_evidence -= math.log(len(TESTED_DROPS))
    return max(share_evidence, _mean_slowdown_evidence(candidate, baseline))


def _mean_slowdown_evidence(candidate: OutcomeCounts, baseline: OutcomeCounts) -> float:
    """Return half the square of how many standard errors slower a candidate is.

    That is the log likelihood ratio of its own mean against the baseline's, less what
    looking at several routes costs. A small difference is no fault, however sure.
    """
    difference = candidate.log_slowdown / candidate.timed
    difference -= baseline.log_slowdown / baseline.timed
    if difference < MINIMUM_MEAN_LOG_SLOWDOWN:
        return -math.inf
    variance = _variance(candidate) / candidate.timed
    variance += _variance(baseline) / baseline.timed
    return difference * difference / variance / 2 - MULTIPLE_TESTING_PENALTY


def _variance(row: OutcomeCounts) -> float:
    mean = row.log_slowdown / row.timed
    return max(row.log_slowdown_squared / row.timed - mean * mean, MINIMUM_VARIANCE)


def failure_evidence(candidate: OutcomeCounts, baseline: OutcomeCounts) -> float:
    """Return the log likelihood ratio of a bad against a usual share of failures.

    The usual share is the baseline's, shrunk towards a small prior. Of all falls that
    are looked for, over the recent and the longer memory, the likeliest one counts,
    less what looking for several of them costs.
    """
    pairs = (
        (candidate.failed, candidate.total - candidate.broken),
        (candidate.long_failed, candidate.long_total),
    )
    expected = (baseline.long_failed + 0.3) / (baseline.long_total + 10.0)
    best = max(_best_drop_evidence(failed, total, expected) for failed, total in pairs)
    return best - math.log(len(TESTED_DROPS) * len(pairs))


def _best_drop_evidence(bad: float, total: float, expected: float) -> float:
    """Return the log likelihood ratio of the likeliest fall against a usual share."""
    expected = min(max(expected, 0.01), 0.6)
    good = max(total - bad, 0.0)
    best = -math.inf
    for drop in TESTED_DROPS:
        failing_share = expected + (1 - expected) * drop
        log_ratio = bad * math.log(failing_share / expected)
        log_ratio += good * math.log((1 - failing_share) / (1 - expected))
        best = max(best, log_ratio)
    return best

"""Decaying counts of attempt outcomes by endpoint and route, of all daemons.

A row counts the outcomes of one endpoint on one route. The counts decay exponentially
with a half-life of a few seconds, so that the earlier good answers of a version do not
hide that it has turned bad.
"""

import collections
import dataclasses
import enum
import math
from collections.abc import Callable, Iterable

from linnetladder.state import Clock

__all__ = [
    "AttemptOutcome",
    "GroupCounts",
    "OutcomeCounts",
    "OutcomeExport",
    "Outcomes",
    "failure_evidence",
    "slowness_evidence",
]

# The short half-life shows a change quickly; the long one accumulates the few answers
# of a version that gets little traffic yet.
RECENT_HALF_LIFE_SECONDS = 6.0
LONG_HALF_LIFE_SECONDS = 25.0
# Decayed counts below this are treated as zero.
NEGLIGIBLE_COUNT = 0.05
# Weight of a new duration in the moving average of the logarithms of durations.
MOVING_AVERAGE_WEIGHT = 0.08
# Shorter durations are raised to this before their logarithm is taken.
MINIMUM_SECONDS = 1e-4
# Load classes are powers of two of the requests in flight; class 5 is 31 and more.
MAXIMUM_LOAD_CLASS = 5
# Natural logarithm of 10: slowdowns are capped at ten times the expected duration,
# since a longer one is no stronger evidence.
MAXIMUM_LOG_SLOWDOWN = 2.3
# Natural logarithm of 2.5: an answer of 2.5 times the expected duration is slow.
SLOW_ANSWER_LOG_SLOWDOWN = 0.92
# Natural logarithm of 1.5: a new version is at fault only if the geometric mean of its
# durations is at least 1.5 times the old version's.
MINIMUM_MEAN_LOG_SLOWDOWN = 0.4
# Both versions need this many timed answers before their durations are compared.
MINIMUM_TIMED_ANSWERS = 4.0
# Lower bound on the estimated variance of the log slowdown.
MINIMUM_VARIANCE = 0.1
# Taken off the log likelihood ratio, because several routes are tested.
MULTIPLE_TESTING_PENALTY = 1.5
# A new version needs this many slow answers before their share is compared.
MINIMUM_SLOW_ANSWERS = 2.5
# Rows of a peer that has sent none for this long are dropped.
PEER_ROWS_TTL_SECONDS = 6.0
# In large fleets reports of a peer come less often: the time for each daemon.
PEER_ROWS_TTL_SECONDS_PER_DAEMON = 0.25
# An endpoint counts as failing from this many failed answers on.
MINIMUM_FAILED = 0.5
# Endpoints with the most failures that keep rows of their own, in each group.
OWN_ROWS_PER_GROUP = 2
# Failure rates are computed from all peers' rows at this interval, not per request.
FAILURE_RATES_REFRESH_SECONDS = 0.25
# With more peers than this the interval grows in proportion, which keeps the computing
# time constant.
PEERS_PER_REFRESH_INTERVAL = 12
# Good attempts that are added to each endpoint's count, as a Bayesian prior.
PRIOR_GOOD_ATTEMPTS = 4.0
# Relative drops of the share of good answers that a version is tested for.
TESTED_DROPS = (0.15, 0.3, 0.5, 0.7)


class AttemptOutcome(enum.IntEnum):
    """The outcome of one attempt.

    ``FAILED`` is an answer that reports a server error; ``BROKEN`` is a call without a
    whole answer, which may be the network's fault.
    """

    GOOD = 0
    FAILED = 1
    BROKEN = 2


@dataclasses.dataclass(slots=True)
class OutcomeCounts:
    """Decaying counts of attempts, failed answers and broken calls.

    ``broken``, ``failed`` and ``total`` decay with the short half-life, the other
    counts with the long one; ``long_total`` leaves out broken calls. ``timed`` counts
    the measured durations. A log slowdown is the natural logarithm of a duration
    divided by the expected one: ``log_slowdown`` is the sum of these,
    ``log_slowdown_squared`` the sum of their squares, and ``slow`` the number of
    durations that count as slow.
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
        """Apply the decay from the last update until ``now``."""
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
        """Whether the decayed number of failures is not negligible."""
        return self.failures >= NEGLIGIBLE_COUNT

    @property
    def failures(self) -> float:
        """The decayed numbers of failed and broken attempts, over both half-lives."""
        return self.failed + self.broken + self.long_failed

    def counts(self) -> tuple[float, ...]:
        """Return the counts in the order of the fields, as reports contain them."""
        return tuple(getattr(self, name) for name in COUNT_FIELDS)


COUNT_FIELDS = tuple(
    f.name for f in dataclasses.fields(OutcomeCounts) if f.name != "updated"
)


@dataclasses.dataclass(slots=True)
class GroupCounts:
    """Summed counts of a group of endpoints, and how many of them had failures."""

    counts: OutcomeCounts = dataclasses.field(default_factory=OutcomeCounts)
    endpoints_failed: int = 0
    endpoints: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class OutcomeExport:
    """Rows for a report: endpoint or group, route, counts.

    ``folded`` is the number of rows of failing endpoints that were merged into those of
    their groups, ``dropped`` that of rows left out.
    """

    rows: list[tuple[str, str, tuple[float, ...]]]
    folded: int
    dropped: int


class Outcomes:
    """Outcome counts by endpoint and route, of this daemon and of each peer."""

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.daemons = 1
        self.rows: dict[tuple[str, str], OutcomeCounts] = {}
        self.peer_rows: dict[
            str, tuple[float, dict[tuple[str, str], OutcomeCounts]]
        ] = {}
        self.expected: dict[tuple[str, str, int], float] = {}
        self.failure_rates: dict[str, float] = {}
        self.failure_rates_updated = -math.inf

    def add(self, endpoint: str, route: str, outcome: AttemptOutcome) -> None:
        """Count one attempt.

        Broken calls are left out of the counts with the long half-life.
        """
        row = self._row(endpoint, route)
        row.total += 1
        row.broken += outcome is AttemptOutcome.BROKEN
        if outcome is not AttemptOutcome.BROKEN:
            row.failed += outcome is AttemptOutcome.FAILED
            row.long_failed += outcome is AttemptOutcome.FAILED
            row.long_total += 1

    def add_duration(
        self,
        endpoint: str,
        route: str,
        model: str,
        seconds: float,
        *,
        learn: bool,
        in_flight: int = 0,
    ) -> None:
        """Count a duration relative to the expected one for the route and model.

        ``learn`` adds the duration to the expected one; it is false for the target
        version of a roll-out, which must not define what is expected. ``in_flight`` is
        the number of requests at the endpoint: the target version has few, so it is
        compared with endpoints under a similar load, not with slower busy ones.
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

    def own_rate(self, endpoints: Iterable[str]) -> float:
        """Return this daemon's recent attempts a second at some endpoints."""
        names = set(endpoints)
        now = self.clock.monotonic()
        total = sum(
            row.total * 0.5 ** ((now - row.updated) / RECENT_HALF_LIFE_SECONDS)
            for (endpoint, _), row in self.rows.items()
            if endpoint in names
        )
        return total * math.log(2) / RECENT_HALF_LIFE_SECONDS

    def _row(self, endpoint: str, route: str) -> OutcomeCounts:
        """Return a row of this daemon, with its counts decayed until now."""
        now = self.clock.monotonic()
        row = self.rows.get((endpoint, route))
        if row is None:
            row = self.rows[(endpoint, route)] = OutcomeCounts(updated=now)
        row.decay(now)
        return row

    def log_slowdown(
        self, route: str, model: str, seconds: float, *, learn: bool, in_flight: int = 0
    ) -> float | None:
        """Return the natural logarithm of a duration divided by the expected one.

        It is ``None`` while no duration is known for this load class or a higher one.
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
        self,
        group_of: Callable[[str], str | None],
        *,
        maximum_rows: float = math.inf,
    ) -> OutcomeExport:
        """Return this daemon's rows without negligible ones, for a report to peers.

        The rows of endpoints without failures are merged into one per group and route,
        since there are many of them and peers need no counts of each. Beyond
        ``maximum_rows`` those of failing endpoints are merged as well, except for the
        `OWN_ROWS_PER_GROUP` endpoints of each group with the most failures, which keep
        their row with the most: a version is condemned only with failures at several
        endpoints. If fewer failed they keep all rows, so that one endpoint's failures
        never count as those of two. ``group_of`` returns the name of an endpoint's
        group, or ``None``.
        """
        self._drop_negligible()
        rows_by_endpoint: dict[str, dict[str, OutcomeCounts]] = {}
        for (endpoint, route), row in self.rows.items():
            rows_by_endpoint.setdefault(endpoint, {})[route] = row
        groups = {endpoint: group_of(endpoint) for endpoint in rows_by_endpoint}
        ranked = _ranked_by_failures(rows_by_endpoint, groups)
        remaining = maximum_rows
        tight = _row_count(rows_by_endpoint, groups, ranked) > maximum_rows
        if tight:
            remaining -= _group_row_count(rows_by_endpoint, groups)
        failed_endpoints = collections.Counter(
            groups[endpoint]
            for endpoint, rows in rows_by_endpoint.items()
            if sum(row.long_failed for row in rows.values()) >= MINIMUM_FAILED
        )
        exported: dict[tuple[str, str], OutcomeCounts] = {}
        folded = 0
        for rank, endpoint in ranked:
            rows = rows_by_endpoint[endpoint]
            group = groups[endpoint] or endpoint
            own_routes = rows.keys()
            if rank is None:
                own_routes = ()
            elif tight and rank < OWN_ROWS_PER_GROUP:
                if failed_endpoints[groups[endpoint]] >= OWN_ROWS_PER_GROUP:
                    own_routes = (max(rows, key=lambda r: rows[r].long_failed),)
            elif len(rows) > remaining:
                own_routes = ()
            remaining -= len(own_routes)
            if rank is not None and group != endpoint:
                folded += len(rows) - len(own_routes)
            for route, row in rows.items():
                name = endpoint if route in own_routes else group
                total = exported.get((name, route))
                if total is None:
                    total = exported[(name, route)] = OutcomeCounts()
                _add(total, row)
        kept = list(exported.items())
        if len(kept) > maximum_rows:
            kept.sort(key=lambda item: (-item[1].failures, -item[1].long_total))
            kept = kept[: max(int(maximum_rows), 0)]
        return OutcomeExport(
            rows=[
                (*key, tuple(round(count, 2) for count in row.counts()))
                for key, row in kept
            ],
            folded=folded,
            dropped=len(exported) - len(kept),
        )

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
        """Replace the rows of a peer with those of its latest report."""
        now = self.clock.monotonic()
        table = {
            (endpoint, route): OutcomeCounts(*counts, updated=now)
            for endpoint, route, counts in rows
            if len(counts) == len(COUNT_FIELDS)
        }
        self.peer_rows[peer] = (now, table)

    def group_counts(
        self, endpoints: frozenset[str], route: str | None = None
    ) -> GroupCounts:
        """Return the sums of some endpoints' rows, on one route or on all."""
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
            group_counts.endpoints_failed += row.long_failed >= MINIMUM_FAILED
        return group_counts

    def failure_rate(self, endpoint: str) -> float:
        """Return the share of failed and broken attempts, shrunk towards 0 by a prior.

        It is computed from the rows of all daemons.
        """
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
        """Return the names of the routes that have rows."""
        return {key[1] for key, _ in self._all_rows(self.clock.monotonic())}

    def peer_rows_ttl(self) -> float:
        """Return the seconds after which the rows of a silent peer are dropped."""
        return max(
            PEER_ROWS_TTL_SECONDS, PEER_ROWS_TTL_SECONDS_PER_DAEMON * self.daemons
        )

    def _all_rows(self, now: float):
        yield from list(self.rows.items())
        ttl = self.peer_rows_ttl()
        for peer, (received_at, table) in list(self.peer_rows.items()):
            if now - received_at > ttl:
                del self.peer_rows[peer]
                continue
            yield from table.items()


def _ranked_by_failures(
    rows_by_endpoint: dict[str, dict[str, OutcomeCounts]],
    groups: dict[str, str | None],
) -> list[tuple[int | None, str]]:
    """Return the endpoints with their rank by failures within their group.

    Those with the most failures of each group come first; the rank of an endpoint
    without failures is ``None``.
    """
    failures = {
        endpoint: (
            sum(row.long_failed for row in rows.values()),
            sum(row.failures for row in rows.values()),
        )
        for endpoint, rows in rows_by_endpoint.items()
        if any(row.has_failures for row in rows.values())
    }
    ranks: collections.Counter[str | None] = collections.Counter()
    ranked = []
    for endpoint in sorted(failures, key=failures.__getitem__, reverse=True):
        ranked.append((ranks[groups[endpoint]], endpoint))
        ranks[groups[endpoint]] += 1
    ranked.sort(key=lambda item: item[0])
    healthy = [(None, name) for name in rows_by_endpoint if name not in failures]
    return ranked + healthy


def _row_count(
    rows_by_endpoint: dict[str, dict[str, OutcomeCounts]],
    groups: dict[str, str | None],
    ranked: list[tuple[int | None, str]],
) -> int:
    """Return the number of rows if each failing endpoint keeps its own."""
    names = {
        endpoint: endpoint if rank is not None else groups[endpoint]
        for rank, endpoint in ranked
    }
    return _group_row_count(rows_by_endpoint, names)


def _group_row_count(
    rows_by_endpoint: dict[str, dict[str, OutcomeCounts]],
    groups: dict[str, str | None],
) -> int:
    """Return the number of rows after those of each group have been merged."""
    return len(
        {
            (groups[endpoint] or endpoint, route)
            for endpoint, rows in rows_by_endpoint.items()
            for route in rows
        }
    )


def _add(total: OutcomeCounts, row: OutcomeCounts) -> None:
    total.broken += row.broken
    total.failed += row.failed
    total.total += row.total
    total.long_failed += row.long_failed
    total.long_total += row.long_total
    total.timed += row.timed
    total.log_slowdown += row.log_slowdown
    total.log_slowdown_squared += row.log_slowdown_squared
    total.slow += row.slow


def slowness_evidence(candidate: OutcomeCounts, baseline: OutcomeCounts) -> float:
    """Return the log likelihood ratio of a candidate being slower than the baseline.

    It is the larger result of two tests: that of the mean finds a version whose answers
    all take longer, that of the share of slow answers one where only some do.
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
    """Return the log likelihood ratio of the candidate's mean against the baseline's.

    For a normal distribution that is half the square of their difference in standard
    errors. A penalty is taken off because several routes are tested. A difference below
    the minimum is not a fault, however significant it is.
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
    """Return the log likelihood ratio of a raised against the expected failure share.

    The expected share is the baseline's, shrunk towards a small prior. The result is
    the largest ratio over all tested drops and both half-lives, less a penalty for the
    number of these tests.
    """
    pairs = (
        (candidate.failed, candidate.total - candidate.broken),
        (candidate.long_failed, candidate.long_total),
    )
    expected = (baseline.long_failed + 0.3) / (baseline.long_total + 10.0)
    best = max(_best_drop_evidence(failed, total, expected) for failed, total in pairs)
    return best - math.log(len(TESTED_DROPS) * len(pairs))


def _best_drop_evidence(bad: float, total: float, expected: float) -> float:
    """Return the largest log likelihood ratio of any tested drop.

    ``expected`` is the share of bad answers without a drop.
    """
    expected = min(max(expected, 0.01), 0.6)
    good = max(total - bad, 0.0)
    best = -math.inf
    for drop in TESTED_DROPS:
        failing_share = expected + (1 - expected) * drop
        log_ratio = bad * math.log(failing_share / expected)
        log_ratio += good * math.log((1 - failing_share) / (1 - expected))
        best = max(best, log_ratio)
    return best

"""Comparison of a roll-out's target version with the version in use."""

import dataclasses
import math
from collections.abc import Iterable

from linnetladder.forwarding.coordination.directory import (
    EndpointDirectory,
    group_name,
    version_of,
)
from linnetladder.forwarding.coordination.outcomes import (
    GroupCounts,
    Outcomes,
    failure_evidence,
    slowness_evidence,
)
from linnetladder.forwarding.state import RolloutOrder
from linnetladder.state import Endpoint

__all__ = ["ALL_ROUTES", "CanaryAnalysis", "Finding"]

ALL_ROUTES = "all"

# Fewer failures than this may have causes other than the version.
MINIMUM_FAILURES = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """The comparison of a target's outcomes on a route with the old version's.

    ``failing`` and ``slowness`` are log likelihood ratios for a fault of the target.
    The other fields are decayed counts of the target; those with ``usual_`` are of the
    old version.
    """

    route: str
    failing: float
    slowness: float
    failed: float
    total: float
    usual_failed: float
    usual_total: float
    slow: float
    timed: float
    usual_slow: float
    usual_timed: float

    @property
    def evidence(self) -> float:
        """The larger of the two log likelihood ratios."""
        return max(self.failing, self.slowness)


class CanaryAnalysis:
    """Compares the outcomes of an order's target with those of the old version."""

    def __init__(self, *, directory: EndpointDirectory, outcomes: Outcomes):
        self.directory = directory
        self.outcomes = outcomes

    def findings(self, order: RolloutOrder) -> list[Finding]:
        """Return a comparison over all routes, then one for each route."""
        pool = self.directory.pool(order.service)
        if pool is None:
            return []
        target_keys = _outcome_keys(
            e for e in pool.endpoints if version_of(e) == order.target
        )
        baseline_keys = _outcome_keys(
            e for e in pool.endpoints if version_of(e) != order.target
        )
        results = []
        for route in (None, *sorted(self.outcomes.routes())):
            candidate = self.outcomes.group_counts(target_keys, route)
            baseline = self.outcomes.group_counts(baseline_keys, route)
            finding = Finding(
                route=route or ALL_ROUTES,
                failing=self._failure_evidence(candidate, baseline),
                slowness=slowness_evidence(candidate.counts, baseline.counts),
                failed=round(candidate.counts.long_failed, 1),
                total=round(candidate.counts.long_total, 1),
                usual_failed=round(baseline.counts.long_failed, 1),
                usual_total=round(baseline.counts.long_total, 1),
                slow=round(candidate.counts.slow, 1),
                timed=round(candidate.counts.timed, 1),
                usual_slow=round(baseline.counts.slow, 1),
                usual_timed=round(baseline.counts.timed, 1),
            )
            results.append(finding)
        return results

    def _failure_evidence(self, candidate: GroupCounts, baseline: GroupCounts) -> float:
        """Return the evidence of failures, if more than one endpoint has them.

        Failures of a single endpoint among several are not the version's fault.
        """
        if candidate.counts.long_failed < MINIMUM_FAILURES:
            return -math.inf
        if candidate.endpoints > 1 and candidate.endpoints_failed < 2:
            return -math.inf
        return failure_evidence(candidate.counts, baseline.counts)


def _outcome_keys(endpoints: Iterable[Endpoint]) -> frozenset[str]:
    """Return the names that outcomes of endpoints are counted under.

    These are the endpoints' own names and those of their groups.
    """
    names = set()
    for endpoint in endpoints:
        names.add(endpoint.name)
        names.add(group_name(endpoint.service, version_of(endpoint)))
    return frozenset(names)

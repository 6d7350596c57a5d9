"""Expected quality of a version, learnt from ratings and borrowed from the tree.

For each node of the settings tree, kind of request and version there is a count of
ratings and of acceptances, both forgetting with time. The estimate for an account
starts from the declared quality and is corrected at each node from the root down: a
node with few ratings keeps close to what stands above it, one with many goes its own
way. Counts of several daemons can be added up.
"""

import dataclasses
import math
from collections.abc import Iterable

__all__ = ["Evidence", "QualityEstimates", "Rating"]

HALF_LIFE_SECONDS = 6 * 3600.0
PRIOR_RATINGS = 20.0
PARENT_RATINGS = 30.0
FORGOTTEN_RATINGS = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rating:
    """One answer's rating; ``time_seconds`` is Unix time."""

    account: str
    request_kind: str
    target: str
    accepted: bool
    time_seconds: float
    request_id: str = ""


@dataclasses.dataclass(slots=True)
class Evidence:
    """Ratings of one version at one node, discounted to the time of the last."""

    rated: float = 0.0
    accepted: float = 0.0
    updated: float = 0.0

    def add(self, *, accepted: bool, now: float) -> None:
        """Count one rating."""
        self.forget(now)
        self.rated += 1.0
        self.accepted += 1.0 if accepted else 0.0

    def forget(self, now: float) -> None:
        """Discount what is known by the time that has passed."""
        elapsed = now - self.updated
        if elapsed > 0:
            kept = math.exp2(-elapsed / HALF_LIFE_SECONDS)
            self.rated *= kept
            self.accepted *= kept
            self.updated = now


class QualityEstimates:
    """Estimate the share of accepted answers by account, kind and version."""

    def __init__(self):
        self.evidence: dict[tuple[str, str, str], Evidence] = {}
        self.changes = 0

    def add(self, rating: Rating, lineage: Iterable[str]) -> None:
        """Count a rating at every node from the root to its account."""
        self.changes += 1
        for node in lineage:
            key = (node, rating.request_kind, rating.target)
            known = self.evidence.get(key)
            if known is None:
                known = Evidence(updated=rating.time_seconds)
                self.evidence[key] = known
            known.add(accepted=rating.accepted, now=rating.time_seconds)

    def estimate(
        self, *, declared: float, request_kind: str, target: str, lineage: Iterable[str]
    ) -> float:
        """Return the expected share of accepted answers, 0 to 1.

        ``lineage`` names the nodes from the root to the account.
        """
        expected = declared
        strength = PRIOR_RATINGS
        for node in lineage:
            known = self.evidence.get((node, request_kind, target))
            if known is not None and known.rated > FORGOTTEN_RATINGS:
                total = known.rated + strength
                expected = (known.accepted + strength * expected) / total
            strength = PARENT_RATINGS
        return expected

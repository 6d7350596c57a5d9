"""Expected quality of a version, learned from ratings along the settings tree.

For each node of the settings tree, kind of request and version, the ratings and the
accepted answers are counted, and both counts decay exponentially. The estimate for an
account starts from the declared quality and is corrected at each node from the root
down: the estimate of a node with few ratings stays close to its parent's, that of a
node with many follows its own ratings. Counts of several daemons can be added up.
"""

import dataclasses
import math
from collections.abc import Iterable

__all__ = ["QualityEstimates", "Rating", "RatingCounts"]

HALF_LIFE_SECONDS = 6 * 3600.0
# The weight of the declared quality and of the parent's estimate, in ratings.
DECLARED_WEIGHT_RATINGS = 20.0
PARENT_WEIGHT_RATINGS = 30.0
# A node whose decayed count of ratings is not above this is skipped.
NEGLIGIBLE_RATINGS = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rating:
    """The rating of one answer; ``time_seconds`` is Unix time."""

    account: str
    request_kind: str
    target: str
    accepted: bool
    time_seconds: float
    request_id: str = ""


@dataclasses.dataclass(slots=True)
class RatingCounts:
    """Decayed counts of the ratings of one version at one node.

    ``updated`` is the Unix time up to which the counts have decayed.
    """

    rated: float = 0.0
    accepted: float = 0.0
    updated: float = 0.0

    def add(self, *, accepted: bool, now: float) -> None:
        """Count one rating."""
        self.decay(now)
        self.rated += 1.0
        self.accepted += 1.0 if accepted else 0.0

    def decay(self, now: float) -> None:
        """Decay the counts by the time since the last update."""
        elapsed = now - self.updated
        if elapsed > 0:
            decay_factor = math.exp2(-elapsed / HALF_LIFE_SECONDS)
            self.rated *= decay_factor
            self.accepted *= decay_factor
            self.updated = now


class QualityEstimates:
    """Estimate the share of accepted answers by account, kind and version."""

    def __init__(self):
        self.rating_counts: dict[tuple[str, str, str], RatingCounts] = {}
        self.changes = 0

    def add(self, rating: Rating, lineage: Iterable[str]) -> None:
        """Count a rating at every node from the root to its account."""
        self.changes += 1
        for node in lineage:
            key = (node, rating.request_kind, rating.target)
            node_counts = self.rating_counts.get(key)
            if node_counts is None:
                node_counts = RatingCounts(updated=rating.time_seconds)
                self.rating_counts[key] = node_counts
            node_counts.add(accepted=rating.accepted, now=rating.time_seconds)

    def estimate(
        self, *, declared: float, request_kind: str, target: str, lineage: Iterable[str]
    ) -> float:
        """Return the expected share of accepted answers, 0 to 1.

        ``lineage`` names the nodes from the root to the account.
        """
        expected = declared
        prior_weight = DECLARED_WEIGHT_RATINGS
        for node in lineage:
            node_counts = self.rating_counts.get((node, request_kind, target))
            if node_counts is not None and node_counts.rated > NEGLIGIBLE_RATINGS:
                total = node_counts.rated + prior_weight
                expected = (node_counts.accepted + prior_weight * expected) / total
            prior_weight = PARENT_WEIGHT_RATINGS
        return expected

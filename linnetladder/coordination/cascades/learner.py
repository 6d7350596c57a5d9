"""Quality estimates learned from ratings, and each account's price of quality.

Ratings are late, noisy and cover only a sample of the answers. They update estimates by
account, kind of request and plan. For each account a price of quality is kept, which
rises while the plans chosen for it fall short of its target.
"""

import dataclasses
import math

from linnetladder.state import AccountView, ModelVersion, Snapshot
from linnetladder.state.estimates import QualityEstimates, Rating

__all__ = ["QualityLearner", "RATER_FALSE_POSITIVE_SHARE", "RATER_SENSITIVITY"]

# Expected shares of rejected and of accepted answers that the rater calls poor.
RATER_SENSITIVITY = 0.85
RATER_FALSE_POSITIVE_SHARE = 0.1
# Marks the kind of request under which the share of poor answers is estimated.
POOR_SUFFIX = "#poor"
# Change of the price's logarithm for each answer of shortfall.
PRICE_GAIN = 0.2
MAXIMUM_SHORTFALL_ANSWERS = 120.0
# Answers that one rating stands for at most.
MAXIMUM_RATING_WEIGHT = 20.0
# Choices whose mean implied price gives an account's initial price.
WARM_UP_CHOICES = 20
PRICE_UNKNOWN = -1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class PriceControl:
    """The integral controller of an account's price of quality.

    ``shortfall`` sums the target less the expected quality, corrected by ratings, in
    answers; the price is ``scale`` times an exponential of it. ``chosen`` and
    ``rated`` count the account's chosen plans and rated answers.
    """

    scale: float = 1.0
    shortfall: float = 0.0
    chosen: float = 0.0
    rated: float = 0.0

    def adjust_shortfall(self, answers: float) -> None:
        """Add to the shortfall, within its bounds."""
        adjusted = self.shortfall + answers
        self.shortfall = min(
            max(adjusted, -MAXIMUM_SHORTFALL_ANSWERS), MAXIMUM_SHORTFALL_ANSWERS
        )


class QualityLearner:
    """Estimates the quality of plans and controls each account's price of quality."""

    def __init__(self):
        self.estimates = QualityEstimates()
        self.controls: dict[str, PriceControl] = {}
        self.lineages: dict[str, tuple[str, ...]] = {}
        self.lineage_revision = 0

    def learn(self, rating: Rating, snapshot: Snapshot) -> None:
        """Add a rating of an answer that a caller received."""
        if rating.account in snapshot.tree.nodes:
            self.estimates.add(rating, self._lineage(snapshot, rating.account))

    def learn_step_rating(
        self, *, account: str, kind: str, target: str, poor: bool, now: float, snapshot
    ) -> None:
        """Add whether the rater called a step's answer poor before it was returned."""
        rating = Rating(
            account=account,
            request_kind=kind + POOR_SUFFIX,
            target=target,
            accepted=poor,
            time_seconds=now,
        )
        self.learn(rating, snapshot)

    def quality(
        self, snapshot: Snapshot, view: AccountView, kind: str, version: ModelVersion
    ) -> float:
        """Return the expected share of a version's answers that are accepted."""
        return self.estimates.estimate(
            declared=version.expected_quality(kind),
            request_kind=kind,
            target=str(version.ref),
            lineage=self._lineage(snapshot, view.account),
        )

    def poor_share(
        self,
        snapshot: Snapshot,
        view: AccountView,
        kind: str,
        prefix: str,
        quality: float,
    ) -> float:
        """Return the expected share of a step's answers that are rated poor.

        ``prefix`` names the plan's steps up to this one; ``quality`` is the expected
        quality of this step's version.
        """
        declared = (
            quality * RATER_FALSE_POSITIVE_SHARE + (1 - quality) * RATER_SENSITIVITY
        )
        return self.estimates.estimate(
            declared=declared,
            request_kind=kind + POOR_SUFFIX,
            target=prefix,
            lineage=self._lineage(snapshot, view.account),
        )

    def plan_quality(
        self,
        snapshot: Snapshot,
        view: AccountView,
        kind: str,
        name: str,
        qualities: tuple[float, ...],
    ) -> float:
        """Return the expected share of a plan's answers that are accepted."""
        expected = qualities[-1]
        for quality in reversed(qualities[:-1]):
            kept = quality * (1 - RATER_FALSE_POSITIVE_SHARE)
            poor = (
                quality * RATER_FALSE_POSITIVE_SHARE + (1 - quality) * RATER_SENSITIVITY
            )
            expected = kept + poor * expected
        return self.estimates.estimate(
            declared=expected,
            request_kind=kind,
            target=name,
            lineage=self._lineage(snapshot, view.account),
        )

    def price(self, account: str) -> float:
        """Return the current value to an account of one more accepted answer.

        It is negative until enough plans were chosen for the account.
        """
        control = self.controls.get(account)
        if control is None or control.chosen < WARM_UP_CHOICES:
            return PRICE_UNKNOWN
        return control.scale * math.exp(PRICE_GAIN * control.shortfall)

    def chosen(
        self, account: str, *, target: float, quality: float, price: float
    ) -> None:
        """Record a chosen plan and update the account's shortfall.

        ``price`` is the price of quality that the choice implies; an account's
        initial price is 1 plus the mean over its first choices.
        """
        control = self.controls.get(account)
        if control is None:
            control = PriceControl()
            self.controls[account] = control
        control.chosen += 1.0
        if control.chosen <= WARM_UP_CHOICES:
            control.scale += price / WARM_UP_CHOICES
            return
        control.adjust_shortfall(target - quality)

    def correct_price(self, account: str, *, expected: float, accepted: bool) -> None:
        """Correct the shortfall by a rating that differs from the expected quality.

        A rating also stands for answers that are not rated, so it is weighted by the
        number of answers per rating.
        """
        control = self.controls.get(account)
        if control is None:
            return
        control.rated += 1.0
        weight = min(control.chosen / control.rated, MAXIMUM_RATING_WEIGHT)
        control.adjust_shortfall(weight * (expected - accepted))

    def _lineage(self, snapshot: Snapshot, account: str) -> tuple[str, ...]:
        """Return the names of an account's settings nodes, cached per revision."""
        if snapshot.revision != self.lineage_revision:
            self.lineage_revision = snapshot.revision
            self.lineages.clear()
        node_names = self.lineages.get(account)
        if node_names is None:
            node_names = tuple(node.name for node in snapshot.tree.lineage(account))
            self.lineages[account] = node_names
        return node_names

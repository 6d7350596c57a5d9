"""What a daemon has learnt of quality, and what it is willing to pay for it.

Ratings arrive late, for a sample only, and noisy. They feed estimates by account, kind
of request and plan. For each account a price of quality is kept, which rises while the
plans chosen for it fall short of its target.
"""

import dataclasses
import math

from linnetladder.state import AccountView, ModelVersion, Snapshot
from linnetladder.state.estimates import QualityEstimates, Rating

__all__ = ["QualityLearner", "RATER_FALSE_ALARM", "RATER_SENSITIVITY"]

RATER_SENSITIVITY = 0.85
RATER_FALSE_POSITIVE_SHARE = 0.1
POOR_SUFFIX = "#poor"
PRICE_GAIN = 0.2
MAXIMUM_SHORTFALL_ANSWERS = 120.0
MAXIMUM_RATING_WEIGHT = 20.0
WARM_UP_CHOICES = 20
PRICE_UNKNOWN = -1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class PriceControl:
    """An account's price of quality: its scale, and the answers that are missing.

    ``shortfall`` sums the target less what was expected, corrected by ratings, in
    answers; the price is the scale times an exponential of it.
    """

    scale: float = 1.0
    shortfall: float = 0.0
    chosen: float = 0.0
    rated: float = 0.0

    def adjust_shortfall(self, answers: float) -> None:
        """Add to the shortfall within its bounds."""
        adjusted = self.shortfall + answers
        self.shortfall = min(
            max(adjusted, -MAXIMUM_SHORTFALL_ANSWERS), MAXIMUM_SHORTFALL_ANSWERS
        )


class QualityLearner:
    """Estimates of plans and prices of quality."""

    def __init__(self):
        self.estimates = QualityEstimates()
        self.controls: dict[str, PriceControl] = {}
        self.lineages: dict[str, tuple[str, ...]] = {}
        self.lineage_revision = 0

    def learn(self, rating: Rating, snapshot: Snapshot) -> None:
        """Take in a rating of an answer that was given."""
        if rating.account in snapshot.tree.nodes:
            self.estimates.add(rating, self._lineage(snapshot, rating.account))

    def learn_step_rating(
        self, *, account: str, kind: str, target: str, poor: bool, now: float, snapshot
    ) -> None:
        """Take in whether a step's answer was rated poor while it was being served."""
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
        """Return the expected share of accepted answers of one version."""
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

        ``prefix`` names the steps up to this one and ``quality`` is its version's.
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
        """Return the expected share of accepted answers of a plan of several steps."""
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
        """Return what one more accepted answer is worth to an account now.

        It is negative while too little was chosen for the account to tell.
        """
        control = self.controls.get(account)
        if control is None or control.chosen < WARM_UP_CHOICES:
            return PRICE_UNKNOWN
        return control.scale * math.exp(PRICE_GAIN * control.shortfall)

    def chosen(
        self, account: str, *, target: float, quality: float, price: float
    ) -> None:
        """Note a chosen plan, so that the price follows the shortfall.

        ``price`` is the price of quality that the choice implies; the mean of an
        account's first choices is where its price starts from.
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
        """Note a rating of a plan's answer, to correct what was expected of it.

        A rating stands for all answers that are not rated, so it counts as many times
        as there are answers to a rating.
        """
        control = self.controls.get(account)
        if control is None:
            return
        control.rated += 1.0
        weight = min(control.chosen / control.rated, MAXIMUM_RATING_WEIGHT)
        control.adjust_shortfall(weight * (expected - accepted))

    def _lineage(self, snapshot: Snapshot, account: str) -> tuple[str, ...]:
        if snapshot.revision != self.lineage_revision:
            self.lineage_revision = snapshot.revision
            self.lineages.clear()
        node_names = self.lineages.get(account)
        if node_names is None:
            node_names = tuple(node.name for node in snapshot.tree.lineage(account))
            self.lineages[account] = node_names
        return node_names

"""Policies that choose which version answers first and where poor answers escalate.

A policy chooses among plans. A plan is one version, or several in order: the first one
answers, its answer is rated, and if the rating is poor the next one answers instead.
Policies are deterministic given their inputs, so that a receipt can be replayed.
"""

import abc
import dataclasses

from linnetladder.state import ModelVersion

__all__ = [
    "AlwaysBest",
    "AlwaysCheapest",
    "CascadePolicy",
    "CheapestMeetingTarget",
    "FixedThreshold",
    "Option",
    "POLICIES",
    "Plan",
    "PolicyInputs",
    "RandomChoice",
    "TargetOnAverage",
    "pareto_frontier",
    "implied_price",
]

FIXED_THRESHOLD_INPUT_TOKENS = 500


@dataclasses.dataclass(slots=True)
class Option:
    """A version that may answer, with its expected quality and cost.

    ``quality`` is the expected share of accepted answers, 0 to 1; ``cost`` is in
    millionths of a currency unit.
    """

    version: ModelVersion
    quality: float
    cost: float


@dataclasses.dataclass(slots=True)
class Plan:
    """The versions to ask in order, with the whole plan's expected quality and cost."""

    steps: tuple[ModelVersion, ...]
    quality: float
    cost: float

    @property
    def name(self) -> str:
        """The names of the steps in order, joined by ``>``."""
        return ">".join(str(version.ref) for version in self.steps)


@dataclasses.dataclass(slots=True, kw_only=True)
class PolicyInputs:
    """A policy's inputs beside the plans.

    ``quality_price`` is the current value of one more accepted answer, in millionths
    of a currency unit, and negative while it is unknown. Plans with a quality below
    ``quality_floor`` are excluded, unless all are below it. ``draw`` is in [0, 1).
    """

    quality_target: float
    quality_floor: float
    input_tokens: int
    draw: float
    quality_price: float = 0.0


class CascadePolicy(abc.ABC):
    """Chooses a plan; ``escalates`` is true if it uses plans of several steps."""

    escalates = False

    @abc.abstractmethod
    def choose(self, plans: tuple[Plan, ...], inputs: PolicyInputs) -> Plan:
        """Return one of the plans, of which there is at least one."""


def pareto_frontier(options: list[Option]) -> list[Option]:
    """Return the Pareto-optimal options by cost and quality, cheapest first."""
    kept: list[Option] = []
    for option in sorted(options, key=lambda o: (o.cost, -o.quality)):
        if not kept or option.quality > kept[-1].quality:
            kept.append(option)
    return kept


def implied_price(chosen: Plan, plans: list[Plan]) -> float:
    """Return the least price of quality at which a plan beats the cheaper ones.

    It is 0 if no plan has both lower cost and lower quality.
    """
    prices = [
        (chosen.cost - plan.cost) / (chosen.quality - plan.quality)
        for plan in plans
        if plan.quality < chosen.quality and plan.cost < chosen.cost
    ]
    return max(prices, default=0.0)


def _by_cost(plan: Plan) -> tuple[float, str]:
    return plan.cost, plan.name


def _by_quality(plan: Plan) -> tuple[float, float, str]:
    return -plan.quality, plan.cost, plan.name


class TargetOnAverage(CascadePolicy):
    """The plan of greatest value, which is priced quality less cost.

    The account's price of quality rises while its answers fall short of the target and
    falls while they exceed it. So expensive plans are used where they add most quality
    for their cost, and the average meets the target at the least cost. While an
    account's price is unknown, each of its requests has to meet the target by itself.
    """

    escalates = True

    def choose(self, plans: tuple[Plan, ...], inputs: PolicyInputs) -> Plan:
        """Return the plan with the greatest priced quality less cost."""
        if inputs.quality_price < 0:
            return CheapestMeetingTarget().choose(plans, inputs)
        allowed = [plan for plan in plans if plan.quality >= inputs.quality_floor]

        def loss(plan: Plan) -> tuple[float, str]:
            return plan.cost - inputs.quality_price * plan.quality, plan.name

        if not allowed:
            return min(plans, key=_by_quality)
        return min(allowed, key=loss)


class CheapestMeetingTarget(CascadePolicy):
    """The cheapest plan that is expected to meet the quality target by itself.

    If no plan is, the plan of highest expected quality.
    """

    escalates = True

    def choose(self, plans: tuple[Plan, ...], inputs: PolicyInputs) -> Plan:
        """Return the cheapest plan that meets the target, or the best plan."""
        sufficient = [p for p in plans if p.quality >= inputs.quality_target]
        if sufficient:
            return min(sufficient, key=_by_cost)
        return min(plans, key=_by_quality)


class AlwaysCheapest(CascadePolicy):
    """The cheapest version, regardless of quality."""

    def choose(self, plans: tuple[Plan, ...], inputs: PolicyInputs) -> Plan:
        """Return the cheapest plan."""
        return min(plans, key=_by_cost)


class AlwaysBest(CascadePolicy):
    """The version of highest expected quality."""

    def choose(self, plans: tuple[Plan, ...], inputs: PolicyInputs) -> Plan:
        """Return the best plan."""
        return min(plans, key=_by_quality)


class RandomChoice(CascadePolicy):
    """A uniformly random version."""

    def choose(self, plans: tuple[Plan, ...], inputs: PolicyInputs) -> Plan:
        """Return the plan that the draw selects."""
        ordered = sorted(plans, key=_by_cost)
        return ordered[int(inputs.draw * len(ordered)) % len(ordered)]


class FixedThreshold(CascadePolicy):
    """The cheapest version for short requests, the best one for long requests."""

    def choose(self, plans: tuple[Plan, ...], inputs: PolicyInputs) -> Plan:
        """Return the cheapest or the best plan by the input's length in tokens."""
        short = inputs.input_tokens < FIXED_THRESHOLD_INPUT_TOKENS
        return min(plans, key=_by_cost if short else _by_quality)


POLICIES: dict[str, CascadePolicy] = {
    "target_on_average": TargetOnAverage(),
    "cheapest_meeting_target": CheapestMeetingTarget(),
    "always_cheapest": AlwaysCheapest(),
    "always_best": AlwaysBest(),
    "random": RandomChoice(),
    "fixed_threshold": FixedThreshold(),
}

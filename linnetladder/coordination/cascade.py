"""Which allowed version answers first, and which ones a poor answer escalates to.

A policy orders the options of one request into a ladder. The first option answers;
the rest are tried in turn where escalation is called for. Policies are deterministic
given their inputs, so that a receipt can be replayed.
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
    "RandomChoice",
]

FIXED_THRESHOLD_INPUT_TOKENS = 500


@dataclasses.dataclass(slots=True)
class Option:
    """A version that may answer, with its expected quality and expected cost.

    ``quality`` is the expected share of accepted answers, 0 to 1; ``cost`` is in
    millionths of a currency unit.
    """

    version: ModelVersion
    quality: float
    cost: float


@dataclasses.dataclass(slots=True, kw_only=True)
class PolicyInputs:
    """What a policy may look at beside the options."""

    quality_target: float
    input_tokens: int
    draw: float


class CascadePolicy(abc.ABC):
    """Order options into a ladder."""

    @abc.abstractmethod
    def ladder(
        self, options: tuple[Option, ...], inputs: PolicyInputs
    ) -> tuple[Option, ...]:
        """Return the options to try, in order; at least one if any is given."""


def _by_cost(option: Option) -> tuple[float, str]:
    return option.cost, str(option.version.ref)


def _by_quality(option: Option) -> tuple[float, float, str]:
    return -option.quality, option.cost, str(option.version.ref)


class CheapestMeetingTarget(CascadePolicy):
    """The cheapest option that is expected to meet the quality target.

    Where none is, the best one answers. The ladder goes on with options of higher
    quality, cheapest first.
    """

    def ladder(
        self, options: tuple[Option, ...], inputs: PolicyInputs
    ) -> tuple[Option, ...]:
        """Return the cheapest sufficient option and the better ones above it."""
        ordered = sorted(options, key=_by_cost)
        sufficient = [o for o in ordered if o.quality >= inputs.quality_target]
        if not sufficient:
            return tuple(sorted(options, key=_by_quality)[:1])
        first = sufficient[0]
        better = [o for o in ordered if o.quality > first.quality]
        return (first, *better)


class AlwaysCheapest(CascadePolicy):
    """The cheapest option, whatever its quality."""

    def ladder(
        self, options: tuple[Option, ...], inputs: PolicyInputs
    ) -> tuple[Option, ...]:
        """Return the options from the cheapest up."""
        return tuple(sorted(options, key=_by_cost))


class AlwaysBest(CascadePolicy):
    """The option of highest expected quality."""

    def ladder(
        self, options: tuple[Option, ...], inputs: PolicyInputs
    ) -> tuple[Option, ...]:
        """Return the best option alone."""
        return tuple(sorted(options, key=_by_quality)[:1])


class RandomChoice(CascadePolicy):
    """Any option, evenly."""

    def ladder(
        self, options: tuple[Option, ...], inputs: PolicyInputs
    ) -> tuple[Option, ...]:
        """Return the option that the draw falls on."""
        ordered = sorted(options, key=_by_cost)
        if not ordered:
            return ()
        return (ordered[int(inputs.draw * len(ordered)) % len(ordered)],)


class FixedThreshold(CascadePolicy):
    """The cheapest option for short requests, the best one for long requests."""

    def ladder(
        self, options: tuple[Option, ...], inputs: PolicyInputs
    ) -> tuple[Option, ...]:
        """Return one option by the length of the input."""
        short = inputs.input_tokens < FIXED_THRESHOLD_INPUT_TOKENS
        key = _by_cost if short else _by_quality
        return tuple(sorted(options, key=key)[:1])


POLICIES: dict[str, CascadePolicy] = {
    "cheapest_meeting_target": CheapestMeetingTarget(),
    "always_cheapest": AlwaysCheapest(),
    "always_best": AlwaysBest(),
    "random": RandomChoice(),
    "fixed_threshold": FixedThreshold(),
}

"""Which model size answers first, and when its answer is replaced by a larger one's.

The smallest model answers first. Its own confidence, which comes with the head of its
answer, decides whether a larger size is asked before the caller has received a byte.
A size in between is asked only if it settles enough of the doubtful answers to be
worth its cost.
"""

import abc
import dataclasses

from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads
from linnetladder.forwarding.daemon_variables import PolicySettings
from linnetladder.forwarding.state import EngineSpec, Prompt, Route

__all__ = ["ConfidenceLadder", "SizingInputs", "SizingPolicy", "SizingStep"]

# A good answer that comes a little late is worth more than a poor one on time, and an
# estimate this much over the objective is still met now and then.
LATENESS_FACTOR = 1.5
# Answers that the expected share counts for until it is learnt.
PRIOR_WEIGHT_RESPONSES = 8.0


@dataclasses.dataclass(slots=True, kw_only=True)
class SizingInputs:
    """What a choice of size rests on; times are seconds.

    ``remaining`` is the time left until the objective; ``wait`` the backlog of the
    least busy endpoint.
    """

    route: Route
    prompt: Prompt | None
    engine: EngineSpec | None
    remaining: float
    wait: float


@dataclasses.dataclass(frozen=True, slots=True)
class SizingStep:
    """The position of the model to ask next, ``None`` to keep the answer."""

    position: int | None
    reason: str


class SizingPolicy(abc.ABC):
    """Choose sizes by their position in the route's models."""

    @abc.abstractmethod
    def first_position(self, inputs: SizingInputs) -> int:
        """Return the position of the model to ask first."""

    @abc.abstractmethod
    def next_position(
        self, inputs: SizingInputs, *, position: int, confidence: float | None
    ) -> SizingStep:
        """Return the model to ask next, or that the answer is kept, and why."""


@dataclasses.dataclass(slots=True)
class SettlingCounts:
    """How many doubtful answers a size settled, of those it was asked for."""

    settled: float
    asked: float


class ConfidenceCascade(SizingPolicy):
    """Climb while the answer's confidence is below a threshold."""

    def __init__(self, *, loads: EndpointLoads, policy: PolicySettings):
        self.loads = loads
        self.policy = policy
        self.settled: dict[tuple[str, int], SettlingCounts] = {}

    def first_position(self, inputs: SizingInputs) -> int:
        """Return the configured first size."""
        return max(min(self.policy.first_size, len(inputs.route.models) - 1), 0)

    def next_position(
        self, inputs: SizingInputs, *, position: int, confidence: float | None
    ) -> SizingStep:
        """Return the next size for a doubtful answer, if it can still be on time."""
        models = inputs.route.models
        if confidence is None:
            return SizingStep(None, "no confidence")
        doubtful = confidence < self.policy.confidence
        if position > self.first_position(inputs):
            self._record_outcome(inputs.route, position, settled=not doubtful)
        if not doubtful:
            return SizingStep(None, "confident")
        if position + 1 >= len(models):
            return SizingStep(None, "largest")
        next_position = self._worthwhile_position(inputs, position + 1)
        expected = self._expected_seconds(inputs, models[next_position])
        if expected > inputs.remaining * LATENESS_FACTOR:
            return SizingStep(None, "a larger one would be late")
        return SizingStep(next_position, "doubtful")

    def _worthwhile_position(self, inputs: SizingInputs, position: int) -> int:
        """Return the first size from a position on that is worth its cost."""
        models = inputs.route.models
        if inputs.engine is None:
            return position
        while position + 1 < len(models):
            own_cost = inputs.engine.cost(models[position])
            next_cost = inputs.engine.cost(models[position + 1])
            if own_cost <= self._settling_share(inputs.route, position) * next_cost:
                return position
            position += 1
        return position

    def _settling_share(self, route: Route, position: int) -> float:
        counts = self.settled.get((route.name, position))
        if counts is None:
            return self.policy.step_prior
        return counts.settled / counts.asked

    def _record_outcome(self, route: Route, position: int, *, settled: bool) -> None:
        key = (route.name, position)
        counts = self.settled.get(key)
        if counts is None:
            prior = self.policy.step_prior * PRIOR_WEIGHT_RESPONSES
            counts = self.settled[key] = SettlingCounts(prior, PRIOR_WEIGHT_RESPONSES)
        counts.asked += 1
        counts.settled += settled

    def _expected_seconds(self, inputs: SizingInputs, model: str) -> float:
        tokens = inputs.prompt.input_tokens if inputs.prompt is not None else 0
        expected_prefill_seconds = tokens * self.loads.token_seconds(model)
        return inputs.wait + expected_prefill_seconds

"""Choice of the model size, and escalation to larger models.

The configured first size, by default the smallest model, responds first. The confidence
that comes with its response's head decides whether a larger model is asked before the
caller has received a byte. An intermediate size is asked only if it settles enough of
the low-confidence requests to be worth its cost. While engines are short of time, only
the responses that gain most for the time of engines are escalated.
"""

import abc
import dataclasses

from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads
from linnetladder.forwarding.coordination.escalation_gain import EscalationGain
from linnetladder.forwarding.daemon_variables import PolicySettings
from linnetladder.forwarding.state import EngineSpec, Prompt, Route
from linnetladder.forwarding.state.explanations import ModelExplanation

__all__ = ["ConfidenceCascade", "SizingInputs", "SizingPolicy", "SizingStep"]

# Largest ratio of an escalation's expected time to the time left until the objective.
# A good response that is slightly late is worth more than a poor one on time, and
# responses with such an estimate are still on time now and then.
LATENESS_FACTOR = 1.5
# Weight of the prior settling share, in responses.
PRIOR_WEIGHT_RESPONSES = 8.0


@dataclasses.dataclass(slots=True, kw_only=True)
class SizingInputs:
    """Inputs of the choice of a model size; times are in seconds.

    ``remaining`` is the time left until the objective; ``wait`` is the backlog of the
    endpoint that the largest model would be asked at. ``holding_models`` are the models
    for which an endpoint is expected to hold the part of the prompt that its session
    shares.
    """

    route: Route
    prompt: Prompt | None
    engine: EngineSpec | None
    remaining: float
    wait: float
    holding_models: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class SizingStep:
    """The position of the model to ask next, or ``None`` to keep the response.

    ``reason`` is written to the request's history.
    """

    position: int | None
    reason: str


class SizingPolicy(abc.ABC):
    """Chooses model sizes by their position in the route's list of models."""

    @abc.abstractmethod
    def first_position(self, inputs: SizingInputs) -> int:
        """Return the position of the model to ask first."""

    @abc.abstractmethod
    def next_position(
        self, inputs: SizingInputs, *, position: int, confidence: float | None
    ) -> SizingStep:
        """Return which model to ask next, if any, and the reason.

        ``position`` is the model that responded and ``confidence`` that of its
        response, or ``None`` if it gave none.
        """

    @abc.abstractmethod
    def explain(self, inputs: SizingInputs) -> tuple[ModelExplanation, ...]:
        """Return the models that may be asked now, in their order."""


@dataclasses.dataclass(slots=True)
class SettlingCounts:
    """How many low-confidence requests a size was asked for, and how many it settled.

    A request is settled if the size's own response reaches the confidence threshold.
    """

    settled: float
    asked: float


class ConfidenceCascade(SizingPolicy):
    """Escalates while the response's confidence is below the configured threshold."""

    def __init__(
        self, *, loads: EndpointLoads, policy: PolicySettings, gain: EscalationGain
    ):
        self.loads = loads
        self.policy = policy
        self.gain = gain
        self.settled: dict[tuple[str, int], SettlingCounts] = {}

    def first_position(self, inputs: SizingInputs) -> int:
        """Return the configured first size, limited to the route's models."""
        return max(min(self.policy.first_size, len(inputs.route.models) - 1), 0)

    def next_position(
        self, inputs: SizingInputs, *, position: int, confidence: float | None
    ) -> SizingStep:
        """Return the next size for a low-confidence response, if it can be in time."""
        models = inputs.route.models
        if confidence is None:
            return SizingStep(None, "no confidence")
        doubtful = confidence < self.policy.confidence
        if position > self.first_position(inputs):
            self._record_outcome(inputs.route, position, settled=not doubtful)
        else:
            self.gain.learn_request(inputs.route, inputs.prompt)
        if not doubtful:
            return SizingStep(None, "confident")
        if position + 1 >= len(models):
            return SizingStep(None, "largest")
        next_position = self._worthwhile_position(inputs, position + 1)
        if self._would_be_late(inputs, models[next_position]):
            return SizingStep(None, "a larger one would be late")
        if not self.gain.is_worthwhile(
            inputs.route,
            prompt=inputs.prompt,
            held_tokens=_held_tokens(inputs, models[next_position]),
            model=models[next_position],
            confidence=confidence,
            wait=inputs.wait,
            remaining=inputs.remaining,
        ):
            return SizingStep(None, "engines are short")
        return SizingStep(next_position, "doubtful")

    def explain(self, inputs: SizingInputs) -> tuple[ModelExplanation, ...]:
        """Return the models that may be asked now, with the share of escalations."""
        models = inputs.route.models
        position = self.first_position(inputs)
        explanations = []
        while position < len(models):
            next_position = position + 1
            next_model, share = "", 0.0
            if next_position < len(models):
                next_position = self._worthwhile_position(inputs, next_position)
                next_model = models[next_position]
                if not self._would_be_late(inputs, next_model):
                    share = self.gain.escalated_share(
                        inputs.route,
                        prompt=inputs.prompt,
                        model=next_model,
                        wait=inputs.wait,
                        remaining=inputs.remaining,
                    )
            explanations.append(
                ModelExplanation(
                    name=models[position],
                    first=not explanations,
                    expected_seconds=self._expected_seconds(inputs, models[position]),
                    next_model=next_model,
                    escalated_share=share,
                )
            )
            position = next_position
        return tuple(explanations)

    def _would_be_late(self, inputs: SizingInputs, model: str) -> bool:
        expected = self._expected_seconds(inputs, model)
        return expected > inputs.remaining * LATENESS_FACTOR

    def _worthwhile_position(self, inputs: SizingInputs, position: int) -> int:
        """Return the first size from ``position`` on that is worth its cost.

        An intermediate size is, if its cost is at most the cost of the next size
        times the share of requests that it settles. The largest size always is.
        """
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


def _held_tokens(inputs: SizingInputs, model: str) -> int:
    """Return the tokens of a prompt that endpoints are expected to hold for a model."""
    if inputs.prompt is None:
        return 0
    held = inputs.prompt.common_tokens
    if model in inputs.holding_models:
        held += inputs.prompt.session_tokens
    return min(held, inputs.prompt.input_tokens)

"""Choice of the model size, and escalation to the largest model.

The configured first size, by default the smallest model, responds first. The confidence
that comes with its response's head decides whether the largest model is asked before
the caller has received a byte. While engines are short of time, only the responses that
gain most for the time of engines are escalated.
"""

import abc
import dataclasses

from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads
from linnetladder.forwarding.coordination.escalation_gain import EscalationGain
from linnetladder.forwarding.daemon_variables import PolicySettings
from linnetladder.forwarding.state import Prompt, Route
from linnetladder.forwarding.state.explanations import ModelExplanation

__all__ = ["ConfidenceCascade", "SizingInputs", "SizingPolicy", "SizingStep"]

# Largest ratio of an escalation's expected time to the time left until the objective.
# A good response that is slightly late is worth more than a poor one on time, and
# responses with such an estimate are still on time now and then.
LATENESS_FACTOR = 1.5


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
    def learn_answer(self, route: Route, *, in_time: bool) -> None:
        """Record whether the answer of a larger model began in time."""

    @abc.abstractmethod
    def explain(self, inputs: SizingInputs) -> tuple[ModelExplanation, ...]:
        """Return the models that may be asked now, in their order."""


class ConfidenceCascade(SizingPolicy):
    """Escalates while the response's confidence is below the configured threshold."""

    def __init__(
        self, *, loads: EndpointLoads, policy: PolicySettings, gain: EscalationGain
    ):
        self.loads = loads
        self.policy = policy
        self.gain = gain

    def first_position(self, inputs: SizingInputs) -> int:
        """Return the configured first size, limited to the route's models."""
        return max(min(self.policy.first_size, len(inputs.route.models) - 1), 0)

    def next_position(
        self, inputs: SizingInputs, *, position: int, confidence: float | None
    ) -> SizingStep:
        """Return the largest size for a doubtful response, if it can be in time."""
        models = inputs.route.models
        if confidence is None:
            return SizingStep(None, "no confidence")
        doubtful = confidence < self.policy.confidence
        if position == self.first_position(inputs):
            self.gain.learn_request(inputs.route, inputs.prompt)
        if not doubtful:
            return SizingStep(None, "confident")
        largest = len(models) - 1
        if position >= largest:
            return SizingStep(None, "largest")
        if self._would_be_late(inputs, models[largest]):
            return SizingStep(None, "a larger one would be late")
        if not self.gain.is_worthwhile(
            inputs.route,
            prompt=inputs.prompt,
            held_tokens=_held_tokens(inputs, models[largest]),
            model=models[largest],
            confidence=confidence,
            wait=inputs.wait,
            remaining=inputs.remaining,
        ):
            return SizingStep(None, "engines are short")
        return SizingStep(largest, "doubtful")

    def learn_answer(self, route: Route, *, in_time: bool) -> None:
        """Record whether the answer of a larger model began in time."""
        self.gain.learn_answer(route, in_time=in_time)

    def explain(self, inputs: SizingInputs) -> tuple[ModelExplanation, ...]:
        """Return the models that may be asked now, with the share of escalations."""
        models = inputs.route.models
        if not models:
            return ()
        first, largest = models[self.first_position(inputs)], models[-1]
        expected_seconds = self._expected_seconds(inputs, largest)
        last = ModelExplanation(
            name=largest,
            first=first == largest,
            expected_seconds=expected_seconds,
            next_model="",
            escalated_share=0.0,
        )
        if first == largest:
            return (last,)
        share = 0.0
        if not self._would_be_late(inputs, largest):
            share = self.gain.escalated_share(
                inputs.route,
                prompt=inputs.prompt,
                model=largest,
                wait=inputs.wait,
                remaining=inputs.remaining,
            )
        explained = ModelExplanation(
            name=first,
            first=True,
            expected_seconds=self._expected_seconds(inputs, first),
            next_model=largest,
            escalated_share=share,
        )
        return explained, last

    def _would_be_late(self, inputs: SizingInputs, model: str) -> bool:
        expected = self._expected_seconds(inputs, model)
        return expected > inputs.remaining * LATENESS_FACTOR

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

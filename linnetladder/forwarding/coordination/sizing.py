"""Which model size answers first, and when its answer is replaced by a larger one's.

The smallest model answers first. Its own confidence, which comes with the head of its
answer, decides whether the next size is asked before the caller has received a byte.
"""

import abc
import dataclasses

from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads
from linnetladder.forwarding.state import EngineSpec, Prompt, Route

__all__ = ["ConfidenceLadder", "SizingInputs", "SizingPolicy"]

DEFAULT_THRESHOLD = 55.0
# A replacement that would come later than the objective by its own estimate is worth
# less than a modest answer on time.
SAFETY_FACTOR = 1.3


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


class SizingPolicy(abc.ABC):
    """Choose sizes by their position in the route's models."""

    @abc.abstractmethod
    def first(self, inputs: SizingInputs) -> int:
        """Return the position of the model to ask first."""

    @abc.abstractmethod
    def following(
        self, inputs: SizingInputs, *, position: int, confidence: float | None
    ) -> int | None:
        """Return the position of the model to ask next, or ``None`` to accept."""


class ConfidenceLadder(SizingPolicy):
    """Climb one size while the answer's confidence is below a threshold."""

    def __init__(
        self,
        *,
        loads: EndpointLoads,
        first_position: int = 0,
        thresholds: tuple[float, ...] = (DEFAULT_THRESHOLD,),
    ):
        self.loads = loads
        self.first_position = first_position
        self.thresholds = thresholds

    def first(self, inputs: SizingInputs) -> int:
        """Return the configured first size."""
        return min(self.first_position, len(inputs.route.models) - 1)

    def following(
        self, inputs: SizingInputs, *, position: int, confidence: float | None
    ) -> int | None:
        """Return the next size for a doubtful answer, if it can still be on time."""
        models = inputs.route.models
        if position + 1 >= len(models) or confidence is None:
            return None
        threshold = self.thresholds[min(position, len(self.thresholds) - 1)]
        if confidence >= threshold:
            return None
        if self._expected_seconds(inputs, models[position + 1]) > inputs.remaining:
            return None
        return position + 1

    def _expected_seconds(self, inputs: SizingInputs, model: str) -> float:
        tokens = inputs.prompt.input_tokens if inputs.prompt is not None else 0
        reading = tokens * self.loads.token_seconds(model)
        return (inputs.wait + reading) * SAFETY_FACTOR

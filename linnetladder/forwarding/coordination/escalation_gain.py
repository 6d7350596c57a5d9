"""Which doubtful responses are worth a larger model while engines are short of time.

While engines have time left, every doubtful response is. While they are short, only a
share of them is, which falls as the wait at the engines rises. That share goes to the
responses with the highest expected gain for each second of engine time, compared with
the doubtful responses that this daemon has seen lately on the same route.
"""

import collections
import dataclasses
import math

from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads
from linnetladder.forwarding.daemon_variables import PolicySettings
from linnetladder.forwarding.state import Prompt, Route

__all__ = ["EscalationGain"]

# Engines are short once the wait reaches the first share of the objective of a route,
# until the wait is below the second one. The gap avoids that a wait around one value
# switches between both states with each request.
SHORT_WAIT_SHARE = 0.25
ENOUGH_WAIT_SHARE = 0.10
# Engines bear longer waits as long as the answers of larger models come in time: both
# shares are multiplied by a factor that rises with each one that does and falls with
# each one that doesn't. The steps balance at one in six that is late.
MAXIMUM_TOLERANCE = 2.0
IN_TIME_STEP = 0.02
LATE_STEP = 0.1
# How fast the escalated share falls with the wait. Near its equilibrium a share that
# falls exponentially reacts to a change of the wait in proportion to itself, so that
# the loop has the same gain at any overload and is stable with loads 0.5 s old.
SHARE_DECAY = 2.0
# A generated token counts as many prompt tokens, in the size of a request and in the
# engine time that it takes.
OUTPUT_TOKEN_WEIGHT = 10.0
# Engine time of prompt tokens that an endpoint holds, relative to others.
HELD_TOKEN_WEIGHT = 0.1
# Weight of each new request in the mean size of a route's requests.
MEAN_SIZE_STEP = 0.02
RATED_RESPONSES = 128  # Doubtful responses of each route that are compared.
# Multiples of the golden ratio, modulo 1, are spread evenly. They order responses whose
# gains are equal.
GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0
SMALLEST_DIVISOR = 1e-9  # Avoids divisions by zero.


@dataclasses.dataclass(slots=True)
class RouteGains:
    """What this daemon has seen of one route.

    ``mean_size`` is in prompt tokens. ``rates`` are the gains for each second of engine
    time of the latest doubtful responses. ``tolerance`` is the factor of the waits from
    which engines are short.
    """

    mean_size: float = 0.0
    tolerance: float = 1.0
    short: bool = False
    rates: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=RATED_RESPONSES)
    )


class EscalationGain:
    """Compares the gain of doubtful responses with the time that engines have."""

    def __init__(self, *, loads: EndpointLoads, policy: PolicySettings):
        self.loads = loads
        self.policy = policy
        self.routes: dict[str, RouteGains] = {}
        self.compared = 0

    def learn_request(self, route: Route, prompt: Prompt | None) -> None:
        """Record the size of a request."""
        if prompt is None:
            return
        gains = self._gains_of(route)
        size = _size(prompt)
        if not gains.mean_size:
            gains.mean_size = size
        gains.mean_size += (size - gains.mean_size) * MEAN_SIZE_STEP

    def learn_answer(self, route: Route, *, in_time: bool) -> None:
        """Record whether an answer of a larger model began in time."""
        gains = self._gains_of(route)
        factor = 1.0 + IN_TIME_STEP if in_time else 1.0 - LATE_STEP
        tolerance = gains.tolerance * factor
        gains.tolerance = min(max(tolerance, 1.0), MAXIMUM_TOLERANCE)

    def is_short(self, route: Route, *, wait: float) -> bool:
        """Return whether engines are short of time, given the wait."""
        gains = self._gains_of(route)
        limit = ENOUGH_WAIT_SHARE if gains.short else SHORT_WAIT_SHARE
        return wait > limit * gains.tolerance * route.objective_seconds

    def escalated_share(
        self,
        route: Route,
        *,
        prompt: Prompt | None,
        model: str,
        wait: float,
        remaining: float,
    ) -> float:
        """Return the share of doubtful responses that a model is asked for."""
        if not self.is_short(route, wait=wait):
            return 1.0
        tokens = prompt.input_tokens if prompt is not None else 0
        latest_wait = remaining - tokens * self.loads.token_seconds(model)
        enough_wait = ENOUGH_WAIT_SHARE * self._gains_of(route).tolerance
        return _escalated_share(
            wait, enough_wait * route.objective_seconds, latest_wait
        )

    def is_worthwhile(
        self,
        route: Route,
        *,
        prompt: Prompt | None,
        held_tokens: int,
        model: str,
        confidence: float,
        wait: float,
        remaining: float,
    ) -> bool:
        """Return whether a doubtful response is worth the engine time of a model.

        ``held_tokens`` are the tokens of the prompt that an endpoint holds for the
        model. ``wait`` is the wait at the engine that would be asked and ``remaining``
        the time left until the objective, in seconds.
        """
        gains = self._gains_of(route)
        rate = self._rate(gains, prompt, held_tokens, model, confidence)
        gains.rates.append(rate)
        share = self.escalated_share(
            route, prompt=prompt, model=model, wait=wait, remaining=remaining
        )
        gains.short = self.is_short(route, wait=wait)
        return not gains.short or self._rank(gains, rate) > 1.0 - share

    def _rate(
        self,
        gains: RouteGains,
        prompt: Prompt | None,
        held_tokens: int,
        model: str,
        confidence: float,
    ) -> float:
        """Return the expected gain for each second of engine time.

        The gain is relative to a response of the mean size without any confidence.
        """
        threshold = max(self.policy.confidence, SMALLEST_DIVISOR)
        doubt = (threshold - confidence) / threshold
        if prompt is None:
            return doubt
        size = _size(prompt)
        read_tokens = size - held_tokens * (1.0 - HELD_TOKEN_WEIGHT)
        seconds = read_tokens * self.loads.token_seconds(model)
        gain = doubt * size / max(gains.mean_size, 1.0)
        return gain / max(seconds, SMALLEST_DIVISOR)

    def _rank(self, gains: RouteGains, rate: float) -> float:
        """Return the share of the latest doubtful responses that a rate exceeds.

        Equal rates share their part of the range evenly, so that the escalated share
        is kept also if all responses are alike.
        """
        below = sum(1 for other in gains.rates if other < rate)
        equal = sum(1 for other in gains.rates if other == rate)
        self.compared += 1
        place = self.compared * GOLDEN_RATIO % 1.0
        return (below + place * equal) / len(gains.rates)

    def _gains_of(self, route: Route) -> RouteGains:
        gains = self.routes.get(route.name)
        if gains is None:
            gains = self.routes[route.name] = RouteGains()
        return gains


def _size(prompt: Prompt) -> float:
    """Return the size of a request in prompt tokens."""
    return prompt.input_tokens + OUTPUT_TOKEN_WEIGHT * prompt.output_tokens


def _escalated_share(wait: float, enough_wait: float, latest_wait: float) -> float:
    """Return the share of doubtful responses that is escalated at a wait.

    It falls from 1 at the wait at which engines have enough time to 0 at the longest
    wait with which a response would be in time.
    """
    if wait >= latest_wait:
        return 0.0
    position = max(wait - enough_wait, 0.0) / max(
        latest_wait - enough_wait, SMALLEST_DIVISOR
    )
    return math.exp(-SHARE_DECAY * position) * max(1.0 - position, 0.0)

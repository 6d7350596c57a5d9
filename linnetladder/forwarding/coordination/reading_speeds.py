"""How fast models read prompts, as all daemons have measured it.

The largest model of a route may read ten times slower than the smallest, so a wait that
is estimated with a wrong speed names the wrong endpoint. One daemon sees few answers of
a large model and forgets them in a restart; it uses what its peers have measured until
it has seen enough itself.
"""

import dataclasses
import math
import statistics
from collections.abc import Iterable

from linnetladder.state import Clock

__all__ = ["SPEED_ROW_BYTES", "ReadingSpeeds", "SpeedRow"]

# Initial estimate, before any daemon has measured a model.
INITIAL_SECONDS_PER_TOKEN = 25e-6
# Relative step by which each answer moves the estimate of the median. The first answers
# move it by larger steps, the n-th by the first step divided by n.
FIRST_STEP = 0.5
SMALLEST_STEP = 0.04
# With so many answers of its own, a daemon does not need its peers' estimates.
SUFFICIENT_ANSWERS = 12
# Peers are told estimates from this many answers on.
MINIMUM_ANSWERS = 3
# Estimates of a peer that has not reported for this long are dropped.
EXPIRY_SECONDS = 30.0
# The medians over peers are computed again after this time, not with each report.
REFRESH_SECONDS = 1.0
# Upper estimate of the compressed bytes of a row in a report.
SPEED_ROW_BYTES = 10

# Model, seconds for one token.
SpeedRow = tuple[str, float]


@dataclasses.dataclass(slots=True)
class SpeedEstimate:
    """The estimated seconds for one token, from a number of answers."""

    seconds_per_token: float
    answers: int = 0


class ReadingSpeeds:
    """Estimates the time in which models read one token of a prompt."""

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.own: dict[str, SpeedEstimate] = {}
        self.peers: dict[str, tuple[float, dict[str, float]]] = {}
        self.peer_medians: dict[str, float] = {}
        self.refreshed = -math.inf

    def token_seconds(self, model: str) -> float:
        """Return the seconds that a model takes to read one token."""
        own = self.own.get(model)
        if own is not None and own.answers >= SUFFICIENT_ANSWERS:
            return own.seconds_per_token
        median = self._peer_medians().get(model)
        if median is not None:
            return median
        return own.seconds_per_token if own is not None else INITIAL_SECONDS_PER_TOKEN

    def learn(self, model: str, seconds_per_token: float) -> None:
        """Move the estimate of the median towards a measured time."""
        estimate = self.own.get(model)
        if estimate is None:
            estimate = self.own[model] = SpeedEstimate(self.token_seconds(model))
        estimate.answers += 1
        step = max(FIRST_STEP / estimate.answers, SMALLEST_STEP)
        factor = 1.0 + math.copysign(
            step, seconds_per_token - estimate.seconds_per_token
        )
        estimate.seconds_per_token *= factor

    def export(self, *, maximum_bytes: float) -> list[SpeedRow]:
        """Return rows for a report, as far as they fit."""
        rows = [
            (model, estimate.seconds_per_token)
            for model, estimate in self.own.items()
            if estimate.answers >= MINIMUM_ANSWERS
        ]
        return rows[: int(max(maximum_bytes, 0.0) // SPEED_ROW_BYTES)]

    def learn_report(self, peer: str, rows: Iterable[SpeedRow]) -> None:
        """Replace what a peer reported."""
        speeds = {model: seconds for model, seconds in rows if seconds > 0}
        self.peers[peer] = (self.clock.monotonic(), speeds)

    def _peer_medians(self) -> dict[str, float]:
        """Return the median of the peers' recent estimates for each model."""
        now = self.clock.monotonic()
        if now - self.refreshed < REFRESH_SECONDS:
            return self.peer_medians
        self.refreshed = now
        measured: dict[str, list[float]] = {}
        for peer, (received, speeds) in list(self.peers.items()):
            if now - received > EXPIRY_SECONDS:
                del self.peers[peer]
                continue
            for model, seconds in speeds.items():
                measured.setdefault(model, []).append(seconds)
        self.peer_medians = {m: statistics.median(s) for m, s in measured.items()}
        return self.peer_medians

"""How fast endpoints answer prompts, compared with each other.

Engines of one service differ in speed, and the load that a daemon knows of is some
seconds old in a large fleet. So each daemon compares the times to the first token with
what the model usually takes, and the daemons exchange these ratios in their reports.
"""

import collections
import dataclasses
import math
import statistics

from linnetladder.state import Clock, Endpoint

__all__ = ["EndpointSpeeds"]

# Shorter prompts say little: their time consists of the engine's steps.
MINIMUM_TOKENS = 1_000
# Ratios of this age and older are forgotten.
SAMPLE_TTL_SECONDS = 10.0
# In large fleets a peer's report comes less often: the time for each daemon.
REPORT_TTL_SECONDS_PER_DAEMON = 0.1
MAXIMUM_SAMPLES = 256
# Weight of the assumption that an endpoint is like the others, in ratios.
PRIOR_WEIGHT = 3.0
# A single ratio counts up to this factor, since a prompt may have met an outage, and
# the result is limited to this range.
MAXIMUM_RATIO = 5.0
SLOWEST, FASTEST = 3.0, 0.4
REFRESH_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The logarithm of a ratio of times at an endpoint's incarnation."""

    at: float
    endpoint: str
    logarithm: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSpeeds:
    """Mean logarithms that a peer reported, by endpoint."""

    received: float
    logarithms: dict[str, float]


class EndpointSpeeds:
    """Keeps the ratios measured here and those that peers reported."""

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.daemons = 1
        self.samples: collections.deque[Sample] = collections.deque(
            maxlen=MAXIMUM_SAMPLES
        )
        self.peers: dict[str, PeerSpeeds] = {}
        self.factors: dict[str, float] = {}
        self.updated = -math.inf

    def learn(
        self, endpoint: Endpoint, *, tokens: int, elapsed: float, usual: float
    ) -> None:
        """Record the time to a prompt's first token and what its model usually takes.

        Both are in seconds.
        """
        if tokens < MINIMUM_TOKENS or elapsed <= 0 or usual <= 0:
            return
        limit = math.log(MAXIMUM_RATIO)
        logarithm = min(max(math.log(elapsed / usual), -limit), limit)
        self.samples.append(Sample(self.clock.monotonic(), endpoint.name, logarithm))

    def learn_report(self, peer: str, rows: dict[str, float]) -> None:
        """Replace what a peer reported."""
        if rows or peer in self.peers:
            self.peers[peer] = PeerSpeeds(self.clock.monotonic(), rows)

    def export(self, *, maximum_rows: int) -> list[tuple[str, float]]:
        """Return the mean logarithm of each endpoint measured here, latest first."""
        means: dict[str, list[float]] = {}
        for sample in reversed(self._recent()):
            means.setdefault(sample.endpoint, []).append(sample.logarithm)
        rows = [(name, sum(found) / len(found)) for name, found in means.items()]
        return rows[: max(maximum_rows, 0)]

    def forget(self, endpoint: str) -> None:
        """Forget what was measured at an endpoint that was replaced."""
        kept = [s for s in self.samples if s.endpoint != endpoint]
        self.samples = collections.deque(kept, maxlen=MAXIMUM_SAMPLES)
        for speeds in self.peers.values():
            speeds.logarithms.pop(endpoint, None)
        self.factors.pop(endpoint, None)

    def factor(self, endpoint: Endpoint) -> float:
        """Return the usual time at an endpoint relative to that at all of them.

        It is 1 for an endpoint of which nothing is known.
        """
        now = self.clock.monotonic()
        if now - self.updated >= REFRESH_SECONDS:
            self.updated = now
            self.factors = self._compute(now)
        return self.factors.get(endpoint.name, 1.0)

    def _compute(self, now: float) -> dict[str, float]:
        found: dict[str, list[float]] = {}
        for name, logarithm in self.export(maximum_rows=MAXIMUM_SAMPLES):
            found.setdefault(name, []).append(logarithm)
        ttl = max(SAMPLE_TTL_SECONDS, self.daemons * REPORT_TTL_SECONDS_PER_DAEMON)
        for peer, speeds in list(self.peers.items()):
            if now - speeds.received > ttl:
                del self.peers[peer]
                continue
            for name, logarithm in speeds.logarithms.items():
                found.setdefault(name, []).append(logarithm)
        if not found:
            return {}
        means = {name: sum(values) / len(values) for name, values in found.items()}
        middle = statistics.median(means.values())
        return {
            name: _limited(
                (mean - middle) * len(found[name]) / (len(found[name]) + PRIOR_WEIGHT)
            )
            for name, mean in means.items()
        }

    def _recent(self) -> list[Sample]:
        since = self.clock.monotonic() - SAMPLE_TTL_SECONDS
        while self.samples and self.samples[0].at < since:
            self.samples.popleft()
        return list(self.samples)


def _limited(logarithm: float) -> float:
    return min(max(math.exp(logarithm), FASTEST), SLOWEST)

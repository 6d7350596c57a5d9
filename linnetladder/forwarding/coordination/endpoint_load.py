"""What endpoints are busy with, from this daemon's own sends and its peers' news.

A prompt that was sent and has not produced its first token is backlog. Its length in
seconds is estimated from the median speed at which each model was seen to read.
"""

import dataclasses
import math

from linnetladder.state import Clock, Endpoint

__all__ = ["EndpointLoads", "PeerLoads", "Work"]

# One prompt token of the smallest model on an idle engine; learnt from the first
# answers on.
INITIAL_SECONDS_PER_TOKEN = 25e-6
# Step by which the estimate of the median follows each answer.
LEARNING_STEP = 0.04
# Every first token takes about this long whatever the prompt's length; prompts below
# the least length say little about the speed of reading.
FIRST_TOKEN_OVERHEAD_SECONDS = 0.015
MINIMUM_MEASURED_TOKENS = 1_000
PEER_LOAD_EXPIRY_SECONDS = 2.5
# News come every 0.4 s from each peer; summing them up more often shows little more.
TOTALS_REFRESH_SECONDS = 0.05
NO_LOAD = (0, 0.0)


@dataclasses.dataclass(slots=True, eq=False)
class RequestLoad:
    """A request at an endpoint; ``backlog`` is seconds until its first token."""

    endpoint: str
    model: str
    tokens: int
    backlog: float
    started: float


@dataclasses.dataclass(slots=True)
class PeerLoads:
    """What one peer has at endpoints, by their names, and when it said so."""

    received: float
    loads_by_endpoint: dict[str, tuple[int, float]]


class EndpointLoads:
    """Sum up the work at each endpoint."""

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.backlog: dict[str, float] = {}
        self.peers: dict[str, PeerLoads] = {}
        self.totals: dict[str, tuple[int, float]] = {}
        self.totals_updated = -math.inf
        self.daemons = 1
        self.seconds_per_token: dict[str, float] = {}

    def begin(self, endpoint: Endpoint, *, model: str, tokens: int) -> RequestLoad:
        """Count a request in."""
        backlog = tokens * self.token_seconds(model)
        load = RequestLoad(
            endpoint.name, model, tokens, backlog, self.clock.monotonic()
        )
        endpoint.in_flight += 1
        self.backlog[endpoint.name] = self.backlog.get(endpoint.name, 0.0) + backlog
        return load

    def record_first_token(self, load: RequestLoad) -> float:
        """Count a prompt as read and return the seconds that it took."""
        elapsed = self.clock.monotonic() - load.started
        if load.tokens >= MINIMUM_MEASURED_TOKENS:
            current = self.token_seconds(load.model)
            measured = (elapsed - FIRST_TOKEN_OVERHEAD_SECONDS) / load.tokens
            step = LEARNING_STEP if measured > current else -LEARNING_STEP
            self.seconds_per_token[load.model] = current * (1.0 + step)
        self._subtract_backlog(load)
        return elapsed

    def end(self, endpoint: Endpoint, load: RequestLoad) -> None:
        """Count a request out."""
        endpoint.in_flight -= 1
        self._subtract_backlog(load)

    def token_seconds(self, model: str) -> float:
        """Return the seconds a model takes to read one prompt token."""
        return self.seconds_per_token.get(model, INITIAL_SECONDS_PER_TOKEN)

    def backlog_of(self, endpoint: Endpoint) -> float:
        """Return the seconds of prompts that wait at an endpoint, from all daemons."""
        own = self.backlog.get(endpoint.name, 0.0)
        return own + self._peer_totals().get(endpoint.name, NO_LOAD)[1]

    def in_flight_of(self, endpoint: Endpoint) -> int:
        """Return the requests at an endpoint, from all daemons."""
        others = self._peer_totals().get(endpoint.name, NO_LOAD)[0]
        return endpoint.in_flight + others

    def learn(self, peer: str, loads_by_endpoint: dict[str, tuple[int, float]]) -> None:
        """Take in all that a peer has at endpoints."""
        self.peers[peer] = PeerLoads(self.clock.monotonic(), loads_by_endpoint)

    def discard_backlog(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that was replaced."""
        self.backlog.pop(endpoint, None)

    def _peer_totals(self) -> dict[str, tuple[int, float]]:
        """Return the sums over all peers, made anew now and then.

        In a large fleet only some peers were heard lately; they stand for the others.
        """
        now = self.clock.monotonic()
        if now - self.totals_updated < TOTALS_REFRESH_SECONDS:
            return self.totals
        self.totals_updated = now
        sums: dict[str, tuple[int, float]] = {}
        for peer, loads in list(self.peers.items()):
            if now - loads.received > PEER_LOAD_EXPIRY_SECONDS:
                del self.peers[peer]
                continue
            for endpoint, (in_flight, backlog) in loads.loads_by_endpoint.items():
                current = sums.get(endpoint, NO_LOAD)
                sums[endpoint] = (current[0] + in_flight, current[1] + backlog)
        scale = max((self.daemons - 1) / max(len(self.peers), 1), 1.0)
        self.totals = {
            endpoint: (round(in_flight * scale), backlog * scale)
            for endpoint, (in_flight, backlog) in sums.items()
        }
        return self.totals

    def _subtract_backlog(self, load: RequestLoad) -> None:
        if load.backlog:
            remaining_backlog = self.backlog.get(load.endpoint, 0.0) - load.backlog
            self.backlog[load.endpoint] = max(remaining_backlog, 0.0)
            load.backlog = 0.0

"""Load of endpoints, from this daemon's own requests and its peers' reports.

A prompt that was sent and has not produced its first token is backlog. Its length in
seconds is estimated from the speed at which its model reads.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable

from linnetladder.forwarding.coordination.reading_speeds import ReadingSpeeds
from linnetladder.state import Clock, Endpoint

__all__ = ["NO_LOAD", "EndpointLoads", "PeerLoads", "PeerSums", "RequestLoad"]

# Part of the time to the first token that does not depend on the prompt's length.
# Prompts below the minimum length say little about the prefill speed and are ignored.
FIRST_TOKEN_OVERHEAD_SECONDS = 0.015
MINIMUM_MEASURED_TOKENS = 1_000
PEER_LOAD_EXPIRY_SECONDS = 2.5
# In large fleets reports of a peer come less often: the time for each daemon.
PEER_LOAD_EXPIRY_SECONDS_PER_DAEMON = 0.08
# Age up to which reports count as recent, where a decision needs the present load.
RECENT_SECONDS = 3.0
# Peers report a few times a second, so more frequent sums would change little.
TOTALS_REFRESH_SECONDS = 0.05
NO_LOAD = (0, 0.0)
# Peers are told at once of a prompt that takes at least this long to read. They would
# send others to the same endpoint until the next report.
LONG_PROMPT_SECONDS = 0.3


@dataclasses.dataclass(slots=True, eq=False)
class RequestLoad:
    """One request in flight at an endpoint.

    ``backlog`` is the expected prefill time in seconds, 0 after the first token.
    ``started`` is in seconds of the daemon's clock. ``cache_tokens`` is what the
    request occupies in the endpoint's KV cache until it ends. ``in_flight`` is the
    number of requests at the endpoint when it was sent, with itself; the first token
    came at ``first_token_at``. ``queued`` is the backlog that was before it then, and
    infinite if there was no free slot.
    """

    endpoint: str
    model: str
    tokens: int
    backlog: float
    started: float
    cache_tokens: int = 0
    in_flight: int = 1
    first_token_at: float = math.inf
    queued: float = 0.0


@dataclasses.dataclass(slots=True)
class PeerLoads:
    """Requests in flight and backlog in seconds that a peer reported, by endpoint name.

    The name may be a group's, for endpoints left out of the report. ``received``
    is the time of the report on this daemon's clock. ``tokens_by_endpoint`` are the
    tokens that the requests in flight occupy.
    """

    received: float
    loads_by_endpoint: dict[str, tuple[int, float]]
    tokens_by_endpoint: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, kw_only=True)
class PeerSums:
    """Sums over the peers, scaled up from those that reported to all of them.

    ``heard`` is the share of the peers that have reported.
    """

    loads: dict[str, tuple[int, float]]
    tokens: dict[str, float]
    heard: float


class EndpointLoads:
    """Tracks the load at each endpoint, over this daemon and its peers."""

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.backlog: dict[str, float] = {}
        self.cache_tokens: dict[str, int] = {}
        self.peers: dict[str, PeerLoads] = {}
        self.totals = PeerSums(loads={}, tokens={}, heard=0.0)
        self.totals_updated = -math.inf
        self.recent = self.totals
        self.recent_updated = -math.inf
        self.daemons = 1
        self.speeds = ReadingSpeeds(clock=clock)
        self.on_long_prompt: Callable[[], None] = _do_nothing
        self.on_end: Callable[[Endpoint], None] = _ignore_end

    def begin(
        self, endpoint: Endpoint, *, model: str, tokens: int, cache_tokens: int = 0
    ) -> RequestLoad:
        """Record that a request is sent to an endpoint.

        ``tokens`` are those that it has to prefill.
        """
        backlog = tokens * self.token_seconds(model)
        load = RequestLoad(
            endpoint.name,
            model,
            tokens,
            backlog,
            self.clock.monotonic(),
            cache_tokens,
        )
        endpoint.in_flight += 1
        load.in_flight = self.in_flight_of(endpoint)
        load.queued = self.backlog_of(endpoint)
        if load.in_flight > endpoint.capacity:
            load.queued = math.inf
        held = self.cache_tokens.get(endpoint.name, 0)
        self.cache_tokens[endpoint.name] = held + cache_tokens
        self.backlog[endpoint.name] = self.backlog.get(endpoint.name, 0.0) + backlog
        if backlog >= LONG_PROMPT_SECONDS:
            self.on_long_prompt()
        return load

    def record_first_token(self, load: RequestLoad) -> float:
        """Record the end of a request's prefill and return the seconds it took."""
        load.first_token_at = self.clock.monotonic()
        elapsed = load.first_token_at - load.started
        reading = elapsed - FIRST_TOKEN_OVERHEAD_SECONDS
        if load.tokens >= MINIMUM_MEASURED_TOKENS and reading > 0:
            measured = reading / load.tokens
            waited = measured > self.token_seconds(load.model)
            # A prompt that waited for others, or for a slot, says only so much.
            if not waited or reading > load.queued + load.backlog:
                self.speeds.learn(load.model, measured)
        self._subtract_backlog(load)
        return elapsed

    def end(self, endpoint: Endpoint, load: RequestLoad) -> None:
        """Record that a request at an endpoint has ended."""
        endpoint.in_flight -= 1
        self._subtract_backlog(load)
        held = self.cache_tokens.get(endpoint.name, 0) - load.cache_tokens
        if held > 0:
            self.cache_tokens[endpoint.name] = held
        else:
            self.cache_tokens.pop(endpoint.name, None)
        load.cache_tokens = 0
        self.on_end(endpoint)

    def token_seconds(self, model: str) -> float:
        """Return the seconds that a model takes to prefill one prompt token."""
        return self.speeds.token_seconds(model)

    def backlog_of(self, endpoint: Endpoint) -> float:
        """Return the backlog at an endpoint in seconds, over all daemons."""
        own = self.backlog.get(endpoint.name, 0.0)
        return own + self.peer_sums().loads.get(endpoint.name, NO_LOAD)[1]

    def in_flight_of(self, endpoint: Endpoint) -> int:
        """Return the number of requests in flight at an endpoint, over all daemons."""
        others = self.peer_sums().loads.get(endpoint.name, NO_LOAD)[0]
        return endpoint.in_flight + others

    def cache_tokens_of(self, endpoint: Endpoint) -> float:
        """Return the tokens that requests occupy at an endpoint, over all daemons."""
        own = self.cache_tokens.get(endpoint.name, 0)
        return own + self.peer_sums().tokens.get(endpoint.name, 0.0)

    def peers_in_flight_at_group(self, group: str) -> int:
        """Return the requests in flight that peers report for a group of endpoints.

        These are the ones at endpoints that were left out of their reports.
        """
        return self.peer_sums().loads.get(group, NO_LOAD)[0]

    def learn(
        self,
        peer: str,
        loads_by_endpoint: dict[str, tuple[int, float]],
        tokens_by_endpoint: dict[str, int] | None = None,
    ) -> None:
        """Replace the loads reported by a peer."""
        self.peers[peer] = PeerLoads(
            self.clock.monotonic(), loads_by_endpoint, tokens_by_endpoint or {}
        )

    def discard_backlog(self, endpoint: str) -> None:
        """Discard the backlog of an endpoint that was replaced."""
        self.backlog.pop(endpoint, None)

    def peer_sums(self) -> PeerSums:
        """Return the sums over all peers, recomputed at most every refresh interval.

        In a large fleet only some peers have reported recently; their sums are scaled
        up to the number of peers.
        """
        now = self.clock.monotonic()
        if now - self.totals_updated < TOTALS_REFRESH_SECONDS:
            return self.totals
        self.totals_updated = now
        expiry = max(
            PEER_LOAD_EXPIRY_SECONDS,
            self.daemons * PEER_LOAD_EXPIRY_SECONDS_PER_DAEMON,
        )
        for peer, loads in list(self.peers.items()):
            if now - loads.received > expiry:
                del self.peers[peer]
        self.totals = self._sum(self.peers.values())
        return self.totals

    def recent_sums(self) -> PeerSums:
        """Return the sums over the peers that have reported within few seconds."""
        now = self.clock.monotonic()
        if now - self.recent_updated >= TOTALS_REFRESH_SECONDS:
            self.recent_updated = now
            since = now - RECENT_SECONDS
            self.recent = self._sum(
                p for p in self.peers.values() if p.received >= since
            )
        return self.recent

    def _sum(self, reports: Iterable[PeerLoads]) -> PeerSums:
        sums: dict[str, tuple[int, float]] = {}
        tokens: dict[str, int] = {}
        number = 0
        for loads in reports:
            number += 1
            for endpoint, (in_flight, backlog) in loads.loads_by_endpoint.items():
                current = sums.get(endpoint, NO_LOAD)
                sums[endpoint] = (current[0] + in_flight, current[1] + backlog)
            for endpoint, held in loads.tokens_by_endpoint.items():
                tokens[endpoint] = tokens.get(endpoint, 0) + held
        scale = max((self.daemons - 1) / max(number, 1), 1.0)
        return PeerSums(
            loads={
                endpoint: (round(in_flight * scale), backlog * scale)
                for endpoint, (in_flight, backlog) in sums.items()
            },
            tokens={name: held * scale for name, held in tokens.items()},
            heard=number / max(self.daemons - 1, 1) if self.daemons > 1 else 1.0,
        )

    def _subtract_backlog(self, load: RequestLoad) -> None:
        if load.backlog:
            remaining_backlog = self.backlog.get(load.endpoint, 0.0) - load.backlog
            self.backlog[load.endpoint] = max(remaining_backlog, 0.0)
            load.backlog = 0.0


def _do_nothing() -> None:
    """Do nothing; the default action when a long prompt is sent."""


def _ignore_end(endpoint: Endpoint) -> None:
    """Do nothing; the default action when a request at an endpoint has ended."""

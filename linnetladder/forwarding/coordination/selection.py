"""Selection of the endpoint for an attempt.

A prompt goes to the endpoint where its first token is expected first: one that holds
the prompt's shared part need not read that again. Rendezvous hashing assigns each part
to an endpoint without any communication between daemons; a daemon also remembers to
which others it sent a part.

Requests without a prompt go to the endpoint with the fewest requests in flight relative
to its capacity.
"""

import collections
import dataclasses
import itertools
from collections.abc import Iterable

import xxhash

from linnetladder.forwarding.coordination.availability import EndpointAvailability
from linnetladder.forwarding.coordination.directory import EndpointDirectory
from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads
from linnetladder.forwarding.coordination.homes import Homes
from linnetladder.forwarding.coordination.outcomes import Outcomes
from linnetladder.forwarding.coordination.room import EndpointRoom
from linnetladder.forwarding.coordination.version_rule import VersionRule
from linnetladder.state import Clock, Endpoint

__all__ = ["ScoredCandidate", "Selection", "SelectionInputs"]

# Endpoints that the hash of a shared part prefers. Others cost an addition to the wait,
# so that in large fleets a part is read by few, and the daemons, whose knowledge of the
# load lags, don't all send to the endpoint that looks idle.
PREFERRED_ENDPOINTS = 3
DISTANT_PENALTY_SECONDS = 0.5
# An endpoint is expected to hold a shared part that was sent to it for this long.
HELD_SECONDS = 30.0
MAXIMUM_REMEMBERED_PARTS = 4096
# Expected addition to a prompt's wait for each request in flight.
IN_FLIGHT_WAIT_SECONDS = 0.004
# Addition to the wait at an endpoint without a free slot or enough free tokens.
FULL_PENALTY_SECONDS = 2.0
# Addition to the wait at an endpoint, times its share of bad attempts.
BAD_SHARE_PENALTY_SECONDS = 1.5
# In requests in flight per slot.
OTHER_DOMAIN_PENALTY = 0.1
# Where the own failure domain has at least so many endpoints for a prompt, those of
# others cost an addition to the wait. Then streams cross domains only when the own one
# is busy, and the loss of a domain breaks fewer of them off.
MINIMUM_NEAR_ENDPOINTS = 6
OTHER_DOMAIN_SECONDS = 0.1


@dataclasses.dataclass(slots=True, kw_only=True)
class SelectionInputs:
    """Inputs of a selection.

    ``affinity`` identifies the model and the prompt's shared part; it is empty if the
    prompt has none. ``shared_seconds`` is the expected time to prefill that part.
    ``tried_endpoints`` are the names of the endpoints that the request was sent to.
    ``cache_tokens`` is what the request occupies in the memory of an engine.
    ``homes`` are the regions that it may be sent to, ``None`` for any.
    """

    service: str
    rule: VersionRule
    affinity: str
    shared_seconds: float
    has_prompt: bool
    tried_endpoints: tuple[str, ...]
    cache_tokens: int = 0
    homes: frozenset[str] | None = None


@dataclasses.dataclass(slots=True)
class ScoredCandidate:
    """A candidate with the terms of its score, of which the lowest is chosen.

    They are in seconds of expected wait for a prompt, and otherwise in requests in
    flight per slot.
    """

    endpoint: Endpoint
    terms: dict[str, float]

    @property
    def score(self) -> float:
        """The sum of the terms."""
        return sum(self.terms.values())


class Selection:
    """Selects among the endpoints of a service that accept requests."""

    def __init__(
        self,
        *,
        directory: EndpointDirectory,
        loads: EndpointLoads,
        outcomes: Outcomes,
        availability: EndpointAvailability,
        room: EndpointRoom,
        homes: Homes,
        clock: Clock,
        own_domain: str,
    ):
        self.directory = directory
        self.loads = loads
        self.outcomes = outcomes
        self.availability = availability
        self.room = room
        self.homes = homes
        self.clock = clock
        self.own_domain = own_domain
        self.choices = itertools.count()
        self.holders: collections.OrderedDict[str, dict[tuple[str, str], float]] = (
            collections.OrderedDict()
        )

    def choose(self, inputs: SelectionInputs) -> Endpoint | None:
        """Return the endpoint for an attempt, or ``None`` if there is none."""
        scored = self.scored_candidates(inputs)
        return min(scored, key=lambda c: c.score).endpoint if scored else None

    def scored_candidates(self, inputs: SelectionInputs) -> list[ScoredCandidate]:
        """Return the candidates with their scores; the first of equal ones is chosen.

        The choice and its explanation to operators both use this.
        """
        candidates = self.candidates(inputs)
        if inputs.has_prompt:
            return self._score_for_prompt(candidates, inputs)
        if self._all_are_full(candidates):
            choice = next(self.choices)
            ranked = self._ranked(candidates, f"{self.own_domain}{choice}")
            return [ScoredCandidate(e, self._own_load_terms(e)) for e in ranked]
        ranked = self._ranked(candidates, self.own_domain)
        return [ScoredCandidate(e, self._load_terms(e)) for e in ranked]

    def candidates(self, inputs: SelectionInputs) -> list[Endpoint]:
        """Return the untried endpoints that the request may be sent to now."""
        limits = self.availability.limits
        return [e for e in self.eligible(inputs) if limits.may_send(e)]

    def eligible(self, inputs: SelectionInputs) -> list[Endpoint]:
        """Return the untried endpoints that may run the request, now or later.

        A limit on requests may delay them. Only if no other untried endpoint is left,
        those are returned that a peer may reach, and after them other ejected ones.
        """
        usable = [
            endpoint
            for endpoint in self.allowed(inputs)
            if not self.availability.is_excluded(endpoint)
        ]
        untried = [e for e in usable if e.name not in inputs.tried_endpoints]
        healthy = [e for e in untried if not self.availability.is_ejected(e)]
        return (
            healthy
            or [e for e in untried if self._is_reached_by_peers(e, inputs)]
            or untried
        )

    def allowed(self, inputs: SelectionInputs) -> list[Endpoint]:
        """Return the endpoints that the request may use, available or not.

        The version rule and the request's homes decide. If the target of a roll-out
        has no endpoint in the homes, the request stays on the other versions there.
        """
        endpoints = self.pool_endpoints(inputs)
        allowed = [e for e in endpoints if inputs.rule.allows(e)]
        if inputs.homes is None:
            return allowed
        in_homes = self._in_homes(allowed, inputs)
        if not in_homes and inputs.rule.only_target:
            return self._in_homes(endpoints, inputs)
        return in_homes

    def pool_endpoints(self, inputs: SelectionInputs) -> list[Endpoint]:
        """Return all endpoints of the service."""
        pool = self.directory.pool(inputs.service)
        return pool.endpoints if pool is not None else []

    def has_healthy_candidate(self, inputs: SelectionInputs) -> bool:
        """Return whether an untried endpoint may be sent to that is not ejected.

        One that is reached through a peer counts, too.
        """
        return any(
            self._is_reached_by_peers(endpoint, inputs)
            or not self.availability.is_ejected(endpoint)
            for endpoint in self.candidates(inputs)
        )

    def _in_homes(
        self, endpoints: Iterable[Endpoint], inputs: SelectionInputs
    ) -> list[Endpoint]:
        """Return those of some endpoints that are in the request's homes."""
        return [e for e in endpoints if self.homes.allow_endpoint(inputs.homes, e)]

    def _is_reached_by_peers(self, endpoint: Endpoint, inputs: SelectionInputs) -> bool:
        return self.availability.is_reached_by_peers(endpoint, homes=inputs.homes)

    def backlog_at_choice(self, inputs: SelectionInputs) -> float:
        """Return the backlog of the endpoint that would be chosen, in seconds."""
        endpoint = self.choose(inputs)
        return self.loads.backlog_of(endpoint) if endpoint is not None else 0.0

    def has_sent_shared_part(self, inputs: SelectionInputs, endpoint: Endpoint) -> bool:
        """Return whether this daemon sent the prompt's shared part there lately."""
        return (endpoint.name, endpoint.incarnation) in self._holders(inputs.affinity)

    def is_held(self, affinity: str) -> bool:
        """Return whether this daemon sent a shared part to any endpoint lately."""
        return bool(affinity) and bool(self._holders(affinity))

    def note_sent(self, inputs: SelectionInputs, endpoint: Endpoint) -> None:
        """Remember that a prompt's shared part is sent to an endpoint."""
        if not inputs.affinity:
            return
        holders = self.holders.setdefault(inputs.affinity, {})
        holders[(endpoint.name, endpoint.incarnation)] = self.clock.monotonic()
        self.holders.move_to_end(inputs.affinity)
        if len(self.holders) > MAXIMUM_REMEMBERED_PARTS:
            self.holders.popitem(last=False)

    def _holders(self, affinity: str) -> set[tuple[str, str]]:
        """Return the endpoints, by name and incarnation, that got a part lately."""
        since = self.clock.monotonic() - HELD_SECONDS
        sent = self.holders.get(affinity, {})
        return {holder for holder, sent_at in sent.items() if sent_at >= since}

    def _score_for_prompt(
        self, candidates: list[Endpoint], inputs: SelectionInputs
    ) -> list[ScoredCandidate]:
        ranked = self._ranked(candidates, inputs.affinity)
        near = [e for e in ranked if e.failure_domain == self.own_domain]
        prefers_near = len(near) >= MINIMUM_NEAR_ENDPOINTS
        if prefers_near:
            ranked = near + [e for e in ranked if e not in near]
        holders = self._holders(inputs.affinity)
        if ranked and not any((e.name, e.incarnation) in holders for e in ranked):
            holders = {(ranked[0].name, ranked[0].incarnation)}
        scored = []
        for rank, endpoint in enumerate(ranked):
            terms = self._wait_terms(endpoint, inputs.cache_tokens)
            if prefers_near and rank >= len(near):
                terms["other_domain"] = OTHER_DOMAIN_SECONDS
            if (endpoint.name, endpoint.incarnation) not in holders:
                terms["shared_part"] = inputs.shared_seconds
                if rank >= PREFERRED_ENDPOINTS:
                    terms["distant"] = DISTANT_PENALTY_SECONDS
            scored.append(ScoredCandidate(endpoint, terms))
        return scored

    def _ranked(self, candidates: list[Endpoint], affinity: str) -> list[Endpoint]:
        return sorted(candidates, key=lambda e: _rendezvous_hash(affinity, e.name))

    def _wait_terms(self, endpoint: Endpoint, cache_tokens: int) -> dict[str, float]:
        """Return the terms of the expected wait that don't depend on the parts."""
        in_flight = self.loads.in_flight_of(endpoint)
        failure_rate = self.outcomes.failure_rate(endpoint.name)
        terms = {
            "backlog": self.loads.backlog_of(endpoint),
            "in_flight": in_flight * IN_FLIGHT_WAIT_SECONDS,
            "failures": failure_rate * BAD_SHARE_PENALTY_SECONDS,
        }
        fits = self.room.fits(endpoint, cache_tokens)
        if in_flight >= endpoint.capacity or not fits:
            terms["full"] = FULL_PENALTY_SECONDS
        return terms

    def _all_are_full(self, candidates: list[Endpoint]) -> bool:
        in_flight = sum(map(self.loads.in_flight_of, candidates))
        return in_flight >= sum(endpoint.capacity for endpoint in candidates)

    def _own_load_terms(self, endpoint: Endpoint) -> dict[str, float]:
        """Return the terms of the load by this daemon's own requests.

        While endpoints are full, reports of their queues are late, and all daemons
        would send to the one whose queue was the shortest. Each spreads its own
        requests instead, of which more stay at a slower endpoint.
        """
        return {
            "own_in_flight": endpoint.in_flight / endpoint.capacity,
            "failures": self.outcomes.failure_rate(endpoint.name),
        }

    def _load_terms(self, endpoint: Endpoint) -> dict[str, float]:
        """Return the terms of the relative load, for requests without a prompt."""
        terms = {
            "in_flight": self.loads.in_flight_of(endpoint) / endpoint.capacity,
            "failures": self.outcomes.failure_rate(endpoint.name),
        }
        if endpoint.failure_domain != self.own_domain:
            terms["other_domain"] = OTHER_DOMAIN_PENALTY
        return terms


def _rendezvous_hash(key: str, endpoint: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{endpoint}".encode())

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

import xxhash

from linnetladder.forwarding.coordination.availability import EndpointAvailability
from linnetladder.forwarding.coordination.directory import EndpointDirectory
from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads
from linnetladder.forwarding.coordination.outcomes import Outcomes
from linnetladder.forwarding.coordination.room import EndpointRoom
from linnetladder.forwarding.coordination.version_rule import VersionRule
from linnetladder.state import Clock, Endpoint

__all__ = ["Selection", "SelectionInputs"]

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


@dataclasses.dataclass(slots=True, kw_only=True)
class SelectionInputs:
    """Inputs of a selection.

    ``affinity`` identifies the model and the prompt's shared part; it is empty if the
    prompt has none. ``shared_seconds`` is the expected time to prefill that part.
    ``tried_endpoints`` are the names of the endpoints that the request was sent to.
    ``cache_tokens`` is what the request occupies in the memory of an engine.
    """

    service: str
    rule: VersionRule
    affinity: str
    shared_seconds: float
    has_prompt: bool
    tried_endpoints: tuple[str, ...]
    cache_tokens: int = 0


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
        clock: Clock,
        own_domain: str,
    ):
        self.directory = directory
        self.loads = loads
        self.outcomes = outcomes
        self.availability = availability
        self.room = room
        self.clock = clock
        self.own_domain = own_domain
        self.choices = itertools.count()
        self.holders: collections.OrderedDict[str, dict[tuple[str, str], float]] = (
            collections.OrderedDict()
        )

    def choose(self, inputs: SelectionInputs) -> Endpoint | None:
        """Return the endpoint for an attempt, or ``None`` if there is none."""
        candidates = self.candidates(inputs)
        if not candidates:
            return None
        if inputs.has_prompt:
            return self._choose_for_prompt(candidates, inputs)
        if self._all_are_full(candidates):
            choice = next(self.choices)
            return min(candidates, key=lambda e: self._own_load(e, choice))
        return min(candidates, key=self._relative_load)

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
            or list(filter(self.availability.is_reached_by_peers, untried))
            or untried
        )

    def allowed(self, inputs: SelectionInputs) -> list[Endpoint]:
        """Return the endpoints that the version rule allows, available or not."""
        pool = self.directory.pool(inputs.service)
        if pool is None:
            return []
        return [e for e in pool.endpoints if inputs.rule.allows(e)]

    def has_healthy_candidate(self, inputs: SelectionInputs) -> bool:
        """Return whether an untried endpoint may be sent to that is not ejected.

        One that is reached through a peer counts, too.
        """
        return any(
            self.availability.is_reached_by_peers(endpoint)
            or not self.availability.is_ejected(endpoint)
            for endpoint in self.candidates(inputs)
        )

    def shortest_wait(self, inputs: SelectionInputs) -> float:
        """Return the shortest backlog of any candidate, in seconds."""
        waits = [self.loads.backlog_of(e) for e in self.candidates(inputs)]
        return min(waits, default=0.0)

    def has_sent_shared_part(self, inputs: SelectionInputs, endpoint: Endpoint) -> bool:
        """Return whether this daemon sent the prompt's shared part there lately."""
        return (endpoint.name, endpoint.incarnation) in self._holders(inputs.affinity)

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

    def _choose_for_prompt(
        self, candidates: list[Endpoint], inputs: SelectionInputs
    ) -> Endpoint:
        ranked = self._ranked(candidates, inputs.affinity)
        holders = self._holders(inputs.affinity)
        if not any((e.name, e.incarnation) in holders for e in ranked):
            holders = {(ranked[0].name, ranked[0].incarnation)}
        seconds: dict[str, float] = {}
        for rank, endpoint in enumerate(ranked):
            expected = self._prompt_wait(endpoint, inputs.cache_tokens)
            if (endpoint.name, endpoint.incarnation) not in holders:
                expected += inputs.shared_seconds
                if rank >= PREFERRED_ENDPOINTS:
                    expected += DISTANT_PENALTY_SECONDS
            seconds[endpoint.name] = expected
        return min(ranked, key=lambda endpoint: seconds[endpoint.name])

    def _ranked(self, candidates: list[Endpoint], affinity: str) -> list[Endpoint]:
        return sorted(candidates, key=lambda e: _rendezvous_hash(affinity, e.name))

    def _prompt_wait(self, endpoint: Endpoint, cache_tokens: int) -> float:
        in_flight = self.loads.in_flight_of(endpoint)
        wait = self.loads.backlog_of(endpoint) + in_flight * IN_FLIGHT_WAIT_SECONDS
        wait += self.outcomes.failure_rate(endpoint.name) * BAD_SHARE_PENALTY_SECONDS
        fits = self.room.fits(endpoint, cache_tokens)
        if in_flight >= endpoint.capacity or not fits:
            wait += FULL_PENALTY_SECONDS
        return wait

    def _all_are_full(self, candidates: list[Endpoint]) -> bool:
        in_flight = sum(map(self.loads.in_flight_of, candidates))
        return in_flight >= sum(endpoint.capacity for endpoint in candidates)

    def _own_load(self, endpoint: Endpoint, choice: int) -> tuple[float, int]:
        """Return the load by this daemon's own requests, and a hash among equal ones.

        While endpoints are full, reports of their queues are late, and all daemons
        would send to the one whose queue was the shortest. Each spreads its own
        requests instead, of which more stay at a slower endpoint.
        """
        load = endpoint.in_flight / endpoint.capacity
        load += self.outcomes.failure_rate(endpoint.name)
        return load, _rendezvous_hash(f"{self.own_domain}{choice}", endpoint.name)

    def _relative_load(self, endpoint: Endpoint) -> tuple[float, int]:
        load = self.loads.in_flight_of(endpoint) / endpoint.capacity
        load += self.outcomes.failure_rate(endpoint.name)
        if endpoint.failure_domain != self.own_domain:
            load += OTHER_DOMAIN_PENALTY
        return load, _rendezvous_hash(self.own_domain, endpoint.name)


def _rendezvous_hash(key: str, endpoint: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{endpoint}".encode())

"""Selection of the endpoint for an attempt.

A prompt goes to the endpoint that rendezvous hashing assigns to its last shared part,
unless that endpoint's backlog is long. Each part thus stays in one endpoint's cache
without any communication between daemons. Requests without a prompt go to the endpoint
with the fewest requests in flight relative to its capacity.
"""

import dataclasses

import xxhash

from linnetladder.forwarding.coordination.availability import EndpointAvailability
from linnetladder.forwarding.coordination.directory import EndpointDirectory
from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads
from linnetladder.forwarding.coordination.outcomes import Outcomes
from linnetladder.forwarding.coordination.version_rule import VersionRule
from linnetladder.state import Endpoint

__all__ = ["Selection", "SelectionInputs"]

# A prompt goes to another endpoint if the backlog at the one of its shared part exceeds
# the shortest by more than this, which is about the time to prefill the part again.
AFFINITY_BACKLOG_SECONDS = 0.35
# Expected addition to a prompt's wait for each request in flight.
IN_FLIGHT_WAIT_SECONDS = 0.004
# Addition to the wait at an endpoint without a free slot.
FULL_PENALTY_SECONDS = 2.0
# Addition to the wait at an endpoint, times its share of bad attempts.
BAD_SHARE_PENALTY_SECONDS = 1.5
# In requests in flight per slot.
OTHER_DOMAIN_PENALTY = 0.1


@dataclasses.dataclass(slots=True, kw_only=True)
class SelectionInputs:
    """Inputs of a selection.

    ``affinity`` identifies the model and the prompt's shared part; it is empty if the
    prompt has none. ``tried_endpoints`` are the names of the endpoints that the request
    was sent to.
    """

    service: str
    rule: VersionRule
    affinity: str
    has_prompt: bool
    tried_endpoints: tuple[str, ...]


class Selection:
    """Selects among the endpoints of a service that accept requests."""

    def __init__(
        self,
        *,
        directory: EndpointDirectory,
        loads: EndpointLoads,
        outcomes: Outcomes,
        availability: EndpointAvailability,
        own_domain: str,
    ):
        self.directory = directory
        self.loads = loads
        self.outcomes = outcomes
        self.availability = availability
        self.own_domain = own_domain

    def choose(self, inputs: SelectionInputs) -> Endpoint | None:
        """Return the endpoint for an attempt, or ``None`` if there is none."""
        candidates = self.candidates(inputs)
        if not candidates:
            return None
        if inputs.has_prompt:
            return self._choose_for_prompt(candidates, inputs.affinity)
        return min(candidates, key=self._relative_load)

    def candidates(self, inputs: SelectionInputs) -> list[Endpoint]:
        """Return the untried endpoints that the request may be sent to now."""
        limits = self.availability.limits
        return [e for e in self.eligible(inputs) if limits.may_send(e)]

    def eligible(self, inputs: SelectionInputs) -> list[Endpoint]:
        """Return the untried endpoints that may run the request, now or later.

        A limit on requests may delay them. Ejected endpoints are returned only if no
        other untried endpoint is left.
        """
        usable = [
            endpoint
            for endpoint in self.allowed(inputs)
            if not self.availability.is_excluded(endpoint)
        ]
        healthy = [e for e in usable if not self.availability.is_ejected(e)] or usable
        untried = [e for e in healthy if e.name not in inputs.tried_endpoints]
        return untried or [e for e in usable if e.name not in inputs.tried_endpoints]

    def allowed(self, inputs: SelectionInputs) -> list[Endpoint]:
        """Return the endpoints that the version rule allows, available or not."""
        pool = self.directory.pool(inputs.service)
        if pool is None:
            return []
        return [e for e in pool.endpoints if inputs.rule.allows(e)]

    def has_healthy_candidate(self, inputs: SelectionInputs) -> bool:
        """Return whether an untried endpoint that is not ejected may be sent to."""
        candidates = self.candidates(inputs)
        return any(not self.availability.is_ejected(e) for e in candidates)

    def shortest_wait(self, inputs: SelectionInputs) -> float:
        """Return the shortest backlog of any candidate, in seconds."""
        waits = [self.loads.backlog_of(e) for e in self.candidates(inputs)]
        return min(waits, default=0.0)

    def _choose_for_prompt(self, candidates: list[Endpoint], affinity: str) -> Endpoint:
        waits = {e.name: self._prompt_wait(e) for e in candidates}
        shortest = min(waits.values())
        if not affinity:
            return min(candidates, key=lambda e: waits[e.name])
        ranked = sorted(candidates, key=lambda e: _rendezvous_hash(affinity, e.name))
        for endpoint in ranked:
            if waits[endpoint.name] <= shortest + AFFINITY_BACKLOG_SECONDS:
                return endpoint
        return ranked[0]

    def _prompt_wait(self, endpoint: Endpoint) -> float:
        in_flight = self.loads.in_flight_of(endpoint)
        wait = self.loads.backlog_of(endpoint) + in_flight * IN_FLIGHT_WAIT_SECONDS
        wait += self.outcomes.failure_rate(endpoint.name) * BAD_SHARE_PENALTY_SECONDS
        if in_flight >= endpoint.capacity:
            wait += FULL_PENALTY_SECONDS
        return wait

    def _relative_load(self, endpoint: Endpoint) -> tuple[float, int]:
        load = self.loads.in_flight_of(endpoint) / endpoint.capacity
        load += self.outcomes.failure_rate(endpoint.name)
        if endpoint.failure_domain != self.own_domain:
            load += OTHER_DOMAIN_PENALTY
        return load, _rendezvous_hash(self.own_domain, endpoint.name)


def _rendezvous_hash(key: str, endpoint: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{endpoint}".encode())

"""Load-balancing strategies, which choose the endpoint for the next attempt.

Every `EndpointChoice` considers only endpoints that accept work and have a free slot,
and prefers the daemon's own failure domain.
"""

import abc
import dataclasses
import itertools
import random
from collections.abc import Iterable

import xxhash

from linnetladder.state import Endpoint, Pool

__all__ = [
    "BoundedLoadAffinity",
    "CHOICES",
    "ChoiceInputs",
    "EndpointChoice",
    "LeastInFlight",
    "RandomEndpoint",
    "RoundRobin",
]

# Successors on the hash ring that are considered for a prefix.
AFFINITY_CANDIDATES = 4
# The load bound is the sampled average load times the factor, plus the slack.
AFFINITY_LOAD_FACTOR = 1.25
AFFINITY_LOAD_SLACK = 0.15
LOAD_SAMPLE_SIZE = 4


@dataclasses.dataclass(slots=True, kw_only=True)
class ChoiceInputs:
    """A strategy's inputs beside the pool; ``now`` is monotonic seconds.

    ``tried`` names the endpoints that earlier attempts of the request used.
    """

    own_domain: str
    prefix: bytes
    tried: frozenset[str]
    now: float


class EndpointChoice(abc.ABC):
    """Choose an endpoint that has a free slot."""

    def __init__(self, *, seed: int):
        self.random = random.Random(seed)

    def choose(self, pool: Pool, inputs: ChoiceInputs) -> Endpoint | None:
        """Return an endpoint, from the own failure domain if possible, or ``None``."""
        for domain in pool.domains_local_first(inputs.own_domain):
            chosen = self.choose_in_domain(pool, domain, inputs)
            if chosen is not None:
                return chosen
        return None

    @abc.abstractmethod
    def choose_in_domain(
        self, pool: Pool, domain: str, inputs: ChoiceInputs
    ) -> Endpoint | None:
        """Return an endpoint with a free slot in one failure domain, or ``None``."""

    def sample_two(
        self, members: tuple[Endpoint, ...], inputs: ChoiceInputs
    ) -> Endpoint | None:
        """Return the less loaded of two random endpoints.

        If neither is usable, return the least loaded usable endpoint of all.
        """
        count = len(members)
        if count > 2:
            pair = self.random.sample(members, 2)
            least_loaded = _least_loaded(pair, inputs)
            if least_loaded is not None:
                return least_loaded
        return _least_loaded(members, inputs)


def _is_usable(endpoint: Endpoint, inputs: ChoiceInputs) -> bool:
    """Return whether an endpoint is untried and has a free slot."""
    return endpoint.name not in inputs.tried and endpoint.has_capacity(inputs.now)


def _least_loaded(members: Iterable[Endpoint], inputs: ChoiceInputs) -> Endpoint | None:
    usable = [endpoint for endpoint in members if _is_usable(endpoint, inputs)]
    return min(usable, key=lambda endpoint: endpoint.load, default=None)


class BoundedLoadAffinity(EndpointChoice):
    """Consistent hashing of the prompt's prefix with bounded loads.

    Requests with the same prefix go to the endpoint that has it cached, unless its
    load is far above the others'. The first of a few successors on the hash ring whose
    load is within a bound over a sampled average is taken, else the less loaded of two
    random endpoints.
    """

    def choose_in_domain(
        self, pool: Pool, domain: str, inputs: ChoiceInputs
    ) -> Endpoint | None:
        """Return the endpoint for the prefix within the load bound."""
        members = pool.by_domain[domain]
        if not inputs.prefix or len(members) == 1:
            return self.sample_two(members, inputs)
        bound = self._load_bound(members)
        point = xxhash.xxh64_intdigest(inputs.prefix)
        successors = pool.ring(domain).successors(point)
        for endpoint in itertools.islice(successors, AFFINITY_CANDIDATES):
            if endpoint.load <= bound and _is_usable(endpoint, inputs):
                return endpoint
        return self.sample_two(members, inputs)

    def _load_bound(self, members: tuple[Endpoint, ...]) -> float:
        sampled = members
        if len(members) > LOAD_SAMPLE_SIZE:
            sampled = self.random.sample(members, LOAD_SAMPLE_SIZE)
        average = sum(endpoint.load for endpoint in sampled) / len(sampled)
        return average * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_SLACK


class LeastInFlight(EndpointChoice):
    """The least loaded endpoint."""

    def choose_in_domain(
        self, pool: Pool, domain: str, inputs: ChoiceInputs
    ) -> Endpoint | None:
        """Return the least loaded endpoint of the domain."""
        return _least_loaded(pool.by_domain[domain], inputs)


class RandomEndpoint(EndpointChoice):
    """A uniformly random endpoint."""

    def choose_in_domain(
        self, pool: Pool, domain: str, inputs: ChoiceInputs
    ) -> Endpoint | None:
        """Return a random endpoint of the domain."""
        usable = [e for e in pool.by_domain[domain] if _is_usable(e, inputs)]
        return self.random.choice(usable) if usable else None


class RoundRobin(EndpointChoice):
    """Each endpoint in turn."""

    def __init__(self, *, seed: int):
        super().__init__(seed=seed)
        self.next_positions: dict[str, int] = {}

    def choose_in_domain(
        self, pool: Pool, domain: str, inputs: ChoiceInputs
    ) -> Endpoint | None:
        """Return the next endpoint of the domain that has a free slot."""
        members = pool.by_domain[domain]
        start = self.next_positions.get(domain, 0)
        for step in range(len(members)):
            endpoint = members[(start + step) % len(members)]
            if _is_usable(endpoint, inputs):
                self.next_positions[domain] = start + step + 1
                return endpoint
        return None


CHOICES: dict[str, type[EndpointChoice]] = {
    "affinity": BoundedLoadAffinity,
    "least_in_flight": LeastInFlight,
    "random": RandomEndpoint,
    "round_robin": RoundRobin,
}

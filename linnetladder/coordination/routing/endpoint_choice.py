"""Which endpoint of a pool gets the next attempt.

Strategies stand behind `EndpointChoice`. All of them send only to endpoints that
accept work and have room, and look in the daemon's own failure domain first.
"""

import abc
import dataclasses
import itertools
import random
from collections.abc import Iterable

import xxhash

from linnetladder.state import Endpoint, Pool

__all__ = [
    "AffinityBoundedByLoad",
    "CHOICES",
    "ChoiceInputs",
    "EndpointChoice",
    "LeastInFlight",
    "RandomEndpoint",
    "RoundRobin",
]

AFFINITY_CANDIDATES = 4
AFFINITY_LOAD_FACTOR = 1.25
AFFINITY_LOAD_SLACK = 0.15
LOAD_SAMPLE_SIZE = 4


@dataclasses.dataclass(slots=True, kw_only=True)
class ChoiceInputs:
    """What a strategy may look at beside the pool; ``now`` is monotonic seconds."""

    own_domain: str
    prefix: bytes
    tried: frozenset[str]
    now: float


class EndpointChoice(abc.ABC):
    """Choose an endpoint that has room, or none."""

    def __init__(self, *, seed: int):
        self.random = random.Random(seed)

    def choose(self, pool: Pool, inputs: ChoiceInputs) -> Endpoint | None:
        """Return an endpoint with room, from one's own failure domain if possible."""
        for domain in pool.domains_from(inputs.own_domain):
            chosen = self.choose_in_domain(pool, domain, inputs)
            if chosen is not None:
                return chosen
        return None

    @abc.abstractmethod
    def choose_in_domain(
        self, pool: Pool, domain: str, inputs: ChoiceInputs
    ) -> Endpoint | None:
        """Return an endpoint with room in one failure domain, or ``None``."""

    def sample_two(
        self, members: tuple[Endpoint, ...], inputs: ChoiceInputs
    ) -> Endpoint | None:
        """Return the less loaded of two random endpoints that have room."""
        count = len(members)
        if count > 2:
            pair = self.random.sample(members, 2)
            least_loaded = _least_loaded(pair, inputs)
            if least_loaded is not None:
                return least_loaded
        return _least_loaded(members, inputs)


def _is_usable(endpoint: Endpoint, inputs: ChoiceInputs) -> bool:
    return endpoint.name not in inputs.tried and endpoint.has_room(inputs.now)


def _least_loaded(members: Iterable[Endpoint], inputs: ChoiceInputs) -> Endpoint | None:
    usable = [endpoint for endpoint in members if _is_usable(endpoint, inputs)]
    return min(usable, key=lambda endpoint: endpoint.load, default=None)


class BoundedLoadAffinity(EndpointChoice):
    """The endpoint that holds the prompt's prefix, unless its load is far above others.

    The prefix's place on the ring names a few candidates. The first whose load is
    within a factor of a sampled average is taken, else the less loaded of two.
    """

    def choose_in_domain(
        self, pool: Pool, domain: str, inputs: ChoiceInputs
    ) -> Endpoint | None:
        """Return the endpoint for a prefix within the bound on load."""
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
    """The endpoint of least load among all."""

    def choose_in_domain(
        self, pool: Pool, domain: str, inputs: ChoiceInputs
    ) -> Endpoint | None:
        """Return the least loaded endpoint of the domain."""
        return _least_loaded(pool.by_domain[domain], inputs)


class RandomEndpoint(EndpointChoice):
    """Any endpoint with room, evenly."""

    def choose_in_domain(
        self, pool: Pool, domain: str, inputs: ChoiceInputs
    ) -> Endpoint | None:
        """Return a random endpoint of the domain."""
        usable = [e for e in pool.by_domain[domain] if _is_usable(e, inputs)]
        return self.random.choice(usable) if usable else None


class RoundRobin(EndpointChoice):
    """Each endpoint in its turn."""

    def __init__(self, *, seed: int):
        super().__init__(seed=seed)
        self.next_positions: dict[str, int] = {}

    def choose_in_domain(
        self, pool: Pool, domain: str, inputs: ChoiceInputs
    ) -> Endpoint | None:
        """Return the next endpoint of the domain that has room."""
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

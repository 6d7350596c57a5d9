"""The endpoints that can serve one version or one plain service.

A `Pool` groups its endpoints by failure domain, each domain with a consistent-hash
ring, so that a lookup by prompt prefix takes logarithmic time in the number of
endpoints, and few prefixes move when an endpoint is added or removed.
"""

import bisect
from collections.abc import Iterable, Iterator

import xxhash

from linnetladder.state.endpoints import Endpoint

__all__ = ["HashRing", "Pool"]

POINTS_PER_ENDPOINT = 32


class HashRing:
    """A consistent-hash ring over endpoints."""

    def __init__(self, *, endpoints: Iterable[Endpoint]):
        points = [
            (xxhash.xxh64_intdigest(f"{endpoint.name}#{index}".encode()), endpoint)
            for endpoint in endpoints
            for index in range(POINTS_PER_ENDPOINT)
        ]
        points.sort(key=lambda point: point[0])
        self.hashes = [point for point, _ in points]
        self.owners = [endpoint for _, endpoint in points]

    def successors(self, point: int) -> Iterator[Endpoint]:
        """Yield endpoints clockwise from a point; an endpoint may be repeated."""
        start = bisect.bisect(self.hashes, point)
        count = len(self.owners)
        for step in range(count):
            yield self.owners[(start + step) % count]


class Pool:
    """The endpoints that serve one target, grouped by failure domain."""

    def __init__(self, *, endpoints: Iterable[Endpoint]):
        self.endpoints = tuple(endpoints)
        domains: dict[str, list[Endpoint]] = {}
        for endpoint in self.endpoints:
            domains.setdefault(endpoint.failure_domain, []).append(endpoint)
        self.by_domain = {name: tuple(members) for name, members in domains.items()}
        self.rings: dict[str, HashRing] = {}

    def ring(self, domain: str) -> HashRing:
        """Return the ring of one failure domain, built on first use."""
        cached = self.rings.get(domain)
        if cached is None:
            cached = HashRing(endpoints=self.by_domain.get(domain, ()))
            self.rings[domain] = cached
        return cached

    def domains_local_first(self, local_domain: str) -> list[str]:
        """Return the failure domains, the local one first and the others by name."""
        return sorted(self.by_domain, key=lambda name: (name != local_domain, name))

    def capacity(self) -> int:
        """Return the total capacity of endpoints that are listed and not leaving."""
        return sum(e.capacity for e in self.endpoints if e.listed and not e.leaving)

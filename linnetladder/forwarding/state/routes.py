"""Routes, services, client accounts and limits of an operator's configuration.

A `RoutingTable` is immutable and numbered by ``version``, which its operator raises
with each change, and ``revision``, which the store gave it. Times are in seconds.
"""

import bisect
import dataclasses
import enum
import hashlib
from collections.abc import Iterable

import xxhash

__all__ = [
    "CallerLimits",
    "ClientAccount",
    "EngineSpec",
    "ModelSize",
    "RequestKind",
    "Route",
    "RoutingTable",
    "ServiceShare",
    "ServiceSpec",
    "credential_digest",
]

HASH_RANGE = 1 << 64


class RequestKind(enum.StrEnum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its weight among those that a route is split over."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServedModel:
    """A model that a service runs; ``cost`` is per 1,000 generated tokens."""

    name: str
    cost: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineSpec:
    """What a service's model engines offer.

    ``slots`` is the number of requests in one batch; ``cache_tokens`` is the memory
    that running requests and cached prompts share, in tokens.
    """

    slots: int
    cache_tokens: int
    models: tuple[ServedModel, ...]

    def cost(self, model: str) -> float:
        """Return a model's cost, 0 if it is not declared."""
        return next((size.cost for size in self.models if size.name == model), 0.0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSpec:
    """A service; ``engine`` is ``None`` where no model engine runs it."""

    name: str
    health_path: str
    maximum_connections: int
    engine: EngineSpec | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where the requests of one host and path prefix go, and on which terms.

    ``models`` are ordered from the smallest; ``objective_seconds`` is the time to the
    first byte that earns the full value; ``gap_objective_seconds`` the longest pause
    between events of a stream. ``maximum_attempts`` counts endpoints per request.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_seconds: float
    objective_seconds: float
    priority: int
    shares: tuple[ServiceShare, ...]
    maximum_attempts: int
    public: bool = False
    resumable: bool = False
    models: tuple[str, ...] = ()
    gap_objective_seconds: float = 0.0

    @property
    def retryable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT

    def choose_service(self, key: str) -> str:
        """Return the service for a request, the same one for the same key."""
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        text = f"{self.name}\0{key}".encode()
        remaining_weight = xxhash.xxh64_intdigest(text) / HASH_RANGE * total
        for share in self.shares:
            remaining_weight -= share.weight
            if remaining_weight < 0:
                return share.service
        return self.shares[-1].service


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientAccount:
    """A client account with the SHA-256 digests of its credentials."""

    name: str
    credentials: tuple[str, ...]
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


def credential_digest(credential: str) -> str:
    """Return the digest under which a credential is looked up."""
    return hashlib.sha256(credential.encode()).hexdigest()


class RoutingTable:
    """One version of an operator's configuration, with its lookups."""

    def __init__(
        self,
        *,
        version: int,
        revision: int,
        routes: Iterable[Route],
        services: Iterable[ServiceSpec],
        accounts: Iterable[ClientAccount],
        limits: CallerLimits,
    ):
        self.version = version
        self.revision = revision
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.accounts = {account.name: account for account in accounts}
        self.limits = limits
        self.accounts_by_credential = {
            digest: account
            for account in self.accounts.values()
            for digest in account.credentials
        }
        self.routes_by_host: dict[str, dict[str, Route]] = {}
        self.prefix_lengths: dict[str, list[int]] = {}
        for route in self.routes:
            self.routes_by_host.setdefault(route.host, {})[route.prefix] = route
        for host, routes_of_host in self.routes_by_host.items():
            self.prefix_lengths[host] = sorted(
                {len(prefix) for prefix in routes_of_host}
            )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path at a host."""
        routes = self.routes_by_host.get(host)
        if routes is None:
            return None
        prefix_lengths = self.prefix_lengths[host]
        for index in range(bisect.bisect_right(prefix_lengths, len(path)) - 1, -1, -1):
            route = routes.get(path[: prefix_lengths[index]])
            if route is not None:
                return route
        return None

    def find_account(self, digest: str) -> ClientAccount | None:
        """Return the client account that holds a credential."""
        return self.accounts_by_credential.get(digest)

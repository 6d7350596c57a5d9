"""Routes, services, client accounts and limits of an operator's configuration.

A `RoutingTable` is immutable. Its operator increments ``version`` with each change; the
store assigns ``revision``. Times are in seconds.
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
    "RequestKind",
    "Route",
    "RoutingTable",
    "ServiceShare",
    "ServiceSpec",
    "UnreadableParts",
    "UnreadableRoute",
    "credential_digest",
]

HASH_RANGE = 1 << 64  # Number of values of a 64-bit hash.


class RequestKind(enum.StrEnum):
    """How requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its weight among the services of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineSpec:
    """The capacity of a service's engines.

    ``slots`` is the number of requests in one batch. ``cache_tokens`` is the size of
    the KV cache, in tokens, that running requests and cached prompts share.
    """

    slots: int
    cache_tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSpec:
    """A service; ``engine`` is ``None`` if it does not run model engines.

    Its endpoints are cold for ``cold_seconds`` after their start, 0 for services whose
    endpoints never are. A cold one tolerates ``cold_per_second`` requests a second from
    all daemons together, 0 if any number.
    """

    name: str
    health_path: str
    maximum_connections: int
    engine: EngineSpec | None = None
    cold_seconds: float = 0.0
    cold_per_second: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """The services, limits and objectives for one host and path prefix.

    ``models`` are ordered from the smallest. ``objective_seconds`` is the longest time
    to the first byte at which a response still has its full value, and
    ``gap_objective_seconds`` the longest pause between the events of a stream.
    ``maximum_attempts`` is the number of endpoints that may run one request.
    ``allowed_regions`` are the regions that requests may be sent to, empty for any.
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
    allowed_regions: frozenset[str] = frozenset()

    @property
    def retryable(self) -> bool:
        """Whether a request may run more than once.

        A stream may if it can be resumed, other requests if they are idempotent.
        """
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT

    def choose_service(self, key: str) -> str:
        """Return the service for a key, drawn by weight from the key's hash."""
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
    """A client account; ``credentials`` are SHA-256 digests in hexadecimal.

    ``allowed_regions`` are the regions that its requests may be sent to, empty for any.
    """

    name: str
    credentials: tuple[str, ...]
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Size limits of requests and timeouts of callers' connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UnreadableRoute:
    """A route of which only the host and the path prefix could be read.

    ``problem`` names the fields that could not, and why.
    """

    host: str
    prefix: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UnreadableParts:
    """What could not be read of a configuration; ``problems`` name where and why.

    With ``hides_routes`` there may be routes, and with ``hides_accounts`` credentials
    of client accounts, that are not in the routing table.
    """

    routes: tuple[UnreadableRoute, ...] = ()
    hides_routes: bool = False
    hides_accounts: bool = False
    problems: tuple[str, ...] = ()


def credential_digest(credential: str) -> str:
    """Return the SHA-256 digest by which `RoutingTable` looks a credential up."""
    return hashlib.sha256(credential.encode()).hexdigest()


class RoutingTable:
    """One version of an operator's configuration, indexed for lookups.

    ``accounts`` is ``None`` in a configuration that does without client accounts, whose
    routes need no credential. With an empty one no credential is valid. Requests that
    match one of the ``unreadable`` routes match no other route instead.
    """

    def __init__(
        self,
        *,
        version: int,
        revision: int,
        routes: Iterable[Route],
        services: Iterable[ServiceSpec],
        accounts: Iterable[ClientAccount] | None,
        limits: CallerLimits,
        unreadable: UnreadableParts = UnreadableParts(),
    ):
        self.version = version
        self.revision = revision
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.has_accounts = accounts is not None
        listed_accounts = tuple(accounts or ())
        self.accounts = {account.name: account for account in listed_accounts}
        self.limits = limits
        self.unreadable = unreadable
        self.accounts_by_credential = {
            digest: account
            for account in listed_accounts
            for digest in account.credentials
        }
        self.routes_by_host: dict[str, dict[str, Route | UnreadableRoute]] = {}
        self.prefix_lengths: dict[str, list[int]] = {}
        for route in (*self.routes, *unreadable.routes):
            self.routes_by_host.setdefault(route.host, {})[route.prefix] = route
        for host, routes_of_host in self.routes_by_host.items():
            self.prefix_lengths[host] = sorted(
                {len(prefix) for prefix in routes_of_host}
            )

    def find_route(self, host: str, path: str) -> Route | UnreadableRoute | None:
        """Return the route of a host with the longest prefix that matches a path."""
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
        """Return the client account with a credential of this digest."""
        return self.accounts_by_credential.get(digest)

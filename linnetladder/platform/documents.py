"""Models of the documents in the platform's store, decoded into the product's types.

Fields are named as in the platform's documentation. ``GoalMs`` is the objective for the
time to the first byte, ``Sizes`` lists models from the smallest, ``Priority`` 0 is the
most urgent, a ``Public`` route needs no credential, and ``Split`` distributes a route
over several services. ``AllowedRegions`` limits a route's or a tenant's requests to
regions; missing or empty, any region is allowed. A configuration without ``Tenants``
needs no credentials; with an empty list none is valid.

`linnetladder.platform.configuration` reads a configuration by these models.
"""

import ipaddress
from typing import Annotated, ClassVar, Literal, Self

import pydantic

from linnetladder.forwarding.state import (
    CallerLimits,
    ClientAccount,
    EngineSpec,
    RequestKind,
    RolloutOrder,
    Route,
    RoutingTable,
    ServiceShare,
    ServiceSpec,
    UnreadableParts,
    credential_digest,
)
from linnetladder.platform.fields import (
    MAXIMUM_AMOUNT,
    MAXIMUM_PORT,
    MAXIMUM_SECONDS,
    MILLISECONDS_PER_SECOND,
    Amount,
    FieldsModel,
    Milliseconds,
    Seconds,
)
from linnetladder.state import EndpointReport, VersionRef

__all__ = [
    "ConfigurationModel",
    "RolloutModel",
    "ServerModel",
    "StatusModel",
]

# Bounds of what a worker may say of itself. They are far beyond any real value, and
# keep what is computed from it finite.
MAXIMUM_SLOTS = 1_000_000
MAXIMUM_UNIX_MS = 253_402_300_799_999
MAXIMUM_VERSION = 2**63 - 1

NonEmptyText = Annotated[str, pydantic.Field(min_length=1)]
# Names of accounts and paths of probes are sent in the heads of requests.
HeaderText = Annotated[str, pydantic.Field(pattern=r"^[^\x00-\x1f\x7f]+$")]
ProbePath = Annotated[str, pydantic.Field(pattern=r"^(/[!-~]*)?$")]
Count = Annotated[int, pydantic.Field(ge=0, le=MAXIMUM_AMOUNT)]
PositiveCount = Annotated[int, pydantic.Field(gt=0, le=MAXIMUM_AMOUNT)]
# Zero means that no time is named.
OptionalSeconds = Annotated[float, pydantic.Field(ge=0, le=MAXIMUM_SECONDS)]
OptionalMilliseconds = Annotated[
    float, pydantic.Field(ge=0, le=MAXIMUM_SECONDS * MILLISECONDS_PER_SECOND)
]
# Versions are passed between daemons as 64-bit numbers.
Version = Annotated[int, pydantic.Field(ge=0, le=MAXIMUM_VERSION)]


class SplitModel(pydantic.BaseModel):
    """The share of one service in a route."""

    Service: NonEmptyText
    Weight: Amount = 1.0


class RouteModel(FieldsModel):
    """A route of the configuration.

    Unreadable fields have defaults that allow no more than any value: one attempt, no
    public use. Which endpoints may get a request is never guessed.
    """

    decisive_fields: ClassVar[frozenset[str]] = frozenset(
        ("Sizes", "Service", "Split", "AllowedRegions")
    )

    Name: NonEmptyText
    Host: NonEmptyText
    PathPrefix: NonEmptyText
    Kind: Literal["idempotent", "non_idempotent", "streaming"]
    TimeoutMs: Milliseconds = 30_000
    GoalMs: OptionalMilliseconds = 0
    Priority: Count = 0
    Sizes: list[NonEmptyText] = []
    Service: str = ""
    Split: list[SplitModel] = []
    Attempts: Count = 1
    Public: bool = False
    CanResume: bool = False
    GapTargetMs: OptionalMilliseconds = 0
    AllowedRegions: list[NonEmptyText] | None = None

    @pydantic.model_validator(mode="after")
    def check_services(self) -> Self:
        """Raise `ValueError` if no service may get requests of the route."""
        if not self.Service and not self.Split:
            raise ValueError("the route names no service")
        if self.Split and not any(part.Weight for part in self.Split):
            raise ValueError("all services of the route have the weight 0")
        return self

    def decode(self) -> Route:
        """Return the route."""
        shares = [
            ServiceShare(part.Service, part.Weight)
            for part in self.Split
            if part.Weight
        ]
        if not shares:
            shares = [ServiceShare(self.Service, 1.0)]
        timeout = self.TimeoutMs / MILLISECONDS_PER_SECOND
        return Route(
            name=self.Name,
            host=self.Host.lower(),
            prefix=self.PathPrefix,
            kind=RequestKind(self.Kind),
            timeout_seconds=timeout,
            objective_seconds=self.GoalMs / MILLISECONDS_PER_SECOND or timeout,
            priority=self.Priority,
            shares=tuple(shares),
            maximum_attempts=max(self.Attempts, 1),
            public=self.Public,
            resumable=self.CanResume,
            models=tuple(self.Sizes),
            gap_objective_seconds=self.GapTargetMs / MILLISECONDS_PER_SECOND,
            allowed_regions=frozenset(self.AllowedRegions or ()),
        )


class EngineModel(FieldsModel):
    """The capacity of a service's engines."""

    Slots: Count = 1
    KvCapacity: Count = 0

    def decode(self) -> EngineSpec:
        """Return the specification of the engines."""
        return EngineSpec(
            slots=self.Slots,
            cache_tokens=self.KvCapacity,
        )


class ServiceModel(FieldsModel):
    """A service of the configuration."""

    Name: NonEmptyText
    HealthPath: ProbePath = ""
    MaxConns: Count = 0
    ColdS: OptionalSeconds = 0
    ColdPerS: Amount = 0
    Engine: EngineModel | None = None

    def decode(self) -> ServiceSpec:
        """Return the service."""
        return ServiceSpec(
            name=self.Name,
            health_path=self.HealthPath,
            maximum_connections=self.MaxConns,
            engine=self.Engine.decode() if self.Engine is not None else None,
            cold_seconds=self.ColdS,
            cold_per_second=self.ColdPerS,
        )


class TenantModel(FieldsModel):
    """A client account of the configuration."""

    decisive_fields: ClassVar[frozenset[str]] = frozenset(("ApiKeys", "AllowedRegions"))

    Name: HeaderText
    ApiKeys: list[NonEmptyText] = []
    Priority: Count | None = None
    AllowedRegions: list[NonEmptyText] | None = None

    def decode(self) -> ClientAccount:
        """Return the client account, with digests instead of its keys."""
        return ClientAccount(
            name=self.Name,
            credentials=tuple(credential_digest(key) for key in self.ApiKeys),
            priority=self.Priority,
            allowed_regions=frozenset(self.AllowedRegions or ()),
        )


class LimitsModel(FieldsModel):
    """Limits on callers' requests and connections."""

    MaxHeaderBytes: PositiveCount = 16_384
    MaxBodyBytes: PositiveCount = 4_194_304
    HeaderTimeoutMs: Milliseconds = 3000
    IdleTimeoutMs: Milliseconds = 15_000

    def decode(self) -> CallerLimits:
        """Return the limits."""
        return CallerLimits(
            header_bytes=self.MaxHeaderBytes,
            body_bytes=self.MaxBodyBytes,
            header_seconds=self.HeaderTimeoutMs / MILLISECONDS_PER_SECOND,
            idle_seconds=self.IdleTimeoutMs / MILLISECONDS_PER_SECOND,
        )


class ConfigurationModel(pydantic.BaseModel):
    """The operator's whole configuration."""

    Version: Version
    Routes: list[RouteModel] = []
    Services: list[ServiceModel] = []
    Tenants: list[TenantModel] = []
    Limits: LimitsModel = LimitsModel()

    def decode(
        self, *, revision: int, unreadable: UnreadableParts = UnreadableParts()
    ) -> RoutingTable:
        """Return the routing table with the revision of the store's key."""
        return RoutingTable(
            version=self.Version,
            revision=revision,
            routes=[route.decode() for route in self.Routes],
            services=[service.decode() for service in self.Services],
            accounts=self._decode_accounts(),
            limits=self.Limits.decode(),
            unreadable=unreadable,
        )

    def _decode_accounts(self) -> list[ClientAccount] | None:
        """Return the client accounts, ``None`` only if the field is missing."""
        if "Tenants" not in self.model_fields_set:
            return None
        return [tenant.decode() for tenant in self.Tenants]


class RolloutModel(pydantic.BaseModel):
    """The operator's order to move a service to a version."""

    Service: NonEmptyText
    Target: NonEmptyText
    DurationS: Seconds

    def decode(self, *, revision: int) -> RolloutOrder:
        """Return the order."""
        return RolloutOrder(
            service=self.Service,
            target=self.Target,
            duration_seconds=self.DurationS,
            revision=revision,
        )


class StatusModel(pydantic.BaseModel):
    """The status of a roll-out that is written for the operator."""

    State: Literal["in_progress", "complete", "rolled_back"]
    Target: str


class ServerModel(pydantic.BaseModel):
    """A worker's registration.

    ``born`` is its start in Unix milliseconds, and ``ColdMs`` is how much longer it was
    cold when it wrote the entry.
    """

    model_config = pydantic.ConfigDict(strict=True)

    Service: str = pydantic.Field(min_length=1)
    Address: str = pydantic.Field(pattern=r"^[0-9]+(\.[0-9]+){3}:[0-9]{1,5}$")
    Zone: str
    Version: str
    Slots: int = pydantic.Field(ge=1, le=MAXIMUM_SLOTS)
    State: Literal["ready", "draining"]
    ColdMs: float | None = pydantic.Field(
        None, ge=0, le=MAXIMUM_SECONDS * MILLISECONDS_PER_SECOND
    )
    Seq: int
    Phase: str | None = None
    Models: list[dict] | None = None
    born: int | None = pydantic.Field(None, ge=0, le=MAXIMUM_UNIX_MS)

    @pydantic.field_validator("Address")
    @classmethod
    def check_address(cls, address: str) -> str:
        """Return an address that can be connected to; raise `ValueError` for others."""
        host, _, port = address.rpartition(":")
        ipaddress.IPv4Address(host)
        if not 0 < int(port) <= MAXIMUM_PORT:
            raise ValueError(f"the port {port} is out of range")
        return address

    def decode(self, *, name: str, revision: int) -> EndpointReport:
        """Return the state of the endpoint that registered under a name.

        ``revision`` is the revision of its entry.
        """
        return EndpointReport(
            name=name,
            incarnation=str(self.born or ""),
            address=self.Address,
            failure_domain=self.Zone,
            service=self.Service,
            versions=frozenset((VersionRef(self.Service, self.Version),)),
            capacity=self.Slots,
            leaving=self.State == "draining",
            revision=revision,
            cold_seconds=_seconds(self.ColdMs),
            started_at=_seconds(self.born),
        )


def _seconds(milliseconds: float | None) -> float | None:
    return None if milliseconds is None else milliseconds / MILLISECONDS_PER_SECOND

"""Models of the documents in the platform's store, decoded into the product's types.

Fields are named as in the platform's documentation. ``GoalMs`` is the objective for the
time to the first byte, ``Sizes`` lists models from the smallest, ``Priority`` 0 is the
most urgent, a ``Public`` route needs no credential, and ``Split`` distributes a route
over several services. ``AllowedRegions`` limits a route's or a tenant's requests to
regions; missing or empty, any region is allowed.
"""

import ipaddress
from typing import Literal

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
    credential_digest,
)
from linnetladder.state import EndpointReport, VersionRef

__all__ = [
    "MAXIMUM_PORT",
    "ConfigurationModel",
    "RolloutModel",
    "ServerModel",
    "StatusModel",
]

MILLISECONDS_PER_SECOND = 1000.0
# Bounds of what a worker may say of itself. They are far beyond any real value, and
# keep what is computed from it finite.
MAXIMUM_SLOTS = 1_000_000
MAXIMUM_COLD_MS = 86_400_000.0
MAXIMUM_UNIX_MS = 253_402_300_799_999
MAXIMUM_PORT = 65_535


class SplitModel(pydantic.BaseModel):
    """The share of one service in a route."""

    Service: str
    Weight: float = 1.0


class RouteModel(pydantic.BaseModel):
    """A route of the configuration."""

    Name: str
    Host: str
    PathPrefix: str
    Kind: Literal["idempotent", "non_idempotent", "streaming"]
    TimeoutMs: float
    GoalMs: float = 0
    Priority: int = 0
    Sizes: list[str] = []
    Service: str = ""
    Split: list[SplitModel] = []
    Attempts: int = 1
    Public: bool = False
    CanResume: bool = False
    GapTargetMs: float = 0
    AllowedRegions: list[str] | None = None

    def decode(self) -> Route:
        """Return the route."""
        shares = [ServiceShare(part.Service, part.Weight) for part in self.Split]
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


class EngineModel(pydantic.BaseModel):
    """The capacity of a service's engines."""

    Slots: int = 1
    KvCapacity: int = 0

    def decode(self) -> EngineSpec:
        """Return the specification of the engines."""
        return EngineSpec(
            slots=self.Slots,
            cache_tokens=self.KvCapacity,
        )


class ServiceModel(pydantic.BaseModel):
    """A service of the configuration."""

    Name: str
    HealthPath: str = ""
    MaxConns: int = 0
    ColdS: float = pydantic.Field(0, ge=0)
    ColdPerS: float = pydantic.Field(0, ge=0)
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


class TenantModel(pydantic.BaseModel):
    """A client account of the configuration."""

    Name: str
    ApiKeys: list[str] = []
    Priority: int | None = None
    AllowedRegions: list[str] | None = None

    def decode(self) -> ClientAccount:
        """Return the client account, with digests instead of its keys."""
        return ClientAccount(
            name=self.Name,
            credentials=tuple(credential_digest(key) for key in self.ApiKeys),
            priority=self.Priority,
            allowed_regions=frozenset(self.AllowedRegions or ()),
        )


class LimitsModel(pydantic.BaseModel):
    """Limits on callers' requests and connections."""

    MaxHeaderBytes: int = 16_384
    MaxBodyBytes: int = 4_194_304
    HeaderTimeoutMs: float = 3000
    IdleTimeoutMs: float = 15_000

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

    Version: int
    Routes: list[RouteModel] = []
    Services: list[ServiceModel] = []
    Tenants: list[TenantModel] = []
    Limits: LimitsModel = LimitsModel()

    def decode(self, *, revision: int) -> RoutingTable:
        """Return the routing table with the revision of the store's key."""
        return RoutingTable(
            version=self.Version,
            revision=revision,
            routes=[route.decode() for route in self.Routes],
            services=[service.decode() for service in self.Services],
            accounts=self._decode_accounts(),
            limits=self.Limits.decode(),
        )

    def _decode_accounts(self) -> list[ClientAccount] | None:
        """Return the client accounts, ``None`` only if the field is missing."""
        if "Tenants" not in self.model_fields_set:
            return None
        return [tenant.decode() for tenant in self.Tenants]


class RolloutModel(pydantic.BaseModel):
    """The operator's order to move a service to a version."""

    Service: str
    Target: str
    DurationS: float = pydantic.Field(gt=0)

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
    ColdMs: float | None = pydantic.Field(None, ge=0, le=MAXIMUM_COLD_MS)
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

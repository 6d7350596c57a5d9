"""The settings of one process, validated, with their defaults in one place.

Each field is a flag of the daemon and an environment variable of the same name with
the prefix ``LINNETLADDER_``. A flag takes precedence over the variable, and the
variable over the default.
"""

import ipaddress
from typing import Annotated, Literal

import pydantic

__all__ = ["ENVIRONMENT_PREFIX", "Settings"]

ENVIRONMENT_PREFIX = "LINNETLADDER_"

Seconds = Annotated[float, pydantic.Field(gt=0, le=86_400)]
Port = Annotated[int, pydantic.Field(ge=0, le=65_535)]
Share = Annotated[float, pydantic.Field(ge=0, le=1)]


class Settings(pydantic.BaseModel):
    """The settings of a daemon, read from its flags and environment."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    instance: str = pydantic.Field(
        "", pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$", description="Name of this instance."
    )
    failure_domain: str = pydantic.Field(
        "", min_length=1, description="Failure domain this instance runs in."
    )
    failure_domains: tuple[str, ...] = pydantic.Field(
        (), min_length=1, description="All failure domains, separated by commas."
    )
    address: str = pydantic.Field(
        "127.0.0.1", description="IP number to listen on and to be reached at."
    )
    caller_port: Port = pydantic.Field(8080, description="Port for callers.")
    operations_port: Port = pydantic.Field(
        8081, description="Port for health, metrics and status."
    )
    peer_port: Port = pydantic.Field(8082, description="Port for other daemons.")
    platform_urls: tuple[str, ...] = pydantic.Field(
        (),
        min_length=1,
        description="URLs of the platform's key-value service, separated by commas.",
    )
    instance_list_url: str = pydantic.Field(
        "", description="URL of the platform's instance list."
    )
    ratings_url: str = pydantic.Field(
        "", description="URL of the rating service; empty to route without ratings."
    )
    pull_bad_versions: bool = pydantic.Field(
        True, description="Whether a version under roll-out that turns bad is pulled."
    )
    seed_peers: tuple[str, ...] = pydantic.Field(
        (),
        description="Peers as instance@IP:port, for when the platform is down.",
    )
    tls_certificate: str = pydantic.Field(
        "", description="File with the certificate for peer connections, PEM."
    )
    tls_key: str = pydantic.Field(
        "", description="File with the key of the certificate, PEM."
    )
    tls_authority: str = pydantic.Field(
        "", description="File with the authority that signs peer certificates, PEM."
    )
    endpoint_choice: Literal["affinity", "least_in_flight", "random", "round_robin"] = (
        pydantic.Field("affinity", description="How an endpoint is chosen.")
    )
    configuration_poll_seconds: Seconds = pydantic.Field(
        2.0, description="Interval at which the configuration is confirmed."
    )
    list_poll_seconds: Seconds = pydantic.Field(
        1.0, description="Interval at which the instance list is read."
    )
    load_poll_seconds: Seconds = pydantic.Field(
        0.5, description="Interval at which endpoints are asked for their load."
    )
    platform_timeout_seconds: Seconds = pydantic.Field(
        1.0, description="Time limit of one call to the platform."
    )
    connect_timeout_seconds: Seconds = pydantic.Field(
        0.5, description="Time limit of connecting to an endpoint."
    )
    silence_seconds: Seconds = pydantic.Field(
        1.0, description="Time without a byte after which a connection is checked."
    )
    header_bytes: int = pydantic.Field(
        16_384, ge=1024, le=1_048_576, description="Size limit of a caller's headers."
    )
    body_bytes: int = pydantic.Field(
        4_194_304, ge=1024, le=67_108_864, description="Size limit of a caller's body."
    )
    body_seconds: Seconds = pydantic.Field(
        10.0, description="Time limit for receiving a caller's body."
    )
    address_requests_per_second: float = pydantic.Field(
        2000.0, gt=0, description="Rate limit of one caller address."
    )
    maximum_queue: int = pydantic.Field(
        1024, ge=0, le=100_000, description="Requests that may wait for one version."
    )
    retry_share: Share = pydantic.Field(
        0.1, description="Share of recent requests that may be retried."
    )
    bill_copy_after_seconds: Seconds = pydantic.Field(
        0.05, description="Time after which a slow block is copied to peers."
    )
    maximum_unrecorded_bills: int = pydantic.Field(
        50_000, ge=1, description="Bills that may wait for the platform."
    )
    drain_notice_seconds: float = pydantic.Field(
        2.0, ge=0, le=600, description="Time between not ready and no new requests."
    )
    drain_seconds: Seconds = pydantic.Field(
        120.0, description="Time limit for requests in flight at shutdown."
    )
    trace_exporter: Literal["none", "console", "otlp"] = pydantic.Field(
        "none", description="Where traces go."
    )
    trace_endpoint: str = pydantic.Field(
        "http://127.0.0.1:4318/v1/traces", description="URL of the OTLP collector."
    )
    trace_share: Share = pydantic.Field(
        0.01, description="Share of answered requests whose traces are kept."
    )
    log_level: Literal["debug", "info", "warning", "error"] = pydantic.Field(
        "info", description="Lowest level of log lines."
    )

    @pydantic.field_validator(
        "failure_domains", "platform_urls", "seed_peers", mode="before"
    )
    @classmethod
    def split_list(cls, value: object) -> object:
        """Split a comma-separated text."""
        if isinstance(value, str):
            return tuple(part.strip() for part in value.split(",") if part.strip())
        return value

    @pydantic.field_validator("address")
    @classmethod
    def require_ip_address(cls, value: str) -> str:
        """Accept IP addresses only, since other processes connect to the address."""
        ipaddress.ip_address(value)
        return value

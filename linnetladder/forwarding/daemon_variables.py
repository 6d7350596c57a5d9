"""Settings of a daemon that operators set in environment variables.

The variable of a field is its model's prefix followed by the field's name in upper
case. An empty variable means the same as a missing one: a deploy file fills variables
from fields that may have no value.
"""

import os
from collections.abc import Mapping

import pydantic

__all__ = [
    "CallerSettings",
    "OperationsSettings",
    "PeerSettings",
    "PolicySettings",
    "VariableError",
    "read_caller_settings",
    "read_operations_settings",
    "read_peer_settings",
    "read_policy_settings",
]

POLICY_PREFIX = "LINNETLADDER_POLICY_"
OPERATIONS_PREFIX = "LINNETLADDER_OPERATIONS_"
PEERS_PREFIX = "LINNETLADDER_PEERS_"
CALLERS_PREFIX = "LINNETLADDER_CALLERS_"


class VariableError(Exception):
    """An environment variable has an invalid value."""


class OperationsSettings(pydantic.BaseModel):
    """Settings of the interfaces for operators."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    metrics_port: int = pydantic.Field(
        0,
        ge=0,
        le=65535,
        description=(
            "Port that serves /metrics besides the one for readiness, and "
            "/explain-route; 0: none."
        ),
    )


class PeerSettings(pydantic.BaseModel):
    """Settings of the messages between daemons."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    report_bytes_per_second: int = pydantic.Field(
        16_000,
        ge=4_000,
        description="Bytes a second that a daemon sends in reports, to all peers.",
    )


class CallerSettings(pydantic.BaseModel):
    """Settings of what callers and peers may take of the daemon's resources."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    caller_buffer_bytes: int = pydantic.Field(
        1024 * 1024,
        ge=64 * 1024,
        description="Bytes held for one caller, beyond which a stalled one is ended.",
    )
    daemon_buffer_bytes: int = pydantic.Field(
        48 * 1024 * 1024,
        ge=64 * 1024,
        description="Bytes held for all callers, beyond which stalled ones are ended.",
    )
    memory_share: float = pydantic.Field(
        0.25,
        ge=0.05,
        le=0.5,
        description=(
            "Share of the instance's memory for requests and answers that are held."
        ),
    )
    connection_share: float = pydantic.Field(
        0.4,
        ge=0.1,
        le=0.45,
        description="Share of the instance's sockets for callers' connections.",
    )


class PolicySettings(pydantic.BaseModel):
    """Settings of the choice of models."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    confidence: float = pydantic.Field(
        50.0,
        ge=0,
        le=100,
        description="Confidence from which an answer of a smaller model is kept.",
    )
    first_size: int = pydantic.Field(
        0, ge=0, description="Position of the model that answers first."
    )


def read_policy_settings(environment: Mapping[str, str] = os.environ) -> PolicySettings:
    """Return the policy settings; raise `VariableError` with the invalid variables."""
    return _read_variables(PolicySettings, POLICY_PREFIX, environment)


def read_operations_settings(
    environment: Mapping[str, str] = os.environ,
) -> OperationsSettings:
    """Return the operations settings.

    Raise `VariableError` with the names of the invalid variables.
    """
    return _read_variables(OperationsSettings, OPERATIONS_PREFIX, environment)


def read_caller_settings(
    environment: Mapping[str, str] = os.environ,
) -> CallerSettings:
    """Return the caller settings; raise `VariableError` with the invalid variables."""
    return _read_variables(CallerSettings, CALLERS_PREFIX, environment)


def read_peer_settings(environment: Mapping[str, str] = os.environ) -> PeerSettings:
    """Return the peer settings; raise `VariableError` with the invalid variables."""
    return _read_variables(PeerSettings, PEERS_PREFIX, environment)


def _read_variables(model, prefix: str, environment: Mapping[str, str]):
    values = {
        name: environment[prefix + name.upper()]
        for name in model.model_fields
        if environment.get(prefix + name.upper(), "").strip()
    }
    try:
        return model.model_validate(values)
    except pydantic.ValidationError as error:
        names = [prefix + str(part["loc"][0]).upper() for part in error.errors()]
        raise VariableError(f"{', '.join(names)}: {error}") from error

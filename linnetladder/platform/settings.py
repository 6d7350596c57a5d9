"""Reader of the platform's settings file, which consists of lines ``a.b=value``.

Lines of unknown names are ignored. The daemon can't run without its identity, its
addresses and the store's: a file in which one of them is missing, empty or unreadable
is refused. All figures have defaults.
"""

import ipaddress
import os
from pathlib import Path
from typing import Annotated

import pydantic

from linnetladder.forwarding.settings import Bounds, FleetSettings
from linnetladder.platform.fields import (
    MAXIMUM_AMOUNT,
    MAXIMUM_PORT,
    MILLISECONDS_PER_SECOND,
    Amount,
    FieldsModel,
    Milliseconds,
    Seconds,
    describe_errors,
    read_fields,
)

__all__ = ["SettingsError", "read_settings", "settings_path"]

PATH_VARIABLE = "LINNETLADDER_BOOT"


class SettingsError(Exception):
    """The settings file is not named, can't be read or is not valid."""


class BoundsModel(FieldsModel):
    """The platform's bounds; names end in ``Ms`` (milliseconds) or ``S`` (seconds)."""

    ContactMs: Milliseconds = 3000
    ConfigMs: Milliseconds = 2000
    DrainMs: Milliseconds = 2000
    GraceS: Seconds = 8
    StrictRevoke: bool = True
    RevokeMs: Milliseconds = 5000
    BudgetRatio: Amount = 0.9
    BudgetWindowS: Seconds = 10
    BudgetSlack: Amount = 50
    ExposureShare: Amount = 0.15
    ExposureSlack: Amount = 30
    RollbackMs: Milliseconds = 5000
    SessionS: Seconds = 5
    ReuseWindowS: Seconds = 10
    EvacuateMs: Milliseconds = 5000
    ColdOverage: Amount = 1.5
    ColdSlack: Amount = 5

    def decode(self) -> Bounds:
        """Return the bounds in seconds."""
        return Bounds(
            contact=self.ContactMs / MILLISECONDS_PER_SECOND,
            configuration=self.ConfigMs / MILLISECONDS_PER_SECOND,
            drain=self.DrainMs / MILLISECONDS_PER_SECOND,
            grace=self.GraceS,
            strict_revocation=self.StrictRevoke,
            revoke=self.RevokeMs / MILLISECONDS_PER_SECOND,
            retry_ratio=self.BudgetRatio,
            retry_window=self.BudgetWindowS,
            retry_slack=self.BudgetSlack,
            exposure_share=self.ExposureShare,
            exposure_slack=self.ExposureSlack,
            rollback=self.RollbackMs / MILLISECONDS_PER_SECOND,
            session=self.SessionS,
            cache_reuse=self.ReuseWindowS,
            evacuate=self.EvacuateMs / MILLISECONDS_PER_SECOND,
            cold_overage=self.ColdOverage,
            cold_slack=self.ColdSlack,
        )


def _check_socket_address(address: str) -> str:
    """Return an ``IP:port`` address; raise `ValueError` for anything else."""
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    _check_port(port)
    return address


def _check_port(text: str) -> int:
    if not text.isdecimal() or not 0 < int(text) <= MAXIMUM_PORT:
        raise ValueError(f"a port is a number from 1 to {MAXIMUM_PORT}")
    return int(text)


def _check_port_range(ports: str) -> str:
    """Return ``first,last`` or one port; raise `ValueError` for anything else."""
    first, _, last = ports.partition(",")
    if _check_port(first) > _check_port(last or first):
        raise ValueError("the first port is above the last one")
    return ports


SocketAddress = Annotated[str, pydantic.AfterValidator(_check_socket_address)]


class ListenModel(pydantic.BaseModel):
    """The ``IP:port`` addresses for callers and for readiness."""

    Front: SocketAddress
    Ready: SocketAddress


class ProviderModel(pydantic.BaseModel):
    """The ``IP:port`` address of the platform's store."""

    Address: SocketAddress


class LimitsModel(FieldsModel):
    """The memory and the descriptors that the platform gives a process."""

    MemoryMb: int = pydantic.Field(300, gt=0, le=MAXIMUM_AMOUNT)
    MaxFds: int = pydantic.Field(4096, ge=64, le=MAXIMUM_AMOUNT)


class SettingsModel(pydantic.BaseModel):
    """What the daemon can't run without, and the regions of the zones.

    A zone whose region is empty is in none.
    """

    Node: str = pydantic.Field(min_length=1)
    Zone: str = pydantic.Field(min_length=1)
    Ip: Annotated[ipaddress.IPv4Address, pydantic.AfterValidator(str)]
    Zones: dict[str, str] = {}
    Listen: ListenModel
    PortRange: Annotated[str, pydantic.AfterValidator(_check_port_range)]
    Provider: ProviderModel

    def decode(
        self, *, bounds: BoundsModel, limits: LimitsModel, problems: tuple[str, ...]
    ) -> FleetSettings:
        """Return the daemon's settings with its figures and what was unreadable."""
        first, _, last = self.PortRange.partition(",")
        return FleetSettings(
            instance=self.Node,
            failure_domain=self.Zone,
            failure_domains=tuple(self.Zones),
            address=self.Ip,
            caller_port=_parse_port(self.Listen.Front),
            ready_port=_parse_port(self.Listen.Ready),
            peer_ports=(int(first), int(last or first)),
            store_address=self.Provider.Address,
            bounds=bounds.decode(),
            regions=dict(self.Zones),
            memory_megabytes=limits.MemoryMb,
            descriptors=limits.MaxFds,
            problems=problems,
        )


def settings_path() -> Path:
    """Return the path from the environment; raise `SettingsError` if it is not set."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(f"the environment variable {PATH_VARIABLE} is not set")
    return Path(path)


def read_settings(path: Path) -> FleetSettings:
    """Return the settings in a file; raise `SettingsError` if they are not valid.

    Figures that can't be read have their defaults and are named in ``problems``.
    """
    try:
        text = path.read_bytes().decode("utf-8", errors="replace")
    except OSError as error:
        raise SettingsError(f"can't read {path}: {error}") from error
    values = _parse_lines(text)
    tables = {name: _table(values, name) for name in ("Zones", "Listen", "Provider")}
    try:
        model = SettingsModel.model_validate(values | tables)
    except pydantic.ValidationError as error:
        detail = "; ".join(describe_errors(error))
        raise SettingsError(f"{path} is not valid: {detail}") from error
    bounds = read_fields(BoundsModel, _table(values, "Bounds"))
    limits = read_fields(LimitsModel, _table(values, "Limits"))
    problems = [
        *(f"Bounds.{problem}" for problem in bounds.problems),
        *(f"Limits.{problem}" for problem in limits.problems),
    ]
    return model.decode(
        bounds=bounds.model, limits=limits.model, problems=tuple(problems)
    )


def _parse_lines(text: str) -> dict[str, str]:
    """Return the values by their whole names; the last line of a name counts."""
    values: dict[str, str] = {}
    for line in text.split("\n"):
        name, separator, value = line.partition("=")
        if separator:
            values[name.strip()] = value.strip()
    return values


def _table(values: dict[str, str], name: str) -> dict[str, str]:
    """Return the values whose names begin with the name of a table, without it."""
    prefix = f"{name}."
    return {
        field: value
        for whole_name, value in values.items()
        if (field := whole_name.removeprefix(prefix)) and whole_name != field
    }


def _parse_port(address: str) -> int:
    return int(address.rpartition(":")[2])

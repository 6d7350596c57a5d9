"""Reader of the platform's settings file, which consists of lines ``a.b=value``."""

import os
from pathlib import Path

import pydantic

from linnetladder.forwarding.settings import Bounds, FleetSettings

__all__ = ["SettingsError", "read_settings", "settings_path"]

PATH_VARIABLE = "LINNETLADDER_BOOT"
MILLISECONDS_PER_SECOND = 1000.0


class SettingsError(Exception):
    """The settings file is not named, can't be read or is not valid."""


class BoundsModel(pydantic.BaseModel):
    """The platform's bounds; names end in ``Ms`` (milliseconds) or ``S`` (seconds)."""

    ContactMs: float = 3000
    ConfigMs: float = 2000
    DrainMs: float = 2000
    GraceS: float = 8
    StrictRevoke: bool = True
    RevokeMs: float = 5000
    BudgetRatio: float = 0.9
    BudgetWindowS: float = 10
    BudgetSlack: float = 50
    ExposureShare: float = 0.15
    ExposureSlack: float = 30
    RollbackMs: float = 5000
    SessionS: float = 5
    ReuseWindowS: float = 10
    EvacuateMs: float = 5000
    ColdOverage: float = pydantic.Field(1.5, ge=0)
    ColdSlack: float = pydantic.Field(5, ge=0)

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


class ListenModel(pydantic.BaseModel):
    """The ``IP:port`` addresses for callers and for readiness."""

    Front: str
    Ready: str


class ProviderModel(pydantic.BaseModel):
    """The ``IP:port`` address of the platform's store."""

    Address: str


class LimitsModel(pydantic.BaseModel):
    """The memory and the descriptors that the platform gives a process."""

    MemoryMb: int = pydantic.Field(300, gt=0)
    MaxFds: int = pydantic.Field(4096, ge=64)


class SettingsModel(pydantic.BaseModel):
    """The fields of the file that the daemon uses; others are ignored.

    ``Zones`` gives the region of each zone.
    """

    Node: str
    Zone: str
    Ip: str
    Zones: dict[str, str] = {}
    Listen: ListenModel
    PortRange: str
    Provider: ProviderModel
    Bounds: BoundsModel = BoundsModel()
    Limits: LimitsModel = LimitsModel()

    def decode(self) -> FleetSettings:
        """Return the daemon's settings."""
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
            bounds=self.Bounds.decode(),
            regions=dict(self.Zones),
            memory_megabytes=self.Limits.MemoryMb,
            descriptors=self.Limits.MaxFds,
        )


def settings_path() -> Path:
    """Return the path from the environment; raise `SettingsError` if it is not set."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(f"the environment variable {PATH_VARIABLE} is not set")
    return Path(path)


def read_settings(path: Path) -> FleetSettings:
    """Return the settings in a file; raise `SettingsError` if they are not valid."""
    try:
        text = path.read_text()
        return SettingsModel.model_validate(_parse_lines(text)).decode()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"can't read {path}: {error}") from error
    except (pydantic.ValidationError, ValueError) as error:
        raise SettingsError(f"{path} is not valid: {error}") from error


def _parse_lines(text: str) -> dict:
    """Return the fields as dictionaries, nested by the parts of their names."""
    fields: dict = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if not separator:
            continue
        table = fields
        *outer, last = name.strip().split(".")
        for part in outer:
            inner = table.setdefault(part, {})
            if not isinstance(inner, dict):
                raise ValueError(f"field {name!r} is both a value and a table")
            table = inner
        table[last] = value.strip()
    return fields


def _parse_port(address: str) -> int:
    return int(address.rpartition(":")[2])

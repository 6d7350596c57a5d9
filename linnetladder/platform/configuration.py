"""Reading of the operator's configuration, of which single parts may be unreadable.

What is valid as a whole is decoded at once. Otherwise each entry is read by itself, and
each field of it by `linnetladder.platform.fields`, so that one value decides about no
other entry: what a configuration takes away is gone, and what it holds is in force.

* A route that can't be read keeps its host and prefix, so that its requests are refused
  and no other route gets them.
* An account that can't be read is left out. Unknown credentials are then not reported
  as such, since the account may hold them.
* A service or a limit that can't be read is like a missing one.

Without its version a configuration can't be ordered, and is unreadable as a whole.
"""

import dataclasses
from typing import TypeVar

import pydantic
import pydantic_core

from linnetladder.forwarding.state import (
    RoutingTable,
    UnreadableParts,
    UnreadableRoute,
)
from linnetladder.platform.documents import (
    ConfigurationModel,
    EngineModel,
    LimitsModel,
    NonEmptyText,
    RouteModel,
    ServiceModel,
    TenantModel,
    Version,
)
from linnetladder.platform.fields import (
    FieldsModel,
    Reading,
    describe_errors,
    read_fields,
)

__all__ = ["ConfigurationError", "read_configuration"]

_VERSION_ADAPTER = pydantic.TypeAdapter(Version)

Model = TypeVar("Model", bound=FieldsModel)


class ConfigurationError(Exception):
    """A configuration can't be read as a whole."""


class RouteKeyModel(FieldsModel):
    """What decides which requests a route gets."""

    Host: NonEmptyText
    PathPrefix: NonEmptyText


def read_configuration(value: bytes, *, revision: int) -> RoutingTable:
    """Return the routing table of a configuration, with what of it is unreadable.

    Raise `ConfigurationError`, without quoting the value, if it is no JSON object or
    its version can't be read.
    """
    try:
        model = ConfigurationModel.model_validate_json(value)
        unreadable = UnreadableParts()
    except pydantic.ValidationError:
        model, unreadable = _PartsReader(value).read()
    repeated = _describe_repeated(model)
    if repeated:
        problems = unreadable.problems + repeated
        unreadable = dataclasses.replace(unreadable, problems=problems)
    return model.decode(revision=revision, unreadable=unreadable)


class _PartsReader:
    """Reads the entries of one configuration and keeps what is unreadable."""

    def __init__(self, value: bytes):
        try:
            self.document = pydantic_core.from_json(value)
        except ValueError as error:
            raise ConfigurationError("the value is not JSON") from error
        if not isinstance(self.document, dict):
            raise ConfigurationError("the value is not a JSON object")
        self.problems: list[str] = []
        self.unreadable_routes: list[UnreadableRoute] = []
        self.hides_routes = False
        self.hides_accounts = False

    def read(self) -> tuple[ConfigurationModel, UnreadableParts]:
        """Return what could be read and what could not."""
        parts: dict[str, object] = {
            "Version": self._read_version(),
            "Routes": self._read_routes(),
            "Services": self._read_services(),
            "Limits": self._read_limits(),
        }
        if "Tenants" in self.document:
            parts["Tenants"] = self._read_accounts()
        unreadable = UnreadableParts(
            routes=tuple(self.unreadable_routes),
            hides_routes=self.hides_routes,
            hides_accounts=self.hides_accounts,
            problems=tuple(self.problems),
        )
        return ConfigurationModel.model_construct(**parts), unreadable

    def _read_version(self) -> int:
        try:
            return _VERSION_ADAPTER.validate_python(self.document.get("Version"))
        except pydantic.ValidationError as error:
            detail = "; ".join(describe_errors(error))
            raise ConfigurationError(f"Version: {detail}") from error

    def _read_routes(self) -> list[RouteModel]:
        entries = self._entries("Routes")
        if entries is None:
            self.hides_routes = True
            return []
        found = []
        for index, entry in enumerate(entries):
            reading = read_fields(RouteModel, entry)
            self._keep_problems("Routes", index, reading.problems)
            if reading.model is not None:
                found.append(reading.model)
                continue
            key = read_fields(RouteKeyModel, entry).model
            if key is None:
                self.hides_routes = True
                continue
            route = UnreadableRoute(
                host=key.Host.lower(),
                prefix=key.PathPrefix,
                problem="; ".join(reading.problems),
            )
            self.unreadable_routes.append(route)
        return found

    def _read_services(self) -> list[ServiceModel]:
        found = []
        for index, entry in enumerate(self._entries("Services") or ()):
            engine = None
            if isinstance(entry, dict) and entry.get("Engine"):
                engine = read_fields(EngineModel, entry["Engine"])
                self._keep_problems(f"Services.{index}", "Engine", engine.problems)
                entry = entry | {"Engine": engine.model}
            reading = read_fields(ServiceModel, entry)
            self._keep_problems("Services", index, reading.problems)
            if reading.model is not None:
                found.append(reading.model)
        return found

    def _read_accounts(self) -> list[TenantModel]:
        entries = self._entries("Tenants")
        if entries is None:
            self.hides_accounts = True
            return []
        found = []
        for index, entry in enumerate(entries):
            reading = self._read_account(index, entry)
            self._keep_problems("Tenants", index, reading.problems)
            if reading.model is not None:
                found.append(reading.model)
            else:
                self.hides_accounts = True
        return found

    def _read_account(self, index: int, entry: object) -> Reading[TenantModel]:
        """Read an account, and its keys one by one; an empty key is no key."""
        if isinstance(entry, dict) and isinstance(entry.get("ApiKeys"), list):
            given = [key for key in entry["ApiKeys"] if key is not None and key != ""]
            keys = [key for key in given if isinstance(key, str)]
            if len(keys) < len(given):
                self._keep_problems("Tenants", index, ("ApiKeys: a key is no text",))
                self.hides_accounts = True
            entry = entry | {"ApiKeys": keys}
        return read_fields(TenantModel, entry)

    def _read_limits(self) -> LimitsModel:
        reading = read_fields(LimitsModel, self.document.get("Limits") or {})
        self.problems += [f"Limits.{problem}" for problem in reading.problems]
        return reading.model or LimitsModel()

    def _entries(self, name: str) -> list | None:
        """Return the entries of a list, ``None`` if it can't be read."""
        entries = self.document.get(name)
        if entries is None or entries == "":
            return []
        if not isinstance(entries, list):
            self.problems.append(f"{name}: Input should be a valid list")
            return None
        return entries

    def _keep_problems(
        self, part: str, key: int | str, problems: tuple[str, ...]
    ) -> None:
        self.problems += [f"{part}.{key}.{problem}" for problem in problems]


def _describe_repeated(model: ConfigurationModel) -> tuple[str, ...]:
    """Return which entries repeat the key of one before; the last one is in force."""
    keys_by_list = {
        "Routes": [((r.Host.lower(), r.PathPrefix),) for r in model.Routes],
        "Services": [(service.Name,) for service in model.Services],
        "Tenants": [(tenant.Name,) for tenant in model.Tenants],
        "Tenants.ApiKeys": [set(tenant.ApiKeys) for tenant in model.Tenants],
    }
    found = []
    for name, keys_of_entries in keys_by_list.items():
        known: set[object] = set()
        for index, keys in enumerate(keys_of_entries):
            if not known.isdisjoint(keys):
                found.append(f"{name}: entry {index} repeats the key of one before")
            known.update(keys)
    return tuple(found)

"""Declarations: YAML files under version control that describe the settings tree.

A file is parsed, validated and converted to the parts of a snapshot. Each problem
names the file, the line and the path of the invalid value.
"""

import dataclasses
import re
from pathlib import Path
from typing import Annotated, Any, Literal

import pydantic
import yaml
from returns.result import Failure, Result, Success

from linnetladder.coordination.cascades.policies import POLICIES
from linnetladder.state.settings import NARROWING, NodeSettings
from linnetladder.state.snapshot import Part
from linnetladder.state.tree import Node, find_tree_problems
from linnetladder.state.versions import (
    ModelVersion,
    Rollout,
    ServiceDeclaration,
    VersionRef,
)

__all__ = ["DeclarationProblem", "Declarations", "load_declarations"]

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Price = Annotated[float, pydantic.Field(ge=0)]
Share = Annotated[float, pydantic.Field(ge=0, le=1)]
Positive = Annotated[float, pydantic.Field(gt=0)]
Digest = Annotated[str, pydantic.Field(pattern=r"^sha256:[0-9a-f]{64}$")]


class _StrictModel(pydantic.BaseModel):
    """Base of all models of the file; an unknown key is an error."""

    model_config = pydantic.ConfigDict(extra="forbid")


class VersionModel(_StrictModel):
    """A version's prices and its quality by request kind.

    Prices are in millionths of a currency unit per token.
    """

    input_price: Price
    output_price: Price
    quality: dict[str, Share] = pydantic.Field(min_length=1)


class ModelModel(_StrictModel):
    """A model and its versions."""

    versions: dict[Name, VersionModel] = pydantic.Field(min_length=1)


class ServiceModel(_StrictModel):
    """A plain service, with its price per call and its idempotent HTTP methods."""

    price: Price = 0.0
    idempotent_methods: list[Literal["GET", "HEAD", "PUT", "DELETE", "POST"]] = [
        "GET",
        "HEAD",
        "PUT",
        "DELETE",
    ]


class RolloutModel(_StrictModel):
    """The stable version of a model and the traffic share of its candidate version."""

    stable: Name
    candidate: Name | Literal[""] = ""
    share: Share = 0.0


class SettingsModel(_StrictModel):
    """The settings of a node; a setting that is ``None`` is inherited."""

    allowed_versions: list[str] | None = None
    allowed_services: list[Name] | None = None
    rollouts: dict[Name, RolloutModel] | None = None
    quality_target: Share | None = None
    quality_floor: Share | None = None
    cascade_policy: str | None = None
    escalation_billing: Literal["final", "all"] | None = None
    requests_per_second: Positive | None = None
    burst: Annotated[int, pydantic.Field(ge=1)] | None = None
    maximum_in_flight: Annotated[int, pydantic.Field(ge=1)] | None = None
    share_weight: Positive | None = None
    maximum_output_tokens: Annotated[int, pydantic.Field(ge=1)] | None = None
    maximum_body_bytes: Annotated[int, pydantic.Field(ge=1)] | None = None
    default_deadline_seconds: Positive | None = None
    maximum_deadline_seconds: Positive | None = None
    maximum_priority: Annotated[int, pydantic.Field(ge=0, le=9)] | None = None
    session_lifetime_seconds: Positive | None = None
    session_on_withdrawal: Literal["end", "restart"] | None = None
    maximum_staleness_seconds: Positive | None = None

    @pydantic.field_validator("cascade_policy")
    @classmethod
    def require_known_policy(cls, value: str | None) -> str | None:
        """Reject the name of a cascade policy that does not exist."""
        if value is not None and value not in POLICIES:
            policy_names = ", ".join(POLICIES)
            raise ValueError(f"cascade policy {value!r} is not one of {policy_names}")
        return value

    def node_settings(self) -> NodeSettings:
        """Return the settings as the data class of the settings tree."""
        values: dict[str, Any] = {}
        for name in type(self).model_fields:
            value = getattr(self, name)
            values[name] = tuple(value) if isinstance(value, list) else value
        if self.rollouts is not None:
            values["rollouts"] = tuple(
                Rollout(model, entry.stable, entry.candidate, entry.share)
                for model, entry in sorted(self.rollouts.items())
            )
        return NodeSettings(**values)


class NodeModel(_StrictModel):
    """A node of the tree: a team, a service or a client account."""

    name: Name
    parent: Name | Literal[""] = ""
    account: bool = False
    credentials: list[Digest] = []
    locked: list[str] = []
    settings: SettingsModel = SettingsModel()

    @pydantic.field_validator("locked")
    @classmethod
    def require_known_settings(cls, value: list[str]) -> list[str]:
        """Reject names that are not names of settings."""
        for name in value:
            if name not in NARROWING:
                raise ValueError(f"setting {name!r} does not exist")
        return value


class FileModel(_StrictModel):
    """A whole declaration file."""

    models: dict[Name, ModelModel] = pydantic.Field(min_length=1)
    services: dict[Name, ServiceModel] = {}
    reinstate: list[str] = []
    nodes: list[NodeModel] = pydantic.Field(min_length=1)


@dataclasses.dataclass(frozen=True, slots=True)
class DeclarationProblem:
    """A problem in a declaration file, with the line and path of the value."""

    file: str
    line: int
    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.path}: {self.message}"


@dataclasses.dataclass(frozen=True, slots=True)
class Declarations:
    """The parts that a file declares, and the withdrawn versions that it reinstates."""

    parts: tuple[Part, ...]
    reinstate: frozenset[VersionRef]


class _LineFinder:
    """Find the line of a value in a YAML document by its path."""

    def __init__(self, *, root: yaml.Node | None):
        self.root = root

    def line(self, path: tuple) -> int:
        """Return the line, from 1, of the deepest part of a path that exists."""
        current = self.root
        line = 1
        for step in path:
            child = self._find_child(current, step)
            if child is None:
                break
            current, line = child
        return line

    def _find_child(self, node: yaml.Node | None, step: object) -> tuple | None:
        if isinstance(node, yaml.MappingNode):
            for key, value in node.value:
                if key.value == str(step):
                    return value, key.start_mark.line + 1
        if isinstance(node, yaml.SequenceNode) and isinstance(step, int):
            if step < len(node.value):
                value = node.value[step]
                return value, value.start_mark.line + 1
        return None


class _UniqueKeyLoader(yaml.SafeLoader):
    """A loader that rejects duplicate keys of a mapping.

    By default PyYAML keeps the last of them and drops the others without a warning.
    """

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict:
        seen = set()
        for key, _ in node.value:
            if key.value in seen:
                raise yaml.MarkedYAMLError(
                    problem=f"duplicate key {key.value!r}",
                    problem_mark=key.start_mark,
                )
            seen.add(key.value)
        return super().construct_mapping(node, deep=deep)


def load_declarations(
    path: Path,
) -> Result[Declarations, list[DeclarationProblem]]:
    """Read and validate a declaration file, or return all problems found in it."""
    file = str(path)
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure([DeclarationProblem(file, 1, "", f"can't be read: {error}")])
    return parse_declarations(text, file=file)


def parse_declarations(
    text: str, *, file: str
) -> Result[Declarations, list[DeclarationProblem]]:
    """Parse and validate declarations; problems name ``file`` as their source."""
    try:
        line_finder = _LineFinder(root=yaml.compose(text, Loader=_UniqueKeyLoader))
        document = yaml.load(text, Loader=_UniqueKeyLoader)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        return Failure([DeclarationProblem(file, line, "", str(error.problem))])
    except yaml.YAMLError as error:
        return Failure([DeclarationProblem(file, 1, "", str(error))])
    try:
        model = FileModel.model_validate(document)
    except pydantic.ValidationError as error:
        return Failure(
            [_build_problem(file, line_finder, entry) for entry in error.errors()]
        )
    problems = _find_problems(model, file, line_finder)
    if problems:
        return Failure(problems)
    return Success(_build_declarations(model))


def _build_problem(
    file: str, line_finder: _LineFinder, entry: Any
) -> DeclarationProblem:
    path = tuple(entry["loc"])
    message = entry["msg"]
    if entry["type"] == "extra_forbidden":
        message = f"key {str(path[-1])!r} is unknown"
    return DeclarationProblem(file, line_finder.line(path), _format_path(path), message)


def _format_path(path: tuple) -> str:
    text = ".".join(str(step) for step in path)
    return re.sub(r"\.(\d+)(?=\.|$)", r"[\1]", text)


def _find_problems(
    model: FileModel, file: str, line_finder: _LineFinder
) -> list[DeclarationProblem]:
    """Return the problems between values that are valid on their own."""
    path_messages: list[tuple[tuple, str]] = []
    path_messages.extend(_name_problems(model))
    path_messages.extend(_reference_problems(model))
    path_messages.extend(_credential_problems(model))
    if not path_messages:
        path_messages.extend(_tree_problems(model))
    return [
        DeclarationProblem(file, line_finder.line(path), _format_path(path), message)
        for path, message in path_messages
    ]


def _name_problems(model: FileModel) -> list[tuple[tuple, str]]:
    path_messages = []
    seen: set[str] = set()
    for index, node in enumerate(model.nodes):
        if node.name in seen:
            message = f"node {node.name!r} is declared twice"
            path_messages.append((("nodes", index, "name"), message))
        seen.add(node.name)
    return path_messages


def _reference_problems(model: FileModel) -> list[tuple[tuple, str]]:
    path_messages = []
    for index, entry in enumerate(model.reinstate):
        message = _unknown_version_message(model, entry)
        if message:
            path_messages.append((("reinstate", index), message))
    for index, node in enumerate(model.nodes):
        settings_path = ("nodes", index, "settings")
        for item_index, pattern in enumerate(node.settings.allowed_versions or ()):
            message = _unknown_version_message(model, pattern)
            if message:
                path_messages.append(
                    ((*settings_path, "allowed_versions", item_index), message)
                )
        for item_index, service in enumerate(node.settings.allowed_services or ()):
            if service not in model.services:
                message = f"service {service!r} is not declared"
                path_messages.append(
                    ((*settings_path, "allowed_services", item_index), message)
                )
        for name, rollout in (node.settings.rollouts or {}).items():
            for field in ("stable", "candidate"):
                version = getattr(rollout, field)
                message = version and _unknown_version_message(
                    model, f"{name}@{version}"
                )
                if message:
                    path_messages.append(
                        ((*settings_path, "rollouts", name, field), message)
                    )
    return path_messages


def _unknown_version_message(model: FileModel, pattern: str) -> str:
    ref = VersionRef.parse(pattern)
    declared_model = model.models.get(ref.model)
    if declared_model is None:
        return f"model {ref.model!r} is not declared"
    if ref.version and ref.version not in declared_model.versions:
        return f"version {ref.version!r} of model {ref.model!r} is not declared"
    return ""


def _credential_problems(model: FileModel) -> list[tuple[tuple, str]]:
    path_messages = []
    owners: dict[str, str] = {}
    for index, node in enumerate(model.nodes):
        path = ("nodes", index, "credentials")
        if node.credentials and not node.account:
            message = f"node {node.name!r} has credentials but is not a client account"
            path_messages.append((path, message))
        for digest in node.credentials:
            owner = owners.setdefault(digest, node.name)
            if owner != node.name:
                message = f"the credential also belongs to client account {owner!r}"
                path_messages.append((path, message))
    return path_messages


def _tree_problems(model: FileModel) -> list[tuple[tuple, str]]:
    positions = {node.name: index for index, node in enumerate(model.nodes)}
    path_messages = []
    for problem in find_tree_problems(_build_nodes(model)):
        step = (problem.setting,)
        if problem.setting != "parent":
            step = ("settings", problem.setting)
        path = ("nodes", positions[problem.node], *step)
        path_messages.append((path, problem.message))
    return path_messages


def _build_nodes(model: FileModel) -> tuple[Node, ...]:
    return tuple(
        Node(
            name=node.name,
            parent=node.parent,
            account=node.account,
            credentials=tuple(c.removeprefix("sha256:") for c in node.credentials),
            locked=tuple(node.locked),
            settings=node.settings.node_settings(),
        )
        for node in model.nodes
    )


def _build_declarations(model: FileModel) -> Declarations:
    parts = [Part(node=node) for node in _build_nodes(model)]
    for name, declared_model in sorted(model.models.items()):
        versions = tuple(
            ModelVersion(
                ref=VersionRef(name, version),
                input_price=entry.input_price,
                output_price=entry.output_price,
                quality=entry.quality,
            )
            for version, entry in sorted(declared_model.versions.items())
        )
        parts.append(Part(versions=versions))
    for name, service in sorted(model.services.items()):
        declaration = ServiceDeclaration(
            name, service.price, tuple(service.idempotent_methods)
        )
        parts.append(Part(service=declaration))
    reinstate = frozenset(VersionRef.parse(text) for text in model.reinstate)
    return Declarations(tuple(parts), reinstate)

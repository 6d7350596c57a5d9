"""Immutable, numbered snapshots of the configuration.

A snapshot is described by a `Manifest`: its revision, the digest of each part and the
checkpoint id, a hash over the content and the previous checkpoint id. Parts are
addressed by their content, so only changed parts are sent between processes. Two
manifests with the same revision and different checkpoint ids have diverged; a manifest
with a lower revision is outdated.
"""

import dataclasses
import hashlib
from collections.abc import Mapping
from typing import Any

import orjson
import pydantic

from linnetladder.state.settings import ResolvedSettings
from linnetladder.state.tree import Node, SettingsTree
from linnetladder.state.versions import (
    ModelVersion,
    ServiceDeclaration,
    VersionRef,
    Withdrawal,
)

__all__ = [
    "AccountView",
    "Manifest",
    "Part",
    "PartRef",
    "Snapshot",
    "build_manifest",
    "checkpoint_id",
    "decode_manifest",
    "decode_part",
    "encode_head",
    "encode_manifest",
    "encode_part",
]

CHECKPOINT_ID_LENGTH = 32  # hexadecimal digits


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """One separately stored piece of a snapshot: exactly one field is set."""

    node: Node | None = None
    versions: tuple[ModelVersion, ...] | None = None
    service: ServiceDeclaration | None = None

    @property
    def name(self) -> str:
        """The name that identifies the part across revisions."""
        if self.node is not None:
            return f"node/{self.node.name}"
        if self.service is not None:
            return f"service/{self.service.name}"
        return f"model/{self.versions[0].ref.model}"


@dataclasses.dataclass(frozen=True, slots=True)
class PartRef:
    """The name of a part and the SHA-256 digest of its encoding, in hexadecimal."""

    name: str
    digest: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Manifest:
    """The metadata and the parts of one revision.

    ``change_id`` is chosen by the operator's tool, so that it can recognize a write
    whose reply was lost by reading the manifest back. ``time_seconds`` is Unix time.
    """

    revision: int
    change_id: str
    checkpoint_id: str
    previous_checkpoint_id: str
    author: str
    message: str
    time_seconds: float
    parts: tuple[PartRef, ...]
    withdrawals: tuple[Withdrawal, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AccountView:
    """The versions and settings of one client account under one snapshot.

    ``allowed`` excludes the withdrawn versions, which are in ``withdrawn``; it is
    ordered by output price, the cheapest version first.
    """

    account: str
    settings: ResolvedSettings
    allowed: tuple[ModelVersion, ...]
    withdrawn: frozenset[VersionRef]


_PART_ADAPTER = pydantic.TypeAdapter(Part)
_MANIFEST_ADAPTER = pydantic.TypeAdapter(Manifest)


def _canonical_json(value: Any) -> bytes:
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def encode_part(part: Part) -> tuple[PartRef, bytes]:
    """Return a part's reference and its canonical JSON encoding."""
    content = _canonical_json(part)
    digest = hashlib.sha256(content).hexdigest()
    return PartRef(part.name, digest), content


def decode_part(content: bytes) -> Part:
    """Decode a part; raise `pydantic.ValidationError` if it is malformed."""
    return _PART_ADAPTER.validate_json(content)


def encode_manifest(manifest: Manifest) -> bytes:
    """Return a manifest's canonical JSON encoding."""
    return _canonical_json(manifest)


def encode_head(manifest: Manifest) -> bytes:
    """Return the canonical JSON encoding of the head: the manifest without its parts.

    Every daemon reads the head often, so its size must not grow with the tree.
    """
    return _canonical_json(dataclasses.replace(manifest, parts=()))


def decode_manifest(content: bytes) -> Manifest:
    """Decode a manifest; raise `pydantic.ValidationError` if it is malformed."""
    return _MANIFEST_ADAPTER.validate_json(content)


def build_manifest(
    *,
    previous: Manifest | None,
    parts: tuple[PartRef, ...],
    withdrawals: tuple[Withdrawal, ...],
    change_id: str,
    author: str,
    message: str,
    time_seconds: float,
) -> Manifest:
    """Return the manifest that follows ``previous``, with its checkpoint id."""
    draft = Manifest(
        revision=previous.revision + 1 if previous else 1,
        change_id=change_id,
        checkpoint_id="",
        previous_checkpoint_id=previous.checkpoint_id if previous else "",
        author=author,
        message=message,
        time_seconds=time_seconds,
        parts=parts,
        withdrawals=withdrawals,
    )
    return dataclasses.replace(draft, checkpoint_id=checkpoint_id(draft))


def checkpoint_id(manifest: Manifest) -> str:
    """Return the hash over a manifest's content and the previous checkpoint id."""
    content = _canonical_json(
        (
            manifest.previous_checkpoint_id,
            manifest.revision,
            manifest.parts,
            manifest.withdrawals,
        )
    )
    return hashlib.sha256(content).hexdigest()[:CHECKPOINT_ID_LENGTH]


class Snapshot:
    """The whole configuration at one revision, with lookups for routing."""

    def __init__(self, *, manifest: Manifest, parts: Mapping[str, Part]):
        self.manifest = manifest
        self.parts = dict(parts)
        referenced_parts = [parts[ref.name] for ref in manifest.parts]
        self.tree = SettingsTree(
            nodes=[p.node for p in referenced_parts if p.node is not None]
        )
        self.versions: dict[VersionRef, ModelVersion] = {}
        self.versions_by_model: dict[str, tuple[ModelVersion, ...]] = {}
        for part in referenced_parts:
            if part.versions is None:
                continue
            self.versions_by_model[part.versions[0].ref.model] = part.versions
            self.versions.update({version.ref: version for version in part.versions})
        self.services = {
            p.service.name: p.service for p in referenced_parts if p.service
        }
        self.withdrawn = frozenset(
            withdrawal.ref for withdrawal in manifest.withdrawals
        )
        self.views: dict[str, AccountView] = {}

    @property
    def revision(self) -> int:
        """The number of this configuration, which increases by one with each change."""
        return self.manifest.revision

    def account_for_credential(self, digest: str) -> str | None:
        """Return the client account whose credential has this SHA-256 digest."""
        return self.tree.accounts_by_credential.get(digest)

    def view(self, account: str) -> AccountView:
        """Return the view of a client account, computed once per snapshot."""
        cached = self.views.get(account)
        if cached is None:
            cached = self._build_view(account)
            self.views[account] = cached
        return cached

    def _build_view(self, account: str) -> AccountView:
        settings = self.tree.resolve(account)
        patterns = frozenset(settings.values.allowed_versions)
        permitted = [
            version
            for ref, version in self.versions.items()
            if ref.model in patterns or str(ref) in patterns
        ]
        permitted.sort(key=lambda version: (version.output_price, version.ref))
        return AccountView(
            account=account,
            settings=settings,
            allowed=tuple(v for v in permitted if v.ref not in self.withdrawn),
            withdrawn=frozenset(v.ref for v in permitted if v.ref in self.withdrawn),
        )

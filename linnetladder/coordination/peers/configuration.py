"""Transfers the configuration between peers: the manifest, then missing parts.

A daemon that learns of a higher revision requests its manifest and then the parts that
it lacks. Parts are checked against their digests and the manifest against its
checkpoint id before the new revision is put in force.
"""

import pydantic

from linnetladder.coordination.configuration.in_force import ConfigurationInForce
from linnetladder.coordination.peers.messages import (
    ManifestReply,
    PartsReply,
    PartsRequest,
)
from linnetladder.state import EndpointTable, KeyRing, Manifest, Snapshot
from linnetladder.state.signing import signing_key_from_json, signing_key_to_json
from linnetladder.state.snapshot import (
    Part,
    checkpoint_id,
    decode_manifest,
    decode_part,
    encode_manifest,
    encode_part,
)
from linnetladder.telemetry import Metrics

__all__ = ["ConfigurationExchange"]

MAXIMUM_PARTS_IN_REPLY = 2000


class ConfigurationExchange:
    """Send the configuration in force to peers and adopt theirs if it is newer."""

    def __init__(
        self,
        *,
        configuration: ConfigurationInForce,
        keys: KeyRing,
        table: EndpointTable,
        metrics: Metrics,
    ):
        self.configuration = configuration
        self.table = table
        self.keys = keys
        self.metrics = metrics
        self.pending_manifest: Manifest | None = None
        self.parts: dict[str, Part] = {}

    def needs_bootstrap(self) -> bool:
        """Return whether the daemon still lacks signing keys or endpoints."""
        return self.keys.current is None or not self.table.endpoints

    def build_manifest_reply(self) -> ManifestReply:
        """Return the manifest in force, the signing keys and the known endpoints."""
        snapshot = self.configuration.snapshot
        manifest = encode_manifest(snapshot.manifest) if snapshot else b""
        keys = tuple(signing_key_to_json(key) for key in self.keys.keys.values())
        return ManifestReply(manifest, keys, self.table.reports())

    def handle_manifest(self, reply: ManifestReply) -> PartsRequest | None:
        """Process a peer's reply and return the request for missing parts, if any.

        Keys and endpoints are adopted only if this daemon has none.
        """
        try:
            manifest = decode_manifest(reply.manifest) if reply.manifest else None
            keys = [signing_key_from_json(content) for content in reply.keys]
        except (ValueError, TypeError):
            self.metrics.count("rejected_peers", label="malformed")
            return None
        if self.keys.current is None:
            for key in keys:
                self.keys.add(key)
        if not self.table.endpoints:
            for report in reply.endpoints:
                self.table.merge(report)
        if manifest is None or manifest.revision <= self.configuration.revision:
            return None
        if checkpoint_id(manifest) != manifest.checkpoint_id:
            self.metrics.count("rejected_peers", label="checkpoint")
            return None
        return self._start_fetch(manifest)

    def build_parts_reply(self, request: PartsRequest) -> PartsReply:
        """Return the contents of those requested parts that are in force here."""
        snapshot = self.configuration.snapshot
        if snapshot is None:
            return PartsReply(())
        requested = set(request.digests[:MAXIMUM_PARTS_IN_REPLY])
        names = [r.name for r in snapshot.manifest.parts if r.digest in requested]
        return PartsReply(tuple(encode_part(snapshot.parts[n])[1] for n in names))

    def handle_parts(self, reply: PartsReply) -> bool:
        """Process received parts; return whether a new revision was put in force."""
        if self.pending_manifest is None:
            return False
        try:
            received = [decode_part(content) for content in reply.contents]
        except pydantic.ValidationError:
            self.metrics.count("rejected_peers", label="malformed")
            return False
        requested = {ref.name: ref for ref in self.pending_manifest.parts}
        for part in received:
            ref = encode_part(part)[0]
            if requested.get(ref.name) == ref:
                self.parts[ref.name] = part
        return self._install_if_complete()

    def _start_fetch(self, manifest: Manifest) -> PartsRequest | None:
        active_snapshot = self.configuration.snapshot
        digests = (
            {r.name: r.digest for r in active_snapshot.manifest.parts}
            if active_snapshot
            else {}
        )
        self.pending_manifest = manifest
        self.parts = {
            ref.name: active_snapshot.parts[ref.name]
            for ref in manifest.parts
            if digests.get(ref.name) == ref.digest
        }
        missing = [r.digest for r in manifest.parts if r.name not in self.parts]
        if not missing:
            self._install_if_complete()
            return None
        return PartsRequest(tuple(missing[:MAXIMUM_PARTS_IN_REPLY]))

    def _install_if_complete(self) -> bool:
        manifest = self.pending_manifest
        if any(ref.name not in self.parts for ref in manifest.parts):
            return False
        self.pending_manifest = None
        snapshot = Snapshot(manifest=manifest, parts=self.parts)
        self.parts = {}
        return self.configuration.install(snapshot)

"""The configuration in force at this daemon, whose revision only ever increases.

The platform stores one head, which identifies the latest revision. When the head has a
higher revision, a daemon fetches the parts that it lacks and puts the new snapshot in
force. A head with a lower revision, or with the same revision and another checkpoint
id, is counted as a regression and not adopted. If the head is older, for instance
because the platform was restored from a backup, the daemon writes the newer head back.
"""

import asyncio

from returns.result import Failure, Result, Success

from linnetladder.coordination.platform import (
    Condition,
    FaultKind,
    KeyValueService,
    PlatformFault,
    Put,
    Record,
)
from linnetladder.state import Clock, Manifest, Snapshot
from linnetladder.state.snapshot import (
    Part,
    PartRef,
    decode_manifest,
    decode_part,
    encode_head,
    encode_manifest,
    encode_part,
)
from linnetladder.telemetry import Metrics, log_change

__all__ = [
    "HEAD_KEY",
    "HISTORY_PREFIX",
    "PART_PREFIX",
    "ConfigurationInForce",
    "fetch_manifest",
    "fetch_snapshot",
    "history_key",
    "part_key",
]

HEAD_KEY = "linnetladder/live/head"
PART_PREFIX = "linnetladder/config/parts/"
HISTORY_PREFIX = "linnetladder/config/history/"
MAXIMUM_CONCURRENT_FETCHES = 16


def part_key(digest: str) -> str:
    """Return the key that stores a part's content."""
    return PART_PREFIX + digest


def history_key(revision: int) -> str:
    """Return the key that stores a revision's manifest."""
    return f"{HISTORY_PREFIX}{revision:010d}"


async def _fetch_part(
    store: KeyValueService, ref: PartRef
) -> Result[Part, PlatformFault]:
    found = await store.get(part_key(ref.digest))
    if isinstance(found, Failure):
        return found
    record = found.unwrap()
    if record is None:
        detail = f"part {ref.name!r} with digest {ref.digest} is missing"
        return Failure(PlatformFault(FaultKind.REJECTED, detail))
    part = decode_part(record.value)
    if encode_part(part)[0] != ref:
        detail = f"part {ref.name!r} does not have the digest {ref.digest}"
        return Failure(PlatformFault(FaultKind.REJECTED, detail))
    return Success(part)


async def fetch_manifest(
    store: KeyValueService, head: Manifest
) -> Result[Manifest, PlatformFault]:
    """Return the full manifest that a head refers to."""
    found = await store.get(history_key(head.revision))
    if isinstance(found, Failure):
        return found
    record = found.unwrap()
    manifest = decode_manifest(record.value) if record is not None else None
    if manifest is None or manifest.checkpoint_id != head.checkpoint_id:
        detail = (
            f"the manifest of revision {head.revision} is missing or differs from the "
            "head"
        )
        return Failure(PlatformFault(FaultKind.REJECTED, detail))
    return Success(manifest)


async def fetch_snapshot(
    store: KeyValueService, manifest: Manifest, *, current: Snapshot | None = None
) -> Result[Snapshot, PlatformFault]:
    """Return the snapshot of a manifest, fetching only parts that ``current`` lacks."""
    current_digests = (
        {ref.name: ref.digest for ref in current.manifest.parts} if current else {}
    )
    parts: dict[str, Part] = {}
    missing = []
    for ref in manifest.parts:
        if current_digests.get(ref.name) == ref.digest:
            parts[ref.name] = current.parts[ref.name]
        else:
            missing.append(ref)
    for start in range(0, len(missing), MAXIMUM_CONCURRENT_FETCHES):
        batch = missing[start : start + MAXIMUM_CONCURRENT_FETCHES]
        found = await asyncio.gather(*(_fetch_part(store, ref) for ref in batch))
        for ref, outcome in zip(batch, found, strict=True):
            if isinstance(outcome, Failure):
                return outcome
            parts[ref.name] = outcome.unwrap()
    return Success(Snapshot(manifest=manifest, parts=parts))


class ConfigurationInForce:
    """The newest snapshot and the monotonic time at which it was last confirmed."""

    def __init__(self, *, store: KeyValueService, clock: Clock, metrics: Metrics):
        self.store = store
        self.clock = clock
        self.metrics = metrics
        self.snapshot: Snapshot | None = None
        self.confirmed_at = float("-inf")
        self.subscribers: list[asyncio.Event] = []

    @property
    def revision(self) -> int:
        """The revision in force, or 0 if there is none."""
        return self.snapshot.revision if self.snapshot else 0

    def age(self) -> float:
        """Return the seconds since the snapshot was last confirmed to be the head."""
        return self.clock.monotonic() - self.confirmed_at

    def subscribe(self) -> asyncio.Event:
        """Return an event that is set whenever a new snapshot is put in force."""
        subscriber = asyncio.Event()
        self.subscribers.append(subscriber)
        return subscriber

    def install(self, snapshot: Snapshot) -> bool:
        """Put a snapshot in force if its revision is higher than the current one."""
        if snapshot.revision <= self.revision:
            return False
        self.snapshot = snapshot
        self.metrics.count("configuration_installs")
        log_change(
            "configuration in force",
            revision=snapshot.revision,
            checkpoint_id=snapshot.manifest.checkpoint_id,
        )
        for subscriber in self.subscribers:
            subscriber.set()
        return True

    async def apply_head(self, record: Record, *, read_started: float) -> None:
        """Adopt the head that was read, or confirm the snapshot in force.

        ``read_started`` is the monotonic time at which the read began. The snapshot is
        confirmed only as of then, because the head may have changed since.
        """
        head = decode_manifest(record.value)
        if head.revision > self.revision:
            fetched = await self._fetch(head)
            if isinstance(fetched, Failure):
                self.metrics.count("platform_faults", label=fetched.failure().kind)
                return
            self.install(fetched.unwrap())
        if self._matches(head):
            self.confirmed_at = max(self.confirmed_at, read_started)
            return
        self.metrics.count("configuration_regressions")
        if head.revision < self.revision:
            await self._restore_head(record)

    async def _fetch(self, head: Manifest) -> Result[Snapshot, PlatformFault]:
        manifest = await fetch_manifest(self.store, head)
        if isinstance(manifest, Failure):
            return manifest
        return await fetch_snapshot(
            self.store, manifest.unwrap(), current=self.snapshot
        )

    def confirm_by_peer(
        self, *, revision: int, checkpoint_id: str, when: float
    ) -> None:
        """Record that, according to a peer, the snapshot was the head at ``when``.

        ``when`` is a time of this daemon's monotonic clock.
        """
        current = self.snapshot.manifest if self.snapshot else None
        if current is None or current.revision != revision:
            return
        if current.checkpoint_id == checkpoint_id:
            self.confirmed_at = max(self.confirmed_at, when)

    def _matches(self, head: Manifest) -> bool:
        current = self.snapshot.manifest if self.snapshot else None
        return (
            current is not None
            and head.revision == current.revision
            and head.checkpoint_id == current.checkpoint_id
        )

    async def restore_absent_head(self) -> None:
        """Write the head in force to a platform that has lost its head."""
        if self.snapshot is not None:
            self.metrics.count("configuration_regressions")
            await self._restore_head(None)

    async def _restore_head(self, older: Record | None) -> None:
        """Replace the older or missing head unless it has changed in the meantime."""
        manifest = self.snapshot.manifest
        for ref in manifest.parts:
            content = encode_part(self.snapshot.parts[ref.name])[1]
            put = Put(part_key(ref.digest), content)
            await self.store.transact(conditions=(Condition(put.key),), puts=(put,))
        revision = older.modify_revision if older else 0
        written = await self.store.transact(
            conditions=(Condition(HEAD_KEY, revision),),
            puts=(
                Put(HEAD_KEY, encode_head(manifest)),
                Put(history_key(manifest.revision), encode_manifest(manifest)),
            ),
        )
        if isinstance(written, Success) and written.unwrap().succeeded:
            self.metrics.count("configuration_heals")
            log_change("head restored to the platform", revision=manifest.revision)

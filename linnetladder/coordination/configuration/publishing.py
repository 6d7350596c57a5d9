"""Plans and publishes changes to the configuration.

A change is written in two steps: first the content of new parts, under keys derived
from their digests, then the head and its history entry in one compare-and-swap. If
another change was published first, the resulting fault names that change. After a lost
reply, the outcome is determined by reading the head back, which contains the change's
id.
"""

import asyncio
import dataclasses
import enum
import secrets

from returns.result import Failure, Result, Success

from linnetladder.coordination.claims.settling import compare_and_swap, read_with_retry
from linnetladder.coordination.configuration.in_force import (
    HEAD_KEY,
    HISTORY_PREFIX,
    fetch_manifest,
    fetch_snapshot,
    history_key,
    part_key,
)
from linnetladder.coordination.membership.registration import DaemonRecord, list_daemons
from linnetladder.coordination.platform import (
    FaultKind,
    KeyValueService,
    PlatformFault,
    Put,
    Record,
)
from linnetladder.state import Clock, Manifest, Snapshot, VersionRef
from linnetladder.state.snapshot import (
    Part,
    build_manifest,
    decode_manifest,
    encode_head,
    encode_manifest,
    encode_part,
)
from linnetladder.state.versions import Withdrawal

__all__ = [
    "Change",
    "Head",
    "PartChange",
    "Plan",
    "PublishFault",
    "PublishFaultKind",
    "Publisher",
]

SETTLE_SECONDS = 10.0
CHANGE_ID_BYTES = 12
PARTS_PER_WRITE = 64
MAXIMUM_HISTORY_REVISIONS = 200
ACKNOWLEDGEMENT_POLL_SECONDS = 0.2


class PublishFaultKind(enum.StrEnum):
    """Why a change was not published."""

    RACE = "race"
    UNREACHABLE = "unreachable"
    UNKNOWN_OUTCOME = "unknown_outcome"
    NOT_FOUND = "not_found"


@dataclasses.dataclass(frozen=True, slots=True)
class PublishFault:
    """A failed change; ``other`` is the conflicting change that was published first."""

    kind: PublishFaultKind
    detail: str
    other: Manifest | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head as read; both fields are ``None`` before the first change."""

    record: Record | None
    manifest: Manifest | None


@dataclasses.dataclass(frozen=True, slots=True)
class PartChange:
    """A part and its ``action``: "add", "remove" or "change"."""

    name: str
    action: str


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A planned change and how it differs from the head that it would replace."""

    head: Head
    parts: tuple[Part, ...]
    withdrawals: tuple[Withdrawal, ...]
    changes: tuple[PartChange, ...]

    @property
    def is_empty(self) -> bool:
        """Whether the plan changes nothing."""
        before = self.head.manifest.withdrawals if self.head.manifest else ()
        return not self.changes and self.withdrawals == before


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """The author of a change and the reason for it."""

    author: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgements:
    """The daemons that have a revision in force and those that do not.

    Both are based on the daemons' registrations.
    """

    acknowledged: tuple[DaemonRecord, ...]
    outstanding: tuple[DaemonRecord, ...]


class Publisher:
    """Plan and publish changes to the configuration."""

    def __init__(self, *, store: KeyValueService, clock: Clock):
        self.store = store
        self.clock = clock

    async def read_head(self) -> Result[Head, PublishFault]:
        """Return the current head."""
        found = await read_with_retry(self.store, HEAD_KEY, seconds=SETTLE_SECONDS)
        if isinstance(found, Failure):
            return Failure(_platform_fault(found.failure()))
        record = found.unwrap()
        if record is None:
            return Success(Head(None, None))
        manifest = await fetch_manifest(self.store, decode_manifest(record.value))
        if isinstance(manifest, Failure):
            return Failure(_platform_fault(manifest.failure()))
        return Success(Head(record, manifest.unwrap()))

    async def read_snapshot(self, manifest: Manifest) -> Result[Snapshot, PublishFault]:
        """Return the snapshot of a manifest."""
        fetched = await fetch_snapshot(self.store, manifest)
        if isinstance(fetched, Failure):
            return Failure(_platform_fault(fetched.failure()))
        return Success(fetched.unwrap())

    async def read_revision(self, revision: int) -> Result[Manifest, PublishFault]:
        """Return the manifest of a revision in the history."""
        found = await self.store.get(history_key(revision))
        if isinstance(found, Failure):
            return Failure(_platform_fault(found.failure()))
        record = found.unwrap()
        if record is None:
            detail = f"revision {revision} is not in the history"
            return Failure(PublishFault(PublishFaultKind.NOT_FOUND, detail))
        return Success(decode_manifest(record.value))

    async def read_history(self) -> Result[tuple[Manifest, ...], PublishFault]:
        """Return the manifests in the history, oldest first."""
        listed = await self.store.list_prefix(HISTORY_PREFIX)
        if isinstance(listed, Failure):
            return Failure(_platform_fault(listed.failure()))
        return Success(tuple(decode_manifest(r.value) for r in listed.unwrap()))

    async def plan(
        self, parts: tuple[Part, ...], *, reinstate: frozenset[VersionRef]
    ) -> Result[Plan, PublishFault]:
        """Compare declared parts with the current head.

        Withdrawals stay in effect except for the versions in ``reinstate``.
        """
        read = await self.read_head()
        if isinstance(read, Failure):
            return read
        head = read.unwrap()
        current_withdrawals = head.manifest.withdrawals if head.manifest else ()
        remaining = tuple(
            withdrawal
            for withdrawal in current_withdrawals
            if withdrawal.ref not in reinstate
        )
        return Success(Plan(head, parts, remaining, _diff_parts(head.manifest, parts)))

    async def publish(
        self, plan: Plan, change: Change
    ) -> Result[Manifest, PublishFault]:
        """Publish a planned change unless the head has changed since planning."""
        encoded = [encode_part(part) for part in plan.parts]
        store_fault = await self._store_parts(plan, dict(encoded))
        if store_fault is not None:
            return Failure(store_fault)
        manifest = build_manifest(
            previous=plan.head.manifest,
            parts=tuple(sorted((ref for ref, _ in encoded), key=lambda r: r.name)),
            withdrawals=plan.withdrawals,
            change_id=secrets.token_hex(CHANGE_ID_BYTES),
            author=change.author,
            message=change.message,
            time_seconds=self.clock.unix(),
        )
        return await self._swap_head(plan.head, manifest)

    async def withdraw(
        self, withdrawal: Withdrawal, change: Change
    ) -> Result[Manifest, PublishFault]:
        """Withdraw a version immediately, without any other change."""
        read = await self.read_head()
        if isinstance(read, Failure):
            return read
        head = read.unwrap()
        if head.manifest is None:
            detail = "there is no configuration yet"
            return Failure(PublishFault(PublishFaultKind.NOT_FOUND, detail))
        fetched = await self.read_snapshot(head.manifest)
        if isinstance(fetched, Failure):
            return fetched
        if withdrawal.ref not in fetched.unwrap().versions:
            detail = f"version {str(withdrawal.ref)!r} is not declared"
            return Failure(PublishFault(PublishFaultKind.NOT_FOUND, detail))
        current_withdrawals = tuple(
            w for w in head.manifest.withdrawals if w.ref != withdrawal.ref
        )
        manifest = build_manifest(
            previous=head.manifest,
            parts=head.manifest.parts,
            withdrawals=(*current_withdrawals, withdrawal),
            change_id=secrets.token_hex(CHANGE_ID_BYTES),
            author=change.author,
            message=change.message,
            time_seconds=self.clock.unix(),
        )
        return await self._swap_head(head, manifest)

    async def wait_in_force(
        self, manifest: Manifest, *, seconds: float
    ) -> Result[Acknowledgements, PublishFault]:
        """Wait until every registered daemon has a revision, or the time is up."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while True:
            listed = await list_daemons(self.store)
            if isinstance(listed, Success):
                acknowledgements = _split_by_acknowledgement(listed.unwrap(), manifest)
                if not acknowledgements.outstanding or loop.time() >= deadline:
                    return Success(acknowledgements)
            elif loop.time() >= deadline:
                return Failure(_platform_fault(listed.failure()))
            await asyncio.sleep(ACKNOWLEDGEMENT_POLL_SECONDS)

    async def _store_parts(self, plan: Plan, encoded: dict) -> PublishFault | None:
        """Store the content of parts that the head does not contain yet."""
        before = plan.head.manifest.parts if plan.head.manifest else ()
        stored_digests = {ref.digest for ref in before}
        puts = [
            Put(part_key(ref.digest), content)
            for ref, content in encoded.items()
            if ref.digest not in stored_digests
        ]
        for start in range(0, len(puts), PARTS_PER_WRITE):
            written = await self.store.transact(
                puts=tuple(puts[start : start + PARTS_PER_WRITE])
            )
            if isinstance(written, Failure):
                return _platform_fault(written.failure())
        return None

    async def _swap_head(
        self, head: Head, manifest: Manifest
    ) -> Result[Manifest, PublishFault]:
        puts = (
            Put(HEAD_KEY, encode_head(manifest)),
            Put(history_key(manifest.revision), encode_manifest(manifest)),
        )
        swapped = await compare_and_swap(
            self.store, expected=head.record, puts=puts, settle_seconds=SETTLE_SECONDS
        )
        if isinstance(swapped, Failure):
            return Failure(_platform_fault(swapped.failure()))
        if swapped.unwrap():
            await self._trim_history(manifest.revision)
            return Success(manifest)
        return await self._resolve_failed_swap(manifest)

    async def _resolve_failed_swap(
        self, manifest: Manifest
    ) -> Result[Manifest, PublishFault]:
        """Distinguish a conflict from a change that was published and then replaced.

        If the history holds this change under its revision, it was published.
        """
        recorded = await self.read_revision(manifest.revision)
        if (
            isinstance(recorded, Success)
            and recorded.unwrap().change_id == manifest.change_id
        ):
            return Success(manifest)
        read = await self.read_head()
        other = read.unwrap().manifest if isinstance(read, Success) else None
        detail = "another change came first"
        if other is not None:
            detail = (
                f"revision {other.revision} by {other.author!r} came first: "
                f"{other.message!r}"
            )
        return Failure(PublishFault(PublishFaultKind.RACE, detail, other))

    async def _trim_history(self, revision: int) -> None:
        """Delete the manifest that exceeds `MAXIMUM_HISTORY_REVISIONS`."""
        oldest = revision - MAXIMUM_HISTORY_REVISIONS
        if oldest > 0:
            await self.store.transact(deletes=(history_key(oldest),))


def _diff_parts(
    before: Manifest | None, parts: tuple[Part, ...]
) -> tuple[PartChange, ...]:
    old = {ref.name: ref.digest for ref in before.parts} if before else {}
    new = {ref.name: ref.digest for ref, _ in map(encode_part, parts)}
    changes = []
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            changes.append(PartChange(name, "add"))
        elif name not in new:
            changes.append(PartChange(name, "remove"))
        elif old[name] != new[name]:
            changes.append(PartChange(name, "change"))
    return tuple(changes)


def _split_by_acknowledgement(
    daemons: tuple[DaemonRecord, ...], manifest: Manifest
) -> Acknowledgements:
    acknowledged = tuple(d for d in daemons if d.revision >= manifest.revision)
    outstanding = tuple(d for d in daemons if d.revision < manifest.revision)
    return Acknowledgements(acknowledged, outstanding)


def _platform_fault(fault: PlatformFault) -> PublishFault:
    kind = PublishFaultKind.UNREACHABLE
    if fault.kind is FaultKind.UNKNOWN_OUTCOME:
        kind = PublishFaultKind.UNKNOWN_OUTCOME
    return PublishFault(kind, fault.detail)

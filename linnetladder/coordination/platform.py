"""Abstract interfaces to the platform's key-value service and instance list.

Every call returns a `Result`. The kind of a `PlatformFault` shows whether the call may
have taken effect. If the reply to a write is lost, the outcome is unknown and must be
determined by reading the key back. Repeating the write without that check is unsafe.
"""

import abc
import dataclasses
import enum
from collections.abc import AsyncIterator

from returns.result import Result

from linnetladder.state import EndpointReport

__all__ = [
    "Condition",
    "FaultKind",
    "InstanceList",
    "KeyValueService",
    "PlatformFault",
    "Put",
    "Record",
    "TransactionOutcome",
    "WatchEvent",
]

ABSENT_KEY_REVISION = 0


class FaultKind(enum.StrEnum):
    """The ways in which a call to the platform can fail."""

    UNREACHABLE = "unreachable"
    UNKNOWN_OUTCOME = "unknown_outcome"
    REJECTED = "rejected"


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformFault:
    """A failed call; with ``UNKNOWN_OUTCOME`` it may have taken effect."""

    kind: FaultKind
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """A key with its value and the revisions that created and last modified it."""

    key: str
    value: bytes
    create_revision: int
    modify_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """A condition on a key's modification revision; 0 requires the key to be absent."""

    key: str
    modify_revision: int = ABSENT_KEY_REVISION


@dataclasses.dataclass(slots=True)
class Put:
    """A write of a key, attached to a lease unless ``lease_id`` is 0."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionOutcome:
    """Whether all conditions were met, and the service's revision afterwards."""

    succeeded: bool
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchEvent:
    """A change to a key; ``value`` is ``None`` if the key was deleted."""

    key: str
    value: bytes | None
    revision: int


class KeyValueService(abc.ABC):
    """The platform's key-value service: compare-and-swap, leases and watches."""

    @abc.abstractmethod
    async def get(self, key: str) -> Result[Record | None, PlatformFault]:
        """Return the record of a key, or ``None`` if the key does not exist."""

    @abc.abstractmethod
    async def list_prefix(
        self, prefix: str, *, after: str = "", limit: int = 0
    ) -> Result[tuple[Record, ...], PlatformFault]:
        """Return the records under a prefix, sorted by key.

        Only keys greater than ``after`` are returned, at most ``limit`` unless it is 0.
        """

    @abc.abstractmethod
    async def transact(
        self,
        *,
        conditions: tuple[Condition, ...] = (),
        puts: tuple[Put, ...] = (),
        deletes: tuple[str, ...] = (),
    ) -> Result[TransactionOutcome, PlatformFault]:
        """Apply all writes atomically if every condition is met, otherwise none."""

    @abc.abstractmethod
    async def grant_lease(self, *, seconds: float) -> Result[int, PlatformFault]:
        """Create a lease of the given duration and return its id."""

    @abc.abstractmethod
    async def keep_alive(self, lease_id: int) -> Result[float, PlatformFault]:
        """Renew a lease and return its remaining seconds, or 0 if it has expired."""

    @abc.abstractmethod
    async def revoke_lease(self, lease_id: int) -> Result[None, PlatformFault]:
        """Revoke a lease and delete the keys attached to it."""

    @abc.abstractmethod
    def watch(self, prefix: str) -> AsyncIterator[Result[WatchEvent, PlatformFault]]:
        """Yield changes to keys under a prefix until the connection fails."""


class InstanceList(abc.ABC):
    """The platform's list of live and leaving instances, which lags behind."""

    @abc.abstractmethod
    async def endpoints(self) -> Result[tuple[EndpointReport, ...], PlatformFault]:
        """Return a report for every endpoint on the list."""

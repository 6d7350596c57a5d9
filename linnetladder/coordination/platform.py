"""What coordination needs of the platform, behind abstract base classes.

Every call returns a `Result`. A `PlatformFault` says whether the call may have taken
effect: a write whose reply was lost has an unknown outcome and must be settled by
reading back, never by writing again blindly.
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
    """How a call to the platform failed."""

    UNREACHABLE = "unreachable"
    UNKNOWN_OUTCOME = "unknown_outcome"
    REJECTED = "rejected"


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformFault:
    """A failed call; only ``UNKNOWN_OUTCOME`` may have taken effect."""

    kind: FaultKind
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """A key with its value and the service's revisions of it."""

    key: str
    value: bytes
    create_revision: int
    modify_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Require that a key was last modified at a revision; 0 requires its absence."""

    key: str
    modify_revision: int = ABSENT_KEY_REVISION


@dataclasses.dataclass(slots=True)
class Put:
    """Set a key, bound to a lease unless ``lease_id`` is 0."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionOutcome:
    """Whether the conditions held, and the service's revision afterwards."""

    succeeded: bool
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchEvent:
    """A change of a key; ``value`` is ``None`` when the key was deleted."""

    key: str
    value: bytes | None
    revision: int


class KeyValueService(abc.ABC):
    """The platform's small key-value service: compare-and-swap, leases, watches."""

    @abc.abstractmethod
    async def get(self, key: str) -> Result[Record | None, PlatformFault]:
        """Return the record at a key, or ``None``."""

    @abc.abstractmethod
    async def list_prefix(
        self, prefix: str, *, after: str = "", limit: int = 0
    ) -> Result[tuple[Record, ...], PlatformFault]:
        """Return the records below a prefix in order of their keys."""

    @abc.abstractmethod
    async def transact(
        self,
        *,
        conditions: tuple[Condition, ...] = (),
        puts: tuple[Put, ...] = (),
        deletes: tuple[str, ...] = (),
    ) -> Result[TransactionOutcome, PlatformFault]:
        """Write all or nothing, if every condition holds."""

    @abc.abstractmethod
    async def grant_lease(self, *, seconds: float) -> Result[int, PlatformFault]:
        """Return the id of a new lease."""

    @abc.abstractmethod
    async def keep_alive(self, lease_id: int) -> Result[float, PlatformFault]:
        """Return the seconds a lease has left after renewal; 0 if it has lapsed."""

    @abc.abstractmethod
    async def revoke_lease(self, lease_id: int) -> Result[None, PlatformFault]:
        """End a lease and delete the keys that are bound to it."""

    @abc.abstractmethod
    def watch(self, prefix: str) -> AsyncIterator[Result[WatchEvent, PlatformFault]]:
        """Yield changes below a prefix until the connection fails."""


class InstanceList(abc.ABC):
    """The platform's lagging list of live and leaving instances."""

    @abc.abstractmethod
    async def endpoints(self) -> Result[tuple[EndpointReport, ...], PlatformFault]:
        """Return what the list says of every endpoint."""

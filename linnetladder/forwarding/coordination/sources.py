"""Interface to the platform's store: what forwarding reads and writes there."""

import abc
import dataclasses

from returns.result import Result

from linnetladder.coordination.platform import PlatformFault
from linnetladder.forwarding.state import (
    CrashingPart,
    EvacuatedDomain,
    Position,
    RolloutOrder,
    RolloutRecord,
    RoutingTable,
)
from linnetladder.state import EndpointReport

__all__ = ["DaemonAddress", "OperatorSource", "StoreContent", "StoreSnapshot"]

# The value of a key as text, and the revisions that created and last changed it.
StoreRow = tuple[str, int, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DaemonAddress:
    """The address at which a daemon receives its peers' messages."""

    instance: str
    incarnation: str
    failure_domain: str
    host: str
    port: int

    @property
    def tcp_address(self) -> str:
        """The address at which the daemon passes on calls of its peers."""
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreSnapshot:
    """The content of one read; ``table`` is ``None`` until one is configured.

    ``era`` is the era of the store in which it was read, 0 if it is unknown. While a
    change of the table is being received, ``table`` is the one before and
    ``table_is_current`` is false. ``table_problem`` tells why the newest table can't be
    read; ``table`` is the one before then, too.
    """

    table: RoutingTable | None
    orders: tuple[RolloutOrder, ...]
    records: tuple[RolloutRecord, ...]
    endpoints: tuple[EndpointReport, ...]
    daemons: tuple[DaemonAddress, ...]
    crashing_parts: tuple[CrashingPart, ...] = ()
    evacuated_domains: tuple[EvacuatedDomain, ...] = ()
    era: int = 0
    table_is_current: bool = True
    table_problem: str = ""

    @property
    def position(self) -> Position:
        """The newest position of the configuration, an order, record or evacuation."""
        items = (*self.orders, *self.records, *self.evacuated_domains)
        revisions = [item.revision for item in items]
        if self.table is not None:
            revisions.append(self.table.revision)
        return Position(era=self.era, revision=max(revisions, default=0))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreContent:
    """The content of one read as it is passed between daemons: rows by key.

    The values of ``large_keys`` are not passed on to daemons that read them themselves.
    """

    era: int
    rows: dict[str, StoreRow]
    large_keys: frozenset[str] = frozenset()


class OperatorSource(abc.ABC):
    """The platform's store, with its content decoded to the router's types.

    Reads are linearizable: the returned content was current at some time after the read
    began.
    """

    @abc.abstractmethod
    async def read(self) -> Result[StoreSnapshot, PlatformFault]:
        """Return what the operator, the endpoints and the daemons have written.

        A snapshot that contains endpoints of a roll-out's target also contains the
        order of that roll-out.
        """

    @abc.abstractmethod
    async def wait_for_table(self) -> Result[RoutingTable | None, PlatformFault]:
        """Wait for a change of the table and return the new one.

        ``None`` means that it may not have changed. The other content is not read.
        """

    @abc.abstractmethod
    def last_content(self) -> StoreContent:
        """Return the content of the last read, for `decode_content` of a peer."""

    @abc.abstractmethod
    def decode_content(self, content: StoreContent) -> StoreSnapshot | None:
        """Return what a peer read.

        It is ``None`` if it is of an era that has ended, or lacks the value of a large
        key that this daemon has not read yet.
        """

    @abc.abstractmethod
    async def write_rollout(self, record: RolloutRecord) -> Result[bool, PlatformFault]:
        """Write a roll-out's record if the stored revision is the record's.

        Return whether it was written; false means that another daemon wrote first.
        """

    @abc.abstractmethod
    async def register_daemon(
        self, address: DaemonAddress, *, seconds: float
    ) -> Result[None, PlatformFault]:
        """Register a daemon for a number of seconds, or renew its registration."""

    @abc.abstractmethod
    async def write_bills(
        self, *, incarnation: str, name: str, content: bytes
    ) -> Result[bool, PlatformFault]:
        """Create a block of bills of a daemon; return false if it already existed."""

    @abc.abstractmethod
    async def write_crashing_part(
        self, record: CrashingPart
    ) -> Result[bool, PlatformFault]:
        """Record that a request or a part of prompts crashes endpoints.

        Return false if it was already recorded.
        """

    @abc.abstractmethod
    async def delete_crashing_part(
        self, record: CrashingPart
    ) -> Result[bool, PlatformFault]:
        """Delete a record that was read; return false if it has changed since."""

    @abc.abstractmethod
    async def shared_secret(self, proposed: str) -> Result[str, PlatformFault]:
        """Return the secret that all daemons share, creating it if there is none."""

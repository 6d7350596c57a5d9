"""What forwarding reads from a platform, and the little that it writes there."""

import abc
import dataclasses

from returns.result import Result

from linnetladder.coordination.platform import PlatformFault
from linnetladder.forwarding.state import RolloutOrder, RolloutRecord, RoutingTable
from linnetladder.state import EndpointReport

__all__ = ["DaemonAddress", "OperatorSource", "StoreReading"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DaemonAddress:
    """Where a daemon takes messages of its peers."""

    instance: str
    incarnation: str
    failure_domain: str
    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreSnapshot:
    """All that a daemon follows; ``table`` is ``None`` until there is one."""

    table: RoutingTable | None
    orders: tuple[RolloutOrder, ...]
    records: tuple[RolloutRecord, ...]
    endpoints: tuple[EndpointReport, ...]
    daemons: tuple[DaemonAddress, ...]


class OperatorSource(abc.ABC):
    """The platform's store, read in the product's own types.

    Reads are linearizable: what they return was in force after they began.
    """

    @abc.abstractmethod
    async def read(self) -> Result[StoreSnapshot, PlatformFault]:
        """Return what the operator, the endpoints and the daemons have written.

        Endpoints of a version that is being brought in are not in a reading that
        lacks its order.
        """

    @abc.abstractmethod
    async def write_rollout(self, record: RolloutRecord) -> Result[bool, PlatformFault]:
        """Write a roll-out's state over the revision it names.

        Returns whether it was written; false means that somebody else was first.
        """

    @abc.abstractmethod
    async def register_daemon(
        self, address: DaemonAddress, *, seconds: float
    ) -> Result[None, PlatformFault]:
        """Register a daemon, or renew its registration."""

    @abc.abstractmethod
    async def write_bills(
        self, *, incarnation: str, name: str, content: bytes
    ) -> Result[bool, PlatformFault]:
        """Create one block of bills of a daemon; false if it stood already."""

    @abc.abstractmethod
    async def shared_secret(self, proposed: str) -> Result[str, PlatformFault]:
        """Return the secret that all daemons share, creating it if there is none."""

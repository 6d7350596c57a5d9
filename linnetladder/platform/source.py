"""The operator's documents and the daemons' own records in the platform's store."""

import orjson
import pydantic
from returns.result import Failure, Result, Success

from linnetladder.coordination.platform import Condition, PlatformFault, Put, Record
from linnetladder.forwarding.coordination.sources import (
    DaemonAddress,
    OperatorSource,
    StoreReading,
)
from linnetladder.forwarding.state import (
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
    RoutingTable,
)
from linnetladder.platform.documents import (
    ConfigurationModel,
    RolloutModel,
    ServerModel,
    StatusModel,
)
from linnetladder.platform.store import PlatformStore
from linnetladder.state import EndpointReport
from linnetladder.telemetry import Metrics, log_change

__all__ = ["PlatformSource"]

CONFIGURATION_KEY = "op/config"
ORDER_PREFIX = "op/rollout/"
STATUS_PREFIX = "status/rollout/"
SERVER_PREFIX = "servers/"
RECORD_PREFIX = "router/rollouts/"
DAEMON_PREFIX = "router/daemons/"
# Keys below this one are not read: one call returns all that lies above it, which is
# the operator's, the daemons' and the workers' keys in this order.
READ_AFTER = "op"
LEDGER_PREFIX = "linnetladder/ledger/"
SECRET_KEY = "linnetladder/peer-secret"

_RECORD = pydantic.TypeAdapter(RolloutRecord)
_DAEMON = pydantic.TypeAdapter(DaemonAddress)


class PlatformSource(OperatorSource):
    """Read and write through one client of the store."""

    def __init__(self, *, store: PlatformStore, metrics: Metrics):
        self.store = store
        self.metrics = metrics
        self.table: RoutingTable | None = None
        self.lease = 0
        self.unreadable: dict[str, int] = {}
        self.decoded: dict[str, tuple[int, object]] = {}

    async def read(self) -> Result[StoreReading, PlatformFault]:
        """Read everything that is followed, in one call as a rule."""
        listed = await self.store.list_prefix("", after=READ_AFTER)
        if isinstance(listed, Failure):
            return listed
        found: dict[str, list] = {
            prefix: []
            for prefix in (ORDER_PREFIX, RECORD_PREFIX, DAEMON_PREFIX, SERVER_PREFIX)
        }
        known, self.decoded = self.decoded, {}
        for record in listed.unwrap():
            self._decode(record, found, known)
        return Success(
            StoreReading(
                table=self.table,
                orders=tuple(found[ORDER_PREFIX]),
                records=tuple(found[RECORD_PREFIX]),
                endpoints=tuple(found[SERVER_PREFIX]),
                daemons=tuple(found[DAEMON_PREFIX]),
            )
        )

    async def write_rollout(self, record: RolloutRecord) -> Result[bool, PlatformFault]:
        """Write the daemons' record and the operator's status together."""
        key = RECORD_PREFIX + record.service
        status = StatusModel(State=_STATES[record.phase], Target=record.target)
        written = await self.store.transact(
            conditions=(Condition(key, record.revision),),
            puts=(
                Put(key, orjson.dumps(record)),
                Put(STATUS_PREFIX + record.service, status.model_dump_json().encode()),
            ),
        )
        return written.map(lambda outcome: outcome.succeeded)

    async def register_daemon(
        self, address: DaemonAddress, *, seconds: float
    ) -> Result[None, PlatformFault]:
        """Keep a lease alive, or take one and write the registration under it."""
        if self.lease:
            kept = await self.store.keep_alive(self.lease)
            if isinstance(kept, Failure) or kept.unwrap() > 0:
                return kept.map(lambda left: None)
        taken = await self.store.grant_lease(seconds=seconds)
        if isinstance(taken, Failure):
            return taken
        self.lease = taken.unwrap()
        put = Put(DAEMON_PREFIX + address.instance, orjson.dumps(address), self.lease)
        written = await self.store.transact(puts=(put,))
        if isinstance(written, Failure):
            self.lease = 0
        return written.map(lambda outcome: None)

    async def write_bills(
        self, *, incarnation: str, name: str, content: bytes
    ) -> Result[bool, PlatformFault]:
        """Create a block that nobody has written before."""
        key = f"{LEDGER_PREFIX}{incarnation}/{name}"
        written = await self.store.transact(
            conditions=(Condition(key),), puts=(Put(key, content),)
        )
        return written.map(lambda outcome: outcome.succeeded)

    async def shared_secret(self, proposed: str) -> Result[str, PlatformFault]:
        """Create the secret if there is none, then return the one that stands."""
        read = await self.store.get(SECRET_KEY)
        if isinstance(read, Failure):
            return read
        if read.unwrap() is None:
            put = Put(SECRET_KEY, proposed.encode())
            await self.store.transact(conditions=(Condition(SECRET_KEY),), puts=(put,))
            read = await self.store.get(SECRET_KEY)
        return read.map(lambda record: record.value.decode() if record else "")

    def _decode(
        self,
        record: Record,
        found: dict[str, list],
        known: dict[str, tuple[int, object]],
    ) -> None:
        """Decode one record into the list of its prefix, if it can be read.

        ``known`` is what the reading before had decoded, by key and revision.
        """
        try:
            if record.key == CONFIGURATION_KEY:
                self._decode_table(record)
                return
            for prefix, values in found.items():
                if not record.key.startswith(prefix):
                    continue
                entry = known.get(record.key)
                if entry is None or entry[0] != record.modify_revision:
                    entry = (record.modify_revision, _DECODERS[prefix](record))
                self.decoded[record.key] = entry
                values.append(entry[1])
                return
        except (ValueError, TypeError) as error:
            self._note_unreadable(record, error)

    def _decode_table(self, record: Record) -> None:
        """Decode the configuration, once per revision."""
        revision = record.modify_revision
        if self.table is None or self.table.revision < revision:
            model = ConfigurationModel.model_validate_json(record.value)
            self.table = model.decode(revision=revision)

    def _note_unreadable(self, record: Record, error: Exception) -> None:
        """Count an entry that can't be read and log it once per revision."""
        self.metrics.count("platform_faults", label="unreadable_entry")
        if self.unreadable.get(record.key) == record.modify_revision:
            return
        self.unreadable[record.key] = record.modify_revision
        log_change("entry can't be read", key=record.key, error=str(error)[:300])


def _decode_order(record: Record) -> RolloutOrder:
    model = RolloutModel.model_validate_json(record.value)
    return model.decode(revision=record.modify_revision)


def _decode_record(record: Record) -> RolloutRecord:
    fields = orjson.loads(record.value)
    fields["revision"] = record.modify_revision
    return _RECORD.validate_python(fields)


def _decode_server(record: Record) -> EndpointReport:
    model = ServerModel.model_validate_json(record.value)
    return model.decode(name=record.key.removeprefix(SERVER_PREFIX))


def _decode_daemon(record: Record) -> DaemonAddress:
    return _DAEMON.validate_json(record.value)


_DECODERS = {
    ORDER_PREFIX: _decode_order,
    RECORD_PREFIX: _decode_record,
    SERVER_PREFIX: _decode_server,
    DAEMON_PREFIX: _decode_daemon,
}

_STATES = {
    RolloutPhase.CANARY: "in_progress",
    RolloutPhase.RAMP: "in_progress",
    RolloutPhase.FULL: "in_progress",
    RolloutPhase.COMPLETE: "complete",
    RolloutPhase.ROLLED_BACK: "rolled_back",
}

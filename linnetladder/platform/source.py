"""Access to the operator's and the daemons' keys in the platform's store."""

import re
from collections.abc import Iterable

import orjson
import pydantic
from returns.result import Failure, Result, Success

from linnetladder.coordination.platform import (
    Condition,
    FaultKind,
    PlatformFault,
    Put,
    Record,
)
from linnetladder.forwarding.coordination.sources import (
    DaemonAddress,
    OperatorSource,
    StoreContent,
    StoreSnapshot,
)
from linnetladder.forwarding.state import (
    CrashingPart,
    EvacuatedDomain,
    Position,
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
    RoutingTable,
)
from linnetladder.platform.documents import (
    MAXIMUM_PORT,
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
EVACUATION_PREFIX = "op/evacuate/"
STATUS_PREFIX = "status/rollout/"
SERVER_PREFIX = "servers/"
RECORD_PREFIX = "router/rollouts/"
DAEMON_PREFIX = "router/daemons/"
CRASHING_PART_PREFIX = "router/crashing-parts/"
# One range call returns all keys after this one: the operator's, the daemons' and the
# workers' keys, in this order. Keys that sort before it are not needed.
LIST_AFTER_KEY = "op"
LEDGER_PREFIX = "linnetladder/ledger/"
# Workers are named in headers.
SERVER_NAME = re.compile(r"[!-~]+")
SECRET_KEY = "linnetladder/peer-secret"

_RECORD_ADAPTER = pydantic.TypeAdapter(RolloutRecord)
_DAEMON_ADAPTER = pydantic.TypeAdapter(DaemonAddress)
_CRASHING_PART_ADAPTER = pydantic.TypeAdapter(CrashingPart)


class PlatformSource(OperatorSource):
    """The operator's documents, registrations and records, over one store client.

    ``decoded`` caches the position and the decoded value of each key of the last read;
    ``table_position`` is the position of ``table``.
    ``lease_era`` is the era in which the lease ``lease_id`` was granted.
    ``unreadable_revisions`` maps a key to the revision whose error was logged.
    """

    def __init__(self, *, store: PlatformStore, metrics: Metrics):
        self.store = store
        self.metrics = metrics
        self.table: RoutingTable | None = None
        self.lease_id = 0
        self.lease_era: int | None = None
        self.unreadable_revisions: dict[str, int] = {}
        self.table_position = Position(era=0, revision=0)
        self.decoded: dict[str, tuple[Position, object]] = {}
        self.records: tuple[Record, ...] = ()

    async def read(self) -> Result[StoreSnapshot, PlatformFault]:
        """Read all keys after ``LIST_AFTER_KEY``, in one call if they fit on a page."""
        listed = await self.store.list_prefix("", after=LIST_AFTER_KEY)
        if isinstance(listed, Failure):
            return listed
        self.records = listed.unwrap()
        return Success(self._snapshot(self.records))

    def last_content(self) -> StoreContent:
        """Return the era and the records of the last read."""
        rows = {
            r.key: (r.value.decode("latin-1"), r.create_revision, r.modify_revision)
            for r in self.records
        }
        return StoreContent(era=self.store.era.current or 0, rows=rows)

    def decode_content(self, content: StoreContent) -> StoreSnapshot | None:
        """Return what a peer read, unless a newer era is known."""
        if content.era and not self.store.era.observe(content.era):
            return None
        records = (
            Record(
                key=key,
                value=value.encode("latin-1"),
                create_revision=created,
                modify_revision=modified,
            )
            for key, (value, created, modified) in sorted(content.rows.items())
        )
        return self._snapshot(records)

    def _snapshot(self, records: Iterable[Record]) -> StoreSnapshot:
        """Decode the records of one read; values that did not change are reused."""
        values_by_prefix: dict[str, list] = {prefix: [] for prefix in _DECODERS}
        era = self.store.era.current or 0
        if self.table_position.era != era:
            self.table = None
        previously_decoded, self.decoded = self.decoded, {}
        for record in records:
            self._decode(record, values_by_prefix, previously_decoded)
        return StoreSnapshot(
            table=self.table,
            orders=tuple(values_by_prefix[ORDER_PREFIX]),
            records=tuple(values_by_prefix[RECORD_PREFIX]),
            endpoints=tuple(values_by_prefix[SERVER_PREFIX]),
            daemons=tuple(values_by_prefix[DAEMON_PREFIX]),
            crashing_parts=tuple(values_by_prefix[CRASHING_PART_PREFIX]),
            evacuated_domains=tuple(values_by_prefix[EVACUATION_PREFIX]),
            era=era,
        )

    async def write_rollout(self, record: RolloutRecord) -> Result[bool, PlatformFault]:
        """Write the daemons' record and the operator's status in one transaction.

        A condition on a revision of another era could hold for another value.
        """
        if self._is_of_ended_era(record):
            detail = f"a roll-out record of era {record.era}, which has ended"
            return Failure(PlatformFault(FaultKind.REJECTED, detail))
        key = RECORD_PREFIX + record.service
        status = StatusModel(State=_OPERATOR_STATES[record.phase], Target=record.target)
        written = await self.store.transact(
            conditions=(Condition(key, record.revision),),
            puts=(
                Put(key, orjson.dumps(record)),
                Put(STATUS_PREFIX + record.service, status.model_dump_json().encode()),
            ),
        )
        return written.map(lambda outcome: outcome.succeeded)

    def _is_of_ended_era(self, record: RolloutRecord) -> bool:
        """Return whether a record is based on another era than the current one.

        A new record that names no era is not.
        """
        if not record.era and not record.revision:
            return False
        return record.era != (self.store.era.current or 0)

    async def register_daemon(
        self, address: DaemonAddress, *, seconds: float
    ) -> Result[None, PlatformFault]:
        """Renew the lease, or write the registration under a new one.

        A lease of an ended era is not renewed: its id may be that of another daemon's.
        """
        if self.lease_id and self.lease_era == self.store.era.current:
            renewed = await self.store.keep_alive(self.lease_id)
            if isinstance(renewed, Failure):
                return renewed.map(lambda remaining: None)
            if renewed.unwrap() > 0 and self.lease_era == self.store.era.current:
                return Success(None)
        granted = await self.store.grant_lease(seconds=seconds)
        if isinstance(granted, Failure):
            return granted
        self.lease_id, self.lease_era = granted.unwrap(), self.store.era.current
        put = Put(
            DAEMON_PREFIX + address.instance, orjson.dumps(address), self.lease_id
        )
        written = await self.store.transact(puts=(put,))
        if isinstance(written, Failure):
            self.lease_id = 0
        return written.map(lambda outcome: None)

    async def write_bills(
        self, *, incarnation: str, name: str, content: bytes
    ) -> Result[bool, PlatformFault]:
        """Create a block of bills unless it exists."""
        key = f"{LEDGER_PREFIX}{incarnation}/{name}"
        written = await self.store.transact(
            conditions=(Condition(key),), puts=(Put(key, content),)
        )
        return written.map(lambda outcome: outcome.succeeded)

    async def write_crashing_part(
        self, record: CrashingPart, *, seconds: float
    ) -> Result[bool, PlatformFault]:
        """Create the record under a lease of its own."""
        granted = await self.store.grant_lease(seconds=seconds)
        if isinstance(granted, Failure):
            return granted
        key = CRASHING_PART_PREFIX + record.part
        written = await self.store.transact(
            conditions=(Condition(key),),
            puts=(Put(key, orjson.dumps(record), granted.unwrap()),),
        )
        return written.map(lambda outcome: outcome.succeeded)

    async def delete_crashing_part(
        self, record: CrashingPart
    ) -> Result[bool, PlatformFault]:
        """Delete the record if it is still the one that was read."""
        key = CRASHING_PART_PREFIX + record.part
        deleted = await self.store.transact(
            conditions=(Condition(key, record.revision),), deletes=(key,)
        )
        return deleted.map(lambda outcome: outcome.succeeded)

    async def shared_secret(self, proposed: str) -> Result[str, PlatformFault]:
        """Return the stored secret; create it if there is none."""
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
        values_by_prefix: dict[str, list],
        previously_decoded: dict[str, tuple[Position, object]],
    ) -> None:
        """Decode one record into the list of its prefix; skip an invalid one.

        ``previously_decoded`` holds the position and the value of each key of the
        previous read, which are reused if the position is the same.
        """
        position = Position(self.store.era.current or 0, record.modify_revision)
        try:
            if record.key == CONFIGURATION_KEY:
                self._decode_table(record, position)
                return
            for prefix, values in values_by_prefix.items():
                if not record.key.startswith(prefix):
                    continue
                cached = previously_decoded.get(record.key)
                if cached is None or cached[0] != position:
                    cached = (position, _DECODERS[prefix](record))
                self.decoded[record.key] = cached
                values.append(cached[1])
                return
        except Exception as error:
            # Whatever another writer left there, the other entries hold.
            self._report_unreadable(record, error)

    def _decode_table(self, record: Record, position: Position) -> None:
        """Decode the configuration if its position is new."""
        if self.table is None or self.table_position < position:
            model = ConfigurationModel.model_validate_json(record.value)
            self.table = model.decode(revision=position.revision)
            self.table_position = position

    def _report_unreadable(self, record: Record, error: Exception) -> None:
        """Count a value that can't be decoded and log it once per revision."""
        self.metrics.count("platform_faults", label="unreadable_entry")
        if self.unreadable_revisions.get(record.key) == record.modify_revision:
            return
        self.unreadable_revisions[record.key] = record.modify_revision
        log_change("unreadable store entry", key=record.key, error=str(error)[:300])


def _decode_order(record: Record) -> RolloutOrder:
    model = RolloutModel.model_validate_json(record.value)
    return model.decode(revision=record.modify_revision)


def _decode_evacuation(record: Record) -> EvacuatedDomain:
    """Return the domain that the key names; the key's presence alone matters."""
    name = record.key.removeprefix(EVACUATION_PREFIX)
    if not name:
        raise ValueError("the key names no failure domain")
    return EvacuatedDomain(name, record.modify_revision)


def _decode_record(record: Record) -> RolloutRecord:
    return _RECORD_ADAPTER.validate_python(_fields_with_revision(record))


def _decode_crashing_part(record: Record) -> CrashingPart:
    return _CRASHING_PART_ADAPTER.validate_python(_fields_with_revision(record))


def _fields_with_revision(record: Record) -> dict:
    return {**orjson.loads(record.value), "revision": record.modify_revision}


def _decode_server(record: Record) -> EndpointReport:
    model = ServerModel.model_validate_json(record.value)
    name = record.key.removeprefix(SERVER_PREFIX)
    if not SERVER_NAME.fullmatch(name):
        raise ValueError("the key names no worker")
    return model.decode(name=name, revision=record.modify_revision)


def _decode_daemon(record: Record) -> DaemonAddress:
    address = _DAEMON_ADAPTER.validate_json(record.value)
    if not 0 < address.port <= MAXIMUM_PORT:
        raise ValueError(f"the port {address.port} is out of range")
    return address


_DECODERS = {
    ORDER_PREFIX: _decode_order,
    EVACUATION_PREFIX: _decode_evacuation,
    RECORD_PREFIX: _decode_record,
    SERVER_PREFIX: _decode_server,
    DAEMON_PREFIX: _decode_daemon,
    CRASHING_PART_PREFIX: _decode_crashing_part,
}

_OPERATOR_STATES = {
    RolloutPhase.CANARY: "in_progress",
    RolloutPhase.RAMP: "in_progress",
    RolloutPhase.FULL: "in_progress",
    RolloutPhase.COMPLETE: "complete",
    RolloutPhase.ROLLED_BACK: "rolled_back",
}

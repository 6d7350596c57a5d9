"""Access to the operator's and the daemons' keys in the platform's store.

A read returns all keys. A large configuration is left out of it: a second call asks
whether its revision is still the known one, and returns the value only if it isn't. So
a read costs what the fleet needs, and a change of a large configuration its size, once.
A pending call learns of a change as soon as it is written.
"""

import asyncio
import dataclasses
import ipaddress
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
from linnetladder.platform.configuration import read_configuration
from linnetladder.platform.documents import (
    RolloutModel,
    ServerModel,
    StatusModel,
)
from linnetladder.platform.fields import MAXIMUM_PORT, describe_errors
from linnetladder.platform.store import KeyChange, PlatformStore
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
# Larger configurations are not read again unless they have changed. Links of 5 Mbit/s
# carry one of this size, in Base64, in 70 ms.
LARGE_CONFIGURATION_BYTES = 32 * 1024
LEDGER_PREFIX = "linnetladder/ledger/"
# Workers are named in headers.
SERVER_NAME = re.compile(r"[!-~]+")
SECRET_KEY = "linnetladder/peer-secret"
# Longest text in the log on a value that can't be decoded.
MAXIMUM_PROBLEM_LENGTH = 300

_RECORD_ADAPTER = pydantic.TypeAdapter(RolloutRecord)
_DAEMON_ADAPTER = pydantic.TypeAdapter(DaemonAddress)
_CRASHING_PART_ADAPTER = pydantic.TypeAdapter(CrashingPart)


class PlatformSource(OperatorSource):
    """The operator's documents, registrations and records, over one store client.

    ``decoded`` caches the position and the decoded value of each key of the last read.
    ``table_position`` is the position of the newest configuration, and ``table`` its
    table, or the one before if ``table_problem`` tells why it can't be read.
    ``lease_era`` is the era in which the lease ``lease_id`` was granted.
    ``unreadable_revisions`` maps a key to the revision whose error was logged.
    ``configuration`` is the newest one of ``configuration_era``, as of the store's
    revision ``configuration_known_at``.
    """

    def __init__(self, *, store: PlatformStore, metrics: Metrics):
        self.store = store
        self.metrics = metrics
        self.table: RoutingTable | None = None
        self.table_problem = ""
        self.lease_id = 0
        self.lease_era: int | None = None
        self.unreadable_revisions: dict[str, int] = {}
        self.table_position = Position(era=0, revision=0)
        self.decoded: dict[str, tuple[Position, object]] = {}
        self.records: tuple[Record, ...] = ()
        self.configuration: Record | None = None
        self.configuration_era: int | None = None
        self.configuration_known_at = 0
        self.recheck_configuration = False

    async def read(self) -> Result[StoreSnapshot, PlatformFault]:
        """Read all keys, with a large configuration only if it has changed.

        While a change of the configuration is being received, the other keys alone are
        read, and the snapshot's table is not current.
        """
        if self.store.transfer is None:
            if self._large_configuration() is not None:
                return await self._read_apart()
            listed = await self.store.read_range(
                "", after=LIST_AFTER_KEY, exclusive=True
            )
            if isinstance(listed, Success):
                found = listed.unwrap()
                self._keep_configuration(found.records, known_at=found.revision)
                self.records = found.records
                return Success(self._snapshot(self.records))
            if self.store.transfer is None:
                return listed
        return await self._read_others()

    async def _read_apart(self) -> Result[StoreSnapshot, PlatformFault]:
        """Read the other keys, and the configuration if it has changed."""
        era = self.store.era.current
        listed, checked = await asyncio.gather(
            self._list_others(), self._check_configuration()
        )
        if isinstance(listed, Failure):
            return listed
        if self.store.era.current != era:
            detail = "the era of the store rose between two calls"
            return Failure(PlatformFault(FaultKind.UNREACHABLE, detail))
        return checked.map(
            lambda is_current: self._join(listed.unwrap(), table_is_current=is_current)
        )

    async def _read_others(self) -> Result[StoreSnapshot, PlatformFault]:
        """Read all keys except the configuration, of which a change is on its way."""
        listed = await self._list_others()
        return listed.map(lambda others: self._join(others, table_is_current=False))

    async def _list_others(self) -> Result[tuple[Record, ...], PlatformFault]:
        """Read all keys except the configuration."""
        listed = await self.store.read_range("", after=CONFIGURATION_KEY)
        return listed.map(lambda found: found.records)

    def _join(
        self, others: tuple[Record, ...], *, table_is_current: bool
    ) -> StoreSnapshot:
        """Return the snapshot of the newest configuration and the other records."""
        kept = self._kept_configuration()
        self.records = others if kept is None else (kept, *others)
        return dataclasses.replace(
            self._snapshot(self.records), table_is_current=table_is_current
        )

    def _kept_configuration(self) -> Record | None:
        """Return the newest configuration of the current era."""
        if self.configuration_era != (self.store.era.current or 0):
            return None
        return self.configuration

    def _large_configuration(self) -> Record | None:
        """Return the newest configuration if it is large."""
        kept = self._kept_configuration()
        if kept is None or len(kept.value) < LARGE_CONFIGURATION_BYTES:
            return None
        return kept

    def _keep_configuration(self, records: Iterable[Record], *, known_at: int) -> None:
        """Keep the configuration among some records, unless a newer one is known."""
        era = self.store.era.current or 0
        found = next((r for r in records if r.key == CONFIGURATION_KEY), None)
        kept = self._kept_configuration()
        if kept is not None and known_at < self.configuration_known_at:
            return
        self.configuration, self.configuration_era = found, era
        self.configuration_known_at = known_at

    def _apply_change(self, change: KeyChange) -> None:
        """Keep what a call found out about the configuration."""
        if not change.changed:
            self.configuration_known_at = max(
                self.configuration_known_at, change.revision
            )
            return
        found = (change.record,) if change.record is not None else ()
        self._keep_configuration(found, known_at=change.revision)

    async def _check_configuration(self) -> Result[bool, PlatformFault]:
        """Read the configuration if its revision is not the known one.

        Return false if another call is receiving a newer one.
        """
        kept, era = self._kept_configuration(), self.store.era.current
        revision = kept.modify_revision if kept is not None else 0
        checked = await self.store.read_if_changed(CONFIGURATION_KEY, revision)
        if isinstance(checked, Failure):
            return checked if self.store.transfer is None else Success(False)
        if self.store.era.current == era:
            self._apply_change(checked.unwrap())
        return Success(True)

    async def wait_for_table(self) -> Result[RoutingTable | None, PlatformFault]:
        """Wait until the configuration changes and return the table, or ``None``."""
        if self.store.transfer is not None:
            await self.store.transfer_ended.wait()
            return Success(None)
        kept, era = self._kept_configuration(), self.store.era.current
        if kept is None:
            # The first read has to succeed before.
            return Success(None)
        if self.recheck_configuration:
            # One copy, where a watch would return each that was written meanwhile.
            watched = await self._check_configuration()
            if isinstance(watched, Failure):
                return watched
            self.recheck_configuration = not watched.unwrap()
        else:
            watched = await self.store.wait_for_change(
                CONFIGURATION_KEY, after=self.configuration_known_at
            )
            if isinstance(watched, Failure):
                self.recheck_configuration = True
                return watched
            if self.store.era.current == era:
                self._apply_change(watched.unwrap())
        if self._kept_configuration() in (None, kept):
            return Success(None)
        self.recheck_configuration = self._large_configuration() is not None
        self._update_table(self._kept_configuration())
        return Success(None if self.table_problem else self.table)

    def last_content(self) -> StoreContent:
        """Return the era and the records of the last read."""
        rows = {
            r.key: (r.value.decode("latin-1"), r.create_revision, r.modify_revision)
            for r in self.records
        }
        large = {CONFIGURATION_KEY} if self._large_configuration() is not None else ()
        return StoreContent(
            era=self.store.era.current or 0, rows=rows, large_keys=frozenset(large)
        )

    def decode_content(self, content: StoreContent) -> StoreSnapshot | None:
        """Return what a peer read, unless a newer era is known."""
        if content.era and not self.store.era.observe(content.era):
            return None
        records = {
            key: Record(
                key=key,
                value=value.encode("latin-1"),
                create_revision=created,
                modify_revision=modified,
            )
            for key, (value, created, modified) in sorted(content.rows.items())
        }
        configuration = records.get(CONFIGURATION_KEY)
        if configuration is not None and not configuration.value:
            # A large one is not passed on; each daemon reads it from the store.
            kept = self._kept_configuration()
            if kept is None or kept.modify_revision != configuration.modify_revision:
                return None
            records[CONFIGURATION_KEY] = kept
        elif configuration is not None:
            self._keep_configuration(
                records.values(), known_at=configuration.modify_revision
            )
        return self._snapshot(records.values())

    def _snapshot(self, records: Iterable[Record]) -> StoreSnapshot:
        """Decode the records of one read; values that did not change are reused."""
        values_by_prefix: dict[str, list] = {prefix: [] for prefix in _DECODERS}
        era = self.store.era.current or 0
        self._forget_table_of_ended_era()
        previously_decoded, self.decoded = self.decoded, {}
        has_table = False
        for record in records:
            has_table = has_table or record.key == CONFIGURATION_KEY
            self._decode(record, values_by_prefix, previously_decoded)
        problem = self.table_problem
        if not has_table and self.table is not None:
            problem = "the store has none any more"
        return StoreSnapshot(
            table=self.table,
            table_problem=problem,
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
        self, record: CrashingPart
    ) -> Result[bool, PlatformFault]:
        """Create the record, which no lease ends: leases are shorter than findings."""
        key = CRASHING_PART_PREFIX + record.part
        written = await self.store.transact(
            conditions=(Condition(key),), puts=(Put(key, orjson.dumps(record)),)
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
        """Return the stored secret; write it if there is none, or none to be read."""
        read = await self.store.get(SECRET_KEY)
        if isinstance(read, Failure):
            return read
        record = read.unwrap()
        if not _read_secret(record):
            revision = record.modify_revision if record is not None else 0
            await self.store.transact(
                conditions=(Condition(SECRET_KEY, revision),),
                puts=(Put(SECRET_KEY, proposed.encode()),),
            )
            read = await self.store.get(SECRET_KEY)
        return read.map(_read_secret)

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
                self._decode_table(record)
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

    def _update_table(self, record: Record) -> None:
        """Decode a configuration that was read by itself."""
        self._forget_table_of_ended_era()
        try:
            self._decode_table(record)
        except Exception as error:
            self._report_unreadable(record, error)

    def _forget_table_of_ended_era(self) -> None:
        if self.table_position.era != (self.store.era.current or 0):
            self.table, self.table_problem = None, ""

    def _decode_table(self, record: Record) -> None:
        """Decode the configuration if its position is new; raise if it can't be."""
        position = Position(self.store.era.current or 0, record.modify_revision)
        is_known = self.table is not None or self.table_problem
        if is_known and position <= self.table_position:
            return
        self.table_position = position
        try:
            self.table = read_configuration(record.value, revision=position.revision)
            self.table_problem = ""
        except Exception as error:
            self.table_problem = _describe(error)
            raise

    def _report_unreadable(self, record: Record, error: Exception) -> None:
        """Count a value that can't be decoded and log it once per revision."""
        self.metrics.count("platform_faults", label="unreadable_entry")
        if self.unreadable_revisions.get(record.key) == record.modify_revision:
            return
        self.unreadable_revisions[record.key] = record.modify_revision
        log_change("unreadable store entry", key=record.key, error=_describe(error))


def _describe(error: Exception) -> str:
    """Return why a value can't be decoded, without quoting it."""
    if isinstance(error, pydantic.ValidationError):
        return "; ".join(describe_errors(error))[:MAXIMUM_PROBLEM_LENGTH]
    return str(error)[:MAXIMUM_PROBLEM_LENGTH]


def _read_secret(record: Record | None) -> str:
    """Return a secret, an empty text if there is none that can be read."""
    if record is None:
        return ""
    try:
        secret = record.value.decode()
    except UnicodeDecodeError as error:
        log_change("unreadable store entry", key=record.key, error=error.reason)
        return ""
    return secret if secret.strip() else ""


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
    if not address.instance:
        raise ValueError("the entry names no instance")
    ipaddress.IPv4Address(address.host)
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

"""`KeyValueService` over the HTTP interface of the platform's key-value store."""

import asyncio
import base64
import dataclasses
import math
from collections.abc import AsyncIterator
from typing import TypeVar
from urllib.parse import urlencode

import aiohttp
import orjson
import pydantic
from returns.result import Failure, Result, Success

from linnetladder.coordination.platform import (
    Condition,
    FaultKind,
    KeyValueService,
    PlatformFault,
    Put,
    Record,
    TransactionOutcome,
    WatchEvent,
)
from linnetladder.forwarding.coordination.store_era import StoreEra
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics, log_change
from linnetladder.transport.responses import StrictConnector, read_parts

__all__ = ["KeyChange", "PlatformStore", "RangeRead", "Transfer"]

# A healthy store answers within milliseconds, a slow one can take half a second.
CALL_TIMEOUT_SECONDS = 1.0
# An answer may take longer while this many bytes of it arrive within each time-out, a
# fortieth of what the slowest links carry.
MINIMUM_PROGRESS_BYTES = 16 * 1024
# A call whose own content is large may take longer by this rate, a fifth of that of the
# slowest links.
MINIMUM_UPLOAD_BYTES_PER_SECOND = 128 * 1024
# More than pages and transactions can hold, so a larger answer has no end.
MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024
# Answers from this size on take a noticeable part of a slow link.
LARGE_ANSWER_BYTES = 32 * 1024
WATCH_WAIT_SECONDS = 10.0
# The longest wait that the store allows.
CHANGE_WAIT_SECONDS = 30.0
MILLISECONDS_PER_SECOND = 1000
MAXIMUM_PAGES = 50
ERA_HEADER = "Store-Era"
JSON_CONTENT_TYPE = "application/json"

ResponseModel = TypeVar("ResponseModel", bound=pydantic.BaseModel)


class ItemModel(pydantic.BaseModel):
    """A key as the store returns it; ``Rev`` is the revision of its last change."""

    Key: str
    Value: str = ""
    Rev: int
    Created: int = 0
    Removed: bool = False

    def decode(self) -> Record:
        """Return the record; raise `ValueError` if its value is not base64."""
        return Record(
            key=self.Key,
            value=base64.b64decode(self.Value, validate=True),
            create_revision=self.Created,
            modify_revision=self.Rev,
        )


class RangeModel(pydantic.BaseModel):
    """A page of items; ``At`` is the store's current revision."""

    Entries: list[ItemModel] = []
    HasMore: bool = False
    At: int = 0


class KeyModel(ItemModel):
    """A single item; ``At`` is the store's current revision."""

    At: int = 0


class WatchModel(pydantic.BaseModel):
    """The changes since a revision; ``At`` is the store's current revision."""

    events: list[ItemModel] = []
    At: int = 0


class TransactionModel(pydantic.BaseModel):
    """The result of a transaction; ``Entries`` are given if a condition did not hold.

    ``Rev`` is the store's revision if it was applied, and ``At`` if it was not.
    """

    Rev: int = 0
    Entries: list[ItemModel] | None = None
    At: int = 0


class LeaseModel(pydantic.BaseModel):
    """A lease and its remaining time."""

    Lease: int = 0
    TtlMs: float = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RangeRead:
    """The records of a range; ``revision`` is the store's before they were read."""

    records: tuple[Record, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyChange:
    """What a call found out about a key as of the store's ``revision``.

    ``record`` is the new one if the key ``changed``, ``None`` if it was removed.
    """

    changed: bool
    revision: int
    record: Record | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class Transfer:
    """The bytes of an answer that is being received, and when it began, in seconds."""

    operation: str
    expected: int
    began: float
    received: int = 0
    reported_late: bool = False


class PlatformStore(KeyValueService):
    """A client of the store at a single address.

    ``transfer`` is the large answer of an exclusive call that is being received now.
    Calls that may return the same large value are exclusive: one that finds such an
    answer on its way is given up, as both would only share the link. An answer that
    takes longer than ``late_after`` seconds is reported as late.
    """

    def __init__(self, *, address: str, era: StoreEra, clock: Clock, metrics: Metrics):
        self.address = address
        self.era = era
        self.clock = clock
        self.metrics = metrics
        self.transfer: Transfer | None = None
        self.transfer_ended = asyncio.Event()
        self.late_after = math.inf
        self.session = aiohttp.ClientSession(
            connector=StrictConnector(limit=0, keepalive_timeout=30.0),
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def get(self, key: str) -> Result[Record | None, PlatformFault]:
        """Read one key."""
        path = "/-/kv-key?" + urlencode({"Key": key})
        read = await self._call("GET", path, ItemModel, not_found=None)
        if isinstance(read, Failure) or read.unwrap() is None:
            return read
        try:
            return Success(read.unwrap().decode())
        except ValueError as error:
            return Failure(PlatformFault(FaultKind.REJECTED, f"key {key!r}: {error}"))

    async def list_prefix(
        self, prefix: str, *, after: str = "", limit: int = 0
    ) -> Result[tuple[Record, ...], PlatformFault]:
        """Read all pages below a prefix; skip values that are not valid base64."""
        read = await self.read_range(prefix, after=after, limit=limit)
        return read.map(lambda found: found.records)

    async def read_range(
        self, prefix: str, *, after: str = "", limit: int = 0, exclusive: bool = False
    ) -> Result[RangeRead, PlatformFault]:
        """Read like `list_prefix`; also return a revision that the records include."""
        records: list[Record] = []
        era = revision = None
        for _ in range(MAXIMUM_PAGES):
            query = {"PathPrefix": prefix}
            if after:
                query["After"] = after
            path = "/-/kv-range?" + urlencode(query)
            read = await self._call("GET", path, RangeModel, exclusive=exclusive)
            if isinstance(read, Failure):
                return read
            if records and self.era.current != era:
                detail = "kv-range: the era of the store rose between two pages"
                return Failure(PlatformFault(FaultKind.UNREACHABLE, detail))
            era = self.era.current
            page = read.unwrap()
            revision = page.At if revision is None else revision
            records.extend(self._decode_all(page.Entries))
            if not page.HasMore or not page.Entries or 0 < limit <= len(records):
                break
            after = page.Entries[-1].Key
        found = tuple(records[:limit] if limit else records)
        return Success(RangeRead(records=found, revision=revision or 0))

    async def read_if_changed(
        self, key: str, revision: int
    ) -> Result[KeyChange, PlatformFault]:
        """Read a key, with its value only if its revision is another one.

        It is a transaction without writes whose condition is the revision.
        """
        body = {
            "ExpectRev": [{"Key": key, "Rev": revision}],
            "Writes": [],
            "Delete": [],
        }
        done = await self._call(
            "POST", "/-/kv-txn", TransactionModel, body=body, exclusive=True
        )
        if isinstance(done, Failure):
            return done
        answer = done.unwrap()
        if answer.Entries is None:
            return Success(KeyChange(changed=False, revision=answer.Rev))
        items = [item for item in answer.Entries if item.Key == key]
        if not items:
            return await self._read_changed(key)
        return self._decode_change(items[-1], answer.At)

    async def _read_changed(self, key: str) -> Result[KeyChange, PlatformFault]:
        """Read a key that has changed, whatever its revision."""
        path = "/-/kv-key?" + urlencode({"Key": key})
        read = await self._call(
            "GET", path, KeyModel, not_found=KeyModel(Key=key, Rev=0), exclusive=True
        )
        if isinstance(read, Failure):
            return read
        return self._decode_change(read.unwrap(), read.unwrap().At)

    async def wait_for_change(
        self, key: str, *, after: int
    ) -> Result[KeyChange, PlatformFault]:
        """Return the newest change of a key since a revision, once there is one.

        Without one the call ends after ``CHANGE_WAIT_SECONDS``. It is rejected if the
        store has no longer kept the changes since that revision.
        """
        query = {
            "PathPrefix": key,
            "After": after,
            "WaitMs": int(CHANGE_WAIT_SECONDS * MILLISECONDS_PER_SECOND),
        }
        watched = await self._call(
            "GET",
            "/-/kv-watch?" + urlencode(query),
            WatchModel,
            seconds=CHANGE_WAIT_SECONDS + CALL_TIMEOUT_SECONDS,
            exclusive=True,
        )
        if isinstance(watched, Failure):
            return watched
        answer = watched.unwrap()
        items = [item for item in answer.events if item.Key == key]
        if not items:
            return Success(KeyChange(changed=False, revision=answer.At))
        return self._decode_change(items[-1], answer.At)

    def _decode_change(
        self, item: ItemModel, revision: int
    ) -> Result[KeyChange, PlatformFault]:
        revision = max(revision, item.Rev)
        if item.Removed or not item.Rev:
            return Success(KeyChange(changed=True, revision=revision))
        try:
            record = item.decode()
        except ValueError as error:
            detail = f"key {item.Key!r}: {error}"
            return Failure(PlatformFault(FaultKind.REJECTED, detail))
        return Success(KeyChange(changed=True, revision=revision, record=record))

    async def transact(
        self,
        *,
        conditions: tuple[Condition, ...] = (),
        puts: tuple[Put, ...] = (),
        deletes: tuple[str, ...] = (),
    ) -> Result[TransactionOutcome, PlatformFault]:
        """Apply all writes and deletes if every condition holds, else none."""
        body = {
            "ExpectRev": [{"Key": c.key, "Rev": c.modify_revision} for c in conditions],
            "Writes": [_encode_put(put) for put in puts],
            "Delete": list(deletes),
        }
        done = await self._call("POST", "/-/kv-txn", TransactionModel, body=body)
        if isinstance(done, Failure):
            return done
        answer = done.unwrap()
        if answer.Entries is not None:
            return Success(TransactionOutcome(False, 0))
        return Success(TransactionOutcome(True, answer.Rev))

    async def grant_lease(self, *, seconds: float) -> Result[int, PlatformFault]:
        """Return the id of a new lease."""
        body = {"TtlMs": int(seconds * MILLISECONDS_PER_SECOND)}
        granted = await self._call("POST", "/-/kv-lease", LeaseModel, body=body)
        return granted.map(lambda answer: answer.Lease)

    async def keep_alive(self, lease_id: int) -> Result[float, PlatformFault]:
        """Return the remaining seconds of a renewed lease, 0 if it has expired."""
        renewed = await self._call(
            "POST", f"/-/kv-keep/{lease_id}", LeaseModel, not_found=LeaseModel()
        )
        return renewed.map(lambda answer: answer.TtlMs / MILLISECONDS_PER_SECOND)

    async def revoke_lease(self, lease_id: int) -> Result[None, PlatformFault]:
        """End a lease; one that has already ended is no error."""
        path = f"/-/kv-lease-end/{lease_id}"
        ended = await self._call("DELETE", path, LeaseModel, not_found=LeaseModel())
        return ended.map(lambda answer: None)

    async def watch(
        self, prefix: str
    ) -> AsyncIterator[Result[WatchEvent, PlatformFault]]:
        """Yield changes after the current revision until a call fails."""
        initial = await self._call(
            "GET", "/-/kv-range?" + urlencode({"PathPrefix": prefix}), RangeModel
        )
        if isinstance(initial, Failure):
            yield initial
            return
        after = initial.unwrap().At
        while True:
            query = {
                "PathPrefix": prefix,
                "After": after,
                "WaitMs": int(WATCH_WAIT_SECONDS * MILLISECONDS_PER_SECOND),
            }
            path = "/-/kv-watch?" + urlencode(query)
            polled = await self._call(
                "GET",
                path,
                WatchModel,
                seconds=WATCH_WAIT_SECONDS + CALL_TIMEOUT_SECONDS,
            )
            if isinstance(polled, Failure):
                yield polled
                return
            after = max(after, polled.unwrap().At)
            for item in polled.unwrap().events:
                value = None if item.Removed else item.decode().value
                yield Success(WatchEvent(key=item.Key, value=value, revision=item.Rev))

    def _decode_all(self, items: list[ItemModel]) -> list[Record]:
        records = []
        for item in items:
            try:
                records.append(item.decode())
            except ValueError:
                self.metrics.count("platform_faults", label="unreadable_value")
        return records

    async def _call(
        self,
        method: str,
        path: str,
        model: type[ResponseModel],
        *,
        body: dict | None = None,
        not_found: ResponseModel | None = None,
        seconds: float = CALL_TIMEOUT_SECONDS,
        exclusive: bool = False,
    ) -> Result[ResponseModel | None, PlatformFault]:
        """Make one call, whose answer begins within some seconds and then progresses.

        The time for the answer's beginning grows with the size of the call's content.
        Return ``not_found`` for status 404. A read without an answer is a fault of kind
        ``UNREACHABLE``. A write without an answer may have been applied and is a fault
        of kind ``UNKNOWN_OUTCOME``, unless its connection was never established.
        """
        began = self.clock.monotonic()
        operation = path.removeprefix("/-/").partition("?")[0].partition("/")[0]
        self.metrics.count("platform_calls", label=operation)
        fault_kind = (
            FaultKind.UNREACHABLE if method == "GET" else FaultKind.UNKNOWN_OUTCOME
        )
        url = f"http://{self.address}{path}"
        data = headers = None
        if body is not None:
            data = orjson.dumps(body)
            headers = {"Content-Type": JSON_CONTENT_TYPE}
            seconds += len(data) / MINIMUM_UPLOAD_BYTES_PER_SECOND
        try:
            async with asyncio.timeout(seconds) as limit:
                async with self.session.request(
                    method, url, data=data, headers=headers
                ) as response:
                    content = await self._receive(operation, response, limit, exclusive)
                    era = response.headers.get(ERA_HEADER, "")
        except aiohttp.ClientConnectorError as error:
            return Failure(PlatformFault(FaultKind.UNREACHABLE, repr(error)))
        except TimeoutError:
            waited = self.clock.monotonic() - began
            detail = f"{operation}: no answer, or no progress, after {waited:.1f} s"
            return Failure(PlatformFault(fault_kind, detail))
        except (aiohttp.ClientError, OSError) as error:
            return Failure(PlatformFault(fault_kind, f"{operation}: {error!r}"))
        finally:
            self.metrics.record("platform_seconds", self.clock.monotonic() - began)
        if content is None:
            detail = f"{operation}: given up for an answer that is on its way"
            return Failure(PlatformFault(FaultKind.UNREACHABLE, detail))
        if era.isdecimal() and not self.era.observe(int(era)):
            detail = f"{operation}: an answer of era {era}, which has ended"
            return Failure(PlatformFault(fault_kind, detail))
        return _decode_response(operation, response.status, content, model, not_found)

    async def _receive(
        self,
        operation: str,
        response: aiohttp.ClientResponse,
        limit: asyncio.Timeout,
        exclusive: bool,
    ) -> bytes | None:
        """Return the body; the limit is prolonged as long as the body progresses.

        An exclusive call returns ``None`` if another one is receiving a large answer.
        """
        transfer = Transfer(
            operation=operation,
            expected=response.content_length or 0,
            began=self.clock.monotonic(),
        )
        is_exclusive = exclusive and transfer.expected >= LARGE_ANSWER_BYTES
        if is_exclusive:
            if self.transfer is not None:
                self.metrics.count("platform_transfers", label="given_up")
                response.close()
                return None
            self.transfer = transfer
            self.transfer_ended.clear()
        try:
            return await self._receive_parts(transfer, response, limit)
        finally:
            self.metrics.count("platform_bytes", transfer.received, label="received")
            if is_exclusive:
                self.transfer = None
                self.transfer_ended.set()

    async def _receive_parts(
        self,
        transfer: Transfer,
        response: aiohttp.ClientResponse,
        limit: asyncio.Timeout,
    ) -> bytes:
        loop = asyncio.get_running_loop()
        limit.reschedule(min(limit.when(), loop.time() + CALL_TIMEOUT_SECONDS))
        parts = []
        received_in_time = 0
        async for part in read_parts(response, maximum_bytes=MAXIMUM_ANSWER_BYTES):
            parts.append(part)
            transfer.received += len(part)
            received_in_time += len(part)
            if received_in_time >= MINIMUM_PROGRESS_BYTES:
                received_in_time = 0
                limit.reschedule(loop.time() + CALL_TIMEOUT_SECONDS)
                self._report_if_late(transfer)
        if transfer.reported_late:
            self._log_transfer("late content of the store received", transfer)
        return b"".join(parts)

    def _report_if_late(self, transfer: Transfer) -> None:
        """Log once that an answer takes longer than a change may take."""
        seconds = self.clock.monotonic() - transfer.began
        if transfer.reported_late or seconds <= self.late_after:
            return
        transfer.reported_late = True
        self.metrics.count("platform_transfers", label="late")
        self._log_transfer("content of the store is late", transfer)

    def _log_transfer(self, message: str, transfer: Transfer) -> None:
        log_change(
            message,
            operation=transfer.operation,
            received_bytes=transfer.received,
            expected_bytes=transfer.expected,
            seconds=round(self.clock.monotonic() - transfer.began, 2),
        )


def _decode_response(
    operation: str,
    status: int,
    content: bytes,
    model: type[ResponseModel],
    not_found: ResponseModel | None,
) -> Result[ResponseModel | None, PlatformFault]:
    """Return the decoded content of an answer, or the fault that it reports."""
    if status == 404 and (not_found is not None or operation == "kv-key"):
        return Success(not_found)
    if status in (429, 503):
        return Failure(PlatformFault(FaultKind.UNREACHABLE, f"{operation}: {status}"))
    condition_failed = status == 412 and model is TransactionModel
    if status != 200 and not condition_failed:
        detail = f"{operation}: {status} {content[:100]!r}"
        return Failure(PlatformFault(FaultKind.REJECTED, detail))
    try:
        answer = model.model_validate_json(content)
        if condition_failed:
            answer.Entries = answer.Entries or []
        return Success(answer)
    except pydantic.ValidationError as error:
        return Failure(PlatformFault(FaultKind.REJECTED, f"{operation}: {error}"))


def _encode_put(put: Put) -> dict:
    return {
        "Key": put.key,
        "Value": base64.b64encode(put.value).decode(),
        "Lease": put.lease_id,
    }

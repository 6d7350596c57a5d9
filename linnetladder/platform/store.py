"""`KeyValueService` over the HTTP interface of the platform's key-value store."""

import asyncio
import base64
from collections.abc import AsyncIterator
from typing import TypeVar
from urllib.parse import urlencode

import aiohttp
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
from linnetladder.telemetry import Metrics

__all__ = ["PlatformStore"]

# A healthy store answers within milliseconds, a slow one can take half a second.
CALL_TIMEOUT_SECONDS = 1.0
WATCH_WAIT_SECONDS = 10.0
MILLISECONDS_PER_SECOND = 1000
MAXIMUM_PAGES = 50
ERA_HEADER = "Store-Era"

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


class WatchModel(pydantic.BaseModel):
    """The changes since a revision; ``At`` is the store's current revision."""

    events: list[ItemModel] = []
    At: int = 0


class TransactionModel(pydantic.BaseModel):
    """The result of a transaction that was applied."""

    Rev: int = 0


class LeaseModel(pydantic.BaseModel):
    """A lease and its remaining time."""

    Lease: int = 0
    TtlMs: float = 0


class PlatformStore(KeyValueService):
    """A client of the store at a single address."""

    def __init__(self, *, address: str, era: StoreEra, clock: Clock, metrics: Metrics):
        self.address = address
        self.era = era
        self.clock = clock
        self.metrics = metrics
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30.0),
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
        records: list[Record] = []
        era = None
        for _ in range(MAXIMUM_PAGES):
            query = {"PathPrefix": prefix}
            if after:
                query["After"] = after
            path = "/-/kv-range?" + urlencode(query)
            read = await self._call("GET", path, RangeModel)
            if isinstance(read, Failure):
                return read
            if records and self.era.current != era:
                detail = "kv-range: the era of the store rose between two pages"
                return Failure(PlatformFault(FaultKind.UNREACHABLE, detail))
            era = self.era.current
            page = read.unwrap()
            records.extend(self._decode_all(page.Entries))
            if not page.HasMore or not page.Entries or 0 < limit <= len(records):
                break
            after = page.Entries[-1].Key
        return Success(tuple(records[:limit] if limit else records))

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
        if answer is None:
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
    ) -> Result[ResponseModel | None, PlatformFault]:
        """Make one call.

        Return ``not_found`` for status 404 and ``None`` if a condition did not hold. A
        read without an answer is a fault of kind ``UNREACHABLE``. A write without an
        answer may have been applied and is a fault of kind ``UNKNOWN_OUTCOME``, unless
        its connection was never established.
        """
        began = self.clock.monotonic()
        operation = path.removeprefix("/-/").partition("?")[0].partition("/")[0]
        self.metrics.count("platform_calls", label=operation)
        fault_kind = (
            FaultKind.UNREACHABLE if method == "GET" else FaultKind.UNKNOWN_OUTCOME
        )
        url = f"http://{self.address}{path}"
        try:
            async with asyncio.timeout(seconds):
                async with self.session.request(method, url, json=body) as response:
                    content = await response.read()
                    era = response.headers.get(ERA_HEADER, "")
                    self.metrics.count("platform_bytes", len(content), label="received")
        except aiohttp.ClientConnectorError as error:
            return Failure(PlatformFault(FaultKind.UNREACHABLE, repr(error)))
        except TimeoutError:
            return Failure(
                PlatformFault(fault_kind, f"{operation}: no answer in {seconds:g} s")
            )
        except (aiohttp.ClientError, OSError) as error:
            return Failure(PlatformFault(fault_kind, f"{operation}: {error!r}"))
        finally:
            self.metrics.record("platform_seconds", self.clock.monotonic() - began)
        if era.isdecimal() and not self.era.observe(int(era)):
            detail = f"{operation}: an answer of era {era}, which has ended"
            return Failure(PlatformFault(fault_kind, detail))
        return _decode_response(operation, response.status, content, model, not_found)


def _decode_response(
    operation: str,
    status: int,
    content: bytes,
    model: type[ResponseModel],
    not_found: ResponseModel | None,
) -> Result[ResponseModel | None, PlatformFault]:
    """Return the decoded content of an answer, or the fault that it reports."""
    if status == 412:
        return Success(None)
    if status == 404 and (not_found is not None or operation == "kv-key"):
        return Success(not_found)
    if status in (429, 503):
        return Failure(PlatformFault(FaultKind.UNREACHABLE, f"{operation}: {status}"))
    if status != 200:
        detail = f"{operation}: {status} {content[:100]!r}"
        return Failure(PlatformFault(FaultKind.REJECTED, detail))
    try:
        return Success(model.model_validate_json(content))
    except pydantic.ValidationError as error:
        return Failure(PlatformFault(FaultKind.REJECTED, f"{operation}: {error}"))


def _encode_put(put: Put) -> dict:
    return {
        "Key": put.key,
        "Value": base64.b64encode(put.value).decode(),
        "Lease": put.lease_id,
    }

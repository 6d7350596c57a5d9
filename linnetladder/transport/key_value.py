"""A client for the platform's key-value service over etcd's JSON gateway."""

import asyncio
from collections.abc import AsyncIterator
from typing import TypeVar

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
from linnetladder.protocol import etcd
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics
from linnetladder.transport.responses import StrictConnector, read_body

__all__ = ["EtcdKeyValue"]

READ_PATHS = frozenset({"/v3/kv/range"})
# A watch event arrives as one line, and aiohttp limits lines by the read buffer's size.
WATCH_BUFFER_BYTES = 4 * 1024 * 1024
MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024

Answer = TypeVar("Answer", bound=pydantic.BaseModel)


class EtcdKeyValue(KeyValueService):
    """Call the service at one of its URLs, and fail over to the next if unreachable."""

    def __init__(
        self,
        *,
        urls: tuple[str, ...],
        timeout_seconds: float,
        clock: Clock,
        metrics: Metrics,
    ):
        self.urls = urls
        self.timeout_seconds = timeout_seconds
        self.clock = clock
        self.metrics = metrics
        self.preferred_index = 0
        connector = StrictConnector(limit=0)
        self.session = aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=None),
            read_bufsize=WATCH_BUFFER_BYTES,
        )

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def get(self, key: str) -> Result[Record | None, PlatformFault]:
        """Return the record of one key, or ``None`` if the key does not exist."""
        body = etcd.range_body(key, prefix=False)
        answered = await self._call("/v3/kv/range", body, etcd.RangeAnswer)
        if isinstance(answered, Failure):
            return answered
        records = answered.unwrap().records()
        return Success(records[0] if records else None)

    async def list_prefix(
        self, prefix: str, *, after: str = "", limit: int = 0
    ) -> Result[tuple[Record, ...], PlatformFault]:
        """Return the records below a prefix."""
        body = etcd.range_body(prefix, prefix=True, after=after, limit=limit)
        answered = await self._call("/v3/kv/range", body, etcd.RangeAnswer)
        if isinstance(answered, Failure):
            return answered
        return Success(answered.unwrap().records())

    async def transact(
        self,
        *,
        conditions: tuple[Condition, ...] = (),
        puts: tuple[Put, ...] = (),
        deletes: tuple[str, ...] = (),
    ) -> Result[TransactionOutcome, PlatformFault]:
        """Write all or nothing, if every condition holds."""
        body = etcd.transaction_body(conditions=conditions, puts=puts, deletes=deletes)
        answered = await self._call("/v3/kv/txn", body, etcd.TransactionAnswer)
        if isinstance(answered, Failure):
            return answered
        answer = answered.unwrap()
        return Success(TransactionOutcome(answer.succeeded, answer.header.revision))

    async def grant_lease(self, *, seconds: float) -> Result[int, PlatformFault]:
        """Grant a lease of whole seconds, at least 1 s, and return its id."""
        body = {"TTL": str(max(round(seconds), 1))}
        answered = await self._call("/v3/lease/grant", body, etcd.LeaseAnswer)
        if isinstance(answered, Failure):
            return answered
        return Success(answered.unwrap().ID)

    async def keep_alive(self, lease_id: int) -> Result[float, PlatformFault]:
        """Renew a lease and return its remaining seconds; 0 if it has expired."""
        body = {"ID": str(lease_id)}
        answered = await self._call("/v3/lease/keepalive", body, etcd.KeepAliveAnswer)
        if isinstance(answered, Failure):
            return answered
        return Success(float(answered.unwrap().result.TTL))

    async def revoke_lease(self, lease_id: int) -> Result[None, PlatformFault]:
        """Revoke a lease."""
        body = {"ID": str(lease_id)}
        answered = await self._call("/v3/lease/revoke", body, etcd.TransactionAnswer)
        if isinstance(answered, Failure):
            return answered
        return Success(None)

    async def watch(
        self, prefix: str
    ) -> AsyncIterator[Result[WatchEvent, PlatformFault]]:
        """Yield changes below a prefix, and a fault when the connection fails."""
        self.metrics.count("platform_calls", label="watch")
        url = self.urls[self.preferred_index] + "/v3/watch"
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self.timeout_seconds, sock_read=None
        )
        try:
            async with self.session.post(
                url, json=etcd.watch_body(prefix), timeout=timeout
            ) as response:
                async for line in response.content:
                    answer = etcd.WatchAnswer.model_validate_json(line)
                    for event in answer.watch_events():
                        yield Success(event)
        except (aiohttp.ClientError, OSError, ValueError, TimeoutError) as error:
            yield Failure(self._fault(FaultKind.UNREACHABLE, repr(error)))

    async def _call(
        self, path: str, body: dict, answer: type[Answer]
    ) -> Result[Answer, PlatformFault]:
        """Call the preferred URL, and the next ones while the fault is ``UNREACHABLE``.

        A write whose reply was lost is not sent again, since it may have taken effect.
        """
        started = self.clock.monotonic()
        self.metrics.count("platform_calls", label=path.rpartition("/")[2])
        outcome: Result[Answer, PlatformFault] = Failure(
            PlatformFault(FaultKind.UNREACHABLE, "no URL is configured")
        )
        for _ in self.urls:
            outcome = await self._post(path, body, answer)
            unreachable = (
                isinstance(outcome, Failure)
                and outcome.failure().kind is FaultKind.UNREACHABLE
            )
            if not unreachable:
                break
            self.preferred_index = (self.preferred_index + 1) % len(self.urls)
        if isinstance(outcome, Failure):
            self.metrics.count("platform_faults", label=outcome.failure().kind)
        self.metrics.record("platform_seconds", self.clock.monotonic() - started)
        return outcome

    async def _post(
        self, path: str, body: dict, answer: type[Answer]
    ) -> Result[Answer, PlatformFault]:
        content = orjson.dumps(body)
        url = self.urls[self.preferred_index] + path
        lost_reply_kind = (
            FaultKind.UNREACHABLE if path in READ_PATHS else FaultKind.UNKNOWN_OUTCOME
        )
        try:
            async with asyncio.timeout(self.timeout_seconds):
                async with self.session.post(url, data=content) as response:
                    received = await read_body(
                        response, maximum_bytes=MAXIMUM_ANSWER_BYTES
                    )
        except aiohttp.ClientConnectorError as error:
            return Failure(self._fault(FaultKind.UNREACHABLE, repr(error)))
        except TimeoutError:
            detail = f"{url} gave no answer within {self.timeout_seconds:g} s"
            return Failure(self._fault(lost_reply_kind, detail))
        except (aiohttp.ClientError, OSError) as error:
            return Failure(self._fault(lost_reply_kind, repr(error)))
        self.metrics.count("platform_bytes", len(content), label="sent")
        self.metrics.count("platform_bytes", len(received), label="received")
        if response.status >= 500:
            detail = f"{url} answered {response.status}"
            return Failure(self._fault(lost_reply_kind, detail))
        if response.status != 200:
            detail = f"{url} answered {response.status}: {received[:200]!r}"
            return Failure(self._fault(FaultKind.REJECTED, detail))
        try:
            return Success(answer.model_validate_json(received))
        except pydantic.ValidationError as error:
            return Failure(
                self._fault(lost_reply_kind, f"{url} answered nonsense: {error}")
            )

    def _fault(self, kind: FaultKind, detail: str) -> PlatformFault:
        return PlatformFault(kind, detail)

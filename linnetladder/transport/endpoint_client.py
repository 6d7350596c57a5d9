"""Calls to endpoints over HTTP, with validation of their answers."""

import asyncio
import dataclasses
import errno
from collections.abc import AsyncIterator

import aiohttp
import pydantic
from returns.result import Failure, Result, Success
from yarl import URL

from linnetladder.coordination.attempts.endpoint_client import (
    EndpointCall,
    EndpointClient,
    EndpointFault,
    EndpointFaultKind,
    RequestStatus,
    StreamAnswer,
    StreamEvent,
    Usage,
    WholeAnswer,
)
from linnetladder.coordination.membership.discovery import LoadSource
from linnetladder.errors import Ran
from linnetladder.protocol import AnswerCheck, LoadBody, build_endpoint_report
from linnetladder.protocol import headers as header_names
from linnetladder.protocol.engines import split_events
from linnetladder.state import Clock, Endpoint, EndpointReport
from linnetladder.transport.connections import ConnectionPool, ConnectionPools
from linnetladder.transport.responses import OversizedBodyError, read_body

__all__ = ["HttpEndpointClient"]

MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024
MAXIMUM_EVENT_BYTES = 1024 * 1024
MAXIMUM_STATUS_BYTES = 64 * 1024
STATUS_TIMEOUT_SECONDS = 0.5
CANCEL_TIMEOUT_SECONDS = 0.5
MILLISECONDS_PER_SECOND = 1000
CONNECTION_RESET_ERRNOS = frozenset({errno.ECONNRESET, errno.EPIPE, errno.ECONNREFUSED})
BODILESS_METHODS = frozenset({"GET", "HEAD"})

_STATUS_ADAPTER = pydantic.TypeAdapter(dict[str, str])


class HttpStream(StreamAnswer):
    """The server-sent events of one response.

    The first ``events_to_skip`` events are dropped, since the caller has them already.
    Closing the stream releases its connection.
    """

    def __init__(
        self,
        *,
        response: aiohttp.ClientResponse,
        connections: ConnectionPool | None,
        check: AnswerCheck,
        call: EndpointCall,
        silence_seconds: float,
        clock: Clock,
        events_to_skip: int,
    ):
        self.response = response
        self.connections = connections
        self.check = check
        self.call = call
        self.silence_seconds = silence_seconds
        self.clock = clock
        self.events_to_skip = events_to_skip
        self.closed = False

    async def events(
        self,
    ) -> AsyncIterator[Result[list[StreamEvent], EndpointFault]]:
        """Yield validated events in the batches in which they arrived."""
        buffer = b""
        while True:
            received = await self._read()
            if isinstance(received, Failure):
                yield received
                return
            data = received.unwrap()
            if not data:
                yield Failure(self._fault(EndpointFaultKind.CUT, "ended early"))
                return
            raw_events, buffer = split_events(buffer + data if buffer else data)
            if len(buffer) > MAXIMUM_EVENT_BYTES:
                await self.close()
                reason = f"has an event over {MAXIMUM_EVENT_BYTES} bytes"
                yield Failure(self._fault(EndpointFaultKind.CUT, reason))
                return
            batch: list[StreamEvent] = []
            for raw in raw_events:
                checked = self.check.event(raw)
                if isinstance(checked, Failure):
                    await self.close()
                    yield checked
                    return
                self._append_unless_skipped(checked.unwrap(), batch)
            if batch:
                ended = batch[-1].end
                yield Success(batch)
                if ended:
                    await self._finish()
                    return

    async def close(self) -> None:
        """Close the connection unless the stream has ended."""
        if not self.closed:
            self.closed = True
            self.response.close()
            self._release_connections()

    def _append_unless_skipped(
        self, event: StreamEvent, batch: list[StreamEvent]
    ) -> None:
        """Add an event to the batch unless it is one of the events to skip."""
        if self.events_to_skip > 0 and not event.end:
            self.events_to_skip -= 1
            return
        batch.append(event)

    async def _read(self) -> Result[bytes, EndpointFault]:
        remaining = self.call.deadline - self.clock.monotonic()
        timeout_seconds = min(self.silence_seconds, remaining)
        try:
            async with asyncio.timeout(max(timeout_seconds, 0.0)):
                return Success(await self.response.content.readany())
        except TimeoutError:
            await self.close()
            if remaining <= self.silence_seconds:
                kind, reason = EndpointFaultKind.DEADLINE, "passed the deadline"
            else:
                kind, reason = EndpointFaultKind.SILENT, "went silent"
            return Failure(self._fault(kind, reason))
        except (aiohttp.ClientError, OSError) as error:
            await self.close()
            fault = self._fault(EndpointFaultKind.BROKEN, f"broke: {error!r}")
            return Failure(fault)

    async def _finish(self) -> None:
        if not self.closed:
            self.closed = True
            self.response.release()
            self._release_connections()

    def _release_connections(self) -> None:
        if self.connections is not None:
            self.connections.active_requests -= 1

    def _fault(self, kind: EndpointFaultKind, reason: str) -> EndpointFault:
        return EndpointFault(
            kind=kind,
            ran=Ran.YES,
            detail=f"the stream of request {self.call.request_id!r} {reason}",
            crash_suspected=kind in (EndpointFaultKind.BROKEN, EndpointFaultKind.CUT),
        )


class HttpEndpointClient(EndpointClient, LoadSource):
    """Send calls over pooled connections or, where required, over new ones."""

    def __init__(
        self, *, connections: ConnectionPools, clock: Clock, silence_seconds: float
    ):
        self.connections = connections
        self.clock = clock
        self.silence_seconds = silence_seconds

    async def call(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> Result[WholeAnswer | StreamAnswer, EndpointFault]:
        """Send one attempt and skip the first ``resume_after`` events of a stream."""
        url = URL(f"http://{endpoint.address}{call.path}", encoded=True)
        return await self._exchange(
            endpoint, call, url, events_to_skip=call.resume_after
        )

    async def resume(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> Result[WholeAnswer | StreamAnswer, EndpointFault]:
        """Fetch the rest of a request's answer on a new connection."""
        path = f"/v1/requests/{call.request_id}/resume?after={call.resume_after}"
        url = URL(f"http://{endpoint.address}{path}", encoded=True)
        resume_call = dataclasses.replace(
            call, method="POST", body=b"", fresh_connection=True
        )
        return await self._exchange(endpoint, resume_call, url, events_to_skip=0)

    async def status(self, endpoint: Endpoint, request_id: str) -> RequestStatus:
        """Query the status of a request on a new connection."""
        url = f"http://{endpoint.address}/v1/requests/{request_id}"
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_SECONDS):
                async with self.connections.fresh_session.get(url) as response:
                    body = await read_body(response, maximum_bytes=MAXIMUM_STATUS_BYTES)
                    body = _STATUS_ADAPTER.validate_json(body)
                    return RequestStatus(body.get("state", RequestStatus.NO_REPLY))
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return RequestStatus.NO_REPLY

    def retire_connections(self, endpoint: Endpoint) -> None:
        """Retire the endpoint's connection pool."""
        self.connections.retire_connections(endpoint)

    async def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Ask the endpoint to cancel a request; a failure is not retried."""
        url = f"http://{endpoint.address}/v1/requests/{request_id}"
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_SECONDS):
                async with self.connections.fresh_session.delete(url):
                    return
        except (aiohttp.ClientError, OSError, TimeoutError):
            return

    async def is_crashed(self, endpoint: Endpoint) -> bool:
        """Return true if new connections are refused or another incarnation answers.

        A proxy in front of a crashed endpoint may accept connections and then reset
        them, so a reset counts as refused. A timeout proves no crash, since the network
        may have caused it.
        """
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_SECONDS):
                reported = await self._read_load(
                    endpoint, self.connections.fresh_session
                )
        except aiohttp.ClientConnectorError as error:
            return isinstance(error.os_error, ConnectionRefusedError)
        except (aiohttp.ServerDisconnectedError, ConnectionResetError):
            return True
        except aiohttp.ClientOSError as error:
            return error.errno in CONNECTION_RESET_ERRNOS
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return False
        return reported.incarnation != endpoint.incarnation

    async def report(self, endpoint: Endpoint) -> Result[EndpointReport, EndpointFault]:
        """Read the endpoint's load report over a pooled connection."""
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_SECONDS):
                session = self.connections.get(endpoint).session
                return Success(
                    build_endpoint_report(await self._read_load(endpoint, session))
                )
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            fault = EndpointFault(
                kind=EndpointFaultKind.CONNECT, ran=Ran.NO, detail=repr(error)
            )
            return Failure(fault)

    async def _read_load(
        self, endpoint: Endpoint, session: aiohttp.ClientSession
    ) -> LoadBody:
        url = f"http://{endpoint.address}/load"
        async with session.get(url) as response:
            body = await read_body(response, maximum_bytes=MAXIMUM_STATUS_BYTES)
            return LoadBody.model_validate_json(body)

    async def _exchange(
        self,
        endpoint: Endpoint,
        call: EndpointCall,
        url: URL,
        *,
        events_to_skip: int,
    ) -> Result[WholeAnswer | StreamAnswer, EndpointFault]:
        """Send a request and read the whole answer, or only the head of a stream."""
        connections = None
        session = self.connections.fresh_session
        if not call.fresh_connection:
            connections = self.connections.get(endpoint)
            connections.active_requests += 1
            session = connections.session
        is_stream = False
        try:
            response = await session.request(
                call.method,
                url,
                data=None if call.method in BODILESS_METHODS else call.body,
                headers=self._headers(call),
                allow_redirects=False,
            )
            outcome = await self._receive(
                endpoint, call, response, connections, events_to_skip
            )
            is_stream = isinstance(outcome, Success) and isinstance(
                outcome.unwrap(), StreamAnswer
            )
            return outcome
        except aiohttp.ClientConnectorError as error:
            return Failure(_connect_fault(endpoint, error))
        except aiohttp.ConnectionTimeoutError as error:
            return Failure(_connect_fault(endpoint, error))
        except (aiohttp.ClientError, OSError) as error:
            return Failure(_broken_fault(endpoint, error))
        finally:
            if connections is not None and not is_stream:
                connections.active_requests -= 1

    def _headers(self, call: EndpointCall) -> dict[str, str]:
        remaining = call.deadline - self.clock.monotonic()
        milliseconds = max(int(remaining * MILLISECONDS_PER_SECOND), 1)
        accept = {"Accept": "text/event-stream"} if call.stream else {}
        return {
            **call.headers,
            **accept,
            header_names.REQUEST_ID: call.request_id,
            header_names.DEADLINE: str(milliseconds),
            header_names.PRIORITY: str(call.priority),
        }

    async def _receive(
        self,
        endpoint: Endpoint,
        call: EndpointCall,
        response: aiohttp.ClientResponse,
        connections: ConnectionPool | None,
        events_to_skip: int,
    ) -> Result[WholeAnswer | StreamAnswer, EndpointFault]:
        fault = await self._head_fault(endpoint, call, response)
        if fault is not None:
            response.close()
            return Failure(fault)
        if call.stream and call.target is not None:
            check = AnswerCheck(call.request_id, call.target)
            stream = HttpStream(
                response=response,
                connections=connections,
                check=check,
                call=call,
                silence_seconds=self.silence_seconds,
                clock=self.clock,
                events_to_skip=events_to_skip,
            )
            return Success(stream)
        try:
            body = await read_body(response, maximum_bytes=MAXIMUM_ANSWER_BYTES)
        except OversizedBodyError as error:
            detail = f"endpoint {endpoint.name!r}: {error}"
            fault = EndpointFault(
                kind=EndpointFaultKind.FAILED, ran=Ran.YES, detail=detail
            )
            return Failure(fault)
        usage = Usage()
        if call.target is not None:
            checked = AnswerCheck(call.request_id, call.target).whole(body)
            if isinstance(checked, Failure):
                return checked
            usage = checked.unwrap()
        answer = WholeAnswer(
            status=response.status,
            content_type=response.headers.get("Content-Type", "application/json"),
            body=body,
            usage=usage,
        )
        return Success(answer)

    async def _head_fault(
        self, endpoint: Endpoint, call: EndpointCall, response: aiohttp.ClientResponse
    ) -> EndpointFault | None:
        """Return the fault indicated by an answer's status and headers, if any."""
        headers = response.headers
        ran = Ran.NO if headers.get(header_names.ENDPOINT_RAN) == "no" else Ran.UNKNOWN
        if response.status == 503:
            leaving = headers.get(header_names.ENDPOINT_LEAVING) == "1"
            kind = EndpointFaultKind.LEAVING if leaving else EndpointFaultKind.BUSY
            detail = f"endpoint {endpoint.name!r} takes no request now"
            return EndpointFault(kind=kind, ran=ran, detail=detail)
        answered_request_id = headers.get(header_names.REQUEST_ID)
        if answered_request_id is not None and answered_request_id != call.request_id:
            detail = (
                f"endpoint {endpoint.name!r} answered request {answered_request_id!r}"
            )
            kind = EndpointFaultKind.CROSSED
            return EndpointFault(kind=kind, ran=Ran.UNKNOWN, detail=detail)
        if response.ok and "Content-Encoding" in headers:
            detail = f"endpoint {endpoint.name!r} encoded a body without being asked"
            kind = EndpointFaultKind.CUT
            return EndpointFault(kind=kind, ran=Ran.UNKNOWN, detail=detail)
        if call.target is None:
            return None
        if response.status >= 500:
            detail = f"endpoint {endpoint.name!r} failed with {response.status}"
            kind = EndpointFaultKind.FAILED
            return EndpointFault(kind=kind, ran=ran, detail=detail)
        if response.status != 200:
            text = (await response.content.read(500)).decode("utf-8", "replace")
            detail = f"endpoint {endpoint.name!r} answered {response.status}: {text}"
            kind = EndpointFaultKind.REJECTED
            return EndpointFault(kind=kind, ran=ran, detail=detail)
        served_version = headers.get(header_names.SERVED_VERSION)
        if served_version != str(call.target):
            detail = f"endpoint {endpoint.name!r} served version {served_version!r}"
            kind = EndpointFaultKind.WRONG_VERSION
            return EndpointFault(kind=kind, ran=Ran.YES, detail=detail)
        return None


def _connect_fault(endpoint: Endpoint, error: Exception) -> EndpointFault:
    detail = f"endpoint {endpoint.name!r} can't be connected to: {error}"
    return EndpointFault(kind=EndpointFaultKind.CONNECT, ran=Ran.NO, detail=detail)


def _broken_fault(endpoint: Endpoint, error: Exception) -> EndpointFault:
    detail = f"the connection to endpoint {endpoint.name!r} broke: {error!r}"
    return EndpointFault(
        kind=EndpointFaultKind.BROKEN,
        ran=Ran.UNKNOWN,
        detail=detail,
        crash_suspected=True,
    )

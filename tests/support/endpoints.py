"""In-memory endpoints with faults injected by tests, and the client that calls them."""

import asyncio
import dataclasses
import itertools
from collections.abc import AsyncIterator

from returns.result import Failure, Result, Success

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
from linnetladder.coordination.platform import (
    FaultKind,
    InstanceList,
    PlatformFault,
)
from linnetladder.errors import Ran as RanStatus
from linnetladder.state import Endpoint, EndpointReport
from proof.history import Crashed, History, Ran, Restarted
from tests.support.memory import MemoryKeyValue

NETWORK_DELAY_SECONDS = 0.002
WORK_SECONDS = 0.2
STREAM_EVENT_COUNT = 4
RESTART_SECONDS = 3.0


@dataclasses.dataclass(slots=True)
class Work:
    """The state of one request that an endpoint has received."""

    finished: bool = False
    cancelled: bool = False


class FakeEndpoint:
    """An endpoint that runs requests and applies the faults that a test injects.

    ``faults`` are applied in order, one per call. A request whose key is in
    ``crashing_keys`` crashes the endpoint.
    """

    def __init__(
        self, *, name: str, domain: str, versions: frozenset, history: History
    ):
        self.name = name
        self.domain = domain
        self.versions = versions
        self.history = history
        self.incarnation_numbers = itertools.count(1)
        self.incarnation = f"{name}.{next(self.incarnation_numbers)}"
        self.is_up = True
        self.leaving = False
        self.refuses_when_leaving = False
        self.faults: list[str] = []
        self.crashing_keys: set[str] = set()
        self.work: dict[str, Work] = {}
        self.running = 0

    def report(self) -> EndpointReport:
        """Return the endpoint's load report."""
        return EndpointReport(
            name=self.name,
            incarnation=self.incarnation,
            address=self.name,
            failure_domain=self.domain,
            service="models" if self.versions else "desk",
            versions=self.versions,
            capacity=4,
            in_flight=self.running,
            leaving=self.leaving,
        )

    def crash_and_restart(self) -> None:
        """Crash, and restart after `RESTART_SECONDS` as a new incarnation."""
        self.is_up = False
        self.work.clear()
        asyncio.get_running_loop().call_later(RESTART_SECONDS, self._restart)

    def _restart(self) -> None:
        if not self.is_up:
            self.is_up = True
            self.leaving = False
            self.incarnation = f"{self.name}.{next(self.incarnation_numbers)}"
            now = asyncio.get_running_loop().time()
            self.history.events.append(Restarted(time=now, endpoint=self.name))

    def take_fault(self) -> str:
        """Remove and return the next injected fault, or an empty string."""
        return self.faults.pop(0) if self.faults else ""


def request_key_of(call: EndpointCall) -> str:
    """Return the request key, which test requests contain in their body."""
    text = call.body.decode()
    start = text.index("key:") + len("key:")
    return text[start:].split(";")[0]


class FakeClient(EndpointClient, LoadSource):
    """The client through which one daemon calls the endpoints."""

    def __init__(self, *, endpoints: dict[str, FakeEndpoint], daemon: str):
        self.endpoints = endpoints
        self.daemon = daemon
        self.alive = True

    async def call(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> Result[WholeAnswer | StreamAnswer, EndpointFault]:
        target = self.endpoints[endpoint.name]
        fault = target.take_fault()
        if fault == "silent_before":
            await asyncio.Future()
        await asyncio.sleep(NETWORK_DELAY_SECONDS)
        if not target.is_up:
            return Failure(_fault(EndpointFaultKind.CONNECT, RanStatus.NO))
        if target.leaving and target.refuses_when_leaving:
            return Failure(_fault(EndpointFaultKind.LEAVING, RanStatus.NO))
        if fault == "busy":
            return Failure(_fault(EndpointFaultKind.BUSY, RanStatus.NO))
        return await self._run(target, call, fault)

    async def _run(
        self, target: FakeEndpoint, call: EndpointCall, fault: str
    ) -> Result[WholeAnswer | StreamAnswer, EndpointFault]:
        key = request_key_of(call)
        version = str(call.target) if call.target else ""
        now = asyncio.get_running_loop().time()
        target.history.events.append(
            Ran(
                time=now,
                key=key,
                endpoint=target.name,
                version=version,
                daemon=self.daemon,
            )
        )
        if key in target.crashing_keys or fault == "crash":
            if key in target.crashing_keys:
                crash = Crashed(time=now, endpoint=target.incarnation, key=key)
                target.history.events.append(crash)
            target.crash_and_restart()
            return Failure(_fault(EndpointFaultKind.BROKEN, RanStatus.UNKNOWN, True))
        work = Work()
        target.work[call.request_id] = work
        if call.stream:
            return Success(FakeStream(target=target, call=call, work=work, fault=fault))
        target.running += 1
        try:
            await asyncio.sleep(WORK_SECONDS)
        finally:
            target.running -= 1
            work.finished = True
        return await self._answer(target, call, fault)

    async def _answer(
        self, target: FakeEndpoint, call: EndpointCall, fault: str
    ) -> Result[WholeAnswer, EndpointFault]:
        if fault == "silent_after":
            await asyncio.Future()
        fault_outcomes = {
            "lose_reply": (EndpointFaultKind.BROKEN, RanStatus.UNKNOWN),
            "crossed": (EndpointFaultKind.CROSSED, RanStatus.UNKNOWN),
            "cut": (EndpointFaultKind.CUT, RanStatus.YES),
            "wrong_version": (EndpointFaultKind.WRONG_VERSION, RanStatus.YES),
        }
        if fault in fault_outcomes:
            return Failure(_fault(*fault_outcomes[fault]))
        return Success(_whole_answer(call))

    async def status(self, endpoint: Endpoint, request_id: str) -> RequestStatus:
        target = self.endpoints[endpoint.name]
        await asyncio.sleep(NETWORK_DELAY_SECONDS)
        if not target.is_up:
            return RequestStatus.NO_REPLY
        work = target.work.get(request_id)
        if work is None:
            return RequestStatus.UNKNOWN
        return RequestStatus.FINISHED if work.finished else RequestStatus.RUNNING

    async def resume(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> Result[WholeAnswer | StreamAnswer, EndpointFault]:
        target = self.endpoints[endpoint.name]
        await asyncio.sleep(NETWORK_DELAY_SECONDS)
        work = target.work.get(call.request_id)
        if not target.is_up or work is None:
            return Failure(_fault(EndpointFaultKind.CONNECT, RanStatus.UNKNOWN))
        if call.stream:
            return Success(FakeStream(target=target, call=call, work=work, fault=""))
        return Success(_whole_answer(call))

    def retire_connections(self, endpoint: Endpoint) -> None:
        """Do nothing: every call is a connection of its own."""

    async def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        work = self.endpoints[endpoint.name].work.get(request_id)
        if work is not None:
            work.cancelled = True

    async def is_crashed(self, endpoint: Endpoint) -> bool:
        await asyncio.sleep(NETWORK_DELAY_SECONDS)
        target = self.endpoints[endpoint.name]
        return not target.is_up or target.incarnation != endpoint.incarnation

    async def report(self, endpoint: Endpoint) -> Result[EndpointReport, EndpointFault]:
        await asyncio.sleep(NETWORK_DELAY_SECONDS)
        target = self.endpoints[endpoint.name]
        if not target.is_up:
            return Failure(_fault(EndpointFaultKind.CONNECT, RanStatus.NO))
        return Success(target.report())


class FakeStream(StreamAnswer):
    """A stream of `STREAM_EVENT_COUNT` events that a fault may end early."""

    def __init__(
        self, *, target: FakeEndpoint, call: EndpointCall, work: Work, fault: str
    ):
        self.target = target
        self.call = call
        self.work = work
        self.fault = fault
        self.incarnation = target.incarnation

    async def events(
        self,
    ) -> AsyncIterator[Result[list[StreamEvent], EndpointFault]]:
        key = request_key_of(self.call)
        for position in range(self.call.resume_after, STREAM_EVENT_COUNT):
            await asyncio.sleep(WORK_SECONDS / STREAM_EVENT_COUNT)
            if self.target.incarnation != self.incarnation or not self.target.is_up:
                yield Failure(_fault(EndpointFaultKind.BROKEN, RanStatus.YES, True))
                return
            if self.fault in ("cut", "lose_reply") and position == 2:
                yield Failure(_fault(EndpointFaultKind.CUT, RanStatus.YES))
                return
            if self.fault in ("silent_after", "silent_before") and position == 1:
                await asyncio.sleep(1.0)
                yield Failure(_fault(EndpointFaultKind.SILENT, RanStatus.YES))
                return
            if self.fault == "crossed" and position == 1:
                yield Failure(_fault(EndpointFaultKind.CROSSED, RanStatus.UNKNOWN))
                return
            text = f"{key}@{self.call.target}#{position};".encode()
            yield Success([StreamEvent(text, usage=Usage(1, position + 1))])
        self.work.finished = True
        yield Success([StreamEvent(b"[DONE]", end=True)])

    async def close(self) -> None:
        """Do nothing: there is no connection."""


class FakeInstanceList(InstanceList):
    """The platform's instance list, unreachable while its key-value service is."""

    def __init__(self, *, fakes: dict[str, FakeEndpoint], store: MemoryKeyValue):
        self.fakes = fakes
        self.store = store

    async def endpoints(self) -> Result[tuple[EndpointReport, ...], PlatformFault]:
        await asyncio.sleep(NETWORK_DELAY_SECONDS)
        if self.store.down:
            return Failure(PlatformFault(FaultKind.UNREACHABLE, "down"))
        return Success(tuple(fake.report() for fake in self.fakes.values()))


def _whole_answer(call: EndpointCall) -> WholeAnswer:
    body = f"{request_key_of(call)}@{call.target}".encode()
    return WholeAnswer(status=200, content_type="text", body=body, usage=Usage(1, 1))


def _fault(
    kind: EndpointFaultKind, ran: RanStatus, crash_suspected: bool = False
) -> EndpointFault:
    return EndpointFault(
        kind=kind, ran=ran, detail=str(kind), crash_suspected=crash_suspected
    )

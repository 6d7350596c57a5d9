"""What coordination needs of an endpoint, behind an abstract base class.

An answer that reaches coordination has passed the checks of request id and served
version. A fault says how far the request had got, since only a request that was not
sent, or that the endpoint proves it did not start, may be refused as not run.
"""

import abc
import dataclasses
import enum
from collections.abc import AsyncIterator, Mapping

from returns.result import Result

from linnetladder.errors import Ran
from linnetladder.state import Endpoint, VersionRef

__all__ = [
    "EndpointCall",
    "EndpointClient",
    "EndpointFault",
    "EndpointFaultKind",
    "RequestStatus",
    "StreamAnswer",
    "StreamEvent",
    "Usage",
    "WholeAnswer",
]


class EndpointFaultKind(enum.StrEnum):
    """How an attempt at an endpoint failed."""

    CONNECT = "connect"
    BUSY = "busy"
    LEAVING = "leaving"
    REJECTED = "rejected"
    BROKEN = "broken"
    SILENT = "silent"
    CROSSED = "crossed"
    CUT = "cut"
    WRONG_VERSION = "wrong_version"
    FAILED = "failed"
    DEADLINE = "deadline"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointFault:
    """A failed attempt; ``ran`` is ``NO`` only where that is known.

    ``crash_suspected`` is set when the connection was torn down while the request ran.
    """

    kind: EndpointFaultKind
    ran: Ran
    detail: str
    crash_suspected: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class EndpointCall:
    """One attempt to be sent; ``deadline`` is of the monotonic clock.

    ``target`` is ``None`` for a plain service. ``resume_after`` is the number of
    stream events that were already received under ``request_id``.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    headers: Mapping[str, str]
    target: VersionRef | None
    stream: bool
    deadline: float
    priority: int
    fresh_connection: bool = False
    resume_after: int = 0


@dataclasses.dataclass(slots=True)
class Usage:
    """The tokens an endpoint counted."""

    input_tokens: int = 0
    output_tokens: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class WholeAnswer:
    """A checked answer in one piece."""

    status: int
    content_type: str
    body: bytes
    usage: Usage


@dataclasses.dataclass(slots=True)
class StreamEvent:
    """One checked server-sent event, in the bytes it is passed on with.

    ``end`` is true for the end marker alone; ``usage`` is set on the event that
    reports it.
    """

    data: bytes
    end: bool = False
    usage: Usage | None = None


class StreamAnswer(abc.ABC):
    """An answer whose events arrive one by one; nothing is read ahead unbounded."""

    @abc.abstractmethod
    def events(self) -> AsyncIterator[Result[list[StreamEvent], EndpointFault]]:
        """Yield batches of events that arrived together, or a last fault."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Drop the connection if the stream has not ended."""


class RequestStatus(enum.StrEnum):
    """What an endpoint says of a request when it is asked on a new connection."""

    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    NO_REPLY = "no_word"


class EndpointClient(abc.ABC):
    """Send calls to endpoints and check what comes back."""

    @abc.abstractmethod
    async def call(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> Result[WholeAnswer | StreamAnswer, EndpointFault]:
        """Send one attempt and return its answer, a stream as soon as it begins."""

    @abc.abstractmethod
    async def status(self, endpoint: Endpoint, request_id: str) -> RequestStatus:
        """Ask on a new connection what became of a request."""

    @abc.abstractmethod
    async def resume(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> Result[WholeAnswer | StreamAnswer, EndpointFault]:
        """Fetch on a new connection what a request has yielded after a position."""

    @abc.abstractmethod
    def suspect(self, endpoint: Endpoint) -> None:
        """Use none of the endpoint's present connections again."""

    @abc.abstractmethod
    async def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Ask an endpoint to stop a request whose answer nobody waits for."""

    @abc.abstractmethod
    async def is_crashed(self, endpoint: Endpoint) -> bool:
        """Tell whether the incarnation that was called is known to be gone."""

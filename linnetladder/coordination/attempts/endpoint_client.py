"""The interface through which coordination calls endpoints.

An answer returned through it has passed the checks of request id and served version. A
fault states whether the request may have run, since only a request that was not sent,
or that the endpoint proves it did not start, may be refused as not run.
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
    # The connection broke after the request was sent.
    BROKEN = "broken"
    SILENT = "silent"
    # The answer carries another request's id.
    CROSSED = "crossed"
    # The answer ended early or is malformed.
    CUT = "cut"
    WRONG_VERSION = "wrong_version"
    FAILED = "failed"
    DEADLINE = "deadline"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointFault:
    """A failed attempt; ``ran`` is ``NO`` only if the request certainly did not run.

    ``crash_suspected`` is set when the connection was torn down while the request ran.
    """

    kind: EndpointFaultKind
    ran: Ran
    detail: str
    crash_suspected: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class EndpointCall:
    """One attempt to send; ``deadline`` is monotonic seconds.

    ``target`` is ``None`` for a plain service. ``resume_after`` is the number of stream
    events of ``request_id`` that were already received.
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
    """The token counts that an endpoint reported."""

    input_tokens: int = 0
    output_tokens: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class WholeAnswer:
    """A complete answer that passed its checks."""

    status: int
    content_type: str
    body: bytes
    usage: Usage


@dataclasses.dataclass(slots=True)
class StreamEvent:
    """One checked server-sent event, as the bytes to forward.

    ``end`` is true for the end marker alone; ``usage`` is set on the event that
    reports it.
    """

    data: bytes
    end: bool = False
    usage: Usage | None = None


class StreamAnswer(abc.ABC):
    """An answer that arrives as a stream of events, read ahead by a bounded amount."""

    @abc.abstractmethod
    def events(self) -> AsyncIterator[Result[list[StreamEvent], EndpointFault]]:
        """Yield batches of events that arrived together; a fault ends the stream."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connection if the stream has not ended."""


class RequestStatus(enum.StrEnum):
    """A request's status as its endpoint reports it over a new connection."""

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
        """Send one attempt and return its answer, a stream as soon as it starts."""

    @abc.abstractmethod
    async def status(self, endpoint: Endpoint, request_id: str) -> RequestStatus:
        """Query a request's status over a new connection."""

    @abc.abstractmethod
    async def resume(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> Result[WholeAnswer | StreamAnswer, EndpointFault]:
        """Fetch a request's answer over a new connection.

        A stream continues after the call's ``resume_after`` events.
        """

    @abc.abstractmethod
    def retire_connections(self, endpoint: Endpoint) -> None:
        """Retire the endpoint's open connections, so that later calls open new ones."""

    @abc.abstractmethod
    async def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Ask an endpoint to stop a request whose answer is no longer needed."""

    @abc.abstractmethod
    async def is_crashed(self, endpoint: Endpoint) -> bool:
        """Return whether the called endpoint incarnation is known to have ended."""

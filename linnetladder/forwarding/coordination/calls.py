"""Calls to endpoints and replies to callers, behind abstract base classes."""

import abc
import enum
from collections.abc import AsyncIterator

from linnetladder.errors import Refusal
from linnetladder.forwarding.protocol import AnswerHead, EndpointCall

__all__ = ["CallFault", "CallFaultKind", "EndpointCalls", "Exchange", "Reply"]


class CallFaultKind(enum.StrEnum):
    """How a call to an endpoint failed."""

    CONNECT = "connect"
    BROKEN = "broken"
    SILENT = "silent"
    INVALID = "invalid"


class CallFault(Exception):
    """A call that gave no whole answer; ``may_have_run`` unless nothing was sent."""

    def __init__(self, kind: CallFaultKind, detail: str, *, may_have_run: bool):
        super().__init__(detail)
        self.kind = kind
        self.detail = detail
        self.may_have_run = may_have_run


class Exchange(abc.ABC):
    """A call whose answer has begun."""

    def __init__(self, *, head: AnswerHead):
        self.head = head

    @abc.abstractmethod
    async def read(self) -> bytes:
        """Return the whole body; raise `CallFault` if it was cut."""

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes; raise `CallFault` if it is cut."""

    @abc.abstractmethod
    def close(self) -> None:
        """Break the call off, unless its answer was read to the end."""


class EndpointCalls(abc.ABC):
    """Send calls to endpoints."""

    @abc.abstractmethod
    async def open(self, call: EndpointCall) -> Exchange:
        """Send a call and return when its answer begins; raise `CallFault`."""

    @abc.abstractmethod
    async def is_reachable(self, address: str) -> bool:
        """Tell whether an address accepts a new connection."""

    @abc.abstractmethod
    def close_idle_connections(self, address: str) -> None:
        """Close the idle connections to an address."""


class Reply(abc.ABC):
    """The answer to one caller; ``begun`` once a byte of it may have left."""

    begun: bool = False

    @abc.abstractmethod
    async def send(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        """Send a whole answer."""

    @abc.abstractmethod
    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal of the daemon's own."""

    @abc.abstractmethod
    async def begin(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Send the head of a stream."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a part of a stream."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End a stream as complete."""

    @abc.abstractmethod
    def abort_response(self) -> None:
        """Cut the connection so that the answer does not look complete."""

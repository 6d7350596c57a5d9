"""Interfaces for calls to endpoints and replies to callers."""

import abc
import enum
from collections.abc import AsyncIterator, Callable

from linnetladder.errors import Refusal
from linnetladder.forwarding.coordination.memory_account import MemoryLease
from linnetladder.forwarding.protocol import EndpointCall, ResponseHead
from linnetladder.forwarding.protocol.relaying import RelayedCall

__all__ = [
    "CallFault",
    "CallFaultKind",
    "EndpointCalls",
    "Exchange",
    "ProbeOutcome",
    "Reply",
]


class CallFaultKind(enum.StrEnum):
    """How a call to an endpoint failed.

    ``CONNECT`` is a failed connection attempt; ``BROKEN`` a failure after the request
    may have been sent; ``SILENT`` an endpoint that sent nothing for too long;
    ``INVALID`` a response to another request or without its seal; ``WITHDRAWN`` a call
    that was not sent, because its endpoint accepts none any more.
    """

    CONNECT = "connect"
    BROKEN = "broken"
    SILENT = "silent"
    INVALID = "invalid"
    WITHDRAWN = "withdrawn"


class ProbeOutcome(enum.StrEnum):
    """The outcome of a new connection that is opened to see if an endpoint is alive."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    TIMED_OUT = "timed_out"


class CallFault(Exception):
    """A call failed to return a complete response.

    ``may_have_run`` is false only if the request was certainly not sent. ``probe`` is
    the outcome of the probe for which a silent endpoint was given up, ``None`` if it
    was given up for the length of the silence. ``peer_failed`` is set if a peer that
    was to pass the call on could not. ``relay`` is the address of that peer, empty for
    a call that was sent directly.
    """

    def __init__(
        self,
        kind: CallFaultKind,
        detail: str,
        *,
        may_have_run: bool,
        probe: ProbeOutcome | None = None,
        peer_failed: bool = False,
    ):
        super().__init__(detail)
        self.kind = kind
        self.detail = detail
        self.may_have_run = may_have_run
        self.probe = probe
        self.peer_failed = peer_failed
        self.relay = ""

    def describe(self) -> str:
        """Return the kind, and for a silent endpoint what it was given up for."""
        if self.kind is not CallFaultKind.SILENT:
            return str(self.kind)
        return f"{self.kind}:probe {self.probe}" if self.probe else f"{self.kind}:limit"


class Exchange(abc.ABC):
    """A call whose response has begun.

    ``memory`` counts a body that is read whole, if it is set.
    """

    memory: MemoryLease | None = None

    def __init__(self, *, head: ResponseHead):
        self.head = head

    @abc.abstractmethod
    async def read(self) -> bytes:
        """Return the complete body; raise `CallFault` if it is truncated."""

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise `CallFault` if it is truncated."""

    def read_ahead_bytes(self) -> int:
        """Return the bytes that have arrived and were not yet yielded."""
        return 0

    @abc.abstractmethod
    def close(self) -> None:
        """End the call; cut its connection if the response was not read to the end."""


class EndpointCalls(abc.ABC):
    """Sends calls to endpoints."""

    @abc.abstractmethod
    async def open(self, call: EndpointCall) -> Exchange:
        """Send a call and return once its response begins; raise `CallFault`."""

    @abc.abstractmethod
    async def relay(self, call: RelayedCall) -> Exchange:
        """Pass a peer's call on, as `open` sends this daemon's own."""

    @abc.abstractmethod
    async def probe(self, address: str) -> ProbeOutcome:
        """Open a connection to an address that is expected to accept it."""

    @abc.abstractmethod
    async def probe_through(self, relay: str, instance: str) -> ProbeOutcome | None:
        """Let a peer open a connection; return ``None`` if the peer does not answer."""

    @abc.abstractmethod
    async def is_reachable(self, address: str) -> bool:
        """Return whether an address that was unreachable accepts a connection again."""

    @abc.abstractmethod
    def close_idle_connections(self, address: str) -> None:
        """Close the idle connections to an address."""


class Reply(abc.ABC):
    """The response to one caller; ``begun`` is set once bytes may have been sent.

    ``read_ahead_bytes`` returns what is held of the endpoint's response besides.
    ``memory`` counts responses that are read whole before they are sent.
    """

    begun: bool = False
    memory: MemoryLease | None = None
    read_ahead_bytes: Callable[[], int] = staticmethod(int)

    @abc.abstractmethod
    async def send(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        """Send a complete response."""

    @abc.abstractmethod
    async def refuse(self, refusal: Refusal) -> None:
        """Send the daemon's own refusal."""

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
        """Cut the connection so that the response does not look complete."""

"""The outcomes of a request: a whole answer, a stream or a refusal."""

import abc
import dataclasses
from collections.abc import AsyncIterator

from linnetladder.errors import Refusal

__all__ = ["AnswerHead", "Refused", "StreamExchange", "WholeExchange"]


@dataclasses.dataclass(slots=True, kw_only=True)
class AnswerHead:
    """The metadata sent as headers with an answer; empty strings are omitted.

    ``session_state`` is ``opened``, ``kept`` or ``restarted``.
    """

    request_id: str
    target: str
    receipt: str
    session_token: str = ""
    session_state: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """A refusal with its signed receipt."""

    request_id: str
    refusal: Refusal
    receipt: str


@dataclasses.dataclass(slots=True, kw_only=True)
class WholeExchange:
    """A complete answer, already billed."""

    head: AnswerHead
    status: int
    content_type: str
    body: bytes


class StreamExchange(abc.ABC):
    """An answer that is forwarded while it arrives.

    The end marker is sent only after the bill is durable: recorded at the platform or
    copied to peers. A stream that can't be completed ends in a `Refused` instead.
    """

    head: AnswerHead

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes | Refused]:
        """Yield the bytes to forward, and last a refusal if the stream failed."""

    @abc.abstractmethod
    async def abandon(self) -> None:
        """Stop because the caller disconnected, and bill the events sent so far."""

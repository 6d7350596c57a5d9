"""What the daemon hands back for one request: an answer, a stream or a refusal."""

import abc
import dataclasses
from collections.abc import AsyncIterator

from linnetladder.errors import Refusal

__all__ = ["AnswerHead", "Refused", "StreamExchange", "WholeExchange"]


@dataclasses.dataclass(slots=True, kw_only=True)
class AnswerHead:
    """What is told beside an answer; empty strings are left out.

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
    """An answer in one piece, already billed."""

    head: AnswerHead
    status: int
    content_type: str
    body: bytes


class StreamExchange(abc.ABC):
    """An answer that is passed on while it arrives.

    Its end marker comes last and only after the bill is safe. A stream that can't be
    completed ends in a `Refused` instead.
    """

    head: AnswerHead

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes | Refused]:
        """Yield the bytes to pass on, and last a refusal if the stream failed."""

    @abc.abstractmethod
    async def abandon(self) -> None:
        """Stop because the caller left, and bill what was passed on."""

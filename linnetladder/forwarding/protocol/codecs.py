"""What forwarding needs of a wire format, behind abstract base classes.

A platform's adapter decodes heads into these types once; nothing else knows how its
headers are spelled.
"""

import abc
import dataclasses
from collections.abc import Mapping

from linnetladder.forwarding.state import ForwardRequest, RequestHead

__all__ = [
    "AnswerHead",
    "CallerDialect",
    "EndpointCall",
    "EndpointDialect",
    "HeadProblem",
]


class InvalidHeadError(Exception):
    """A request's head that the wire format does not allow."""


@dataclasses.dataclass(slots=True, kw_only=True)
class EndpointCall:
    """One attempt at an endpoint.

    ``remaining_seconds`` is what the endpoint may use. ``urgency`` is 0 for the most
    urgent work. ``model`` is empty where the caller's own word is passed on. After
    ``patience_seconds`` without a byte the endpoint is asked over a new connection
    whether it lives, and after ``silence_seconds`` the call is given up; ``None`` where
    the call must be waited for, since it can't be repeated.
    """

    request: ForwardRequest
    instance: str
    address: str
    remaining_seconds: float
    urgency: int
    model: str = ""
    resume_after: str = ""
    fresh_connection: bool = False
    probe_after_seconds: float | None = None
    silence_seconds: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHead:
    """The head of an endpoint's answer.

    ``not_run`` is the endpoint's word that it did not and will not run the request.
    ``sealed`` tells whether it carries the endpoint's digest. ``confidence`` is the
    model's opinion of its answer, 0 to 100. ``headers`` are the ones to pass on.
    """

    status: int
    attempt_id: str
    not_run: bool
    misdirected: bool
    sealed: bool
    confidence: float | None
    closes_connection: bool
    length: int | None
    headers: tuple[tuple[str, str], ...]


class CallerCodec(abc.ABC):
    """The callers' side of a wire format."""

    @abc.abstractmethod
    def decode_request_head(
        self, method: str, target: str, headers: Mapping[str, str]
    ) -> RequestHead:
        """Return a request's head; raise `HeadProblem` if it is not allowed."""


class EndpointCodec(abc.ABC):
    """The endpoints' side of a wire format."""

    @abc.abstractmethod
    def build_call_headers(self, call: EndpointCall) -> list[tuple[str, str]]:
        """Return the headers of an attempt."""

    @abc.abstractmethod
    def decode_answer_head(self, status: int, headers: Mapping[str, str]) -> AnswerHead:
        """Return an answer's head."""

"""Abstract codecs for request and response heads, and the types that they decode into.

A platform's adapter implements the codecs and decodes each head once. The names of its
headers appear nowhere else.
"""

import abc
import dataclasses
from collections.abc import Callable, Mapping

from linnetladder.forwarding.state import ForwardRequest, RequestHead

__all__ = [
    "CallerCodec",
    "EndpointCall",
    "EndpointCodec",
    "InvalidHeadError",
    "ResponseHead",
]


def _always() -> bool:
    return True


def _do_nothing() -> None:
    pass


class InvalidHeadError(Exception):
    """A request's head lacks a required header or has a malformed one."""


@dataclasses.dataclass(slots=True, kw_only=True)
class EndpointCall:
    """One attempt of a request at an endpoint.

    ``remaining_seconds`` is the time that the endpoint may use. ``urgency`` is 0 for
    the most urgent work. An empty ``model`` forwards the caller's own choice.
    ``resume_after`` is the id of the last event to skip when a stream is resumed.

    After ``probe_after_seconds`` without a byte the endpoint is probed with a new
    connection, and after ``silence_seconds`` without a byte it counts as silent in any
    case. Both are ``None`` for a request that can't be retried, whose answer must be
    awaited. ``on_unreachable`` is called when a probe failed. A silent endpoint is
    given up only if ``reserve_retry`` returns true: it reserves the attempt that
    follows, unless none is allowed. By default one may always follow. ``may_send`` is
    asked once there is a connection, right before the request is sent on it.
    ``connected`` is set when that has been asked.

    ``relay`` is the address of a peer that passes the call on to the endpoint, empty
    for a call that is sent there directly.
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
    on_unreachable: Callable[[], None] = _do_nothing
    reserve_retry: Callable[[], bool] = _always
    may_send: Callable[[], bool] = _always
    connected: bool = False
    relay: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """The head of an endpoint's response.

    ``not_run`` is set if the endpoint declares that it did not and will not run the
    request, ``misdirected`` if it says that the call was not for it: it is another
    instance, or has not got what the request asks for. ``answered_by`` is the instance
    that the answer names, ``""`` if it names none.
    ``sealed`` is set if the head carries the endpoint's digest as its seal.
    ``confidence`` is the model's confidence in its response, 0 to 100. ``length`` is
    the declared length of the body in bytes. ``encoded`` is set if the body has an
    encoding, which callers do not ask for. ``headers`` holds the headers to forward.

    ``request_limit`` is the number of requests a second that the endpoint takes from
    all daemons together, ``None`` if it names none. ``names_request_limit`` is also set
    if the limit that it names can't be read.

    ``leaving`` is set if the endpoint says that it is about to stop.
    ``pause_seconds`` is the time for which it wants no requests from this daemon,
    ``None`` if it asks for no pause; ``names_pause`` is also set if that can't be read.
    ``brittle_limit`` is the number of requests that it can turn away in a second for
    want of room without falling over, ``None`` unless it says that it is brittle.
    ``cold_seconds`` is for how much longer the endpoint says that it is cold, 0 if it
    says that it is warm and ``None`` if it says nothing of it.
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
    request_limit: float | None = None
    names_request_limit: bool = False
    leaving: bool = False
    pause_seconds: float | None = None
    names_pause: bool = False
    brittle_limit: float | None = None
    cold_seconds: float | None = None
    answered_by: str = ""
    encoded: bool = False

    @property
    def succeeded(self) -> bool:
        """Whether the status reports success."""
        return 200 <= self.status < 300


class CallerCodec(abc.ABC):
    """Decodes the heads of callers' requests."""

    @abc.abstractmethod
    def decode_request_head(
        self, method: str, target: str, headers: Mapping[str, str]
    ) -> RequestHead:
        """Return a request's head; raise `InvalidHeadError` if it is malformed."""


class EndpointCodec(abc.ABC):
    """Encodes calls to endpoints and decodes the heads of their responses."""

    @abc.abstractmethod
    def build_call_headers(self, call: EndpointCall) -> list[tuple[str, str]]:
        """Return the headers of a call."""

    @abc.abstractmethod
    def decode_response_head(
        self, status: int, headers: Mapping[str, str]
    ) -> ResponseHead:
        """Return the head of a response."""

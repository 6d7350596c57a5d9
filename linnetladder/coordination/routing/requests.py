"""A caller's request, as the protocol layer has parsed and validated it."""

import dataclasses
from collections.abc import Mapping
from typing import Any

import orjson

from linnetladder.state import VersionRef

__all__ = [
    "AUTOMATIC_MODEL",
    "CallerRequest",
    "ChatWork",
    "ServiceWork",
    "SessionRequest",
]

AUTOMATIC_MODEL = "auto"


@dataclasses.dataclass(slots=True)
class SessionRequest:
    """The caller's session header: open a session, or continue one by its token."""

    open: bool = False
    token: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class ChatWork:
    """A chat completion; ``document`` is the body as parsed JSON.

    ``wanted`` is a model, a ``model@version`` or ``auto``. ``input_tokens`` is an
    estimate and ``output_tokens`` the caller's limit, if any. ``prefix`` is the part
    of the prompt by which endpoint affinity is decided.
    """

    wanted: str
    stream: bool
    document: dict[str, Any]
    input_tokens: int
    output_tokens: int | None
    prefix: bytes

    def body_for(self, target: VersionRef, *, output_tokens: int) -> bytes:
        """Return the body for ``target``, limited to a number of output tokens."""
        self.document["model"] = str(target)
        self.document["max_tokens"] = output_tokens
        self.document.pop("max_completion_tokens", None)
        return orjson.dumps(self.document)

    def target_headers(self) -> Mapping[str, str]:
        """Return the headers to send with the body."""
        return {"Content-Type": "application/json"}


@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceWork:
    """A call that is passed through to a plain service."""

    service: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes

    def target_headers(self) -> Mapping[str, str]:
        """Return the caller's headers that are forwarded."""
        return self.headers


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerRequest:
    """One submission of a request.

    ``request_id`` is unique to the submission. ``request_key`` is the caller's
    idempotency key, or the request id when ``has_caller_key`` is false. ``idempotent``
    is ``None`` when the caller leaves it to the settings. ``deadline_seconds`` is
    ``None`` when the caller set none. ``ticket`` is empty unless one was sent.
    ``fingerprint`` identifies the content regardless of the ids. ``received`` is
    monotonic seconds.
    """

    request_id: str
    request_key: str
    has_caller_key: bool
    credential_digest: str
    idempotent: bool | None
    deadline_seconds: float | None
    priority: int
    session: SessionRequest
    request_kind: str
    fingerprint: str
    work: ChatWork | ServiceWork
    body_bytes: int
    received: float
    trace_parent: str = ""
    ticket: str = ""

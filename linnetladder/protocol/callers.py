"""Parsing of caller requests: chat completions, service calls and their headers.

Input is validated here and converted to the data classes of coordination. Invalid
input is returned as a `Refusal` with one of the kinds of `ErrorKind`.
"""

import dataclasses
import hashlib
import secrets
from collections.abc import Mapping
from typing import Any

import orjson
import pydantic
from returns.result import Failure, Result, Success

from linnetladder.coordination.routing.requests import (
    AUTOMATIC_MODEL,
    CallerRequest,
    ChatWork,
    ServiceWork,
    SessionRequest,
)
from linnetladder.errors import ErrorKind, Refusal
from linnetladder.protocol import headers as header_names

__all__ = [
    "ChatBody",
    "Submission",
    "parse_chat",
    "parse_credential",
    "parse_service_call",
]

OPEN_SESSION_VALUE = "open"
BEARER_PREFIX = "bearer "
MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 200
MAXIMUM_PRIORITY = 9
MAXIMUM_DEADLINE_MILLISECONDS = 3_600_000
MAXIMUM_MESSAGES = 4096
MAXIMUM_REQUEST_KIND_LENGTH = 64
ESTIMATED_BYTES_PER_TOKEN = 4
MAXIMUM_PREFIX_CHARACTERS = 2048
FINGERPRINT_BYTES = 16
REQUEST_ID_BYTES = 12
MILLISECONDS_PER_SECOND = 1000
DEFAULT_PRIORITY = 1
FORWARDED_HEADERS = ("content-type", "accept", "accept-language")


class ChatMessage(pydantic.BaseModel):
    """One message of a chat completion."""

    role: str = pydantic.Field(min_length=1, max_length=32)
    content: str | list[dict[str, Any]] | None = None


class ChatBody(pydantic.BaseModel):
    """The fields of a chat completion that the daemon reads.

    All other fields are passed to the endpoint unchanged.
    """

    model: str = pydantic.Field(AUTOMATIC_MODEL, min_length=1, max_length=128)
    messages: list[ChatMessage] = pydantic.Field(
        min_length=1, max_length=MAXIMUM_MESSAGES
    )
    stream: bool = False
    max_tokens: int | None = pydantic.Field(None, ge=1)
    max_completion_tokens: int | None = pydantic.Field(None, ge=1)


@dataclasses.dataclass(slots=True, kw_only=True)
class Submission:
    """One HTTP request of a caller, not yet parsed.

    ``received`` is its time of arrival in seconds of the monotonic clock.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    received: float


@dataclasses.dataclass(slots=True)
class _HeaderValues:
    """The parsed values of the request headers that the daemon reads."""

    credential_digest: str
    request_key: str
    idempotent: bool | None
    deadline_seconds: float | None
    priority: int
    session: SessionRequest
    request_kind: str
    trace_parent: str
    ticket: str


def parse_chat(submission: Submission) -> Result[CallerRequest, Refusal]:
    """Parse a chat completion."""
    header_values = _parse_headers(submission)
    if isinstance(header_values, Failure):
        return header_values
    work = _parse_chat_work(submission.body)
    if isinstance(work, Failure):
        return work
    return Success(_build_request(submission, header_values.unwrap(), work.unwrap()))


def parse_service_call(
    submission: Submission, *, service: str, path: str
) -> Result[CallerRequest, Refusal]:
    """Parse a call that is passed through to a plain service."""
    header_values = _parse_headers(submission)
    if isinstance(header_values, Failure):
        return header_values
    forwarded_headers = {
        name: submission.headers[name]
        for name in FORWARDED_HEADERS
        if name in submission.headers
    }
    work = ServiceWork(
        service=service,
        method=submission.method,
        path=path,
        headers=forwarded_headers,
        body=submission.body,
    )
    return Success(_build_request(submission, header_values.unwrap(), work))


def _build_request(
    submission: Submission, header_values: _HeaderValues, work: ChatWork | ServiceWork
) -> CallerRequest:
    request_id = f"req-{secrets.token_hex(REQUEST_ID_BYTES)}"
    return CallerRequest(
        request_id=request_id,
        request_key=header_values.request_key or header_values.ticket or request_id,
        has_caller_key=bool(header_values.request_key or header_values.ticket),
        credential_digest=header_values.credential_digest,
        idempotent=header_values.idempotent,
        deadline_seconds=header_values.deadline_seconds,
        priority=header_values.priority,
        session=header_values.session,
        request_kind=header_values.request_kind,
        fingerprint=_fingerprint(submission),
        work=work,
        body_bytes=len(submission.body),
        received=submission.received,
        trace_parent=header_values.trace_parent,
        ticket=header_values.ticket,
    )


def _fingerprint(submission: Submission) -> str:
    """Return a digest of the method, path and body.

    Ids and credentials are left out, so a request that is sent again has the same
    fingerprint.
    """
    digest = hashlib.blake2b(submission.body, digest_size=FINGERPRINT_BYTES)
    digest.update(f"\0{submission.method} {submission.path}".encode())
    return digest.hexdigest()


def _parse_chat_work(body: bytes) -> Result[ChatWork, Refusal]:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return Failure(Refusal(ErrorKind.MALFORMED_JSON, str(error)))
    try:
        chat = ChatBody.model_validate(document)
    except pydantic.ValidationError as error:
        return Failure(
            Refusal(ErrorKind.INVALID_REQUEST, _describe_validation_error(error))
        )
    work = ChatWork(
        wanted=chat.model,
        stream=chat.stream,
        document=document,
        input_tokens=len(body) // ESTIMATED_BYTES_PER_TOKEN,
        output_tokens=chat.max_completion_tokens or chat.max_tokens,
        prefix=_affinity_prefix(chat.messages[0]),
    )
    return Success(work)


def _affinity_prefix(message: ChatMessage) -> bytes:
    """Return the start of the first message, the key of prefix-affinity routing.

    It is empty if the message is not plain text.
    """
    if not isinstance(message.content, str):
        return b""
    return message.content[:MAXIMUM_PREFIX_CHARACTERS].encode("utf-8", "surrogatepass")


def _describe_validation_error(error: pydantic.ValidationError) -> str:
    """Return the first five errors, each with its location in the body."""
    faults = []
    for error_details in error.errors(include_input=False, include_url=False)[:5]:
        location = ".".join(str(step) for step in error_details["loc"]) or "body"
        faults.append(f"{location}: {error_details['msg']}")
    return "; ".join(faults)


def parse_credential(headers: Mapping[str, str]) -> Result[str, Refusal]:
    """Return the digest of the credential in the ``Authorization`` header."""
    authorization = headers.get(header_names.AUTHORIZATION, "")
    if not authorization[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX:
        detail = "send the client account's credential as 'Authorization: Bearer …'"
        return Failure(Refusal(ErrorKind.MISSING_CREDENTIAL, detail))
    return Success(_hash_credential(authorization[len(BEARER_PREFIX) :].strip()))


def _parse_headers(submission: Submission) -> Result[_HeaderValues, Refusal]:
    headers = submission.headers
    digest = parse_credential(headers)
    if isinstance(digest, Failure):
        return digest
    request_key = headers.get(header_names.IDEMPOTENCY_KEY, "")
    kind = headers.get(header_names.REQUEST_KIND, "default")
    idempotent = _parse_boolean(headers.get(header_names.IDEMPOTENT))
    deadline = _parse_integer(
        headers.get(header_names.DEADLINE), MAXIMUM_DEADLINE_MILLISECONDS
    )
    priority = _parse_integer(headers.get(header_names.PRIORITY), MAXIMUM_PRIORITY)
    faults = {
        header_names.IDEMPOTENCY_KEY: not _is_valid_idempotency_key(request_key),
        header_names.REQUEST_KIND: len(kind) > MAXIMUM_REQUEST_KIND_LENGTH
        or not kind.isprintable(),
        header_names.IDEMPOTENT: isinstance(idempotent, Failure),
        header_names.DEADLINE: isinstance(deadline, Failure),
        header_names.PRIORITY: isinstance(priority, Failure),
    }
    for name, is_invalid in faults.items():
        if is_invalid:
            detail = f"header {name!r} has the value {headers.get(name)!r}"
            return Failure(Refusal(ErrorKind.INVALID_HEADER, detail))
    return Success(
        _HeaderValues(
            credential_digest=digest.unwrap(),
            request_key=request_key,
            idempotent=idempotent.unwrap(),
            deadline_seconds=_to_seconds(deadline.unwrap()),
            priority=_or_default(priority.unwrap(), DEFAULT_PRIORITY),
            session=_parse_session(headers.get(header_names.SESSION, "")),
            request_kind=kind,
            trace_parent=headers.get(header_names.TRACE_PARENT, ""),
            ticket=headers.get(header_names.TICKET, ""),
        )
    )


def _hash_credential(credential: str) -> str:
    content = credential.encode("utf-8", "surrogateescape")
    return hashlib.sha256(content).hexdigest()


def _is_valid_idempotency_key(text: str) -> bool:
    """Return whether a key is printable ASCII of at most the maximum length."""
    return (
        len(text) <= MAXIMUM_IDEMPOTENCY_KEY_LENGTH
        and text.isascii()
        and text.isprintable()
    )


def _parse_session(text: str) -> SessionRequest:
    if text == OPEN_SESSION_VALUE:
        return SessionRequest(open=True)
    return SessionRequest(token=text)


def _parse_boolean(text: str | None) -> Result[bool | None, None]:
    if text is None:
        return Success(None)
    parsed = {"true": True, "false": False}.get(text.lower())
    return Failure(None) if parsed is None else Success(parsed)


def _parse_integer(text: str | None, maximum: int) -> Result[int | None, None]:
    if text is None:
        return Success(None)
    if not text.isascii() or not text.isdigit() or int(text[:10]) > maximum:
        return Failure(None)
    return Success(int(text))


def _to_seconds(milliseconds: int | None) -> float | None:
    return None if milliseconds is None else milliseconds / MILLISECONDS_PER_SECOND


def _or_default(value: int | None, default: int) -> int:
    return default if value is None else value

"""Codecs for the platform's headers of requests and responses."""

import email.utils
import math
import re
from collections.abc import Mapping

from linnetladder.forwarding.protocol import (
    CallerCodec,
    EndpointCall,
    EndpointCodec,
    InvalidHeadError,
    ResponseHead,
)
from linnetladder.forwarding.state import Prompt, PromptPart, RequestHead

__all__ = ["READY_PATH", "PlatformCallerCodec", "PlatformEndpointCodec"]

READY_PATH = "/-/readyz"

ATTEMPT_ID = "Linnetladder-Attempt-Id"
DEADLINE = "Linnetladder-Deadline-Ms"
MODEL = "Linnetladder-Model"
TOKEN_COUNTS = "Linnetladder-Token-Counts"
PROMPT_PREFIX = "Linnetladder-Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"
TENANT = "Linnetladder-Tenant"
EXPECT_INSTANCE = "Linnetladder-Expect-Instance"
INSTANCE = "Linnetladder-Instance-Id"
NOT_RUN = "Linnetladder-Not-Run"
SERVER_SEAL = "Linnetladder-Server-Seal"
URGENCY_CLASS = "Linnetladder-Urgency-Class"
CONFIDENCE = "Linnetladder-Confidence"
# Requests a second that the worker takes from all daemons together.
SERVER_LIMIT = "Server-Limit"
# Requests that the worker can turn away in a second without falling over.
SERVER_BRITTLE = "Server-Brittle"
# 1 from the time at which the worker knows that it will stop, in all its answers.
SERVER_LEAVING = "Server-Leaving"
# Milliseconds for which the worker stays cold, counted from its answer.
COLD = "Linnetladder-Cold-Ms"
# Beside 503: seconds in which the worker wants no requests from this daemon.
RETRY_AFTER = "Retry-After"
PAUSE_STATUS = 503
# Callers request bodies without any encoding; with one it is not the worker's body.
CONTENT_ENCODING = "Content-Encoding"
BEARER_SCHEME = "Bearer "
# Far beyond any prompt. It keeps what is computed from the figures of a head finite.
MAXIMUM_TOKENS = 1_000_000_000
MILLISECONDS_PER_SECOND = 1000.0
MISDIRECTED_STATUS = 421
# What bytes that are not UTF-8 are decoded to.
SURROGATES = re.compile("[\ud800-\udfff]")

# Hop-by-hop headers, and headers that only the router may set.
NOT_FORWARDED = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Transfer-Encoding",
        "TE",
        "Trailer",
        "Upgrade",
        "Expect",
        "Content-Length",
        "Host",
        "Authorization",
        DEADLINE,
        MODEL,
        TENANT,
        EXPECT_INSTANCE,
        URGENCY_CLASS,
        LAST_EVENT_ID,
        "Linnetladder-Expect-Version",
        "Linnetladder-Hold",
        "Linnetladder-Pin-Ms",
        "Linnetladder-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
    )
)
NOT_RETURNED = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "content-length", "trailer")
)


class PlatformCallerCodec(CallerCodec):
    """Decodes the heads of callers' requests."""

    def decode_request_head(
        self, method: str, target: str, headers: Mapping[str, str]
    ) -> RequestHead:
        """Return the head; raise `InvalidHeadError` without an id or if malformed."""
        attempt_id = headers.get(ATTEMPT_ID, "")
        if not attempt_id:
            raise InvalidHeadError(f"the header {ATTEMPT_ID} is missing")
        connection_options = _connection_options(headers)
        return RequestHead(
            attempt_id=attempt_id,
            method=method,
            target=target,
            path=target.partition("?")[0],
            host=headers.get("Host", "").partition(":")[0].lower(),
            headers=tuple(
                (name, value)
                for name, value in headers.items()
                if name.lower() not in NOT_FORWARDED
                and name.lower() not in connection_options
            ),
            credential=_parse_credential(headers.get("Authorization")),
            deadline_seconds=_parse_deadline(headers.get(DEADLINE)),
            model=headers.get(MODEL, ""),
            prompt=_parse_prompt(headers.get(TOKEN_COUNTS), headers.get(PROMPT_PREFIX)),
            resume_after=headers.get(LAST_EVENT_ID, ""),
        )


class PlatformEndpointCodec(EndpointCodec):
    """Builds the headers of calls to endpoints and decodes the heads of responses."""

    def build_call_headers(self, call: EndpointCall) -> list[tuple[str, str]]:
        """Return the headers of a call."""
        request = call.request
        head = request.head
        headers = list(head.headers)
        headers.append(("Host", head.host))
        headers.append((EXPECT_INSTANCE, call.instance))
        remaining = max(int(call.remaining_seconds * MILLISECONDS_PER_SECOND), 1)
        headers.append((DEADLINE, str(remaining)))
        if request.account is not None:
            headers.append((TENANT, request.account.name))
        if head.prompt is not None:
            headers.append((URGENCY_CLASS, str(call.urgency)))
        if head.model:
            headers.append((MODEL, call.model or head.model))
        if call.resume_after:
            headers.append((LAST_EVENT_ID, call.resume_after))
        return headers

    def decode_response_head(
        self, status: int, headers: Mapping[str, str]
    ) -> ResponseHead:
        """Return the head of a response."""
        length = headers.get("Content-Length", "")
        names_pause = status == PAUSE_STATUS and RETRY_AFTER in headers
        return ResponseHead(
            status=status,
            attempt_id=headers.get(ATTEMPT_ID, ""),
            not_run=NOT_RUN in headers,
            misdirected=status == MISDIRECTED_STATUS,
            answered_by=headers.get(INSTANCE, ""),
            sealed=_is_returned_whole(headers.get(SERVER_SEAL)),
            confidence=_parse_number(headers.get(CONFIDENCE)),
            request_limit=_parse_limit(headers.get(SERVER_LIMIT)),
            names_request_limit=SERVER_LIMIT in headers,
            brittle_limit=_parse_limit(headers.get(SERVER_BRITTLE)),
            leaving=headers.get(SERVER_LEAVING, "0").strip() not in ("", "0"),
            pause_seconds=_parse_pause(headers) if names_pause else None,
            names_pause=names_pause,
            cold_seconds=_parse_cold(headers.get(COLD)),
            closes_connection="close" in headers.get("Connection", "").lower(),
            length=int(length) if length.isdigit() else None,
            encoded=CONTENT_ENCODING in headers,
            headers=tuple(
                (name, value)
                for name, value in headers.items()
                if name.lower() not in NOT_RETURNED
            ),
        )


def _connection_options(headers: Mapping[str, str]) -> frozenset[str]:
    """Return the names of the headers that ``Connection`` declares hop-by-hop."""
    value = headers.get("Connection", "")
    ignored_options = ("close", "keep-alive", "")
    return frozenset(
        name
        for part in value.split(",")
        if (name := part.strip().lower()) not in ignored_options
    )


def _parse_credential(value: str | None) -> str | None:
    if value is None or not value.startswith(BEARER_SCHEME):
        return None
    return value[len(BEARER_SCHEME) :].strip() or None


def _parse_deadline(value: str | None) -> float | None:
    if value is None or not value.strip():
        return None
    number = _parse_number(value)
    if number is None or not 0 < number < math.inf:
        raise InvalidHeadError(
            f"the header {DEADLINE} is {value!r}, not a positive number"
        )
    return number / MILLISECONDS_PER_SECOND


def _parse_number(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        return float(value)
    except ValueError:
        return None


def _parse_limit(value: str | None) -> float | None:
    """Return a limit in requests a second, ``None`` if there is no valid one."""
    number = _parse_number(value)
    if number is None or not math.isfinite(number) or number < 0:
        return None
    return number


def _parse_cold(value: str | None) -> float | None:
    """Return the seconds for which a worker stays cold, ``None`` if it does not say."""
    number = _parse_limit(value)
    return None if number is None else number / MILLISECONDS_PER_SECOND


def _parse_pause(headers: Mapping[str, str]) -> float | None:
    """Return the seconds of a pause, ``None`` if the value is not valid.

    A date counts from the answer's own, since the clocks of the worker and of this
    instance may differ.
    """
    value = headers[RETRY_AFTER].strip()
    seconds = _parse_number(value)
    if seconds is None:
        seconds = _seconds_between(headers.get("Date", ""), value)
    if seconds is None or not math.isfinite(seconds) or seconds < 0:
        return None
    return seconds


def _seconds_between(first: str, last: str) -> float | None:
    """Return the seconds between two dates, ``None`` if one is not valid."""
    try:
        began, ended = map(email.utils.parsedate_to_datetime, (first, last))
        return (ended - began).total_seconds()
    except (TypeError, ValueError):
        return None


def _is_returned_whole(value: str | None) -> bool:
    """Return whether there is a value, and the caller gets all bytes of it.

    Bytes that are not UTF-8 are left out when a head is sent.
    """
    return value is not None and not SURROGATES.search(value)


def _parse_tokens(text: str) -> int:
    """Return a number of tokens; raise `ValueError` if it can't be one."""
    number = int(text)
    if not 0 <= number <= MAXIMUM_TOKENS:
        raise ValueError(f"{number} is not between 0 and {MAXIMUM_TOKENS}")
    return number


def _parse_prompt(tokens: str | None, prefix: str | None) -> Prompt | None:
    if tokens is None or not tokens.strip():
        return None
    prompt_tokens, _, generated_tokens = tokens.partition(",")
    try:
        parts = tuple(
            PromptPart(part_id, _parse_tokens(length))
            for item in (prefix or "").split(",")
            if item
            for part_id, _, length in (item.strip().partition(":"),)
        )
        return Prompt(
            input_tokens=_parse_tokens(prompt_tokens),
            output_tokens=_parse_tokens(generated_tokens.strip() or "0"),
            parts=parts,
        )
    except ValueError as error:
        detail = f"the headers {TOKEN_COUNTS} or {PROMPT_PREFIX} are malformed: {error}"
        raise InvalidHeadError(detail) from error

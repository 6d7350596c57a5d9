"""The platform's headers of requests and answers."""

from collections.abc import Mapping

from linnetladder.forwarding.protocol import (
    AnswerHead,
    CallerDialect,
    EndpointCall,
    EndpointDialect,
    HeadProblem,
)
from linnetladder.forwarding.state import CallerHead, Prompt, PromptPart

__all__ = ["READY_PATH", "PlatformCallers", "PlatformEndpoints"]

READY_PATH = "/-/readyz"

ATTEMPT_ID = "Linnetladder-Attempt-Id"
DEADLINE = "Linnetladder-Deadline-Ms"
MODEL = "Linnetladder-Model"
TOKENS = "Linnetladder-Token-Counts"
PREFIX = "Linnetladder-Prompt-Prefix"
LAST_EVENT = "Last-Event-Id"
TENANT = "Linnetladder-Tenant"
EXPECT_INSTANCE = "Linnetladder-Expect-Instance"
NOT_RUN = "Linnetladder-Not-Run"
SEAL = "Linnetladder-Server-Seal"
URGENCY = "Linnetladder-Urgency-Class"
CONFIDENCE = "Linnetladder-Confidence"
SCHEME = "Bearer "
MILLISECONDS = 1000.0
MISDIRECTED_STATUS = 421

# Headers that concern one connection only, and those that the router sets itself.
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
        URGENCY,
        LAST_EVENT,
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


class PlatformCallers(CallerDialect):
    """Decode the heads of callers' requests."""

    def read_head(
        self, method: str, target: str, headers: Mapping[str, str]
    ) -> CallerHead:
        """Return the head; raise `HeadProblem` if it has no id or a malformed field."""
        attempt_id = headers.get(ATTEMPT_ID, "")
        if not attempt_id:
            raise HeadProblem(f"the header {ATTEMPT_ID} is missing")
        named = _named_by_connection(headers)
        return CallerHead(
            attempt_id=attempt_id,
            method=method,
            target=target,
            path=target.partition("?")[0],
            host=headers.get("Host", "").partition(":")[0].lower(),
            headers=tuple(
                (name, value)
                for name, value in headers.items()
                if name.lower() not in NOT_FORWARDED and name.lower() not in named
            ),
            credential=_credential(headers.get("Authorization")),
            deadline_seconds=_deadline(headers.get(DEADLINE)),
            model=headers.get(MODEL, ""),
            prompt=_prompt(headers.get(TOKENS), headers.get(PREFIX)),
            resume_after=headers.get(LAST_EVENT, ""),
        )


class PlatformEndpoints(EndpointDialect):
    """Build the headers of attempts and decode the heads of answers."""

    def call_headers(self, call: EndpointCall) -> list[tuple[str, str]]:
        """Return the headers of an attempt."""
        request = call.request
        head = request.head
        headers = list(head.headers)
        headers.append(("Host", head.host))
        headers.append((EXPECT_INSTANCE, call.instance))
        remaining = max(int(call.remaining_seconds * MILLISECONDS), 1)
        headers.append((DEADLINE, str(remaining)))
        if request.account is not None:
            headers.append((TENANT, request.account.name))
        if head.prompt is not None:
            headers.append((URGENCY, str(call.urgency)))
        if head.model:
            headers.append((MODEL, call.model or head.model))
        if call.resume_after:
            headers.append((LAST_EVENT, call.resume_after))
        return headers

    def read_answer(self, status: int, headers: Mapping[str, str]) -> AnswerHead:
        """Return the head of an answer."""
        length = headers.get("Content-Length", "")
        return AnswerHead(
            status=status,
            attempt_id=headers.get(ATTEMPT_ID, ""),
            not_run=NOT_RUN in headers,
            misdirected=status == MISDIRECTED_STATUS,
            sealed=SEAL in headers,
            confidence=_number(headers.get(CONFIDENCE)),
            closes="close" in headers.get("Connection", "").lower(),
            length=int(length) if length.isdigit() else None,
            headers=tuple(
                (name, value)
                for name, value in headers.items()
                if name.lower() not in NOT_RETURNED
            ),
        )


def _named_by_connection(headers: Mapping[str, str]) -> frozenset[str]:
    """Return the headers that the caller declares to concern its connection only."""
    value = headers.get("Connection", "")
    kept = ("close", "keep-alive", "")
    return frozenset(
        name for part in value.split(",") if (name := part.strip().lower()) not in kept
    )


def _credential(value: str | None) -> str | None:
    if value is None or not value.startswith(SCHEME):
        return None
    return value[len(SCHEME) :].strip()


def _deadline(value: str | None) -> float | None:
    if value is None:
        return None
    number = _number(value)
    if number is None or number <= 0:
        raise HeadProblem(f"the header {DEADLINE} is {value!r}, not a positive number")
    return number / MILLISECONDS


def _number(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        return float(value)
    except ValueError:
        return None


def _prompt(tokens: str | None, prefix: str | None) -> Prompt | None:
    if tokens is None:
        return None
    read, _, generated = tokens.partition(",")
    try:
        parts = tuple(
            PromptPart(part_id, int(length))
            for entry in (prefix or "").split(",")
            if entry
            for part_id, _, length in (entry.strip().partition(":"),)
        )
        return Prompt(
            input_tokens=int(read), output_tokens=int(generated or 0), parts=parts
        )
    except ValueError as error:
        detail = f"the headers {TOKENS} or {PREFIX} are malformed: {error}"
        raise HeadProblem(detail) from error

"""Checks that an engine's answer belongs to the request and the version it was sent to.

An engine names the request id and the version in every event of a stream and in every
complete answer. Events are first compared as bytes, since engines serialize both fields
in one fixed form, and are parsed as JSON only if that comparison is not conclusive.
"""

import dataclasses

import orjson
import pydantic
from returns.result import Failure, Result, Success

from linnetladder.coordination.attempts.endpoint_client import (
    EndpointFault,
    EndpointFaultKind,
    StreamEvent,
    Usage,
)
from linnetladder.errors import Ran
from linnetladder.state import EndpointReport, VersionRef

__all__ = ["AnswerCheck", "LoadBody", "build_endpoint_report", "split_events"]

EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
END_MARKER = b"[DONE]"
USAGE_MARKER = b'"usage":{'


class LoadBody(pydantic.BaseModel):
    """The body of an endpoint's load report."""

    name: str
    incarnation: str
    address: str
    failure_domain: str
    service: str
    versions: tuple[str, ...] = ()
    capacity: int = pydantic.Field(ge=1)
    in_flight: int = pydantic.Field(ge=0)
    leaving: bool = False


def build_endpoint_report(body: LoadBody) -> EndpointReport:
    """Convert a load report to the data class that the endpoint table merges."""
    return EndpointReport(
        name=body.name,
        incarnation=body.incarnation,
        address=body.address,
        failure_domain=body.failure_domain,
        service=body.service,
        versions=frozenset(VersionRef.parse(text) for text in body.versions),
        capacity=body.capacity,
        in_flight=body.in_flight,
        leaving=body.leaving,
    )


def split_events(buffer: bytes) -> tuple[list[bytes], bytes]:
    """Return the complete events at the start of a buffer, and the remaining bytes."""
    end = buffer.rfind(EVENT_END)
    if end < 0:
        return [], buffer
    complete = buffer[: end + len(EVENT_END)]
    rest = buffer[end + len(EVENT_END) :]
    events = [event + EVENT_END for event in complete.split(EVENT_END) if event]
    return events, rest


@dataclasses.dataclass(slots=True)
class AnswerCheck:
    """Check an answer for the request id and the version that it must name."""

    request_id: str
    target: VersionRef
    id_bytes: bytes = b""
    model_bytes: bytes = b""

    def __post_init__(self) -> None:
        self.id_bytes = f'"id":"{self.request_id}"'.encode()
        self.model_bytes = f'"model":"{self.target}"'.encode()

    def whole(self, body: bytes) -> Result[Usage, EndpointFault]:
        """Check a complete answer and return its token usage."""
        try:
            document = orjson.loads(body)
        except orjson.JSONDecodeError:
            return Failure(self._fault(EndpointFaultKind.CUT, "is not whole JSON"))
        fault = self._identity_fault(document)
        if fault is not None:
            return Failure(fault)
        choices = document.get("choices") or [{}]
        if any(not choice.get("finish_reason") for choice in choices):
            return Failure(self._fault(EndpointFaultKind.CUT, "has no end marker"))
        return Success(_parse_usage(document))

    def event(self, data: bytes) -> Result[StreamEvent, EndpointFault]:
        """Check one event of a stream.

        An event that reports usage is always parsed, to return the usage.
        """
        if not data.startswith(DATA_PREFIX):
            return Success(StreamEvent(data))
        if data.startswith(END_MARKER, len(DATA_PREFIX)):
            return Success(StreamEvent(data, end=True))
        identity_matches = self.id_bytes in data and self.model_bytes in data
        if identity_matches and USAGE_MARKER not in data:
            return Success(StreamEvent(data))
        return self._parse_event(data)

    def _parse_event(self, data: bytes) -> Result[StreamEvent, EndpointFault]:
        try:
            document = orjson.loads(data[len(DATA_PREFIX) :])
        except orjson.JSONDecodeError:
            return Failure(self._fault(EndpointFaultKind.CUT, "has a broken event"))
        fault = self._identity_fault(document)
        if fault is not None:
            return Failure(fault)
        usage = _parse_usage(document) if document.get("usage") else None
        return Success(StreamEvent(data, usage=usage))

    def _identity_fault(self, document: object) -> EndpointFault | None:
        if not isinstance(document, dict):
            return self._fault(EndpointFaultKind.CUT, "is not a JSON object")
        if document.get("id") != self.request_id:
            actual = document.get("id")
            reason = f"belongs to request {actual!r}"
            return self._fault(EndpointFaultKind.CROSSED, reason)
        if document.get("model") != str(self.target):
            actual = document.get("model")
            reason = f"was given by version {actual!r}, not {str(self.target)!r}"
            return self._fault(EndpointFaultKind.WRONG_VERSION, reason)
        return None

    def _fault(self, kind: EndpointFaultKind, reason: str) -> EndpointFault:
        detail = f"the answer to request {self.request_id!r} {reason}"
        ran = Ran.UNKNOWN if kind is EndpointFaultKind.CROSSED else Ran.YES
        return EndpointFault(kind=kind, ran=ran, detail=detail)


def _parse_usage(document: dict) -> Usage:
    counts = document.get("usage") or {}
    return Usage(
        int(counts.get("prompt_tokens") or 0), int(counts.get("completion_tokens") or 0)
    )

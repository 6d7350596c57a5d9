"""Traces with one span per hop, exported for refusals and for a sample of the rest.

While a request runs, only the times of its hops are recorded. When it ends, the spans
of a sampled or refused request are built from them and passed to the exporter, so
requests whose trace is not exported cost next to nothing.
"""

import dataclasses
import random
import time

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
    SpanExporter,
)
from opentelemetry.sdk.util.instrumentation import InstrumentationScope
from opentelemetry.trace import SpanContext, SpanKind, TraceFlags
from opentelemetry.trace.status import Status, StatusCode

__all__ = ["Hop", "RequestTrace", "Tracer", "build_tracer"]

# Hexadecimal digits of the version, trace id, parent id and flags.
TRACEPARENT_FIELD_LENGTHS = (2, 32, 16, 2)
TRACE_ID_BITS = 128
SPAN_ID_BITS = 64
SCOPE = InstrumentationScope("linnetladder")


@dataclasses.dataclass(slots=True)
class Hop:
    """The times and outcome of one hop; times are Unix time in nanoseconds."""

    name: str
    span_id: int
    started: int
    ended: int = 0
    detail: str = ""
    failed: bool = False

    def end(self, *, detail: str = "", failed: bool = False) -> None:
        """Record the end of the hop."""
        self.ended = time.time_ns()
        self.detail = detail
        self.failed = failed


class RequestTrace:
    """The hops of one request."""

    def __init__(self, *, trace_id: int, parent_id: int, sampled: bool):
        self.trace_id = trace_id
        self.parent_id = parent_id
        self.sampled = sampled
        self.span_id = random.getrandbits(SPAN_ID_BITS)
        self.started = time.time_ns()
        self.hops: list[Hop] = []

    def begin(self, name: str) -> Hop:
        """Record the start of a hop."""
        hop = Hop(name, random.getrandbits(SPAN_ID_BITS), time.time_ns())
        self.hops.append(hop)
        return hop

    def traceparent_header(self, hop: Hop) -> str:
        """Return the ``traceparent`` header to send on a hop."""
        flags = "01" if self.sampled else "00"
        return f"00-{self.trace_id:032x}-{hop.span_id:016x}-{flags}"


class Tracer:
    """Start traces and export the sampled ones and those of refused requests.

    ``share`` is the share of requests that are sampled, 0 to 1.
    """

    def __init__(
        self,
        *,
        processor: SpanProcessor | None,
        share: float,
        instance: str,
        failure_domain: str,
    ):
        self.processor = processor
        self.share = share
        attributes = {
            "service.name": "linnetladderd",
            "service.instance.id": instance,
            "linnetladder.failure_domain": failure_domain,
        }
        self.resource = Resource(attributes)

    def begin(self, traceparent_header: str) -> RequestTrace | None:
        """Start a trace, or return ``None`` if it is neither exported nor passed on."""
        if self.processor is None and not traceparent_header:
            return None
        trace_id, parent_id, sampled = _parse_traceparent(traceparent_header)
        if not trace_id:
            trace_id = random.getrandbits(TRACE_ID_BITS)
            sampled = random.random() < self.share
        return RequestTrace(trace_id=trace_id, parent_id=parent_id, sampled=sampled)

    def finish(self, trace: RequestTrace | None, *, refused: str) -> None:
        """Export a trace if it was sampled or its request was refused.

        ``refused`` is the reason of a refusal, otherwise empty.
        """
        if trace is None or self.processor is None:
            return
        if not (trace.sampled or refused):
            return
        request = Hop("caller", trace.span_id, trace.started)
        request.end(detail=refused, failed=bool(refused))
        self._export(trace, request, trace.parent_id, SpanKind.SERVER)
        for hop in trace.hops:
            self._export(trace, hop, trace.span_id, SpanKind.CLIENT)

    def close(self) -> None:
        """Export the remaining spans and shut the exporter down."""
        if self.processor is not None:
            self.processor.shutdown()

    def _export(
        self, trace: RequestTrace, hop: Hop, parent_id: int, kind: SpanKind
    ) -> None:
        status = Status(StatusCode.ERROR, hop.detail) if hop.failed else Status()
        span = ReadableSpan(
            name=hop.name,
            context=_span_context(trace.trace_id, hop.span_id),
            parent=_span_context(trace.trace_id, parent_id) if parent_id else None,
            resource=self.resource,
            attributes={"linnetladder.detail": hop.detail},
            kind=kind,
            instrumentation_scope=SCOPE,
            status=status,
            start_time=hop.started,
            end_time=hop.ended or time.time_ns(),
        )
        self.processor.on_end(span)


def _span_context(trace_id: int, span_id: int) -> SpanContext:
    flags = TraceFlags(TraceFlags.SAMPLED)
    return SpanContext(trace_id, span_id, is_remote=False, trace_flags=flags)


def _parse_traceparent(header: str) -> tuple[int, int, bool]:
    parts = header.split("-")
    lengths = tuple(len(part) for part in parts)
    if lengths != TRACEPARENT_FIELD_LENGTHS:
        return 0, 0, False
    try:
        return int(parts[1], 16), int(parts[2], 16), bool(int(parts[3], 16) & 1)
    except ValueError:
        return 0, 0, False


def _build_exporter(name: str, endpoint: str) -> SpanExporter | None:
    if name == "console":
        return ConsoleSpanExporter()
    if name == "otlp":
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
            OTLPSpanExporter,
        )

        return OTLPSpanExporter(endpoint=endpoint)
    return None


def build_tracer(
    *, exporter: str, endpoint: str, share: float, instance: str, failure_domain: str
) -> Tracer:
    """Return a tracer for an exporter named ``none``, ``console`` or ``otlp``."""
    span_exporter = _build_exporter(exporter, endpoint)
    processor = BatchSpanProcessor(span_exporter) if span_exporter is not None else None
    return Tracer(
        processor=processor,
        share=share,
        instance=instance,
        failure_domain=failure_domain,
    )

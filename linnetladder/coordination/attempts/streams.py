"""Forwarding of a streamed answer to the caller.

Events are forwarded as they arrive. When the connection to the endpoint breaks or goes
silent, the stream is resumed where it stopped, at the same endpoint first and otherwise
at another one that serves the same version. The end marker is held back until the bill
is durable.
"""

import dataclasses
from collections.abc import AsyncIterator

from returns.result import Failure, Result, Success

from linnetladder.coordination.attempts.endpoint_client import (
    EndpointFault,
    EndpointFaultKind,
    StreamAnswer,
    StreamEvent,
    Usage,
)
from linnetladder.coordination.attempts.faults import fault_refusal
from linnetladder.coordination.attempts.runner import AttemptRunner, BegunAnswer
from linnetladder.coordination.billing.completion import Completion
from linnetladder.coordination.routing.entry import EntryChecks
from linnetladder.coordination.routing.exchanges import (
    AnswerHead,
    Refused,
    StreamExchange,
)
from linnetladder.coordination.routing.request_context import RequestContext
from linnetladder.errors import Ran, Refusal
from linnetladder.telemetry import Metrics, Tracer

__all__ = ["RoutedStream"]

MAXIMUM_RESUMES = 3
RESUMABLE_FAULTS = frozenset(
    {EndpointFaultKind.BROKEN, EndpointFaultKind.SILENT, EndpointFaultKind.CUT}
)


class RoutedStream(StreamExchange):
    """Forward a stream, resume it after faults, bill it and end it.

    ``forwarded_events`` counts the events that were forwarded to the caller.
    """

    def __init__(
        self,
        *,
        context: RequestContext,
        begun: BegunAnswer,
        head: AnswerHead,
        runner: AttemptRunner,
        completion: Completion,
        checks: EntryChecks,
        metrics: Metrics,
        tracer: Tracer,
    ):
        self.context = context
        self.begun = begun
        self.head = head
        self.runner = runner
        self.completion = completion
        self.checks = checks
        self.metrics = metrics
        self.tracer = tracer
        self.usage: Usage | None = None
        self.forwarded_events = 0
        self.resumes = 0
        self.billed = False
        self.finished = False

    async def chunks(self) -> AsyncIterator[bytes | Refused]:
        """Yield the events' bytes, and last the end marker or a refusal."""
        while True:
            fault: EndpointFault | None = None
            async for outcome in self.begun.answer.events():
                if isinstance(outcome, Failure):
                    fault = outcome.failure()
                    break
                data, end = self._collect(outcome.unwrap())
                if data:
                    yield data
                if end is not None:
                    yield await self._complete(end)
                    return
            if fault is None:
                fault = _cut_fault(self.begun)
            refusal = await self._recover(fault)
            if refusal is not None:
                yield await self._refuse(refusal)
                return

    async def abandon(self) -> None:
        """Cancel the request at the endpoint and bill the forwarded events."""
        if self.finished:
            return
        self.metrics.count("caller_left")
        await self.begun.answer.close()
        self.runner.cancel_at_endpoint(self.begun.slot.endpoint, self.begun.call)
        if self.forwarded_events and not self.billed:
            usage = self._usage_so_far()
            self.completion.bill_without_waiting(self.context, usage, complete=False)
        self._finish("")

    def _collect(self, events: list[StreamEvent]) -> tuple[bytes, StreamEvent | None]:
        """Return the bytes to forward, and the end marker if the batch contains it."""
        end = None
        if events[-1].end:
            end = events.pop()
        for event in events:
            if event.usage is not None:
                self.usage = event.usage
        self.forwarded_events += len(events)
        if len(events) == 1:
            return events[0].data, end
        return b"".join(event.data for event in events), end

    async def _complete(self, end: StreamEvent) -> bytes | Refused:
        """Bill the stream and return its end marker, or the refusal."""
        self.billed = True
        refusal = await self.completion.bill(
            self.context, self._usage_so_far(), forwarded=True
        )
        if refusal is not None:
            return await self._refuse(refusal)
        endpoint = self.begun.slot.endpoint
        self.runner.ejector.succeeded(endpoint)
        self.metrics.count("answered", label=str(self.context.target))
        self._finish("")
        return end.data

    async def _recover(self, fault: EndpointFault) -> Refusal | None:
        """Resume the stream after a fault, or return the refusal."""
        slot = self.begun.slot
        self.context.ran = Ran.YES
        await self.begun.answer.close()
        resumable = fault.kind in RESUMABLE_FAULTS and self.context.idempotent
        if not resumable or self.resumes >= MAXIMUM_RESUMES:
            await self.runner.record_fault(self.context, slot, fault)
            return fault_refusal(fault, Ran.YES)
        self.resumes += 1
        self.runner.client.retire_connections(slot.endpoint)
        call = dataclasses.replace(self.begun.call, resume_after=self.forwarded_events)
        resumed = await self.runner.client.resume(slot.endpoint, call)
        if isinstance(resumed, Failure):
            await self.runner.record_fault(self.context, slot, fault)
            resumed = await self._resume_elsewhere()
        if isinstance(resumed, Failure):
            return resumed.failure()
        self.metrics.count("stream_resumes")
        self.begun.answer = resumed.unwrap()
        return None

    async def _resume_elsewhere(self) -> Result[StreamAnswer, Refusal]:
        """Run the request again at another endpoint, skipping the forwarded events."""
        slot = self.begun.slot
        slot.release(self.runner.clock.monotonic())
        begun = await self.runner.run_attempts(
            self.context,
            self.context.target,
            tried=frozenset({slot.endpoint.name}),
            resume_after=self.forwarded_events,
        )
        if isinstance(begun, Failure):
            return Failure(dataclasses.replace(begun.failure(), ran=Ran.YES))
        self.begun = begun.unwrap()
        return Success(self.begun.answer)

    async def _refuse(self, refusal: Refusal) -> Refused:
        refused = await self.completion.refuse(self.context, refusal)
        self._finish(refusal.kind)
        return refused

    def _usage_so_far(self) -> Usage:
        """Return the reported usage, or an estimate of one token per event."""
        if self.usage is not None:
            return self.usage
        return Usage(self.context.inputs.input_tokens, self.forwarded_events)

    def _finish(self, refused: str) -> None:
        """Release what the stream holds and record its duration and trace."""
        self.finished = True
        now = self.runner.clock.monotonic()
        self.begun.slot.release(now)
        self.runner.end_trial(self.context, clean=not refused)
        self.checks.end_request(self.context)
        self.metrics.record("total_seconds", now - self.context.request.received)
        self.tracer.finish(self.context.trace, refused=refused)


def _cut_fault(begun: BegunAnswer) -> EndpointFault:
    detail = f"endpoint {begun.slot.endpoint.name!r} ended the stream before its end"
    return EndpointFault(kind=EndpointFaultKind.CUT, ran=Ran.YES, detail=detail)

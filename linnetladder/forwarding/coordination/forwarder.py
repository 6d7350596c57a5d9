"""Handling of a forwarded request, from admission to the end of its response."""

import asyncio
import dataclasses

from returns.result import Failure

from linnetladder.errors import ErrorKind, Ran, Refusal
from linnetladder.forwarding.coordination.admission import (
    RESPONSE_MARGIN_SECONDS,
    AdmissionControl,
)
from linnetladder.forwarding.coordination.bill_flushing import BillFlusher
from linnetladder.forwarding.coordination.bills import BillBuffer
from linnetladder.forwarding.coordination.budget import RetryBudget
from linnetladder.forwarding.coordination.calls import (
    CallFault,
    CallFaultKind,
    Reply,
)
from linnetladder.forwarding.coordination.in_force import TableInForce
from linnetladder.forwarding.coordination.load_admission import LoadAdmission
from linnetladder.forwarding.coordination.memory_account import MemoryLease
from linnetladder.forwarding.coordination.outcomes import AttemptOutcome
from linnetladder.forwarding.coordination.reporting import RequestReporter
from linnetladder.forwarding.coordination.sender import Attempt, Sender
from linnetladder.forwarding.coordination.sizing import SizingInputs, SizingPolicy
from linnetladder.forwarding.protocol.events import EventSplitter
from linnetladder.forwarding.state import (
    ForwardRequest,
    RequestHead,
    RequestKind,
)
from linnetladder.forwarding.state.requests import ANY_MODEL
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics

__all__ = ["Forwarder"]

SERVER_ERROR_STATUS = 500
# An event that is longer is taken for one without end.
MAXIMUM_EVENT_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class FailedResponse:
    """A complete response with which an endpoint reported a server error."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(slots=True)
class StreamState:
    """Progress of a stream that is relayed to its caller.

    ``position`` is the index of the current model among the route's models and
    ``given_up`` that of the smaller model whose answer was given up for it.
    ``fell_back`` is set once that one is asked again, first at the endpoints other than
    ``given_up_endpoint``, which gave that answer.
    ``last_event_id`` is the id of the last complete event that was relayed, and
    ``begun`` is set once the response's head was sent.
    """

    position: int
    given_up: int | None = None
    given_up_endpoint: str = ""
    fell_back: bool = False
    failed: FailedResponse | None = None
    last_event_id: int | None = None
    begun: bool = False

    @property
    def may_fall_back(self) -> bool:
        """Whether a smaller model has answered that may be asked again."""
        return self.given_up is not None and not (self.fell_back or self.begun)


class Forwarder:
    """Admits requests, forwards them to endpoints, and relays the responses."""

    def __init__(
        self,
        *,
        admission: AdmissionControl,
        load_admission: LoadAdmission,
        in_force: TableInForce,
        sender: Sender,
        sizing: SizingPolicy,
        budget: RetryBudget,
        bills: BillBuffer,
        bill_flusher: BillFlusher,
        clock: Clock,
        metrics: Metrics,
    ):
        self.admission = admission
        self.load_admission = load_admission
        self.in_force = in_force
        self.sender = sender
        self.sizing = sizing
        self.budget = budget
        self.bills = bills
        self.bill_flusher = bill_flusher
        self.clock = clock
        self.metrics = metrics
        self.reporter = RequestReporter(in_force=in_force, clock=clock, metrics=metrics)
        self.active_requests = 0
        self.time_limits: set[asyncio.Timeout] = set()

    async def answer(
        self, head: RequestHead, body: bytes, *, received: float, reply: Reply
    ) -> None:
        """Answer one request.

        On return the reply is complete, or its connection was cut so that the caller
        does not take a partial response for a complete one.
        """
        self.metrics.count("requests")
        admitted = self.admission.admit(head, body, received=received)
        if isinstance(admitted, Failure):
            await self._refuse(head, None, admitted.failure(), reply)
            return
        request = admitted.unwrap()
        refusal = self._refuse_for_load(request)
        if refusal is not None:
            await self._refuse(head, request, refusal, reply)
            return
        self.active_requests += 1
        try:
            await self._serve_before_deadline(request, reply)
        except asyncio.CancelledError:
            self.reporter.caller_left(request)
            raise
        finally:
            self.sender.release_retry(request)
            self.sender.trials.end(request)
            self._record_bill(request)
            self.active_requests -= 1

    def _refuse_for_load(self, request: ForwardRequest) -> Refusal | None:
        """Return a refusal if a request can't be served by its deadline."""
        model = request.head.model
        if model == ANY_MODEL and request.route.models:
            position = self.sizing.first_position(self.sizing_inputs(request))
            model = request.route.models[position]
        inputs = self.sender.selection_inputs(request, model)
        return self.load_admission.refuse(request, inputs, model)

    def _record_bill(self, request: ForwardRequest) -> None:
        """Add the bill of a request that may have run, at most once per request."""
        if request.ran and not request.billed:
            request.billed = True
            self.bills.add(request, model=request.model, events=request.events)

    async def _ensure_bill_durable(self, request: ForwardRequest) -> None:
        available = request.deadline - self.clock.monotonic() - RESPONSE_MARGIN_SECONDS
        if available > 0:
            await self.bill_flusher.ensure_durable(seconds=available)

    async def _serve_before_deadline(
        self, request: ForwardRequest, reply: Reply
    ) -> None:
        began = self.clock.monotonic()
        remaining = request.deadline - began
        try:
            async with asyncio.timeout(max(remaining, 0.0)) as limit:
                self.time_limits.add(limit)
                if request.route.kind is RequestKind.STREAMING:
                    await self._serve_stream(request, reply)
                else:
                    await self._serve_buffered(request, reply)
            self.load_admission.learn_end(request, served=True)
            self.sender.planned_stop.learn_duration(
                request.route.name, self.clock.monotonic() - began
            )
        except TimeoutError:
            await self._end_at_deadline(request, reply)
        finally:
            self.time_limits.discard(limit)

    def end_requests(self) -> None:
        """End all requests in progress, as at their deadlines, before the daemon does.

        Those whose answers have not begun are answered; the others are cut off.
        """
        now = asyncio.get_running_loop().time()
        for limit in self.time_limits:
            if not limit.expired():
                limit.reschedule(now)

    def _learn_escalation(self, request: ForwardRequest) -> None:
        """Record when a larger model's answer began, or that it did not."""
        elapsed = self.clock.monotonic() - request.received
        in_time = elapsed <= request.route.objective_seconds
        self.sizing.learn_answer(request.route, in_time=in_time)

    async def _end_at_deadline(self, request: ForwardRequest, reply: Reply) -> None:
        self.load_admission.learn_end(request, served=False)
        if request.fallback_seconds is not None:
            self._learn_escalation(request)
        if reply.begun:
            reply.abort_response()
            self.reporter.broken_off(request, _describe_time_limit(request))
            return
        stopping = self.sender.planned_stop.refuse(request)
        if stopping is not None:
            await self._refuse(request.head, request, stopping, reply)
            return
        ran = Ran.UNKNOWN if request.ran else Ran.NO
        kind = ErrorKind.DEADLINE_EXCEEDED if request.ran else ErrorKind.OVERLOADED
        detail = f"{_describe_time_limit(request)} before an endpoint had answered"
        await self._refuse(request.head, request, Refusal(kind, detail, ran), reply)

    async def _serve_buffered(self, request: ForwardRequest, reply: Reply) -> None:
        """Relay a complete response; retry idempotent requests after a server error."""
        failed: FailedResponse | None = None
        while True:
            opened = await self.sender.open(request, model="", resume_after="")
            if isinstance(opened, Failure):
                await self._send_failure(request, reply, failed, opened.failure())
                return
            attempt = opened.unwrap()
            attempt.exchange.memory = reply.memory
            try:
                body = await self._read_body(request, attempt)
            except CallFault as fault:
                await self.sender.record_broken_response(request, attempt, fault)
                continue
            finally:
                self.sender.close(request, attempt, AttemptOutcome.BROKEN)
            status = attempt.exchange.head.status
            if status >= SERVER_ERROR_STATUS and self._may_retry_failed_response(
                request
            ):
                failed = FailedResponse(status, attempt.exchange.head.headers, body)
                continue
            self._record_bill(request)
            await self._ensure_bill_durable(request)
            await reply.send(status, attempt.exchange.head.headers, body)
            self._report_end(request, attempt, status)
            return

    async def _read_body(self, request: ForwardRequest, attempt: Attempt) -> bytes:
        body = await attempt.exchange.read()
        status = attempt.exchange.head.status
        self.sender.close(request, attempt, _outcome_for_status(status))
        return body

    def _may_retry_failed_response(self, request: ForwardRequest) -> bool:
        """Return whether the request may be retried after a server error response."""
        if not self.sender.may_retry(request) or not request.route.retryable:
            return False
        return self.budget.available(request.service) >= 1.0

    async def _serve_stream(self, request: ForwardRequest, reply: Reply) -> None:
        """Escalate to the largest model if need be, then relay one response."""
        state = StreamState(
            position=self.sizing.first_position(self.sizing_inputs(request))
        )
        while True:
            model = request.model = self.requested_model(request, state.position)
            opened = await self.sender.open(
                request, model=model, resume_after=_resume_after(request, state)
            )
            if isinstance(opened, Failure):
                if self._fall_back(request, state):
                    continue
                await self._end_failed_stream(request, reply, state, opened.failure())
                return
            attempt = opened.unwrap()
            asked = state.position
            try:
                finished = await self._relay_attempt(request, reply, state, attempt)
            finally:
                self.sender.close(request, attempt, None)
            if finished:
                return
            if state.position == asked:
                self._fall_back(request, state)

    async def _relay_attempt(
        self,
        request: ForwardRequest,
        reply: Reply,
        state: StreamState,
        attempt: Attempt,
    ) -> bool:
        """Relay one attempt's response; return false if another one should follow."""
        head = attempt.exchange.head
        if head.status != 200:
            return await self._relay_failure(request, reply, state, attempt)
        if not state.begun:
            if request.fallback_seconds is not None:
                self._learn_escalation(request)
            escalated = self._escalate(request, state, attempt)
            if escalated:
                return False
        try:
            await self._relay_events(request, reply, state, attempt)
        except CallFault as fault:
            await self.sender.record_broken_response(request, attempt, fault)
            return False
        self.sender.close(request, attempt, AttemptOutcome.GOOD)
        self.reporter.answered(request, attempt.model, 200)
        return True

    def _escalate(
        self, request: ForwardRequest, state: StreamState, attempt: Attempt
    ) -> bool:
        """Discard a low-confidence response in favor of a larger model.

        Return whether an attempt at that model should follow. The deadline, the route's
        attempts and the retry budget have to allow it.
        """
        if request.head.model != ANY_MODEL or not request.route.models:
            return False
        if state.fell_back:
            return False
        confidence = attempt.exchange.head.confidence
        inputs = self.sizing_inputs(request)
        inputs.holding_models = self.sender.holding_models(request)
        step = self.sizing.next_position(
            inputs, position=state.position, confidence=confidence
        )
        request.history.append(f"confidence={confidence}:{step.reason}")
        if step.position is None:
            return False
        if not self.sender.may_retry(request) or not request.route.retryable:
            self.metrics.count("escalations_skipped")
            request.history.append("no attempts left")
            return False
        if not self.budget.allows_escalation(request.service):
            self.metrics.count("escalations_skipped")
            request.history.append("no budget left")
            return False
        larger_model = self.requested_model(request, step.position)
        request.endpoints_tried.remove(attempt.endpoint.name)
        if not self.sender.can_send_now(request, larger_model):
            request.endpoints_tried.append(attempt.endpoint.name)
            self.metrics.count("escalations_skipped")
            request.history.append("no endpoint takes more now")
            return False
        self.metrics.count("escalations")
        state.given_up = state.position
        state.given_up_endpoint = attempt.endpoint.name
        state.position = step.position
        request.fallback_seconds = self.clock.monotonic() - attempt.load.started
        self.sender.close(request, attempt, None)
        return True

    def _fall_back(self, request: ForwardRequest, state: StreamState) -> bool:
        """Turn back to the model whose answer was given up for one that has failed.

        Return false if there is none, or if the caller has got a part of the answer.
        """
        if not state.may_fall_back or not self.sender.may_retry(request):
            return False
        state.position = state.given_up
        state.fell_back = True
        request.fallback_seconds = None
        model = self.requested_model(request, state.position)
        # An endpoint that failed with the larger model is the last choice, as long as
        # there are others.
        tried = request.endpoints_tried
        if state.given_up_endpoint in tried and not self.sender.can_send_now(
            request, model
        ):
            tried.remove(state.given_up_endpoint)
        request.history.append(f"falls back to {model}")
        self.metrics.count("escalation_fallbacks")
        return True

    async def _relay_events(
        self,
        request: ForwardRequest,
        reply: Reply,
        state: StreamState,
        attempt: Attempt,
    ) -> None:
        """Relay complete events as they arrive, each once and in order."""
        splitter = EventSplitter()
        unfinished = reply.memory.part() if reply.memory is not None else None
        try:
            await self._relay_split(
                request, reply, state, attempt, splitter, unfinished
            )
        finally:
            # The traceback of a fault would hold the event until garbage is collected.
            splitter.buffer = b""
            if unfinished is not None:
                unfinished.release()
        if not state.begun:
            state.begun = True
            await reply.begin(200, attempt.exchange.head.headers)
        self.sender.record_stream_end(request, attempt)
        self._record_bill(request)
        await self._ensure_bill_durable(request)
        await reply.finish()

    async def _relay_split(
        self,
        request: ForwardRequest,
        reply: Reply,
        state: StreamState,
        attempt: Attempt,
        splitter: EventSplitter,
        unfinished: MemoryLease | None,
    ) -> None:
        """Relay the events of one attempt; ``unfinished`` counts one that is begun."""
        reply.read_ahead_bytes = attempt.exchange.read_ahead_bytes
        async for data in attempt.exchange.chunks():
            new_events = []
            for event in splitter.feed(data):
                comparable = (
                    state.last_event_id is not None and event.event_id is not None
                )
                if comparable and event.event_id <= state.last_event_id:
                    continue
                if event.event_id is not None:
                    state.last_event_id = event.event_id
                new_events.append(event.content)
            if len(splitter.buffer) > MAXIMUM_EVENT_BYTES:
                raise _endless_event_fault()
            if unfinished is not None:
                await unfinished.hold_part(len(splitter.buffer))
            if not new_events:
                continue
            request.events += len(new_events)
            self.sender.record_events(request, attempt, len(new_events))
            if not state.begun:
                state.begun = True
                await reply.begin(200, attempt.exchange.head.headers)
            await reply.write(b"".join(new_events))
        if splitter.buffer:
            raise _truncated_event_fault()

    async def _relay_failure(
        self,
        request: ForwardRequest,
        reply: Reply,
        state: StreamState,
        attempt: Attempt,
    ) -> bool:
        """Relay an error response; return false if another endpoint should be tried."""
        head = attempt.exchange.head
        attempt.exchange.memory = reply.memory
        try:
            body = await attempt.exchange.read()
        except CallFault as fault:
            await self.sender.record_broken_response(request, attempt, fault)
            return False
        self.sender.close(request, attempt, _outcome_for_status(head.status))
        may_be_better = head.status >= SERVER_ERROR_STATUS or state.may_fall_back
        if may_be_better and self._may_retry_failed_response(request):
            state.failed = FailedResponse(head.status, head.headers, body)
            return False
        if state.begun:
            reply.abort_response()
        else:
            await reply.send(head.status, head.headers, body)
        self.reporter.failed(request, head.status)
        return True

    async def _end_failed_stream(
        self,
        request: ForwardRequest,
        reply: Reply,
        state: StreamState,
        refusal: Refusal,
    ) -> None:
        if not state.begun:
            await self._send_failure(request, reply, state.failed, refusal)
            return
        reply.abort_response()
        self.reporter.broken_off(request, refusal.detail)

    async def _send_failure(
        self,
        request: ForwardRequest,
        reply: Reply,
        failed: FailedResponse | None,
        refusal: Refusal,
    ) -> None:
        """Relay the last server error of an endpoint, or refuse if there was none."""
        if failed is None:
            await self._refuse(request.head, request, refusal, reply)
            return
        await reply.send(failed.status, failed.headers, failed.body)
        self.reporter.failed(request, failed.status, refusal.detail)

    def requested_model(self, request: ForwardRequest, position: int) -> str:
        """Return the model at a position, or ``""`` if the caller chose the model."""
        if request.head.model != ANY_MODEL or not request.route.models:
            return ""
        return request.route.models[position]

    def sizing_inputs(self, request: ForwardRequest) -> SizingInputs:
        """Return the inputs of the choice of a model size for a request."""
        objective = request.received + request.route.objective_seconds
        largest = request.route.models[-1] if request.route.models else ""
        return SizingInputs(
            route=request.route,
            prompt=request.head.prompt,
            remaining=objective - self.clock.monotonic(),
            wait=self.sender.selection.backlog_at_choice(
                self.sender.selection_inputs(request, largest)
            ),
        )

    def _report_end(
        self, request: ForwardRequest, attempt: Attempt, status: int
    ) -> None:
        if status >= SERVER_ERROR_STATUS:
            self.reporter.failed(request, status)
        else:
            self.reporter.answered(request, attempt.model, status)

    async def _refuse(
        self,
        head: RequestHead,
        request: ForwardRequest | None,
        refusal: Refusal,
        reply: Reply,
    ) -> None:
        if request is not None and refusal.kind is not ErrorKind.DEADLINE_EXCEEDED:
            request.expected_share = 0.0
        self.reporter.refused(head, request, refusal)
        await reply.refuse(refusal)


def _describe_time_limit(request: ForwardRequest) -> str:
    """Return a message that names who set the exceeded time limit, and its length."""
    seconds = request.deadline - request.received
    return f"the {request.deadline_source}'s time limit of {seconds:.3f} s passed"


def _resume_after(request: ForwardRequest, state: StreamState) -> str:
    """Return the id of the event after which the next attempt should resume."""
    if state.last_event_id is not None:
        return str(state.last_event_id)
    return request.head.resume_after


def _outcome_for_status(status: int) -> AttemptOutcome:
    return (
        AttemptOutcome.FAILED if status >= SERVER_ERROR_STATUS else AttemptOutcome.GOOD
    )


def _endless_event_fault() -> CallFault:
    """Return the fault for an event that exceeds its bound."""
    detail = f"an event exceeds {MAXIMUM_EVENT_BYTES} bytes"
    return CallFault(CallFaultKind.BROKEN, detail, may_have_run=True)


def _truncated_event_fault() -> CallFault:
    """Return the fault for a stream that ended in the middle of an event."""
    detail = "the stream ended within an event"
    return CallFault(CallFaultKind.BROKEN, detail, may_have_run=True)

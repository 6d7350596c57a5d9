"""The way of a forwarded request, from its arrival to the end of its answer."""

import asyncio
import dataclasses

from returns.result import Failure

from linnetladder.errors import ErrorKind, Ran, Refusal
from linnetladder.forwarding.coordination.bill_upkeep import BillUpkeep
from linnetladder.forwarding.coordination.bills import BillBuffer
from linnetladder.forwarding.coordination.budget import WindowBudget
from linnetladder.forwarding.coordination.calls import (
    CallFault,
    CallFaultKind,
    Reply,
)
from linnetladder.forwarding.coordination.entry import ANSWER_SECONDS, Entry
from linnetladder.forwarding.coordination.in_force import TableInForce
from linnetladder.forwarding.coordination.outcomes import Verdict
from linnetladder.forwarding.coordination.reporting import RequestReporter
from linnetladder.forwarding.coordination.sender import Sender, Sent
from linnetladder.forwarding.coordination.sizing import SizingInputs, SizingPolicy
from linnetladder.forwarding.protocol.events import EventSplitter
from linnetladder.forwarding.state import (
    CallerHead,
    ForwardRequest,
    RequestKind,
)
from linnetladder.forwarding.state.requests import ANY_MODEL
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics

__all__ = ["Forwarder"]

# Repeats that escalations leave for attempts that failed.
ESCALATION_RESERVE = 3.0
SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAnswer:
    """An endpoint's whole answer that says that it failed."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(slots=True)
class StreamState:
    """How far a stream has been passed on; ``last_id`` is its last whole event."""

    position: int
    failed: FailedAnswer | None = None
    last_id: int | None = None
    begun: bool = False


class Forwarder:
    """Let requests in, send them on, and pass the answers back."""

    def __init__(
        self,
        *,
        entry: Entry,
        in_force: TableInForce,
        sender: Sender,
        sizing: SizingPolicy,
        budget: WindowBudget,
        bills: BillBuffer,
        upkeep: BillUpkeep,
        clock: Clock,
        metrics: Metrics,
    ):
        self.entry = entry
        self.in_force = in_force
        self.sender = sender
        self.sizing = sizing
        self.budget = budget
        self.bills = bills
        self.upkeep = upkeep
        self.clock = clock
        self.metrics = metrics
        self.reporter = RequestReporter(in_force=in_force, clock=clock, metrics=metrics)
        self.active = 0

    async def answer(
        self, head: CallerHead, body: bytes, *, received: float, reply: Reply
    ) -> None:
        """Answer one request; the reply is whole, or visibly broken off, after it."""
        self.metrics.count("requests")
        admitted = self.entry.admit(head, body, received=received)
        if isinstance(admitted, Failure):
            await self._refuse(head, None, admitted.failure(), reply)
            return
        request = admitted.unwrap()
        self.active += 1
        try:
            await self._serve_in_time(request, reply)
        except asyncio.CancelledError:
            self.reporter.caller_left(request)
            raise
        finally:
            self._bill(request)
            self.active -= 1

    def _bill(self, request: ForwardRequest) -> None:
        """Bill a request that may have run, once."""
        if request.ran and not request.billed:
            request.billed = True
            self.bills.add(request, model=request.model, events=request.events)

    async def _secure_bill(self, request: ForwardRequest) -> None:
        left = request.deadline - self.clock.monotonic() - ANSWER_SECONDS
        if left > 0:
            await self.upkeep.secure(seconds=left)

    async def _serve_in_time(self, request: ForwardRequest, reply: Reply) -> None:
        remaining = request.deadline - self.clock.monotonic()
        try:
            async with asyncio.timeout(max(remaining, 0.0)):
                if request.route.kind is RequestKind.STREAMING:
                    await self._serve_stream(request, reply)
                else:
                    await self._serve_plain(request, reply)
        except TimeoutError:
            await self._end_at_deadline(request, reply)

    async def _end_at_deadline(self, request: ForwardRequest, reply: Reply) -> None:
        if reply.begun:
            reply.break_off()
            self.reporter.broken_off(request, _time_limit(request))
            return
        ran = Ran.UNKNOWN if request.ran else Ran.NO
        kind = ErrorKind.DEADLINE_EXCEEDED if request.ran else ErrorKind.OVERLOADED
        detail = f"{_time_limit(request)} before an endpoint had answered"
        await self._refuse(request.head, request, Refusal(kind, detail, ran), reply)

    async def _serve_plain(self, request: ForwardRequest, reply: Reply) -> None:
        """Pass a whole answer back; a failed idempotent request is sent again."""
        failed: FailedAnswer | None = None
        while True:
            opened = await self.sender.open(request, model="", resume_after="")
            if isinstance(opened, Failure):
                await self._give_up(request, reply, failed, opened.failure())
                return
            sent = opened.unwrap()
            try:
                body = await self._read_whole(request, sent)
            except CallFault as fault:
                await self.sender.learn_broken(request, sent, fault)
                continue
            finally:
                self.sender.close(request, sent, Verdict.BROKEN)
            status = sent.exchange.head.status
            if status >= SERVER_ERROR and self._may_send_again(request):
                failed = FailedAnswer(status, sent.exchange.head.headers, body)
                continue
            self._bill(request)
            await self._secure_bill(request)
            await reply.send(status, sent.exchange.head.headers, body)
            self._finish(request, sent, status)
            return

    async def _read_whole(self, request: ForwardRequest, sent: Sent) -> bytes:
        body = await sent.exchange.read()
        status = sent.exchange.head.status
        self.sender.close(request, sent, _verdict(status))
        return body

    def _may_send_again(self, request: ForwardRequest) -> bool:
        """Tell whether a failed answer is worth another attempt."""
        if not self.sender.may_repeat(request) or not request.route.repeatable:
            return False
        return self.budget.left(request.service) >= 1.0

    async def _serve_stream(self, request: ForwardRequest, reply: Reply) -> None:
        """Climb the model sizes, then pass the events of one answer on."""
        state = StreamState(position=self.sizing.first(self._sizing(request)))
        while True:
            model = request.model = self._model(request, state.position)
            opened = await self.sender.open(
                request, model=model, resume_after=_resume_point(request, state)
            )
            if isinstance(opened, Failure):
                await self._give_up_stream(request, reply, state, opened.failure())
                return
            sent = opened.unwrap()
            try:
                done = await self._pass_on(request, reply, state, sent)
            finally:
                self.sender.close(request, sent, None)
            if done:
                return

    async def _pass_on(
        self, request: ForwardRequest, reply: Reply, state: StreamState, sent: Sent
    ) -> bool:
        """Pass one attempt's answer on; false if another attempt should follow."""
        head = sent.exchange.head
        if head.status != 200:
            return await self._pass_failure(request, reply, state, sent)
        if not state.begun:
            climbed = self._climb(request, state, sent)
            if climbed:
                return False
        try:
            await self._pass_events(request, reply, state, sent)
        except CallFault as fault:
            await self.sender.learn_broken(request, sent, fault)
            return False
        self.sender.close(request, sent, Verdict.GOOD)
        self.reporter.answered(request, sent.model, 200)
        return True

    def _climb(self, request: ForwardRequest, state: StreamState, sent: Sent) -> bool:
        """Drop a doubtful answer for a larger model's, if all bounds allow it."""
        if request.head.model != ANY_MODEL or not request.route.models:
            return False
        confidence = sent.exchange.head.confidence
        step = self.sizing.following(
            self._sizing(request), position=state.position, confidence=confidence
        )
        request.history.append(f"confidence={confidence}:{step.reason}")
        if step.position is None:
            return False
        if not self.sender.may_repeat(request) or not request.route.repeatable:
            self.metrics.count("escalations_skipped")
            request.history.append("no attempts left")
            return False
        if self.budget.left(request.service) < 1.0 + ESCALATION_RESERVE:
            self.metrics.count("escalations_skipped")
            request.history.append("no budget left")
            return False
        self.metrics.count("escalations")
        state.position = step.position
        self.sender.close(request, sent, None)
        request.endpoints_tried.remove(sent.endpoint.name)
        return True

    async def _pass_events(
        self, request: ForwardRequest, reply: Reply, state: StreamState, sent: Sent
    ) -> None:
        """Pass whole events on as they come, each once and in order."""
        splitter = EventSplitter()
        async for data in sent.exchange.chunks():
            passed = []
            for event in splitter.feed(data):
                known = state.last_id is not None and event.event_id is not None
                if known and event.event_id <= state.last_id:
                    continue
                if event.event_id is not None:
                    state.last_id = event.event_id
                passed.append(event.content)
            if not passed:
                continue
            request.events += len(passed)
            self.sender.note_events(request, sent, len(passed))
            if not state.begun:
                state.begun = True
                await reply.begin(200, sent.exchange.head.headers)
            await reply.write(b"".join(passed))
        if splitter.rest:
            raise _cut_within_event()
        if not state.begun:
            state.begun = True
            await reply.begin(200, sent.exchange.head.headers)
        self.sender.note_end(request, sent)
        self._bill(request)
        await self._secure_bill(request)
        await reply.finish()

    async def _pass_failure(
        self, request: ForwardRequest, reply: Reply, state: StreamState, sent: Sent
    ) -> bool:
        """Pass an endpoint's failure on, or try elsewhere."""
        head = sent.exchange.head
        try:
            body = await sent.exchange.read()
        except CallFault as fault:
            await self.sender.learn_broken(request, sent, fault)
            return False
        self.sender.close(request, sent, _verdict(head.status))
        if head.status >= SERVER_ERROR and self._may_send_again(request):
            state.failed = FailedAnswer(head.status, head.headers, body)
            return False
        if state.begun:
            reply.break_off()
        else:
            await reply.send(head.status, head.headers, body)
        self.reporter.failed(request, head.status)
        return True

    async def _give_up_stream(
        self,
        request: ForwardRequest,
        reply: Reply,
        state: StreamState,
        refusal: Refusal,
    ) -> None:
        if not state.begun:
            await self._give_up(request, reply, state.failed, refusal)
            return
        reply.break_off()
        self.reporter.broken_off(request, refusal.detail)

    async def _give_up(
        self,
        request: ForwardRequest,
        reply: Reply,
        failed: FailedAnswer | None,
        refusal: Refusal,
    ) -> None:
        """Pass on the failure that an endpoint gave, or else refuse."""
        if failed is None:
            await self._refuse(request.head, request, refusal, reply)
            return
        await reply.send(failed.status, failed.headers, failed.body)
        self.reporter.failed(request, failed.status, refusal.detail)

    def _model(self, request: ForwardRequest, position: int) -> str:
        if request.head.model != ANY_MODEL or not request.route.models:
            return ""
        return request.route.models[position]

    def _sizing(self, request: ForwardRequest) -> SizingInputs:
        table = self.in_force.table
        service = table.services.get(request.service)
        objective = request.received + request.route.objective_seconds
        model = request.route.models[0] if request.route.models else ""
        return SizingInputs(
            route=request.route,
            prompt=request.head.prompt,
            engine=service.engine if service is not None else None,
            remaining=objective - self.clock.monotonic(),
            wait=self.sender.selection.shortest_wait(
                self.sender.inputs(request, model)
            ),
        )

    def _finish(self, request: ForwardRequest, sent: Sent, status: int) -> None:
        if status >= SERVER_ERROR:
            self.reporter.failed(request, status)
        else:
            self.reporter.answered(request, sent.model, status)

    async def _refuse(
        self,
        head: CallerHead,
        request: ForwardRequest | None,
        refusal: Refusal,
        reply: Reply,
    ) -> None:
        self.reporter.refused(head, request, refusal)
        await reply.refuse(refusal)


def _time_limit(request: ForwardRequest) -> str:
    """Return whose time limit ended a request, and how long it was."""
    seconds = request.deadline - request.received
    return f"the {request.limited_by}'s time limit of {seconds:.3f} s passed"


def _resume_point(request: ForwardRequest, state: StreamState) -> str:
    """Return the id of the event after which an attempt should go on."""
    if state.last_id is not None:
        return str(state.last_id)
    return request.head.resume_after


def _verdict(status: int) -> Verdict:
    return Verdict.FAILED if status >= SERVER_ERROR else Verdict.GOOD


def _cut_within_event() -> CallFault:
    """Return the fault of a stream that ended within an event."""
    detail = "the stream ended within an event"
    return CallFault(CallFaultKind.BROKEN, detail, may_have_run=True)

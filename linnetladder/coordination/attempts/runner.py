"""Running a request's attempts: slots, calls, retries and the handling of faults.

A request that is not idempotent is sent again only if the endpoint proves that it did
not start. An idempotent one is retried at another endpoint, within the retry budget
and the deadline. A call without an answer is checked over a new connection.
"""

import asyncio
import dataclasses
import random

from returns.result import Failure, Result, Success

from linnetladder.coordination.admission.slots import Admission, SlotRequest
from linnetladder.coordination.attempts.ejection import Ejector
from linnetladder.coordination.attempts.endpoint_client import (
    EndpointCall,
    EndpointClient,
    EndpointFault,
    EndpointFaultKind,
    StreamAnswer,
    WholeAnswer,
)
from linnetladder.coordination.attempts.faults import (
    EJECTING_FAULTS,
    HEALTH_NEUTRAL_FAULTS,
    combine_ran,
    deadline_fault,
    fault_refusal,
    silent_fault,
)
from linnetladder.coordination.attempts.poison import Crash, PoisonRegistry
from linnetladder.coordination.attempts.retries import RetryBudget
from linnetladder.coordination.attempts.silence import AbortReason, SilenceCheck
from linnetladder.coordination.background import BackgroundTasks
from linnetladder.coordination.cascades.health_watch import HealthWatch
from linnetladder.coordination.configuration.in_force import ConfigurationInForce
from linnetladder.coordination.routing.request_context import RequestContext
from linnetladder.coordination.routing.requests import ChatWork
from linnetladder.errors import ErrorKind, Ran, Refusal
from linnetladder.state import (
    AttemptRecord,
    Clock,
    Endpoint,
    EndpointTable,
    Target,
    VersionRef,
)
from linnetladder.telemetry import Metrics

__all__ = ["AttemptRunner", "Slot", "BegunAnswer"]

MAXIMUM_ATTEMPTS = 4
# The backoff is random, up to this time doubled with each attempt.
RETRY_BACKOFF_SECONDS = 0.02
ANSWERED = "answered"


@dataclasses.dataclass(slots=True, eq=False)
class Slot:
    """A slot at an endpoint, held until `release`.

    ``taken`` is when the slot was acquired, in monotonic seconds.
    """

    admission: Admission
    poison: PoisonRegistry
    fingerprint: str
    target: Target
    endpoint: Endpoint
    taken: float
    held: bool = True

    def release(self, now: float) -> None:
        """Release the slot; later calls do nothing."""
        if self.held:
            self.held = False
            self.poison.end_run(self.fingerprint)
            seconds = now - self.taken
            self.admission.release(self.target, self.endpoint, seconds=seconds)


@dataclasses.dataclass(slots=True)
class BegunAnswer:
    """An endpoint's answer, whole or a started stream, and the slot it still holds."""

    answer: WholeAnswer | StreamAnswer
    slot: Slot
    call: EndpointCall


class AttemptRunner:
    """Run a request's attempts until one is answered or no retry is allowed."""

    def __init__(
        self,
        *,
        configuration: ConfigurationInForce,
        table: EndpointTable,
        admission: Admission,
        client: EndpointClient,
        budget: RetryBudget,
        ejector: Ejector,
        poison: PoisonRegistry,
        watch: HealthWatch,
        background: BackgroundTasks,
        clock: Clock,
        metrics: Metrics,
        silence_seconds: float,
        seed: int,
    ):
        self.configuration = configuration
        self.table = table
        self.admission = admission
        self.client = client
        self.budget = budget
        self.ejector = ejector
        self.poison = poison
        self.watch = watch
        self.background = background
        self.clock = clock
        self.metrics = metrics
        self.silence_seconds = silence_seconds
        self.random = random.Random(seed)

    async def run(
        self, context: RequestContext, target: Target
    ) -> Result[BegunAnswer, Refusal]:
        """Return the first answer that passes its checks, or the refusal."""
        self.budget.deposit()
        refusal = await self._begin_trial(context)
        if refusal is not None:
            return Failure(refusal)
        return await self.run_attempts(context, target, tried=frozenset())

    async def run_attempts(
        self,
        context: RequestContext,
        target: Target,
        *,
        tried: frozenset[str],
        resume_after: int = 0,
    ) -> Result[BegunAnswer, Refusal]:
        """Run attempts at endpoints that are not in ``tried``.

        A stream starts after ``resume_after`` events.
        """
        last_fault: EndpointFault | None = None
        for attempt in range(MAXIMUM_ATTEMPTS):
            taken = await self._take_slot(context, target, tried)
            if isinstance(taken, Failure):
                return Failure(self._slot_refusal(taken.failure(), last_fault, context))
            slot = taken.unwrap()
            refusal = self._recheck_before_sending(context, target)
            if refusal is not None:
                slot.release(self.clock.monotonic())
                return Failure(refusal)
            begun = await self._attempt(context, slot, resume_after)
            if isinstance(begun, Success):
                return begun
            last_fault = begun.failure()
            tried |= {slot.endpoint.name}
            if not await self._may_retry(context, last_fault, attempt):
                break
        return Failure(fault_refusal(last_fault, context.ran))

    def _recheck_before_sending(
        self, context: RequestContext, target: Target
    ) -> Refusal | None:
        """Refuse a request that may no longer be sent, just before sending it.

        The request may have waited long for its slot, so the checks made before the
        wait may be out of date.
        """
        withdrawn = self._refuse_withdrawn_version(context, target)
        if withdrawn is not None:
            return withdrawn
        poison = self.poison.refuse_poison(context.request.fingerprint)
        if poison is None:
            return None
        return dataclasses.replace(poison, ran=context.ran)

    def _refuse_withdrawn_version(
        self, context: RequestContext, target: Target
    ) -> Refusal | None:
        """Refuse a version that was withdrawn since it was chosen."""
        if not isinstance(target, VersionRef):
            return None
        if target not in self.configuration.snapshot.withdrawn:
            return None
        detail = f"version {str(target)!r} was withdrawn before the request was sent"
        kind = ErrorKind.VERSION_WITHDRAWN
        if context.session is not None:
            kind = ErrorKind.SESSION_VERSION_WITHDRAWN
        return Refusal(kind, detail, context.ran)

    async def _take_slot(
        self, context: RequestContext, target: Target, tried: frozenset[str]
    ) -> Result[Slot, Refusal]:
        """Wait for a slot and count the request's fingerprint as running."""
        work = context.request.work
        slot_request = SlotRequest(
            target=target,
            account=context.account,
            weight=context.view.settings.values.share_weight,
            priority=context.priority,
            deadline=context.deadline,
            prefix=work.prefix if isinstance(work, ChatWork) else b"",
            tried=tried,
        )
        before = self.clock.monotonic()
        acquired = await self.admission.acquire(slot_request)
        now = self.clock.monotonic()
        self.metrics.record("slot_seconds", now - before)
        if isinstance(acquired, Failure):
            return acquired
        fingerprint = context.request.fingerprint
        self.poison.begin_run(fingerprint)
        endpoint = acquired.unwrap()
        return Success(
            Slot(self.admission, self.poison, fingerprint, target, endpoint, now)
        )

    async def _attempt(
        self, context: RequestContext, slot: Slot, resume_after: int
    ) -> Result[BegunAnswer, EndpointFault]:
        """Send the request once and record the outcome."""
        call = _build_call(context, slot.target, resume_after)
        attempt = context.trace.begin("attempt") if context.trace else None
        span = context.trace.begin("endpoint") if context.trace else None
        if span is not None:
            call.headers["traceparent"] = context.trace.traceparent_header(span)
        ran_before = context.ran
        context.ran = combine_ran(ran_before, Ran.UNKNOWN)
        try:
            outcome = await self._call(slot.endpoint, call)
        except BaseException:
            slot.release(self.clock.monotonic())
            self.cancel_at_endpoint(slot.endpoint, call)
            raise
        if isinstance(outcome, Success):
            self._record_outcome(context, slot, ANSWERED)
            if span is not None:
                span.end(detail=slot.endpoint.name)
                attempt.end()
            return Success(BegunAnswer(outcome.unwrap(), slot, call))
        fault = outcome.failure()
        self._record_outcome(context, slot, fault.kind)
        if span is not None:
            span.end(detail=f"{slot.endpoint.name}: {fault.detail}", failed=True)
        context.ran = combine_ran(ran_before, fault.ran)
        if fault.kind in (EndpointFaultKind.DEADLINE, EndpointFaultKind.SILENT):
            self.cancel_at_endpoint(slot.endpoint, call)
        try:
            await self.record_fault(context, slot, fault)
        finally:
            slot.release(self.clock.monotonic())
            if attempt is not None:
                attempt.end(detail=str(fault.kind), failed=True)
        return outcome

    def cancel_at_endpoint(self, endpoint: Endpoint, call: EndpointCall) -> None:
        """Ask an engine, in the background, to stop a request that is not needed."""
        if call.target is not None:
            self.background.start(self.client.cancel(endpoint, call.request_id))

    async def _call(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> Result[WholeAnswer | StreamAnswer, EndpointFault]:
        """Send a call, with status checks over a new connection while it is silent."""
        check = SilenceCheck(
            client=self.client,
            background=self.background,
            clock=self.clock,
            endpoint=endpoint,
            call=call,
            silence_seconds=self.silence_seconds,
        )
        try:
            async with check.timeout_context():
                outcome = await self.client.call(endpoint, call)
        except TimeoutError:
            return await self._resolve_aborted_call(endpoint, call, check.abort_reason)
        finally:
            check.stop()
        return outcome

    async def _resolve_aborted_call(
        self, endpoint: Endpoint, call: EndpointCall, abort_reason: AbortReason
    ) -> Result[WholeAnswer | StreamAnswer, EndpointFault]:
        """Return the outcome of an aborted call, whose answer may still be fetched."""
        if abort_reason is AbortReason.DEADLINE:
            return Failure(deadline_fault())
        self.client.retire_connections(endpoint)
        if abort_reason is AbortReason.FINISHED:
            return await self.client.resume(endpoint, call)
        return Failure(silent_fault(endpoint))

    def _record_outcome(
        self, context: RequestContext, slot: Slot, outcome: str
    ) -> None:
        """Add an attempt to the receipt's trials, the metrics and the health tests."""
        attempt_record = AttemptRecord(
            slot.endpoint.name, str(slot.target), str(outcome)
        )
        context.trials.append(attempt_record)
        self.metrics.count("attempts", label=str(outcome))
        if isinstance(slot.target, VersionRef) and outcome not in HEALTH_NEUTRAL_FAULTS:
            success = outcome == ANSWERED
            self.watch.add_outcome(context.account, slot.target, success=success)

    async def record_fault(
        self, context: RequestContext, slot: Slot, fault: EndpointFault
    ) -> None:
        """Update the endpoint's state and the poison registry after a fault."""
        endpoint = slot.endpoint
        if fault.kind is EndpointFaultKind.LEAVING:
            self.table.mark_leaving(endpoint.name, endpoint.incarnation)
        if fault.kind is EndpointFaultKind.SILENT:
            self.client.retire_connections(endpoint)
        dead = fault.kind is EndpointFaultKind.CONNECT
        if fault.crash_suspected and await self.client.is_crashed(endpoint):
            dead = True
            self.metrics.count("poison_crashes")
            name = f"{endpoint.name}:{endpoint.incarnation}"
            crash = Crash(context.request.fingerprint, name)
            await self.poison.record(crash)
        if fault.kind in EJECTING_FAULTS:
            pool = self.table.pool(slot.target)
            if self.ejector.failed(endpoint, pool, dead=dead):
                self.metrics.count("ejections")

    async def _may_retry(
        self, context: RequestContext, fault: EndpointFault, attempt: int
    ) -> bool:
        """Return whether to retry, after using the retry budget and the backoff.

        A suspect request also needs the right to a trial.
        """
        if fault.kind in (EndpointFaultKind.REJECTED, EndpointFaultKind.DEADLINE):
            return False
        if not context.idempotent and fault.ran is not Ran.NO:
            return False
        backoff = RETRY_BACKOFF_SECONDS * 2**attempt * self.random.random()
        if self.clock.monotonic() + backoff >= context.deadline:
            return False
        if attempt + 1 >= MAXIMUM_ATTEMPTS or not self.budget.try_withdraw():
            return False
        if await self._begin_trial(context) is not None:
            return False
        self.metrics.count("retries")
        await asyncio.sleep(backoff)
        return True

    async def _begin_trial(self, context: RequestContext) -> Refusal | None:
        """Acquire the right to a trial if the request has crashed an endpoint."""
        fingerprint = context.request.fingerprint
        if context.trial_lease_id or not self.poison.is_suspect(fingerprint):
            return self.poison.refuse_poison(fingerprint)
        begun = await self.poison.begin_trial(fingerprint)
        if isinstance(begun, Failure):
            return begun.failure()
        context.trial_lease_id = begun.unwrap()
        return None

    def end_trial(self, context: RequestContext, *, clean: bool) -> None:
        """Release the right to a trial in the background, if the request holds one."""
        if not context.trial_lease_id:
            return
        lease_id, context.trial_lease_id = context.trial_lease_id, 0
        fingerprint = context.request.fingerprint
        ending = self.poison.end_trial(lease_id, fingerprint=fingerprint, clean=clean)
        self.background.start(ending)

    def _slot_refusal(
        self,
        refusal: Refusal,
        last_fault: EndpointFault | None,
        context: RequestContext,
    ) -> Refusal:
        """Return the slot's refusal, or that of the fault if no endpoint is left."""
        if last_fault is not None and refusal.kind is ErrorKind.NO_ENDPOINT:
            return fault_refusal(last_fault, context.ran)
        return dataclasses.replace(refusal, ran=context.ran)


def _build_call(
    context: RequestContext, target: Target, resume_after: int
) -> EndpointCall:
    request = context.request
    work = request.work
    is_chat = isinstance(work, ChatWork)
    if is_chat:
        body = work.body_for(target, output_tokens=context.inputs.output_tokens)
    else:
        body = work.body
    return EndpointCall(
        request_id=request.request_id,
        method="POST" if is_chat else work.method,
        path="/v1/chat/completions" if is_chat else work.path,
        body=body,
        headers=dict(work.target_headers()),
        target=target if is_chat else None,
        stream=is_chat and work.stream,
        deadline=context.deadline,
        priority=context.priority,
        fresh_connection=not context.idempotent,
        resume_after=resume_after,
    )

"""Attempts at endpoints: places, silence, retries, and what each failure means.

A request that is not idempotent is sent once, unless the endpoint proves that it did
not start. An idempotent one is tried again at another endpoint, within the retry
budget and the deadline. A connection that stays silent is checked over a new one.
"""

import asyncio
import dataclasses
import random

from returns.result import Failure, Result, Success

from linnetladder.coordination.admission.slots import Admission, PlaceRequest
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
    NEUTRAL_OUTCOMES,
    deadline_fault,
    fault_refusal,
    silent_fault,
    worse,
)
from linnetladder.coordination.attempts.poison import Crash, PoisonBook
from linnetladder.coordination.attempts.retries import RetryBudget
from linnetladder.coordination.attempts.silence import SilenceCheck, Verdict
from linnetladder.coordination.background import Background
from linnetladder.coordination.cascades.health_watch import HealthWatch
from linnetladder.coordination.configuration.in_force import ConfigurationInForce
from linnetladder.coordination.routing.passage import Passage
from linnetladder.coordination.routing.requests import ChatWork
from linnetladder.errors import ErrorKind, Ran, Refusal
from linnetladder.state import Clock, Endpoint, EndpointTable, Target, Trial, VersionRef
from linnetladder.telemetry import Metrics

__all__ = ["AttemptRunner", "Place", "Reached"]

MAXIMUM_ATTEMPTS = 4
RETRY_PAUSE_SECONDS = 0.02
ANSWERED = "answered"


@dataclasses.dataclass(slots=True, eq=False)
class Place:
    """A place at an endpoint that is held until `release`."""

    admission: Admission
    poison: PoisonBook
    fingerprint: str
    target: Target
    endpoint: Endpoint
    taken: float
    held: bool = True

    def release(self, now: float) -> None:
        """Give the place back once."""
        if self.held:
            self.held = False
            self.poison.leave(self.fingerprint)
            seconds = now - self.taken
            self.admission.release(self.target, self.endpoint, seconds=seconds)


@dataclasses.dataclass(slots=True)
class Reached:
    """An endpoint's answer, whole or begun, and the place that is still held."""

    answer: WholeAnswer | StreamAnswer
    place: Place
    call: EndpointCall


class AttemptRunner:
    """Run one request's attempts until one is answered or none may follow."""

    def __init__(
        self,
        *,
        configuration: ConfigurationInForce,
        table: EndpointTable,
        admission: Admission,
        client: EndpointClient,
        budget: RetryBudget,
        ejector: Ejector,
        poison: PoisonBook,
        watch: HealthWatch,
        background: Background,
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

    async def run(self, passage: Passage, target: Target) -> Result[Reached, Refusal]:
        """Return the first answer that passes its checks, or the refusal."""
        self.budget.earn()
        held_back = await self._begin_trial(passage)
        if held_back is not None:
            return Failure(held_back)
        return await self.run_again(passage, target, tried=frozenset())

    async def run_again(
        self,
        passage: Passage,
        target: Target,
        *,
        tried: frozenset[str],
        resume_after: int = 0,
    ) -> Result[Reached, Refusal]:
        """Make attempts at endpoints that were not tried, from a stream's position."""
        last: EndpointFault | None = None
        for attempt in range(MAXIMUM_ATTEMPTS):
            placed = await self._take_place(passage, target, tried)
            if isinstance(placed, Failure):
                return Failure(self._place_refusal(placed.failure(), last, passage))
            place = placed.unwrap()
            refusal = self._forbidden_meanwhile(passage, target)
            if refusal is not None:
                place.release(self.clock.monotonic())
                return Failure(refusal)
            reached = await self._attempt(passage, place, resume_after)
            if isinstance(reached, Success):
                return reached
            last = reached.failure()
            tried |= {place.endpoint.name}
            if not await self._may_retry(passage, last, attempt):
                break
        return Failure(fault_refusal(last, passage.ran))

    def _forbidden_meanwhile(self, passage: Passage, target: Target) -> Refusal | None:
        """Refuse what may no longer be sent, at the last moment before it is.

        A request may have waited long for its place, so nothing that was checked
        before the wait can be relied on.
        """
        withdrawn = self._withdrawn_meanwhile(passage, target)
        if withdrawn is not None:
            return withdrawn
        poison = self.poison.refuse_poison(passage.request.fingerprint)
        if poison is None:
            return None
        return dataclasses.replace(poison, ran=passage.ran)

    def _withdrawn_meanwhile(self, passage: Passage, target: Target) -> Refusal | None:
        """Refuse a version that was withdrawn since it was chosen."""
        if not isinstance(target, VersionRef):
            return None
        if target not in self.configuration.snapshot.withdrawn:
            return None
        detail = f"version {str(target)!r} was withdrawn before the request was sent"
        kind = ErrorKind.VERSION_WITHDRAWN
        if passage.session is not None:
            kind = ErrorKind.SESSION_VERSION_WITHDRAWN
        return Refusal(kind, detail, passage.ran)

    async def _take_place(
        self, passage: Passage, target: Target, tried: frozenset[str]
    ) -> Result[Place, Refusal]:
        work = passage.request.work
        wish = PlaceRequest(
            target=target,
            account=passage.account,
            weight=passage.view.settings.values.share_weight,
            priority=passage.priority,
            deadline=passage.deadline,
            prefix=work.prefix if isinstance(work, ChatWork) else b"",
            tried=tried,
        )
        before = self.clock.monotonic()
        acquired = await self.admission.acquire(wish)
        now = self.clock.monotonic()
        self.metrics.record("place_seconds", now - before)
        if isinstance(acquired, Failure):
            return acquired
        fingerprint = passage.request.fingerprint
        self.poison.enter(fingerprint)
        endpoint = acquired.unwrap()
        return Success(
            Place(self.admission, self.poison, fingerprint, target, endpoint, now)
        )

    async def _attempt(
        self, passage: Passage, place: Place, resume_after: int
    ) -> Result[Reached, EndpointFault]:
        """Send the request once and note how that went."""
        call = _build_call(passage, place.target, resume_after)
        attempt = passage.trace.begin("attempt") if passage.trace else None
        hop = passage.trace.begin("endpoint") if passage.trace else None
        if hop is not None:
            call.headers["traceparent"] = passage.trace.parent_header(hop)
        known_before = passage.ran
        passage.ran = worse(known_before, Ran.UNKNOWN)
        try:
            outcome = await self._call(place.endpoint, call)
        except BaseException:
            place.release(self.clock.monotonic())
            self.cancel_at_endpoint(place.endpoint, call)
            raise
        if isinstance(outcome, Success):
            self._note(passage, place, ANSWERED)
            if hop is not None:
                hop.end(detail=place.endpoint.name)
                attempt.end()
            return Success(Reached(outcome.unwrap(), place, call))
        fault = outcome.failure()
        self._note(passage, place, fault.kind)
        if hop is not None:
            hop.end(detail=f"{place.endpoint.name}: {fault.detail}", failed=True)
        passage.ran = worse(known_before, fault.ran)
        if fault.kind in (EndpointFaultKind.DEADLINE, EndpointFaultKind.SILENT):
            self.cancel_at_endpoint(place.endpoint, call)
        try:
            await self.learn_from(passage, place, fault)
        finally:
            place.release(self.clock.monotonic())
            if attempt is not None:
                attempt.end(detail=str(fault.kind), failed=True)
        return outcome

    def cancel_at_endpoint(self, endpoint: Endpoint, call: EndpointCall) -> None:
        """Ask an engine, in the background, to stop work nobody waits for."""
        if call.target is not None:
            self.background.start(self.client.cancel(endpoint, call.request_id))

    async def _call(
        self, endpoint: Endpoint, call: EndpointCall
    ) -> Result[WholeAnswer | StreamAnswer, EndpointFault]:
        """Send a call and have it checked over a new connection while it is silent."""
        check = SilenceCheck(
            client=self.client,
            background=self.background,
            clock=self.clock,
            endpoint=endpoint,
            call=call,
            silence_seconds=self.silence_seconds,
        )
        try:
            async with check.limit():
                outcome = await self.client.call(endpoint, call)
        except TimeoutError:
            return await self._after_silence(endpoint, call, check.verdict)
        finally:
            check.stop()
        return outcome

    async def _after_silence(
        self, endpoint: Endpoint, call: EndpointCall, verdict: Verdict
    ) -> Result[WholeAnswer | StreamAnswer, EndpointFault]:
        """Return what a call that was broken off has come to."""
        if verdict is Verdict.DEADLINE:
            return Failure(deadline_fault())
        self.client.suspect(endpoint)
        if verdict is Verdict.FINISHED:
            return await self.client.resume(endpoint, call)
        return Failure(silent_fault(endpoint))

    def _note(self, passage: Passage, place: Place, outcome: str) -> None:
        trial = Trial(place.endpoint.name, str(place.target), str(outcome))
        passage.trials.append(trial)
        self.metrics.count("attempts", label=str(outcome))
        if isinstance(place.target, VersionRef) and outcome not in NEUTRAL_OUTCOMES:
            right = outcome == ANSWERED
            self.watch.answered(passage.account, place.target, right=right)

    async def learn_from(
        self, passage: Passage, place: Place, fault: EndpointFault
    ) -> None:
        """Update what is known of the endpoint and of the request."""
        endpoint = place.endpoint
        if fault.kind is EndpointFaultKind.LEAVING:
            self.table.mark_leaving(endpoint.name, endpoint.incarnation)
        if fault.kind is EndpointFaultKind.SILENT:
            self.client.suspect(endpoint)
        dead = fault.kind is EndpointFaultKind.CONNECT
        if fault.crash_suspected and await self.client.is_crashed(endpoint):
            dead = True
            self.metrics.count("poison_crashes")
            name = f"{endpoint.name}:{endpoint.incarnation}"
            crash = Crash(passage.request.fingerprint, name)
            await self.poison.record(crash)
        if fault.kind in EJECTING_FAULTS:
            pool = self.table.pool(place.target)
            if self.ejector.failed(endpoint, pool, dead=dead):
                self.metrics.count("ejections")

    async def _may_retry(
        self, passage: Passage, fault: EndpointFault, attempt: int
    ) -> bool:
        """Tell whether another attempt may follow, and take what it needs."""
        if fault.kind in (EndpointFaultKind.REJECTED, EndpointFaultKind.DEADLINE):
            return False
        if not passage.idempotent and fault.ran is not Ran.NO:
            return False
        pause = RETRY_PAUSE_SECONDS * 2**attempt * self.random.random()
        if self.clock.monotonic() + pause >= passage.deadline:
            return False
        if attempt + 1 >= MAXIMUM_ATTEMPTS or not self.budget.spend():
            return False
        if await self._begin_trial(passage) is not None:
            return False
        self.metrics.count("retries")
        await asyncio.sleep(pause)
        return True

    async def _begin_trial(self, passage: Passage) -> Refusal | None:
        """Take the right to a trial when the request has crashed an endpoint."""
        fingerprint = passage.request.fingerprint
        if passage.trial_lease or not self.poison.is_suspect(fingerprint):
            return self.poison.refuse_poison(fingerprint)
        begun = await self.poison.begin_trial(fingerprint)
        if isinstance(begun, Failure):
            return begun.failure()
        passage.trial_lease = begun.unwrap()
        return None

    def end_trial(self, passage: Passage, *, clean: bool) -> None:
        """Give back, in the background, the right to a trial that was taken."""
        if not passage.trial_lease:
            return
        lease_id, passage.trial_lease = passage.trial_lease, 0
        fingerprint = passage.request.fingerprint
        ending = self.poison.end_trial(lease_id, fingerprint=fingerprint, clean=clean)
        self.background.start(ending)

    def _place_refusal(
        self, refusal: Refusal, last: EndpointFault | None, passage: Passage
    ) -> Refusal:
        """Refuse for want of a place, or for the fault that led to the retry."""
        if last is not None and refusal.kind is ErrorKind.NO_ENDPOINT:
            return fault_refusal(last, passage.ran)
        return dataclasses.replace(refusal, ran=passage.ran)


def _build_call(passage: Passage, target: Target, resume_after: int) -> EndpointCall:
    request = passage.request
    work = request.work
    is_chat = isinstance(work, ChatWork)
    if is_chat:
        body = work.body_for(target, output_tokens=passage.inputs.output_tokens)
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
        deadline=passage.deadline,
        priority=passage.priority,
        fresh_connection=not passage.idempotent,
        resume_after=resume_after,
    )

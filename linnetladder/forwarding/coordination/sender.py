"""Attempts at endpoints, retried within limits until one of them responds.

A request that must not run twice is sent once, unless no byte of it was sent or the
endpoint reports that it did not run it. Other requests may be retried at another
endpoint, within the route's maximum of attempts and the shared retry budget.
"""

import asyncio
import dataclasses
import functools
import math

from returns.result import Failure, Result, Success

from linnetladder.coordination.attempts.ejection import Ejector
from linnetladder.errors import ErrorKind, Refusal
from linnetladder.forwarding.coordination.attempt_refusals import (
    AttemptRefusals,
    attempt_refusal,
    budget_spent,
)
from linnetladder.forwarding.coordination.availability import (
    EndpointAvailability,
    ObstacleReason,
)
from linnetladder.forwarding.coordination.brittleness import RoomBasis
from linnetladder.forwarding.coordination.budget import RetryBudget
from linnetladder.forwarding.coordination.calls import (
    CallFault,
    CallFaultKind,
    EndpointCalls,
    Exchange,
    ProbeOutcome,
)
from linnetladder.forwarding.coordination.crash_confirmation import CrashConfirmation
from linnetladder.forwarding.coordination.crash_trials import CrashTrials
from linnetladder.forwarding.coordination.directory import EndpointDirectory
from linnetladder.forwarding.coordination.endpoint_load import (
    FIRST_TOKEN_OVERHEAD_SECONDS,
    EndpointLoads,
    RequestLoad,
)
from linnetladder.forwarding.coordination.outcomes import AttemptOutcome, Outcomes
from linnetladder.forwarding.coordination.pace import PaceMeter
from linnetladder.forwarding.coordination.planned_stop import PlannedStop
from linnetladder.forwarding.coordination.poison import CrashLog
from linnetladder.forwarding.coordination.quarantine import Quarantine
from linnetladder.forwarding.coordination.rollouts import RolloutController
from linnetladder.forwarding.coordination.selection import Selection, SelectionInputs
from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.coordination.urgency import urgency
from linnetladder.forwarding.protocol import EndpointCall, ResponseHead
from linnetladder.forwarding.state import ForwardRequest, RequestKind
from linnetladder.forwarding.state.requests import ANY_MODEL
from linnetladder.state import Clock, Endpoint
from linnetladder.telemetry import Metrics, log_change

__all__ = ["Attempt", "Sender"]

# Sends that did not run don't count as attempts, so this limits them separately.
MAXIMUM_SENDS = 6
# A stream's first event takes up to the route's objective, and longer on a busy engine.
# After this share of the objective without a byte, the endpoint is probed over a new
# connection.
STREAM_PROBE_SHARE = 0.2
# After this many objectives without a byte a call may be given up, since its connection
# may have been lost although the endpoint accepts new ones.
SILENCE_TIMEOUT_OBJECTIVES = 2.5
MINIMUM_PROBE_SECONDS = 0.1
# No attempt is sent with less time than this before the deadline.
MINIMUM_ATTEMPT_SECONDS = 0.01
# Share of the time to its objective that a request may wait for an endpoint's permit.
PERMIT_WAIT_SHARE = 0.5
# Share of a route's objective for which a request may look for a free slot of a brittle
# endpoint, of which one after the other is asked for.
SLOT_SEARCH_SHARE = 0.1
# A stream that waits for endpoints to return after their pause looks this often.
RETURN_CHECK_SECONDS = 0.05
PAUSE_REASONS = frozenset(
    (ObstacleReason.PAUSED, ObstacleReason.RETURNING, ObstacleReason.FULL)
)
# A stream that broke off later than this after its first event did not crash its
# endpoint by what its prompt contains.
CRASH_AFTER_FIRST_EVENT_SECONDS = 1.0
# A silent endpoint is not given up for a successor that would have less time than this.
MINIMUM_SUCCESSOR_SECONDS = 0.2
# The time that is kept for a smaller model while a larger one is asked, relative to
# the time of its first answer.
FALLBACK_TIME_FACTOR = 2.0
# At most this share of the time left is kept.
MAXIMUM_FALLBACK_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """An endpoint that is sent to, and why it is taken to have room."""

    endpoint: Endpoint
    basis: RoomBasis


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """An attempt whose response has begun; `Sender.close` ends it.

    ``peer`` is the daemon that passes it on, if there is one. ``events`` is the number
    of events of its stream that have arrived, the first of them at ``first_event_at``.
    ``is_sound`` is set once it has gone on for so long that no part of its prompt
    crashes the endpoint.
    """

    endpoint: Endpoint
    load: RequestLoad
    exchange: Exchange
    model: str
    pace: PaceMeter = dataclasses.field(default_factory=PaceMeter)
    peer: DaemonAddress | None = None
    events: int = 0
    first_event_at: float = math.inf
    is_sound: bool = False
    closed: bool = False


class Sender:
    """Sends attempts and records their outcomes."""

    def __init__(
        self,
        *,
        calls: EndpointCalls,
        selection: Selection,
        directory: EndpointDirectory,
        loads: EndpointLoads,
        outcomes: Outcomes,
        rollouts: RolloutController,
        budget: RetryBudget,
        crashes: CrashLog,
        trials: CrashTrials,
        ejector: Ejector,
        quarantine: Quarantine,
        confirmation: CrashConfirmation,
        availability: EndpointAvailability,
        planned_stop: PlannedStop,
        clock: Clock,
        metrics: Metrics,
    ):
        self.calls = calls
        self.planned_stop = planned_stop
        self.selection = selection
        self.directory = directory
        self.loads = loads
        self.outcomes = outcomes
        self.rollouts = rollouts
        self.budget = budget
        self.crashes = crashes
        self.trials = trials
        self.ejector = ejector
        self.quarantine = quarantine
        self.confirmation = confirmation
        self.availability = availability
        self.paths = availability.paths
        self.reservations = availability.reservations
        self.limits = availability.limits
        self.paces = self.limits.paces
        self.pauses = availability.pauses
        self.refusals = AttemptRefusals(
            selection=selection, availability=availability, metrics=metrics
        )
        self.clock = clock
        self.metrics = metrics

    async def open(
        self, request: ForwardRequest, *, model: str, resume_after: str
    ) -> Result[Attempt, Refusal]:
        """Return an attempt whose response has begun, or the reason why none has."""
        last_fault: CallFault | None = None
        for _ in range(MAXIMUM_SENDS):
            await self.trials.begin(request)
            refusal = self.refuse_attempt(request, last_fault)
            if refusal is not None:
                return Failure(refusal)
            choice = await self._choose_slot(request, model)
            stopping = self.planned_stop.refuse(request)
            if stopping is not None:
                if choice is not None:
                    self.reservations.cancel(choice.endpoint, choice.basis)
                return Failure(stopping)
            if choice is None:
                return Failure(self.no_endpoint_refusal(request, model, last_fault))
            endpoint = choice.endpoint
            is_retry = request.times_sent > 0
            if is_retry and not self._spend_retry(request):
                self.reservations.cancel(endpoint, choice.basis)
                return Failure(budget_spent(request, last_fault))
            try:
                attempt = await self._send(request, choice, model, resume_after)
            except CallFault as fault:
                last_fault = fault
                if is_retry and not fault.may_have_run:
                    self._refund_retry(request)
                await self._record_fault(request, endpoint, fault)
                if self._may_try_through_peer(request, endpoint, fault):
                    request.endpoints_tried.remove(endpoint.name)
                continue
            if attempt is not None:
                return Success(attempt)
        return Failure(self.no_endpoint_refusal(request, model, last_fault))

    def can_send_now(self, request: ForwardRequest, model: str) -> bool:
        """Return whether an attempt could be sent at once."""
        return bool(self.selection.candidates(self.selection_inputs(request, model)))

    def holding_models(self, request: ForwardRequest) -> frozenset[str]:
        """Return the models for which an endpoint got the session's part lately."""
        return frozenset(
            model
            for model in request.route.models
            if self.selection.is_held(_affinity(request, model))
        )

    async def _choose_slot(self, request: ForwardRequest, model: str) -> Choice | None:
        """Return an endpoint with a slot for the request, or ``None``."""
        share = request.route.objective_seconds * SLOT_SEARCH_SHARE
        until = self.clock.monotonic() + share
        asked = set()
        while True:
            endpoint = await self._choose(request, model)
            if endpoint is None:
                return None
            basis = await self.reservations.reserve(endpoint)
            if basis is not None:
                return Choice(endpoint=endpoint, basis=basis)
            is_over = endpoint.name in asked or self.clock.monotonic() >= until
            if is_over and not request.events:
                return None
            asked.add(endpoint.name)

    async def _choose(self, request: ForwardRequest, model: str) -> Endpoint | None:
        """Return an endpoint that may be sent to, or ``None`` if there is none in time.

        If all are at the limits that they named, wait for the next permit that leaves
        enough time for an answer. A stream that has begun also waits until a pause is
        over, since its caller can't come back later.
        """
        latest = self.clock.monotonic() + self._longest_permit_wait(request)
        while True:
            inputs = self.selection_inputs(request, model)
            endpoint = self.selection.choose(inputs)
            if endpoint is not None:
                self.limits.take(endpoint)
                return endpoint
            within = latest - self.clock.monotonic()
            endpoint = self._first_permitted(inputs)
            if endpoint is None:
                pause = None
                if request.events:
                    pause = self._seconds_until_pause_ends(inputs)
                if pause is None or pause > within:
                    return None
                await asyncio.sleep(max(pause, RETURN_CHECK_SECONDS))
                continue
            limit = self.limits.basis_of(endpoint)
            seconds = self.limits.reserve(endpoint, within=within)
            if seconds is None:
                return None
            self.metrics.count("permit_waits")
            request.history.append(f"{endpoint.name}=limit waited {seconds:.3f}")
            await asyncio.sleep(seconds)
            # The wait may have outlasted the endpoint or the limit.
            unchanged = self.limits.basis_of(endpoint) == limit
            inputs = self.selection_inputs(request, model)
            if unchanged and endpoint in self.selection.eligible(inputs):
                return endpoint

    def _first_permitted(self, inputs: SelectionInputs) -> Endpoint | None:
        """Return the endpoint that may be sent to first."""
        return min(
            self.selection.eligible(inputs),
            key=self.limits.seconds_until_next,
            default=None,
        )

    def permit_wait(self, request: ForwardRequest, model: str) -> float | None:
        """Return for how many seconds a request would wait for a permit now.

        ``None`` if no endpoint has one within the time that it may wait.
        """
        endpoint = self._first_permitted(self.selection_inputs(request, model))
        if endpoint is None:
            return None
        seconds = self.limits.seconds_until_next(endpoint)
        return seconds if seconds <= self._longest_permit_wait(request) else None

    def _seconds_until_pause_ends(self, inputs: SelectionInputs) -> float | None:
        """Return the seconds until an untried endpoint's pause ends, if one has any."""
        allowed = self.selection.allowed(inputs)
        untried = [e for e in allowed if e.name not in inputs.tried_endpoints]
        obstacles = map(self.availability.obstacle, untried)
        return min(
            (o.seconds for o in obstacles if o and o.reason in PAUSE_REASONS),
            default=None,
        )

    def _longest_permit_wait(self, request: ForwardRequest) -> float:
        """Return for how many seconds a request may wait for a permit.

        A stream that has begun may use time until its deadline, other requests until
        their objective, less a share that is kept for the answer.
        """
        end = request.deadline
        if not request.events:
            end = min(end, request.received + request.route.objective_seconds)
        return (end - self.clock.monotonic()) * PERMIT_WAIT_SHARE

    def selection_inputs(self, request: ForwardRequest, model: str) -> SelectionInputs:
        """Return the inputs of the endpoint selection for a request."""
        prompt = request.head.prompt
        session = prompt.session if prompt is not None else request.head.attempt_id
        return SelectionInputs(
            service=request.service,
            rule=self.rollouts.rule_for(request.service, session),
            affinity=_affinity(request, model),
            shared_seconds=self._shared_seconds(request, model),
            has_prompt=prompt is not None,
            tried_endpoints=tuple(request.endpoints_tried),
            cache_tokens=_cache_tokens(request),
            homes=request.homes,
        )

    def _shared_seconds(self, request: ForwardRequest, model: str) -> float:
        """Return the expected time to prefill the shared part of a prompt."""
        prompt = request.head.prompt
        tokens = prompt.session_tokens if prompt is not None else 0
        return tokens * self.loads.token_seconds(model)

    def begin_load(
        self, request: ForwardRequest, endpoint: Endpoint, model: str
    ) -> RequestLoad:
        """Record that a request is sent to an endpoint, and what it has to read."""
        inputs = self.selection_inputs(request, model)
        tokens = self._unread_tokens(request, inputs, endpoint)
        self.selection.note_sent(inputs, endpoint)
        return self.loads.begin(
            endpoint, model=model, tokens=tokens, cache_tokens=inputs.cache_tokens
        )

    def _unread_tokens(
        self, request: ForwardRequest, inputs: SelectionInputs, endpoint: Endpoint
    ) -> int:
        """Return the prompt tokens that an endpoint is expected to prefill."""
        prompt = request.head.prompt
        if prompt is None:
            return 0
        tokens = prompt.input_tokens - prompt.common_tokens
        if self.selection.has_sent_shared_part(inputs, endpoint):
            tokens -= prompt.session_tokens
        return max(tokens, 0)

    def may_retry(self, request: ForwardRequest) -> bool:
        """Return whether the request may run once more, apart from the retry budget."""
        if request.ran and not request.route.retryable:
            return False
        if not self.planned_stop.allows(request):
            return False
        return request.attempts < request.route.maximum_attempts

    def reserve_retry(self, request: ForwardRequest, model: str) -> bool:
        """Take a retry from the budget for an attempt that is about to be given up.

        Return false if no further attempt would be allowed or possible.
        """
        remaining = request.deadline - self.clock.monotonic()
        if remaining < MINIMUM_SUCCESSOR_SECONDS or not self.may_retry(request):
            return False
        if self.trials.refuse(request) is not None:
            return False
        inputs = self.selection_inputs(request, model)
        if not self.selection.has_healthy_candidate(inputs):
            return False
        if not request.retry_reserved:
            request.retry_reserved = self._take_retry(request)
        return request.retry_reserved

    def release_retry(self, request: ForwardRequest) -> None:
        """Give a reserved retry back that was not sent."""
        if request.retry_reserved:
            request.retry_reserved = False
            self._refund_retry(request)

    def _spend_retry(self, request: ForwardRequest) -> bool:
        """Use the reserved retry, or take one from the budget."""
        if request.retry_reserved:
            request.retry_reserved = False
            return True
        return self._take_retry(request)

    def _take_retry(self, request: ForwardRequest) -> bool:
        request.retry_spent_at = self.clock.monotonic()
        return self.budget.spend(request.service)

    def _refund_retry(self, request: ForwardRequest) -> None:
        self.budget.refund(request.service, spent_at=request.retry_spent_at)

    def close(
        self, request: ForwardRequest, attempt: Attempt, outcome: AttemptOutcome | None
    ) -> None:
        """End an attempt and count its outcome, unless that is ``None`` (unknown)."""
        if attempt.closed:
            return
        attempt.closed = True
        attempt.exchange.close()
        if outcome is AttemptOutcome.GOOD:
            self.selection.room.learn_answer(
                attempt.endpoint, attempt.load, request.head.prompt
            )
        if outcome in (None, AttemptOutcome.BROKEN):
            self.reservations.note_given_up(attempt.endpoint)
        self.loads.end(attempt.endpoint, attempt.load)
        if outcome is None:
            self._note_given_up(request, attempt.endpoint)
            return
        self.outcomes.add(attempt.endpoint.name, request.route.name, outcome)
        if outcome is not AttemptOutcome.BROKEN:
            self.ejector.succeeded(attempt.endpoint)
        if attempt.exchange.head.succeeded and outcome is AttemptOutcome.GOOD:
            self.crashes.learn_answer(request.suspects, sent_at=attempt.load.started)

    async def record_broken_response(
        self, request: ForwardRequest, attempt: Attempt, fault: CallFault
    ) -> None:
        """Record that a response broke off after it had begun."""
        self.close(request, attempt, AttemptOutcome.BROKEN)
        if request.route.kind is RequestKind.STREAMING:
            request.history.append(f"events={attempt.events}")
        if attempt.peer is not None:
            fault.relay = attempt.peer.tcp_address
        streamed = self.clock.monotonic() - attempt.first_event_at
        await self._record_fault(
            request,
            attempt.endpoint,
            fault,
            already_counted=True,
            with_parts=streamed <= CRASH_AFTER_FIRST_EVENT_SECONDS,
        )

    async def _send(
        self,
        request: ForwardRequest,
        choice: Choice,
        model: str,
        resume_after: str,
    ) -> Attempt | None:
        """Send once; return ``None`` if the endpoint reports that it did not run it."""
        endpoint = choice.endpoint
        if self.limits.named_limit_of(endpoint) is not None:
            self.metrics.count("limited_attempts")
        if self.paces.pace_of(endpoint) is not None:
            self.metrics.count("paced_attempts")
        peer = self._peer_for(request, endpoint)
        load = self.begin_load(request, endpoint, model)
        self.reservations.begin(endpoint, choice.basis)
        pause = self.pauses.begin(endpoint)
        head = None
        request.endpoints_tried.append(endpoint.name)
        ran_before = request.ran
        request.attempts += 1
        request.times_sent += 1
        request.ran = True
        call = self._build_call(request, endpoint, model, resume_after, peer)
        try:
            exchange = await self.calls.open(call)
            head = exchange.head
        except CallFault as fault:
            if fault.may_have_run:
                self.reservations.note_given_up(endpoint)
            self.loads.end(endpoint, load)
            request.ran = ran_before or fault.may_have_run
            if not fault.may_have_run:
                request.attempts -= 1
                request.times_sent -= 1
            fault.relay = call.relay
            self._record_path_fault(request, endpoint, peer, fault)
            raise
        except BaseException:
            self.reservations.note_given_up(endpoint)
            self.loads.end(endpoint, load)
            waited = self.clock.monotonic() - load.started
            state = "unanswered" if call.connected else "unconnected"
            if call.connected:
                self._note_given_up(request, endpoint)
            request.history.append(f"{endpoint.name}/{model}={state}@{waited:.3f}")
            raise
        finally:
            self.pauses.end(pause, endpoint, head)
        if exchange.head.leaving and not exchange.head.misdirected:
            self.directory.mark_leaving(endpoint, reason="answer")
        self.availability.learn_answer(
            endpoint, exchange.head, sent_at=load.started, basis=choice.basis
        )
        if exchange.head.not_run or exchange.head.misdirected:
            request.ran = ran_before
            request.attempts -= 1
            self._record_not_run(request, choice, exchange)
            exchange.close()
            self.loads.end(endpoint, load)
            return None
        if self.paces.pace_of(endpoint) is not None and head.status < 500:
            slowdown = self._slowdown(request, load)
            self.paces.learn_answer(
                endpoint, slowdown, sound=True, sent_at=load.started
            )
        seconds = self.loads.record_first_token(load)
        # The time to a stream's first event depends on the other prompts at its engine
        # and varies by a factor of ten, so it is a poor measure of a version's speed.
        if request.route.kind is not RequestKind.STREAMING:
            self._record_duration(request, endpoint, model, seconds)
        self._record_response_head(request, endpoint, model, seconds, exchange)
        return Attempt(
            endpoint=endpoint,
            load=load,
            exchange=exchange,
            model=model,
            peer=peer,
        )

    def _slowdown(self, request: ForwardRequest, load: RequestLoad) -> float | None:
        """Return the time to an answer's head, relative to that of other endpoints.

        It is ``None`` as long as none is known.
        """
        seconds = self.clock.monotonic() - load.started
        if load.tokens:
            expected = load.tokens * self.loads.token_seconds(load.model)
            return seconds / (expected + FIRST_TOKEN_OVERHEAD_SECONDS)
        log_slowdown = self.outcomes.log_slowdown(
            request.route.name, load.model, seconds, learn=False
        )
        return None if log_slowdown is None else math.exp(log_slowdown)

    def record_events(
        self, request: ForwardRequest, attempt: Attempt, events: int
    ) -> None:
        """Record events that arrived together, to measure the stream's pace."""
        now = self.clock.monotonic()
        attempt.events += events
        attempt.first_event_at = min(attempt.first_event_at, now)
        streamed = now - attempt.first_event_at
        if not attempt.is_sound and streamed > CRASH_AFTER_FIRST_EVENT_SECONDS:
            attempt.is_sound = True
            sent_at = attempt.load.started
            self.crashes.learn_answer(request.part_suspects, sent_at=sent_at)
        self._record_pace(request, attempt, attempt.pace.add_events(now, events))

    def record_stream_end(self, request: ForwardRequest, attempt: Attempt) -> None:
        """Record that a stream is complete; the pace of a short one is measured now."""
        self._record_pace(request, attempt, attempt.pace.finish())

    def _record_pace(
        self, request: ForwardRequest, attempt: Attempt, pace: float | None
    ) -> None:
        if pace is None:
            return
        request.history.append(f"pace={pace:.3f}")
        self._record_duration(request, attempt.endpoint, attempt.model, pace)

    def _record_duration(
        self, request: ForwardRequest, endpoint: Endpoint, model: str, seconds: float
    ) -> None:
        self.outcomes.add_duration(
            endpoint.name,
            request.route.name,
            model,
            seconds,
            learn=not self.rollouts.is_rollout_target(endpoint),
            in_flight=self.loads.in_flight_of(endpoint),
        )

    def _build_call(
        self,
        request: ForwardRequest,
        endpoint: Endpoint,
        model: str,
        resume_after: str,
        peer: DaemonAddress | None,
    ) -> EndpointCall:
        prompt = request.head.prompt
        tokens = prompt.input_tokens if prompt is not None else 0
        expected_prefill_seconds = tokens * self.loads.token_seconds(model)
        return EndpointCall(
            request=request,
            instance=endpoint.name,
            address=endpoint.address,
            remaining_seconds=request.deadline - self.clock.monotonic(),
            urgency=urgency(
                prefill_seconds=expected_prefill_seconds, priority=request.priority
            ),
            model=model,
            resume_after=resume_after,
            fresh_connection=request.route.kind is RequestKind.NON_IDEMPOTENT,
            probe_after_seconds=_probe_after_seconds(request),
            silence_seconds=self._silence_timeout_seconds(request),
            relay=peer.tcp_address if peer is not None else "",
            on_unreachable=functools.partial(self._eject_unreachable, endpoint, peer),
            reserve_retry=functools.partial(self.reserve_retry, request, model),
            may_send=functools.partial(
                self._may_send, request, endpoint, self.clock.monotonic()
            ),
        )

    def _silence_timeout_seconds(self, request: ForwardRequest) -> float | None:
        """Return the seconds of silence after which a live endpoint may be given up.

        While a larger model is asked, time is left to ask the smaller one again.
        """
        if not request.route.retryable:
            return None
        limit = request.route.objective_seconds * SILENCE_TIMEOUT_OBJECTIVES
        if request.fallback_seconds is None or request.events:
            return limit
        remaining = request.deadline - self.clock.monotonic()
        kept = request.fallback_seconds * FALLBACK_TIME_FACTOR
        kept += MINIMUM_SUCCESSOR_SECONDS
        return min(limit, remaining - min(kept, remaining * MAXIMUM_FALLBACK_SHARE))

    def _record_response_head(
        self,
        request: ForwardRequest,
        endpoint: Endpoint,
        model: str,
        seconds: float,
        exchange: Exchange,
    ) -> None:
        status = exchange.head.status
        request.history.append(f"{endpoint.name}/{model}={status}@{seconds:.3f}")
        if exchange.head.request_limit is not None:
            request.history.append(f"limit={exchange.head.request_limit:g}")
        self.metrics.count("attempts", label=f"status_{status // 100}xx")
        self.metrics.record("first_byte_seconds", seconds)
        if exchange.head.leaving:
            request.history.append("leaving")
        if exchange.head.closes_connection:
            self.metrics.count("connections_closed")

    def _record_not_run(
        self, request: ForwardRequest, choice: Choice, exchange: Exchange
    ) -> None:
        endpoint = choice.endpoint
        step = f"{endpoint.name}=not_run:{exchange.head.status}"
        if self.availability.brittleness.limit_of(endpoint) is not None:
            step += f" sent:{choice.basis}"
        if exchange.head.pause_seconds is not None:
            step += f" pause {exchange.head.pause_seconds:.3f}"
        request.history.append(step)
        self.metrics.count("attempts", label="not_run")
        if exchange.head.misdirected and _shows_another_instance(
            request, endpoint, exchange.head
        ):
            self.directory.mark_leaving(endpoint, reason="address taken over")

    async def _record_fault(
        self,
        request: ForwardRequest,
        endpoint: Endpoint,
        fault: CallFault,
        *,
        already_counted: bool = False,
        with_parts: bool = True,
    ) -> None:
        """Record a failed call, and a crash if it left the endpoint unreachable.

        ``already_counted`` is set if the attempt's outcome has been counted before,
        ``with_parts`` if parts of the prompt may have caused a crash.
        """
        request.history.append(f"{endpoint.name}={fault.describe()}")
        self.metrics.count("attempts", label=fault.kind)
        if fault.kind is CallFaultKind.WITHDRAWN:
            return
        if fault.kind is CallFaultKind.SILENT and fault.may_have_run:
            self._note_given_up(request, endpoint)
        if fault.relay:
            await self._record_relayed_fault(request, endpoint, fault, with_parts)
            return
        self.paces.learn_answer(
            endpoint, None, sound=False, sent_at=self.clock.monotonic()
        )
        if not already_counted:
            self.outcomes.add(endpoint.name, request.route.name, AttemptOutcome.BROKEN)
        self.calls.close_idle_connections(endpoint.address)
        # A failed connection or probe has shown that the endpoint is unreachable.
        dead = fault.kind is CallFaultKind.CONNECT or fault.probe is not None
        if not dead and fault.may_have_run:
            probe = await self.calls.probe(endpoint.address)
            dead = probe is not ProbeOutcome.ACCEPTED
            # A time-out may be due to the network; an ended process refuses.
            refused = probe is ProbeOutcome.REFUSED
            if refused and fault.kind is CallFaultKind.BROKEN:
                self.quarantine.eject(endpoint)
                if await self.confirmation.confirm(endpoint):
                    self._record_crash(request, endpoint, with_parts)
        if dead:
            self.quarantine.eject(endpoint)
            return
        pool = self.directory.pool(request.service)
        if self.ejector.failed(endpoint, pool, dead=False):
            self.metrics.count("ejections")
            self.paces.note_ejected(endpoint)
            log_change(
                "endpoint left out",
                endpoint=endpoint.name,
                fault=str(fault.kind),
                detail=fault.detail,
                request=request.head.attempt_id,
            )

    async def _record_relayed_fault(
        self,
        request: ForwardRequest,
        endpoint: Endpoint,
        fault: CallFault,
        with_parts: bool,
    ) -> None:
        """Record a crash that a peer confirms.

        What else failed may be the peer, and is not put down to the endpoint.
        """
        if fault.kind is not CallFaultKind.BROKEN or not fault.may_have_run:
            return
        probe = await self.calls.probe_through(fault.relay, endpoint.name)
        if probe is ProbeOutcome.REFUSED:
            self._record_crash(request, endpoint, with_parts)

    def _record_crash(
        self, request: ForwardRequest, endpoint: Endpoint, with_parts: bool
    ) -> None:
        name = _start_of(endpoint)
        self.crashes.record_crash(request, name, with_parts=with_parts)

    def _note_given_up(self, request: ForwardRequest, endpoint: Endpoint) -> None:
        self.crashes.note_given_up(request, _start_of(endpoint))

    def _may_try_through_peer(
        self, request: ForwardRequest, endpoint: Endpoint, fault: CallFault
    ) -> bool:
        """Return whether an endpoint that could not be connected to may be reached."""
        if fault.relay or fault.kind is not CallFaultKind.CONNECT:
            return False
        return self._is_reached_by_peers(request, endpoint)

    def no_endpoint_refusal(
        self, request: ForwardRequest, model: str, last_fault: CallFault | None
    ) -> Refusal:
        """Return the refusal of a request that can be sent to no endpoint in time."""
        inputs = self.selection_inputs(request, model)
        return self.refusals.no_endpoint(request, inputs, last_fault)

    def _peer_for(
        self, request: ForwardRequest, endpoint: Endpoint
    ) -> DaemonAddress | None:
        """Return the peer to send through, ``None`` to send directly."""
        if not self._is_reached_by_peers(request, endpoint):
            return None
        peer = self.paths.choose(request.head.attempt_id, endpoint, homes=request.homes)
        self.paths.note_used(peer, endpoint)
        request.history.append(f"via {peer.instance}")
        return peer

    def _is_reached_by_peers(self, request: ForwardRequest, endpoint: Endpoint) -> bool:
        return self.availability.is_reached_by_peers(endpoint, homes=request.homes)

    def _record_path_fault(
        self,
        request: ForwardRequest,
        endpoint: Endpoint,
        peer: DaemonAddress | None,
        fault: CallFault,
    ) -> None:
        """Record that a peer, or an endpoint through a peer, could not be reached."""
        if peer is None or fault.may_have_run:
            return
        if fault.peer_failed:
            self.paths.peer_failed(peer)
        else:
            self.paths.endpoint_failed(peer, endpoint)
        if fault.peer_failed or self._is_reached_by_peers(request, endpoint):
            request.endpoints_tried.remove(endpoint.name)

    def _eject_unreachable(
        self, endpoint: Endpoint, peer: DaemonAddress | None = None
    ) -> None:
        if peer is not None:
            self.paths.peer_failed(peer)
            return
        self.calls.close_idle_connections(endpoint.address)
        self.quarantine.eject(endpoint)

    def refuse_attempt(
        self, request: ForwardRequest, last_fault: CallFault | None
    ) -> Refusal | None:
        """Return a refusal if no further attempt is allowed."""
        stopping = self.planned_stop.refuse(request)
        if stopping is not None:
            return stopping
        remaining = request.deadline - self.clock.monotonic()
        if remaining < MINIMUM_ATTEMPT_SECONDS:
            return attempt_refusal(
                request, ErrorKind.DEADLINE_EXCEEDED, "no time is left"
            )
        if not self.may_retry(request) or _is_last_for_fallback(request, last_fault):
            detail = (
                last_fault.detail if last_fault is not None else "all attempts are used"
            )
            return attempt_refusal(request, ErrorKind.ENDPOINT_FAILED, detail)
        poison = self.trials.refuse(request)
        if poison is not None and request.ran:
            return attempt_refusal(request, ErrorKind.ENDPOINT_FAILED, poison.detail)
        return poison

    def _may_send(
        self, request: ForwardRequest, endpoint: Endpoint, chosen_at: float
    ) -> bool:
        """Return whether a call may be sent now that its connection is made."""
        if not self.planned_stop.allows(request):
            return False
        if self.trials.refuse(request) is not None:
            return False
        if not self.selection.homes.allow_endpoint(request.homes, endpoint):
            return False
        if not self.availability.still_accepts(endpoint):
            return False
        return self.limits.still_permitted(endpoint, chosen_at=chosen_at)


def _start_of(endpoint: Endpoint) -> str:
    """Return the name of one start of an endpoint."""
    return f"{endpoint.name}:{endpoint.incarnation}"


def _probe_after_seconds(request: ForwardRequest) -> float | None:
    """Return the seconds of silence after which an endpoint is probed."""
    if not request.route.retryable:
        return None
    share = 1.0
    if request.route.kind is RequestKind.STREAMING:
        share = STREAM_PROBE_SHARE
    return max(request.route.objective_seconds * share, MINIMUM_PROBE_SECONDS)


def _is_last_for_fallback(
    request: ForwardRequest, last_fault: CallFault | None
) -> bool:
    """Return whether the next attempt is the last, kept for a smaller model.

    It is kept once the larger model has failed.
    """
    if request.fallback_seconds is None or last_fault is None:
        return False
    return request.attempts + 1 >= request.route.maximum_attempts


def _affinity(request: ForwardRequest, model: str) -> str:
    prompt = request.head.prompt
    if prompt is None or not prompt.session:
        return ""
    return f"{model}/{prompt.session}"


def _cache_tokens(request: ForwardRequest) -> int:
    """Return the tokens that a request occupies in the memory of an engine."""
    prompt = request.head.prompt
    return prompt.input_tokens + prompt.output_tokens if prompt is not None else 0


def _shows_another_instance(
    request: ForwardRequest, endpoint: Endpoint, head: ResponseHead
) -> bool:
    """Return whether a misdirected call has reached another instance.

    An answer that names no instance may as well concern a model that the caller chose.
    """
    if head.answered_by:
        return head.answered_by != endpoint.name
    return request.head.model in ("", ANY_MODEL)

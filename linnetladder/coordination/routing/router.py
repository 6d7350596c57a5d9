"""The way of a request through the daemon, from its arrival to its answer.

`Router.answer` is the front of this package: entry checks, the decision, the claim,
the attempts, the bill and the receipt, in this order.
"""

import asyncio
import random

import xxhash
from returns.result import Failure, Result, Success

from linnetladder.coordination.attempts.endpoint_client import StreamAnswer, WholeAnswer
from linnetladder.coordination.attempts.runner import AttemptRunner, Reached
from linnetladder.coordination.attempts.streams import RoutedStream
from linnetladder.coordination.billing.completion import Completion
from linnetladder.coordination.cascades.escalation import Escalation
from linnetladder.coordination.cascades.health_watch import HealthWatch
from linnetladder.coordination.cascades.inputs import build_quality_inputs
from linnetladder.coordination.cascades.learner import QualityLearner
from linnetladder.coordination.cascades.rating import RatingFeed
from linnetladder.coordination.claims.strategies import ClaimStrategy
from linnetladder.coordination.claims.tickets import Ticket, TicketClaims
from linnetladder.coordination.routing.decision import decide
from linnetladder.coordination.routing.entry import EntryChecks
from linnetladder.coordination.routing.exchanges import (
    Refused,
    StreamExchange,
    WholeExchange,
)
from linnetladder.coordination.routing.passage import Passage
from linnetladder.coordination.routing.requests import (
    AUTOMATIC_MODEL,
    CallerRequest,
    ChatWork,
)
from linnetladder.errors import ErrorKind, Ran, Refusal
from linnetladder.state import (
    AccountView,
    Clock,
    DecisionInputs,
    EndpointTable,
    Target,
)
from linnetladder.telemetry import Metrics, Tracer

__all__ = ["Router"]

CLAIM_SETTLE_SECONDS = 2.0
DRAW_SCALE = 1 << 64
FALLBACK_KINDS = frozenset(
    {ErrorKind.OVERLOADED, ErrorKind.DEADLINE_UNREACHABLE, ErrorKind.NO_ENDPOINT}
)
PLATFORM_RETRY_SECONDS = 2.0


class Router:
    """Answer requests or refuse them, each once."""

    def __init__(
        self,
        *,
        checks: EntryChecks,
        table: EndpointTable,
        runner: AttemptRunner,
        claims: ClaimStrategy,
        tickets: TicketClaims,
        learner: QualityLearner,
        watch: HealthWatch,
        escalation: Escalation | None,
        feed: RatingFeed | None,
        completion: Completion,
        clock: Clock,
        metrics: Metrics,
        tracer: Tracer,
        exploration_seed: int,
    ):
        self.checks = checks
        self.table = table
        self.runner = runner
        self.claims = claims
        self.tickets = tickets
        self.learner = learner
        self.watch = watch
        self.escalation = escalation
        self.feed = feed
        self.completion = completion
        self.clock = clock
        self.metrics = metrics
        self.tracer = tracer
        self.random = random.Random(exploration_seed)
        self.draining = False

    async def answer(
        self, request: CallerRequest
    ) -> WholeExchange | StreamExchange | Refused:
        """Return the whole answer, a stream that has begun, or the refusal."""
        self.metrics.count("requests")
        passage = Passage(request=request)
        passage.trace = self.tracer.begin(request.trace_parent)
        try:
            return await self._answer(passage)
        except asyncio.CancelledError:
            self.metrics.count("caller_left")
            self._close(passage, refused="caller_left")
            raise
        except Exception:
            self._close(passage, refused=ErrorKind.INTERNAL)
            raise

    async def _answer(
        self, passage: Passage
    ) -> WholeExchange | StreamExchange | Refused:
        outcome = await self._route(passage)
        if isinstance(outcome, Failure):
            return await self._refuse(passage, outcome.failure())
        reached = outcome.unwrap()
        if isinstance(reached.answer, StreamAnswer):
            return self._begin_stream(passage, reached)
        reached = await self._escalate(passage, reached)
        return await self._finish_whole(passage, reached)

    async def _escalate(self, passage: Passage, reached: Reached) -> Reached:
        """Go on with the plan if its first step answered and a rater is to be had."""
        plan = passage.plan
        if self.escalation is None or plan is None or passage.session is not None:
            return reached
        if passage.target != plan.steps[0].ref or not passage.idempotent:
            return reached
        passage.ran = Ran.YES
        return (await self.escalation.finish(passage, reached)).unwrap()

    def issue_ticket(
        self, credential_digest: str
    ) -> Result[tuple[str, Ticket], Refusal]:
        """Return a ticket for one request of the credential's client account."""
        account = self.checks.account_of(credential_digest)
        if isinstance(account, Failure):
            return account
        if self.draining or self.completion.keys.current is None:
            detail = "the daemon issues no tickets now"
            return Failure(Refusal(ErrorKind.DRAINING, detail, retry_after_seconds=0.5))
        return Success(self.tickets.issue(account.unwrap()))

    async def _route(self, passage: Passage) -> Result[Reached, Refusal]:
        """Do everything up to an endpoint's answer."""
        refusal = (
            self.checks.identify(passage)
            or self._refuse_at_the_door(passage)
            or self.checks.enter(passage)
        )
        if refusal is None:
            refusal = self._decide(passage)
        if refusal is None:
            refusal = await self._claim(passage)
        if refusal is not None:
            return Failure(refusal)
        return await self._run(passage)

    def _refuse_at_the_door(self, passage: Passage) -> Refusal | None:
        if self.draining:
            detail = "the daemon is shutting down; another one takes the request"
            return Refusal(ErrorKind.DRAINING, detail, retry_after_seconds=0.5)
        if self.completion.bills.is_full:
            detail = "too many bills wait for the platform"
            return Refusal(
                ErrorKind.PLATFORM_UNAVAILABLE,
                detail,
                retry_after_seconds=PLATFORM_RETRY_SECONDS,
            )
        return None

    def _decide(self, passage: Passage) -> Refusal | None:
        """Choose the versions that may answer, or the plain service."""
        work = passage.request.work
        if not isinstance(work, ChatWork):
            passage.target = work.service
            return None
        before = self.clock.monotonic()
        hop = passage.trace.begin("decision") if passage.trace else None
        passage.inputs = self._decision_inputs(passage, work)
        decision = decide(passage.snapshot, passage.inputs)
        passage.passed_over = decision.passed_over
        self.metrics.record("decision_seconds", self.clock.monotonic() - before)
        if hop is not None:
            hop.end(failed=decision.refusal is not None)
        if decision.refusal is not None:
            return decision.refusal
        passage.plan = decision.plan
        passage.ladder = decision.ladder
        self.learner.chosen(
            passage.account,
            target=passage.view.settings.values.quality_target,
            quality=decision.plan.quality,
            price=decision.implied_price,
        )
        passage.target = decision.ladder[0].ref
        return None

    def _decision_inputs(self, passage: Passage, work: ChatWork) -> DecisionInputs:
        request = passage.request
        now = self.clock.monotonic()
        key = f"{passage.account}\0{request.request_key}"
        limit = passage.view.settings.values.maximum_output_tokens
        available = self._available(passage.view, work.wanted, now)
        return DecisionInputs(
            account=passage.account,
            wanted=work.wanted,
            request_kind=request.request_kind,
            input_tokens=work.input_tokens,
            output_tokens=min(work.output_tokens or limit, limit),
            draw=xxhash.xxh64_intdigest(key.encode()) / DRAW_SCALE,
            exploration_draw=self.random.random(),
            pin=str(passage.session.pin) if passage.session else "",
            fresh=self.checks.is_fresh(passage),
            available=available,
            pulled=self.watch.pulled_names(),
            quality=build_quality_inputs(
                self.learner,
                passage.snapshot,
                passage.view,
                request.request_kind,
                available,
                rater=self.escalation is not None and not work.stream,
            ),
        )

    def _available(self, view: AccountView, wanted: str, now: float) -> tuple[str, ...]:
        """Return the versions that fit the wish and that an endpoint works for."""
        model, _, version = wanted.partition("@")
        return tuple(
            str(entry.ref)
            for entry in view.allowed
            if model in (AUTOMATIC_MODEL, entry.ref.model)
            and version in ("", entry.ref.version)
            and self.table.accepts_work(entry.ref, now)
        )

    async def _claim(self, passage: Passage) -> Refusal | None:
        """Take the right to run a non-idempotent request that the caller named."""
        request = passage.request
        if passage.idempotent or not request.key_given:
            return None
        hop = passage.trace.begin("platform claim") if passage.trace else None
        remaining = passage.deadline - self.clock.monotonic()
        passage.claims = self.tickets if request.ticket else self.claims
        seconds = min(CLAIM_SETTLE_SECONDS, max(remaining, 0.0))
        claimed = await passage.claims.claim(passage.claim_wish(seconds=seconds))
        refused = isinstance(claimed, Failure)
        if hop is not None:
            hop.end(failed=refused)
        self.metrics.count("claims", label="refused" if refused else "created")
        if refused:
            return claimed.failure()
        passage.claim = claimed.unwrap()
        return None

    async def _run(self, passage: Passage) -> Result[Reached, Refusal]:
        """Run the attempts at the first choice, then at the others if it has no room.

        Nothing but want of a place leads on: a version that was tried and failed is
        not silently replaced by another.
        """
        targets: tuple[Target, ...] = tuple(v.ref for v in passage.ladder)
        first: Result[Reached, Refusal] | None = None
        for target in targets or (passage.target,):
            passage.target = target
            outcome = await self.runner.run(passage, target)
            if isinstance(outcome, Success):
                return outcome
            first = first or outcome
            refusal = outcome.failure()
            if refusal.kind not in FALLBACK_KINDS or passage.ran is not Ran.NO:
                return outcome
        return first

    async def _finish_whole(
        self, passage: Passage, reached: Reached
    ) -> WholeExchange | Refused:
        """Bill a whole answer and hand it back."""
        answer: WholeAnswer = reached.answer
        passage.ran = Ran.YES
        now = self.clock.monotonic()
        reached.place.release(now)
        self.runner.ejector.succeeded(reached.place.endpoint)
        refusal = await self.completion.bill(passage, answer.usage)
        if refusal is not None:
            return await self._refuse(passage, refusal)
        head = self.completion.answer_head(passage)
        self._expect_rating(passage)
        self.metrics.count("answered", label=str(passage.target))
        self._close(passage, refused="")
        return WholeExchange(
            head=head,
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body,
        )

    def _expect_rating(self, passage: Passage) -> None:
        """Remember what was expected, for when the answer is rated."""
        if self.feed is not None and passage.plan is not None:
            self.feed.expect(passage.request.request_id, passage.plan.quality)

    def _begin_stream(self, passage: Passage, reached: Reached) -> RoutedStream:
        passage.ran = Ran.YES
        self._expect_rating(passage)
        now = self.clock.monotonic()
        self.metrics.record("first_byte_seconds", now - passage.request.received)
        return RoutedStream(
            passage=passage,
            reached=reached,
            head=self.completion.answer_head(passage),
            runner=self.runner,
            completion=self.completion,
            checks=self.checks,
            metrics=self.metrics,
            tracer=self.tracer,
        )

    async def _refuse(self, passage: Passage, refusal: Refusal) -> Refused:
        refused = await self.completion.refuse(passage, refusal)
        self._close(passage, refused=refusal.kind)
        return refused

    def _close(self, passage: Passage, *, refused: str) -> None:
        self.runner.end_trial(passage, clean=not refused)
        self.checks.leave(passage)
        elapsed = self.clock.monotonic() - passage.request.received
        self.metrics.record("total_seconds", elapsed)
        self.tracer.finish(passage.trace, refused=refused)

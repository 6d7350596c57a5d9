"""The request pipeline, from a request's arrival to its answer or refusal.

`Router.answer` is the entry point of this package. It runs the entry checks, the
decision, the claim, the attempts, the bill and the receipt, in this order.
"""

import asyncio
import random

import xxhash
from returns.result import Failure, Result, Success

from linnetladder.coordination.attempts.endpoint_client import StreamAnswer, WholeAnswer
from linnetladder.coordination.attempts.runner import AttemptRunner, BegunAnswer
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
from linnetladder.coordination.routing.request_context import RequestContext
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

# Upper bound on the time for settling whether a claim was written.
CLAIM_SETTLE_SECONDS = 2.0
# xxh64 digests are 64 bits; dividing by the range gives a draw in [0, 1).
DIGEST_RANGE = 1 << 64
# Refusals of one version after which the next version is tried.
FALLBACK_KINDS = frozenset(
    {ErrorKind.OVERLOADED, ErrorKind.DEADLINE_UNREACHABLE, ErrorKind.NO_ENDPOINT}
)
# Retry-After of refusals while the daemon holds too many unrecorded bills.
PLATFORM_RETRY_AFTER_SECONDS = 2.0


class Router:
    """Answer or refuse each request exactly once."""

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
        """Return the whole answer, a started stream, or the refusal."""
        self.metrics.count("requests")
        context = RequestContext(request=request)
        context.trace = self.tracer.begin(request.trace_parent)
        try:
            return await self._answer(context)
        except asyncio.CancelledError:
            self.metrics.count("caller_left")
            self._close(context, refused="caller_left")
            raise
        except Exception:
            self._close(context, refused=ErrorKind.INTERNAL)
            raise

    async def _answer(
        self, context: RequestContext
    ) -> WholeExchange | StreamExchange | Refused:
        outcome = await self._route(context)
        if isinstance(outcome, Failure):
            return await self._refuse(context, outcome.failure())
        begun = outcome.unwrap()
        if isinstance(begun.answer, StreamAnswer):
            return self._begin_stream(context, begun)
        begun = await self._escalate(context, begun)
        return await self._finish_whole(context, begun)

    async def _escalate(
        self, context: RequestContext, begun: BegunAnswer
    ) -> BegunAnswer:
        """Run the plan's further steps if its first step answered and a rater exists.

        Requests in a session and requests that are not idempotent keep their first
        answer.
        """
        plan = context.plan
        if self.escalation is None or plan is None or context.session is not None:
            return begun
        if context.target != plan.steps[0].ref or not context.idempotent:
            return begun
        context.ran = Ran.YES
        return (await self.escalation.finish(context, begun)).unwrap()

    def issue_ticket(
        self, credential_digest: str
    ) -> Result[tuple[str, Ticket], Refusal]:
        """Issue a ticket for one request of the credential's client account."""
        account = self.checks.account_of(credential_digest)
        if isinstance(account, Failure):
            return account
        if self.draining or self.completion.keys.current is None:
            detail = "the daemon issues no tickets now"
            return Failure(Refusal(ErrorKind.DRAINING, detail, retry_after_seconds=0.5))
        return Success(self.tickets.issue(account.unwrap()))

    async def _route(self, context: RequestContext) -> Result[BegunAnswer, Refusal]:
        """Run all steps up to an endpoint's answer, and return it or the refusal."""
        refusal = (
            self.checks.identify(context)
            or self._refuse_unavailable(context)
            or self.checks.admit(context)
        )
        if refusal is None:
            refusal = self._decide(context)
        if refusal is None:
            refusal = await self._claim(context)
        if refusal is not None:
            return Failure(refusal)
        return await self._run(context)

    def _refuse_unavailable(self, context: RequestContext) -> Refusal | None:
        """Refuse new work while the daemon drains or holds too many bills."""
        if self.draining:
            detail = "the daemon is shutting down; another one takes the request"
            return Refusal(ErrorKind.DRAINING, detail, retry_after_seconds=0.5)
        if self.completion.bills.is_full:
            detail = "too many bills wait for the platform"
            return Refusal(
                ErrorKind.PLATFORM_UNAVAILABLE,
                detail,
                retry_after_seconds=PLATFORM_RETRY_AFTER_SECONDS,
            )
        return None

    def _decide(self, context: RequestContext) -> Refusal | None:
        """Set the plan and the ranked versions, or take the plain service as target."""
        work = context.request.work
        if not isinstance(work, ChatWork):
            context.target = work.service
            return None
        before = self.clock.monotonic()
        span = context.trace.begin("decision") if context.trace else None
        context.inputs = self._decision_inputs(context, work)
        decision = decide(context.snapshot, context.inputs)
        context.rejected_candidates = decision.rejected_candidates
        self.metrics.record("decision_seconds", self.clock.monotonic() - before)
        if span is not None:
            span.end(failed=decision.refusal is not None)
        if decision.refusal is not None:
            return decision.refusal
        context.plan = decision.plan
        context.ranked_versions = decision.ranked_versions
        self.learner.chosen(
            context.account,
            target=context.view.settings.values.quality_target,
            quality=decision.plan.quality,
            price=decision.implied_price,
        )
        context.target = decision.ranked_versions[0].ref
        return None

    def _decision_inputs(
        self, context: RequestContext, work: ChatWork
    ) -> DecisionInputs:
        request = context.request
        now = self.clock.monotonic()
        key = f"{context.account}\0{request.request_key}"
        limit = context.view.settings.values.maximum_output_tokens
        available = self._available(context.view, work.wanted, now)
        return DecisionInputs(
            account=context.account,
            wanted=work.wanted,
            request_kind=request.request_kind,
            input_tokens=work.input_tokens,
            output_tokens=min(work.output_tokens or limit, limit),
            draw=xxhash.xxh64_intdigest(key.encode()) / DIGEST_RANGE,
            exploration_draw=self.random.random(),
            pin=str(context.session.pin) if context.session else "",
            fresh=self.checks.is_configuration_fresh(context),
            available=available,
            pulled=self.watch.pulled_names(),
            quality=build_quality_inputs(
                self.learner,
                context.snapshot,
                context.view,
                request.request_kind,
                available,
                rater_available=self.escalation is not None and not work.stream,
            ),
        )

    def _available(self, view: AccountView, wanted: str, now: float) -> tuple[str, ...]:
        """Return the allowed versions that match ``wanted`` and have an endpoint."""
        model, _, version = wanted.partition("@")
        return tuple(
            str(entry.ref)
            for entry in view.allowed
            if model in (AUTOMATIC_MODEL, entry.ref.model)
            and version in ("", entry.ref.version)
            and self.table.accepts_work(entry.ref, now)
        )

    async def _claim(self, context: RequestContext) -> Refusal | None:
        """Claim the exclusive right to run a keyed, non-idempotent request."""
        request = context.request
        if context.idempotent or not request.has_caller_key:
            return None
        span = context.trace.begin("platform claim") if context.trace else None
        remaining = context.deadline - self.clock.monotonic()
        context.claims = self.tickets if request.ticket else self.claims
        seconds = min(CLAIM_SETTLE_SECONDS, max(remaining, 0.0))
        claimed = await context.claims.claim(
            context.build_claim_request(seconds=seconds)
        )
        refused = isinstance(claimed, Failure)
        if span is not None:
            span.end(failed=refused)
        self.metrics.count("claims", label="refused" if refused else "created")
        if refused:
            return claimed.failure()
        context.claim = claimed.unwrap()
        return None

    async def _run(self, context: RequestContext) -> Result[BegunAnswer, Refusal]:
        """Run the attempts for the first version, then for the others in rank order.

        Only the lack of a slot leads to the next version: a version that was tried
        and failed is not silently replaced by another.
        """
        targets: tuple[Target, ...] = tuple(v.ref for v in context.ranked_versions)
        first: Result[BegunAnswer, Refusal] | None = None
        for target in targets or (context.target,):
            context.target = target
            outcome = await self.runner.run(context, target)
            if isinstance(outcome, Success):
                return outcome
            first = first or outcome
            refusal = outcome.failure()
            if refusal.kind not in FALLBACK_KINDS or context.ran is not Ran.NO:
                return outcome
        return first

    async def _finish_whole(
        self, context: RequestContext, begun: BegunAnswer
    ) -> WholeExchange | Refused:
        """Bill a whole answer and return it with its receipt."""
        answer: WholeAnswer = begun.answer
        context.ran = Ran.YES
        now = self.clock.monotonic()
        begun.slot.release(now)
        self.runner.ejector.succeeded(begun.slot.endpoint)
        refusal = await self.completion.bill(context, answer.usage)
        if refusal is not None:
            return await self._refuse(context, refusal)
        head = self.completion.answer_head(context)
        self._expect_rating(context)
        self.metrics.count("answered", label=str(context.target))
        self._close(context, refused="")
        return WholeExchange(
            head=head,
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body,
        )

    def _expect_rating(self, context: RequestContext) -> None:
        """Store the expected quality until the answer's rating arrives."""
        if self.feed is not None and context.plan is not None:
            self.feed.record_expectation(
                context.request.request_id, context.plan.quality
            )

    def _begin_stream(
        self, context: RequestContext, begun: BegunAnswer
    ) -> RoutedStream:
        """Return the stream that forwards, resumes and bills the answer."""
        context.ran = Ran.YES
        self._expect_rating(context)
        now = self.clock.monotonic()
        self.metrics.record("first_byte_seconds", now - context.request.received)
        return RoutedStream(
            context=context,
            begun=begun,
            head=self.completion.answer_head(context),
            runner=self.runner,
            completion=self.completion,
            checks=self.checks,
            metrics=self.metrics,
            tracer=self.tracer,
        )

    async def _refuse(self, context: RequestContext, refusal: Refusal) -> Refused:
        refused = await self.completion.refuse(context, refusal)
        self._close(context, refused=refusal.kind)
        return refused

    def _close(self, context: RequestContext, *, refused: str) -> None:
        """Release what the request holds and record its duration and trace.

        ``refused`` is the error kind, or empty for an answered request.
        """
        self.runner.end_trial(context, clean=not refused)
        self.checks.end_request(context)
        elapsed = self.clock.monotonic() - context.request.received
        self.metrics.record("total_seconds", elapsed)
        self.tracer.finish(context.trace, refused=refused)

"""Escalation: rate an answer, and ask the plan's next version if it is poor.

Only whole answers can be rated before the caller receives them. The caller receives
one answer, the last one generated. An answer that can't be rated, or that leaves too
little time for another one, is returned as it is.
"""

from returns.result import Failure, Result, Success

from linnetladder.coordination.attempts.endpoint_client import StreamAnswer, Usage
from linnetladder.coordination.attempts.runner import AttemptRunner, BegunAnswer
from linnetladder.coordination.cascades.learner import QualityLearner
from linnetladder.coordination.cascades.rating import AnswerRater, RatingRequest
from linnetladder.coordination.routing.request_context import RequestContext
from linnetladder.errors import Refusal
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics

__all__ = ["Escalation"]

RATING_TIMEOUT_SECONDS = 0.5
# Time to reserve for the next step: a multiple of the last step's, or the minimum.
MINIMUM_STEP_SECONDS = 1.0
STEP_TIME_FACTOR = 2.0


class Escalation:
    """Run the further steps of a plan after its first step was answered."""

    def __init__(
        self,
        *,
        rater: AnswerRater,
        learner: QualityLearner,
        runner: AttemptRunner,
        clock: Clock,
        metrics: Metrics,
    ):
        self.rater = rater
        self.learner = learner
        self.runner = runner
        self.clock = clock
        self.metrics = metrics

    async def finish(
        self, context: RequestContext, begun: BegunAnswer
    ) -> Result[BegunAnswer, Refusal]:
        """Return the first answer that is not rated poor, or else the last one."""
        steps = context.plan.steps
        for position, next_step in enumerate(steps[1:], start=1):
            if isinstance(begun.answer, StreamAnswer):
                return Success(begun)
            begun.slot.release(self.clock.monotonic())
            if not self._has_time(context, begun):
                return Success(begun)
            prefix = ">".join(str(step.ref) for step in steps[:position])
            if not await self._is_poor(context, begun, prefix):
                return Success(begun)
            next_answer = await self.runner.run(context, next_step.ref)
            if isinstance(next_answer, Failure):
                return Success(begun)
            self.metrics.count("escalations")
            context.superseded = self._with_superseded(context, begun)
            context.target = next_step.ref
            begun = next_answer.unwrap()
        return Success(begun)

    def _has_time(self, context: RequestContext, begun: BegunAnswer) -> bool:
        """Return whether the deadline allows rating this answer and another step."""
        now = self.clock.monotonic()
        taken = now - begun.slot.taken
        needed = (
            max(taken * STEP_TIME_FACTOR, MINIMUM_STEP_SECONDS) + RATING_TIMEOUT_SECONDS
        )
        return now + needed <= context.deadline

    async def _is_poor(
        self, context: RequestContext, begun: BegunAnswer, prefix: str
    ) -> bool:
        """Rate an answer, learn from the rating and return whether it is poor.

        An answer that can't be rated in time counts as not poor.
        """
        rating_request = RatingRequest(
            request_id=context.request.request_id,
            account=context.account,
            request_kind=context.request.request_kind,
            target=str(context.target),
            answer=begun.answer.body,
        )
        rated = await self.rater.is_poor(rating_request, seconds=RATING_TIMEOUT_SECONDS)
        if isinstance(rated, Failure):
            return False
        poor = rated.unwrap()
        self.learner.learn_step_rating(
            account=context.account,
            kind=context.request.request_kind,
            target=prefix,
            poor=poor,
            now=self.clock.unix(),
            snapshot=context.snapshot,
        )
        return poor

    def _with_superseded(self, context: RequestContext, begun: BegunAnswer) -> tuple:
        """Return the replaced answers' usage, for accounts that are billed for them."""
        usage: Usage = begun.answer.usage
        return (*context.superseded, (context.target, usage))

"""Going up a plan's steps: rate an answer, and ask the next version if it is poor.

Only whole answers can be rated before the caller sees them. The caller is given one
answer: the last one that was made. An answer that can't be rated, or that leaves too
little time for another one, is given as it is.
"""

from returns.result import Failure, Result, Success

from linnetladder.coordination.attempts.endpoint_client import StreamAnswer, Usage
from linnetladder.coordination.attempts.runner import AttemptRunner, Reached
from linnetladder.coordination.cascades.learner import QualityLearner
from linnetladder.coordination.cascades.rating import AnswerRater, RatingQuestion
from linnetladder.coordination.routing.passage import Passage
from linnetladder.errors import Refusal
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics

__all__ = ["Escalation"]

RATING_SECONDS = 0.5
MINIMUM_SECONDS_LEFT = 1.0
STEP_TIME_FACTOR = 2.0


class Escalation:
    """See a plan through after its first step was answered."""

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
        self, passage: Passage, reached: Reached
    ) -> Result[Reached, Refusal]:
        """Return the answer to give: the first that is not poor, or the last."""
        steps = passage.plan.steps
        for position, following in enumerate(steps[1:], start=1):
            if isinstance(reached.answer, StreamAnswer):
                return Success(reached)
            reached.place.release(self.clock.monotonic())
            if not self._has_time(passage, reached):
                return Success(reached)
            prefix = ">".join(str(step.ref) for step in steps[:position])
            if not await self._is_poor(passage, reached, prefix):
                return Success(reached)
            better = await self.runner.run(passage, following.ref)
            if isinstance(better, Failure):
                return Success(reached)
            self.metrics.count("escalations")
            passage.superseded = self._with_superseded(passage, reached)
            passage.target = following.ref
            reached = better.unwrap()
        return Success(reached)

    def _has_time(self, passage: Passage, reached: Reached) -> bool:
        """Tell whether another step, twice as long as this one, fits the deadline."""
        now = self.clock.monotonic()
        taken = now - reached.place.taken
        needed = max(taken * STEP_TIME_FACTOR, MINIMUM_SECONDS_LEFT) + RATING_SECONDS
        return now + needed <= passage.deadline

    async def _is_poor(self, passage: Passage, reached: Reached, prefix: str) -> bool:
        question = RatingQuestion(
            request_id=passage.request.request_id,
            account=passage.account,
            request_kind=passage.request.request_kind,
            target=str(passage.target),
            answer=reached.answer.body,
        )
        rated = await self.rater.is_poor(question, seconds=RATING_SECONDS)
        if isinstance(rated, Failure):
            return False
        poor = rated.unwrap()
        self.learner.learn_poor(
            account=passage.account,
            kind=passage.request.request_kind,
            target=prefix,
            poor=poor,
            now=self.clock.unix(),
            snapshot=passage.snapshot,
        )
        return poor

    def _with_superseded(self, passage: Passage, reached: Reached) -> tuple:
        """Return the answers that were replaced, for accounts that pay for them."""
        usage: Usage = reached.answer.usage
        return (*passage.superseded, (passage.target, usage))

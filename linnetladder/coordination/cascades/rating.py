"""The interface to the rating service, and the reader of its feed of ratings."""

import abc
import asyncio
import dataclasses

from returns.result import Failure, Result

from linnetladder.coordination.cascades.health_watch import HealthWatch
from linnetladder.coordination.cascades.learner import QualityLearner
from linnetladder.coordination.configuration.in_force import ConfigurationInForce
from linnetladder.coordination.platform import PlatformFault
from linnetladder.state.estimates import Rating

__all__ = ["AnswerRater", "RatingFeed", "RatingPage", "RatingRequest"]

POLL_SECONDS = 2.0
# Answers whose expected quality is kept until their rating arrives.
MAXIMUM_EXPECTATIONS = 20_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RatingRequest:
    """A request to rate an answer while its caller waits."""

    request_id: str
    account: str
    request_kind: str
    target: str
    answer: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RatingPage:
    """Ratings after a position of the feed, and the next position to read from."""

    position: int
    ratings: tuple[Rating, ...]


class AnswerRater(abc.ABC):
    """Rate answers on request, and provide the feed of later ratings."""

    @abc.abstractmethod
    async def is_poor(
        self, rating_request: RatingRequest, *, seconds: float
    ) -> Result[bool, PlatformFault]:
        """Return whether an answer is likely to be rejected, within ``seconds``."""

    @abc.abstractmethod
    async def page(self, position: int) -> Result[RatingPage, PlatformFault]:
        """Return the ratings after a position of the feed."""


class RatingFeed:
    """Read the feed of ratings and update the quality estimates and health tests.

    Ratings are late and cover only a sample. Ratings of answers from this daemon also
    correct the account's price of quality.
    """

    def __init__(
        self,
        *,
        rater: AnswerRater,
        learner: QualityLearner,
        watch: HealthWatch,
        configuration: ConfigurationInForce,
    ):
        self.rater = rater
        self.learner = learner
        self.watch = watch
        self.configuration = configuration
        self.position = 0
        self.expected: dict[str, float] = {}

    def record_expectation(self, request_id: str, quality: float) -> None:
        """Store the expected quality of an answer from this daemon."""
        self.expected[request_id] = quality
        if len(self.expected) > MAXIMUM_EXPECTATIONS:
            del self.expected[next(iter(self.expected))]

    async def run(self) -> None:
        """Poll the feed until cancelled."""
        while True:
            await self.read()
            await asyncio.sleep(POLL_SECONDS)

    async def read(self) -> None:
        """Read the feed's next page and apply its ratings."""
        snapshot = self.configuration.snapshot
        if snapshot is None:
            return
        fetched = await self.rater.page(self.position)
        if isinstance(fetched, Failure):
            return
        page = fetched.unwrap()
        self.position = page.position
        for rating in page.ratings:
            self.learner.learn(rating, snapshot)
            expected = self.expected.pop(rating.request_id, None)
            if expected is not None:
                self.learner.correct_price(
                    rating.account, expected=expected, accepted=rating.accepted
                )
            await self.watch.add_rating(rating)

"""What coordination needs of the rating service, behind an abstract base class."""

import abc
import asyncio
import dataclasses

from returns.result import Failure, Result

from linnetladder.coordination.cascades.health_watch import HealthWatch
from linnetladder.coordination.cascades.learner import QualityLearner
from linnetladder.coordination.configuration.in_force import ConfigurationInForce
from linnetladder.coordination.platform import PlatformFault
from linnetladder.state.estimates import Rating

__all__ = ["AnswerRater", "RatingFeed", "RatingPage", "RatingQuestion"]

POLL_SECONDS = 2.0
MAXIMUM_EXPECTATIONS = 20_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RatingRequest:
    """An answer to be rated while its caller waits."""

    request_id: str
    account: str
    request_kind: str
    target: str
    answer: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RatingPage:
    """Ratings that came in after a position of the feed, and the next position."""

    position: int
    ratings: tuple[Rating, ...]


class AnswerRater(abc.ABC):
    """Rate answers at once, and tell what became of answers later."""

    @abc.abstractmethod
    async def is_poor(
        self, rating_request: RatingRequest, *, seconds: float
    ) -> Result[bool, PlatformFault]:
        """Return whether an answer is likely to be rejected, within a time."""

    @abc.abstractmethod
    async def page(self, position: int) -> Result[RatingPage, PlatformFault]:
        """Return the ratings after a position of the feed."""


class RatingFeed:
    """Read the feed of ratings and teach what it says.

    Ratings are late and cover a sample. Those of answers that this daemon gave also
    correct what was expected of them.
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
        """Remember what was expected of an answer that this daemon gave."""
        self.expected[request_id] = quality
        if len(self.expected) > MAXIMUM_EXPECTATIONS:
            del self.expected[next(iter(self.expected))]

    async def run(self) -> None:
        """Follow the feed until cancelled."""
        while True:
            await self.read()
            await asyncio.sleep(POLL_SECONDS)

    async def read(self) -> None:
        """Read one page."""
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

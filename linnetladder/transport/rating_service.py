"""An HTTP client for the rating service."""

import asyncio

import aiohttp
import pydantic
from returns.result import Failure, Result, Success

from linnetladder.coordination.cascades.rating import (
    AnswerRater,
    RatingPage,
    RatingRequest,
)
from linnetladder.coordination.platform import FaultKind, PlatformFault
from linnetladder.state.estimates import Rating
from linnetladder.telemetry import Metrics
from linnetladder.transport.responses import StrictConnector, read_body

__all__ = ["HttpRatingService"]

JSON_HEADERS = {"Content-Type": "application/json"}
PAGE_TIMEOUT_SECONDS = 1.0
MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024


class VerdictBody(pydantic.BaseModel):
    """The response of ``/rate``."""

    poor: bool


class RatingBody(pydantic.BaseModel):
    """One rating of the rating feed."""

    account: str
    request_kind: str
    target: str
    accepted: bool
    time_seconds: float
    request_id: str = ""


class PageBody(pydantic.BaseModel):
    """A page of the rating feed, with the position of the next page."""

    position: int
    ratings: list[RatingBody]


class HttpRatingService(AnswerRater):
    """Call the rating service at one URL."""

    def __init__(self, *, url: str, metrics: Metrics):
        self.url = url.rstrip("/")
        self.metrics = metrics
        self.session = aiohttp.ClientSession(connector=StrictConnector())

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def is_poor(
        self, rating_request: RatingRequest, *, seconds: float
    ) -> Result[bool, PlatformFault]:
        """Return whether the service rates an answer as likely to be rejected."""
        params = {
            "request_id": rating_request.request_id,
            "account": rating_request.account,
            "kind": rating_request.request_kind,
            "target": rating_request.target,
        }
        received = await self._send(
            "POST", "/rate", seconds, params=params, data=rating_request.answer
        )
        if isinstance(received, Failure):
            return received
        try:
            return Success(VerdictBody.model_validate_json(received.unwrap()).poor)
        except pydantic.ValidationError as error:
            return Failure(PlatformFault(FaultKind.REJECTED, str(error)))

    async def page(self, position: int) -> Result[RatingPage, PlatformFault]:
        """Return the ratings after a position of the feed."""
        params = {"after": str(position)}
        received = await self._send(
            "GET", "/ratings", PAGE_TIMEOUT_SECONDS, params=params
        )
        if isinstance(received, Failure):
            return received
        try:
            body = PageBody.model_validate_json(received.unwrap())
        except pydantic.ValidationError as error:
            return Failure(PlatformFault(FaultKind.REJECTED, str(error)))
        ratings = tuple(Rating(**entry.model_dump()) for entry in body.ratings)
        return Success(RatingPage(body.position, ratings))

    async def _send(
        self, method: str, path: str, seconds: float, **options: object
    ) -> Result[bytes, PlatformFault]:
        self.metrics.count("platform_calls", label="ratings")
        try:
            async with asyncio.timeout(seconds):
                async with self.session.request(
                    method, self.url + path, headers=JSON_HEADERS, **options
                ) as response:
                    received = await read_body(
                        response, maximum_bytes=MAXIMUM_ANSWER_BYTES
                    )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Failure(PlatformFault(FaultKind.UNREACHABLE, repr(error)))
        if response.status != 200:
            detail = f"{self.url}{path} answered {response.status}"
            return Failure(PlatformFault(FaultKind.UNREACHABLE, detail))
        return Success(received)

"""An HTTP client for the platform's instance list."""

import asyncio

import aiohttp
import pydantic
from returns.result import Failure, Result, Success

from linnetladder.coordination.platform import FaultKind, InstanceList, PlatformFault
from linnetladder.protocol import InstanceListBody
from linnetladder.state import EndpointReport
from linnetladder.telemetry import Metrics
from linnetladder.transport.responses import StrictConnector, read_body

__all__ = ["HttpInstanceList"]

MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024


class HttpInstanceList(InstanceList):
    """Read the instance list from one URL."""

    def __init__(self, *, url: str, timeout_seconds: float, metrics: Metrics):
        self.url = url
        self.timeout_seconds = timeout_seconds
        self.metrics = metrics
        self.session = aiohttp.ClientSession(connector=StrictConnector())

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def endpoints(self) -> Result[tuple[EndpointReport, ...], PlatformFault]:
        """Read the list and return a report for every endpoint in it."""
        self.metrics.count("platform_calls", label="instances")
        try:
            async with asyncio.timeout(self.timeout_seconds):
                async with self.session.get(self.url) as response:
                    received = await read_body(
                        response, maximum_bytes=MAXIMUM_ANSWER_BYTES
                    )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Failure(PlatformFault(FaultKind.UNREACHABLE, repr(error)))
        self.metrics.count("platform_bytes", len(received), label="received")
        if response.status != 200:
            detail = f"{self.url} answered {response.status}"
            return Failure(PlatformFault(FaultKind.UNREACHABLE, detail))
        try:
            body = InstanceListBody.model_validate_json(received)
        except pydantic.ValidationError as error:
            return Failure(PlatformFault(FaultKind.REJECTED, str(error)))
        return Success(tuple(entry.report() for entry in body.instances))

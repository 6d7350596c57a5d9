"""Calls that stay silent: checked over a new connection, and broken off if lost.

Open connections can go silent for good while new ones work. A call that has not been
answered for a while is asked after on a new connection. It is left alone while the
endpoint says that it runs, and broken off when the endpoint has finished it, does not
know it, or gives no word several times. Nothing is started for a call that is
answered soon.
"""

import asyncio
import enum

from linnetladder.coordination.attempts.endpoint_client import (
    EndpointCall,
    EndpointClient,
    RequestStatus,
)
from linnetladder.coordination.background import Background
from linnetladder.state import Clock, Endpoint

__all__ = ["SilenceCheck", "Verdict"]

MAXIMUM_UNANSWERED_CHECKS = 3


class AbortReason(enum.Enum):
    """Why a call was broken off."""

    DEADLINE = "deadline"
    FINISHED = "finished"
    LOST = "lost"


class SilenceCheck:
    """Watch over one call; use `limit` around it and `stop` after it."""

    def __init__(
        self,
        *,
        client: EndpointClient,
        background: Background,
        clock: Clock,
        endpoint: Endpoint,
        call: EndpointCall,
        silence_seconds: float,
    ):
        self.client = client
        self.background = background
        self.clock = clock
        self.endpoint = endpoint
        self.call = call
        self.silence_seconds = silence_seconds
        self.loop = asyncio.get_running_loop()
        self.abort_reason = AbortReason.DEADLINE
        self.stopped = False
        self.timeout: asyncio.Timeout | None = None
        self.timer: asyncio.TimerHandle | None = None

    def timeout_context(self) -> asyncio.Timeout:
        """Return the context that ends with `TimeoutError` when the call is lost."""
        remaining = max(self.call.deadline - self.clock.monotonic(), 0.0)
        self.timeout = asyncio.timeout(remaining)
        if self.call.target is not None and self.silence_seconds < remaining:
            self.timer = self.loop.call_later(
                self.silence_seconds, self._start_checking
            )
        return self.timeout

    def stop(self) -> None:
        """End the watch."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()

    def _start_checking(self) -> None:
        if not self.stopped:
            self.background.start(self._check())

    async def _check(self) -> None:
        """Ask after the call until it ends or there is a reason to break it off."""
        unanswered_checks = 0
        while not self.stopped:
            request_id = self.call.request_id
            status = await self.client.status(self.endpoint, request_id)
            if self.stopped:
                return
            if status is RequestStatus.FINISHED:
                self._abort(AbortReason.FINISHED)
                return
            unanswered_checks = (
                0 if status is RequestStatus.RUNNING else unanswered_checks + 1
            )
            unknown = status is RequestStatus.UNKNOWN
            if unknown or unanswered_checks >= MAXIMUM_UNANSWERED_CHECKS:
                self._abort(AbortReason.LOST)
                return
            await asyncio.sleep(self.silence_seconds)

    def _abort(self, abort_reason: AbortReason) -> None:
        self.abort_reason = abort_reason
        self.timeout.reschedule(self.loop.time())

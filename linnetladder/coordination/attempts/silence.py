"""Checks of unanswered calls over a new connection.

An open connection can stop delivering data for good while new connections work. When a
call has had no answer for a while, its status is queried over a new connection. The
call continues while the endpoint reports it as running. It is aborted when the endpoint
has finished it, does not know it, or does not reply several times in a row. No check
is started for a call that is answered soon.
"""

import asyncio
import enum

from linnetladder.coordination.attempts.endpoint_client import (
    EndpointCall,
    EndpointClient,
    RequestStatus,
)
from linnetladder.coordination.background import BackgroundTasks
from linnetladder.state import Clock, Endpoint

__all__ = ["AbortReason", "SilenceCheck"]

# Status queries in a row without a reply after which a call is aborted.
MAXIMUM_UNANSWERED_CHECKS = 3


class AbortReason(enum.Enum):
    """Why a call was aborted."""

    DEADLINE = "deadline"
    FINISHED = "finished"
    LOST = "lost"


class SilenceCheck:
    """Check one call; run it within `timeout_context` and call `stop` after it."""

    def __init__(
        self,
        *,
        client: EndpointClient,
        background: BackgroundTasks,
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
        """Return a context that raises `TimeoutError` when the call is aborted."""
        remaining = max(self.call.deadline - self.clock.monotonic(), 0.0)
        self.timeout = asyncio.timeout(remaining)
        if self.call.target is not None and self.silence_seconds < remaining:
            self.timer = self.loop.call_later(
                self.silence_seconds, self._start_checking
            )
        return self.timeout

    def stop(self) -> None:
        """Stop the checks."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()

    def _start_checking(self) -> None:
        if not self.stopped:
            self.background.start(self._check())

    async def _check(self) -> None:
        """Query the call's status until it ends or has to be aborted."""
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

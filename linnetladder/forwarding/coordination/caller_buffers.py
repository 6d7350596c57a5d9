"""Bounds on the memory that is held for callers that read slowly.

A response that its caller does not read is held by this daemon: the bytes that the
caller's socket does not take, and those of the endpoint that are read ahead. Streams
stop reading from their endpoint while they wait for the caller, so each holds a limited
amount. Many of them together, and complete responses, do not. What is held beyond the
bounds is freed by ending responses, those first whose callers have taken nothing for
longest. A caller that reads slowly but steadily is not cut off.
"""

import abc
import dataclasses
import math

from linnetladder.forwarding.coordination.memory_account import MemoryAccount
from linnetladder.forwarding.daemon_variables import CallerSettings
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics, log_request

__all__ = ["CHECK_SECONDS", "CallerBuffer", "CallerBuffers"]

CHECK_SECONDS = 0.2
# A response is ended for the daemon's bound only if its caller has taken nothing for
# this long: on slow links callers take bytes at intervals.
STALLED_SECONDS = 1.0
# One caller alone does no harm beyond its bound, so it may stall for longer.
CALLER_STALLED_SECONDS = 3.0


class CallerBuffer(abc.ABC):
    """What is held for one caller."""

    attempt_id: str = ""

    @abc.abstractmethod
    def held_bytes(self) -> int:
        """Return the bytes of the response that the caller has not taken yet."""

    @abc.abstractmethod
    def taken_bytes(self) -> int:
        """Return the bytes that the caller has taken so far."""

    @abc.abstractmethod
    def end(self) -> None:
        """Abort the response, so that it does not look complete, and free its bytes."""


@dataclasses.dataclass(slots=True)
class Progress:
    """The bytes that a caller has taken, and since when it has taken no more."""

    taken: int
    since: float
    held: int = 0


class CallerBuffers:
    """Keeps what is held for all callers within the bounds of the settings."""

    def __init__(
        self,
        *,
        settings: CallerSettings,
        memory: MemoryAccount,
        clock: Clock,
        metrics: Metrics,
    ):
        self.settings = settings
        self.memory = memory
        self.clock = clock
        self.metrics = metrics
        self.progress: dict[CallerBuffer, Progress] = {}
        self.held = 0
        metrics.gauge(
            "caller_buffer_bytes", "Bytes held for callers", lambda: self.held
        )

    def add(self, buffer: CallerBuffer) -> None:
        """Count what is held for a caller from now on."""
        self.progress[buffer] = Progress(buffer.taken_bytes(), self.clock.monotonic())

    def remove(self, buffer: CallerBuffer) -> None:
        """Count a caller no longer."""
        self.progress.pop(buffer, None)

    def check(self) -> None:
        """Measure what is held, and end responses that exceed the bounds."""
        now = self.clock.monotonic()
        for buffer, progress in self.progress.items():
            progress.held = buffer.held_bytes()
            taken = buffer.taken_bytes()
            if taken > progress.taken or not progress.held:
                progress.since = now
            progress.taken = max(taken, progress.taken)
        self.held = sum(progress.held for progress in self.progress.values())
        self.memory.record_unread(self.held)
        by_stall = sorted(self.progress.items(), key=lambda item: item[1].since)
        for buffer, progress in by_stall:
            if now - progress.since < self._tolerated_seconds(progress):
                continue
            self._end(buffer, progress, stalled=now - progress.since)

    def _tolerated_seconds(self, progress: Progress) -> float:
        """Return for how long a caller may take nothing of what is held now."""
        bound = min(self.settings.daemon_buffer_bytes, self.memory.capacity // 2)
        if self.held > bound and progress.held:
            return STALLED_SECONDS
        if progress.held > self.settings.caller_buffer_bytes:
            return CALLER_STALLED_SECONDS
        return math.inf

    def _end(self, buffer: CallerBuffer, progress: Progress, *, stalled: float) -> None:
        self.remove(buffer)
        self.metrics.count("slow_callers_ended")
        log_request(
            "slow caller ended",
            request=buffer.attempt_id,
            held=progress.held,
            held_for_all=self.held,
            stalled=round(stalled, 3),
        )
        self.held -= progress.held
        self.memory.record_unread(self.held)
        buffer.end()

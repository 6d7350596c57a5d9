"""Pauses that endpoints ask this daemon for when they turn a request away.

An endpoint that is asked for a pause gets nothing from this daemon until the pause has
ended. After it, requests return by slow start: one that has no answer yet, then twice
as many after each answer, so that callers who were turned away don't all come back at
the same moment.
"""

import dataclasses

import xxhash

from linnetladder.forwarding.protocol import ResponseHead
from linnetladder.state import Clock, Endpoint, EndpointTable
from linnetladder.telemetry import Metrics, log_change

__all__ = ["EndpointPauses", "Pause"]

# A longer pause is cut to this, so that a wrong value does not exclude an endpoint for
# as long as the daemon runs.
MAXIMUM_PAUSE_SECONDS = 3_600.0
# Each daemon returns up to this share of a pause later than asked, at most so many
# seconds, since all daemons may have been asked for the same pause.
SPREAD_SHARE = 0.1
MAXIMUM_SPREAD_SECONDS = 0.5
# With this many requests allowed at once the slow start is over.
SLOW_START_END = 16
# Pauses of endpoints that the registry does not list are forgotten after this time.
UNLISTED_TTL_SECONDS = 30.0
# Repeated pauses of an endpoint are logged at most this often.
LOG_INTERVAL_SECONDS = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Pause:
    """A pause of one incarnation, and the slow start after it.

    ``until`` is in seconds of the daemon's clock. ``allowed`` is how many requests may
    be unanswered at once after it and ``unanswered`` how many are.
    """

    incarnation: str
    until: float
    allowed: int = 1
    unanswered: int = 0
    logged_at: float = 0.0


class EndpointPauses:
    """Keeps the pauses that endpoints asked this daemon for."""

    def __init__(
        self, *, instance: str, table: EndpointTable, clock: Clock, metrics: Metrics
    ):
        self.instance = instance
        self.table = table
        self.clock = clock
        self.metrics = metrics
        self.pauses: dict[str, Pause] = {}

    def seconds_left(self, endpoint: Endpoint) -> float:
        """Return the seconds until the pause of an endpoint ends, 0 without one."""
        pause = self._pause(endpoint)
        return max(pause.until - self.clock.monotonic(), 0.0) if pause else 0.0

    def may_send(self, endpoint: Endpoint) -> bool:
        """Return whether another request may be sent to an endpoint now."""
        pause = self._pause(endpoint)
        if pause is None:
            return True
        if self.clock.monotonic() < pause.until:
            return False
        return pause.unanswered < pause.allowed

    def begin(self, endpoint: Endpoint) -> Pause | None:
        """Count a request that is sent; `end` takes the result."""
        pause = self._pause(endpoint)
        if pause is not None:
            pause.unanswered += 1
        return pause

    def end(
        self, pause: Pause | None, endpoint: Endpoint, head: ResponseHead | None
    ) -> None:
        """Record the answer to a request, ``None`` if it got none."""
        if pause is not None:
            pause.unanswered -= 1
        if head is None or head.misdirected:
            return
        if head.pause_seconds is not None:
            self._record(endpoint, head.pause_seconds)
            return
        if head.names_pause:
            self.metrics.count("endpoint_pauses", label="unreadable")
        if pause is None or self.pauses.get(endpoint.name) is not pause:
            return
        if self.clock.monotonic() >= pause.until:
            pause.allowed *= 2
            if pause.allowed >= SLOW_START_END:
                del self.pauses[endpoint.name]

    def _pause(self, endpoint: Endpoint) -> Pause | None:
        pause = self.pauses.get(endpoint.name)
        if pause is None or pause.incarnation != endpoint.incarnation:
            return None
        return pause

    def _record(self, endpoint: Endpoint, seconds: float) -> None:
        now = self.clock.monotonic()
        seconds = min(seconds, MAXIMUM_PAUSE_SECONDS)
        spread = min(seconds * SPREAD_SHARE, MAXIMUM_SPREAD_SECONDS)
        until = now + seconds + spread * self._spread(endpoint)
        self.metrics.count("endpoint_pauses", label="asked")
        pause = self._pause(endpoint)
        if pause is None:
            self._forget_unlisted(now)
            pause = Pause(incarnation=endpoint.incarnation, until=until)
            self.pauses[endpoint.name] = pause
        pause.until = max(pause.until, until)
        pause.allowed = 1
        if now - pause.logged_at >= LOG_INTERVAL_SECONDS:
            pause.logged_at = now
            log_change(
                "endpoint asks for a pause",
                endpoint=endpoint.name,
                seconds=round(seconds, 3),
                in_flight=endpoint.in_flight,
            )

    def _spread(self, endpoint: Endpoint) -> float:
        """Return this daemon's place among those that return to an endpoint, 0 to 1."""
        key = f"{self.instance}\0{endpoint.name}".encode()
        return xxhash.xxh32_intdigest(key) / 2**32

    def _forget_unlisted(self, now: float) -> None:
        for name, pause in list(self.pauses.items()):
            unlisted = name not in self.table.endpoints
            if unlisted and now - pause.until >= UNLISTED_TTL_SECONDS:
                del self.pauses[name]

"""Which requests a daemon still passes on during its planned stop."""

import math

from linnetladder.errors import ErrorKind, Ran, Refusal
from linnetladder.forwarding.state import ForwardRequest
from linnetladder.state import Clock

__all__ = ["PlannedStop", "shutdown_refusal"]

# The longest duration of a route loses this share with each further request.
DURATION_DECAY = 0.01
# A caller may retry almost immediately, since another instance takes the request.
RETRY_AFTER_SECONDS = 0.02


class PlannedStop:
    """The end of the daemon, once it takes no more requests.

    ``ends_at`` is the time, in seconds of the daemon's monotonic clock, at which
    requests in progress are ended; it is infinite before that is near. ``longest``
    holds the longest duration of late, in seconds, of the requests of each route.
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.ends_at = math.inf
        self.longest: dict[str, float] = {}

    def learn_duration(self, route: str, seconds: float) -> None:
        """Record how long a request that was served took."""
        previous = self.longest.get(route, 0.0) * (1 - DURATION_DECAY)
        self.longest[route] = max(seconds, previous)

    def allows(self, request: ForwardRequest) -> bool:
        """Return whether a request may be sent to an endpoint.

        Its deadline has to come before the daemon's end, or the time left has to be as
        long as the longest request of its route took lately. A stream that has begun
        can only gain by being resumed.
        """
        if request.events > 0 or request.deadline <= self.ends_at:
            return True
        longest = self.longest.get(request.route.name, math.inf)
        remaining = self.ends_at - self.clock.monotonic()
        return longest <= remaining

    def refuse(self, request: ForwardRequest) -> Refusal | None:
        """Return the refusal of a request that may not be sent any more.

        It is also that of one that is in progress when the daemon ends.
        """
        if self.allows(request):
            return None
        if not request.ran:
            return shutdown_refusal()
        detail = "the daemon is shutting down, and the request may have run"
        return Refusal(ErrorKind.ENDPOINT_FAILED, detail, Ran.UNKNOWN)


def shutdown_refusal() -> Refusal:
    """Return the refusal of a request that another daemon should take."""
    return Refusal(
        ErrorKind.DRAINING,
        "the daemon is shutting down; another one takes the request",
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )

"""The time limit of new connections, adapted to how long they have taken lately."""

import math

__all__ = ["ConnectTimeout"]

# Connecting within a region takes a few milliseconds. A lost SYN is only retransmitted
# after a second, which is too late for most requests.
MINIMUM_SECONDS = 0.2
MAXIMUM_SECONDS = 1.0
# Weights and factor of RFC 6298, section 2.
SMOOTHING_WEIGHT = 1 / 8
VARIATION_WEIGHT = 1 / 4
VARIATION_FACTOR = 4.0
BACKOFF_FACTOR = 2.0
# Without a further time-out the limit falls back to the estimate after this time.
BACKOFF_SECONDS = 2.0


class ConnectTimeout:
    """Estimates the time limit of new connections as RFC 6298 does for segments.

    On a congested link of the instance connections to all endpoints are slow. A fixed
    limit would turn every one of them into a failure of an endpoint. A success shows
    that the link is usable and ends the increase after time-outs, so an unreachable
    failure domain raises the limit little while others accept connections. Times are in
    seconds of any one clock.

    Examples
    --------
    >>> timeout = ConnectTimeout()
    >>> timeout.seconds(now=10.0)
    0.2
    >>> timeout.timed_out(started=10.0, now=10.2)
    >>> timeout.seconds(now=10.2)
    0.4
    """

    def __init__(self):
        self.smoothed: float | None = None
        self.variation = 0.0
        self.backoff = 1.0
        self.backed_off_at = -math.inf

    def seconds(self, *, now: float) -> float:
        """Return the time limit of a connection that is opened now."""
        backoff = self.backoff if now - self.backed_off_at < BACKOFF_SECONDS else 1.0
        estimate = 0.0
        if self.smoothed is not None:
            estimate = self.smoothed + VARIATION_FACTOR * self.variation
        return min(max(estimate, MINIMUM_SECONDS) * backoff, MAXIMUM_SECONDS)

    def succeeded(self, seconds: float) -> None:
        """Record how long a connection took to be established."""
        self.backoff = 1.0
        if self.smoothed is None:
            self.smoothed, self.variation = seconds, seconds / 2
            return
        deviation = abs(self.smoothed - seconds)
        self.variation += (deviation - self.variation) * VARIATION_WEIGHT
        self.smoothed += (seconds - self.smoothed) * SMOOTHING_WEIGHT

    def timed_out(self, *, started: float, now: float) -> None:
        """Record a connection that was not established in time.

        Connections opened before the last increase say nothing about the current limit.
        """
        if started < self.backed_off_at:
            return
        if now - self.backed_off_at >= BACKOFF_SECONDS:
            self.backoff = 1.0
        self.backed_off_at = now
        if self.seconds(now=now) < MAXIMUM_SECONDS:
            self.backoff *= BACKOFF_FACTOR

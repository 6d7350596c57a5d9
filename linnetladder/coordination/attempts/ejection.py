"""Outlier ejection of failing endpoints.

An endpoint is ejected after consecutive failures, for longer each time. A cap on the
share of ejected endpoints keeps a faulty signal from emptying a pool.
"""

from linnetladder.state import Clock, Endpoint, Pool

__all__ = ["Ejector"]

FAILURES_BEFORE_EJECTION = 3
# The ejection time doubles from the first value up to the maximum.
FIRST_EJECTION_SECONDS = 1.0
MAXIMUM_EJECTION_SECONDS = 30.0
MAXIMUM_EJECTED_SHARE = 0.34


class Ejector:
    """Count endpoints' consecutive failures and eject endpoints that keep failing."""

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.ejections = 0

    def succeeded(self, endpoint: Endpoint) -> None:
        """Reset an endpoint's failures and ejections after a complete answer."""
        endpoint.consecutive_failures = 0
        endpoint.ejections = 0

    def failed(self, endpoint: Endpoint, pool: Pool | None, *, dead: bool) -> bool:
        """Count a failure and return whether the endpoint was ejected for it.

        ``dead`` is set when the endpoint can't be connected to or has crashed, which
        ejects it at once.
        """
        endpoint.consecutive_failures += 1
        should_eject = dead or endpoint.consecutive_failures >= FAILURES_BEFORE_EJECTION
        if not should_eject or not self._within_cap(endpoint, pool, dead=dead):
            return False
        seconds = FIRST_EJECTION_SECONDS * 2**endpoint.ejections
        seconds = min(seconds, MAXIMUM_EJECTION_SECONDS)
        endpoint.ejected_until = self.clock.monotonic() + seconds
        endpoint.ejections += 1
        endpoint.consecutive_failures = 0
        self.ejections += 1
        return True

    def _within_cap(self, endpoint: Endpoint, pool: Pool | None, *, dead: bool) -> bool:
        """Return whether the cap allows another ejection from the pool.

        The cap does not apply to a dead endpoint, which can't serve in any case.
        """
        if dead or pool is None:
            return dead
        now = self.clock.monotonic()
        ejected = sum(1 for e in pool.endpoints if e.ejected_until > now)
        return ejected + 1 <= max(len(pool.endpoints) * MAXIMUM_EJECTED_SHARE, 1)

"""Ejection of unreachable endpoints until a probe connects to them again.

Without probes, a request would be sent to the endpoint every few seconds to find out
whether it is back, and each one that fails would be late.
"""

import asyncio
import math

from linnetladder.coordination.background import BackgroundTasks
from linnetladder.forwarding.coordination.calls import EndpointCalls
from linnetladder.state import Clock, Endpoint
from linnetladder.telemetry import Metrics, log_change

__all__ = ["Quarantine"]

INITIAL_PROBE_INTERVAL_SECONDS = 0.3
MAXIMUM_PROBE_INTERVAL_SECONDS = 1.0
PROBE_BACKOFF_FACTOR = 1.5


class Quarantine:
    """Ejects unreachable endpoints and probes them until they accept connections."""

    def __init__(
        self,
        *,
        calls: EndpointCalls,
        background: BackgroundTasks,
        clock: Clock,
        metrics: Metrics,
    ):
        self.calls = calls
        self.background = background
        self.clock = clock
        self.metrics = metrics
        self.quarantined: set[tuple[str, str]] = set()

    def eject(self, endpoint: Endpoint) -> None:
        """Eject an endpoint until it accepts a connection."""
        key = (endpoint.name, endpoint.incarnation)
        if key in self.quarantined:
            return
        self.quarantined.add(key)
        endpoint.ejected_until = math.inf
        self.metrics.count("ejections")
        log_change("endpoint left out", endpoint=endpoint.name, reason="unreachable")
        self.background.start(self._probe_until_reachable(endpoint, key))

    async def _probe_until_reachable(
        self, endpoint: Endpoint, key: tuple[str, str]
    ) -> None:
        probe_interval_seconds = INITIAL_PROBE_INTERVAL_SECONDS
        try:
            while endpoint.listed and not endpoint.leaving:
                await asyncio.sleep(probe_interval_seconds)
                if await self.calls.is_reachable(endpoint.address):
                    log_change("endpoint is back", endpoint=endpoint.name)
                    return
                probe_interval_seconds = min(
                    probe_interval_seconds * PROBE_BACKOFF_FACTOR,
                    MAXIMUM_PROBE_INTERVAL_SECONDS,
                )
        finally:
            endpoint.ejected_until = self.clock.monotonic()
            self.quarantined.discard(key)

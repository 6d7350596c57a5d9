"""Ejection of unreachable endpoints until a probe connects to them again.

Without probes, a request would be sent to the endpoint every few seconds to find out
whether it is back, and each one that fails would be late.

If several endpoints are unreachable, this daemon may be cut off from all of them. Then
the others are probed at once, since each would cost a request the time of a connection.
"""

import asyncio
import math
import random
from collections.abc import Callable

from linnetladder.coordination.background import BackgroundTasks
from linnetladder.forwarding.coordination.calls import EndpointCalls, ProbeOutcome
from linnetladder.state import Clock, Endpoint, EndpointTable
from linnetladder.telemetry import Metrics, log_change

__all__ = ["Quarantine"]

INITIAL_PROBE_INTERVAL_SECONDS = 0.3
MAXIMUM_PROBE_INTERVAL_SECONDS = 1.0
PROBE_BACKOFF_FACTOR = 1.5
# With this many unreachable endpoints others are checked, a few of them first.
UNREACHABLE_BEFORE_CHECK = 2
SAMPLE_SIZE = 3
CHECK_INTERVAL_SECONDS = 2.0


class Quarantine:
    """Ejects unreachable endpoints and probes them until they accept connections."""

    def __init__(
        self,
        *,
        table: EndpointTable,
        calls: EndpointCalls,
        background: BackgroundTasks,
        clock: Clock,
        metrics: Metrics,
    ):
        self.table = table
        self.checking_others = False
        self.others_checked_at = -math.inf
        self.calls = calls
        self.background = background
        self.clock = clock
        self.metrics = metrics
        self.quarantined: set[tuple[str, str]] = set()
        self.on_return: Callable[[Endpoint], None] = _ignore

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
        self._check_others_soon()

    def _check_others_soon(self) -> None:
        """Check the other endpoints if several are unreachable, once in a while."""
        now = self.clock.monotonic()
        if self.checking_others or len(self.quarantined) < UNREACHABLE_BEFORE_CHECK:
            return
        if now - self.others_checked_at >= CHECK_INTERVAL_SECONDS:
            self.checking_others = True
            self.background.start(self._check_others())

    async def _check_others(self) -> None:
        """Probe some other endpoints, and all of them if none of those is reachable."""
        try:
            others = [
                endpoint
                for endpoint in self.table.endpoints.values()
                if endpoint.listed
                and (endpoint.name, endpoint.incarnation) not in self.quarantined
            ]
            random.shuffle(others)
            sample, rest = others[:SAMPLE_SIZE], others[SAMPLE_SIZE:]
            if await self._eject_unreachable(sample) == len(sample):
                await self._eject_unreachable(rest)
        finally:
            self.checking_others = False
            self.others_checked_at = self.clock.monotonic()

    async def _eject_unreachable(self, endpoints: list[Endpoint]) -> int:
        """Probe endpoints, eject the unreachable ones and return their number."""
        outcomes = await asyncio.gather(
            *(self.calls.probe(endpoint.address) for endpoint in endpoints)
        )
        unreachable = [
            endpoint
            for endpoint, outcome in zip(endpoints, outcomes, strict=True)
            if outcome is not ProbeOutcome.ACCEPTED
        ]
        for endpoint in unreachable:
            self.calls.close_idle_connections(endpoint.address)
            self.eject(endpoint)
        return len(unreachable)

    async def _probe_until_reachable(
        self, endpoint: Endpoint, key: tuple[str, str]
    ) -> None:
        probe_interval_seconds = INITIAL_PROBE_INTERVAL_SECONDS
        try:
            while endpoint.listed and not endpoint.leaving:
                await asyncio.sleep(probe_interval_seconds)
                if await self.calls.is_reachable(endpoint.address):
                    log_change("endpoint is back", endpoint=endpoint.name)
                    self.on_return(endpoint)
                    return
                probe_interval_seconds = min(
                    probe_interval_seconds * PROBE_BACKOFF_FACTOR,
                    MAXIMUM_PROBE_INTERVAL_SECONDS,
                )
        finally:
            endpoint.ejected_until = self.clock.monotonic()
            self.quarantined.discard(key)


def _ignore(endpoint: Endpoint) -> None:
    """Do nothing; the default action when an endpoint is back."""

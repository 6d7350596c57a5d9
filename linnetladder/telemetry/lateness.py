"""Detection of an event loop that runs late."""

import asyncio

from linnetladder.telemetry.logs import log_change
from linnetladder.telemetry.metrics import Metrics

__all__ = ["watch_lateness"]

CHECK_INTERVAL_SECONDS = 0.25
LATE_SECONDS = 0.1
LOG_INTERVAL_SECONDS = 1.0


async def watch_lateness(metrics: Metrics) -> None:
    """Count and log wake-ups that come late, until cancelled.

    A late loop makes every timer of the process expire before the bytes that have
    already arrived are read, so peers and endpoints look silent although they are not.
    """
    loop = asyncio.get_running_loop()
    logged_at = loop.time() - LOG_INTERVAL_SECONDS
    while True:
        due = loop.time() + CHECK_INTERVAL_SECONDS
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        late = loop.time() - due
        if late < LATE_SECONDS:
            continue
        metrics.count("late_wakeups")
        if loop.time() - logged_at >= LOG_INTERVAL_SECONDS:
            logged_at = loop.time()
            log_change("event loop late", seconds=round(late, 3))

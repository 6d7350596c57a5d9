"""Lateness of the event loop, which makes healthy peers and endpoints look silent."""

import asyncio
import time

from linnetladder.telemetry import Metrics, watch_lateness


async def watch_while(block_seconds: float) -> int:
    metrics = Metrics()
    watch = asyncio.create_task(watch_lateness(metrics))
    await asyncio.sleep(0.2)
    time.sleep(block_seconds)
    await asyncio.sleep(0.1)
    watch.cancel()
    return metrics.value("late_wakeups")


def test_a_blocked_event_loop_is_counted_as_late():
    assert asyncio.run(watch_while(0.4)) == 1

"""Work that nobody waits for: kept alive, bounded, and awaited at shutdown."""

import asyncio
from collections.abc import Coroutine

from linnetladder.telemetry import log_failure

__all__ = ["Background"]

MAXIMUM_TASKS = 10_000


class BackgroundTasks:
    """Hold tasks until they end."""

    def __init__(self):
        self.tasks: set[asyncio.Task] = set()

    def start(self, work: Coroutine) -> None:
        """Run some work, or drop it when far too much is under way already."""
        if len(self.tasks) >= MAXIMUM_TASKS:
            work.close()
            return
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._finish)

    async def drain(self, *, seconds: float) -> None:
        """Wait for the tasks under way, then cancel what is left."""
        if self.tasks:
            await asyncio.wait(tuple(self.tasks), timeout=seconds)
        for task in tuple(self.tasks):
            task.cancel()

    def _finish(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_failure("background work failed", task.exception())

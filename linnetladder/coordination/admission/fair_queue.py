"""A bounded queue that shares its turns fairly between client accounts.

Each account's waiters carry virtual finish times: an account that queues many
requests only pushes its own later ones back. Priority divides the virtual length of
a request, so urgent work goes earlier without shutting anybody out.
"""

import asyncio
import dataclasses
import heapq
import itertools

__all__ = ["FairQueue", "Waiter"]


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for an endpoint; ``deadline`` is monotonic seconds."""

    account: str
    weight: float
    priority: int
    deadline: float
    tried: frozenset[str]
    prefix: bytes
    granted: asyncio.Future
    finish: float = 0.0


class FairQueue:
    """Waiters for one target in order of their virtual finish times."""

    def __init__(self, *, maximum_length: int):
        self.maximum_length = maximum_length
        self.heap: list[tuple[float, int, Waiter]] = []
        self.sequence = itertools.count()
        self.virtual_time = 0.0
        self.last_finish: dict[str, float] = {}
        self.waiting = 0

    def is_full(self) -> bool:
        """Tell whether another waiter would exceed the bound."""
        return self.waiting >= self.maximum_length

    def start_tag(self, account: str) -> float:
        """Return the virtual time from which an account's next waiter counts."""
        return max(self.virtual_time, self.last_finish.get(account, 0.0))

    def finish_tag(self, *, account: str, weight: float, priority: int) -> float:
        """Return the virtual time at which a new waiter would be served."""
        length = 1.0 / (weight * (1 + priority))
        return self.start_tag(account) + length

    def count_ahead(self, finish: float) -> int:
        """Return how many waiters are served before a virtual finish time."""
        return sum(
            1 for tag, _, w in self.heap if tag <= finish and not w.granted.done()
        )

    def push(self, waiter: Waiter) -> None:
        """Add a waiter at the end of its account's turns."""
        waiter.finish = self.finish_tag(
            account=waiter.account, weight=waiter.weight, priority=waiter.priority
        )
        self.last_finish[waiter.account] = waiter.finish
        heapq.heappush(self.heap, (waiter.finish, next(self.sequence), waiter))
        self.waiting += 1

    def peek(self, count: int) -> list[Waiter]:
        """Return the next few waiters, dropping those at the front that gave up."""
        while self.heap and self.heap[0][2].granted.done():
            heapq.heappop(self.heap)
        entries = heapq.nsmallest(count, self.heap)
        return [waiter for _, _, waiter in entries if not waiter.granted.done()]

    def mark_served(self, waiter: Waiter) -> None:
        """Count out a waiter that got its turn."""
        self.virtual_time = max(self.virtual_time, waiter.finish)
        self._count_out()

    def abandon(self, waiter: Waiter) -> None:
        """Count out a waiter that gave up."""
        waiter.granted.cancel()
        self._count_out()

    def _count_out(self) -> None:
        self.waiting -= 1
        if self.waiting == 0:
            self.heap.clear()
            self.last_finish.clear()
            self.virtual_time = 0.0

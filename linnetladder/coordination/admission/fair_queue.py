"""A bounded queue with weighted fair queueing between client accounts.

Waiters are served in the order of their virtual finish times. An account that queues
many requests delays only its own later ones. The virtual length of a request is
divided by its account's weight and by its priority plus one, so urgent requests are
served earlier without starving the others.
"""

import asyncio
import dataclasses
import heapq
import itertools

__all__ = ["FairQueue", "Waiter"]


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a slot; ``deadline`` is monotonic seconds.

    ``granted`` resolves to the endpoint whose slot the request gets. ``finish`` is the
    virtual finish time.
    """

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
        """Return whether the queue holds its maximum number of waiters."""
        return self.waiting >= self.maximum_length

    def start_tag(self, account: str) -> float:
        """Return the virtual start time of an account's next waiter."""
        return max(self.virtual_time, self.last_finish.get(account, 0.0))

    def finish_tag(self, *, account: str, weight: float, priority: int) -> float:
        """Return the virtual finish time of a new waiter."""
        length = 1.0 / (weight * (1 + priority))
        return self.start_tag(account) + length

    def count_ahead(self, finish: float) -> int:
        """Return the number of waiters up to a virtual finish time."""
        return sum(
            1 for tag, _, w in self.heap if tag <= finish and not w.granted.done()
        )

    def push(self, waiter: Waiter) -> None:
        """Add a waiter behind the other waiters of its account."""
        waiter.finish = self.finish_tag(
            account=waiter.account, weight=waiter.weight, priority=waiter.priority
        )
        self.last_finish[waiter.account] = waiter.finish
        heapq.heappush(self.heap, (waiter.finish, next(self.sequence), waiter))
        self.waiting += 1

    def peek(self, count: int) -> list[Waiter]:
        """Return up to ``count`` waiters in order, and drop finished ones in front."""
        while self.heap and self.heap[0][2].granted.done():
            heapq.heappop(self.heap)
        entries = heapq.nsmallest(count, self.heap)
        return [waiter for _, _, waiter in entries if not waiter.granted.done()]

    def mark_served(self, waiter: Waiter) -> None:
        """Advance the virtual time past a waiter that was granted a slot."""
        self.virtual_time = max(self.virtual_time, waiter.finish)
        self._decrement_waiting()

    def abandon(self, waiter: Waiter) -> None:
        """Cancel a waiter that no longer waits."""
        waiter.granted.cancel()
        self._decrement_waiting()

    def _decrement_waiting(self) -> None:
        """Decrement the number of waiters, and reset a queue that becomes empty."""
        self.waiting -= 1
        if self.waiting == 0:
            self.heap.clear()
            self.last_finish.clear()
            self.virtual_time = 0.0

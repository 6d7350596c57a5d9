"""Places at endpoints: who gets one, who waits for one, who is refused at once.

A request takes a place straight away when nobody waits and an endpoint has room.
Otherwise it waits in the fair queue of its target, unless the queue is full or the
expected wait passes the deadline; then it is refused at once with the time after
which it is worth coming back.
"""

import asyncio
import dataclasses

from returns.result import Failure, Result, Success

from linnetladder.coordination.admission.fair_queue import FairQueue, Waiter
from linnetladder.coordination.routing.endpoint_choice import (
    ChoiceInputs,
    EndpointChoice,
)
from linnetladder.errors import ErrorKind, Refusal
from linnetladder.state import Clock, Endpoint, EndpointTable, Target

__all__ = ["Admission", "PlaceRequest"]

FIRST_SERVICE_SECONDS = 0.5
SERVICE_TIME_WEIGHT = 0.1
MINIMUM_RETRY_AFTER_SECONDS = 0.5
SCANNED_WAITERS = 4


@dataclasses.dataclass(slots=True, kw_only=True)
class PlaceRequest:
    """A wish for a place; ``deadline`` is monotonic seconds."""

    target: Target
    account: str
    weight: float
    priority: int
    deadline: float
    prefix: bytes
    tried: frozenset[str] = frozenset()


class Admission:
    """Hand out places at endpoints and keep the queues of those who wait."""

    def __init__(
        self,
        *,
        table: EndpointTable,
        choice: EndpointChoice,
        clock: Clock,
        own_domain: str,
        maximum_queue: int,
    ):
        self.table = table
        self.choice = choice
        self.clock = clock
        self.own_domain = own_domain
        self.maximum_queue = maximum_queue
        self.queues: dict[Target, FairQueue] = {}
        self.service_seconds: dict[Target, float] = {}

    async def acquire(self, wish: PlaceRequest) -> Result[Endpoint, Refusal]:
        """Return an endpoint with a place taken at it, or a refusal."""
        queue = self.queues.get(wish.target)
        if queue is None or queue.waiting == 0:
            endpoint = self._choose(wish.target, wish.prefix, wish.tried)
            if endpoint is not None:
                endpoint.in_flight += 1
                return Success(endpoint)
        refusal = self._refuse_hopeless(wish)
        if refusal is not None:
            return Failure(refusal)
        return await self._wait(wish)

    def release(self, target: Target, endpoint: Endpoint, *, seconds: float) -> None:
        """Give a place back after it was held for some seconds."""
        endpoint.in_flight -= 1
        known = self.service_seconds.get(target, FIRST_SERVICE_SECONDS)
        change = (seconds - known) * SERVICE_TIME_WEIGHT
        self.service_seconds[target] = known + change
        self.dispatch()

    def dispatch(self) -> None:
        """Give free places to waiters, in the order of each queue."""
        for target in list(self.queues):
            queue = self.queues[target]
            self._serve(target, queue)
            if queue.waiting == 0:
                del self.queues[target]

    def queued(self) -> int:
        """Return how many requests wait for a place."""
        return sum(queue.waiting for queue in self.queues.values())

    def expected_wait(self, wish: PlaceRequest) -> float:
        """Return the seconds a new waiter is expected to wait for a place."""
        pool = self.table.pool(wish.target)
        places = pool.capacity() if pool else 0
        if places == 0:
            return float("inf")
        service = self.service_seconds.get(wish.target, FIRST_SERVICE_SECONDS)
        queue = self.queues.get(wish.target)
        ahead = 0
        if queue is not None:
            finish = queue.finish_tag(
                account=wish.account, weight=wish.weight, priority=wish.priority
            )
            ahead = queue.count_ahead(finish)
        return (ahead + 1) * service / places

    def _choose(
        self, target: Target, prefix: bytes, tried: frozenset[str]
    ) -> Endpoint | None:
        pool = self.table.pool(target)
        if pool is None:
            return None
        inputs = ChoiceInputs(
            own_domain=self.own_domain,
            prefix=prefix,
            tried=tried,
            now=self.clock.monotonic(),
        )
        return self.choice.choose(pool, inputs)

    def _refuse_hopeless(self, wish: PlaceRequest) -> Refusal | None:
        now = self.clock.monotonic()
        if not self._has_untried(wish, now):
            detail = f"no untried endpoint accepts work for {str(wish.target)!r}"
            return Refusal(
                ErrorKind.NO_ENDPOINT,
                detail,
                retry_after_seconds=MINIMUM_RETRY_AFTER_SECONDS,
            )
        expected = self.expected_wait(wish)
        retry_after = max(expected, MINIMUM_RETRY_AFTER_SECONDS)
        queue = self.queues.get(wish.target)
        if queue is not None and queue.is_full():
            detail = f"{queue.waiting} requests wait for {str(wish.target)!r}"
            return Refusal(
                ErrorKind.OVERLOADED, detail, retry_after_seconds=retry_after
            )
        if now + expected > wish.deadline:
            detail = (
                f"the expected wait of {expected:.1f} s for {str(wish.target)!r} "
                f"passes the deadline in {wish.deadline - now:.1f} s"
            )
            return Refusal(
                ErrorKind.DEADLINE_UNREACHABLE, detail, retry_after_seconds=retry_after
            )
        return None

    def _has_untried(self, wish: PlaceRequest, now: float) -> bool:
        pool = self.table.pool(wish.target)
        if pool is None:
            return False
        return any(
            e.accepts_work(now) and e.name not in wish.tried for e in pool.endpoints
        )

    async def _wait(self, wish: PlaceRequest) -> Result[Endpoint, Refusal]:
        queue = self.queues.get(wish.target)
        if queue is None:
            queue = FairQueue(maximum_length=self.maximum_queue)
            self.queues[wish.target] = queue
        turn = asyncio.get_running_loop().create_future()
        waiter = Waiter(
            account=wish.account,
            weight=wish.weight,
            priority=wish.priority,
            deadline=wish.deadline,
            tried=wish.tried,
            prefix=wish.prefix,
            turn=turn,
        )
        queue.push(waiter)
        self._serve(wish.target, queue)
        remaining = max(wish.deadline - self.clock.monotonic(), 0.0)
        try:
            await asyncio.wait((turn,), timeout=remaining)
        except asyncio.CancelledError:
            self._give_up(queue, waiter)
            raise
        if turn.done():
            return Success(turn.result())
        self._give_up(queue, waiter)
        detail = f"no place for {str(wish.target)!r} became free before the deadline"
        retry_after = max(self.expected_wait(wish), MINIMUM_RETRY_AFTER_SECONDS)
        return Failure(
            Refusal(
                ErrorKind.DEADLINE_EXCEEDED, detail, retry_after_seconds=retry_after
            )
        )

    def _give_up(self, queue: FairQueue, waiter: Waiter) -> None:
        """Leave the queue, or return a place handed over at the same moment."""
        if waiter.turn.done():
            waiter.turn.result().in_flight -= 1
            self.dispatch()
            return
        queue.abandon(waiter)

    def _serve(self, target: Target, queue: FairQueue) -> None:
        while self._serve_next(target, queue):
            pass

    def _serve_next(self, target: Target, queue: FairQueue) -> bool:
        """Serve one of the first waiters; later ones only pass waiters that retry."""
        for waiter in queue.first(SCANNED_WAITERS):
            endpoint = self._choose(target, waiter.prefix, waiter.tried)
            if endpoint is not None:
                endpoint.in_flight += 1
                waiter.turn.set_result(endpoint)
                queue.served(waiter)
                return True
            if not waiter.tried:
                return False
        return False

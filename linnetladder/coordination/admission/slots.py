"""Slots at endpoints: granted at once, after a wait in a queue, or refused.

A request takes a slot immediately when no other request waits and an endpoint has a
free slot. Otherwise it waits in the fair queue of its target. It is refused at once,
with the time after which to retry, when the queue is full or the expected wait exceeds
the deadline.
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

__all__ = ["Admission", "SlotRequest"]

# Assumed time that a request holds a slot, until one was measured for the target.
INITIAL_SERVICE_SECONDS = 0.5
# Weight of a new measurement in the moving average of the service time.
SERVICE_TIME_WEIGHT = 0.1
MINIMUM_RETRY_AFTER_SECONDS = 0.5
# Waiters at the front of a queue that are considered for a free slot.
SCANNED_WAITERS = 4


@dataclasses.dataclass(slots=True, kw_only=True)
class SlotRequest:
    """A request for a slot; ``deadline`` is monotonic seconds.

    ``tried`` names endpoints that must not be used again, ``prefix`` the part of the
    prompt for endpoint affinity.
    """

    target: Target
    account: str
    weight: float
    priority: int
    deadline: float
    prefix: bytes
    tried: frozenset[str] = frozenset()


class Admission:
    """Grant slots at endpoints and keep a queue of waiting requests per target."""

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

    async def acquire(self, slot_request: SlotRequest) -> Result[Endpoint, Refusal]:
        """Take a slot and return its endpoint, or a refusal."""
        queue = self.queues.get(slot_request.target)
        if queue is None or queue.waiting == 0:
            endpoint = self._choose(
                slot_request.target, slot_request.prefix, slot_request.tried
            )
            if endpoint is not None:
                endpoint.in_flight += 1
                return Success(endpoint)
        refusal = self._refuse_early(slot_request)
        if refusal is not None:
            return Failure(refusal)
        return await self._wait(slot_request)

    def release(self, target: Target, endpoint: Endpoint, *, seconds: float) -> None:
        """Release a slot that was held for ``seconds``, and grant it to a waiter."""
        endpoint.in_flight -= 1
        average = self.service_seconds.get(target, INITIAL_SERVICE_SECONDS)
        change = (seconds - average) * SERVICE_TIME_WEIGHT
        self.service_seconds[target] = average + change
        self.dispatch()

    def dispatch(self) -> None:
        """Grant free slots to waiters, in the order of each queue."""
        for target in list(self.queues):
            queue = self.queues[target]
            self._grant_slots(target, queue)
            if queue.waiting == 0:
                del self.queues[target]

    def queued(self) -> int:
        """Return the number of requests that wait for a slot."""
        return sum(queue.waiting for queue in self.queues.values())

    def expected_wait(self, slot_request: SlotRequest) -> float:
        """Return the expected wait in seconds of a new waiter.

        It is the waiter's position in the queue, times the average service time, over
        the pool's number of slots.
        """
        pool = self.table.pool(slot_request.target)
        slots = pool.capacity() if pool else 0
        if slots == 0:
            return float("inf")
        service = self.service_seconds.get(slot_request.target, INITIAL_SERVICE_SECONDS)
        queue = self.queues.get(slot_request.target)
        ahead = 0
        if queue is not None:
            finish = queue.finish_tag(
                account=slot_request.account,
                weight=slot_request.weight,
                priority=slot_request.priority,
            )
            ahead = queue.count_ahead(finish)
        return (ahead + 1) * service / slots

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

    def _refuse_early(self, slot_request: SlotRequest) -> Refusal | None:
        """Refuse a request that is not expected to get a slot before its deadline."""
        now = self.clock.monotonic()
        if not self._has_untried(slot_request, now):
            detail = (
                f"no untried endpoint accepts work for {str(slot_request.target)!r}"
            )
            return Refusal(
                ErrorKind.NO_ENDPOINT,
                detail,
                retry_after_seconds=MINIMUM_RETRY_AFTER_SECONDS,
            )
        expected = self.expected_wait(slot_request)
        retry_after = max(expected, MINIMUM_RETRY_AFTER_SECONDS)
        queue = self.queues.get(slot_request.target)
        if queue is not None and queue.is_full():
            detail = f"{queue.waiting} requests wait for {str(slot_request.target)!r}"
            return Refusal(
                ErrorKind.OVERLOADED, detail, retry_after_seconds=retry_after
            )
        if now + expected > slot_request.deadline:
            remaining = slot_request.deadline - now
            detail = (
                f"the expected wait of {expected:.1f} s for "
                f"{str(slot_request.target)!r} passes the deadline in {remaining:.1f} s"
            )
            return Refusal(
                ErrorKind.DEADLINE_UNREACHABLE, detail, retry_after_seconds=retry_after
            )
        return None

    def _has_untried(self, slot_request: SlotRequest, now: float) -> bool:
        """Return whether the pool has a working endpoint that was not tried."""
        pool = self.table.pool(slot_request.target)
        if pool is None:
            return False
        return any(
            e.accepts_work(now) and e.name not in slot_request.tried
            for e in pool.endpoints
        )

    async def _wait(self, slot_request: SlotRequest) -> Result[Endpoint, Refusal]:
        queue = self.queues.get(slot_request.target)
        if queue is None:
            queue = FairQueue(maximum_length=self.maximum_queue)
            self.queues[slot_request.target] = queue
        granted = asyncio.get_running_loop().create_future()
        waiter = Waiter(
            account=slot_request.account,
            weight=slot_request.weight,
            priority=slot_request.priority,
            deadline=slot_request.deadline,
            tried=slot_request.tried,
            prefix=slot_request.prefix,
            granted=granted,
        )
        queue.push(waiter)
        self._grant_slots(slot_request.target, queue)
        remaining = max(slot_request.deadline - self.clock.monotonic(), 0.0)
        try:
            await asyncio.wait((granted,), timeout=remaining)
        except asyncio.CancelledError:
            self._abandon_wait(queue, waiter)
            raise
        if granted.done():
            return Success(granted.result())
        self._abandon_wait(queue, waiter)
        detail = (
            f"no slot for {str(slot_request.target)!r} became free before the deadline"
        )
        retry_after = max(self.expected_wait(slot_request), MINIMUM_RETRY_AFTER_SECONDS)
        return Failure(
            Refusal(
                ErrorKind.DEADLINE_EXCEEDED, detail, retry_after_seconds=retry_after
            )
        )

    def _abandon_wait(self, queue: FairQueue, waiter: Waiter) -> None:
        """Leave the queue, or release a slot that was granted at the same moment."""
        if waiter.granted.done():
            waiter.granted.result().in_flight -= 1
            self.dispatch()
            return
        queue.abandon(waiter)

    def _grant_slots(self, target: Target, queue: FairQueue) -> None:
        while self._grant_next_slot(target, queue):
            pass

    def _grant_next_slot(self, target: Target, queue: FairQueue) -> bool:
        """Grant a slot to one of the first waiters and return whether one was granted.

        A later waiter goes ahead only of waiters that retry, since those can't use
        the endpoints they have tried.
        """
        for waiter in queue.peek(SCANNED_WAITERS):
            endpoint = self._choose(target, waiter.prefix, waiter.tried)
            if endpoint is not None:
                endpoint.in_flight += 1
                waiter.granted.set_result(endpoint)
                queue.mark_served(waiter)
                return True
            if not waiter.tried:
                return False
        return False

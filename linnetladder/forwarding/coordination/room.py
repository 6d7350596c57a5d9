"""Room at endpoints: the memory of engines, and when slots and memory come free.

A request occupies an engine's KV cache by the tokens of its prompt and of its expected
output. An engine whose memory is full preempts running requests, so long prompts may
leave slots that can't be used.
"""

import dataclasses
import math

from linnetladder.forwarding.coordination.endpoint_load import (
    NO_LOAD,
    EndpointLoads,
    PeerSums,
    RequestLoad,
)
from linnetladder.forwarding.coordination.in_force import TableInForce
from linnetladder.forwarding.state import Prompt
from linnetladder.state import Endpoint

__all__ = ["EndpointRoom", "ServiceTimes"]

# Weight of an answer in the mean times, after the first answers.
LEARNING_WEIGHT = 0.05
# With fewer answers, the times of a service say nothing.
MINIMUM_ANSWERS = 3
# With as many, only answers of endpoints with free slots count: what is known of the
# load when a request is sent is late, and others may have been before it.
SUFFICIENT_ANSWERS = 8


@dataclasses.dataclass(slots=True)
class ServiceTimes:
    """Mean times of a service's answers.

    ``held`` is for how many seconds a request holds a slot. ``per_token`` is the part
    of that after the first token, for each token of output. ``prefill`` is the part
    before, in which an engine reads no other prompt, and ``tokens`` the mean of what a
    request occupies.
    """

    held: float = 0.0
    per_token: float = 0.0
    prefill: float = 0.0
    tokens: float = 0.0
    answers: int = 0

    def add(
        self,
        held: float,
        *,
        per_token: float = 0.0,
        prefill: float = 0.0,
        tokens: int = 0,
    ) -> None:
        """Add the times of one answer."""
        weight = max(1.0 / (self.answers + 1), LEARNING_WEIGHT)
        self.held += (held - self.held) * weight
        self.per_token += (per_token - self.per_token) * weight
        self.prefill += (prefill - self.prefill) * weight
        self.tokens += (tokens - self.tokens) * weight
        self.answers += 1


class EndpointRoom:
    """Computes the free tokens of endpoints from what all daemons have in flight."""

    def __init__(self, *, in_force: TableInForce, loads: EndpointLoads):
        self.in_force = in_force
        self.loads = loads
        self.times: dict[str, ServiceTimes] = {}
        self.peer_held: dict[str, float] = {}

    def capacity_of(self, endpoint: Endpoint) -> int:
        """Return an endpoint's capacity in tokens, 0 if its service names none."""
        table = self.in_force.table
        service = table.services.get(endpoint.service) if table is not None else None
        if service is None or service.engine is None:
            return 0
        return service.engine.cache_tokens

    def tokens_left(self, endpoint: Endpoint) -> float:
        """Return the free tokens, negative if more are in flight than fit."""
        capacity = self.capacity_of(endpoint)
        if not capacity:
            return math.inf
        return capacity - self.loads.cache_tokens_of(endpoint)

    def is_bound_by_memory(self, endpoint: Endpoint) -> bool:
        """Return whether requests like this daemon's fill the memory before the slots.

        It is false where the service names no capacity.
        """
        tokens = self.loads.cache_tokens.get(endpoint.name, 0)
        mean_tokens = tokens / max(endpoint.in_flight, 1)
        capacity = self.capacity_of(endpoint)
        return 0 < capacity < mean_tokens * endpoint.capacity

    def fits(self, endpoint: Endpoint, tokens: float) -> bool:
        """Return whether an endpoint holds a request of so many tokens now.

        An empty one takes any request: where it is too large, it is so everywhere.
        """
        capacity = self.capacity_of(endpoint)
        left = self.tokens_left(endpoint)
        return tokens <= left or left >= capacity

    def learn_answer(
        self, endpoint: Endpoint, load: RequestLoad, prompt: Prompt | None
    ) -> None:
        """Record that an answer is complete, before its load ends.

        The time of a stream counts from its first token. Another request may have
        waited for a slot if more were in flight than there are slots. Its time then
        counts only while little is known.
        """
        now = self.loads.clock.monotonic()
        times = self.times.setdefault(endpoint.service, ServiceTimes())
        if prompt is not None:
            decoding = now - load.first_token_at
            prefill = load.tokens * self.loads.token_seconds(load.model)
            times.add(
                prefill + decoding,
                per_token=decoding / max(prompt.output_tokens, 1),
                prefill=prefill,
                tokens=load.cache_tokens,
            )
            return
        crowding = max(load.in_flight / endpoint.capacity, 1.0)
        crowded_now = self.loads.in_flight_of(endpoint) > endpoint.capacity
        wanted = MINIMUM_ANSWERS
        if crowding <= 1.0:
            wanted = SUFFICIENT_ANSWERS if crowded_now else math.inf
        if times.answers < wanted:
            times.add((now - load.started) / crowding)

    def times_of(self, service: str) -> ServiceTimes | None:
        """Return the mean times of a service, ``None`` if they are not known.

        With few own answers, the time counts that peers report.
        """
        times = self.times.get(service)
        if times is not None and times.answers >= SUFFICIENT_ANSWERS:
            return times
        if service in self.peer_held:
            return ServiceTimes(held=self.peer_held[service])
        return times if times and times.answers >= MINIMUM_ANSWERS else None

    def own_held(self, service: str) -> float:
        """Return how long a request holds a slot by own answers, 0 if unknown."""
        times = self.times.get(service)
        return times.held if times and times.answers >= MINIMUM_ANSWERS else 0.0

    def requests_per_second(self, endpoint: Endpoint) -> float:
        """Return how many requests an endpoint serves a second, 0 if unknown."""
        times = self.times_of(endpoint.service)
        if times is None or times.held <= 0:
            return 0.0
        at_once = endpoint.capacity
        if times.tokens > 0 and self.capacity_of(endpoint):
            at_once = min(at_once, max(self.capacity_of(endpoint) // times.tokens, 1))
        rate = at_once / times.held
        return min(rate, 1.0 / times.prefill) if times.prefill > 0 else rate

    def seconds_until_room(
        self, endpoint: Endpoint, tokens: float, sums: PeerSums
    ) -> float:
        """Return the expected time until an endpoint begins a request.

        ``sums`` are the loads of the peers. It is 0 while the endpoint has a free slot,
        enough free tokens and no backlog. Slots and tokens come free at even intervals.
        The backlog is read meanwhile.
        """
        name = endpoint.name
        others_in_flight, others_backlog = sums.loads.get(name, NO_LOAD)
        wait = self.loads.backlog.get(name, 0.0) + others_backlog
        times = self.times_of(endpoint.service)
        if times is None:
            return wait
        excess = endpoint.in_flight + others_in_flight + 1 - endpoint.capacity
        wait = max(wait, excess * times.held / endpoint.capacity)
        capacity = self.capacity_of(endpoint)
        if capacity:
            held = self.loads.cache_tokens.get(name, 0) + sums.tokens.get(name, 0.0)
            missing = min(held + tokens - capacity, held)
            wait = max(wait, missing * times.held / capacity)
        return wait

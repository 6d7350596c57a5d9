"""Room in the memory of engines.

A request occupies an engine's KV cache by the tokens of its prompt and of its expected
output. An engine whose memory is full preempts running requests, so long prompts may
leave slots that can't be used.
"""

import math

from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads
from linnetladder.forwarding.coordination.in_force import TableInForce
from linnetladder.state import Endpoint

__all__ = ["EndpointRoom"]


class EndpointRoom:
    """Computes the free tokens of endpoints from what all daemons have in flight."""

    def __init__(self, *, in_force: TableInForce, loads: EndpointLoads):
        self.in_force = in_force
        self.loads = loads

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

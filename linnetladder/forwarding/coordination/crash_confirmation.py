"""Confirmation by a peer that an endpoint which refuses connections has crashed.

A daemon that is cut off from endpoints may be refused, too, by what lies between them.
"""

import asyncio

from linnetladder.forwarding.coordination.calls import EndpointCalls, ProbeOutcome
from linnetladder.forwarding.coordination.peer_paths import PeerPaths
from linnetladder.state import Clock, Endpoint

__all__ = ["CrashConfirmation"]

# All requests in flight at an endpoint break off at once: one answer serves for them.
ANSWER_EXPIRY_SECONDS = 1.0


class CrashConfirmation:
    """Asks a peer to connect to endpoints that refused this daemon."""

    def __init__(self, *, calls: EndpointCalls, paths: PeerPaths, clock: Clock):
        self.calls = calls
        self.paths = paths
        self.clock = clock
        self.answers: dict[str, tuple[float, asyncio.Future[bool]]] = {}

    async def confirm(self, endpoint: Endpoint) -> bool:
        """Return false if a peer connects to an endpoint that refused this daemon.

        Without a peer that answers, the endpoint is taken for crashed.
        """
        now = self.clock.monotonic()
        name = f"{endpoint.name}:{endpoint.incarnation}"
        asked_at, answer = self.answers.get(name, (now, None))
        if answer is None or now - asked_at >= ANSWER_EXPIRY_SECONDS:
            self._forget_expired(now)
            answer = asyncio.ensure_future(self._ask(endpoint))
            self.answers[name] = (now, answer)
        return await asyncio.shield(answer)

    async def _ask(self, endpoint: Endpoint) -> bool:
        peer = self.paths.choose(endpoint.name, endpoint)
        if peer is None:
            return True
        outcome = await self.calls.probe_through(peer.tcp_address, endpoint.name)
        if outcome is None:
            self.paths.peer_failed(peer)
        return outcome is not ProbeOutcome.ACCEPTED

    def _forget_expired(self, now: float) -> None:
        for name, (asked_at, _) in list(self.answers.items()):
            if now - asked_at >= ANSWER_EXPIRY_SECONDS:
                del self.answers[name]

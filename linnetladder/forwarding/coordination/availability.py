"""Whether an endpoint may be sent to now, and if not, why and for how long.

Several mechanisms keep requests from an endpoint: the registry, what it says of itself
in answers, failed connections, failed answers and limits. They are asked in one place,
so that every way a request can take to an endpoint keeps to all of them.
"""

import collections
import dataclasses
import enum
import math
from collections.abc import Iterable

from linnetladder.forwarding.coordination.brittleness import (
    Brittleness,
    RoomBasis,
)
from linnetladder.forwarding.coordination.endpoint_pauses import EndpointPauses
from linnetladder.forwarding.coordination.evacuations import Evacuations
from linnetladder.forwarding.coordination.peer_paths import PeerPaths
from linnetladder.forwarding.coordination.request_limits import RequestLimits
from linnetladder.forwarding.coordination.slot_reservations import SlotReservations
from linnetladder.forwarding.protocol import ResponseHead
from linnetladder.state import Clock, Endpoint

__all__ = ["EndpointAvailability", "Obstacle", "ObstacleReason", "describe_obstacles"]


class ObstacleReason(enum.StrEnum):
    """Why an endpoint is not sent to.

    ``UNLISTED`` ends when the registry lists it again, ``LEAVING`` with a new
    incarnation, ``EVACUATED`` when the operator returns its failure domain,
    ``PAUSED`` when the pause that it asked for is over, ``RETURNING`` with
    the next answer after a pause, ``FULL`` once a brittle endpoint has room again,
    ``AT_LIMIT`` with the next permit of its limit,
    ``UNREACHABLE`` when it accepts a connection, ``FAILING`` after a time.
    """

    UNLISTED = "unlisted"
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    PAUSED = "paused"
    RETURNING = "returning"
    FULL = "full"
    AT_LIMIT = "at_limit"
    UNREACHABLE = "unreachable"
    FAILING = "failing"


# An endpoint with one of these obstacles gets no request, even if it is the last one.
EXCLUDING = frozenset(
    (
        ObstacleReason.UNLISTED,
        ObstacleReason.LEAVING,
        ObstacleReason.EVACUATED,
        ObstacleReason.PAUSED,
        ObstacleReason.RETURNING,
        ObstacleReason.FULL,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Obstacle:
    """What keeps requests from an endpoint.

    ``seconds`` is the time until it ends, ``None`` if that is not known.
    """

    reason: ObstacleReason
    seconds: float | None = None

    @property
    def excludes(self) -> bool:
        """Whether no request may be sent, even if no other endpoint is left."""
        return self.reason in EXCLUDING


class EndpointAvailability:
    """Asks each mechanism that keeps requests from endpoints."""

    def __init__(
        self,
        *,
        limits: RequestLimits,
        pauses: EndpointPauses,
        evacuations: Evacuations,
        brittleness: Brittleness,
        reservations: SlotReservations,
        paths: PeerPaths,
        clock: Clock,
    ):
        self.limits = limits
        self.pauses = pauses
        self.evacuations = evacuations
        self.brittleness = brittleness
        self.reservations = reservations
        self.paths = paths
        self.clock = clock

    def learn_answer(
        self,
        endpoint: Endpoint,
        head: ResponseHead,
        *,
        sent_at: float,
        basis: RoomBasis | None = None,
    ) -> None:
        """Record what an answer says of its endpoint's limit, pace and brittleness.

        ``basis`` is why the endpoint was taken to have room for the request, ``None``
        if a peer sent it.
        """
        self.limits.learn_answer(endpoint, head, sent_at=sent_at)
        self.limits.paces.learn_head(endpoint, head, sent_at=sent_at)
        self.brittleness.learn_answer(endpoint, head, sent_at=sent_at, basis=basis)

    def obstacle(self, endpoint: Endpoint) -> Obstacle | None:
        """Return the strictest obstacle, ``None`` if a request may be sent now."""
        if not endpoint.listed:
            return Obstacle(ObstacleReason.UNLISTED)
        if endpoint.leaving:
            return Obstacle(ObstacleReason.LEAVING)
        evacuations = self.evacuations
        if evacuations.domains and evacuations.is_evacuated(endpoint.failure_domain):
            return Obstacle(ObstacleReason.EVACUATED)
        if not self.pauses.may_send(endpoint):
            seconds = self.pauses.seconds_left(endpoint)
            reason = ObstacleReason.PAUSED if seconds else ObstacleReason.RETURNING
            return Obstacle(reason, seconds)
        seconds = self.reservations.seconds_until_room(endpoint)
        if seconds > 0:
            return Obstacle(ObstacleReason.FULL, seconds)
        if not self.limits.may_send(endpoint):
            seconds = self.limits.seconds_until_next(endpoint)
            return Obstacle(ObstacleReason.AT_LIMIT, seconds)
        if self.is_unreachable(endpoint):
            return Obstacle(ObstacleReason.UNREACHABLE)
        seconds = endpoint.ejected_until - self.clock.monotonic()
        return Obstacle(ObstacleReason.FAILING, seconds) if seconds > 0 else None

    def is_ejected(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is to be tried only if no other one is left."""
        return endpoint.ejected_until > self.clock.monotonic()

    def is_unreachable(self, endpoint: Endpoint) -> bool:
        """Return whether this daemon can't connect to an endpoint itself."""
        return endpoint.ejected_until == math.inf

    def is_reached_by_peers(
        self, endpoint: Endpoint, *, homes: frozenset[str] | None = None
    ) -> bool:
        """Return whether an endpoint is reached through a peer and not directly.

        ``homes`` are those of the request that is to be sent.
        """
        return self.is_unreachable(endpoint) and self.paths.may_reach(
            endpoint, homes=homes
        )

    def is_excluded(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get no request at present."""
        obstacle = self.obstacle(endpoint)
        return obstacle is not None and obstacle.excludes

    def is_excluded_for_peers(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get no request that a peer sends through here.

        The peer has reserved the slot that it needs.
        """
        obstacle = self.obstacle(endpoint)
        if obstacle is None or obstacle.reason is ObstacleReason.FULL:
            return False
        return obstacle.excludes

    def still_accepts(self, endpoint: Endpoint) -> bool:
        """Return whether a request that was chosen for an endpoint may still be sent.

        Opening a connection takes time, in which the endpoint may have asked for a
        pause or begun to leave, or its failure domain may have been evacuated.
        """
        accepts = endpoint.listed and not endpoint.leaving
        if self.evacuations.is_evacuated(endpoint.failure_domain):
            return False
        return accepts and not self.pauses.seconds_left(endpoint)


def describe_obstacles(obstacles: Iterable[Obstacle | None]) -> str:
    """Return the reasons with the number of endpoints that each keeps requests from.

    Examples
    --------
    >>> describe_obstacles([None, Obstacle(ObstacleReason.LEAVING)])
    'leaving 1'
    """
    counts = collections.Counter(o.reason for o in obstacles if o is not None)
    return ", ".join(f"{reason} {count}" for reason, count in counts.items())

"""Endpoints that fall over if they have to turn too many requests away.

They name in their answers how many they can turn away in a second. All daemons together
have to stay below that, without telling each other: the slots of a brittle endpoint are
divided among the daemons, in the turns that they also take at its limits. A daemon uses
its own slots, and others only while it knows that most of the endpoint is free.
"""

import dataclasses
import enum
import math
from collections.abc import Iterable

import xxhash

from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads
from linnetladder.forwarding.coordination.request_limits import RequestLimits
from linnetladder.forwarding.protocol import ResponseHead
from linnetladder.state import Clock, Endpoint, EndpointTable
from linnetladder.telemetry import Metrics, log_change

__all__ = ["Brittleness", "RoomBasis"]

# Beyond its own slots a daemon sends while at most this share of all is in use. What it
# knows of the others' requests lags behind.
FREE_LOAD = 0.5
# An endpoint without room is looked at again after this time.
ROOM_CHECK_SECONDS = 0.3
# Statements of endpoints that are listed no more are kept for this long.
UNLISTED_TTL_SECONDS = 60.0
# What an endpoint says binds the others of its service for this long.
SERVICE_EXPIRY_SECONDS = 10.0


class RoomBasis(enum.StrEnum):
    """Why a daemon took an endpoint to have room for a request.

    ``OWN`` is a slot of the daemon's own part, ``FREE`` one that was known to be free,
    and ``UNAWARE`` stands for a daemon that took the endpoint for a sound one.
    """

    OWN = "own"
    FREE = "free"
    UNAWARE = "unaware"


@dataclasses.dataclass(slots=True, kw_only=True)
class Statement:
    """What an incarnation of an endpoint said last; ``limit`` is ``None`` if sound.

    It turned a request of this daemon away at ``rejected_at``.
    """

    incarnation: str
    service: str
    limit: float | None
    sent_at: float
    heard_at: float
    rejected_at: float = -math.inf


class Brittleness:
    """Keeps what endpoints say of their brittleness, and whether they have room."""

    def __init__(
        self,
        *,
        limits: RequestLimits,
        table: EndpointTable,
        loads: EndpointLoads,
        clock: Clock,
        metrics: Metrics,
    ):
        self.limits = limits
        self.table = table
        self.loads = loads
        self.clock = clock
        self.metrics = metrics
        self.statements: dict[str, Statement] = {}

    def limit_of(self, endpoint: Endpoint) -> float | None:
        """Return the requests that an endpoint can turn away in a second, if few.

        One that has said nothing yet is as brittle as the others of its service.
        """
        if not self.statements:
            return None
        statement = self._statement(endpoint)
        if statement is not None:
            return statement.limit
        since = self.clock.monotonic() - SERVICE_EXPIRY_SECONDS
        return min(
            (
                other.limit
                for other in self.statements.values()
                if other.limit is not None
                and other.service == endpoint.service
                and other.heard_at >= since
            ),
            default=None,
        )

    def seconds_until_room(self, endpoint: Endpoint) -> float:
        """Return the seconds until a request may be sent to an endpoint, 0 for now."""
        if self.limit_of(endpoint) is None:
            return 0.0
        statement = self._statement(endpoint)
        if statement is not None:
            since = self.clock.monotonic() - statement.rejected_at
            if since < ROOM_CHECK_SECONDS:
                return ROOM_CHECK_SECONDS - since
        in_use = self.loads.in_flight_of(endpoint)
        has_room = (
            endpoint.in_flight < self._own_slots(endpoint)
            or in_use + 1 <= endpoint.capacity * FREE_LOAD
        )
        return 0.0 if has_room else ROOM_CHECK_SECONDS

    def basis_of(self, endpoint: Endpoint) -> RoomBasis:
        """Return why a request may be sent to an endpoint that is not full."""
        if self.limit_of(endpoint) is None:
            return RoomBasis.UNAWARE
        is_own = endpoint.in_flight < self._own_slots(endpoint)
        return RoomBasis.OWN if is_own else RoomBasis.FREE

    def learn_answer(
        self,
        endpoint: Endpoint,
        head: ResponseHead,
        *,
        sent_at: float,
        basis: RoomBasis = RoomBasis.UNAWARE,
    ) -> None:
        """Record what an answer says.

        ``sent_at`` is when its request was sent, and ``basis`` why. Answers may
        overtake each other, so only the one to the latest request decides.
        """
        if head.misdirected:
            return
        statement = self._statement(endpoint)
        if statement is None and head.brittle_limit is None:
            if self.limit_of(endpoint) is None:
                return
        if statement is None or sent_at >= statement.sent_at:
            statement = self._record(endpoint, head.brittle_limit, sent_at, statement)
        if head.not_run and not head.names_pause and statement.limit is not None:
            self.metrics.count("brittle_rejections", label=basis)
            statement.rejected_at = self.clock.monotonic()

    def _record(
        self,
        endpoint: Endpoint,
        limit: float | None,
        sent_at: float,
        previous: Statement | None,
    ) -> Statement:
        now = self.clock.monotonic()
        if previous is None:
            self._forget_unlisted(now)
        if limit != (previous.limit if previous is not None else None):
            log_change("endpoint is brittle", endpoint=endpoint.name, limit=limit)
        statement = Statement(
            incarnation=endpoint.incarnation,
            service=endpoint.service,
            limit=limit,
            sent_at=sent_at,
            heard_at=now,
            rejected_at=previous.rejected_at if previous is not None else -math.inf,
        )
        self.statements[endpoint.name] = statement
        return statement

    def _own_slots(self, endpoint: Endpoint) -> int:
        """Return this daemon's part of an endpoint's slots, which all add up to.

        The daemons take the slots in turns, from an offset by the endpoint's name.
        """
        turns = self.limits.turns
        offset = xxhash.xxh32_intdigest(endpoint.name.encode())
        own_turn = (self.limits.rank - offset) % turns
        return endpoint.capacity // turns + (own_turn < endpoint.capacity % turns)

    def _statement(self, endpoint: Endpoint) -> Statement | None:
        statement = self.statements.get(endpoint.name)
        if statement is None or statement.incarnation != endpoint.incarnation:
            return None
        return statement

    def _forget_unlisted(self, now: float) -> None:
        for name in _unlisted(self.statements, self.table.endpoints):
            if now - self.statements[name].heard_at >= UNLISTED_TTL_SECONDS:
                del self.statements[name]


def _unlisted(names: Iterable[str], listed: dict[str, Endpoint]) -> list[str]:
    return [name for name in names if name not in listed]

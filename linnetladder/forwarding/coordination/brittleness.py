"""Endpoints that fall over if they have to turn too many requests away.

They name in their answers how many they can turn away in a second, which all endpoints
of a service do at the same time. What a daemon hears it tells its peers, so that those
that have had no answer know it, too.
"""

import dataclasses
import enum
import math
from collections.abc import Iterable

from linnetladder.forwarding.protocol import ResponseHead
from linnetladder.state import Clock, Endpoint, EndpointTable
from linnetladder.telemetry import Metrics, log_change

__all__ = ["Brittleness", "RoomBasis"]

# Statements of endpoints that are listed no more are kept for this long.
UNLISTED_TTL_SECONDS = 60.0
# What an endpoint says binds the others of its service for this long.
SERVICE_EXPIRY_SECONDS = 10.0
# Peers are told what an endpoint has said within this time.
NEWS_SECONDS = 3.0
# Upper estimate of the compressed bytes of a row in a report.
BRITTLE_ROW_BYTES = 12


class RoomBasis(enum.StrEnum):
    """Why a daemon took an endpoint to have room for a request.

    ``RESERVED`` is a slot that the endpoint's arbiter granted, ``OWN`` one of the
    daemon's own part, and ``UNAWARE`` stands for a daemon that took the endpoint for a
    sound one.
    """

    RESERVED = "reserved"
    OWN = "own"
    UNAWARE = "unaware"


@dataclasses.dataclass(slots=True, kw_only=True)
class Statement:
    """What an incarnation of an endpoint said last; ``limit`` is ``None`` if sound.

    It has turned ``rejections`` requests of this daemon away, the last one at
    ``rejected_at``.
    """

    incarnation: str
    service: str
    limit: float | None
    sent_at: float
    heard_at: float
    rejections: int = 0
    rejected_at: float = -math.inf


@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceStatement:
    """What endpoints of a service said last, at ``heard_at``.

    ``answered_at`` is the time of the last answer to this daemon that said so.
    """

    limit: float
    heard_at: float
    answered_at: float = -math.inf


class Brittleness:
    """Keeps what endpoints say of their brittleness."""

    def __init__(
        self,
        *,
        table: EndpointTable,
        clock: Clock,
        metrics: Metrics,
    ):
        self.table = table
        self.clock = clock
        self.metrics = metrics
        self.statements: dict[str, Statement] = {}
        self.services: dict[str, ServiceStatement] = {}

    def limit_of(self, endpoint: Endpoint) -> float | None:
        """Return the requests that an endpoint can turn away in a second, if few.

        One that has said nothing yet, or nothing since another one of its service said
        that it is brittle, is as brittle as that.
        """
        if not self.services:
            return None
        statement = self._statement(endpoint)
        latest = self.services.get(endpoint.service)
        if statement is not None and (
            statement.limit is not None
            or latest is None
            or statement.heard_at >= latest.heard_at
        ):
            return statement.limit
        if latest is None or self._age(latest.heard_at) > SERVICE_EXPIRY_SECONDS:
            return None
        return latest.limit

    def rejections_of(self, endpoint: Endpoint) -> int:
        """Return how many requests of this daemon an endpoint has turned away."""
        statement = self._statement(endpoint)
        return statement.rejections if statement is not None else 0

    def rejected_at(self, endpoint: Endpoint) -> float:
        """Return when an endpoint turned the last request of this daemon away."""
        statement = self._statement(endpoint)
        return statement.rejected_at if statement is not None else -math.inf

    def learn_report(self, rows: Iterable[tuple[str, float]]) -> None:
        """Record what endpoints have said to a peer, by their service."""
        for service, limit in rows:
            self._learn_service(service, limit)

    def export(self) -> list[tuple[str, float]]:
        """Return the services whose endpoints lately said so to this daemon."""
        return [
            (service, statement.limit)
            for service, statement in self.services.items()
            if self._age(statement.answered_at) <= NEWS_SECONDS
        ]

    def learn_answer(
        self,
        endpoint: Endpoint,
        head: ResponseHead,
        *,
        sent_at: float,
        basis: RoomBasis | None = None,
    ) -> None:
        """Record what an answer says.

        ``sent_at`` is when its request was sent, and ``basis`` why; it is ``None`` for
        a peer's request, whose rejection the peer counts. Answers may overtake each
        other, so only the one to the latest request decides.
        """
        if head.misdirected:
            return
        statement = self._statement(endpoint)
        if statement is None and head.brittle_limit is None:
            if self.limit_of(endpoint) is None:
                return
        if statement is None or sent_at >= statement.sent_at:
            statement = self._record(endpoint, head.brittle_limit, sent_at, statement)
        is_rejected = head.not_run and not head.names_pause
        if basis is not None and is_rejected and statement.limit is not None:
            self.metrics.count("brittle_rejections", label=basis)
            statement.rejections += 1
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
        if limit is not None:
            latest = self._learn_service(endpoint.service, limit)
            latest.answered_at = now
        statement = Statement(
            incarnation=endpoint.incarnation,
            service=endpoint.service,
            limit=limit,
            sent_at=sent_at,
            heard_at=now,
        )
        if previous is not None:
            statement.rejections = previous.rejections
            statement.rejected_at = previous.rejected_at
        self.statements[endpoint.name] = statement
        return statement

    def _learn_service(self, service: str, limit: float) -> ServiceStatement:
        """Record what an endpoint of a service says; the lowest limit holds."""
        now = self.clock.monotonic()
        latest = self.services.get(service)
        if latest is None or self._age(latest.heard_at) > SERVICE_EXPIRY_SECONDS:
            latest = ServiceStatement(limit=limit, heard_at=now)
            self.services[service] = latest
        latest.limit = min(latest.limit, limit)
        latest.heard_at = now
        return latest

    def _age(self, time: float) -> float:
        return self.clock.monotonic() - time

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

"""Limits that endpoints name on the requests they take from all daemons together.

Each daemon sends a limited endpoint only the requests for which it holds a permit of
the shared schedule. What an endpoint last said is told to the peers, so that daemons
that have had no answer from it keep to its limit too.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable

import xxhash

from linnetladder.coordination.permit_schedule import PermitSchedule
from linnetladder.coordination.permit_slots import (
    CYCLE_SLOTS,
    SlotSchedule,
    assign_slots,
)
from linnetladder.forwarding.coordination.endpoint_paces import (
    PERMIT_LIFETIME_SECONDS,
    EndpointPaces,
)
from linnetladder.forwarding.protocol import ResponseHead
from linnetladder.state import Clock, Endpoint, EndpointTable
from linnetladder.telemetry import Metrics, log_change

__all__ = ["LIMIT_ROW_BYTES", "LimitRow", "NamedLimit", "RequestLimits"]

# Changes are told to peers first for ten rounds of reports.
NEWS_SECONDS = 4.0
# Upper estimate of the compressed bytes of a row in a report.
LIMIT_ROW_BYTES = 36
# A step of the Unix time by more than this restarts the schedules.
CLOCK_STEP_SECONDS = 0.25
# The other daemons may not count on one that has just started, or that heard of neither
# the store nor a peer for some time: they may hold its permits for cold endpoints, too.
# It takes this share of them meanwhile.
UNKNOWN_SHARE = 0.25
STARTING_SECONDS = 2.0
ISOLATED_SECONDS = 5.0
# Resolution of limits in decimal places of requests a second, as in reports, and the
# highest limit that is told apart from none.
LIMIT_DECIMALS = 3
MAXIMUM_PER_SECOND = 1_000_000.0
# Changes of an endpoint's limit are logged at most this often.
LOG_INTERVAL_SECONDS = 1.0
# Limits of endpoints that the registry does not list are forgotten after this time.
UNLISTED_TTL_SECONDS = 30.0

# Endpoint, incarnation, requests a second or none, age in seconds.
LimitRow = tuple[str, str, float | None, float]


@dataclasses.dataclass(slots=True, kw_only=True)
class NamedLimit:
    """What an endpoint's incarnation last said of its limit.

    ``per_second`` is ``None`` if it names no limit any more. ``said_at`` is the time of
    the answer, ``changed_at`` that of the last change of the limit and ``logged_at``
    that of the last line about it, on this daemon's clock. ``times_sent`` counts the
    reports that told of the limit.
    """

    incarnation: str
    per_second: float | None
    said_at: float
    changed_at: float
    times_sent: int = 0
    logged_at: float = -math.inf


@dataclasses.dataclass(slots=True, kw_only=True)
class ScheduleInputs:
    """What a schedule was made from; ``unix_offset`` is Unix less monotonic time.

    ``lifetime`` is that of its permits, ``None`` for the usual one. ``ceiling`` is the
    bound on the rate of a cold endpoint, whose permits it numbers; a schedule of such
    permits goes on when the rate or the list of daemons changes.
    """

    incarnation: str
    per_second: float
    turn: int
    turns: int
    unix_offset: float
    lifetime: float | None = None
    ceiling: float | None = None

    def matches(self, other: "ScheduleInputs") -> bool:
        """Return whether a schedule made from the other inputs is still valid."""
        if abs(self.unix_offset - other.unix_offset) > CLOCK_STEP_SECONDS:
            return False
        return self._basis() == other._basis()

    def _basis(self) -> tuple:
        if self.ceiling is not None:
            return self.incarnation, self.ceiling
        return (
            self.incarnation,
            self.per_second,
            self.turn,
            self.turns,
            self.lifetime,
        )


class RequestLimits:
    """Keeps the latest limit of each endpoint and this daemon's permits for it."""

    def __init__(
        self,
        *,
        instance: str,
        table: EndpointTable,
        paces: EndpointPaces,
        clock: Clock,
        metrics: Metrics,
    ):
        self.instance = instance
        self.paces = paces
        self.members = frozenset((instance,))
        self.table = table
        self.clock = clock
        self.metrics = metrics
        self.named: dict[str, NamedLimit] = {}
        self.schedules: dict[str, tuple[ScheduleInputs, PermitSchedule]] = {}
        self.rank = 0
        self.turns = 1
        self.starting_until = math.inf
        self.contact_at = math.inf
        self.on_change: Callable[[], None] = _do_nothing

    def update_members(self, instances: Iterable[str]) -> None:
        """Set the daemons that share the limits; this one is always among them.

        They take turns in the order of a hash, so that those of a failure domain are
        spread.
        """
        members = sorted({self.instance, *instances}, key=_hash)
        self.rank = members.index(self.instance)
        self.turns = self.paces.turns = len(members)
        self.contact_at = self.clock.monotonic()
        if self.starting_until == math.inf:
            self.starting_until = self.contact_at + STARTING_SECONDS
        if len(members) != len(self.members) or not self.members.issuperset(members):
            self.members = frozenset(members)

    def limit_of(self, endpoint: Endpoint) -> float | None:
        """Return an endpoint's limit in requests a second, ``None`` if it has none.

        It is the lower one of the limit that the endpoint named and of its pace.
        """
        named = self.named_limit_of(endpoint)
        pace = self.paces.pace_of(endpoint)
        if named is None or pace is None:
            return pace if named is None else named
        return min(named, pace)

    def named_limit_of(self, endpoint: Endpoint) -> float | None:
        """Return the limit that an endpoint named, ``None`` if it names none."""
        named = self._named(endpoint.name, endpoint.incarnation)
        return named.per_second if named is not None else None

    def basis_of(self, endpoint: Endpoint) -> float | None:
        """Return the rate at which an endpoint's permits are numbered, if there is one.

        A permit that was reserved stays valid as long as that is the same. For a cold
        endpoint it is the bound on its pace, not the pace.
        """
        ceiling = self.paces.ceiling_of(endpoint)
        return ceiling if ceiling is not None else self.limit_of(endpoint)

    def may_send(self, endpoint: Endpoint) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        schedule = self._schedule(endpoint)
        return schedule is None or schedule.available(self.clock.unix())

    def take(self, endpoint: Endpoint) -> bool:
        """Take a permit for a request that is sent now; return false without one."""
        schedule = self._schedule(endpoint)
        return schedule is None or schedule.take(self.clock.unix())

    def still_permitted(self, endpoint: Endpoint, *, chosen_at: float) -> bool:
        """Return whether a request that was chosen at a time may be sent now.

        A permit of a pace does not outlast a slow connection: those that waited for an
        endpoint to accept connections would arrive together. Then another one is taken,
        as for a request that was chosen before the pace began.
        """
        began_at = self.paces.began_at(endpoint)
        if began_at is None:
            return True
        expires_at = chosen_at + PERMIT_LIFETIME_SECONDS
        if began_at <= chosen_at and self.clock.monotonic() <= expires_at:
            return True
        return self.take(endpoint)

    def seconds_until_next(self, endpoint: Endpoint) -> float:
        """Return the seconds until a request may be sent to an endpoint."""
        schedule = self._schedule(endpoint)
        if schedule is None:
            return 0.0
        return schedule.seconds_until_next(self.clock.unix())

    def reserve(self, endpoint: Endpoint, *, within: float) -> float | None:
        """Take a permit that falls due within some seconds.

        Return the seconds until then, or ``None`` if there is none.
        """
        schedule = self._schedule(endpoint)
        if schedule is None:
            return 0.0
        return schedule.reserve(self.clock.unix(), within=within)

    def learn_answer(
        self, endpoint: Endpoint, head: ResponseHead, *, sent_at: float
    ) -> None:
        """Record what an answer says of its endpoint's limit.

        An answer without a limit lifts the one that is known only if its request was
        sent after that was named: answers may overtake each other. One that did not run
        its request, or comes from another instance, lifts none.
        """
        if head.misdirected:
            return
        name, incarnation = endpoint.name, endpoint.incarnation
        if head.request_limit is not None:
            limit = min(round(head.request_limit, LIMIT_DECIMALS), MAXIMUM_PER_SECOND)
            self._record(name, incarnation, limit, self.clock.monotonic())
        elif head.names_request_limit:
            self.metrics.count("request_limits", label="unreadable")
        elif not head.not_run:
            named = self._named(name, incarnation)
            if named is not None and named.said_at < sent_at:
                self._record(name, incarnation, None, sent_at)

    def learn_report(self, rows: Iterable[LimitRow]) -> None:
        """Record what a peer knows, unless this daemon knows of a later answer."""
        now = self.contact_at = self.clock.monotonic()
        for name, incarnation, per_second, age in rows:
            endpoint = self.table.endpoints.get(name)
            if endpoint is not None and endpoint.incarnation != incarnation:
                continue
            known = self._named(name, incarnation)
            if known is None or known.said_at < now - age:
                self._record(name, incarnation, per_second, now - age)
            elif known.per_second != per_second:
                # The peer has missed the latest answer; it is told again.
                known.changed_at = now
                known.times_sent = 0

    def export(self, *, maximum_bytes: float, news_only: bool) -> list[LimitRow]:
        """Return rows for a report, changes first, then those told least often.

        Limits that were lifted are told only as long as that is news.
        """
        self._forget_unlisted()
        now = self.clock.monotonic()
        entries = []
        for name, named in self.named.items():
            is_news = now - named.changed_at <= NEWS_SECONDS
            if is_news or not (news_only or named.per_second is None):
                entries.append((not is_news, named.times_sent, name))
        rows = []
        maximum_rows = max(int(maximum_bytes), 0) // LIMIT_ROW_BYTES
        for _, _, name in sorted(entries)[:maximum_rows]:
            named = self.named[name]
            named.times_sent += 1
            age = now - named.said_at
            rows.append((name, named.incarnation, named.per_second, age))
        return rows

    def _named(self, name: str, incarnation: str) -> NamedLimit | None:
        named = self.named.get(name)
        if named is None or named.incarnation != incarnation:
            return None
        return named

    def _record(
        self, name: str, incarnation: str, per_second: float | None, said_at: float
    ) -> None:
        known = self._named(name, incarnation)
        previous = known.per_second if known is not None else None
        if known is not None and per_second == previous:
            known.said_at = max(known.said_at, said_at)
            return
        named = self.named[name] = NamedLimit(
            incarnation=incarnation,
            per_second=per_second,
            said_at=said_at,
            changed_at=self.clock.monotonic(),
            logged_at=known.logged_at if known is not None else -math.inf,
        )
        if per_second == previous:
            return
        label = "lifted" if per_second is None else "named"
        self.metrics.count("request_limits", label=label)
        if per_second is None:
            self.schedules.pop(name, None)
        if named.changed_at - named.logged_at >= LOG_INTERVAL_SECONDS:
            named.logged_at = named.changed_at
            self._log(name, per_second, previous)
        self.on_change()

    def _log(self, name: str, per_second: float | None, previous: float | None) -> None:
        if per_second is None:
            log_change("endpoint lifts its limit", endpoint=name, previous=previous)
            return
        log_change(
            "endpoint limits requests",
            endpoint=name,
            per_second=per_second,
            previous=previous,
            daemons=self.turns,
        )

    def _schedule(self, endpoint: Endpoint) -> PermitSchedule | None:
        """Return this daemon's permits for an endpoint, ``None`` if it has no limit."""
        per_second = self.limit_of(endpoint)
        if per_second is None:
            return None
        unix = self.clock.unix()
        paced = self.paces.pace_of(endpoint) == per_second
        inputs = ScheduleInputs(
            incarnation=endpoint.incarnation,
            per_second=per_second,
            turn=(self.rank + _hash(endpoint.name)) % self.turns,
            turns=self.turns,
            unix_offset=unix - self.clock.monotonic(),
            lifetime=PERMIT_LIFETIME_SECONDS if paced else None,
            ceiling=self.paces.ceiling_of(endpoint),
        )
        current = self.schedules.get(endpoint.name)
        if current is None or not inputs.matches(current[0]):
            schedule = self._new_schedule(endpoint, inputs, unix)
            current = self.schedules[endpoint.name] = (inputs, schedule)
        if inputs.ceiling is not None:
            slots = assign_slots(self.members)[self.instance]
            share = per_second / inputs.ceiling
            if not self._is_known_to_others():
                share *= UNKNOWN_SHARE
            current[1].update(slots=slots, share=share, now=unix)
        return current[1]

    def _is_known_to_others(self) -> bool:
        """Return whether the other daemons' lists are expected to have this one."""
        now = self.clock.monotonic()
        if now < self.starting_until:
            return False
        return self.turns == 1 or now - self.contact_at <= ISOLATED_SECONDS

    def _new_schedule(
        self, endpoint: Endpoint, inputs: ScheduleInputs, unix: float
    ) -> PermitSchedule:
        if inputs.ceiling is None:
            return PermitSchedule(
                rate=inputs.per_second,
                turn=inputs.turn,
                turns=inputs.turns,
                now=unix,
                lifetime=inputs.lifetime,
            )
        return SlotSchedule(
            rate=inputs.ceiling,
            slots=assign_slots(self.members)[self.instance],
            offset=_hash(endpoint.name) % CYCLE_SLOTS,
            share=1.0,
            now=unix,
            lifetime=PERMIT_LIFETIME_SECONDS,
        )

    def _forget_unlisted(self) -> None:
        since = self.clock.monotonic() - UNLISTED_TTL_SECONDS
        for name, named in list(self.named.items()):
            if name not in self.table.endpoints and named.said_at < since:
                del self.named[name]
                self.schedules.pop(name, None)


def _hash(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())


def _do_nothing() -> None:
    """Do nothing; the default action on a change."""

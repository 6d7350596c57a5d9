"""Paces: the rates at which requests come to endpoints that are cold or have returned.

An endpoint that has just started tolerates few requests. All daemons together keep to
the bound of its service while it is cold, and below that to a pace, which rises with
sound answers and falls with failures and slow ones. Only services that name a bound
have paces.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable

from linnetladder.coordination.permit_schedule import MINIMUM_RATE
from linnetladder.forwarding.coordination.directory import EndpointDirectory
from linnetladder.forwarding.coordination.in_force import TableInForce
from linnetladder.forwarding.coordination.outcomes import Outcomes
from linnetladder.forwarding.protocol import ResponseHead
from linnetladder.forwarding.settings import SettingsHolder
from linnetladder.forwarding.state import ServiceSpec
from linnetladder.state import Clock, Endpoint, EndpointReport
from linnetladder.telemetry import Metrics, log_change

__all__ = ["PACE_ROW_BYTES", "EndpointPaces", "Pace", "PaceRow"]

# Share of the requests allowed in a second that is used as the sustained rate.
SUSTAINED_SHARE = 0.7
# Time in seconds after which an unused permit of a pace expires, and the share by which
# daemons may disagree on their number.
PERMIT_LIFETIME_SECONDS = 0.2
DISAGREEMENT_SHARE = 0.1
# A pace begins at this share of the service's bound.
INITIAL_SHARE = 0.5
# A pace changes at most once in this time, by these factors.
STEP_SECONDS = 0.5
GROWTH_FACTOR = 1.5
REDUCTION_FACTOR = 0.5
# The lowest pace, as a share of the first one.
MINIMUM_SHARE = 0.125
# An answer may take this many times what is expected for the pace to grow, and this
# many times for it to stay.
SOUND_SLOWDOWN = 1.5
TOLERATED_SLOWDOWN = 2.5
# Weight of a new answer in the moving average of the slowdowns of cold endpoints.
SLOWDOWN_WEIGHT = 0.1
# Whether a pace has ended is checked at most this often, not for each request.
CHECK_SECONDS = 0.1
# A pace without any evidence for this long has ended.
EXPIRY_SECONDS = 30.0
# An endpoint is not taken for cold for longer than this, whatever it says.
MAXIMUM_COLD_SECONDS = 600.0
# Changes are told to peers first for this long, and others again after this time.
NEWS_SECONDS = 1.5
REPEAT_SECONDS = 3.0
# A peer that takes an endpoint for cold for longer by less than this changes nothing,
# so that the delay of reports does not prolong the time.
COLD_TOLERANCE_SECONDS = 0.25
# What only this daemon has observed, and so does not tell its peers at once.
LOCAL_REASONS = frozenset(("unreachable", "register"))
# An answer that overtook others may say for so long after the end of a pace that its
# endpoint is cold for a moment.
ENDED_SECONDS = 2.0
# Upper estimate of the compressed bytes of a row in a report.
PACE_ROW_BYTES = 40

# Endpoint, incarnation, requests a second, seconds for which it stays cold, age of the
# evidence in seconds.
PaceRow = tuple[str, str, float, float, float]


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Pace:
    """The pace of one incarnation; times are of this daemon's clock.

    ``per_second`` was set at ``changed_at``, and an answer last bore on it at
    ``learnt_at``. ``reduced_at`` is when this daemon last reduced it.
    ``presumed`` is set as long as only this daemon has a reason to take the endpoint
    for cold: it could not reach it, which may be the network's fault at this daemon, or
    it has just begun to read the registry. That is not told to peers. ``told_at`` is
    the time of the last report.
    """

    incarnation: str
    service: str
    per_second: float
    began_at: float
    changed_at: float
    learnt_at: float
    cold_until: float
    reduced_at: float = -math.inf
    presumed: bool = False
    checked_at: float = -math.inf
    news_at: float = -math.inf
    told_at: float = -math.inf


class EndpointPaces:
    """Keeps the paces of endpoints; most endpoints have none.

    ``turns`` is the number of daemons that share the paces.
    """

    def __init__(
        self,
        *,
        in_force: TableInForce,
        settings: SettingsHolder,
        directory: EndpointDirectory,
        outcomes: Outcomes,
        clock: Clock,
        metrics: Metrics,
    ):
        self.in_force = in_force
        self.settings = settings
        self.directory = directory
        self.outcomes = outcomes
        self.clock = clock
        self.metrics = metrics
        self.turns = 1
        self.paces: dict[str, Pace] = {}
        self.entries_read: dict[str, tuple[str, int]] = {}
        self.cold_slowdowns: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}
        self.on_change: Callable[[], None] = _do_nothing
        directory.on_entry = self.note_registered
        metrics.gauge("paced_endpoints", "Endpoints with a pace", self.__len__)

    def __len__(self) -> int:
        return len(self.paces)

    def pace_of(self, endpoint: Endpoint) -> float | None:
        """Return an endpoint's pace in requests a second, ``None`` if it has none."""
        pace = self.paces.get(endpoint.name)
        if pace is None or pace.incarnation != endpoint.incarnation:
            return None
        now = self.clock.monotonic()
        if now - pace.checked_at >= CHECK_SECONDS:
            pace.checked_at = now
            if self._has_ended(endpoint, pace):
                self._end(endpoint.name, pace)
                return None
        ceiling = self._ceiling(pace)
        return pace.per_second if ceiling is None else min(pace.per_second, ceiling)

    def began_at(self, endpoint: Endpoint) -> float | None:
        """Return when the pace of an endpoint began, ``None`` if it has none."""
        pace = self._known(endpoint)
        return pace.began_at if pace is not None else None

    def ceiling_of(self, endpoint: Endpoint) -> float | None:
        """Return the highest rate of a cold endpoint, ``None`` for others."""
        pace = self.paces.get(endpoint.name)
        if pace is None or pace.incarnation != endpoint.incarnation:
            return None
        return self._ceiling(pace)

    def note_registered(
        self, endpoint: Endpoint, report: EndpointReport, *, is_new: bool
    ) -> None:
        """Record an entry of the registry; ``is_new`` is set for a new incarnation.

        An entry binds for as long as it says, counted from its first read. Without a
        statement a new endpoint is cold for the time that its service names.
        """
        seconds = report.cold_seconds
        if not is_new and not seconds:
            return
        spec = self._spec(endpoint.service)
        if spec is None:
            return
        if seconds is None:
            seconds = spec.cold_seconds
            if report.started_at is not None:
                age = max(self.clock.unix() - report.started_at, 0.0)
                seconds -= age
        key = (report.incarnation, report.revision)
        if is_new or self.entries_read.get(endpoint.name) != key:
            self.entries_read[endpoint.name] = key
            self._note_cold(endpoint, spec, seconds, reason="register")
            pace = self._known(endpoint)
            if is_new and pace is not None and self._reads_begin():
                pace.presumed = True

    def note_returned(self, endpoint: Endpoint) -> None:
        """Record that an endpoint accepts connections again.

        It is presumed cold, since it may have started again under its name.
        """
        spec = self._spec(endpoint.service)
        if spec is None:
            return
        known = self._known(endpoint)
        if known is not None and known.cold_until > self.clock.monotonic():
            return
        self._note_cold(endpoint, spec, spec.cold_seconds, reason="unreachable")
        if (pace := self._known(endpoint)) is not None:
            pace.presumed = True

    def note_domain_returned(self, domain: str) -> None:
        """Record that the operator returned a failure domain that was evacuated.

        Its endpoints may have become cold shortly before, and their entries may be
        older than that.
        """
        for endpoint in self.directory.table.endpoints.values():
            if endpoint.failure_domain == domain and endpoint.listed:
                spec = self._spec(endpoint.service)
                if spec is not None:
                    self._note_cold(
                        endpoint, spec, spec.cold_seconds, reason="evacuation"
                    )

    def note_ejected(self, endpoint: Endpoint) -> None:
        """Record that an endpoint failed repeatedly and gets requests again later."""
        self._begin_warm(endpoint, reason="failing")

    def note_paused(self, endpoint: Endpoint, seconds: float) -> None:
        """Record that an endpoint wants no requests for some seconds."""
        if self._known(endpoint) is None:
            self._begin_warm(endpoint, reason="pause")
        if (pace := self._known(endpoint)) is not None:
            pace.learnt_at = self.clock.monotonic() + seconds

    def note_cold(self, endpoint: Endpoint, seconds: float, *, reason: str) -> None:
        """Record that an endpoint is cold for some seconds from now."""
        spec = self._spec(endpoint.service)
        if spec is not None:
            self._note_cold(endpoint, spec, seconds, reason=reason)

    def learn_head(
        self, endpoint: Endpoint, head: ResponseHead, *, sent_at: float
    ) -> None:
        """Record what an answer says of its endpoint.

        One that says that the endpoint is warm ends the time for which it was taken for
        cold. One that was turned away, or reports a server error, reduces its pace.
        """
        if head.misdirected:
            return
        pace = self._known(endpoint)
        if pace is not None and (head.not_run or head.status >= 500):
            self.learn_answer(endpoint, None, sound=False, sent_at=sent_at)
        if head.pause_seconds is not None:
            self.note_paused(endpoint, head.pause_seconds)
        if head.cold_seconds:
            self.note_cold(endpoint, head.cold_seconds, reason="answer")
        elif head.cold_seconds == 0 and pace is not None:
            pace.cold_until = min(pace.cold_until, self.clock.monotonic())
            pace.checked_at = -math.inf

    def learn_answer(
        self,
        endpoint: Endpoint,
        slowdown: float | None,
        *,
        sound: bool,
        sent_at: float,
    ) -> None:
        """Change the pace of an endpoint by an answer, or by a failure to answer.

        ``slowdown`` is the time that the answer took, relative to the one expected of
        comparable endpoints, and ``None`` if that is unknown.
        """
        pace = self._known(endpoint)
        if pace is None:
            return
        now = self.clock.monotonic()
        pace.learnt_at = max(pace.learnt_at, now)
        if sound and slowdown is not None:
            slowdown = self._relative_to_cold(pace, slowdown, now)
        unsound = not sound or (slowdown or 0.0) > TOLERATED_SLOWDOWN
        # Requests sent before a change say nothing about the pace since.
        since = pace.reduced_at if unsound else pace.changed_at
        if sent_at < since or now - since < STEP_SECONDS:
            return
        if unsound:
            pace.reduced_at = now
            self._set(pace, self._reduced(pace), label="reduced")
        elif slowdown is None or slowdown <= SOUND_SLOWDOWN:
            self._grow(pace)

    def learn_report(self, rows: Iterable[PaceRow]) -> None:
        """Record what a peer knows; the later evidence decides on the pace."""
        now = self.clock.monotonic()
        for name, incarnation, per_second, cold, age in rows:
            endpoint = self._find(name, incarnation)
            if endpoint is None:
                continue
            spec = self._spec(endpoint.service)
            if spec is None:
                continue
            pace = self._known(endpoint)
            known_until = pace.cold_until if pace is not None else now
            if now + cold > known_until + COLD_TOLERANCE_SECONDS:
                self._note_cold(endpoint, spec, cold, reason="peer")
            pace = self._known(endpoint)
            if pace is not None and now - age > pace.changed_at:
                if per_second != pace.per_second:
                    # Passed on in the next rounds: one round reaches few peers.
                    pace.news_at = now
                pace.per_second = per_second
                pace.changed_at = now - age
                pace.learnt_at = max(pace.learnt_at, now)

    def export(self, *, maximum_bytes: float, news_only: bool = False) -> list[PaceRow]:
        """Return rows for a report, changes first, then those told longest ago."""
        now = self.clock.monotonic()
        self._forget(now)
        due = []
        for name, pace in self.paces.items():
            is_news = now - pace.news_at <= NEWS_SECONDS
            repeat = not news_only and now - pace.told_at >= REPEAT_SECONDS
            if pace.cold_until > now and not pace.presumed and (is_news or repeat):
                due.append((not is_news, pace.told_at, name))
        rows = []
        for _, _, name in sorted(due)[: max(int(maximum_bytes), 0) // PACE_ROW_BYTES]:
            pace = self.paces[name]
            pace.told_at = now
            cold, age = pace.cold_until - now, now - pace.changed_at
            rows.append((name, pace.incarnation, pace.per_second, cold, age))
        return rows

    def _begin_warm(self, endpoint: Endpoint, *, reason: str) -> None:
        """Begin the pace of an endpoint that has none and is not cold, or reduce it."""
        spec = self._spec(endpoint.service)
        if spec is None:
            return
        now = self.clock.monotonic()
        if self._known(endpoint) is not None:
            self.learn_answer(endpoint, None, sound=False, sent_at=now)
            return
        self._begin(endpoint, spec, until=now, reason=reason)

    def _begin(
        self, endpoint: Endpoint, spec: ServiceSpec, *, until: float, reason: str
    ) -> None:
        now = self.clock.monotonic()
        first = spec.cold_per_second * INITIAL_SHARE
        self.paces[endpoint.name] = Pace(
            incarnation=endpoint.incarnation,
            service=endpoint.service,
            per_second=first,
            began_at=now,
            changed_at=now,
            learnt_at=now,
            cold_until=until,
            news_at=now,
        )
        self.metrics.count("endpoint_paces", label="began")
        log_change(
            "pace of endpoint begins",
            endpoint=endpoint.name,
            cold_seconds=round(until - now, 3),
            per_second=round(first, 3),
            reason=reason,
        )

    def _note_cold(
        self, endpoint: Endpoint, spec: ServiceSpec, seconds: float, *, reason: str
    ) -> None:
        if not 0 < seconds:
            return
        now = self.clock.monotonic()
        until = now + min(seconds, MAXIMUM_COLD_SECONDS)
        previous = self.paces.get(endpoint.name)
        pace = self._known(endpoint)
        if pace is not None and (pace.cold_until > now or reason != "unreachable"):
            # Its pace goes on: the answers so far have shown what it takes.
            pace.cold_until = max(pace.cold_until, until)
            if reason not in LOCAL_REASONS:
                pace.presumed = False
            return
        if until - now <= COLD_TOLERANCE_SECONDS and self._ended_lately(endpoint.name):
            return
        if previous is not None and pace is None:
            until = max(until, previous.cold_until)
        self._begin(endpoint, spec, until=until, reason=reason)
        if reason not in LOCAL_REASONS:
            self.on_change()

    def _spec(self, service: str) -> ServiceSpec | None:
        """Return a service that has paces, or ``None``."""
        table = self.in_force.table
        spec = table.services.get(service) if table is not None else None
        return spec if spec is not None and spec.cold_per_second > 0 else None

    def _reads_begin(self) -> bool:
        """Return whether the registry was not read for some time before this read.

        Then a new entry may be old. Daemons that have read all the time know better.
        """
        return self.directory.reads_began_at == self.directory.last_read

    def _known(self, endpoint: Endpoint) -> Pace | None:
        pace = self.paces.get(endpoint.name)
        if pace is None or pace.incarnation != endpoint.incarnation:
            return None
        return pace

    def _ceiling(self, pace: Pace) -> float | None:
        if pace.cold_until <= self.clock.monotonic():
            return None
        spec = self._spec(pace.service)
        if spec is None:
            return None
        bounds = self.settings.bounds
        allowed = spec.cold_per_second * bounds.cold_overage + bounds.cold_slack
        # A second holds the permits of that second, those of the lifetime before it and
        # one more, times the disagreement on the number of daemons.
        window = (1 + DISAGREEMENT_SHARE) * (1 + PERMIT_LIFETIME_SECONDS)
        rate = min(allowed * SUSTAINED_SHARE, (allowed - 1) / window)
        return max(rate, MINIMUM_RATE)

    def _relative_to_cold(self, pace: Pace, slowdown: float, now: float) -> float:
        """Return the slowdown relative to that of other cold endpoints.

        An endpoint is slow while it is cold, at any rate of requests.
        """
        if pace.cold_until <= now:
            return slowdown
        usual = self.cold_slowdowns.get(pace.service, slowdown)
        step = SLOWDOWN_WEIGHT * (slowdown - usual)
        self.cold_slowdowns[pace.service] = usual + step
        return slowdown / max(usual, 1.0)

    def _grow(self, pace: Pace) -> None:
        ceiling = self._ceiling(pace)
        if ceiling is None or pace.per_second < ceiling:
            grown = pace.per_second * GROWTH_FACTOR
            self._set(
                pace, grown if ceiling is None else min(grown, ceiling), label="grown"
            )

    def _reduced(self, pace: Pace) -> float:
        spec = self._spec(pace.service)
        first = spec.cold_per_second * INITIAL_SHARE if spec is not None else 0.0
        ceiling = self._ceiling(pace)
        per_second = pace.per_second
        if ceiling is not None:
            per_second = min(per_second, ceiling)
        return max(per_second * REDUCTION_FACTOR, first * MINIMUM_SHARE)

    def _set(self, pace: Pace, per_second: float, *, label: str) -> None:
        now = self.clock.monotonic()
        pace.per_second = per_second
        pace.changed_at = pace.news_at = now
        self.metrics.count("endpoint_paces", label=label)
        if not pace.presumed:
            self.on_change()

    def _has_ended(self, endpoint: Endpoint, pace: Pace) -> bool:
        now = self.clock.monotonic()
        if pace.cold_until > now:
            return self._spec(pace.service) is None
        if now - max(pace.learnt_at, pace.cold_until) >= EXPIRY_SECONDS:
            return True
        return pace.per_second >= self._mean_rate_of_others(endpoint)

    def _mean_rate_of_others(self, endpoint: Endpoint) -> float:
        """Return the mean requests a second of the service's endpoints without a pace.

        The other daemons are taken to send as much as this one.
        """
        pool = self.directory.pool(endpoint.service)
        others = [
            e.name
            for e in (pool.endpoints if pool is not None else ())
            if e.listed and e.name not in self.paces
        ]
        if not others:
            return 0.0
        return self.outcomes.own_rate(others) * self.turns / len(others)

    def _end(self, name: str, pace: Pace) -> None:
        del self.paces[name]
        now = self.ended_at[name] = self.clock.monotonic()
        self.metrics.count("endpoint_paces", label="ended")
        self.metrics.record("pace_seconds", now - pace.began_at)
        log_change(
            "pace of endpoint ends",
            endpoint=name,
            seconds=round(now - pace.began_at, 3),
            per_second=round(pace.per_second, 3),
        )

    def _find(self, name: str, incarnation: str) -> Endpoint | None:
        """Return the endpoint that a row is about.

        This daemon may not have read yet that an endpoint has started again. Then the
        row is about the process that answers under the name.
        """
        table = self.directory.table
        if (name, incarnation) in table.departed:
            return None
        return table.endpoints.get(name)

    def _ended_lately(self, name: str) -> bool:
        """Return whether a pace ended so lately that an answer may be from before."""
        since = self.clock.monotonic() - ENDED_SECONDS
        return self.ended_at.get(name, -math.inf) >= since

    def _forget(self, now: float) -> None:
        """Drop what is known of endpoints that the registry does not list."""
        listed = self.directory.table.endpoints
        for name, pace in list(self.paces.items()):
            if name not in listed and now - pace.learnt_at >= EXPIRY_SECONDS:
                del self.paces[name]
        for kept in (self.entries_read, self.ended_at):
            for name in [name for name in kept if name not in listed]:
                del kept[name]


def _do_nothing() -> None:
    """Do nothing; the default action on a change."""

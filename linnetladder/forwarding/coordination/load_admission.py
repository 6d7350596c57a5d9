"""Refusal of requests that can't be served by their deadline.

When a request arrives, the time in which it is expected to be served is computed from
the backlog, the slots and the memory of the endpoints that may run it, and compared
with its deadline. The objective does not count: a late answer still has some worth.

The expected time is an estimate. Requests are refused when they would miss the deadline
by a clear margin. The margin follows what happens to the requests that are admitted
while room is short: it shrinks while they miss their deadlines.

All daemons decide by loads that are some seconds old, so that they would admit too many
and then too few together. Near the limit, each admits the share of the requests for
which there is room, by the demand that all report.
"""

import dataclasses
import enum
import math

import xxhash

from linnetladder.errors import ErrorKind, Refusal
from linnetladder.forwarding.coordination.account_shares import (
    AccountShares,
    share_for,
)
from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads, PeerSums
from linnetladder.forwarding.coordination.room import EndpointRoom
from linnetladder.forwarding.coordination.selection import Selection, SelectionInputs
from linnetladder.forwarding.coordination.service_demand import Demand, ServiceDemand
from linnetladder.forwarding.state import ForwardRequest
from linnetladder.state import Clock, Endpoint
from linnetladder.telemetry import Metrics, log_change

__all__ = [
    "LoadAdmission",
    "LoadEstimate",
    "ServiceShortage",
    "ShedReason",
    "retry_after",
]

# Room is short while the expected wait is over this share of the route's objective.
SHORTAGE_SHARE = 0.5
# Requests whose expected time is over this multiple of the time left are refused.
CLEAR_MARGIN = 1.3
# While callers send more than can be served, the multiple falls to this one within a
# time. Room then never stays unused, and who is admitted beyond it is cut off late.
OVERLOAD_MARGIN = 0.75
OVERLOAD_SECONDS = 1.5
# Lowest factor of the multiple that misses may lead to.
MINIMUM_FACTOR = 0.7
# Relative steps of the factor, downwards with each admitted request that missed its
# deadline, upwards with each one that was served although its expected time was at
# least a share of what is allowed. They balance at one miss in twenty-five.
MISS_STEP = 0.05
SERVED_STEP = 0.002
NEAR_SHARE = 0.7
# Without a shortage for this long, what was learned in the last one is forgotten.
SHORTAGE_MEMORY_SECONDS = 10.0
# A shortage ends after this time without a wait as long. Requests are still admitted by
# turns until then, or all daemons would admit too many at once.
SHORTAGE_END_SECONDS = 3.0
# Shedding ends after this time without a refused request.
SHEDDING_END_SECONDS = 2.0
# Near the limit, requests are refused by turns so that what lies beyond it is served in
# this time, or in that by which reports are old.
SETTLING_SECONDS = 0.5
# While callers send more than can be served, at least this share of that is admitted,
# however long the wait seems: reports may be older than they look, and room would stay
# unused.
MINIMUM_SERVED_SHARE = 0.3
# Shortest half-life of the mean share of requests that are admitted. It is as long as
# reports are old.
SHARE_HALF_LIFE_SECONDS = 0.5
# With recent reports of a smaller share of the peers, the load is not known.
MINIMUM_HEARD = 0.15
# Bounds of the time over which callers that were refused are spread, and of the time
# until the first of them may return.
MINIMUM_SPREAD_SECONDS = 1.0
MAXIMUM_SPREAD_SECONDS = 30.0
MINIMUM_RETRY_SECONDS = 0.25
# Share of the spread in which urgent callers return, and after which others do.
URGENT_SPREAD = 0.5
OTHERS_FROM = 0.25
# Half-life of the counts of admitted and refused requests.
COUNT_HALF_LIFE_SECONDS = 2.0
HASH_RANGE = 1 << 64  # Number of values of a 64-bit hash.
URGENT_PRIORITY = 0


class ShedReason(enum.StrEnum):
    """Why a request is refused on arrival."""

    DEADLINE = "deadline"
    SHARE = "share"


@dataclasses.dataclass(slots=True)
class ServiceShortage:
    """What is known of a service while room is short.

    ``factor`` of the margin follows from what admitted requests met. Callers have been
    sending more than can be served since ``overload_since``.
    ``admitted`` and ``refused`` are decayed counts of requests as of ``counted_at``.
    ``share`` is the mean share of requests that were admitted lately.
    """

    factor: float = 1.0
    overload_since: float = math.inf
    short_at: float = -math.inf
    refused_at: float = -math.inf
    shedding: bool = False
    refusals: int = 0
    admitted: float = 0.0
    refused: float = 0.0
    counted_at: float = 0.0
    share: float = 1.0
    share_at: float = -math.inf

    def note_short(self, now: float) -> None:
        """Record that room is short now."""
        if now - self.short_at > SHORTAGE_MEMORY_SECONDS:
            self.factor = 1.0
            self.admitted = self.refused = 0.0
            self.share = 1.0
        self.short_at = now

    def learn_end(self, expected_share: float, *, served: bool) -> None:
        """Record how an admitted request ended, with its share of the time left."""
        if not served:
            self.factor = max(self.factor * (1.0 - MISS_STEP), MINIMUM_FACTOR)
        elif expected_share >= OVERLOAD_MARGIN * self.factor * NEAR_SHARE:
            self.factor = min(self.factor * (1.0 + SERVED_STEP), 1.0)

    def note_demand(self, now: float, *, overloaded: bool) -> None:
        """Record whether callers send more than can be served."""
        self.overload_since = min(self.overload_since, now) if overloaded else math.inf

    def margin(self, now: float) -> float:
        """Return the multiple of the time left that the expected time may reach."""
        overload_seconds = max(now - self.overload_since, 0.0)
        progress = min(overload_seconds / OVERLOAD_SECONDS, 1.0)
        margin = CLEAR_MARGIN + (OVERLOAD_MARGIN - CLEAR_MARGIN) * progress
        return margin * self.factor

    def add_share(self, now: float, share: float, *, age: float) -> None:
        """Add the share of requests that is admitted now to the mean over an age."""
        half_life = max(age, SHARE_HALF_LIFE_SECONDS)
        weight = 1.0 - 0.5 ** ((now - self.share_at) / half_life)
        self.share_at = now
        self.share += (share - self.share) * weight

    def count(self, now: float, *, refused: bool) -> None:
        """Count a request that was admitted or refused while room was short."""
        decay = 0.5 ** ((now - self.counted_at) / COUNT_HALF_LIFE_SECONDS)
        self.counted_at = now
        self.admitted = self.admitted * decay + (not refused)
        self.refused = self.refused * decay + refused

    def spread_seconds(self, wait: float) -> float:
        """Return the time in which there is room for those that are refused now."""
        ratio = 1.0 + self.refused / max(self.admitted, 1.0)
        return min(max(wait * ratio, MINIMUM_SPREAD_SECONDS), MAXIMUM_SPREAD_SECONDS)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadEstimate:
    """The expected wait for an endpoint, and what follows from it.

    ``over_share`` is set if room is short and the request's account uses more than its
    share.
    """

    expected_wait_seconds: float
    room_is_short: bool
    over_share: bool


class LoadAdmission:
    """Refuses requests for which there is no room before their deadline."""

    def __init__(
        self,
        *,
        selection: Selection,
        loads: EndpointLoads,
        room: EndpointRoom,
        demand: ServiceDemand,
        shares: AccountShares,
        clock: Clock,
        metrics: Metrics,
    ):
        self.selection = selection
        self.loads = loads
        self.room = room
        self.demand = demand
        self.shares = shares
        self.clock = clock
        self.metrics = metrics
        self.shortages: dict[str, ServiceShortage] = {}
        self.expected_wait = 0.0
        demand.is_full = self.is_full
        metrics.gauge(
            "expected_wait_seconds",
            "Expected wait of the last request for an endpoint",
            self._read_expected_wait,
        )

    def refuse(
        self, request: ForwardRequest, inputs: SelectionInputs, model: str
    ) -> Refusal | None:
        """Return a refusal, or ``None`` to admit a request that has just arrived."""
        now = self.clock.monotonic()
        self._end_shedding(now)
        service, account = request.service, request.account_name
        wait = self.expected_wait = self._expected_wait(inputs)
        shortage = self.shortages.setdefault(service, ServiceShortage())
        is_short = wait > request.route.objective_seconds * SHORTAGE_SHARE
        if is_short:
            shortage.note_short(now)
        is_over = is_short and self.shares.is_over(service, account)
        urgent = request.priority <= URGENT_PRIORITY and not is_over
        remaining = max(request.deadline - now, 0.0)
        seconds = self._service_seconds(request, model)
        if is_over and request.priority > URGENT_PRIORITY:
            reason = ShedReason.SHARE
            return self._shed(request, shortage, reason, wait, seconds, remaining)
        self.demand.count(service, urgent=urgent)
        demand = self.demand.total(service)
        if wait <= 0 or now - shortage.short_at > SHORTAGE_END_SECONDS:
            shortage.add_share(now, 1.0, age=demand.age)
            self.shares.note_admitted(service, account, seconds)
            return None
        rate = sum(map(self.room.requests_per_second, self.selection.eligible(inputs)))
        wait = max(wait + predicted_growth(demand, rate, shortage.share), 0.0)
        request.expected_share = (wait + seconds) / max(remaining, 1e-9)
        shortage.note_demand(now, overloaded=demand.exceeds(rate))
        slack = shortage.margin(now) * remaining - wait - seconds
        share = admitted_share(demand, rate, slack)
        shortage.add_share(now, share, age=demand.age)
        if urgent:
            # Endpoints may serve them first, so only their own demand counts.
            share = 1.0 if demand.urgent <= rate or slack >= 0 else 0.0
        else:
            share = share_for(share, self.shares.relative_use(service, account))
        if _draw(request) >= share:
            reason = ShedReason.DEADLINE
            return self._shed(request, shortage, reason, wait, seconds, remaining)
        shortage.count(now, refused=False)
        self.shares.note_admitted(service, account, seconds)
        return None

    def explain(self, request: ForwardRequest, inputs: SelectionInputs) -> LoadEstimate:
        """Return what decides on a request, without counting it.

        While room is short, whether one request is refused also depends on its id.
        """
        wait = self._expected_wait(inputs)
        is_short = wait > request.route.objective_seconds * SHORTAGE_SHARE
        is_over = self.shares.is_over(request.service, request.account_name)
        return LoadEstimate(
            expected_wait_seconds=wait,
            room_is_short=is_short,
            over_share=is_short and is_over,
        )

    def learn_end(self, request: ForwardRequest, *, served: bool) -> None:
        """Record once whether an admitted request was served by its deadline."""
        if request.expected_share > 0:
            shortage = self.shortages[request.service]
            shortage.learn_end(request.expected_share, served=served)
            request.expected_share = 0.0

    def is_full(self, service: str) -> bool:
        """Return whether a request would have to wait at each endpoint of a service.

        This is asked for each report, also where few requests arrive. Brittle endpoints
        let none wait.
        """
        pool = self.selection.directory.pool(service)
        endpoints = [] if pool is None else pool.endpoints
        listed = [e for e in endpoints if e.listed and not e.leaving]
        if service in self.shortages:
            rate = sum(map(self.room.requests_per_second, listed))
            self.shortages[service].note_demand(
                self.clock.monotonic(),
                overloaded=self.demand.total(service).exceeds(rate),
            )
        brittleness = self.selection.availability.brittleness
        if any(brittleness.limit_of(e) is not None for e in listed):
            return False
        times = self.room.times_of(service)
        tokens = times.tokens if times is not None else 0.0
        sums = self.loads.peer_sums()
        return bool(listed) and all(
            self.room.seconds_until_room(endpoint, tokens, sums) > 0
            for endpoint in listed
        )

    def _expected_wait(self, inputs: SelectionInputs) -> float:
        """Return the shortest expected wait at any endpoint, 0 if little is known.

        The sums over all peers change slowly in large fleets and those over recent
        reports are of few daemons. The lower one counts.
        """
        endpoints = self.selection.eligible(inputs)
        wait = self._shortest(endpoints, inputs, self.loads.peer_sums())
        if wait <= 0:
            return 0.0
        recent = self.loads.recent_sums()
        if recent.heard < MINIMUM_HEARD:
            return 0.0
        return min(wait, self._shortest(endpoints, inputs, recent))

    def _shortest(
        self, endpoints: list[Endpoint], inputs: SelectionInputs, sums: PeerSums
    ) -> float:
        return min(
            (
                self.room.seconds_until_room(endpoint, inputs.cache_tokens, sums)
                for endpoint in endpoints
            ),
            default=0.0,
        )

    def _service_seconds(self, request: ForwardRequest, model: str) -> float:
        """Return the expected time from the beginning of a request to its end."""
        times = self.room.times_of(request.service)
        prompt = request.head.prompt
        if prompt is None:
            return times.held if times is not None else 0.0
        per_token = times.per_token if times is not None else 0.0
        if times is not None and not per_token:
            return times.held
        unread = max(prompt.input_tokens - prompt.common_tokens, 0)
        prefill = unread * self.loads.token_seconds(model)
        return prefill + prompt.output_tokens * per_token

    def _shed(
        self,
        request: ForwardRequest,
        shortage: ServiceShortage,
        reason: ShedReason,
        wait: float,
        seconds: float,
        remaining: float,
    ) -> Refusal:
        """Count a refusal and return it.

        The request was expected to wait and then to run for some seconds.
        """
        now = shortage.refused_at = self.clock.monotonic()
        shortage.count(now, refused=True)
        expected = wait + seconds
        shortage.refusals += 1
        self.metrics.count("shed", label=reason)
        if not shortage.shedding:
            shortage.shedding = True
            log_change(
                "shedding begins",
                service=request.service,
                reason=str(reason),
                expected_wait=round(wait, 3),
            )
        request.history.append(f"expected {expected:.2f} s of {remaining:.2f} s")
        retry_seconds = retry_after(
            f"{request.head.attempt_id}\0{request.fingerprint}",
            first=max(expected - remaining, MINIMUM_RETRY_SECONDS),
            spread=shortage.spread_seconds(wait),
            urgent=request.priority <= URGENT_PRIORITY,
        )
        detail = (
            f"service {request.service!r} is expected to serve the request in "
            f"{expected:.2f} s, and {remaining:.2f} s are left"
        )
        kind = ErrorKind.DEADLINE_UNREACHABLE
        if reason is ShedReason.SHARE:
            kind = ErrorKind.OVERLOADED
            detail = (
                f"service {request.service!r} has little room, and the client account "
                f"uses more than its share"
            )
        return Refusal(kind, detail, retry_after_seconds=retry_seconds)

    def _end_shedding(self, now: float) -> None:
        for service, shortage in self.shortages.items():
            if shortage.shedding and now - shortage.refused_at > SHEDDING_END_SECONDS:
                shortage.shedding = False
                log_change("shedding ends", service=service, refused=shortage.refusals)
                shortage.refusals = 0

    def _read_expected_wait(self) -> float:
        self._end_shedding(self.clock.monotonic())
        return self.expected_wait


def predicted_growth(demand: Demand, rate: float, share: float) -> float:
    """Return by how many seconds the wait has grown since the reports were sent.

    ``rate`` is the number of requests a second that are served, and ``share`` the
    part of the requests that daemons have admitted.

    Examples
    --------
    >>> predicted_growth(Demand(others=30.0, urgent=0.0, age=0.5), 10.0, 1.0)
    1.0
    """
    if rate <= 0 or demand.age <= 0:
        return 0.0
    admitted = demand.others * share + demand.urgent
    return (admitted / rate - 1.0) * demand.age


def admitted_share(demand: Demand, rate: float, slack: float) -> float:
    """Return the share of the requests that are not urgent for which there is room.

    ``slack`` is the time by which the expected time is below what is allowed.

    Examples
    --------
    >>> admitted_share(Demand(others=30.0, urgent=5.0, age=0.5), 20.0, 0.0)
    0.5
    >>> admitted_share(Demand(others=30.0, urgent=5.0, age=0.5), 20.0, 1.0)
    1.0
    """
    if rate <= 0:
        return 1.0 if slack >= 0 else 0.0
    used = 1.0 + slack / max(SETTLING_SECONDS, demand.age)
    if demand.exceeds(rate):
        used = max(used, MINIMUM_SERVED_SHARE)
    free = rate * used - demand.urgent
    return min(max(free / max(demand.others, 1e-9), 0.0), 1.0)


def _draw(request: ForwardRequest) -> float:
    """Return a number from 0 to 1 that is fixed for a request."""
    key = f"{request.head.attempt_id}\0{request.fingerprint}"
    return xxhash.xxh64_intdigest(key.encode(), seed=1) / HASH_RANGE


def retry_after(key: str, *, first: float, spread: float, urgent: bool) -> float:
    """Return after how many seconds a caller should return.

    Callers are spread by the hash of a key, urgent ones over the earlier part.

    Examples
    --------
    >>> retry_after("a", first=1.0, spread=4.0, urgent=True) < 3.0
    True
    >>> 2.0 <= retry_after("a", first=1.0, spread=4.0, urgent=False) < 5.0
    True
    """
    drawn = xxhash.xxh64_intdigest(key.encode()) / HASH_RANGE
    if urgent:
        return first + spread * URGENT_SPREAD * drawn
    return first + spread * (OTHERS_FROM + (1.0 - OTHERS_FROM) * drawn)

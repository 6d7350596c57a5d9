"""Which version of a service a request may run on while a roll-out is under way.

Each order has a record in the platform's store. Any daemon may move it forward, by a
write that holds only over the revision it read, so no lease is needed and whoever is
left goes on where another stopped. The share of sessions on the new version follows
from the record's moments and the session's hash alone, so that daemons agree on each
session's version without a word between them.
"""

import asyncio
import dataclasses
import random

from linnetladder.forwarding.coordination.budget import RetryBudget
from linnetladder.forwarding.coordination.canary_analysis import (
    ALL_ROUTES,
    CanaryAnalysis,
)
from linnetladder.forwarding.coordination.directory import EndpointDirectory, version_of
from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads
from linnetladder.forwarding.coordination.rollout_schedule import (
    ACTIVATION_DELAY_SECONDS,
    COMPLETE_EARLIEST_FRACTION,
    COMPLETE_LATEST_FRACTION,
    FULL_DELAY_FRACTION,
    ORDER_LAG_SECONDS,
    RAMP_START_FRACTION,
    RolloutSchedule,
    session_fraction,
)
from linnetladder.forwarding.coordination.sources import OperatorSource
from linnetladder.forwarding.state import RolloutOrder, RolloutPhase, RolloutRecord
from linnetladder.state import Clock, Endpoint
from linnetladder.telemetry import Metrics, log_change

__all__ = ["Rollouts", "VersionRule"]

# Requests a second on the candidate while it has shown nothing yet. The sessions that
# move to it at the start are as many as these requests have repeats within a session's
# time, so the figure does not grow with the traffic.
CANARY_REQUESTS_PER_SECOND = 1.1
MAXIMUM_CANARY_SHARE = 0.08
MINIMUM_CANARY_SHARE = 0.002
# What a daemon is taken to get at least when an order comes before its traffic.
MINIMUM_REQUESTS_PER_SECOND_PER_DAEMON = 2.5
RATE_WINDOW_SECONDS = 2.0
# A daemon that was started anew has lost its own verdicts. It gives no version a larger
# share before it has heard those of its peers, which tell them every 0.4 s.
PEER_REPORT_WAIT_SECONDS = 2.0
# A log likelihood ratio at which a version counts as bad: one false alarm in e^8.
ROLLBACK_EVIDENCE = 8.0
# Above this one a version gets no larger share until more answers have come in.
HOLD_EVIDENCE = 1.5
HOLD_LATEST_FRACTION = 0.74
# A part of the sessions gives this many answers within a second or two where the old
# version gives ten times as many, unless the new one hardly answers.
MINIMUM_ANSWERS = 6.0
BASELINE_ANSWERS_RATIO = 10.0
# Daemons that see the same step to take wait differently long, so that the first one's
# news spares the others their writes.
STEP_JITTER_SECONDS = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class VersionRule:
    """What holds for one request: a version it must avoid, or prefer.

    ``only_target`` and ``avoid_target`` exclude each other; both are false where
    nothing is being rolled out.
    """

    target: str = ""
    only_target: bool = False
    avoid_target: bool = False

    def allows(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint may run the request."""
        if not self.target:
            return True
        is_target = version_of(endpoint) == self.target
        if self.only_target:
            return is_target
        return not (self.avoid_target and is_target)


class RolloutController:
    """Follow orders, choose versions, and move the records forward."""

    def __init__(
        self,
        *,
        source: OperatorSource,
        directory: EndpointDirectory,
        analysis: CanaryAnalysis,
        loads: EndpointLoads,
        budget: RetryBudget,
        clock: Clock,
        metrics: Metrics,
        seed: int,
    ):
        self.source = source
        self.directory = directory
        self.analysis = analysis
        self.loads = loads
        self.budget = budget
        self.daemons = 1
        self.clock = clock
        self.metrics = metrics
        self.random = random.Random(seed)
        self.orders: dict[str, RolloutOrder] = {}
        self.records: dict[str, RolloutRecord] = {}
        self.schedule = RolloutSchedule(clock=clock)
        self.first_seen: dict[tuple[str, int], float] = {}
        self.bad_targets: set[tuple[str, int]] = set()

    def update_orders(self, orders: tuple[RolloutOrder, ...]) -> None:
        """Take in the operator's orders."""
        for order in orders:
            current = self.orders.get(order.service)
            if current is None or order.revision > current.revision:
                self.orders[order.service] = order
                key = (order.service, order.revision)
                self.first_seen[key] = self.clock.monotonic()
                log_change(
                    "roll-out ordered",
                    service=order.service,
                    target=order.target,
                    seconds=order.duration_seconds,
                    revision=order.revision,
                )

    def update_records(self, records: tuple[RolloutRecord, ...]) -> None:
        """Take in the records as the store holds them."""
        for record in records:
            current = self.records.get(record.service)
            if current is not None and record.revision <= current.revision:
                continue
            self.records[record.service] = record
            log_change(
                "roll-out phase",
                service=record.service,
                target=record.target,
                phase=record.phase,
                revision=record.revision,
            )

    def active(self) -> list[RolloutOrder]:
        """Return the orders that have no final record."""
        found = []
        for service, order in self.orders.items():
            record = self._current_record(service)
            if record is None or not record.phase.is_final:
                found.append(order)
        return found

    def rule_for(self, service: str, session: str) -> VersionRule:
        """Return the versions that a request of a session may run on."""
        order = self.orders.get(service)
        if order is None:
            return VersionRule()
        record = self._current_record(service)
        if record is None or self._is_bad(order):
            return VersionRule(order.target, avoid_target=True)
        if session_fraction(order, session) < self.schedule.share(order, record):
            return VersionRule(order.target, only_target=True)
        return VersionRule(order.target, avoid_target=True)

    def is_rollout_target(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint runs a version that is being brought in."""
        order = self.orders.get(endpoint.service)
        if order is None or version_of(endpoint) != order.target:
            return False
        record = self._current_record(endpoint.service)
        return record is None or record.phase is not RolloutPhase.COMPLETE

    def newest_revision(self) -> int:
        """Return the newest revision of any order or record known here."""
        revisions = [order.revision for order in self.orders.values()]
        revisions += [record.revision for record in self.records.values()]
        return max(revisions, default=0)

    def export_bad_targets(self) -> list[tuple[str, int]]:
        """Return the orders whose target was found bad here."""
        return sorted(self.bad_targets)

    def add_bad_targets(self, found: list[tuple[str, int]]) -> None:
        """Believe a peer that found a target bad."""
        for service, revision in found:
            self._mark_bad(service, revision, reason="peer")

    async def step(self) -> bool:
        """Judge and move each order that is under way; true if one was written."""
        wrote = False
        for order in self.active():
            self._detect_bad_target(order)
            if self._next_record(order) is None:
                continue
            await asyncio.sleep(self.random.uniform(0.0, STEP_JITTER_SECONDS))
            next_record = self._next_record(order)
            if next_record is not None:
                await self._write(order, next_record)
                wrote = True
        return wrote

    def _detect_bad_target(self, order: RolloutOrder) -> None:
        """Mark a target as bad when its answers show it."""
        if self._is_bad(order):
            return
        for finding in self.analysis.findings(order):
            if finding.evidence >= ROLLBACK_EVIDENCE:
                self._mark_bad(
                    order.service,
                    order.revision,
                    reason="answers",
                    **dataclasses.asdict(finding),
                )
                return

    def _is_suspect(self, order: RolloutOrder) -> bool:
        """Tell whether a target's answers speak against it, if not yet clearly."""
        return any(f.evidence >= HOLD_EVIDENCE for f in self.analysis.findings(order))

    def _has_too_few_answers(self, order: RolloutOrder) -> bool:
        """Tell whether a target owes answers that would tell whether it is slow."""
        return any(
            finding.route == ALL_ROUTES
            and finding.total < MINIMUM_ANSWERS
            and finding.usual_total >= MINIMUM_ANSWERS * BASELINE_ANSWERS_RATIO
            for finding in self.analysis.findings(order)
        )

    def _mark_bad(
        self, service: str, revision: int, *, reason: str, **evidence: object
    ) -> None:
        if (service, revision) in self.bad_targets:
            return
        self.bad_targets.add((service, revision))
        self.metrics.count("versions_pulled")
        log_change(
            "version found bad",
            service=service,
            order=revision,
            reason=reason,
            **evidence,
        )

    def _is_bad(self, order: RolloutOrder) -> bool:
        record = self._current_record(order.service)
        if record is not None and record.phase is RolloutPhase.ROLLED_BACK:
            return True
        if record is not None and record.phase is RolloutPhase.COMPLETE:
            return False
        return (order.service, order.revision) in self.bad_targets

    def _current_record(self, service: str) -> RolloutRecord | None:
        """Return the record of a service's present order."""
        record = self.records.get(service)
        order = self.orders.get(service)
        if record is None or order is None:
            return None
        return record if record.order_revision == order.revision else None

    def _next_record(self, order: RolloutOrder) -> RolloutRecord | None:
        """Return the record that should follow the present one, if any."""
        record = self._current_record(order.service)
        if record is None:
            return self._first_record(order)
        if self._is_bad(order):
            return dataclasses.replace(record, phase=RolloutPhase.ROLLED_BACK)
        if self._awaits_peer_reports(order):
            return None
        if record.phase is RolloutPhase.CANARY:
            return self._advance_canary(order, record)
        if record.phase is RolloutPhase.RAMP:
            return self._advance_ramp(order, record)
        if self.schedule.share(order, record) >= 1.0 and self._may_complete(
            order, record
        ):
            return dataclasses.replace(record, phase=RolloutPhase.COMPLETE)
        return None

    def _awaits_peer_reports(self, order: RolloutOrder) -> bool:
        """Tell whether peers may know of an order what is not known here yet."""
        seen = self.first_seen[(order.service, order.revision)]
        return self.clock.monotonic() - seen < PEER_REPORT_WAIT_SECONDS

    def _advance_canary(
        self, order: RolloutOrder, record: RolloutRecord
    ) -> RolloutRecord | None:
        elapsed = self.schedule.seconds_since(order, record.ordered_unix)
        if (
            elapsed
            < order.duration_seconds * RAMP_START_FRACTION - ACTIVATION_DELAY_SECONDS
        ):
            return None
        if self._is_suspect(order):
            return self._hold_or_roll_back(order, record, elapsed)
        return dataclasses.replace(
            record, phase=RolloutPhase.RAMP, ramp_unix=self._activation_time()
        )

    def _advance_ramp(
        self, order: RolloutOrder, record: RolloutRecord
    ) -> RolloutRecord | None:
        ramp_elapsed = self.schedule.seconds_since(order, record.ramp_unix)
        if ramp_elapsed < order.duration_seconds * FULL_DELAY_FRACTION:
            return None
        if self._is_suspect(order) or self._has_too_few_answers(order):
            elapsed = self.schedule.seconds_since(order, record.ordered_unix)
            return self._hold_or_roll_back(order, record, elapsed)
        return dataclasses.replace(
            record, phase=RolloutPhase.FULL, full_unix=self._activation_time()
        )

    def _activation_time(self) -> float:
        """Return a moment by which all daemons have read a step written now."""
        return round(self.clock.unix() + ACTIVATION_DELAY_SECONDS, 3)

    def _hold_or_roll_back(
        self, order: RolloutOrder, record: RolloutRecord, elapsed: float
    ) -> RolloutRecord | None:
        """Wait for more answers of a suspect, and give it up when time runs out."""
        if elapsed < order.duration_seconds * HOLD_LATEST_FRACTION:
            return None
        self._mark_bad(order.service, order.revision, reason="still in doubt")
        return dataclasses.replace(record, phase=RolloutPhase.ROLLED_BACK)

    def _first_record(self, order: RolloutOrder) -> RolloutRecord:
        current = self.records.get(order.service)
        now = self.clock.unix()
        return RolloutRecord(
            service=order.service,
            target=order.target,
            order_revision=order.revision,
            phase=RolloutPhase.CANARY,
            ordered_unix=round(now, 3),
            canary_unix=self._activation_time(),
            canary_share=self._canary_share(order.service),
            revision=current.revision if current is not None else 0,
        )

    def _canary_share(self, service: str) -> float:
        """Return the share of sessions that makes the canary's requests a second."""
        own_rate = self.budget.request_rate(service, seconds=RATE_WINDOW_SECONDS)
        rate = max(own_rate, MINIMUM_REQUESTS_PER_SECOND_PER_DAEMON) * self.daemons
        share = CANARY_REQUESTS_PER_SECOND / rate
        return round(min(max(share, MINIMUM_CANARY_SHARE), MAXIMUM_CANARY_SHARE), 4)

    def _may_complete(self, order: RolloutOrder, record: RolloutRecord) -> bool:
        """Tell whether the old version's endpoints may be stopped."""
        elapsed = self.schedule.seconds_since(order, record.ordered_unix)
        if elapsed < order.duration_seconds * COMPLETE_EARLIEST_FRACTION:
            return False
        since_order = elapsed + ORDER_LAG_SECONDS
        if since_order >= order.duration_seconds * COMPLETE_LATEST_FRACTION:
            return True
        pool = self.directory.pool(order.service)
        if pool is None:
            return False
        old = [e for e in pool.endpoints if version_of(e) != order.target]
        return not any(self.loads.in_flight_of(endpoint) for endpoint in old)

    async def _write(self, order: RolloutOrder, record: RolloutRecord) -> None:
        """Write a step, then read what holds; another daemon may have been first."""
        written = await self.source.write_rollout(record)
        self.metrics.count("rollout_writes")
        log_change(
            "roll-out step",
            service=order.service,
            phase=record.phase,
            over_revision=record.revision,
            outcome=str(written),
            findings=[
                dataclasses.asdict(f)
                for f in self.analysis.findings(order)
                if f.total > 0 or f.timed > 0
            ],
        )

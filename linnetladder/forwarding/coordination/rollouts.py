"""Roll-outs: choosing the version for each session and advancing the phases.

Each order has a record in the platform's store. Any daemon may advance it by a write
that is conditional on the revision that it read (compare-and-swap), so no lease is
needed and the remaining daemons continue when one stops. Whether a session runs on the
new version depends only on the record's activation times and the session's hash, so all
daemons choose the same version without communication.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from linnetladder.forwarding.coordination.budget import RetryBudget
from linnetladder.forwarding.coordination.canary_analysis import (
    ALL_ROUTES,
    CanaryAnalysis,
)
from linnetladder.forwarding.coordination.directory import (
    EndpointDirectory,
    group_name,
    version_of,
)
from linnetladder.forwarding.coordination.endpoint_load import EndpointLoads
from linnetladder.forwarding.coordination.rollout_orders import OrderBook
from linnetladder.forwarding.coordination.rollout_records import RecordBook
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
from linnetladder.forwarding.coordination.version_rule import VersionRule
from linnetladder.forwarding.state import RolloutOrder, RolloutPhase, RolloutRecord
from linnetladder.state import Clock, Endpoint
from linnetladder.telemetry import Metrics, log_change

__all__ = ["RolloutController"]

# Requests per second of the whole fleet on the target in the canary phase. How many
# sessions move to the target at the start follows from this rate and from how often a
# session sends requests, so it does not grow with the traffic.
CANARY_REQUESTS_PER_SECOND = 1.1
MAXIMUM_CANARY_SHARE = 0.08
MINIMUM_CANARY_SHARE = 0.002
# Lower bound on a daemon's request rate, for an order that comes before the traffic.
MINIMUM_REQUESTS_PER_SECOND_PER_DAEMON = 2.5
RATE_WINDOW_SECONDS = 2.0
# A restarted daemon has lost the list of targets that it found bad. It advances no
# roll-out before it can have received its peers' lists, which they send every 0.4 s.
PEER_REPORT_WAIT_SECONDS = 2.0
# Log likelihood ratio from which a target is bad; the false alarm rate is 1 in e^8.
ROLLBACK_EVIDENCE = 8.0
# Log likelihood ratio from which a target is held in its phase until there are more
# answers.
HOLD_EVIDENCE = 1.5
# Log likelihood ratio from which a target is not completed, since that can't be undone.
COMPLETION_EVIDENCE = 3.0
# Fraction of the order's duration after which a held target is rolled back.
HOLD_LATEST_FRACTION = 0.74
# In the ramp phase the target gives this many answers within a second or two while the
# old version gives ten times as many; a target with fewer leaves most requests
# unanswered.
MINIMUM_ANSWERS = 6.0
BASELINE_ANSWERS_RATIO = 10.0
# Maximum random delay before a step is written. All daemons see that a step is due;
# those with a longer delay skip the write once they have read the first daemon's.
STEP_JITTER_SECONDS = 0.8


class RolloutController:
    """Chooses versions by the current orders and advances the orders' records."""

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
        self.order_book = OrderBook(clock=clock)
        self.record_book = RecordBook(orders=self.order_book)
        self.orders = self.order_book.current
        self.schedule = RolloutSchedule(clock=clock)
        self.bad_targets: set[tuple[str, int]] = set()
        self.on_bad_target: Callable[[], None] = _do_nothing

    def update_orders(self, orders: tuple[RolloutOrder, ...], *, era: int = 0) -> None:
        """Store the operator's orders as read in an era of the store."""
        self.order_book.update(orders, era=era)

    def update_records(
        self, records: tuple[RolloutRecord, ...], *, era: int = 0
    ) -> None:
        """Store the records as read in an era of the store.

        A record may name its order by another position; a bad target stays bad.
        """
        known_as = {service: order.identity for service, order in self.orders.items()}
        self.record_book.update(records, era=era)
        for service, identity in known_as.items():
            if (service, identity) in self.bad_targets:
                self.bad_targets.add((service, self.orders[service].identity))

    def active(self) -> list[RolloutOrder]:
        """Return the orders without a record in a final phase."""
        found = []
        for service, order in self.orders.items():
            record = self._current_record(service)
            if record is None or not record.phase.is_final:
                found.append(order)
        return found

    def rule_for(self, service: str, session: str) -> VersionRule:
        """Return which versions a session's requests may run on."""
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
        """Return whether an endpoint runs the target of an order that is not complete.

        A target that was rolled back counts as well.
        """
        order = self.orders.get(endpoint.service)
        if order is None or version_of(endpoint) != order.target:
            return False
        record = self._current_record(endpoint.service)
        return record is None or record.phase is not RolloutPhase.COMPLETE

    def export_bad_targets(self) -> list[tuple[str, int]]:
        """Return service and identity of orders with a bad target, for peers."""
        return sorted(self.bad_targets)

    def add_bad_targets(self, reported: list[tuple[str, int]]) -> None:
        """Mark targets as bad that a peer reports as bad."""
        for service, identity in reported:
            self._mark_bad(service, identity, reason="peer")

    async def step(self) -> bool:
        """Write again what the store has lost, then write the steps that are due.

        Return whether a write was attempted.
        """
        self.order_book.release(self.record_book.stored)
        wrote = await self._restore()
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

    async def _restore(self) -> bool:
        """Write the records again that the store has lost, also of ended roll-outs."""
        wrote = False
        for service, order in list(self.orders.items()):
            if self.record_book.lost_record(service) is None:
                continue
            await asyncio.sleep(self.random.uniform(0.0, STEP_JITTER_SECONDS))
            record = self.record_book.lost_record(service)
            if record is not None:
                await self._write(order, record)
                wrote = True
        return wrote

    def _detect_bad_target(self, order: RolloutOrder) -> None:
        """Mark a target as bad if the evidence on any route reaches the threshold."""
        if self._is_bad(order):
            return
        for finding in self.analysis.findings(order):
            if finding.evidence >= ROLLBACK_EVIDENCE:
                self._mark_bad(
                    order.service,
                    order.identity,
                    reason="answers",
                    **dataclasses.asdict(finding),
                )
                return

    def _is_suspect(self, order: RolloutOrder) -> bool:
        """Return whether the evidence on any route is enough to hold the target."""
        return self._has_evidence(order, HOLD_EVIDENCE)

    def _has_evidence(self, order: RolloutOrder, threshold: float) -> bool:
        """Return whether the evidence on any route reaches a threshold."""
        return any(f.evidence >= threshold for f in self.analysis.findings(order))

    def _has_too_few_answers(self, order: RolloutOrder) -> bool:
        """Return whether a target has too few answers to show whether it is slow."""
        return any(
            finding.route == ALL_ROUTES
            and finding.total < MINIMUM_ANSWERS
            and finding.usual_total >= MINIMUM_ANSWERS * BASELINE_ANSWERS_RATIO
            for finding in self.analysis.findings(order)
        )

    def _mark_bad(
        self, service: str, identity: int, *, reason: str, **evidence: object
    ) -> None:
        if (service, identity) in self.bad_targets:
            return
        self.bad_targets.add((service, identity))
        self.on_bad_target()
        self.metrics.count("versions_pulled")
        log_change(
            "version found bad",
            service=service,
            order=identity,
            reason=reason,
            **evidence,
        )

    def _is_bad(self, order: RolloutOrder) -> bool:
        record = self._current_record(order.service)
        if record is not None and record.phase is RolloutPhase.ROLLED_BACK:
            return True
        if record is not None and record.phase is RolloutPhase.COMPLETE:
            return False
        return (order.service, order.identity) in self.bad_targets

    def _current_record(self, service: str) -> RolloutRecord | None:
        """Return the record of a service's current order, if it has one."""
        return self.record_book.current(service)

    def _next_record(self, order: RolloutOrder) -> RolloutRecord | None:
        """Return the record of the next step if one is due."""
        record = self._current_record(order.service)
        if self._awaits_restoration():
            return None
        if record is None:
            is_outdated = self.record_book.shows_newer_order(order.service)
            return None if is_outdated else self._first_record(order)
        if self.record_book.stored.get(order.service) != record:
            return None
        # Another daemon may have written the last step while this one waited to.
        if record.phase.is_final:
            return None
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
            return self._complete(order, record)
        return None

    def _awaits_restoration(self) -> bool:
        """Return whether peers may not yet have written again what they know."""
        changed = self.order_book.era_changed_at
        return self.clock.monotonic() - changed < PEER_REPORT_WAIT_SECONDS

    def _awaits_peer_reports(self, order: RolloutOrder) -> bool:
        """Return whether the order is too new here for peers' reports to have come."""
        seen = self.order_book.first_seen[(order.service, order.identity)]
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

    def _complete(
        self, order: RolloutOrder, record: RolloutRecord
    ) -> RolloutRecord | None:
        """Return the last step, after which the old version's endpoints are stopped."""
        if self._has_evidence(order, COMPLETION_EVIDENCE):
            elapsed = self.schedule.seconds_since(order, record.ordered_unix)
            return self._hold_or_roll_back(order, record, elapsed)
        return dataclasses.replace(record, phase=RolloutPhase.COMPLETE)

    def _activation_time(self) -> float:
        """Return the Unix time by which all daemons have read a step written now."""
        return round(self.clock.unix() + ACTIVATION_DELAY_SECONDS, 3)

    def _hold_or_roll_back(
        self, order: RolloutOrder, record: RolloutRecord, elapsed: float
    ) -> RolloutRecord | None:
        """Keep the phase until there are more answers; roll back if time runs out."""
        if elapsed < order.duration_seconds * HOLD_LATEST_FRACTION:
            return None
        self._mark_bad(order.service, order.identity, reason="still in doubt")
        return dataclasses.replace(record, phase=RolloutPhase.ROLLED_BACK)

    def _first_record(self, order: RolloutOrder) -> RolloutRecord:
        stored = self.record_book.stored.get(order.service)
        now = self.clock.unix()
        return RolloutRecord(
            service=order.service,
            target=order.target,
            order_revision=order.revision,
            phase=RolloutPhase.CANARY,
            ordered_unix=round(now, 3),
            canary_unix=self._activation_time(),
            canary_share=self._canary_share(order.service),
            revision=stored.revision if stored is not None else 0,
            order_era=order.era,
            era=self.record_book.era,
        )

    def _canary_share(self, service: str) -> float:
        """Return the share of sessions that yields the canary's request rate."""
        own_rate = self.budget.request_rate(service, seconds=RATE_WINDOW_SECONDS)
        rate = max(own_rate, MINIMUM_REQUESTS_PER_SECOND_PER_DAEMON) * self.daemons
        share = CANARY_REQUESTS_PER_SECOND / rate
        return round(min(max(share, MINIMUM_CANARY_SHARE), MAXIMUM_CANARY_SHARE), 4)

    def _may_complete(self, order: RolloutOrder, record: RolloutRecord) -> bool:
        """Return whether the old version's endpoints may be stopped.

        They may once they are idle, or when the time for the roll-out runs out.
        """
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
        groups = {group_name(order.service, version_of(e)) for e in old}
        return not (
            any(self.loads.in_flight_of(endpoint) for endpoint in old)
            or any(self.loads.peers_in_flight_at_group(group) for group in groups)
        )

    async def _write(self, order: RolloutOrder, record: RolloutRecord) -> None:
        """Write a step; another daemon may have written it before.

        The caller reads the store again, whatever the outcome.
        """
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


def _do_nothing() -> None:
    """Do nothing; the default action when a target is found bad."""

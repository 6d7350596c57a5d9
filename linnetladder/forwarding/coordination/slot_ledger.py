"""Accounts of the requests that all daemons have at brittle endpoints.

The arbiter of an endpoint keeps its account and grants the slots that are free. Daemons
report absolute numbers, so the next report makes up for one that was lost.
"""

import collections
import dataclasses
import math
from collections.abc import Iterable

from linnetladder.forwarding.protocol.slot_messages import HeldSlots, SlotReport
from linnetladder.state import Clock, Endpoint

__all__ = ["SlotLedger"]

# Daemons report every 0.4 s; a daemon that has missed five reports holds nothing.
HOLDING_TTL_SECONDS = 2.0
# A new account is complete once all daemons have reported twice.
LEARNING_SECONDS = 1.0
# While an account is not complete, slots beyond this share are granted sparingly.
LEARNING_SHARE = 0.5
# Endpoints count what they turn away within a second.
REJECTION_WINDOW_SECONDS = 1.0
# Part of what an endpoint can turn away that may be used up knowingly; the rest is for
# requests that are under way.
REJECTION_SHARE = 0.5
# An endpoint that turned a request away takes no more than it held then for this long.
CEILING_SECONDS = 1.0
ACCOUNT_TTL_SECONDS = 10.0


@dataclasses.dataclass(slots=True)
class Holding:
    """What a daemon's incarnation reported last of an endpoint."""

    incarnation: str
    sequence: int
    in_use: int
    rejections: int
    reported_at: float


@dataclasses.dataclass(slots=True, kw_only=True)
class SlotAccount:
    """The account of one incarnation of an endpoint.

    It has been kept without a gap since ``began_at``. ``uncertain`` counts the slots
    that were granted while it was not complete. The endpoint takes no more than
    ``ceiling`` requests until ``ceiling_until``.
    """

    began_at: float
    updated_at: float
    holdings: dict[str, Holding] = dataclasses.field(default_factory=dict)
    rejected_at: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    uncertain: int = 0
    ceiling: int = 0
    ceiling_until: float = -math.inf

    def in_use(self, now: float) -> int:
        """Return the number of requests at the endpoint."""
        since = now - HOLDING_TTL_SECONDS
        return sum(h.in_use for h in self.holdings.values() if h.reported_at >= since)

    def recent_rejections(self, now: float) -> int:
        """Return how many requests the endpoint turned away within its window."""
        while self.rejected_at and self.rejected_at[0] < now - REJECTION_WINDOW_SECONDS:
            self.rejected_at.popleft()
        return len(self.rejected_at)


class SlotLedger:
    """Keeps accounts of endpoints by name and incarnation."""

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.accounts: dict[tuple[str, str], SlotAccount] = {}

    def learn(self, report: SlotReport) -> None:
        """Apply a daemon's report, except rows of which a newer one is known."""
        for row in report.rows:
            self._learn_row(report, row)

    def grant(
        self, endpoint: Endpoint, daemon: str, *, limit: float, known: int | None
    ) -> bool:
        """Grant a slot of an endpoint to a daemon that has reported, if one is free.

        The endpoint can turn ``limit`` requests away in a second. ``known`` is the
        number of requests in flight there by the reports on loads, ``None`` if too few
        daemons have reported.
        """
        now = self.clock.monotonic()
        account = self._account(endpoint.name, endpoint.incarnation)
        spare_rejections = limit * REJECTION_SHARE
        rejections = account.recent_rejections(now)
        if rejections and rejections >= spare_rejections:
            return False
        in_use = account.in_use(now)
        if in_use >= endpoint.capacity:
            return False
        if now < account.ceiling_until and in_use >= account.ceiling:
            return False
        if now - account.began_at < LEARNING_SECONDS:
            known = endpoint.capacity if known is None else max(known, in_use)
            if known + 1 > endpoint.capacity * LEARNING_SHARE:
                if account.uncertain + 1 > spare_rejections:
                    return False
                account.uncertain += 1
        account.holdings[daemon].in_use += 1
        return True

    def _learn_row(self, report: SlotReport, row: HeldSlots) -> None:
        now = self.clock.monotonic()
        account = self._account(row.endpoint, row.incarnation)
        known = account.holdings.get(report.sender)
        rejections = 0
        if known is not None and known.incarnation == report.incarnation:
            if report.sequence <= known.sequence:
                return
            rejections = known.rejections
        account.updated_at = now
        account.holdings[report.sender] = Holding(
            report.incarnation, report.sequence, row.in_use, row.rejections, now
        )
        if row.rejections > rejections:
            account.rejected_at.extend([now] * (row.rejections - rejections))
            account.ceiling = max(account.in_use(now), 1)
            account.ceiling_until = now + CEILING_SECONDS

    def _account(self, name: str, incarnation: str) -> SlotAccount:
        """Return an account; one that had no reports for long is begun anew."""
        now = self.clock.monotonic()
        account = self.accounts.get((name, incarnation))
        if account is None:
            self._forget_unused(now)
            account = SlotAccount(began_at=now, updated_at=now)
            self.accounts[name, incarnation] = account
        elif now - account.updated_at > HOLDING_TTL_SECONDS:
            account.began_at = account.updated_at = now
            account.uncertain = 0
        return account

    def _forget_unused(self, now: float) -> None:
        for key in _unused(self.accounts.items(), now - ACCOUNT_TTL_SECONDS):
            del self.accounts[key]


def _unused(
    accounts: Iterable[tuple[tuple[str, str], SlotAccount]], since: float
) -> list[tuple[str, str]]:
    return [key for key, account in accounts if account.updated_at < since]

"""Shares of client accounts in the time of endpoints, which count while room is short.

An account's use is the time of endpoints that its admitted requests take, as a sum that
decays, over this daemon and its peers. Accounts that use little are served first.
"""

import dataclasses
import math
from collections.abc import Iterable

from linnetladder.forwarding.coordination.decayed_sum import DecayedSum
from linnetladder.forwarding.coordination.endpoint_load import RECENT_SECONDS
from linnetladder.forwarding.coordination.service_demand import ServiceDemand
from linnetladder.state import Clock

__all__ = ["USE_ROW_BYTES", "AccountShares", "UseRow", "share_for"]

# Half-life of use. Longer ones remember what an account has used before a shortage.
HALF_LIFE_SECONDS = 3.0
# An account over this multiple of its fair share, or over this part of all use, is the
# first to be refused. With two accounts, twice the fair share would be all.
OVERUSE_FACTOR = 2.0
OVERUSE_PART = 0.75
# Use below this is forgotten.
MINIMUM_USE_SECONDS = 0.001
# Accounts of a service in a report. The use of the others is one sum, under a name that
# no account has.
MAXIMUM_ACCOUNTS = 4
OTHERS = "+"
# Upper estimate of the compressed bytes of a row in a report.
USE_ROW_BYTES = 20
# Sums over peers are computed again after this time.
REFRESH_SECONDS = 0.1

# Service, account, seconds of endpoints' time.
UseRow = tuple[str, str, float]


@dataclasses.dataclass(slots=True)
class PeerUse:
    """What a peer reported at a time of this daemon's clock."""

    received: float
    rows: list[UseRow]


class AccountShares:
    """Compares the accounts' use of a service with their fair shares."""

    def __init__(self, *, demand: ServiceDemand, clock: Clock):
        self.demand = demand
        self.clock = clock
        self.own: dict[str, dict[str, DecayedSum]] = {}
        self.reports: dict[str, PeerUse] = {}
        self.peer_sums: dict[str, dict[str, float]] = {}
        self.updated = -math.inf

    def note_admitted(self, service: str, account: str, seconds: float) -> None:
        """Add the expected time of endpoints that an admitted request takes."""
        uses = self.own.setdefault(service, {})
        use = uses.setdefault(account, DecayedSum(HALF_LIFE_SECONDS))
        use.add(self.clock.monotonic(), seconds)

    def relative_use(self, service: str, account: str) -> float:
        """Return an account's use as a multiple of its fair share.

        The fair share is the use of all accounts, divided by their number.
        """
        uses = self._uses(service)
        total = sum(uses.values())
        accounts = len(uses.keys() | {account}) - (OTHERS in uses)
        if accounts < 2 or total <= 0:
            return 1.0
        return uses.get(account, 0.0) * accounts / total

    def is_over(self, service: str, account: str) -> bool:
        """Return whether an account is the first to be refused while room is short."""
        uses = self._uses(service)
        own_part = uses.get(account, 0.0) / max(sum(uses.values()), MINIMUM_USE_SECONDS)
        relative_use = self.relative_use(service, account)
        if relative_use <= 1.0:
            return False
        return relative_use > OVERUSE_FACTOR or own_part > OVERUSE_PART

    def export(self, *, maximum_bytes: float) -> list[UseRow]:
        """Return rows for a report: the largest accounts of services that are full."""
        now = self.clock.monotonic()
        rows: list[UseRow] = []
        for service in self.demand.full_services():
            uses = self._own_uses(service, now)
            largest = sorted(uses, key=uses.__getitem__, reverse=True)
            kept, others = largest[:MAXIMUM_ACCOUNTS], largest[MAXIMUM_ACCOUNTS:]
            rows += [(service, account, uses[account]) for account in kept]
            if others:
                rows.append((service, OTHERS, sum(map(uses.__getitem__, others))))
        return rows[: int(max(maximum_bytes, 0.0) // USE_ROW_BYTES)]

    def learn(self, peer: str, rows: Iterable[UseRow]) -> None:
        """Replace what a peer reported."""
        self.reports[peer] = PeerUse(self.clock.monotonic(), list(rows))

    def _uses(self, service: str) -> dict[str, float]:
        """Return the use by account over this daemon and its peers."""
        uses = dict(self._peer_sums().get(service, {}))
        for account, use in self._own_uses(service, self.clock.monotonic()).items():
            uses[account] = uses.get(account, 0.0) + use
        return uses

    def _own_uses(self, service: str, now: float) -> dict[str, float]:
        uses = self.own.get(service, {})
        current = {account: use.at(now) for account, use in uses.items()}
        for account, use in current.items():
            if use < MINIMUM_USE_SECONDS:
                del uses[account]
        return {a: use for a, use in current.items() if use >= MINIMUM_USE_SECONDS}

    def _peer_sums(self) -> dict[str, dict[str, float]]:
        """Return the sums of recent reports, scaled up to the number of peers."""
        now = self.clock.monotonic()
        if now - self.updated < REFRESH_SECONDS:
            return self.peer_sums
        self.updated = now
        for peer, report in list(self.reports.items()):
            if now - report.received > RECENT_SECONDS:
                del self.reports[peer]
        scale = self.demand.scale(len(self.reports))
        sums: dict[str, dict[str, float]] = {}
        for report in self.reports.values():
            for service, account, seconds in report.rows:
                uses = sums.setdefault(service, {})
                uses[account] = uses.get(account, 0.0) + seconds * scale
        self.peer_sums = sums
        return sums


def share_for(share: float, relative_use: float) -> float:
    """Return the share of an account's requests for which there is room.

    ``share`` is that of all requests; an account that uses less than its fair share
    gets more of its requests served, one that uses more fewer.

    Examples
    --------
    >>> share_for(0.25, 0.0), share_for(0.25, 1.0), share_for(0.25, 2.0) < 0.01
    (1.0, 0.25, True)
    >>> share_for(0.0, 0.0)
    0.0
    """
    return share ** (relative_use**3) if share > 0 else 0.0

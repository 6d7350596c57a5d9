"""The routing table in force and how fresh it is known to be."""

import math

from linnetladder.errors import ErrorKind, Refusal
from linnetladder.forwarding.settings import SettingsHolder
from linnetladder.forwarding.state import RoutingTable
from linnetladder.state import Clock
from linnetladder.telemetry import log_change

__all__ = ["TableInForce"]

# A request may wait this long between the check of its credential and its start.
REVOKE_MARGIN_SECONDS = 0.9
# The absence of a route or a credential proves nothing once a configuration that adds
# it may have to be in force; it is doubted this long before.
ABSENCE_MARGIN_SECONDS = 0.2
STALE_RETRY_SECONDS = 0.3


class TableInForce:
    """Hold the newest table seen and the time up to which it is confirmed.

    ``confirmed_at`` is the clock's reading when the latest successful read began.
    A table is never replaced by one with a lower version or an older revision.
    """

    def __init__(self, *, settings: SettingsHolder, clock: Clock):
        self.settings = settings
        self.clock = clock
        self.table: RoutingTable | None = None
        self.confirmed_at = -math.inf

    def confirm(self, table: RoutingTable | None, *, read_began: float) -> bool:
        """Take in a reading and return whether a new table came in force."""
        self.confirmed_at = max(self.confirmed_at, read_began)
        if table is None or not self._is_newer(table):
            return False
        previous_version = self.table.version if self.table is not None else 0
        self.table = table
        log_change(
            "configuration in force",
            version=table.version,
            previous=previous_version,
            revision=table.revision,
            routes=len(table.routes),
            accounts=len(table.accounts),
        )
        return True

    def age(self) -> float:
        """Return the seconds since the table was last confirmed."""
        return self.clock.monotonic() - self.confirmed_at

    def refuse_stale(self) -> Refusal | None:
        """Refuse work while a withdrawn credential might still be accepted here."""
        if self.table is None:
            detail = "no configuration has been received yet"
            return Refusal(
                ErrorKind.CONFIGURATION_UNAVAILABLE,
                detail,
                retry_after_seconds=STALE_RETRY_SECONDS,
            )
        bounds = self.settings.bounds
        if not bounds.strict_revocation:
            return None
        if self.age() <= bounds.revoke - REVOKE_MARGIN_SECONDS:
            return None
        detail = f"the configuration was last confirmed {self.age():.1f} s ago"
        return Refusal(
            ErrorKind.CONFIGURATION_STALE,
            detail,
            retry_after_seconds=STALE_RETRY_SECONDS,
        )

    def refuse_absent(self, kind: ErrorKind, detail: str) -> Refusal:
        """Refuse for want of a route or credential, if its absence is certain."""
        if self.age() <= self.settings.bounds.configuration - ABSENCE_MARGIN_SECONDS:
            return Refusal(kind, detail)
        return Refusal(
            ErrorKind.CONFIGURATION_STALE,
            f"{detail}, but the configuration was confirmed {self.age():.1f} s ago",
            retry_after_seconds=STALE_RETRY_SECONDS,
        )

    def _is_newer(self, table: RoutingTable) -> bool:
        if self.table is None:
            return True
        return (
            table.version > self.table.version and table.revision > self.table.revision
        )

"""The routing table in force and the time since it was last confirmed."""

import math

from linnetladder.errors import ErrorKind, Refusal
from linnetladder.forwarding.settings import SettingsHolder
from linnetladder.forwarding.state import RoutingTable
from linnetladder.state import Clock
from linnetladder.telemetry import log_change

__all__ = ["TableInForce"]

# Allowance for the time between the check of a request's credential and its start.
REVOKE_MARGIN_SECONDS = 0.9
# A newer configuration may add a route or credential that is missing here. A missing
# one is reported as unknown only until this long before the age at which the newer
# configuration has to be in force.
ABSENCE_MARGIN_SECONDS = 0.2
STALE_RETRY_SECONDS = 0.3


class TableInForce:
    """Holds the newest routing table and the time at which it was last confirmed.

    ``confirmed_at`` is the time when the latest successful read began, in seconds of
    the daemon's clock. Only a table with both a higher version and a higher revision
    replaces the one in force.
    """

    def __init__(self, *, settings: SettingsHolder, clock: Clock):
        self.settings = settings
        self.clock = clock
        self.table: RoutingTable | None = None
        self.confirmed_at = -math.inf

    def confirm(self, table: RoutingTable | None, *, read_began: float) -> bool:
        """Record a successful read and return whether a new table came into force.

        ``table`` is ``None`` if the read only confirmed the table in force.
        """
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
        """Return a refusal if the table is missing or too old to check credentials.

        With strict revocation, an older table could accept a withdrawn credential.
        """
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
        """Return the refusal of a request whose route or credential is unknown.

        If the table is too old to be sure of that, the configuration is reported as
        stale instead.
        """
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

"""The routing table in force and the time since it was last confirmed."""

import math

from linnetladder.errors import ErrorKind, Refusal
from linnetladder.forwarding.settings import SettingsHolder
from linnetladder.forwarding.state import CallerLimits, RoutingTable
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
# By then every peer has been heard from, and with it the newest version that it knows.
ERA_DOUBT_SECONDS = 3.0
# Time in which the operator writes again what the store has lost.
OPERATOR_REWRITE_SECONDS = 2.0
# Unreadable parts of a configuration that one log line names.
LOGGED_PROBLEMS = 20


class TableInForce:
    """Holds the newest routing table and the time at which it was last confirmed.

    Only a table of a higher version replaces the one in force. The store may return
    from an older copy, so a read confirms the table only if it returned the newest
    version that this daemon or a peer knows of, ``newest_version_known``.
    ``confirmed_at`` is the time when the latest such read began, in seconds of the
    daemon's clock. ``problem`` tells why the newest configuration can't be read, if it
    can't; nothing confirms the table in force then, since it may accept what the newest
    one has withdrawn.
    """

    def __init__(self, *, settings: SettingsHolder, clock: Clock):
        self.settings = settings
        self.clock = clock
        self.table: RoutingTable | None = None
        self.newest_version_known = 0
        self.version_read = 0
        self.confirmed_at = -math.inf
        self.confirmed_before_era = -math.inf
        self.era_began_at = clock.monotonic()
        self.rewrite_expected_until = -math.inf
        self.problem = ""

    def limits(self) -> CallerLimits:
        """Return the limits on callers in force, the defaults before there are any."""
        return self.table.limits if self.table is not None else CallerLimits()

    def confirm_read(self, table: RoutingTable | None, *, began: float) -> bool:
        """Record a read of the store and return whether a new table came into force.

        ``table`` is ``None`` if the store has none; ``began`` is when the read began.
        """
        if self.confirmed_at == -math.inf:
            self.era_began_at = self.clock.monotonic()
        self.problem = ""
        self.version_read = table.version if table is not None else 0
        self.newest_version_known = max(self.newest_version_known, self.version_read)
        is_newer = table is not None and self._is_newer(table)
        if is_newer:
            self.rewrite_expected_until = -math.inf
        self.confirm(began)
        if not is_newer:
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
        if table.unreadable.problems:
            log_change(
                "configuration partly unreadable",
                version=table.version,
                count=len(table.unreadable.problems),
                problems=table.unreadable.problems[:LOGGED_PROBLEMS],
            )
        return True

    def note_unreadable(self, problem: str) -> None:
        """Record that the newest configuration can't be read, and why."""
        self.problem = problem

    def count_problems(self) -> int:
        """Return the unreadable parts of the table in force and of the newest one."""
        problems = self.table.unreadable.problems if self.table is not None else ()
        return len(problems) + (self.problem != "")

    def confirm(self, since: float) -> None:
        """Record that the content last read was current at a time.

        It confirms the table in force unless a newer version is known, or the store may
        have lost one that the operator will write again.
        """
        if self.problem or since < self.rewrite_expected_until:
            return
        if self.version_read >= self.newest_version_known:
            self.confirmed_at = max(self.confirmed_at, since)

    def note_version(self, version: int, *, after_read: bool) -> None:
        """Record that a version of the configuration exists.

        ``after_read`` is whether it may have been written after the last read. If not,
        and the store's era has just begun or this daemon has just started, its reads
        returned the older copy and no longer count.
        """
        self.newest_version_known = max(self.newest_version_known, version)
        era_seconds = self.clock.monotonic() - self.era_began_at
        if (
            version > self.version_read
            and not after_read
            and era_seconds < ERA_DOUBT_SECONDS
        ):
            self.confirmed_at = min(self.confirmed_at, self.confirmed_before_era)

    def note_era_change(self) -> None:
        """Record that the store returned from an older copy."""
        self.confirmed_before_era = self.confirmed_at
        self.era_began_at = self.clock.monotonic()
        self.rewrite_expected_until = self.era_began_at + OPERATOR_REWRITE_SECONDS

    def age(self) -> float:
        """Return the seconds since the table was last confirmed."""
        return self.clock.monotonic() - self.confirmed_at

    def refuse_stale(self) -> Refusal | None:
        """Return a refusal if the table is missing or too old to check credentials.

        With strict revocation, an older table could accept a withdrawn credential. So
        could one whose successor can't be read, in any case.
        """
        if self.table is None:
            detail = "no configuration has been received yet" + self._describe_problem()
            return Refusal(
                ErrorKind.CONFIGURATION_UNAVAILABLE,
                detail,
                retry_after_seconds=STALE_RETRY_SECONDS,
            )
        bounds = self.settings.bounds
        if not bounds.strict_revocation and not self.problem:
            return None
        if self.age() <= bounds.revoke - REVOKE_MARGIN_SECONDS:
            return None
        detail = (
            f"the configuration was last confirmed {self.age():.1f} s ago, and is used "
            f"for {bounds.revoke - REVOKE_MARGIN_SECONDS:.1f} s"
            f"{self._describe_problem()}"
        )
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

    def _describe_problem(self) -> str:
        return f"; the newest one can't be read: {self.problem}" if self.problem else ""

    def _is_newer(self, table: RoutingTable) -> bool:
        return self.table is None or table.version > self.table.version

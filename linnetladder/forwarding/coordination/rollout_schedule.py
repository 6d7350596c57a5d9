"""The share of sessions on a roll-out's target version over time."""

import xxhash

from linnetladder.forwarding.state import RolloutOrder, RolloutPhase, RolloutRecord
from linnetladder.state import Clock

__all__ = ["RolloutSchedule", "session_fraction"]

# All fractions are of the order's duration. After the canary's sessions, others may
# move to the target only in its second half; what remains after the latest completion
# is left for slow reads and writes.
# From the order's first record until the ramp phase may start.
RAMP_START_FRACTION = 0.52
# Time in which the share of sessions rises from the canary's to the ramp's.
RAMP_RISE_FRACTION = 0.04
# From the start of the ramp phase until the full phase may start.
FULL_DELAY_FRACTION = 0.13
# Time in which the share of sessions rises from the ramp's to all.
FULL_RISE_FRACTION = 0.08
# From the order's first record until the old version may be stopped if it is idle.
COMPLETE_EARLIEST_FRACTION = 0.76
# From the order until the old version may be stopped even if it is busy.
COMPLETE_LATEST_FRACTION = 0.93
# Maximum time from the order until a daemon has read it and written the first record:
# one interval between reads and one between steps. The second half in which sessions
# may move is counted from the first record, the latest completion from the order.
ORDER_LAG_SECONDS = 1.5
# Share of sessions in the ramp phase: enough to show a fault under real load, and small
# enough to stay within the bound on exposure to a bad version.
RAMP_SESSION_SHARE = 0.3
# A step takes effect this long after it is written. By then every daemon has read it,
# so all of them act on it at the same time.
ACTIVATION_DELAY_SECONDS = 2.0
HASH_RANGE = 1 << 64


class RolloutSchedule:
    """Computes the share of sessions from a record, equally on every daemon."""

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.started_at: dict[tuple[str, int, float], float] = {}

    def seconds_since(self, order: RolloutOrder, unix: float) -> float:
        """Return the seconds since a Unix time of the record, by the monotonic clock.

        The Unix time is converted only once, when it is first seen, so that an
        adjustment of the system clock does not shift a roll-out.
        """
        key = (order.service, order.revision, unix)
        started_at = self.started_at.get(key)
        now = self.clock.monotonic()
        if started_at is None:
            elapsed = self.clock.unix() - unix
            elapsed = min(
                max(elapsed, -ACTIVATION_DELAY_SECONDS), order.duration_seconds
            )
            started_at = self.started_at[key] = now - elapsed
        return now - started_at

    def share(self, order: RolloutOrder, record: RolloutRecord) -> float:
        """Return the share of sessions that should run on the target now, 0 to 1."""
        if record.phase is RolloutPhase.COMPLETE:
            return 1.0
        if record.full_unix and self.seconds_since(order, record.full_unix) >= 0:
            return self._rising_share(
                order, record.full_unix, RAMP_SESSION_SHARE, 1.0, FULL_RISE_FRACTION
            )
        if record.ramp_unix and self.seconds_since(order, record.ramp_unix) >= 0:
            first = min(record.canary_share, RAMP_SESSION_SHARE)
            return self._rising_share(
                order, record.ramp_unix, first, RAMP_SESSION_SHARE, RAMP_RISE_FRACTION
            )
        if self.seconds_since(order, record.canary_unix) < 0:
            return 0.0
        return record.canary_share

    def _rising_share(
        self, order: RolloutOrder, unix: float, first: float, last: float, span: float
    ) -> float:
        """Return a share that rises linearly from ``first`` to ``last``.

        It starts at a Unix time and takes the fraction ``span`` of the duration.
        """
        progress = self.seconds_since(order, unix) / (order.duration_seconds * span)
        return first + (last - first) * min(progress, 1.0)


def session_fraction(order: RolloutOrder, session: str) -> float:
    """Return a hash of the order and session as a number from 0 to 1."""
    text = f"{order.service}\0{order.revision}\0{session}"
    return xxhash.xxh64_intdigest(text.encode()) / HASH_RANGE

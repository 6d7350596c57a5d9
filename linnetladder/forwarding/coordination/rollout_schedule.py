"""How the share of sessions on a new version rises over the time of its roll-out."""

import xxhash

from linnetladder.forwarding.state import RolloutOrder, RolloutPhase, RolloutRecord
from linnetladder.state import Clock

__all__ = ["RolloutSchedule", "draw_of"]

# Shares of an order's duration: when the canary is judged, how long its share takes to
# rise to a part of all sessions, when that part is judged after its start, how long it
# takes to rise to all, and when the old version may be stopped. Sessions may move in
# the second half only; the last part is left for reads and writes that are slow.
RAMP_START_FRACTION = 0.52
RAMP_RISE_FRACTION = 0.04
FULL_DELAY_FRACTION = 0.13
FULL_RISE_FRACTION = 0.08
COMPLETE_EARLIEST_FRACTION = 0.76
COMPLETE_LATEST_FRACTION = 0.93
# An order is read, and its first record written, this long after it was given at most:
# an interval between reads and the pause between steps. Sessions wait for half of the
# time from the record; the last step counts from the order.
ORDER_LAG_SECONDS = 1.5
# A part that shows a fault under real load and still keeps within the exposure.
RAMP_SESSION_SHARE = 0.3
# Every daemon reads a step within this time of its writing, so that all act on it at
# the same moment.
ACTIVATION_DELAY_SECONDS = 2.0
HASH_RANGE = 1 << 64


class RolloutSchedule:
    """Tell the share of sessions from a record's moments, alike at every daemon."""

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.started_at: dict[tuple[str, int, float], float] = {}

    def seconds_since(self, order: RolloutOrder, unix: float) -> float:
        """Return the seconds since a moment of the record, by this daemon's clock.

        Unix time counts only once, when the moment is first seen, so that a step of
        the time of day does not move a roll-out.
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
        """Return the share of sessions that belong on the target by now."""
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
        """Return a share that rises from a moment on, over a part of the duration."""
        progress = self.seconds_since(order, unix) / (order.duration_seconds * span)
        return first + (last - first) * min(progress, 1.0)


def session_fraction(order: RolloutOrder, session: str) -> float:
    """Return a session's place between 0 and 1, the same at every daemon."""
    text = f"{order.service}\0{order.revision}\0{session}"
    return xxhash.xxh64_intdigest(text.encode()) / HASH_RANGE

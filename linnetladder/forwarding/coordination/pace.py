"""Generation speed of an endpoint, from the gaps between a stream's first events.

When an engine prefills a prompt between two events, the stream stalls for ten times its
usual gap, even on a healthy endpoint. The mean of a few gaps is therefore a poor
measure of a version's speed; their median hardly changes.
"""

import math

__all__ = ["PaceMeter"]

# Gaps after which a stream is measured; a slow stream may take long to end.
MEASURED_GAPS = 3
# With a single gap, one stall would determine the result.
MINIMUM_GAPS = 2


class PaceMeter:
    """Measures the pace of one stream: the median gap between its events, in seconds.

    Each stream is measured once.

    Examples
    --------
    >>> meter = PaceMeter()
    >>> [meter.add_events(now, 1) for now in (1.0, 1.02, 1.32)]
    [None, None, None]
    >>> round(meter.add_events(1.34, 1), 3)
    0.02
    """

    def __init__(self):
        self.last_event_time = math.nan
        self.gaps: list[float] = []
        self.measured = False

    def add_events(self, now: float, events: int) -> float | None:
        """Record events that arrived together; return the pace once it is measured.

        ``now`` is the time of their arrival, in seconds.
        """
        if self.measured:
            return None
        if not math.isnan(self.last_event_time):
            self.gaps.extend([(now - self.last_event_time) / events] * events)
        self.last_event_time = now
        return self._median_gap() if len(self.gaps) >= MEASURED_GAPS else None

    def finish(self) -> float | None:
        """Return the pace of a stream that ended unmeasured, if it had enough gaps."""
        if self.measured or len(self.gaps) < MINIMUM_GAPS:
            return None
        return self._median_gap()

    def _median_gap(self) -> float:
        """Mark the stream as measured and return the lower median of its gaps."""
        self.measured = True
        ordered = sorted(self.gaps)
        return ordered[(len(ordered) - 1) // 2]

"""How fast an endpoint generates, from the gaps between a stream's first events.

A prompt that is read between two events stalls the stream for ten times its usual gap,
on a healthy endpoint too. The mean of few gaps therefore says little about a version;
the middle one of them hardly moves.
"""

import math

__all__ = ["PaceMeter"]

# Gaps by which a stream is judged; a slow one may take long to its end.
MEASURED_GAPS = 3
# An answer of two events has one gap, which a single stall decides.
MINIMUM_GAPS = 2


class PaceMeter:
    """Measure one stream, once.

    Examples
    --------
    >>> meter = PaceMeter()
    >>> [meter.note(now, 1) for now in (1.0, 1.02, 1.32)]
    [None, None, None]
    >>> round(meter.note(1.34, 1), 3)
    0.02
    """

    def __init__(self):
        self.last_event_time = math.nan
        self.gaps: list[float] = []
        self.measured = False

    def add_events(self, now: float, events: int) -> float | None:
        """Count events that came together; return the pace once it is known.

        ``now`` is in seconds; so is the pace, between one event and the next.
        """
        if self.measured:
            return None
        if not math.isnan(self.last_event_time):
            self.gaps.extend([(now - self.last_event_time) / events] * events)
        self.last_event_time = now
        return self._median_gap() if len(self.gaps) >= MEASURED_GAPS else None

    def finish(self) -> float | None:
        """Return the pace of a stream that ended before it was known, if it can be."""
        if self.measured or len(self.gaps) < MINIMUM_GAPS:
            return None
        return self._median_gap()

    def _median_gap(self) -> float:
        """Return the middle gap, the shorter one of two."""
        self.measured = True
        ordered = sorted(self.gaps)
        return ordered[(len(ordered) - 1) // 2]

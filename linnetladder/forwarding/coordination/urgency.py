"""How urgent a generation is among those that wait at the same engine.

Short prompts go before long ones: they add little to the wait of those behind them,
while a long prompt in front makes many short ones late. Among prompts of like length
the operator's most urgent rank goes first.
"""

import bisect

__all__ = ["urgency"]

MOST_URGENT = 1
# Seconds of reading that part prompts into classes; the objective is about two seconds,
# and a tenth of the traffic reads longer than the last bound.
PREFILL_BOUNDS_SECONDS = (0.06, 0.25, 0.7)
RANKS_PER_CLASS = 2


def urgency(*, prefill_seconds: float, priority: int) -> int:
    """Return the urgency, lowest first.

    Examples
    --------
    >>> urgency(reading_seconds=0.01, priority=0)
    1
    >>> urgency(reading_seconds=1.0, priority=3)
    8
    """
    length_class = bisect.bisect(PREFILL_BOUNDS_SECONDS, prefill_seconds)
    rank = min(max(priority, 0), RANKS_PER_CLASS - 1)
    return MOST_URGENT + RANKS_PER_CLASS * length_class + rank

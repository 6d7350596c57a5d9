"""Urgency of a generation among those that wait at the same engine.

Short prompts go before long ones: they add little to the wait of the prompts behind
them, while a long prompt in front makes many short ones late. Among prompts of similar
length, the operator's priority decides.
"""

import bisect

__all__ = ["urgency"]

MOST_URGENT = 1
# Prefill times that separate the length classes. The objective is about two seconds,
# and a tenth of the traffic takes longer than the last bound.
PREFILL_BOUNDS_SECONDS = (0.06, 0.25, 0.7)
RANKS_PER_CLASS = 2


def urgency(*, prefill_seconds: float, priority: int) -> int:
    """Return the urgency; lower values are more urgent.

    Examples
    --------
    >>> urgency(prefill_seconds=0.01, priority=0)
    1
    >>> urgency(prefill_seconds=1.0, priority=3)
    8
    """
    length_class = bisect.bisect(PREFILL_BOUNDS_SECONDS, prefill_seconds)
    rank = min(max(priority, 0), RANKS_PER_CLASS - 1)
    return MOST_URGENT + RANKS_PER_CLASS * length_class + rank

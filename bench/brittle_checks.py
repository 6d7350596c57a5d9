"""Check that brittle workers are not made to fall over.

The check follows the platform's rule: in one time in which the workers of a service say
that they are brittle, they fall over at most twice and a tenth of their number more. A
worker falls over if it has to turn more requests away in a second than it names.
"""

import dataclasses
from collections.abc import Iterable, Sequence

__all__ = ["Fall", "count_falls", "find_fall_violations"]

TOLERATED_FALLS = 2
TOLERATED_SHARE = 0.1
# A fall counts if more than this share of what led to it came from daemons in touch.
MINIMUM_SHARE_IN_TOUCH = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fall:
    """A worker's fall, in seconds.

    ``in_touch`` tells of each request that it turned away in the last second whether it
    came from a daemon in touch.
    """

    time: float
    in_touch: tuple[bool, ...]


def count_falls(falls: Iterable[Fall]) -> list[float]:
    """Return the times of the falls that count."""
    return [
        fall.time
        for fall in falls
        if sum(fall.in_touch) > MINIMUM_SHARE_IN_TOUCH * len(fall.in_touch)
    ]


def find_fall_violations(falls: Sequence[float], *, workers: int) -> list[str]:
    """Return a line if workers fell over too often.

    ``falls`` are their times in one brittle time, and ``workers`` is the number of the
    service's workers.
    """
    if len(falls) <= TOLERATED_FALLS + TOLERATED_SHARE * workers:
        return []
    return [f"{len(falls)} falls of {workers} brittle workers"]

"""Check that brittle workers are not made to fall over.

The check follows the platform's rule: in one time in which the workers of a service say
that they are brittle, they fall over at most twice and a tenth of their number more. A
worker falls over if it has to turn more requests away in a second than it names.
"""

from collections.abc import Sequence

__all__ = ["find_fall_violations"]

TOLERATED_FALLS = 2
TOLERATED_SHARE = 0.1


def find_fall_violations(falls: Sequence[float], *, workers: int) -> list[str]:
    """Return a line if workers fell over too often.

    ``falls`` are their times in one brittle time, and ``workers`` is the number of the
    service's workers.
    """
    if len(falls) <= TOLERATED_FALLS + TOLERATED_SHARE * workers:
        return []
    return [f"{len(falls)} falls of {workers} brittle workers"]

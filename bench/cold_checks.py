"""Check that cold workers get no more requests than they tolerate.

The check follows the platform's rule from what workers recorded: in any second a cold
worker gets at most as many requests as its service's ``ColdPerS`` times a factor and
some more, from all daemons together, in touch with the store or not.
"""

import dataclasses
from collections.abc import Iterable, Sequence

__all__ = ["ColdSpell", "find_cold_violations"]

WINDOW_SECONDS = 1.0
# The defaults of the bounds ColdOverage and ColdSlack.
TOLERANCE_FACTOR = 1.5
TOLERANCE_REQUESTS = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColdSpell:
    """A period in which a worker is cold, in seconds; requests count within it."""

    began: float
    ended: float


def find_cold_violations(
    worker: str,
    arrivals: Iterable[float],
    spells: Sequence[ColdSpell],
    *,
    per_second: float,
) -> list[str]:
    """Return a line for the worst second of each spell with too many requests.

    ``arrivals`` are the times of the requests that reached the worker and were not
    meant for another one. ``per_second`` is the ``ColdPerS`` of its service.
    """
    allowed = per_second * TOLERANCE_FACTOR + TOLERANCE_REQUESTS
    times = sorted(arrivals)
    violations = []
    for spell in spells:
        inside = [time for time in times if spell.began <= time < spell.ended]
        worst, worst_end, first = 0, 0.0, 0
        for last, end in enumerate(inside):
            while inside[first] <= end - WINDOW_SECONDS:
                first += 1
            if last - first + 1 > worst:
                worst, worst_end = last - first + 1, end
        if worst > allowed:
            violations.append(
                f"{worker}: {worst} requests in a second while cold, allowed "
                f"{allowed:.1f}, until {worst_end - spell.began:.1f} s after it counts"
            )
    return violations

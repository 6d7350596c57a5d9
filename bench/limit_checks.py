"""Check that the daemons together keep to the limits that workers name.

The check follows the platform's rule from what workers and clients recorded: from some
time after a worker has named its limit, it gets no more requests in any four seconds
than one and a half times what the limit allows and five more, summed over the daemons
that had passed on an answer with a limit half a second before.
"""

import bisect
import dataclasses
import math
from collections.abc import Iterable, Mapping, Sequence

__all__ = ["Arrival", "LimitHistory", "find_limit_violations"]

WINDOW_SECONDS = 4.0
# The bound ContactMs: windows that end earlier after the first naming are not judged.
NOTICE_SECONDS = 3.0
# A daemon counts this long after it has passed on an answer with a limit, and a lower
# limit counts this long after it was named.
TOLD_SECONDS = 0.5
TOLERANCE_FACTOR = 1.5
TOLERANCE_REQUESTS = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """A request that reached a worker, in seconds of one clock.

    ``told_at`` is when ``daemon`` passed on the answer to it, if that named a limit. A
    daemon that was restarted is another daemon.
    """

    time: float
    daemon: str
    told_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Spell:
    """A period in which a worker names a limit; ``changes`` are times and limits."""

    began: float
    ended: float
    changes: tuple[tuple[float, float], ...]

    def allowance(self, first: float, last: float) -> float:
        """Return the requests that the limit allows from one time to another.

        What precedes the spell counts as if its first limit had been in force.
        """
        total = 0.0
        edges = {first, last}
        for time, _ in self.changes:
            edges |= {time, time + TOLD_SECONDS}
        inside = sorted(edge for edge in edges if first <= edge <= last)
        for left, right in zip(inside, inside[1:], strict=False):
            total += self._limit_during(left, right) * (right - left)
        return total

    def _limit_during(self, left: float, right: float) -> float:
        """Return the limit between two edges, the higher one just after a change."""
        middle = (left + right) / 2
        times = [time for time, _ in self.changes]
        newest = max(bisect.bisect_right(times, middle) - 1, 0)
        oldest = max(bisect.bisect_right(times, middle - TOLD_SECONDS) - 1, 0)
        return max(limit for _, limit in self.changes[oldest : newest + 1])


class LimitHistory:
    """The limits that a worker named, in requests a second, and when."""

    def __init__(self, changes: Iterable[tuple[float, float | None]] = ()):
        self.changes = list(changes)

    def name(self, time: float, limit: float | None) -> None:
        """Record that a worker names a limit from now on, or none."""
        self.changes.append((time, limit))

    def spells(self) -> list[Spell]:
        """Return the periods in which a limit was named throughout."""
        spells: list[Spell] = []
        current: list[tuple[float, float]] = []
        for time, limit in [*self.changes, (math.inf, None)]:
            if limit is not None:
                current.append((time, limit))
            elif current:
                began = current[0][0]
                spells.append(Spell(began=began, ended=time, changes=tuple(current)))
                current = []
        return spells


def find_limit_violations(
    worker: str,
    arrivals: Sequence[Arrival],
    history: LimitHistory,
    *,
    excused: Mapping[str, Sequence[tuple[float, float]]] | None = None,
) -> list[str]:
    """Return a line for the worst violation of each period with a limit.

    ``excused`` holds periods in which a daemon was restarted, frozen or cut off. Its
    requests don't count in windows that overlap one.
    """
    violations = []
    for spell in history.spells():
        worst, line = 0.0, ""
        counted = _counted(spell, arrivals)
        for end in counted:
            if end.time < spell.began + NOTICE_SECONDS:
                continue
            first = end.time - WINDOW_SECONDS
            number = sum(
                first < arrival.time <= end.time
                and not _overlaps((excused or {}).get(arrival.daemon, ()), first, end)
                for arrival in counted
            )
            allowed = TOLERANCE_FACTOR * spell.allowance(first, end.time)
            allowed += TOLERANCE_REQUESTS
            if number - allowed > worst:
                worst = number - allowed
                line = (
                    f"{worker}: {number} requests in {WINDOW_SECONDS:.0f} s from "
                    f"daemons that knew its limit, allowed {allowed:.1f}, "
                    f"{end.time - spell.began:.1f} s after it was named"
                )
        if line:
            violations.append(line)
    return violations


def _counted(spell: Spell, arrivals: Sequence[Arrival]) -> list[Arrival]:
    """Return the arrivals of daemons that knew of the limit, in order of time."""
    told: dict[str, float] = {}
    for arrival in arrivals:
        if arrival.told_at is None or not spell.began <= arrival.told_at < spell.ended:
            continue
        earliest = min(told.get(arrival.daemon, math.inf), arrival.told_at)
        told[arrival.daemon] = earliest
    return sorted(
        (
            arrival
            for arrival in arrivals
            if spell.began <= arrival.time < spell.ended
            and told.get(arrival.daemon, math.inf) + TOLD_SECONDS <= arrival.time
        ),
        key=lambda arrival: arrival.time,
    )


def _overlaps(
    periods: Sequence[tuple[float, float]], first: float, end: Arrival
) -> bool:
    return any(began <= end.time and ended >= first for began, ended in periods)

"""Check that prompts with a part that crashes workers soon reach no more of them.

The check follows the platform's rules from what workers and clients recorded. Once
five workers have crashed on requests with the same part of a prompt, and a time has
passed in which the daemons can tell each other, at most three more requests with that
part are sent to workers. Sound requests are served as before.
"""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

__all__ = [
    "CRASHES",
    "PromptRun",
    "SoundRequest",
    "find_crash_violations",
    "find_unserved_violations",
]

# Crashes after which the daemons have to know a part.
CRASHES = 5
MAXIMUM_FURTHER_RUNS = 3
# Sound requests are to be served at least this often, relative to the time before.
MINIMUM_SERVED_RATIO = 0.5
# Smaller samples are not judged.
MINIMUM_SAMPLE = 20


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PromptRun:
    """A request that reached a worker; times are in seconds of one clock.

    ``sent_at`` is when its daemon sent it there, ``parts`` are the ids of the parts of
    its prompt that others may share, and ``crashed_at`` is when it crashed the worker.
    """

    sent_at: float
    daemon: str
    parts: tuple[str, ...]
    crashed_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SoundRequest:
    """A caller's first attempt of a request that crashes nothing."""

    sent_at: float
    served: bool


def find_crash_violations(
    runs: Sequence[PromptRun],
    *,
    crashing_parts: Iterable[str],
    notice_seconds: float,
    excused: Mapping[str, Sequence[tuple[float, float]]] | None = None,
) -> list[str]:
    """Return a line for each part that crashes workers and reached too many of them.

    ``notice_seconds`` is the bound ContactMs. ``excused`` holds, by daemon, the periods
    in which it was disturbed; it counts again ``notice_seconds`` after one.
    """
    excused = excused or {}
    violations = []
    for part in crashing_parts:
        part_runs = [run for run in runs if part in run.parts]
        crashes = sorted(r.crashed_at for r in part_runs if r.crashed_at is not None)
        if len(crashes) < CRASHES:
            continue
        known_at = crashes[CRASHES - 1] + notice_seconds
        further = [
            run
            for run in part_runs
            if run.sent_at > known_at
            and not _is_excused(run, excused.get(run.daemon, ()), notice_seconds)
        ]
        if len(further) > MAXIMUM_FURTHER_RUNS:
            violations.append(
                f"part {part}: {len(further)} requests reached workers after five "
                f"crashes, {len(crashes)} crashes in all"
            )
    return violations


def find_unserved_violations(
    requests: Sequence[SoundRequest], *, before: float, since: float
) -> list[str]:
    """Return a line if sound requests are served too seldom.

    ``before`` is the time until which nothing was disturbed, ``since`` the one from
    which they have to be served again.
    """
    earlier = [request.served for request in requests if request.sent_at < before]
    later = [request.served for request in requests if request.sent_at >= since]
    if min(len(earlier), len(later)) < MINIMUM_SAMPLE:
        return []
    usual, now = (sum(served) / len(served) for served in (earlier, later))
    if now >= MINIMUM_SERVED_RATIO * usual:
        return []
    return [f"sound requests: {now:.2f} of them are served, {usual:.2f} before"]


def _is_excused(
    run: PromptRun, periods: Sequence[tuple[float, float]], notice_seconds: float
) -> bool:
    return any(
        began <= run.sent_at and ended + notice_seconds >= run.sent_at
        for began, ended in periods
    )

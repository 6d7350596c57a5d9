"""Check that what crashes workers soon reaches no more of them.

The check follows the platform's rules from what workers and clients recorded. A cause
is a whole request, told by its content, or a part of prompts. Once three workers have
crashed under a cause, and a time has passed in which the daemons can tell each other,
at most three more requests with it are sent to workers. Sound requests are served as
before.
"""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

__all__ = [
    "CRASHES",
    "PromptRun",
    "SoundRequest",
    "find_crash_violations",
    "find_late_runs",
    "find_unserved_violations",
]

# Crashes after which the daemons have to know a cause.
CRASHES = 3
MAXIMUM_FURTHER_RUNS = 3
# Sound requests are to be served at least this often, relative to the time before.
MINIMUM_SERVED_RATIO = 0.5
# Smaller samples are not judged.
MINIMUM_SAMPLE = 20


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PromptRun:
    """A request that reached a worker; times are in seconds of one clock.

    ``sent_at`` is when its daemon sent it there, ``parts`` are the ids of the parts of
    its prompt that others may share, ``content`` identifies it as a whole, and
    ``crashed_at`` is when it crashed the worker.
    """

    sent_at: float
    daemon: str
    parts: tuple[str, ...]
    content: str = ""
    crashed_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SoundRequest:
    """A caller's first attempt of a request that crashes nothing."""

    sent_at: float
    served: bool


def find_crash_violations(
    runs: Sequence[PromptRun],
    *,
    causes: Iterable[str],
    notice_seconds: float,
    excused: Mapping[str, Sequence[tuple[float, float]]] | None = None,
) -> list[str]:
    """Return a line for each cause of crashes that reached too many workers.

    A cause is the id of a part or the content of a request. ``notice_seconds`` is the
    bound ContactMs. ``excused`` holds, by daemon, the periods in which it was
    disturbed; it counts again ``notice_seconds`` after one.
    """
    violations = []
    for cause in causes:
        late = find_late_runs(
            runs, cause=cause, notice_seconds=notice_seconds, excused=excused
        )
        if len(late) > MAXIMUM_FURTHER_RUNS:
            crashes = len(_crash_times(_runs_with(runs, cause)))
            violations.append(
                f"{cause}: {len(late)} requests reached workers after three crashes, "
                f"{crashes} crashes in all"
            )
    return violations


def find_late_runs(
    runs: Sequence[PromptRun],
    *,
    cause: str,
    notice_seconds: float,
    excused: Mapping[str, Sequence[tuple[float, float]]] | None = None,
) -> list[PromptRun]:
    """Return the requests with a cause that daemons sent although they had to know it.

    The arguments are those of `find_crash_violations`.
    """
    excused = excused or {}
    cause_runs = _runs_with(runs, cause)
    crashes = _crash_times(cause_runs)
    if len(crashes) < CRASHES:
        return []
    known_at = crashes[CRASHES - 1] + notice_seconds
    return [
        run
        for run in cause_runs
        if run.sent_at > known_at
        and not _is_excused(run, excused.get(run.daemon, ()), notice_seconds)
    ]


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


def _runs_with(runs: Sequence[PromptRun], cause: str) -> list[PromptRun]:
    return [run for run in runs if cause == run.content or cause in run.parts]


def _crash_times(runs: Sequence[PromptRun]) -> list[float]:
    return sorted(run.crashed_at for run in runs if run.crashed_at is not None)


def _is_excused(
    run: PromptRun, periods: Sequence[tuple[float, float]], notice_seconds: float
) -> bool:
    return any(
        began <= run.sent_at and ended + notice_seconds >= run.sent_at
        for began, ended in periods
    )

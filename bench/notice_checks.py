"""Check that daemons keep to what workers say of themselves in their answers.

The checks follow the platform's rules from what workers and clients recorded: a worker
that said it would leave gets nothing more, and one that asked for a pause next to
nothing until the pause is over.
"""

import dataclasses
from collections.abc import Mapping, Sequence

__all__ = ["AskedPause", "SentOn", "find_leaving_violations", "find_pause_violations"]

# A pause binds a daemon from this long after it was asked for.
PAUSE_NOTICE_SECONDS = 0.5
# Requests that may reach a worker during a pause.
TOLERATED_REQUESTS = 2

Periods = Sequence[tuple[float, float]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SentOn:
    """A request that reached a worker, in seconds of one clock.

    ``sent_at`` is when the client sent it. ``told_at`` is when the worker said that it
    leaves in its answer, if it did, and ``passed_on_at`` when the client had the
    daemon's answer. A daemon that was restarted is another daemon.
    """

    time: float
    daemon: str
    sent_at: float
    told_at: float | None = None
    passed_on_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AskedPause:
    """An answer with which a worker asked a daemon for a pause."""

    time: float
    daemon: str
    seconds: float


def find_leaving_violations(
    worker: str,
    arrivals: Sequence[SentOn],
    *,
    drain_seconds: float,
    restarts: Sequence[float] = (),
    excused: Mapping[str, Periods] | None = None,
) -> list[str]:
    """Return a line for each request that a daemon sent to a worker it knew to leave.

    ``restarts`` are the times at which the worker started again. ``excused`` holds
    periods in which a daemon was restarted or suspended.
    """
    violations = []
    for told in arrivals:
        if told.told_at is None or told.passed_on_at is None:
            continue
        for later in arrivals:
            if later.daemon != told.daemon:
                continue
            late_seconds = later.sent_at - told.passed_on_at - drain_seconds
            if late_seconds <= 0 or _any_between(restarts, told.told_at, later.time):
                continue
            periods = (excused or {}).get(later.daemon, ())
            if not _overlaps(periods, told.told_at, later.time):
                violations.append(
                    f"{worker}: a request reached it from {later.daemon}, sent "
                    f"{late_seconds:.1f} s late after it had said that it leaves"
                )
        if violations:
            break
    return violations


def find_pause_violations(
    worker: str,
    arrivals: Sequence[SentOn],
    pauses: Sequence[AskedPause],
    *,
    restarts: Sequence[float] = (),
    excused: Mapping[str, Periods] | None = None,
) -> list[str]:
    """Return a line for each pause in which too many requests of a daemon came.

    ``excused`` holds periods in which a daemon was restarted, suspended or cut off.
    """
    violations = []
    for pause in pauses:
        first, last = pause.time + PAUSE_NOTICE_SECONDS, pause.time + pause.seconds
        if _any_between(restarts, pause.time, last):
            continue
        if _overlaps((excused or {}).get(pause.daemon, ()), pause.time, last):
            continue
        number = sum(
            arrival.daemon == pause.daemon and first <= arrival.time < last
            for arrival in arrivals
        )
        if number > TOLERATED_REQUESTS:
            violations.append(
                f"{worker}: {number} requests from {pause.daemon} in a pause of "
                f"{pause.seconds:.1f} s"
            )
    return violations


def _any_between(times: Sequence[float], first: float, last: float) -> bool:
    return any(first <= time <= last for time in times)


def _overlaps(periods: Periods, first: float, last: float) -> bool:
    return any(began <= last and ended >= first for began, ended in periods)

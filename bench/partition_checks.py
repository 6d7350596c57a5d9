"""Check that daemons without a way to any worker are served by their peers.

The check follows the platform's rule: while some daemons are cut off from all workers,
the first attempts of clients at them are served at least two thirds as often as those
at the others, from some time after the cut began.
"""

import dataclasses
from collections.abc import Collection, Sequence

__all__ = ["Cut", "FirstAttempt", "find_partition_violations"]

MINIMUM_SERVED_RATIO = 2 / 3
# More failures than this many and this share of all first attempts break the rule.
TOLERATED_FAILURES = 10
TOLERATED_SHARE = 1 / 50


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FirstAttempt:
    """A client's first attempt at a daemon; ``sent_at`` is in seconds."""

    sent_at: float
    daemon: str
    served: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cut:
    """A period in which some daemons were cut off from all workers."""

    began: float
    ended: float
    daemons: Collection[str]


def find_partition_violations(
    attempts: Sequence[FirstAttempt], cuts: Sequence[Cut], *, notice_seconds: float
) -> list[str]:
    """Return a line for each cut in which the daemons served too little.

    ``notice_seconds`` is the bound ContactMs, after which a cut counts.
    """
    violations = []
    for cut in cuts:
        during = [
            attempt
            for attempt in attempts
            if cut.began + notice_seconds <= attempt.sent_at < cut.ended
        ]
        at_cut = [a.served for a in during if a.daemon in cut.daemons]
        at_others = [a.served for a in during if a.daemon not in cut.daemons]
        if not at_cut or not at_others:
            continue
        failures = len(at_cut) - sum(at_cut)
        if failures <= TOLERATED_FAILURES + TOLERATED_SHARE * len(during):
            continue
        usual = sum(at_others) / len(at_others)
        if sum(at_cut) / len(at_cut) < MINIMUM_SERVED_RATIO * usual:
            violations.append(
                f"cut at {cut.began:.1f} s: {sum(at_cut)} of {len(at_cut)} first "
                f"attempts were served, {sum(at_others)} of {len(at_others)} elsewhere"
            )
    return violations

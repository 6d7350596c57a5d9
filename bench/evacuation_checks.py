"""Check that evacuated failure domains get no requests.

The check follows the platform's rule from what workers recorded: from some time after
the store took an evacuation until its removal, no daemon in touch sends requests to the
workers of that failure domain.
"""

import dataclasses
from collections.abc import Iterable, Sequence

__all__ = ["DomainArrival", "Evacuation", "find_evacuation_violations"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainArrival:
    """A request that reached a worker of a failure domain, in seconds.

    ``in_touch`` tells whether it came from a daemon in touch with the store.
    """

    time: float
    attempt: str
    worker: str
    domain: str
    in_touch: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evacuation:
    """The period in which the store held the evacuation of a failure domain."""

    domain: str
    began: float
    ended: float


def find_evacuation_violations(
    arrivals: Iterable[DomainArrival],
    evacuations: Sequence[Evacuation],
    *,
    evacuate_seconds: float,
) -> list[str]:
    """Return a line for each request that reached an evacuated failure domain.

    ``evacuate_seconds`` is the bound EvacuateMs.
    """
    return [
        f"{arrival.attempt}: reached {arrival.worker} of {arrival.domain} "
        f"{arrival.time - evacuation.began:.1f} s after its evacuation"
        for arrival in arrivals
        for evacuation in evacuations
        if arrival.in_touch
        and arrival.domain == evacuation.domain
        and evacuation.began + evacuate_seconds < arrival.time < evacuation.ended
    ]

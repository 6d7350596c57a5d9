"""Check that requests with homes reach no workers of other regions.

The check follows the platform's rule from what workers recorded: where a route or a
client account allows only some regions, requests run only there. Where both do, both
are binding.
"""

import dataclasses
from collections.abc import Collection, Iterable

__all__ = ["RegionArrival", "find_home_violations"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RegionArrival:
    """A request that reached a worker of a region.

    ``homes`` holds the regions that its route and its account allow, an empty
    collection for any region.
    """

    attempt: str
    worker: str
    region: str
    homes: tuple[Collection[str], ...]


def find_home_violations(arrivals: Iterable[RegionArrival]) -> list[str]:
    """Return a line for each request that reached a worker outside its homes."""
    return [
        f"{arrival.attempt}: reached {arrival.worker} in {arrival.region}, allowed in "
        f"{' and '.join(str(list(regions)) for regions in arrival.homes if regions)}"
        for arrival in arrivals
        if any(regions and arrival.region not in regions for regions in arrival.homes)
    ]

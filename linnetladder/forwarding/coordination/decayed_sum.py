"""A sum whose parts lose half of their weight in each half-life."""

import dataclasses

__all__ = ["DecayedSum"]


@dataclasses.dataclass(slots=True)
class DecayedSum:
    """A sum as of ``updated``; times are in seconds of any one clock.

    Examples
    --------
    >>> total = DecayedSum(half_life=2.0)
    >>> total.add(10.0, 8.0)
    >>> total.at(10.0), total.at(14.0)
    (8.0, 2.0)
    """

    half_life: float
    value: float = 0.0
    updated: float = 0.0

    def at(self, now: float) -> float:
        """Return the sum at a time."""
        return self.value * 0.5 ** ((now - self.updated) / self.half_life)

    def add(self, now: float, value: float) -> None:
        """Add a value at a time."""
        self.value = self.at(now) + value
        self.updated = now

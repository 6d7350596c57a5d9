"""Positions in the history of the platform's store."""

import dataclasses

__all__ = ["Position"]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A revision of the store, together with the era in which it was given out.

    The store may return from an older copy. Its era then rises, and revisions go back
    and are given out again, so revisions of different eras say nothing about each
    other. Positions are ordered by era first.

    Examples
    --------
    >>> Position(era=2, revision=10) > Position(era=1, revision=90)
    True
    """

    era: int
    revision: int

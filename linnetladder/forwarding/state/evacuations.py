"""Failure domains that the operator has evacuated."""

import dataclasses

__all__ = ["EvacuatedDomain"]


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuatedDomain:
    """A failure domain that gets no requests, with the revision of the store's key."""

    name: str
    revision: int

"""Orders to move a service to another version, and how far each has come."""

import dataclasses
import enum

__all__ = ["RolloutOrder", "RolloutPhase", "RolloutRecord"]


class RolloutPhase(enum.StrEnum):
    """How far a roll-out is; it only moves forward in this order or to the end."""

    CANARY = "canary"
    RAMP = "ramp"
    FULL = "full"
    COMPLETE = "complete"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether nothing follows."""
        return self in (RolloutPhase.COMPLETE, RolloutPhase.ROLLED_BACK)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutOrder:
    """An operator's order; ``revision`` tells orders for one service apart."""

    service: str
    target: str
    duration_seconds: float
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutRecord:
    """The state of an order as the store holds it.

    ``canary_unix``, ``ramp_unix`` and ``full_unix`` are the moments, in seconds of Unix
    time, from which the canary gets sessions, from which its share rises to a part of
    all, and from which it rises to all. They are set a little ahead, so that all
    daemons know of them before they come; the later ones are 0 until the version has
    proved itself before. ``canary_share`` is the part of sessions that
    the canary gets, 0 to 1. ``revision`` is the store's, 0 before the
    record was first written.
    """

    service: str
    target: str
    order_revision: int
    phase: RolloutPhase
    ordered_unix: float
    canary_unix: float
    canary_share: float
    ramp_unix: float = 0.0
    full_unix: float = 0.0
    revision: int = 0

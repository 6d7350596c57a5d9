"""Orders to move a service to another version, and the progress of each."""

import dataclasses
import enum

__all__ = ["RolloutOrder", "RolloutPhase", "RolloutRecord"]


class RolloutPhase(enum.StrEnum):
    """The phase of a roll-out; only a later or a final phase may follow."""

    CANARY = "canary"
    RAMP = "ramp"
    FULL = "full"
    COMPLETE = "complete"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended."""
        return self in (RolloutPhase.COMPLETE, RolloutPhase.ROLLED_BACK)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutOrder:
    """An operator's order; ``revision`` distinguishes the orders for one service."""

    service: str
    target: str
    duration_seconds: float
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutRecord:
    """The progress of an order, as written to the store.

    The phases start at these Unix times in seconds: from ``canary_unix`` the target
    version receives ``canary_share`` of the sessions (0 to 1), from ``ramp_unix`` its
    share rises to an intermediate value, and from ``full_unix`` it rises to all. The
    times lie slightly in the future when they are written, so that every daemon has
    read them before they arrive. ``ramp_unix`` and ``full_unix`` are 0 until the
    version has passed the phase before. ``revision`` is the record's revision in the
    store, 0 before its first write.
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

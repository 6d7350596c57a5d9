"""Orders to move a service to another version, and the progress of each."""

import dataclasses
import enum

from linnetladder.forwarding.state.positions import Position

__all__ = ["RolloutOrder", "RolloutPhase", "RolloutRecord"]


# Larger than any revision, so that an identity holds the era and the revision.
REVISIONS_PER_ERA = 10**12


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

    @property
    def rank(self) -> int:
        """The order of the phases, from 0; both final phases have the same rank."""
        return _RANKS[self]


_RANKS = {
    RolloutPhase.CANARY: 0,
    RolloutPhase.RAMP: 1,
    RolloutPhase.FULL: 2,
    RolloutPhase.COMPLETE: 3,
    RolloutPhase.ROLLED_BACK: 3,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutOrder:
    """An operator's order; its position distinguishes the orders for one service.

    ``era`` and ``revision`` are the position at which it was read. An order that was
    written again in a later era keeps the position at which it was first known.
    """

    service: str
    target: str
    duration_seconds: float
    revision: int
    era: int = 0

    @property
    def position(self) -> Position:
        """The era and the revision."""
        return Position(self.era, self.revision)

    @property
    def content(self) -> tuple[str, str, float]:
        """What the operator wrote."""
        return (self.service, self.target, self.duration_seconds)

    @property
    def identity(self) -> int:
        """The position as one number, which peers' reports contain."""
        return self.era * REVISIONS_PER_ERA + self.revision


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutRecord:
    """The progress of an order, as written to the store.

    The phases start at these Unix times in seconds: from ``canary_unix`` the target
    version receives ``canary_share`` of the sessions (0 to 1), from ``ramp_unix`` its
    share rises to an intermediate value, and from ``full_unix`` it rises to all. The
    times lie slightly in the future when they are written, so that every daemon has
    read them before they arrive. ``ramp_unix`` and ``full_unix`` are 0 until the
    version has passed the phase before. ``order_era`` and ``order_revision`` are the
    order's position; ``era`` and ``revision`` are the record's own in the store, with
    revision 0 before its first write.
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
    order_era: int = 0
    era: int = 0

    @property
    def position(self) -> Position:
        """The era and the revision of the record in the store."""
        return Position(self.era, self.revision)

    @property
    def order_position(self) -> Position:
        """The position by which its order is known."""
        return Position(self.order_era, self.order_revision)

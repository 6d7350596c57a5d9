"""Permits whose owners hardly change when the list of daemons does.

The permits of a schedule take the slots of a long cycle in turn, and each slot belongs
to one daemon. When daemons join or leave, few slots have another owner, so that daemons
which know different lists agree on most permits: if a twentieth of 366 daemons is
replaced, a sixth of the slots has another owner. With turns by rank nearly all have.
"""

import bisect
import functools

import xxhash

from linnetladder.coordination.permit_schedule import PermitSchedule

__all__ = ["CYCLE_SLOTS", "SlotSchedule", "assign_slots"]

# Number of slots, a prime, for some ten slots of each of 366 daemons.
CYCLE_SLOTS = 4093
# Odd multiplier whose products, modulo 2**64, spread any number of consecutive permits
# evenly over the range: 2**64 divided by the golden ratio.
SPREAD_MULTIPLIER = 11_400_714_819_323_198_485
SPREAD_RANGE = 1 << 64
# Smallest share of the permits that is used. It bounds the search for the next one.
MINIMUM_SHARE = 1e-3


class SlotSchedule(PermitSchedule):
    """The permits of one daemon that fall on its slots of the cycle.

    Only a ``share`` of the permits is used, spread evenly over time. Which ones depends
    on their numbers alone, so daemons that know different shares never hold the same
    permit. ``offset`` shifts the cycle, so that schedules differ from one another.
    """

    def __init__(
        self,
        *,
        rate: float,
        slots: tuple[int, ...],
        offset: int,
        share: float,
        now: float,
        lifetime: float,
    ):
        self.slots = slots
        self.offset = offset
        self.share = max(share, MINIMUM_SHARE)
        self.threshold = int(self.share * SPREAD_RANGE)
        super().__init__(rate=rate, turn=0, turns=1, now=now, lifetime=lifetime)
        # Permits that were due before may have been used by a schedule that this one
        # replaces.
        self.used_until = self.next_permit

    def take(self, now: float) -> bool:
        """Take a permit and return true, unless none is available."""
        if not self.available(now):
            return False
        self._use_next()
        return True

    def reserve(self, now: float, *, within: float) -> float | None:
        """Take a permit that falls due within some seconds.

        Return the seconds until it is due, or ``None`` if there is none.
        """
        seconds = self.seconds_until_next(now)
        if seconds > within:
            return None
        self._use_next()
        return seconds

    def update(self, *, slots: tuple[int, ...], share: float, now: float) -> None:
        """Go on with other slots or another share; permits that were taken stay so."""
        share = max(share, MINIMUM_SHARE)
        if slots is self.slots and share == self.share:
            return
        if slots is not self.slots:
            # Others may have used what was due before as owners of these slots.
            self.used_until = max(self.used_until, int(now * self.rate) + 1)
        self.slots = slots
        self.share = share
        self.threshold = int(share * SPREAD_RANGE)
        oldest = int((now - self.lifetime) * self.rate) + 1
        self.next_permit = self._first_own(max(self.used_until, oldest))

    def _use_next(self) -> None:
        self.used_until = self.next_permit + 1
        self.next_permit = self._first_own(self.used_until)

    def _first_own(self, number: int) -> int:
        """Return the first permit of this daemon from a number on."""
        cycle, position = divmod(number + self.offset, CYCLE_SLOTS)
        index = bisect.bisect_left(self.slots, position)
        while True:
            if index == len(self.slots):
                cycle, index = cycle + 1, 0
            permit = cycle * CYCLE_SLOTS + self.slots[index] - self.offset
            if permit * SPREAD_MULTIPLIER % SPREAD_RANGE < self.threshold:
                return permit
            index += 1


@functools.lru_cache(maxsize=8)
def assign_slots(members: frozenset[str]) -> dict[str, tuple[int, ...]]:
    """Return each member's slots of the cycle, about equally many.

    Each member goes through the slots in an order of its own, and the members take
    their next free slot in turn (Maglev hashing).
    """
    names = sorted(members)
    hashes = [xxhash.xxh64_intdigest(name.encode()) for name in names]
    steps = [1 + value // CYCLE_SLOTS % (CYCLE_SLOTS - 1) for value in hashes]
    positions = [value % CYCLE_SLOTS for value in hashes]
    owners: list[int | None] = [None] * CYCLE_SLOTS
    taken = 0
    while taken < CYCLE_SLOTS:
        for member, step in enumerate(steps):
            position = positions[member]
            while owners[position] is not None:
                position = (position + step) % CYCLE_SLOTS
            owners[position] = member
            positions[member] = (position + step) % CYCLE_SLOTS
            taken += 1
            if taken == CYCLE_SLOTS:
                break
    slots: dict[str, list[int]] = {name: [] for name in names}
    for position, member in enumerate(owners):
        slots[names[member]].append(position)
    return {name: tuple(positions) for name, positions in slots.items()}

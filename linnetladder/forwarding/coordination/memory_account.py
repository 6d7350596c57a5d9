"""The memory that a daemon holds for others, under one bound.

Bodies of requests and of answers, what is read ahead and what waits for slow callers
are counted while any copy of them is held. Large bodies leave a share of the bound to
small ones, so that a crowd of large bodies does not exclude ordinary requests.
"""

import asyncio
import enum
import gc

from linnetladder.telemetry import Metrics

__all__ = ["MemoryAccount", "MemoryHolder", "MemoryLease", "memory_capacity"]

BYTES_PER_MEGABYTE = 1024 * 1024
# A body of at most this size is small and may use the whole bound.
SMALL_BYTES = 64 * 1024
# Shares of the bound that stay free for small bodies, for bodies of any size, and for
# all that is not an answer without a declared length.
SMALL_BODIES_SHARE = 0.25
BODIES_SHARE = 0.5
DECLARED_SHARE = 0.75
FREE_POLL_SECONDS = 0.02
# Share of the bound that may be given back before garbage is collected. Tracebacks of
# failed attempts are reference cycles, which hold their requests' bodies until then.
COLLECTION_SHARE = 0.125


class MemoryHolder(enum.StrEnum):
    """What memory is held for.

    ``BODIES`` are requests of callers and ``RELAYS`` those of peers, ``ANSWERS`` are
    answers that are read whole from endpoints, ``CALLERS`` what callers have not taken
    yet, and ``READ_AHEAD`` requests that wait behind another one on a connection.
    """

    BODIES = "bodies"
    RELAYS = "relays"
    ANSWERS = "answers"
    CALLERS = "callers"
    READ_AHEAD = "read_ahead"


def memory_capacity(*, memory_megabytes: int, share: float) -> int:
    """Return the bytes that an instance may hold for others.

    Examples
    --------
    >>> memory_capacity(memory_megabytes=300, share=0.25)
    78643200
    """
    return int(memory_megabytes * BYTES_PER_MEGABYTE * share)


class MemoryAccount:
    """Counts the bytes that are held for others and keeps them under ``capacity``."""

    def __init__(self, *, capacity: int, metrics: Metrics):
        self.capacity = capacity
        self.metrics = metrics
        self.held = dict.fromkeys(MemoryHolder, 0)
        # Bytes of large bodies that were given back since garbage was collected.
        self.given_back = 0
        # The lease that may exceed the bound, so that not all of them wait.
        self.overdrawn: MemoryLease | None = None
        for holder in MemoryHolder:
            metrics.gauge(
                f"held_bytes_{holder}",
                f"Bytes held for others: {holder}",
                lambda holder=holder: self.held[holder],
            )

    @property
    def total(self) -> int:
        """All bytes that are held."""
        return sum(self.held.values())

    def fits(self, size: int, *, spare_share: float = 0.0) -> bool:
        """Return whether more bytes leave a share of the bound free."""
        return self.total + size <= self.capacity * (1 - spare_share)

    def take_body(self, holder: MemoryHolder, size: int, *, held: int) -> bool:
        """Count more bytes of a body that holds some already; false if they don't fit.

        A body that is the only one is always taken, since its size is limited already.
        """
        is_large = held + size > SMALL_BYTES
        spare_share = SMALL_BODIES_SHARE if is_large else 0.0
        others = self.held[MemoryHolder.BODIES] + self.held[MemoryHolder.RELAYS] - held
        if others > 0 and not self.fits(size, spare_share=spare_share):
            return False
        self.held[holder] += size
        return True

    def take_read_ahead(self, size: int) -> bool:
        """Count bytes that are read ahead, which leave half of the bound free."""
        if not self.fits(size, spare_share=BODIES_SHARE):
            return False
        self.held[MemoryHolder.READ_AHEAD] += size
        return True

    def note_given_back(self, size: int) -> None:
        """Collect garbage once many bytes of large bodies were given back."""
        if size <= SMALL_BYTES:
            return
        self.given_back += size
        if self.given_back >= self.capacity * COLLECTION_SHARE:
            self.given_back = 0
            gc.collect()

    def record_unread(self, size: int) -> None:
        """Replace the count of what callers have not taken yet."""
        self.held[MemoryHolder.CALLERS] = size


class MemoryLease:
    """Bytes that are counted for one request until it is released."""

    def __init__(self, *, account: MemoryAccount, holder: MemoryHolder):
        self.account = account
        self.holder = holder
        self.size = 0

    def part(self) -> "MemoryLease":
        """Return a lease for a part of the same request, which holds nothing yet."""
        return MemoryLease(account=self.account, holder=self.holder)

    def grow(self, size: int) -> bool:
        """Count more bytes of a body; return false if they don't fit."""
        if not self.account.take_body(self.holder, size, held=self.size):
            return False
        self.size += size
        return True

    def shrink_to(self, size: int) -> None:
        """Give back what exceeds a size."""
        surplus = max(self.size - size, 0)
        self.account.held[self.holder] -= surplus
        self.size -= surplus

    def give_back_to(self, size: int) -> None:
        """Give back what an answer held that has failed, down to a size before it."""
        self.account.note_given_back(self.size - size)
        self.shrink_to(size)
        if self.account.overdrawn is self:
            self.account.overdrawn = None

    async def grow_when_free(self, size: int, *, has_length: bool = True) -> None:
        """Count more bytes of an answer, once they fit.

        Large answers leave a share of the bound free, most of it those without a
        declared length, which may have no end. One lease at a time goes on beyond the
        bound. Without it, answers that are read in part could wait for each other.
        """
        account = self.account
        spare_share = 0.0
        if self.size + size > SMALL_BYTES:
            spare_share = SMALL_BODIES_SHARE if has_length else DECLARED_SHARE
        while not account.fits(size, spare_share=spare_share):
            if account.overdrawn in (None, self):
                account.overdrawn = self
                break
            await asyncio.sleep(FREE_POLL_SECONDS)
        account.held[self.holder] += size
        self.size += size

    async def hold_part(self, size: int) -> None:
        """Count a part of an answer without a declared length, unless it is small.

        ``size`` are its bytes now. It waits until they fit.
        """
        if size <= SMALL_BYTES:
            self.shrink_to(0)
        elif size > self.size:
            await self.grow_when_free(size - self.size, has_length=False)

    def release(self) -> None:
        """Give all bytes back."""
        self.give_back_to(0)

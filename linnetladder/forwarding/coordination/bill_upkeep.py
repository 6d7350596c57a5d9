"""When bills are written: in few blocks while peers hold copies, at once without any.

A daemon that nobody else backs up, because its peers are gone, silent or leaving, lets
each answer's end wait a moment for its block. Otherwise no answer waits for the store.
"""

import asyncio

from linnetladder.forwarding.coordination.bills import BillBuffer, HeldBills
from linnetladder.forwarding.coordination.following import Follower
from linnetladder.forwarding.coordination.peer_news import BILL_HOLDERS, PeerNews
from linnetladder.telemetry import Metrics, log_change

__all__ = ["BillUpkeep"]

# Peers hold what is not written yet, so blocks are few.
LEAST_BLOCK_SECONDS = 4.0
BLOCK_SECONDS_PER_DAEMON = 0.15
# One holder may be gone for longer than a second before that is noticed.
FEW_HOLDERS_SECONDS = 0.5
# A block that could not be written is tried again after this.
RETRY_SECONDS = 1.0
HOLDERS_SECONDS = 0.5
RECOVER_SECONDS = 3.0
# Without holders a block is written for all answers that ended within this time.
ALONE_GAP_SECONDS = 0.03
# A write takes a few milliseconds; a slower store holds up no answer for longer.
SECURE_SECONDS = 0.15
LAST_RETRY_SECONDS = 0.2


class BillUpkeep:
    """Write bills, watch over who holds them, and write those of the gone."""

    def __init__(
        self,
        *,
        bills: BillBuffer,
        held_bills: HeldBills,
        peers: PeerNews,
        follower: Follower,
        metrics: Metrics,
    ):
        self.bills = bills
        self.held_bills = held_bills
        self.peers = peers
        self.follower = follower
        self.metrics = metrics
        self.wanted = asyncio.Event()
        self.flushed = asyncio.Event()
        self.writing = False

    async def run_writes(self) -> None:
        """Write blocks until cancelled."""
        self.writing = True
        while True:
            try:
                async with asyncio.timeout(self._pause()):
                    await self.wanted.wait()
            except TimeoutError:
                pass
            self.wanted.clear()
            self.writing = await self.bills.flush()
            self.flushed.set()
            self.flushed = asyncio.Event()
            await asyncio.sleep(ALONE_GAP_SECONDS)

    def _pause(self) -> float:
        """Return the time to the next block; a large fleet writes fewer of them."""
        if not self.writing:
            return RETRY_SECONDS
        if len(self.peers.holder_starts()) < BILL_HOLDERS:
            return FEW_HOLDERS_SECONDS
        daemons = len(self.peers.peers) + 1
        return max(LEAST_BLOCK_SECONDS, daemons * BLOCK_SECONDS_PER_DAEMON)

    async def run_watch(self) -> None:
        """Write at once when a peer that holds bills has gone or started anew."""
        known: list[str] = []
        while True:
            await asyncio.sleep(HOLDERS_SECONDS)
            holders = self.peers.holder_starts()
            if known and holders != known:
                self.wanted.set()
            known = holders

    async def run_recovery(self) -> None:
        """Write the bills of peers that are gone, until cancelled."""
        while True:
            await asyncio.sleep(RECOVER_SECONDS)
            if self.follower.reachable:
                await self.held_bills.recover(self.peers.listed)

    async def secure(self, *, seconds: float) -> None:
        """Return once the latest bill is with a peer, stands, or can't be written.

        An answer at hand goes out in time all the same: ``seconds`` is what it has.
        """
        sequence = self.bills.sequence
        try:
            async with asyncio.timeout(min(SECURE_SECONDS, seconds)):
                while self.writing and not self.peers.holder_starts():
                    if self.bills.written >= sequence:
                        return
                    self.wanted.set()
                    await self.flushed.wait()
        except TimeoutError:
            self.metrics.count("bills_unsecured")

    async def write_last(self, *, seconds: float) -> bool:
        """Write what waits and what is held, before the daemon leaves.

        A store that is away is waited for as long as the daemon may stay: nobody else
        may have these bills.
        """
        written = False
        try:
            async with asyncio.timeout(seconds):
                while not written:
                    own = await self.bills.flush()
                    written = await self.held_bills.hand_over() and own
                    if not written:
                        await asyncio.sleep(LAST_RETRY_SECONDS)
        except TimeoutError:
            log_change("the last bills were not written in time")
        return written

"""Scheduling of bill writes.

While peers hold copies, bills are written in few large blocks and no answer waits for
the store. If no peer holds copies, because all are stopped, silent or draining, blocks
are written at once and the end of each answer waits a limited time for its block.
While the store is lost, one more peer holds the unwritten bills, which are written as
soon as it is regained. When the era of the store rises, retained blocks are written
again soon.
"""

import asyncio
import math
import random

from linnetladder.forwarding.coordination.bill_replicas import BillReplicas
from linnetladder.forwarding.coordination.bills import RETENTION_SECONDS, BillBuffer
from linnetladder.forwarding.coordination.peer_gossip import BILL_HOLDERS, PeerGossip
from linnetladder.forwarding.coordination.store_polling import StorePoller
from linnetladder.telemetry import Metrics, log_change

__all__ = ["BillFlusher"]

# Intervals while enough peers hold copies; a larger fleet writes less often.
MINIMUM_FLUSH_INTERVAL_SECONDS = 4.0
FLUSH_INTERVAL_SECONDS_PER_DAEMON = 0.15
# With a single holder, its failure may go unnoticed for more than a second, so blocks
# are written sooner.
FEW_HOLDERS_FLUSH_INTERVAL_SECONDS = 0.5
# Delay before a failed write is retried.
RETRY_SECONDS = 1.0
HOLDER_POLL_SECONDS = 0.5
RECOVERY_INTERVAL_SECONDS = 3.0
# Pause after each flush. Without holders, the answers that end meanwhile share a block.
FLUSH_BATCH_SECONDS = 0.03
# Longest time that an answer waits for its block. A write normally takes a few
# milliseconds.
DURABILITY_TIMEOUT_SECONDS = 0.15
# Interval at which a daemon that exits looks for a peer that is alive.
HAND_OVER_POLL_SECONDS = 0.05
# Delay between the retries of the final flush before the daemon exits.
FINAL_RETRY_SECONDS = 0.2
# Further peers that hold bills while the store is lost, when no block can be written.
EXTRA_HOLDERS = 1
# Longest delay of the writes after a change of era, so that daemons spread them.
ERA_JITTER_SECONDS = 0.5


class BillFlusher:
    """Schedules the writes of this daemon's bills and the recovery of its peers'."""

    def __init__(
        self,
        *,
        bills: BillBuffer,
        bill_replicas: BillReplicas,
        peers: PeerGossip,
        poller: StorePoller,
        metrics: Metrics,
        seed: int,
    ):
        self.bills = bills
        self.bill_replicas = bill_replicas
        self.peers = peers
        self.poller = poller
        self.metrics = metrics
        self.flush_requested = asyncio.Event()
        self.flush_finished = asyncio.Event()
        self.last_flush_succeeded = False
        self.random = random.Random(seed)
        self.delay_seconds = 0.0
        self.era_rose_at = -math.inf
        self.known_holders: set[str] = set()
        poller.on_lost = self.on_store_lost
        poller.regained_listeners.append(self.on_store_regained)

    def on_era(self, era: int) -> None:
        """Request a flush after a random delay, or at once if no peer holds copies."""
        self.era_rose_at = self.peers.clock.monotonic()
        if self.peers.alive_holder_incarnations():
            self.delay_seconds = self.random.uniform(0, ERA_JITTER_SECONDS)
        self.flush_requested.set()

    def on_store_lost(self) -> None:
        """Send all unwritten bills to one more peer, until the store is regained."""
        self.peers.extra_holders = EXTRA_HOLDERS
        for copied in self.bills.unwritten_copies():
            self.bills.on_bill(copied)

    def on_store_regained(self) -> None:
        """Request a flush."""
        self.peers.extra_holders = 0
        self.flush_requested.set()

    async def run_flushes(self) -> None:
        """Write blocks when they are due or requested, until cancelled."""
        self.last_flush_succeeded = True
        while True:
            try:
                async with asyncio.timeout(self._flush_interval()):
                    await self.flush_requested.wait()
            except TimeoutError:
                pass
            delay, self.delay_seconds = self.delay_seconds, 0.0
            await asyncio.sleep(delay)
            self.flush_requested.clear()
            self.last_flush_succeeded = await self.bills.flush()
            self.flush_finished.set()
            self.flush_finished = asyncio.Event()
            await asyncio.sleep(FLUSH_BATCH_SECONDS)

    def _flush_interval(self) -> float:
        """Return the seconds until the next regular flush."""
        if not self.last_flush_succeeded:
            return RETRY_SECONDS
        if len(self.peers.alive_holder_incarnations()) < BILL_HOLDERS:
            return FEW_HOLDERS_FLUSH_INTERVAL_SECONDS
        daemon_count = len(self.peers.peers) + 1
        return max(
            MINIMUM_FLUSH_INTERVAL_SECONDS,
            daemon_count * FLUSH_INTERVAL_SECONDS_PER_DAEMON,
        )

    async def run_holder_watch(self) -> None:
        """Request a flush when a holder has stopped or restarted, until cancelled."""
        previous: list[str] = []
        while True:
            await asyncio.sleep(HOLDER_POLL_SECONDS)
            holders = self.peers.alive_holder_incarnations()
            if previous and holders != previous:
                self.flush_requested.set()
            self.share_with_new_holders(holders)
            previous = holders

    def share_with_new_holders(self, holders: list[str]) -> None:
        """Send all bills and copies that are kept, once a peer became a holder.

        The holders before it may all stop, and the store may lose what was written.
        """
        if not self.known_holders.issuperset(holders):
            self.share_all()
        self.known_holders.update(holders)

    def share_all(self) -> None:
        """Send all bills that are kept to the holders, and those of stopped peers."""
        for copied in self.bills.all_copies():
            self.bills.on_bill(copied)
        self.bill_replicas.share_orphans()

    async def hand_over(self, *, seconds: float) -> None:
        """Send all bills that are kept to the holders before this daemon exits.

        While the store has just returned from an older copy, it may do so again and
        lose what this daemon has written. If none of the peers is alive then, wait for
        one for some seconds.
        """
        try:
            async with asyncio.timeout(seconds):
                while (
                    self.peers.clock.monotonic() - self.era_rose_at < RETENTION_SECONDS
                    and self.peers.peers
                    and not self.peers.alive_holder_incarnations()
                ):
                    await asyncio.sleep(HAND_OVER_POLL_SECONDS)
        except TimeoutError:
            log_change("no peer took the bills over before the timeout")
        self.share_all()

    async def run_recovery(self) -> None:
        """Write the bills of peers that have stopped, until cancelled."""
        while True:
            await asyncio.sleep(RECOVERY_INTERVAL_SECONDS)
            if self.poller.reachable:
                await self.bill_replicas.recover_orphans(self.peers.listed_daemons)

    async def ensure_durable(self, *, seconds: float) -> None:
        """Wait until the latest bill is in the store or a live peer holds bills.

        It also returns when the store can't be written or a timeout is over.
        ``seconds`` is the time left for the answer, which must not miss its deadline.
        """
        sequence = self.bills.sequence
        try:
            async with asyncio.timeout(min(DURABILITY_TIMEOUT_SECONDS, seconds)):
                while (
                    self.last_flush_succeeded
                    and not self.peers.alive_holder_incarnations()
                ):
                    if self.bills.written >= sequence:
                        return
                    self.flush_requested.set()
                    await self.flush_finished.wait()
        except TimeoutError:
            self.metrics.count("bills_unsecured")

    async def flush_before_exit(self, *, seconds: float) -> bool:
        """Write this daemon's bills and its copies of peers' bills before it exits.

        Writes are retried for ``seconds`` if the store is unreachable, since no other
        daemon may have these bills. Blocks written before are written again if the era
        of the store has risen. Return whether all were written.
        """
        written = False
        self.bills.recheck()
        try:
            async with asyncio.timeout(seconds):
                while not written:
                    own_written = await self.bills.flush()
                    copies_written = await self.bill_replicas.write_all()
                    # The era may have risen during the last writes.
                    written = copies_written and own_written and not self.bills.blocks
                    if not written:
                        await asyncio.sleep(FINAL_RETRY_SECONDS)
        except TimeoutError:
            log_change("final bills not written before the timeout")
        return written

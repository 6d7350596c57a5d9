"""When bills are written: in few blocks while peers hold copies, at once without any.

A daemon that nobody else backs up, because its peers are gone, silent or leaving, lets
each answer's end wait a moment for its block. Otherwise no answer waits for the store.
"""

import asyncio

from linnetladder.forwarding.coordination.bills import BillBuffer, BillReplicas
from linnetladder.forwarding.coordination.peer_gossip import BILL_HOLDERS, PeerGossip
from linnetladder.forwarding.coordination.store_polling import StorePoller
from linnetladder.telemetry import Metrics, log_change

__all__ = ["BillUpkeep"]

# Peers hold what is not written yet, so blocks are few.
MINIMUM_FLUSH_INTERVAL_SECONDS = 4.0
FLUSH_INTERVAL_SECONDS_PER_DAEMON = 0.15
# One holder may be gone for longer than a second before that is noticed.
FEW_HOLDERS_FLUSH_INTERVAL_SECONDS = 0.5
# A block that could not be written is tried again after this.
RETRY_SECONDS = 1.0
HOLDER_POLL_SECONDS = 0.5
RECOVERY_INTERVAL_SECONDS = 3.0
# Without holders a block is written for all answers that ended within this time.
FLUSH_BATCH_SECONDS = 0.03
# A write takes a few milliseconds; a slower store holds up no answer for longer.
DURABILITY_TIMEOUT_SECONDS = 0.15
FINAL_RETRY_SECONDS = 0.2


class BillFlusher:
    """Write bills, watch over who holds them, and write those of the gone."""

    def __init__(
        self,
        *,
        bills: BillBuffer,
        bill_replicas: BillReplicas,
        peers: PeerGossip,
        poller: StorePoller,
        metrics: Metrics,
    ):
        self.bills = bills
        self.bill_replicas = bill_replicas
        self.peers = peers
        self.poller = poller
        self.metrics = metrics
        self.flush_requested = asyncio.Event()
        self.flush_finished = asyncio.Event()
        self.last_flush_succeeded = False

    async def run_flushes(self) -> None:
        """Write blocks until cancelled."""
        self.last_flush_succeeded = True
        while True:
            try:
                async with asyncio.timeout(self._flush_interval()):
                    await self.flush_requested.wait()
            except TimeoutError:
                pass
            self.flush_requested.clear()
            self.last_flush_succeeded = await self.bills.flush()
            self.flush_finished.set()
            self.flush_finished = asyncio.Event()
            await asyncio.sleep(FLUSH_BATCH_SECONDS)

    def _flush_interval(self) -> float:
        """Return the time to the next block; a large fleet writes fewer of them."""
        if not self.last_flush_succeeded:
            return RETRY_SECONDS
        if len(self.peers.alive_holder_incarnations()) < BILL_HOLDERS:
            return FEW_HOLDERS_FLUSH_INTERVAL_SECONDS
        daemons = len(self.peers.peers) + 1
        return max(
            MINIMUM_FLUSH_INTERVAL_SECONDS, daemons * FLUSH_INTERVAL_SECONDS_PER_DAEMON
        )

    async def run_holder_watch(self) -> None:
        """Write at once when a peer that holds bills has gone or started anew."""
        previous: list[str] = []
        while True:
            await asyncio.sleep(HOLDER_POLL_SECONDS)
            holders = self.peers.alive_holder_incarnations()
            if previous and holders != previous:
                self.flush_requested.set()
            previous = holders

    async def run_recovery(self) -> None:
        """Write the bills of peers that are gone, until cancelled."""
        while True:
            await asyncio.sleep(RECOVERY_INTERVAL_SECONDS)
            if self.poller.reachable:
                await self.bill_replicas.recover_orphans(self.peers.listed_daemons)

    async def ensure_durable(self, *, seconds: float) -> None:
        """Return once the latest bill is with a peer, stands, or can't be written.

        An answer at hand goes out in time all the same: ``seconds`` is what it has.
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
        """Write what waits and what is held, before the daemon leaves.

        A store that is away is waited for as long as the daemon may stay: nobody else
        may have these bills.
        """
        written = False
        try:
            async with asyncio.timeout(seconds):
                while not written:
                    own_written = await self.bills.flush()
                    written = await self.bill_replicas.write_all() and own_written
                    if not written:
                        await asyncio.sleep(FINAL_RETRY_SECONDS)
        except TimeoutError:
            log_change("the last bills were not written in time")
        return written

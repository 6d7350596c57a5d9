"""Polling of the platform's store: configuration, endpoints, roll-outs and daemons.

Content is fresh as of the last linearizable read, either a daemon's own or a peer's
that returned the same content. Each daemon chooses the time of its next read at random,
so usually one of them reads and its report confirms the content of the others. A newer
revision reported by a peer triggers a read at once.
"""

import asyncio
import random
from collections.abc import Callable

from returns.result import Failure

from linnetladder.coordination.platform import PlatformFault
from linnetladder.forwarding.coordination.budget import RetryBudget
from linnetladder.forwarding.coordination.directory import EndpointDirectory
from linnetladder.forwarding.coordination.in_force import TableInForce
from linnetladder.forwarding.coordination.peer_gossip import PeerGossip
from linnetladder.forwarding.coordination.rollouts import RolloutController
from linnetladder.forwarding.coordination.shared_snapshots import SharedSnapshots
from linnetladder.forwarding.coordination.sources import DaemonAddress, OperatorSource
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics, log_change, log_failure

__all__ = ["StorePoller"]

# A read begins this long before the bound by which a changed configuration or a leaving
# endpoint must be known, which leaves time for a slow read.
READ_LEAD_SECONDS = 0.75
MINIMUM_READ_INTERVAL_SECONDS = 0.5
# Fraction of the interval by which a read may come earlier, chosen at random, so that
# daemons read at different times.
READ_JITTER = 0.4
# A failed read is retried after the first delay, which then doubles up to the maximum.
# The maximum does no harm: a machine counts as disconnected for three seconds anyway.
FIRST_RETRY_SECONDS = 0.2
MAXIMUM_RETRY_SECONDS = 0.8
# Interval between reads while entries that lapsed in an outage may come back or expire,
# or while no other daemon is known.
UNSETTLED_READ_INTERVAL_SECONDS = 0.4
# Roll-outs are checked at this interval. Beyond this many daemons each one's interval
# grows, so that the number of checks per second stays the same.
STEP_INTERVAL_SECONDS = 0.5
DAEMONS_PER_STEP_INTERVAL = 12
REGISTRATION_RENEWAL_SECONDS = 4.0
REGISTRATION_LEASE_SECONDS = 12.0


class StorePoller:
    """Reads the store at short intervals and passes its content to the other parts."""

    def __init__(
        self,
        *,
        source: OperatorSource,
        in_force: TableInForce,
        directory: EndpointDirectory,
        rollouts: RolloutController,
        peers: PeerGossip,
        snapshots: SharedSnapshots,
        budget: RetryBudget,
        address: DaemonAddress,
        clock: Clock,
        metrics: Metrics,
        seed: int,
    ):
        self.source = source
        self.in_force = in_force
        self.directory = directory
        self.rollouts = rollouts
        self.peers = peers
        self.snapshots = snapshots
        self.budget = budget
        self.address = address
        self.clock = clock
        self.metrics = metrics
        self.random = random.Random(seed)
        self.reachable = True
        self.failures = 0
        self.leaving = False
        self.read_requested = asyncio.Event()
        self.on_read: Callable[[], None] = _do_nothing
        self.on_lost: Callable[[], None] = _do_nothing
        self.on_regained: Callable[[], None] = _do_nothing
        peers.on_revision = self.on_peer_revision
        peers.on_confirmation = self.on_peer_confirmation

    async def run(self) -> None:
        """Read until cancelled; earlier than due if a read is requested."""
        while True:
            self.read_requested.clear()
            if await self.read_once():
                self.on_read()
                await self._wait_until_age(self._read_age())
                self.failures = 0
            else:
                await asyncio.sleep(self._retry_delay())
                self.failures += 1

    async def _wait_until_age(self, age: float) -> None:
        """Wait until the content reaches an age in seconds, or a read is requested.

        A confirmation by a peer lowers the age and so prolongs the wait.
        """
        while (remaining := age - self.in_force.age()) > 0:
            if await self._wait_for_request(remaining):
                return

    async def _wait_for_request(self, seconds: float) -> bool:
        """Wait; return true, without waiting further, when a read is requested."""
        try:
            async with asyncio.timeout(seconds):
                await self.read_requested.wait()
        except TimeoutError:
            return False
        return True

    def _retry_delay(self) -> float:
        """Return the delay before the next retry: exponential backoff with jitter."""
        seconds = min(FIRST_RETRY_SECONDS * 2**self.failures, MAXIMUM_RETRY_SECONDS)
        return seconds * self.random.uniform(0.75, 1.25)

    def _read_age(self) -> float:
        """Return the age in seconds at which the content is read again, with jitter."""
        if not self.directory.is_settled or not self.peers.peers:
            return UNSETTLED_READ_INTERVAL_SECONDS
        return self.read_interval() * (1 - self.random.uniform(0, READ_JITTER))

    def read_interval(self) -> float:
        """Return the maximum seconds between reads that the settings' bounds allow."""
        bounds = self.in_force.settings.bounds
        smallest_bound = min(bounds.configuration, bounds.drain, bounds.revoke / 2)
        return max(smallest_bound - READ_LEAD_SECONDS, MINIMUM_READ_INTERVAL_SECONDS)

    async def read_once(self) -> bool:
        """Read the store, apply its content, and return whether the read succeeded."""
        began = self.clock.monotonic()
        read = await self.source.read()
        if isinstance(read, Failure):
            self._note_fault(read.failure())
            return False
        snapshot = read.unwrap()
        self.rollouts.update_orders(snapshot.orders)
        self.rollouts.update_records(snapshot.records)
        self.snapshots.record_snapshot(snapshot, began=began)
        self.in_force.confirm(snapshot.table, read_began=began)
        self.directory.apply(snapshot.endpoints, interval=self.read_interval())
        self.peers.update_daemons(snapshot.daemons)
        self.peers.revision = self.newest_revision()
        self.budget.daemons = self.rollouts.daemons = len(self.peers.peers) + 1
        self.peers.loads.daemons = self.budget.daemons
        self.peers.outcomes.daemons = self.budget.daemons
        self._note_success()
        return True

    def newest_revision(self) -> int:
        """Return the newest known revision of configuration, orders and records."""
        table = self.in_force.table
        revision = table.revision if table is not None else 0
        return max(revision, self.rollouts.newest_revision())

    def on_peer_revision(self, revision: int) -> None:
        """Request a read if a peer reports a newer revision."""
        if revision > self.newest_revision():
            self.read_requested.set()

    def on_peer_confirmation(self, since: float) -> None:
        """Record that a peer's read confirmed the content as of a time.

        It is ignored while lapsed entries may come back, so that the daemon reads the
        store itself.
        """
        if not self.directory.is_settled:
            return
        self.in_force.confirm(None, read_began=since)
        self.directory.confirm(since)

    async def run_rollouts(self) -> None:
        """Check and advance roll-outs until cancelled."""
        while True:
            try:
                if self.reachable and not self.leaving and await self.rollouts.step():
                    self.read_requested.set()
            except Exception as error:
                log_failure("roll-out step failed", error)
            await asyncio.sleep(self._step_interval())

    def _step_interval(self) -> float:
        """Return the seconds until the next check of the roll-outs, with jitter."""
        scale = max(1.0, (len(self.peers.peers) + 1) / DAEMONS_PER_STEP_INTERVAL)
        return STEP_INTERVAL_SECONDS * scale * self.random.uniform(0.8, 1.2)

    async def run_registration(self) -> None:
        """Renew this daemon's registration until cancelled, except while it leaves."""
        while True:
            if not self.leaving:
                await self.source.register_daemon(
                    self.address, seconds=REGISTRATION_LEASE_SECONDS
                )
            await asyncio.sleep(REGISTRATION_RENEWAL_SECONDS)

    def _note_fault(self, fault: PlatformFault) -> None:
        self.metrics.count("platform_faults", label=fault.kind)
        if self.reachable:
            self.reachable = False
            log_change("store lost", kind=fault.kind, detail=fault.detail)
            self.on_lost()

    def _note_success(self) -> None:
        if not self.reachable:
            self.reachable = True
            log_change("store regained")
            self.on_regained()


def _do_nothing() -> None:
    """Do nothing; the default action."""

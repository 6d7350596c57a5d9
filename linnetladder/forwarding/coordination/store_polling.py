"""Polling of the platform's store: configuration, endpoints, roll-outs and daemons.

Content is fresh as of the last linearizable read, either a daemon's own or a peer's
that returned the same content. Each daemon chooses the time of its next read at random,
so usually one of them reads and its report confirms the content of the others. A newer
position reported by a peer triggers a read at once. After a change of the store's era
that read waits for a short random time.

Beside the reads, each daemon waits at the store for a change of the configuration, and
has it in force as soon as it has arrived. While a large one is on its way the reads go
on without it, and confirm nothing.
"""

import asyncio
import math
import random
from collections.abc import Callable

from returns.result import Failure, Result, Success

from linnetladder.coordination.platform import PlatformFault
from linnetladder.forwarding.coordination.budget import RetryBudget
from linnetladder.forwarding.coordination.crash_records import CrashRecords
from linnetladder.forwarding.coordination.directory import EndpointDirectory
from linnetladder.forwarding.coordination.evacuations import Evacuations
from linnetladder.forwarding.coordination.in_force import TableInForce
from linnetladder.forwarding.coordination.peer_gossip import PeerGossip
from linnetladder.forwarding.coordination.read_groups import ReadGroups
from linnetladder.forwarding.coordination.request_limits import RequestLimits
from linnetladder.forwarding.coordination.rollouts import RolloutController
from linnetladder.forwarding.coordination.shared_reads import (
    COLLECT_SECONDS,
    SharedReads,
)
from linnetladder.forwarding.coordination.shared_snapshots import SharedSnapshots
from linnetladder.forwarding.coordination.sources import (
    DaemonAddress,
    OperatorSource,
    StoreSnapshot,
)
from linnetladder.forwarding.coordination.store_era import StoreEra
from linnetladder.forwarding.state import Position, RoutingTable
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
# Part of the interval between the reads of a group that is left for one that fails and
# is followed by a read of the member's own.
GROUP_READ_SECONDS = 0.4
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
# Pause between waits for the next configuration, which may come in quick succession.
WATCH_PAUSE_SECONDS = 0.2
# A wait for the next configuration that failed is repeated after this time.
WATCH_RETRY_SECONDS = 1.0
# All daemons hear of a new era of the store within some tenths of a second.
ERA_READ_JITTER_SECONDS = 0.4
REGISTRATION_RENEWAL_SECONDS = 4.0
# A registration that the store lost is written again within this time, at random;
# one that failed is retried after this time or up to twice as long.
REGISTRATION_RETRY_SECONDS = 1.0
# Daemons that have regained the store register within this time, at random.
REGISTRATION_JITTER_SECONDS = 0.3
REGISTRATION_LEASE_SECONDS = 12.0


class StorePoller:
    """Reads the store at short intervals and passes its content to the other parts."""

    def __init__(
        self,
        *,
        source: OperatorSource,
        shared_reads: SharedReads,
        read_groups: ReadGroups,
        era: StoreEra,
        in_force: TableInForce,
        directory: EndpointDirectory,
        rollouts: RolloutController,
        peers: PeerGossip,
        snapshots: SharedSnapshots,
        budget: RetryBudget,
        limits: RequestLimits,
        crash_records: CrashRecords,
        evacuations: Evacuations,
        address: DaemonAddress,
        clock: Clock,
        metrics: Metrics,
        seed: int,
    ):
        self.source = source
        self.shared_reads = shared_reads
        self.read_groups = read_groups
        self.era = era
        self.position = Position(era=0, revision=0)
        self.newest_heard = Position(era=0, revision=0)
        self.in_force = in_force
        self.directory = directory
        self.rollouts = rollouts
        self.peers = peers
        self.snapshots = snapshots
        self.budget = budget
        self.limits = limits
        self.crash_records = crash_records
        self.evacuations = evacuations
        self.address = address
        self.clock = clock
        self.metrics = metrics
        self.random = random.Random(seed)
        self.reachable = True
        self.failures = 0
        self.leaving = False
        self.reading = False
        self.read_requested = asyncio.Event()
        self.registration_lost = asyncio.Event()
        self.registration_failed = False
        self.on_read: Callable[[], None] = _do_nothing
        self.content_confirmed_at = -math.inf
        self.table_is_current = False
        self.configuration_watch: asyncio.Future | None = None
        era.listeners.append(self.on_era_change)
        peers.on_position = self.on_peer_position
        self.on_lost: Callable[[], None] = _do_nothing
        self.regained_listeners: list[Callable[[], None]] = []
        peers.on_confirmation = self.on_peer_confirmation

    async def run(self) -> None:
        """Read until cancelled; earlier than due if a read is requested."""
        while True:
            await self._delay_after_era_change()
            self.read_requested.clear()
            if await self.read_once():
                self.on_read()
                await self._wait_until_due()
                self.failures = 0
            else:
                await asyncio.sleep(self._retry_delay())
                self.failures += 1

    async def _delay_after_era_change(self) -> None:
        """Wait for a random time if a new era is known that was not read yet."""
        if self.position.era < (self.era.current or 0):
            await asyncio.sleep(self.random.uniform(0, ERA_READ_JITTER_SECONDS))

    async def _wait_until_due(self) -> None:
        """Wait until the store is to be read again, or a read is requested.

        The daemons of a group read at the same times, so that one read serves all.
        """
        if not self.table_is_current:
            seconds = self.read_interval() * (1 - READ_JITTER)
            await _wait_for(self.read_requested, seconds)
            return
        if not self.read_groups.active or not self.directory.is_settled:
            await self._wait_until_age(self._read_age())
            return
        period = self.read_interval() - GROUP_READ_SECONDS
        seconds = self.read_groups.seconds_until_turn(period, self.clock.unix)
        if self.read_groups.reader() is None:
            # The requests of the others arrive first.
            seconds += COLLECT_SECONDS
        await _wait_for(self.read_requested, seconds)

    async def _wait_until_age(self, age: float) -> None:
        """Wait until the last read reaches an age in seconds, or a read is requested.

        A confirmation by a peer lowers the age and so prolongs the wait.
        """
        while (remaining := age - self._content_age()) > 0:
            if await _wait_for(self.read_requested, remaining):
                return

    def _content_age(self) -> float:
        """Return the seconds since the content last read was current."""
        return self.clock.monotonic() - self.content_confirmed_at

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
        smallest_bound = min(
            bounds.configuration,
            bounds.drain,
            bounds.revoke / 2,
            bounds.evacuate / 2,
        )
        return max(smallest_bound - READ_LEAD_SECONDS, MINIMUM_READ_INTERVAL_SECONDS)

    async def read_once(self) -> bool:
        """Read the store, apply its content, and return whether the read succeeded.

        Content that can't be applied is a failed read: the daemon goes on with what it
        has, and reads again.
        """
        try:
            return await self._read_and_apply()
        except Exception as error:
            self.metrics.count("platform_faults", label="unusable_content")
            log_failure("the store's content can't be applied", error)
            return False

    async def _read_and_apply(self) -> bool:
        began = self.clock.monotonic()
        heard_before = self.newest_heard
        read = await self._read_source()
        if isinstance(read, Failure):
            self._note_fault(read.failure())
            return False
        snapshot = read.unwrap()
        self.rollouts.update_orders(snapshot.orders, era=snapshot.era)
        self.rollouts.update_records(snapshot.records, era=snapshot.era)
        self.table_is_current = snapshot.table_is_current
        if snapshot.table_is_current:
            self.snapshots.record_snapshot(snapshot, began=began)
            self.content_confirmed_at = began
            if snapshot.table_problem:
                self.in_force.note_unreadable(snapshot.table_problem)
            else:
                self.in_force.confirm_read(snapshot.table, began=began)
            self.peers.configuration_version = self.in_force.newest_version_known
        self.evacuations.update(
            snapshot.evacuated_domains, era=snapshot.era, began=began
        )
        self.directory.apply(
            snapshot.endpoints, interval=self.read_interval(), era=snapshot.era
        )
        self.crash_records.update(snapshot.crashing_parts)
        self.peers.update_daemons(snapshot.daemons)
        if snapshot.table_is_current:
            position = self._position_of(snapshot, heard_before)
            self.position = max(self.position, position)
            self.peers.position = self.position
        self.budget.daemons = self.rollouts.daemons = len(self.peers.peers) + 1
        self.limits.update_members(self.peers.members())
        self.peers.loads.daemons = self.budget.daemons
        self.peers.outcomes.daemons = self.budget.daemons
        self._note_success()
        return True

    async def run_configuration_watch(self) -> None:
        """Apply each new configuration as soon as it has arrived, until cancelled."""
        while True:
            began = self.clock.monotonic()
            self.configuration_watch = asyncio.ensure_future(
                self.source.wait_for_table()
            )
            try:
                await asyncio.wait([self.configuration_watch])
            finally:
                self.configuration_watch.cancel()
            if self.configuration_watch.cancelled():
                # The store's era has changed.
                continue
            try:
                found = self.configuration_watch.result()
                if isinstance(found, Success):
                    self._apply_table(found.unwrap(), began=began)
                    await asyncio.sleep(WATCH_PAUSE_SECONDS)
                    continue
            except Exception as error:
                log_failure("waiting for a configuration failed", error)
            await self._wait_until_reachable()

    def _apply_table(self, table: RoutingTable | None, *, began: float) -> None:
        """Put a table into force, which the next read confirms."""
        if table is not None:
            self.in_force.confirm_read(table, began=began)
            self.peers.configuration_version = self.in_force.newest_version_known

    async def _wait_until_reachable(self) -> None:
        """Wait before a retry, at least until a read of the store has succeeded."""
        await asyncio.sleep(WATCH_RETRY_SECONDS * self.random.uniform(0.5, 1.0))
        while not self.reachable:
            await asyncio.sleep(WATCH_RETRY_SECONDS)

    def _position_of(self, snapshot: StoreSnapshot, heard: Position) -> Position:
        """Return the position that a read includes.

        ``heard`` is the newest one that a peer had named before the read began. Its key
        may be deleted since; the read lacks its revision then, but is newer.
        """
        if heard.era != snapshot.era:
            return snapshot.position
        return max(snapshot.position, heard)

    async def _read_source(self) -> Result[StoreSnapshot, PlatformFault]:
        """Read the store and observe the era of the content."""
        self.reading = True
        try:
            read = await self.shared_reads.read()
            if isinstance(read, Success) and read.unwrap().era:
                self.era.observe(read.unwrap().era)
            return read
        finally:
            self.reading = False

    def on_peer_position(self, position: Position, configuration_version: int) -> None:
        """Record what a peer knows of; request a read if its position is newer."""
        if position.era:
            self.era.observe(position.era)
        self.newest_heard = max(self.newest_heard, position)
        if position > self.position:
            self.read_requested.set()
        self.in_force.note_version(
            configuration_version, after_read=position > self.position
        )
        self.peers.configuration_version = self.in_force.newest_version_known

    def on_era_change(self, era: int) -> None:
        """Prepare for content of an older copy, and read it unless a read found it."""
        self.in_force.note_era_change()
        self.peers.note_era_change()
        self.registration_lost.set()
        if self.configuration_watch is not None:
            # It waits for revisions after one that may not be reached again.
            self.configuration_watch.cancel()
        if not self.reading:
            self.read_requested.set()

    def on_peer_confirmation(self, since: float) -> None:
        """Record that a peer's read confirmed the content as of a time.

        It is ignored while lapsed entries may come back, so that the daemon reads the
        store itself.
        """
        if not self.directory.is_settled:
            return
        self.content_confirmed_at = max(self.content_confirmed_at, since)
        self.in_force.confirm(since)
        self.directory.confirm(since)
        self.evacuations.confirm(since)

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
        """Renew this daemon's registration until cancelled, except while it leaves.

        After a change of era it is written again, after a short random time; one that
        failed, as soon as the store is regained.
        """
        while True:
            self.registration_lost.clear()
            registered = self.leaving or await self._register()
            if not registered:
                self.registration_failed = True
                delay = REGISTRATION_RETRY_SECONDS + self._registration_delay()
                if await _wait_for(self.registration_lost, delay):
                    jitter = self.random.uniform(0, REGISTRATION_JITTER_SECONDS)
                    await asyncio.sleep(jitter)
                self.registration_failed = False
            elif await _wait_for(self.registration_lost, REGISTRATION_RENEWAL_SECONDS):
                await asyncio.sleep(self._registration_delay())

    async def _register(self) -> bool:
        """Register this daemon or renew that, and return whether it succeeded."""
        registered = await self.source.register_daemon(
            self.address, seconds=REGISTRATION_LEASE_SECONDS
        )
        return not isinstance(registered, Failure)

    def _registration_delay(self) -> float:
        """Return the random seconds before a registration is written again."""
        return REGISTRATION_RETRY_SECONDS * self.random.uniform(0.0, 1.0)

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
            if self.registration_failed:
                self.registration_lost.set()
            for listener in self.regained_listeners:
                listener()


async def _wait_for(event: asyncio.Event, seconds: float) -> bool:
    """Wait; return true, without waiting further, when an event is set."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True


def _do_nothing() -> None:
    """Do nothing; the default action."""

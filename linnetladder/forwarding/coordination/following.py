"""Following the platform's store: configuration, endpoints, roll-outs, daemons.

Freshness rests on linearizable reads alone. Endpoints are read before the
configuration and taken in after it, so that the endpoints of a version that is being
brought in are never known before its order is.
"""

import asyncio
import random

from returns.result import Failure

from linnetladder.coordination.platform import PlatformFault
from linnetladder.forwarding.coordination.budget import WindowBudget
from linnetladder.forwarding.coordination.directory import Directory
from linnetladder.forwarding.coordination.in_force import TableInForce
from linnetladder.forwarding.coordination.peer_news import PeerNews
from linnetladder.forwarding.coordination.rollouts import Rollouts
from linnetladder.forwarding.coordination.sources import DaemonAddress, OperatorSource
from linnetladder.state import Clock
from linnetladder.telemetry import Metrics, log_change, log_failure

__all__ = ["Follower"]

# A third of the time within which a configuration or a leaving endpoint must be known.
READ_SECONDS = 0.65
JITTER_SECONDS = 0.1
RETRY_SECONDS = 0.2
STEP_SECONDS = 0.5
DAEMONS_SECONDS = 2.0
REGISTRATION_SECONDS = 8.0


class Follower:
    """Read the store at short intervals and hand on what it says."""

    def __init__(
        self,
        *,
        source: OperatorSource,
        in_force: TableInForce,
        directory: Directory,
        rollouts: Rollouts,
        peers: PeerNews,
        budget: WindowBudget,
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
        self.budget = budget
        self.address = address
        self.clock = clock
        self.metrics = metrics
        self.random = random.Random(seed)
        self.reachable = True
        self.leaving = False

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            succeeded = await self.read_once()
            pause = READ_SECONDS if succeeded else RETRY_SECONDS
            await asyncio.sleep(pause + self.random.uniform(0, JITTER_SECONDS))

    async def read_once(self) -> bool:
        """Read endpoints and configuration once and return whether both were read."""
        endpoints = await self.source.read_endpoints()
        began = self.clock.monotonic()
        configuration = await self.source.read_configuration()
        if isinstance(configuration, Failure):
            self._note_fault(configuration.failure())
            return False
        reading = configuration.unwrap()
        self.rollouts.take_orders(reading.orders)
        self.in_force.confirm(reading.table, read_began=began)
        if isinstance(endpoints, Failure):
            self._note_fault(endpoints.failure())
            return False
        self.directory.take(endpoints.unwrap())
        self._note_success()
        return True

    async def run_rollouts(self) -> None:
        """Follow and move roll-outs until cancelled."""
        while True:
            try:
                if self.rollouts.active():
                    read = await self.source.read_rollouts()
                    self.rollouts.take_records(read.value_or(()))
                    if not isinstance(read, Failure) and not self.leaving:
                        await self.rollouts.step()
            except Exception as error:
                log_failure("roll-out step failed", error)
            await asyncio.sleep(STEP_SECONDS + self.random.uniform(0, STEP_SECONDS / 2))

    async def run_registration(self) -> None:
        """Stay registered and know the other daemons until cancelled."""
        while True:
            if not self.leaving:
                await self.source.register_daemon(
                    self.address, seconds=REGISTRATION_SECONDS
                )
            read = await self.source.read_daemons()
            if not isinstance(read, Failure):
                self.peers.know(read.unwrap())
                self.budget.daemons = max(len(self.peers.peers) + 1, 1)
            await asyncio.sleep(DAEMONS_SECONDS)

    def _note_fault(self, fault: PlatformFault) -> None:
        self.metrics.count("platform_faults", label=fault.kind)
        if self.reachable:
            self.reachable = False
            log_change("store lost", kind=fault.kind, detail=fault.detail)

    def _note_success(self) -> None:
        if not self.reachable:
            self.reachable = True
            log_change("store regained")

"""Fault injection from outside the daemons' processes.

A run records what it disturbed and when, because some guarantees hold only for what was
not disturbed.
"""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable, Sequence

from bench.evacuation_checks import Evacuation
from bench.fleet_site import FleetSite
from bench.partition_checks import Cut
from bench.processes import wait_for
from standins.broken_answers import Answer
from standins.fleet_worker import Fault

__all__ = ["FaultInjector", "FaultRecord"]

READY_TIMEOUT_SECONDS = 30.0
SILENCE_SECONDS = 4.0
LOST_REPLY_COUNT = 4
REWRITE_SECONDS = 1.5
EVACUATION_PREFIX = "op/evacuate/"
STORE_POLL_SECONDS = 0.05
STORE_LINK_PREFIX = "store-"
# Keys of the operator and of the workers, who write them again after a drill.
REWRITTEN_PREFIXES = ("op/", "servers/")


class FaultRecord:
    """The faults injected into a site, in seconds of the monotonic clock.

    ``disturbances`` holds the start and end of unplanned faults. ``drained_at`` maps
    each draining worker, and ``stopping`` each stopping daemon, to when that began.
    ``revoked_at`` is when the guest's credential was revoked, or 0. ``stopped`` holds,
    for each daemon, the periods in which it was restarted or suspended, and
    ``lives_began`` the times at which its process was started again.
    ``crash_causes`` are the paths of requests and the parts of prompts on which workers
    crash, and ``cuts`` the periods in which daemons were cut off from all workers.
    ``store_faults`` holds, by daemon, the periods in which the store or its link to it
    was disturbed, those of all daemons under an empty name. ``brittle_periods`` holds
    the services whose workers said that they are brittle, from when and until when, and
    ``evacuations`` those of failure domains.
    """

    def __init__(self):
        self.disturbances: list[tuple[float, float]] = []
        self.drained_at: dict[str, float] = {}
        self.stopping: dict[str, float] = {}
        self.revoked_at = 0.0
        self.stopped: dict[str, list[tuple[float, float]]] = {}
        self.lives_began: dict[str, list[float]] = {}
        self.crash_causes: set[str] = set()
        self.cuts: list[Cut] = []
        self.store_faults: dict[str, list[tuple[float, float]]] = {}
        self.odd_entries = 0
        self.brittle_periods: list[tuple[str, float, float]] = []
        self.evacuations: list[Evacuation] = []


class FaultInjector:
    """Injects one fault per call; several may overlap."""

    def __init__(self, *, site: FleetSite, record: FaultRecord):
        self.site = site
        self.record = record
        self.limited: set[str] = set()
        self.evacuated: set[str] = set()
        self.partitioned = False

    async def worker_answers(self, worker: str, faults: list[Fault]) -> None:
        """Make a worker answer its next requests with the given faults."""
        self._worker(worker).faults.extend(faults)

    async def break_answers(self, worker: str, answers: list[Answer]) -> None:
        """Make a worker send answers that are no sound responses."""
        self._worker(worker).broken_answers.extend(answers)

    async def silence(self, link: str) -> None:
        """Stop forwarding on the open connections of a link; new ones work."""
        with self._link_disturbance(link, SILENCE_SECONDS):
            self.site.relays[link].silence()

    async def cut(self, link: str, seconds: float) -> None:
        """Drop a link's connections and refuse new ones for a time."""
        relay = self.site.relays[link]
        with self._link_disturbance(link, seconds):
            relay.cut()
            await asyncio.sleep(seconds)
            relay.is_cut = False

    async def partition(
        self, daemons: list[str], seconds: float, *, resets: bool
    ) -> None:
        """Cut daemons off from all workers; further calls do nothing meanwhile.

        New connections are refused. Open ones are reset, or live on.
        """
        if self.partitioned:
            return
        self.partitioned = True
        began = time.monotonic()
        links = [link for name in daemons for link in self.site.own_links_of(name)]
        for link in links:
            self.site.refuse_connections(link)
            if resets:
                self.site.relays[link].cut()
        await asyncio.sleep(seconds)
        for link in links:
            await self.site.accept_connections(link)
        cut = Cut(began=began, ended=time.monotonic(), daemons=tuple(daemons))
        self.record.cuts.append(cut)
        self.partitioned = False

    async def pause(self, daemon: str, seconds: float) -> None:
        """Suspend a daemon's process for a time."""
        began = time.monotonic()
        with Disturbance(self.record, seconds):
            self.site.process_manager.send(daemon, signal.SIGSTOP)
            await asyncio.sleep(seconds)
            self.site.process_manager.send(daemon, signal.SIGCONT)
        periods = self.record.stopped.setdefault(daemon, [])
        periods.append((began, time.monotonic()))

    async def kill(self, daemon: str) -> None:
        """Kill a daemon and start it again."""
        await self._restart(daemon, signal.SIGKILL, unplanned=True)

    async def terminate(self, daemon: str) -> None:
        """Stop a daemon with SIGTERM, as the platform does, and start it again."""
        await self._restart(daemon, signal.SIGTERM, unplanned=False)

    async def reload(self, daemon: str) -> None:
        """Make a daemon reload its settings."""
        self.site.process_manager.send(daemon, signal.SIGHUP)

    async def change_configuration(self) -> None:
        """Write the next version of the configuration."""
        self.site.publish_configuration()

    async def disturb_in_series(
        self, faults: Sequence[Callable[[], Awaitable[None]]], gaps: Sequence[float]
    ) -> None:
        """Inject faults with gaps in seconds between their starts; they may overlap."""
        async with asyncio.TaskGroup() as tasks:
            for fault, gap in zip(faults, gaps, strict=True):
                tasks.create_task(fault())
                await asyncio.sleep(gap)

    async def store_outage(self, seconds: float) -> None:
        """Make the store unavailable for a time."""
        with Disturbance(self.record, seconds, store_of=""):
            self.site.store.down = True
            await asyncio.sleep(seconds)
            self.site.store.down = False

    async def drill(self, seconds: float, copy_seconds: float) -> None:
        """Take the store away and return it from an older copy.

        The copy is ``copy_seconds`` old when the store goes away. The operator and the
        workers write again what is lost of theirs, within `REWRITE_SECONDS`, each its
        latest version.
        """
        store = self.site.store
        with Disturbance(self.record, seconds + REWRITE_SECONDS, store_of=""):
            store.down = True
            await asyncio.sleep(seconds)
            lost = store.rewind(seconds + copy_seconds)
            store.down = False
            await asyncio.sleep(REWRITE_SECONDS)
            for key, item in lost.items():
                if not key.startswith(REWRITTEN_PREFIXES):
                    continue
                if key in store.documents:
                    store.put_bytes(key, store.documents[key])
                elif item is None:
                    store.remove(key)

    async def lost_replies(self) -> None:
        """Drop the replies to the store's next calls, which still take effect."""
        with Disturbance(self.record, 1.0, store_of=""):
            self.site.store.faults.extend(["lost_reply"] * LOST_REPLY_COUNT)

    async def revoke(self) -> None:
        """Revoke the guest's credential; further calls do nothing."""
        if not self.record.revoked_at:
            self.site.keys.pop("guest", None)
            self.site.publish_configuration()
            self.record.revoked_at = time.monotonic()

    async def limit(
        self, worker: str, limits: list[float | None], seconds: float
    ) -> None:
        """Make a worker name limits one after the other, each for a time, then none.

        Further calls do nothing while it does.
        """
        if worker in self.limited:
            return
        self.limited.add(worker)
        target = self._worker(worker)
        for limit in limits:
            target.name_limit(limit)
            await asyncio.sleep(seconds)
        target.name_limit(None)
        self.limited.discard(worker)

    async def pause_requests(self, worker: str, seconds: float) -> None:
        """Make a worker turn requests away and ask for a pause, for as long as that.

        Further calls do nothing while it does.
        """
        target = self._worker(worker)
        if target.pause_seconds is not None:
            return
        target.pause_seconds = seconds
        await asyncio.sleep(seconds)
        target.pause_seconds = None

    async def leave(self, worker: str, seconds: float) -> None:
        """Make a worker say that it leaves, then start it again under its name.

        Its entry in the store says nothing of it. Further calls do nothing meanwhile.
        """
        target = self._worker(worker)
        if target.leaving or worker in self.record.drained_at:
            return
        target.leaving = True
        await asyncio.sleep(seconds)
        target.restart()

    async def return_cold(self, domain: str) -> None:
        """Stop the workers of a failure domain, which return together and are cold."""
        for worker in self.site.workers:
            if worker.zone == domain:
                self.site.crash_worker(worker.name)

    async def make_cold(self, worker: str) -> None:
        """Make a worker cold again that runs on."""
        self._worker(worker).become_cold()

    async def evacuate(self, domain: str, seconds: float) -> None:
        """Write the evacuation of a failure domain, and remove it later.

        Both take place once the store is available. Further calls for a domain do
        nothing meanwhile; evacuations of several domains may overlap.
        """
        if domain in self.evacuated:
            return
        self.evacuated.add(domain)
        await self._wait_for_store()
        self.site.store.put(EVACUATION_PREFIX + domain, {})
        began = time.monotonic()
        await asyncio.sleep(seconds)
        await self._wait_for_store()
        ended = time.monotonic()
        self.site.store.remove(EVACUATION_PREFIX + domain)
        evacuation = Evacuation(domain=domain, began=began, ended=ended)
        self.record.evacuations.append(evacuation)
        self.evacuated.discard(domain)

    async def _wait_for_store(self) -> None:
        while self.site.store.down:
            await asyncio.sleep(STORE_POLL_SECONDS)

    async def make_brittle(self, service: str, limit: int, seconds: float) -> None:
        """Make a service's workers brittle for a time.

        They fall over if they have to turn away more than ``limit`` requests a second.
        """
        workers = [w for w in self.site.workers if w.service == service]
        began = time.monotonic()
        for worker in workers:
            worker.brittle_limit = limit
        await asyncio.sleep(seconds)
        for worker in workers:
            worker.brittle_limit = None
        self.record.brittle_periods.append((service, began, time.monotonic()))

    async def leave_odd_entry(self, name: str, value: bytes) -> None:
        """Write an entry of another writer among those of the workers."""
        self.site.store.put_bytes(f"servers/{name}", value)
        self.record.odd_entries += 1

    async def repeat_refusals(self, worker: str) -> None:
        """Let a worker write each refusal once more from now on."""
        self._worker(worker).repeats_refusals = True

    async def drain(self, worker: str) -> None:
        """Make a worker announce that it is draining; further calls do nothing."""
        if worker not in self.record.drained_at:
            self.record.drained_at[worker] = time.monotonic()
            self._worker(worker).drain()

    def _link_disturbance(self, link: str, seconds: float) -> "Disturbance":
        is_store = link.startswith(STORE_LINK_PREFIX)
        store_of = link.removeprefix(STORE_LINK_PREFIX) if is_store else None
        return Disturbance(self.record, seconds, store_of=store_of)

    def _worker(self, name: str):
        return next(worker for worker in self.site.workers if worker.name == name)

    async def _restart(
        self, name: str, signal_number: signal.Signals, *, unplanned: bool
    ) -> None:
        if name in self.record.stopping:
            return
        began = self.record.stopping[name] = time.monotonic()
        await self.site.restart(name, signal_number)
        self.record.lives_began.setdefault(name, []).append(time.monotonic())
        await wait_for(self.site.ready_url(name), seconds=READY_TIMEOUT_SECONDS)
        self.record.stopped.setdefault(name, []).append((began, time.monotonic()))
        if unplanned:
            self.record.disturbances.append((began, time.monotonic()))
        del self.record.stopping[name]


class Disturbance:
    """Records the period of an unplanned fault.

    The expected period is recorded on entry, so that effects that outlast the block are
    covered; the actual period is recorded on exit. ``store_of`` names the daemon whose
    link to the store is disturbed, or is empty if the store itself is.
    """

    def __init__(
        self, record: FaultRecord, seconds: float, *, store_of: str | None = None
    ):
        self.record = record
        self.seconds = seconds
        self.store_of = store_of
        self.began = 0.0

    def __enter__(self) -> None:
        self.began = time.monotonic()
        self._add(self.began + self.seconds)

    def __exit__(self, *exception: object) -> None:
        self._add(time.monotonic())

    def _add(self, ended: float) -> None:
        self.record.disturbances.append((self.began, ended))
        if self.store_of is not None:
            periods = self.record.store_faults.setdefault(self.store_of, [])
            periods.append((self.began, ended))

"""The daemon on a platform that hands out settings files and keeps a store.

It forwards the requests of an operator's routes. This module is the one place that
puts the platform's adapter and the forwarding package together.
"""

import gc
import os

# What is imported stays for good, so collecting garbage meanwhile only takes time.
gc.disable()

# uvloop reads this when it is loaded; instances do not offer io_uring.
os.environ.setdefault("UV_USE_IO_URING", "0")

import asyncio  # noqa: E402
import dataclasses  # noqa: E402
import secrets  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import aiomisc  # noqa: E402

from linnetladder.coordination.attempts.ejection import Ejector  # noqa: E402
from linnetladder.coordination.background import Background  # noqa: E402
from linnetladder.forwarding.coordination import (  # noqa: E402
    Follower,
    Forwarder,
    TableInForce,
)
from linnetladder.forwarding.coordination.bills import (  # noqa: E402
    BillBuffer,
    HeldBills,
)
from linnetladder.forwarding.coordination.budget import WindowBudget  # noqa: E402
from linnetladder.forwarding.coordination.directory import Directory  # noqa: E402
from linnetladder.forwarding.coordination.endpoint_load import (  # noqa: E402
    EndpointLoads,
)
from linnetladder.forwarding.coordination.outcomes import Outcomes  # noqa: E402
from linnetladder.forwarding.coordination.peer_news import PeerNews  # noqa: E402
from linnetladder.forwarding.coordination.poison import CrashLog  # noqa: E402
from linnetladder.forwarding.coordination.quarantine import Quarantine  # noqa: E402
from linnetladder.forwarding.coordination.rollouts import Rollouts  # noqa: E402
from linnetladder.forwarding.coordination.selection import Selection  # noqa: E402
from linnetladder.forwarding.coordination.sender import Sender  # noqa: E402
from linnetladder.forwarding.coordination.sizing import ConfidenceLadder  # noqa: E402
from linnetladder.forwarding.coordination.sources import DaemonAddress  # noqa: E402
from linnetladder.forwarding.policy_settings import (  # noqa: E402
    PolicyProblem,
    PolicySettings,
    read_policy_settings,
)
from linnetladder.forwarding.settings import FleetSettings, SettingsHolder  # noqa: E402
from linnetladder.forwarding.transport import (  # noqa: E402
    ForwardingServer,
    HttpEndpointCalls,
    NewsSocket,
    ReadyServer,
)
from linnetladder.platform import (  # noqa: E402
    READY_PATH,
    PlatformCallers,
    PlatformEndpoints,
    PlatformSource,
    PlatformStore,
    SettingsProblem,
    read_settings,
    settings_path,
)
from linnetladder.state import BootClock, EndpointTable  # noqa: E402
from linnetladder.telemetry import (  # noqa: E402
    Metrics,
    configure_logs,
    log_change,
    log_failure,
    start_request_log,
)

__all__ = ["FleetDaemon", "main"]

EXIT_USAGE = 2
# Peers hold what is not written yet, so blocks are few; if all of them are killed with
# the daemon, the bills since its last block are lost.
LEAST_BILL_SECONDS = 4.0
BILL_SECONDS_PER_DAEMON = 0.15
HOLDERS_SECONDS = 0.5
RECOVER_SECONDS = 3.0
SETTINGS_SECONDS = 1.0
SECRET_RETRY_SECONDS = 1.0
# What is kept of the grace period for the last writes and the exit.
GRACE_MARGIN_SECONDS = 0.9
LAST_BILLS_SECONDS = 0.7
# A daemon that has no peers by then is the only one.
ALONE_SECONDS = 3.0
# The balancer takes an instance out after two questions, a second apart.
NOTICE_SECONDS = 2.3
IDLE_POLL_SECONDS = 0.05
COLLECTION_THRESHOLDS = (20_000, 20, 50)


class FleetDaemon(aiomisc.Service):
    """One instance of the router on the platform."""

    def __init__(self, *, settings: FleetSettings, policy: PolicySettings):
        super().__init__()
        self.policy = policy
        self.holder = SettingsHolder(settings=settings)
        self.tasks: list[asyncio.Task] = []
        self.leaving = False
        self.started = time.monotonic()
        self.changed = asyncio.Event()

    async def start(self) -> None:
        """Listen, then follow the store; readiness comes with the first reads."""
        self._build()
        settings = self.holder.current
        await self.ready.start(address=settings.address, port=settings.ready_port)
        await self.news_socket.start(
            address=settings.address, port=settings.peer_ports[0]
        )
        await self.follower.read_once()
        self._run(self.follower.run())
        self._run(self.follower.run_registration())
        self._run(self.follower.run_rollouts())
        self._run(self._write_bills())
        self._run(self._recover_bills())
        self._run(self._watch_holders())
        self._run(self._follow_settings())
        self._run(self._agree_on_secret())
        self._run(self.news_socket.run())
        await self.callers.start(address=settings.address, port=settings.caller_port)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.changed.set)
        gc.freeze()
        gc.enable()
        gc.set_threshold(*COLLECTION_THRESHOLDS)
        log_change("started", settings=dataclasses.asdict(settings))

    async def stop(self, exception: Exception | None = None) -> None:
        """Say so, finish what is under way, write the bills, leave."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + self.holder.bounds.grace - GRACE_MARGIN_SECONDS
        self.leaving = self.follower.leaving = self.callers.leaving = True
        log_change("draining", in_flight=self.callers.active)
        notice = loop.time() + NOTICE_SECONDS
        while loop.time() < ends:
            if loop.time() >= notice:
                if not self.callers.refusing:
                    self.callers.refuse_new()
                if self.callers.active == 0:
                    break
            await asyncio.sleep(IDLE_POLL_SECONDS)
        unfinished = self.callers.active
        flushed = await self._write_last_bills()
        for task in self.tasks:
            task.cancel()
        await self.callers.stop()
        await self.ready.stop()
        self.news_socket.stop()
        await self.background.drain(seconds=0.0)
        await self.calls.close()
        await self.store.close()
        log_change("stopped", unfinished=unfinished, bills_written=flushed)

    async def _write_last_bills(self) -> bool:
        """Write what waits, again if a reply is lost, and let its holders know."""
        flushed = False
        try:
            async with asyncio.timeout(LAST_BILLS_SECONDS):
                while not flushed:
                    own = await self.bills.flush()
                    flushed = await self.held_bills.hand_over() and own
                    if not flushed:
                        await asyncio.sleep(IDLE_POLL_SECONDS)
        except TimeoutError:
            log_change("the last bills were not written in time")
        self.news_socket.send_bill(self.bills.copies())
        return flushed

    def unready_reasons(self) -> list[str]:
        """Return what keeps the daemon from serving callers."""
        reasons = []
        if self.leaving:
            reasons.append("the daemon is draining")
        refusal = self.in_force.refuse_stale()
        if refusal is not None:
            reasons.append(refusal.detail)
        if not self.directory.read_once:
            reasons.append("the endpoints have not been read")
        alone = time.monotonic() - self.started >= ALONE_SECONDS
        if not alone and not (self.peers.peers and self.news_socket.secret):
            reasons.append("no peer is known that could hold bills")
        return reasons

    def _build(self) -> None:
        """Join the parts; nothing is sent yet."""
        settings = self.holder.current
        clock, metrics = BootClock(), Metrics()
        incarnation = secrets.token_hex(8)
        seed = secrets.randbits(64)
        self.store = PlatformStore(
            address=settings.store_address, clock=clock, metrics=metrics
        )
        source = PlatformSource(store=self.store, metrics=metrics)
        self.source = source
        table = EndpointTable()
        loads = EndpointLoads(clock=clock)
        outcomes = Outcomes(clock=clock)
        crashes = CrashLog(clock=clock)
        self.directory = Directory(table=table, loads=loads, clock=clock)
        budget = WindowBudget(settings=self.holder, clock=clock)
        rollouts = Rollouts(
            source=source,
            directory=self.directory,
            outcomes=outcomes,
            loads=loads,
            budget=budget,
            clock=clock,
            metrics=metrics,
            seed=seed,
        )
        ledger = {
            "source": source,
            "incarnation": incarnation,
            "clock": clock,
            "metrics": metrics,
        }
        self.bills = BillBuffer(**ledger)
        self.held_bills = HeldBills(**ledger)
        self.peers = peers = PeerNews(
            instance=settings.instance,
            incarnation=incarnation,
            table=table,
            loads=loads,
            outcomes=outcomes,
            crashes=crashes,
            rollouts=rollouts,
            bills=self.bills,
            held_bills=self.held_bills,
            failure_domain=settings.failure_domain,
            metrics=metrics,
            seed=seed,
        )
        self.in_force = TableInForce(settings=self.holder, clock=clock)
        self.follower = Follower(
            source=source,
            in_force=self.in_force,
            directory=self.directory,
            rollouts=rollouts,
            peers=peers,
            budget=budget,
            address=DaemonAddress(
                instance=settings.instance,
                incarnation=incarnation,
                failure_domain=settings.failure_domain,
                host=settings.address,
                port=settings.peer_ports[0],
            ),
            clock=clock,
            metrics=metrics,
            seed=seed,
        )
        self.background = Background()
        self.calls = HttpEndpointCalls(dialect=PlatformEndpoints())
        sender = Sender(
            calls=self.calls,
            selection=Selection(
                directory=self.directory,
                loads=loads,
                outcomes=outcomes,
                clock=clock,
                own_domain=settings.failure_domain,
            ),
            directory=self.directory,
            loads=loads,
            outcomes=outcomes,
            rollouts=rollouts,
            budget=budget,
            crashes=crashes,
            ejector=Ejector(clock=clock),
            quarantine=Quarantine(
                calls=self.calls,
                background=self.background,
                clock=clock,
                metrics=metrics,
            ),
            clock=clock,
            metrics=metrics,
        )
        forwarder = Forwarder(
            in_force=self.in_force,
            sender=sender,
            sizing=ConfidenceLadder(loads=loads, policy=self.policy),
            budget=budget,
            outcomes=outcomes,
            crashes=crashes,
            bills=self.bills,
            clock=clock,
            metrics=metrics,
        )
        self.callers = ForwardingServer(
            forwarder=forwarder,
            in_force=self.in_force,
            dialect=PlatformCallers(),
            clock=clock,
            metrics=metrics,
        )
        self.ready = ReadyServer(
            ready_path=READY_PATH, reasons=self.unready_reasons, metrics=metrics
        )
        self.news_socket = NewsSocket(news=peers, metrics=metrics)
        self.bills.on_bill = self.news_socket.send_bill

    def _run(self, work) -> None:
        task = asyncio.ensure_future(work)
        task.add_done_callback(_log_end)
        self.tasks.append(task)

    async def _agree_on_secret(self) -> None:
        """Fetch the secret that signs news between daemons."""
        while not self.news_socket.secret:
            read = await self.source.shared_secret(secrets.token_hex(16))
            self.news_socket.secret = read.value_or("").encode()
            await asyncio.sleep(SECRET_RETRY_SECONDS)

    async def _write_bills(self) -> None:
        while True:
            await asyncio.sleep(self._bill_seconds())
            await self.bills.flush()

    async def _watch_holders(self) -> None:
        """Write bills at once when a peer that holds them has gone or started anew."""
        known: list[str] = []
        while True:
            await asyncio.sleep(HOLDERS_SECONDS)
            holders = [peer.incarnation for peer in self.peers.bill_holders()]
            if known and holders != known:
                await self.bills.flush()
            known = holders

    def _bill_seconds(self) -> float:
        """Return the time between blocks; a large fleet writes fewer of them."""
        daemons = len(self.peers.peers) + 1
        return max(LEAST_BILL_SECONDS, daemons * BILL_SECONDS_PER_DAEMON)

    async def _recover_bills(self) -> None:
        while True:
            await asyncio.sleep(RECOVER_SECONDS)
            if self.follower.reachable:
                await self.held_bills.recover(self.peers.listed)

    async def _follow_settings(self) -> None:
        """Read the settings again on a signal and when the file has changed."""
        path = settings_path()
        last = path.stat().st_mtime_ns
        while True:
            try:
                async with asyncio.timeout(SETTINGS_SECONDS):
                    await self.changed.wait()
            except TimeoutError:
                if _modified(path, last) == last:
                    continue
            self.changed.clear()
            last = _modified(path, last)
            self._reload(path)

    def _reload(self, path) -> None:
        try:
            settings = read_settings(path)
        except SettingsProblem as problem:
            log_change("settings not reloaded", problem=str(problem))
            return
        if settings == self.holder.current:
            return
        self.holder.current = settings
        self.store.address = settings.store_address
        log_change("settings reloaded", settings=dataclasses.asdict(settings))


def _modified(path, otherwise: int) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError as error:
        log_change("settings file can't be seen", error=str(error))
        return otherwise


def _log_end(task: asyncio.Task) -> None:
    """Log a long-lived task that failed, since nobody else looks at it."""
    if not task.cancelled() and task.exception() is not None:
        log_failure("task failed", task.exception())


def main() -> None:
    """Run until a signal."""
    try:
        settings = read_settings(settings_path())
        policy = read_policy_settings()
    except (SettingsProblem, PolicyProblem) as problem:
        print(f"linnetladder: {problem}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE) from problem
    configure_logs(instance=settings.instance, level="info")
    start_request_log(instance=settings.instance)
    with aiomisc.entrypoint(
        FleetDaemon(settings=settings, policy=policy),
        log_config=False,
        shutdown_timeout=settings.bounds.grace,
    ) as loop:
        loop.run_forever()


if __name__ == "__main__":
    main()

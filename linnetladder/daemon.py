"""The daemon: from flags to a running instance, and its graceful end."""

import asyncio
import dataclasses
import gc
import sys

import aiomisc
from absl import flags
from returns.result import Failure, Success

from linnetladder.assembly import (
    Parts,
    assemble,
    build_registration,
    new_signing_key,
    seed_neighbours,
)
from linnetladder.conf import (
    Settings,
    define_setting_flags,
    load_settings,
    read_setting_flags,
)
from linnetladder.coordination.configuration.live_state import FIRST_KEY_ID
from linnetladder.coordination.membership.registration import (
    DaemonRecord,
    DaemonState,
    Registration,
    list_daemons,
)
from linnetladder.coordination.peers.links import describe_links
from linnetladder.coordination.peers.messages import Neighbour
from linnetladder.telemetry import configure_logs, log_change, log_failure
from linnetladder.transport import OperationsServer, StatusSource

__all__ = ["Daemon", "main"]

EXIT_USAGE = 2
EXIT_FAILED = 1
EXIT_OK = 0
FLUSH_SECONDS = 30.0
SHUTDOWN_SLACK_SECONDS = 60.0
UPKEEP_SECONDS = 1.0
DAEMON_LIST_SECONDS = 5.0
SECONDS_PER_LISTED_DAEMON = 0.2
COLLECTION_THRESHOLDS = (20_000, 20, 50)


class Daemon(aiomisc.Service, StatusSource):
    """One instance of the router."""

    def __init__(self, *, settings: Settings):
        super().__init__()
        self.settings = settings
        self.parts: Parts | None = None
        self.registration: Registration | None = None
        self.operations: OperationsServer | None = None
        self.tasks: list[asyncio.Task] = []
        self.ready_before = False

    async def start(self) -> None:
        """Listen, then follow the platform; readiness comes with the first snapshot."""
        parts = assemble(self.settings)
        self.parts = parts
        self._define_gauges(parts)
        self.operations = OperationsServer(source=self, metrics=parts.metrics)
        address = self.settings.address
        operations_port = await self.operations.start(
            address=address, port=self.settings.operations_port
        )
        caller_port = await parts.callers.start(
            address=address, port=self.settings.caller_port
        )
        peer_address = await self._start_peers(parts)
        self.registration = build_registration(
            parts,
            caller_port=caller_port,
            operations_port=operations_port,
            peer_address=peer_address,
        )
        self._run(parts.live_state.run())
        self._run(parts.discovery.run())
        self._run(parts.bills.run())
        self._run(self.registration.run())
        self._run(self._ensure_key())
        self._run(self._upkeep())
        self._run(self._follow_daemons())
        self._run(parts.held.run())
        if parts.feed is not None:
            self._run(parts.feed.run())
        if parts.peer_transport is not None:
            self._run(parts.peers.run())
            self._run(parts.peer_transport.run())
            self._run(self._announce_changes())
        gc.collect()
        gc.freeze()
        gc.set_threshold(*COLLECTION_THRESHOLDS)
        log_change("listening", callers=caller_port, operations=operations_port)

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain: no new work, then the end of the old, then the bills."""
        parts = self.parts
        log_change("draining", in_flight=parts.callers.active_requests)
        self.registration.change_state(DaemonState.DRAINING)
        parts.peers.draining = True
        await asyncio.sleep(self.settings.drain_notice_seconds)
        parts.router.draining = True
        idle = await parts.callers.wait_idle(seconds=self.settings.drain_seconds)
        flushed = await parts.bills.flush(seconds=FLUSH_SECONDS)
        await parts.background.drain(seconds=1.0)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.registration.withdraw()
        await parts.callers.stop()
        if parts.peer_transport is not None:
            await parts.peer_transport.stop()
        await self.operations.stop()
        await parts.connections.close()
        await parts.instances.close()
        if parts.rater is not None:
            await parts.rater.close()
        await parts.store.close()
        parts.router.tracer.close()
        log_change("stopped", drained=idle, bills_recorded=flushed)

    def unready_reasons(self) -> list[str]:
        """Return what keeps the daemon from serving callers."""
        parts = self.parts
        reasons = []
        if parts.configuration.snapshot is None:
            reasons.append("no configuration has been received")
        if parts.keys.current is None:
            reasons.append("no signing key has been received")
        if not parts.live_state.reachable and reasons:
            reasons.append("the platform can't be reached")
        if not parts.table.endpoints:
            reasons.append("no endpoint is known")
        if self.registration.record.state is DaemonState.DRAINING:
            reasons.append("the daemon is draining")
        return reasons

    def status(self) -> dict[str, object]:
        """Return the daemon's state for operators."""
        parts = self.parts
        snapshot = parts.configuration.snapshot
        return {
            "instance": self.settings.instance,
            "incarnation": parts.incarnation,
            "failure_domain": self.settings.failure_domain,
            "ready": not self.unready_reasons(),
            "reasons": self.unready_reasons(),
            "state": self.registration.record.state,
            "revision": parts.configuration.revision,
            "checkpoint_id": snapshot.manifest.checkpoint_id if snapshot else "",
            "confirmed_seconds_ago": _finite(parts.configuration.age()),
            "platform_reachable": parts.live_state.reachable,
            "requests_in_flight": parts.callers.active_requests,
            "requests_queued": parts.admission.queued(),
            "bills_unrecorded": parts.bills.unrecorded,
            "blocks_held_for_others": len(parts.held.blocks),
            "peers": describe_links(parts.peers),
            "endpoints": [
                {
                    "name": endpoint.name,
                    "failure_domain": endpoint.failure_domain,
                    "accepts_work": endpoint.accepts_work(
                        parts.admission.clock.monotonic()
                    ),
                    "leaving": endpoint.leaving,
                    "load": round(endpoint.load, 3),
                    "versions": sorted(str(ref) for ref in endpoint.versions),
                }
                for endpoint in parts.table.endpoints.values()
            ],
        }

    def _run(self, work) -> None:
        task = asyncio.ensure_future(work)
        task.add_done_callback(self._ended)
        self.tasks.append(task)

    def _ended(self, task: asyncio.Task) -> None:
        """Log a long-lived task that failed, since nobody else looks at it."""
        if not task.cancelled() and task.exception() is not None:
            log_failure("task failed", task.exception())

    async def _ensure_key(self) -> None:
        live_state = self.parts.live_state
        while self.parts.keys.current is None:
            await live_state.refresh()
            if self.parts.keys.current is None:
                await live_state.ensure_key(new_signing_key(FIRST_KEY_ID))
            await asyncio.sleep(UPKEEP_SECONDS)

    async def _upkeep(self) -> None:
        """Note readiness, close unused connections, wake waiters of ended ejections."""
        while True:
            ready = not self.unready_reasons()
            if ready != self.ready_before:
                self.ready_before = ready
                log_change("readiness changed", ready=ready)
                if ready:
                    self.registration.change_state(DaemonState.READY)
            await self.parts.connections.close_retired()
            self.parts.admission.dispatch()
            await asyncio.sleep(UPKEEP_SECONDS / 4)

    async def _start_peers(self, parts: Parts) -> str:
        """Listen for peers, where that is set up, and return the address."""
        if parts.peer_transport is None:
            return ""
        port = await parts.peer_transport.start(
            address=self.settings.address, port=self.settings.peer_port
        )
        address = f"{self.settings.address}:{port}"
        parts.peers.own = dataclasses.replace(parts.peers.own, peer_address=address)
        parts.peers.learn(seed_neighbours(self.settings))
        return address

    async def _follow_daemons(self) -> None:
        """Learn who the other daemons are and how many share the accounts' limits."""
        while True:
            listed = await list_daemons(self.parts.store)
            count = 0
            if isinstance(listed, Success):
                count = len(listed.unwrap())
                self._take_daemons(listed.unwrap())
            pause = max(DAEMON_LIST_SECONDS, count * SECONDS_PER_LISTED_DAEMON)
            await asyncio.sleep(pause)

    def _take_daemons(self, records: tuple[DaemonRecord, ...]) -> None:
        serving = [r for r in records if r.state is not DaemonState.DRAINING]
        self.parts.limits.daemon_count = max(len(serving), 1)
        self.parts.peers.learn(
            Neighbour(r.instance, r.failure_domain, r.peer_address) for r in serving
        )

    async def _announce_changes(self) -> None:
        """Tell peers of a new revision at once."""
        changed = self.parts.configuration.subscribe()
        while True:
            await changed.wait()
            changed.clear()
            self.parts.peers.send_heartbeats()

    def _define_gauges(self, parts: Parts) -> None:
        gauge = parts.metrics.gauge
        gauge("in_flight", "Requests in flight", lambda: parts.callers.active_requests)
        gauge("queued", "Requests waiting for a slot", parts.admission.queued)
        gauge(
            "bills_unrecorded",
            "Bills that do not stand yet",
            lambda: parts.bills.unrecorded,
        )
        gauge(
            "configuration_revision",
            "Revision in force",
            lambda: parts.configuration.revision,
        )
        gauge(
            "configuration_age_seconds",
            "Seconds since the configuration was confirmed",
            parts.configuration.age,
        )
        gauge("endpoints", "Known endpoints", lambda: len(parts.table.endpoints))


def _finite(seconds: float) -> float | None:
    return round(seconds, 3) if seconds != float("inf") else None


def _parse(arguments: list[str]) -> tuple[dict[str, str], bool]:
    values = flags.FlagValues()
    define_setting_flags(values)
    flags.DEFINE_bool(
        "check", False, "Check the settings, print problems, exit.", flag_values=values
    )
    flags.DEFINE_bool("help", False, "Print this help.", flag_values=values)
    rest = values(arguments)
    if values.help:
        print("linnetladderd: the daemon\n" + values.get_help())
        raise SystemExit(EXIT_OK)
    if len(rest) > 1:
        print(f"linnetladderd: argument {rest[1]!r} is not a flag", file=sys.stderr)
        raise SystemExit(EXIT_USAGE)
    return read_setting_flags(values), values.check


def main() -> None:
    """Run the daemon from the command line."""
    try:
        values, check_only = _parse(sys.argv)
    except flags.Error as error:
        print(f"linnetladderd: {error}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE) from error
    loaded = load_settings(values)
    if isinstance(loaded, Failure):
        for problem in loaded.failure():
            print(f"linnetladderd: {problem}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE)
    settings = loaded.unwrap()
    if check_only:
        print("linnetladderd: no problems found")
        return
    configure_logs(instance=settings.instance, level=settings.log_level)
    shutdown = settings.drain_notice_seconds + settings.drain_seconds
    try:
        with aiomisc.entrypoint(
            Daemon(settings=settings),
            log_config=False,
            shutdown_timeout=shutdown + SHUTDOWN_SLACK_SECONDS,
        ) as loop:
            loop.run_forever()
    except OSError as error:
        where = f"{settings.address}, ports {settings.caller_port}, "
        where += f"{settings.operations_port}"
        print(f"linnetladderd: can't listen at {where}: {error}", file=sys.stderr)
        raise SystemExit(EXIT_FAILED) from error


if __name__ == "__main__":
    main()

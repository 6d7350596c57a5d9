"""The daemon: command line, startup, periodic tasks and graceful shutdown."""

import asyncio
import dataclasses
import gc
import sys

import aiomisc
from absl import flags
from returns.result import Failure, Success

from linnetladder.assembly import (
    DaemonParts,
    assemble_daemon,
    build_registration,
    new_signing_key,
    parse_seed_peers,
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
BILL_FLUSH_TIMEOUT_SECONDS = 30.0
SHUTDOWN_MARGIN_SECONDS = 60.0
# The daemon tries to obtain a missing signing key at this interval; maintenance runs
# four times as often.
POLL_INTERVAL_SECONDS = 1.0
# The list of daemons is read at this interval, or at one proportional to the number of
# daemons if that is longer, which bounds the total read rate.
DAEMON_LIST_INTERVAL_SECONDS = 5.0
LIST_INTERVAL_SECONDS_PER_DAEMON = 0.2
# Above the interpreter's defaults, so that there are fewer collections.
GC_THRESHOLDS = (20_000, 20, 50)


class Daemon(aiomisc.Service, StatusSource):
    """One instance of the router."""

    def __init__(self, *, settings: Settings):
        super().__init__()
        self.settings = settings
        self.parts: DaemonParts | None = None
        self.registration: Registration | None = None
        self.operations: OperationsServer | None = None
        self.tasks: list[asyncio.Task] = []
        self.was_ready = False

    async def start(self) -> None:
        """Open the listening sockets and start the tasks.

        The daemon becomes ready once it has received a configuration snapshot, a
        signing key and an endpoint.
        """
        parts = assemble_daemon(self.settings)
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
        peer_address = await self._start_peer_transport(parts)
        self.registration = build_registration(
            parts,
            caller_port=caller_port,
            operations_port=operations_port,
            peer_address=peer_address,
        )
        self._start_task(parts.live_state.run())
        self._start_task(parts.discovery.run())
        self._start_task(parts.bills.run())
        self._start_task(self.registration.run())
        self._start_task(self._ensure_signing_key())
        self._start_task(self._run_maintenance())
        self._start_task(self._poll_daemon_list())
        self._start_task(parts.held_bill_blocks.run())
        if parts.feed is not None:
            self._start_task(parts.feed.run())
        if parts.peer_transport is not None:
            self._start_task(parts.peers.run())
            self._start_task(parts.peer_transport.run())
            self._start_task(self._announce_revisions())
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        log_change("listening", callers=caller_port, operations=operations_port)

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain: refuse new requests, finish those in flight, then write the bills.

        The state changes to draining ``drain_notice_seconds`` before new requests are
        refused.
        """
        parts = self.parts
        log_change("draining", in_flight=parts.callers.active_requests)
        self.registration.change_state(DaemonState.DRAINING)
        parts.peers.draining = True
        await asyncio.sleep(self.settings.drain_notice_seconds)
        parts.router.draining = True
        all_requests_finished = await parts.callers.wait_idle(
            seconds=self.settings.drain_seconds
        )
        all_bills_recorded = await parts.bills.flush(seconds=BILL_FLUSH_TIMEOUT_SECONDS)
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
        log_change(
            "stopped", drained=all_requests_finished, bills_recorded=all_bills_recorded
        )

    def unready_reasons(self) -> list[str]:
        """Return why the daemon is not ready; empty when it is."""
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
        """Return the content of the ``/status`` endpoint."""
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
            "confirmed_seconds_ago": _round_finite(parts.configuration.age()),
            "platform_reachable": parts.live_state.reachable,
            "requests_in_flight": parts.callers.active_requests,
            "requests_queued": parts.admission.queued(),
            "bills_unrecorded": parts.bills.unrecorded,
            "blocks_held_for_others": len(parts.held_bill_blocks.blocks),
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

    def _start_task(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        task.add_done_callback(self._log_task_failure)
        self.tasks.append(task)

    def _log_task_failure(self, task: asyncio.Task) -> None:
        """Log the exception of a task that failed, since nothing awaits its result."""
        if not task.cancelled() and task.exception() is not None:
            log_failure("task failed", task.exception())

    async def _ensure_signing_key(self) -> None:
        live_state = self.parts.live_state
        while self.parts.keys.current is None:
            await live_state.refresh()
            if self.parts.keys.current is None:
                await live_state.ensure_key(new_signing_key(FIRST_KEY_ID))
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _run_maintenance(self) -> None:
        """Publish readiness, close unused connections and assign free slots.

        Slots are assigned here because the end of an endpoint's ejection triggers no
        event that would wake the requests waiting for it.
        """
        while True:
            ready = not self.unready_reasons()
            if ready != self.was_ready:
                self.was_ready = ready
                log_change("readiness changed", ready=ready)
                if ready:
                    self.registration.change_state(DaemonState.READY)
            await self.parts.connections.close_retired()
            self.parts.admission.dispatch()
            await asyncio.sleep(POLL_INTERVAL_SECONDS / 4)

    async def _start_peer_transport(self, parts: DaemonParts) -> str:
        """Listen for peers; return the address, or ``""`` without a peer transport."""
        if parts.peer_transport is None:
            return ""
        port = await parts.peer_transport.start(
            address=self.settings.address, port=self.settings.peer_port
        )
        address = f"{self.settings.address}:{port}"
        parts.peers.own = dataclasses.replace(parts.peers.own, peer_address=address)
        parts.peers.add_known_peers(parse_seed_peers(self.settings))
        return address

    async def _poll_daemon_list(self) -> None:
        """Poll the list of daemons, which are peers and share the accounts' limits."""
        while True:
            listed = await list_daemons(self.parts.store)
            count = 0
            if isinstance(listed, Success):
                count = len(listed.unwrap())
                self._update_daemons(listed.unwrap())
            interval = max(
                DAEMON_LIST_INTERVAL_SECONDS, count * LIST_INTERVAL_SECONDS_PER_DAEMON
            )
            await asyncio.sleep(interval)

    def _update_daemons(self, records: tuple[DaemonRecord, ...]) -> None:
        serving = [r for r in records if r.state is not DaemonState.DRAINING]
        self.parts.limits.daemon_count = max(len(serving), 1)
        self.parts.peers.add_known_peers(
            Neighbour(r.instance, r.failure_domain, r.peer_address) for r in serving
        )

    async def _announce_revisions(self) -> None:
        """Send a heartbeat to all peers as soon as a new revision is in force."""
        revision_changed = self.parts.configuration.subscribe()
        while True:
            await revision_changed.wait()
            revision_changed.clear()
            self.parts.peers.send_heartbeats()

    def _define_gauges(self, parts: DaemonParts) -> None:
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


def _round_finite(seconds: float) -> float | None:
    return round(seconds, 3) if seconds != float("inf") else None


def _parse_arguments(arguments: list[str]) -> tuple[dict[str, str], bool]:
    values = flags.FlagValues()
    define_setting_flags(values)
    flags.DEFINE_bool(
        "check", False, "Check the settings, print problems, exit.", flag_values=values
    )
    flags.DEFINE_bool("help", False, "Print this help.", flag_values=values)
    positional = values(arguments)
    if values.help:
        print("linnetladderd: the daemon\n" + values.get_help())
        raise SystemExit(EXIT_OK)
    if len(positional) > 1:
        print(
            f"linnetladderd: argument {positional[1]!r} is not a flag", file=sys.stderr
        )
        raise SystemExit(EXIT_USAGE)
    return read_setting_flags(values), values.check


def main() -> None:
    """Run the daemon from the command line."""
    try:
        values, check_only = _parse_arguments(sys.argv)
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
    shutdown_seconds = settings.drain_notice_seconds + settings.drain_seconds
    try:
        with aiomisc.entrypoint(
            Daemon(settings=settings),
            log_config=False,
            shutdown_timeout=shutdown_seconds + SHUTDOWN_MARGIN_SECONDS,
        ) as loop:
            loop.run_forever()
    except OSError as error:
        listen_address = f"{settings.address}, ports {settings.caller_port}, "
        listen_address += f"{settings.operations_port}"
        print(
            f"linnetladderd: can't listen at {listen_address}: {error}", file=sys.stderr
        )
        raise SystemExit(EXIT_FAILED) from error


if __name__ == "__main__":
    main()

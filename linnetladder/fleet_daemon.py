"""The forwarding daemon on a platform that provides a settings file and a store.

It forwards the requests of an operator's routes. Only this module and
`linnetladder.fleet_assembly` connect the platform's adapter to the forwarding package.
"""

import asyncio
import dataclasses
import gc
import signal
import sys
import time
from functools import partial

import aiomisc

from linnetladder.fleet_assembly import (
    FleetDaemonParts,
    apply_resources,
    assemble_fleet_daemon,
)
from linnetladder.forwarding.daemon_variables import (
    CallerSettings,
    OperationsSettings,
    PeerSettings,
    PolicySettings,
    VariableError,
    read_caller_settings,
    read_operations_settings,
    read_peer_settings,
    read_policy_settings,
)
from linnetladder.forwarding.settings import FleetSettings, SettingsHolder
from linnetladder.forwarding.transport import (
    ReadyServer,
)
from linnetladder.platform import (
    READY_PATH,
    SettingsError,
    read_settings,
    settings_path,
)
from linnetladder.telemetry import (
    LineWriter,
    configure_logs,
    log_change,
    log_failure,
    start_request_log,
    watch_lateness,
)

__all__ = ["FleetDaemon", "run"]

EXIT_USAGE = 2
# Part of GRACE_MARGIN_SECONDS that the final write of bills may use.
FINAL_BILL_WRITE_SECONDS = 0.7
# Time in which the final answers are passed to the callers' connections.
FINAL_ANSWERS_SECONDS = 0.1
SETTINGS_POLL_SECONDS = 1.0
# End of the grace period that is reserved for the final writes and the exit.
GRACE_MARGIN_SECONDS = 0.9
# A daemon that has found no peers after this time assumes that there are none.
PEER_WAIT_SECONDS = 3.0
# The load balancer removes an instance after two failed checks, one second apart.
DRAIN_NOTICE_SECONDS = 2.3
DRAIN_POLL_SECONDS = 0.05
# Above the interpreter's defaults, so that there are fewer collections.
GC_THRESHOLDS = (20_000, 20, 50)


class FleetDaemon(aiomisc.Service):
    """One instance of the forwarding daemon."""

    def __init__(
        self,
        *,
        settings: FleetSettings,
        policy_settings: PolicySettings,
        operations_settings: OperationsSettings,
        peer_settings: PeerSettings,
        caller_settings: CallerSettings,
        log_writer: LineWriter,
    ):
        super().__init__()
        self.log_writer = log_writer
        self.policy_settings = policy_settings
        self.operations_settings = operations_settings
        self.peer_settings = peer_settings
        self.caller_settings = caller_settings
        self.settings_holder = SettingsHolder(settings=settings)
        self.parts: FleetDaemonParts | None = None
        self.ready_server: ReadyServer | None = None
        self.operations_server: ReadyServer | None = None
        self.tasks: list[asyncio.Task] = []
        self.leaving = False
        self.started_at = time.monotonic()
        self.reload_requested = asyncio.Event()

    async def start(self) -> None:
        """Open the listening sockets, read the store once and start the tasks.

        The daemon becomes ready once it has read the configuration and the endpoints
        and has a peer that can hold bills, or has waited ``PEER_WAIT_SECONDS`` for one.
        """
        settings = self.settings_holder.current
        self.parts = parts = assemble_fleet_daemon(
            self.settings_holder,
            self.policy_settings,
            self.peer_settings,
            self.caller_settings,
        )
        self.log_writer.on_dropped = partial(parts.metrics.count, "log_lines_dropped")
        parts.metrics.gauge(
            "unreadable_settings",
            "Figures of the settings that have defaults since they can't be read",
            lambda: len(self.settings_holder.current.problems),
        )
        parts.metrics.gauge(
            "unreadable_configuration_parts",
            "Parts of the newest configuration that can't be read",
            parts.in_force.count_problems,
        )
        self.ready_server = ReadyServer(
            ready_path=READY_PATH,
            reasons=self.unready_reasons,
            metrics=parts.metrics,
            maximum_connections=parts.operator_connections,
        )
        self.operations_server = ReadyServer(
            ready_path=READY_PATH,
            reasons=self.unready_reasons,
            metrics=parts.metrics,
            maximum_connections=parts.operator_connections,
            port_name="operations",
            explainer=parts.explainer,
        )
        await self._listen_for_operators(settings)
        await self.parts.peer_socket.start(
            address=settings.address, port=settings.peer_ports[0]
        )
        await self.parts.relay_server.start(
            address=settings.address, port=settings.peer_ports[0]
        )
        await self.parts.poller.read_once()
        self._start_task(self.parts.poller.run())
        self._start_task(self.parts.poller.run_configuration_watch())
        self._start_task(self.parts.poller.run_registration())
        self._start_task(self.parts.crash_records.run())
        self._start_task(self.parts.poller.run_rollouts())
        self._start_task(self.parts.bill_flusher.run_flushes())
        self._start_task(self.parts.bill_flusher.run_recovery())
        self._start_task(self.parts.bill_flusher.run_holder_watch())
        self._start_task(self._watch_settings_file())
        self._start_task(self.parts.shared_secret.run())
        self._start_task(watch_lateness(parts.metrics))
        self._start_task(self.parts.peer_socket.run())
        await self.parts.callers.start(
            address=settings.address, port=settings.caller_port
        )
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload_requested.set)
        gc.freeze()
        gc.enable()
        gc.set_threshold(*GC_THRESHOLDS)
        log_change("started", settings=dataclasses.asdict(settings))
        _report_problems(settings)

    async def _listen_for_operators(self, settings: FleetSettings) -> None:
        await self.ready_server.listen(
            address=settings.address, port=settings.ready_port
        )
        metrics_port = self.operations_settings.metrics_port
        if metrics_port:
            await self.operations_server.listen(
                address=settings.address, port=metrics_port
            )

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain: report not ready, finish requests in flight, write the bills, close.

        New requests are accepted for ``DRAIN_NOTICE_SECONDS``, until the load balancer
        has removed the instance. After that, a request that was not passed on yet is
        passed on only if its deadline comes before the end. What is in progress then is
        answered or cut off.
        """
        loop = asyncio.get_running_loop()
        deadline = (
            loop.time() + self.settings_holder.bounds.grace - GRACE_MARGIN_SECONDS
        )
        self.leaving = True
        self.parts.poller.leaving = self.parts.callers.leaving = True
        self.parts.relay_server.leaving = True
        self.parts.peers.draining = True
        self.parts.peer_socket.send_soon()
        log_change("draining", in_flight=self.parts.callers.active_requests)
        notice_end = loop.time() + DRAIN_NOTICE_SECONDS
        while loop.time() < deadline:
            if loop.time() >= notice_end:
                if not self.parts.callers.refusing:
                    remaining = deadline - loop.time()
                    stop = self.parts.planned_stop
                    stop.ends_at = self.parts.ports.clock.monotonic() + remaining
                    self.parts.callers.refuse_new_requests()
                if self._active_requests() == 0:
                    break
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        unfinished = self._active_requests()
        await self._end_requests()
        write_timeout = max(deadline - loop.time(), 0.0) + FINAL_BILL_WRITE_SECONDS
        all_bills_written = await self.parts.bill_flusher.flush_before_exit(
            seconds=write_timeout
        )
        await self.parts.bill_flusher.hand_over(
            seconds=max(deadline - loop.time(), 0.0)
        )
        for task in self.tasks:
            task.cancel()
        await self.parts.callers.stop()
        await self.parts.relay_server.stop()
        await self.ready_server.stop()
        await self.operations_server.stop()
        self.parts.peer_socket.stop()
        await self.parts.background.drain(seconds=0.0)
        await self.parts.calls.close()
        await self.parts.store.close()
        log_change("stopped", unfinished=unfinished, bills_written=all_bills_written)

    async def _end_requests(self) -> None:
        """Answer what can still be answered, so that its bills are written too."""
        self.parts.forwarder.end_requests()
        ended_by = asyncio.get_running_loop().time() + FINAL_ANSWERS_SECONDS
        while (
            self.parts.callers.active_requests
            and asyncio.get_running_loop().time() < ended_by
        ):
            await asyncio.sleep(FINAL_ANSWERS_SECONDS / 10)

    def _active_requests(self) -> int:
        """Return the requests of callers and calls of peers that are in progress."""
        return self.parts.callers.active_requests + self.parts.relay_server.active_calls

    def unready_reasons(self) -> list[str]:
        """Return why the daemon is not ready; empty when it is."""
        reasons = []
        if self.leaving:
            reasons.append("the daemon is draining")
        refusal = self.parts.in_force.refuse_stale()
        if refusal is not None:
            reasons.append(refusal.detail)
        if not self.parts.directory.read_once:
            reasons.append("the endpoints have not been read")
        peer_wait_elapsed = time.monotonic() - self.started_at >= PEER_WAIT_SECONDS
        if not peer_wait_elapsed and not (
            self.parts.peers.peers and self.parts.peer_socket.secret
        ):
            reasons.append("no peer is known that could hold bills")
        return reasons

    def _start_task(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        task.add_done_callback(_log_task_failure)
        self.tasks.append(task)

    async def _watch_settings_file(self) -> None:
        """Reload the settings on SIGHUP or when the file was modified."""
        path = settings_path()
        last_mtime_ns = path.stat().st_mtime_ns
        while True:
            try:
                async with asyncio.timeout(SETTINGS_POLL_SECONDS):
                    await self.reload_requested.wait()
            except TimeoutError:
                if _read_mtime_ns(path, last_mtime_ns) == last_mtime_ns:
                    continue
            self.reload_requested.clear()
            last_mtime_ns = _read_mtime_ns(path, last_mtime_ns)
            self._reload(path)

    def _reload(self, path) -> None:
        try:
            settings = read_settings(path)
        except SettingsError as problem:
            log_change("settings not reloaded", problem=str(problem))
            return
        if settings == self.settings_holder.current:
            return
        self.settings_holder.current = settings
        self.parts.store.address = settings.store_address
        self.parts.store.late_after = settings.bounds.configuration
        apply_resources(self.parts, settings, self.caller_settings)
        log_change("settings reloaded", settings=dataclasses.asdict(settings))
        _report_problems(settings)


def _report_problems(settings: FleetSettings) -> None:
    """Log which figures of the settings have defaults since they can't be read."""
    if settings.problems:
        log_change("settings partly unreadable", problems=settings.problems)


def _read_mtime_ns(path, fallback: int) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError as error:
        log_change("settings file not accessible", error=str(error))
        return fallback


def _log_task_failure(task: asyncio.Task) -> None:
    """Log the exception of a task that failed, since nothing awaits its result."""
    if not task.cancelled() and task.exception() is not None:
        log_failure("task failed", task.exception())


def run() -> None:
    """Read the settings and run the daemon until a signal stops it."""
    try:
        settings = read_settings(settings_path())
        policy_settings = read_policy_settings()
        operations_settings = read_operations_settings()
        peer_settings = read_peer_settings()
        caller_settings = read_caller_settings()
    except (SettingsError, VariableError) as problem:
        print(f"linnetladder: {problem}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE) from problem
    writer = configure_logs(instance=settings.instance, level="info")
    start_request_log(instance=settings.instance, writer=writer)
    with aiomisc.entrypoint(
        FleetDaemon(
            settings=settings,
            policy_settings=policy_settings,
            operations_settings=operations_settings,
            peer_settings=peer_settings,
            caller_settings=caller_settings,
            log_writer=writer,
        ),
        log_config=False,
        shutdown_timeout=settings.bounds.grace,
    ) as loop:
        loop.run_forever()

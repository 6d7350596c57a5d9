"""Start, signal and stop the child processes of a demo or benchmark by process id."""

import asyncio
import contextlib
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import aiohttp

__all__ = ["ProcessManager", "free_port", "wait_for", "wait_until"]

START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.05
FIRST_PORT = 20_000
LAST_PORT = 30_000
# More ports than one run uses, so that concurrent runs do not collide.
PORTS_PER_PROCESS = 61


def _first_port() -> int:
    """Return the port at which this process starts its search, by its process id."""
    return FIRST_PORT + os.getpid() * PORTS_PER_PROCESS % (LAST_PORT - FIRST_PORT)


def free_port(
    _last_port: list[int] = [],  # noqa: B006
    _claims: list[socket.socket] = [],  # noqa: B006
) -> int:
    """Return a loopback port on which nothing listens, at most once per process.

    The ports lie below the system's range for outgoing connections, so an outgoing
    connection can't take one between this check and its use. No other process gets it
    while this one lives. The defaults are shared by all calls: ``_last_port`` holds the
    last port that was tried, and ``_claims`` a socket for each one that was returned,
    whose name says so to other processes.
    """
    if not _last_port:
        _last_port.append(_first_port())
    for _ in range(LAST_PORT - FIRST_PORT):
        _last_port[0] = _last_port[0] + 1 if _last_port[0] < LAST_PORT else FIRST_PORT
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", _last_port[0]))
            except OSError:
                continue
        claim = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            claim.bind(f"\0linnetladder-port-{_last_port[0]}")
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        return _last_port[0]
    raise RuntimeError("no free loopback port between FIRST_PORT and LAST_PORT")


class ProcessManager:
    """Child processes by name; each writes its output to ``NAME.log`` in one folder."""

    def __init__(self, *, folder: Path):
        self.folder = folder
        self.processes: dict[str, subprocess.Popen] = {}
        folder.mkdir(parents=True, exist_ok=True)

    def start(
        self,
        name: str,
        module: str,
        *flags: str,
        environment: dict[str, str] | None = None,
        descriptors: int | None = None,
    ) -> subprocess.Popen:
        """Start ``python -m module`` with flags and additional environment.

        It may open as many ``descriptors`` at most, if that is given.
        """
        with (self.folder / f"{name}.log").open("ab") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *flags],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={**_base_environment(), **(environment or {})},
            )
        if descriptors is not None:
            limits = (descriptors, descriptors)
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
        self.processes[name] = process
        return process

    def send(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process unless it has already exited."""
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(signal_number)

    def wait(self, name: str, *, seconds: float = STOP_TIMEOUT_SECONDS) -> int | None:
        """Wait for a process to exit; return its exit code, or None on a timeout."""
        try:
            return self.processes[name].wait(timeout=seconds)
        except subprocess.TimeoutExpired:
            return None

    def stop(self) -> dict[str, int | None]:
        """Terminate all processes and return their exit codes.

        A process that still runs after ``STOP_TIMEOUT_SECONDS`` is killed; its code is
        None.
        """
        for process in self.processes.values():
            if process.poll() is None:
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for process in self.processes.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(timeout=max(deadline - time.monotonic(), 0.01))
        exit_codes = {name: p.poll() for name, p in self.processes.items()}
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        return exit_codes

    def log(self, name: str) -> str:
        """Return the output of a process so far."""
        return (self.folder / f"{name}.log").read_text("utf-8", "replace")


def _base_environment() -> dict[str, str]:
    """Return the environment without settings of the daemon, for unbuffered output."""
    variables = {
        k: v for k, v in os.environ.items() if not k.startswith("LINNETLADDER_")
    }
    variables["PYTHONUNBUFFERED"] = "1"
    return variables


async def wait_for(url: str, *, seconds: float = START_TIMEOUT_SECONDS) -> bool:
    """Wait until a URL answers 200; return False if it does not in time."""
    return await wait_until(url, lambda _: True, seconds=seconds)


async def wait_until(
    url: str,
    predicate: Callable[[dict], bool],
    *,
    seconds: float = START_TIMEOUT_SECONDS,
) -> bool:
    """Wait until a URL answers 200 with a JSON body that satisfies the predicate.

    Return False if it does not in time.
    """
    deadline = time.monotonic() + seconds
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < deadline:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with session.get(url) as response:
                    if response.status == 200 and predicate(await _read_json(response)):
                        return True
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
    return False


async def _read_json(response: aiohttp.ClientResponse) -> dict:
    """Return the JSON body, or an empty dict for any other content type."""
    if response.content_type != "application/json":
        return {}
    return await response.json()

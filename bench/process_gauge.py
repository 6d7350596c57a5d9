"""Memory and descriptors of a process, with what its sockets have not read."""

import asyncio
from collections.abc import Iterator
from pathlib import Path

__all__ = ["ProcessGauge"]

MEBIBYTE = 1024 * 1024
SAMPLE_SECONDS = 0.02


class ProcessGauge:
    """The highest memory and descriptors of a process while it is watched."""

    def __init__(self, pid: int, ports: set[int]):
        self.folder = Path(f"/proc/{pid}")
        self.ports = ports
        self.highest_megabytes = 0.0
        self.highest_descriptors = 0

    async def watch(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_SECONDS)

    def sample(self) -> None:
        """Read the process's figures, unless it has ended."""
        try:
            status = (self.folder / "status").read_text()
            descriptors = len(list((self.folder / "fd").iterdir()))
        except OSError:
            return
        resident = next(_values_after("VmRSS:", status), 0) / 1024
        megabytes = resident + self._unread_bytes() / MEBIBYTE
        self.highest_megabytes = max(self.highest_megabytes, megabytes)
        self.highest_descriptors = max(self.highest_descriptors, descriptors)

    def _unread_bytes(self) -> int:
        """Return the bytes that wait in the sockets of the daemon's ports."""
        unread = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            if state != "0A" and int(local.rpartition(":")[2], 16) in self.ports:
                unread += int(queues.partition(":")[2], 16)
        return unread


def _values_after(name: str, text: str) -> Iterator[int]:
    for line in text.splitlines():
        if line.startswith(name):
            yield int(line.split()[1])

"""Records in the platform's store of requests and prompt parts that crash endpoints.

Daemons tell each other of them, but none remembers one if all are started again.
"""

import asyncio

from returns.result import Failure

from linnetladder.forwarding.coordination.poison import CrashLog
from linnetladder.forwarding.coordination.sources import OperatorSource
from linnetladder.forwarding.protocol.daemon_messages import PartFinding
from linnetladder.forwarding.state import CrashingPart
from linnetladder.state import Clock

__all__ = ["CrashRecords"]


class CrashRecords:
    """Reads the records with the rest of the store, and writes and deletes them.

    A finding is recorded by a daemon that saw one of its crashes itself, unless another
    one was faster. A record that an answer refutes, or that has expired, is deleted.
    ``records`` are those of the last read. What fails is tried again after the next
    read.
    """

    def __init__(self, *, source: OperatorSource, crashes: CrashLog, clock: Clock):
        self.source = source
        self.crashes = crashes
        self.clock = clock
        self.records: tuple[CrashingPart, ...] = ()
        self.check_requested = asyncio.Event()

    def update(self, records: tuple[CrashingPart, ...]) -> None:
        """Apply the records of one read of the store."""
        self.records = records
        for record in records:
            self.crashes.learn_finding(self._finding(record))
        if self._refuted() or self._missing():
            self.check_requested.set()

    async def run(self) -> None:
        """Write and delete records after reads that show a need, until cancelled."""
        while True:
            await self.check_requested.wait()
            self.check_requested.clear()
            await self.write_changes()

    async def write_changes(self) -> None:
        """Write the records that are missing and delete those that are refuted."""
        for record in self._refuted():
            await self.source.delete_crashing_part(record)
        for part in self._missing():
            age = self.clock.monotonic() - self.crashes.findings[part]
            record = CrashingPart(part=part, crashed_unix=self.clock.unix() - age)
            written = await self.source.write_crashing_part(record)
            if isinstance(written, Failure):
                return

    def _refuted(self) -> list[CrashingPart]:
        return [r for r in self.records if self.crashes.refutes(self._finding(r))]

    def _missing(self) -> list[str]:
        return self.crashes.unrecorded_findings(record.part for record in self.records)

    def _finding(self, record: CrashingPart) -> PartFinding:
        age = max(self.clock.unix() - record.crashed_unix, 0.0)
        return PartFinding(record.part, sound=False, age=age)

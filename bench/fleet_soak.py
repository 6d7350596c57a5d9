"""A randomized soak: real daemons, faults from outside, promises checked at both ends.

``python -m bench.fleet_soak --seed=7 --seconds=20`` runs one seed; ``--seeds=50`` runs
so many in a row. The exit code is 1 if any promise was broken, and the folder with the
daemons' logs is kept and named.
"""

import asyncio
import random
import tempfile
import time
from collections.abc import Coroutine
from pathlib import Path

from absl import app as absl_app
from absl import flags

from bench.fleet_callers import open_session, send
from bench.fleet_checks import Sent, check
from bench.fleet_faults import READY_SECONDS, FaultRecord, Faults
from bench.fleet_site import ACCOUNTS, ROUTES, FleetSite
from bench.processes import wait_for
from standins.fleet_worker import Fault

__all__ = ["Soak"]

FLAGS = flags.FLAGS
CLIENTS = 12
PAUSE_SECONDS = 0.05
REVOKED_SHARE = 0.1
# A killed daemon's bills are written by its peers once it is gone for twelve seconds.
SETTLE_SECONDS = 16.0
FAULT_GAP_SECONDS = 0.8


class Soak:
    """One seeded run."""

    def __init__(self, *, seed: int, seconds: float, folder: Path):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.site = FleetSite(folder=folder)
        self.sent: list[Sent] = []
        self.record = FaultRecord()
        self.faults = Faults(site=self.site, record=self.record)
        self.serial = 0
        self.ends = 0.0

    async def run(self, *, timed: bool = True) -> list[str]:
        """Run, let everything settle, and return what was broken.

        Without ``timed`` the promises with a bound on elapsed time are left out.
        """
        await self.site.start()
        try:
            for name in self.site.names:
                if not await wait_for(self.site.ready(name), seconds=READY_SECONDS):
                    return [f"{name} did not become ready"]
            self.ends = time.monotonic() + self.seconds
            async with asyncio.TaskGroup() as tasks:
                for number in range(CLIENTS):
                    tasks.create_task(self._client(number))
                tasks.create_task(self._disturb())
            await asyncio.sleep(SETTLE_SECONDS)
        finally:
            await self.site.stop()
        return check(self.site, self.sent, self.record, timed=timed)

    async def _client(self, number: int) -> None:
        """Send requests one after the other over connections that are kept."""
        draw = random.Random(self.random.random())
        async with open_session() as session:
            while time.monotonic() < self.ends:
                sent = self._draw_request(draw, number)
                front = self.site.front(sent.daemon)
                await send(session, sent, front=front, subject=f"s{number}")
                await asyncio.sleep(PAUSE_SECONDS * draw.random())

    def _draw_request(self, draw: random.Random, number: int) -> Sent:
        self.serial += 1
        route = draw.choice(tuple(ROUTES))
        account = draw.choice(tuple(ACCOUNTS))
        revoked = draw.random() < REVOKED_SHARE
        sent = Sent(
            attempt=f"r{number}-{self.serial}",
            route=route,
            daemon=draw.choice(self.site.names),
            account="guest" if revoked else account,
            time=time.monotonic(),
        )
        self.sent.append(sent)
        return sent

    async def _disturb(self) -> None:
        """Bring about one fault after the other; some overlap."""
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < self.ends:
                tasks.create_task(self._draw_fault())
                await asyncio.sleep(FAULT_GAP_SECONDS * (0.3 + self.random.random()))

    def _draw_fault(self) -> Coroutine[None, None, None]:
        """Return a fault of a random kind at a random place."""
        draw, faults = self.random, self.faults
        link = draw.choice(list(self.site.relays))
        daemon = draw.choice(self.site.names)
        worker = draw.choice(self.site.workers).name
        answers = draw.choices(tuple(Fault), k=3)
        short, long = 0.5 + 2.0 * draw.random(), 0.5 + 5.0 * draw.random()
        kinds = [
            lambda: faults.worker_answers(worker, answers),
            lambda: faults.worker_answers(worker, answers),
            lambda: faults.silence(link),
            lambda: faults.cut(link, short),
            lambda: faults.pause(daemon, long),
            lambda: faults.kill(daemon),
            lambda: faults.terminate(daemon),
            lambda: faults.reload(daemon),
            lambda: faults.store_outage(0.5 + long),
            lambda: faults.lost_replies(),
            lambda: faults.revoke(),
            lambda: self._drain(worker),
        ]
        return draw.choice(kinds)()

    async def _drain(self, worker: str) -> None:
        """Drain one worker at most, so that each service keeps one."""
        if not self.record.drained:
            await self.faults.drain(worker)


def run_seed(seed: int, seconds: float) -> list[str]:
    """Run one seed, print what came of it and return what was broken."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(seed=seed, seconds=seconds, folder=folder)
    broken = asyncio.run(soak.run())
    answered = sum(sent.status == 200 for sent in soak.sent)
    print(
        f"seed {seed}: {len(soak.sent)} requests, {answered} answered, "
        f"{len(broken)} violations; {folder}"
    )
    for line in broken[:20]:
        print(f"  {line}")
    return broken


def main(argv: list[str]) -> None:
    """Run the seeds that the flags name."""
    first = FLAGS.seed if FLAGS.seed is not None else int(time.time())
    failed = [
        seed
        for seed in range(first, first + FLAGS.seeds)
        if run_seed(seed, FLAGS.seconds)
    ]
    print(f"{FLAGS.seeds} seeds, {len(failed)} with a promise broken: {failed}")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    flags.DEFINE_integer("seed", None, "First seed; the time of day if none is given.")
    flags.DEFINE_integer("seeds", 1, "How many seeds to run, one after the other.")
    flags.DEFINE_float("seconds", 20.0, "How long faults and requests last.")
    absl_app.run(main)

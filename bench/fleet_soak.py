"""A randomized soak: real daemons, faults from outside, promises checked at both ends.

``python -m bench.fleet_soak --seed=7 --seconds=20`` runs one seed; ``--seeds=50`` runs
so many in a row. The exit code is 1 if any promise was broken, and the folder with the
daemons' logs is kept and named.
"""

import asyncio
import random
import signal
import tempfile
import time
from pathlib import Path

import aiohttp
from absl import app as absl_app
from absl import flags

from bench.fleet_checks import Sent, check
from bench.fleet_site import ACCOUNTS, HOST, REVOKED_KEY, ROUTES, FleetSite
from bench.processes import wait_for
from standins.fleet_worker import Fault, FleetWorker

__all__ = ["Soak"]

FLAGS = flags.FLAGS
CLIENTS = 12
REQUEST_SECONDS = 6.0
PAUSE_SECONDS = 0.05
READY_SECONDS = 30.0
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
        self.disturbed: list[tuple[float, float]] = []
        self.drained: dict[str, float] = {}
        self.stopping: dict[str, float] = {}
        self.revoked = 0.0
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
        return check(self, timed=timed)

    async def _client(self, number: int) -> None:
        """Send requests one after the other over connections that are kept."""
        draw = random.Random(self.random.random())
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            session._retry_connection = False
            while time.monotonic() < self.ends:
                await self._request(session, draw, number)
                await asyncio.sleep(PAUSE_SECONDS * draw.random())

    async def _request(
        self, session: aiohttp.ClientSession, draw: random.Random, number: int
    ) -> None:
        self.serial += 1
        route = draw.choice(tuple(ROUTES))
        account = draw.choice(tuple(ACCOUNTS))
        revoked = draw.random() < 0.1
        sent = Sent(
            attempt=f"r{number}-{self.serial}",
            route=route,
            daemon=draw.choice(self.site.names),
            account="guest" if revoked else account,
            time=time.monotonic(),
        )
        self.sent.append(sent)
        key = REVOKED_KEY if revoked else ACCOUNTS[account]
        headers = {
            "Host": HOST,
            "Linnetladder-Attempt-Id": sent.attempt,
            "Linnetladder-Deadline-Ms": str(int(REQUEST_SECONDS * 1000)),
            "Authorization": f"Bearer {key}",
        }
        if route == "stream":
            headers["Linnetladder-Model"] = "*"
            headers["Linnetladder-Token-Counts"] = "500,20"
            headers["Linnetladder-Prompt-Prefix"] = f"s{number}:400,{sent.attempt}:100"
        url = f"{self.site.front(sent.daemon)}/{route}/{sent.attempt}"
        try:
            async with asyncio.timeout(REQUEST_SECONDS + 2.0):
                async with session.post(url, headers=headers, data=b"x") as response:
                    sent.body = await response.read()
                    sent.status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            sent.error = repr(error)
        sent.ended = time.monotonic()

    async def _disturb(self) -> None:
        """Bring about one fault after the other; some overlap."""
        faults = [
            self._worker_fault,
            self._worker_fault,
            self._silence,
            self._cut,
            self._pause,
            self._kill,
            self._terminate,
            self._reload,
            self._store_outage,
            self._lost_replies,
            self._revoke,
            self._drain,
        ]
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < self.ends:
                fault = self.random.choice(faults)
                tasks.create_task(fault())
                await asyncio.sleep(FAULT_GAP_SECONDS * (0.3 + self.random.random()))

    async def _worker_fault(self) -> None:
        worker = self.random.choice(self.site.workers)
        worker.faults.extend(self.random.choices(tuple(Fault), k=3))

    async def _silence(self) -> None:
        relay = self.random.choice(list(self.site.relays.values()))
        with Disturbance(self, 4.0):
            relay.silence()

    async def _cut(self) -> None:
        relay = self.random.choice(list(self.site.relays.values()))
        seconds = 0.5 + 2.0 * self.random.random()
        with Disturbance(self, seconds):
            relay.cut()
            await asyncio.sleep(seconds)
            relay.is_cut = False

    async def _pause(self) -> None:
        name = self.random.choice(self.site.names)
        seconds = 0.5 + 5.0 * self.random.random()
        with Disturbance(self, seconds):
            self.site.fleet.send(name, signal.SIGSTOP)
            await asyncio.sleep(seconds)
            self.site.fleet.send(name, signal.SIGCONT)

    async def _kill(self) -> None:
        await self._end(signal.SIGKILL, unplanned=True)

    async def _terminate(self) -> None:
        await self._end(signal.SIGTERM, unplanned=False)

    async def _end(self, number: signal.Signals, *, unplanned: bool) -> None:
        name = self.random.choice(self.site.names)
        if name in self.stopping:
            return
        self.stopping[name] = time.monotonic()
        began = time.monotonic()
        await self.site.restart(name, number)
        await wait_for(self.site.ready(name), seconds=READY_SECONDS)
        if unplanned:
            self.disturbed.append((began, time.monotonic()))
        del self.stopping[name]

    async def _reload(self) -> None:
        self.site.fleet.send(self.random.choice(self.site.names), signal.SIGHUP)

    async def _store_outage(self) -> None:
        seconds = 1.0 + 4.0 * self.random.random()
        with Disturbance(self, seconds):
            self.site.store.down = True
            await asyncio.sleep(seconds)
            self.site.store.down = False

    async def _lost_replies(self) -> None:
        with Disturbance(self, 1.0):
            self.site.store.faults.extend(["lost_reply"] * 4)

    async def _revoke(self) -> None:
        if not self.revoked:
            self.site.keys.pop("guest", None)
            self.site.configure()
            self.revoked = time.monotonic()

    async def _drain(self) -> None:
        worker: FleetWorker = self.random.choice(self.site.workers)
        if worker.name in self.drained or len(self.drained) % 2:
            return
        self.drained[worker.name] = time.monotonic()
        worker.drain()


class Disturbance:
    """Note the span of an unplanned fault, and a little after it."""

    def __init__(self, soak: Soak, seconds: float):
        self.soak = soak
        self.seconds = seconds

    def __enter__(self) -> None:
        now = time.monotonic()
        self.soak.disturbed.append((now, now + self.seconds))

    def __exit__(self, *exception: object) -> None:
        began, _ = self.soak.disturbed[-1]
        self.soak.disturbed.append((began, time.monotonic()))


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

"""A request that crashes its workers comes again after all daemons were killed."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_3 import Rig, Worker, route, run_case, trouble  # noqa: E402

CONTACT_SECONDS = 3.0
ALLOWED_RETRIES = 3
# A worker is back some seconds after it crashed, in a new lifetime with a new id.
BACK_SECONDS = 3.0
KILLS_AT_SECONDS = (12.0, 24.0, 36.0, 48.0)
LASTS_SECONDS = 64.0


class Desk(Worker):
    """A worker that crashes when it begins to run one certain request."""

    def __init__(self, **options: object):
        super().__init__(**options)
        self.respond = self.run
        self.lifetime = 1

    async def run(self, writer, attempt, target, headers, body) -> None:
        """Crash, or answer."""
        if body != b"bad":
            await self.answer(writer, attempt, target, headers, body)
            return
        self.rig.crashes.append((time.monotonic(), attempt))
        self.rig.record.write(f"{self.name} crashes on {attempt}")
        self.stop()
        asyncio.ensure_future(self.come_back())

    async def come_back(self) -> None:
        """Start again at the same address."""
        await asyncio.sleep(BACK_SECONDS)
        self.rig.store.remove(f"servers/{self.name}")
        self.lifetime += 1
        self.name = f"{self.name.partition('.')[0]}.{self.lifetime}"
        await self.start()


async def case(rig: Rig) -> str:
    """Play the case; return how the rule was broken."""
    rig.crashes = []
    for number in range(1, 7):
        worker = Desk(rig=rig, name=f"desk-{number}", service="desk")
        await worker.start()
        rig.workers.append(worker)
    rig.configure([route("fetch", "desk", Attempts=2)], [{"Name": "desk"}])
    for name in rig.names:
        rig.start_daemon(name)
    await rig.wait_ready()
    began = ready_at = time.monotonic()
    kills = list(KILLS_AT_SECONDS) if trouble() else []
    tasks = []
    while (now := time.monotonic() - began) < LASTS_SECONDS:
        if kills and now >= kills[0]:
            kills.pop(0)
            for name in rig.names:
                rig.send_signal(name, signal.SIGKILL)
            await asyncio.sleep(1.0)
            for name in rig.names:
                rig.start_daemon(name)
            await rig.wait_ready()
            ready_at = time.monotonic()
        # It comes only while all machines are in touch.
        if time.monotonic() > ready_at + CONTACT_SECONDS:
            name = random.choice(rig.names)
            request = rig.client.send(name, "/fetch/1", body=b"bad", deadline=2.5)
            tasks.append(asyncio.ensure_future(request))
        tasks += [
            asyncio.ensure_future(rig.client.send(name, "/fetch/2"))
            for name in rig.names
        ]
        await asyncio.sleep(1.0)
    await asyncio.gather(*tasks)
    times = [at for at, _ in rig.crashes]
    if len(times) < 3:
        return ""
    retries = [at for at in times if at > times[2] + CONTACT_SECONDS]
    rig.record.write(f"crashes: {[round(at - began, 2) for at in times]}")
    if len(retries) <= ALLOWED_RETRIES:
        return ""
    return (
        f"BUDGET: a request crashed {len(retries)} more workers later than "
        f"{CONTACT_SECONDS:g} s after it had crashed the third"
    )


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)

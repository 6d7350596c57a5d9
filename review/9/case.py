"""Keys without a value come into the settings file, and no daemon starts any more."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_2 import BOUNDS, Client, Rig, Worker, has_trouble, route, run_case  # noqa: E402

# Keys of matters that are not open at this site.
EMPTY_KEYS = ("Bounds.ColdOverage=", "Bounds.ColdSlack=", "Bounds.EvacuateMs=")
RESTART_SECONDS = 0.5
ROLL_GAP_SECONDS = 1.0
WATCHED_SECONDS = 12.0
SEND_SECONDS = 0.1
# A day counts 0 if processes of two machines end by themselves so often.
ENDS = 3


async def case() -> int:
    """Start the deployment and play the case on it."""
    rig = Rig(FOLDER, daemons=2, zones=("north", "south"))
    record, store = rig.record, rig.store
    rig.workers = [
        Worker(service="desk", zone=zone, store=store, record=record)
        for zone in rig.zones
    ]
    rig.configuration = {
        "Version": 3,
        "Routes": [route("fetch", kind="idempotent", service="desk")],
        "Services": [{"Name": "desk", "HealthPath": "/healthz"}],
        "Tenants": [{"Name": "studio", "ApiKeys": ["key-studio"]}],
        "Limits": {},
    }
    try:
        await rig.start()
        if not await rig.wait_until_ready():
            record.say("the daemons did not become ready")
            return 2
        return await play(rig)
    finally:
        await rig.stop()


async def play(rig: Rig) -> int:
    """Return the exit code of the case."""
    record = rig.record
    for daemon in rig.daemons:
        client = Client(daemon=daemon, key="key-studio", record=record)
        if (await client.send("/fetch/a")).status != 200:
            record.say("a request before the change was not served")
            return 2
    if has_trouble():
        record.say(f"the settings files change: {' '.join(EMPTY_KEYS)}")
        for daemon in rig.daemons:
            daemon.added_lines = list(EMPTY_KEYS)
            daemon.write_settings()
            daemon.send(signal.SIGHUP)
    await asyncio.sleep(3.0)
    ends: dict[str, int] = {}
    keeping = []
    for daemon in rig.daemons:
        daemon.send(signal.SIGTERM)
        keeping.append(asyncio.ensure_future(keep_running(daemon, ends)))
        await asyncio.sleep(ROLL_GAP_SECONDS)
    await asyncio.sleep(BOUNDS["GraceS"] + 2.0)
    began = time.monotonic()
    served = sent = 0
    while time.monotonic() < began + WATCHED_SECONDS:
        for daemon in rig.daemons:
            client = Client(daemon=daemon, key="key-studio", record=record)
            sent += 1
            served += (await client.send("/fetch/a")).status == 200
            client.close()
        await asyncio.sleep(SEND_SECONDS)
    for task in keeping:
        task.cancel()
    record.say(f"{served} of {sent} requests after the restarts were served")
    for name, count in ends.items():
        record.say(f"processes of {name} ended by themselves {count} times")
    machines = sum(count >= ENDS for count in ends.values())
    record.say(f"{machines} machines had {ENDS} such ends or more: the bound is 1")
    return 1 if machines >= 2 else 0


async def keep_running(daemon, ends: dict[str, int]) -> None:
    """Start a daemon again after each end, as the platform does."""
    ends[daemon.name] = 0
    code = await daemon.process.wait()
    while True:
        daemon.rig.record.say(f"{daemon.name} has ended with {code}")
        await asyncio.sleep(RESTART_SECONDS)
        await daemon.start()
        code = await daemon.process.wait()
        ends[daemon.name] += 1


run_case(case)

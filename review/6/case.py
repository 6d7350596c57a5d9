"""The last client account is withdrawn, and its key goes on being served."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_2 import BOUNDS, Client, Rig, Worker, has_trouble, route, run_case  # noqa: E402

REVOKE_SECONDS = BOUNDS["RevokeMs"] / 1000
SEND_SECONDS = 0.1
WATCHED_SECONDS = 10.0


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
        "Routes": [route("save", kind="non_idempotent", service="desk")],
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
    stop = asyncio.Event()
    asked = [asyncio.ensure_future(ask(rig, d, stop)) for d in rig.daemons]
    await asyncio.sleep(3.0)
    # Without the disruption one key of the account stays, and the other one goes.
    tenants = [] if has_trouble() else [{"Name": "studio", "ApiKeys": ["key-new"]}]
    rig.configuration = {**rig.configuration, "Version": 7, "Tenants": tenants}
    rig.publish()
    confirmed = time.monotonic()
    await asyncio.sleep(WATCHED_SECONDS)
    stop.set()
    for key in ("key-never-given", ""):
        client = Client(daemon=rig.daemons[0], key=key, record=record)
        answer = await client.send("/save/a", method="POST", body=b"page")
        record.say(f"a request with {key or 'no key'} gets {answer.status}")
    answers = [answer for one in await asyncio.gather(*asked) for answer in one]
    runs = {run[1]: run[2] for worker in rig.workers for run in worker.runs}
    before = [a for a in answers if a.attempt in runs and a.sent < confirmed]
    record.say(f"{len(before)} requests with the key ran before it was taken away")
    late = [
        answer
        for answer in answers
        if answer.attempt in runs and answer.sent > confirmed + REVOKE_SECONDS
    ]
    for answer in (*late[:1], *late[-1:]):
        tenant = runs[answer.attempt].get("linnetladder-tenant", "none")
        seconds = answer.sent - confirmed
        record.say(
            f"{answer.attempt} ran, sent {seconds:.2f} s after the confirmation, "
            f"tenant: {tenant}"
        )
    record.say(f"{len(late)} ran that were sent later than RevokeMs: the bound is 0")
    if not before:
        return 2
    return 1 if late else 0


async def ask(rig: Rig, daemon, stop: asyncio.Event) -> list:
    """Send requests with the key to a daemon until told to stop."""
    answers = []
    client = Client(daemon=daemon, key="key-studio", record=rig.record)
    while not stop.is_set():
        answers.append(await client.send("/save/a", method="POST", body=b"page"))
        await asyncio.sleep(SEND_SECONDS)
    client.close()
    return answers


run_case(case)

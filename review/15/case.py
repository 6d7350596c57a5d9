"""Open channels to the store go silent just before a route moves to another service."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_3 import Rig, route, run_case, trouble  # noqa: E402

CONTACT_SECONDS = 3.0
CONFIG_SECONDS = 2.0
# The routes that move: one that needs a key, and a public one.
MOVING = ("fetch", "open")


def configure(rig: Rig, service: str) -> None:
    """Write a configuration in which the routes lead to a service."""
    rig.configure(
        [route("fetch", service), route("open", service, Public=True)],
        [{"Name": "desk-a"}, {"Name": "desk-b"}],
    )


async def case(rig: Rig) -> str:
    """Play the case; return how the rule was broken."""
    for service in ("desk-a", "desk-b"):
        for number in (1, 2):
            await rig.add_worker(f"{service}-{number}", service)
    configure(rig, "desk-a")
    for name in rig.names:
        rig.start_daemon(name)
    await rig.wait_ready()
    answers = []
    tasks = []
    silent_at = confirmed_at = None

    async def send(name: str, path: str) -> None:
        key = {"key": ""} if path == "open" else {}
        answers.append(await rig.client.send(name, f"/{path}/1", **key))

    began = time.monotonic()
    while (now := time.monotonic() - began) < 20.0:
        if silent_at is None and now >= 12.0:
            silent_at = time.monotonic()
            if trouble():
                for name, proxy in rig.proxies.items():
                    proxy.silence()
                    rig.record.write(f"{proxy.open} channels of {name} go silent")
        if confirmed_at is None and now >= 12.4:
            configure(rig, "desk-b")
            confirmed_at = time.monotonic()
        for name in rig.names:
            for path in MOVING:
                tasks.append(asyncio.ensure_future(send(name, path)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    since = max(silent_at + CONTACT_SECONDS, confirmed_at + CONFIG_SECONDS)
    old = {
        attempt: at
        for worker in rig.workers
        if worker.service == "desk-a"
        for at, attempt in worker.runs
    }
    late = [a for a in answers if a.sent_at >= since and a.attempt in old]
    for answer in late:
        after = answer.sent_at - confirmed_at
        rig.record.write(
            f"late: {answer.attempt} to {answer.daemon} {answer.target}, sent "
            f"{after:.2f} s after the confirmation, ran at the old service"
        )
    if not late:
        return ""
    last = max(a.sent_at for a in late) - confirmed_at
    return (
        f"CONFIG: {len(late)} requests to machines in touch ran at the old service, "
        f"the last sent {last:.2f} s after the confirmation"
    )


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case, daemons=6)

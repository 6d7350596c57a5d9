"""Open channels to the store go silent just before a worker's entry is removed."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_3 import Rig, route, run_case, trouble  # noqa: E402

CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
# For how long the worker serves after its entry is gone: DrainMs and a little longer.
SERVES_SECONDS = 3.6
WORK_SECONDS = 0.3


async def case(rig: Rig) -> str:
    """Play the case; return how the rule was broken."""
    workers = [
        await rig.add_worker(f"desk-{number}", "desk", work_seconds=WORK_SECONDS)
        for number in (1, 2, 3)
    ]
    leaving = workers[0]
    rig.configure(
        [route("save", "desk", Kind="non_idempotent", Attempts=1)], [{"Name": "desk"}]
    )
    for name in rig.names:
        rig.start_daemon(name)
    await rig.wait_ready()
    answers = []
    tasks = []
    silent_at = removed_at = ended_at = None

    async def send(name: str) -> None:
        answers.append(await rig.client.send(name, "/save/1"))

    began = time.monotonic()
    while (now := time.monotonic() - began) < 12.3 + SERVES_SECONDS + 3.0:
        if silent_at is None and now >= 12.0:
            silent_at = time.monotonic()
            if trouble():
                for name, proxy in rig.proxies.items():
                    proxy.silence()
                    rig.record.write(f"{proxy.open} channels of {name} go silent")
        if removed_at is None and now >= 12.3:
            leaving.listed = False
            rig.store.remove(f"servers/{leaving.name}")
            removed_at = time.monotonic()
            rig.record.write(f"the store has removed the entry of {leaving.name}")
        if ended_at is None and now >= 12.3 + SERVES_SECONDS:
            leaving.stop()
            ended_at = time.monotonic()
            rig.record.write(f"{leaving.name} ends")
        tasks += [asyncio.ensure_future(send(name)) for name in rig.names]
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    sent_at = {answer.attempt: answer for answer in answers}
    since = silent_at + CONTACT_SECONDS
    late = [
        (at, sent_at[attempt])
        for at, attempt in leaving.runs
        if at > removed_at + DRAIN_SECONDS and sent_at[attempt].sent_at >= since
    ]
    for at, answer in late:
        rig.record.write(
            f"late: {answer.attempt} from {answer.daemon} reached {leaving.name} "
            f"{at - removed_at:.2f} s after its entry was removed"
        )
    if not late:
        return ""
    last = max(at for at, _ in late) - removed_at
    lost = [answer for at, answer in late if answer.status != 200]
    for answer in lost:
        rig.record.write(f"lost: {answer.attempt} was answered {answer.status}")
    return (
        f"DRAIN: {len(late)} requests of machines in touch reached a worker that had "
        f"left, the last {last:.2f} s after its entry was removed; {len(lost)} that "
        f"may run only once were at work there when it ended"
    )


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)

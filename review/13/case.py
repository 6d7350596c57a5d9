"""Channels to a worker go silent in the middle of streams, which go on elsewhere."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig_3 import Proxy, Rig, Worker, route, run_case, trouble  # noqa: E402

# As the sheet of Barakat Muscat says of condolences, whose longest have 194 events.
GOAL_MS = 1500
GAP_MS = 800
TIMEOUT_MS = 25_000
EVENTS = 194
EVENT_SECONDS = 0.04
CONTACT_SECONDS = 3.0
STILL_AT_WORK_SECONDS = 0.4
STREAMS = 12


class Engine(Worker):
    """A model worker, which streams until its end or until its channel closes."""

    def __init__(self, **options: object):
        super().__init__(**options)
        self.respond = self.stream
        # By attempt id: when the run began and when it ended.
        self.spans: dict[str, list[float]] = {}
        # By attempt id of the runs in progress: the events made.
        self.made: dict[str, int] = {}
        self.proxy: Proxy | None = None

    def control(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        """Report the runs, or stop one that is to be moved away."""
        self.rig.record.write(f"{self.name}: {method} {target}")
        if target.startswith("/-/report"):
            return 200, {
                "Phase": "colocated",
                "Models": [{"Name": "m0", "Version": 1, "Adapters": []}],
                "Busy": False,
                "Seq": 0,
                "Queued": 0,
                "Active": len(self.made),
                "KvUsed": 0,
                "KvTotal": 372758,
                "Handles": 0,
                "State": "ready",
                "Runs": [[run, 550 + n, n, 5] for run, n in self.made.items()],
            }
        if target.startswith("/-/kv-move"):
            order = json.loads(body)
            made = self.made.get(order["Id"])
            if made is None:
                return 404, {}
            if order.get("Last"):
                del self.made[order["Id"]]
            return 200, {"Handle": order["Id"], "Created": made}
        return 404, {}

    async def stream(self, writer, attempt, target, headers, body) -> None:
        """Stream the events after the one that the request names."""
        after = int(headers.get("last-event-id", 0) or 0)
        span = self.spans[attempt] = [time.monotonic(), 0.0]
        self.rig.record.write(f"{self.name} streams {attempt} after event {after}")
        writer.write(
            f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Transfer-Encoding: chunked\r\nLinnetladder-Attempt-Id: {attempt}\r\n"
            f"Linnetladder-Server-Seal: {self.name}.{attempt}\r\n"
            f"Linnetladder-Confidence: 100\r\n\r\n".encode()
        )
        self.made[attempt] = after
        try:
            for number in range(after + 1, EVENTS + 1):
                await asyncio.sleep(EVENT_SECONDS)
                if self.is_closed(writer):
                    return
                if attempt not in self.made:
                    writer.transport.abort()
                    return
                self.made[attempt] = number
                event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            writer.write(b"0\r\n\r\n")
        finally:
            self.made.pop(attempt, None)
            span[1] = time.monotonic()
            self.rig.record.write(f"{self.name} ends {attempt}")


async def case(rig: Rig) -> str:
    """Play the case; return how the rule was broken."""
    engines = []
    for number in (1, 2, 3):
        engine = Engine(rig=rig, name=f"engine-{number}", service="engines", slots=64)
        await engine.start()
        engine.proxy = Proxy(port=engine.port)
        await engine.proxy.start()
        engine.advertised_port = engine.proxy.port
        engine.register()
        engines.append(engine)
        rig.workers.append(engine)
    rig.configure(
        [
            route(
                "condolence",
                "engines",
                Kind="streaming",
                CanResume=True,
                Sticky=True,
                Sizes=["m0"],
                TimeoutMs=TIMEOUT_MS,
                GoalMs=GOAL_MS,
                GapTargetMs=GAP_MS,
                Attempts=3,
            )
        ],
        [
            {
                "Name": "engines",
                "Engine": {
                    "Slots": 64,
                    "KvCapacity": 372758,
                    "Models": [{"Name": "m0", "Cost": 0.02}],
                },
            }
        ],
    )
    for name in rig.names:
        rig.start_daemon(name)
    await rig.wait_ready()
    await asyncio.sleep(4.0)
    tasks = []
    for number in range(STREAMS):
        daemon = rig.names[number % len(rig.names)]
        headers = {
            "Linnetladder-Model": "*",
            "Linnetladder-Token-Counts": "550,600",
            "Linnetladder-Prompt-Prefix": f"a{number % 3:07x}:100,b{number:07x}:70,"
            f"c{number:07x}:380",
        }
        tasks.append(
            asyncio.ensure_future(
                rig.client.send(daemon, "/condolence/1", deadline=25.0, headers=headers)
            )
        )
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.5)
    silent_at = time.monotonic()
    if trouble():
        for engine in engines:
            rig.record.write(f"{engine.proxy.open} channels to {engine.name} go silent")
            engine.proxy.silence()
    answers = await asyncio.gather(*tasks)
    # Runs that nobody can reach any more go on to their end.
    await asyncio.sleep(EVENTS * EVENT_SECONDS + 1.0)
    broken = []
    for answer in answers:
        spans = sorted(
            (*engine.spans[answer.attempt], engine.name)
            for engine in engines
            if answer.attempt in engine.spans
        )
        for (_, ended, first), (began, _, second) in zip(
            spans, spans[1:], strict=False
        ):
            overlap = ended - began
            in_touch = began >= silent_at + CONTACT_SECONDS
            rig.record.write(
                f"{answer.attempt} went on at {second} {began - silent_at:.2f} s after "
                f"the silence began, and {first} worked on it {overlap:.2f} s longer"
            )
            if in_touch and overlap > STILL_AT_WORK_SECONDS:
                broken.append(overlap)
    if not broken:
        return ""
    return (
        f"TWICE: {len(broken)} of {len(answers)} streams went on at another worker "
        f"while the one before worked on them for up to {max(broken):.2f} s longer"
    )


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, case)

"""A stream is asked for at a second worker while the first one works on it."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_2 import Client, Rig, Worker, has_trouble, route, run_case  # noqa: E402

EVENTS = 6
EVENT_SECONDS = 0.05
FIRST_EVENT_SECONDS = 1.2
# The largest dose of srv_slow: four times as long.
SLOW_FACTOR = 4.0
SLOW_SECONDS = 5.0
WORKERS = 7
REQUESTS = 36
GAP_SECONDS = 0.15
# A worker may go on for this long after its request went on elsewhere.
TOLERATED_SECONDS = 0.4


class ModelWorker(Worker):
    """A worker that streams, and runs a request to its end if its channel closes."""

    def __init__(self, **options):
        super().__init__(**options)
        self.factor = 1.0
        # The attempt id, begin and end of each run.
        self.spans: list[list] = []

    async def serve(self, method, target, fields, body, writer) -> bool:
        """Stream the events of one request."""
        attempt = fields["linnetladder-attempt-id"]
        span = [attempt, time.monotonic(), None]
        self.spans.append(span)
        self.runs.append((span[1], attempt, fields))
        self.record.write(f"{self.name} runs {attempt}")
        factor = self.factor
        await asyncio.sleep(FIRST_EVENT_SECONDS * factor)
        first = int(fields.get("last-event-id") or 0) + 1
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Linnetladder-Attempt-Id: {attempt}\r\n"
            f"Linnetladder-Server-Seal: {self.name}.{attempt}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        self.put_out(writer, head.encode())
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            self.put_out(writer, b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(EVENT_SECONDS * factor)
        self.put_out(writer, b"0\r\n\r\n")
        span[2] = time.monotonic()
        self.record.write(f"{self.name} has run {attempt}")
        return not writer.is_closing()

    def put_out(self, writer, data: bytes) -> None:
        """Write to a channel that may be closed."""
        if not writer.is_closing():
            writer.write(data)


async def case() -> int:
    """Start the deployment and play the case on it."""
    rig = Rig(FOLDER, daemons=2, zones=("north", "south"))
    record, store = rig.record, rig.store
    rig.workers = [
        ModelWorker(service="models", zone=rig.zones[n % 2], store=store, record=record)
        for n in range(WORKERS)
    ]
    models = [{"Name": "m0", "Cost": 0.1}]
    engine = {"Slots": 64, "KvCapacity": 370000, "Models": models}
    stream = route(
        "draft",
        kind="streaming",
        service="models",
        Sizes=["m0"],
        CanResume=True,
        Sticky=True,
        TimeoutMs=25000,
        GoalMs=1500,
        GapTargetMs=800,
    )
    rig.configuration = {
        "Version": 3,
        "Routes": [stream],
        "Services": [{"Name": "models", "HealthPath": "/healthz", "Engine": engine}],
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
    await asyncio.sleep(4.0)
    if has_trouble():
        rig.workers[0].factor = SLOW_FACTOR
        record.say(f"{rig.workers[0].name} is {SLOW_FACTOR:g} times as slow")
        loop = asyncio.get_running_loop()
        loop.call_later(SLOW_SECONDS, setattr, rig.workers[0], "factor", 1.0)
    asked = []
    for number in range(REQUESTS):
        client = Client(daemon=rig.daemons[number % 2], key="key-studio", record=record)
        fields = {
            "Linnetladder-Model": "*",
            "Linnetladder-Token-Counts": "700,20",
            "Linnetladder-Prompt-Prefix": f"{number:x}a:300,{number:x}b:400",
        }
        sending = client.send(
            "/draft/a", method="POST", limit_ms=25000, body=b"text", fields=fields
        )
        asked.append(asyncio.ensure_future(sending))
        await asyncio.sleep(GAP_SECONDS)
    answers = await asyncio.gather(*asked)
    await asyncio.sleep(SLOW_FACTOR * (FIRST_EVENT_SECONDS + EVENTS * EVENT_SECONDS))
    served = sum(answer.status == 200 for answer in answers)
    record.say(f"{served} of {len(answers)} requests were served")
    broken = 0
    spans = [(w.name, *span) for w in rig.workers for span in w.spans]
    for name, attempt, began, _ in spans:
        for other, same, first, ended in spans:
            if other == name or same != attempt or first >= began or ended is None:
                continue
            if ended > began + TOLERATED_SECONDS:
                broken += 1
                record.say(
                    f"{attempt} begins at {name} while {other}, which had it for "
                    f"{began - first:.2f} s, works on it for {ended - began:.2f} s more"
                )
    record.say(f"{broken} requests went on elsewhere meanwhile: the bound is 0")
    if served < len(answers) / 2:
        return 2
    return 1 if broken else 0


run_case(case)

"""An entry that another writer puts among those of the workers, and takes away."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness  # noqa: E402

# Requests on public routes need no key, so the age of the configuration does not
# matter to them; the others carry a key.
STATUS = {**harness.ROUTES[2], "Name": "status", "Public": True}
OLD = {**harness.ROUTES[2], "Name": "old", "PathPrefix": "/old/", "Public": True}
KEYED = {**harness.ROUTES[2], "Name": "keyed", "PathPrefix": "/keyed/"}
ENTRY = (
    b'{"Service":"layout-app","Address":"127.0.0.1:9","Zone":"zone-1","Version":"v1",'
    b'"Slots":6,"State":"ready","ColdMs":0,"Seq":1,"born":1%s}' % (b"0" * 400)
)
ENTRY_AT = 4.0
ENTRY_GONE_AT = 7.0
# ContactMs after the entry is gone, so that all machines are in touch.
DROPPED_AT = 11.0
CONFIG_SECONDS = 2.0
LENGTH = 26.0
INTERVAL_SECONDS = 0.2
# The rule allows none; a few that cross the change are left out.
ALLOWED = 3


async def case(record: harness.Record) -> tuple[int, str]:
    """Count requests that run on a route which the configuration dropped."""
    site = harness.Site(record=record, daemons=2, routes=(STATUS, OLD, KEYED))
    workers = [
        harness.Worker(
            site=site,
            name=f"i-desk-{number}",
            service=harness.DESK,
            zone=f"zone-{number}",
        )
        for number in (1, 2)
    ]
    late: list[str] = []
    keyed: list[int] = []

    async def send(route: str, number: int, at: float) -> None:
        daemon = site.daemons[number % 2]
        attempt = f"{route}-{number}"
        headers = harness.request_headers(attempt, deadline_ms=2500)
        record.write("sent", attempt, daemon.name)
        status, content = await harness.fetch(
            daemon.address, 8227, "GET", f"/{route}/x", headers, seconds=3
        )
        record.write("answer", attempt, status, b"" if status == 200 else content[:120])
        if at > DROPPED_AT + CONFIG_SECONDS:
            if route == "old":
                late.append(attempt)
            if route == "keyed":
                keyed.append(status)

    try:
        await site.start(workers)
        loop = asyncio.get_running_loop()
        began = loop.time()
        sends = []
        number = 0
        steps = [(DROPPED_AT, "drop")]
        if harness.TROUBLE:
            steps = [(ENTRY_AT, "write"), (ENTRY_GONE_AT, "remove"), *steps]
        while (at := loop.time() - began) < LENGTH:
            if steps and at >= steps[0][0]:
                _, step = steps.pop(0)
                if step == "write":
                    site.store.put_bytes("servers/i-other", ENTRY)
                    record.write("another writer puts servers/i-other")
                elif step == "remove":
                    site.store.remove("servers/i-other")
                    record.write("servers/i-other is removed")
                else:
                    site.routes = (STATUS, KEYED)
                    site.publish()
            for route in ("status", "old", "keyed"):
                sends.append(asyncio.ensure_future(send(route, number, at)))
            number += 1
            await asyncio.sleep(INTERVAL_SECONDS)
        await asyncio.gather(*sends)
    finally:
        await site.stop()
    ran = {attempt for worker in workers for attempt in worker.run_ids}
    wrongly = [attempt for attempt in late if attempt in ran]
    served = keyed.count(200) / max(len(keyed), 1)
    text = (
        f"{len(wrongly)} of {len(late)} requests on the dropped route ran; "
        f"served with a key: {served:.2f} of {len(keyed)}"
    )
    broken = len(wrongly) > ALLOWED
    return (harness.BROKEN if broken else harness.HELD), text


harness.run_case(case, str(Path(__file__).resolve().parent))

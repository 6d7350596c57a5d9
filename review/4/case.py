"""A configuration that grows by many routes, read over a slow link."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness  # noqa: E402

# The slowest link of the sheets.
LINK_BITS_PER_SECOND = 5_000_000
CHUNK_BYTES = 8 * 1024
# The largest count of the site files, twice.
ADDED_ROUTES = 1400
GROWN_AT = (3.0, 8.0)
DROPPED_AT = 14.0
CONFIG_SECONDS = 2.0
LENGTH = 30.0
INTERVAL_SECONDS = 0.2
# The rule allows none; a few that cross the change are left out.
ALLOWED = 3

# Requests on public routes need no key, so the age of the configuration does not
# matter to them; the others carry a key.
STATUS = {**harness.ROUTES[2], "Name": "status", "Public": True}
OLD = {**harness.ROUTES[2], "Name": "old", "PathPrefix": "/old/", "Public": True}
KEYED = {**harness.ROUTES[2], "Name": "keyed", "PathPrefix": "/keyed/"}


class SlowLink:
    """A relay to the store with the bandwidth of a machine's link."""

    def __init__(self, port: int):
        self.port = port
        self.free_at = {"in": 0.0, "out": 0.0}

    async def start(self) -> str:
        """Listen and return the address."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass a channel on."""
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.port
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self.pump(reader, far_writer, "out"), self.pump(far_reader, writer, "in")
        )

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        """Pass bytes on at the link's rate, which all channels share."""
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(CHUNK_BYTES):
                began = max(loop.time(), self.free_at[direction])
                seconds = len(data) * 8 / LINK_BITS_PER_SECOND
                self.free_at[direction] = began + seconds
                await asyncio.sleep(self.free_at[direction] - loop.time())
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class SlowLinks(harness.Site):
    """A site whose daemons each have a slow link to the store."""

    async def start_links(self) -> None:
        """Start the daemons' links."""
        port = int(self.store_address.rpartition(":")[2])
        for daemon in self.daemons:
            daemon.store_address = await SlowLink(port).start()


def added_routes(first: int) -> tuple[dict, ...]:
    """Return the routes of one growth, as the operator writes them."""
    return tuple(
        {
            **harness.ROUTES[2],
            "Name": f"r-{number:07x}",
            "PathPrefix": f"/added{number}/",
            "Priority": 2,
            "Public": False,
            "Sticky": False,
            "CanResume": False,
        }
        for number in range(first, first + ADDED_ROUTES)
    )


async def case(record: harness.Record) -> tuple[int, str]:
    """Count requests that run on a route which the configuration dropped."""
    site = SlowLinks(record=record, daemons=2, routes=(STATUS, OLD, KEYED))
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
        growths = list(enumerate(GROWN_AT))
        dropped = False
        while (at := loop.time() - began) < LENGTH:
            if growths and at >= growths[0][1]:
                index, _ = growths.pop(0)
                if harness.TROUBLE:
                    site.routes += added_routes(index * ADDED_ROUTES)
                site.publish()
                size = len(site.store.value("op/config"))
                record.write("the configuration has", size, "bytes")
            if not dropped and at >= DROPPED_AT:
                dropped = True
                site.routes = tuple(r for r in site.routes if r["Name"] != "old")
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

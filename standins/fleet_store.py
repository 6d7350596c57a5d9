"""In-process stand-in for the users' store, after its published documentation.

It serves HTTP on loopback: items with revisions, ranges, long-polling watches,
conditional transactions and leases. ``faults`` is a queue of faults for the next calls:
``unavailable`` answers 503 without any effect, ``lost_reply`` executes the call and
closes the connection without a reply. While ``down`` is set, every call is answered
503. `FleetStore.rewind` returns it to an older copy and raises its era, which all
answers carry.
"""

import asyncio
import base64
import collections
import dataclasses
import itertools
import time

import orjson
from aiohttp import web

__all__ = ["FleetStore"]

PAGE_ITEMS = 500
# Copies older than this can't be returned to.
WORKER_PREFIX = "servers/"
COPY_RETENTION_SECONDS = 30.0
ERA_HEADER = "Store-Era"


@dataclasses.dataclass
class Item:
    """A key's value and revisions."""

    value: str
    revision: int
    created: int
    lease: int = 0


@dataclasses.dataclass
class Undo:
    """What a change replaced; ``lease`` is the id of a lease that it granted.

    ``at`` is the time of the change on the monotonic clock, in seconds.
    """

    at: float
    revision: int
    key: str = ""
    item: Item | None = None
    lease: int = 0


class FleetStore:
    """The store's data and the HTTP handlers of its operations."""

    def __init__(self):
        self.era = 1
        self.undo: collections.deque[Undo] = collections.deque()
        self.items: dict[str, Item] = {}
        # The latest documents of the operator and the workers, who remember them.
        self.documents: dict[str, bytes] = {}
        self.revision = 1
        self.leases: set[int] = set()
        self.history: list[dict] = []
        self.faults: collections.deque[str] = collections.deque()
        self.calls: collections.Counter[str] = collections.Counter()
        self.returned_keys: list[list[str]] = []
        self.changed = asyncio.Event()
        self.down = False
        self.stopping = False
        self.runners: list[web.ServerRunner] = []

    async def start(
        self, *, port: int = 0, worker_addresses: dict[str, str] | None = None
    ) -> str:
        """Listen on loopback and return ``IP:port``.

        Callers at this address see the workers that ``worker_addresses`` names at other
        addresses than the workers have registered.
        """

        async def handle(request: web.BaseRequest) -> web.Response:
            return await self.handle(request, worker_addresses or {})

        runner = web.ServerRunner(web.Server(handle, access_log=None))
        self.runners.append(runner)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", port)
        await site.start()
        bound_port = runner.addresses[0][1]
        return f"127.0.0.1:{bound_port}"

    async def stop(self) -> None:
        """End the pending watches and stop listening."""
        self.stopping = True
        self.changed.set()
        for runner in self.runners:
            await runner.cleanup()

    def put(self, key: str, document: dict) -> int:
        """Write a document of the operator or a worker and return its revision."""
        self.documents[key] = orjson.dumps(document)
        return self.put_bytes(key, self.documents[key])

    def put_bytes(self, key: str, value: bytes, *, lease: int = 0) -> int:
        """Write bytes and return their revision."""
        self._keep_undo(key=key)
        self.revision += 1
        existing = self.items.get(key)
        created = existing.created if existing is not None else self.revision
        encoded = base64.b64encode(value).decode()
        self.items[key] = Item(encoded, self.revision, created, lease)
        self._record(self._entry(key))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key, which its owner does not write again."""
        self.documents.pop(key, None)
        if key in self.items:
            self._keep_undo(key=key)
            del self.items[key]
            self.revision += 1
            self._record({"Key": key, "Rev": self.revision, "Removed": True})

    def rewind(self, seconds: float) -> dict[str, Item | None]:
        """Return to the copy of some seconds ago and raise the era.

        Changes and leases since then are gone, and their revisions are given out again.
        The result maps each key that has changed since to its item before the return,
        ``None`` if it had been removed.
        """
        lost: dict[str, Item | None] = {}
        since = time.monotonic() - seconds
        while self.undo and self.undo[-1].at >= since:
            undo = self.undo.pop()
            if undo.key:
                lost.setdefault(undo.key, self.items.get(undo.key))
            self.revision = undo.revision
            self.leases.discard(undo.lease)
            if undo.item is not None:
                self.items[undo.key] = undo.item
            elif undo.key:
                self.items.pop(undo.key, None)
        self.era += 1
        self.history = [e for e in self.history if e["Rev"] <= self.revision]
        self.changed.set()
        return lost

    def _keep_undo(self, *, key: str = "", lease: int = 0) -> None:
        now = time.monotonic()
        self.undo.append(Undo(now, self.revision, key, self.items.get(key), lease))
        while self.undo[0].at < now - COPY_RETENTION_SECONDS:
            self.undo.popleft()

    def value(self, key: str) -> bytes:
        """Return a key's value."""
        return base64.b64decode(self.items[key].value)

    def encoded(self, key: str) -> str:
        """Return a key's value in Base64, as it is sent on the wire."""
        return self.items[key].value

    def expire_all_leases(self) -> None:
        """Expire all leases and remove the keys attached to them."""
        self.leases.clear()
        for key in [key for key, item in self.items.items() if item.lease]:
            self.remove(key)

    async def handle(
        self, request: web.BaseRequest, worker_addresses: dict[str, str]
    ) -> web.Response:
        """Handle one call, subject to the next fault in the queue."""
        name, _, argument = request.path.removeprefix("/-/").partition("/")
        self.calls[name] += 1
        fault = self.faults.popleft() if self.faults else ""
        headers = {ERA_HEADER: str(self.era)}
        if fault == "unavailable" or self.down:
            return web.Response(status=503, headers=headers)
        content = await request.read()
        body = orjson.loads(content) if content else {}
        status, answer = await self._answer(name, argument, request.query, body)
        if worker_addresses:
            for entry in answer.get("Entries", ()):
                _replace_address(entry, worker_addresses)
        headers = {ERA_HEADER: str(self.era)}
        if fault == "lost_reply":
            request.transport.close()
        return web.Response(
            status=status,
            body=orjson.dumps(answer),
            content_type="application/json",
            headers=headers,
        )

    async def _answer(self, name, argument, query, body) -> tuple[int, dict]:
        match name:
            case "kv-key":
                return self._get(query["Key"])
            case "kv-range":
                return 200, self._range(query["PathPrefix"], query.get("After", ""))
            case "kv-watch":
                if int(query["After"]) > self.revision:
                    return 410, {"At": self.revision}
                return 200, await self._watch(query)
            case "kv-txn":
                return self._transact(body)
            case "kv-lease":
                lease = len(self.leases) + self.revision + 1000
                self._keep_undo(lease=lease)
                self.leases.add(lease)
                return 200, {"Lease": lease, "TtlMs": body["TtlMs"]}
            case "kv-keep":
                if int(argument) in self.leases:
                    return 200, {"TtlMs": 3000}
                return 404, {}
            case "kv-lease-end":
                self.leases.discard(int(argument))
                return 200, {}
        return 404, {}

    def _get(self, key: str) -> tuple[int, dict]:
        if key not in self.items:
            return 404, {"At": self.revision}
        return 200, {**self._entry(key), "At": self.revision}

    def _range(self, prefix: str, after: str) -> dict:
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        self.returned_keys.append(keys[:PAGE_ITEMS])
        return {
            "Entries": [self._entry(key) for key in keys[:PAGE_ITEMS]],
            "HasMore": len(keys) > PAGE_ITEMS,
            "At": self.revision,
        }

    async def _watch(self, query) -> dict:
        after, prefix = int(query["After"]), query["PathPrefix"]
        try:
            async with asyncio.timeout(int(query["WaitMs"]) / 1000):
                events = self._events_since(after, prefix)
                while not events and not self.stopping:
                    era, looked_at = self.era, self.revision
                    self.changed.clear()
                    await self.changed.wait()
                    # Many watches wait: each looks at new events alone.
                    since = looked_at if era == self.era else after
                    events = self._events_since(max(since, after), prefix)
        except TimeoutError:
            events = []
        return {"events": events, "At": self.revision}

    def _events_since(self, revision: int, prefix: str) -> list[dict]:
        """Return the events below a prefix after a revision, oldest first."""
        newer = itertools.takewhile(
            lambda event: event["Rev"] > revision, reversed(self.history)
        )
        return [event for event in newer if event["Key"].startswith(prefix)][::-1]

    def _transact(self, body: dict) -> tuple[int, dict]:
        conditions = body.get("ExpectRev", [])
        writes = body.get("Writes", [])
        for condition in conditions:
            item = self.items.get(condition["Key"])
            if (item.revision if item is not None else 0) != condition["Rev"]:
                return 412, self._condition_entries(conditions)
        if any(w.get("Lease") and w["Lease"] not in self.leases for w in writes):
            return 404, {}
        for write in writes:
            value = base64.b64decode(write["Value"], validate=True)
            self.put_bytes(write["Key"], value, lease=write.get("Lease", 0))
        for key in body.get("Delete", []):
            self.remove(key)
        return 200, {"Rev": self.revision}

    def _condition_entries(self, conditions: list[dict]) -> dict:
        """Return the keys of conditions, which don't hold, in their current state."""
        keys = [condition["Key"] for condition in conditions]
        entries = [
            self._entry(key) if key in self.items else {"Key": key, "Rev": 0}
            for key in keys
        ]
        return {"Entries": entries, "At": self.revision}

    def _entry(self, key: str) -> dict:
        item = self.items[key]
        return {
            "Key": key,
            "Value": item.value,
            "Rev": item.revision,
            "Created": item.created,
            "Lease": item.lease,
        }

    def _record(self, event: dict) -> None:
        self.history.append(event)
        self.changed.set()


def _replace_address(entry: dict, addresses: dict[str, str]) -> None:
    """Replace the address in a worker's entry, if another one is given."""
    address = addresses.get(entry["Key"].removeprefix(WORKER_PREFIX))
    if address is not None:
        document = orjson.loads(base64.b64decode(entry["Value"]))
        content = orjson.dumps({**document, "Address": address})
        entry["Value"] = base64.b64encode(content).decode()

"""Stand-in for the platform: key-value service, instance list and ratings.

Run it with ``python -m standins.platform --port=2379``. ``POST /control`` injects
faults: ``{"mode": "up" | "down" | "slow" | "lose_replies" | "paused"}``.
"""

import asyncio
import collections
import time
from base64 import b64decode, b64encode

import orjson
from absl import app as absl_app
from absl import flags
from aiohttp import web

from standins.key_value import Change, KeyValueStore
from standins.serving import serve

__all__ = ["PlatformStandIn", "build_app"]

FLAGS = flags.FLAGS
MAXIMUM_VALUE_BYTES = 1_048_576
SLOW_SECONDS = 0.25
LOW_QUALITY_MARKER = "make-it-poor"
RATINGS_PER_PAGE = 1000


class PlatformStandIn:
    """The platform's state, the lag of its instance list and its fault mode."""

    def __init__(self, *, list_lag_seconds: float = 0.5):
        self.store = KeyValueStore()
        self.mode = "up"
        self.calls: collections.Counter[str] = collections.Counter()
        self.instances: dict[str, dict] = {}
        self.snapshots: list[tuple[float, list[dict]]] = []
        self.list_lag_seconds = list_lag_seconds
        self.ratings: list[dict] = []
        self.rate_calls = 0
        self.restored = asyncio.Event()
        self.restored.set()

    def set_mode(self, mode: str) -> None:
        """Set the fault mode; ``up`` injects no fault."""
        self.mode = mode
        if mode == "up":
            self.restored.set()
        else:
            self.restored.clear()

    def register(self, entry: dict) -> None:
        """Add or replace an instance; the list contains it after the lag."""
        self.instances[entry["name"]] = entry
        self._snapshot()

    def remove(self, name: str) -> None:
        """Remove an instance; the list lacks it after the lag."""
        self.instances.pop(name, None)
        self._snapshot()

    def delayed_instances(self) -> list[dict]:
        """Return the instances as they were ``list_lag_seconds`` ago."""
        limit = time.monotonic() - self.list_lag_seconds
        visible: list[dict] = []
        for taken_at, entries in self.snapshots:
            if taken_at <= limit:
                visible = entries
        return visible

    def _snapshot(self) -> None:
        entries = [dict(entry) for entry in self.instances.values()]
        self.snapshots.append((time.monotonic(), entries))
        self.snapshots = self.snapshots[-200:]


def _decode(encoded: str) -> str:
    return b64decode(encoded).decode()


def _encode(content: str | bytes) -> str:
    raw = content.encode() if isinstance(content, str) else content
    return b64encode(raw).decode("ascii")


def _key_value(key: str, entry) -> dict:
    return {
        "key": _encode(key),
        "value": _encode(entry.value),
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.modify_revision),
    }


class KeyValueHandlers:
    """HTTP handlers of the key-value service."""

    def __init__(self, *, platform: PlatformStandIn):
        self.platform = platform
        self.store = platform.store

    async def range(self, request: web.Request) -> web.Response:
        """Read a key or a range."""
        body = orjson.loads(await request.read())
        key = _decode(body["key"])
        if "range_end" in body:
            prefix_end = b64decode(body["range_end"])
            prefix = (prefix_end[:-1] + bytes([prefix_end[-1] - 1])).decode()
            after = key[:-1] if key.endswith("\0") else ""
            limit = int(body.get("limit", 0))
            results = self.store.list_prefix(prefix, after=after, limit=limit)
        else:
            entry = self.store.get(key)
            results = [(key, entry)] if entry else []
        pairs = [_key_value(k, e) for k, e in results]
        return self._answer({"kvs": pairs, "count": str(len(pairs))})

    async def transact(self, request: web.Request) -> web.Response:
        """Run a conditional transaction."""
        body = orjson.loads(await request.read())
        conditions = [
            (_decode(c["key"]), int(c["mod_revision"])) for c in body.get("compare", ())
        ]
        puts, deletes = [], []
        for operation in body.get("success", ()):
            if "request_put" in operation:
                put = operation["request_put"]
                value = b64decode(put["value"])
                if len(value) > MAXIMUM_VALUE_BYTES:
                    return self._answer({"error": "value too large"}, status=400)
                puts.append((_decode(put["key"]), value, int(put.get("lease", 0))))
            else:
                deletes.append(_decode(operation["request_delete_range"]["key"]))
        try:
            succeeded = self.store.transact(conditions, puts, deletes)
        except LookupError as error:
            return self._answer({"error": str(error)}, status=400)
        return self._answer({"succeeded": succeeded})

    async def grant(self, request: web.Request) -> web.Response:
        """Grant a lease."""
        body = orjson.loads(await request.read())
        lease_id = self.store.grant(float(body["TTL"]))
        return self._answer({"ID": str(lease_id), "TTL": body["TTL"]})

    async def keep_alive(self, request: web.Request) -> web.Response:
        """Renew a lease."""
        body = orjson.loads(await request.read())
        remaining_seconds = self.store.keep_alive(int(body["ID"]))
        return self._answer(
            {"result": {"ID": body["ID"], "TTL": str(int(remaining_seconds))}}
        )

    async def revoke(self, request: web.Request) -> web.Response:
        """Revoke a lease."""
        body = orjson.loads(await request.read())
        self.store.revoke(int(body["ID"]))
        return self._answer({})

    async def watch(self, request: web.Request) -> web.StreamResponse:
        """Stream the changes of keys with a prefix, one JSON document a line."""
        body = orjson.loads(await request.read())
        prefix = _decode(body["create_request"]["key"])
        queue = self.store.watch(prefix)
        response = web.StreamResponse()
        await response.prepare(request)
        try:
            await response.write(b'{"result":{"created":true}}\n')
            while True:
                change = await queue.get()
                if self.platform.mode != "up":
                    break
                await response.write(self._event(change))
        except ConnectionError:
            pass
        finally:
            self.store.unwatch(queue)
        return response

    def _event(self, change: Change) -> bytes:
        pair = {"key": _encode(change.key), "mod_revision": str(change.revision)}
        event: dict = {"kv": pair}
        if change.value is None:
            event["type"] = "DELETE"
        else:
            pair["value"] = _encode(change.value)
        return orjson.dumps({"result": {"events": [event]}}) + b"\n"

    def _answer(self, fields: dict, *, status: int = 200) -> web.Response:
        fields["header"] = {"revision": str(self.store.revision)}
        return web.Response(
            body=orjson.dumps(fields), status=status, content_type="application/json"
        )


def _fault_middleware(platform: PlatformStandIn):
    @web.middleware
    async def apply_faults(request: web.Request, handler):
        if request.path.startswith("/control"):
            return await handler(request)
        platform.calls[request.path] += 1
        if platform.mode == "down":
            request.transport.abort()
            return web.Response(status=503)
        if platform.mode == "paused":
            await platform.restored.wait()
        if platform.mode == "slow":
            await asyncio.sleep(SLOW_SECONDS)
        response = await handler(request)
        if platform.mode == "lose_replies" and request.path == "/v3/kv/txn":
            request.transport.abort()
        return response

    return apply_faults


def build_app(platform: PlatformStandIn) -> web.Application:
    """Return the HTTP application of the platform."""
    app = web.Application(
        middlewares=[_fault_middleware(platform)], client_max_size=16 * 1024 * 1024
    )
    handlers = KeyValueHandlers(platform=platform)
    app.router.add_post("/v3/kv/range", handlers.range)
    app.router.add_post("/v3/kv/txn", handlers.transact)
    app.router.add_post("/v3/lease/grant", handlers.grant)
    app.router.add_post("/v3/lease/keepalive", handlers.keep_alive)
    app.router.add_post("/v3/lease/revoke", handlers.revoke)
    app.router.add_post("/v3/watch", handlers.watch)

    async def instances(request: web.Request) -> web.Response:
        return web.json_response({"instances": platform.delayed_instances()})

    async def register(request: web.Request) -> web.Response:
        platform.register(await request.json())
        return web.json_response({})

    async def remove(request: web.Request) -> web.Response:
        platform.remove(request.match_info["name"])
        return web.json_response({})

    async def control(request: web.Request) -> web.Response:
        platform.set_mode((await request.json())["mode"])
        return web.json_response({"mode": platform.mode})

    async def calls(request: web.Request) -> web.Response:
        return web.json_response(dict(platform.calls))

    async def rate(request: web.Request) -> web.Response:
        poor = LOW_QUALITY_MARKER.encode() in await request.read()
        platform.rate_calls += 1
        return web.json_response(
            {"poor": poor and "large" not in request.query["target"]}
        )

    async def ratings(request: web.Request) -> web.Response:
        after = int(request.query["after"])
        results = platform.ratings[after : after + RATINGS_PER_PAGE]
        return web.json_response({"position": after + len(results), "ratings": results})

    async def add_ratings(request: web.Request) -> web.Response:
        platform.ratings.extend(await request.json())
        return web.json_response({})

    app.router.add_post("/rate", rate)
    app.router.add_get("/ratings", ratings)
    app.router.add_post("/ratings", add_ratings)
    app.router.add_get("/instances", instances)
    app.router.add_post("/instances", register)
    app.router.add_delete("/instances/{name}", remove)
    app.router.add_post("/control", control)
    app.router.add_get("/control/calls", calls)
    return app


def main(argv: list[str]) -> None:
    """Serve until stopped."""
    platform = PlatformStandIn(list_lag_seconds=FLAGS.list_lag_seconds)
    serve(build_app(platform), port=FLAGS.port)


if __name__ == "__main__":
    flags.DEFINE_integer("port", 2379, "Port to listen on.")
    flags.DEFINE_float("list_lag_seconds", 0.5, "Lag of the instance list.")
    absl_app.run(main)

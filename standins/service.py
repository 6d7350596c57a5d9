"""Stand-in for a plain HTTP service that records each run.

``GET`` may be repeated. ``POST`` has an effect each time, so it must run at most once.
"""

import asyncio
import secrets

import orjson
from absl import app as absl_app
from absl import flags
from aiohttp import web

from standins.history import Recorder, extract_proof_key
from standins.registering import define_endpoint_flags, list_while_serving
from standins.serving import serve

__all__ = ["ServiceStandIn", "build_app"]

FLAGS = flags.FLAGS


class ServiceStandIn:
    """The state of a service instance and the faults that it is to inject.

    ``faults`` maps the name of a fault to the number of requests that it still affects.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        failure_domain: str,
        service: str,
        capacity: int = 16,
        work_seconds: float = 0.0,
        recorder: Recorder | None = None,
    ):
        self.name = name
        self.incarnation = secrets.token_hex(4)
        self.address = address
        self.failure_domain = failure_domain
        self.service = service
        self.capacity = capacity
        self.work_seconds = work_seconds
        self.recorder = recorder or Recorder(source=name)
        self.in_flight = 0
        self.leaving = False
        self.faults: dict[str, int] = {}

    def instance_entry(self) -> dict:
        """Return the instance's entry in the platform's instance list."""
        return {
            "name": self.name,
            "incarnation": self.incarnation,
            "address": self.address,
            "failure_domain": self.failure_domain,
            "service": self.service,
            "versions": [],
            "capacity": self.capacity,
            "state": "leaving" if self.leaving else "live",
        }

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Run a request and echo its method, path, id and body."""
        request_id = request.headers.get("X-Request-Id", "")
        headers = {"X-Request-Id": request_id}
        if self.leaving:
            headers |= {"X-Ran": "no", "X-Endpoint-Leaving": "1"}
            return web.json_response({}, status=503, headers=headers)
        body = await request.read()
        key = extract_proof_key(body.decode("utf-8", "replace"))
        self.recorder.record_event("run", request_id=request_id, version="", key=key)
        self.in_flight += 1
        try:
            if self.work_seconds:
                await asyncio.sleep(self.work_seconds)
            if self._consume_fault("lose_reply"):
                request.transport.abort()
            if self._consume_fault("silent"):
                await asyncio.sleep(3600)
        finally:
            self.in_flight -= 1
        self.recorder.record_event("finish", request_id=request_id)
        answer = {
            "method": request.method,
            "path": request.path_qs,
            "request_id": request_id,
            "body": body.decode("utf-8", "replace"),
        }
        headers["Content-Type"] = "application/json"
        return web.Response(body=orjson.dumps(answer), headers=headers)

    async def load(self, request: web.Request) -> web.Response:
        """Report the instance's load."""
        report = self.instance_entry()
        del report["state"]
        report |= {"in_flight": self.in_flight, "leaving": self.leaving}
        return web.json_response(report)

    async def control(self, request: web.Request) -> web.Response:
        """Set the faults or the leaving state, for the demo and tests."""
        changes = await request.json()
        self.faults.update(changes.get("faults", {}))
        self.leaving = changes.get("leaving", self.leaving)
        return web.json_response({})

    async def history(self, request: web.Request) -> web.Response:
        """Return the recorded events."""
        return web.json_response(self.recorder.events)

    def _consume_fault(self, name: str) -> bool:
        remaining = self.faults.get(name, 0)
        self.faults[name] = max(remaining - 1, 0)
        return remaining > 0


def build_app(service: ServiceStandIn) -> web.Application:
    """Return the HTTP application of a service instance."""
    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.router.add_get("/load", service.load)
    app.router.add_post("/control", service.control)
    app.router.add_get("/history", service.history)
    app.router.add_route("*", "/{path:.*}", service.handle)
    return app


def main(argv: list[str]) -> None:
    """Serve until stopped and be listed at the platform for that time."""
    service = ServiceStandIn(
        name=FLAGS.name,
        address=f"127.0.0.1:{FLAGS.port}",
        failure_domain=FLAGS.failure_domain,
        service=FLAGS.service,
        capacity=FLAGS.capacity,
        work_seconds=FLAGS.work_seconds,
        recorder=Recorder(source=FLAGS.name, path=FLAGS.history),
    )
    app = build_app(service)
    list_while_serving(app, FLAGS.platform_url, service.instance_entry)
    serve(app, port=FLAGS.port)


if __name__ == "__main__":
    define_endpoint_flags(name="service", port=9100, capacity=16)
    flags.DEFINE_float("work_seconds", 0.0, "Time of one call.")
    absl_app.run(main)

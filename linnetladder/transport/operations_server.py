"""The HTTP server for operators: health, readiness, metrics and status."""

import abc

import orjson
from aiohttp import web

from linnetladder.telemetry import Metrics

__all__ = ["OperationsServer", "StatusSource"]


class StatusSource(abc.ABC):
    """Source of the daemon's readiness and status."""

    @abc.abstractmethod
    def unready_reasons(self) -> list[str]:
        """Return the reasons why the daemon is not ready; empty if it is ready."""

    @abc.abstractmethod
    def status(self) -> dict[str, object]:
        """Return the daemon's status as the fields of a JSON object."""


class OperationsServer:
    """Serve ``/healthz``, ``/readyz``, ``/metrics`` and ``/status``."""

    def __init__(self, *, source: StatusSource, metrics: Metrics):
        self.source = source
        self.metrics = metrics
        self.runner: web.AppRunner | None = None

    async def start(self, *, address: str, port: int) -> int:
        """Listen and return the port; raise `OSError` if the port can't be bound."""
        app = web.Application()
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._ready)
        app.router.add_get("/metrics", self._metrics)
        app.router.add_get("/status", self._status)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        await web.TCPSite(self.runner, address, port).start()
        return self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _ready(self, request: web.Request) -> web.Response:
        reasons = self.source.unready_reasons()
        body = orjson.dumps({"ready": not reasons, "reasons": reasons})
        return web.Response(
            status=503 if reasons else 200, body=body, content_type="application/json"
        )

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(body=self.metrics.text(), content_type="text/plain")

    async def _status(self, request: web.Request) -> web.Response:
        body = orjson.dumps(self.source.status())
        return web.Response(body=body, content_type="application/json")

"""Readiness for the balancer, and metrics and status for operators."""

from collections.abc import Callable

import orjson
from aiohttp import web

from linnetladder.telemetry import Metrics

__all__ = ["ReadyServer"]


class ReadyServer:
    """Answer whether the daemon is ready, and why not."""

    def __init__(
        self,
        *,
        ready_path: str,
        reasons: Callable[[], list[str]],
        metrics: Metrics,
    ):
        self.ready_path = ready_path
        self.reasons = reasons
        self.metrics = metrics
        self.runner: web.ServerRunner | None = None

    async def start(self, *, address: str, port: int) -> None:
        """Listen; raise `OSError` if that is not possible."""
        self.runner = web.ServerRunner(web.Server(self.handle, access_log=None))
        await self.runner.setup()
        await web.TCPSite(self.runner, address, port).start()

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a question of the balancer or of an operator."""
        if request.path == self.ready_path:
            reasons = self.reasons()
            return web.Response(status=503 if reasons else 200, text="\n".join(reasons))
        if request.path == "/metrics":
            return web.Response(body=self.metrics.text(), content_type="text/plain")
        if request.path == "/status":
            content = orjson.dumps({"ready": not self.reasons()})
            return web.Response(body=content, content_type="application/json")
        return web.Response(status=404, text="there is only readiness and /metrics")

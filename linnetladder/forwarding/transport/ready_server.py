"""The HTTP server of readiness, metrics and status."""

import asyncio
from collections.abc import Callable

import orjson
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from linnetladder.telemetry import Metrics

__all__ = ["ReadyServer"]


class ReadyServer:
    """Serves readiness to the load balancer, metrics and status to operators.

    ``reasons`` returns why the daemon is not ready; it is ready if there are none.
    """

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
        self.handlers = Server(self.handle, access_log=None)
        self.servers: list[asyncio.Server] = []

    async def listen(self, *, address: str, port: int) -> None:
        """Listen on an additional port; raise `OSError` if that fails."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(self.handlers, host=address, port=port)
        self.servers.append(server)

    async def stop(self) -> None:
        """Close the listening sockets and all connections."""
        for server in self.servers:
            server.close()
        await self.handlers.shutdown(0.1)

    async def handle(self, request: BaseRequest) -> StreamResponse:
        """Answer one request."""
        if request.path == self.ready_path:
            reasons = self.reasons()
            return Response(status=503 if reasons else 200, text="\n".join(reasons))
        if request.path == "/metrics":
            return Response(body=self.metrics.text(), content_type="text/plain")
        if request.path == "/status":
            content = orjson.dumps({"ready": not self.reasons()})
            return Response(body=content, content_type="application/json")
        return Response(status=404, text="there is only readiness and /metrics")

"""The HTTP server of readiness, metrics, status and explanations of routes."""

import asyncio
from collections.abc import Callable

import orjson
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse

from linnetladder.forwarding.coordination.explaining import RouteExplainer
from linnetladder.forwarding.protocol.route_questions import (
    EXPLAIN_ROUTE_PATH,
    RouteQuestionError,
    decode_question,
)
from linnetladder.forwarding.transport.guarded_server import GuardedServer
from linnetladder.telemetry import Metrics

__all__ = ["ReadyServer"]

QUESTION_TIMEOUT_SECONDS = 5.0
MAXIMUM_QUESTION_BYTES = 64 * 1024


class ReadyServer:
    """Serves readiness to the load balancer, metrics and status to operators.

    ``reasons`` returns why the daemon is not ready; it is ready if there are none.
    With an ``explainer`` it also answers questions about routes.
    """

    def __init__(
        self,
        *,
        ready_path: str,
        reasons: Callable[[], list[str]],
        metrics: Metrics,
        maximum_connections: int,
        port_name: str = "readiness",
        explainer: RouteExplainer | None = None,
    ):
        self.ready_path = ready_path
        self.reasons = reasons
        self.metrics = metrics
        self.explainer = explainer
        self.server = GuardedServer(
            self.handle,
            port_name=port_name,
            maximum_connections=maximum_connections,
            metrics=metrics,
        )

    async def listen(self, *, address: str, port: int) -> None:
        """Listen on an additional port; raise `OSError` if that fails."""
        await self.server.listen(address=address, port=port)

    async def stop(self) -> None:
        """Close the listening sockets and all connections."""
        await self.server.stop()

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
        if request.path == EXPLAIN_ROUTE_PATH and self.explainer is not None:
            return await self._explain_route(request)
        return Response(status=404, text="there is only readiness and /metrics")

    async def _explain_route(self, request: BaseRequest) -> Response:
        """Answer a question, whose credential is neither logged nor returned."""
        if request.method != "POST":
            return Response(status=405, headers={"Allow": "POST"})
        try:
            async with asyncio.timeout(QUESTION_TIMEOUT_SECONDS):
                content = await _read_question(request)
        except TimeoutError:
            return Response(status=408, text="the question was not complete in time")
        if content is None:
            text = f"the question exceeds {MAXIMUM_QUESTION_BYTES} bytes"
            return Response(status=413, text=text)
        try:
            question = decode_question(content)
        except RouteQuestionError as problem:
            return Response(status=400, text=str(problem))
        explanation = self.explainer.explain(question)
        if explanation is None:
            return Response(status=404, text="there is no such route")
        content = orjson.dumps(explanation)
        return Response(body=content, content_type="application/json")


async def _read_question(request: BaseRequest) -> bytes | None:
    """Return the body of a question, ``None`` if it is too large."""
    content = bytearray()
    async for part in request.content.iter_any():
        content += part
        if len(content) > MAXIMUM_QUESTION_BYTES:
            return None
    return bytes(content)

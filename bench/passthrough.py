"""A bare aiohttp pass-through proxy, the baseline of `bench.overhead`.

It forwards each request to the next of its endpoints in turn and copies the answer. It
does no validation, routing decisions, billing or metrics, so its cost is the least that
any proxy on this stack can have.
"""

import itertools

import aiohttp
from absl import app as absl_app
from absl import flags
from aiohttp import web

from standins.serving import serve

__all__ = ["build_app"]

FLAGS = flags.FLAGS


def build_app(endpoints: list[str]) -> web.Application:
    """Return an application that forwards requests to the endpoints in turn."""
    endpoint_cycle = itertools.cycle(endpoints)
    app = web.Application(client_max_size=64 * 1024 * 1024)

    async def session(app: web.Application):
        connector = aiohttp.TCPConnector(limit=0)
        app["session"] = aiohttp.ClientSession(connector=connector)
        yield
        await app["session"].close()

    async def pass_through(request: web.Request) -> web.StreamResponse:
        url = f"http://{next(endpoint_cycle)}{request.path_qs}"
        body = await request.read()
        headers = {"X-Request-Id": request.headers.get("X-Request-Id", "")}
        upstream = await app["session"].request(
            request.method, url, data=body, headers=headers
        )
        async with upstream:
            if upstream.content_type != "text/event-stream":
                content = await upstream.read()
                return web.Response(
                    body=content,
                    content_type="application/json",
                    status=upstream.status,
                )
            response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            await response.prepare(request)
            async for chunk in upstream.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response

    app.cleanup_ctx.append(session)
    app.router.add_route("*", "/{path:.*}", pass_through)
    return app


def main(argv: list[str]) -> None:
    """Serve until stopped."""
    serve(build_app(FLAGS.endpoints), port=FLAGS.port)


if __name__ == "__main__":
    flags.DEFINE_integer("port", 9900, "Port to listen on.")
    flags.DEFINE_list("endpoints", [], "Endpoints as IP:port.")
    absl_app.run(main)

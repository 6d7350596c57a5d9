"""Serve a stand-in on loopback until SIGTERM or SIGINT."""

import asyncio
import signal

import uvloop
from aiohttp import web

__all__ = ["serve"]


async def _serve(app: web.Application, port: int) -> None:
    runner = web.AppRunner(app, access_log=None, handler_cancellation=False)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port, backlog=1024).start()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
    await asyncio.wait_for(runner.cleanup(), 2.0)


def serve(app: web.Application, *, port: int) -> None:
    """Run an application until SIGTERM or SIGINT."""
    try:
        uvloop.run(_serve(app, port))
    except TimeoutError:
        return

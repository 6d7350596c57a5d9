"""Registration of stand-ins for endpoints with the stand-in for the platform."""

import asyncio
from collections.abc import Callable

import aiohttp
from absl import flags
from aiohttp import web

__all__ = ["define_endpoint_flags", "list_while_serving", "register", "unregister"]

MAX_ATTEMPTS = 100
RETRY_DELAY_SECONDS = 0.1


async def register(platform_url: str, instance_entry: dict) -> None:
    """Add an instance to the platform's list, retrying while it is unreachable.

    After ``MAX_ATTEMPTS`` the instance stays unlisted.
    """
    async with aiohttp.ClientSession() as session:
        for _ in range(MAX_ATTEMPTS):
            try:
                async with session.post(
                    f"{platform_url}/instances", json=instance_entry
                ):
                    return
            except aiohttp.ClientError:
                await asyncio.sleep(RETRY_DELAY_SECONDS)


async def unregister(platform_url: str, name: str) -> None:
    """Remove an instance from the platform's list; connection errors are ignored."""
    async with aiohttp.ClientSession() as session:
        try:
            async with session.delete(f"{platform_url}/instances/{name}"):
                return
        except aiohttp.ClientError:
            return


def list_while_serving(
    app: web.Application, platform_url: str, instance_entry: Callable[[], dict]
) -> None:
    """Register an application's instance at startup and remove it at shutdown.

    Does nothing without a ``platform_url``.
    """
    if not platform_url:
        return

    async def on_startup(app: web.Application) -> None:
        app["listing"] = asyncio.ensure_future(register(platform_url, instance_entry()))

    async def on_shutdown(app: web.Application) -> None:
        await unregister(platform_url, instance_entry()["name"])

    app.on_startup.append(on_startup)
    app.on_shutdown.append(on_shutdown)


def define_endpoint_flags(*, name: str, port: int, capacity: int) -> None:
    """Define the flags that all stand-ins for endpoints share."""
    flags.DEFINE_integer("port", port, "Port to listen on.")
    flags.DEFINE_string("name", name, "Name of the endpoint.")
    flags.DEFINE_string("failure_domain", "", "Failure domain of the endpoint.")
    flags.DEFINE_string("service", "", "Service the endpoint belongs to.")
    flags.DEFINE_integer("capacity", capacity, "Requests it runs at once.")
    flags.DEFINE_string("platform_url", "", "Platform to be listed at.")
    flags.DEFINE_string("history", "", "File to append recorded events to.")

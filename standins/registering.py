"""Tell the platform's stand-in that an instance lives, leaves or is gone."""

import asyncio

import aiohttp

__all__ = ["register", "unregister"]

TRIES = 100
PAUSE_SECONDS = 0.1


async def register(platform_url: str, entry: dict) -> None:
    """List an instance, trying until the platform answers."""
    async with aiohttp.ClientSession() as session:
        for _ in range(TRIES):
            try:
                async with session.post(f"{platform_url}/instances", json=entry):
                    return
            except aiohttp.ClientError:
                await asyncio.sleep(PAUSE_SECONDS)


async def unregister(platform_url: str, name: str) -> None:
    """Take an instance off the list."""
    async with aiohttp.ClientSession() as session:
        try:
            async with session.delete(f"{platform_url}/instances/{name}"):
                return
        except aiohttp.ClientError:
            return

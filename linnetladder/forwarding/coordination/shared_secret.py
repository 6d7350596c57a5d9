"""The secret that signs messages between daemons, kept in the platform's store."""

import asyncio
import random
import secrets
from collections.abc import Callable

from linnetladder.forwarding.coordination.sources import OperatorSource
from linnetladder.forwarding.coordination.store_era import StoreEra
from linnetladder.telemetry import log_change

__all__ = ["SharedSecret"]

SECRET_BYTES = 16
RETRY_SECONDS = 1.0
# Daemons check the secret at different times within this period after a change of era.
ERA_JITTER_SECONDS = 0.5


class SharedSecret:
    """Fetches the secret, and creates it if the store has none.

    A change of the store's era may have lost it: then the secret in use is written
    again, unless another one is stored, which is adopted. ``on_change`` is called with
    each secret. A check that failed is repeated at once when the store is regained,
    since daemons with different secrets don't understand each other.
    """

    def __init__(self, *, source: OperatorSource, era: StoreEra, seed: int):
        self.source = source
        self.value = b""
        self.failed = False
        self.random = random.Random(seed)
        self.check_requested = asyncio.Event()
        self.on_change: Callable[[bytes], None] = _ignore
        era.listeners.append(self._request_check)

    async def run(self) -> None:
        """Fetch the secret, then check it after each change of era, until cancelled."""
        while True:
            self.check_requested.clear()
            if await self.fetch():
                await self.check_requested.wait()
                await asyncio.sleep(self.random.uniform(0, ERA_JITTER_SECONDS))
                continue
            try:
                async with asyncio.timeout(RETRY_SECONDS):
                    await self.check_requested.wait()
            except TimeoutError:
                pass

    async def fetch(self) -> bool:
        """Fetch the stored secret once and return whether that succeeded."""
        proposed = self.value.decode() or secrets.token_hex(SECRET_BYTES)
        read = await self.source.shared_secret(proposed)
        stored = read.value_or("").encode()
        self.failed = not stored
        if stored and stored != self.value:
            log_change("secret of daemons adopted", replaced=bool(self.value))
            self.value = stored
            self.on_change(stored)
        return bool(stored)

    def on_store_regained(self) -> None:
        """Repeat a check that failed."""
        if self.failed:
            self.check_requested.set()

    def _request_check(self, era: int) -> None:
        self.check_requested.set()


def _ignore(value: bytes) -> None:
    """Do nothing; the default callback."""

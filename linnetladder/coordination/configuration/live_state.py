"""Synchronizes a daemon with the head, signing keys and crashes at the platform.

All of these keys share one prefix, so a daemon needs only one watch. A watch event
merely triggers a read of the complete state, so lost events and reconnects need no
special handling. A slow periodic poll ensures that no change is missed.
"""

import asyncio

from returns.result import Failure, Success

from linnetladder.coordination.attempts.poison import (
    POISON_PREFIX,
    Crash,
    PoisonRegistry,
)
from linnetladder.coordination.claims.settling import create_if_absent
from linnetladder.coordination.configuration.in_force import (
    HEAD_KEY,
    ConfigurationInForce,
)
from linnetladder.coordination.platform import KeyValueService, Put, Record
from linnetladder.state import Clock, KeyRing, SigningKey
from linnetladder.state.signing import signing_key_from_json, signing_key_to_json
from linnetladder.telemetry import log_change

__all__ = ["FIRST_KEY_ID", "KEY_PREFIX", "LIVE_PREFIX", "LiveState"]

LIVE_PREFIX = "linnetladder/live/"
KEY_PREFIX = LIVE_PREFIX + "keys/"
FIRST_KEY_ID = "0000000001"
RECONNECT_SECONDS = 0.5
SETTLE_SECONDS = 2.0


class LiveState:
    """Keep the configuration, the key ring and the poison registry up to date."""

    def __init__(
        self,
        *,
        store: KeyValueService,
        clock: Clock,
        configuration: ConfigurationInForce,
        keys: KeyRing,
        poison: PoisonRegistry,
        poll_seconds: float,
    ):
        self.store = store
        self.clock = clock
        self.configuration = configuration
        self.keys = keys
        self.poison = poison
        self.poll_seconds = poll_seconds
        self.wake = asyncio.Event()
        self.reachable = False

    async def run(self) -> None:
        """Watch and poll the platform until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch())
            group.create_task(self._refresh_when_woken())

    async def refresh(self) -> bool:
        """Read and apply the live state once and return whether that succeeded."""
        started = self.clock.monotonic()
        listed = await self.store.list_prefix(LIVE_PREFIX)
        self.reachable = isinstance(listed, Success)
        if isinstance(listed, Failure):
            return False
        records = {record.key: record for record in listed.unwrap()}
        try:
            await self._apply_head(records.get(HEAD_KEY), started)
            self._apply_keys(records)
            self._apply_crashes(records)
        except ValueError as error:
            log_change("live state could not be decoded", error=str(error))
            return False
        return True

    async def ensure_key(self, key: SigningKey) -> None:
        """Store a first signing key unless one exists, and add the stored key."""
        put = Put(KEY_PREFIX + FIRST_KEY_ID, signing_key_to_json(key))
        created = await create_if_absent(self.store, put, settle_seconds=SETTLE_SECONDS)
        if isinstance(created, Success):
            self.keys.add(signing_key_from_json(created.unwrap()[1]))

    async def _watch(self) -> None:
        while True:
            async for event in self.store.watch(LIVE_PREFIX):
                if isinstance(event, Failure):
                    break
                self.wake.set()
            await asyncio.sleep(RECONNECT_SECONDS)
            self.wake.set()

    async def _refresh_when_woken(self) -> None:
        while True:
            self.wake.clear()
            await self.refresh()
            try:
                async with asyncio.timeout(self.poll_seconds):
                    await self.wake.wait()
            except TimeoutError:
                continue

    async def _apply_head(self, head: Record | None, started: float) -> None:
        if head is None:
            await self.configuration.restore_absent_head()
            return
        await self.configuration.apply_head(head, read_started=started)

    def _apply_keys(self, records: dict[str, Record]) -> None:
        found = [
            signing_key_from_json(record.value)
            for key, record in records.items()
            if key.startswith(KEY_PREFIX)
        ]
        if not found:
            return
        for key in found:
            self.keys.add(key)
        self.keys.retain(frozenset(key.key_id for key in found))

    def _apply_crashes(self, records: dict[str, Record]) -> None:
        listed = {
            Crash.from_key(key) for key in records if key.startswith(POISON_PREFIX)
        }
        for crash in listed:
            self.poison.add_crash(crash)

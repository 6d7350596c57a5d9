"""Registers this daemon and its configuration revision at the platform.

The registration is attached to a lease, so it expires if the daemon fails. Its revision
acknowledges the configuration for operators who wait with ``apply --wait``.
"""

import asyncio
import dataclasses
import enum

import orjson
from returns.result import Failure, Result, Success

from linnetladder.coordination.configuration.in_force import ConfigurationInForce
from linnetladder.coordination.platform import KeyValueService, PlatformFault, Put

__all__ = [
    "DAEMON_PREFIX",
    "DaemonRecord",
    "DaemonState",
    "Registration",
    "list_daemons",
]

DAEMON_PREFIX = "linnetladder/daemons/"
LEASE_SECONDS = 15.0
RENEWAL_INTERVAL_SECONDS = 5.0


class DaemonState(enum.StrEnum):
    """The stages of a daemon's lifecycle."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DaemonRecord:
    """A daemon's registration."""

    instance: str
    incarnation: str
    failure_domain: str
    caller_address: str
    operations_address: str
    peer_address: str = ""
    revision: int = 0
    checkpoint_id: str = ""
    state: DaemonState = DaemonState.STARTING

    @property
    def key(self) -> str:
        """The key of the registration at the platform."""
        return DAEMON_PREFIX + self.instance


def decode_daemon(content: bytes) -> DaemonRecord:
    """Decode a registration; raise `ValueError` or `TypeError` if malformed."""
    fields = orjson.loads(content)
    fields["state"] = DaemonState(fields["state"])
    return DaemonRecord(**fields)


async def list_daemons(
    store: KeyValueService,
) -> Result[tuple[DaemonRecord, ...], PlatformFault]:
    """Return the registrations of all daemons whose leases have not expired."""
    listed = await store.list_prefix(DAEMON_PREFIX)
    if isinstance(listed, Failure):
        return listed
    return Success(tuple(decode_daemon(record.value) for record in listed.unwrap()))


class Registration:
    """Keep this daemon's registration up to date while it runs."""

    def __init__(
        self,
        *,
        store: KeyValueService,
        configuration: ConfigurationInForce,
        record: DaemonRecord,
    ):
        self.store = store
        self.configuration = configuration
        self.record = record
        self.lease_id = 0
        self.written: DaemonRecord | None = None
        self.wake = configuration.subscribe()

    def change_state(self, state: DaemonState) -> None:
        """Set the state and schedule an update of the registration."""
        self.record = dataclasses.replace(self.record, state=state)
        self.wake.set()

    async def run(self) -> None:
        """Renew the lease and write registration changes until cancelled."""
        while True:
            self.wake.clear()
            await self.renew()
            try:
                async with asyncio.timeout(RENEWAL_INTERVAL_SECONDS):
                    await self.wake.wait()
            except TimeoutError:
                continue

    async def renew(self) -> None:
        """Renew the lease and write the registration if it changed.

        If the platform is unavailable, this is left to the next call.
        """
        if not await self._ensure_lease():
            return
        snapshot = self.configuration.snapshot
        if snapshot is not None:
            self.record = dataclasses.replace(
                self.record,
                revision=snapshot.revision,
                checkpoint_id=snapshot.manifest.checkpoint_id,
            )
        if self.record == self.written:
            return
        record = self.record
        put = Put(record.key, orjson.dumps(record), self.lease_id)
        written = await self.store.transact(puts=(put,))
        if isinstance(written, Success):
            self.written = record

    async def withdraw(self) -> None:
        """Delete the registration at the end of a graceful shutdown."""
        if self.lease_id:
            await self.store.revoke_lease(self.lease_id)

    async def _ensure_lease(self) -> bool:
        if self.lease_id:
            renewed = await self.store.keep_alive(self.lease_id)
            if isinstance(renewed, Failure):
                return False
            if renewed.unwrap() > 0:
                return True
        granted = await self.store.grant_lease(seconds=LEASE_SECONDS)
        if isinstance(granted, Failure):
            return False
        self.lease_id = granted.unwrap()
        self.written = None
        return True

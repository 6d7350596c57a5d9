"""Detection of poison requests, which crash the endpoints that run them.

A fingerprint identifies a request by its content, so a poison request is recognized
under a new id. The first crash of a fingerprint makes it suspect: from then on it runs
only as a trial, one at a time in the whole system. The second crash, of another
endpoint, makes it poison: every daemon refuses it until the entry expires. Crashes are
written below a watched prefix of the platform's store and sent between peers, so that
all daemons learn of them.
"""

import asyncio
import collections
import dataclasses

from returns.result import Failure, Result, Success

from linnetladder.coordination.claims.settling import CreateOutcome, create_if_absent
from linnetladder.coordination.platform import KeyValueService, Put
from linnetladder.errors import ErrorKind, Ran, Refusal
from linnetladder.state import Clock

__all__ = ["Crash", "POISON_PREFIX", "PoisonRegistry"]

POISON_PREFIX = "linnetladder/live/poison/"
TRIAL_PREFIX = "linnetladder/poison-trial/"
# Crashed endpoints after which a fingerprint is refused.
POISON_CRASH_COUNT = 2
ENTRY_LIFETIME_SECONDS = 1800.0
TRIAL_LEASE_SECONDS = 120.0
# Upper bound on the time for settling whether the right to a trial was written.
TRIAL_SETTLE_SECONDS = 1.0
# A trial first waits this long for crashes that other daemons report.
PROPAGATION_SECONDS = 1.0
# A trial is refused if copies of the request still run here after this time.
COPIES_TIMEOUT_SECONDS = 5.0
POLL_SECONDS = 0.1
MAXIMUM_ENTRIES = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of an endpoint incarnation while it ran a fingerprint.

    ``endpoint`` is the endpoint's name and incarnation, joined by a colon.
    """

    fingerprint: str
    endpoint: str

    @property
    def key(self) -> str:
        """The key of the crash in the platform's store."""
        return f"{POISON_PREFIX}{self.fingerprint}/{self.endpoint}"

    @classmethod
    def from_key(cls, key: str) -> "Crash":
        """Parse a crash from its key."""
        fingerprint, _, endpoint = key.removeprefix(POISON_PREFIX).partition("/")
        return cls(fingerprint, endpoint)


@dataclasses.dataclass(slots=True)
class _CrashEntry:
    """The endpoints that a fingerprint crashed; ``expires`` is monotonic seconds."""

    endpoints: set[str]
    expires: float


class PoisonRegistry:
    """The crashes known to this daemon, by fingerprint.

    ``running`` counts the runs under way at this daemon; ``changes`` increases with
    every new crash.
    """

    def __init__(self, *, store: KeyValueService, clock: Clock, incarnation: str):
        self.store = store
        self.clock = clock
        self.incarnation = incarnation
        self.entries: collections.OrderedDict[str, _CrashEntry] = (
            collections.OrderedDict()
        )
        self.changes = 0
        self.running: collections.Counter[str] = collections.Counter()

    def add_crash(self, crash: Crash) -> bool:
        """Add a crash from any source and return whether it was new."""
        now = self.clock.monotonic()
        entry = self._find_entry(crash.fingerprint)
        if entry is None:
            entry = _CrashEntry(set(), now)
            self.entries[crash.fingerprint] = entry
            if len(self.entries) > MAXIMUM_ENTRIES:
                self.entries.popitem(last=False)
        if crash.endpoint in entry.endpoints:
            return False
        entry.endpoints.add(crash.endpoint)
        self.changes += 1
        entry.expires = now + ENTRY_LIFETIME_SECONDS
        return True

    def crashes(self) -> list[Crash]:
        """Return all crashes that have not expired, to send to peers."""
        return [
            Crash(fingerprint, endpoint)
            for fingerprint in list(self.entries)
            if (entry := self._find_entry(fingerprint)) is not None
            for endpoint in sorted(entry.endpoints)
        ]

    def begin_run(self, fingerprint: str) -> None:
        """Count a run of a fingerprint as under way."""
        self.running[fingerprint] += 1

    def end_run(self, fingerprint: str) -> None:
        """Count a run as ended; its crash, if any, must have been recorded before."""
        self.running[fingerprint] -= 1
        if self.running[fingerprint] <= 0:
            del self.running[fingerprint]

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a fingerprint has crashed an endpoint."""
        return bool(self.entries) and self._find_entry(fingerprint) is not None

    def refuse_poison(self, fingerprint: str) -> Refusal | None:
        """Return a refusal if the fingerprint crashed enough endpoints to be poison."""
        if not self.entries:
            return None
        entry = self._find_entry(fingerprint)
        if entry is None or len(entry.endpoints) < POISON_CRASH_COUNT:
            return None
        names = ", ".join(sorted(entry.endpoints))
        return Refusal(
            ErrorKind.POISON_REQUEST,
            f"request {fingerprint!r} crashed the endpoints {names}",
            retry_after_seconds=max(entry.expires - self.clock.monotonic(), 1.0),
        )

    async def record(self, crash: Crash) -> None:
        """Add a crash seen here and write it to the platform, if that is reachable."""
        self.add_crash(crash)
        lease = await self.store.grant_lease(seconds=ENTRY_LIFETIME_SECONDS)
        if isinstance(lease, Success):
            put = Put(crash.key, self.incarnation.encode(), lease.unwrap())
            await self.store.transact(puts=(put,))

    async def begin_trial(self, fingerprint: str) -> Result[int, Refusal]:
        """Acquire the exclusive right, across all daemons, to run a suspect request.

        Copies of the request may still be running, here and at other daemons, so the
        trial waits for those here to end and for crashes reported by the others.
        Returns the id of the lease that holds the right; release it with `end_trial`.
        """
        if not await self._wait_for_copies(fingerprint):
            return Failure(_trial_refusal(fingerprint, "another run is under way"))
        refusal = self.refuse_poison(fingerprint)
        if refusal is not None:
            return Failure(refusal)
        lease = await self.store.grant_lease(seconds=TRIAL_LEASE_SECONDS)
        if isinstance(lease, Failure):
            return Failure(_trial_refusal(fingerprint, "the platform can't be reached"))
        value = f"{self.incarnation}/{lease.unwrap()}".encode()
        put = Put(f"{TRIAL_PREFIX}{fingerprint}", value, lease.unwrap())
        created = await create_if_absent(
            self.store, put, settle_seconds=TRIAL_SETTLE_SECONDS
        )
        if (
            isinstance(created, Success)
            and created.unwrap()[0] is CreateOutcome.CREATED
        ):
            return Success(lease.unwrap())
        await self.store.revoke_lease(lease.unwrap())
        return Failure(_trial_refusal(fingerprint, "another run is under way"))

    async def _wait_for_copies(self, fingerprint: str) -> bool:
        """Wait for the copies running here and return whether they ended in time."""
        waited = 0.0
        while waited < PROPAGATION_SECONDS or self.running[fingerprint] > 0:
            if waited >= COPIES_TIMEOUT_SECONDS:
                return False
            await asyncio.sleep(POLL_SECONDS)
            waited += POLL_SECONDS
        return True

    async def end_trial(self, lease_id: int, *, fingerprint: str, clean: bool) -> None:
        """Release the right to a trial; a clean run clears the fingerprint."""
        if clean:
            entry = self.entries.pop(fingerprint, None)
            names = entry.endpoints if entry else set()
            keys = tuple(Crash(fingerprint, name).key for name in names)
            if keys:
                await self.store.transact(deletes=keys)
        await self.store.revoke_lease(lease_id)

    def _find_entry(self, fingerprint: str) -> _CrashEntry | None:
        """Return a fingerprint's entry, removing it if it has expired."""
        entry = self.entries.get(fingerprint)
        if entry is not None and self.clock.monotonic() >= entry.expires:
            del self.entries[fingerprint]
            return None
        return entry


def _trial_refusal(fingerprint: str, reason: str) -> Refusal:
    detail = (
        f"request {fingerprint!r} crashed an endpoint and may not run now: {reason}"
    )
    return Refusal(
        ErrorKind.POISON_REQUEST, detail, ran=Ran.NO, retry_after_seconds=5.0
    )

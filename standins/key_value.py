"""An in-memory key-value store with revisions, conditions, leases and watches."""

import asyncio
import dataclasses
import time
from collections.abc import Callable

from sortedcontainers import SortedDict

__all__ = ["Change", "Entry", "KeyValueStore"]


@dataclasses.dataclass(slots=True)
class Entry:
    """A value with its revisions and the lease it is attached to, 0 for none."""

    value: bytes
    create_revision: int
    modify_revision: int
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of one key; ``value`` is ``None`` for a deletion."""

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(slots=True)
class _Lease:
    ttl_seconds: float
    expires_at: float
    keys: set[str] = dataclasses.field(default_factory=set)


class KeyValueStore:
    """The store's data and operations; every operation is atomic."""

    def __init__(self, *, now: Callable[[], float] = time.monotonic):
        self.now = now
        self.entries: SortedDict[str, Entry] = SortedDict()
        self.revision = 1
        self.leases: dict[int, _Lease] = {}
        self.last_lease_id = 1000
        self.watchers: dict[asyncio.Queue, str] = {}

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key."""
        self.expire_leases()
        return self.entries.get(key)

    def list_prefix(
        self, prefix: str, *, after: str = "", limit: int = 0
    ) -> list[tuple]:
        """Return the keys with a prefix and their entries, ordered by key.

        Only keys after ``after`` are returned, and at most ``limit`` unless it is 0.
        """
        self.expire_leases()
        matches = []
        start = after + "\0" if after else prefix
        for key in self.entries.irange(minimum=start):
            if not key.startswith(prefix):
                break
            matches.append((key, self.entries[key]))
            if limit and len(matches) >= limit:
                break
        return matches

    def transact(
        self,
        conditions: list[tuple[str, int]],
        puts: list[tuple[str, bytes, int]],
        deletes: list[str],
    ) -> bool:
        """Apply all puts and deletes if every condition holds; return whether it did.

        A condition is a key and its expected modification revision, 0 for a missing
        key. A put is a key, a value and a lease id, 0 for none.
        """
        self.expire_leases()
        for key, revision in conditions:
            entry = self.entries.get(key)
            if (entry.modify_revision if entry else 0) != revision:
                return False
        if any(lease and lease not in self.leases for _, _, lease in puts):
            raise LookupError("the lease does not exist")
        self.revision += 1
        for key, value, lease in puts:
            self._put(key, value, lease)
        for key in deletes:
            self._delete(key)
        return True

    def grant(self, ttl_seconds: float) -> int:
        """Grant a lease."""
        self.last_lease_id += 1
        self.leases[self.last_lease_id] = _Lease(ttl_seconds, self.now() + ttl_seconds)
        return self.last_lease_id

    def keep_alive(self, lease_id: int) -> float:
        """Renew a lease and return its time to live in seconds, 0 if it has expired."""
        self.expire_leases()
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0.0
        lease.expires_at = self.now() + lease.ttl_seconds
        return lease.ttl_seconds

    def revoke(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            return
        self.revision += 1
        for key in sorted(lease.keys):
            self._delete(key)

    def expire_leases(self) -> None:
        """Revoke the leases whose time to live has passed."""
        now = self.now()
        for lease_id in [
            i for i, lease in self.leases.items() if lease.expires_at <= now
        ]:
            self.revoke(lease_id)

    def watch(self, prefix: str) -> asyncio.Queue:
        """Return a queue that receives the changes of keys with a prefix."""
        queue: asyncio.Queue = asyncio.Queue()
        self.watchers[queue] = prefix
        return queue

    def unwatch(self, queue: asyncio.Queue) -> None:
        """Stop delivering changes to a queue."""
        self.watchers.pop(queue, None)

    def _put(self, key: str, value: bytes, lease_id: int) -> None:
        existing = self.entries.get(key)
        created = existing.create_revision if existing else self.revision
        if existing is not None and existing.lease_id in self.leases:
            self.leases[existing.lease_id].keys.discard(key)
        self.entries[key] = Entry(value, created, self.revision, lease_id)
        if lease_id:
            self.leases[lease_id].keys.add(key)
        self._publish(Change(key, value, self.revision))

    def _delete(self, key: str) -> None:
        if self.entries.pop(key, None) is not None:
            self._publish(Change(key, None, self.revision))

    def _publish(self, change: Change) -> None:
        for queue, prefix in self.watchers.items():
            if change.key.startswith(prefix):
                queue.put_nowait(change)

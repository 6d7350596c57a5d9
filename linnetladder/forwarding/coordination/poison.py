"""Requests that crash the endpoints that run them, known by their content."""

import collections

from linnetladder.errors import ErrorKind, Refusal
from linnetladder.state import Clock
from linnetladder.telemetry import log_change

__all__ = ["CrashLog"]

# Two crashes may be chance; a third is sent nowhere.
CRASHES_THAT_BAN = 2
ENTRY_SECONDS = 30.0
MAXIMUM_ENTRIES = 2_000
RETRY_SECONDS = 5.0


class CrashLog:
    """Crashed endpoints by the fingerprint of the request that they ran."""

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.entries: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )

    def learn(self, fingerprint: str, endpoint: str) -> bool:
        """Note a crash and return whether it was new."""
        entry = self.entries.setdefault(fingerprint, {})
        known = endpoint in entry
        if not known:
            entry[endpoint] = self.clock.monotonic()
            log_change(
                "request crashed an endpoint",
                fingerprint=fingerprint,
                endpoint=endpoint,
                crashes=len(entry),
            )
        if len(self.entries) > MAXIMUM_ENTRIES:
            self.entries.popitem(last=False)
        return not known

    def export(self) -> list[tuple[str, str]]:
        """Return the crashes that have not expired."""
        self._expire()
        return [
            (fingerprint, endpoint)
            for fingerprint, entry in self.entries.items()
            for endpoint in entry
        ]

    def crashes(self, fingerprint: str) -> int:
        """Return how many endpoints a request has crashed."""
        entry = self.entries.get(fingerprint)
        return len(entry) if entry else 0

    def refuse(self, fingerprint: str) -> Refusal | None:
        """Refuse a request that has crashed too many endpoints."""
        if not self.entries:
            return None
        self._expire()
        if self.crashes(fingerprint) < CRASHES_THAT_BAN:
            return None
        detail = f"the same request crashed {self.crashes(fingerprint)} endpoints"
        return Refusal(
            ErrorKind.SUSPECTED_POISON, detail, retry_after_seconds=RETRY_SECONDS
        )

    def _expire(self) -> None:
        oldest = self.clock.monotonic() - ENTRY_SECONDS
        for fingerprint, entry in list(self.entries.items()):
            if max(entry.values()) < oldest:
                del self.entries[fingerprint]

"""Detection of requests that crash endpoints, by a fingerprint of their content."""

import collections
import math
from collections.abc import Callable

from linnetladder.errors import ErrorKind, Refusal
from linnetladder.state import Clock
from linnetladder.telemetry import log_change

__all__ = ["CrashLog"]

# Two crashes may be a coincidence; the request is not sent a third time.
CRASHES_BEFORE_REFUSAL = 2
CRASH_EXPIRY_SECONDS = 30.0
MAXIMUM_FINGERPRINTS = 2_000
RETRY_AFTER_SECONDS = 5.0


class CrashLog:
    """Crashes of endpoints by the fingerprint of the request that they ran."""

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.crashes_by_fingerprint: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )
        self.on_crash: Callable[[], None] = _do_nothing

    def learn(self, fingerprint: str, endpoint: str, *, age: float = 0.0) -> bool:
        """Record a crash and return whether it was new.

        ``endpoint`` identifies one start of an endpoint, as ``name:incarnation``.
        ``age`` is the time since the crash in seconds; an expired one is ignored.
        """
        if age >= CRASH_EXPIRY_SECONDS:
            return False
        crash_times = self.crashes_by_fingerprint.setdefault(fingerprint, {})
        already_recorded = endpoint in crash_times
        if not already_recorded:
            crash_times[endpoint] = self.clock.monotonic() - age
            self.on_crash()
            log_change(
                "request crashed an endpoint",
                fingerprint=fingerprint,
                endpoint=endpoint,
                crashes=len(crash_times),
            )
        if len(self.crashes_by_fingerprint) > MAXIMUM_FINGERPRINTS:
            self.crashes_by_fingerprint.popitem(last=False)
        return not already_recorded

    def export(self) -> list[tuple[str, str, float]]:
        """Return fingerprint, endpoint and age of each crash that has not expired.

        The age in seconds is rounded up, so that relayed crashes do not get younger.
        """
        self._expire()
        now = self.clock.monotonic()
        return [
            (fingerprint, endpoint, math.ceil((now - crashed) * 10) / 10)
            for fingerprint, crash_times in self.crashes_by_fingerprint.items()
            for endpoint, crashed in crash_times.items()
        ]

    def crashes(self, fingerprint: str) -> int:
        """Return the number of endpoints that a request has crashed."""
        crash_times = self.crashes_by_fingerprint.get(fingerprint)
        return len(crash_times) if crash_times else 0

    def refuse(self, fingerprint: str) -> Refusal | None:
        """Return a refusal if a request has crashed too many endpoints."""
        if not self.crashes_by_fingerprint:
            return None
        self._expire()
        if self.crashes(fingerprint) < CRASHES_BEFORE_REFUSAL:
            return None
        detail = f"the same request crashed {self.crashes(fingerprint)} endpoints"
        return Refusal(
            ErrorKind.SUSPECTED_POISON, detail, retry_after_seconds=RETRY_AFTER_SECONDS
        )

    def _expire(self) -> None:
        expired_before = self.clock.monotonic() - CRASH_EXPIRY_SECONDS
        for fingerprint, crash_times in list(self.crashes_by_fingerprint.items()):
            for endpoint, crashed in list(crash_times.items()):
                if crashed <= expired_before:
                    del crash_times[endpoint]
            if not crash_times:
                del self.crashes_by_fingerprint[fingerprint]


def _do_nothing() -> None:
    """Do nothing; the default action after a crash."""
